//! A node's view of the other nodes.
//!
//! Every node sends heartbeats to the control hosts, which reply with the addresses of all nodes that they
//! receive heartbeats from. Balancers and agents also exchange heartbeats with each other; an agent's
//! heartbeat carries the [`ServerReport`] of its backend server. The state of a node is taken only from
//! messages of that node itself, so relayed messages cannot replace newer state by older.
//!
//! A heartbeat also carries the time since its sender last received a packet from the receiver. So each end
//! learns whether its own packets arrive, and a path that works in one direction only is not used.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use derive_more::Display;

use super::confirmation::Confirmation;
use super::keepers::KeeperRing;
use super::node::{NodeAddress, NodeRole};
use super::node_list::{NodeListHash, ReceivedNodeLists};
use super::placement::LoadEstimator;
use super::report::{BootId, Heartbeat, ReceivedReport, ServerPresence, ServerReport};
use super::service_map::ServiceLabel;
use crate::ids::LogIndex;

mod earlier_flows;

/// Regular interval between two heartbeats to one node, unless so many nodes are known that
/// `HEARTBEAT_INTERVAL_PER_NODE` requires a longer one. A failed agent is detected when three of them are
/// missed.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum regular heartbeat interval per known node, which limits a node to 250 regular heartbeats per
/// second.
const HEARTBEAT_INTERVAL_PER_NODE: Duration = Duration::from_millis(4);
/// Heartbeats that a node may miss before it counts as failed. A single lost datagram must not suffice.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Heartbeat intervals without a packet from an agent after which a copy of an opening packet goes to another
/// agent. One heartbeat may have been lost.
const DOUBTFUL_HEARTBEATS: u32 = 2;
/// Time after the first heartbeat of a node in which it need not have received a packet from this one.
const FIRST_CONTACT_WINDOW: Duration = Duration::from_secs(2);
/// Interval between heartbeats to a control host during the first seconds, until one replies. Hosts that
/// start together come up within some hundred milliseconds, and until a reply arrives a node knows no other
/// node.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a node is forgotten that neither sends heartbeats nor is listed; far longer than any
/// network partition that heals within seconds.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// What this node knows of one other node.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Role of the node.
    pub role: NodeRole,
    /// Id of the node's process run; the default until a packet was received from it.
    pub boot: BootId,
    /// Log index of the configuration that the node reported to hold.
    pub index: LogIndex,
    first_seen_at: Option<Instant>,
    last_seen_at: Option<Instant>,
    first_listed_at: Instant,
    listed_at: Instant,
    /// When the node last received a packet from this one, according to its heartbeats.
    peer_last_saw_us_at: Option<Instant>,
    next_heartbeat_at: Instant,
    /// Whether opening packets reach the node.
    openings: Confirmation,
    /// The agent's last report.
    pub report: Option<ReceivedReport>,
    /// The agent's last report of the presence of its server.
    server_presence: ServerPresence,
    /// A control host has reported that no earlier flow can be open at this agent. Counts until a packet of
    /// the agent itself arrives.
    is_reported_without_earlier_flows: bool,
    /// Whether this process run began in a common start of all agents, so that no earlier flow can be open
    /// there.
    has_common_start: bool,
}

impl PeerState {
    /// When a packet of the node was last received.
    pub const fn last_seen_at(&self) -> Option<Instant> {
        self.last_seen_at
    }
}

/// Why a node sends no opening packets to an agent.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Exclusion {
    /// No packet of the agent was received recently.
    #[display("not live")]
    NotLive,
    /// The agent's zone is disabled for new flows.
    #[display("zone disabled")]
    ZoneDisabled,
    /// The agent reported that its server accepts no new flows.
    #[display("not accepting")]
    NotAccepting,
    /// The agent does not receive this node's packets.
    #[display("not reachable")]
    NotReachable,
    /// Opening packets to the agent seem to be lost. It is used only if this holds for all agents.
    #[display("openings get lost")]
    LosingOpenings,
    /// The server is suspended. It gets occasional probes, or flows if all servers are suspended.
    #[display("suspended")]
    Suspended,
    /// The server is not expected to complete a request soon enough to redirect it there.
    #[display("not fast enough")]
    TooSlow,
}

