//! Policy for a host that requests to join without naming a member to replace.
//!
//! The host replaces the member with the same node id, whose disk was lost; or it becomes an additional
//! member while there are fewer members than the target; or it replaces a voter that has not responded
//! for long. Only the leader decides, and only from what it has observed as the leader of its current
//! term: a follower does not observe whether the other members respond.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dogwoodrill_core::ids::Term;

use crate::member::{Member, MemberId, MemberRole};
use crate::node::{JoinError, Node, RoleName};

/// Decides which member, if any, a joining host replaces.
#[derive(Debug)]
pub struct JoinPolicy {
    target_voters: usize,
    replace_after: Duration,
    term: Term,
    /// For each member that does not respond, the time at which a join request first found it unreachable.
    unreachable_since: BTreeMap<MemberId, Instant>,
}

impl JoinPolicy {
    /// Creates a policy that adds hosts while there are fewer than `target_voters` members, and replaces a voter
    /// that has not responded for `replace_after`.
    pub const fn new(target_voters: usize, replace_after: Duration) -> Self {
        Self {
            target_voters,
            replace_after,
            term: Term::new(0),
            unreachable_since: BTreeMap::new(),
        }
    }

    /// Adds `joining` to the membership if the policy allows it. Returns `Ok` if the host already is a
    /// member, so the call may be repeated.
    ///
    /// # Errors
    ///
    /// Returns [`JoinError::NoReplaceableMember`] if there are enough members and no voter is lost, and the
    /// errors of [`Node::join`].
    pub fn join(
        &mut self,
        now: Instant,
        node: &mut Node,
        joining: &Member,
    ) -> Result<(), JoinError> {
        self.observe(now, node);
        let members = node.membership().members();
        if members.iter().any(|m| m.id == joining.id) {
            return Ok(());
        }
        let on_same_node = members
            .iter()
            .find(|m| m.node == joining.node && m.replaces.is_none());
        if let Some(replaced) = on_same_node.map(|m| m.id) {
            return node.join(now, joining, Some(replaced));
        }
        let member_count = members.iter().filter(|m| m.replaces.is_none()).count();
        if member_count < self.target_voters {
            return node.join(now, joining, None);
        }
        let lost = members.iter().find(|m| {
            let since = self.unreachable_since.get(&m.id);
            let is_lost = since.is_some_and(|since| now >= *since + self.replace_after);
            is_lost && m.role == MemberRole::Voter
        });
        let lost = lost.map(|m| m.id).ok_or(JoinError::NoReplaceableMember)?;
        node.join(now, joining, Some(lost))
    }

    fn observe(&mut self, now: Instant, node: &Node) {
        let status = node.status(now);
        if status.role != RoleName::Leader || status.term != self.term {
            self.unreachable_since.clear();
        }
        if status.role != RoleName::Leader {
            return;
        }
        self.term = status.term;
        let unreachable = status.members.iter().filter(|m| !m.is_reachable);
        let unreachable: Vec<_> = unreachable.map(|m| m.member.id).collect();
        self.unreachable_since
            .retain(|id, _| unreachable.contains(id));
        for id in unreachable {
            self.unreachable_since.entry(id).or_insert(now);
        }
    }
}
