//! Hands a request off to a peer.
//!
//! The head goes first. The peer answers whether it has a place, and sends the request to its backend
//! server only when the first piece of the body, or its end, has come: until then the request can be
//! taken back, and has not run. From then on only the peer knows.

use bytes::Bytes;
use dogwoodrill_core::config::Priority;
use dogwoodrill_core::ids::{BackendServerId, ServiceId};
use dogwoodrill_core::verdict::Verdict;
use dogwoodrill_wire::proto::peers as wire;
use dogwoodrill_wire::proto::peers::peers_client::PeersClient;
use dogwoodrill_wire::proto::peers::request_frame::Body as RequestPart;
use dogwoodrill_wire::proto::peers::response_frame::Body as ResponsePart;
use futures_util::stream;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::sync::mpsc;
use tokio::time::{Duration, Instant, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

use crate::agent::channels::PeerChannels;
use crate::agent::request::{Body, RequestError, Response};
use crate::context::wall_clock;

/// Time in which a peer must say whether it takes a request.
const OFFER_TIMEOUT: Duration = Duration::from_millis(250);
/// Pieces of a body that may be under way.
const BACKLOG: usize = 16;

/// What is offered to a peer.
#[derive(Clone, Debug)]
pub struct OfferTerms {
    /// The service.
    pub service: ServiceId,
    /// Place in the queue.
    pub priority: Priority,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Whether the request may wait at the peer.
    pub may_wait: bool,
}

/// A request that a peer has a place for.
#[derive(Debug)]
pub struct AcceptedOffer {
    tx: mpsc::Sender<wire::RequestFrame>,
    rx: Streaming<wire::ResponseFrame>,
}

/// Offers a request; none if the peer does not take it, and then it has not run.
pub async fn offer(
    channels: &PeerChannels,
    peer: BackendServerId,
    terms: &OfferTerms,
    req: &Parts,
) -> Option<AcceptedOffer> {
    let offered = async {
        let (tx, rx) = mpsc::channel(BACKLOG);
        let head = wire::RequestFrame::new(RequestPart::Head(request_head(terms, req)));
        tx.send(head).await.ok()?;
        let channel = channels.connect(peer).await.ok()?;
        let responses = PeersClient::new(channel).run(ReceiverStream::new(rx)).await;
        let mut rx = responses.ok()?.into_inner();
        match rx.message().await.ok()??.body? {
            ResponsePart::Accepted(true) => Some(AcceptedOffer { tx, rx }),
            _ => None,
        }
    };
    timeout(OFFER_TIMEOUT, offered).await.ok().flatten()
}

impl AcceptedOffer {
    /// Sends the request, and returns when the head of the answer is there.
    pub async fn run(self, body: Body) -> Result<Response, RequestError> {
        let Self { tx, mut rx } = self;
        let sender = AbortOnDrop(tokio::spawn(send_body(tx, body)).abort_handle());
        let answer = rx.message().await;
        let answer = answer.ok().flatten().and_then(|frame| frame.body);
        match answer {
            Some(ResponsePart::Head(head)) => response_from(
                head,
                RemainingResponse {
                    rx,
                    _sender: sender,
                },
            ),
            Some(ResponsePart::Refusal(refusal)) => Err(refusal_error(refusal)),
            _ => Err(peer_lost()),
        }
    }
}

/// What is left of an answer. Dropping it cancels the request at the peer.
struct RemainingResponse {
    rx: Streaming<wire::ResponseFrame>,
    _sender: AbortOnDrop,
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn request_head(terms: &OfferTerms, req: &Parts) -> wire::RequestHead {
    let remaining = terms.deadline.saturating_duration_since(Instant::now());
    wire::RequestHead {
        service: terms.service.get().into(),
        method: req.method.to_string(),
        uri: req.uri.to_string(),
        headers: headers_to_wire(&req.headers),
        remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        deadline_ms: wall_clock().plus(remaining).get(),
        priority: wire::Priority::from(terms.priority).into(),
        may_wait: terms.may_wait,
    }
}

/// Sends the body. A body that breaks off is not ended, which the peer takes as broken off.
async fn send_body(tx: mpsc::Sender<wire::RequestFrame>, mut body: Body) {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return };
        if let Ok(data) = frame.into_data()
            && tx.send(wire::RequestFrame::data(&data)).await.is_err()
        {
            return;
        }
    }
    // A peer that is gone is seen on the answer.
    drop(
        tx.send(wire::RequestFrame::new(RequestPart::End(true)))
            .await,
    );
}

fn response_from(
    head: wire::ResponseHead,
    remaining: RemainingResponse,
) -> Result<Response, RequestError> {
    let frames = stream::unfold(Some(remaining), |remaining| async {
        let mut remaining = remaining?;
        let frame = remaining.rx.message().await;
        match frame.ok().flatten().and_then(|frame| frame.body) {
            Some(ResponsePart::Data(data)) => {
                Some((Ok(Frame::data(Bytes::from(data))), Some(remaining)))
            }
            Some(ResponsePart::End(true)) => None,
            _ => Some((Err(peer_lost()), None)),
        }
    });
    let status = u16::try_from(head.status).ok();
    let status = status.and_then(|s| StatusCode::from_u16(s).ok());
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status.ok_or_else(peer_lost)?;
    *response.headers_mut() = headers_from_wire(head.headers).ok_or_else(peer_lost)?;
    Ok(response)
}

fn refusal_error(refusal: wire::Refusal) -> RequestError {
    let verdict = if refusal.not_run {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    };
    let after = Duration::from_millis(refusal.retry_after_ms);
    RequestError::Peer {
        reason: refusal.reason,
        verdict,
        retry_at: (!after.is_zero()).then(|| Instant::now() + after),
    }
}

fn peer_lost() -> RequestError {
    RequestError::Peer {
        reason: "the peer was lost with the request in hand".to_owned(),
        verdict: Verdict::MayHaveRun,
        retry_at: None,
    }
}

/// Headers as they travel between peers.
pub fn headers_to_wire(headers: &HeaderMap) -> Vec<wire::PeerHeader> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| wire::PeerHeader {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(header).collect()
}

/// Headers as a peer sent them; none if one is malformed.
pub fn headers_from_wire(headers: Vec<wire::PeerHeader>) -> Option<HeaderMap> {
    let mut map = HeaderMap::new();
    for header in headers {
        let name: HeaderName = header.name.parse().ok()?;
        map.append(name, HeaderValue::from_bytes(&header.value).ok()?);
    }
    Some(map)
}
