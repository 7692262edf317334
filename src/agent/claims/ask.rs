//! Acquires the claim of one keyed request from the claim replicas, and seals attempts that are given up.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use dogwoodrill_core::claims::key::{Attempt, RequestKey};
use dogwoodrill_core::claims::lives::CrashVector;
use dogwoodrill_core::claims::message::{ClaimReply, Envelope, Outcome, RunId};
use dogwoodrill_core::claims::rules::Rules;
use dogwoodrill_core::claims::run::{
    AcquireFailure, AcquireStep, Acquiring, Claimed, Running, SealOutcome, SealStep, Sealing,
};
use dogwoodrill_core::config::ClaimGroup;
use dogwoodrill_core::ids::{BackendServerId, ServiceId};
use dogwoodrill_wire::proto::claims as wire;
use dogwoodrill_wire::proto::claims::claims_client::ClaimsClient;
use rand::Rng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};
use tonic::Code;

use super::ClaimReplicas;
use crate::agent::channels::PeerChannels;
use crate::context::Cx;

/// Timeout for the reply of a claim replica.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for sealing an attempt, measured from the moment at which it is given up. A sealed attempt is
/// reported as `not-run`.
const SEAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of attempts to acquire a claim when concurrent runs split the replicas between them.
const MAX_ATTEMPTS: u32 = 4;
/// Upper bound of the random backoff before the next attempt, which keeps competing runs from colliding
/// again.
const MAX_SPLIT_BACKOFF: Duration = Duration::from_millis(40);

/// Backoff before replicas that were not ready are queried again.
const NOT_READY_BACKOFF: Duration = Duration::from_millis(50);

/// Result of acquiring the claim of a request.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The request may be sent to a backend server.
    Claimed(Claimed),
    /// The request must not be sent; the value tells what is known about earlier attempts.
    Ended(SealOutcome),
}

/// Queries the claim replicas on behalf of the requests of one agent.
#[derive(Debug)]
pub struct ClaimClient {
    cx: Cx,
    channels: PeerChannels,
    claim_replicas: ClaimReplicas,
    next_run_number: AtomicU64,
}

/// Identifies the keyed request that a claim is for.
#[derive(Clone, Debug)]
pub struct ClaimTarget {
    /// Backend server of this agent.
    pub server: BackendServerId,
    /// Claim group of the service.
    pub group: ClaimGroup,
    /// Idempotency key of the request.
    pub key: RequestKey,
    /// Number of the attempt under this key.
    pub attempt: Attempt,
}

/// Result of a request to a claim replica.
enum ReplicaReply {
    Reply(ClaimReply),
    /// The configuration of the queried agent does not list it as a replica.
    NotReady,
    /// The replica could not be reached or sent no valid reply.
    NoReply,
}

type TaggedReply = (BackendServerId, ReplicaReply);

impl ClaimClient {
    /// Creates the client of an agent. The agent's own replica is called directly, without a connection.
    pub fn new(cx: Cx, channels: PeerChannels, claim_replicas: ClaimReplicas) -> Self {
        Self {
            cx,
            channels,
            claim_replicas,
            next_run_number: AtomicU64::new(0),
        }
    }

