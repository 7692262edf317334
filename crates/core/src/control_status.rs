//! The status that a control host reports about itself and the other members.

use std::fmt;
use std::net::SocketAddr;

use derive_more::{Display, FromStr};

use crate::changes::Refusal;
use crate::ids::{LogIndex, NodeId, Term};

/// The role of a control host in the replicated log.
#[derive(Clone, Copy, Debug, Default, Display, Eq, FromStr, Hash, PartialEq)]
pub enum ControlRole {
    /// Accepts changes and replicates them to the others.
    #[display("leader")]
    Leader,
    /// Replicates the log of the leader.
    #[default]
    #[display("follower")]
    Follower,
    /// Requests votes in an election.
    #[display("candidate")]
    Candidate,
    /// Replicates the log and does not vote yet.
    #[display("learner")]
    Learner,
}

/// A control host and its address.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("control host {node} at {address}")]
pub struct ControlHost {
    /// Node number of the host.
    pub node: NodeId,
    /// TCP address of the host.
    pub address: SocketAddr,
}

/// A member of the replicated log, according to one control host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlMember {
    /// The member's number and address.
    pub host: ControlHost,
    /// Whether it votes; a learner does not yet.
    pub voter: bool,
    /// The index up to which its log is on disk; known to the leader for all members, to others only for
    /// themselves.
    pub synced_index: LogIndex,
    /// Whether it replied within the election timeout; known to the leader for all members, to others only
    /// for themselves.
    pub reachable: bool,
}

/// The status of one control host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlStatus {
    /// Node number of the host that reports the status.
    pub node: NodeId,
    /// Its role in the replicated log.
    pub role: ControlRole,
    /// Its election term.
    pub term: Term,
    /// The last index that it knows to be committed.
    pub commit_index: LogIndex,
    /// The last index that it has applied.
    pub applied_index: LogIndex,
    /// Whether its disk is full, so that changes are refused.
    pub disk_full: bool,
    /// The leader, if it is known.
    pub leader: Option<ControlHost>,
    /// The members of the replicated log that it knows.
    pub members: Vec<ControlMember>,
}

/// Why a control host did not commit a change: a refusal by the state machine, or by the host itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HostRefusal {
    /// The state machine refused the change.
    Refused(Refusal),
    /// The host is not the leader, and only the leader accepts changes; has the leader if it is known.
    NotLeader(Option<ControlHost>),
    /// No majority replied; whether the change will be accepted is not known.
    NoQuorum,
    /// The host's disk is full; the change was not accepted.
    DiskFull,
}

impl From<Refusal> for HostRefusal {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl fmt::Display for HostRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => refusal.fmt(f),
            Self::NotLeader(Some(leader)) => write!(f, "not the leader; the leader is {leader}"),
            Self::NotLeader(None) => write!(f, "not the leader, and the leader is not known"),
            Self::NoQuorum => write!(f, "no majority of the control hosts replied in time"),
            Self::DiskFull => write!(
                f,
                "the disk of the control host is full; nothing was changed"
            ),
        }
    }
}
