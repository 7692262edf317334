//! The routing decision that a balancer makes for each datagram.
//!
//! A [`ServiceTable`] is computed from the directory and the configuration whenever either changes, and is
//! then immutable, so that the decision takes no lock and its cost does not depend on the servers of other
//! services. A pinned packet is sent to the agent in its connection id, even if the agent is suspected, until
//! the records show that it has ended. An opening or unknown packet is sent to its home: the first of the
//! service's backend servers by weighted rendezvous hashing (Thaler and Ravishankar 1998; weights after
//! Schindelhauer and Schomaker 2005). All balancers with the same records compute the same home. A packet
//! that reaches the wrong agent is forwarded by [`crate::steering`].

use std::cmp::{Ordering, Reverse};
use std::net::SocketAddr;

use derive_more::Display;

use crate::config::CommittedConfig;
use crate::directory::{Directory, MemberId, MemberState, Record};
pub use crate::drop_cause::DropCause;
use crate::flow::{ConnectionId, FlowKey, PacketClass};
use crate::flow_table::Peer;
use crate::ids::{BackendServerId, Incarnation, ServiceId, ShortIncarnation};
use crate::time::UnixMillis;

/// The routing decision for a packet.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Route {
    /// The packet is sent to the agent of `server`.
    #[display("forward to {server} at {tunnel}")]
    Forward {
        /// The backend server.
        server: BackendServerId,
        /// Tunnel address (UDP) of its agent.
        tunnel: SocketAddr,
    },
    /// The owner of the flow has ended; the packet is sent to an agent that resets the flow.
    #[display("reset by {server} at {tunnel}")]
    Reset {
        /// The backend server whose agent resets the flow.
        server: BackendServerId,
        /// Tunnel address (UDP) of its agent.
        tunnel: SocketAddr,
    },
    /// The packet is dropped.
    #[display("drop: {_0}")]
    Drop(DropCause),
}

/// A backend server that may be given new flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Placement {
    /// The backend server.
    pub server: BackendServerId,
    /// Its weight in the distribution of new flows.
    pub weight: u16,
    /// Tunnel address (UDP) of its agent.
    pub tunnel: SocketAddr,
    /// The time from which it may be given new flows.
    pub eligible_at: UnixMillis,
}

/// The state of the incarnation of a backend server in a connection id, according to the records.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum OwnerState {
    /// It runs; packets are to be sent to this tunnel address.
    #[display("live at {_0}")]
    Live(SocketAddr),
    /// It has left or was replaced by a later incarnation.
    #[display("gone")]
    Ended,
    /// Its availability zone was taken out of service.
    #[display("zone out")]
    ZoneOut,
    /// There is no record of it for this service.
    #[display("unknown")]
    Unknown,
}

/// One incarnation of one backend server.
#[derive(Clone, Copy, Debug)]
struct ServerIncarnation {
    server: BackendServerId,
    incarnation: Incarnation,
    owner: OwnerState,
    suspected: bool,
}

/// The backend servers that a packet may be forwarded to.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ServerFilter {
    /// All servers that have not ended according to the records: for packets that may be of an open flow.
    #[display("live")]
    Live,
    /// The live servers that are not suspected: for packets that can open a flow elsewhere.
    #[display("unsuspected")]
    Unsuspected,
}

/// The routing table of one service, computed from the records.
#[derive(Clone, Debug, Default)]
pub struct ServiceTable {
    placements: Box<[Placement]>,
    incarnations: Box<[ServerIncarnation]>,
}

impl ServiceTable {
    /// Computes the table of `service`.
    pub fn build(directory: &Directory, config: &CommittedConfig, service: ServiceId) -> Self {
        let placements = directory
            .candidates(service)
            .iter()
            .filter(|c| config.is_zone_in(&c.zone))
            .map(|c| Placement {
                server: c.server,
                weight: c.weight,
                tunnel: c.tunnel,
                eligible_at: c.eligible_at,
            });
        let mut incarnations: Vec<_> = directory
            .records_of_service(service)
            .filter_map(|r| server_incarnation(r, directory, config))
            .collect();
        // The latest first: of two incarnations with the same short number the later one is found.
        incarnations.sort_by_key(|i| (i.server, Reverse(i.incarnation)));
        Self {
            placements: placements.collect(),
            incarnations: incarnations.into(),
        }
    }

    /// Decides where a classified packet of the service is sent.
    pub fn route(&self, class: PacketClass, now: UnixMillis) -> Route {
        match class {
            PacketClass::Pinned(id) => self.route_pinned(id, now),
            PacketClass::Opening(key) | PacketClass::Unknown(key) => match self.home(key, now) {
                Some(p) => Route::Forward {
                    server: p.server,
                    tunnel: p.tunnel,
                },
                None => Route::Drop(DropCause::NoServer),
            },
        }
    }

    fn route_pinned(&self, id: ConnectionId, now: UnixMillis) -> Route {
        match self.owner(id.server, id.incarnation) {
            OwnerState::Live(tunnel) => Route::Forward {
                server: id.server,
                tunnel,
            },
            OwnerState::Unknown => Route::Drop(DropCause::UnknownServer),
            OwnerState::Ended => self.route_reset(id, DropCause::NoServer, now),
            OwnerState::ZoneOut => self.route_reset(id, DropCause::ZoneOut, now),
        }
    }

