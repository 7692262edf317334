//! The processes of forwarded flows: flows that end at the backend servers; balancers and agents pass
//! their packets on without terminating them.
//!
//! [`balancer`], [`agent`] and [`control`] each drive a state machine of [`dogwoodrill_core::forwarded`] with
//! sockets and timers. One task owns the state machine and processes the received packets in batches, so that
//! one wake-up serves many packets. [`datagrams`] exchanges messages between nodes, [`fetch`] fetches the
//! configuration from a control host, and [`journal`] logs decisions and events. [`explain`] asks the
//! task where a new flow would go.
//!
//! A [`PacketFormat`] reads and writes the packets, so the drivers do not depend on a wire format.

use dogwoodrill_core::forwarded::packet::PacketFormat;

pub mod agent;
pub mod balancer;
pub mod control;
pub mod datagrams;
pub mod explain;
pub mod fetch;
pub mod journal;
mod link;
pub mod metrics;
pub mod packets;

/// A packet format that a driver can own and share between tasks.
pub trait Format: PacketFormat + Clone + Send + Sync + 'static {}

impl<F: PacketFormat + Clone + Send + Sync + 'static> Format for F {}
