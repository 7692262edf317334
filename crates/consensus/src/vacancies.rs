//! Which place a host may take that asks to be a member without naming anyone to replace.
//!
//! A host gets the place of the member on the same host, whose disk is gone; a place of its own while
//! voters are wanting; or that of a voter that has been silent for long. Only the leader decides, and
//! only by what it has seen itself as the leader of its term: what a follower knows of the others says
//! nothing about who is lost.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dogwoodrill_core::ids::Term;

use crate::member::{Member, MemberId, MemberRole};
use crate::node::{JoinError, Node, RoleName};

/// Finds places for hosts that ask.
#[derive(Debug)]
pub struct JoinPolicy {
    target_voters: usize,
    lost_after: Duration,
    term: Term,
    /// Since when a voter has not answered, as seen whenever a host asked.
    silent_since: BTreeMap<MemberId, Instant>,
}

impl JoinPolicy {
    /// Hosts are taken in while there are fewer than `target_voters`, and in place of a voter that has
    /// not answered for `lost_after`.
    pub const fn new(target_voters: usize, lost_after: Duration) -> Self {
        Self {
            target_voters,
            lost_after,
            term: Term::new(0),
            silent_since: BTreeMap::new(),
        }
    }

    /// Takes `joining` in where there is a place. A host that is a member already is told so by success;
    /// the call may be repeated.
    pub fn join(
        &mut self,
        now: Instant,
        node: &mut Node,
        joining: &Member,
    ) -> Result<(), JoinError> {
        self.look(now, node);
        let members = node.membership().members();
        if members.iter().any(|m| m.id == joining.id) {
            return Ok(());
        }
        let on_host = members
            .iter()
            .find(|m| m.node == joining.node && m.replaces.is_none());
        if let Some(replaced) = on_host.map(|m| m.id) {
            return node.join(now, joining, Some(replaced));
        }
        let settled = members.iter().filter(|m| m.replaces.is_none()).count();
        if settled < self.target_voters {
            return node.join(now, joining, None);
        }
        let lost = members.iter().find(|m| {
            let since = self.silent_since.get(&m.id);
            let is_lost = since.is_some_and(|since| now >= *since + self.lost_after);
            is_lost && m.role == MemberRole::Voter
        });
        let lost = lost.map(|m| m.id).ok_or(JoinError::NoReplaceableMember)?;
        node.join(now, joining, Some(lost))
    }

    fn look(&mut self, now: Instant, node: &Node) {
        let status = node.status(now);
        if status.role != RoleName::Leader || status.term != self.term {
            self.silent_since.clear();
        }
        if status.role != RoleName::Leader {
            return;
        }
        self.term = status.term;
        let silent = status.members.iter().filter(|m| !m.is_reachable);
        let silent: Vec<_> = silent.map(|m| m.member.id).collect();
        self.silent_since.retain(|id, _| silent.contains(id));
        for id in silent {
            self.silent_since.entry(id).or_insert(now);
        }
    }
}
