//! Admission queue: opening packets that wait at an agent for a slot of its server.
//!
//! A caller wants its response until its time limit, the route's timeout, and gives up opening a flow even earlier. A
//! packet waits as long as its response can still come within that time. It is taken out to be refused as soon as the
//! requests before it and its own take longer: its caller is told at once, and nobody waits in vain. That becomes known
//! with an event (an arrival, a slower service time, a lost server), so the queue is checked at each of them.
//!
//! The more urgent packets go first. Within a priority, packets whose response can meet the route's target latency go
//! before those whose response will be late, as long as these are still answered within their time. Otherwise all go in
//! the order of arrival. So the target orders, but nobody loses its response to later arrivals of the same priority, and
//! under sustained overload late packets get the same share of the server as others.
//!
//! Whether a caller was refused before makes no difference.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::capacity_shares::CapacityShares;
use super::gate;
use super::packet::{FlowKey, Header};
use super::service_map::RequestPolicy;

/// Time after which a caller gives up opening a flow.
const CALLER_OPENING_TIMEOUT: Duration = Duration::from_millis(1400);
/// Time after which callers send a packet again. A longer round trip tells of a lost packet, not of the path.
const RETRANSMISSION_INTERVAL: Duration = Duration::from_millis(200);
/// Number of flows that the moving average of the overhead covers.
const MEASURED_OVERHEADS: f64 = 32.0;
/// Most opening packets queued at one agent; bounds memory and the time that a decision takes.
const MAX_QUEUE_LEN: usize = 256;

/// What the caller of an opening packet needs.
#[derive(Clone, Copy, Debug)]
pub struct OpeningTerms {
    priority: u32,
    since: Instant,
    /// Until when a response meets the target latency.
    target_at: Instant,
    /// Until when the caller waits for the response.
    answer_by: Instant,
    /// Until when the caller waits for the server to accept the flow.
    open_by: Instant,
}

/// An opening packet in the admission queue.
#[derive(Clone, Debug)]
pub struct QueuedOpening {
    /// Header of the packet.
    pub header: Header,
    /// The whole packet.
    pub packet: Bytes,
    /// What its caller needs.
    pub terms: OpeningTerms,
    queued_at: Instant,
    /// Whether a peer that meets the target latency was looked for already.
    is_known_late: bool,
}

/// The state of the server, which decides whether a response can come in time.
#[derive(Clone, Copy, Debug)]
pub struct ServerLoad {
    /// The current time.
    pub now: Instant,
    /// Expected service time of a request; zero if it is not known yet.
    pub work: Duration,
    /// By how much the service time of a request may exceed the expected one.
    pub excess: Duration,
    /// Number of requests at the server or on their way to it.
    pub busy: u32,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
}

impl ServerLoad {
    /// Time until fewer than `most` requests are left before a packet.
    fn time_until_fewer_than(&self, most: u32, ahead: Ahead) -> Duration {
        let requests = u32::try_from(ahead.requests).unwrap_or(u32::MAX);
        let before = requests.saturating_add(1).saturating_sub(most);
        let time = self.work.saturating_mul(before) / self.slots.max(1);
        let left = 1.0 - ahead.urgent_share;
        Duration::try_from_secs_f64(time.as_secs_f64() / left).unwrap_or(Duration::MAX)
    }

    /// Time until a packet's request starts.
    fn start_after(&self, ahead: Ahead) -> Duration {
        self.time_until_fewer_than(self.slots.max(1), ahead)
    }

    /// Time until the server gets an opening packet.
    fn delivery_after(&self, ahead: Ahead) -> Duration {
        let most = gate::UNCONDITIONAL_PER_SLOT.saturating_mul(self.slots.max(1));
        self.time_until_fewer_than(most, ahead)
    }

    fn has_time(&self, needed: Duration, until: Instant) -> bool {
        let left = until.checked_duration_since(self.now);
        left.is_some_and(|left| needed <= left)
    }
}

/// The admission queue of an agent.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    /// Response time beyond the service time: opening the flow, and the path in both directions; zero until it is
    /// measured.
    overhead: Option<Duration>,
    queued: HashMap<FlowKey, QueuedOpening>,
    /// Shares of the server's capacity that requests of each priority take.
    shares: CapacityShares,
}

/// The requests before a packet.
#[derive(Clone, Copy, Debug)]
pub struct Ahead {
    /// Number of requests at the server or before the packet in the queue.
    requests: usize,
    /// Share of the capacity that more urgent requests take, which go before the packet when they arrive.
    urgent_share: f64,
}

impl Ahead {
    const fn with(self, more: usize) -> Self {
        Self {
            requests: self.requests.saturating_add(more),
            ..self
        }
    }

    const fn twice(self) -> Self {
        self.with(self.requests)
    }
}

/// The place of a packet in the queue, and what follows for its response.
#[derive(Clone, Copy, Debug)]
struct Place {
    flow: FlowKey,
    meets_target: bool,
    is_answerable: bool,
}

/// A queued packet's flow and terms.
type Queued<'a> = (FlowKey, &'a OpeningTerms);

