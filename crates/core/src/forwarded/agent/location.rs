//! Finds where a flow is: at this agent, at the agent that its keepers have stored, or at none.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::{Action, Agent, BouncedFlow, Disposition, Flow, IDLE_TTL};
use crate::forwarded::decision::{Decision, Step};
use crate::forwarded::inquiry::Denial;
use crate::forwarded::keepers::{FlowLocation, Keepers};
use crate::forwarded::node::NodeRole;
use crate::forwarded::packet::{FlowKey, Header, Purpose, Trail};
use crate::forwarded::report::ServerPresence;

/// Most hops of a packet between agents; bounds loops between nodes with stale views.
const MAX_NON_OPENING_HOPS: u8 = 6;
/// Time after its start from which an agent is assumed to know all other agents. Agents that started at the
/// same time may not have sent their first heartbeat before.
const FULL_MEMBERSHIP_AFTER: Duration = Duration::from_secs(1);
/// Time after its start for which an agent counts as recently started. Hosts that regain power at the same
/// time start within it.
const RECENT_START_WINDOW: Duration = Duration::from_secs(2);
/// Most searches that are deferred until it is known which other nodes have just started; bounds memory.
const MAX_DEFERRED_SEARCHES: usize = 1024;
/// Most denials that are remembered, to be repeated once the agent knows all others; bounds memory.
const MAX_PROVISIONAL_DENIALS: usize = 1024;
/// Most flows remembered as not held by the server; bounds memory.
const MAX_BOUNCED: usize = 4096;
/// Flows that are announced to new keepers per tick.
const MAX_ANNOUNCED_PER_TICK: usize = 64;

impl Agent {
    /// Finds the destination of a packet whose flow is not known at this agent, or is known but not open and
    /// the packet does not acknowledge the initial sequence number of this agent's server.
    pub(super) fn locate(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        header: &Header,
        packet: &[u8],
    ) -> Disposition {
        let key = header.caller_flow();
        let trail = header.trail;
        // An agent that queries this one has followed all redirects already and does not know the flow, so
        // the packet must not be redirected again.
        let is_agent_query = match trail.purpose {
            Purpose::Search => true,
            Purpose::FirstKeeper | Purpose::SecondKeeper => trail.hops > 0,
            Purpose::Placed | Purpose::FromKeeper => false,
        };
        if let Some(to) = self.active_redirect(now, key).filter(|_| !is_agent_query) {
            return Self::forward_to(to, trail, Purpose::Placed);
        }
        let own = self.mesh.own().ip;
        let holder = self.directory.find(key, header.ack);
        match trail.purpose {
            // The flow is known here but not open. It opened at another server whose location has not reached
            // the keeper.
            Purpose::FromKeeper | Purpose::Search if self.flows.contains_key(&key) => {
                Disposition::Drop
            }
            Purpose::Search => self.on_search(now, from, header, packet),
            // This agent's server does not hold the flow, so the stored location is outdated: for example, an
            // earlier process of this agent reported it and has ended together with its server.
            Purpose::FromKeeper if self.knows_all_flows(now) => self.search(now, header, packet),
            Purpose::FromKeeper => self.adopt(now, header),
            Purpose::Placed | Purpose::FirstKeeper | Purpose::SecondKeeper
                if holder == Some(own) =>
            {
                self.adopt(now, header)
            }
            purpose => match holder {
                Some(to) => Self::forward_to(to, trail, Purpose::FromKeeper),
                None => self.query_next_keeper(now, header, packet, purpose),
            },
        }
    }

    fn query_next_keeper(
        &mut self,
        now: Instant,
        header: &Header,
        packet: &[u8],
        purpose: Purpose,
    ) -> Disposition {
        let key = header.caller_flow();
        let own = self.mesh.own().ip;
        let Keepers { first, second } = self.mesh.ring().keepers(key);
        let first = first.filter(|ip| *ip != own);
        let second = second.filter(|ip| *ip != own);
        if purpose == Purpose::Placed && self.may_hold_unseen_flow(now, key) {
            return self.adopt(now, header);
        }
        match (purpose, first, second) {
            (Purpose::Placed, Some(to), _) => {
                Self::forward_to(to, header.trail, Purpose::FirstKeeper)
            }
            (Purpose::Placed | Purpose::FirstKeeper, _, Some(to)) => {
                Self::forward_to(to, header.trail, Purpose::SecondKeeper)
            }
            _ => self.search(now, header, packet),
        }
    }

