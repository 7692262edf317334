//! Prints how evenly open flows are distributed over the servers of a service, with bounded load and with
//! plain rendezvous hashing.
//!
//! ```text
//! cargo run --release -p dogwoodrill-core --example imbalance
//! ```

#[path = "../tests/testsuite/fleet.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod fleet;
#[path = "../tests/testsuite/imbalance.rs"]
mod imbalance;

use imbalance::{BALANCERS, FLOWS, SERVERS, Scenario, run};

const SEEDS: u64 = 5;

fn main() {
    println!("{FLOWS} flows, {SERVERS} servers, {BALANCERS} balancers, worst of {SEEDS} seeds");
    println!("servers  join  lag  reports  max/mean   extra hop");
    for (at_start, join_every, lag) in [
        (7, 1, 0),
        (5, 2_000, 0),
        (5, 2_000, 500),
        (5, 2_000, 2_000),
        (3, 2_000, 500),
    ] {
        for report_every in [None, Some(100), Some(250), Some(1_000)] {
            let scenario = Scenario {
                at_start,
                join_every,
                lag,
                report_every,
            };
            print_row(scenario);
        }
    }
}

fn print_row(scenario: Scenario) {
    let outcomes: Vec<_> = (1..=SEEDS).map(|seed| run(scenario, seed)).collect();
    let worst = outcomes
        .iter()
        .max_by(|a, b| a.max_over_mean().total_cmp(&b.max_over_mean()));
    let reports = scenario
        .report_every
        .map_or_else(|| "plain".to_owned(), |n| format!("per {n}"));
    if let Some(worst) = worst {
        println!(
            "{:>7} {:>5} {:>4} {reports:>8}  {:>8.3} {:>12}",
            scenario.at_start,
            scenario.join_every,
            scenario.lag,
            worst.max_over_mean(),
            worst.extra_hop,
        );
    }
}
