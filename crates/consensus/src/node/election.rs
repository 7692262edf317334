//! Terms, votes and campaigns.

use std::collections::BTreeSet;
use std::time::Instant;

use dogwoodrill_core::ids::{LogIndex, Term};

use super::{Node, Role};
use crate::entry::HardState;
use crate::member::MemberId;
use crate::message::{Message, VoteKind};

/// A campaign and who supports it.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    kind: VoteKind,
    pub(super) supporters: BTreeSet<MemberId>,
    pub(super) began_at: Instant,
}

impl Node {
    /// Brings the own term up to that of a message; false if the message is to be dropped.
    pub(super) fn settle_term(
        &mut self,
        now: Instant,
        from: MemberId,
        term: Term,
        message: &Message,
    ) -> bool {
        if term < self.term() {
            self.refuse_old_term(from, message);
            return false;
        }
        let asks_only = match message {
            Message::VoteRequest { kind, .. } => {
                *kind == VoteKind::PreVote || self.is_leader_there(now)
            }
            Message::VoteResponse { kind, granted } => *kind == VoteKind::PreVote && *granted,
            _ => false,
        };
        if term > self.term() && !asks_only {
            self.enter_term(now, term);
        }
        true
    }

    /// Tells a sender of an earlier term which term it is.
    fn refuse_old_term(&mut self, from: MemberId, message: &Message) {
        let term = self.term();
        match message {
            Message::VoteRequest { kind, .. } => self.answer_vote(from, term, *kind, false),
            Message::AppendRequest { round, .. } | Message::SnapshotRequest { round, .. } => {
                self.refuse_append(from, *round);
            }
            Message::VoteResponse { .. } | Message::AppendResponse { .. } => {}
        }
    }

    fn enter_term(&mut self, now: Instant, term: Term) {
        self.set_hard_state(HardState {
            term,
            voted_for: None,
        });
        self.become_follower(now, None);
    }

    /// A member that heard a leader lately gives no votes, so that one that was cut off and comes back
    /// cannot depose a leader who has a majority.
    fn is_leader_there(&self, now: Instant) -> bool {
        let heard = self.leader_until.is_some_and(|until| now < until);
        heard || matches!(self.role, Role::Leader(_))
    }

    pub(super) fn campaign(&mut self, now: Instant) {
        self.reset_election(now);
        if !self.membership().is_voter(self.id) {
            return;
        }
        self.leader = None;
        self.ask_for_votes(now, VoteKind::PreVote);
    }

    fn ask_for_votes(&mut self, now: Instant, kind: VoteKind) {
        let term = self.term().next();
        if kind == VoteKind::Vote {
            self.first_campaigns = self.first_campaigns.saturating_add(1);
            self.set_hard_state(HardState {
                term,
                voted_for: Some(self.id),
            });
        }
        self.role = Role::Candidate(Candidate {
            kind,
            supporters: [self.id].into(),
            began_at: now,
        });
        let message = Message::VoteRequest {
            kind,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for to in self.other_voters() {
            self.send_after_sync(to, term, message.clone());
        }
        self.count_votes(now);
    }

    fn other_voters(&self) -> Vec<MemberId> {
        let voters = self.membership().voters();
        voters.filter(|id| *id != self.id).collect()
    }

    pub(super) fn on_vote_request(
        &mut self,
        now: Instant,
        from: MemberId,
        term: Term,
        kind: VoteKind,
        last: (Term, LogIndex),
    ) {
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        let free = match kind {
            VoteKind::PreVote => term > self.term() || self.may_vote_for(from),
            VoteKind::Vote => term == self.term() && self.may_vote_for(from),
        };
        let granted = up_to_date && free && !self.is_leader_there(now);
        if granted && kind == VoteKind::Vote {
            self.set_hard_state(HardState {
                term,
                voted_for: Some(from),
            });
            self.reset_election(now);
        }
        let said = if granted { term } else { self.term() };
        self.answer_vote(from, said, kind, granted);
    }

    fn may_vote_for(&self, candidate: MemberId) -> bool {
        let voted_for = self.hard_state.voted_for;
        voted_for.is_none_or(|voted_for| voted_for == candidate)
    }

    fn answer_vote(&mut self, to: MemberId, term: Term, kind: VoteKind, granted: bool) {
        self.send_after_sync(to, term, Message::VoteResponse { kind, granted });
    }

    pub(super) fn on_vote_response(
        &mut self,
        now: Instant,
        from: MemberId,
        term: Term,
        kind: VoteKind,
        granted: bool,
    ) {
        let asked = match kind {
            VoteKind::PreVote => self.term().next(),
            VoteKind::Vote => self.term(),
        };
        let Role::Candidate(candidate) = &mut self.role else {
            return;
        };
        if candidate.kind == kind && granted && term == asked {
            candidate.supporters.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Instant) {
        let Role::Candidate(candidate) = &self.role else {
            return;
        };
        let supported = |id| candidate.supporters.contains(&id);
        if !self.membership().is_quorum(supported) {
            return;
        }
        match candidate.kind {
            VoteKind::PreVote => self.ask_for_votes(now, VoteKind::Vote),
            VoteKind::Vote => {
                let campaign = candidate.clone();
                self.become_leader(now, &campaign);
            }
        }
    }
}