    fn forward_to(to: Ipv4Addr, trail: Trail, purpose: Purpose) -> Disposition {
        if trail.hops >= MAX_NON_OPENING_HOPS {
            return Disposition::Drop;
        }
        let trail = trail.next_hop(purpose);
        Disposition::Forward { to, trail }
    }

    /// Queries all agents because the keepers do not know the flow. The agent that holds it delivers the
    /// packet.
    fn search(&mut self, now: Instant, header: &Header, packet: &[u8]) -> Disposition {
        let key = header.caller_flow();
        if self.queries_left == 0 || header.trail.hops >= MAX_NON_OPENING_HOPS {
            return Disposition::Drop;
        }
        let live = self.mesh.live(now, NodeRole::Agent);
        let trail = header.trail.next_hop(Purpose::Search);
        let packet = Bytes::copy_from_slice(packet);
        let before = self.actions.len();
        let queries = live.map(|(to, _)| Action::Forward {
            to,
            trail,
            packet: packet.clone(),
        });
        self.actions.extend(queries);
        let queries = (self.actions.len() - before).max(1);
        self.queries_left = self.queries_left.saturating_sub(queries);
        let agents = self.mesh.agent_set_hash();
        self.searches.start(now, key, header.ack, agents);
        self.record_decision(Decision {
            hops: header.trail.hops,
            ..Decision::new(Step::Searched, key, self.map.index)
        });
        self.on_search(now, self.mesh.own().ip, header, &packet)
    }

    /// Handles a query of `searcher` for a flow that is not known here. If the agent cannot deny the flow by
    /// itself, it delivers the packet to the server, which bounces packets of flows that it does not hold. If
    /// the agent has just started, it first waits until it is known whether all agents have.
    fn on_search(
        &mut self,
        now: Instant,
        searcher: Ipv4Addr,
        header: &Header,
        packet: &[u8],
    ) -> Disposition {
        let key = header.caller_flow();
        if self.knows_all_flows(now) || self.has_bounced(key) {
            self.deny(now, searcher, key);
            return Disposition::Drop;
        }
        let has_recent_server = self.server.statement().is_some() && self.is_recently_started(now);
        let may_wait = self.deferred_searches.len() < MAX_DEFERRED_SEARCHES;
        if has_recent_server && !self.mesh.is_membership_stable(now) && may_wait {
            let packet = Bytes::copy_from_slice(packet);
            self.deferred_searches.push((searcher, *header, packet));
            return Disposition::Drop;
        }
        let mut flow = self.assumed_open(now, header);
        flow.searched_by = Some(searcher);
        self.flows.insert(key, flow);
        Disposition::Deliver
    }

    /// Whether the agent has observed every flow that can be open at its server.
    fn knows_all_flows(&self, now: Instant) -> bool {
        self.server.is_fully_observed() || self.has_ended() || self.is_older_than_flows(now)
    }

    /// Whether every flow from before the agent's start has exceeded the maximum flow age.
    fn is_older_than_flows(&self, now: Instant) -> bool {
        now >= self.started_at + self.max_flow_age
    }

    /// Whether the server incarnation has ended and its flows have been removed.
    fn has_ended(&self) -> bool {
        self.server.has_stopped() && self.leave_deadline.is_none()
    }

    /// Returns the state of the local server that heartbeats carry. There is no local server if the last one
    /// has ended, or if none has reported since the agent started although a running one would have.
    pub fn server_presence(&self, now: Instant) -> ServerPresence {
        ServerPresence {
            has_no_server: self.has_ended() || self.server.is_absent(now, self.started_at),
            is_recently_started: self.is_recently_started(now),
        }
    }

