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
//!
//! Opening packets are judged in `agent/openings.rs`; `agent/location.rs` finds the agent of a packet
//! whose flow is not here, and `agent/incarnation.rs` follows the lives of the server.

use std::collections::{HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::decision::{Decision, Reason, Step};
use super::gate::ColdBudget;
use super::inquiry::{Denial, FlowSearches};
use super::keepers::{FlowDirectory, FlowLocation};
use super::mesh::{Mesh, ServerReport};
use super::outlier::{OutlierDetector, ServiceBaseline};
use super::packet::{Flags, FlowKey, Header, Purpose, Trail};
use super::placement::WorkTime;
use super::server::Server;
use super::service_map::ServiceMap;
use super::waiting::AdmissionQueue;

mod flow;
mod life;
mod location;
mod openings;

use flow::{Flow, HandedBack, IDLE_TTL, OPENING_TTL, Work};

/// Time in which a caller sends its request once the flow is open: a round trip, and the wait for a
/// lost packet.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a request no longer counts as worked on, whatever became of it.
const WORK_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a flow is remembered after both ends have ended it, for packets sent again.
const ENDED_TTL: Duration = Duration::from_secs(10);
/// Agents that are asked for unknown flows in one tick, each flow counted; a bound on what packets of flows
/// that never were can cost. A search is always whole, so one may exceed it.
const SEARCHED_PER_TICK: usize = 256;
/// Time between two clean-ups of the tables.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// How far beyond a server's first position a caller may acknowledge for an opening flow to be that
/// server's; the rest of the number space belongs to others.
const ACK_WINDOW: u32 = 1 << 20;

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disposition {
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
    NotifyBalancer {
        /// The balancer.
        to: Ipv4Addr,
        /// The flow.
        place: FlowLocation,
    },
    /// Tell a keeper soon where a flow is.
    NotifyKeeper {
        /// The keeper.
        to: Ipv4Addr,
        /// The flow.
        place: FlowLocation,
    },
    /// Tell an agent that searches for a flow that it is not here.
    Deny {
        /// The agent.
        to: Ipv4Addr,
        /// What it is told.
        denial: Denial,
    },
    /// See whether something listens at the server's port.
    CheckPort,
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
    outlier: OutlierDetector,
    waiting: AdmissionQueue,
    redirects: HashMap<FlowKey, Redirect>,
    directory: FlowDirectory,
    searches: FlowSearches,
    /// Flows that the server has shown not to hold.
    handed_back: HashMap<FlowKey, HandedBack>,
    /// Searches that wait until it is known who else has just started.
    postponed: Vec<(Ipv4Addr, Header, Bytes)>,
    /// Flows that were denied to others before the agent was settled.
    uncertain: Vec<(Ipv4Addr, FlowKey)>,
    /// The agent and all others have just started.
    has_common_start: bool,
    unanswered: VecDeque<(Instant, FlowKey)>,
    expected: VecDeque<(Instant, FlowKey)>,
    retold_version: u64,
    to_retell: Vec<FlowKey>,
    /// Agents that may still be asked in this tick.
    searched_left: usize,
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
            outlier: OutlierDetector::default(),
            waiting: AdmissionQueue::default(),
            redirects: HashMap::new(),
            directory: FlowDirectory::default(),
            searches: FlowSearches::default(),
            handed_back: HashMap::new(),
            postponed: Vec::new(),
            uncertain: Vec::new(),
            has_common_start: false,
            unanswered: VecDeque::new(),
            expected: VecDeque::new(),
            retold_version: 0,
            to_retell: Vec::new(),
            searched_left: SEARCHED_PER_TICK,
            sweep_at: now,
            farewell_at: None,
            is_stopping: false,
            actions: Vec::new(),
            decisions: Vec::new(),
        }
    }

    /// When the agent started.
    pub const fn started_at(&self) -> Instant {
        self.started_at
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
    pub fn directory_len(&self) -> usize {
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
        let zone_in = self.map.is_zone_enabled(&statement.zone);
        let is_accepting =
            self.server.unavailability(now).is_none() && zone_in && self.map.table.is_some();
        Some(ServerReport {
            service: statement.service.clone(),
            zone: statement.zone.clone(),
            is_accepting: is_accepting && !self.is_stopping,
            is_cold: self.server.is_cold(now),
            busy: self.total_requests(),
            work: self.work.measured(),
            flows: u32::try_from(self.flows.len()).unwrap_or(u32::MAX),
            slots: statement.slots,
            responses: self.outlier.record(),
        })
    }

    /// A packet of a caller came in; `from` is the node that sent it.
    pub fn on_caller_packet(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        header: &Header,
        packet: &[u8],
    ) -> Disposition {
        if header.flags.is_opening() {
            self.on_opening(now, from, header, packet)
        } else {
            self.on_following(now, from, header, packet)
        }
    }

    fn on_following(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        header: &Header,
        packet: &[u8],
    ) -> Disposition {
        let key = header.caller_flow();
        let Some(flow) = self.flows.get_mut(&key) else {
            return self.locate(now, from, header, packet);
        };
        if !flow.is_open && !acknowledges(flow, header) {
            return self.locate(now, from, header, packet);
        }
        flow.is_open = true;
        flow.forget_at = now + IDLE_TTL;
        flow.caller_ack = header.ack;
        flow.caller_ended |= header.flags.is_ending();
        let end = header.seq.wrapping_add(u32::from(header.len));
        let is_news = header.len > 0 && end.wrapping_sub(flow.caller_next).cast_signed() > 0;
        if is_news {
            flow.caller_next = end;
            if !flow.work.is_running() {
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
        Disposition::Deliver
    }

    /// The server sent a packet, or handed one back.
    pub fn on_server_packet(&mut self, now: Instant, header: &Header) -> Disposition {
        if header.flags.has(Flags::BOUNCED) {
            return self.on_bounced(now, header);
        }
        self.server.on_packet();
        let key = header.server_flow();
        if header.flags.has(Flags::RST) && self.is_searched_for(key) {
            return self.on_foreign_reset(now, key);
        }
        if !self.flows.contains_key(&key) {
            let trail = Trail::from_balancer(Ipv4Addr::UNSPECIFIED, Purpose::Placed);
            let incarnation = self.server.incarnation();
            let forget_at = now + IDLE_TTL;
            let flow = Flow::found_open(incarnation, trail, header.seq, header.ack, forget_at);
            self.flows.insert(key, flow);
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            return Disposition::Return;
        };
        flow.forget_at = flow.forget_at.max(now + OPENING_TTL);
        flow.opening = None;
        flow.searched_by = None;
        let had_ended = flow.server_ended;
        flow.server_ended |= header.flags.is_ending();
        if flow.server_seq.is_none() {
            flow.server_seq = Some(header.seq);
            flow.answered_at = Some(now);
            let trail = flow.trail;
            self.tell_keepers(key);
            self.tell_balancer(key, trail);
        }
        if header.flags.has(Flags::SYN) {
            let until = now + REQUEST_TIMEOUT;
            self.expected.push_back((until, key));
            self.set_expected_until(key, until);
        }
        if header.len > 0 {
            self.on_answer(now, key, header.len);
        } else if header.flags.has(Flags::RST) && !had_ended {
            self.on_broken_off(now, key);
        }
        if header.flags.is_ending() {
            self.end(now, key);
        }
        self.admit(now);
        Disposition::Return
    }

    fn is_searched_for(&self, key: FlowKey) -> bool {
        let flow = self.flows.get(&key);
        flow.is_some_and(|f| f.searched_by.is_some())
    }

    /// The server breaks off a flow that was only searched for here, and may be open elsewhere. It says by
    /// that that it does not hold it.
    fn on_foreign_reset(&mut self, now: Instant, key: FlowKey) -> Disposition {
        self.on_handed_back(now, key);
        if let Some(searcher) = self.remove(key).and_then(|f| f.searched_by) {
            self.deny(now, searcher, key);
        }
        self.decide(Decision::new(Step::Bounced, key, self.map.index));
        Disposition::Drop
    }

    /// The first bytes of an answer: the server is done with the request.
    fn on_answer(&mut self, now: Instant, key: FlowKey, bytes: u16) {
        let work = self.flows.get(&key).map(|f| f.work);
        if let Some(Work::Running { since, among, .. }) = work {
            let took = now.saturating_duration_since(since);
            // A failure is no quick work.
            if self.outlier.on_answer(now, took, bytes) {
                self.work.on_done(took, among, self.slots());
            }
        }
        self.set_work(key, Work::Idle);
    }

    /// The server broke off a flow that it had not ended, perhaps in place of an answer.
    fn on_broken_off(&mut self, now: Instant, key: FlowKey) {
        let flow = self.flows.get(&key);
        if flow.is_some_and(|f| f.work.is_running()) {
            self.outlier.on_broken_off(now);
        }
    }

    fn set_expected_until(&mut self, key: FlowKey, deadline: Instant) {
        if let Some(Work::Expected { until }) = self.flows.get_mut(&key).map(|f| &mut f.work) {
            *until = deadline;
        }
    }

    /// The server does not take an opening packet, or does not hold a flow.
    fn on_bounced(&mut self, now: Instant, header: &Header) -> Disposition {
        let key = header.caller_flow();
        let removed = self.remove(key);
        self.decide(Decision {
            busy: Some(self.busy),
            ..Decision::new(Step::Bounced, key, self.map.index)
        });
        if !header.flags.is_opening() {
            self.on_handed_back(now, key);
            if let Some(searcher) = removed.as_ref().and_then(|f| f.searched_by) {
                self.deny(now, searcher, key);
            }
            // A server forgets no flow that it has answered and not ended: it started anew.
            if let Some(flow) = removed.filter(|f| f.server_seq.is_some() && !f.server_ended) {
                self.break_off(key, &flow);
            }
            return Disposition::Drop;
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

    /// Time passed.
    pub fn on_tick(&mut self, now: Instant) {
        self.searched_left = SEARCHED_PER_TICK;
        self.offer_unanswered(now);
        self.end_expectations(now);
        self.admit(now);
        self.learn_from_others(now);
        self.retell();
        if self.farewell_at.is_some_and(|at| at <= now) {
            self.farewell_at = None;
            if self.server.statement().is_none() {
                self.end_flows(now, |_| true);
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

    fn end_expectations(&mut self, now: Instant) {
        while let Some((at, key)) = self.expected.front().copied()
            && at <= now
        {
            self.expected.pop_front();
            let flow = self.flows.get(&key);
            if flow.is_some_and(|f| f.work.is_overdue(now)) {
                self.set_work(key, Work::Idle);
            }
        }
    }

    fn sweep(&mut self, now: Instant) {
        self.mesh.on_tick(now);
        let service = self.server.statement().map(|s| &s.service);
        let usual = service.and_then(|s| ServiceBaseline::of(self.mesh.reports(now, s)));
        self.outlier.set_baseline(now, usual);
        self.directory.expire(now);
        self.searches.expire(now);
        self.handed_back.retain(|_, h| now < h.until);
        self.redirects.retain(|_, r| now < r.until);
        let over = self.flows.iter().filter(|(_, f)| f.forget_at <= now);
        for key in over.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.remove(key);
        }
        let stuck = self.flows.iter();
        let stuck = stuck.filter(|(_, f)| f.work.is_overdue(now));
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
