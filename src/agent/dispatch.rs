//! Sends a request to the backend server, or to a peer's, when there is a place for it.
//!
//! A request that must wait here is offered to a peer that has room; whoever has a place first gets
//! it. A server that is leaving hands every request off. A request with a safe method may have an
//! answer that stays open for long, so it is handed off within its availability zone only: the removal
//! of another zone must not cut it.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use dogwoodrill_core::admission::{Arrival, RefusalCause};
use dogwoodrill_core::handoff::{Need, Scope};
use http::Method;
use http::request::Parts;
use tokio::time::{Instant, timeout_at};
use tower::Service;

use super::backend::BackendAdapter;
use super::deadline::Deadline;
use super::gate::{GateDecision, Permit, QueueOutcome, QueuedRequest};
use super::path::{Policy, RequestContext, default_retry_at};
use super::peers::offer::{AcceptedOffer, OfferTerms, offer};
use super::request::{Request, RequestError, Response};
use super::slot;

/// Peers that are asked, one after the other, before a request is refused.
const MAX_OFFERS: usize = 2;

/// Asks that a request go to a peer if one takes it: an earlier attempt here failed or is slow.
#[derive(Clone, Copy, Debug)]
pub struct PreferPeer;

/// Sends requests of callers to a backend server.
#[derive(Clone, Debug)]
pub struct DispatchService {
    /// What the requests share.
    pub context: Arc<RequestContext>,
}

impl Service<Request> for DispatchService {
    type Response = Response;
    type Error = RequestError;
    type Future = Pin<Box<dyn Future<Output = Result<Response, RequestError>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request) -> Self::Future {
        let context = Arc::clone(&self.context);
        Box::pin(async move {
            let policy = context.require_policy()?;
            let dispatch = Dispatch {
                deadline: Deadline::of(&req),
                context: &context,
                policy,
            };
            let (head, body) = req.into_parts();
            let target = dispatch.find_target(&head).await?;
            dispatch.run(target, Request::from_parts(head, body)).await
        })
    }
}

/// One request on its way.
struct Dispatch<'a> {
    context: &'a RequestContext,
    policy: Policy,
    deadline: Instant,
}

/// Where a request runs.
enum DispatchTarget {
    Local(Permit),
    Peer(Box<AcceptedOffer>),
}

impl Dispatch<'_> {
    async fn find_target(&self, head: &Parts) -> Result<DispatchTarget, RequestError> {
        if self.policy.draining {
            let retry_at = default_retry_at();
            let accepted = self.offer(head, Need::Any).await;
            return accepted.ok_or(RequestError::Leaving { retry_at });
        }
        if head.extensions.get::<PreferPeer>().is_some()
            && let Some(target) = self.offer(head, Need::Room).await
        {
            return Ok(target);
        }
        let arrival = Arrival {
            priority: self.policy.profile.priority,
            deadline: self.deadline.into_std(),
            may_wait: true,
        };
        let retry_at = default_retry_at();
        match self.context.gate.admit(arrival) {
            GateDecision::Run(permit) => Ok(DispatchTarget::Local(permit)),
            GateDecision::Wait(queued) => self.wait_for_target(queued, head).await,
            GateDecision::NoServer => Err(RequestError::NoServer { retry_at }),
            GateDecision::Refused(refusal) => {
                let retry_at = Instant::from_std(refusal.retry_at);
                let accepted = self.offer(head, Need::Room).await;
                accepted.ok_or(match refusal.cause {
                    RefusalCause::QueueFull => RequestError::Busy { retry_at },
                    RefusalCause::TooLate => RequestError::TooLate,
                })
            }
        }
    }

    /// Waits for a turn here, and meanwhile for a peer with room.
    async fn wait_for_target(
        &self,
        mut queued: QueuedRequest,
        head: &Parts,
    ) -> Result<DispatchTarget, RequestError> {
        loop {
            // Made before the offer, so that room which appears during it is not missed.
            let capacity = self.context.peers.capacity_available();
            tokio::pin!(capacity);
            capacity.as_mut().enable();
            if let Some(target) = self.offer(head, Need::Room).await {
                return Ok(target);
            }
            tokio::select! {
                outcome = queued.outcome() => return match outcome {
                    QueueOutcome::Run(permit) => Ok(DispatchTarget::Local(permit)),
                    QueueOutcome::Expired => Err(RequestError::TooLate),
                },
                () = capacity => {}
            }
        }
    }

    async fn offer(&self, head: &Parts, need: Need) -> Option<DispatchTarget> {
        let scope = handoff_scope(&head.method);
        let terms = OfferTerms {
            service: self.policy.service,
            priority: self.policy.profile.priority,
            deadline: self.deadline,
            may_wait: need == Need::Any,
        };
        let (service, own) = (self.policy.service, self.policy.server);
        for _ in 0..MAX_OFFERS {
            let peer = self.context.peers.choose(service, own, scope, need)?;
            if let Some(accepted) = offer(&self.context.channels, peer, &terms, head).await {
                return Some(DispatchTarget::Peer(Box::new(accepted)));
            }
        }
        None
    }

    async fn run(&self, target: DispatchTarget, req: Request) -> Result<Response, RequestError> {
        if Instant::now() >= self.deadline {
            return Err(RequestError::TooLate);
        }
        let answer = async {
            match target {
                DispatchTarget::Local(permit) => {
                    let address = self.policy.address;
                    let response = BackendAdapter { address }.send(req).await?;
                    Ok(slot::hold_slot(permit, response))
                }
                DispatchTarget::Peer(accepted) => {
                    self.context.metrics.handed_off.inc();
                    accepted.run(req.into_body()).await
                }
            }
        };
        let answer = timeout_at(self.deadline, answer).await;
        answer.unwrap_or(Err(RequestError::TimedOut))
    }
}

/// How far a request may go, see the module.
fn handoff_scope(method: &Method) -> Scope {
    if method.is_safe() {
        Scope::Zone
    } else {
        Scope::Anywhere
    }
}
