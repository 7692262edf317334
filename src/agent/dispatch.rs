//! Sends a request to the local backend server, or hands it off to a peer, when there is capacity for it.
//!
//! A request that is queued here is also offered to peers with free capacity; the first server to accept it
//! runs it. A draining server hands off every request. The response to a request with a safe method may be
//! long-lived, so such a request is handed off only within its availability zone: otherwise the removal of
//! another zone would reset it.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use dogwoodrill_core::admission::Arrival;
use dogwoodrill_core::handoff::{RequiredCapacity, Scope};
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

/// Maximum number of peers to which a request is offered, one after the other.
const MAX_OFFERS: usize = 2;

/// Request extension: try a peer before the local server, because an earlier attempt here failed or is slow.
#[derive(Clone, Copy, Debug)]
pub struct PreferPeer;

/// Service that sends requests of callers to a backend server.
#[derive(Clone, Debug)]
pub struct DispatchService {
    /// State shared by the requests of the agent.
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

/// Dispatch of one request.
struct Dispatch<'a> {
    context: &'a RequestContext,
    policy: Policy,
    deadline: Instant,
}

/// Where a request runs: at the local server, or at a peer that has accepted it.
enum DispatchTarget {
    Local(Permit),
    Peer(Box<AcceptedOffer>),
}

impl Dispatch<'_> {
    async fn find_target(&self, head: &Parts) -> Result<DispatchTarget, RequestError> {
        if self.policy.draining {
            let retry_at = default_retry_at();
            let accepted = self.offer(head, RequiredCapacity::Any).await;
            return accepted.ok_or(RequestError::Draining { retry_at });
        }
        if head.extensions.get::<PreferPeer>().is_some()
            && let Some(target) = self.offer(head, RequiredCapacity::FreeSlot).await
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
                let accepted = self.offer(head, RequiredCapacity::FreeSlot).await;
                accepted.ok_or(refusal.into())
            }
        }
    }

    /// Waits in the local admission queue, and at the same time for a peer with free capacity.
    async fn wait_for_target(
        &self,
        mut queued: QueuedRequest,
        head: &Parts,
    ) -> Result<DispatchTarget, RequestError> {
        loop {
            // Registered before the offer, so that capacity reported during the offer is not missed.
            let capacity = self.context.peers.capacity_available();
            tokio::pin!(capacity);
            capacity.as_mut().enable();
            if let Some(target) = self.offer(head, RequiredCapacity::FreeSlot).await {
                return Ok(target);
            }
            tokio::select! {
                outcome = queued.outcome() => return match outcome {
                    QueueOutcome::Run(permit) => Ok(DispatchTarget::Local(permit)),
                    QueueOutcome::Refused(refusal) => Err(refusal.into()),
                },
                () = capacity => {}
            }
        }
    }

    async fn offer(&self, head: &Parts, required: RequiredCapacity) -> Option<DispatchTarget> {
        let scope = handoff_scope(&head.method);
        let terms = OfferTerms {
            service: self.policy.service,
            priority: self.policy.profile.priority,
            deadline: self.deadline,
            may_wait: required == RequiredCapacity::Any,
        };
        let (service, own) = (self.policy.service, self.policy.server);
        for _ in 0..MAX_OFFERS {
            let peer = self.context.peers.choose(service, own, scope, required)?;
            if let Some(accepted) = offer(&self.context.channels, peer, &terms, head).await {
                return Some(DispatchTarget::Peer(Box::new(accepted)));
            }
        }
        None
    }

    async fn run(&self, target: DispatchTarget, req: Request) -> Result<Response, RequestError> {
        if Instant::now() >= self.deadline {
            let retry_at = default_retry_at();
            return Err(RequestError::TooLate { retry_at });
        }
        let result = async {
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
        let result = timeout_at(self.deadline, result).await;
        result.unwrap_or(Err(RequestError::TimedOut))
    }
}

/// Returns how far a request may be handed off, see the module documentation.
fn handoff_scope(method: &Method) -> Scope {
    if method.is_safe() {
        Scope::Zone
    } else {
        Scope::Anywhere
    }
}
