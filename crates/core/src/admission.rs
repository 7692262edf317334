//! Admission control: whether and when a request may run at the backend server of this agent.
//!
//! The concurrency limit is the minimum of three limits: the one derived from measured latency
//! ([`limiter`]), the one of a cold start ([`crate::ramp`]), and the one reported by the server's health and
//! load endpoints ([`report`]). The reported limit can be outdated or wrong, so it may only lower the
//! result. A request over the limit waits in a bounded queue, ordered by priority and then by deadline. A
//! request whose response cannot come before its deadline, by the requests before it and its own latency, is refused at
//! once, with the time at which to retry: on arrival, or when a more urgent arrival or a slower server makes it so.
//!
//! [`Admission`] is driven by arrivals, response heads, completions and time; each of these returns the
//! queued requests that may run now or are refused. A request holds its slot until its response is complete, or until the
//! driver finds that the response is a stream that stays open: such a response takes a connection of the
//! server, but no slot.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use derive_more::Display;

use crate::config::Priority;
use crate::ramp::Ramp;
use limiter::{Limiter, SampleEffect};
use report::{EndpointReport, ReportedLimit};

pub mod limiter;
pub mod report;

/// The shortest retry delay that a refusal contains.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The longest retry delay that a refusal contains.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Identifies a request at one [`Admission`].
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// Settings from the committed profile and the server's announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionSettings {
    /// Concurrent requests that the server announced it can run.
    pub slots: u32,
    /// Requests that may wait in the queue.
    pub queue_limit: u32,
    /// Time over which the limit of a cold server is raised to its full value.
    pub cold_start: Duration,
}

/// A request that wants to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Priority in the queue.
    pub priority: Priority,
    /// When its caller stops waiting for the response.
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
    /// Its deadline has passed, or would pass before it could run.
    #[display("too-late")]
    TooLate,
}

/// The refusal of a request. Nothing was sent to the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request was refused.
    pub cause: RefusalCause,
    /// The earliest time at which a retry is likely to be admitted.
    pub retry_at: Instant,
}

/// The admission decision about a request that has arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request may run now.
    Run(Ticket),
    /// The request is queued; a later [`Event`] has its ticket.
    Wait(Ticket),
    /// The request is refused.
    Refused(Refusal),
}

/// The end of a request's time in the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The request may run now.
    Run(Ticket),
    /// The request is refused.
    Refused(Ticket, Refusal),
}

/// The request load of an agent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Running requests.
    pub in_flight: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Requests that may run concurrently.
    pub limit: u32,
}

impl Load {
    /// Whether a new request could run without waiting.
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

/// Sort key of a queued request; the smallest runs first.
type QueueKey = (Priority, Instant, Ticket);

/// Admission control of one backend server.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    limiter: Limiter,
    ramp: Option<Ramp>,
    reported: ReportedLimit,
    running: HashMap<Ticket, Running>,
    queue: BTreeSet<QueueKey>,
    waiting: HashMap<Ticket, QueueKey>,
    next_ticket: u64,
}

impl Admission {
    /// Creates the admission control of a server that has just started.
    pub fn new(now: Instant, settings: AdmissionSettings) -> Self {
        let mut admission = Self {
            settings,
            limiter: Limiter::new(now, settings.slots),
            ramp: None,
            reported: ReportedLimit::default(),
            running: HashMap::new(),
            queue: BTreeSet::new(),
            waiting: HashMap::new(),
            next_ticket: 0,
        };
        admission.on_cold_start(now);
        admission
    }

    /// Applies a change of the profile or of the announced slots.
    pub fn on_settings(&mut self, now: Instant, settings: AdmissionSettings) {
        if settings.slots != self.settings.slots {
            self.limiter = Limiter::new(now, settings.slots);
        }
        self.settings = settings;
    }

    /// Starts a cold-start ramp: the server has just started, or its latency shows that it is cold.
    pub fn on_cold_start(&mut self, now: Instant) {
        let ramp = Ramp::start(now, self.settings.cold_start, self.settings.slots);
        self.limiter.relearn(now + self.settings.cold_start);
        self.ramp = Some(ramp);
    }

    /// Applies a reply of the server's health and load endpoints.
    pub fn on_report(&mut self, now: Instant, report: EndpointReport) {
        self.reported.update(now, report);
    }

    /// Requests that may run concurrently at `now`.
    pub fn limit(&self, now: Instant) -> u32 {
        let ramp = self.ramp.as_ref().map_or(u32::MAX, |r| r.limit(now));
        let reported = self.reported.limit(now).unwrap_or(u32::MAX);
        self.limiter.limit().min(ramp).min(reported).max(1)
    }

