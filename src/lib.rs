//! dogwoodrill: a layer-4 load balancer for public bodies with few staff.
//!
//! The library behind the one binary. The decisions live in `dogwoodrill-core`; the modules here
//! drive them with sockets, timers and gRPC, and hold as little else as they can.
//!
//! A packet of a caller reaches any [`balancer`], which forwards it in a tunnel to the [`agent`]
//! beside the backend server that owns the flow. The agent ends the flow, runs the request and
//! answers through any balancer. [`control`] hosts keep what operators decide; [`cluster`] is each
//! node's view of that and of the announced backend servers. [`ops`] has one function for each
//! subcommand, and is the place to start reading.

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
