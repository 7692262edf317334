//! What a node knows of the other nodes.
//!
//! Every node greets control hosts, which answer with the addresses of all nodes that greet them.
//! Balancers and agents greet each other as well; an agent's greeting carries the [`ServerReport`] of
//! its backend server. What a node says of itself is taken only from the node itself, so nothing that
//! is passed on can be older than what was heard before.
//!
//! A greeting also says how long ago its sender heard the receiver. So each end learns whether the
//! other hears it, and a path that carries packets one way only is not taken for a good one.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use derive_more::{Display, From, Into};
use siphasher::sip::SipHasher13;

use super::confirmation::Confirmation;
use super::inquiry::AgentSetHash;
use super::keepers::KeeperRing;
use super::node::NodeRole;
use super::outlier::ResponseStats;
use super::service_map::ServiceLabel;
use crate::ids::{AvailabilityZone, LogIndex};

/// Shortest time between two greetings to one node: a lost agent is noticed within three of them.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for each known node that is added to the interval, so that greetings stay within 250 a second.
const GREETING_PACE: Duration = Duration::from_millis(4);
/// Greetings that a node may miss before it counts as lost; one lost datagram must not do it.
const MISSED_GREETINGS: u32 = 3;
/// Time after the first greeting in which a node need not have heard this one yet.
const FIRST_CONTACT: Duration = Duration::from_secs(2);
/// Time between two greetings to a control host in the first seconds, while none has answered: hosts that
/// start together come within some hundred milliseconds, and until then a node knows nobody.
const CALL_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a new agent after which those that started together are taken to be all there. A node that
/// starts is heard by all after a call to a control host and a greeting to each; this is twice that.
const QUIET_SPAN: Duration = Duration::from_millis(150);
/// Time after which a node that neither greets nor is listed is forgotten; far above every cut that
/// heals by itself within seconds.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// One life of a process, drawn at its start.
#[derive(Clone, Copy, Debug, Default, Display, Eq, From, Into, PartialEq)]
#[display("{_0:016x}")]
pub struct BootId(u64);

impl BootId {
    /// Makes a boot from its number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// The number itself.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// What an agent says of its backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerReport {
    /// The service that it is of.
    pub service: ServiceLabel,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Whether new flows may go to it.
    pub is_accepting: bool,
    /// Whether it has just started and is slow.
    pub is_cold: bool,
    /// Requests that it works on or is about to get.
    pub busy: u32,
    /// Time that it takes for one, once that was measured.
    pub work: Option<Duration>,
    /// Flows that end at it.
    pub flows: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How it answers.
    pub responses: ResponseStats,
}

/// What an agent says of its server's presence and start.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[display("vacant {has_no_server}, young {is_recently_started}")]
pub struct ServerPresence {
    /// No flow can be open beside it: no server is there.
    pub has_no_server: bool,
    /// It has started a moment ago, beside no server that it knows to be older.
    pub is_recently_started: bool,
}

/// What a node says with every message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// The sender's life.
    pub boot: BootId,
    /// What it does.
    pub role: NodeRole,
    /// Index of the configuration that it holds.
    pub index: LogIndex,
    /// How long ago it heard the receiver; none if it never did.
    pub last_seen_age: Option<Duration>,
    /// What an agent says of its server.
    pub report: Option<ServerReport>,
    /// What an agent says of its server's presence and start.
    pub server_presence: ServerPresence,
}

/// A node by its address and role.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct NodeAddress {
    /// The host's address.
    pub ip: Ipv4Addr,
    /// What runs there.
    pub role: NodeRole,
}

/// A report and when it came.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    /// What the agent said.
    pub report: ServerReport,
    /// When it came.
    pub received_at: Instant,
    /// Opening packets sent to the agent since.
    pub sent_since: u32,
}

