//! Opening packets: the gate, passing on, waiting, refusing.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use rand::Rng;

use super::{Action, Agent, Disposition, Flow, OPENING_TTL, Redirect, Work};
use crate::forwarded::decision::{Decision, Reason, Step};
use crate::forwarded::gate::{self, Capacity};
use crate::forwarded::mesh::ReceivedReport;
use crate::forwarded::packet::{FlowKey, Header, Purpose, Trail};
use crate::forwarded::placement::{self, Candidate, ProbePolicy};
use crate::forwarded::service_map::ServiceLabel;
use crate::forwarded::waiting::{QueuedOpening, max_queue_time};

/// How often an opening packet is passed on between agents.
const MAX_HOPS: u8 = 3;
/// Time for a server to answer an opening packet; it does so without working on a request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which a flow's redirection is remembered: as long as the caller sends copies.
const REDIRECT_TTL: Duration = Duration::from_secs(3);
/// Time by which a peer must be done earlier to get an opening packet: the way there, and what may have
/// changed since it reported.
const PASS_ON_MARGIN: Duration = Duration::from_millis(8);

/// The peers to which an opening packet may be passed on.
#[derive(Clone, Copy, Debug)]
enum Wanted {
    /// All.
    Any,
    /// Those whose servers are not suspended.
    Trusted,
    /// Those of them that would be done within that time.
    Sooner(Duration),
}

impl Wanted {
    fn fits(self, received: &ReceivedReport) -> bool {
        let is_trusted = !received.report.responses.is_suspended;
        match self {
            Self::Any => true,
            Self::Trusted => is_trusted,
            Self::Sooner(than) => is_trusted && placement::expected_completion(received) < than,
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
        if let Some(to) = self.copy_redirect(now, header).filter(|to| *to != from) {
            return Self::forward_opening(to, header.trail);
        }
        if let Some(flow) = self.flows.get_mut(&key) {
            // The answer may have been lost; the server gives it again.
            flow.forget_at = flow.forget_at.max(now + OPENING_TTL);
            return if flow.is_open {
                Disposition::Drop
            } else {
                Disposition::Deliver
            };
        }
        if self.waiting.contains(key) {
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
            return self.pass_on(now, from, header, reason);
        }
        let may_pass_on = header.trail.hops < MAX_HOPS;
        if may_pass_on
            && self.is_held_back(now)
            && let Some(to) = self.peer(now, from, key, Wanted::Trusted)
        {
            return self.redirect_to(now, to, header, Reason::Suspended);
        }
        let least = self.completion().saturating_sub(PASS_ON_MARGIN);
        match self.peer(now, from, key, Wanted::Sooner(least)) {
            Some(to) if may_pass_on => self.redirect_to(now, to, header, Reason::Busy),
            _ if self.waiting.is_empty() && self.has_room(key) => self.accept(now, header, packet),
            _ => self.wait(now, header, packet),
        }
    }

    /// Whether the server is suspended, and does not get a flow now.
    fn is_held_back(&mut self, now: Instant) -> bool {
        self.outlier.is_suspended() && !self.outlier.take_probe(now)
    }

    /// When a request that came now would be done here.
    fn completion(&self) -> Duration {
        placement::completion(self.work.time(), self.total_requests(), self.slots())
    }

    /// How many may wait so that the server has worked all off within `longest`.
    fn most_waiting(&self, longest: Duration) -> usize {
        let work = self.work.time().as_secs_f64().max(f64::EPSILON);
        let turns = (longest.as_secs_f64() / work - 1.0).max(0.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative, and a bound that is cut off there is one still"
        )]
        let all = (turns * f64::from(self.slots())) as u32;
        all.saturating_sub(self.busy) as usize
    }

    /// When a request that is given to the server now would be done.
    fn completion_of_next(&self) -> Duration {
        placement::completion(self.work.time(), self.busy, self.slots())
    }

