//! What happens to processes, connections, servers and zones: drawn in series that overlap.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fleet::Fleet;
use crate::network::{AGENTS, Host, Network, Spoil, agents, balancers, controls};
use crate::operator::Operator;
use crate::servers::Server;

/// Pause between two faults.
const GAP_MS: std::ops::Range<u64> = 200..1500;
/// How long a fault lasts.
const SPAN_MS: std::ops::Range<u64> = 100..3000;
const DELAY: Duration = Duration::from_millis(150);
/// Time after which the loss of one control disk is made up for, and another may be lost.
const DISK_GAP: Duration = Duration::from_secs(10);
/// Time for a process that is asked to stop, before it is killed.
const GRACE: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(Host),
    Restart(Host),
    Freeze(Host),
    KillAll(Role),
    /// A host with its agent and its server.
    LosePower(usize),
    LoseAllPower,
    CrashServer(usize),
    ReplaceServer(usize),
    /// Datagrams from one host to another, or both ways.
    Way(Host, Host, Spoil, bool),
    /// Datagrams from and to all others.
    CutOff(Host),
    /// Connections to a control host.
    Connections(Host, Spoil),
    WipeDisk(Host),
    SpoilSettings(Host),
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

fn draw(rng: &mut StdRng) -> Fault {
    let all = 1..=*agents().end();
    let any = all.clone().choose(rng).unwrap_or(1);
    let other = all.filter(|h| *h != any).choose(rng).unwrap_or(2);
    let control = controls().choose(rng).unwrap_or(1);
    let server = rng.random_range(0..usize::from(AGENTS));
    let spoils = [Spoil::Silence, Spoil::Delay(DELAY), Spoil::Reset];
    let spoil = *spoils.choose(rng).unwrap_or(&Spoil::Silence);
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
        64..74 => Fault::Way(any, other, spoil, rng.random()),
        74..80 => Fault::CutOff(any),
        80..88 => Fault::Connections(control, spoil),
        88..92 => Fault::WipeDisk(control),
        92..96 => Fault::SpoilSettings(any),
        _ => Fault::Evacuate(rng.random_range(0..3)),
    }
}

struct Hands {
    network: Arc<Network>,
    fleet: Arc<Fleet>,
    servers: Vec<Arc<Server>>,
    operator: Arc<Operator>,
}

/// Injects faults for `span`, and ends them all.
pub async fn inject(
    mut rng: StdRng,
    span: Duration,
    network: &Arc<Network>,
    fleet: &Arc<Fleet>,
    servers: &[Arc<Server>],
    operator: &Arc<Operator>,
) {
    let hands = Arc::new(Hands {
        network: Arc::clone(network),
        fleet: Arc::clone(fleet),
        servers: servers.to_vec(),
        operator: Arc::clone(operator),
    });
    let (mut tasks, until) = (JoinSet::new(), Instant::now() + span);
    let mut disk_lost_at: Option<Instant> = None;
    while Instant::now() < until {
        let fault = draw(&mut rng);
        let lasts = Duration::from_millis(rng.random_range(SPAN_MS));
        let own = StdRng::from_rng(&mut rng);
        let pause = Duration::from_millis(rng.random_range(GAP_MS));
        if matches!(fault, Fault::WipeDisk(_)) {
            if disk_lost_at.is_some_and(|at| at.elapsed() < DISK_GAP) {
                continue;
            }
            disk_lost_at = Some(Instant::now());
        }
        hands.fleet.check();
        hands
            .fleet
            .checker()
            .on_fault(&format!("{fault:?} for {lasts:?}"));
        tasks.spawn(Arc::clone(&hands).carry_out(fault, lasts, own));
        sleep(pause).await;
    }
    while tasks.join_next().await.is_some() {}
    hands.heal().await;
}

impl Hands {
    async fn carry_out(self: Arc<Self>, fault: Fault, lasts: Duration, rng: StdRng) {
        match fault {
            Fault::Kill(host) => {
                self.fleet.kill(host);
                sleep(lasts / 2).await;
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
                sleep(lasts).await;
                self.fleet.signal(host, Signal::SIGCONT);
            }
            Fault::KillAll(role) => self.restart_all(role.hosts(), lasts / 4).await,
            Fault::LosePower(n) => {
                let server = &self.servers[n];
                server.crash();
                self.restart_all(server.host()..=server.host(), lasts / 2)
                    .await;
                self.start_server(n).await;
            }
            Fault::LoseAllPower => {
                for server in &self.servers {
                    server.crash();
                }
                self.restart_all(1..=*agents().end(), lasts / 2).await;
                for n in 0..self.servers.len() {
                    self.start_server(n).await;
                }
            }
            Fault::CrashServer(n) => {
                self.servers[n].crash();
                sleep(lasts).await;
                self.start_server(n).await;
            }
            Fault::ReplaceServer(n) => {
                self.servers[n].leave().await;
                self.start_server(n).await;
            }
            Fault::Way(a, b, spoil, both) => {
                let back = both.then_some((b, a));
                let ways: Vec<_> = [(a, b)].into_iter().chain(back).collect();
                self.spoil_ways(&ways, spoil, lasts).await;
            }
            Fault::CutOff(host) => {
                let others = (1..=*agents().end()).filter(|h| *h != host);
                let ways = others.flat_map(|other| [(host, other), (other, host)]);
                let ways: Vec<_> = ways.collect();
                self.spoil_ways(&ways, Spoil::Silence, lasts).await;
            }
            Fault::Connections(host, spoil) => {
                self.network.spoil_connections(host, Some(spoil));
                sleep(lasts).await;
                self.network.spoil_connections(host, None);
            }
            Fault::WipeDisk(host) => {
                self.fleet.kill(host);
                self.note(self.fleet.wipe(host));
                sleep(lasts / 4).await;
                self.start(host);
            }
            Fault::SpoilSettings(host) => {
                self.note(self.fleet.spoil_settings(host));
                self.fleet.signal(host, Signal::SIGHUP);
                sleep(lasts).await;
                self.note(self.fleet.write_settings(host, false));
                self.fleet.signal(host, Signal::SIGHUP);
            }
            Fault::Evacuate(n) => {
                let zone = ["north", "middle", "south"][n];
                self.operator.evacuate(rng, zone, lasts).await;
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

    async fn spoil_ways(&self, ways: &[(Host, Host)], spoil: Spoil, lasts: Duration) {
        for (from, to) in ways {
            self.network.spoil_way(*from, *to, Some(spoil));
        }
        sleep(lasts).await;
        for (from, to) in ways {
            self.network.spoil_way(*from, *to, None);
        }
    }

    fn start(&self, host: Host) {
        self.note(self.fleet.start_one(host));
    }

    async fn start_server(&self, n: usize) {
        let started = self.servers[n].start().await;
        self.note(started);
    }

    /// What the host refuses the soak spoils the run, so it is a finding too.
    fn note(&self, done: std::io::Result<()>) {
        if let Err(e) = done {
            self.fleet
                .checker()
                .find(format!("the soak itself failed: {e}"));
        }
    }

    /// Everything runs, and nothing is spoilt.
    async fn heal(&self) {
        self.network.heal();
        for host in 1..=*agents().end() {
            self.fleet.signal(host, Signal::SIGCONT);
            self.start(host);
        }
        for n in 0..self.servers.len() {
            self.start_server(n).await;
        }
    }
}
