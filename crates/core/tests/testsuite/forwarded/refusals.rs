//! When callers are refused, under random loads: not before their response can no longer come in time, and not later than
//! that is known.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::capacity_shares::CapacityShares;
use dogwoodrill_core::forwarded::packet::{Flags, FlowKey, Header, Purpose, Trail};
use dogwoodrill_core::forwarded::service_map::RequestPolicy;
use dogwoodrill_core::forwarded::waiting::{
    AdmissionQueue, OpeningTerms, QueuedOpening, ServerLoad,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use super::world::{Caller, Change, ORDERS_ADDRESS, Simulation};

const MS: Duration = Duration::from_millis(1);
const STEPS: u32 = 400;
/// Time after which a caller gives up opening a flow.
const OPENING_TIMEOUT: Duration = Duration::from_millis(1400);
/// Rounding of the times that are compared.
const TOLERANCE: f64 = 1e-6;

/// What the test knows of a packet that waits.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    flow: FlowKey,
    policy: RequestPolicy,
    since: Instant,
}

/// A queue at a server whose load changes at random.
struct RandomLoad {
    rng: StdRng,
    queue: AdmissionQueue,
    shares: CapacityShares,
    load: ServerLoad,
    round_trip: Duration,
    waiting: Vec<Waiting>,
    next_port: u16,
}

impl RandomLoad {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let load = ServerLoad {
            now: Instant::now() + Duration::from_secs(10),
            work: rng.random_range(5..60) * MS,
            excess: rng.random_range(0..30) * MS,
            busy: 0,
            slots: rng.random_range(1..5),
        };
        let round_trip = rng.random_range(0..20) * MS;
        let mut queue = AdmissionQueue::default();
        queue.record_round_trip(round_trip);
        Self {
            rng,
            queue,
            shares: CapacityShares::default(),
            load,
            round_trip,
            waiting: Vec::new(),
            next_port: 0,
        }
    }

    fn arrive(&mut self) {
        self.next_port += 1;
        let target = self.rng.random_range(20..400) * MS;
        let policy = RequestPolicy {
            target,
            timeout: target + self.rng.random_range(0..1500) * MS,
            priority: self.rng.random_range(0..3),
        };
        let header = Header {
            source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), self.next_port),
            target: ORDERS_ADDRESS,
            flags: Flags::SYN,
            seq: 0,
            ack: *[0, 0, 0, 1, 2].choose(&mut self.rng).unwrap(),
            len: 0,
            trail: Trail::from_balancer(Ipv4Addr::new(10, 2, 0, 1), Purpose::Placed),
        };
        let since = self.load.now.checked_sub(header.age()).unwrap();
        let terms = OpeningTerms::new(since, policy);
        let opening = QueuedOpening::new(self.load.now, &header, b"", terms);
        self.queue.push(opening);
        self.waiting.push(Waiting {
            flow: header.caller_flow(),
            policy,
            since,
        });
    }

    fn deliver(&mut self) {
        let Some(flow) = self.queue.next(self.load) else {
            return;
        };
        let load = self.load;
        let at = self.waiting.iter().position(|w| w.flow == flow).unwrap();
        let priority = self.waiting.remove(at).policy.priority;
        self.queue.remove(flow).unwrap();
        self.queue
            .record_share(load.now, priority, load.work, load.slots);
        self.shares
            .record(load.now, priority, load.work, load.slots);
        self.load.busy += 1;
    }

    /// Changes one thing at random. Returns a name of it.
    fn change(&mut self) -> &'static str {
        match self.rng.random_range(0..20) {
            0..8 => {
                self.arrive();
                "arrival"
            }
            8..12 => {
                self.load.busy = self.load.busy.saturating_sub(1);
                "completion"
            }
            12..16 => {
                self.deliver();
                "delivery"
            }
            16..19 => {
                self.load.now += self.rng.random_range(0..15) * MS;
                "time"
            }
            _ => {
                self.load.work = self.rng.random_range(5..60) * MS;
                "service time"
            }
        }
    }

    /// Whether a response can come in time with `spare` seconds left, if `ahead` requests go before it.
    fn can_come(&self, w: &Waiting, ahead: usize, spare: f64) -> bool {
        let load = &self.load;
        let urgent = self.shares.more_urgent(load.now, w.policy.priority);
        let after = |most: u32| {
            let before = (ahead + 1).saturating_sub(most as usize);
            let before = f64::from(u32::try_from(before).unwrap());
            before * load.work.as_secs_f64() / f64::from(load.slots) / (1.0 - urgent)
        };
        let round_trip = self.round_trip.as_secs_f64();
        let own = if ahead == 0 {
            Duration::ZERO
        } else {
            load.work + load.excess
        };
        let answered = after(load.slots) + own.as_secs_f64() + 2.0 * round_trip;
        let opened = after(2 * load.slots) + round_trip;
        let left = |limit: Duration| {
            let age = load.now.duration_since(w.since).as_secs_f64();
            limit.as_secs_f64() - age - spare
        };
        answered <= left(w.policy.timeout) && opened <= left(OPENING_TIMEOUT)
    }

    /// Checks the packets that are refused now, and those that go on waiting.
    fn settle(&mut self, event: &str) {
        let review = self.queue.review(self.load);
        for flow in review.late {
            let w = self.queue.remove(flow).unwrap();
            self.queue.push_late(w);
        }
        let refused = review.unanswerable.into_iter();
        let refused: Vec<_> = refused.filter_map(|f| self.queue.remove(f)).collect();
        let busy = self.load.busy as usize;
        for w in &refused {
            let flow = w.header.caller_flow();
            let w = *self.waiting.iter().find(|w| w.flow == flow).unwrap();
            let before = self.waiting.iter().filter(|other| {
                let place = |w: &Waiting| (w.policy.priority, w.since, w.flow);
                place(other) < place(&w)
            });
            let ahead = busy + before.count();
            assert!(
                !self.can_come(&w, ahead, TOLERANCE),
                "after {event}, {w:?} was refused behind {ahead} although its response could come"
            );
        }
        self.waiting.retain(|w| self.queue.contains(w.flow));
        assert_eq!(self.waiting.len(), self.queue.len());
        for (flow, n) in self.queue.in_order(self.load).into_iter().zip(0..) {
            let w = self.waiting.iter().find(|w| w.flow == flow).unwrap();
            assert!(
                self.can_come(w, busy + n, -TOLERANCE),
                "after {event}, {w:?} waits behind {} although its response cannot come",
                busy + n
            );
        }
    }
}