    /// Whether other agents leave this one out of those that must deny an earlier flow. They decide that by its
    /// heartbeats: see `Mesh::deniers`.
    pub(super) fn is_left_out(&self, now: Instant) -> bool {
        let has_no_report = self.server.statement().is_none();
        self.server_presence(now).has_no_server || (self.has_common_start && has_no_report)
    }

    /// Whether the current server incarnation has shown that it does not hold the flow. The server can accept
    /// the flow later only through an opening packet, which would pass this agent.
    fn has_bounced(&self, key: FlowKey) -> bool {
        let incarnation = self.server.incarnation();
        self.bounced
            .get(&key)
            .is_some_and(|h| h.incarnation == incarnation)
    }

    /// Records that the server does not hold the flow.
    pub(super) fn record_bounced(&mut self, now: Instant, key: FlowKey) {
        if self.bounced.len() < MAX_BOUNCED {
            let incarnation = self.server.incarnation();
            let until = now + IDLE_TTL;
            self.bounced.insert(key, BouncedFlow { incarnation, until });
        }
    }

    /// Whether the agent started within [`RECENT_START_WINDOW`] and does not know that its server was running
    /// before.
    fn is_recently_started(&self, now: Instant) -> bool {
        now < self.started_at + RECENT_START_WINDOW && !self.server.was_running_before_agent()
    }

    /// Whether this agent and all others have started together, so that no earlier flow is open anywhere.
    pub const fn has_common_start(&self) -> bool {
        self.has_common_start
    }

    /// Detects whether all agents have just started, and then processes deferred searches and provisional
    /// denials. A server whose first received report is its second or third may hold flows from before this
    /// agent's start, unless all agents have just started.
    pub(super) fn process_deferred(&mut self, now: Instant) {
        let may_begin = !self.has_common_start && self.is_recently_started(now);
        if may_begin && self.mesh.detect_common_start(now) {
            self.has_common_start = true;
            self.server.set_fully_observed();
        }
        let is_left_out = self.is_left_out(now);
        self.mesh.set_own_server_absent(is_left_out);
        if !self.deferred_searches.is_empty()
            && (self.mesh.is_membership_stable(now) || !self.is_recently_started(now))
        {
            for (searcher, header, packet) in std::mem::take(&mut self.deferred_searches) {
                let is_known = self.flows.contains_key(&header.caller_flow());
                if !is_known
                    && self.on_search(now, searcher, &header, &packet) == Disposition::Deliver
                {
                    self.actions.push(Action::Deliver(packet));
                }
            }
        }
        if self.has_full_membership(now) {
            for (searcher, flow) in std::mem::take(&mut self.provisional_denials) {
                self.deny(now, searcher, flow);
            }
        }
    }

    /// Whether the agent is assumed to know all other agents.
    fn has_full_membership(&self, now: Instant) -> bool {
        self.has_common_start || now >= self.started_at + FULL_MEMBERSHIP_AFTER
    }

    /// Replies to `searcher` that the flow is not here.
    pub(super) fn deny(&mut self, now: Instant, searcher: Ipv4Addr, flow: FlowKey) {
        let has_full_membership = self.has_full_membership(now);
        if !has_full_membership && self.provisional_denials.len() < MAX_PROVISIONAL_DENIALS {
            self.provisional_denials.push((searcher, flow));
        }
        let denial = Denial {
            flow,
            agents: self.mesh.agent_set_hash(),
            has_full_membership,
        };
        if searcher == self.mesh.own().ip {
            self.on_denials(searcher, [denial]);
        } else {
            let to = searcher;
            self.actions.push(Action::Deny { to, denial });
        }
    }