/// A node's view of the other nodes.
#[derive(Clone, Debug)]
pub struct Mesh {
    own: NodeAddress,
    nodes: BTreeMap<Ipv4Addr, PeerState>,
    node_lists: ReceivedNodeLists,
    ring: KeeperRing,
    lost_after: Duration,
    ring_version: u64,
    /// Whether other agents leave this one out of those that must deny an earlier flow.
    is_left_out: bool,
    /// When a control host first replied.
    control_answered_at: Option<Instant>,
    /// When an agent last appeared or restarted.
    newest_agent_at: Option<Instant>,
    /// Number of nodes that place openings.
    placing_nodes: u32,
}

/// What a heartbeat changed in the state of its sender.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerChange {
    /// The node is new, or is back after it had counted as failed.
    pub is_new: bool,
    /// The node was known and has restarted.
    pub has_restarted: bool,
}

impl Mesh {
    /// Creates the view of the node at `own`, which knows no other node yet.
    pub fn new(own: NodeAddress) -> Self {
        Self {
            own,
            nodes: BTreeMap::new(),
            node_lists: ReceivedNodeLists::default(),
            ring: KeeperRing::default(),
            lost_after: HEARTBEAT_INTERVAL * (MAX_MISSED_HEARTBEATS + 1),
            ring_version: 0,
            is_left_out: false,
            control_answered_at: None,
            newest_agent_at: None,
            placing_nodes: 1,
        }
    }

    /// Returns the address and role of this node.
    pub const fn own(&self) -> NodeAddress {
        self.own
    }

    /// Interval between two heartbeats to one node.
    pub fn heartbeat_interval(&self) -> Duration {
        let nodes = u32::try_from(self.nodes.len()).unwrap_or(u32::MAX);
        HEARTBEAT_INTERVAL.max(HEARTBEAT_INTERVAL_PER_NODE.saturating_mul(nodes))
    }

    /// Adds a node that was listed by another node or by the settings.
    pub fn learn(&mut self, now: Instant, address: NodeAddress) {
        if address.ip == self.own.ip {
            return;
        }
        let known = self.nodes.entry(address.ip).or_insert_with(|| PeerState {
            role: address.role,
            boot: BootId::default(),
            index: LogIndex::default(),
            first_seen_at: None,
            last_seen_at: None,
            first_listed_at: now,
            listed_at: now,
            peer_last_saw_us_at: None,
            next_heartbeat_at: now,
            openings: Confirmation::default(),
            report: None,
            server_presence: ServerPresence::default(),
            is_reported_without_earlier_flows: false,
            has_common_start: false,
        });
        known.listed_at = now;
    }

    /// Adds all of the listed nodes.
    pub fn learn_all(&mut self, now: Instant, nodes: impl IntoIterator<Item = NodeAddress>) {
        for node in nodes {
            self.learn(now, node);
        }
    }

    /// Adds the nodes that the control host at `control` knows, whether its answer carries them or refers to a list
    /// that it sent before. A control host of an earlier version has no `hash` and always sends the list.
    pub fn learn_from_control(
        &mut self,
        now: Instant,
        control: Ipv4Addr,
        hash: Option<NodeListHash>,
        nodes: Vec<NodeAddress>,
    ) {
        let Some(hash) = hash else {
            self.learn_all(now, nodes);
            return;
        };
        let mut lists = std::mem::take(&mut self.node_lists);
        self.learn_all(now, lists.on_answer(control, hash, nodes).iter().copied());
        self.node_lists = lists;
    }

    /// Returns which list of the control host at `control` this node holds.
    pub fn held_node_list(&self, control: Ipv4Addr) -> Option<NodeListHash> {
        self.node_lists.held_from(control)
    }

