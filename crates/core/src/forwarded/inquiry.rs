//! Flow searches: an agent queries all agents to find out whether a flow is open anywhere.
//!
//! The case that this handles: a host loses power, and with it a backend server and its agent. After the
//! restart no node on it knows the flows that were open there, and their callers would retransmit until their
//! own timeouts. An agent whose search found nothing may reset the flow, but only if no server can hold it:
//! every existing agent has denied the flow, all of them know the same set of agents, and that set is
//! complete. So agents that the searcher has not received a packet from, or that have recently become silent,
//! must deny as well. In a large fleet some agent is always silent; an agent that had reported no local
//! server, or had denied the flow, is not waited for.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use derive_more::{Display, From, Into};

use super::packet::FlowKey;

/// Time for which denials count. The caller's next packet starts the search again.
const SEARCH_TTL: Duration = Duration::from_secs(2);
/// Most concurrent searches of one agent; bounds memory.
const MAX_SEARCHES: usize = 1024;

/// Hash of the set of agents that a node knows; equal on nodes that know the same agents.
#[derive(Clone, Copy, Debug, Default, Display, Eq, From, Into, PartialEq)]
#[display("{_0:016x}")]
pub struct AgentSetHash(u64);

/// A negative reply to a search: the sender's backend server does not hold the flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Denial {
    /// The flow that was searched for.
    pub flow: FlowKey,
    /// Hash of the set of agents that the sender knows.
    pub agents: AgentSetHash,
    /// Whether the sender is sure that this set is complete, because it has been running for long enough or
    /// all agents have started together.
    pub has_full_membership: bool,
}

#[derive(Debug)]
struct FlowSearch {
    /// Sequence number that the caller expects next.
    seq: u32,
    agents: AgentSetHash,
    denied_by: BTreeSet<Ipv4Addr>,
    has_full_membership: bool,
    until: Instant,
}

impl FlowSearch {
    /// Discards denials that were based on another set of agents.
    fn reset_if_changed(&mut self, agents: AgentSetHash) {
        if self.agents != agents {
            self.agents = agents;
            self.denied_by.clear();
            self.has_full_membership = false;
        }
    }
}

/// The searches that an agent has started.
#[derive(Debug, Default)]
pub struct FlowSearches {
    searches: HashMap<FlowKey, FlowSearch>,
}

impl FlowSearches {
    /// Starts a search among `agents` for a flow whose caller expects `seq` next, or renews it.
    pub fn start(&mut self, now: Instant, flow: FlowKey, seq: u32, agents: AgentSetHash) {
        if self.searches.len() >= MAX_SEARCHES && !self.searches.contains_key(&flow) {
            return;
        }
        let search = self.searches.entry(flow).or_insert_with(|| FlowSearch {
            seq,
            agents,
            denied_by: BTreeSet::new(),
            has_full_membership: false,
            until: now,
        });
        search.reset_if_changed(agents);
        search.seq = seq;
        search.until = now + SEARCH_TTL;
    }

    /// Applies the denial of the agent `from`, which must be based on this node's current set of agents. Once
    /// all of `agents` have denied the flow, ends the search and returns the sequence number that the caller
    /// expects next.
    pub fn on_denial(
        &mut self,
        from: Ipv4Addr,
        denial: Denial,
        mut agents: impl Iterator<Item = Ipv4Addr>,
    ) -> Option<u32> {
        let search = self.searches.get_mut(&denial.flow)?;
        search.reset_if_changed(denial.agents);
        search.denied_by.insert(from);
        search.has_full_membership |= denial.has_full_membership;
        if !search.has_full_membership || !agents.all(|ip| search.denied_by.contains(&ip)) {
            return None;
        }
        self.searches.remove(&denial.flow).map(|search| search.seq)
    }

    /// Drops searches that did not complete in time.
    pub fn expire(&mut self, now: Instant) {
        self.searches.retain(|_, search| now < search.until);
    }
}
