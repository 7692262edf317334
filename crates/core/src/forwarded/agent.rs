//! The agent beside a backend server: its gate, its flows, and its share of the flow directory.
//!
//! Callers' packets come in from balancers, keepers and peers; [`Agent::on_caller_packet`] says what
//! becomes of each. The server's own packets pass [`Agent::on_server_packet`], by which the agent
//! learns what its server took. What must be done besides the packet at hand is collected as
//! [`Action`]s.
//!
//! A flow opens at the server whose first position the caller acknowledges. So an opening packet may
//! go to several servers without harm, and a packet belongs here only if it acknowledges what *this*
//! server said. Nothing that may be open is ever reset: a flow is broken off only when its server's
//! life is known to be over.

use std::collections::{HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::decision::{Decision, Reason, Step};
use super::gate::{self, ColdBudget, Fullness};
use super::keepers::{FlowDirectory, FlowPlace, Keepers};
use super::mesh::{Mesh, ServerReport};
use super::packet::{FlowKey, Header, Purpose, Trail};
use super::placement::{self, Candidate, WorkTime};
use super::server::{Life, Server, ServerStatement, StatementOutcome};
use super::service_map::{ServiceLabel, ServiceMap};
use super::waiting::{Waiting, WaitingRoom};

/// How often an opening packet is passed on between agents.
const MAX_HOPS: u8 = 3;
/// How often any packet is passed on between agents; a bound on loops between stale views.
const MAX_FOLLOWING_HOPS: u8 = 6;
/// Time for a server to answer an opening packet; it does so without working on a request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which a flow's redirection is remembered: as long as the caller sends copies.
const REDIRECT_TTL: Duration = Duration::from_secs(3);
/// Time for which a flow that is not open yet is remembered.
const OPENING_TTL: Duration = Duration::from_secs(2);
/// Time in which a caller sends its request once the flow is open: a round trip, and the wait for a
/// lost packet.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a request no longer counts as worked on, whatever became of it.
const WORK_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a flow is remembered after both ends have ended it, for packets sent again.
const ENDED_TTL: Duration = Duration::from_secs(10);
/// Time for which a flow is remembered without packets, over every idle limit in use.
const IDLE_TTL: Duration = Duration::from_secs(30);
/// Time from a server's farewell to the end of its flows; it may still be sending.
const FAREWELL: Duration = Duration::from_millis(300);
/// Report intervals for which a server that has just started may serve before its first report
/// arrives.
const UNREPORTED_INTERVALS: f64 = 1.5;
/// Time by which a peer must be done earlier to get an opening packet: the way there, and what may have
/// changed since it reported.
const PASS_ON_MARGIN: Duration = Duration::from_millis(8);
/// Agents that a packet of an unknown flow is sent to.
const MAX_SEARCHED: usize = 16;
/// Searches in one tick; a bound on what packets of flows that never were can cost.
const SEARCHES_PER_TICK: u32 = 4;
/// Flows that keepers are told of anew in one tick.
const RETOLD_PER_TICK: usize = 64;
/// Time between two clean-ups of the tables.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// How far beyond a server's first position a caller may acknowledge for an opening flow to be that
/// server's; the rest of the number space belongs to others.
const ACK_WINDOW: u32 = 1 << 20;

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// To the backend server beside this agent.
    Deliver,
    /// To the caller.
    Return,
    /// To another agent, with this trail.
    Forward {
        /// The agent.
        to: Ipv4Addr,
        /// What it is told.
        trail: Trail,
    },
    /// Nowhere.
    Drop,
}

/// What is to be done besides the packet at hand.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a packet that was kept to another agent.
    Forward {
        /// The agent.
        to: Ipv4Addr,
        /// What it is told.
        trail: Trail,
        /// The packet.
        packet: Bytes,
    },
    /// Give a packet that was kept to the backend server again.
    Deliver(Bytes),
    /// Break a flow off.
    Reset {
        /// The flow.
        flow: FlowKey,
        /// What the caller expects next.
        seq: u32,
    },
    /// Tell a balancer at once where a flow is.
    TellBalancer {
        /// The balancer.
        to: Ipv4Addr,
        /// The flow.
        place: FlowPlace,
    },
    /// Tell a keeper soon where a flow is.
    TellKeeper {
        /// The keeper.
        to: Ipv4Addr,
        /// The flow.
        place: FlowPlace,
    },
    /// See whether something listens at the server's port.
    CheckPort,
}

