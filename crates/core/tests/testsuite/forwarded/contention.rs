//! Replays of urgent and less urgent requests that compete for the servers of one service, at the size of a deployment:
//! reports that are as old as there, a balancer's share of all choices, and callers that return as soon as they are
//! refused.

#![expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]

use std::collections::BTreeSet;
use std::f64::consts::TAU;
use std::fmt::{self, Display, Formatter};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::packet::FlowKey;
use dogwoodrill_core::forwarded::service_map::{RequestPolicy, ServiceMap};
use dogwoodrill_core::ids::LogIndex;
use rand::Rng;

use super::world::{Caller, Change, ORDERS, Outcome, Simulation, map, route, zone};

const MS: Duration = Duration::from_millis(1);
/// Number of times that a refused caller retries.
const RETRIES: u16 = 2;
/// Distance between the ports of a call's attempts.
const RETRY_PORT_STEP: u16 = 20_000;
/// Number of hosts that callers share.
const CALLER_HOSTS: u16 = 1192;
const CONTROL_HOSTS: usize = 5;
/// Length of the windows in which the shares are compared.
const WINDOW: Duration = Duration::from_secs(2);
const LENGTH: Duration = Duration::from_secs(8);
/// When more entries arrive, as offsets from the start.
const BURST: std::ops::Range<f64> = 2.0..5.0;
const ZONE_OUT_AT: Duration = Duration::from_secs(1);
const ZONE_OUT_FOR: Duration = Duration::from_secs(5);

/// A kind of requests.
#[derive(Clone, Copy, Debug)]
struct Kind {
    address: SocketAddrV4,
    mean_work: Duration,
    policy: RequestPolicy,
}

/// Frequent lookups.
const LOOKUP: Kind = Kind {
    address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 11), 443),
    mean_work: Duration::from_millis(30),
    policy: RequestPolicy {
        target: Duration::from_millis(250),
        timeout: Duration::from_millis(1500),
        priority: 2,
    },
};

/// Entries, which are more urgent.
const ENTRY: Kind = Kind {
    address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 12), 443),
    mean_work: Duration::from_millis(39),
    policy: RequestPolicy {
        target: Duration::from_millis(300),
        timeout: Duration::from_millis(1500),
        priority: 1,
    },
};

/// Number of slots of a server.
pub const SLOTS: u32 = 2;

/// A load pattern.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub servers: usize,
    pub balancers: usize,
    /// Lookups per second.
    pub lookups: f64,
    /// Entries per second.
    pub entries: f64,
    /// Factor by which there are more entries during the burst.
    pub burst: f64,
    pub is_zone_out: bool,
    /// Whether all servers have just started and callers of an outage return.
    pub is_restart: bool,
    /// Speeds of the servers in turn, relative to the nominal one.
    pub speeds: [f64; 4],
    /// Number of times that a refused caller retries, 1 ms after the refusal.
    pub retries: u16,
}

/// 43 servers at 0.7 of their capacity.
pub const USUAL: Scenario = Scenario {
    servers: 43,
    balancers: 20,
    lookups: 1444.0,
    entries: 413.0,
    burst: 1.0,
    is_zone_out: false,
    is_restart: false,
    speeds: [1.0; 4],
    retries: RETRIES,
};

/// Shares of calls by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shares {
    /// Answered within the target latency.
    pub in_time: f64,
    /// Answered later, within the caller's time limit.
    pub late: f64,
    pub failed: f64,
}

/// Outcome of a replay.
#[derive(Clone, Debug, Default)]
pub struct Replayed {
    /// Share of all calls that were answered within their callers' time limit.
    pub answered: f64,
    /// The same in the worst window.
    pub worst_window: f64,
    /// Times after which refused attempts were told, in order.
    pub refused_after: Vec<Duration>,
    pub lookups: Shares,
    pub entries: Shares,
    pub median_lookup: Duration,
    /// Requests of the busiest server relative to the mean.
    pub busiest: f64,
    /// Attempts per call.
    pub attempts: f64,
    /// Number of violations of invariants.
    pub violations: u32,
    /// Heartbeats and offers of slots that agents sent per second.
    pub heartbeats: f64,
    pub offers: f64,
}

impl Display for Replayed {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let told = [0.5, 0.9].map(|share| self.told_within(share));
        write!(
            f,
            "answered {}, in the worst window {}; lookups {:?}, entries {:?}; told within {told:?}; busiest {}, {} attempts, \
             {} offers",
            self.answered,
            self.worst_window,
            self.lookups,
            self.entries,
            self.busiest,
            self.attempts,
            self.offers
        )
    }
}