/// What is known of one node.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// What it does.
    pub role: NodeRole,
    /// Its life, once it was heard.
    pub boot: BootId,
    /// Index of the configuration that it said it holds.
    pub index: LogIndex,
    first_seen_at: Option<Instant>,
    last_seen_at: Option<Instant>,
    first_listed_at: Instant,
    listed_at: Instant,
    /// When it last heard this node, as far as it said.
    peer_last_saw_us_at: Option<Instant>,
    greet_at: Instant,
    /// Whether opening packets get through to it.
    openings: Confirmation,
    /// The last report of an agent.
    pub report: Option<ReceivedReport>,
    /// What an agent said last of its server's presence and start.
    server_presence: ServerPresence,
    /// A control host heard from it that nothing from before is open beside it. Counts until it is heard itself.
    is_told_fresh: bool,
    /// Whether its life began when everything had just started: nothing from before can be open beside it.
    began_with_all: bool,
}

impl PeerState {
    /// When the node was last heard.
    pub const fn last_seen_at(&self) -> Option<Instant> {
        self.last_seen_at
    }
}

/// What a node knows of the other nodes.
#[derive(Debug)]
pub struct Mesh {
    own: NodeAddress,
    nodes: BTreeMap<Ipv4Addr, PeerState>,
    ring: KeeperRing,
    lost_after: Duration,
    ring_version: u64,
    /// When a control host first answered.
    answered_at: Option<Instant>,
    /// When an agent last came that was not there before.
    newest_agent_at: Option<Instant>,
}

/// What became known by a greeting.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerChange {
    /// The node was not heard before, or not for long.
    pub is_new: bool,
    /// The node was heard before in another life.
    pub has_restarted: bool,
}

impl Mesh {
    /// Makes the view of the node at `own`, which knows nobody.
    pub fn new(own: NodeAddress) -> Self {
        Self {
            own,
            nodes: BTreeMap::new(),
            ring: KeeperRing::default(),
            lost_after: HEARTBEAT_INTERVAL * (MISSED_GREETINGS + 1),
            ring_version: 0,
            answered_at: None,
            newest_agent_at: None,
        }
    }

    /// The node itself.
    pub const fn own(&self) -> NodeAddress {
        self.own
    }

    /// Time between two greetings to one node.
    pub fn heartbeat_interval(&self) -> Duration {
        let nodes = u32::try_from(self.nodes.len()).unwrap_or(u32::MAX);
        HEARTBEAT_INTERVAL.max(GREETING_PACE.saturating_mul(nodes))
    }

