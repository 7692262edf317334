//! Decisions of the dogwoodrill load balancer, free of input and output.
//!
//! Every part here is a state machine that is driven from outside: time, randomness and
//! messages are handed in, decisions come back as values. There is no socket, no clock and no
//! async runtime in this crate, so each part can be embedded alone, tested by tables of faults
//! and driven by any test bench.
//!
//! Data moves through the parts in this order. A balancer classifies a datagram ([`flow`]) and
//! asks [`routing`] for the backend server that owns it, over the [`directory`] of announced
//! backend servers and the committed [`config`]. The agent beside that backend server takes the
//! packet or passes it on ([`steering`]); its answers leave by [`return_ring`]. Each request then
//! needs a claim on its key ([`claims`]) and a place at the backend server ([`admission`], [`ramp`])
//! or at that of a peer ([`handoff`]); [`retry`] bounds second tries, and [`slo`] counts how it
//! went. [`forwarded`] is the other kind of flow, which ends at the backend server itself. Identifiers are in [`ids`], and [`verdict`] says what a refusal means for the caller.

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

/// Runs the example of the README.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