/// How far a flow's current request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Work {
    /// A request is about to come.
    Expected { until: Instant },
    /// The server works on one.
    Running {
        since: Instant,
        /// Requests that the server had with it.
        among: u32,
        until: Instant,
    },
    /// None.
    Idle,
}

impl Work {
    const fn is_running(self) -> bool {
        matches!(self, Self::Running { .. })
    }

    const fn counts(self) -> bool {
        !matches!(self, Self::Idle)
    }
}

#[derive(Debug)]
struct Flow {
    life: Life,
    /// The caller has acknowledged what the server said first.
    is_open: bool,
    server_seq: Option<u32>,
    /// When the server first answered.
    answered_at: Option<Instant>,
    /// The opening packet, while the server has not answered it.
    opening: Option<Bytes>,
    /// The first packet of the request that the server works on.
    request: Option<Bytes>,
    trail: Trail,
    work: Work,
    caller_next: u32,
    caller_ack: u32,
    caller_ended: bool,
    server_ended: bool,
    keepers: Keepers,
    forget_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Redirect {
    to: Ipv4Addr,
    /// The copy of the opening packet that was passed on.
    copy: u32,
    until: Instant,
}

/// The agent's decisions.
#[derive(Debug)]
pub struct Agent {
    started_at: Instant,
    max_flow_age: Duration,
    rng: StdRng,
    map: Arc<ServiceMap>,
    mesh: Mesh,
    server: Server,
    cold: ColdBudget,
    flows: HashMap<FlowKey, Flow>,
    busy: u32,
    /// Those of them that have reached the server.
    running: u32,
    work: WorkTime,
    waiting: WaitingRoom,
    redirects: HashMap<FlowKey, Redirect>,
    directory: FlowDirectory,
    unanswered: VecDeque<(Instant, FlowKey)>,
    expected: VecDeque<(Instant, FlowKey)>,
    retold_version: u64,
    to_retell: Vec<FlowKey>,
    searches_left: u32,
    sweep_at: Instant,
    farewell_at: Option<Instant>,
    is_stopping: bool,
    actions: Vec<Action>,
    decisions: Vec<Decision>,
}

impl Agent {
    /// Makes the agent of a server that reports every `report_interval`; `seed` draws its choices.
    pub fn new(
        now: Instant,
        mesh: Mesh,
        report_interval: Duration,
        max_flow_age: Duration,
        seed: u64,
    ) -> Self {
        Self {
            started_at: now,
            max_flow_age,
            rng: StdRng::seed_from_u64(seed),
            map: Arc::default(),
            mesh,
            server: Server::new(now, report_interval),
            cold: ColdBudget::default(),
            flows: HashMap::new(),
            busy: 0,
            running: 0,
            work: WorkTime::default(),
            waiting: WaitingRoom::default(),
            redirects: HashMap::new(),
            directory: FlowDirectory::default(),
            unanswered: VecDeque::new(),
            expected: VecDeque::new(),
            retold_version: 0,
            to_retell: Vec::new(),
            searches_left: SEARCHES_PER_TICK,
            sweep_at: now,
            farewell_at: None,
            is_stopping: false,
            actions: Vec::new(),
            decisions: Vec::new(),
        }
    }

    /// What is known of the other nodes.
    pub const fn mesh(&self) -> &Mesh {
        &self.mesh
    }

    /// What is known of the other nodes, to take in what they say.
    pub const fn mesh_mut(&mut self) -> &mut Mesh {
        &mut self.mesh
    }

    /// The server beside the agent.
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// The configuration in force.
    pub const fn map(&self) -> &Arc<ServiceMap> {
        &self.map
    }

    /// A configuration arrived; an older one is left aside.
    pub fn on_map(&mut self, map: Arc<ServiceMap>) -> bool {
        let newer = map.index > self.map.index;
        if newer {
            self.map = map;
        }
        newer
    }

    /// Flows that the agent remembers.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Flows that the agent keeps track of for others.
    pub fn kept(&self) -> usize {
        self.directory.len()
    }

    /// Requests at the server, or on their way to it.
    pub const fn busy(&self) -> u32 {
        self.busy
    }

