//! Opening packets: admission, redirection to other agents, queueing and refusal.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use rand::Rng;

use super::{Action, Agent, Disposition, Flow, OPENING_TTL, Redirect, RequestState};
use crate::forwarded::decision::{Decision, Reason, Step};
use crate::forwarded::gate::{self, Capacity};
use crate::forwarded::mesh::Mesh;
use crate::forwarded::packet::{FlowKey, Header, Purpose, Trail};
use crate::forwarded::placement::{self, Candidate, LoadEstimator, ProbePolicy};
use crate::forwarded::report::ReceivedReport;
use crate::forwarded::returning::RefusedAttempt;
use crate::forwarded::service_map::{ServiceLabel, ServiceMap};
use crate::forwarded::waiting::{QueuedOpening, ServerLoad, max_queue_time};

/// Most redirections of an opening packet between agents.
pub(super) const MAX_HOPS: u8 = 3;
/// Time in which a server answers an opening packet; it does so without processing a request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which the redirection of a flow is remembered: as long as callers send copies of an opening
/// packet.
const REDIRECT_TTL: Duration = Duration::from_secs(3);
/// Most redirections of an opening packet that cannot be on time at an agent. A second agent that cannot serve it in
/// time either shows that the service has no capacity left.
const MAX_OVERDUE_HOPS: u8 = 1;

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
        let since = self.first_seen(now, header);
        let header = &header.with_age(now.saturating_duration_since(since));
        if self.queue.is_empty() && self.busy < self.slots() {
            if self.is_in_time(now, since, key, Duration::ZERO) {
                self.record_share(now, key);
            }
            return self.accept(now, header, packet);
        }
        let faster = self.faster_peers();
        if can_redirect && let Some(to) = self.choose_peer(now, from, key, faster) {
            return self.redirect_to(now, to, header, Reason::Busy);
        }
        let has_capacity = self.queue.is_empty() && self.has_capacity(now, key);
        // The service times of the requests before it deviate.
        let margin = self.work_time(now);
        if has_capacity && self.is_in_time(now, since, key, margin) {
            self.record_share(now, key);
            return self.accept(now, header, packet);
        }
        if can_redirect && let Some(to) = self.take_slot_offer(now, from, key) {
            return self.redirect_to(now, to, header, Reason::SlotOffered);
        }
        self.enqueue(now, since, from, header, packet)
    }

    /// When the caller sent its first packet: a copy of this one, or that of an attempt that was refused just before.
    fn first_seen(&mut self, now: Instant, header: &Header) -> Instant {
        let sent_at = now.checked_sub(header.age()).unwrap_or(now);
        let refused = self.refused.take_first_seen(now, header.caller_flow());
        refused.map_or(sent_at, |at| at.min(sent_at))
    }

    /// Whether the server is suspended and no probe is due.
    fn is_withheld(&mut self, now: Instant) -> bool {
        self.outlier.is_suspended() && !self.outlier.take_probe(now)
    }

    /// Returns the expected service time of a request at the server.
    pub fn work_time(&self, now: Instant) -> Duration {
        self.work.time(self.server.is_cold(now))
    }

    /// Returns the state of the server that decides how long queued packets wait.
    pub(super) fn server_load(&self, now: Instant) -> ServerLoad {
        ServerLoad {
            now,
            work: self.work_time(now),
            busy: self.busy,
            slots: self.slots(),
        }
    }

    /// Largest queue length at which the server completes all requests within `longest`.
    fn max_queue_len(&self, now: Instant, longest: Duration) -> usize {
        let work = self.work_time(now).as_secs_f64().max(f64::EPSILON);
        let turns = (longest.as_secs_f64() / work - 1.0).max(0.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative, and a limit truncated to the range of `u32` is still a limit"
        )]
        let all = (turns * f64::from(self.slots())) as u32;
        all.saturating_sub(self.busy) as usize
    }

    /// Expected completion time of a request that is delivered to the server now.
    fn completion_if_admitted(&self, now: Instant) -> Duration {
        placement::completion(self.work_time(now), self.busy, self.slots())
    }

    /// Number of requests at the server, on their way to it, and in the admission queue.
    pub(super) fn total_requests(&self) -> u32 {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.busy.saturating_add(queued)
    }

    /// Whether the server can take another request with the policy of that flow. A server that is not measured yet may be
    /// far slower than its measured peers, so nothing queues there.
    fn has_capacity(&self, now: Instant, key: FlowKey) -> bool {
        let is_new = self.work.measured().is_none();
        let has_measured_peers = self.work.expected(self.server.is_cold(now)).is_some();
        if is_new && has_measured_peers && self.busy >= self.slots() {
            return false;
        }
        let policy = self.map.route(key.service).map(|r| r.policy);
        let target = policy.map_or(Duration::ZERO, |t| t.target);
        let capacity = gate::capacity(self.work_time(now), self.busy, self.slots(), target);
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

    /// Whether a request that is delivered to the server now would be answered on time, with `margin` to spare.
    fn is_in_time(&self, now: Instant, since: Instant, key: FlowKey, margin: Duration) -> bool {
        let route = self.map.route(key.service);
        route.is_some_and(|r| {
            let left = (since + r.policy.target).saturating_duration_since(now);
            self.completion_if_admitted(now) + self.queue.overhead() + margin <= left
        })
    }

    /// Queues an opening packet. Packets that cannot be on time behind others are redirected to a peer that can
    /// complete them in time, or wait for spare capacity. Those that would wait in vain are refused at once.
    fn enqueue(
        &mut self,
        now: Instant,
        since: Instant,
        from: Ipv4Addr,
        header: &Header,
        packet: &[u8],
    ) -> Disposition {
        let key = header.caller_flow();
        let Some(policy) = self.map.route(key.service).map(|r| r.policy) else {
            return self.refuse(now, header, Reason::OtherService);
        };
        self.queue.push(now, since, header, packet, policy);
        let load = self.server_load(now);
        for w in self.queue.take_overdue(load, key) {
            self.redirect_overdue(now, from, w);
        }
        for w in self.queue.take_unservable(load) {
            self.refuse_queued(now, &w, Reason::Busy);
        }
        let most = self.max_queue_len(now, max_queue_time(policy));
        for w in self.queue.trim(now, self.completion_if_admitted(now), most) {
            self.refuse_queued(now, &w, Reason::Busy);
        }
        if !self.queue.contains(key) {
            return Disposition::Drop;
        }
        self.record_decision(Decision {
            busy: Some(self.total_requests()),
            hops: header.trail.hops,
            ..Decision::new(Step::Waits, key, self.map.index)
        });
        Disposition::Drop
    }

    /// Redirects a packet that cannot be on time here to a peer that is expected to complete it in time, or lets it
    /// wait for spare capacity.
    fn redirect_overdue(&mut self, now: Instant, from: Ipv4Addr, w: QueuedOpening) {
        let spent = self.work_time(now) + self.queue.overhead();
        let limit = w.time_to_respond(now).saturating_sub(spent);
        let may_redirect = w.header.trail.hops < MAX_OVERDUE_HOPS;
        let filter = PeerFilter::CompletesWithin(limit);
        let flow = w.header.caller_flow();
        let peer = may_redirect.then(|| self.choose_peer(now, from, flow, filter));
        match peer.flatten() {
            Some(to) => self.forward_queued(now, to, &w, Reason::Busy),
            None => self.queue.push_overdue(w),
        }
    }

    /// Sends a packet that was taken from the queue to a peer.
    pub(super) fn forward_queued(
        &mut self,
        now: Instant,
        to: Ipv4Addr,
        w: &QueuedOpening,
        why: Reason,
    ) {
        let age = now.saturating_duration_since(w.since());
        let disposition = self.redirect_to(now, to, &w.header.with_age(age), why);
        if let Disposition::Forward { to, trail } = disposition {
            let packet = w.packet.clone();
            self.actions.push(Action::Forward { to, trail, packet });
        }
    }

    /// Delivers queued opening packets to the server while it has capacity.
    pub(super) fn admit(&mut self, now: Instant) {
        if self.queue.is_empty() {
            return;
        }
        for w in self.queue.take_expired(now) {
            self.refuse_queued(now, &w, Reason::Busy);
        }
        let is_rejecting = self.server.unavailability(now).is_some() || self.is_stopping;
        while let Some(next) = self.queue.next(now, self.completion_if_admitted(now)) {
            let key = next.flow;
            let has_capacity = if next.is_late {
                gate::would_idle(self.busy, self.slots())
            } else {
                self.has_capacity(now, key)
            };
            if !is_rejecting && !has_capacity {
                return;
            }
            let Some(w) = self.queue.remove(key) else {
                return;
            };
            let rejection_reason = gate::rejection_reason(now, &self.map, &self.server, key);
            if let Some(reason) =
                rejection_reason.or_else(|| self.is_stopping.then_some(Reason::Draining))
            {
                self.redirect_queued(now, &w, reason);
            } else {
                if !next.is_late {
                    self.record_share(now, key);
                }
                self.accept(now, &w.header, &w.packet);
                self.actions.push(Action::Deliver(w.packet));
            }
        }
    }

    fn redirect_queued(&mut self, now: Instant, w: &QueuedOpening, reason: Reason) {
        let own = self.mesh.own().ip;
        if let Disposition::Forward { to, trail } =
            self.redirect_or_refuse(now, own, &w.header, reason)
        {
            let packet = w.packet.clone();
            self.actions.push(Action::Forward { to, trail, packet });
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
        self.request_deadlines.push_back((until, key));
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
        let since = now.checked_sub(header.age());
        self.refuse_after(now, since.unwrap_or(now), header, reason, None)
    }

    fn refuse_queued(&mut self, now: Instant, w: &QueuedOpening, reason: Reason) {
        self.refuse_after(now, w.since(), &w.header, reason, Some(w.waited(now)));
    }

    fn refuse_after(
        &mut self,
        now: Instant,
        since: Instant,
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
            let attempt = RefusedAttempt {
                flow: key,
                first_seen_at: since,
                refused_at: now,
            };
            let route = self.map.route(key.service);
            if let Some(target) = route.map(|r| r.policy.target) {
                self.refused.on_refused(attempt, target);
            }
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
