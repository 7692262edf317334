//! Opening packets: admission, redirection to other agents, queueing and refusal.

use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use rand::Rng;

use super::{Action, Agent, Disposition, Flow, OPENING_TTL, QueueState, Redirect, RequestState};
use crate::forwarded::decision::{Decision, Reason, Step};
use crate::forwarded::gate::{self, Capacity};
use crate::forwarded::mesh::Mesh;
use crate::forwarded::packet::{FlowKey, Header, Purpose, Trail};
use crate::forwarded::placement::{self, Candidate, LoadEstimator, ProbePolicy};
use crate::forwarded::report::ReceivedReport;
use crate::forwarded::service_map::{ServiceLabel, ServiceMap};
use crate::forwarded::waiting::{OpeningTerms, QueuedOpening, ServerLoad};

/// Most redirections of an opening packet between agents.
pub(super) const MAX_HOPS: u8 = 3;
/// Time in which a server answers an opening packet; it does so without processing a request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which the redirection of a flow is remembered: as long as callers send copies of an opening
/// packet.
const REDIRECT_TTL: Duration = Duration::from_secs(3);
/// Most redirections of an opening packet that an agent cannot serve in time. A second agent that cannot either shows
/// that the service has no capacity left, and each redirection takes some of the time that the caller has.
const MAX_LATE_HOPS: u8 = 1;

/// Factor by which a peer must be faster, its load included, to receive an opening packet that this server can take.
const MIN_SPEEDUP: u32 = 2;

/// How suspended peers are probed: their balancers do so.
pub(super) const PROBE_POLICY: ProbePolicy = ProbePolicy::OnlyIfAllSuspended;

/// The peers to which an opening packet may be redirected.
#[derive(Clone, Copy, Debug)]
pub(super) enum PeerFilter {
    /// All peers.
    Any,
    /// Peers whose servers are not suspended.
    NotSuspended,
    /// Peers whose servers are not suspended and had an idle slot at their last report.
    ReportedIdle,
    /// Peers whose servers are not suspended and would complete the request within this time.
    CompletesWithin(Duration),
}

impl PeerFilter {
    fn accepts(self, load: LoadEstimator, received: &ReceivedReport) -> bool {
        let is_not_suspended = !received.report.responses.is_suspended;
        match self {
            Self::Any => true,
            Self::NotSuspended => is_not_suspended,
            Self::ReportedIdle => is_not_suspended && load.had_idle_slot(received),
            Self::CompletesWithin(limit) => is_not_suspended && load.completion(received) < limit,
        }
    }
}

impl Agent {
    pub(super) fn on_opening(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        header: &Header,
        packet: &[u8],
    ) -> Disposition {
        let key = header.caller_flow();
        self.mesh.on_packet_from(now, from);
        if let Some(to) = self.redirect_of_copy(now, header).filter(|to| *to != from) {
            return Self::forward_opening(to, header.trail);
        }
        if let Some(flow) = self.flows.get_mut(&key) {
            // The answer may have been lost; the server sends it again.
            flow.forget_at = flow.forget_at.max(now + OPENING_TTL);
            return if flow.is_open {
                Disposition::Drop
            } else {
                Disposition::Deliver
            };
        }
        if self.queue.contains(key) {
            return Disposition::Drop;
        }
        let rejection_reason = gate::rejection_reason(now, &self.map, &self.server, key);
        let rejection_reason = match rejection_reason {
            Some(Reason::Silent) if self.server.take_probe(now) => None,
            rejection_reason => rejection_reason,
        };
        let reason = rejection_reason.or_else(|| self.is_stopping.then_some(Reason::Draining));
        let reason = reason.or_else(|| self.cold_reason(now));
        if let Some(reason) = reason {
            return self.redirect_or_refuse(now, from, header, reason);
        }
        let can_redirect = header.trail.hops < MAX_HOPS;
        if can_redirect
            && self.is_withheld(now)
            && let Some(to) = self.choose_peer(now, from, key, PeerFilter::NotSuspended)
        {
            return self.redirect_to(now, to, header, Reason::Suspended);
        }
        let Some(policy) = self.map.route(key.service).map(|r| r.policy) else {
            return self.refuse(now, header, Reason::OtherService);
        };
        let header = &header.with_age(header.age());
        let since = now.checked_sub(header.age()).unwrap_or(now);
        let terms = OpeningTerms::new(since, policy);
        let load = self.server_load(now);
        let ahead = self.queue.ahead_at_server(load, &terms);
        let is_answerable = self.queue.is_answerable(load, &terms, ahead);
        if is_answerable && self.queue.is_empty() && self.busy < self.slots() {
            return self.accept(now, header, packet);
        }
        let faster = self.faster_peers();
        if can_redirect && let Some(to) = self.choose_peer(now, from, key, faster) {
            return self.redirect_to(now, to, header, Reason::Busy);
        }
        let meets_target = self.queue.meets_target(load, &terms, ahead);
        if meets_target && self.queue.is_empty() && self.has_capacity(now, &terms) {
            return self.accept(now, header, packet);
        }
        if can_redirect && let Some(to) = self.take_slot_offer(now, from, key) {
            return self.redirect_to(now, to, header, Reason::SlotOffered);
        }
        self.enqueue(now, from, QueuedOpening::new(now, header, packet, terms))
    }

