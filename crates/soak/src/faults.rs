//! Draws and injects faults of processes, connections, servers and zones; several may overlap in time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fleet::Fleet;
use crate::network::{AGENTS, Host, Impairment, Network, agents, balancers, controls};
use crate::operator::Operator;
use crate::servers::Server;

/// Time between the starts of two faults, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 200..1500;
/// Duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 100..3000;
const DELAY: Duration = Duration::from_millis(150);
/// Time within which the control hosts recover from the loss of one disk, so that another may be lost.
const DISK_LOSS_INTERVAL: Duration = Duration::from_secs(10);
/// Time between SIGTERM and SIGKILL when a process is stopped.
const GRACE: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(Host),
    Restart(Host),
    Freeze(Host),
    KillAll(Role),
    /// Ends the agent and the server of one host at once.
    LosePower(usize),
    LoseAllPower,
    CrashServer(usize),
    ReplaceServer(usize),
    /// Impairs datagrams from one host to another, or in both directions.
    Link(Host, Host, Impairment, bool),
    /// Drops datagrams from and to all other hosts.
    Isolate(Host),
    /// Impairs connections to a control host.
    Connections(Host, Impairment),
    WipeDisk(Host),
    CorruptSettings(Host),
    Evacuate(usize),
}

#[derive(Clone, Copy, Debug)]
enum Role {
    Controls,
    Balancers,
    Agents,
}

impl Role {
    fn hosts(self) -> std::ops::RangeInclusive<Host> {
        match self {
            Self::Controls => controls(),
            Self::Balancers => balancers(),
            Self::Agents => agents(),
        }
    }
}

fn draw_fault(rng: &mut StdRng) -> Fault {
    let all = 1..=*agents().end();
    let any = all.clone().choose(rng).unwrap_or(1);
    let other = all.filter(|h| *h != any).choose(rng).unwrap_or(2);
    let control = controls().choose(rng).unwrap_or(1);
    let server = rng.random_range(0..usize::from(AGENTS));
    let impairments = [
        Impairment::Blackhole,
        Impairment::Delay(DELAY),
        Impairment::Reset,
    ];
    let impairment = *impairments.choose(rng).unwrap_or(&Impairment::Blackhole);
    match rng.random_range(0..100) {
        0..12 => Fault::Kill(any),
        12..24 => Fault::Restart(any),
        24..34 => Fault::Freeze(any),
        34..37 => Fault::KillAll(Role::Controls),
        37..40 => Fault::KillAll(Role::Balancers),
        40..43 => Fault::KillAll(Role::Agents),
        43..49 => Fault::LosePower(server),
        49..51 => Fault::LoseAllPower,
        51..57 => Fault::CrashServer(server),
        57..64 => Fault::ReplaceServer(server),
        64..74 => Fault::Link(any, other, impairment, rng.random()),
        74..80 => Fault::Isolate(any),
        80..88 => Fault::Connections(control, impairment),
        88..92 => Fault::WipeDisk(control),
        92..96 => Fault::CorruptSettings(any),
        _ => Fault::Evacuate(rng.random_range(0..3)),
    }
}

struct Injector {
    network: Arc<Network>,
    fleet: Arc<Fleet>,
    servers: Vec<Arc<Server>>,
    operator: Arc<Operator>,
}

/// Starts new faults during `injection_time`, waits until they have ended, and restores normal operation.
pub async fn inject(
    mut rng: StdRng,
    injection_time: Duration,
    network: &Arc<Network>,
    fleet: &Arc<Fleet>,
    servers: &[Arc<Server>],
    operator: &Arc<Operator>,
) {
    let injector = Arc::new(Injector {
        network: Arc::clone(network),
        fleet: Arc::clone(fleet),
        servers: servers.to_vec(),
        operator: Arc::clone(operator),
    });
    let (mut tasks, until) = (JoinSet::new(), Instant::now() + injection_time);
    let mut disk_lost_at: Option<Instant> = None;
    while Instant::now() < until {
        let fault = draw_fault(&mut rng);
        let duration = Duration::from_millis(rng.random_range(DURATION_MS));
        let fault_rng = StdRng::from_rng(&mut rng);
        let interval = Duration::from_millis(rng.random_range(INTERVAL_MS));
        if matches!(fault, Fault::WipeDisk(_)) {
            if disk_lost_at.is_some_and(|at| at.elapsed() < DISK_LOSS_INTERVAL) {
                continue;
            }
            disk_lost_at = Some(Instant::now());
        }
        injector.fleet.check_exits();
        injector
            .fleet
            .checker()
            .on_fault(&format!("{fault:?} for {duration:?}"));
        tasks.spawn(Arc::clone(&injector).apply(fault, duration, fault_rng));
        sleep(interval).await;
    }
    while tasks.join_next().await.is_some() {}
    injector.restore_all().await;
}