    /// What is to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// What was decided since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// The agent is told to stop: no new flows from now on.
    pub const fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// What the others are told of the server; none before it has reported.
    pub fn report(&self, now: Instant) -> Option<ServerReport> {
        let statement = self.server.statement()?;
        let zone_in = self.map.is_zone_in(&statement.zone);
        let open = self.server.closed(now).is_none() && zone_in && self.map.table.is_some();
        Some(ServerReport {
            service: statement.service.clone(),
            zone: statement.zone.clone(),
            open: open && !self.is_stopping,
            cold: self.server.is_cold(now),
            busy: self.asked_for(),
            work: self.work.measured(),
            flows: u32::try_from(self.flows.len()).unwrap_or(u32::MAX),
            slots: statement.slots,
        })
    }

    /// The server reported.
    pub fn on_statement(&mut self, now: Instant, statement: ServerStatement) -> StatementOutcome {
        let outcome = self.server.on_statement(now, statement);
        if outcome == StatementOutcome::NewLife {
            self.work = WorkTime::default();
            self.end_earlier_flows(now);
        }
        outcome
    }

    /// The server of that name goes.
    pub fn on_leave(&mut self, now: Instant, id: &str) -> bool {
        let left = self.server.on_leave(id);
        if left {
            self.farewell_at = Some(now + FAREWELL);
        }
        left
    }

    /// Nothing listened at the server's port when it was looked at, `looked_at`; true if its life
    /// ended by that.
    pub fn on_port_closed(&mut self, looked_at: Instant) -> bool {
        let ended = self.server.on_port_closed();
        if ended {
            self.end_flows(|f| f.answered_at.is_none_or(|at| at < looked_at));
        }
        ended
    }

    /// A new life of the server was heard of. It may have answered flows before it reported: those are
    /// asked after by sending their request again, which a server hands back that does not hold them.
    fn end_earlier_flows(&mut self, now: Instant) {
        let current = self.server.life();
        let unreported = self.server.report_interval().mul_f64(UNREPORTED_INTERVALS);
        let earlier = |f: &Flow| f.life < current;
        let is_recent = |f: &Flow| f.answered_at.is_some_and(|at| now < at + unreported);
        self.end_flows(|f| earlier(f) && !is_recent(f));
        for flow in self.flows.values_mut().filter(|f| earlier(f)) {
            flow.life = current;
            let asked = flow.request.clone().map(Action::Deliver);
            self.actions.extend(asked);
        }
    }

    /// Tells the callers of flows whose server is gone, so that they can ask again at once.
    fn end_flows(&mut self, is_over: impl Fn(&Flow) -> bool) {
        let over = self.flows.iter().filter(|(_, f)| is_over(f));
        let mut over: Vec<_> = over.map(|(flow, _)| *flow).collect();
        over.sort_unstable();
        for key in over {
            if let Some(flow) = self.remove(key) {
                self.break_off(key, &flow);
            }
        }
    }

    fn break_off(&mut self, key: FlowKey, flow: &Flow) {
        // A flow that is not open here may have opened at the peer that got its opening packet too.
        let may_be_elsewhere = !flow.is_open && self.redirects.contains_key(&key);
        if may_be_elsewhere || (flow.caller_ended && flow.server_ended) {
            return;
        }
        let seq = flow.caller_ack;
        self.actions.push(Action::Reset { flow: key, seq });
        self.decide(Decision::new(Step::ServerGone, key, self.map.index));
    }

    /// A packet of a caller came in; `from` is the node that sent it.
    pub fn on_caller_packet(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        header: &Header,
        packet: &[u8],
    ) -> Fate {
        if header.flags.is_opening() {
            self.on_opening(now, from, header, packet)
        } else {
            self.on_following(now, header, packet)
        }
    }

    fn on_opening(&mut self, now: Instant, from: Ipv4Addr, header: &Header, packet: &[u8]) -> Fate {
        let key = header.caller_flow();
        if let Some(to) = self.copy_redirect(now, header).filter(|to| *to != from) {
            return Self::forward_opening(to, header.trail);
        }
        if let Some(flow) = self.flows.get_mut(&key) {
            // The answer may have been lost; the server gives it again.
            flow.forget_at = flow.forget_at.max(now + OPENING_TTL);
            return if flow.is_open {
                Fate::Drop
            } else {
                Fate::Deliver
            };
        }
        if self.waiting.contains(key) {
            return Fate::Drop;
        }
        let barred = gate::barred(now, &self.map, &self.server, key);
        let barred = match barred {
            Some(Reason::Silent) if self.server.take_trial(now) => None,
            barred => barred,
        };
        let reason = barred.or_else(|| self.is_stopping.then_some(Reason::Draining));
        let reason = reason.or_else(|| self.cold_reason(now));
        if let Some(reason) = reason {
            return self.pass_on(now, from, header, reason);
        }
        let least = self.completion().saturating_sub(PASS_ON_MARGIN);
        match self.peer(now, from, key, Some(least)) {
            Some(to) if header.trail.hops < MAX_HOPS => {
                self.redirect_to(now, to, header, Reason::Busy)
            }
            _ if self.waiting.is_empty() && self.has_room(key) => self.accept(now, header, packet),
            _ => self.wait(now, header, packet),
        }
    }

