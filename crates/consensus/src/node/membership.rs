//! Membership changes: one member at a time, decided by the leader.
//!
//! A new member joins as a learner. Once it is reachable and its disk holds all committed entries, the
//! leader promotes it to voter; once the promotion is committed, the leader removes the member that it
//! replaces. Each step waits until the previous one is committed, so that the majorities of successive
//! memberships share a member.
//!
//! A member that is about to stop keeps running until it is removed in this way. If it leads, it removes itself and
//! commits its removal without counting its own disk (Ongaro's dissertation, §4.2.2).

use std::time::Instant;

use snafu::{Snafu, ensure};

use super::{Node, NotLeader, Role};
use crate::entry::Payload;
use crate::member::{Member, MemberId, MemberRole, Membership};

/// Error when a host cannot join the membership.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum JoinError {
    /// This member is not the leader, and only the leader changes the membership.
    #[snafu(transparent)]
    NotLeader {
        /// Names the leader, if known.
        source: NotLeader,
    },
    /// Another membership change is not committed yet.
    #[snafu(display("another change of the control hosts is in progress; retry later"))]
    Busy,
    /// The member to replace does not exist, or no member may be replaced now.
    #[snafu(display(
        "no member can be replaced: the named host is not a member, or no member is lost"
    ))]
    NoReplaceableMember,
    /// The member to replace is the leader, which is evidently alive.
    #[snafu(display("the host to be replaced is the leader; stop it first"))]
    ReplacesLeader,
    /// Another member has the node id of the joining host.
    #[snafu(display(
        "the joining host's number belongs to another member; give the host a number of its own"
    ))]
    NodeIdInUse,
    /// The disk of the joining host belongs to another cluster.
    #[snafu(display(
        "the data folder of the joining host belongs to another cluster; start it with an empty one"
    ))]
    OtherCluster,
    /// A voter, or a learner that responds, already replaces the same member.
    #[snafu(display("another host is already replacing the named host"))]
    AlreadyReplaced,
}

/// Order of the last two steps of a replacement.
enum ReplacementOrder {
    /// The learner becomes a voter, then the member that it replaces is removed.
    PromoteFirst,
    /// This member is removed, then the learner becomes a voter.
    RemoveFirst(MemberId),
    /// The leader does not know yet whether the member to replace is down.
    Unknown,
}

