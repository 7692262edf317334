//! What the log holds, and what a disk must hold of it.

use bytes::Bytes;
use dogwoodrill_core::ids::{LogIndex, Term};

use crate::member::{MemberId, Membership};

/// What an entry does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Payload {
    /// Nothing; a new leader commits one to learn what is committed.
    Noop,
    /// A command to the state machine, opaque to the log.
    Command(Bytes),
    /// The members from this position on.
    Membership(Membership),
}

/// One position of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The position.
    pub index: LogIndex,
    /// Term of the leader that made the entry.
    pub term: Term,
    /// What the entry does.
    pub payload: Payload,
}

/// The state machine after one position, in place of all entries up to it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Last position that is in the state.
    pub index: LogIndex,
    /// Term of the entry there.
    pub term: Term,
    /// The members at that position.
    pub membership: Membership,
    /// The state, opaque to the log.
    pub state: Bytes,
}

/// What a member must never forget besides the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HardState {
    /// Latest term that the member has seen.
    pub term: Term,
    /// Whom it voted for in that term.
    pub voted_for: Option<MemberId>,
}

/// Everything that a disk gives back when a member starts again.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PersistedState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The snapshot that the log starts from.
    pub snapshot: Snapshot,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// One write, whole or not at all; synced before anything that follows from it is said.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Batch {
    /// Adds to what the disk holds.
    Append {
        /// Term and vote, if they changed.
        hard_state: Option<HardState>,
        /// Drop the entries from here on first.
        truncate_from: Option<LogIndex>,
        /// The entries to add.
        entries: Vec<Entry>,
    },
    /// Takes the place of all that the disk holds.
    Rewrite(PersistedState),
}

impl Batch {
    /// A batch that changes nothing.
    pub const fn empty() -> Self {
        Self::Append {
            hard_state: None,
            truncate_from: None,
            entries: Vec::new(),
        }
    }

    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == Self::empty()
    }
}

impl PersistedState {
    /// What the disk holds after `batch`.
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

    /// Index of the last entry, or of the snapshot.
    pub fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.snapshot.index, |e| e.index)
    }
}