    fn route_reset(&self, id: ConnectionId, otherwise: DropCause, now: UnixMillis) -> Route {
        let key = FlowKey::from_hash(u64::from(id.server.get()));
        match self.home(key, now) {
            Some(p) => Route::Reset {
                server: p.server,
                tunnel: p.tunnel,
            },
            None => Route::Drop(otherwise),
        }
    }

    /// The state of one incarnation of a backend server, according to the records.
    ///
    /// The record of an incarnation that is later than all known ones has not arrived yet. Such an incarnation
    /// is treated as the latest known one, because it may run at the same address, but never as ended.
    pub fn owner(&self, server: BackendServerId, incarnation: ShortIncarnation) -> OwnerState {
        let from = self.incarnations.partition_point(|i| i.server < server);
        let incarnations = &self.incarnations[from..];
        let Some(latest) = incarnations.first().filter(|i| i.server == server) else {
            return OwnerState::Unknown;
        };
        if latest.incarnation.short().is_before(incarnation) {
            return match latest.owner {
                OwnerState::Ended => OwnerState::Unknown,
                known => known,
            };
        }
        incarnations
            .iter()
            .take_while(|i| i.server == server)
            .find(|i| i.incarnation.short() == incarnation)
            .map_or(OwnerState::Ended, |i| i.owner)
    }

    /// Memory of the table, in bytes.
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + size_of_val(&*self.placements) + size_of_val(&*self.incarnations)
    }

    /// Whether any incarnation of the peer's server that passes `filter` is live at the peer's address.
    pub fn is_live_at(&self, peer: Peer, filter: ServerFilter) -> bool {
        let from = self
            .incarnations
            .partition_point(|i| i.server < peer.server);
        let incarnations = self.incarnations[from..].iter();
        incarnations
            .take_while(|i| i.server == peer.server)
            .filter(|i| filter == ServerFilter::Live || !i.suspected)
            .any(|i| i.owner == OwnerState::Live(peer.tunnel))
    }

    /// All backend servers that may be given new flows, including those that are not eligible yet.
    pub fn placements(&self) -> &[Placement] {
        &self.placements
    }

    /// The home of a flow: the eligible backend server with the highest score.
    pub fn home(&self, key: FlowKey, now: UnixMillis) -> Option<&Placement> {
        let eligible = self.placements.iter().filter(|p| p.eligible_at <= now);
        first_by_score(eligible, key)
    }

    /// The eligible backend servers in the order in which rendezvous hashing ranks them for a flow.
    pub fn ranked(&self, key: FlowKey, now: UnixMillis) -> Vec<Placement> {
        let eligible = self.placements.iter().filter(|p| p.eligible_at <= now);
        let mut ranked: Vec<_> = eligible.copied().collect();
        ranked.sort_by(|a, b| b.score(key).total_cmp(&a.score(key)));
        ranked
    }
}

fn server_incarnation(
    record: &Record,
    directory: &Directory,
    config: &CommittedConfig,
) -> Option<ServerIncarnation> {
    let MemberId::BackendServer(server) = record.member else {
        return None;
    };
    let owner = if record.state == MemberState::Left {
        OwnerState::Ended
    } else if config.is_zone_in(&record.zone) {
        OwnerState::Live(record.tunnel)
    } else {
        OwnerState::ZoneOut
    };
    Some(ServerIncarnation {
        server,
        incarnation: record.incarnation,
        owner,
        suspected: directory.is_suspected(record.member),
    })
}

/// The cause for which a pinned packet of `service` is dropped if the service's table does not have its
/// server, which may be a server of another service by now.
pub fn unknown_server_cause(
    directory: &Directory,
    service: ServiceId,
    server: BackendServerId,
) -> DropCause {
    match directory
        .get(MemberId::BackendServer(server))
        .and_then(Record::service)
    {
        Some(other) if other != service => DropCause::WrongService,
        _ => DropCause::UnknownServer,
    }
}

/// Rank of a server for a flow. It depends on the flow key and the server number only, so it is the same at
/// every node.
pub const fn rank(key: FlowKey, server: BackendServerId) -> u64 {
    mix(key.get() ^ mix(server.get() as u64))
}

impl Placement {
    /// Weighted rendezvous score: a server of weight `w` gets a share of the keys proportional to `w`.
    pub fn score(&self, key: FlowKey) -> f64 {
        let uniform = unit_interval(rank(key, self.server));
        f64::from(self.weight) / -uniform.ln()
    }
}

/// The placement with the highest score; the first of several with the same score.
pub fn first_by_score<'a>(
    placements: impl Iterator<Item = &'a Placement>,
    key: FlowKey,
) -> Option<&'a Placement> {
    let mut best = None;
    let mut best_score = f64::NEG_INFINITY;
    for p in placements {
        let score = p.score(key);
        if score.total_cmp(&best_score) == Ordering::Greater {
            best = Some(p);
            best_score = score;
        }
    }
    best
}

/// The finalizer of `SplitMix64` (Steele, Lea, Flood 2014).
const fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Maps a hash to the open interval (0, 1).
#[expect(
    clippy::cast_precision_loss,
    reason = "the top 53 bits fit a double exactly"
)]
fn unit_interval(hash: u64) -> f64 {
    const SCALE: f64 = 1.0 / (1_u64 << 53) as f64;
    ((hash >> 11) as f64 + 0.5) * SCALE
}
