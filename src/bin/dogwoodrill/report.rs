//! `dogwoodrill report burn`.

use std::path::PathBuf;
use std::time::Duration;

use dogwoodrill::ops::{self, BurnOptions};
use dogwoodrill::settings::scalar::Scalar;
use dogwoodrill_core::ids::ServiceName;
use gumdrop::Options;

use crate::output;

/// Options of the subcommand.
#[derive(Debug, Options)]
#[options(help = "Reports on the cluster.

Example:
  dogwoodrill report burn --html burn.html")]
pub struct Cli {
    #[options(help = "print this help")]
    help: bool,
    #[options(command, required)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "how fast each service spends its error budget")]
    Burn(Burn),
}

#[derive(Debug, Options)]
#[options(
    help = "Shows how fast each service spends its error budget, over 1 h with 5 min, 6 h with 30 min and
3 d with 6 h. The page has charts of good requests, broken flows and imbalance by minute.

Example:
  dogwoodrill report burn --service orders --html burn.html"
)]
struct Burn {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "settings file",
        meta = "FILE",
        default = "operator.yaml"
    )]
    config: PathBuf,
    #[options(no_short, help = "report on this service alone", meta = "NAME")]
    service: Option<ServiceName>,
    #[options(no_short, help = "write the page with charts to a file", meta = "FILE")]
    html: Option<PathBuf>,
    #[options(
        no_short,
        help = "time that the charts show",
        meta = "TIME",
        default = "6h",
        parse(try_from_str = "parse_time")
    )]
    shown: Duration,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Runs the subcommand.
pub async fn run(cli: Cli) -> output::Report {
    let Some(Command::Burn(burn)) = cli.command else {
        unreachable!("the parser requires a command");
    };
    let options = BurnOptions {
        config: burn.config,
        service: burn.service,
        shown: burn.shown,
        html: burn.html,
    };
    output::Report::new(burn.json, ops::report_burn(options).await)
}

/// Parses a time with its unit, such as `10s`.
pub fn parse_time(text: &str) -> Result<Duration, &'static str> {
    Duration::read(text).ok().ok_or(Duration::EXPECTED)
}
