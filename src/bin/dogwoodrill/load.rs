//! `dogwoodrill load`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use dogwoodrill::ops::{self, LoadOptions, RequestClass};
use gumdrop::Options;

use crate::output::Report;
use crate::report::parse_time;

/// Options of the subcommand.
#[derive(Debug, Options)]
#[options(
    help = "Sends requests to a service over HTTP/3 at a fixed rate and reports the results. POST requests carry
an idempotency key, and are sent again with the same key if their outcome is not good. Exits with 1
if a request did not succeed.

Example:
  dogwoodrill load --to 192.0.2.1:443 --name orders.example --authority keys/authority.pem \\
      --class order=POST:/orders:3 --class sheet=GET:/sheets/100000 --rate 50 --time 10s --html load.html"
)]
pub struct Cli {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, no_short, help = "address of the service", meta = "IP:PORT")]
    to: Option<SocketAddr>,
    #[options(
        required,
        no_short,
        help = "DNS name in its certificate",
        meta = "NAME"
    )]
    name: String,
    #[options(
        required,
        no_short,
        help = "file with the authority's certificate",
        meta = "FILE"
    )]
    authority: PathBuf,
    #[options(
        no_short,
        help = "a kind of request; may be given again",
        meta = "NAME=METHOD:/PATH[:WEIGHT]"
    )]
    class: Vec<RequestClass>,
    #[options(
        no_short,
        help = "requests a second; 0 only holds the flows open",
        meta = "N",
        default = "10"
    )]
    rate: u32,
    #[options(
        no_short,
        help = "time for which requests are sent",
        meta = "TIME",
        default = "10s",
        parse(try_from_str = "parse_time")
    )]
    time: Duration,
    #[options(no_short, help = "requests at most", meta = "N", default = "100000")]
    count: u64,
    #[options(no_short, help = "flows to hold", meta = "N", default = "10")]
    flows: usize,
    #[options(
        no_short,
        help = "time that an answer may take",
        meta = "TIME",
        default = "10s",
        parse(try_from_str = "parse_time")
    )]
    timeout: Duration,
    #[options(
        no_short,
        help = "times that a request is sent again",
        meta = "N",
        default = "2"
    )]
    resends: u32,
    #[options(no_short, help = "seed of the arrivals", meta = "N", default = "1")]
    seed: u64,
    #[options(no_short, help = "write the page with charts to a file", meta = "FILE")]
    html: Option<PathBuf>,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Runs the subcommand.
pub async fn run(cli: Cli) -> Report {
    let standard = || {
        "get=GET:/"
            .parse()
            .expect("the standard class is well formed")
    };
    let options = LoadOptions {
        to: cli.to.expect("the parser requires an address"),
        name: cli.name,
        authority: cli.authority,
        classes: if cli.class.is_empty() {
            vec![standard()]
        } else {
            cli.class
        },
        rate: cli.rate,
        time: cli.time,
        count: cli.count,
        flows: cli.flows,
        timeout: cli.timeout,
        resends: cli.resends,
        seed: cli.seed,
        html: cli.html,
    };
    Report::new(cli.json, ops::load(options).await)
}
