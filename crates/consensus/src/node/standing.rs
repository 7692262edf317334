//! What a member says of itself, for status and metrics.

use std::time::Instant;

use derive_more::Display;
use dogwoodrill_core::ids::{LogIndex, Term};

use super::{Node, Role};
use crate::member::{Member, MemberId, MemberRole};

/// What a member does at the moment.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RoleName {
    /// Takes proposals.
    #[display("leader")]
    Leader,
    /// Follows.
    #[display("follower")]
    Follower,
    /// Asks for votes.
    #[display("candidate")]
    Candidate,
    /// Follows without a vote.
    #[display("learner")]
    Learner,
}

/// How far a member is, as far as this one knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberProgress {
    /// The member.
    pub member: Member,
    /// Its disk holds the log up to here.
    pub synced: LogIndex,
    /// Whether it answered within the election timeout.
    pub is_reachable: bool,
}

/// A member's standing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// What it does.
    pub role: RoleName,
    /// Its term.
    pub term: Term,
    /// The leader that it knows of.
    pub leader: Option<MemberId>,
    /// The latest index that it knows to be committed.
    pub commit: LogIndex,
    /// The members by the last change that it knows to be committed. A change on its way may still be
    /// lost; who relies on it, for instance to stop another host, must wait until it stands here.
    pub members: Vec<MemberProgress>,
}

impl Node {
    /// The member's standing.
    pub fn status(&self, now: Instant) -> MemberStatus {
        let committed = self.log.membership_at(self.commit);
        let members = committed.members().iter();
        MemberStatus {
            role: self.role_name(),
            term: self.term(),
            leader: self.leader,
            commit: self.commit,
            members: members.map(|m| self.progress_of(now, m)).collect(),
        }
    }

    fn role_name(&self) -> RoleName {
        let own = self.membership().get(self.id);
        match &self.role {
            Role::Leader(_) => RoleName::Leader,
            Role::Candidate(_) => RoleName::Candidate,
            Role::Follower if own.is_none_or(|m| m.role == MemberRole::Learner) => {
                RoleName::Learner
            }
            Role::Follower => RoleName::Follower,
        }
    }

    fn progress_of(&self, now: Instant, member: &Member) -> MemberProgress {
        let (synced, is_reachable) = match &self.role {
            _ if member.id == self.id => (self.synced, true),
            Role::Leader(leader) => leader.peers.get(&member.id).map_or_else(
                || (LogIndex::default(), false),
                |p| (p.synced, p.is_reachable(now, self.options.election_timeout)),
            ),
            Role::Follower | Role::Candidate(_) => {
                (LogIndex::default(), self.leader == Some(member.id))
            }
        };
        MemberProgress {
            member: member.clone(),
            synced,
            is_reachable,
        }
    }
}
