//! What nodes say to each other.
//!
//! A link is dialled by the lower node and carries [`Message`]s both ways; the first one in each
//! direction is a [`Hello`]. Besides links there is one question, answered at once: how fresh are
//! you ([`FreshnessReply`])?

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::directory::{BucketSet, Digest, MemberId, Record, ZoneDigest};
use dogwoodrill_core::ids::{AvailabilityZone, Incarnation, LogIndex, NodeId};

use crate::beacon::Beacon;
use crate::config_delta::ConfigDelta;
use crate::progress::Progress;
use crate::suspicion::Observation;

/// Number of a link within one process; the driver numbers those that it accepts, the node those
/// that it wants dialled.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LinkId {
    /// A link that another node dialled.
    #[display("accepted {_0}")]
    Accepted(u64),
    /// A link that this node dials.
    #[display("dialled {_0}")]
    Dialled(u64),
}

/// What a link is for.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum LinkKind {
    /// Brings all state to the lower node.
    #[display("feed")]
    Feed,
    /// Carries heartbeats to a second observer.
    #[display("observe")]
    Observe,
    /// Joins two relays of one level, so that soft state crosses while the level above is out.
    #[display("mesh")]
    Mesh,
}

/// What a node is.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum NodeRole {
    /// A control host.
    #[display("control")]
    Control,
    /// A balancer; may be a relay.
    #[display("balancer")]
    Balancer,
    /// The agent beside a backend server; never a relay.
    #[display("agent")]
    Agent,
}

/// The first message of a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hello {
    /// The sender.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// What the link is for.
    pub kind: LinkKind,
    /// What the sender is.
    pub role: NodeRole,
    /// Index of the configuration that the sender has in force.
    pub index: LogIndex,
}

/// One life of a member; what heartbeats and observations speak of.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{member} life {incarnation}")]
pub struct MemberIncarnation {
    /// The member.
    pub member: MemberId,
    /// Its life.
    pub incarnation: Incarnation,
}

impl From<&Record> for MemberIncarnation {
    fn from(r: &Record) -> Self {
        Self {
            member: r.member,
            incarnation: r.incarnation,
        }
    }
}

/// The digest of one zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneTotal {
    /// The zone.
    pub zone: AvailabilityZone,
    /// Digest of all its records.
    pub total: Digest,
}

/// Records of some buckets, sent to have them completed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Repair {
    /// The zone.
    pub zone: AvailabilityZone,
    /// The buckets.
    pub buckets: BucketSet,
    /// Every record that the sender has there.
    pub records: Vec<Arc<Record>>,
}

/// A message on a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Opens the link.
    Hello(Hello),
    /// Too many children; others to try.
    Refusal(Vec<Arc<Record>>),
    /// The link ends on purpose; its end is no sign of a failure.
    Bye,
    /// Records that are news, or that the other end lacks.
    Records(Vec<Arc<Record>>),
    /// The whole configuration.
    Config(Arc<CommittedConfig>),
    /// What changed in the configuration.
    ConfigDelta(Arc<ConfigDelta>),
    /// The sender has this configuration in force; send it what comes after.
    Pull(LogIndex),
    /// The control hosts are so far.
    Beacon(Beacon),
    /// The sender's member is alive.
    Heartbeat(MemberIncarnation),
    /// What observers say.
    Observations(Vec<Observation>),
    /// Digests of every zone the sender knows.
    Digests(Vec<ZoneTotal>),
    /// Digests of the buckets of a zone that differs.
    Buckets(AvailabilityZone, ZoneDigest),
    /// Records of the buckets that differ.
    Repair(Repair),
    /// Confirmations of the sender and the nodes below it.
    Progress(Progress),
}

/// Asks a node how fresh it is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FreshnessQuery {
    /// Who asks.
    pub node: NodeId,
    /// The asker's availability zone.
    pub zone: AvailabilityZone,
}

/// How fresh a node is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FreshnessReply {
    /// Who answers.
    pub node: NodeId,
    /// What it is.
    pub role: NodeRole,
    /// Index of the configuration it has in force.
    pub index: LogIndex,
    /// The newest beacon it heard.
    pub beacon: Beacon,
    /// Time since it heard that.
    pub beacon_age: Duration,
    /// Some balancers that it knows, relays of the asker's zone first.
    pub balancers: Vec<Arc<Record>>,
}

/// What the driver is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Dial a link. Tell [`Node::on_link_up`] or [`Node::on_link_down`] what came of it.
    ///
    /// [`Node::on_link_up`]: crate::node::Node::on_link_up
    /// [`Node::on_link_down`]: crate::node::Node::on_link_down
    Dial {
        /// The link's number from now on.
        link: LinkId,
        /// Whom to dial.
        to: SocketAddr,
    },
    /// Send a message; if there is no room, drop it and tell [`Node::on_congested`].
    ///
    /// [`Node::on_congested`]: crate::node::Node::on_congested
    Send {
        /// The link.
        link: LinkId,
        /// The message.
        message: Message,
    },
    /// End a link after what was sent.
    Close {
        /// The link.
        link: LinkId,
    },
    /// Ask a node how fresh it is. Tell [`Node::on_freshness_reply`] what came of it.
    ///
    /// [`Node::on_freshness_reply`]: crate::node::Node::on_answer
    QueryFreshness {
        /// Whom to ask.
        to: SocketAddr,
    },
    /// A record was merged.
    Record(Arc<Record>),
    /// A configuration is to come in force.
    Config(Arc<CommittedConfig>),
    /// A member is suspected dead from now on, or no more.
    Suspect {
        /// The member.
        member: MemberId,
        /// Whether it is.
        suspected: bool,
    },
    /// The node's standing has changed.
    ServingStatus(crate::standing::ServingStatus),
    /// The confirmations of the nodes below have changed.
    Progress(Progress),
}
