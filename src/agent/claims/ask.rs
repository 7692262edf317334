//! Runs the claim of one request: asks the keepers, and seals what is given up.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use dogwoodrill_core::claims::key::{Attempt, RequestKey};
use dogwoodrill_core::claims::lives::CrashVector;
use dogwoodrill_core::claims::message::{ClaimReply, Envelope, Outcome, RunId};
use dogwoodrill_core::claims::rules::Rules;
use dogwoodrill_core::claims::run::{
    AcquireFailure, AcquireStep, Acquiring, Claimed, Running, SealStep, Sealed, Sealing,
};
use dogwoodrill_core::config::ClaimGroup;
use dogwoodrill_core::ids::{BackendServerId, ServiceId};
use dogwoodrill_wire::proto::claims as wire;
use dogwoodrill_wire::proto::claims::claims_client::ClaimsClient;
use rand::Rng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};
use tonic::Code;

use super::Keepers;
use crate::agent::channels::Channels;
use crate::context::Cx;

/// Time in which a keeper must answer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for asking whether `not-run` is true, counted from the moment of giving up.
const SEAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Tries where several runs split the keepers.
const MAX_TRIES: u32 = 4;
/// Longest pause before another try; the pause is random, so that the runs part.
const MAX_SPLIT_PAUSE: Duration = Duration::from_millis(40);

/// Pause before keepers that were not ready are asked again.
const READY_PAUSE: Duration = Duration::from_millis(50);

/// How the claim of a request ended.
#[derive(Debug)]
pub enum ClaimEnd {
    /// The request may be sent to a backend server.
    Claimed(Claimed),
    /// It may not; this is known of it.
    Ended(Sealed),
}

/// Asks keepers on behalf of the requests of one agent.
#[derive(Debug)]
pub struct ClaimClient {
    cx: Cx,
    channels: Channels,
    keepers: Keepers,
    runs: AtomicU64,
}

/// The order that a claim is for.
#[derive(Clone, Debug)]
pub struct Order {
    /// The backend server of this agent.
    pub server: BackendServerId,
    /// The claim group of the service.
    pub group: ClaimGroup,
    /// The key.
    pub key: RequestKey,
    /// The attempt.
    pub attempt: Attempt,
}

/// What came of a question to a keeper.
enum Heard {
    Reply(ClaimReply),
    /// It is no keeper by the configuration it knows.
    NotReady,
    Nothing,
}

type Reply = (BackendServerId, Heard);

impl ClaimClient {
    /// Makes the client of an agent, which asks its own keeper without a connection.
    pub fn new(cx: Cx, channels: Channels, keepers: Keepers) -> Self {
        Self {
            cx,
            channels,
            keepers,
            runs: AtomicU64::new(0),
        }
    }

    /// Asks for the claim of an order until `deadline`; keepers that are not ready are given until
    /// `patience`.
    pub async fn claim(&self, order: &Order, deadline: Instant, patience: Instant) -> ClaimEnd {
        let mut tries = 0;
        loop {
            tries += 1;
            let (asking, why) = match self.ask(order, deadline).await {
                AcquireStep::Claimed(claimed) => return ClaimEnd::Claimed(claimed),
                AcquireStep::Failed(asking, why) => (asking, why),
                AcquireStep::Pending(asking, _) => {
                    let why = asking.failure_reason();
                    (asking, why)
                }
            };
            let now = Instant::now();
            let pause = match why {
                AcquireFailure::Done(outcome) => {
                    self.send(order, asking.release());
                    return ClaimEnd::Ended(Sealed::Done(outcome));
                }
                AcquireFailure::Split if tries < MAX_TRIES => Some(split_pause()),
                AcquireFailure::NotReady if now < patience => Some(READY_PAUSE),
                _ => None,
            };
            let Some(pause) = pause.filter(|pause| now + *pause < deadline) else {
                let (sealing, requests) = asking.give_up();
                return ClaimEnd::Ended(self.seal(order, sealing, requests).await);
            };
            self.send(order, asking.release());
            sleep(pause).await;
        }
    }

    /// Gives up a claim that was not used.
    pub async fn give_up(&self, order: &Order, claimed: Claimed) -> Sealed {
        let (sealing, requests) = claimed.give_up();
        self.seal(order, sealing, requests).await
    }

    /// Gives up a claim of which nothing was written to a backend server.
    pub async fn not_written(&self, order: &Order, running: Running) -> Sealed {
        let (sealing, requests) = running.not_written();
        self.seal(order, sealing, requests).await
    }