impl Replayed {
    /// Time within which this share of the refused attempts were told; zero if none was refused.
    pub fn told_within(&self, share: f64) -> Duration {
        let last = self.refused_after.len().saturating_sub(1) as f64;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "an index of the list"
        )]
        let at = (last * share) as usize;
        self.refused_after.get(at).copied().unwrap_or_default()
    }
}

impl Scenario {
    /// Returns the scenario with `factor` times as many calls.
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            lookups: self.lookups * factor,
            entries: self.entries * factor,
            ..self
        }
    }

    /// Share of the calls of the worst window that the servers could process in it.
    pub fn bound(&self) -> f64 {
        let servers = if self.is_zone_out {
            (0..self.servers).filter(|n| n % 3 != 2).count()
        } else {
            self.servers
        };
        let speed = self.speeds.iter().sum::<f64>() / self.speeds.len() as f64;
        let capacity = servers as f64 * f64::from(SLOTS) * speed;
        let entries = self.entries * self.burst;
        let left = capacity - entries * ENTRY.mean_work.as_secs_f64();
        let lookups = (left / LOOKUP.mean_work.as_secs_f64()).min(self.lookups);
        (lookups + entries) / (self.lookups + entries)
    }

    /// Replays the scenario against the simulated fleet.
    pub fn replay(&self, seed: u64) -> Replayed {
        let mut simulation = Simulation::with_slots(seed, self.servers, 0, self.balancers, SLOTS);
        // As agents announce their load at this number of nodes.
        let nodes = self.servers + self.balancers + CONTROL_HOSTS;
        simulation.load_report_interval = 2 * MS * u32::try_from(nodes).unwrap();
        simulation.retries = self.retries.into();
        simulation.retry_delay = MS;
        for (server, speed) in simulation
            .servers
            .iter_mut()
            .zip(self.speeds.iter().cycle())
        {
            server.speed = *speed;
        }
        let config = config(&simulation);
        simulation.set_map(config.clone());
        simulation.run_for(500 * MS);
        let start = simulation.now;
        let worked: Vec<_> = simulation.servers.iter().map(|s| s.worked).collect();
        let (heartbeats, offers) = (simulation.agent_heartbeats, simulation.slot_offers);
        let calls = self.add_calls(&mut simulation);
        if self.is_restart {
            for n in 0..self.servers {
                simulation.at(Duration::ZERO, Change::StartServer(n));
            }
        }
        if self.is_zone_out {
            take_zone_out(&mut simulation, config);
        }
        let end = start + LENGTH + ENTRY.policy.timeout;
        simulation.run_for(end - simulation.now);
        let seconds = (end - start).as_secs_f64();
        let worked = simulation.servers.iter().zip(worked);
        let worked: Vec<_> = worked.map(|(s, before)| s.worked - before).collect();
        Replayed {
            busiest: busiest(&worked),
            violations: simulation.violations.values().sum(),
            heartbeats: (simulation.agent_heartbeats - heartbeats) as f64 / seconds,
            offers: (simulation.slot_offers - offers) as f64 / seconds,
            ..score(&simulation, start, &calls)
        }
    }

    fn add_calls(&self, simulation: &mut Simulation) -> Vec<(FlowKey, Kind)> {
        let mut calls = Vec::new();
        let mut callers = BTreeSet::new();
        for (kind, rate) in [(LOOKUP, self.lookups), (ENTRY, self.entries)] {
            let mut at = 0.0;
            while at < LENGTH.as_secs_f64() {
                let is_burst = kind.address == ENTRY.address && BURST.contains(&at);
                let is_backlog = self.is_restart && at < 0.3;
                let factor = if is_burst { self.burst } else { 1.0 };
                let factor = factor * if is_backlog { 5.0 } else { 1.0 };
                let gap: f64 = simulation.rng.random_range(1e-9..1.0);
                at += -gap.ln() / (rate * factor);
                let work = lognormal(&mut simulation.rng, kind.mean_work);
                let caller = unused_caller(&mut simulation.rng, &mut callers);
                let after = Duration::from_secs_f64(at);
                let flow = simulation.call_from(caller, after, kind.address, work);
                calls.push((flow, kind));
            }
        }
        calls
    }
}

