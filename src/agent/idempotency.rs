//! Keyed requests: at most one run of an order, and the truth about what has not run.
//!
//! A request with an unsafe method and an `idempotency-key` is claimed before it goes on. What it comes
//! to is stored at the keepers with the answer ([`recording`]), so that a resend gets the same answer,
//! by whatever agent. An attempt that is given up before anything was sent is sealed: only then is the
//! caller told `not-run`.
//!
//! From its claim to its outcome a keyed request runs in a task of its own. A caller that goes away
//! leaves it to finish by its deadline, because the resend that will come should find an answer, and not
//! the doubt that a cancelled order leaves behind.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use dogwoodrill_core::claims::key::{Attempt, KeyAge, RequestKey};
use dogwoodrill_core::claims::message::Outcome;
use dogwoodrill_core::claims::run::{Running, Sealed};
use dogwoodrill_core::verdict::{HasVerdict, Verdict};
use http::{HeaderMap, Method};
use snafu::ResultExt;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tower::{Layer, Service, ServiceExt};

use self::recording::{Recorder, replay};
use super::claims::ask::{ClaimEnd, Order};
use super::deadline::Deadline;
use super::headers;
use super::path::{Policy, RequestContext, come_back};
use super::request::{KeySnafu, Request, RequestError, Response};
use crate::context::wall_clock;

pub mod recording;

pub use recording::MAX_OUTCOME_BYTES;

/// Least time that must be left for asking the keepers.
const MIN_CLAIM_TIME: Duration = Duration::from_millis(1);
/// Time for keepers that are not ready to become so; after it the caller is told to come back. A
/// committed group is in force everywhere within it.
const KEEPER_PATIENCE: Duration = Duration::from_secs(8);

/// Wraps a service in [`IdempotencyService`].
#[derive(Clone, Debug)]
pub struct IdempotencyLayer {
    /// What the requests share.
    pub path: Arc<RequestContext>,
}

impl<S> Layer<S> for IdempotencyLayer {
    type Service = IdempotencyService<S>;

    fn layer(&self, inner: S) -> Self::Service {
        IdempotencyService {
            inner,
            path: Arc::clone(&self.path),
        }
    }
}

/// Claims keyed requests before they go on.
#[derive(Clone, Debug)]
pub struct IdempotencyService<S> {
    inner: S,
    path: Arc<RequestContext>,
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
        let (path, inner) = (Arc::clone(&self.path), self.inner.clone());
        Box::pin(async move {
            let policy = path.require_policy()?;
            let Some(named) = Named::of(req.headers(), req.method(), &policy)? else {
                return inner.oneshot(req).await;
            };
            let until = Deadline::of(&req).min(Instant::now() + KEEPER_PATIENCE);
            let Some(group) = path.claim_group(policy.service, until).await else {
                let retry_at = come_back();
                return Err(RequestError::NoMajority { retry_at });
            };
            let order = Order {
                server: policy.server,
                group,
                key: named.key,
                attempt: named.attempt,
            };
            let (tx, rx) = oneshot::channel();
            let keyed = Keyed { path, order };
            tokio::spawn(async move {
                // Nobody listens where the caller has gone.
                drop(tx.send(keyed.run(inner, req).await));
            });
            rx.await.unwrap_or(Err(RequestError::OutcomeUnknown))
        })
    }
}

/// The names that a caller gave its order.
#[derive(Clone, Copy, Debug)]
struct Named {
    key: RequestKey,
    attempt: Attempt,
}

impl Named {
    /// Reads the names; none where the request needs no key and has none.
    fn of(
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

/// One keyed request.
struct Keyed {
    path: Arc<RequestContext>,
    order: Order,
}

impl Keyed {
    async fn run<S>(self, inner: S, req: Request) -> Result<Response, RequestError>
    where
        S: Service<Request, Response = Response, Error = RequestError>,
    {
        let deadline = Deadline::of(&req);
        if deadline < Instant::now() + MIN_CLAIM_TIME {
            return self.ended(Sealed::NoMajority, RequestError::TooLate);
        }
        let patience = Instant::now() + KEEPER_PATIENCE;
        let claim = self.path.claims.claim(&self.order, deadline, patience);
        let claimed = match claim.await {
            ClaimEnd::Claimed(claimed) => claimed,
            ClaimEnd::Ended(end) => {
                let retry_at = come_back();
                return self.ended(end, RequestError::NoMajority { retry_at });
            }
        };
        if Instant::now() >= deadline {
            let end = self.path.claims.give_up(&self.order, claimed).await;
            return self.ended(end, RequestError::TooLate);
        }
        let running = claimed.dispatch();
        match inner.oneshot(req).await {
            Ok(response) => Ok(self.record(running, response)),
            Err(e) if e.verdict() == Verdict::NotRun => {
                let end = self.path.claims.not_written(&self.order, running).await;
                self.ended(end, e)
            }
            Err(e) => {
                self.path
                    .claims
                    .finish(&self.order, running, Outcome::Unknown);
                self.count("unknown");
                Err(e)
            }
        }
    }

    /// Passes an answer on, and stores it at the keepers when it is whole.
    fn record(self, running: Running, response: Response) -> Response {
        self.count("ran");
        let Self { path, order } = self;
        let (parts, body) = response.into_parts();
        let recorder = Recorder::new(&parts, body, move |outcome| {
            path.claims.finish(&order, running, outcome);
        });
        Response::from_parts(parts, recorder.into_body())
    }

    /// What the caller is told of an attempt that was given up because of `cause`.
    fn ended(&self, end: Sealed, cause: RequestError) -> Result<Response, RequestError> {
        let retry_at = come_back();
        match end {
            Sealed::NotRun { next } => {
                self.count("not-run");
                let cause = Box::new(cause);
                Err(RequestError::Sealed { cause, next })
            }
            Sealed::Held => {
                self.count("held");
                Err(RequestError::InProgress { retry_at })
            }
            Sealed::NoMajority => {
                self.count("no-majority");
                let cause = Box::new(cause);
                Err(RequestError::NotSealed { cause })
            }
            Sealed::Done(outcome) => {
                self.count("replayed");
                replay(outcome)
            }
        }
    }

    fn count(&self, end: &str) {
        self.path.metrics.claims.with_label_values(&[end]).inc();
    }
}
