//! A soak: the real processes on loopback, under faults from outside, drawn from one seed.
//!
//! [`fleet`] starts control hosts, balancers and agents as processes of their own and sends them signals.
//! Each host has a loopback address; the others know it under a second one, where a proxy of [`network`]
//! delays, drops and resets what passes between processes. [`servers`] and [`callers`] are the two ends
//! of the flows, [`operator`] changes and reads the configuration, [`faults`] draws what happens, in
//! series that overlap. [`checker`] holds what must hold, from what callers, servers and the operator
//! see; nobody asks the processes how they are.
//!
//! The schedule of a seed is the same in each run, the interleaving of processes is not. So a seed that
//! failed is kept with what it found, and a run that passes proves little by itself.

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

use checker::{Checker, Tally};
use fleet::Fleet;
use network::{Layout, Network};
use operator::Operator;

/// Time for processes to start and to serve.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the last fault in which all must be as before.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which calls are counted then.
const COUNTED: Duration = Duration::from_secs(3);
/// Share of the calls then that must be served.
const SERVED_SHARE: f64 = 0.95;

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// Draws all that happens.
    pub seed: u64,
    /// Time for which faults begin.
    pub span: Duration,
    /// Tells runs apart that go on at the same time: part of their loopback addresses.
    pub lane: u8,
    /// Where the logs of the processes stay if something was found; none to drop them.
    pub keep: Option<PathBuf>,
}

/// What a run found.
#[derive(Clone, Debug, Display)]
#[display("{calls} calls, {served} served; {faults} faults; {} findings", findings.len())]
pub struct Report {
    /// Calls that were made.
    pub calls: u64,
    /// Those that were answered.
    pub served: u64,
    /// Faults that were injected.
    pub faults: u32,
    /// What did not hold, in the order in which it was seen.
    pub findings: Vec<String>,
}

/// Why a run came to no result.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// The host refused something.
    #[snafu(display("cannot {what}"))]
    Host {
        /// What was tried.
        what: String,
        /// What the host said.
        source: std::io::Error,
    },
    /// The processes served nothing before any fault.
    #[snafu(display("nothing was served within {START_TIMEOUT:?} of the start; see {}", logs.display()))]
    NoStart {
        /// Where the logs are.
        logs: PathBuf,
    },
}

/// Runs one seed.
pub async fn run(options: Options) -> Result<Report, SoakError> {
    let folder = TempDir::new().context(HostSnafu {
        what: "make a folder",
    })?;
    let checker = Arc::new(Checker::new(Instant::now()));
    let layout = Layout::new(options.lane).context(HostSnafu {
        what: "find free ports",
    })?;
    let network = Network::start(layout).await.context(HostSnafu {
        what: "bind the proxy",
    })?;
    let fleet =
        Fleet::start(&options.program, folder.path(), layout, &checker).context(HostSnafu {
            what: "start a process",
        })?;
    let fleet = Arc::new(fleet);
    let ended = play(&options, &checker, &network, &fleet).await;
    fleet.end();
    network.end();
    let logs = folder.path().to_owned();
    if let Err(e) = ended {
        drop(folder.keep());
        return Err(e);
    }
    let report = checker.report();
    if let (false, Some(keep)) = (report.findings.is_empty(), &options.keep) {
        let to = keep.join(format!("seed-{}", options.seed));
        copy_logs(&logs, &to).context(HostSnafu {
            what: format!("keep the logs in {}", to.display()),
        })?;
    }
    Ok(report)
}

async fn play(
    options: &Options,
    checker: &Arc<Checker>,
    network: &Arc<Network>,
    fleet: &Arc<Fleet>,
) -> Result<(), SoakError> {
    let stop = CancellationToken::new();
    let _stopped = stop.clone().drop_guard();
    let layout = fleet.layout();
    let bound = HostSnafu {
        what: "bind the ends of flows",
    };
    let servers = servers::start(layout, checker, &stop)
        .await
        .context(bound)?;
    let operator = Operator::start(layout, checker, &stop, options.seed);
    let callers = callers::start(layout, checker, &stop, options.seed);
    callers.await.context(bound)?;
    let served = async {
        while checker.tally().served < 50 {
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
    faults::inject(rng, options.span, network, fleet, &servers, &operator).await;
    sleep(RECOVERY).await;
    let before = checker.tally();
    sleep(COUNTED).await;
    judge_recovery(checker, before, checker.tally());
    operator.read_back().await;
    fleet.check();
    Ok(())
}

fn judge_recovery(checker: &Checker, before: Tally, after: Tally) {
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    let (served, ended) = (
        (after.served - before.served) as f64,
        (after.ended - before.ended) as f64,
    );
    if served < ended * SERVED_SHARE || ended < 1.0 {
        checker.find(format!(
            "{served} of {ended} calls were served {RECOVERY:?} after the last fault"
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
