//! From a flow to its requests, and from each request to its answer.
//!
//! Every request of a flow runs in a task of its own through the stack of services. An answer that
//! breaks off resets its stream: the caller never takes a part for the whole.

use std::sync::Arc;

use bytes::{Buf, Bytes};
use dogwoodrill_core::verdict::HasVerdict;
use futures_util::stream;
use h3::error::Code;
use h3::server::RequestStream;
use h3_quinn::{RecvStream, SendStream};
use http::HeaderValue;
use http::header::RETRY_AFTER;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::time::Instant;
use tower::{ServiceBuilder, ServiceExt};

use super::deadline::{DeadlineLayer, DeadlineService};
use super::dispatch::DispatchService;
use super::flow::Resolver;
use super::headers;
use super::idempotency::{IdempotencyLayer, IdempotencyService};
use super::path::RequestContext;
use super::request::{Body, Request, RequestError, Response, full};
use super::retry::{RetryLayer, RetryService};
use super::slo::SloContext;

/// Runs one request and sends its answer.
pub async fn serve_request(resolver: Resolver, path: Arc<RequestContext>, slo: SloContext) {
    let Ok((head, stream)) = resolver.resolve_request().await else {
        return;
    };
    let (mut tx, rx) = stream.split();
    let req = head.map(|()| request_body(rx));
    let response = run(req, path, &slo).await;
    if send_response(&mut tx, response).await.is_err() {
        tx.stop_stream(Code::H3_INTERNAL_ERROR);
    }
}

/// Runs one request through the stack, and counts it for the service's objective.
pub async fn run(req: Request, path: Arc<RequestContext>, slo: &SloContext) -> Response {
    let stack = ServiceBuilder::new()
        .layer(slo.layer())
        .service(stack(&path));
    let answer = stack.oneshot(req).await;
    answer.unwrap_or_else(|e| refusal(&e, &path))
}

/// Runs one request through the stack; a request without an answer is answered by a refusal.
pub async fn respond(req: Request, path: Arc<RequestContext>) -> Response {
    let answer = stack(&path).oneshot(req).await;
    answer.unwrap_or_else(|e| refusal(&e, &path))
}

type Stack = DeadlineService<IdempotencyService<RetryService<DispatchService>>>;

/// The services that a request goes through.
fn stack(path: &Arc<RequestContext>) -> Stack {
    path.metrics.requests.inc();
    let path = || Arc::clone(path);
    ServiceBuilder::new()
        .layer(DeadlineLayer { path: path() })
        .layer(IdempotencyLayer { path: path() })
        .layer(RetryLayer { path: path() })
        .service(DispatchService { path: path() })
}

fn refusal(error: &RequestError, path: &RequestContext) -> Response {
    let (status, verdict) = (error.status(), error.verdict().to_string());
    let labels = [status.as_str(), &verdict];
    path.metrics.refusals.with_label_values(&labels).inc();
    let mut response = Response::new(full(format!("{error}\n")));
    *response.status_mut() = status;
    let verdict = HeaderValue::from_str(&verdict).expect("a verdict is a header value");
    response.headers_mut().insert(headers::VERDICT, verdict);
    if let Some(next) = error.next_attempt() {
        let next = HeaderValue::from(next.get());
        response.headers_mut().insert(headers::NEXT_ATTEMPT, next);
    }
    if let Some(at) = error.retry_at() {
        let after = at.saturating_duration_since(Instant::now());
        // Whole seconds, rounded up: coming back early would be refused again.
        let seconds = after.as_millis().div_ceil(1_000).max(1);
        let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}

fn request_body(rx: RequestStream<RecvStream, Bytes>) -> Body {
    let frames = stream::unfold(Some(rx), |rx| async {
        let mut rx = rx?;
        let next = match rx.recv_data().await {
            Ok(Some(mut data)) => Ok(Frame::data(data.copy_to_bytes(data.remaining()))),
            Ok(None) => return None,
            Err(source) => return Some((Err(RequestError::Caller { source }), None)),
        };
        Some((next, Some(rx)))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Sends an answer; an error means that it is not whole and its stream must be reset.
async fn send_response(
    tx: &mut RequestStream<SendStream<Bytes>, Bytes>,
    response: Response,
) -> Result<(), RequestError> {
    let (parts, mut body) = response.into_parts();
    let head = http::Response::from_parts(parts, ());
    tx.send_response(head).await.map_err(caller)?;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            tx.send_data(data).await.map_err(caller)?;
        }
    }
    tx.finish().await.map_err(caller)
}

const fn caller(source: h3::error::StreamError) -> RequestError {
    RequestError::Caller { source }
}