    /// The current load.
    pub fn load(&self, now: Instant) -> Load {
        Load {
            in_flight: count(self.running.len()),
            queued: count(self.queue.len()),
            limit: self.limit(now),
        }
    }

    /// Decides whether a request that has arrived runs, waits or is refused. If it waits, [`Self::on_tick`] returns the
    /// requests that are refused because it goes before them.
    pub fn on_arrival(&mut self, now: Instant, arrival: Arrival) -> Decision {
        let load = self.load(now);
        let ticket = self.ticket();
        let key = (arrival.priority, arrival.deadline, ticket);
        let before = count(self.queue.range(..key).count());
        let answered_after = self.answered_after(load.limit, load.in_flight + before);
        if now + answered_after >= arrival.deadline {
            return Decision::Refused(self.refusal(now, RefusalCause::TooLate));
        }
        if load.has_capacity() {
            self.run(now, ticket);
            return Decision::Run(ticket);
        }
        if !arrival.may_wait || before >= self.settings.queue_limit {
            return Decision::Refused(self.refusal(now, RefusalCause::QueueFull));
        }
        self.queue.insert(key);
        self.waiting.insert(ticket, key);
        Decision::Wait(ticket)
    }

    /// Handles the head of a response. The time until the first head is the latency sample of the request.
    pub fn on_response_head(&mut self, now: Instant, ticket: Ticket) -> Vec<Event> {
        if let Some(running) = self.running.get_mut(&ticket)
            && !std::mem::replace(&mut running.measured, true)
        {
            let latency = now.saturating_duration_since(running.since);
            let effect = self.limiter.on_sample(now, latency, running.concurrency);
            if effect == SampleEffect::ColdStart {
                self.on_cold_start(now);
            }
        }
        self.on_tick(now)
    }

    /// Releases the slot of a running request.
    pub fn on_completed(&mut self, now: Instant, ticket: Ticket) -> Vec<Event> {
        self.running.remove(&ticket);
        self.on_tick(now)
    }

    /// Removes a request from the queue, because it was handed off or its caller disconnected. Returns
    /// false if the request is not in the queue.
    pub fn on_withdrawn(&mut self, ticket: Ticket) -> bool {
        let key = self.waiting.remove(&ticket);
        key.is_some_and(|key| self.queue.remove(&key))
    }

    /// Refuses the queued requests whose response can no longer come before their deadline and those that the queue has
    /// no room for, and admits queued requests up to the limit.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Event> {
        let mut refused = Vec::new();
        let limit = self.limit(now);
        let (mut ahead, mut kept) = (count(self.running.len()), 0);
        for (_, deadline, ticket) in &self.queue {
            if now + self.answered_after(limit, ahead) >= *deadline {
                refused.push((*ticket, RefusalCause::TooLate));
            } else if kept >= self.settings.queue_limit {
                refused.push((*ticket, RefusalCause::QueueFull));
            } else {
                (ahead, kept) = (ahead + 1, kept + 1);
            }
        }
        let mut events = Vec::new();
        for (ticket, cause) in refused {
            self.on_withdrawn(ticket);
            events.push(Event::Refused(ticket, self.refusal(now, cause)));
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

    /// The latest time at which [`Self::on_tick`] must run if no other call does its work before; none
    /// while the queue is empty.
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        let limit = self.limit(now);
        let in_flight = count(self.running.len());
        let refused_at = self.queue.iter().zip(in_flight..).map(|(key, ahead)| {
            let (_, deadline, _) = key;
            deadline
                .checked_sub(self.answered_after(limit, ahead))
                .unwrap_or(now)
        });
        let first_refusal = refused_at.min();
        let raise = self.ramp.as_ref().and_then(|r| r.next_raise(now));
        let report_ends = self.reported.expires_at(now);
        let waits = first_refusal.is_some();
        let rises = [raise, report_ends].into_iter().flatten().filter(|_| waits);
        rises.chain(first_refusal).min()
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

    /// Estimated time until the response to a request that has `ahead` requests before it, of which `limit` run
    /// concurrently. Zero for a request that has the server for itself: the latency of earlier ones may be outdated, and
    /// only this request shows what it is now.
    fn answered_after(&self, limit: u32, ahead: u32) -> Duration {
        if ahead == 0 {
            return Duration::ZERO;
        }
        let before = ahead.saturating_add(1).saturating_sub(limit);
        let latency = self.limiter.latency();
        (latency.saturating_mul(before) / limit).saturating_add(latency)
    }

    fn refusal(&self, now: Instant, cause: RefusalCause) -> Refusal {
        let load = self.load(now);
        let wait = self.limiter.latency() * (load.queued + load.in_flight) / load.limit;
        Refusal {
            cause,
            retry_at: now + wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
