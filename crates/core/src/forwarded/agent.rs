//! The agent of a backend server: admits opening packets, tracks the server's flows, and stores its share of
//! the flow directory.
//!
//! Packets of callers arrive from balancers, keepers and other agents; [`Agent::on_caller_packet`] returns
//! the disposition of each. Packets of the server go through [`Agent::on_server_packet`], which shows the
//! agent which flows the server accepted. All further effects are collected as [`Action`]s.
//!
//! A flow opens at the server whose initial sequence number the caller acknowledges. So an opening packet may
//! safely be sent to several servers, and a packet belongs to this server only if it acknowledges a sequence
//! number that *this* server sent. A flow that may be open is never reset: the agent resets a flow only when
//! it knows that the server incarnation which held it has ended.
//!
//! `agent/openings.rs` decides on opening packets, and `agent/slots.rs` on idle slots that are offered to and by peers.
//! `agent/server_packets.rs` handles what the server sends, `agent/requests.rs` tracks the requests at the server, and
//! `agent/running.rs` when each has started. `agent/location.rs` finds the agent of a packet whose flow is not here;
//! `agent/search.rs` searches for a flow that no keeper knows. `agent/life.rs` handles starts and ends of the server,
//! and `agent/explain.rs` explains decisions without making them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::decision::Decision;
use super::flow_demand::FlowDemand;
use super::gate::ColdBudget;
use super::inquiry::FlowSearches;
use super::keepers::FlowDirectory;
use super::mesh::Mesh;
use super::outlier::{OutlierDetector, ServiceBaseline};
use super::packet::{FlowKey, Header};
use super::report::ServerReport;
use super::server::Server;
use super::service_map::ServiceMap;
use super::slot_offers::{SlotOfferStats, SlotOffers};
use super::waiting::AdmissionQueue;
use super::work_time::{PeerWorkTimes, WorkTime};

mod action;
mod explain;
mod flow;
mod life;
mod location;
mod openings;
mod requests;
mod running;
mod search;
mod server_packets;
mod slots;

pub use action::{Action, Disposition};
use flow::{BouncedFlow, Flow, IDLE_TTL, OPENING_TTL, RequestState};
use running::RunningRequests;

/// Time after which a request no longer counts as running, even if the server has not answered it.
const WORK_TIMEOUT: Duration = Duration::from_secs(5);
/// Queries that an agent sends per tick in searches for unknown flows, one for each agent and flow. Limits
/// the cost of packets of flows that never existed. A search always queries all agents, so a single one may
/// exceed the limit.
const MAX_QUERIES_PER_TICK: usize = 256;
/// Time between two sweeps that expire entries of the tables.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Largest distance of a caller's acknowledgement from this server's initial sequence number at which an
/// opening flow is attributed to this server; other sequence numbers belong to other servers.
const ACK_WINDOW: u32 = 1 << 20;

/// Number of requests at the server, its service time, and number of openings that wait.
type QueueState = (u32, Duration, usize);

#[derive(Clone, Copy, Debug)]
struct Redirect {
    to: Ipv4Addr,
    /// Number of the copy of the opening packet that was redirected.
    copy: u32,
    until: Instant,
}

