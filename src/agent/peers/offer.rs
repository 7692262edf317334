//! Hands a request off to a peer.
//!
//! The request head is sent first. The peer replies whether it accepts the request, and sends it to its
//! backend server only after the first part of the body, or its end, has arrived. Until then the request can
//! be withdrawn and has not run. After that, only the peer knows whether it has run.

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

/// Timeout for the peer's reply to an offer.
const OFFER_TIMEOUT: Duration = Duration::from_millis(250);
/// Capacity of the channel of body parts that wait to be sent.
const BACKLOG: usize = 16;

/// Properties of a request that are sent with an offer.
#[derive(Clone, Debug)]
pub struct OfferTerms {
    /// Service of the request.
    pub service: ServiceId,
    /// Priority in the admission queue.
    pub priority: Priority,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Whether the peer may queue the request.
    pub may_wait: bool,
}

/// A request that a peer has accepted but not yet run.
#[derive(Debug)]
pub struct AcceptedOffer {
    tx: mpsc::Sender<wire::RequestFrame>,
    rx: Streaming<wire::ResponseFrame>,
}

/// Offers a request to a peer. Returns `None` if the peer does not accept it; the request has then not run.
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
    /// Sends the request body and returns when the response head has arrived.
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

/// The response parts that follow the head. Dropping this cancels the request at the peer.
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

/// Sends the body. If the body fails, no end mark is sent, and the peer treats the body as incomplete.
async fn send_body(tx: mpsc::Sender<wire::RequestFrame>, mut body: Body) {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return };
        if let Ok(data) = frame.into_data()
            && tx.send(wire::RequestFrame::data(&data)).await.is_err()
        {
            return;
        }
    }
    // A lost connection to the peer is detected when the response is read.
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
        reason: "the connection to the peer was lost after the request was sent".to_owned(),
        verdict: Verdict::MayHaveRun,
        retry_at: None,
    }
}

/// Converts headers to the messages that are exchanged between peers.
pub fn headers_to_wire(headers: &HeaderMap) -> Vec<wire::PeerHeader> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| wire::PeerHeader {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(header).collect()
}

/// Converts headers received from a peer. Returns `None` if one is malformed.
pub fn headers_from_wire(headers: Vec<wire::PeerHeader>) -> Option<HeaderMap> {
    let mut map = HeaderMap::new();
    for header in headers {
        let name: HeaderName = header.name.parse().ok()?;
        map.append(name, HeaderValue::from_bytes(&header.value).ok()?);
    }
    Some(map)
}