    /// Tries to acquire the claim of a keyed request until `deadline`. Replicas that are not ready are
    /// queried again until `ready_deadline`.
    pub async fn claim(
        &self,
        target: &ClaimTarget,
        deadline: Instant,
        ready_deadline: Instant,
    ) -> ClaimOutcome {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let (acquiring, failure) = match self.request_claim(target, deadline).await {
                AcquireStep::Claimed(claimed) => return ClaimOutcome::Claimed(claimed),
                AcquireStep::Failed(acquiring, failure) => (acquiring, failure),
                AcquireStep::Pending(acquiring, _) => {
                    let failure = acquiring.failure_reason();
                    (acquiring, failure)
                }
            };
            let now = Instant::now();
            let backoff = match failure {
                AcquireFailure::Done(outcome) => {
                    self.send_without_reply(target, acquiring.release());
                    return ClaimOutcome::Ended(SealOutcome::Done(outcome));
                }
                AcquireFailure::Split if attempts < MAX_ATTEMPTS => Some(random_split_backoff()),
                AcquireFailure::NotReady if now < ready_deadline => Some(NOT_READY_BACKOFF),
                _ => None,
            };
            let Some(backoff) = backoff.filter(|backoff| now + *backoff < deadline) else {
                let (sealing, requests) = acquiring.give_up();
                return ClaimOutcome::Ended(self.seal(target, sealing, requests).await);
            };
            self.send_without_reply(target, acquiring.release());
            sleep(backoff).await;
        }
    }

    /// Gives up a claim that was not used.
    pub async fn give_up(&self, target: &ClaimTarget, claimed: Claimed) -> SealOutcome {
        let (sealing, requests) = claimed.give_up();
        self.seal(target, sealing, requests).await
    }

    /// Gives up a claim whose request was dispatched but of which nothing was written to a backend server.
    pub async fn not_written(&self, target: &ClaimTarget, running: Running) -> SealOutcome {
        let (sealing, requests) = running.not_written();
        self.seal(target, sealing, requests).await
    }

    /// Sends the outcome of a keyed request to the replicas.
    pub fn finish(&self, target: &ClaimTarget, running: Running, outcome: Outcome) {
        self.send_without_reply(target, running.finish(outcome));
    }

    async fn request_claim(&self, target: &ClaimTarget, deadline: Instant) -> AcquireStep {
        let crash_vector: CrashVector = target
            .group
            .replicas
            .iter()
            .filter_map(|k| self.channels.claim_replica_id(k.server))
            .collect();
        let run = RunId {
            server: target.server,
            incarnation: self.cx.incarnation,
            number: self.next_run_number.fetch_add(1, Ordering::Relaxed),
        };
        let (key, attempt) = (target.key, target.attempt);
        let (acquiring, requests) = Acquiring::start(
            Rules::default(),
            &target.group,
            &crash_vector,
            key,
            attempt,
            run,
        );
        let deadline = deadline.min(Instant::now() + REPLY_TIMEOUT);
        let mut replies = JoinSet::new();
        self.spawn(&mut replies, target, requests);
        let mut step = AcquireStep::Pending(acquiring, Vec::new());
        while let AcquireStep::Pending(acquiring, requests) = step {
            self.spawn(&mut replies, target, requests);
            let Ok(Some(Ok((from, reply)))) = timeout_at(deadline, replies.join_next()).await
            else {
                return AcquireStep::Pending(acquiring, Vec::new());
            };
            step = match reply {
                ReplicaReply::Reply(reply) => acquiring.on_reply(reply),
                ReplicaReply::NotReady => acquiring.on_not_ready(from),
                ReplicaReply::NoReply => acquiring.on_unreachable(from),
            };
        }
        // The remaining replies are not needed, but the requests must still reach the replicas, so that a
        // later release finds them. A grant that is no longer awaited is removed by the seal or the outcome.
        replies.detach_all();
        step
    }

    async fn seal(
        &self,
        target: &ClaimTarget,
        sealing: Sealing,
        requests: Vec<Envelope>,
    ) -> SealOutcome {
        let deadline = Instant::now() + SEAL_TIMEOUT;
        let mut replies = JoinSet::new();
        self.spawn(&mut replies, target, requests);
        let mut step = SealStep::Pending(sealing, Vec::new());
        loop {
            let (sealing, requests) = match step {
                SealStep::Pending(sealing, requests) => (sealing, requests),
                SealStep::Ended(end) => {
                    replies.detach_all();
                    return end;
                }
            };
            self.spawn(&mut replies, target, requests);
            let Ok(Some(Ok((from, reply)))) = timeout_at(deadline, replies.join_next()).await
            else {
                replies.detach_all();
                return sealing.on_timeout();
            };
            step = match reply {
                ReplicaReply::Reply(reply) => sealing.on_reply(reply),
                ReplicaReply::NotReady | ReplicaReply::NoReply => sealing.on_unreachable(from),
            };
        }
    }

    fn spawn(
        &self,
        replies: &mut JoinSet<TaggedReply>,
        target: &ClaimTarget,
        requests: Vec<Envelope>,
    ) {
        for envelope in requests {
            let service = target.group.service;
            if envelope.to == target.server {
                let reply = self.claim_replicas.on_request(service, envelope.request);
                let reply = reply.map_or(ReplicaReply::NotReady, ReplicaReply::Reply);
                replies.spawn(async move { (envelope.to, reply) });
                continue;
            }
            let channels = self.channels.clone();
            replies.spawn(async move {
                let from = envelope.to;
                (from, send_request(&channels, service, envelope).await)
            });
        }
    }

    /// Sends requests whose replies are not needed.
    fn send_without_reply(&self, target: &ClaimTarget, requests: Vec<Envelope>) {
        let mut replies = JoinSet::new();
        self.spawn(&mut replies, target, requests);
        replies.detach_all();
    }
}

async fn send_request(
    channels: &PeerChannels,
    service: ServiceId,
    envelope: Envelope,
) -> ReplicaReply {
    let Ok(channel) = channels.connect(envelope.to).await else {
        return ReplicaReply::NoReply;
    };
    let request = wire::ClaimRequest::new(service, &envelope.request);
    let mut request = tonic::Request::new(request);
    request.set_timeout(REPLY_TIMEOUT);
    match ClaimsClient::new(channel).ask(request).await {
        Ok(reply) => {
            let reply = reply.into_inner().try_into();
            reply.map_or(ReplicaReply::NoReply, ReplicaReply::Reply)
        }
        Err(status) if status.code() == Code::NotFound => ReplicaReply::NotReady,
        Err(_) => ReplicaReply::NoReply,
    }
}

fn random_split_backoff() -> Duration {
    rand::rng().random_range(Duration::ZERO..MAX_SPLIT_BACKOFF)
}
