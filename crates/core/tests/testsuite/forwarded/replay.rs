//! Load patterns, replayed against the simulated fleet, against simpler policies, and against an upper bound.
//!
//! The fleet is the simulation with its real decisions. The simpler policies see the same calls and servers,
//! but without agents that queue or, except where stated, redirect. The bound is a single queue for all
//! servers whose next free slot is known at once, without messages between nodes. Like the others, it does
//! not know the service time of a request in advance.

#![expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};

use super::world::{Caller, Change, ORDERS_ADDRESS, Outcome, Simulation};

const MS: Duration = Duration::from_millis(1);
const BALANCERS: usize = 4;
/// Number of requests that a server queues before it bounces opening packets.
const SERVER_QUEUE: usize = 8;
/// Number of requests per slot of a server from which an agent redirects, under policies that do.
const REDIRECT_FROM_PER_SLOT: usize = 3;
const MAX_HOPS: u32 = 3;
/// Latency from a caller through a balancer and an agent to a server.
const REQUEST_LATENCY: Duration = Duration::from_micros(3_750);
/// Latency from a server back to the caller.
const RESPONSE_LATENCY: Duration = Duration::from_micros(3_050);
const HOP: Duration = Duration::from_micros(700);
/// Interval between two load reports of a server.
const REPORT_INTERVAL: Duration = Duration::from_millis(25);
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// The servers and the requests of a pattern.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    pub servers: usize,
    pub slots: usize,
    /// Mean service time of a request.
    pub mean_work: Duration,
    /// Time within which a response is on time.
    pub target: Duration,
}

impl Workload {
    /// Quick checks at a small service.
    pub const QUICK: Self = Self {
        servers: 7,
        slots: 2,
        mean_work: Duration::from_millis(15),
        target: Duration::from_millis(100),
    };
    /// Requests that take three times as long, at more and larger servers.
    pub const LONG: Self = Self {
        servers: 24,
        slots: 3,
        mean_work: Duration::from_millis(45),
        target: Duration::from_millis(300),
    };

    /// Requests per second that the servers can process.
    fn capacity(&self) -> f64 {
        (self.servers * self.slots) as f64 / self.mean_work.as_secs_f64()
    }
}

/// A call: its start, and its service time.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub at: Duration,
    pub work: Duration,
}

/// An interval in which a server is slow or accepts nothing.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub server: usize,
    pub from: Duration,
    pub to: Duration,
}

/// A load pattern to replay.
#[derive(Clone, Debug)]
pub struct Pattern {
    pub name: &'static str,
    pub workload: Workload,
    pub calls: Vec<Call>,
    /// Factors by which the service times of servers are longer, each for an interval.
    pub slow: Vec<(Span, u32)>,
    /// Intervals in which servers are draining or stopped.
    pub drained: Vec<Span>,
    /// Number of times that a refused caller retries.
    pub retries: u32,
}

/// Outcomes of the calls of a pattern.
#[derive(Clone, Copy, Debug, Default)]
pub struct Score {
    /// Share of the calls that were answered on time.
    pub in_time: f64,
    pub late: f64,
    pub refused: f64,
    /// Opening packets that reached a server, per call.
    pub offers: f64,
    /// Requests completed by the busiest server, relative to the mean.
    pub busiest: f64,
    /// Time after which half of the refused attempts were told. Zero where it is not measured.
    pub told: Duration,
}

/// Draws calls whose `rate` at a time is a share of the capacity.
fn calls(
    rng: &mut StdRng,
    workload: Workload,
    span: Duration,
    rate: impl Fn(f64) -> f64,
) -> Vec<Call> {
    let (mut at, mut calls) = (0.0, Vec::new());
    while at < span.as_secs_f64() {
        let gap: f64 = rng.random_range(1e-9..1.0);
        at += -gap.ln() / (rate(at) * workload.capacity());
        calls.push(Call {
            at: Duration::from_secs_f64(at),
            work: workload.mean_work.mul_f64(rng.random_range(0.5..1.5)),
        });
    }
    calls
}