/// What to do with the queued packets.
#[derive(Clone, Debug, Default)]
pub struct Review {
    /// Packets whose response will not meet the target latency here, and for which no peer was looked for yet.
    pub late: Vec<FlowKey>,
    /// Packets whose response can no longer come within the time that the caller has.
    pub unanswerable: Vec<FlowKey>,
    /// The first packet whose response can come.
    pub first: Option<FlowKey>,
}

impl OpeningTerms {
    /// Returns the terms of a caller that sent its first packet at `since`.
    pub fn new(since: Instant, policy: RequestPolicy) -> Self {
        Self {
            priority: policy.priority,
            since,
            target_at: since + policy.target,
            answer_by: since + policy.timeout,
            open_by: since + CALLER_OPENING_TIMEOUT,
        }
    }

    /// Time since the caller's first packet.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Time from now in which a response meets the target latency.
    pub fn time_to_target(&self, now: Instant) -> Duration {
        self.target_at.saturating_duration_since(now)
    }

    /// Time from now in which the caller still wants the response.
    pub fn time_to_answer(&self, now: Instant) -> Duration {
        self.answer_by
            .min(self.open_by)
            .saturating_duration_since(now)
    }
}

impl QueuedOpening {
    /// Creates the entry of a packet that arrives at `now`.
    pub fn new(now: Instant, header: &Header, packet: &[u8], terms: OpeningTerms) -> Self {
        Self {
            header: *header,
            packet: Bytes::copy_from_slice(packet),
            terms,
            queued_at: now,
            is_known_late: false,
        }
    }

    /// Time for which the packet has waited in the queue.
    pub fn waited(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.queued_at)
    }

    /// Returns the header with the caller's age, which the packet's next agent needs.
    pub fn header_with_age(&self, now: Instant) -> Header {
        self.header.with_age(self.terms.age(now))
    }
}

impl AdmissionQueue {
    /// Response time beyond the service time, as measured; zero until then.
    pub fn overhead(&self) -> Duration {
        self.overhead.unwrap_or_default()
    }

    /// Records the time from the server's answer to an opening packet until the request arrived: a round trip between
    /// server and caller. The opening packet and the response take another one together.
    pub fn record_round_trip(&mut self, round_trip: Duration) {
        if round_trip >= RETRANSMISSION_INTERVAL {
            return;
        }
        let newest = round_trip.saturating_mul(2);
        let mean = self.overhead.map_or(newest, |mean| {
            mean.mul_f64(1.0 - MEASURED_OVERHEADS.recip()) + newest.div_f64(MEASURED_OVERHEADS)
        });
        self.overhead = Some(mean);
    }

    /// Time in which a caller sends its request after the server has accepted its flow: a round trip, and as much again
    /// since it varies. A caller that has given up sends none, and the slot goes to another one.
    pub fn request_timeout(&self) -> Duration {
        self.overhead.unwrap_or(RETRANSMISSION_INTERVAL)
    }

    /// Number of queued packets.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Whether the opening packet of `flow` is queued.
    pub fn contains(&self, flow: FlowKey) -> bool {
        self.queued.contains_key(&flow)
    }

    /// Returns the queued flows in any order.
    pub fn flows(&self) -> impl Iterator<Item = FlowKey> {
        self.queued.keys().copied()
    }

    /// Returns the queued packet of `flow`.
    pub fn get(&self, flow: FlowKey) -> Option<&QueuedOpening> {
        self.queued.get(&flow)
    }

    /// Adds a packet to the queue.
    pub fn push(&mut self, queued: QueuedOpening) {
        self.queued.insert(queued.header.caller_flow(), queued);
    }

    /// Returns a packet to the queue for which no peer was found that meets the target latency.
    pub fn push_late(&mut self, queued: QueuedOpening) {
        self.push(QueuedOpening {
            is_known_late: true,
            ..queued
        });
    }

    /// Returns what to do with the queued packets now.
    pub fn review(&self, load: ServerLoad) -> Review {
        let mut review = Review::default();
        for p in self.places(load) {
            if !p.is_answerable {
                review.unanswerable.push(p.flow);
                continue;
            }
            review.first = review.first.or(Some(p.flow));
            if !p.meets_target && !self.queued[&p.flow].is_known_late {
                review.late.push(p.flow);
            }
        }
        review
    }

    /// Records that a request of `priority` takes one of `slots` slots for `work`.
    pub fn record_share(&mut self, now: Instant, priority: u32, work: Duration, slots: u32) {
        self.shares.record(now, priority, work, slots);
    }

    /// Forgets the shares of capacity, because another server takes the place of the one that they were measured at.
    pub fn reset_shares(&mut self) {
        self.shares = CapacityShares::default();
    }

    /// Returns what is before a packet that is delivered to the server now.
    pub fn ahead_at_server(&self, load: ServerLoad, terms: &OpeningTerms) -> Ahead {
        self.ahead(load, load.busy as usize, terms.priority)
    }

    fn ahead(&self, load: ServerLoad, requests: usize, priority: u32) -> Ahead {
        Ahead {
            requests,
            urgent_share: self.shares.more_urgent(load.now, priority),
        }
    }

