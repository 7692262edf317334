//! One short seed of the soak; `docs/soak.md` says how to play more.

use std::path::PathBuf;
use std::time::Duration;

use dogwoodrill_soak::Options;
use insta::assert_snapshot;

const SEED: u64 = 3;
const SPAN: Duration = Duration::from_secs(6);
/// Loopback addresses beside those of seeds that are played by hand.
const LANE: u8 = 250;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_seed_finds_nothing() {
    let report = dogwoodrill_soak::run(Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_dogwoodrill")),
        seed: SEED,
        span: SPAN,
        lane: LANE,
        keep: Some(PathBuf::from(env!("CARGO_TARGET_TMPDIR"))),
    });
    let report = report.await.unwrap();
    assert_snapshot!(report.findings.join("\n"), @"");
    assert!(report.served > 1000 && report.faults > 3, "{report}");
}
