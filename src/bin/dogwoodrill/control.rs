//! `dogwoodrill control`.

use std::path::PathBuf;

use dogwoodrill::ops::{self, DaemonOptions};
use gumdrop::Options;

use crate::output::Report;

/// Options of the subcommand.
#[derive(Debug, Options)]
#[options(
    help = "Stores the configuration that operators commit and distributes it to every node, until SIGTERM.

Example:
  dogwoodrill control --config control.yaml"
)]
pub struct Cli {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, no_short, help = "settings file", meta = "FILE")]
    config: PathBuf,
}

/// Runs the subcommand.
pub async fn run(cli: Cli) -> Report {
    let options = DaemonOptions { config: cli.config };
    Report::of_daemon(ops::run_control(options).await)
}
