//! The integration tests, one module for each feature.

mod certs;
mod cli;
mod control_hosts;
mod fleet;
mod flows;
mod forwarded;
mod journal;
mod load;
mod monitor;
mod node_processes;
mod operator_cli;
mod operator_lab;
mod operator_table;
mod processes;
mod promises;
mod report;
mod requests;
mod settings;
mod slo;
mod soak;
mod spread;
mod supervisor;
mod support;
mod transport;
mod whole_path;