impl Injector {
    async fn apply(self: Arc<Self>, fault: Fault, duration: Duration, rng: StdRng) {
        match fault {
            Fault::Kill(host) => {
                self.fleet.kill(host);
                sleep(duration / 2).await;
                self.start(host);
            }
            Fault::Restart(host) => {
                self.fleet.signal(host, Signal::SIGTERM);
                sleep(GRACE).await;
                self.fleet.kill(host);
                self.start(host);
            }
            Fault::Freeze(host) => {
                self.fleet.signal(host, Signal::SIGSTOP);
                sleep(duration).await;
                self.fleet.signal(host, Signal::SIGCONT);
            }
            Fault::KillAll(role) => self.restart_all(role.hosts(), duration / 4).await,
            Fault::LosePower(n) => {
                let server = &self.servers[n];
                server.crash();
                self.restart_all(server.host()..=server.host(), duration / 2)
                    .await;
                self.start_server(n).await;
            }
            Fault::LoseAllPower => {
                for server in &self.servers {
                    server.crash();
                }
                self.restart_all(1..=*agents().end(), duration / 2).await;
                for n in 0..self.servers.len() {
                    self.start_server(n).await;
                }
            }
            Fault::CrashServer(n) => {
                self.servers[n].crash();
                sleep(duration).await;
                self.start_server(n).await;
            }
            Fault::ReplaceServer(n) => {
                self.servers[n].leave().await;
                self.start_server(n).await;
            }
            Fault::Link(a, b, impairment, both) => {
                let back = both.then_some((b, a));
                let links: Vec<_> = [(a, b)].into_iter().chain(back).collect();
                self.impair_links(&links, impairment, duration).await;
            }
            Fault::Isolate(host) => {
                let others = (1..=*agents().end()).filter(|h| *h != host);
                let links = others.flat_map(|other| [(host, other), (other, host)]);
                let links: Vec<_> = links.collect();
                self.impair_links(&links, Impairment::Blackhole, duration)
                    .await;
            }
            Fault::Connections(host, impairment) => {
                self.network.impair_connections(host, Some(impairment));
                sleep(duration).await;
                self.network.impair_connections(host, None);
            }
            Fault::WipeDisk(host) => {
                self.fleet.kill(host);
                self.record_error(self.fleet.wipe_data(host));
                sleep(duration / 4).await;
                self.start(host);
            }
            Fault::CorruptSettings(host) => {
                self.record_error(self.fleet.corrupt_settings(host));
                self.fleet.signal(host, Signal::SIGHUP);
                sleep(duration).await;
                self.record_error(self.fleet.write_settings(host, false));
                self.fleet.signal(host, Signal::SIGHUP);
            }
            Fault::Evacuate(n) => {
                let zone = ["north", "middle", "south"][n];
                self.operator.evacuate(rng, zone, duration).await;
            }
        }
    }

    async fn restart_all(&self, hosts: std::ops::RangeInclusive<Host>, after: Duration) {
        for host in hosts.clone() {
            self.fleet.kill(host);
        }
        sleep(after).await;
        for host in hosts {
            self.start(host);
        }
    }

    async fn impair_links(
        &self,
        links: &[(Host, Host)],
        impairment: Impairment,
        duration: Duration,
    ) {
        for (from, to) in links {
            self.network.impair_link(*from, *to, Some(impairment));
        }
        sleep(duration).await;
        for (from, to) in links {
            self.network.impair_link(*from, *to, None);
        }
    }

    fn start(&self, host: Host) {
        self.record_error(self.fleet.start_process(host));
    }

    async fn start_server(&self, n: usize) {
        let started = self.servers[n].start().await;
        self.record_error(started);
    }

    /// Records an error of the soak test itself as a finding, since it invalidates the run.
    fn record_error(&self, done: std::io::Result<()>) {
        if let Err(e) = done {
            self.fleet
                .checker()
                .add_finding(format!("the soak test itself failed: {e}"));
        }
    }

    /// Removes all impairments, resumes paused processes and starts whatever is not running.
    async fn restore_all(&self) {
        self.network.clear_impairments();
        for host in 1..=*agents().end() {
            self.fleet.signal(host, Signal::SIGCONT);
            self.start(host);
        }
        for n in 0..self.servers.len() {
            self.start_server(n).await;
        }
    }
}