    /// Whether the server is suspended and no probe is due.
    fn is_withheld(&mut self, now: Instant) -> bool {
        self.outlier.is_suspended() && !self.outlier.take_probe(now)
    }

    /// Returns the expected service time of a request at the server, or the unit of comparisons if nothing is known.
    pub fn work_time(&self, now: Instant) -> Duration {
        self.work.or_unit(self.server.is_cold(now))
    }

    /// Returns the expected service time of a request at the server, zero if nothing is known.
    pub(super) fn known_work(&self, now: Instant) -> Duration {
        let work = self.work.expected(self.server.is_cold(now));
        work.unwrap_or_default()
    }

    /// Returns the state of the server that decides how long queued packets wait.
    pub(super) fn server_load(&self, now: Instant) -> ServerLoad {
        ServerLoad {
            now,
            work: self.known_work(now),
            excess: self.work.excess(),
            busy: self.busy,
            slots: self.slots(),
        }
    }

    /// Number of requests at the server, on their way to it, and in the admission queue.
    pub(super) fn total_requests(&self) -> u32 {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.busy.saturating_add(queued)
    }

    /// Whether the server can take another opening packet. A server that is not measured yet may be far slower than its
    /// measured peers, so nothing queues there.
    fn has_capacity(&self, now: Instant, terms: &OpeningTerms) -> bool {
        let is_new = self.work.measured().is_none();
        let has_measured_peers = self.work.expected(self.server.is_cold(now)).is_some();
        if is_new && has_measured_peers && self.busy >= self.slots() {
            return false;
        }
        let left = terms.time_to_target(now);
        let left = left.saturating_sub(self.queue.overhead());
        let capacity = gate::capacity(self.known_work(now), self.busy, self.slots(), left);
        capacity == Capacity::Available
    }

    /// Returns the peers that should get an opening packet although this server can take it. Once the service time is
    /// measured, offers of idle slots even out the load, and only a slow server needs more: reports are older than a
    /// request takes, and redirecting by them would lengthen the path of most openings and gain nothing.
    fn faster_peers(&self) -> PeerFilter {
        match self.work.measured() {
            Some(work) => PeerFilter::CompletesWithin(work / MIN_SPEEDUP),
            None => PeerFilter::ReportedIdle,
        }
    }

    /// Queues an opening packet, and decides anew on all that wait.
    fn enqueue(&mut self, now: Instant, from: Ipv4Addr, opening: QueuedOpening) -> Disposition {
        let (key, hops) = (opening.header.caller_flow(), opening.header.trail.hops);
        self.expire_request_deadlines(now);
        self.queue.push(opening);
        let first = self.settle(now, from);
        self.deliver_queued(now, first);
        if self.queue.contains(key) {
            self.record_decision(Decision {
                busy: Some(self.total_requests()),
                hops,
                ..Decision::new(Step::Waits, key, self.map.index)
            });
        }
        Disposition::Drop
    }

