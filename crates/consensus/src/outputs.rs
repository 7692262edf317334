//! Work that a member hands to its caller.

use derive_more::{Display, From, Into};
use dogwoodrill_core::ids::{LogIndex, Term};

use crate::entry::{Batch, Entry, HardState, Snapshot};
use crate::message::Envelope;

/// Identifies a read request that waits for its index.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct ReadId(u64);

/// Result of a read request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadOutcome {
    /// Id of the read request.
    pub id: ReadId,
    /// Index that the state machine must have applied before it serves the read; `None` if leadership was lost.
    pub index: Option<LogIndex>,
}

/// Change to apply to the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Apply {
    /// Replaces the whole state machine by this snapshot.
    Snapshot(Snapshot),
    /// Applies this committed entry.
    Entry(Entry),
}

/// Position of an entry in the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogPosition {
    /// Index of the entry.
    pub index: LogIndex,
    /// Term of the entry at `index`.
    pub term: Term,
}

/// Work for the caller, in this order: send [`messages`](Self::messages); write
/// [`batch`](Self::batch) and sync it; then send [`after_sync`](Self::after_sync) and report
/// [`synced`](Self::synced); apply [`apply`](Self::apply); serve the [`reads`](Self::reads).
#[derive(Debug)]
pub struct Outputs {
    /// Messages that may be sent immediately.
    pub messages: Vec<Envelope>,
    /// Write that must be synced before any of the following work is done.
    pub batch: Batch,
    /// Messages that may be sent only after the batch is synced.
    pub after_sync: Vec<Envelope>,
    /// Position to pass to [`crate::Node::on_synced`] after the sync.
    pub synced: LogPosition,
    /// Committed entries or snapshot that were not returned before.
    pub apply: Vec<Apply>,
    /// Reads that are confirmed or have failed.
    pub reads: Vec<ReadOutcome>,
}

/// Collects outputs until [`crate::Node::take`] returns them.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    pub(crate) messages: Vec<Envelope>,
    pub(crate) after_sync: Vec<Envelope>,
    pub(crate) hard_state_changed: bool,
    /// Whether the next batch replaces the whole persisted state.
    pub(crate) rewrite: bool,
    pub(crate) truncate_from: Option<LogIndex>,
    /// First index at which the disk may differ from the log in memory.
    pub(crate) unwritten_from: Option<LogIndex>,
    /// Whether the state machine must be replaced by the log's snapshot.
    pub(crate) restore: bool,
    pub(crate) reads: Vec<ReadOutcome>,
}

impl Pending {
    /// Records that entries were appended to the log from index `from` on.
    pub(crate) fn mark_appended(&mut self, from: LogIndex) {
        let first = self.unwritten_from.map_or(from, |known| known.min(from));
        self.unwritten_from = Some(first);
    }

    /// Records that the entries from index `from` on were removed from the log.
    pub(crate) fn mark_truncated(&mut self, from: LogIndex) {
        let first = self.truncate_from.map_or(from, |known| known.min(from));
        self.truncate_from = Some(first);
    }

    /// Returns `state` if it changed since the last call.
    pub(crate) fn take_hard_state(&mut self, state: HardState) -> Option<HardState> {
        std::mem::take(&mut self.hard_state_changed).then_some(state)
    }
}
