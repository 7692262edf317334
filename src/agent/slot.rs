//! An answer of the backend server that holds a slot as long as it takes work.
//!
//! The slot is free when the answer is whole or dropped, or when it was silent for `RELEASE_AFTER`: then
//! it is one that stays open, such as a status query, and takes a connection of the server, not a slot.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;
use tokio::time::{Instant, Sleep, sleep};

use super::gate::Permit;
use super::request::{Body, RequestError, Response};

/// Silence after which an answer counts as one that stays open.
pub const RELEASE_AFTER: Duration = Duration::from_millis(100);

struct SlotBody {
    body: Body,
    permit: Option<Permit>,
    release_at: Pin<Box<Sleep>>,
}

/// Lets an answer hold the slot of its request.
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
