//! Brings soft and committed state to every node, free of input and output.
//!
//! The state is of two kinds. *Soft* state is the directory of announced backend servers and
//! balancers: each member owns its record, and copies are merged. *Committed* state is the
//! configuration that the control hosts agree on: it is named by a log index and only a higher one is
//! taken. Both go over the same links.
//!
//! Nodes form a tree. The control hosts stand at the top; below them a few balancers of each region,
//! then some balancers of each availability zone, picked by rendezvous hashing, pass news on to all
//! others ([`topology`]). [`Node`] is one node's part in it: it is driven with messages, ticks and
//! the state of its links, and answers with [`Output`]s. Its parts can be read in this order:
//! [`message`] for what travels, [`beacon`] and [`inquiry`] for how a node knows that it is up to
//! date, [`config_delta`] and [`progress`] for the committed state, [`node`] for how it all goes
//! together, and [`observer`] and [`suspicion`] for the detection of failures.

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
