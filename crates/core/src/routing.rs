//! Where a packet goes: the decision a balancer takes for each datagram.
//!
//! A [`ServiceTable`] is computed from the directory and the configuration whenever either changes,
//! and then only read, so that the decision takes no lock and its cost does not depend on the
//! servers of other services. A pinned packet goes to the agent named in its connection id, whatever
//! is suspected of it, until the records say that it is gone. An opening or unknown packet goes to
//! its home, the first of the service's backend servers by weighted rendezvous hashing (Thaler and
//! Ravishankar 1998; weights after Schindelhauer and Schomaker 2005), which any two balancers with
//! the same records compute alike. Which agent takes a packet that came to the wrong one is decided
//! in [`crate::steering`].

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

/// Where a packet goes.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Route {
    /// To the agent beside `server`.
    #[display("forward to {server} at {tunnel}")]
    Forward {
        /// The backend server.
        server: BackendServerId,
        /// UDP address of its agent.
        tunnel: SocketAddr,
    },
    /// To an agent that tells the caller that its flow is gone.
    #[display("reset by {server} at {tunnel}")]
    Reset {
        /// The backend server whose agent answers.
        server: BackendServerId,
        /// UDP address of its agent.
        tunnel: SocketAddr,
    },
    /// Nowhere.
    #[display("drop: {_0}")]
    Drop(DropCause),
}

/// A backend server that may be given new flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Placement {
    /// The backend server.
    pub server: BackendServerId,
    /// Its share of new flows.
    pub weight: u16,
    /// UDP address of the agent beside it.
    pub tunnel: SocketAddr,
    /// When new flows may go to it.
    pub eligible_at: UnixMillis,
}

/// What the records say of the life of a backend server that a connection id names.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum OwnerState {
    /// It is there; send it the packet.
    #[display("live at {_0}")]
    Live(SocketAddr),
    /// It has left or was replaced by a later life.
    #[display("gone")]
    Ended,
    /// Its availability zone was taken out.
    #[display("zone out")]
    ZoneOut,
    /// Nobody has announced it for this service.
    #[display("unknown")]
    Unknown,
}

/// One life of one backend server.
#[derive(Clone, Copy, Debug)]
struct Life {
    server: BackendServerId,
    incarnation: Incarnation,
    owner: OwnerState,
    suspected: bool,
}

/// Which backend servers count as there.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ServerFilter {
    /// All that the records do not say are gone: for packets of flows that are open.
    #[display("live")]
    Live,
    /// Of these, the ones that nobody suspects: for packets that can open a flow elsewhere.
    #[display("unsuspected")]
    Unsuspected,
}

/// What the routing of one service needs, computed from the records.
#[derive(Clone, Debug, Default)]
pub struct ServiceTable {
    placements: Box<[Placement]>,
    lives: Box<[Life]>,
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
        let mut lives: Vec<_> = directory
            .records_of_service(service)
            .filter_map(|r| life(r, directory, config))
            .collect();
        // Latest first; of two lives that look alike the later one counts.
        lives.sort_by_key(|l| (l.server, Reverse(l.incarnation)));
        Self {
            placements: placements.collect(),
            lives: lives.into(),
        }
    }

    /// Decides where a classified packet of the service goes.
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

    /// What the records say of one life of a backend server.
    ///
    /// A life later than all known ones is one whose record has not come here yet. It counts as the
    /// latest known life, for it may run at the same address, and never as gone.
    pub fn owner(&self, server: BackendServerId, incarnation: ShortIncarnation) -> OwnerState {
        let from = self.lives.partition_point(|l| l.server < server);
        let lives = &self.lives[from..];
        let Some(latest) = lives.first().filter(|l| l.server == server) else {
            return OwnerState::Unknown;
        };
        if latest.incarnation.short().is_before(incarnation) {
            return match latest.owner {
                OwnerState::Ended => OwnerState::Unknown,
                known => known,
            };
        }
        lives
            .iter()
            .take_while(|l| l.server == server)
            .find(|l| l.incarnation.short() == incarnation)
            .map_or(OwnerState::Ended, |l| l.owner)
    }

    /// Bytes that the table takes up.
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + size_of_val(&*self.placements) + size_of_val(&*self.lives)
    }

    /// Whether any life of the peer's server is there at the peer's address.
    pub fn is_at(&self, peer: Peer, reach: ServerFilter) -> bool {
        let from = self.lives.partition_point(|l| l.server < peer.server);
        let lives = self.lives[from..].iter();
        lives
            .take_while(|l| l.server == peer.server)
            .filter(|l| reach == ServerFilter::Live || !l.suspected)
            .any(|l| l.owner == OwnerState::Live(peer.tunnel))
    }

    /// All backend servers that may be given new flows, now or once they are eligible.
    pub fn placements(&self) -> &[Placement] {
        &self.placements
    }

    /// The home of a flow.
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

fn life(record: &Record, directory: &Directory, config: &CommittedConfig) -> Option<Life> {
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
    Some(Life {
        server,
        incarnation: record.incarnation,
        owner,
        suspected: directory.is_suspected(record.member),
    })
}

/// Why a pinned packet of `service` whose server the service's table does not know is dropped: the
/// server may be one of another service by now.
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

/// Rank of a server among all for a flow, the same at every node, whatever is known of the server.
pub const fn rank(key: FlowKey, server: BackendServerId) -> u64 {
    mix(key.get() ^ mix(server.get() as u64))
}

impl Placement {
    /// Weighted rendezvous score: a server of weight `w` wins a share of keys proportional to `w`.
    pub fn score(&self, key: FlowKey) -> f64 {
        let uniform = unit_interval(rank(key, self.server));
        f64::from(self.weight) / -uniform.ln()
    }
}

/// The placement with the highest score; the earlier one of two equal ones.
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
