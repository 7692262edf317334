//! What a member wants done.

use derive_more::{Display, From, Into};
use dogwoodrill_core::ids::{LogIndex, Term};

use crate::entry::{Batch, Entry, HardState, Snapshot};
use crate::message::Envelope;

/// Names a read that waits for its index.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct ReadId(u64);

/// A read that has its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadOutcome {
    /// The read.
    pub id: ReadId,
    /// The state machine may answer once it has applied this index; none if leadership was lost.
    pub index: Option<LogIndex>,
}

/// What to apply to the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Apply {
    /// Put this state in place of the whole state machine.
    Snapshot(Snapshot),
    /// Apply this committed entry.
    Entry(Entry),
}

/// The log up to here is on the disk.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LogPosition {
    /// Last index that is written.
    pub index: LogIndex,
    /// Term of the entry there.
    pub term: Term,
}

/// What a member wants done, in this order: send [`messages`](Self::messages); write
/// [`batch`](Self::batch) and sync it; then send [`after_sync`](Self::after_sync) and report
/// [`synced`](Self::synced); apply; answer the reads.
#[derive(Debug)]
pub struct Outputs {
    /// Messages that may leave at once.
    pub messages: Vec<Envelope>,
    /// What the disk must hold before anything below is done.
    pub batch: Batch,
    /// Messages that may leave only when the batch is synced.
    pub after_sync: Vec<Envelope>,
    /// What to report to [`crate::Node::on_synced`] then.
    pub synced: LogPosition,
    /// What is committed and not handed out before.
    pub apply: Vec<Apply>,
    /// Reads that have their answer.
    pub reads: Vec<ReadOutcome>,
}

/// Collects outputs until they are taken.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    pub(crate) messages: Vec<Envelope>,
    pub(crate) after_sync: Vec<Envelope>,
    pub(crate) hard_state_changed: bool,
    pub(crate) rewrite: bool,
    pub(crate) truncate_from: Option<LogIndex>,
    /// First index that the disk does not hold as the log does.
    pub(crate) unwritten_from: Option<LogIndex>,
    pub(crate) restore: bool,
    pub(crate) reads: Vec<ReadOutcome>,
}

impl Pending {
    /// Notes that the log changed from `from` on by entries that were added.
    pub(crate) fn appended(&mut self, from: LogIndex) {
        let first = self.unwritten_from.map_or(from, |known| known.min(from));
        self.unwritten_from = Some(first);
    }

    /// Notes that the log lost what it had from `from` on.
    pub(crate) fn truncated(&mut self, from: LogIndex) {
        let first = self.truncate_from.map_or(from, |known| known.min(from));
        self.truncate_from = Some(first);
    }

    pub(crate) fn hard_state(&mut self, state: HardState) -> Option<HardState> {
        std::mem::take(&mut self.hard_state_changed).then_some(state)
    }
}
