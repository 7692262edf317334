//! `dogwoodrill zone list|out|in`.

use std::path::PathBuf;

use dogwoodrill::ops::{self, ZoneChangeOptions};
use dogwoodrill_core::changes::CommandId;
use dogwoodrill_core::config::{Version, ZoneStatus};
use dogwoodrill_core::ids::AvailabilityZone;
use gumdrop::Options;

use crate::output::Report;
use crate::session::{change_options, session_options};

/// Options of the subcommand.
#[derive(Debug, Options)]
#[options(help = "Takes availability zones out of service and brings them back.

Example:
  dogwoodrill zone list
  dogwoodrill zone out pando --wait")]
pub struct Cli {
    #[options(help = "print this help")]
    help: bool,
    #[options(command, required)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "list the zones")]
    List(List),
    #[options(help = "take a zone out: it gets no more packets, flows that end there are given up")]
    Out(Out),
    #[options(help = "bring a zone back")]
    In(In),
}

#[derive(Debug, Options)]
#[options(help = "Lists the zones.

Example:
  dogwoodrill zone list")]
struct List {
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

/// Defines the options of `zone out` and `zone in`, which differ only in their help text.
macro_rules! change {
    ($name:ident, $help:literal) => {
        #[derive(Debug, Options)]
        #[options(help = $help)]
        struct $name {
            #[options(help = "print this help")]
            help: bool,
            #[options(free, required, help = "name of the zone")]
            zone: Option<AvailabilityZone>,
            #[options(
                no_short,
                help = "settings file",
                meta = "FILE",
                default = "operator.yaml"
            )]
            config: PathBuf,
            #[options(no_short, help = "wait until every node has it in force")]
            wait: bool,
            #[options(no_short, help = "version that the zone was read at", meta = "N")]
            version: Option<Version>,
            #[options(no_short, help = "id of a command that is sent again", meta = "UUID")]
            command_id: Option<CommandId>,
            #[options(no_short, help = "print JSON")]
            json: bool,
        }

        impl $name {
            async fn run(self, status: ZoneStatus) -> Report {
                let options = ZoneChangeOptions {
                    zone: self.zone.expect("the parser requires a zone"),
                    status,
                    change: change_options(self.command_id, self.version, self.wait),
                };
                let changed = ops::zone_change(&session_options(self.config), &options).await;
                Report::new(self.json, changed)
            }
        }
    };
}

change!(
    Out,
    "Takes a zone out: it gets no more packets within seconds, and flows that end there are given up.
Exits with 3 if it is not known whether the change was accepted, with 5 if another was accepted
first, with 6 if not every node has confirmed it in time.

Example:
  dogwoodrill zone out pando --wait
"
);
change!(
    In,
    "Brings a zone back.

Example:
  dogwoodrill zone in pando --wait
"
);

/// Runs the subcommand.
pub async fn run(cli: Cli) -> Report {
    match cli.command {
        Some(Command::List(list)) => {
            let zones = ops::zone_list(&session_options(list.config)).await;
            Report::new(list.json, zones)
        }
        Some(Command::Out(out)) => out.run(ZoneStatus::Out).await,
        Some(Command::In(back)) => back.run(ZoneStatus::In).await,
        None => unreachable!("the parser requires a command"),
    }
}
