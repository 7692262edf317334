//! Flows that are nowhere: found out by asking every agent.
//!
//! The load that this answers: a host loses power, and with it a backend server and its agent. Nobody
//! who comes back knows the flows that were open there, and their callers would send into the void
//! until their own time limits. An agent that searched for a flow in vain may break it off, but only
//! if no server can hold it: every agent there is has denied it, all of them know the same agents, and
//! these are all that there are. So an agent that the searcher has not heard of, or that fell silent
//! lately, is not passed over. In a large fleet some agent is always silent; one that said before that no
//! server is beside it, and one that had denied the flow, are not waited for.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use derive_more::{Display, From, Into};

use super::packet::FlowKey;

/// Time for which denials count; the caller's next packet asks again.
const SEARCH_TTL: Duration = Duration::from_secs(2);
/// Inquiries at one agent at a time; bounds memory.
const MAX_SEARCHES: usize = 1024;

/// Stands for all agents that a node knows of; equal at nodes that know the same.
#[derive(Clone, Copy, Debug, Default, Display, Eq, From, Into, PartialEq)]
#[display("{_0:016x}")]
pub struct AgentSetHash(u64);

/// An agent says that its backend server does not hold a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Denial {
    /// The flow.
    pub flow: FlowKey,
    /// The agents that it knows of.
    pub agents: AgentSetHash,
    /// Whether it is sure that these are all: it has been there for long, or all have begun together.
    pub has_full_membership: bool,
}

#[derive(Debug)]
struct FlowSearch {
    /// What the caller expects next.
    seq: u32,
    agents: AgentSetHash,
    denied_by: BTreeSet<Ipv4Addr>,
    has_full_membership: bool,
    until: Instant,
}

impl FlowSearch {
    /// What was denied by those who knew other agents does not count.
    fn reset_if_changed(&mut self, agents: AgentSetHash) {
        if self.agents != agents {
            self.agents = agents;
            self.denied_by.clear();
            self.has_full_membership = false;
        }
    }
}

/// Flows that an agent asks the others about.
#[derive(Debug, Default)]
pub struct FlowSearches {
    searches: HashMap<FlowKey, FlowSearch>,
}

impl FlowSearches {
    /// All of `agents` are asked for a flow whose caller expects `seq` next.
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

    /// An agent denies a flow, and knows the same agents as this one does now. Once all of `agents` have, the
    /// inquiry ends and gives what the caller expects next.
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

    /// Drops what was not answered in full.
    pub fn expire(&mut self, now: Instant) {
        self.searches.retain(|_, search| now < search.until);
    }
}
