//! `dogwoodrill certs init`.

use std::path::PathBuf;

use dogwoodrill::ops::{self, CertsInitOptions, ServiceCertificate};
use gumdrop::Options;

use crate::output::Report;

/// Options of the subcommand.
#[derive(Debug, Options)]
#[options(help = "Creates the certificates of a cluster.

Example:
  dogwoodrill certs init --dir keys --service orders=orders.example")]
pub struct Cli {
    #[options(help = "print this help")]
    help: bool,
    #[options(command, required)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "create a local authority and the certificates of a new cluster")]
    Init(Init),
}

#[derive(Debug, Options)]
#[options(
    help = "Creates a local authority, a certificate for each role and service, and the cluster key.
Existing files are never overwritten. Keep authority.key off the hosts: it is needed
only to create further certificates.

Example:
  dogwoodrill certs init --dir keys --service orders=orders.example --service catalogue=catalogue.example"
)]
struct Init {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, no_short, help = "folder to write to", meta = "DIR")]
    dir: PathBuf,
    #[options(
        no_short,
        help = "a service and the DNS name its callers use",
        meta = "NAME=DNS-NAME"
    )]
    service: Vec<ServiceCertificate>,
    #[options(
        no_short,
        help = "days for which the certificates are valid",
        meta = "DAYS",
        default = "365"
    )]
    days: u32,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Runs the subcommand.
pub fn run(cli: Cli) -> Report {
    let Some(Command::Init(init)) = cli.command else {
        unreachable!("the parser requires a command");
    };
    let options = CertsInitOptions {
        dir: init.dir,
        services: init.service,
        days: init.days,
    };
    Report::new(init.json, ops::certs_init(&options))
}