    /// When a request that came now would be done here.
    fn completion(&self) -> Duration {
        placement::completion(self.work.time(), self.asked_for(), self.slots())
    }

    /// Requests at the server, on their way to it, and waiting for it.
    fn asked_for(&self) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.busy.saturating_add(waiting)
    }

    /// Whether the server takes another request of that flow's kind.
    fn has_room(&self, key: FlowKey) -> bool {
        let terms = self.map.route(key.service).map(|r| r.terms);
        let target = terms.map_or(Duration::ZERO, |t| t.target);
        let fullness = gate::fullness(self.work.time(), self.busy, self.slots(), target);
        fullness == Fullness::Room
    }

    fn wait(&mut self, now: Instant, header: &Header, packet: &[u8]) -> Fate {
        let key = header.caller_flow();
        let terms = self.map.route(key.service).map(|r| r.terms);
        let wait = self.completion();
        let waits = terms.is_some_and(|t| self.waiting.enter(now, header, packet, t, wait));
        if !waits {
            return self.refuse(now, header, Reason::Busy);
        }
        self.decide(Decision {
            busy: Some(self.asked_for()),
            hops: header.trail.hops,
            ..Decision::new(Step::Waits, key, self.map.index)
        });
        Fate::Drop
    }

    /// Gives the server what waits for it, as far as it has room.
    fn admit(&mut self, now: Instant) {
        if self.waiting.is_empty() {
            return;
        }
        for w in self.waiting.expired(now) {
            self.refuse(now, &w.header, Reason::Busy);
        }
        let takes_none = self.server.closed(now).is_some() || self.is_stopping;
        while let Some(key) = self.waiting.next(now, self.work.time()) {
            if !takes_none && !self.has_room(key) {
                return;
            }
            let Some(w) = self.waiting.leave(key) else {
                return;
            };
            let barred = gate::barred(now, &self.map, &self.server, key);
            if let Some(reason) = barred.or_else(|| self.is_stopping.then_some(Reason::Draining)) {
                self.pass_on_kept(now, &w, reason);
            } else {
                self.accept(now, &w.header, &w.packet);
                self.actions.push(Action::Deliver(w.packet));
            }
        }
    }

    fn pass_on_kept(&mut self, now: Instant, w: &Waiting, reason: Reason) {
        let own = self.mesh.own().ip;
        if let Fate::Forward { to, trail } = self.pass_on(now, own, &w.header, reason) {
            let packet = w.packet.clone();
            self.actions.push(Action::Forward { to, trail, packet });
        }
    }

    fn cold_reason(&mut self, now: Instant) -> Option<Reason> {
        if !self.server.is_cold(now) {
            return None;
        }
        let service = &self.server.statement()?.service;
        let rate = self.map.terms(service).cold_rate?;
        (!self.cold.take(now, rate)).then_some(Reason::Cold)
    }

    fn slots(&self) -> u32 {
        self.server.statement().map_or(1, |s| s.slots)
    }

    fn accept(&mut self, now: Instant, header: &Header, packet: &[u8]) -> Fate {
        let key = header.caller_flow();
        let flow = Flow {
            life: self.server.life(),
            is_open: false,
            server_seq: None,
            answered_at: None,
            opening: Some(Bytes::copy_from_slice(packet)),
            request: None,
            trail: header.trail,
            work: Work::Expected {
                until: now + OPENING_TTL,
            },
            caller_next: header.seq.wrapping_add(1),
            caller_ack: 0,
            caller_ended: false,
            server_ended: false,
            keepers: Keepers::default(),
            forget_at: now + OPENING_TTL,
        };
        self.busy += 1;
        self.flows.insert(key, flow);
        self.unanswered.push_back((now + ANSWER_TIMEOUT, key));
        self.expected.push_back((now + OPENING_TTL, key));
        let age = self.server.age(now);
        self.decide(Decision {
            age,
            busy: Some(self.busy),
            work: self.work.measured(),
            hops: header.trail.hops,
            ..Decision::new(Step::Accepted, key, self.map.index)
        });
        Fate::Deliver
    }

