//! `dogwoodrill node`.

use std::net::Ipv4Addr;
use std::path::PathBuf;

use dogwoodrill::ops::{self, NodeOptions};
use gumdrop::Options;

use crate::output::Report;

/// Options of the subcommand.
#[derive(Debug, Options)]
#[options(
    help = "Runs a process of the platform in the role that its settings name, until SIGTERM.

Example:
  dogwoodrill node --settings /etc/dogwoodrill/node.yaml"
)]
pub struct Cli {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "settings file (default: the one that DOGWOODRILL_NODE_FILE names)",
        meta = "FILE"
    )]
    settings: Option<PathBuf>,
    #[options(
        no_short,
        help = "address to bind for traffic between nodes (default: the address of this node in the settings)",
        meta = "IP"
    )]
    bind: Option<Ipv4Addr>,
}

/// Runs the subcommand.
pub async fn run(cli: Cli) -> Report {
    let options = NodeOptions {
        settings: cli.settings,
        bind: cli.bind,
    };
    Report::of_daemon(ops::run_node(options).await.map_err(Into::into))
}
