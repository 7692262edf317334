//! Raft messages between members.

use std::time::Duration;

use dogwoodrill_core::ids::{LogIndex, Term};

use crate::entry::{Entry, Snapshot};
use crate::member::MemberId;

/// A message with its sender, its receiver and the sender's term.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    /// Member that sends the message.
    pub from: MemberId,
    /// Member that the message is addressed to.
    pub to: MemberId,
    /// Term of the sender; for a pre-vote request and a granted pre-vote, the term that the candidate would
    /// start.
    pub term: Term,
    /// Content of the message.
    pub message: Message,
}

/// Whether a vote is binding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VoteKind {
    /// Asks whether the receiver would grant a vote. Changes no state at the receiver.
    PreVote,
    /// Requests a vote that the receiver persists.
    Vote,
}

/// Number of a heartbeat round. A response to a round proves contact with the leader since the round began.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Round(pub u64);

/// Message from one member to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// A candidate requests a vote.
    VoteRequest {
        /// Whether this is a pre-vote or a vote.
        kind: VoteKind,
        /// Index of the candidate's last entry.
        last_index: LogIndex,
        /// Term of the candidate's last entry.
        last_term: Term,
    },
    /// Response to a vote request.
    VoteResponse {
        /// Kind of the request.
        kind: VoteKind,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// The leader sends entries; without entries the message is a heartbeat.
    AppendRequest {
        /// Index of the entry before the first one in `entries`.
        previous_index: LogIndex,
        /// Term of the entry at `previous_index`.
        previous_term: Term,
        /// Consecutive entries that follow `previous_index`.
        entries: Vec<Entry>,
        /// Highest index that the leader knows to be committed.
        commit: LogIndex,
        /// Current heartbeat round of the leader.
        round: Round,
        /// Members that the leader does not hear from. The receiver observes them too.
        silent: Vec<MemberId>,
    },
    /// Response to an append request or a snapshot request.
    AppendResponse {
        /// Heartbeat round of the request.
        round: Round,
        /// Result of the request.
        outcome: AppendOutcome,
        /// Members that the sender does not hear from, by its own observation.
        silent: Vec<Silence>,
    },
    /// The leader sends its snapshot to a member that needs entries no longer in the leader's log.
    SnapshotRequest {
        /// Latest snapshot of the leader.
        snapshot: Snapshot,
        /// Current heartbeat round of the leader.
        round: Round,
    },
}

/// Time for which a member has not responded to the sender of the message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Silence {
    /// Member that does not respond.
    pub member: MemberId,
    /// Time since its last message, or since the sender began to observe it; in whole milliseconds on the wire.
    pub duration: Duration,
}

/// Result of an append or snapshot request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The member's disk holds the leader's log up to this index.
    Synced(LogIndex),
    /// The member's log does not match; the leader must resend from this index.
    RetryFrom(LogIndex),
}