    /// The server must not get the packet. A peer gets it, and where there is none the caller is told
    /// at once.
    fn pass_on(&mut self, now: Instant, from: Ipv4Addr, header: &Header, reason: Reason) -> Fate {
        let key = header.caller_flow();
        let peer = self.peer(now, from, key, None);
        if let Some(to) = peer.filter(|_| header.trail.hops < MAX_HOPS) {
            return self.redirect_to(now, to, header, reason);
        }
        self.refuse(now, header, reason)
    }

    /// The caller is told that its flow was not opened, so that it can decide what to do next.
    fn refuse(&mut self, now: Instant, header: &Header, reason: Reason) -> Fate {
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
        Fate::Drop
    }

    /// The service that a flow to this agent is for: the own one if its route allows that.
    fn service_of(&mut self, key: FlowKey) -> Option<ServiceLabel> {
        let draw = self.rng.random();
        let route = self.map.route(key.service)?;
        let own = self.server.statement().map(|s| &s.service);
        let own = own.filter(|service| route.allows(service));
        own.or_else(|| route.pick(draw)).cloned()
    }

    /// A peer that may take the flow, and would be done with it before `least` where that is given.
    fn peer(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        key: FlowKey,
        least: Option<Duration>,
    ) -> Option<Ipv4Addr> {
        let service = self.service_of(key)?;
        let zone = self.server.statement().map(|s| s.zone.clone());
        let map = &self.map;
        let open = self.mesh.open_agents(now, &service);
        let open = open.filter(|(ip, heard)| *ip != from && map.is_zone_in(&heard.report.zone));
        let open = open.filter(|(_, h)| least.is_none_or(|least| placement::expected(h) < least));
        let candidates = open.map(|(agent, heard)| Candidate { agent, heard });
        let chosen = match &zone {
            Some(zone) => placement::choose(&mut self.rng, candidates, zone)?,
            None => candidates.min_by_key(|c| placement::expected(c.heard))?,
        };
        Some(chosen.agent)
    }