    /// Redirects the queued packets that cannot be served in time here to a peer that is expected to do so, and refuses
    /// those whose response can no longer come within the time that their callers have. Returns the first of the others.
    fn settle(&mut self, now: Instant, from: Ipv4Addr) -> Option<FlowKey> {
        for w in self.queue.trim(self.server_load(now)) {
            self.refuse_queued(now, &w, Reason::Busy);
        }
        let mut review = self.queue.review(self.server_load(now));
        let mut is_shorter = false;
        for w in std::mem::take(&mut review.late) {
            let Some(w) = self.queue.remove(w) else {
                continue;
            };
            let left = w.terms.time_to_target(now);
            match self.redirect_late(now, from, w, left) {
                Some(w) => self.queue.push_late(w),
                None => is_shorter = true,
            }
        }
        if is_shorter {
            review = self.queue.review(self.server_load(now));
        }
        for w in review.unanswerable {
            let Some(w) = self.queue.remove(w) else {
                continue;
            };
            let left = w.terms.time_to_answer(now);
            if let Some(w) = self.redirect_late(now, from, w, left) {
                self.refuse_queued(now, &w, Reason::Busy);
            }
        }
        review.first
    }

    /// What the decisions on queued packets follow from, time aside.
    fn queue_state(&self, now: Instant) -> QueueState {
        let waiting = self.queue.len();
        (self.busy, self.known_work(now), waiting)
    }

    /// Redirects a packet to a peer that is expected to complete it within `left`; returns it if there is none. The peer's
    /// report is about as old as a request takes.
    fn redirect_late(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        w: QueuedOpening,
        left: Duration,
    ) -> Option<QueuedOpening> {
        if w.header.trail.hops >= MAX_LATE_HOPS {
            return Some(w);
        }
        let spent = self.known_work(now) + self.queue.overhead();
        let filter = PeerFilter::CompletesWithin(left.saturating_sub(spent));
        let Some(to) = self.choose_peer(now, from, w.header.caller_flow(), filter) else {
            return Some(w);
        };
        self.forward_queued(now, to, &w, Reason::Busy);
        None
    }

    /// Sends a packet that was taken from the queue to a peer.
    pub(super) fn forward_queued(
        &mut self,
        now: Instant,
        to: Ipv4Addr,
        w: &QueuedOpening,
        why: Reason,
    ) {
        let disposition = self.redirect_to(now, to, &w.header_with_age(now), why);
        self.send_queued(w, disposition);
    }

    /// Sends a packet that was taken from the queue where the decision on it says.
    fn send_queued(&mut self, w: &QueuedOpening, disposition: Disposition) {
        if let Disposition::Forward { to, trail } = disposition {
            let packet = w.packet.clone();
            self.actions.push(Action::Forward { to, trail, packet });
        }
    }

    /// Decides anew on the queued opening packets, and delivers them to the server while it has capacity.
    pub(super) fn admit(&mut self, now: Instant) {
        if self.queue.is_empty() {
            return;
        }
        self.expire_request_deadlines(now);
        self.decide_on_queue(now);
    }

    /// Does the same if anything has changed since the last decision. What only time changes is left to the next tick.
    pub(super) fn admit_on_change(&mut self, now: Instant) {
        self.expire_request_deadlines(now);
        if !self.queue.is_empty() && self.settled != Some(self.queue_state(now)) {
            self.decide_on_queue(now);
        }
    }

    fn decide_on_queue(&mut self, now: Instant) {
        self.redirect_rejected(now);
        let first = self.settle(now, self.mesh.own().ip);
        self.deliver_queued(now, first);
    }

    fn deliver_queued(&mut self, now: Instant, first: Option<FlowKey>) {
        self.deliver_while_capacity(now, first);
        self.settled = Some(self.queue_state(now));
    }

    fn deliver_while_capacity(&mut self, now: Instant, mut first: Option<FlowKey>) {
        while let Some(key) = first {
            let next = self.queue.get(key);
            let next = next.filter(|w| self.has_capacity(now, &w.terms));
            if next.is_none() {
                return;
            }
            if let Some(w) = self.queue.remove(key) {
                self.accept(now, &w.header_with_age(now), &w.packet);
                self.actions.push(Action::Deliver(w.packet));
            }
            if gate::is_full(self.busy, self.slots()) {
                return;
            }
            first = self.queue.next(self.server_load(now));
        }
    }

