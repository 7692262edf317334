//! `dogwoodrill status`.

use std::path::PathBuf;

use dogwoodrill::ops;
use gumdrop::Options;

use crate::output::Report;
use crate::session::session_options;

/// Options of the subcommand.
#[derive(Debug, Options)]
#[options(
    help = "Shows the control hosts, the configuration and whether every node has it. Exits with 1 if a
control host does not answer.

Example:
  dogwoodrill status --json"
)]
pub struct Cli {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "settings file",
        meta = "FILE",
        default = "operator.yaml"
    )]
    config: PathBuf,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Runs the subcommand.
pub async fn run(cli: Cli) -> Report {
    Report::new(cli.json, ops::status(&session_options(cli.config)).await)
}