    /// Applies a heartbeat of the node at `from`.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        heartbeat: Heartbeat,
    ) -> PeerChange {
        let role = heartbeat.role;
        self.learn(now, NodeAddress { ip: from, role });
        let lost_after = self.lost_after;
        let Some(known) = self.nodes.get_mut(&from) else {
            return PeerChange::default();
        };
        let was_live = known.last_seen_at.is_some_and(|at| now < at + lost_after);
        let change = PeerChange {
            is_new: !was_live,
            has_restarted: known.last_seen_at.is_some() && known.boot != heartbeat.boot,
        };
        if change.has_restarted || !was_live {
            known.first_seen_at = Some(now);
            known.peer_last_saw_us_at = None;
            known.openings.reset();
            known.has_common_start &= !change.has_restarted;
        }
        known.role = role;
        known.boot = heartbeat.boot;
        known.index = heartbeat.index;
        known.last_seen_at = Some(now);
        let peer_last_saw_us_at = heartbeat.last_seen_age.and_then(|age| now.checked_sub(age));
        known.peer_last_saw_us_at = known.peer_last_saw_us_at.max(peer_last_saw_us_at);
        known.openings.on_heartbeat(now, known.peer_last_saw_us_at);
        known.report = heartbeat.report.map(|report| ReceivedReport {
            report,
            received_at: now,
            sent_since: 0,
            offered_since: 0,
        });
        known.server_presence = heartbeat.server_presence;
        known.is_reported_without_earlier_flows = false;
        match role {
            NodeRole::Agent if change.is_new || change.has_restarted => {
                self.newest_agent_at = Some(now);
                self.update_ring(now);
            }
            NodeRole::Control => self.control_answered_at = self.control_answered_at.or(Some(now)),
            NodeRole::Agent | NodeRole::Balancer => {}
        }
        change
    }

    /// Returns the nodes that are due a heartbeat, and schedules the next one to each.
    pub fn take_due_heartbeats(&mut self, now: Instant) -> Vec<NodeAddress> {
        let next_at = now + self.heartbeat_interval();
        let next_bootstrap_at = now + BOOTSTRAP_INTERVAL;
        let is_answered = self.control_answered_at.is_some();
        let own = self.own.role;
        let is_recipient = |role| match own {
            NodeRole::Control => false,
            NodeRole::Balancer => role != NodeRole::Balancer,
            NodeRole::Agent => true,
        };
        let due = self.nodes.iter_mut();
        let due = due.filter(|(_, k)| is_recipient(k.role) && k.next_heartbeat_at <= now);
        due.map(|(ip, known)| {
            let is_control_unanswered = known.role == NodeRole::Control && !is_answered;
            let is_early = now < known.first_listed_at + FIRST_CONTACT_WINDOW;
            known.next_heartbeat_at = if is_control_unanswered && is_early {
                next_bootstrap_at
            } else {
                next_at
            };
            NodeAddress {
                ip: *ip,
                role: known.role,
            }
        })
        .collect()
    }

    /// Schedules a heartbeat to every node at `at`, unless an earlier one is due, because the state of this
    /// node has changed.
    pub fn schedule_heartbeats(&mut self, now: Instant, at: Instant) {
        for known in self.nodes.values_mut() {
            known.next_heartbeat_at = known.next_heartbeat_at.min(at.max(now));
        }
    }

    /// Time since a packet of the node at `ip` was last received.
    pub fn last_seen_age(&self, now: Instant, ip: Ipv4Addr) -> Option<Duration> {
        let last_seen_at = self.nodes.get(&ip)?.last_seen_at?;
        Some(now.saturating_duration_since(last_seen_at))
    }

    /// Forgets nodes that are gone, and detects failed ones.
    pub fn on_tick(&mut self, now: Instant) {
        self.lost_after = self.heartbeat_interval() * MAX_MISSED_HEARTBEATS + HEARTBEAT_INTERVAL;
        self.nodes.retain(|_, known| {
            let last = known
                .last_seen_at
                .map_or(known.listed_at, |at| at.max(known.listed_at));
            now < last + FORGET_AFTER
        });
        self.count_placing_nodes();
        self.update_ring(now);
    }

    fn count_placing_nodes(&mut self) {
        let own = usize::from(self.own.role == NodeRole::Balancer);
        let others = self.nodes.values().filter(|k| k.role == NodeRole::Balancer);
        let all = (others.count() + own).max(1);
        self.placing_nodes = u32::try_from(all).unwrap_or(u32::MAX);
    }

    /// Returns an estimator of the current load of servers from their last reports.
    pub const fn load_estimator(&self, now: Instant) -> LoadEstimator {
        LoadEstimator::new(now, self.placing_nodes)
    }

    fn update_ring(&mut self, now: Instant) {
        let mut agents: Vec<_> = self
            .live(now, NodeRole::Agent)
            .map(|(ip, k)| (ip, k.boot))
            .collect();
        if self.own.role == NodeRole::Agent {
            agents.push((self.own.ip, BootId::default()));
        }
        if self.ring.update(&agents) {
            self.ring_version += 1;
        }
    }

    /// Increases when the keepers of any flow may have changed, or when one of them has restarted.
    pub const fn ring_version(&self) -> u64 {
        self.ring_version
    }

    /// Returns the hash ring that determines the keepers of each flow.
    pub const fn ring(&self) -> &KeeperRing {
        &self.ring
    }

    /// Returns the state of the node at `ip`.
    pub fn get(&self, ip: Ipv4Addr) -> Option<&PeerState> {
        self.nodes.get(&ip)
    }

    /// Iterates over all nodes.
    pub fn nodes(&self) -> impl Iterator<Item = (Ipv4Addr, &PeerState)> + Clone {
        self.nodes.iter().map(|(ip, known)| (*ip, known))
    }

    /// Whether a packet of the node at `ip` was received recently enough for the node to count as live.
    pub fn is_live(&self, now: Instant, ip: Ipv4Addr) -> bool {
        self.get(ip).is_some_and(|k| self.is_recently_seen(now, k))
    }

    fn is_recently_seen(&self, now: Instant, known: &PeerState) -> bool {
        known
            .last_seen_at
            .is_some_and(|at| now < at + self.lost_after)
    }

    /// Iterates over the live nodes of a role.
    pub fn live(
        &self,
        now: Instant,
        role: NodeRole,
    ) -> impl Iterator<Item = (Ipv4Addr, &PeerState)> + Clone {
        let of_role = self.nodes().filter(move |(_, k)| k.role == role);
        of_role.filter(move |(_, k)| self.is_recently_seen(now, k))
    }

    /// Iterates over all other known agents, live or not.
    pub fn agents(&self) -> impl Iterator<Item = (Ipv4Addr, &PeerState)> {
        self.nodes().filter(|(_, k)| k.role == NodeRole::Agent)
    }

    /// Whether a node's heartbeats confirm that it recently received a packet of any kind from this one. A
    /// node that has just appeared has had no opportunity to confirm that and counts as reachable.
    fn is_reachable(&self, now: Instant, known: &PeerState) -> bool {
        let is_first_contact = known
            .first_seen_at
            .is_some_and(|at| now < at + FIRST_CONTACT_WINDOW);
        let is_reached = known
            .peer_last_saw_us_at
            .is_some_and(|at| now < at + self.lost_after);
        is_reached || (is_first_contact && known.peer_last_saw_us_at.is_none())
    }

    /// Returns the agents of `service` that accept new flows, are live, and receive this node's packets.
    pub fn available_agents<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceLabel,
    ) -> impl Iterator<Item = (Ipv4Addr, &'a ReceivedReport)> + Clone {
        let accepting = self.accepting_agents(now, service);
        accepting.filter_map(|(ip, known)| Some((ip, known.report.as_ref()?)))
    }

    /// Returns those of [`Self::available_agents`] to which opening packets do not seem to be lost, see
    /// [`Self::is_losing_openings`].
    pub fn reachable_agents<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceLabel,
    ) -> impl Iterator<Item = (Ipv4Addr, &'a ReceivedReport)> + Clone {
        let interval = self.heartbeat_interval();
        let accepting = self.accepting_agents(now, service);
        let reachable = accepting.filter(move |(_, k)| !k.openings.is_losing(now, interval));
        reachable.filter_map(|(ip, known)| Some((ip, known.report.as_ref()?)))
    }

    fn accepting_agents<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceLabel,
    ) -> impl Iterator<Item = (Ipv4Addr, &'a PeerState)> + Clone {
        let agents = self.nodes().filter(|(_, k)| k.role == NodeRole::Agent);
        agents.filter(move |(_, known)| {
            let report = known.report.as_ref().map(|r| &r.report);
            let is_candidate =
                |r: &ServerReport| r.service == *service && self.exclusion(now, known, r).is_none();
            report.is_some_and(is_candidate)
        })
    }

    /// Returns why an agent with this report is not one of [`Self::available_agents`]; `None` if it is.
    pub fn exclusion(
        &self,
        now: Instant,
        known: &PeerState,
        report: &ServerReport,
    ) -> Option<Exclusion> {
        if !self.is_recently_seen(now, known) {
            Some(Exclusion::NotLive)
        } else if !report.is_accepting {
            Some(Exclusion::NotAccepting)
        } else {
            (!self.is_reachable(now, known)).then_some(Exclusion::NotReachable)
        }
    }

    /// Returns the reports of live agents on servers of `service`.
    pub fn reports<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceLabel,
    ) -> impl Iterator<Item = &'a ServerReport> + Clone {
        let reports = self
            .live(now, NodeRole::Agent)
            .filter_map(|(_, known)| Some(&known.report.as_ref()?.report));
        reports.filter(move |r| r.service == *service)
    }

    /// Whether opening packets to the agent at `ip` seem to be lost.
    pub fn is_losing_openings(&self, now: Instant, ip: Ipv4Addr) -> bool {
        let interval = self.heartbeat_interval();
        let known = self.get(ip);
        known.is_some_and(|k| k.openings.is_losing(now, interval))
    }

    /// Whether a copy of an opening packet may follow the first one to the agent at `ip`. If not, the first one was
    /// probably lost there.
    pub fn is_reliable(&self, now: Instant, ip: Ipv4Addr) -> bool {
        let doubtful_after = self.heartbeat_interval() * DOUBTFUL_HEARTBEATS;
        let is_fresh = self
            .last_seen_age(now, ip)
            .is_some_and(|age| age < doubtful_after);
        is_fresh && !self.is_losing_openings(now, ip)
    }

    /// Returns the agents for which [`Self::is_losing_openings`] has changed since the last call, with the
    /// new value.
    pub fn take_path_changes(&mut self, now: Instant) -> Vec<(Ipv4Addr, bool)> {
        let interval = self.heartbeat_interval();
        let nodes = self.nodes.iter_mut();
        let changes = nodes.filter_map(|(ip, known)| {
            let is_losing = known.openings.take_change(now, interval)?;
            Some((*ip, is_losing))
        });
        changes.collect()
    }

    /// Notes that an opening packet was sent to the agent at `ip`.
    pub fn on_placed(&mut self, now: Instant, ip: Ipv4Addr) {
        let Some(known) = self.nodes.get_mut(&ip) else {
            return;
        };
        known.openings.on_sent(now);
        if let Some(report) = &mut known.report {
            report.sent_since += 1;
        }
    }

    /// Notes that a slot was offered to the agent at `ip`.
    pub fn on_offered(&mut self, ip: Ipv4Addr) {
        let known = self.nodes.get_mut(&ip);
        if let Some(report) = known.and_then(|k| k.report.as_mut()) {
            report.offered_since += 1;
        }
    }

    /// Notes that a packet arrived from the node at `ip`, which shows that the node is live.
    pub fn on_packet_from(&mut self, now: Instant, ip: Ipv4Addr) {
        let known = self.nodes.get_mut(&ip);
        if let Some(last_seen_at) = known.and_then(|k| k.last_seen_at.as_mut()) {
            *last_seen_at = now;
        }
    }
}