    /// Redirects or refuses the queued packets that must not go to the server any more.
    fn redirect_rejected(&mut self, now: Instant) {
        let own = self.mesh.own().ip;
        let reason_for = |key| {
            let reason = gate::rejection_reason(now, &self.map, &self.server, key);
            reason.or_else(|| self.is_stopping.then_some(Reason::Draining))
        };
        let rejected = self.queue.flows().filter_map(|f| Some((f, reason_for(f)?)));
        let mut rejected: Vec<_> = rejected.collect();
        rejected.sort_unstable_by_key(|(flow, _)| *flow);
        for (key, reason) in rejected {
            let Some(w) = self.queue.remove(key) else {
                continue;
            };
            let disposition = self.redirect_or_refuse(now, own, &w.header_with_age(now), reason);
            self.send_queued(&w, disposition);
        }
    }

    fn cold_reason(&mut self, now: Instant) -> Option<Reason> {
        if !self.server.is_cold(now) {
            return None;
        }
        let service = &self.server.statement()?.service;
        let rate = self.map.policy(service).cold_rate?;
        (!self.cold_budget.take(now, rate)).then_some(Reason::Cold)
    }

    pub(super) fn slots(&self) -> u32 {
        self.server.statement().map_or(1, |s| s.slots.max(1))
    }

    fn accept(&mut self, now: Instant, header: &Header, packet: &[u8]) -> Disposition {
        let key = header.caller_flow();
        let until = now + OPENING_TTL;
        let flow = Flow::opening(self.server.incarnation(), header, packet, until);
        self.busy += 1;
        self.bounced.remove(&key);
        // Copies of a packet that came back from a peer belong to the flow here.
        self.redirects.remove(&key);
        self.flows.insert(key, flow);
        self.answer_deadlines.push_back((now + ANSWER_TIMEOUT, key));
        self.request_deadlines.push(Reverse((until, key)));
        self.record_share(now, key);
        let age = self.server.age(now);
        self.record_decision(Decision {
            age,
            busy: Some(self.busy),
            work: self.work.measured(),
            hops: header.trail.hops,
            ..Decision::new(Step::Accepted, key, self.map.index)
        });
        Disposition::Deliver
    }

    /// Redirects an opening packet that the server must not get to a peer. If there is none, refuses it, so
    /// that the caller knows at once.
    pub(super) fn redirect_or_refuse(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        header: &Header,
        reason: Reason,
    ) -> Disposition {
        let key = header.caller_flow();
        let peer = self.choose_peer(now, from, key, PeerFilter::Any);
        if let Some(to) = peer.filter(|_| header.trail.hops < MAX_HOPS) {
            return self.redirect_to(now, to, header, reason);
        }
        self.refuse(now, header, reason)
    }

    /// Refuses an opening packet and resets the flow, so that the caller can retry or give up at once.
    fn refuse(&mut self, now: Instant, header: &Header, reason: Reason) -> Disposition {
        self.refuse_after(now, header, reason, None)
    }

    fn refuse_queued(&mut self, now: Instant, w: &QueuedOpening, reason: Reason) {
        self.refuse_after(now, &w.header, reason, Some(w.waited(now)));
    }

    fn refuse_after(
        &mut self,
        now: Instant,
        header: &Header,
        reason: Reason,
        waited: Option<Duration>,
    ) -> Disposition {
        let key = header.caller_flow();
        self.record_decision(Decision {
            reason: Some(reason),
            age: self.server.age(now),
            waited,
            busy: Some(self.busy),
            hops: header.trail.hops,
            ..Decision::new(Step::Refused, key, self.map.index)
        });
        if reason != Reason::NoMap {
            self.actions.push(Action::Reset { flow: key, seq: 0 });
        }
        Disposition::Drop
    }

    /// Returns the service of a flow that reached this agent: the local server's service if the route allows
    /// it.
    fn service_for(&mut self, key: FlowKey) -> Option<ServiceLabel> {
        let draw = self.rng.random();
        let route = self.map.route(key.service)?;
        let own = self.server.statement().map(|s| &s.service);
        let own = own.filter(|service| route.allows(service));
        own.or_else(|| route.pick(draw)).cloned()
    }

