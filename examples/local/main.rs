//! Runs a whole cluster on one machine: an order and a catalogue service under planned changes and failures.
//!
//! The real daemons run as tasks of this process over loopback: three availability zones with two balancers
//! each, seven order servers and three catalogue servers with two slots each. Callers hold status
//! queries open, place orders (some are sent twice with the same key, through two flows) and fetch model
//! sheets, while the [`timeline`] stops and kills balancers, drains and restarts servers and takes an
//! availability zone out and in. All counts come from the callers and the backend servers, none from the
//! daemons. The last line of the output is the verdict; the exit code matches it.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

mod callers;
mod cluster;
mod fabric;
mod table;
mod tally;
mod timeline;

use cluster::LocalCluster;
use tally::Tally;

/// Any error that ends the example early.
type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Time for the last responses after the callers were told to finish.
const WIND_DOWN: Duration = Duration::from_secs(3);

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(outcome) => {
            println!("{outcome}");
            ExitCode::from(u8::from(!outcome.is_ok()))
        }
        Err(e) => {
            eprintln!("error: {e}");
            println!("verdict: failed (not run)");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<table::Outcome, Failure> {
    let cluster = Arc::new(LocalCluster::start().await?);
    let tally = Arc::new(Tally::default());
    let finish = CancellationToken::new();
    let callers = callers::start(&cluster, &tally, &finish);
    let zone_out = timeline::run(&cluster, &tally).await?;
    finish.cancel();
    sleep(WIND_DOWN).await;
    cluster.finish_status();
    callers.join().await;
    let outcome = table::Outcome::new(&tally, &cluster.counters(), zone_out);
    cluster.stop().await;
    Ok(outcome)
}
