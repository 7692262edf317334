//! Counts the outcomes of requests and flows for service-level objectives: a layer around the service stack,
//! and a guard for each flow.
//!
//! A request is counted once: when its response is complete, when it has failed or when its caller has
//! cancelled it. The latency objective applies to the time until the response head, because the response to a
//! status query may intentionally stay open for hours. A flow counts as broken if it ended with a request in
//! progress and its caller did not close it.

use std::fmt;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use dogwoodrill_core::ids::ServiceId;
use dogwoodrill_core::slo::{MinuteRing, RequestEnd};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use quinn::ConnectionError;
use tower::{Layer, Service};

use super::request::{Body, Request, RequestError, Response};
use crate::cluster::Cluster;
use crate::context::wall_clock;

/// Per-minute counts of one agent, shared by its requests and flows.
pub struct SloRecorder {
    ring: Mutex<MinuteRing>,
}

impl fmt::Debug for SloRecorder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SloRecorder").finish_non_exhaustive()
    }
}

impl Default for SloRecorder {
    fn default() -> Self {
        Self {
            ring: Mutex::new(MinuteRing::new(wall_clock())),
        }
    }
}

impl SloRecorder {
    /// Locks and returns the per-minute counts.
    pub fn ring(&self) -> MutexGuard<'_, MinuteRing> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Where and by which objective the requests and flows of a service are counted.
#[derive(Clone, Debug)]
pub struct SloContext {
    /// Receives the outcomes.
    pub recorder: Arc<SloRecorder>,
    /// Provides the current profile of the service.
    pub cluster: Arc<Cluster>,
    /// Service of the agent.
    pub service: ServiceId,
}

impl SloContext {
    /// Returns the layer for a request that starts now.
    pub fn layer(&self) -> SloLayer {
        let config = self.cluster.config();
        let profile = config.profile_of(self.service);
        SloLayer {
            recorder: Arc::clone(&self.recorder),
            objective: profile.map_or(Duration::MAX, |p| p.latency_objective),
        }
    }

    /// Returns the guard of a flow that starts now.
    pub fn flow(&self, connection: quinn::Connection) -> FlowGuard {
        FlowGuard::new(Arc::clone(&self.recorder), connection)
    }
}

/// Wraps the service stack in a [`SloService`] for one request.
#[derive(Clone, Debug)]
pub struct SloLayer {
    /// Receives the outcome of the request.
    pub recorder: Arc<SloRecorder>,
    /// Time within which the response head must arrive for the request to count as good.
    pub objective: Duration,
}

impl<S> Layer<S> for SloLayer {
    type Service = SloService<S>;

    fn layer(&self, inner: S) -> SloService<S> {
        SloService {
            inner,
            layer: self.clone(),
        }
    }
}

/// Service that counts the outcomes of the requests to its inner service.
#[derive(Clone, Debug)]
pub struct SloService<S> {
    inner: S,
    layer: SloLayer,
}

impl<S> Service<Request> for SloService<S>
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

    fn call(&mut self, req: Request) -> Self::Future {
        let progress = RequestProgress::new(self.layer.clone());
        let result = self.inner.call(req);
        Box::pin(async move { track_response(progress, result.await) })
    }
}

fn track_response(
    mut progress: RequestProgress,
    result: Result<Response, RequestError>,
) -> Result<Response, RequestError> {
    match result {
        Ok(response) => {
            progress.on_head(response.status().is_server_error());
            Ok(response.map(|body| MeasuredBody { body, progress }.boxed_unsync()))
        }
        Err(e) => {
            progress.on_error(&e);
            Err(e)
        }
    }
}

/// A request in progress. It counts as cancelled unless it has completed or failed before it is dropped.
struct RequestProgress {
    layer: SloLayer,
    started_at: Instant,
    end: RequestEnd,
    is_complete: bool,
}

impl RequestProgress {
    fn new(layer: SloLayer) -> Self {
        Self {
            layer,
            started_at: Instant::now(),
            end: RequestEnd::Cancelled,
            is_complete: false,
        }
    }

    fn on_head(&mut self, failed: bool) {
        self.end = if failed {
            RequestEnd::Failed
        } else {
            RequestEnd::Answered(self.started_at.elapsed())
        };
    }

    const fn on_complete(&mut self) {
        self.is_complete = true;
    }

    fn on_error(&mut self, error: &RequestError) {
        self.is_complete = true;
        self.end = match error {
            RequestError::Caller { .. } => RequestEnd::Cancelled,
            _ => RequestEnd::Failed,
        };
    }
}

impl Drop for RequestProgress {
    fn drop(&mut self) {
        let end = if self.is_complete || self.end == RequestEnd::Failed {
            self.end
        } else {
            RequestEnd::Cancelled
        };
        let busy = self.started_at.elapsed();
        let mut ring = self.layer.recorder.ring();
        ring.on_request(wall_clock(), end, busy, self.layer.objective);
    }
}

/// A response body that records how it ends.
struct MeasuredBody {
    body: Body,
    progress: RequestProgress,
}

impl HttpBody for MeasuredBody {
    type Data = Bytes;
    type Error = RequestError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RequestError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.progress.on_complete(),
            Poll::Ready(Some(Err(e))) => self.progress.on_error(e),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Guard held by each request that is in progress on a flow.
#[derive(Clone, Debug)]
pub struct RequestGuard(#[expect(dead_code, reason = "only the number of holders counts")] Arc<()>);

/// Guard of one flow. On drop, the flow is counted as broken if it ended with requests in progress and its
/// caller did not close it.
pub struct FlowGuard {
    recorder: Arc<SloRecorder>,
    connection: quinn::Connection,
    requests: Arc<()>,
}

impl fmt::Debug for FlowGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FlowGuard").finish_non_exhaustive()
    }
}

impl FlowGuard {
    /// Counts a newly opened flow and returns its guard.
    pub fn new(recorder: Arc<SloRecorder>, connection: quinn::Connection) -> Self {
        recorder.ring().on_flow_opened(wall_clock());
        Self {
            recorder,
            connection,
            requests: Arc::new(()),
        }
    }

    /// Returns a guard that the request must hold while it is in progress.
    pub fn start_request(&self) -> RequestGuard {
        RequestGuard(Arc::clone(&self.requests))
    }
}

impl Drop for FlowGuard {
    fn drop(&mut self) {
        let in_progress = Arc::strong_count(&self.requests) > 1;
        let reason = self.connection.close_reason();
        if in_progress && reason.is_some_and(|r| !is_closed_by_caller(&r)) {
            self.recorder.ring().on_flow_broken(wall_clock());
        }
    }
}

const fn is_closed_by_caller(reason: &ConnectionError) -> bool {
    matches!(
        reason,
        ConnectionError::ApplicationClosed(_) | ConnectionError::ConnectionClosed(_)
    )
}
