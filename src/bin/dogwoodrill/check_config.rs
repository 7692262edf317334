//! `dogwoodrill check-config`.

use std::convert::Infallible;
use std::path::PathBuf;

use dogwoodrill::ops::{self, CheckConfigOptions};
use dogwoodrill::settings::kind::SettingsKind;
use gumdrop::Options;

use crate::output::Report;

/// Options of the subcommand.
#[derive(Debug, Options)]
#[options(
    help = "Finds all faults of settings files, each with its line and column. The zones of
daemons are compared with those of the initial configuration among the files.

Example:
  dogwoodrill check-config initial.yaml control.yaml balancer.yaml agent.yaml
"
)]
pub struct Cli {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "settings files")]
    files: Vec<PathBuf>,
    #[options(
        no_short,
        help = "balancer, agent, control, initial, operator or profile; detected from the keys if not given",
        meta = "KIND"
    )]
    kind: Option<SettingsKind>,
    #[options(no_short, help = "do not read the key and certificate files")]
    without_keys: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Runs the subcommand.
pub fn run(cli: Cli) -> Report {
    let options = CheckConfigOptions {
        files: cli.files,
        kind: cli.kind,
        without_keys: cli.without_keys,
    };
    Report::new(cli.json, Ok::<_, Infallible>(ops::check_config(&options)))
}
