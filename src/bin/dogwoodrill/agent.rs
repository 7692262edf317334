//! `dogwoodrill agent`.

use std::path::PathBuf;

use dogwoodrill::ops::{self, DaemonOptions, OpsError};
use gumdrop::Options;

/// Options of the subcommand.
#[derive(Debug, Options)]
pub struct Cli {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, no_short, help = "settings file", meta = "FILE")]
    config: PathBuf,
}

/// Runs the subcommand.
pub async fn run(cli: Cli) -> Result<(), OpsError> {
    ops::run_agent(DaemonOptions { config: cli.config }).await
}
