//! Policy for a host that requests to join without naming a member to replace, and for a member that is about to stop.
//!
//! The host replaces the member with the same node id, whose disk was lost; or it becomes an additional
//! member while there are fewer members than the target; or it replaces a member that has not responded
//! for long. A member that another host is about to replace is not offered again. A host that was to replace the
//! member that now leads replaces another one that has not responded for long. Only the leader decides,
//! from the silence of the members that it has observed as the leader or before, or that others report while the member
//! does not respond to the leader either (`node/silence.rs`).
//!
//! A member that is about to stop hands its place over to a host that waits for one, and stops once its removal is
//! committed. If it only restarts, it requests to join again like any host that was replaced.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::member::{Member, MemberId, MemberRole};
use crate::node::{JoinError, Node, NotLeader};

/// Progress of a member that hands its place over before it stops.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Handover {
    /// The member has no place in the committed membership any more and may stop.
    Complete,
    /// A host is taking the place. The member counts until its removal is committed and must not stop before.
    InProgress,
    /// No host can take the place.
    NoSuccessor,
}

/// Decides which member, if any, a joining host replaces.
///
/// It remembers the hosts that wait for a place, at each member that they asked: the leader gives them one as soon as a
/// member counts as lost, and so does a member that becomes the leader.
#[derive(Clone, Debug)]
pub struct JoinPolicy {
    target_voters: usize,
    waiting: BTreeMap<MemberId, WaitingHost>,
}

/// Host whose request to join was refused.
#[derive(Clone, Debug)]
struct WaitingHost {
    host: Member,
    /// Time of its first request.
    since: Instant,
    /// Time after which the host counts as gone unless it asks again.
    until: Instant,
}

impl JoinPolicy {
    /// Creates a policy that adds hosts while there are fewer than `target_voters` members.
    pub const fn new(target_voters: usize) -> Self {
        Self {
            target_voters,
            waiting: BTreeMap::new(),
        }
    }

    /// Adds `joining` to the membership if the policy allows it. Returns `Ok` if the host already is a
    /// member, so the call may be repeated.
    ///
    /// # Errors
    ///
    /// Returns [`JoinError::NoReplaceableMember`] if there are enough members and none is lost, and the
    /// errors of [`Node::join`].
    pub fn join(
        &mut self,
        now: Instant,
        node: &mut Node,
        joining: &Member,
    ) -> Result<(), JoinError> {
        let joined = self.try_join(now, node, joining);
        if joined.is_ok() {
            self.waiting.remove(&joining.id);
        } else if self.target_voters > 0 {
            self.waiting.retain(|_, w| now < w.until);
            let earlier = self.waiting.get(&joining.id);
            let waiting = WaitingHost {
                host: joining.clone(),
                since: earlier.map_or(now, |w| w.since),
                until: now + node.options().election_timeout,
            };
            self.waiting.insert(joining.id, waiting);
        }
        joined
    }

    /// Gives a host that waits a place, if this member leads and the policy allows it now. Returns the host if there is
    /// one and its place has changed.
    pub fn advance(&mut self, now: Instant, node: &mut Node) -> Option<MemberId> {
        self.waiting.retain(|_, w| now < w.until);
        let place_of = |node: &Node, id| node.membership().get(id).map(|m| m.replaces);
        let mut waiting = self.waiting.values();
        let joined = waiting.find_map(|w| {
            let id = w.host.id;
            let before = place_of(node, id);
            self.try_join(now, node, &w.host).ok()?;
            Some((id, place_of(node, id) != before))
        });
        if let Some((id, has_changed)) = joined {
            self.waiting.remove(&id);
            return has_changed.then_some(id);
        }
        self.reassign(now, node)
    }