/// State machine of an agent. It does no I/O: it takes packets and time, and returns dispositions, actions
/// and decisions.
#[derive(Debug)]
pub struct Agent {
    started_at: Instant,
    max_flow_age: Duration,
    rng: StdRng,
    map: Arc<ServiceMap>,
    mesh: Mesh,
    server: Server,
    cold_budget: ColdBudget,
    /// Flows at the server.
    flows: HashMap<FlowKey, Flow>,
    /// Number of open flows without a request at the last tick.
    idle_flows: u32,
    /// Requests at the server or on their way to it.
    busy: u32,
    /// Those of the `busy` requests that have reached the server.
    running: RunningRequests,
    /// Service time of the server.
    work: WorkTime,
    flow_demand: FlowDemand,
    outlier: OutlierDetector,
    queue: AdmissionQueue,
    /// The state at the last decision on the queue.
    settled: Option<QueueState>,
    offers: SlotOffers,
    /// Redirections of recent opening packets.
    redirects: HashMap<FlowKey, Redirect>,
    directory: FlowDirectory,
    searches: FlowSearches,
    /// Flows that the server does not hold, as shown by packets that it bounced or reset.
    bounced: HashMap<FlowKey, BouncedFlow>,
    /// Searches that are deferred until it is known which other nodes have just started.
    deferred_searches: Vec<(Ipv4Addr, Header, Bytes)>,
    /// Denials sent before the agent knew all other agents; repeated once it does.
    provisional_denials: Vec<(Ipv4Addr, FlowKey)>,
    /// Whether this agent and all others have just started.
    has_common_start: bool,
    /// Times by which the server should have answered opening packets.
    answer_deadlines: VecDeque<(Instant, FlowKey)>,
    /// Times by which the requests of flows should have arrived.
    request_deadlines: BinaryHeap<Reverse<(Instant, FlowKey)>>,
    /// Ring version at which the locations of flows were last announced to keepers.
    announced_ring_version: u64,
    flows_to_announce: Vec<FlowKey>,
    /// Search queries that may still be sent in this tick.
    queries_left: usize,
    sweep_at: Instant,
    /// When the flows of a server that sent a leave notice end.
    leave_deadline: Option<Instant>,
    is_stopping: bool,
    /// Set only in the copy of an agent that an explanation is made with.
    trace: Option<explain::PeerTrace>,
    actions: Vec<Action>,
    decisions: Vec<Decision>,
}