/// After each event, exactly those packets are refused whose response can no longer come: by the requests before them in
/// the order of priority and arrival, by their own service time, the path, and the time that their callers have left. No
/// refusal comes later than it could be known, and none comes before.
#[test]
fn packets_are_refused_when_their_response_can_no_longer_come() {
    let mut refused = 0;
    for seed in 0..300 {
        let mut random = RandomLoad::new(seed);
        for _ in 0..STEPS {
            let event = random.change();
            let before = random.waiting.len();
            random.settle(event);
            refused += before - random.waiting.len();
        }
    }
    assert!(refused > 1000, "only {refused} were refused");
}

/// Equal openings, one a caller's first and one the next after a refusal, must be treated alike: what a caller does after a
/// refusal is its own, and users that share a host must not take on each other's age.
#[rstest]
fn a_repeat_is_treated_like_a_first_attempt(#[values(1, 2, 3)] seed: u64) {
    let told_after = |is_other_host| {
        let mut simulation = Simulation::new(seed, 1, 0, 1);
        simulation.retries = 2;
        simulation.is_retry_from_other_host = is_other_host;
        simulation.calls(Duration::from_secs(4), 300.0, ORDERS_ADDRESS);
        simulation.at(Duration::from_secs(1), Change::SlowServer(0, 2));
        simulation.run_for(Duration::from_secs(7));
        let attempts = simulation.callers.values();
        let refused = attempts.clone().filter_map(Caller::refused_after);
        assert!(refused.count() > 100, "too few were refused");
        // Without the callers' names: two that are refused at the same time may change places.
        let ended = attempts.map(|c| (c.outcome, c.ended_at.map(|at| at - c.opened_at)));
        let mut ended: Vec<_> = ended.collect();
        ended.sort_unstable();
        ended
    };
    let (same_host, other_host) = (told_after(false), told_after(true));
    let differences = same_host.iter().zip(&other_host).filter(|(a, b)| a != b);
    assert_eq!(differences.count(), 0, "of {}", same_host.len());
}
