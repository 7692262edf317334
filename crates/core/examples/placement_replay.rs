//! Prints how the simulated fleet serves load patterns, compared with simpler policies and an upper bound.
//!
//! ```text
//! cargo run --release -p dogwoodrill-core --example placement_replay
//! ```

#[path = "../tests/testsuite/forwarded/replay.rs"]
mod replay;
#[path = "../tests/testsuite/forwarded/world.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod world;

use replay::{POLICIES, Score, Workload, patterns};

const SEED: u64 = 1;

fn main() {
    println!(
        "{:<34}   worth in time   late  refused  offers  busiest",
        ""
    );
    for (name, workload) in [("quick", Workload::QUICK), ("long", Workload::LONG)] {
        for pattern in patterns(SEED, workload) {
            println!("{name} requests, {}", pattern.name);
            for policy in POLICIES {
                print_row(&format!("{policy:?}"), pattern.against(policy, SEED));
            }
            print_row("fleet", pattern.against_fleet(SEED));
            print_row("bound", pattern.bound());
        }
    }
}

fn print_row(name: &str, s: Score) {
    println!(
        "  {name:<32} {:>7.3} {:>7.3} {:>6.3} {:>8.3} {:>7.2} {:>8.2} {:>8}",
        s.answered(),
        s.in_time,
        s.late,
        s.refused,
        s.offers,
        s.busiest,
        s.told.as_millis()
    );
}
