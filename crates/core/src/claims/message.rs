//! Messages between runs and replicas, and among replicas.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;

use super::key::{Attempt, RequestKey};
use super::lives::CrashVector;
use super::table::Claim;
use crate::config::ClaimReplicaId;
use crate::ids::{BackendServerId, Epoch, Incarnation};
use crate::time::UnixMillis;

/// Identifies one run of the claim protocol; unique over all agents and their incarnations.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{server}/{incarnation}/{number}")]
pub struct RunId {
    /// The backend server of the agent.
    pub server: BackendServerId,
    /// The incarnation of the agent's process.
    pub incarnation: Incarnation,
    /// Number of the run within that incarnation.
    pub number: u64,
}

/// The grant of a key to a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The attempt that the grant is for.
    pub attempt: Attempt,
    /// The run that holds the grant.
    pub run: RunId,
}

/// The outcome of a keyed request that was sent to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request ran, and this is its response.
    Answer(Arc<StoredAnswer>),
    /// The request ran; its response was too large to be stored.
    NotKept {
        /// HTTP status of the response.
        status: u16,
    },
    /// It is not known whether the request ran.
    Unknown,
}

/// A response that is stored so that a resend of its request gets it again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers in their original order.
    pub headers: Vec<StoredHeader>,
    /// The whole body.
    pub body: Bytes,
}

/// A header of a [`StoredAnswer`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredHeader {
    /// Name of the header, in lower case.
    pub name: String,
    /// Value of the header.
    pub value: Bytes,
}

/// The operation that a run requests from a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOperation {
    /// Grant the key to the run.
    Grant,
    /// Delete the run's grant; the run will not use it.
    Release,
    /// Delete the run's grant, and never again grant the key for this attempt or an earlier one.
    Seal,
    /// Store the outcome of the request.
    Finish(Outcome),
}

/// A request of a run to a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// The group's epoch as the run knows it.
    pub epoch: Epoch,
    /// The replicas' latest incarnations that the run knows.
    pub crash_vector: CrashVector,
    /// The key.
    pub key: RequestKey,
    /// The attempt.
    pub attempt: Attempt,
    /// The run.
    pub run: RunId,
    /// The requested operation.
    pub operation: ClaimOperation,
}

/// Why a replica can't decide a request.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum Abstention {
    /// The replica has not yet copied the claims that an earlier incarnation may have granted.
    #[display("recovering")]
    Recovering,
    /// The request has another epoch than the one that the replica answers for.
    #[display("epoch")]
    Epoch,
    /// The key's time is outside the range for which the replica can answer.
    #[display("key-time")]
    KeyTime,
    /// The replica holds as many claims as its capacity allows.
    #[display("full")]
    Full,
}

/// The reply of a replica to an operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The run has the grant of this replica.
    Granted,
    /// The key is granted to another run, to the requesting run by a copied grant only, or the requesting
    /// run has given up before.
    Held {
        /// The run that holds the grant.
        by: RunId,
    },
    /// The attempt is not granted, because attempts up to `through` are sealed. Unlike `Sealed`, this does
    /// not mean that no grant is held.
    Refused {
        /// The last sealed attempt.
        through: Attempt,
    },
    /// No grant is held, and attempts up to `through` are not granted any more.
    Sealed {
        /// The last sealed attempt.
        through: Attempt,
    },
    /// The request was sent to a backend server before.
    Done(Outcome),
    /// A release or an outcome was processed.
    Noted,
    /// The replica can't decide the request.
    Abstained(Abstention),
    /// The request listed an older incarnation of a replica than is known here.
    Stale(CrashVector),
}

/// The reply to a [`ClaimRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimReply {
    /// The replying replica with its incarnation.
    pub replica: ClaimReplicaId,
    /// Epoch of the request.
    pub epoch: Epoch,
    /// Run of the request.
    pub run: RunId,
    /// The decision about the request.
    pub answer: Answer,
}

/// A [`ClaimRequest`] and its destination.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    /// The server of the replica.
    pub to: BackendServerId,
    /// The request.
    pub request: ClaimRequest,
}

/// A request of a replica for all claims of another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopyRequest {
    /// The epoch that the copier recovers or joins.
    pub epoch: Epoch,
    /// The replica that copies, with its current incarnation.
    pub copier: ClaimReplicaId,
    /// The replicas' latest incarnations that the copier knows.
    pub crash_vector: CrashVector,
}

/// All claims of one replica at one point in time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copy {
    /// The replica that gives the copy, with its current incarnation.
    pub giver: ClaimReplicaId,
    /// The last epoch that the giver has all claims of; none when it has no copy to give.
    pub installed: Option<Epoch>,
    /// The giver refuses this epoch and older ones.
    pub closed_through: Epoch,
    /// The giver may have deleted the claims on keys created at or before this time.
    pub floor: UnixMillis,
    /// The replicas' latest incarnations that the giver knows.
    pub crash_vector: CrashVector,
    /// The claims.
    pub claims: Vec<(RequestKey, Claim)>,
}