/// Returns all patterns, drawn from a seed.
pub fn patterns(seed: u64, workload: Workload) -> Vec<Pattern> {
    let rng = &mut StdRng::seed_from_u64(seed);
    let secs = Duration::from_secs;
    let mut steady = |name, load: f64| Pattern {
        name,
        workload,
        calls: calls(rng, workload, secs(4), |_| load),
        slow: Vec::new(),
        drained: Vec::new(),
        retries: 0,
    };
    let usual = steady("0.7 of capacity", 0.7);
    let over = steady("1.2 of capacity", 1.2);
    let slow = Pattern {
        name: "a server five times as slow",
        slow: vec![(span(0, 0, 4000), 5)],
        ..steady("", 0.5)
    };
    let release = Pattern {
        name: "release one by one",
        drained: (0..3)
            .map(|n| span(n, n as u64 * 1000, n as u64 * 1000 + 800))
            .collect(),
        ..steady("", 0.5)
    };
    let scale_in = Pattern {
        name: "two servers taken away",
        drained: vec![span(0, 500, 9000), span(1, 1000, 9000)],
        ..steady("", 0.6)
    };
    let all_cold = Pattern {
        name: "all slow after a start",
        slow: (0..workload.servers)
            .map(|n| (span(n, 0, 2000), 2))
            .collect(),
        ..steady("", 0.6)
    };
    let storm = Pattern {
        name: "refused callers come back twice",
        retries: 2,
        ..steady("", 1.1)
    };
    let wave = Pattern {
        name: "wave from 0.3 to 1.1",
        calls: calls(rng, workload, secs(6), |at| 0.7 + 0.4 * at.sin()),
        ..usual.clone()
    };
    let burst = Pattern {
        name: "burst, 1.7 times 0.7 for 3 s",
        calls: calls(rng, workload, secs(6), |at| {
            let factor = if (1.0..4.0).contains(&at) { 1.7 } else { 1.0 };
            factor * 0.7
        }),
        ..usual.clone()
    };
    let mut backlog = calls(rng, workload, secs(6), |at| {
        let factor = if at < 0.3 { 6.0 } else { 1.0 };
        factor * 0.5
    });
    backlog.sort_by_key(|call| call.at);
    let power = Pattern {
        name: "backlog after a loss of power",
        calls: backlog,
        slow: (0..workload.servers)
            .map(|n| (span(n, 0, 2000), 2))
            .collect(),
        retries: 2,
        ..usual.clone()
    };
    vec![
        power, usual, over, wave, burst, slow, release, scale_in, all_cold, storm,
    ]
}

fn span(server: usize, from_ms: u64, to_ms: u64) -> Span {
    Span {
        server,
        from: Duration::from_millis(from_ms),
        to: Duration::from_millis(to_ms),
    }
}

impl Score {
    /// Share of the calls that were answered within their callers' time limit.
    pub fn answered(&self) -> f64 {
        self.in_time + self.late
    }
}

impl Span {
    fn covers(&self, server: usize, at: Duration) -> bool {
        self.server == server && (self.from..self.to).contains(&at)
    }
}

impl Pattern {
    fn factor(&self, server: usize, at: Duration) -> u32 {
        let slow = self.slow.iter().find(|(span, _)| span.covers(server, at));
        slow.map_or(1, |(_, factor)| *factor)
    }

    fn is_closed(&self, server: usize, at: Duration) -> bool {
        self.drained.iter().any(|span| span.covers(server, at))
    }

