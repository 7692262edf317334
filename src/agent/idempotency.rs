//! Keyed requests: runs each idempotency key at most once, and reports reliably which attempts have not run.
//!
//! For a request with an unsafe method and an `idempotency-key`, the agent acquires a claim before it
//! dispatches the request. The outcome and the response ([`recording`]) are stored at the claim replicas, so
//! that a resend through any agent gets the same response. An attempt that is given up before anything was
//! sent is sealed; only then is `not-run` reported to the caller.
//!
//! From its claim to its outcome a keyed request runs in its own task. If the caller disconnects, the request
//! still finishes by its deadline: a resend should find a stored response, whereas a cancelled request would
//! leave the outcome unknown.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use dogwoodrill_core::claims::key::{Attempt, KeyAge, RequestKey};
use dogwoodrill_core::claims::message::Outcome;
use dogwoodrill_core::claims::run::{Running, SealOutcome};
use dogwoodrill_core::verdict::{HasVerdict, Verdict};
use http::{HeaderMap, Method};
use snafu::ResultExt;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tower::{Layer, Service, ServiceExt};

use self::recording::{ResponseRecorder, replay};
use super::claims::ask::{ClaimOutcome, ClaimTarget};
use super::deadline::Deadline;
use super::headers;
use super::path::{Policy, RequestContext, default_retry_at};
use super::request::{KeySnafu, Request, RequestError, Response};
use crate::context::wall_clock;

pub mod recording;

pub use recording::MAX_OUTCOME_BYTES;

/// Minimum time before the deadline for which a claim is still attempted.
const MIN_CLAIM_TIME: Duration = Duration::from_millis(1);
/// Time for which replicas that are not ready are waited for; after it the caller gets an error with a
/// retry time. A committed claim group takes effect on all agents within this time.
const REPLICA_READY_TIMEOUT: Duration = Duration::from_secs(8);

/// Wraps a service in [`IdempotencyService`].
#[derive(Clone, Debug)]
pub struct IdempotencyLayer {
    /// State shared by the requests of the agent.
    pub context: Arc<RequestContext>,
}

impl<S> Layer<S> for IdempotencyLayer {
    type Service = IdempotencyService<S>;

    fn layer(&self, inner: S) -> Self::Service {
        IdempotencyService {
            inner,
            context: Arc::clone(&self.context),
        }
    }
}

/// Service that acquires a claim for each keyed request before it calls the inner service.
#[derive(Clone, Debug)]
pub struct IdempotencyService<S> {
    inner: S,
    context: Arc<RequestContext>,
}

impl<S> Service<Request> for IdempotencyService<S>
where
    S: Service<Request, Response = Response, Error = RequestError> + Clone + Send + Sync + 'static,
    S::Future: Send + 'static,
{
    type Response = Response;
    type Error = RequestError;
    type Future = Pin<Box<dyn Future<Output = Result<Response, RequestError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: Request) -> Self::Future {
        if req.method().is_safe() {
            return Box::pin(self.inner.call(req));
        }
        let (context, inner) = (Arc::clone(&self.context), self.inner.clone());
        Box::pin(async move {
            let policy = context.require_policy()?;
            let Some(key_headers) =
                IdempotencyHeaders::parse(req.headers(), req.method(), &policy)?
            else {
                return inner.oneshot(req).await;
            };
            let group_deadline = Deadline::of(&req).min(Instant::now() + REPLICA_READY_TIMEOUT);
            let Some(group) = context.claim_group(policy.service, group_deadline).await else {
                let retry_at = default_retry_at();
                return Err(RequestError::NoMajority { retry_at });
            };
            let target = ClaimTarget {
                server: policy.server,
                group,
                key: key_headers.key,
                attempt: key_headers.attempt,
            };
            let (tx, rx) = oneshot::channel();
            let execution = KeyedExecution { context, target };
            tokio::spawn(async move {
                // Fails if the caller has disconnected and dropped the receiver.
                drop(tx.send(execution.run(inner, req).await));
            });
            rx.await.unwrap_or(Err(RequestError::OutcomeUnknown))
        })
    }
}

/// Key and attempt number from the headers of a request.
#[derive(Clone, Copy, Debug)]
struct IdempotencyHeaders {
    key: RequestKey,
    attempt: Attempt,
}

