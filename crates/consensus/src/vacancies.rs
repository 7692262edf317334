//! Policy for a host that requests to join without naming a member to replace.
//!
//! The host replaces the member with the same node id, whose disk was lost; or it becomes an additional
//! member while there are fewer members than the target; or it replaces a member that has not responded
//! for long. A member that another host is about to replace is not offered again. A host that was to replace the
//! member that now leads replaces another one that has not responded for long. Only the leader decides,
//! from the silence of the members that it has observed as the leader or before, or that others report while the member
//! does not respond to the leader either (`node/silence.rs`).

use std::collections::BTreeMap;
use std::time::Instant;

use crate::member::{Member, MemberId};
use crate::node::{JoinError, Node};

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
            let host = joining.clone();
            let until = now + node.options().election_timeout;
            self.waiting.insert(host.id, WaitingHost { host, until });
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

    fn try_join(&self, now: Instant, node: &mut Node, joining: &Member) -> Result<(), JoinError> {
        let members = node.membership().members();
        if members.iter().any(|m| m.id == joining.id) {
            return Ok(());
        }
        let settled = members.iter().filter(|m| m.replaces.is_none());
        let on_same_node = settled.clone().find(|m| m.node == joining.node);
        if let Some(replaced) = on_same_node.map(|m| m.id) {
            return node.join(now, joining, Some(replaced));
        }
        if settled.count() < self.target_voters {
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
        // Without a target, only operators decide which member is replaced.
        if self.target_voters == 0 {
            return None;
        }
        let joining = node.membership().replacement_of(node.id())?.clone();
        let lost = lost_member(now, node, &joining)?;
        node.reassign(now, &joining, lost).ok()?;
        Some(joining.id)
    }
}

/// Returns the lost member that `joining` may replace.
fn lost_member(now: Instant, node: &Node, joining: &Member) -> Option<MemberId> {
    let members = node.membership().members().iter();
    let settled = members.filter(|m| m.replaces.is_none());
    let lost = settled.filter(|m| node.is_lost(now, m.id));
    let lost = lost.filter(|m| node.is_replaceable(now, m.id, joining));
    // The member that has been silent for longest is the least likely to return.
    let longest = lost.min_by_key(|m| node.silent_since(now, m.id));
    longest.map(|m| m.id)
}
