//! Soak test: runs the real processes on loopback while faults, drawn from a seed, are injected from outside.
//!
//! [`fleet`] starts control hosts, balancers and agents as separate processes and sends them signals. Each
//! host binds one loopback address; the others reach it through a second one, where a proxy of [`network`]
//! delays, drops and resets the traffic between processes. [`servers`] and [`callers`] are the two ends
//! of the flows, [`operator`] changes and reads the configuration, and [`faults`] draws and injects faults
//! that overlap in time. [`checker`] verifies invariants from what callers, servers and the operator
//! observe; it does not query the processes about their state.
//!
//! A seed gives the same fault schedule in each run, but the interleaving of processes differs. The seed and
//! findings of a failed run are therefore kept, and a single run that passes proves little.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::Display;
use rand::SeedableRng;
use rand::rngs::StdRng;
use snafu::{ResultExt, Snafu};
use tempfile::TempDir;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

pub mod callers;
pub mod checker;
pub mod faults;
pub mod fleet;
pub mod http;
pub mod network;
pub mod operator;
pub mod servers;

use checker::{CallCounts, Checker};
use fleet::Fleet;
use network::{Layout, Network};
use operator::Operator;

/// Time within which the processes must start and serve calls.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the last fault within which the system must have recovered.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time for which calls are counted after recovery.
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);
/// Fraction of the calls counted after recovery that must be served.
const MIN_SERVED_RATIO: f64 = 0.95;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the `dogwoodrill` executable.
    pub program: PathBuf,
    /// Seed of the faults, flows and configuration changes.
    pub seed: u64,
    /// Time during which new faults are started.
    pub injection_time: Duration,
    /// Number of this run among concurrent runs; the third octet of its loopback addresses.
    pub lane: u8,
    /// Folder to which the logs of the processes are copied if there are findings; `None` discards them.
    pub log_dir: Option<PathBuf>,
}

/// Result of a run.
#[derive(Clone, Debug, Display)]
#[display("{calls} calls, {served} served; {faults} faults; {} findings", findings.len())]
pub struct Report {
    /// Calls that ended.
    pub calls: u64,
    /// Calls that received a response.
    pub served: u64,
    /// Number of faults that were injected.
    pub faults: u32,
    /// Violated invariants, in the order of detection.
    pub findings: Vec<String>,
}

/// Reason for which a run has no result.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// An operation of the operating system failed.
    #[snafu(display("cannot {what}"))]
    Host {
        /// The operation that failed.
        what: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Too few calls were served before the first fault.
    #[snafu(display("fewer than 50 calls were served within {START_TIMEOUT:?} of the start; see the logs in {}", logs.display()))]
    NoStart {
        /// Folder with the logs.
        logs: PathBuf,
    },
}

/// Runs the soak test with one seed.
pub async fn run(options: Options) -> Result<Report, SoakError> {
    let folder = TempDir::new().context(HostSnafu {
        what: "create a temporary folder",
    })?;
    let checker = Arc::new(Checker::new(Instant::now()));
    let layout = Layout::new(options.lane).context(HostSnafu {
        what: "find free ports",
    })?;
    let network = Network::start(layout).await.context(HostSnafu {
        what: "bind the sockets of the proxy",
    })?;
    let fleet =
        Fleet::start(&options.program, folder.path(), layout, &checker).context(HostSnafu {
            what: "start a process",
        })?;
    let fleet = Arc::new(fleet);
    let ended = run_scenario(&options, &checker, &network, &fleet).await;
    fleet.kill_all();
    network.shut_down();
    let logs = folder.path().to_owned();
    if let Err(e) = ended {
        drop(folder.keep());
        return Err(e);
    }
    let report = checker.report();
    if let (false, Some(log_dir)) = (report.findings.is_empty(), &options.log_dir) {
        let to = log_dir.join(format!("seed-{}", options.seed));
        copy_logs(&logs, &to).context(HostSnafu {
            what: format!("copy the logs to {}", to.display()),
        })?;
    }
    Ok(report)
}

async fn run_scenario(
    options: &Options,
    checker: &Arc<Checker>,
    network: &Arc<Network>,
    fleet: &Arc<Fleet>,
) -> Result<(), SoakError> {
    let stop = CancellationToken::new();
    let _stopped = stop.clone().drop_guard();
    let layout = fleet.layout();
    let bound = HostSnafu {
        what: "bind the sockets of servers and callers",
    };
    let servers = servers::start(layout, checker, &stop)
        .await
        .context(bound)?;
    let operator = Operator::start(layout, checker, &stop, options.seed);
    let bursts_until = Instant::now() + options.injection_time;
    let callers = callers::start(layout, checker, &stop, bursts_until, options.seed);
    callers.await.context(bound)?;
    let served = async {
        while checker.call_counts().served < 50 {
            sleep(Duration::from_millis(50)).await;
        }
    };
    if tokio::time::timeout(START_TIMEOUT, served).await.is_err() {
        return NoStartSnafu {
            logs: fleet.folder().to_owned(),
        }
        .fail();
    }
    let rng = StdRng::seed_from_u64(options.seed);
    faults::inject(
        rng,
        options.injection_time,
        network,
        fleet,
        &servers,
        &operator,
    )
    .await;
    sleep(RECOVERY_TIME).await;
    let before = checker.call_counts();
    sleep(MEASUREMENT_TIME).await;
    check_recovery(checker, before, checker.call_counts());
    operator.read_back().await;
    fleet.check_exits();
    Ok(())
}

fn check_recovery(checker: &Checker, before: CallCounts, after: CallCounts) {
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    let (served, ended) = (
        (after.served - before.served) as f64,
        (after.ended - before.ended) as f64,
    );
    if served < ended * MIN_SERVED_RATIO || ended < 1.0 {
        checker.add_finding(format!(
            "{served} of {ended} calls were served {RECOVERY_TIME:?} after the last fault"
        ));
    }
}

fn copy_logs(from: &std::path::Path, to: &std::path::Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let path = entry?.path();
        let is_log = path.extension().is_some_and(|e| e == "log");
        if let (true, Some(name)) = (is_log, path.file_name()) {
            std::fs::copy(&path, to.join(name))?;
        }
    }
    Ok(())
}