    /// Requests at the server, on their way to it, and waiting for it.
    pub(super) fn total_requests(&self) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.busy.saturating_add(waiting)
    }

    /// Whether the server takes another request of that flow's kind.
    fn has_room(&self, key: FlowKey) -> bool {
        let policy = self.map.route(key.service).map(|r| r.policy);
        let target = policy.map_or(Duration::ZERO, |t| t.target);
        let capacity = gate::capacity(self.work.time(), self.busy, self.slots(), target);
        capacity == Capacity::Room
    }

    fn wait(&mut self, now: Instant, header: &Header, packet: &[u8]) -> Disposition {
        let key = header.caller_flow();
        let Some(policy) = self.map.route(key.service).map(|r| r.policy) else {
            return self.refuse(now, header, Reason::OtherService);
        };
        self.waiting.enter(now, header, packet, policy);
        let most = self.most_waiting(max_queue_time(policy));
        for w in self.waiting.trim(now, self.completion_of_next(), most) {
            self.refuse(now, &w.header, Reason::Busy);
        }
        if !self.waiting.contains(key) {
            return Disposition::Drop;
        }
        self.decide(Decision {
            busy: Some(self.total_requests()),
            hops: header.trail.hops,
            ..Decision::new(Step::Waits, key, self.map.index)
        });
        Disposition::Drop
    }

    /// Gives the server what waits for it, as far as it has room.
    pub(super) fn admit(&mut self, now: Instant) {
        if self.waiting.is_empty() {
            return;
        }
        for w in self.waiting.expired(now) {
            self.refuse(now, &w.header, Reason::Busy);
        }
        let takes_none = self.server.unavailability(now).is_some() || self.is_stopping;
        while let Some(next) = self.waiting.next(now, self.completion_of_next()) {
            let key = next.flow;
            let has_room = if next.is_late {
                gate::would_idle(self.busy, self.slots())
            } else {
                self.has_room(key)
            };
            if !takes_none && !has_room {
                return;
            }
            let Some(w) = self.waiting.leave(key) else {
                return;
            };
            let rejection_reason = gate::rejection_reason(now, &self.map, &self.server, key);
            if let Some(reason) =
                rejection_reason.or_else(|| self.is_stopping.then_some(Reason::Draining))
            {
                self.pass_on_kept(now, &w, reason);
            } else {
                self.accept(now, &w.header, &w.packet);
                self.actions.push(Action::Deliver(w.packet));
            }
        }
    }

    fn pass_on_kept(&mut self, now: Instant, w: &QueuedOpening, reason: Reason) {
        let own = self.mesh.own().ip;
        if let Disposition::Forward { to, trail } = self.pass_on(now, own, &w.header, reason) {
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
        (!self.cold.take(now, rate)).then_some(Reason::Cold)
    }

    pub(super) fn slots(&self) -> u32 {
        self.server.statement().map_or(1, |s| s.slots)
    }

    fn accept(&mut self, now: Instant, header: &Header, packet: &[u8]) -> Disposition {
        let key = header.caller_flow();
        let until = now + OPENING_TTL;
        let flow = Flow::opening(self.server.incarnation(), header, packet, until);
        self.busy += 1;
        self.handed_back.remove(&key);
        self.flows.insert(key, flow);
        self.unanswered.push_back((now + ANSWER_TIMEOUT, key));
        self.expected.push_back((until, key));
        let age = self.server.age(now);
        self.decide(Decision {
            age,
            busy: Some(self.busy),
            work: self.work.measured(),
            hops: header.trail.hops,
            ..Decision::new(Step::Accepted, key, self.map.index)
        });
        Disposition::Deliver
    }

    /// The server must not get the packet. A peer gets it, and where there is none the caller is told
    /// at once.
    pub(super) fn pass_on(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        header: &Header,
        reason: Reason,
    ) -> Disposition {
        let key = header.caller_flow();
        let peer = self.peer(now, from, key, Wanted::Any);
        if let Some(to) = peer.filter(|_| header.trail.hops < MAX_HOPS) {
            return self.redirect_to(now, to, header, reason);
        }
        self.refuse(now, header, reason)
    }

    /// The caller is told that its flow was not opened, so that it can decide what to do next.
    fn refuse(&mut self, now: Instant, header: &Header, reason: Reason) -> Disposition {
        let key = header.caller_flow();
        self.decide(Decision {
            reason: Some(reason),
            age: self.server.age(now),
            busy: Some(self.busy),
            hops: header.trail.hops,
            ..Decision::new(Step::Refused, key, self.map.index)
        });
        if reason != Reason::NoMap {
            self.actions.push(Action::Reset { flow: key, seq: 0 });
        }
        Disposition::Drop
    }

    /// The service that a flow to this agent is for: the own one if its route allows that.
    fn service_of(&mut self, key: FlowKey) -> Option<ServiceLabel> {
        let draw = self.rng.random();
        let route = self.map.route(key.service)?;
        let own = self.server.statement().map(|s| &s.service);
        let own = own.filter(|service| route.allows(service));
        own.or_else(|| route.pick(draw)).cloned()
    }

    /// A peer that may take the flow.
    fn peer(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        key: FlowKey,
        wanted: Wanted,
    ) -> Option<Ipv4Addr> {
        let service = self.service_of(key)?;
        let zone = self.server.statement().map(|s| s.zone.clone());
        let map = &self.map;
        let open = self.mesh.reachable_agents(now, &service);
        let open =
            open.filter(|(ip, received)| *ip != from && map.is_zone_enabled(&received.report.zone));
        let open = open.filter(|(_, received)| wanted.fits(received));
        let chosen = match &zone {
            Some(zone) => {
                placement::choose_agent(&mut self.rng, open, zone, ProbePolicy::OnlyIfAllSuspended)?
            }
            None => open
                .map(Candidate::from)
                .min_by_key(|c| placement::expected_completion(c.received))?,
        };
        Some(chosen.agent)
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
        self.decide(Decision {
            node: Some(to),
            reason: Some(why),
            busy: Some(self.busy),
            age: self.mesh.last_seen_age(now, to),
            hops: header.trail.hops,
            ..Decision::new(Step::PassedOn, key, self.map.index)
        });
        Self::forward_opening(to, header.trail)
    }

    /// Where an earlier copy of an opening packet went. The same copy again was handed on by those to
    /// whom it went, so it is judged anew: redirections must not form a ring.
    fn copy_redirect(&self, now: Instant, header: &Header) -> Option<Ipv4Addr> {
        let key = header.caller_flow();
        let is_later = self
            .redirects
            .get(&key)
            .is_some_and(|r| header.ack > r.copy);
        let may_follow = is_later && header.trail.hops < MAX_HOPS;
        self.redirect(now, key).filter(|_| may_follow)
    }

    const fn forward_opening(to: Ipv4Addr, trail: Trail) -> Disposition {
        let trail = trail.next_hop(Purpose::Placed);
        Disposition::Forward { to, trail }
    }

    pub(super) fn redirect(&self, now: Instant, key: FlowKey) -> Option<Ipv4Addr> {
        let redirect = self.redirects.get(&key)?;
        let holds = now < redirect.until && self.mesh.is_live(now, redirect.to);
        holds.then_some(redirect.to)
    }

    /// Opening packets that the server left unanswered go to a peer as well.
    pub(super) fn offer_unanswered(&mut self, now: Instant) {
        while let Some((at, key)) = self.unanswered.front().copied()
            && at <= now
        {
            self.unanswered.pop_front();
            let opening = self.flows.get_mut(&key).and_then(|f| f.opening.take());
            let Some(packet) = opening else {
                continue;
            };
            self.server.on_unanswered(now);
            let trail = self.flows[&key].trail;
            self.set_work(key, Work::Idle);
            self.decide(Decision {
                age: self.server.age(now),
                busy: Some(self.busy),
                ..Decision::new(Step::Unanswered, key, self.map.index)
            });
            let peer = self.peer(now, self.mesh.own().ip, key, Wanted::Any);
            let Some(to) = peer.filter(|_| trail.hops < MAX_HOPS) else {
                continue;
            };
            self.remember_redirect(now, key, to, 0);
            let trail = trail.next_hop(Purpose::Placed);
            self.actions.push(Action::Forward { to, trail, packet });
        }
    }
}
