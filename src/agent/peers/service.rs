//! gRPC service between agents: load exchange, and requests taken over from peers.

use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::admission::Arrival;
use dogwoodrill_core::config::Priority;
use dogwoodrill_core::time::{CLOCK_MARGIN, UnixMillis};
use dogwoodrill_core::verdict::{HasVerdict, Verdict};
use dogwoodrill_wire::proto::peers as wire;
use dogwoodrill_wire::proto::peers::peers_server::{Peers, PeersServer};
use dogwoodrill_wire::proto::peers::request_frame::Body as RequestPart;
use dogwoodrill_wire::proto::peers::response_frame::Body as ResponsePart;
use futures_util::stream;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Status, Streaming};

use super::offer::{headers_from_wire, headers_to_wire};
use super::{local_load, record_peer_load, require_node};
use crate::agent::Agent;
use crate::agent::backend::BackendAdapter;
use crate::agent::deadline::{Deadline, MAX_TIMEOUT};
use crate::agent::gate::{GateDecision, Permit, QueueOutcome};
use crate::agent::path::{Policy, default_retry_at};
use crate::agent::request::{Body, Request, RequestError, Response};
use crate::agent::slot;
use crate::context::wall_clock;

/// Capacity of the channel of response parts that wait to be sent.
const BACKLOG: usize = 16;

/// Serves the requests of peer agents.
#[derive(Debug)]
pub struct PeerService {
    agent: Arc<Agent>,
}

impl PeerService {
    /// Creates the gRPC server of an agent.
    pub fn server(agent: &Arc<Agent>) -> PeersServer<Self> {
        let agent = Arc::clone(agent);
        PeersServer::new(Self { agent })
    }
}

type ResponseStream = ReceiverStream<Result<wire::ResponseFrame, Status>>;
type Sender = mpsc::Sender<Result<wire::ResponseFrame, Status>>;

#[tonic::async_trait]
impl Peers for PeerService {
    type RunStream = ResponseStream;

    async fn exchange(
        &self,
        request: tonic::Request<wire::Load>,
    ) -> Result<tonic::Response<wire::Load>, Status> {
        require_node(&request)?;
        let load = request.into_inner();
        let own = local_load(&self.agent)
            .ok_or_else(|| Status::unavailable("no backend server has announced itself"))?;
        let (service, local) = own;
        if load.service != u32::from(service.get()) {
            return Err(Status::failed_precondition(
                "this agent serves another service",
            ));
        }
        record_peer_load(&self.agent, load);
        Ok(tonic::Response::new(wire::Load::new(service, &local)))
    }

    async fn run(
        &self,
        request: tonic::Request<Streaming<wire::RequestFrame>>,
    ) -> Result<tonic::Response<Self::RunStream>, Status> {
        require_node(&request)?;
        let (tx, rx) = mpsc::channel(BACKLOG);
        let takeover = Takeover {
            agent: Arc::clone(&self.agent),
            tx: tx.clone(),
        };
        let parts = request.into_inner();
        tokio::spawn(async move {
            // A peer that disconnects cancels the request, even while no response data is being sent.
            tokio::select! {
                () = tx.closed() => {}
                () = takeover.run(parts) => {}
            }
        });
        Ok(tonic::Response::new(ReceiverStream::new(rx)))
    }
}

/// Execution of a request that a peer hands off to this agent.
struct Takeover {
    agent: Arc<Agent>,
    tx: Sender,
}

impl Takeover {
    async fn run(self, mut parts: Streaming<wire::RequestFrame>) {
        let result = match self.accept(&mut parts).await {
            Ok((permit, policy, deadline, req, first_part)) => {
                let body = request_body(first_part, parts);
                send_to_backend(permit, &policy, deadline, req.map(|()| body)).await
            }
            Err(e) => Err(e),
        };
        match result {
            Ok(response) => self.send_response(response).await,
            Err(e) => self.send_refusal(&e).await,
        }
    }

