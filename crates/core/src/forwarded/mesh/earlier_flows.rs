//! Which agents may hold a flow from before a failure.
//!
//! A flow that nobody knows may be reset only once every agent whose server may hold it has denied it. The
//! agents must agree on that set, and after a loss of power they must find out that all of them have just
//! started, so that no earlier flow is open anywhere.

use std::hash::Hasher;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use siphasher::sip::SipHasher13;

use super::{Mesh, PeerState};
use crate::forwarded::inquiry::AgentSetHash;
use crate::forwarded::node::NodeRole;
use crate::forwarded::report::ServerPresence;

/// Time without a new agent after which the agents that started together are assumed to be complete. A
/// starting node is known to all others after one heartbeat to a control host and one to each node; this is
/// twice that time.
const STABLE_WINDOW: Duration = Duration::from_millis(150);
impl Mesh {
    /// Notes whether other agents leave this one out of those that must deny an earlier flow, because its
    /// heartbeats tell them that none can be open at its server.
    pub const fn set_left_out(&mut self, is_left_out: bool) {
        self.is_left_out = is_left_out;
    }

    /// Notes that control hosts reported these agents as having no earlier flows.
    pub fn mark_without_earlier_flows(&mut self, agents: impl IntoIterator<Item = Ipv4Addr>) {
        for ip in agents {
            if let Some(known) = self.nodes.get_mut(&ip) {
                known.is_reported_without_earlier_flows = known.last_seen_at.is_none();
            }
        }
    }

    /// Returns the live agents that reported that they had just started or have no local server.
    pub fn agents_without_earlier_flows(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> {
        let live = self.live(now, NodeRole::Agent);
        let agents = live.filter(|(_, k)| {
            k.server_presence.is_recently_started || k.server_presence.has_no_server
        });
        agents.map(|(ip, _)| ip)
    }

    /// Returns the agents, this one included, that must all deny a flow before it counts as open nowhere:
    /// every agent whose server may hold it. Another agent, live or not, is left out if it last reported that
    /// it has no local server, or if it took part in a common start and its last heartbeat, if any, carried no
    /// server report.
    pub fn deniers(&self) -> impl Iterator<Item = Ipv4Addr> {
        let has_none = |k: &PeerState| {
            k.server_presence.has_no_server || (k.has_common_start && k.report.is_none())
        };
        let others = self.agents().filter(move |(_, k)| !has_none(k));
        others.map(|(ip, _)| ip).chain([self.own.ip])
    }

    /// Returns a hash of the agents whose server may hold an earlier flow, which all agents must agree on. This
    /// agent is one of [`Self::deniers`], but is part of the set only if the others count it too.
    pub fn agent_set_hash(&self) -> AgentSetHash {
        let counted = |ip: &Ipv4Addr| *ip != self.own.ip || !self.is_left_out;
        let mut ips: Vec<_> = self.deniers().filter(counted).collect();
        ips.sort_unstable();
        let mut hasher = SipHasher13::new();
        for ip in ips {
            hasher.write(&ip.octets());
        }
        hasher.finish().into()
    }

    /// Whether a control host has replied and no agent has appeared for `STABLE_WINDOW`.
    pub fn is_membership_stable(&self, now: Instant) -> bool {
        let Some(control_answered_at) = self.control_answered_at else {
            return false;
        };
        let newest = self.newest_agent_at.unwrap_or(control_answered_at);
        now >= newest.max(control_answered_at) + STABLE_WINDOW
    }

    /// Detects a common start of all agents, as after a loss of power everywhere, and returns whether there
    /// is one: all agents have just started, most of them with servers, and no agent has appeared for a
    /// while. All earlier flows are then closed. For an agent that this node has never received a packet from,
    /// the report of the control hosts is used instead: it must say that the agent has no earlier flows. Most
    /// agents must have reported a server, because a server may outlive its agent: an agent that has restarted
    /// and whose running server has not reported to it yet cannot be distinguished from one that started
    /// together with its server.
    pub fn detect_common_start(&mut self, now: Instant) -> bool {
        let is_without_earlier_flows = |k: &PeerState| {
            let ServerPresence {
                has_no_server,
                is_recently_started,
            } = k.server_presence;
            has_no_server
                || k.is_reported_without_earlier_flows
                || (is_recently_started && self.is_recently_seen(now, k))
        };
        let are_all_without_earlier_flows = self.agents().all(|(_, k)| is_without_earlier_flows(k));
        let with_servers = self.agents().filter(|(_, k)| k.report.is_some());
        let has_server_majority = with_servers.count() * 2 > self.agents().count();
        if !are_all_without_earlier_flows || !has_server_majority || !self.is_membership_stable(now)
        {
            return false;
        }
        for known in self.nodes.values_mut() {
            known.has_common_start = known.role == NodeRole::Agent;
        }
        true
    }
}
