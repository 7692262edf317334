//! A response body that holds a slot of the backend server while the server works on it.
//!
//! The slot is freed when the response is complete or dropped, or when no data has arrived for
//! `RELEASE_AFTER`. Such a response is long-lived, for instance a status query: it occupies a connection of
//! the server but no slot.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;
use tokio::time::{Instant, Sleep, sleep};

use super::gate::Permit;
use super::request::{Body, RequestError, Response};

/// Time without data after which a response counts as long-lived and its slot is freed.
pub const RELEASE_AFTER: Duration = Duration::from_millis(100);

struct SlotBody {
    body: Body,
    permit: Option<Permit>,
    release_at: Pin<Box<Sleep>>,
}

/// Returns `response` with a body that holds the slot of its request.
pub fn hold_slot(mut permit: Permit, response: Response) -> Response {
    permit.on_response_head();
    response.map(|body| {
        let slot_body = SlotBody {
            permit: (!http_body::Body::is_end_stream(&body)).then_some(permit),
            body,
            release_at: Box::pin(sleep(RELEASE_AFTER)),
        };
        slot_body.boxed_unsync()
    })
}

impl http_body::Body for SlotBody {
    type Data = Bytes;
    type Error = RequestError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RequestError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        match &frame {
            Poll::Ready(Some(Ok(_))) if !self.body.is_end_stream() => {
                let release_at = Instant::now() + RELEASE_AFTER;
                self.release_at.as_mut().reset(release_at);
            }
            Poll::Ready(_) => self.permit = None,
            Poll::Pending => {
                let is_holding = self.permit.is_some();
                if is_holding && self.release_at.as_mut().poll(cx).is_ready() {
                    self.permit = None;
                }
            }
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}
