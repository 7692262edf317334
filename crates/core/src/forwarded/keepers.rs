//! Keepers: the agents that store the locations of flows, and the table that they store.
//!
//! The keepers of a flow are the two agents that follow it on a consistent hash ring. They depend on the flow
//! and the set of agents only, not on service, route or weights. So any node can compute them without a
//! query, and an agent that joins or leaves moves only the flows next to it on the ring.

use std::collections::HashMap;
use std::hash::Hasher;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use siphasher::sip::SipHasher13;

use super::packet::FlowKey;
use super::report::BootId;

/// Points of each agent on the ring; enough for the shares of agents to differ by less than half.
const POINTS_PER_AGENT: u32 = 16;
/// Most locations stored for one flow. Copies of an opening packet may be answered by several backend
/// servers.
const MAX_HOLDERS: usize = 4;

/// The two keepers of a flow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Keepers {
    /// Queried first.
    pub first: Option<Ipv4Addr>,
    /// Queried if the first does not know the flow.
    pub second: Option<Ipv4Addr>,
}

impl Keepers {
    /// Iterates over the keepers; fewer than two if there are fewer than two agents.
    pub fn iter(self) -> impl Iterator<Item = Ipv4Addr> {
        self.first.into_iter().chain(self.second)
    }
}

/// A consistent hash ring of agents.
#[derive(Clone, Debug, Default)]
pub struct KeeperRing {
    agents: Vec<(Ipv4Addr, BootId)>,
    points: Vec<(u64, Ipv4Addr)>,
}

impl KeeperRing {
    /// Replaces the agents on the ring. Returns false if they are the same as before.
    pub fn update(&mut self, agents: &[(Ipv4Addr, BootId)]) -> bool {
        if self.agents == agents {
            return false;
        }
        self.agents = agents.to_vec();
        let points = agents
            .iter()
            .flat_map(|(ip, _)| (0..POINTS_PER_AGENT).map(|n| (point(*ip, n), *ip)));
        self.points = points.collect();
        self.points.sort_unstable();
        true
    }

    /// Returns the keepers of a flow.
    pub fn keepers(&self, flow: FlowKey) -> Keepers {
        let at = self
            .points
            .partition_point(|(hash, _)| *hash < flow_hash(flow));
        let around = self.points[at..].iter().chain(&self.points[..at]);
        let mut ips = around.map(|(_, ip)| *ip);
        let first = ips.next();
        Keepers {
            first,
            second: ips.find(|ip| Some(*ip) != first),
        }
    }
}

fn point(ip: Ipv4Addr, n: u32) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(&ip.octets());
    hasher.write_u32(n);
    hasher.finish()
}

fn flow_hash(flow: FlowKey) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(&flow.caller.ip().octets());
    hasher.write_u16(flow.caller.port());
    hasher.write(&flow.service.ip().octets());
    hasher.write_u16(flow.service.port());
    hasher.finish()
}

/// States that the sending agent's server holds a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlowLocation {
    /// The flow that the server holds.
    pub flow: FlowKey,
    /// The server's initial sequence number, which distinguishes servers that answered copies of the same
    /// opening packet.
    pub server_seq: u32,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    agent: Ipv4Addr,
    server_seq: u32,
    until: Instant,
}

/// The flow locations that an agent stores as a keeper.
#[derive(Debug, Default)]
pub struct FlowDirectory {
    flows: HashMap<FlowKey, Vec<Holder>>,
}

impl FlowDirectory {
    /// Stores for `ttl` that the backend server of `agent` holds a flow.
    pub fn on_flow_location(
        &mut self,
        now: Instant,
        agent: Ipv4Addr,
        location: FlowLocation,
        ttl: Duration,
    ) {
        let until = now + ttl;
        let holders = self.flows.entry(location.flow).or_default();
        holders.retain(|h| h.agent != agent);
        if holders.len() == MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(Holder {
            agent,
            server_seq: location.server_seq,
            until,
        });
    }

    /// Returns the agent that a caller's packet belongs to. If several are stored for the flow, returns the
    /// one whose server's sequence numbers the caller acknowledges.
    pub fn find(&self, flow: FlowKey, ack: u32) -> Option<Ipv4Addr> {
        let holders = self.flows.get(&flow)?;
        let nearest = holders
            .iter()
            .min_by_key(|h| ack.wrapping_sub(h.server_seq));
        nearest.map(|h| h.agent)
    }

    /// Drops locations whose time to live has ended.
    pub fn expire(&mut self, now: Instant) {
        self.flows.retain(|_, holders| {
            holders.retain(|h| now < h.until);
            !holders.is_empty()
        });
    }

    /// Number of flows with a stored location.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no location is stored.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
