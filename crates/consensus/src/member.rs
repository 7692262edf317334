//! Members of the replicated log and quorum arithmetic over them.

use std::net::SocketAddr;

use derive_more::{Display, From, FromStr, Into};
use dogwoodrill_core::ids::NodeId;

/// Identifies a member by the data folder of its control host. The id is drawn at random when the folder is
/// created, so a host with a wiped disk rejoins as a different member and cannot vote under its old id.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Hash, Into, Ord, PartialEq, PartialOrd,
)]
#[display("{_0:016x}")]
pub struct MemberId(u64);

impl MemberId {
    /// Creates an id from its numeric value.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the numeric value.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Whether a member counts towards majorities.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Hash, PartialEq)]
pub enum MemberRole {
    /// Receives the log but does not count towards majorities.
    #[display("learner")]
    Learner,
    /// Votes and counts towards majorities.
    #[display("voter")]
    Voter,
}

/// Member of the replicated log.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{role} {id} at {address}")]
pub struct Member {
    /// Id of the member.
    pub id: MemberId,
    /// Whether the member votes.
    pub role: MemberRole,
    /// Member that is removed once this one is a committed voter.
    pub replaces: Option<MemberId>,
    /// Node id of the host that the member runs on.
    pub node: NodeId,
    /// Address at which the other members reach this one.
    pub address: SocketAddr,
}

/// All members at one index of the log.
#[derive(Clone, Debug, Default, Display, Eq, PartialEq)]
#[display("{}", members.iter().map(ToString::to_string).collect::<Vec<_>>().join(", "))]
pub struct Membership {
    members: Vec<Member>,
}

impl Membership {
    /// Creates a membership. Of two members with the same id, the later one is kept.
    pub fn new(members: impl IntoIterator<Item = Member>) -> Self {
        let mut all = Self::default();
        for member in members {
            all = all.with(member);
        }
        all
    }

    /// Returns the members ordered by id.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the member with the given id.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == id)
    }

    /// Returns the first member that runs on the given host.
    pub fn on_node(&self, node: NodeId) -> Option<&Member> {
        self.members.iter().find(|m| m.node == node)
    }

    /// Returns the member that replaces the member `id`.
    pub fn replacement_of(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|m| m.replaces == Some(id))
    }

    /// Returns the ids of the voters.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        let voters = self.members.iter().filter(|m| m.role == MemberRole::Voter);
        voters.map(|m| m.id)
    }

    /// Returns whether `id` is a voter.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.get(id).is_some_and(|m| m.role == MemberRole::Voter)
    }

    /// Returns whether `is_counted` is true for a majority of the voters; false if there are no voters.
    pub fn is_quorum(&self, is_counted: impl Fn(MemberId) -> bool) -> bool {
        let count = self.voters().filter(|id| is_counted(*id)).count();
        count > self.voters().count() / 2
    }

    /// Returns the largest value that a majority of the voters has reached; `None` if there are no voters.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(MemberId) -> T) -> Option<T> {
        let mut values: Vec<_> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(values.len() / 2).copied()
    }

    /// Returns this membership with `member` added or, if a member has the same id, replaced.
    #[must_use]
    pub fn with(&self, member: Member) -> Self {
        let mut members = self.without(member.id).members;
        let position = members.partition_point(|m| m.id < member.id);
        members.insert(position, member);
        Self { members }
    }

    /// Returns this membership without the member `id`.
    #[must_use]
    pub fn without(&self, id: MemberId) -> Self {
        let others = self.members.iter().filter(|m| m.id != id);
        Self {
            members: others.cloned().collect(),
        }
    }
}