    /// Tells the keepers what became of an order.
    pub fn finish(&self, order: &Order, running: Running, outcome: Outcome) {
        self.send(order, running.finish(outcome));
    }

    async fn ask(&self, order: &Order, deadline: Instant) -> AcquireStep {
        let lives: CrashVector = order
            .group
            .replicas
            .iter()
            .filter_map(|k| self.channels.life(k.server))
            .collect();
        let run = RunId {
            server: order.server,
            incarnation: self.cx.incarnation,
            number: self.runs.fetch_add(1, Ordering::Relaxed),
        };
        let (key, attempt) = (order.key, order.attempt);
        let (asking, requests) =
            Acquiring::start(Rules::default(), &order.group, &lives, key, attempt, run);
        let deadline = deadline.min(Instant::now() + REPLY_TIMEOUT);
        let mut replies = JoinSet::new();
        self.spawn(&mut replies, order, requests);
        let mut step = AcquireStep::Pending(asking, Vec::new());
        while let AcquireStep::Pending(asking, requests) = step {
            self.spawn(&mut replies, order, requests);
            let Ok(Some(Ok((from, reply)))) = timeout_at(deadline, replies.join_next()).await
            else {
                return AcquireStep::Pending(asking, Vec::new());
            };
            step = match reply {
                Heard::Reply(reply) => asking.on_reply(reply),
                Heard::NotReady => asking.on_not_ready(from),
                Heard::Nothing => asking.on_unreachable(from),
            };
        }
        // What the others answer is not needed, but they must hear the question to be consistent with
        // a release; a grant that nobody waits for is dropped by the seal or the outcome.
        replies.detach_all();
        step
    }

    async fn seal(&self, order: &Order, sealing: Sealing, requests: Vec<Envelope>) -> Sealed {
        let deadline = Instant::now() + SEAL_TIMEOUT;
        let mut replies = JoinSet::new();
        self.spawn(&mut replies, order, requests);
        let mut step = SealStep::Pending(sealing, Vec::new());
        loop {
            let (sealing, requests) = match step {
                SealStep::Pending(sealing, requests) => (sealing, requests),
                SealStep::Ended(end) => {
                    replies.detach_all();
                    return end;
                }
            };
            self.spawn(&mut replies, order, requests);
            let Ok(Some(Ok((from, reply)))) = timeout_at(deadline, replies.join_next()).await
            else {
                replies.detach_all();
                return sealing.on_timeout();
            };
            step = match reply {
                Heard::Reply(reply) => sealing.on_reply(reply),
                Heard::NotReady | Heard::Nothing => sealing.on_unreachable(from),
            };
        }
    }

    fn spawn(&self, replies: &mut JoinSet<Reply>, order: &Order, requests: Vec<Envelope>) {
        for envelope in requests {
            let service = order.group.service;
            if envelope.to == order.server {
                let reply = self.keepers.on_request(service, envelope.request);
                let heard = reply.map_or(Heard::NotReady, Heard::Reply);
                replies.spawn(async move { (envelope.to, heard) });
                continue;
            }
            let channels = self.channels.clone();
            replies.spawn(async move {
                let from = envelope.to;
                (from, ask_one(&channels, service, envelope).await)
            });
        }
    }

    /// Sends what needs no answer.
    fn send(&self, order: &Order, requests: Vec<Envelope>) {
        let mut replies = JoinSet::new();
        self.spawn(&mut replies, order, requests);
        replies.detach_all();
    }
}

async fn ask_one(channels: &Channels, service: ServiceId, envelope: Envelope) -> Heard {
    let Ok(channel) = channels.to(envelope.to).await else {
        return Heard::Nothing;
    };
    let request = wire::ClaimRequest::new(service, &envelope.request);
    let mut request = tonic::Request::new(request);
    request.set_timeout(REPLY_TIMEOUT);
    match ClaimsClient::new(channel).ask(request).await {
        Ok(reply) => {
            let reply = reply.into_inner().try_into();
            reply.map_or(Heard::Nothing, Heard::Reply)
        }
        Err(status) if status.code() == Code::NotFound => Heard::NotReady,
        Err(_) => Heard::Nothing,
    }
}

fn split_pause() -> Duration {
    rand::rng().random_range(Duration::ZERO..MAX_SPLIT_PAUSE)
}
