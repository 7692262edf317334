//! Status of a member, for operators and metrics.

use std::time::Instant;

use derive_more::Display;
use dogwoodrill_core::ids::{LogIndex, Term};

use super::{Node, Role};
use crate::member::{Member, MemberId, Membership};

/// Current role of a member.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RoleName {
    /// Accepts proposals and replicates them.
    #[display("leader")]
    Leader,
    /// Replicates the leader's log and votes.
    #[display("follower")]
    Follower,
    /// Requests votes in an election.
    #[display("candidate")]
    Candidate,
    /// Replicates the leader's log without a vote.
    #[display("learner")]
    Learner,
}

/// Replication progress of a member, as known to the reporting member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberProgress {
    /// Member that the progress is about.
    pub member: Member,
    /// Highest index known to be on the member's disk; zero for another member unless the leader reports.
    pub synced: LogIndex,
    /// Whether the member is reachable. The leader reports whether it responded within the election timeout;
    /// another member reports only itself and its leader as reachable.
    pub is_reachable: bool,
}

/// Status of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// Current role of the member. A host that joins is a learner until its promotion is in `members`.
    pub role: RoleName,
    /// Current term of the member.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<MemberId>,
    /// Highest index that the member knows to be committed.
    pub commit: LogIndex,
    /// Members after the last change known to be committed. An uncommitted change may still be lost; a caller
    /// that depends on a change, for instance to stop another host, must wait until it appears here.
    pub members: Vec<MemberProgress>,
}

impl Node {
    /// Returns the status of this member.
    pub fn status(&self, now: Instant) -> MemberStatus {
        let committed = self.log.membership_at(self.commit);
        let members = committed.members().iter();
        MemberStatus {
            role: self.role_name(committed),
            term: self.term(),
            leader: self.leader,
            commit: self.commit,
            members: members.map(|m| self.progress_of(now, m)).collect(),
        }
    }

    fn role_name(&self, committed: &Membership) -> RoleName {
        match &self.role {
            Role::Leader(_) => RoleName::Leader,
            Role::Candidate(_) => RoleName::Candidate,
            Role::Follower if committed.is_voter(self.id) => RoleName::Follower,
            Role::Follower => RoleName::Learner,
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
