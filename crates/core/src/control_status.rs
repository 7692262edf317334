//! What a control host says of itself and of the others.

use std::fmt;
use std::net::SocketAddr;

use derive_more::{Display, FromStr};

use crate::changes::Refusal;
use crate::ids::{LogIndex, NodeId, Term};

/// What a control host does in the replicated log.
#[derive(Clone, Copy, Debug, Default, Display, Eq, FromStr, Hash, PartialEq)]
pub enum ControlRole {
    /// Takes changes and sends them to the others.
    #[display("leader")]
    Leader,
    /// Follows a leader.
    #[default]
    #[display("follower")]
    Follower,
    /// Asks for votes.
    #[display("candidate")]
    Candidate,
    /// Copies the log and does not vote yet.
    #[display("learner")]
    Learner,
}

/// A control host and where it is reached.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("control host {node} at {address}")]
pub struct ControlHost {
    /// The host's number.
    pub node: NodeId,
    /// Its TCP address.
    pub address: SocketAddr,
}

/// A member of the replicated log, as one control host sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlMember {
    /// The member.
    pub host: ControlHost,
    /// Whether it votes; a learner does not yet.
    pub voter: bool,
    /// The index up to which its disk holds the log; only the leader knows it of others.
    pub synced_index: LogIndex,
    /// Whether it answered within the election timeout; only the leader knows it of others.
    pub reachable: bool,
}

/// The standing of one control host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlStatus {
    /// The host that answered.
    pub node: NodeId,
    /// What it does.
    pub role: ControlRole,
    /// Its election term.
    pub term: Term,
    /// The last index that it knows to be committed.
    pub commit_index: LogIndex,
    /// The last index that it has applied.
    pub applied_index: LogIndex,
    /// Whether its disk is full, so that changes are refused.
    pub disk_full: bool,
    /// The leader that it follows.
    pub leader: Option<ControlHost>,
    /// The members that it knows.
    pub members: Vec<ControlMember>,
}

/// Why a control host did not commit a change: decided by the state machine, or by the host itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HostRefusal {
    /// The state machine refused.
    Refused(Refusal),
    /// Only the leader takes changes.
    NotLeader(Option<ControlHost>),
    /// No majority answered; whether the change will be accepted is not known.
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
