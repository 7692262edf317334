//! Whether and when a request may run at the backend server of this agent.
//!
//! The limit on running requests is the least of three: what the agent measured ([`limiter`]), what a
//! cold start allows ([`crate::ramp`]), and what the server's own endpoints say ([`report`]), which lag or
//! mislead and so may only lower it. A request beyond the limit waits in a bounded queue, ordered by
//! priority and then by deadline. What can't be run in time is refused at once, with a time to come back.
//!
//! [`Admission`] is driven by arrivals, heads of answers, ends and time; each returns the requests that
//! may run now. A request has its slot until its answer is whole, or has turned out to be one that
//! stays open: such an answer takes a connection of the server, not a slot. The driver tells which.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use derive_more::Display;

use crate::config::Priority;
use crate::ramp::Ramp;
use limiter::{Change, Limiter};
use report::{EndpointReport, Reported};

pub mod limiter;
pub mod report;

/// The earliest time to come back that a caller is told.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The latest time to come back that a caller is told.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Names a request at one [`Admission`].
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// What the committed profile and the announcement say.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionSettings {
    /// Requests that the server says it can run at once.
    pub slots: u32,
    /// Requests that may wait.
    pub queue_limit: u32,
    /// Time over which a cold server is brought to its full limit.
    pub cold_start: Duration,
}

/// A request that wants to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Its place in the queue.
    pub priority: Priority,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Whether it may wait in the queue.
    pub may_wait: bool,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum RefusalCause {
    /// The queue is full, or the request may not wait.
    #[display("queue-full")]
    QueueFull,
    /// Its turn would come after its deadline.
    #[display("too-late")]
    TooLate,
}

/// A refusal, before anything was sent to the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub cause: RefusalCause,
    /// When it is worth coming back.
    pub retry_at: Instant,
}

/// What becomes of a request at its arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It may run now.
    Run(Ticket),
    /// It waits; an [`Event`] names it later.
    Wait(Ticket),
    /// It is refused.
    Refused(Refusal),
}

/// What becomes of a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// It may run now.
    Run(Ticket),
    /// Its deadline has passed.
    Expired(Ticket),
}

/// How much an agent has to do.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub in_flight: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that may run at once.
    pub limit: u32,
}

impl Load {
    /// Whether a request could run at once.
    pub const fn has_capacity(&self) -> bool {
        self.in_flight < self.limit && self.queued == 0
    }
}

#[derive(Clone, Copy, Debug)]
struct Running {
    since: Instant,
    concurrency: u32,
    measured: bool,
}

/// Waiting requests in the order in which they are taken.
type QueueKey = (Priority, Instant, Ticket);

/// Decides for one backend server.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    limiter: Limiter,
    ramp: Option<Ramp>,
    reported: Reported,
    running: HashMap<Ticket, Running>,
    queue: BTreeSet<QueueKey>,
    waiting: HashMap<Ticket, QueueKey>,
    next_ticket: u64,
}

impl Admission {
    /// Makes the admission of a server that has just started.
    pub fn new(now: Instant, settings: AdmissionSettings) -> Self {
        let mut admission = Self {
            settings,
            limiter: Limiter::new(now, settings.slots),
            ramp: None,
            reported: Reported::default(),
            running: HashMap::new(),
            queue: BTreeSet::new(),
            waiting: HashMap::new(),
            next_ticket: 0,
        };
        admission.on_cold_start(now);
        admission
    }

    /// Takes in a change of the profile or of the announced slots.
    pub fn on_settings(&mut self, now: Instant, settings: AdmissionSettings) {
        if settings.slots != self.settings.slots {
            self.limiter = Limiter::new(now, settings.slots);
        }
        self.settings = settings;
    }

    /// The server has just started, or has turned cold.
    pub fn on_cold_start(&mut self, now: Instant) {
        let ramp = Ramp::start(now, self.settings.cold_start, self.settings.slots);
        self.limiter.relearn(now + self.settings.cold_start);
        self.ramp = Some(ramp);
    }

    /// Takes in what the server's health and load endpoints say.
    pub fn on_report(&mut self, now: Instant, report: EndpointReport) {
        self.reported.take(now, report);
    }

