//! Reads the requests of a flow, runs them through the service stack and writes the responses.
//!
//! Each request of a flow runs in its own task. If a response ends early, its stream is reset, so that the
//! caller cannot take a partial response for a complete one.

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

/// Runs one request of a flow and sends its response.
pub async fn serve_request(resolver: Resolver, context: Arc<RequestContext>, slo: SloContext) {
    let Ok((head, stream)) = resolver.resolve_request().await else {
        return;
    };
    let (mut tx, rx) = stream.split();
    let req = head.map(|()| request_body(rx));
    let response = run(req, context, &slo).await;
    if send_response(&mut tx, response).await.is_err() {
        tx.stop_stream(Code::H3_INTERNAL_ERROR);
    }
}

/// Runs one request through the service stack and counts it for the service-level objective.
pub async fn run(req: Request, context: Arc<RequestContext>, slo: &SloContext) -> Response {
    let stack = ServiceBuilder::new()
        .layer(slo.layer())
        .service(stack(&context));
    let result = stack.oneshot(req).await;
    result.unwrap_or_else(|e| error_response(&e, &context))
}

/// Runs one request through the service stack. An error becomes an error response.
pub async fn respond(req: Request, context: Arc<RequestContext>) -> Response {
    let result = stack(&context).oneshot(req).await;
    result.unwrap_or_else(|e| error_response(&e, &context))
}

type Stack = DeadlineService<IdempotencyService<RetryService<DispatchService>>>;

/// Builds the service stack for one request and counts the request.
fn stack(context: &Arc<RequestContext>) -> Stack {
    context.metrics.requests.inc();
    let context = || Arc::clone(context);
    ServiceBuilder::new()
        .layer(DeadlineLayer { context: context() })
        .layer(IdempotencyLayer { context: context() })
        .layer(RetryLayer { context: context() })
        .service(DispatchService { context: context() })
}

fn error_response(error: &RequestError, context: &RequestContext) -> Response {
    let (status, verdict) = (error.status(), error.verdict().to_string());
    let labels = [status.as_str(), &verdict];
    context.metrics.refusals.with_label_values(&labels).inc();
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
        // Whole seconds, rounded up: a retry that comes too early would be rejected again.
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

/// Sends a response. After an error the response is incomplete and its stream must be reset.
async fn send_response(
    tx: &mut RequestStream<SendStream<Bytes>, Bytes>,
    response: Response,
) -> Result<(), RequestError> {
    let (parts, mut body) = response.into_parts();
    let head = http::Response::from_parts(parts, ());
    tx.send_response(head).await.map_err(caller_error)?;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            tx.send_data(data).await.map_err(caller_error)?;
        }
    }
    tx.finish().await.map_err(caller_error)
}

const fn caller_error(source: h3::error::StreamError) -> RequestError {
    RequestError::Caller { source }
}
