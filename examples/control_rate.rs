//! Measures three control hosts on loopback with data folders: the rate and latency of changes by the number
//! of concurrent operators and the size of the configuration, the processor time of idle hosts, and the size
//! of a configuration snapshot.
//!
//! `cargo run --release --example control_rate -- FOLDER`; takes about 30 s at most.

use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use dogwoodrill::context::Cx;
use dogwoodrill::control::replica::first_state;
use dogwoodrill::control::{Control, ControlOptions};
use dogwoodrill::operator::OperatorClient;
use dogwoodrill_core::changes::Change;
use dogwoodrill_core::config::{CommittedConfig, Profile, Service, ZoneState, ZoneStatus};
use dogwoodrill_core::control_status::ControlHost;
use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_core::ids::ServiceId;
use futures_util::future::try_join_all;
use tokio_util::sync::CancellationToken;

const SERVICES: [u16; 3] = [43, 430, 4300];
const OPERATORS: [u16; 3] = [1, 8, 64];
const RUN_TIME: Duration = Duration::from_secs(2);
const IDLE_TIME: Duration = Duration::from_secs(2);
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
const PROCESS_STAT: &str = "/proc/self/stat";
/// Clock ticks per second in the process statistics of Linux.
const TICKS_PER_SECOND: f64 = 100.0;

type Failure = Box<dyn Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let folder = std::env::args()
        .nth(1)
        .map_or_else(std::env::temp_dir, PathBuf::from);
    let folder = folder.join(format!("dogwoodrill-control-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    println!("services  operators  changes/s  p50 ms  p99 ms  cpu ms/change  snapshot bytes");
    let mut measured = Ok(());
    for services in SERVICES {
        measured = measured.and(measure(&folder.join(services.to_string()), services).await);
    }
    std::fs::remove_dir_all(&folder)?;
    measured
}

async fn measure(folder: &Path, services: u16) -> Result<(), Failure> {
    let token = CancellationToken::new();
    let config = config(services)?;
    let bytes = first_state(&config).len();
    let hosts = start(folder, &config, &token).await?;
    let client = OperatorClient::new(cx(900)?, hosts, COMMAND_TIMEOUT)?;
    client.config().await?;
    let (before, began_at) = (cpu_seconds()?, Instant::now());
    tokio::time::sleep(IDLE_TIME).await;
    let share = (cpu_seconds()? - before) / began_at.elapsed().as_secs_f64();
    println!(
        "{services:>8}  idle: {:.2}% of a core for three hosts",
        share * 100.0
    );
    for operators in OPERATORS {
        let (before, began_at) = (cpu_seconds()?, Instant::now());
        let working = (0..operators).map(|n| operate(&client, n));
        let mut times: Vec<_> = try_join_all(working).await?.into_iter().flatten().collect();
        times.sort_unstable();
        let count = f64::from(u32::try_from(times.len())?);
        let at = |per_mille: usize| times[(times.len() - 1) * per_mille / 1000].as_secs_f64() * 1e3;
        println!(
            "{services:>8}  {operators:>9}  {:>9.0}  {:>6.2}  {:>6.2}  {:>13.3}  {bytes:>14}",
            count / began_at.elapsed().as_secs_f64(),
            at(500),
            at(990),
            (cpu_seconds()? - before) * 1e3 / count,
        );
    }
    token.cancel();
    Ok(())
}

/// Changes the status of a zone repeatedly, as one operator, and returns the latency of each change.
async fn operate(client: &OperatorClient, operator: u16) -> Result<Vec<Duration>, Failure> {
    let mut zone = ZoneState {
        name: format!("zone-{operator}").parse()?,
        version: client.config().await?.zones[&format!("zone-{operator}").parse()?].version,
        status: ZoneStatus::Out,
    };
    let mut times = Vec::new();
    let end = Instant::now() + RUN_TIME;
    while Instant::now() < end {
        let began_at = Instant::now();
        let id = OperatorClient::new_command_id();
        let accepted = client.apply(id, &Change::Zone(zone.clone())).await?;
        zone.version = accepted.version;
        times.push(began_at.elapsed());
    }
    Ok(times)
}

async fn start(
    folder: &Path,
    config: &CommittedConfig,
    token: &CancellationToken,
) -> Result<Vec<SocketAddr>, Failure> {
    let mut bound = Vec::new();
    for node in 1..=3 {
        let data = folder.join(node.to_string());
        let listen = "127.0.0.1:0".parse()?;
        let options = ControlOptions::single_host(listen, data, config.clone());
        bound.push((node, Control::bind(cx(node)?, options).await?));
    }
    let host = |(node, control): &(u64, Control)| ControlHost {
        node: (*node).into(),
        address: control.address(),
    };
    let hosts: Vec<_> = bound.iter().map(host).collect();
    for (node, control) in bound {
        let peers = hosts.iter().copied().filter(|h| h.node.get() != node);
        let control = control.with_peers(peers.collect());
        tokio::spawn(control.run(token.clone()));
    }
    Ok(hosts.into_iter().map(|h| h.address).collect())
}

fn config(services: u16) -> Result<CommittedConfig, Failure> {
    let profile = Profile::standard("orders".parse()?);
    let mut config = CommittedConfig::default();
    for n in 0..services {
        let [high, low] = n.to_be_bytes();
        let service = Service {
            id: ServiceId::new(n + 1),
            name: format!("service-{n}").parse()?,
            profile: profile.name.clone(),
            addresses: vec![([192, 0, high, low], 443).into()],
        };
        config.services.insert(service.id, service);
    }
    config.profiles.insert(profile.name.clone(), profile);
    for n in 0..64 {
        let zone = ZoneState {
            name: format!("zone-{n}").parse()?,
            version: 1.into(),
            status: ZoneStatus::In,
        };
        config.zones.insert(zone.name.clone(), zone);
    }
    Ok(config)
}

fn cx(node: u64) -> Result<Cx, Failure> {
    let key = ClusterKey::new(*b"a key on trial!!");
    Ok(Cx::new(node.into(), "pando".parse()?, key))
}

/// Returns the processor time used by this process, in seconds.
fn cpu_seconds() -> Result<f64, Failure> {
    let stat = std::fs::read_to_string(PROCESS_STAT)?;
    let (_, fields) = stat.rsplit_once(") ").ok_or("no process statistics")?;
    let ticks = fields.split(' ').skip(11).take(2).map(str::parse::<u32>);
    let ticks: u32 = ticks.sum::<Result<u32, _>>()?;
    Ok(f64::from(ticks) / TICKS_PER_SECOND)
}
