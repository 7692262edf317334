//! `dogwoodrill explain`.

use std::net::SocketAddrV4;

use dogwoodrill::forwarded::explain::CallerAddress;
use dogwoodrill::ops::{self, ExplainOptions, NodeEndpoint};
use dogwoodrill_core::ids::AvailabilityZone;
use gumdrop::Options;

use crate::output::Report;

/// Options of the subcommand.
#[derive(Debug, Options)]
#[options(
    help = "Explains where a new flow of a caller would go now, and why, without sending anything. A balancer
shows the agents that it would choose from, an agent what it would do with the opening packet.
Exits with 1 if a node gives no explanation.

Example:
  dogwoodrill explain --node 10.2.0.1 --node 10.1.0.4 --to 198.18.0.1:443 --from 100.64.0.7"
)]
pub struct Cli {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        required,
        no_short,
        help = "a balancer or agent to ask, more than one if repeated",
        meta = "IP[:PORT]"
    )]
    node: Vec<NodeEndpoint>,
    #[options(
        required,
        no_short,
        help = "address that the caller sends to",
        meta = "IP:PORT"
    )]
    to: Option<SocketAddrV4>,
    #[options(required, no_short, help = "address of the caller", meta = "IP[:PORT]")]
    from: Option<CallerAddress>,
    #[options(
        no_short,
        help = "zone of the balancer that the caller enters at (default: that of the node)",
        meta = "ZONE"
    )]
    zone: Option<AvailabilityZone>,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Runs the subcommand.
pub async fn run(cli: Cli) -> Report {
    let options = ExplainOptions {
        nodes: cli.node,
        to: cli.to.expect("the parser requires an address"),
        from: cli.from.expect("the parser requires a caller"),
        zone: cli.zone,
    };
    Report::new(cli.json, ops::explain(options).await)
}