impl Agent {
    /// Creates the agent of a server that reports every `report_interval`. `seed` seeds the agent's random
    /// choices.
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
            cold_budget: ColdBudget::default(),
            flows: HashMap::new(),
            idle_flows: 0,
            busy: 0,
            running: RunningRequests::default(),
            work: WorkTime::default(),
            flow_demand: FlowDemand::default(),
            outlier: OutlierDetector::default(),
            queue: AdmissionQueue::default(),
            settled: None,
            offers: SlotOffers::default(),
            redirects: HashMap::new(),
            directory: FlowDirectory::default(),
            searches: FlowSearches::default(),
            bounced: HashMap::new(),
            deferred_searches: Vec::new(),
            provisional_denials: Vec::new(),
            has_common_start: false,
            answer_deadlines: VecDeque::new(),
            request_deadlines: BinaryHeap::new(),
            announced_ring_version: 0,
            flows_to_announce: Vec::new(),
            queries_left: MAX_QUERIES_PER_TICK,
            sweep_at: now,
            leave_deadline: None,
            is_stopping: false,
            trace: None,
            actions: Vec::new(),
            decisions: Vec::new(),
        }
    }

    /// Returns the time at which the agent started.
    pub const fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns the agent's view of the other nodes.
    pub const fn mesh(&self) -> &Mesh {
        &self.mesh
    }

    /// Returns the agent's view of the other nodes, to apply received messages to it.
    pub const fn mesh_mut(&mut self) -> &mut Mesh {
        &mut self.mesh
    }

    /// Returns the state of the agent's backend server.
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the configuration in force.
    pub const fn map(&self) -> &Arc<ServiceMap> {
        &self.map
    }

    /// Applies a configuration if it is newer than the current one. Returns whether it was.
    pub fn on_map(&mut self, map: Arc<ServiceMap>) -> bool {
        let newer = map.index > self.map.index;
        if newer {
            self.map = map;
        }
        newer
    }

    /// Number of flows that the agent tracks at its server.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Number of flows whose locations the agent stores as a keeper.
    pub fn directory_len(&self) -> usize {
        self.directory.len()
    }

    /// Number of requests at the server or on their way to it.
    pub const fn busy(&self) -> u32 {
        self.busy
    }

    /// Number of opening packets in the admission queue.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the numbers of slots offered to and by peers.
    pub const fn slot_offer_stats(&self) -> SlotOfferStats {
        self.offers.stats()
    }

    /// Returns and clears the actions collected since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns and clears the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Stops accepting new flows, because the agent is about to stop.
    pub const fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Returns the report on the server that heartbeats carry; `None` until the server has reported.
    pub fn report(&self, now: Instant) -> Option<ServerReport> {
        let statement = self.server.statement()?;
        let is_cold = self.server.is_cold(now);
        let zone_in = self.map.is_zone_enabled(&statement.zone);
        let is_accepting =
            self.server.unavailability(now).is_none() && zone_in && self.map.table.is_some();
        Some(ServerReport {
            service: statement.service.clone(),
            zone: statement.zone.clone(),
            is_accepting: is_accepting && !self.is_stopping,
            is_cold,
            busy: self.total_requests(),
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            stalled: self.stalled_requests(now),
            work: self.work.expected(is_cold),
            flows: self.idle_flows,
            flow_request_rate: self.flow_demand.rate(),
            slots: statement.slots,
            responses: self.outlier.stats(),
        })
    }

    /// Decides on a packet of a caller. `from` is the node that sent it.
    pub fn on_caller_packet(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        header: &Header,
        packet: &[u8],
    ) -> Disposition {
        if header.flags.is_opening() {
            self.on_opening(now, from, header, packet)
        } else if header.flags.is_ending() && self.queue.remove(header.caller_flow()).is_some() {
            // The caller has given up before its flow was opened.
            Disposition::Drop
        } else {
            self.on_non_opening(now, from, header, packet)
        }
    }

    fn on_non_opening(
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
        let has_new_data = header.len > 0 && end.wrapping_sub(flow.caller_next).cast_signed() > 0;
        if has_new_data {
            flow.caller_next = end;
            if !flow.request_state.is_running() {
                flow.request = Some(Bytes::copy_from_slice(packet));
            }
            self.on_request(now, key);
        } else if header.flags.is_ending() {
            self.end(now, key);
            self.admit(now);
        }
        self.notify_balancer(key, header.trail);
        Disposition::Deliver
    }

    fn remove(&mut self, now: Instant, key: FlowKey) -> Option<Flow> {
        let flow = self.flows.remove(&key)?;
        self.busy -= u32::from(flow.request_state.is_pending());
        self.running.remove(now, key, self.slots());
        Some(flow)
    }

    /// Advances the agent's timers. To be called at regular intervals.
    pub fn on_tick(&mut self, now: Instant) {
        self.queries_left = MAX_QUERIES_PER_TICK;
        let idle = self.flows.values().filter(|f| f.is_open_and_idle());
        self.idle_flows = u32::try_from(idle.count()).unwrap_or(u32::MAX);
        self.flow_demand.on_tick(now, self.idle_flows);
        self.offer_unanswered_openings(now);
        self.expire_request_deadlines(now);
        self.admit(now);
        self.offer_idle_slots(now);
        self.process_deferred(now);
        self.announce_to_new_keepers();
        if self.leave_deadline.is_some_and(|at| at <= now) {
            self.leave_deadline = None;
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

    fn sweep(&mut self, now: Instant) {
        self.mesh.on_tick(now);
        self.compare_with_peers(now);
        self.directory.expire(now);
        self.searches.expire(now);
        self.bounced.retain(|_, h| now < h.until);
        self.redirects.retain(|_, r| now < r.until);
        let expired = self.flows.iter().filter(|(_, f)| f.forget_at <= now);
        for key in expired.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.remove(now, key);
        }
        let overdue = self.flows.iter();
        let overdue = overdue.filter(|(_, f)| f.request_state.is_overdue(now));
        for key in overdue.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.set_request_state(now, key, RequestState::Idle);
        }
    }

    /// Updates what the reports of the service's other servers say about response times.
    fn compare_with_peers(&mut self, now: Instant) {
        let Some(statement) = self.server.statement() else {
            return;
        };
        let reports = self.mesh.reports(now, &statement.service);
        self.outlier
            .set_baseline(now, ServiceBaseline::of(reports.clone()));
        self.work.set_peers(PeerWorkTimes::of(reports));
    }

    fn record_decision(&mut self, decision: Decision) {
        self.decisions.push(decision);
    }
}

/// Whether a caller's packet acknowledges the initial sequence number of this flow's server.
fn acknowledges(flow: &Flow, header: &Header) -> bool {
    let server_seq = flow.server_seq;
    server_seq.is_some_and(|seq| header.ack.wrapping_sub(seq) <= ACK_WINDOW)
}
