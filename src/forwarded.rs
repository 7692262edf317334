//! The processes that forward flows which end at the backend servers themselves.
//!
//! Each module drives one state machine of [`dogwoodrill_core::forwarded`] with sockets and timers:
//! [`balancer`], [`agent`] and [`control`]. One task owns the state machine; it takes in all packets
//! that have come before it waits again, so that a wake-up serves many packets. [`datagrams`] carries
//! what nodes tell each other, [`fetch`] brings the configuration, [`journal`] writes what was
//! decided.
//!
//! Packets are read and written by a [`PacketFormat`], so these drivers know no wire format.

use dogwoodrill_core::forwarded::packet::PacketFormat;

pub mod agent;
pub mod balancer;
pub mod control;
pub mod datagrams;
pub mod fetch;
pub mod journal;
mod link;
pub mod metrics;
pub mod packets;

/// A packet format that a driver can hold.
pub trait Format: PacketFormat + Clone + Send + Sync + 'static {}

impl<F: PacketFormat + Clone + Send + Sync + 'static> Format for F {}