    /// Replays the pattern against the simulated fleet.
    pub fn against_fleet(&self, seed: u64) -> Score {
        let Workload {
            servers,
            slots,
            target,
            ..
        } = self.workload;
        let slots = u32::try_from(slots).unwrap();
        let mut simulation = Simulation::with_slots(seed, servers, 0, BALANCERS, slots);
        simulation.set_target(target);
        simulation.retries = self.retries;
        for call in &self.calls {
            simulation.call(call.at, ORDERS_ADDRESS, call.work);
        }
        for (span, factor) in &self.slow {
            simulation.at(span.from, Change::SlowServer(span.server, *factor));
            simulation.at(span.to, Change::SlowServer(span.server, 1));
        }
        for span in &self.drained {
            simulation.at(span.from, Change::Drain(span.server));
            simulation.at(span.to, Change::StartServer(span.server));
        }
        let before: usize = simulation.servers.iter().map(|s| s.openings.len()).sum();
        simulation.run_for(Duration::from_secs(9));
        let all = self.calls.len() as f64;
        let offers: usize = simulation.servers.iter().map(|s| s.openings.len()).sum();
        let answered = simulation.outcomes().get(&Some(Outcome::Answered)).copied();
        let in_time = simulation.served_within(target);
        let worked: Vec<_> = simulation.servers.iter().map(|s| s.worked).collect();
        let late = answered.unwrap_or(0) as f64 / all - in_time;
        let attempts = simulation.callers.values();
        let mut told: Vec<_> = attempts.filter_map(Caller::refused_after).collect();
        told.sort_unstable();
        Score {
            in_time,
            late,
            refused: 1.0 - in_time - late,
            offers: (offers - before) as f64 / all,
            busiest: busiest(&worked),
            told: told.get(told.len() / 2).copied().unwrap_or_default(),
        }
    }
}

fn busiest(worked: &[u64]) -> f64 {
    let mean = worked.iter().sum::<u64>() as f64 / worked.len() as f64;
    worked.iter().copied().max().unwrap_or(0) as f64 / mean
}

/// How a server is chosen, and whether full servers redirect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    Random,
    /// By a hash of the caller.
    Hash,
    /// The less busy of two random servers, by their last reports.
    TwoChoices,
    /// At random; the agent of a full server redirects.
    Hops,
    TwoChoicesAndHops,
}

pub const POLICIES: [Policy; 5] = [
    Policy::Random,
    Policy::Hash,
    Policy::TwoChoices,
    Policy::Hops,
    Policy::TwoChoicesAndHops,
];

impl Policy {
    const fn can_redirect(self) -> bool {
        matches!(self, Self::Hops | Self::TwoChoicesAndHops)
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Begin {
        call: usize,
        tries: u32,
    },
    Opening {
        call: usize,
        tries: u32,
        server: usize,
        hops: u32,
    },
    Request {
        call: usize,
        server: usize,
    },
    Done {
        call: usize,
        server: usize,
    },
    Report,
}

#[derive(Clone, Debug, Default)]
struct Server {
    expected: usize,
    running: usize,
    queue: VecDeque<usize>,
    worked: u64,
}

impl Server {
    fn busy(&self) -> usize {
        self.expected + self.running + self.queue.len()
    }
}

/// Simulation of servers without queueing agents, under a simpler policy.
struct PolicySimulation<'a> {
    pattern: &'a Pattern,
    policy: Policy,
    rng: StdRng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    next: u64,
    servers: Vec<Server>,
    /// Last reported number of requests of each server, and the flows that each balancer has sent since.
    reported: Vec<usize>,
    sent: Vec<Vec<usize>>,
    answered: Vec<Option<Duration>>,
    offers: u64,
}

impl Pattern {
    /// Replays the pattern against servers under a simpler policy.
    pub fn against(&self, policy: Policy, seed: u64) -> Score {
        let mut simulation = PolicySimulation {
            pattern: self,
            policy,
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            next: 0,
            servers: vec![Server::default(); self.workload.servers],
            reported: vec![0; self.workload.servers],
            sent: vec![vec![0; self.workload.servers]; BALANCERS],
            answered: vec![None; self.calls.len()],
            offers: 0,
        };
        for (call, at) in self.calls.iter().map(|c| c.at).enumerate() {
            simulation.at(at, Event::Begin { call, tries: 0 });
        }
        simulation.at(Duration::ZERO, Event::Report);
        simulation.run();
        let worked: Vec<_> = simulation.servers.iter().map(|s| s.worked).collect();
        let offers = simulation.offers;
        let answered = simulation.answered;
        self.score(&answered, offers, &worked)
    }

