//! Outermost service of the stack: turns the caller's timeout into an absolute deadline and enforces it.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use derive_more::Into;
use http::HeaderMap;
use tokio::time::{Instant, timeout_at};
use tower::{Layer, Service};

use super::headers;
use super::path::RequestContext;
use super::request::{Request, RequestError, Response};

/// Upper bound for the timeout that a caller may request.
pub const MAX_TIMEOUT: Duration = Duration::from_hours(24);
/// Time after the deadline in which an inner service may still report the outcome of a keyed request.
const VERDICT_GRACE: Duration = Duration::from_secs(1);

/// Time at which the caller stops waiting, stored in the extensions of the request.
#[derive(Clone, Copy, Debug, Eq, Into, Ord, PartialEq, PartialOrd)]
pub struct Deadline(pub Instant);

impl Deadline {
    /// Returns the deadline of a request, or the current time if the request has none.
    pub fn of(req: &Request) -> Instant {
        let deadline = req.extensions().get::<Self>();
        deadline.map_or_else(Instant::now, |d| d.0)
    }
}

/// Wraps a service in [`DeadlineService`].
#[derive(Clone, Debug)]
pub struct DeadlineLayer {
    /// Provides the service's default timeout for requests without a timeout header.
    pub context: Arc<RequestContext>,
}

impl<S> Layer<S> for DeadlineLayer {
    type Service = DeadlineService<S>;

    fn layer(&self, inner: S) -> Self::Service {
        DeadlineService {
            inner,
            context: Arc::clone(&self.context),
        }
    }
}

/// Enforces the deadline for the response head; the body may stream for longer.
///
/// The inner services observe the deadline themselves, because only they know which verdict to report after
/// it. This service is the backstop.
#[derive(Clone, Debug)]
pub struct DeadlineService<S> {
    inner: S,
    context: Arc<RequestContext>,
}

impl<S> Service<Request> for DeadlineService<S>
where
    S: Service<Request, Response = Response, Error = RequestError>,
    S::Future: Send + 'static,
{
    type Response = Response;
    type Error = RequestError;
    type Future = Pin<Box<dyn Future<Output = Result<Response, RequestError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, mut req: Request) -> Self::Future {
        let allowed = match self.timeout_for(req.headers()) {
            Ok(allowed) => allowed.min(MAX_TIMEOUT),
            Err(e) => return Box::pin(async { Err(e) }),
        };
        let deadline = Instant::now() + allowed;
        req.extensions_mut().insert(Deadline(deadline));
        let response = self.inner.call(req);
        Box::pin(async move {
            timeout_at(deadline + VERDICT_GRACE, response)
                .await
                .unwrap_or(Err(RequestError::TimedOut))
        })
    }
}

impl<S> DeadlineService<S> {
    fn timeout_for(&self, headers: &HeaderMap) -> Result<Duration, RequestError> {
        if let Some(allowed) = caller_timeout(headers)? {
            return Ok(allowed);
        }
        Ok(self.context.require_policy()?.profile.request_timeout)
    }
}

fn caller_timeout(headers: &HeaderMap) -> Result<Option<Duration>, RequestError> {
    let Some(value) = headers.get(headers::TIMEOUT) else {
        return Ok(None);
    };
    let text = String::from_utf8_lossy(value.as_bytes());
    match text.trim().parse() {
        Ok(millis) => Ok(Some(Duration::from_millis(millis))),
        Err(_) => Err(RequestError::Header {
            name: headers::TIMEOUT,
            text: text.into_owned(),
            expected: "a whole number of milliseconds",
        }),
    }
}