impl IdempotencyHeaders {
    /// Parses the headers. Returns `None` if the request has no key and needs none.
    fn parse(
        headers: &HeaderMap,
        method: &Method,
        policy: &Policy,
    ) -> Result<Option<Self>, RequestError> {
        let text = |name| {
            let value = headers.get(name);
            value.map(|v| String::from_utf8_lossy(v.as_bytes()).into_owned())
        };
        let Some(key) = text(headers::IDEMPOTENCY_KEY) else {
            if policy.profile.require_key {
                let method = method.clone();
                return Err(RequestError::KeyRequired { method });
            }
            return Ok(None);
        };
        let key: RequestKey = key.parse().context(KeySnafu)?;
        let attempt = match text(headers::ATTEMPT) {
            Some(text) => text.parse().context(KeySnafu)?,
            None => Attempt::FIRST,
        };
        match key.age(wall_clock(), policy.profile.retry_window) {
            KeyAge::Current => Ok(Some(Self { key, attempt })),
            KeyAge::Future => Err(RequestError::KeyInFuture),
            KeyAge::Expired => Err(RequestError::KeyExpired),
        }
    }
}

/// Execution of one keyed request.
struct KeyedExecution {
    context: Arc<RequestContext>,
    target: ClaimTarget,
}

impl KeyedExecution {
    async fn run<S>(self, inner: S, req: Request) -> Result<Response, RequestError>
    where
        S: Service<Request, Response = Response, Error = RequestError>,
    {
        let deadline = Deadline::of(&req);
        if deadline < Instant::now() + MIN_CLAIM_TIME {
            let retry_at = default_retry_at();
            let cause = RequestError::TooLate { retry_at };
            return self.result_of_seal(SealOutcome::NoMajority, cause);
        }
        let ready_deadline = Instant::now() + REPLICA_READY_TIMEOUT;
        let claim = self
            .context
            .claims
            .claim(&self.target, deadline, ready_deadline);
        let claimed = match claim.await {
            ClaimOutcome::Claimed(claimed) => claimed,
            ClaimOutcome::Ended(sealed) => {
                let retry_at = default_retry_at();
                return self.result_of_seal(sealed, RequestError::NoMajority { retry_at });
            }
        };
        if Instant::now() >= deadline {
            let sealed = self.context.claims.give_up(&self.target, claimed).await;
            let retry_at = default_retry_at();
            return self.result_of_seal(sealed, RequestError::TooLate { retry_at });
        }
        let running = claimed.dispatch();
        match inner.oneshot(req).await {
            Ok(response) => Ok(self.record(running, response)),
            Err(e) if e.verdict() == Verdict::NotRun => {
                let sealed = self.context.claims.not_written(&self.target, running).await;
                self.result_of_seal(sealed, e)
            }
            Err(e) => {
                self.context
                    .claims
                    .finish(&self.target, running, Outcome::Unknown);
                self.count_claim("unknown");
                Err(e)
            }
        }
    }

    /// Passes a response on and stores it at the claim replicas once it is complete.
    fn record(self, running: Running, response: Response) -> Response {
        self.count_claim("ran");
        let Self { context, target } = self;
        let (parts, body) = response.into_parts();
        let recorder = ResponseRecorder::new(&parts, body, move |outcome| {
            context.claims.finish(&target, running, outcome);
        });
        Response::from_parts(parts, recorder.into_body())
    }

    /// Returns the result for an attempt that was given up because of `cause`.
    fn result_of_seal(
        &self,
        sealed: SealOutcome,
        cause: RequestError,
    ) -> Result<Response, RequestError> {
        let retry_at = default_retry_at();
        match sealed {
            SealOutcome::NotRun { next } => {
                self.count_claim("not-run");
                let cause = Box::new(cause);
                Err(RequestError::Sealed { cause, next })
            }
            SealOutcome::Held => {
                self.count_claim("held");
                Err(RequestError::InProgress { retry_at })
            }
            SealOutcome::NoMajority => {
                self.count_claim("no-majority");
                let cause = Box::new(cause);
                Err(RequestError::NotSealed { cause })
            }
            SealOutcome::Done(outcome) => {
                self.count_claim("replayed");
                replay(outcome)
            }
        }
    }

    fn count_claim(&self, outcome: &str) {
        self.context
            .metrics
            .claims
            .with_label_values(&[outcome])
            .inc();
    }
}
