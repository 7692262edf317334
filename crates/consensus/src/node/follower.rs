//! Handling of entries and snapshots from the leader.

use std::time::Instant;

use dogwoodrill_core::ids::{LogIndex, Term};

use super::Node;
use crate::entry::{Entry, Snapshot};
use crate::member::MemberId;
use crate::message::{AppendOutcome, Message, Round};

impl Node {
    /// Becomes a follower of `leader`, the leader of the current term.
    pub(super) fn follow(&mut self, now: Instant, leader: MemberId) {
        self.become_follower(now, Some(leader));
        self.leader_heard_at = now;
        self.leader_until = Some(now + self.options.election_timeout);
    }

    /// Appends the leader's entries after `previous` and removes entries that conflict with them.
    pub(super) fn append(
        &mut self,
        previous: (LogIndex, Term),
        entries: Vec<Entry>,
        commit: LogIndex,
    ) -> AppendOutcome {
        let (previous_index, previous_term) = previous;
        let last = entries.last().map_or(previous_index, |e| e.index);
        if previous_index >= self.commit && self.log.term_at(previous_index) != Some(previous_term)
        {
            return AppendOutcome::RetryFrom(self.retry_index(previous_index));
        }
        for entry in entries {
            self.append_entry(entry);
        }
        self.commit = self.commit.max(commit.min(last));
        AppendOutcome::Synced(last.max(self.commit))
    }

    /// Appends one entry from the leader. Committed entries match those of every leader, so only the entries
    /// after them are compared.
    fn append_entry(&mut self, entry: Entry) {
        if entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last_index() {
            self.log.truncate(entry.index);
            self.pending.mark_truncated(entry.index);
            self.synced = self.synced.min(self.log.last_index());
        }
        self.pending.mark_appended(entry.index);
        self.log.push(entry);
    }

    /// Returns the index from which the leader must resend. A term whose entries conflict is skipped as a
    /// whole, so that the leader needs one round trip for each term and not for each entry.
    fn retry_index(&self, previous: LogIndex) -> LogIndex {
        let last_known = previous.min(self.log.last_index());
        let from = if last_known < previous {
            last_known.next()
        } else {
            self.log.start_of_term(previous)
        };
        from.max(self.commit.next())
    }

    pub(super) fn install(&mut self, snapshot: Snapshot) -> AppendOutcome {
        if snapshot.index > self.commit {
            self.commit = snapshot.index;
            self.log.install(snapshot);
            self.pending.rewrite = true;
            self.pending.restore = true;
            self.synced = self.synced.min(self.log.last_index());
        }
        AppendOutcome::Synced(self.commit)
    }

    pub(super) fn respond_append(
        &mut self,
        now: Instant,
        to: MemberId,
        round: Round,
        outcome: AppendOutcome,
    ) {
        let message = Message::AppendResponse {
            round,
            outcome,
            silent: self.silences(now),
        };
        self.send_after_sync(to, self.term(), message);
    }

    /// Rejects an append or snapshot from an earlier term; the sender steps down at the term of the response.
    pub(super) fn reject_append(&mut self, now: Instant, to: MemberId, round: Round) {
        let outcome = AppendOutcome::RetryFrom(self.log.last_index().next());
        self.respond_append(now, to, round, outcome);
    }
}
