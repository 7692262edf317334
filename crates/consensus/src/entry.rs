//! Log entries, snapshots and the state that a member persists.

use bytes::Bytes;
use dogwoodrill_core::ids::{LogIndex, Term};

use crate::member::{MemberId, Membership};

/// Content of a log entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Payload {
    /// No operation. A new leader commits one to learn which entries of earlier terms are committed.
    Noop,
    /// Command for the state machine, opaque to the log.
    Command(Bytes),
    /// Membership that takes effect at this index.
    Membership(Membership),
}

/// Entry of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Index of the entry in the log.
    pub index: LogIndex,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Content of the entry.
    pub payload: Payload,
}

/// State of the state machine after one entry. It replaces all log entries up to that index.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Index of the last entry that the state includes.
    pub index: LogIndex,
    /// Term of the entry at `index`.
    pub term: Term,
    /// Membership at `index`.
    pub membership: Membership,
    /// Serialized state, opaque to the log.
    pub state: Bytes,
}

/// Term and vote, which a member must persist besides the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HardState {
    /// Latest term that the member has seen.
    pub term: Term,
    /// Candidate that the member voted for in that term.
    pub voted_for: Option<MemberId>,
}

/// State that a member reads back from its disk when it restarts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PersistedState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Snapshot that the log starts from.
    pub snapshot: Snapshot,
    /// Entries after the snapshot, with consecutive indexes.
    pub entries: Vec<Entry>,
}

/// One atomic write. It must be synced before any message that depends on it is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Batch {
    /// Changes the persisted state incrementally.
    Append {
        /// New term and vote, if they changed.
        hard_state: Option<HardState>,
        /// Index from which existing entries are removed before `entries` are added.
        truncate_from: Option<LogIndex>,
        /// Entries to append.
        entries: Vec<Entry>,
    },
    /// Replaces the whole persisted state.
    Rewrite(PersistedState),
}

impl Batch {
    /// Creates a batch that changes nothing.
    pub const fn empty() -> Self {
        Self::Append {
            hard_state: None,
            truncate_from: None,
            entries: Vec::new(),
        }
    }

    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == Self::empty()
    }
}

impl PersistedState {
    /// Applies `batch` to this state, as a disk does.
    pub fn apply(&mut self, batch: Batch) {
        match batch {
            Batch::Rewrite(restored) => *self = restored,
            Batch::Append {
                hard_state,
                truncate_from,
                entries,
            } => {
                if let Some(from) = truncate_from {
                    let kept = self.entries.partition_point(|e| e.index < from);
                    self.entries.truncate(kept);
                }
                self.entries.extend(entries);
                self.hard_state = hard_state.unwrap_or(self.hard_state);
            }
        }
    }

    /// Index of the last entry, or of the snapshot if no entry follows it.
    pub fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.snapshot.index, |e| e.index)
    }
}
