//! `dogwoodrill node`.

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
}

/// Runs the subcommand.
pub async fn run(cli: Cli) -> Report {
    let settings = cli.settings;
    Report::of_daemon(
        ops::run_node(NodeOptions { settings })
            .await
            .map_err(Into::into),
    )
}