    /// Hands the place of the member `leaving`, which is about to stop, over to the host that has waited for one for
    /// longest. Only a leader can do so, which may be `leaving` itself. The call is repeated until the handover is
    /// complete.
    ///
    /// # Errors
    ///
    /// Returns [`NotLeader`] if this member does not lead.
    pub fn leave(
        &mut self,
        now: Instant,
        node: &mut Node,
        leaving: MemberId,
    ) -> Result<Handover, NotLeader> {
        if leaving == node.id() {
            node.set_leaving();
        }
        if node.has_left(now, leaving)? {
            return Ok(Handover::Complete);
        }
        match node.membership().get(leaving).map(|m| m.role) {
            Some(MemberRole::Voter) => {}
            Some(MemberRole::Learner) => return Ok(Handover::NoSuccessor),
            None => return Ok(Handover::InProgress),
        }
        if let Some(successor) = self.successor(now, node).cloned() {
            let joined = node.join(now, &successor, Some(leaving));
            if joined.is_ok() {
                self.waiting.remove(&successor.id);
            }
            // An error means that another change is not committed yet or that another host takes the place already.
            return Ok(Handover::InProgress);
        }
        let replacement = node.membership().replacement_of(leaving);
        let is_in_progress = replacement.is_some_and(|m| !node.is_lost(now, m.id));
        Ok(if is_in_progress {
            Handover::InProgress
        } else {
            Handover::NoSuccessor
        })
    }

    /// Returns whether this member, which is about to stop, may end after the last answer of a leader to its request;
    /// `None` if no leader has answered. It keeps running while it knows of a host that may take its place.
    pub fn may_stop(&self, now: Instant, node: &Node, answer: Option<Handover>) -> bool {
        let has_successor = || self.successor(now, node).is_some();
        let is_replaced = || node.membership().replacement_of(node.id()).is_some();
        match answer {
            Some(Handover::Complete) => true,
            Some(Handover::InProgress) => false,
            Some(Handover::NoSuccessor) => !has_successor(),
            None => !has_successor() && !is_replaced(),
        }
    }

    /// Returns the host that has waited for longest among those that may take the place of any member.
    fn successor(&self, now: Instant, node: &Node) -> Option<&Member> {
        if self.target_voters == 0 || settled(node).count() < self.target_voters {
            return None;
        }
        let waiting = self.waiting.values().filter(|w| now < w.until);
        let free = waiting.filter(|w| {
            let is_member = node.membership().get(w.host.id).is_some();
            !is_member && lost_disk_of(node, &w.host).is_none()
        });
        free.min_by_key(|w| w.since).map(|w| &w.host)
    }

    fn try_join(&self, now: Instant, node: &mut Node, joining: &Member) -> Result<(), JoinError> {
        if node.membership().get(joining.id).is_some() {
            return Ok(());
        }
        if let Some(replaced) = lost_disk_of(node, joining) {
            return node.join(now, joining, Some(replaced));
        }
        if settled(node).count() < self.target_voters {
            return node.join(now, joining, None);
        }
        let lost = lost_member(now, node, joining).ok_or(JoinError::NoReplaceableMember)?;
        node.join(now, joining, Some(lost))
    }

    /// Gives a host that replaces this leader the place of a lost member instead. Returns the host if there is one and
    /// its place has changed.
    ///
    /// The leader was silent when the host joined, but is alive, and it does not remove itself: the host replaced nobody,
    /// and the lost member remained a voter.
    fn reassign(&self, now: Instant, node: &mut Node) -> Option<MemberId> {
        // Without a target, only operators decide which member is replaced. A leader that is about to stop hands its
        // place over and needs no other host to take that of a lost member.
        if self.target_voters == 0 || node.is_leaving() {
            return None;
        }
        let joining = node.membership().replacement_of(node.id())?.clone();
        let lost = lost_member(now, node, &joining)?;
        node.reassign(now, &joining, lost).ok()?;
        Some(joining.id)
    }
}

/// Returns the members that replace no other one.
fn settled(node: &Node) -> impl Iterator<Item = &Member> {
    let members = node.membership().members().iter();
    members.filter(|m| m.replaces.is_none())
}

/// Returns the settled member on the node of `joining`, whose disk was lost.
fn lost_disk_of(node: &Node, joining: &Member) -> Option<MemberId> {
    let on_same_node = settled(node).find(|m| m.node == joining.node);
    on_same_node.map(|m| m.id)
}

/// Returns the lost member that `joining` may replace.
fn lost_member(now: Instant, node: &Node, joining: &Member) -> Option<MemberId> {
    let lost = settled(node).filter(|m| node.is_lost(now, m.id));
    let lost = lost.filter(|m| node.is_replaceable(now, m.id, joining));
    // The member that has been silent for longest is the least likely to return.
    let longest = lost.min_by_key(|m| node.silent_since(now, m.id));
    longest.map(|m| m.id)
}