    /// The node `address` is said to be there.
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
            greet_at: now,
            openings: Confirmation::default(),
            report: None,
            server_presence: ServerPresence::default(),
            is_told_fresh: false,
            began_with_all: false,
        });
        known.listed_at = now;
    }

    /// These nodes are said to be there.
    pub fn learn_all(&mut self, now: Instant, nodes: impl IntoIterator<Item = NodeAddress>) {
        for node in nodes {
            self.learn(now, node);
        }
    }

    /// Control hosts heard from these agents that nothing from before is open beside them.
    pub fn mark_without_earlier_flows(&mut self, agents: impl IntoIterator<Item = Ipv4Addr>) {
        for ip in agents {
            if let Some(known) = self.nodes.get_mut(&ip) {
                known.is_told_fresh = known.last_seen_at.is_none();
            }
        }
    }

    /// Agents that were heard lately, and had then just started or no server beside them.
    pub fn agents_without_earlier_flows(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> {
        let live = self.live(now, NodeRole::Agent);
        let fresh = live.filter(|(_, k)| {
            k.server_presence.is_recently_started || k.server_presence.has_no_server
        });
        fresh.map(|(ip, _)| ip)
    }

    /// A node greeted this one.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        greeting: Heartbeat,
    ) -> PeerChange {
        let role = greeting.role;
        self.learn(now, NodeAddress { ip: from, role });
        let lost_after = self.lost_after;
        let Some(known) = self.nodes.get_mut(&from) else {
            return PeerChange::default();
        };
        let was_there = known.last_seen_at.is_some_and(|at| now < at + lost_after);
        let news = PeerChange {
            is_new: !was_there,
            has_restarted: known.last_seen_at.is_some() && known.boot != greeting.boot,
        };
        if news.has_restarted || !was_there {
            known.first_seen_at = Some(now);
            known.peer_last_saw_us_at = None;
            known.openings.forget();
            known.began_with_all &= !news.has_restarted;
        }
        known.role = role;
        known.boot = greeting.boot;
        known.index = greeting.index;
        known.last_seen_at = Some(now);
        let peer_last_saw_us_at = greeting.last_seen_age.and_then(|age| now.checked_sub(age));
        known.peer_last_saw_us_at = known.peer_last_saw_us_at.max(peer_last_saw_us_at);
        known.openings.on_word(now, known.peer_last_saw_us_at);
        known.report = greeting.report.map(|report| ReceivedReport {
            report,
            received_at: now,
            sent_since: 0,
        });
        known.server_presence = greeting.server_presence;
        known.is_told_fresh = false;
        match role {
            NodeRole::Agent if news.is_new || news.has_restarted => {
                self.newest_agent_at = Some(now);
                self.renew_ring(now);
            }
            NodeRole::Control => self.answered_at = self.answered_at.or(Some(now)),
            NodeRole::Agent | NodeRole::Balancer => {}
        }
        news
    }

    /// Nodes that are due a greeting; each is due again an interval later.
    pub fn take_due_heartbeats(&mut self, now: Instant) -> Vec<NodeAddress> {
        let again_at = now + self.heartbeat_interval();
        let call_again_at = now + CALL_INTERVAL;
        let is_answered = self.answered_at.is_some();
        let own = self.own.role;
        let greeted = |role| match own {
            NodeRole::Control => false,
            NodeRole::Balancer => role != NodeRole::Balancer,
            NodeRole::Agent => true,
        };
        let take_due_heartbeats = self.nodes.iter_mut();
        let take_due_heartbeats =
            take_due_heartbeats.filter(|(_, k)| greeted(k.role) && k.greet_at <= now);
        take_due_heartbeats
            .map(|(ip, known)| {
                let calls = known.role == NodeRole::Control && !is_answered;
                let is_early = now < known.first_listed_at + FIRST_CONTACT;
                known.greet_at = if calls && is_early {
                    call_again_at
                } else {
                    again_at
                };
                NodeAddress {
                    ip: *ip,
                    role: known.role,
                }
            })
            .collect()
    }

    /// Every node is due a greeting at once, because what this one says has changed.
    pub fn schedule_heartbeats(&mut self, now: Instant, at: Instant) {
        for known in self.nodes.values_mut() {
            known.greet_at = known.greet_at.min(at.max(now));
        }
    }

    /// How long ago `ip` was heard.
    pub fn last_seen_age(&self, now: Instant, ip: Ipv4Addr) -> Option<Duration> {
        let last_seen_at = self.nodes.get(&ip)?.last_seen_at?;
        Some(now.saturating_duration_since(last_seen_at))
    }

    /// Forgets nodes that are gone, and notices those that fell silent.
    pub fn on_tick(&mut self, now: Instant) {
        self.lost_after = self.heartbeat_interval() * MISSED_GREETINGS + HEARTBEAT_INTERVAL;
        self.nodes.retain(|_, known| {
            let last = known
                .last_seen_at
                .map_or(known.listed_at, |at| at.max(known.listed_at));
            now < last + FORGET_AFTER
        });
        self.renew_ring(now);
    }

    fn renew_ring(&mut self, now: Instant) {
        let mut agents: Vec<_> = self
            .live(now, NodeRole::Agent)
            .map(|(ip, k)| (ip, k.boot))
            .collect();
        if self.own.role == NodeRole::Agent {
            agents.push((self.own.ip, BootId::default()));
        }
        if self.ring.renew(&agents) {
            self.ring_version += 1;
        }
    }

    /// Rises when the keepers of some flow may have changed, or one of them started anew.
    pub const fn ring_version(&self) -> u64 {
        self.ring_version
    }

    /// Which agents keep which flow.
    pub const fn ring(&self) -> &KeeperRing {
        &self.ring
    }

    /// What is known of the node at `ip`.
    pub fn get(&self, ip: Ipv4Addr) -> Option<&PeerState> {
        self.nodes.get(&ip)
    }

    /// All nodes.
    pub fn nodes(&self) -> impl Iterator<Item = (Ipv4Addr, &PeerState)> + Clone {
        self.nodes.iter().map(|(ip, known)| (*ip, known))
    }

    /// Whether the node at `ip` was heard lately.
    pub fn is_live(&self, now: Instant, ip: Ipv4Addr) -> bool {
        self.get(ip).is_some_and(|k| self.is_heard(now, k))
    }

    fn is_heard(&self, now: Instant, known: &PeerState) -> bool {
        known
            .last_seen_at
            .is_some_and(|at| now < at + self.lost_after)
    }

    /// Nodes of a role that were heard lately.
    pub fn live(
        &self,
        now: Instant,
        role: NodeRole,
    ) -> impl Iterator<Item = (Ipv4Addr, &PeerState)> + Clone {
        let of_role = self.nodes().filter(move |(_, k)| k.role == role);
        of_role.filter(move |(_, k)| self.is_heard(now, k))
    }

    /// The other agents that are there, or were lately.
    pub fn agents(&self) -> impl Iterator<Item = (Ipv4Addr, &PeerState)> {
        self.nodes().filter(|(_, k)| k.role == NodeRole::Agent)
    }

    /// Stands for [`Self::deniers`].
    pub fn agent_set_hash(&self) -> AgentSetHash {
        let mut ips: Vec<_> = self.deniers().collect();
        ips.sort_unstable();
        let mut hasher = SipHasher13::new();
        for ip in ips {
            hasher.write(&ip.octets());
        }
        hasher.finish().into()
    }

    /// Agents that must deny a flow for it to be nowhere, this one among them: all beside which it can be
    /// open. One that is silent is passed over only if it said before that no server was beside it, or had
    /// begun with all others and never had a server to give flows to.
    pub fn deniers(&self) -> impl Iterator<Item = Ipv4Addr> {
        let has_none = |k: &PeerState| {
            k.server_presence.has_no_server || (k.began_with_all && k.report.is_none())
        };
        let others = self.agents().filter(move |(_, k)| !has_none(k));
        others.map(|(ip, _)| ip).chain([self.own.ip])
    }

    /// Whether a control host has answered, and no agent has come since for a while.
    pub fn is_membership_stable(&self, now: Instant) -> bool {
        let Some(answered_at) = self.answered_at else {
            return false;
        };
        let newest = self.newest_agent_at.unwrap_or(answered_at);
        now >= newest.max(answered_at) + QUIET_SPAN
    }

    /// Notes that all agents have begun together, if that can be told: all have just started, most of them
    /// beside servers that have, and nobody has come since, as after a loss of power everywhere. What was open
    /// before is then over. An agent that went again before it greeted this one counts by what control hosts heard
    /// from it. Where servers outlive their agents, those that have not reported yet would be taken
    /// for new; hence most.
    pub fn detect_common_start(&mut self, now: Instant) -> bool {
        let is_recently_started = |k: &PeerState| {
            let ServerPresence {
                has_no_server,
                is_recently_started,
            } = k.server_presence;
            has_no_server || k.is_told_fresh || (is_recently_started && self.is_heard(now, k))
        };
        let are_young = self.agents().all(|(_, k)| is_recently_started(k));
        let served = self.agents().filter(|(_, k)| k.report.is_some());
        let are_most_served = served.count() * 2 > self.agents().count();
        if !are_young || !are_most_served || !self.is_membership_stable(now) {
            return false;
        }
        for known in self.nodes.values_mut() {
            known.began_with_all = known.role == NodeRole::Agent;
        }
        true
    }

    /// Whether packets get through to a node, as far as it said. One that was just heard for the
    /// first time has had no occasion to say so.
    fn is_reached(&self, now: Instant, known: &PeerState) -> bool {
        let fresh = known
            .first_seen_at
            .is_some_and(|at| now < at + FIRST_CONTACT);
        let reached = known
            .peer_last_saw_us_at
            .is_some_and(|at| now < at + self.lost_after);
        reached || (fresh && known.peer_last_saw_us_at.is_none())
    }

    /// Agents of `service` that take new flows, are heard and hear this node.
    pub fn available_agents<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceLabel,
    ) -> impl Iterator<Item = (Ipv4Addr, &'a ReceivedReport)> + Clone {
        let open = self.open(now, service);
        open.filter_map(|(ip, known)| Some((ip, known.report.as_ref()?)))
    }

    /// Those of [`Self::available_agents`] to which opening packets do not seem to get lost.
    pub fn reachable_agents<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceLabel,
    ) -> impl Iterator<Item = (Ipv4Addr, &'a ReceivedReport)> + Clone {
        let interval = self.heartbeat_interval();
        let open = self.open(now, service);
        let reached = open.filter(move |(_, k)| !k.openings.is_losing(now, interval));
        reached.filter_map(|(ip, known)| Some((ip, known.report.as_ref()?)))
    }

    fn open<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceLabel,
    ) -> impl Iterator<Item = (Ipv4Addr, &'a PeerState)> + Clone {
        let live = self.live(now, NodeRole::Agent);
        live.filter(move |(_, known)| {
            let is_open =
                |h: &ReceivedReport| h.report.is_accepting && h.report.service == *service;
            known.report.as_ref().is_some_and(is_open) && self.is_reached(now, known)
        })
    }

    /// What agents that were heard lately report of servers of `service`.
    pub fn reports<'a>(
        &'a self,
        now: Instant,
        service: &'a ServiceLabel,
    ) -> impl Iterator<Item = &'a ServerReport> {
        let reports = self
            .live(now, NodeRole::Agent)
            .filter_map(|(_, known)| Some(&known.report.as_ref()?.report));
        reports.filter(move |r| r.service == *service)
    }

    /// Whether opening packets that went to the agent at `ip` seem to get lost.
    pub fn is_losing_openings(&self, now: Instant, ip: Ipv4Addr) -> bool {
        let interval = self.heartbeat_interval();
        let known = self.get(ip);
        known.is_some_and(|k| k.openings.is_losing(now, interval))
    }

    /// Agents for which [`Self::is_losing_openings`] has changed since the last call, and what it is now.
    pub fn take_path_changes(&mut self, now: Instant) -> Vec<(Ipv4Addr, bool)> {
        let interval = self.heartbeat_interval();
        let nodes = self.nodes.iter_mut();
        let changes = nodes.filter_map(|(ip, known)| {
            let is_losing = known.openings.take_change(now, interval)?;
            Some((*ip, is_losing))
        });
        changes.collect()
    }

    /// Notes that an opening packet went to the agent at `ip`.
    pub fn on_placed(&mut self, now: Instant, ip: Ipv4Addr) {
        let Some(known) = self.nodes.get_mut(&ip) else {
            return;
        };
        known.openings.on_sent(now);
        if let Some(report) = &mut known.report {
            report.sent_since += 1;
        }
    }

    /// A packet came from the node at `ip`, which is there and gets through.
    pub fn on_packet_from(&mut self, now: Instant, ip: Ipv4Addr) {
        let known = self.nodes.get_mut(&ip);
        if let Some(last_seen_at) = known.and_then(|k| k.last_seen_at.as_mut()) {
            *last_seen_at = now;
        }
    }
}