    /// Requests that may run at once at `now`.
    pub fn limit(&self, now: Instant) -> u32 {
        let ramp = self.ramp.as_ref().map_or(u32::MAX, |r| r.limit(now));
        let reported = self.reported.limit(now).unwrap_or(u32::MAX);
        self.limiter.limit().min(ramp).min(reported).max(1)
    }

    /// How much there is to do.
    pub fn load(&self, now: Instant) -> Load {
        Load {
            in_flight: count(self.running.len()),
            queued: count(self.queue.len()),
            limit: self.limit(now),
        }
    }

    /// A request arrives.
    pub fn on_arrival(&mut self, now: Instant, arrival: Arrival) -> Decision {
        if arrival.deadline <= now {
            return Decision::Refused(self.refusal(now, RefusalCause::TooLate));
        }
        let load = self.load(now);
        if load.has_capacity() {
            let ticket = self.ticket();
            self.run(now, ticket);
            return Decision::Run(ticket);
        }
        if !arrival.may_wait || load.queued >= self.settings.queue_limit {
            return Decision::Refused(self.refusal(now, RefusalCause::QueueFull));
        }
        if now + self.expected_wait(load.queued, load.limit) >= arrival.deadline {
            return Decision::Refused(self.refusal(now, RefusalCause::TooLate));
        }
        let ticket = self.ticket();
        let key = (arrival.priority, arrival.deadline, ticket);
        self.queue.insert(key);
        self.waiting.insert(ticket, key);
        Decision::Wait(ticket)
    }

    /// The head of an answer came: the time it took tells how fast the server is.
    pub fn on_response_head(&mut self, now: Instant, ticket: Ticket) -> Vec<Event> {
        if let Some(running) = self.running.get_mut(&ticket)
            && !std::mem::replace(&mut running.measured, true)
        {
            let latency = now.saturating_duration_since(running.since);
            let change = self.limiter.on_sample(now, latency, running.concurrency);
            if change == Change::ColdAgain {
                self.on_cold_start(now);
            }
        }
        self.on_tick(now)
    }

    /// A request that ran is done with its slot.
    pub fn on_completed(&mut self, now: Instant, ticket: Ticket) -> Vec<Event> {
        self.running.remove(&ticket);
        self.on_tick(now)
    }

    /// A request no longer waits: it was handed off, or its caller is gone. False if it does not wait.
    pub fn on_withdrawn(&mut self, ticket: Ticket) -> bool {
        let key = self.waiting.remove(&ticket);
        key.is_some_and(|key| self.queue.remove(&key))
    }

    /// Lets time pass.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Event> {
        let mut events = Vec::new();
        let late = |(_, deadline, _): &&QueueKey| *deadline <= now;
        let expired: Vec<_> = self.queue.iter().filter(late).copied().collect();
        for (_, _, ticket) in expired {
            self.on_withdrawn(ticket);
            events.push(Event::Expired(ticket));
        }
        while count(self.running.len()) < self.limit(now)
            && let Some((_, _, ticket)) = self.queue.pop_first()
        {
            self.waiting.remove(&ticket);
            self.run(now, ticket);
            events.push(Event::Run(ticket));
        }
        events
    }

    /// When [`Self::on_tick`] has something to do at the latest, if nothing else happens.
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        let first_deadline = self.queue.iter().map(|(_, deadline, _)| *deadline).min();
        let raise = self.ramp.as_ref().and_then(|r| r.next_raise(now));
        let report_ends = self.reported.expires_at(now);
        let waits = first_deadline.is_some();
        let rises = [raise, report_ends].into_iter().flatten().filter(|_| waits);
        rises.chain(first_deadline).min()
    }

    fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    fn run(&mut self, now: Instant, ticket: Ticket) {
        let running = Running {
            since: now,
            concurrency: count(self.running.len() + 1),
            measured: false,
        };
        self.running.insert(ticket, running);
    }

    /// Time until a request that arrives now would run, as far as is known.
    fn expected_wait(&self, queued: u32, limit: u32) -> Duration {
        self.limiter.latency() * queued / limit.max(1)
    }

    fn refusal(&self, now: Instant, cause: RefusalCause) -> Refusal {
        let load = self.load(now);
        let wait = self.expected_wait(load.queued + load.in_flight, load.limit);
        Refusal {
            cause,
            retry_at: now + wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
