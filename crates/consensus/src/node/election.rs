//! Terms, votes and election campaigns.

use std::collections::BTreeSet;
use std::time::Instant;

use dogwoodrill_core::ids::{LogIndex, Term};

use super::{Node, Role};
use crate::entry::HardState;
use crate::member::MemberId;
use crate::message::{Message, VoteKind};

/// State of a campaign and the members that granted their votes.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    kind: VoteKind,
    pub(super) supporters: BTreeSet<MemberId>,
    pub(super) began_at: Instant,
}

impl Node {
    /// Advances this member's term to that of a received message. Returns false if the message is from an
    /// earlier term and must be dropped.
    pub(super) fn accept_term(
        &mut self,
        now: Instant,
        from: MemberId,
        term: Term,
        message: &Message,
    ) -> bool {
        if term < self.term() {
            self.reject_old_term(now, from, message);
            return false;
        }
        let keeps_term = match message {
            Message::VoteRequest { kind, .. } => {
                *kind == VoteKind::PreVote || self.is_leader_alive(now)
            }
            Message::VoteResponse { kind, granted } => *kind == VoteKind::PreVote && *granted,
            _ => false,
        };
        if term > self.term() && !keeps_term {
            self.enter_term(now, term);
        }
        true
    }

    /// Rejects a request from an earlier term; the response carries the current term.
    fn reject_old_term(&mut self, now: Instant, from: MemberId, message: &Message) {
        let term = self.term();
        match message {
            Message::VoteRequest { kind, .. } => self.respond_vote(from, term, *kind, false),
            Message::AppendRequest { round, .. } | Message::SnapshotRequest { round, .. } => {
                self.reject_append(now, from, *round);
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

    /// Returns whether the leader is considered alive. A member that recently received a message from a leader
    /// grants no votes, so that a member that rejoins after a network partition cannot depose a leader that has
    /// a majority.
    fn is_leader_alive(&self, now: Instant) -> bool {
        let has_recent_leader = self.leader_until.is_some_and(|until| now < until);
        has_recent_leader || matches!(self.role, Role::Leader(_))
    }

    /// Starts a pre-vote, unless this member is not a voter.
    pub(super) fn campaign(&mut self, now: Instant) {
        self.reset_election_timer(now);
        self.observe_leader(now);
        self.leader = None;
        if !self.membership().is_voter(self.id) {
            return;
        }
        self.request_votes(now, VoteKind::PreVote);
    }

    fn request_votes(&mut self, now: Instant, kind: VoteKind) {
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
        let message = self.vote_request(kind);
        let voters = self.other_voters();
        self.observe_voters(now, &voters);
        for to in voters {
            self.send_after_sync(to, term, message.clone());
        }
        self.count_votes(now);
    }

    /// Returns the request that a campaign sends to the other voters.
    pub(super) fn vote_request(&self, kind: VoteKind) -> Message {
        Message::VoteRequest {
            kind,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        }
    }

    pub(super) fn other_voters(&self) -> Vec<MemberId> {
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
        let is_up_to_date = last >= (self.log.last_term(), self.log.last_index());
        let can_vote = match kind {
            VoteKind::PreVote => term > self.term() || self.can_vote_for(from),
            VoteKind::Vote => term == self.term() && self.can_vote_for(from),
        };
        let granted = is_up_to_date && can_vote && !self.is_leader_alive(now);
        if granted && kind == VoteKind::Vote {
            self.set_hard_state(HardState {
                term,
                voted_for: Some(from),
            });
            self.reset_election_timer(now);
        }
        let response_term = if granted { term } else { self.term() };
        self.respond_vote(from, response_term, kind, granted);
        if !is_up_to_date {
            self.repeat_vote_request(from);
        }
    }

    /// Asks a member whose log is behind again for its vote, if this member campaigns: the member may have been down when
    /// the campaign began.
    fn repeat_vote_request(&mut self, to: MemberId) {
        let Role::Candidate(candidate) = &self.role else {
            return;
        };
        let kind = candidate.kind;
        let term = self.requested_term(kind);
        self.send_after_sync(to, term, self.vote_request(kind));
    }

    /// Returns the term that a campaign requests votes for.
    fn requested_term(&self, kind: VoteKind) -> Term {
        match kind {
            VoteKind::PreVote => self.term().next(),
            VoteKind::Vote => self.term(),
        }
    }

    fn can_vote_for(&self, candidate: MemberId) -> bool {
        let voted_for = self.hard_state.voted_for;
        voted_for.is_none_or(|voted_for| voted_for == candidate)
    }

    fn respond_vote(&mut self, to: MemberId, term: Term, kind: VoteKind, granted: bool) {
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
        let requested_term = self.requested_term(kind);
        let Role::Candidate(candidate) = &mut self.role else {
            return;
        };
        if candidate.kind != kind || term != requested_term {
            return;
        }
        if granted {
            candidate.supporters.insert(from);
            self.count_votes(now);
        } else if kind == VoteKind::Vote {
            self.retry_election(now);
        }
    }

    /// Lets this member campaign again early, because another candidate splits the votes. Both were granted pre-votes by a
    /// majority, so no leader is worth waiting for; the time is random over a whole election timeout.
    fn retry_election(&mut self, now: Instant) {
        let delay = self.random_delay(self.options.election_timeout);
        self.election_at = self.election_at.min(now + delay);
    }

    fn count_votes(&mut self, now: Instant) {
        let Role::Candidate(candidate) = &self.role else {
            return;
        };
        let is_supporter = |id| candidate.supporters.contains(&id);
        if !self.membership().is_quorum(is_supporter) {
            return;
        }
        match candidate.kind {
            VoteKind::PreVote => self.request_votes(now, VoteKind::Vote),
            VoteKind::Vote => {
                let campaign = candidate.clone();
                self.become_leader(now, &campaign);
            }
        }
    }
}
