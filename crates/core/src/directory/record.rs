//! The record that each member publishes about itself.

use std::net::SocketAddr;

use derive_more::Display;

use crate::ids::{AvailabilityZone, BackendServerId, Incarnation, NodeId, Sequence, ServiceId};
use crate::time::UnixMillis;

/// Identifies the member that a record describes.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum MemberId {
    /// A backend server, announced by its agent.
    #[display("server {_0}")]
    BackendServer(BackendServerId),
    /// A balancer.
    #[display("balancer {_0}")]
    Balancer(NodeId),
}

/// The lifecycle state of a member.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum MemberState {
    /// The member accepts flows.
    #[default]
    #[display("serving")]
    Serving,
    /// The member finishes its open flows and accepts no new ones.
    #[display("draining")]
    Draining,
    /// The member has left; the record is a tombstone.
    #[display("left")]
    Left,
}

/// The role of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// Serves requests of one service.
    BackendServer {
        /// The service.
        service: ServiceId,
        /// Concurrent requests that the server announced it can run.
        slots: u16,
        /// End of the server's cold start.
        ramp_until: UnixMillis,
    },
    /// Forwards datagrams.
    Balancer,
}

/// The record of one member, published by the member itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The member that the record describes.
    pub member: MemberId,
    /// The member's availability zone.
    pub zone: AvailabilityZone,
    /// The incarnation of the process that published the record.
    pub incarnation: Incarnation,
    /// Number of the record among those of that incarnation.
    pub sequence: Sequence,
    /// The member's lifecycle state.
    pub state: MemberState,
    /// UDP address for tunnelled datagrams.
    pub tunnel: SocketAddr,
    /// TCP address for messages from peers.
    pub peer: SocketAddr,
    /// The time from which the member may be given new flows: by then the record has reached every balancer.
    /// For a tombstone, whose member gets no flows, the time from which the record may be deleted.
    pub eligible_at: UnixMillis,
    /// The member's role.
    pub role: Role,
}

impl Record {
    /// Whether this copy of the record is newer than `other` and replaces it.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    /// When a tombstone may be deleted; none for a member that has not left.
    pub fn forget_at(&self) -> Option<UnixMillis> {
        (self.state == MemberState::Left).then_some(self.eligible_at)
    }

    /// The service of a backend server; none for a balancer.
    pub const fn service(&self) -> Option<ServiceId> {
        match self.role {
            Role::BackendServer { service, .. } => Some(service),
            Role::Balancer => None,
        }
    }
}
