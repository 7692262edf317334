//! The messages that nodes exchange.
//!
//! A link is dialled by the node that is lower in the tree and carries [`Message`]s in both directions;
//! the first one in each direction is a [`Hello`]. Apart from links there is one request with a reply:
//! the [`FreshnessQuery`], which a node sends to learn how recent the state of another is.

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

/// Identifies a link within one process. The driver numbers the links that it accepts; the node numbers
/// those that it asks the driver to dial.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LinkId {
    /// A link that another node dialled.
    #[display("accepted {_0}")]
    Accepted(u64),
    /// A link that this node dials.
    #[display("dialled {_0}")]
    Dialled(u64),
}

/// The purpose of a link.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum LinkKind {
    /// Transfers all state to the lower node.
    #[display("feed")]
    Feed,
    /// Carries heartbeats to a second observer.
    #[display("observe")]
    Observe,
    /// Connects two relays of one level, so that soft state still spreads while the level above is
    /// unavailable.
    #[display("mesh")]
    Mesh,
}

/// The kind of process that a node is.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum NodeRole {
    /// A control host.
    #[display("control")]
    Control,
    /// A balancer, which may be a relay.
    #[display("balancer")]
    Balancer,
    /// The agent on the same host as a backend server; never a relay.
    #[display("agent")]
    Agent,
}

/// The first message of a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hello {
    /// The sender.
    pub node: NodeId,
    /// The sender's availability zone.
    pub zone: AvailabilityZone,
    /// The purpose of the link.
    pub kind: LinkKind,
    /// The kind of process that the sender is.
    pub role: NodeRole,
    /// Index of the configuration that is in force at the sender.
    pub index: LogIndex,
}

/// One incarnation of a member: the subject of heartbeats and observations.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{member}, incarnation {incarnation}")]
pub struct MemberIncarnation {
    /// The member.
    pub member: MemberId,
    /// The incarnation of the member, which changes each time its process starts.
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

/// The digest of all records of one zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneTotal {
    /// The zone.
    pub zone: AvailabilityZone,
    /// Digest of all its records.
    pub total: Digest,
}

/// The sender's records of some buckets. The receiver replies with the records that the sender lacks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Repair {
    /// The zone.
    pub zone: AvailabilityZone,
    /// The buckets to compare.
    pub buckets: BucketSet,
    /// Every record that the sender has in these buckets.
    pub records: Vec<Arc<Record>>,
}

/// A message on a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// The first message in each direction.
    Hello(Hello),
    /// The sender has too many children; the records are those of other balancers to try.
    Refusal(Vec<Arc<Record>>),
    /// The link is closed on purpose; this must not be taken as a sign of a failure.
    Bye,
    /// Records that are new, or that the receiver lacks.
    Records(Vec<Arc<Record>>),
    /// The whole configuration.
    Config(Arc<CommittedConfig>),
    /// The changes to the configuration since an earlier index.
    ConfigDelta(Arc<ConfigDelta>),
    /// The sender has the configuration of this index in force and requests all later changes.
    Pull(LogIndex),
    /// The position of the control hosts, and when it was sent.
    Beacon(Beacon),
    /// The sender's member is running.
    Heartbeat(MemberIncarnation),
    /// Reports of observers on whether members are alive.
    Observations(Vec<Observation>),
    /// Digests of every zone that the sender knows.
    Digests(Vec<ZoneTotal>),
    /// Digests of the buckets of a zone whose digests differ.
    Buckets(AvailabilityZone, ZoneDigest),
    /// Records of the buckets that differ.
    Repair(Repair),
    /// Which configurations are in force at the sender and the nodes below it.
    Progress(Progress),
}

/// A request to a node for how recent its state is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FreshnessQuery {
    /// The sender.
    pub node: NodeId,
    /// The sender's availability zone.
    pub zone: AvailabilityZone,
}

/// A reply to a [`FreshnessQuery`]: how recent the state of a node is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FreshnessReply {
    /// The node that replies.
    pub node: NodeId,
    /// The kind of process that it is.
    pub role: NodeRole,
    /// Index of the configuration that it has in force.
    pub index: LogIndex,
    /// The newest beacon that it has received.
    pub beacon: Beacon,
    /// Time since it received that beacon.
    pub beacon_age: Duration,
    /// Some balancers that it knows; relays of the sender's zone come first.
    pub balancers: Vec<Arc<Record>>,
}

/// An action for the driver to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Dial a link. Report the result by [`Node::on_link_up`] or [`Node::on_link_down`].
    ///
    /// [`Node::on_link_up`]: crate::node::Node::on_link_up
    /// [`Node::on_link_down`]: crate::node::Node::on_link_down
    Dial {
        /// The identifier of the new link.
        link: LinkId,
        /// The address to dial.
        to: SocketAddr,
    },
    /// Send a message. If the link's queue is full, drop the message and report it by
    /// [`Node::on_congested`].
    ///
    /// [`Node::on_congested`]: crate::node::Node::on_congested
    Send {
        /// The link.
        link: LinkId,
        /// The message.
        message: Message,
    },
    /// Close a link after the messages already queued for it are sent.
    Close {
        /// The link.
        link: LinkId,
    },
    /// Send a [`FreshnessQuery`]. Report the reply, or that there was none, by
    /// [`Node::on_freshness_reply`].
    ///
    /// [`Node::on_freshness_reply`]: crate::node::Node::on_freshness_reply
    QueryFreshness {
        /// The address of the node to query.
        to: SocketAddr,
    },
    /// A record was merged into the directory.
    Record(Arc<Record>),
    /// A configuration that comes into force.
    Config(Arc<CommittedConfig>),
    /// A member is now suspected to have failed, or no longer.
    Suspect {
        /// The member.
        member: MemberId,
        /// Whether it is suspected.
        suspected: bool,
    },
    /// The node's serving status has changed.
    ServingStatus(crate::standing::ServingStatus),
    /// The confirmations of the nodes below this one have changed.
    Progress(Progress),
}
