//! Records the responses to keyed requests while they are sent, and replays them for resends.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dogwoodrill_core::claims::message::{Outcome, StoredAnswer, StoredHeader};
use http::response::Parts;
use http::{HeaderName, HeaderValue, StatusCode};
use http_body::Frame;
use http_body_util::BodyExt;
use tokio::runtime::Handle;
use tokio::time::timeout;

use crate::agent::headers;
use crate::agent::request::{Body, RequestError, Response, empty, full};

/// Maximum size of a response that is stored for resends, including its headers.
pub const MAX_OUTCOME_BYTES: usize = 64 * 1024;

/// Timeout for reading the remainder of a response after its caller has disconnected.
const REMAINDER_TIMEOUT: Duration = Duration::from_secs(10);

type Finish = Box<dyn FnOnce(Outcome) + Send>;

/// A response body that is recorded while it is read. The outcome of the request is reported exactly once:
/// when the body is complete, fails or is dropped. A response that exceeds the size limit is not stored.
pub(super) struct ResponseRecorder {
    body: Body,
    recorded: Option<RecordedResponse>,
    finish: Option<Finish>,
    status: u16,
    /// Whether the caller has disconnected and this reads only the remainder of the body.
    is_detached: bool,
}

/// The part of a response that has been recorded so far.
struct RecordedResponse {
    headers: Vec<StoredHeader>,
    body: BytesMut,
    remaining_bytes: usize,
}

impl ResponseRecorder {
    pub(super) fn new(
        parts: &Parts,
        body: Body,
        finish: impl FnOnce(Outcome) + Send + 'static,
    ) -> Self {
        Self {
            body,
            recorded: RecordedResponse::new(parts),
            finish: Some(Box::new(finish)),
            status: parts.status.as_u16(),
            is_detached: false,
        }
    }

    pub(super) fn into_body(self) -> Body {
        self.boxed_unsync()
    }

    fn record(&mut self, data: &Bytes) {
        let fits = self.recorded.as_mut().is_some_and(|k| k.append(data));
        if !fits {
            self.recorded = None;
        }
    }

    /// Returns the outcome of a request whose response was complete.
    fn complete_outcome(&mut self) -> Outcome {
        let status = self.status;
        match self.recorded.take() {
            Some(recorded) => Outcome::Answer(Arc::new(StoredAnswer {
                status,
                headers: recorded.headers,
                body: recorded.body.freeze(),
            })),
            None => Outcome::NotKept { status },
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        if let Some(finish) = self.finish.take() {
            finish(outcome);
        }
    }
}

impl RecordedResponse {
    fn new(parts: &Parts) -> Option<Self> {
        let header = |(name, value): (&HeaderName, &HeaderValue)| StoredHeader {
            name: name.to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        };
        let headers: Vec<_> = parts.headers.iter().map(header).collect();
        let used: usize = headers.iter().map(|h| h.name.len() + h.value.len()).sum();
        Some(Self {
            headers,
            body: BytesMut::new(),
            remaining_bytes: MAX_OUTCOME_BYTES.checked_sub(used)?,
        })
    }

    /// Appends `data` and returns whether it fit within the size limit.
    fn append(&mut self, data: &Bytes) -> bool {
        let Some(remaining_bytes) = self.remaining_bytes.checked_sub(data.len()) else {
            return false;
        };
        self.remaining_bytes = remaining_bytes;
        self.body.extend_from_slice(data);
        true
    }
}

impl http_body::Body for ResponseRecorder {
    type Data = Bytes;
    type Error = RequestError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RequestError>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.record(data);
                }
                if self.body.is_end_stream() {
                    let outcome = self.complete_outcome();
                    self.finish(outcome);
                }
            }
            None => {
                let outcome = self.complete_outcome();
                self.finish(outcome);
            }
            Some(Err(_)) => self.finish(Outcome::Unknown),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream() && self.finish.is_none()
    }
}

impl Drop for ResponseRecorder {
    fn drop(&mut self) {
        let Some(finish) = self.finish.take() else {
            return;
        };
        let status = self.status;
        let Some(recorded) = self.recorded.take().filter(|_| !self.is_detached) else {
            // The response head had arrived, so the request ran.
            return finish(Outcome::NotKept { status });
        };
        let remainder = Self {
            body: std::mem::replace(&mut self.body, empty()),
            recorded: Some(recorded),
            finish: Some(finish),
            status,
            is_detached: true,
        };
        // The caller has disconnected, but its resend should find the complete response.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(timeout(REMAINDER_TIMEOUT, remainder.collect()));
        }
    }
}

/// Returns the response to a resend, or the error to report if the response was not stored.
pub(super) fn replay(outcome: Outcome) -> Result<Response, RequestError> {
    let answer = match outcome {
        Outcome::Answer(answer) => answer,
        Outcome::NotKept { status } => return Err(RequestError::NotKept { status }),
        Outcome::Unknown => return Err(RequestError::OutcomeUnknown),
    };
    let mut response = Response::new(full(answer.body.clone()));
    let status = StatusCode::from_u16(answer.status).ok();
    *response.status_mut() = status.ok_or(RequestError::OutcomeUnknown)?;
    for header in &answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    let replayed = HeaderValue::from_static("true");
    response.headers_mut().insert(headers::REPLAYED, replayed);
    Ok(response)
}
