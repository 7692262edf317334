//! Runs the soak test with one short seed; `docs/soak.md` describes how to run more.

use std::path::PathBuf;
use std::time::Duration;

use dogwoodrill_soak::Options;
use insta::assert_snapshot;

const SEED: u64 = 3;
const INJECTION_TIME: Duration = Duration::from_secs(6);
/// Selects loopback addresses that differ from those of seeds run by hand.
const LANE: u8 = 250;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_soak_run_has_no_findings() {
    let report = dogwoodrill_soak::run(Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_dogwoodrill")),
        seed: SEED,
        injection_time: INJECTION_TIME,
        lane: LANE,
        log_dir: Some(PathBuf::from(env!("CARGO_TARGET_TMPDIR"))),
    });
    let report = report.await.unwrap();
    assert_snapshot!(report.findings.join("\n"), @"");
    assert!(report.served > 1000 && report.faults > 3, "{report}");
}
