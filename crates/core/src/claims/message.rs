//! What runs and keepers say to each other.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;

use super::key::{Attempt, RequestKey};
use super::lives::CrashVector;
use super::table::Claim;
use crate::config::ClaimReplicaId;
use crate::ids::{BackendServerId, Epoch, Incarnation};
use crate::time::UnixMillis;

/// One run of the claim protocol by one agent. No two are equal, in any life of any agent.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{server}/{incarnation}/{number}")]
pub struct RunId {
    /// The backend server beside which the agent runs.
    pub server: BackendServerId,
    /// The agent's life.
    pub incarnation: Incarnation,
    /// Counts the runs of that life.
    pub number: u64,
}

/// A run that was given a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The attempt that it is for.
    pub attempt: Attempt,
    /// The run.
    pub run: RunId,
}

/// What became of an order that was sent to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer.
    Answer(Arc<StoredAnswer>),
    /// It ran; the answer was too long to be kept.
    NotKept {
        /// Its HTTP status.
        status: u16,
    },
    /// Nobody knows.
    Unknown,
}

/// An answer that is kept for resends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers in their order.
    pub headers: Vec<StoredHeader>,
    /// The whole body.
    pub body: Bytes,
}

/// A header of a [`StoredAnswer`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredHeader {
    /// Its name, in lower case.
    pub name: String,
    /// Its value.
    pub value: Bytes,
}

/// What a run asks of a keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOperation {
    /// To be given the key.
    Grant,
    /// To drop what it was given; it will not use it.
    Release,
    /// The same, and that nothing through this attempt be granted any more.
    Seal,
    /// To keep what became of the order.
    Finish(Outcome),
}

/// A request to a keeper.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// The group's epoch as the run knows it.
    pub epoch: Epoch,
    /// The keepers' lives as the run believes them.
    pub crash_vector: CrashVector,
    /// The key.
    pub key: RequestKey,
    /// The attempt.
    pub attempt: Attempt,
    /// The run.
    pub run: RunId,
    /// What is asked.
    pub operation: ClaimOperation,
}

/// Why a keeper gave no answer to the question.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum Abstention {
    /// It has not copied yet what an earlier life may have granted.
    #[display("recovering")]
    Recovering,
    /// The request is of another epoch than the one it answers for.
    #[display("epoch")]
    Epoch,
    /// The key's time is outside the time for which it can answer.
    #[display("key-time")]
    KeyTime,
    /// It keeps as many claims as it has room for.
    #[display("full")]
    Full,
}

/// What a keeper answers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The run has this keeper's grant.
    Granted,
    /// Another run has it, or the asking run by a copied grant only.
    Held {
        /// The run that has it.
        by: RunId,
    },
    /// The attempt is not granted, because nothing through `through` is. This says nothing of grants
    /// that are held, unlike `Sealed`.
    Refused {
        /// The attempt.
        through: Attempt,
    },
    /// No grant is held, and nothing through that attempt is granted any more.
    Sealed {
        /// The attempt.
        through: Attempt,
    },
    /// The order ran.
    Done(Outcome),
    /// A release or an outcome was noted.
    Noted,
    /// No answer.
    Abstained(Abstention),
    /// The request listed an older life than is known here.
    Stale(CrashVector),
}

/// The reply to a [`ClaimRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimReply {
    /// The keeper, in the life that answers.
    pub replica: ClaimReplicaId,
    /// Epoch of the request.
    pub epoch: Epoch,
    /// Run of the request.
    pub run: RunId,
    /// The answer.
    pub answer: Answer,
}

/// A [`ClaimRequest`] and where it goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    /// The keeper.
    pub to: BackendServerId,
    /// The request.
    pub request: ClaimRequest,
}

/// A keeper asks another for all its claims.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopyRequest {
    /// The epoch that the copier recovers or joins.
    pub epoch: Epoch,
    /// Who copies, in its present life.
    pub copier: ClaimReplicaId,
    /// The lives that the copier knows of.
    pub crash_vector: CrashVector,
}

/// All claims of one keeper at one moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copy {
    /// Who gives, in its present life.
    pub giver: ClaimReplicaId,
    /// The last epoch that the giver has all claims of; none when it has no copy to give.
    pub installed: Option<Epoch>,
    /// The giver refuses this epoch and older ones.
    pub closed_through: Epoch,
    /// The giver may have forgotten keys made at or before this time.
    pub floor: UnixMillis,
    /// The lives that the giver knows of.
    pub crash_vector: CrashVector,
    /// The claims.
    pub claims: Vec<(RequestKey, Claim)>,
}
