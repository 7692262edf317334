//! dogwoodrill: a layer-4 load balancer for public bodies with few staff.
//!
//! This is the library of the `dogwoodrill` binary. The decision logic is in `dogwoodrill-core`; the
//! modules here connect it to sockets, timers and gRPC and contain little else.
//!
//! A packet from a caller arrives at any [`balancer`], which forwards it through a tunnel to the
//! [`agent`] on the host of the backend server that owns the flow. The agent terminates the flow, runs the
//! request and responds through any balancer. [`control`] hosts store the configuration that operators
//! commit; [`cluster`] is each node's view of the configuration and of the announced backend servers. [`ops`]
//! has one function for each subcommand and is a good place to start reading.

pub mod agent;
pub mod balancer;
pub mod cluster;
pub mod context;
pub mod control;
pub mod credentials;
pub mod forwarded;
mod http;
pub mod logs;
pub mod monitor;
pub mod operator;
pub mod ops;
pub mod packet_metrics;
pub mod report;
pub mod settings;
pub mod supervisor;
pub mod transport;
