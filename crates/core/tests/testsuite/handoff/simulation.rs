//! A simulation of requests at seven servers, in steps of a tenth of a millisecond of simulated time.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::{Duration, Instant};

use dogwoodrill_core::admission::{Admission, AdmissionSettings, Arrival, Decision, Event, Ticket};
use dogwoodrill_core::config::Priority;
use dogwoodrill_core::handoff::{PeerLoad, Peers, RequiredCapacity, Scope};
use dogwoodrill_core::ids::{AvailabilityZone, BackendServerId, Incarnation, Sequence};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SERVERS: u32 = 7;
const SLOTS: u32 = 2;
const ZONES: [&str; 3] = ["las-piedras", "pando", "santa-lucia"];
const STEP: Duration = Duration::from_micros(100);
const STEPS: u32 = 200_000;
/// One-way delay between two agents of a zone, in steps: 0.3 ms.
const NEAR: u32 = 3;
/// One-way delay between two zones, in steps: 1.5 ms.
const FAR: u32 = 15;
/// Mean duration of a request, in steps.
const SERVICE_STEPS: f64 = 200.0;
const LOAD: f64 = 0.7;
/// Steps between two periodic exchanges of load reports.
const REPORT_STEPS: u32 = 5_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Method {
    /// A request stays at the server where its flow ends.
    Rendezvous,
    /// A request that would wait is handed off to a peer with capacity.
    HandOff,
}

pub struct Outcome {
    pub longest_unfair: Duration,
    waits: Vec<u32>,
    handed_off: u32,
    requests: u32,
    messages: u32,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        let p99 = waits.get(waits.len() * 99 / 100).copied().unwrap_or(0);
        write!(
            f,
            "{} requests, {} handed off, {} load messages, p99 wait {:.1} ms, queue while a peer is idle at most {:.1} ms",
            self.requests,
            self.handed_off,
            self.messages,
            f64::from(p99) / 10.0,
            self.longest_unfair.as_secs_f64() * 1_000.0,
        )
    }
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Load(PeerLoad),
    QueryLoad(u32),
    Offer(usize, Ticket),
}

struct Server {
    zone: AvailabilityZone,
    admission: Admission,
    peers: Peers,
    sequence: Sequence,
    queued: bool,
    in_flight: u32,
    /// Requests in the queue, with their time of arrival in steps.
    waiting: BTreeMap<Ticket, u32>,
    unfair_since: Option<u32>,
}

struct Simulation {
    method: Method,
    start: Instant,
    step: u32,
    rng: StdRng,
    servers: Vec<Server>,
    ends: BTreeMap<u32, Vec<(usize, Ticket)>>,
    in_transit: BTreeMap<u32, VecDeque<(usize, Message)>>,
    outcome: Outcome,
}

pub fn simulate(method: Method, seed: u64) -> Outcome {
    let start = Instant::now();
    let settings = AdmissionSettings {
        slots: SLOTS,
        queue_limit: 1_000,
        cold_start: Duration::ZERO,
    };
    let server = |n: u32| {
        let zone: AvailabilityZone = ZONES[n as usize % ZONES.len()].parse().unwrap();
        Server {
            admission: Admission::new(start, settings),
            peers: Peers::new(zone.clone()),
            zone,
            sequence: Sequence::default(),
            queued: false,
            in_flight: 0,
            waiting: BTreeMap::new(),
            unfair_since: None,
        }
    };
    let mut sim = Simulation {
        method,
        start,
        step: 0,
        rng: StdRng::seed_from_u64(seed),
        servers: (0..SERVERS).map(server).collect(),
        ends: BTreeMap::new(),
        in_transit: BTreeMap::new(),
        outcome: Outcome {
            longest_unfair: Duration::ZERO,
            waits: Vec::new(),
            handed_off: 0,
            requests: 0,
            messages: 0,
        },
    };
    for _ in 0..STEPS {
        sim.advance();
    }
    sim.outcome
}

impl Simulation {
    fn now(&self) -> Instant {
        self.start + STEP * self.step
    }

    fn advance(&mut self) {
        self.step += 1;
        for (at, ticket) in self.ends.remove(&self.step).unwrap_or_default() {
            let now = self.now();
            let events = self.servers[at].admission.on_completed(now, ticket);
            self.run_admitted(at, events);
        }
        for (at, message) in self.in_transit.remove(&self.step).unwrap_or_default() {
            self.receive(at, message);
        }
        let arrivals = LOAD * f64::from(SERVERS * SLOTS) / SERVICE_STEPS;
        if self.rng.random_bool(arrivals) {
            self.outcome.requests += 1;
            // Rendezvous hashing distributes flows evenly, independent of the servers' load.
            let home = self.rng.random_range(0..self.servers.len());
            self.arrive(home, self.step, true);
        }
        if self.method == Method::HandOff {
            for at in 0..self.servers.len() {
                self.send_load_reports(at);
            }
        }
        self.measure_unfair_queues();
    }

    fn arrive(&mut self, at: usize, since: u32, may_hand_off: bool) {
        let now = self.now();
        let arrival = Arrival {
            priority: Priority::Interactive,
            deadline: now + Duration::from_mins(1),
            may_wait: true,
        };
        match self.servers[at].admission.on_arrival(now, arrival) {
            Decision::Run(ticket) => self.run(at, ticket, since),
            Decision::Wait(ticket) => {
                self.servers[at].waiting.insert(ticket, since);
                if may_hand_off {
                    self.hand_off(at);
                }
            }
            Decision::Refused(refusal) => panic!("{refusal:?}"),
        }
    }

