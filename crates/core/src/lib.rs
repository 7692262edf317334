//! Decision logic of the dogwoodrill load balancer, without I/O.
//!
//! Every module is a state machine that is driven from outside: time, randomness and messages
//! are passed in, and decisions are returned as values. This crate has no socket, no clock and no
//! async runtime, so each module can be embedded on its own, tested with tables of faults and
//! driven by any test harness.
//!
//! A packet passes through the modules in this order. A balancer classifies the datagram
//! ([`flow`]), and [`routing`] selects the backend server that owns its flow, from the
//! [`directory`] of announced backend servers and the committed [`config`]. The agent of that
//! backend server accepts the packet or forwards it to a peer ([`steering`]); its replies leave
//! through a balancer of the [`return_ring`]. Each request then needs a claim on its key
//! ([`claims`]) and a slot at the backend server ([`admission`], [`ramp`]) or at that of a peer
//! ([`handoff`]). [`retry`] limits retries, and [`slo`] counts the results. [`forwarded`] has the
//! flows that end at the backend server itself instead of its agent. Identifiers are in [`ids`],
//! and [`verdict`] states whether a refused or failed request may have run.

pub mod admission;
pub mod changes;
pub mod claim_groups;
pub mod claims;
pub mod config;
pub mod control_state;
pub mod control_status;
pub mod directory;
pub mod drop_cause;
pub mod flow;
pub mod flow_load;
pub mod flow_table;
pub mod forwarded;
pub mod handoff;
pub mod ids;
pub mod owner_history;
pub mod ramp;
pub mod retry;
pub mod return_ring;
pub mod routing;
pub mod slo;
pub mod steering;
pub mod time;
pub mod verdict;

/// Runs the example in the README as a doctest.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