    fn score(&self, answered: &[Option<Duration>], offers: u64, worked: &[u64]) -> Score {
        let all = self.calls.len() as f64;
        let took = answered.iter().zip(&self.calls);
        let took: Vec<_> = took
            .filter_map(|(at, call)| Some((*at)?.saturating_sub(call.at)))
            .collect();
        let in_time = took
            .iter()
            .filter(|took| **took <= self.workload.target)
            .count() as f64
            / all;
        let late = took.len() as f64 / all - in_time;
        Score {
            in_time,
            late,
            refused: 1.0 - in_time - late,
            offers: offers as f64 / all,
            busiest: busiest(worked),
            told: Duration::ZERO,
        }
    }
}

impl PolicySimulation<'_> {
    fn at(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next, event)));
    }

    fn run(&mut self) {
        let end = Duration::from_secs(9);
        while let Some(Reverse((at, _, event))) = self.events.pop()
            && at < end
        {
            self.now = at;
            match event {
                Event::Begin { call, tries } => {
                    let server = self.choose(call);
                    let opening = Event::Opening {
                        call,
                        tries,
                        server,
                        hops: 0,
                    };
                    self.at(at + REQUEST_LATENCY, opening);
                }
                Event::Opening {
                    call,
                    tries,
                    server,
                    hops,
                } => {
                    self.opening(call, tries, server, hops);
                }
                Event::Request { call, server } => {
                    self.servers[server].expected -= 1;
                    self.servers[server].queue.push_back(call);
                    self.work(server);
                }
                Event::Done { call, server } => {
                    self.servers[server].running -= 1;
                    self.servers[server].worked += 1;
                    self.answered[call] = Some(at + RESPONSE_LATENCY);
                    self.work(server);
                }
                Event::Report => {
                    self.reported = self.servers.iter().map(Server::busy).collect();
                    self.sent = vec![vec![0; self.servers.len()]; BALANCERS];
                    self.at(at + REPORT_INTERVAL, Event::Report);
                }
            }
        }
    }

    fn available_servers(&self) -> Vec<usize> {
        let servers = 0..self.servers.len();
        let available_servers = servers.filter(|n| !self.pattern.is_closed(*n, self.now));
        available_servers.collect()
    }

    fn choose(&mut self, call: usize) -> usize {
        let (available_servers, balancer) = (self.available_servers(), call % BALANCERS);
        let chosen = match self.policy {
            Policy::Random | Policy::Hops => *available_servers.choose(&mut self.rng).unwrap(),
            Policy::Hash => {
                let hash =
                    StdRng::seed_from_u64(call as u64).random_range(0..available_servers.len());
                available_servers[hash]
            }
            Policy::TwoChoices | Policy::TwoChoicesAndHops => {
                let two = available_servers.iter().choose_multiple(&mut self.rng, 2);
                let sent = &self.sent[balancer];
                let busy = |n: &&usize| self.reported[**n] + sent[**n];
                *two.into_iter().min_by_key(busy).unwrap()
            }
        };
        self.sent[balancer][chosen] += 1;
        chosen
    }

    fn opening(&mut self, call: usize, tries: u32, server: usize, hops: u32) {
        let redirect_from = self.pattern.workload.slots * REDIRECT_FROM_PER_SLOT;
        let full = self.servers[server].busy() >= redirect_from;
        if self.policy.can_redirect() && full && hops < MAX_HOPS {
            let available_servers = self
                .available_servers()
                .into_iter()
                .filter(|n| *n != server);
            let least = available_servers.min_by_key(|n| self.reported[*n]);
            if let Some(server) = least.filter(|n| self.reported[*n] < redirect_from) {
                let hops = hops + 1;
                let opening = Event::Opening {
                    call,
                    tries,
                    server,
                    hops,
                };
                self.at(self.now + HOP, opening);
                return;
            }
        }
        self.offers += 1;
        if self.servers[server].queue.len() >= SERVER_QUEUE {
            if tries < self.pattern.retries {
                let again = Event::Begin {
                    call,
                    tries: tries + 1,
                };
                self.at(self.now + RESPONSE_LATENCY + RETRY_DELAY, again);
            }
            return;
        }
        self.servers[server].expected += 1;
        self.at(
            self.now + RESPONSE_LATENCY + REQUEST_LATENCY,
            Event::Request { call, server },
        );
    }

    fn work(&mut self, server: usize) {
        let factor = self.pattern.factor(server, self.now);
        while self.servers[server].running < self.pattern.workload.slots
            && let Some(call) = self.servers[server].queue.pop_front()
        {
            self.servers[server].running += 1;
            let work = self.pattern.calls[call].work * factor;
            self.at(self.now + work, Event::Done { call, server });
        }
    }
}

