//! Changes of the membership: one member at a time, decided by the leader.
//!
//! A new member is a learner. Once its disk holds all that is committed and it answers, the leader
//! commits it as a voter; once that is committed, the member that it replaces leaves. Each step waits
//! for the one before to be committed, so any two majorities in a row share a member.

use std::time::Instant;

use snafu::{Snafu, ensure};

use super::{Node, NotLeader, Role};
use crate::entry::Payload;
use crate::member::{Member, MemberId, MemberRole, Membership};

/// Why a host was not taken in.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum JoinError {
    /// Only the leader changes the membership.
    #[snafu(transparent)]
    NotLeader {
        /// Who is.
        source: NotLeader,
    },
    /// Another change of the membership is in progress.
    #[snafu(display("another change of the control hosts is in progress; try again"))]
    Busy,
    /// The member to be replaced is not there.
    #[snafu(display("the host to be replaced is no member"))]
    NoReplaceableMember,
    /// The member to be replaced is the leader, which is plainly not lost.
    #[snafu(display("the host to be replaced is the leader; stop it first"))]
    ReplacesLeader,
    /// Another member runs on that host.
    #[snafu(display("the joining host's number belongs to another member; give it its own"))]
    NodeIdInUse,
    /// Another host is already taking that place.
    #[snafu(display("another host is already replacing that one"))]
    AlreadyReplaced,
}

impl Node {
    /// Takes `joining` in as a learner that replaces `replaced`, or adds to the members. A host that is
    /// a member already is told so by success; the call may be repeated.
    pub fn join(
        &mut self,
        now: Instant,
        joining: &Member,
        replaced: Option<MemberId>,
    ) -> Result<(), JoinError> {
        self.check_lease(now);
        if !matches!(self.role, Role::Leader(_)) {
            return Err(self.not_leader().into());
        }
        let membership = self.membership();
        if membership.get(joining.id).is_some() {
            return Ok(());
        }
        let known = replaced.is_none_or(|id| membership.get(id).is_some());
        ensure!(known, NoReplaceableMemberSnafu);
        ensure!(replaced != Some(self.id), ReplacesLeaderSnafu);
        let mut members = membership.members().iter();
        let before = members.find(|m| m.replaces.is_some() && m.replaces == replaced);
        let votes = before.is_some_and(|m| m.role == MemberRole::Voter);
        ensure!(!votes, AlreadyReplacedSnafu);
        ensure!(self.may_change_membership(), BusySnafu);
        let learner = Member {
            role: MemberRole::Learner,
            replaces: replaced,
            ..joining.clone()
        };
        // A learner that never got as far as a vote gives way; it counted towards nothing.
        let rest = before.map_or_else(|| membership.clone(), |m| membership.without(m.id));
        let changed = rest.with(learner);
        self.change_membership(changed);
        Ok(())
    }

    /// The change before must be committed, and an entry of this term too: without the latter two
    /// leaders could change the same membership differently (Ongaro, raft-dev, July 2015).
    fn may_change_membership(&self) -> bool {
        self.has_committed_in_term() && self.log.membership_index() <= self.commit
    }

    /// Takes the next step of a replacement that is in progress.
    pub(super) fn drive_membership(&mut self, now: Instant) {
        if !self.may_change_membership() {
            return;
        }
        if let Some(next) = self.promotion(now).or_else(|| self.removal()) {
            self.change_membership(next);
        }
    }

    fn promotion(&self, now: Instant) -> Option<Membership> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let ready = |m: &&Member| {
            leader.peers.get(&m.id).is_some_and(|peer| {
                let answers = peer.is_reachable(now, self.options.election_timeout);
                answers && peer.synced >= self.commit
            })
        };
        let members = self.membership().members().iter();
        let mut learners = members.filter(|m| m.role == MemberRole::Learner);
        let voter = Member {
            role: MemberRole::Voter,
            ..learners.find(ready)?.clone()
        };
        Some(self.membership().with(voter))
    }

    fn removal(&self) -> Option<Membership> {
        let membership = self.membership();
        let voters = membership
            .members()
            .iter()
            .filter(|m| m.role == MemberRole::Voter);
        let done = voters.clone().find_map(|m| {
            let replaced = m.replaces?;
            Some((m.clone(), replaced))
        });
        let (member, replaced) = done?;
        if replaced == self.id {
            return None;
        }
        let settled = Member {
            replaces: None,
            ..member
        };
        Some(membership.without(replaced).with(settled))
    }

    fn change_membership(&mut self, membership: Membership) {
        let next = self.log.last_index().next();
        self.add_entry(Payload::Membership(membership));
        self.track_members(next);
        self.send_entries();
    }
}
