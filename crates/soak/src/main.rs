//! `dogwoodrill-soak`: runs the soak test with a range of seeds.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use dogwoodrill_soak::Options;
use gumdrop::Options as _;
use tokio::task::JoinSet;

#[derive(Debug, gumdrop::Options)]
#[options(
    help = "Runs dogwoodrill's processes on loopback under faults from outside, seed by seed.

Example:
  cargo build --release && cargo run --release -p dogwoodrill-soak -- --seeds 50 --lanes 4"
)]
struct Cli {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "first seed", meta = "N", default = "1")]
    first: u64,
    #[options(no_short, help = "number of seeds", meta = "N", default = "1")]
    seeds: u64,
    #[options(
        no_short,
        help = "seconds during which faults are injected",
        meta = "S",
        default = "20"
    )]
    seconds: u64,
    #[options(
        no_short,
        help = "number of seeds that run concurrently",
        meta = "N",
        default = "1"
    )]
    lanes: u8,
    #[options(
        no_short,
        help = "the dogwoodrill executable",
        meta = "FILE",
        default = "target/release/dogwoodrill"
    )]
    program: PathBuf,
    #[options(
        no_short,
        help = "folder for the logs of seeds with findings",
        meta = "DIR",
        default = "target/soak"
    )]
    keep: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    let last = cli.first + cli.seeds;
    let mut tasks = JoinSet::new();
    for lane in 1..=cli.lanes.max(1) {
        let options = Options {
            program: cli.program.clone(),
            seed: 0,
            injection_time: Duration::from_secs(cli.seconds),
            lane,
            log_dir: Some(cli.keep.clone()),
        };
        let step = usize::from(cli.lanes.max(1));
        let seeds = (cli.first + u64::from(lane) - 1..last).step_by(step);
        tasks.spawn(run_seeds(options, seeds.collect()));
    }
    let failed: u32 = tasks.join_all().await.into_iter().sum();
    println!("{failed} of {} seeds failed", cli.seeds);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs the seeds one after another and returns how many of them failed.
async fn run_seeds(options: Options, seeds: Vec<u64>) -> u32 {
    let mut failed = 0;
    for seed in seeds {
        let options = Options {
            seed,
            ..options.clone()
        };
        match dogwoodrill_soak::run(options).await {
            Ok(report) => {
                println!("seed {seed}: {report}");
                for finding in &report.findings {
                    println!("  {finding}");
                }
                failed += u32::from(!report.findings.is_empty());
            }
            Err(e) => {
                println!("seed {seed}: no result: {e}");
                failed += 1;
            }
        }
    }
    failed
}
