//! Searches for flows that no keeper knows. A flow that every agent whose server may hold it has denied is open
//! nowhere and is reset.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::location::MAX_NON_OPENING_HOPS;
use super::{Action, Agent, BouncedFlow, Disposition, IDLE_TTL};
use crate::forwarded::decision::{Decision, Step};
use crate::forwarded::inquiry::Denial;
use crate::forwarded::node::NodeRole;
use crate::forwarded::packet::{FlowKey, Header, Purpose};
use crate::forwarded::report::ServerPresence;

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

impl Agent {
    /// Queries all agents because the keepers do not know the flow. The agent that holds it delivers the
    /// packet.
    pub(super) fn search(&mut self, now: Instant, header: &Header, packet: &[u8]) -> Disposition {
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
    pub(super) fn on_search(
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
        self.mesh.set_left_out(is_left_out);
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

    /// Whether this agent and all others have started together, so that no earlier flow is open anywhere.
    pub const fn has_common_start(&self) -> bool {
        self.has_common_start
    }

    /// Whether the agent started within [`RECENT_START_WINDOW`] and does not know that its server was running
    /// before.
    pub(super) fn is_recently_started(&self, now: Instant) -> bool {
        now < self.started_at + RECENT_START_WINDOW && !self.server.was_running_before_agent()
    }

    /// Whether the agent has observed every flow that can be open at its server. After a common start it has, even
    /// if the server has not reported, because the server can only have accepted flows through it since.
    pub(super) fn knows_all_flows(&self, now: Instant) -> bool {
        self.has_common_start
            || self.server.is_fully_observed()
            || self.has_ended()
            || self.is_older_than_flows(now)
    }

    /// Whether every flow from before the agent's start has exceeded the maximum flow age.
    pub(super) fn is_older_than_flows(&self, now: Instant) -> bool {
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
    pub(super) fn has_bounced(&self, key: FlowKey) -> bool {
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
}