    /// Applies the denials in a message from the agent `from`. A flow that all agents have denied is open
    /// nowhere and is reset.
    pub fn on_denials(&mut self, from: Ipv4Addr, denials: impl IntoIterator<Item = Denial>) {
        let mut denials = denials.into_iter().peekable();
        if denials.peek().is_none() {
            return;
        }
        let own = self.mesh.own().ip;
        let known = self.mesh.agent_set_hash();
        for denial in denials.filter(|d| d.agents == known) {
            let deniers = self.mesh.deniers();
            let Some(seq) = self.searches.on_denial(from, denial, deniers) else {
                continue;
            };
            let flow = denial.flow;
            let holder = self.directory.find(flow, seq).filter(|ip| *ip != own);
            if holder.is_some() || self.flows.contains_key(&flow) {
                continue;
            }
            self.actions.push(Action::Reset { flow, seq });
            self.record_decision(Decision::new(Step::FoundNowhere, flow, self.map.index));
        }
    }

    /// Whether the flow may be open at the server although this agent, which started later than the server,
    /// has not observed it.
    fn may_hold_unseen_flow(&self, now: Instant, key: FlowKey) -> bool {
        let is_past = self.is_older_than_flows(now) || self.has_bounced(key);
        self.server.predates_agent() && !is_past
    }

    /// Handles a packet of a flow that other nodes have located here. If the server may hold the flow from
    /// before the agent's start, the packet is delivered to it; the server bounces it if it does not hold the
    /// flow.
    fn adopt(&mut self, now: Instant, header: &Header) -> Disposition {
        let key = header.caller_flow();
        if !self.may_hold_unseen_flow(now, key) {
            self.record_decision(Decision {
                hops: header.trail.hops,
                ..Decision::new(Step::UnknownFlow, key, self.map.index)
            });
            return Disposition::Drop;
        }
        let flow = self.assumed_open(now, header);
        self.flows.entry(key).or_insert(flow);
        Disposition::Deliver
    }

    fn assumed_open(&self, now: Instant, header: &Header) -> Flow {
        let next = header.seq.wrapping_add(u32::from(header.len));
        let forget_at = now + IDLE_TTL;
        Flow::assumed_open(
            self.server.incarnation(),
            header.trail,
            header.ack,
            next,
            forget_at,
        )
    }

    pub(super) fn notify_balancer(&mut self, key: FlowKey, trail: Trail) {
        let direct = trail.hops == 0 && trail.purpose == Purpose::Placed;
        if direct || trail.balancer.is_unspecified() {
            return;
        }
        let flow = self.flows.get(&key);
        if let Some(server_seq) = flow.and_then(|f| f.server_seq) {
            let location = FlowLocation {
                flow: key,
                server_seq,
            };
            let to = trail.balancer;
            self.actions.push(Action::NotifyBalancer { to, location });
        }
    }

    pub(super) fn notify_keepers(&mut self, key: FlowKey) {
        let keepers = self.mesh.ring().keepers(key);
        let own = self.mesh.own().ip;
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let Some(server_seq) = flow.server_seq else {
            return;
        };
        flow.keepers = keepers;
        let location = FlowLocation {
            flow: key,
            server_seq,
        };
        let others = keepers.iter().filter(|to| *to != own);
        self.actions
            .extend(others.map(|to| Action::NotifyKeeper { to, location }));
    }

    /// Stores the flow locations in a message from `agent`.
    pub fn on_flow_locations(
        &mut self,
        now: Instant,
        agent: Ipv4Addr,
        locations: impl IntoIterator<Item = FlowLocation>,
    ) {
        for location in locations {
            self.directory
                .on_flow_location(now, agent, location, self.max_flow_age);
        }
    }

    /// Sends the locations of this agent's flows to new keepers, a limited number per tick.
    pub(super) fn announce_to_new_keepers(&mut self) {
        if self.announced_ring_version != self.mesh.ring_version() {
            self.announced_ring_version = self.mesh.ring_version();
            self.flows_to_announce = self.flows.keys().copied().collect();
        }
        let left = self
            .flows_to_announce
            .len()
            .saturating_sub(MAX_ANNOUNCED_PER_TICK);
        for key in self.flows_to_announce.split_off(left) {
            self.notify_keepers(key);
        }
    }
}