impl Node {
    /// Adds `joining` as a learner that replaces `replaced`, or as an additional member. Returns `Ok` if the
    /// host already is a member, so the call may be repeated.
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
        let is_known = replaced.is_none_or(|id| membership.get(id).is_some());
        ensure!(is_known, NoReplaceableMemberSnafu);
        ensure!(
            replaced.is_none_or(|id| self.can_remove(id)),
            ReplacesLeaderSnafu
        );
        let is_replaceable = replaced.is_none_or(|id| self.is_replaceable(now, id, joining));
        ensure!(is_replaceable, AlreadyReplacedSnafu);
        ensure!(self.can_change_membership(), BusySnafu);
        let learner = Member {
            role: MemberRole::Learner,
            replaces: replaced,
            ..joining.clone()
        };
        let changed = self.with_replacement(learner);
        self.change_membership(now, changed);
        Ok(())
    }

    /// Records that this member is about to stop, so that it may remove itself as the leader.
    pub(crate) const fn set_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Returns whether this member is about to stop.
    pub(crate) const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns whether this leader may remove the member `id`: itself only if it is about to stop.
    fn can_remove(&self, id: MemberId) -> bool {
        id != self.id || self.is_leaving
    }

    /// Makes `member` replace `replaced` instead of the member that it replaces now.
    pub(crate) fn reassign(
        &mut self,
        now: Instant,
        member: &Member,
        replaced: MemberId,
    ) -> Result<(), JoinError> {
        self.check_lease(now);
        if !matches!(self.role, Role::Leader(_)) {
            return Err(self.not_leader().into());
        }
        ensure!(self.can_change_membership(), BusySnafu);
        let changed = self.with_replacement(Member {
            replaces: Some(replaced),
            ..member.clone()
        });
        self.change_membership(now, changed);
        Ok(())
    }

    /// Returns the membership with `member`, and without an earlier learner that replaces the same member; that one
    /// never counted towards a majority.
    fn with_replacement(&self, member: Member) -> Membership {
        let membership = self.membership();
        let earlier = member.replaces.and_then(|id| membership.replacement_of(id));
        let rest = earlier.map_or_else(|| membership.clone(), |m| membership.without(m.id));
        rest.with(member)
    }

    /// Returns whether `joining` may replace the member `replaced`: no other host does yet, or only a learner that is
    /// lost or whose disk was lost on the same node. A learner that responds is about to become a voter.
    pub fn is_replaceable(&self, now: Instant, replaced: MemberId, joining: &Member) -> bool {
        let earlier = self.membership().replacement_of(replaced);
        earlier.is_none_or(|m| {
            let gives_way = m.node == joining.node || self.is_lost(now, m.id);
            m.role == MemberRole::Learner && gives_way
        })
    }

    /// Returns whether a committed membership has no place for the member `id`, as known to this leader.
    ///
    /// # Errors
    ///
    /// Returns [`NotLeader`] if this member does not lead.
    pub(crate) fn has_left(&mut self, now: Instant, id: MemberId) -> Result<bool, NotLeader> {
        self.check_lease(now);
        if !matches!(self.role, Role::Leader(_)) {
            return Err(self.not_leader());
        }
        Ok(self.can_change_membership() && self.membership().get(id).is_none())
    }

    /// Returns whether a new change may start. The previous change must be committed, and so must an entry of
    /// this term: otherwise two leaders could change the same membership in different ways (Ongaro, raft-dev,
    /// July 2015).
    fn can_change_membership(&self) -> bool {
        self.has_committed_in_term() && self.log.membership_index() <= self.commit
    }

    /// Starts the next step of a replacement in progress, if the previous step is committed.
    pub(super) fn advance_membership(&mut self, now: Instant) {
        if !self.can_change_membership() {
            return;
        }
        if let Some(next) = self.removal().or_else(|| self.promotion(now)) {
            self.change_membership(now, next);
        }
    }

    /// Returns the membership with the first ready learner promoted to voter, or without the member that this learner
    /// replaces if that one has to be removed before.
    fn promotion(&self, now: Instant) -> Option<Membership> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let is_ready = |m: &&Member| {
            let peer = leader.peers.get(&m.id);
            self.is_reachable(now, m.id) && peer.is_some_and(|p| p.synced >= self.commit)
        };
        let membership = self.membership();
        let members = membership.members().iter();
        let mut learners = members.filter(|m| m.role == MemberRole::Learner);
        let learner = learners.find(is_ready)?.clone();
        match self.order(now, &learner) {
            ReplacementOrder::Unknown => None,
            ReplacementOrder::RemoveFirst(replaced) => {
                let settled = Member {
                    replaces: None,
                    ..learner
                };
                Some(membership.without(replaced).with(settled))
            }
            ReplacementOrder::PromoteFirst => {
                let voter = Member {
                    role: MemberRole::Voter,
                    ..learner
                };
                Some(membership.with(voter))
            }
        }
    }

    /// Returns whether the member that `learner` replaces is removed before or after the promotion.
    ///
    /// One more voter than an odd number needs a larger majority. If the voter to replace is down, the new voter may be
    /// part of every such majority; were its disk lost before the other one is removed, no change would be committed any
    /// more. The removal of one of an odd number of voters leaves the size of a majority as it is, and so does the
    /// promotion after it. A voter that responds is removed last, because its disk counts until then.
    fn order(&self, now: Instant, learner: &Member) -> ReplacementOrder {
        let membership = self.membership();
        let replaced = learner.replaces.and_then(|id| membership.get(id));
        let Some(replaced) = replaced.filter(|m| m.id != self.id) else {
            return ReplacementOrder::PromoteFirst;
        };
        if membership.voters().count().is_multiple_of(2) {
            return ReplacementOrder::PromoteFirst;
        }
        // Two members on one node share a disk, which the later one found empty.
        if replaced.node == learner.node {
            return ReplacementOrder::RemoveFirst(replaced.id);
        }
        if self.is_reachable(now, replaced.id) {
            return ReplacementOrder::PromoteFirst;
        }
        // A new leader may not have heard from the member yet, but know from before that it is lost.
        if self.is_down(now, replaced.id) || self.is_lost(now, replaced.id) {
            ReplacementOrder::RemoveFirst(replaced.id)
        } else {
            ReplacementOrder::Unknown
        }
    }

    /// Returns the membership without the member that a promoted voter replaces.
    fn removal(&self) -> Option<Membership> {
        let membership = self.membership();
        let members = membership.members().iter();
        let voters = members.filter(|m| m.role == MemberRole::Voter);
        let mut promoted = voters.filter_map(|m| Some((m.clone(), m.replaces?)));
        let (member, replaced) = promoted.find(|(_, replaced)| self.can_remove(*replaced))?;
        let settled = Member {
            replaces: None,
            ..member
        };
        Some(membership.without(replaced).with(settled))
    }

    fn change_membership(&mut self, now: Instant, membership: Membership) {
        let next = self.log.last_index().next();
        self.add_entry(Payload::Membership(membership));
        self.update_peers(now, next);
        self.send_entries();
    }
}
