//! The part of the log that is in memory.
//!
//! A [`Snapshot`] stands for all entries up to its index. A tail of those entries is kept in memory
//! all the same, so that a member that is a little behind gets entries and not the whole state.

use std::collections::VecDeque;

use bytes::Bytes;
use dogwoodrill_core::ids::{LogIndex, Term};

use crate::entry::{Entry, Payload, Snapshot};
use crate::member::Membership;

/// Entries, and the members at each position.
#[derive(Debug)]
pub struct Log {
    snapshot: Snapshot,
    /// Index and term before the first entry in memory.
    base: (LogIndex, Term),
    entries: VecDeque<Entry>,
    /// Memberships by the index they hold from, the earliest first; never empty.
    memberships: Vec<(LogIndex, Membership)>,
}

impl Log {
    /// The log as a disk gave it back.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base: (snapshot.index, snapshot.term),
            memberships: vec![(snapshot.index, snapshot.membership.clone())],
            snapshot,
            entries: VecDeque::new(),
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    /// The snapshot that the log starts from.
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.base.0, |e| e.index)
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base.1, |e| e.term)
    }

    /// Term of the entry at `index`; none if it is not there or no longer there.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.entry(index).map(|e| e.term)
    }

    /// The entry at `index`.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.entries.get(self.position(index)?)
    }

    /// The entries from `from` to `to`, both included, as far as they are in memory.
    pub fn range(&self, from: LogIndex, to: LogIndex) -> Vec<Entry> {
        let Some(start) = self.position(from) else {
            return Vec::new();
        };
        let entries = self.entries.iter().skip(start);
        entries.take_while(|e| e.index <= to).cloned().collect()
    }

    /// The entries that the snapshot does not stand for.
    pub fn after_snapshot(&self) -> Vec<Entry> {
        self.range(self.snapshot.index.next(), self.last_index())
    }

    /// The members after the last entry.
    pub fn membership(&self) -> &Membership {
        &self.newest_membership().1
    }

    /// The members at `index`, which must not be before the snapshot.
    pub fn membership_at(&self, index: LogIndex) -> &Membership {
        let after = self.memberships.partition_point(|(from, _)| *from <= index);
        &self.memberships[after.saturating_sub(1)].1
    }

    /// The index from which the members after the last entry hold.
    pub fn membership_index(&self) -> LogIndex {
        self.newest_membership().0
    }

    fn newest_membership(&self) -> &(LogIndex, Membership) {
        self.memberships
            .last()
            .expect("the membership of the snapshot is never dropped")
    }

    /// Adds the next entry.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from `from` on.
    pub fn truncate(&mut self, from: LogIndex) {
        let kept = self.entries.partition_point(|e| e.index < from);
        self.entries.truncate(kept);
        self.memberships.retain(|(index, _)| *index < from);
    }

    /// Lets a snapshot stand for the entries up to `index`, and keeps `retained_entries` of them in memory.
    pub fn compact(&mut self, index: LogIndex, state: Bytes, retained_entries: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let at = self.memberships.partition_point(|(i, _)| *i <= index);
        let membership = self.membership_at(index).clone();
        self.memberships.drain(..at - 1);
        self.snapshot = Snapshot {
            index,
            term,
            membership,
            state,
        };
        let base = LogIndex::new(index.get().saturating_sub(retained_entries));
        while let Some(first) = self.entries.front()
            && first.index <= base
        {
            self.base = (first.index, first.term);
            self.entries.pop_front();
        }
    }

    /// Puts a leader's snapshot in place. Entries after it stay if the log agrees with it.
    pub fn install(&mut self, snapshot: Snapshot) {
        let agrees = self.term_at(snapshot.index) == Some(snapshot.term);
        let kept = if agrees {
            self.range(snapshot.index.next(), self.last_index())
        } else {
            Vec::new()
        };
        *self = Self::new(snapshot, kept);
    }

    /// The first index of the run of entries that have the term of the entry at `index`.
    pub fn start_of_term(&self, index: LogIndex) -> LogIndex {
        let Some(position) = self.position(index) else {
            return self.base.0.next();
        };
        let term = self.entries[position].term;
        let run = self.entries.range(..=position).rev();
        run.take_while(|e| e.term == term)
            .last()
            .map_or(index, |e| e.index)
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let ahead = index.get().checked_sub(self.base.0.next().get())?;
        let position = usize::try_from(ahead).ok()?;
        (position < self.entries.len()).then_some(position)
    }
}