fn config(simulation: &Simulation) -> ServiceMap {
    let mut config = map(simulation.map.index.get() + 1, None);
    let table = config.table.as_mut().map(Arc::make_mut).unwrap();
    for kind in [LOOKUP, ENTRY] {
        let mut route = route(ORDERS);
        route.policy = kind.policy;
        table.routes.insert(kind.address, route);
    }
    config
}

fn take_zone_out(simulation: &mut Simulation, mut config: ServiceMap) {
    simulation.run_for(ZONE_OUT_AT);
    config.index = LogIndex::new(config.index.get() + 1);
    config.zones_out.insert(zone(2));
    simulation.set_map(config.clone());
    simulation.run_for(ZONE_OUT_FOR);
    config.index = LogIndex::new(config.index.get() + 1);
    config.zones_out.clear();
    simulation.set_map(config);
}

/// Draws a service time whose deviation is half of its mean.
fn lognormal(rng: &mut impl Rng, mean: Duration) -> Duration {
    let (u, v): (f64, f64) = (rng.random_range(1e-9..1.0), rng.random());
    let normal = (-2.0 * u.ln()).sqrt() * (v * TAU).cos();
    let variance = 1.25_f64.ln();
    mean.mul_f64((variance.sqrt() * normal - variance / 2.0).exp())
}

fn unused_caller(rng: &mut impl Rng, used: &mut BTreeSet<SocketAddrV4>) -> SocketAddrV4 {
    loop {
        let [high, low] = rng.random_range(0..CALLER_HOSTS).to_be_bytes();
        let port = rng.random_range(1000..RETRY_PORT_STEP);
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 65, high, low), port);
        if used.insert(caller) {
            return caller;
        }
    }
}

fn busiest(worked: &[u64]) -> f64 {
    let mean = worked.iter().sum::<u64>() as f64 / worked.len() as f64;
    worked.iter().copied().max().unwrap_or(0) as f64 / mean
}

/// When a call was answered, by one of its attempts.
fn answered_at(simulation: &Simulation, first: FlowKey) -> Option<Instant> {
    (0..=RETRIES).find_map(|attempt| {
        let port = first.caller.port() + attempt * RETRY_PORT_STEP;
        let caller = SocketAddrV4::new(*first.caller.ip(), port);
        let flow = FlowKey { caller, ..first };
        let caller = simulation.callers.get(&flow)?;
        (caller.outcome == Some(Outcome::Answered)).then_some(caller.answered_at)?
    })
}

fn score(simulation: &Simulation, start: Instant, calls: &[(FlowKey, Kind)]) -> Replayed {
    let mut replayed = Replayed::default();
    let mut windows: Vec<(f64, f64)> = Vec::new();
    let mut lookup_times = Vec::new();
    for (flow, kind) in calls {
        let started_at = simulation.callers[flow].started_at;
        let took = answered_at(simulation, *flow).map(|at| at - started_at);
        let is_lookup = kind.address == LOOKUP.address;
        let shares = if is_lookup {
            &mut replayed.lookups
        } else {
            &mut replayed.entries
        };
        match took {
            Some(took) if took <= kind.policy.target => shares.in_time += 1.0,
            Some(_) => shares.late += 1.0,
            None => shares.failed += 1.0,
        }
        if is_lookup {
            lookup_times.extend(took);
        }
        let window = (started_at - start).as_millis() / WINDOW.as_millis();
        let window = usize::try_from(window).unwrap();
        windows.resize(windows.len().max(window + 1), (0.0, 0.0));
        windows[window].0 += f64::from(u8::from(took.is_some()));
        windows[window].1 += 1.0;
    }
    for shares in [&mut replayed.lookups, &mut replayed.entries] {
        let all = shares.in_time + shares.late + shares.failed;
        shares.in_time /= all;
        shares.late /= all;
        shares.failed /= all;
    }
    lookup_times.sort_unstable();
    replayed.median_lookup = lookup_times[lookup_times.len() / 2];
    let answered: f64 = windows.iter().map(|w| w.0).sum();
    replayed.answered = answered / calls.len() as f64;
    let shares = windows.iter().map(|w| w.0 / w.1);
    replayed.worst_window = shares.fold(1.0, f64::min);
    let attempts = simulation.callers.values();
    let attempts = attempts.filter(|c| c.started_at >= start);
    replayed.attempts = attempts.clone().count() as f64 / calls.len() as f64;
    replayed.refused_after = attempts.filter_map(Caller::refused_after).collect();
    replayed.refused_after.sort_unstable();
    replayed
}