    fn run(&mut self, at: usize, ticket: Ticket, since: u32) {
        self.outcome.waits.push(self.step - since);
        let uniform: f64 = self.rng.random_range(0.5..1.5);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive number of steps below 400"
        )]
        let takes = (SERVICE_STEPS * uniform) as u32;
        self.ends
            .entry(self.step + takes)
            .or_default()
            .push((at, ticket));
    }

    fn run_admitted(&mut self, at: usize, events: Vec<Event>) {
        for event in events {
            let Event::Run(ticket) = event else {
                panic!("{event:?}")
            };
            let since = self.servers[at].waiting.remove(&ticket).unwrap();
            self.run(at, ticket, since);
        }
    }

    /// Offers the queued requests of `at` to peers with capacity. A request stays queued until a peer takes it.
    fn hand_off(&mut self, at: usize) {
        if self.method == Method::Rendezvous {
            return;
        }
        let now = self.now();
        for ticket in self.servers[at].waiting.keys().copied().collect::<Vec<_>>() {
            let peers = &mut self.servers[at].peers;
            let chosen = peers.choose(
                now,
                &mut self.rng,
                Scope::Anywhere,
                RequiredCapacity::FreeSlot,
                |_| true,
            );
            let Some(peer) = chosen else { return };
            self.send(at, peer.get() as usize, Message::Offer(at, ticket));
        }
    }

    /// Takes over a request that is still queued at `from`, if it can run immediately.
    fn take_over(&mut self, at: usize, from: usize, ticket: Ticket) {
        let now = self.now();
        let has_capacity = self.servers[at].admission.load(now).has_capacity();
        let origin = &mut self.servers[from];
        if !has_capacity || !origin.waiting.contains_key(&ticket) {
            let load_report = self.load_report(at);
            self.send(at, from, Message::Load(load_report));
            return;
        }
        let since = origin.waiting.remove(&ticket).unwrap();
        origin.admission.on_withdrawn(ticket);
        self.outcome.handed_off += 1;
        self.arrive(at, since, false);
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let near = self.servers[from].zone == self.servers[to].zone;
        let at = self.step + if near { NEAR } else { FAR };
        self.in_transit
            .entry(at)
            .or_default()
            .push_back((to, message));
    }

    fn receive(&mut self, at: usize, message: Message) {
        match message {
            Message::Offer(from, ticket) => self.take_over(at, from, ticket),
            Message::QueryLoad(from) => {
                let load_report = self.load_report(at);
                self.outcome.messages += 1;
                self.send(at, from as usize, Message::Load(load_report));
            }
            Message::Load(load_report) => {
                let now = self.now();
                let zone = self.servers[load_report.server.get() as usize].zone.clone();
                self.servers[at].peers.on_load(now, zone, load_report);
                self.hand_off(at);
            }
        }
    }

    fn load_report(&mut self, at: usize) -> PeerLoad {
        let now = self.now();
        let server = &mut self.servers[at];
        server.sequence = server.sequence.next();
        PeerLoad {
            server: BackendServerId::new(u32::try_from(at).unwrap()),
            incarnation: Incarnation::new(1),
            sequence: server.sequence,
            load: server.admission.load(now),
            open_flows: 0,
            draining: false,
        }
    }

    /// Sends load reports as the agents do: periodically to all, to the zone when a queue begins or ends, and to
    /// peers with a queue when capacity becomes free.
    fn send_load_reports(&mut self, at: usize) {
        let now = self.now();
        let load = self.servers[at].admission.load(now);
        let server = &mut self.servers[at];
        let was_queued = std::mem::replace(&mut server.queued, load.queued > 0);
        let in_flight = std::mem::replace(&mut server.in_flight, load.in_flight);
        let waiting: Vec<_> = server.peers.zone_peers_with_queue(now).collect();
        let is_due = self.step % REPORT_STEPS == u32::try_from(at).unwrap() * 500;
        let queue_changed = was_queued != (load.queued > 0);
        let has_new_capacity = load.has_capacity() && load.in_flight < in_flight;
        for peer in 0..self.servers.len() {
            let near = self.servers[peer].zone == self.servers[at].zone;
            let has_queue = waiting.contains(&BackendServerId::new(u32::try_from(peer).unwrap()));
            let sends = is_due || (queue_changed && near) || (has_new_capacity && has_queue);
            if peer != at && sends {
                let load_report = self.load_report(at);
                self.outcome.messages += 1;
                self.send(at, peer, Message::Load(load_report));
                self.send(at, peer, Message::QueryLoad(u32::try_from(at).unwrap()));
            }
        }
    }

    /// Records how long a server has had a queue while a peer in its zone was idle.
    fn measure_unfair_queues(&mut self) {
        let now = self.now();
        let loads: Vec<_> = self.servers.iter().map(|s| s.admission.load(now)).collect();
        for at in 0..self.servers.len() {
            let zone = &self.servers[at].zone;
            let idle = |(peer, s): (usize, &Server)| s.zone == *zone && loads[peer].in_flight == 0;
            let idles = self.servers.iter().enumerate().any(idle);
            let unfair = loads[at].queued > 0 && idles;
            let server = &mut self.servers[at];
            server.unfair_since = unfair.then(|| server.unfair_since.unwrap_or(self.step));
            if let Some(since) = server.unfair_since {
                let lasted = STEP * (self.step - since);
                self.outcome.longest_unfair = self.outcome.longest_unfair.max(lasted);
            }
        }
    }
}
