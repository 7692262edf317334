//! Disseminates soft and committed state to every node. This crate performs no input or output of its
//! own.
//!
//! There are two kinds of state. *Soft* state is the directory of announced backend servers and
//! balancers: each member owns its record, and copies are merged. *Committed* state is the
//! configuration that the control hosts agree on: it is identified by a log index, and a node only
//! replaces it by one with a higher index. Both travel over the same links.
//!
//! Nodes form a tree. The control hosts are at the top; below them a few balancers of each region, then
//! some balancers of each availability zone, selected by rendezvous hashing, relay updates to all other
//! nodes ([`topology`]). [`Node`] is the state machine of one node: its driver passes it messages,
//! ticks and link events, and executes the [`Output`]s that it returns. The modules can be read in this
//! order: [`message`] for the messages, [`beacon`] and [`inquiry`] for how a node determines whether it
//! is up to date, [`config_delta`] and [`progress`] for the committed state, [`node`] for the state
//! machine, and [`observer`] and [`suspicion`] for failure detection.

pub mod beacon;
pub mod config_delta;
pub mod inquiry;
pub mod message;
pub mod node;
pub mod observer;
pub mod progress;
pub mod standing;
pub mod suspicion;
pub mod time;
pub mod topology;
pub mod uplinks;

pub use message::Output;
pub use node::{Node, NodeOptions};
pub use standing::ServingStatus;
pub use time::Now;
