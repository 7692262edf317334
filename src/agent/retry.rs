//! Tries an idempotent request again where the first attempt failed, or is slow, within a budget.
//!
//! Only requests with a safe method and no body are tried again. A hedge is started when the head of the
//! answer is later than the profile's objective for latency; the first head wins, and the other attempt
//! is cancelled. Each attempt has an answer of its own, whose bytes never mix with those of another.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use http::request::Parts;
use http_body::Body as _;
use tokio::time::sleep;
use tower::{Layer, Service};

use super::dispatch::PreferPeer;
use super::path::RequestContext;
use super::request::{Request, RequestError, Response, empty};

/// Wraps a service in [`RetryService`].
#[derive(Clone, Debug)]
pub struct RetryLayer {
    /// Holds the budget.
    pub path: Arc<RequestContext>,
}

impl<S> Layer<S> for RetryLayer {
    type Service = RetryService<S>;

    fn layer(&self, inner: S) -> Self::Service {
        RetryService {
            inner,
            path: Arc::clone(&self.path),
        }
    }
}

/// Tries idempotent requests again.
#[derive(Clone, Debug)]
pub struct RetryService<S> {
    inner: S,
    path: Arc<RequestContext>,
}

impl<S> Service<Request> for RetryService<S>
where
    S: Service<Request, Response = Response, Error = RequestError> + Clone + Send + 'static,
    S::Future: Send + 'static,
{
    type Response = Response;
    type Error = RequestError;
    type Future = Pin<Box<dyn Future<Output = Result<Response, RequestError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: Request) -> Self::Future {
        self.path.count_request();
        let first_only = !req.method().is_safe() || !req.body().is_end_stream();
        if first_only {
            return Box::pin(self.inner.call(req));
        }
        let (parts, body) = req.into_parts();
        let first = self.inner.call(Request::from_parts(parts.clone(), body));
        let (inner, path) = (self.inner.clone(), Arc::clone(&self.path));
        Box::pin(async move { hedge(first, inner, &path, parts).await })
    }
}

/// Whether another server may do better. One that refuses for want of room is not asked twice.
const fn is_transient(error: &RequestError) -> bool {
    matches!(
        error,
        RequestError::Connect { .. } | RequestError::Backend { .. } | RequestError::Peer { .. }
    )
}

async fn hedge<S, F>(
    first: F,
    mut inner: S,
    path: &RequestContext,
    parts: Parts,
) -> Result<Response, RequestError>
where
    S: Service<Request, Response = Response, Error = RequestError, Future = F>,
    F: Future<Output = Result<Response, RequestError>> + Send + 'static,
{
    let mut first = Box::pin(first);
    let late = path.require_policy()?.profile.latency_objective;
    let failed = tokio::select! {
        answer = &mut first => match answer {
            Ok(response) => return Ok(response),
            Err(e) if is_transient(&e) => Some(e),
            Err(e) => return Err(e),
        },
        () = sleep(late) => None,
    };
    if !path.take_retry() {
        return match failed {
            Some(e) => Err(e),
            None => first.await,
        };
    }
    path.metrics.retries.inc();
    let mut again = Request::from_parts(parts, empty());
    again.extensions_mut().insert(PreferPeer);
    let second = inner.call(again);
    if failed.is_some() {
        return second.await;
    }
    let mut second = Box::pin(second);
    tokio::select! {
        answer = &mut first => match answer {
            Ok(response) => Ok(response),
            Err(_) => second.await,
        },
        answer = &mut second => match answer {
            Ok(response) => Ok(response),
            Err(_) => first.await,
        },
    }
}