    /// Whether a response can come within the caller's time.
    pub fn is_answerable(&self, load: ServerLoad, terms: &OpeningTerms, ahead: Ahead) -> bool {
        // A request that is begun and not answered in time is worse than a refusal: it may not be repeated, and its
        // work is lost to others.
        let mut longest = load.work.saturating_add(load.excess);
        // Only a request shows that a server which was slow is fast again.
        if ahead.requests == 0 {
            longest = Duration::ZERO;
        }
        let longest = longest.saturating_add(self.overhead());
        let answered_after = load.start_after(ahead).saturating_add(longest);
        // Opening the flow is half of the overhead.
        let opened_after = load
            .delivery_after(ahead)
            .saturating_add(self.overhead() / 2);
        load.has_time(answered_after, terms.answer_by) && load.has_time(opened_after, terms.open_by)
    }

    /// Whether a response meets the target latency.
    pub fn meets_target(&self, load: ServerLoad, terms: &OpeningTerms, ahead: Ahead) -> bool {
        let response = load.work.saturating_add(self.overhead());
        let answered_after = load.start_after(ahead).saturating_add(response);
        load.has_time(answered_after, terms.target_at)
    }

    /// Returns the flow that is first in the queue.
    pub fn next(&self, load: ServerLoad) -> Option<FlowKey> {
        self.places(load).first().map(|p| p.flow)
    }

    /// Returns the queued flows, the first one first.
    pub fn in_order(&self, load: ServerLoad) -> Vec<FlowKey> {
        let places = self.places(load).into_iter();
        places.map(|p| p.flow).collect()
    }

    /// Removes packets from the end of the queue until it has its greatest length, and returns them.
    pub fn trim(&mut self, load: ServerLoad) -> Vec<QueuedOpening> {
        if self.queued.len() <= MAX_QUEUE_LEN {
            return Vec::new();
        }
        let beyond = self.places(load).split_off(MAX_QUEUE_LEN).into_iter();
        beyond.filter_map(|p| self.remove(p.flow)).collect()
    }

    /// Removes and returns the packet of a flow.
    pub fn remove(&mut self, flow: FlowKey) -> Option<QueuedOpening> {
        self.queued.remove(&flow)
    }

    /// Returns the places of all packets in the order in which they go to the server.
    fn places(&self, load: ServerLoad) -> Vec<Place> {
        let mut by_priority: BTreeMap<u32, Vec<Queued<'_>>> = BTreeMap::new();
        for (flow, w) in &self.queued {
            let queued = by_priority.entry(w.terms.priority).or_default();
            queued.push((*flow, &w.terms));
        }
        let mut places = Vec::with_capacity(self.queued.len());
        let mut requests = load.busy as usize;
        for (priority, queued) in by_priority {
            let mut ahead = self.ahead(load, requests, priority);
            for (flow, terms) in self.order(load, ahead, queued) {
                let is_answerable = self.is_answerable(load, terms, ahead);
                places.push(Place {
                    flow,
                    meets_target: is_answerable && self.meets_target(load, terms, ahead),
                    is_answerable,
                });
                ahead = ahead.with(usize::from(is_answerable));
            }
            requests = ahead.requests;
        }
        places
    }

    /// Orders packets of one priority that have `ahead` before them.
    fn order<'a>(
        &self,
        load: ServerLoad,
        ahead: Ahead,
        mut queued: Vec<Queued<'a>>,
    ) -> Vec<Queued<'a>> {
        queued.sort_unstable_by_key(|(flow, terms)| (terms.target_at, terms.since, *flow));
        let mut before = ahead;
        let (mut on_target, mut late): (Vec<_>, Vec<_>) =
            queued.into_iter().partition(|(_, terms)| {
                let meets_target = self.meets_target(load, terms, before)
                    && self.is_answerable(load, terms, before);
                before = before.with(usize::from(meets_target));
                meets_target
            });
        late.sort_unstable_by_key(|(flow, terms)| (terms.since, *flow));
        let not_behind = self.losing_behind(load, ahead, on_target.len(), &late);
        let behind = late.split_off(not_behind);
        if !late.is_empty() {
            on_target.extend(late);
            on_target.sort_unstable_by_key(|(flow, terms)| (terms.since, *flow));
        }
        on_target.extend(behind);
        on_target
    }

    /// Returns how many of the `late` packets, from the first one on, must not wait behind `overtaking` others, because
    /// one of them could lose its response. The service times and the load of more urgent requests vary, so the
    /// requests before a packet count twice.
    fn losing_behind(
        &self,
        load: ServerLoad,
        ahead: Ahead,
        overtaking: usize,
        late: &[Queued<'_>],
    ) -> usize {
        if overtaking == 0 {
            return 0;
        }
        let (mut before, mut losing) = (ahead, 0);
        for ((_, terms), n) in late.iter().zip(1..) {
            if self.is_answerable(load, terms, before) {
                let behind = before.with(overtaking).twice();
                if !self.is_answerable(load, terms, behind) {
                    losing = n;
                }
                before = before.with(1);
            }
        }
        losing
    }
}
