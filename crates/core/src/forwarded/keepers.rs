//! Which agents keep track of which flow, and what they keep.
//!
//! The keepers of a flow follow from the flow and the agents alone, whatever its service, route or
//! weights: the two agents next on a hash ring. Any node finds them without asking, and an agent that
//! comes or goes moves only the flows next to it.

use std::collections::HashMap;
use std::hash::Hasher;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use siphasher::sip::SipHasher13;

use super::mesh::BootId;
use super::packet::FlowKey;

/// Points of each agent on the ring: enough that shares differ by less than half.
const POINTS: u32 = 16;
/// Places that one flow may have at once: copies of an opening packet can be answered by several
/// backend servers.
const MAX_HOLDERS: usize = 4;

/// The two keepers of a flow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Keepers {
    /// Asked first.
    pub first: Option<Ipv4Addr>,
    /// Asked when the first does not know.
    pub second: Option<Ipv4Addr>,
}

impl Keepers {
    /// Both, as far as there are two agents.
    pub fn iter(self) -> impl Iterator<Item = Ipv4Addr> {
        self.first.into_iter().chain(self.second)
    }
}

/// The agents on a hash ring.
#[derive(Clone, Debug, Default)]
pub struct KeeperRing {
    agents: Vec<(Ipv4Addr, BootId)>,
    points: Vec<(u64, Ipv4Addr)>,
}

impl KeeperRing {
    /// Puts these agents on the ring; false if they are the same as before.
    pub fn renew(&mut self, agents: &[(Ipv4Addr, BootId)]) -> bool {
        if self.agents == agents {
            return false;
        }
        self.agents = agents.to_vec();
        let points = agents
            .iter()
            .flat_map(|(ip, _)| (0..POINTS).map(|n| (point(*ip, n), *ip)));
        self.points = points.collect();
        self.points.sort_unstable();
        true
    }

    /// The keepers of a flow.
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

/// Says that a flow is at an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlowLocation {
    /// The flow.
    pub flow: FlowKey,
    /// The first position of the backend server's own stream, which tells apart two servers that
    /// answered copies of one opening packet.
    pub server_seq: u32,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    agent: Ipv4Addr,
    server_seq: u32,
    until: Instant,
}

/// The flows that an agent keeps track of for others.
#[derive(Debug, Default)]
pub struct FlowDirectory {
    flows: HashMap<FlowKey, Vec<Holder>>,
}

impl FlowDirectory {
    /// `agent` says that its backend server holds a flow; kept for `ttl`.
    pub fn on_flow_location(
        &mut self,
        now: Instant,
        agent: Ipv4Addr,
        place: FlowLocation,
        ttl: Duration,
    ) {
        let until = now + ttl;
        let holders = self.flows.entry(place.flow).or_default();
        holders.retain(|h| h.agent != agent);
        if holders.len() == MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(Holder {
            agent,
            server_seq: place.server_seq,
            until,
        });
    }

    /// The agent that a caller's packet belongs to. Of several, the one whose server's stream the
    /// caller acknowledges.
    pub fn find(&self, flow: FlowKey, ack: u32) -> Option<Ipv4Addr> {
        let holders = self.flows.get(&flow)?;
        let nearest = holders
            .iter()
            .min_by_key(|h| ack.wrapping_sub(h.server_seq));
        nearest.map(|h| h.agent)
    }

    /// Drops what is past its time.
    pub fn expire(&mut self, now: Instant) {
        self.flows.retain(|_, holders| {
            holders.retain(|h| now < h.until);
            !holders.is_empty()
        });
    }

    /// Flows that are kept.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is kept.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}
