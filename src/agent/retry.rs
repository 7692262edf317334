//! Retries an idempotent request when the first attempt fails or is slow, within a retry budget.
//!
//! Only requests with a safe method and no body are retried. A hedge is started when the response head takes
//! longer than the latency objective of the profile; the first response head wins, and the other attempt is
//! cancelled. Each attempt has its own response, so the bytes of two attempts are never mixed.

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
    /// Holds the retry budget.
    pub context: Arc<RequestContext>,
}

impl<S> Layer<S> for RetryLayer {
    type Service = RetryService<S>;

    fn layer(&self, inner: S) -> Self::Service {
        RetryService {
            inner,
            context: Arc::clone(&self.context),
        }
    }
}

/// Service that retries and hedges idempotent requests.
#[derive(Clone, Debug)]
pub struct RetryService<S> {
    inner: S,
    context: Arc<RequestContext>,
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
        self.context.count_request();
        let is_single_attempt = !req.method().is_safe() || !req.body().is_end_stream();
        if is_single_attempt {
            return Box::pin(self.inner.call(req));
        }
        let (parts, body) = req.into_parts();
        let first = self.inner.call(Request::from_parts(parts.clone(), body));
        let (inner, context) = (self.inner.clone(), Arc::clone(&self.context));
        Box::pin(async move { run_with_hedge(first, inner, &context, parts).await })
    }
}

/// Returns whether another server may succeed where this one failed. Rejections for lack of capacity are not
/// retried.
const fn is_transient(error: &RequestError) -> bool {
    matches!(
        error,
        RequestError::Connect { .. } | RequestError::Backend { .. } | RequestError::Peer { .. }
    )
}

async fn run_with_hedge<S, F>(
    first: F,
    mut inner: S,
    context: &RequestContext,
    parts: Parts,
) -> Result<Response, RequestError>
where
    S: Service<Request, Response = Response, Error = RequestError, Future = F>,
    F: Future<Output = Result<Response, RequestError>> + Send + 'static,
{
    let mut first = Box::pin(first);
    let hedge_after = context.require_policy()?.profile.latency_objective;
    let first_error = tokio::select! {
        result = &mut first => match result {
            Ok(response) => return Ok(response),
            Err(e) if is_transient(&e) => Some(e),
            Err(e) => return Err(e),
        },
        () = sleep(hedge_after) => None,
    };
    if !context.take_retry() {
        return match first_error {
            Some(e) => Err(e),
            None => first.await,
        };
    }
    context.metrics.retries.inc();
    let mut retry_req = Request::from_parts(parts, empty());
    retry_req.extensions_mut().insert(PreferPeer);
    let second = inner.call(retry_req);
    if first_error.is_some() {
        return second.await;
    }
    let mut second = Box::pin(second);
    tokio::select! {
        result = &mut first => match result {
            Ok(response) => Ok(response),
            Err(_) => second.await,
        },
        result = &mut second => match result {
            Ok(response) => Ok(response),
            Err(_) => first.await,
        },
    }
}
