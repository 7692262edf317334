//! In-memory part of the log.
//!
//! A [`Snapshot`] replaces all entries up to its index. The last of those entries stay in memory, so that
//! the leader can send entries instead of the whole state to a member that is slightly behind.

use std::collections::VecDeque;

use bytes::Bytes;
use dogwoodrill_core::ids::{LogIndex, Term};

use crate::entry::{Entry, Payload, Snapshot};
use crate::member::Membership;

/// Log entries in memory, and the membership at each index.
#[derive(Debug)]
pub struct Log {
    snapshot: Snapshot,
    /// Index and term of the entry before the first one in memory.
    base: (LogIndex, Term),
    entries: VecDeque<Entry>,
    /// Memberships with the index from which each is in effect, in ascending order; never empty.
    memberships: Vec<(LogIndex, Membership)>,
}

impl Log {
    /// Creates the log from a snapshot and the entries after it, as read from disk.
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

    /// Returns the snapshot that the log starts from.
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.base.0, |e| e.index)
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base.1, |e| e.term)
    }

    /// Returns the term of the entry at `index`; `None` if it does not exist or is no longer in memory.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.entry(index).map(|e| e.term)
    }

    /// Returns the entry at `index` if it is in memory.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.entries.get(self.position(index)?)
    }

    /// Returns the entries from `from` to `to` inclusive that are in memory; none if `from` is not in memory.
    pub fn range(&self, from: LogIndex, to: LogIndex) -> Vec<Entry> {
        let Some(start) = self.position(from) else {
            return Vec::new();
        };
        let entries = self.entries.iter().skip(start);
        entries.take_while(|e| e.index <= to).cloned().collect()
    }

    /// Returns the entries after the snapshot.
    pub fn after_snapshot(&self) -> Vec<Entry> {
        self.range(self.snapshot.index.next(), self.last_index())
    }

    /// Returns the membership after the last entry, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.latest_membership().1
    }

    /// Returns the membership at `index`, which must not be before the snapshot.
    pub fn membership_at(&self, index: LogIndex) -> &Membership {
        let after = self.memberships.partition_point(|(from, _)| *from <= index);
        &self.memberships[after.saturating_sub(1)].1
    }

    /// Returns the index from which the latest membership is in effect.
    pub fn membership_index(&self) -> LogIndex {
        self.latest_membership().0
    }

    fn latest_membership(&self) -> &(LogIndex, Membership) {
        self.memberships
            .last()
            .expect("the membership of the snapshot is never removed")
    }

    /// Appends an entry, whose index must follow the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes all entries from index `from` on.
    pub fn truncate(&mut self, from: LogIndex) {
        let kept = self.entries.partition_point(|e| e.index < from);
        self.entries.truncate(kept);
        self.memberships.retain(|(index, _)| *index < from);
    }

    /// Replaces the entries up to `index` by a snapshot with `state`, and keeps the last `retained_entries` of
    /// them in memory.
    pub fn compact(&mut self, index: LogIndex, state: Bytes, retained_entries: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let later = self.memberships.partition_point(|(i, _)| *i <= index);
        let membership = self.membership_at(index).clone();
        self.memberships.drain(..later - 1);
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

    /// Installs a snapshot from the leader. Keeps the entries after it if the log holds an entry with the
    /// snapshot's index and term.
    pub fn install(&mut self, snapshot: Snapshot) {
        let matches_snapshot = self.term_at(snapshot.index) == Some(snapshot.term);
        let kept = if matches_snapshot {
            self.range(snapshot.index.next(), self.last_index())
        } else {
            Vec::new()
        };
        *self = Self::new(snapshot, kept);
    }

    /// Returns the first index of the consecutive entries that have the term of the entry at `index`.
    pub fn start_of_term(&self, index: LogIndex) -> LogIndex {
        let Some(position) = self.position(index) else {
            return self.base.0.next();
        };
        let term = self.entries[position].term;
        let preceding = self.entries.range(..=position).rev();
        preceding
            .take_while(|e| e.term == term)
            .last()
            .map_or(index, |e| e.index)
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let offset = index.get().checked_sub(self.base.0.next().get())?;
        let position = usize::try_from(offset).ok()?;
        (position < self.entries.len()).then_some(position)
    }
}
