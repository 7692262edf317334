//! Prints how the simulated fleet serves requests of different urgency that compete for a service.
//!
//! ```text
//! cargo run --release -p dogwoodrill-core --example contention_replay
//! ```

#[path = "../tests/testsuite/forwarded/contention.rs"]
mod contention;
#[path = "../tests/testsuite/forwarded/world.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod world;

use contention::{Replayed, Scenario, USUAL};

const SEEDS: u32 = 3;

fn main() {
    println!(
        "{:<24}  bound  answered  worst  told 50%, 90%  lookups in time, late, failed  entries in time  median  busiest  attempts  reports/s  offers/s  violations",
        ""
    );
    let zone_out = Scenario {
        is_zone_out: true,
        ..USUAL
    };
    let scenarios = [
        ("0.7 of capacity", USUAL),
        ("0.9 of capacity", USUAL.scaled(1.3)),
        ("zone out", zone_out),
        (
            "zone out, burst",
            Scenario {
                burst: 1.7,
                ..zone_out
            },
        ),
        ("1.3 of capacity", USUAL.scaled(1.8)),
        (
            "restart",
            Scenario {
                is_restart: true,
                ..USUAL
            },
        ),
        (
            "speeds 0.55 to 1.2",
            Scenario {
                speeds: [0.55, 1.2, 1.2, 1.2],
                ..USUAL.scaled(1.25)
            },
        ),
    ];
    for (name, scenario) in scenarios {
        let replayed: Vec<_> = (1..=SEEDS)
            .map(|seed| scenario.replay(seed.into()))
            .collect();
        let mean = |value: &dyn Fn(&Replayed) -> f64| {
            replayed.iter().map(value).sum::<f64>() / f64::from(SEEDS)
        };
        println!(
            "{name:<24}  {:.3}  {:>8.3}  {:.3}  {:>8.0} {:>4.0}  {:>10.3} {:.3} {:.3}  {:>18.3}  {:>11.0}  {:>7.2}  {:>8.2}  {:>9.0}  {:>8.0}  {:>10}",
            scenario.bound(),
            mean(&|r| r.answered),
            mean(&|r| r.worst_window),
            mean(&|r| r.told_within(0.5).as_secs_f64() * 1000.0),
            mean(&|r| r.told_within(0.9).as_secs_f64() * 1000.0),
            mean(&|r| r.lookups.in_time),
            mean(&|r| r.lookups.late),
            mean(&|r| r.lookups.failed),
            mean(&|r| r.entries.in_time),
            mean(&|r| r.median_lookup.as_secs_f64() * 1000.0),
            mean(&|r| r.busiest),
            mean(&|r| r.attempts),
            mean(&|r| r.heartbeats),
            mean(&|r| r.offers),
            replayed.iter().map(|r| r.violations).sum::<u32>(),
        );
    }
}