    fn redirect_to(&mut self, now: Instant, to: Ipv4Addr, header: &Header, why: Reason) -> Fate {
        let key = header.caller_flow();
        let until = now + REDIRECT_TTL;
        let copy = header.ack;
        self.redirects.insert(key, Redirect { to, copy, until });
        self.mesh.on_placed(to);
        self.decide(Decision {
            node: Some(to),
            reason: Some(why),
            busy: Some(self.busy),
            age: self.mesh.heard_age(now, to),
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

    const fn forward_opening(to: Ipv4Addr, trail: Trail) -> Fate {
        let trail = Trail {
            hops: trail.hops + 1,
            purpose: Purpose::Placed,
            ..trail
        };
        Fate::Forward { to, trail }
    }

    fn redirect(&self, now: Instant, key: FlowKey) -> Option<Ipv4Addr> {
        let redirect = self.redirects.get(&key)?;
        let holds = now < redirect.until && self.mesh.is_live(now, redirect.to);
        holds.then_some(redirect.to)
    }

    fn on_following(&mut self, now: Instant, header: &Header, packet: &[u8]) -> Fate {
        let key = header.caller_flow();
        let Some(flow) = self.flows.get_mut(&key) else {
            return self.locate(now, header, packet);
        };
        if !flow.is_open && !acknowledges(flow, header) {
            return self.locate(now, header, packet);
        }
        flow.is_open = true;
        flow.forget_at = now + IDLE_TTL;
        flow.caller_ack = header.ack;
        flow.caller_ended |= header.flags.is_ending();
        let end = header.seq.wrapping_add(u32::from(header.len));
        let is_news = header.len > 0 && end.wrapping_sub(flow.caller_next).cast_signed() > 0;
        if is_news {
            flow.caller_next = end;
            if !matches!(flow.work, Work::Running { .. }) {
                flow.request = Some(Bytes::copy_from_slice(packet));
            }
            let until = now + WORK_TIMEOUT;
            let among = self.running + 1;
            self.set_work(
                key,
                Work::Running {
                    since: now,
                    among,
                    until,
                },
            );
        } else if header.flags.is_ending() {
            self.end(now, key);
            self.admit(now);
        }
        self.tell_balancer(key, header.trail);
        Fate::Deliver
    }

    fn tell_balancer(&mut self, key: FlowKey, trail: Trail) {
        let direct = trail.hops == 0 && trail.purpose == Purpose::Placed;
        if direct || trail.balancer.is_unspecified() {
            return;
        }
        let flow = self.flows.get(&key);
        if let Some(server_seq) = flow.and_then(|f| f.server_seq) {
            let place = FlowPlace {
                flow: key,
                server_seq,
            };
            let to = trail.balancer;
            self.actions.push(Action::TellBalancer { to, place });
        }
    }

    /// The packet belongs to a flow that is not here.
    fn locate(&mut self, now: Instant, header: &Header, packet: &[u8]) -> Fate {
        let key = header.caller_flow();
        let trail = header.trail;
        if let Some(to) = self.redirect(now, key) {
            return Self::follow(to, trail, Purpose::Placed);
        }
        let own = self.mesh.own().ip;
        let holder = self.directory.find(key, header.ack);
        match trail.purpose {
            // The flow opened at another server, whose agent the keeper did not hear of.
            Purpose::Kept | Purpose::Search if self.flows.contains_key(&key) => Fate::Drop,
            // All servers of the service get it, among them its own.
            Purpose::Search if !self.may_hold_unknown(now) => Fate::Drop,
            Purpose::Search | Purpose::Kept => self.adopt(now, header),
            Purpose::Placed | Purpose::FirstKeeper | Purpose::SecondKeeper
                if holder == Some(own) =>
            {
                self.adopt(now, header)
            }
            purpose => match holder {
                Some(to) => Self::follow(to, trail, Purpose::Kept),
                None => self.ask_on(now, header, packet, purpose),
            },
        }
    }

    fn ask_on(&mut self, now: Instant, header: &Header, packet: &[u8], purpose: Purpose) -> Fate {
        let key = header.caller_flow();
        let own = self.mesh.own().ip;
        let Keepers { first, second } = self.mesh.ring().keepers(key);
        let first = first.filter(|ip| *ip != own);
        let second = second.filter(|ip| *ip != own);
        if purpose == Purpose::Placed && self.may_hold_unknown(now) {
            return self.adopt(now, header);
        }
        match purpose {
            Purpose::Placed if first.is_some() => {
                Self::follow(first.unwrap_or(own), header.trail, Purpose::FirstKeeper)
            }
            Purpose::Placed | Purpose::FirstKeeper if second.is_some() => {
                Self::follow(second.unwrap_or(own), header.trail, Purpose::SecondKeeper)
            }
            _ => self.search(now, header, packet),
        }
    }

    fn follow(to: Ipv4Addr, trail: Trail, purpose: Purpose) -> Fate {
        if trail.hops >= MAX_FOLLOWING_HOPS {
            return Fate::Drop;
        }
        let trail = Trail {
            hops: trail.hops + 1,
            purpose,
            ..trail
        };
        Fate::Forward { to, trail }
    }

    /// The keepers do not know the flow; whoever holds it takes the packet.
    fn search(&mut self, now: Instant, header: &Header, packet: &[u8]) -> Fate {
        let key = header.caller_flow();
        if self.searches_left == 0 || header.trail.hops >= MAX_FOLLOWING_HOPS {
            return Fate::Drop;
        }
        self.searches_left -= 1;
        let route = self.map.route(key.service);
        let serves = |service: &ServiceLabel| route.is_some_and(|r| r.allows(service));
        let live = self.mesh.live(now, super::node::NodeRole::Agent);
        let live =
            live.filter(|(_, k)| k.report.as_ref().is_some_and(|h| serves(&h.report.service)));
        let trail = Trail {
            hops: header.trail.hops + 1,
            purpose: Purpose::Search,
            ..header.trail
        };
        let packet = Bytes::copy_from_slice(packet);
        let asked = live.take(MAX_SEARCHED).map(|(to, _)| Action::Forward {
            to,
            trail,
            packet: packet.clone(),
        });
        self.actions.extend(asked);
        self.decide(Decision {
            hops: header.trail.hops,
            ..Decision::new(Step::Searched, key, self.map.index)
        });
        Fate::Drop
    }

    /// Whether flows may be open at the server that the agent, which started later, does not know.
    fn may_hold_unknown(&self, now: Instant) -> bool {
        self.server.is_older() && now < self.started_at + self.max_flow_age
    }

    /// A flow that others say is here. An agent that started lately leaves it to the server, which
    /// hands back what it does not hold.
    fn adopt(&mut self, now: Instant, header: &Header) -> Fate {
        let key = header.caller_flow();
        if !self.may_hold_unknown(now) {
            self.decide(Decision {
                hops: header.trail.hops,
                ..Decision::new(Step::UnknownFlow, key, self.map.index)
            });
            return Fate::Drop;
        }
        let end = header.seq.wrapping_add(u32::from(header.len));
        let flow = self.flow_found_open(now, header.trail, header.ack, end);
        self.flows.entry(key).or_insert(flow);
        Fate::Deliver
    }

    fn flow_found_open(&self, now: Instant, trail: Trail, ack: u32, next: u32) -> Flow {
        Flow {
            life: self.server.life(),
            is_open: true,
            server_seq: None,
            answered_at: None,
            opening: None,
            request: None,
            trail,
            work: Work::Idle,
            caller_next: next,
            caller_ack: ack,
            caller_ended: false,
            server_ended: false,
            keepers: Keepers::default(),
            forget_at: now + IDLE_TTL,
        }
    }

    /// The server sent a packet, or handed one back.
    pub fn on_server_packet(&mut self, now: Instant, header: &Header) -> Fate {
        if header.flags.has(super::packet::Flags::BOUNCED) {
            return self.on_bounced(now, header);
        }
        self.server.on_packet();
        let key = header.server_flow();
        if !self.flows.contains_key(&key) {
            let trail = Trail::from_balancer(Ipv4Addr::UNSPECIFIED, Purpose::Placed);
            let flow = self.flow_found_open(now, trail, header.seq, header.ack);
            self.flows.insert(key, flow);
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            return Fate::Return;
        };
        flow.forget_at = flow.forget_at.max(now + OPENING_TTL);
        flow.opening = None;
        flow.server_ended |= header.flags.is_ending();
        if flow.server_seq.is_none() {
            flow.server_seq = Some(header.seq);
            flow.answered_at = Some(now);
            let trail = flow.trail;
            self.tell_keepers(key);
            self.tell_balancer(key, trail);
        }
        if header.flags.has(super::packet::Flags::SYN) {
            let until = now + REQUEST_TIMEOUT;
            self.expected.push_back((until, key));
            self.set_expected_until(key, until);
        }
        if header.len > 0 {
            self.on_answer(now, key);
        }
        if header.flags.is_ending() {
            self.end(now, key);
        }
        self.admit(now);
        Fate::Return
    }

    /// The first bytes of an answer: the server is done with the request.
    fn on_answer(&mut self, now: Instant, key: FlowKey) {
        let work = self.flows.get(&key).map(|f| f.work);
        if let Some(Work::Running { since, among, .. }) = work {
            let took = now.saturating_duration_since(since);
            self.work.on_done(took, among, self.slots());
        }
        self.set_work(key, Work::Idle);
    }

    fn set_expected_until(&mut self, key: FlowKey, deadline: Instant) {
        if let Some(Work::Expected { until }) = self.flows.get_mut(&key).map(|f| &mut f.work) {
            *until = deadline;
        }
    }

    /// The server does not take an opening packet, or does not hold a flow.
    fn on_bounced(&mut self, now: Instant, header: &Header) -> Fate {
        let key = header.caller_flow();
        let removed = self.remove(key);
        self.decide(Decision {
            busy: Some(self.busy),
            ..Decision::new(Step::Bounced, key, self.map.index)
        });
        if !header.flags.is_opening() {
            // A server forgets no flow that it has answered and not ended: it started anew.
            if let Some(flow) = removed.filter(|f| f.server_seq.is_some() && !f.server_ended) {
                self.break_off(key, &flow);
            }
            return Fate::Drop;
        }
        let trail = Trail {
            balancer: header.trail.balancer,
            hops: removed.map_or(0, |f| f.trail.hops),
            purpose: Purpose::Placed,
        };
        let header = Header { trail, ..*header };
        self.pass_on(now, self.mesh.own().ip, &header, Reason::Busy)
    }

    fn set_work(&mut self, key: FlowKey, work: Work) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let before = std::mem::replace(&mut flow.work, work);
        if !work.counts() {
            flow.request = None;
        }
        self.busy = self.busy + u32::from(work.counts()) - u32::from(before.counts());
        let left = u32::from(before.is_running());
        self.running = self.running + u32::from(work.is_running()) - left;
    }

    /// One end has ended the flow, or both.
    fn end(&mut self, now: Instant, key: FlowKey) {
        self.set_work(key, Work::Idle);
        if let Some(flow) = self.flows.get_mut(&key)
            && flow.caller_ended
            && flow.server_ended
        {
            flow.forget_at = now + ENDED_TTL;
        }
    }

    fn remove(&mut self, key: FlowKey) -> Option<Flow> {
        let flow = self.flows.remove(&key)?;
        self.busy -= u32::from(flow.work.counts());
        self.running -= u32::from(flow.work.is_running());
        Some(flow)
    }

    fn tell_keepers(&mut self, key: FlowKey) {
        let keepers = self.mesh.ring().keepers(key);
        let own = self.mesh.own().ip;
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let Some(server_seq) = flow.server_seq else {
            return;
        };
        flow.keepers = keepers;
        let place = FlowPlace {
            flow: key,
            server_seq,
        };
        let others = keepers.iter().filter(|to| *to != own);
        self.actions
            .extend(others.map(|to| Action::TellKeeper { to, place }));
    }

    /// `agent` says which flows are at it.
    pub fn on_places(
        &mut self,
        now: Instant,
        agent: Ipv4Addr,
        places: impl IntoIterator<Item = FlowPlace>,
    ) {
        for place in places {
            self.directory
                .on_place(now, agent, place, self.max_flow_age);
        }
    }

    /// Time passed.
    pub fn on_tick(&mut self, now: Instant) {
        self.searches_left = SEARCHES_PER_TICK;
        self.offer_unanswered(now);
        self.end_expectations(now);
        self.admit(now);
        self.retell();
        if self.farewell_at.is_some_and(|at| at <= now) {
            self.farewell_at = None;
            if self.server.statement().is_none() {
                self.end_flows(|_| true);
            }
        }
        if self.server.take_port_check(now) {
            self.actions.push(Action::CheckPort);
        }
        if self.sweep_at <= now {
            self.sweep_at = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
    }

    /// Opening packets that the server left unanswered go to a peer as well.
    fn offer_unanswered(&mut self, now: Instant) {
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
            let peer = self.peer(now, self.mesh.own().ip, key, None);
            let Some(to) = peer.filter(|_| trail.hops < MAX_HOPS) else {
                continue;
            };
            let until = now + REDIRECT_TTL;
            let copy = 0;
            self.redirects.insert(key, Redirect { to, copy, until });
            let trail = Trail {
                hops: trail.hops + 1,
                purpose: Purpose::Placed,
                ..trail
            };
            self.actions.push(Action::Forward { to, trail, packet });
        }
    }

    fn end_expectations(&mut self, now: Instant) {
        while let Some((at, key)) = self.expected.front().copied()
            && at <= now
        {
            self.expected.pop_front();
            let flow = self.flows.get(&key);
            let over = flow.is_some_and(|f| match f.work {
                Work::Expected { until } | Work::Running { until, .. } => until <= now,
                Work::Idle => false,
            });
            if over {
                self.set_work(key, Work::Idle);
            }
        }
    }

    /// Tells keepers that came anew of the flows here, some at a time.
    fn retell(&mut self) {
        if self.retold_version != self.mesh.ring_version() {
            self.retold_version = self.mesh.ring_version();
            self.to_retell = self.flows.keys().copied().collect();
        }
        let left = self.to_retell.len().saturating_sub(RETOLD_PER_TICK);
        for key in self.to_retell.split_off(left) {
            self.tell_keepers(key);
        }
    }

    fn sweep(&mut self, now: Instant) {
        self.mesh.on_tick(now);
        self.directory.expire(now);
        self.redirects.retain(|_, r| now < r.until);
        let over = self.flows.iter().filter(|(_, f)| f.forget_at <= now);
        for key in over.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.remove(key);
        }
        let stuck = self.flows.iter().filter(|(_, f)| match f.work {
            Work::Running { until, .. } | Work::Expected { until } => until <= now,
            Work::Idle => false,
        });
        for key in stuck.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.set_work(key, Work::Idle);
        }
    }

    fn decide(&mut self, decision: Decision) {
        self.decisions.push(decision);
    }
}

/// Whether a caller's packet acknowledges what this flow's server said first.
fn acknowledges(flow: &Flow, header: &Header) -> bool {
    let server_seq = flow.server_seq;
    server_seq.is_some_and(|seq| header.ack.wrapping_sub(seq) <= ACK_WINDOW)
}