    /// Chooses a peer that may accept the flow.
    fn choose_peer(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        key: FlowKey,
        filter: PeerFilter,
    ) -> Option<Ipv4Addr> {
        self.trace_choice(now, from, key, filter);
        let service = self.service_for(key)?;
        let zone = self.server.statement().map(|s| s.zone.clone());
        let load = self.mesh.load_estimator(now);
        let candidates =
            Self::redirect_candidates(&self.map, &self.mesh, now, from, &service, filter);
        let chosen = match &zone {
            Some(zone) => {
                placement::choose_agent(&mut self.rng, load, candidates, zone, PROBE_POLICY)?
            }
            None => candidates
                .map(Candidate::from)
                .min_by_key(|c| load.completion(c.received))?,
        };
        Some(chosen.agent)
    }

    /// Returns the agents of `service` to which an opening packet from `from` may be redirected.
    pub(super) fn redirect_candidates<'a>(
        map: &'a ServiceMap,
        mesh: &'a Mesh,
        now: Instant,
        from: Ipv4Addr,
        service: &'a ServiceLabel,
        filter: PeerFilter,
    ) -> impl Iterator<Item = (Ipv4Addr, &'a ReceivedReport)> + Clone {
        let load = mesh.load_estimator(now);
        let candidates = mesh.reachable_agents(now, service);
        candidates.filter(move |(ip, received)| {
            *ip != from
                && map.is_zone_enabled(&received.report.zone)
                && filter.accepts(load, received)
        })
    }

    fn remember_redirect(&mut self, now: Instant, key: FlowKey, to: Ipv4Addr, copy: u32) {
        let until = now + REDIRECT_TTL;
        self.redirects.insert(key, Redirect { to, copy, until });
    }

    fn redirect_to(
        &mut self,
        now: Instant,
        to: Ipv4Addr,
        header: &Header,
        why: Reason,
    ) -> Disposition {
        let key = header.caller_flow();
        self.remember_redirect(now, key, to, header.ack);
        self.mesh.on_placed(now, to);
        self.record_decision(Decision {
            node: Some(to),
            reason: Some(why),
            busy: Some(self.busy),
            age: self.mesh.last_seen_age(now, to),
            hops: header.trail.hops,
            ..Decision::new(Step::PassedOn, key, self.map.index)
        });
        Self::forward_opening(to, header.trail)
    }

    /// Returns the target of an earlier copy's redirection. The same copy can come back from peers that
    /// redirected it in turn; it is then decided on anew, because redirections must not form a loop.
    fn redirect_of_copy(&self, now: Instant, header: &Header) -> Option<Ipv4Addr> {
        let key = header.caller_flow();
        let is_later_copy = self
            .redirects
            .get(&key)
            .is_some_and(|r| header.ack > r.copy);
        let may_follow = is_later_copy && header.trail.hops < MAX_HOPS;
        let to = self.active_redirect(now, key).filter(|_| may_follow)?;
        self.mesh.is_reliable(now, to).then_some(to)
    }

    const fn forward_opening(to: Ipv4Addr, trail: Trail) -> Disposition {
        let trail = trail.next_hop(Purpose::Placed);
        Disposition::Forward { to, trail }
    }

    pub(super) fn active_redirect(&self, now: Instant, key: FlowKey) -> Option<Ipv4Addr> {
        let redirect = self.redirects.get(&key)?;
        let holds = now < redirect.until && self.mesh.is_live(now, redirect.to);
        holds.then_some(redirect.to)
    }

    /// Also sends to a peer those opening packets that the server has not answered in time.
    pub(super) fn offer_unanswered_openings(&mut self, now: Instant) {
        while let Some((at, key)) = self.answer_deadlines.front().copied()
            && at <= now
        {
            self.answer_deadlines.pop_front();
            let opening = self.flows.get_mut(&key).and_then(|f| f.opening.take());
            let Some(packet) = opening else {
                continue;
            };
            self.server.on_unanswered(now);
            let trail = self.flows[&key].trail;
            self.set_request_state(now, key, RequestState::Idle);
            self.record_decision(Decision {
                age: self.server.age(now),
                busy: Some(self.busy),
                ..Decision::new(Step::Unanswered, key, self.map.index)
            });
            let peer = self.choose_peer(now, self.mesh.own().ip, key, PeerFilter::Any);
            let Some(to) = peer.filter(|_| trail.hops < MAX_HOPS) else {
                continue;
            };
            self.remember_redirect(now, key, to, 0);
            let trail = trail.next_hop(Purpose::Placed);
            self.actions.push(Action::Forward { to, trail, packet });
        }
    }
}