    /// Obtains a permit, reports the acceptance, and waits for the first part of the body, after which the
    /// peer can no longer withdraw the request.
    async fn accept(
        &self,
        parts: &mut Streaming<wire::RequestFrame>,
    ) -> Result<(Permit, Policy, Instant, http::Request<()>, RequestPart), RequestError> {
        let policy = self.agent.request_context.require_policy()?;
        let Some(RequestPart::Head(head)) = next_part(parts).await else {
            return Err(invalid_request("the request head is missing"));
        };
        if head.service != u32::from(policy.service.get()) {
            return Err(invalid_request("the peer serves another service"));
        }
        let retry_at = default_retry_at();
        let zone_in = self.agent.cluster.config().is_zone_in(&self.agent.cx.zone);
        if policy.draining || !zone_in {
            return Err(RequestError::Draining { retry_at });
        }
        let deadline = deadline(&head);
        let arrival = Arrival {
            priority: Priority::try_from(head.priority()).unwrap_or_default(),
            deadline: deadline.into_std(),
            may_wait: head.may_wait,
        };
        let req =
            parse_request(head).ok_or_else(|| invalid_request("the request head is malformed"))?;
        let permit = match self.agent.request_context.gate.admit(arrival) {
            GateDecision::Run(permit) => permit,
            GateDecision::Wait(mut queued) => match queued.outcome().await {
                QueueOutcome::Run(permit) => permit,
                QueueOutcome::Refused(refusal) => return Err(refusal.into()),
            },
            GateDecision::Refused(refusal) => return Err(refusal.into()),
            GateDecision::NoServer => return Err(RequestError::NoServer { retry_at }),
        };
        self.send(ResponsePart::Accepted(true)).await;
        let first_part = timeout_at(deadline, next_part(parts)).await;
        match first_part {
            Ok(Some(first_part @ (RequestPart::Data(_) | RequestPart::End(true)))) => {
                self.agent.request_context.metrics.taken_over.inc();
                Ok((permit, policy, deadline, req, first_part))
            }
            Ok(_) => Err(invalid_request("the request was withdrawn")),
            Err(_) => Err(RequestError::TooLate { retry_at }),
        }
    }

    async fn send_response(&self, response: Response) {
        let (parts, mut body) = response.into_parts();
        let head = wire::ResponseHead {
            status: parts.status.as_u16().into(),
            headers: headers_to_wire(&parts.headers),
        };
        self.send(ResponsePart::Head(head)).await;
        while let Some(frame) = body.frame().await {
            // The stream ends without an end mark, so that the peer resets the caller's stream.
            let Ok(frame) = frame else { return };
            if let Ok(data) = frame.into_data() {
                self.send(ResponsePart::Data(data.to_vec())).await;
            }
        }
        self.send(ResponsePart::End(true)).await;
    }

    async fn send_refusal(&self, error: &RequestError) {
        let after = error.retry_at();
        let after = after.map(|at| at.saturating_duration_since(Instant::now()));
        let after = after.unwrap_or_default().as_millis();
        let refusal = wire::Refusal {
            not_run: error.verdict() == Verdict::NotRun,
            reason: error.to_string(),
            retry_after_ms: u64::try_from(after).unwrap_or_default(),
        };
        self.send(ResponsePart::Refusal(refusal)).await;
    }

    /// Sends a part to the peer. Errors are ignored: a disconnected peer closes the channel, which cancels the
    /// request.
    async fn send(&self, body: ResponsePart) {
        drop(self.tx.send(Ok(wire::ResponseFrame::new(body))).await);
    }
}

async fn send_to_backend(
    permit: Permit,
    policy: &Policy,
    deadline: Instant,
    mut req: Request,
) -> Result<Response, RequestError> {
    req.extensions_mut().insert(Deadline(deadline));
    let adapter = BackendAdapter {
        address: policy.address,
    };
    let result = timeout_at(deadline, adapter.send(req)).await;
    let response = result.unwrap_or(Err(RequestError::TimedOut))?;
    Ok(slot::hold_slot(permit, response))
}

async fn next_part(parts: &mut Streaming<wire::RequestFrame>) -> Option<RequestPart> {
    parts.message().await.ok().flatten()?.body
}

/// Returns the deadline of a request: the earlier of its remaining time and its absolute deadline by the clock
/// of the first hop plus the clock margin, at most `MAX_TIMEOUT` from now.
fn deadline(head: &wire::RequestHead) -> Instant {
    let now = Instant::now();
    let by_clock = UnixMillis::new(head.deadline_ms).plus(CLOCK_MARGIN);
    let by_clock = by_clock.since(wall_clock());
    now + Duration::from_millis(head.remaining_ms)
        .min(by_clock)
        .min(MAX_TIMEOUT)
}

fn parse_request(head: wire::RequestHead) -> Option<http::Request<()>> {
    let mut req = http::Request::new(());
    *req.method_mut() = head.method.parse().ok()?;
    *req.uri_mut() = head.uri.parse().ok()?;
    *req.headers_mut() = headers_from_wire(head.headers)?;
    Some(req)
}

/// Returns the body of a request. If the parts end without an end mark, the body ends with an error.
fn request_body(first_part: RequestPart, parts: Streaming<wire::RequestFrame>) -> Body {
    let frames = stream::unfold(Some((Some(first_part), parts)), |state| async {
        let (first_part, mut parts) = state?;
        let part = match first_part {
            Some(first_part) => Some(first_part),
            None => next_part(&mut parts).await,
        };
        match part {
            Some(RequestPart::Data(data)) => {
                Some((Ok(Frame::data(data.into())), Some((None, parts))))
            }
            Some(RequestPart::End(true)) => None,
            _ => Some((Err(invalid_request("the request body ended early")), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

fn invalid_request(reason: &str) -> RequestError {
    RequestError::Peer {
        reason: reason.to_owned(),
        verdict: Verdict::NotRun,
        retry_at: None,
    }
}