impl Pattern {
    /// Replays the pattern against a single queue for all servers. The newest call that can still be on time
    /// is processed next, by the fastest server; calls that cannot be on time are refused.
    pub fn bound(&self) -> Score {
        let Workload {
            servers,
            slots,
            mean_work,
            target,
        } = self.workload;
        let mut free_at = vec![vec![Duration::ZERO; slots]; servers];
        let ready = |call: usize| {
            self.calls[call].at + REQUEST_LATENCY + RESPONSE_LATENCY + REQUEST_LATENCY
        };
        let (mut queued, mut answered) = (Vec::new(), vec![None; self.calls.len()]);
        let (mut next, mut worked, mut offers) = (0, vec![0; servers], 0);
        loop {
            let begun = next < self.calls.len();
            let slots = free_at.iter().enumerate();
            let slots = slots.flat_map(|(n, slots)| slots.iter().map(move |at| (*at, n)));
            let Some((free, _)) = slots.clone().min() else {
                unreachable!("there are servers");
            };
            // The next time at which a call can start: a slot is free and a call is queued.
            let now = match (queued.is_empty(), begun) {
                (true, false) => break,
                (true, true) => free.max(ready(next)),
                (false, _) => free,
            };
            while next < self.calls.len() && ready(next) <= now {
                queued.push(next);
                next += 1;
            }
            let can_be_on_time = |call: &usize, factor: u32| {
                now + mean_work * factor + RESPONSE_LATENCY <= self.calls[*call].at + target
            };
            queued.retain(|call| can_be_on_time(call, 1));
            let available = slots.filter(|(at, n)| *at <= now && !self.is_closed(*n, now));
            let Some((_, server)) = available.min_by_key(|(_, n)| self.factor(*n, now)) else {
                // A closed server frees none of its slots.
                for (n, slots) in free_at.iter_mut().enumerate() {
                    if self.is_closed(n, now) {
                        for at in slots.iter_mut() {
                            *at = (*at).max(now + MS);
                        }
                    }
                }
                continue;
            };
            let factor = self.factor(server, now);
            let slot = free_at[server].iter_mut().min().unwrap();
            let newest = queued.iter().rposition(|call| can_be_on_time(call, factor));
            let Some(at) = newest else {
                *slot = (*slot).max(now + MS);
                continue;
            };
            let call = queued.remove(at);
            let done = now + self.calls[call].work * factor;
            *slot = done;
            answered[call] = Some(done + RESPONSE_LATENCY);
            worked[server] += 1;
            offers += 1;
        }
        self.score(&answered, offers, &worked)
    }
}
