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
use dogwoodrill_core::handoff::{RequiredCapacity, Scope};
use http::Method;
use http::request::Parts;
use tokio::time::{Instant, timeout_at};
use tower::Service;

use super::backend::BackendAdapter;
use super::deadline::Deadline;
use super::gate::{Entry, Permit, Turn, Waiter};
use super::path::{Policy, RequestContext, come_back};
use super::peers::offer::{Accepted, Terms, offer};
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
    pub path: Arc<RequestContext>,
}

impl Service<Request> for DispatchService {
    type Response = Response;
    type Error = RequestError;
    type Future = Pin<Box<dyn Future<Output = Result<Response, RequestError>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request) -> Self::Future {
        let path = Arc::clone(&self.path);
        Box::pin(async move {
            let policy = path.require_policy()?;
            let dispatch = Dispatch {
                deadline: Deadline::of(&req),
                path: &path,
                policy,
            };
            let (head, body) = req.into_parts();
            let place = dispatch.find_place(&head).await?;
            dispatch.run(place, Request::from_parts(head, body)).await
        })
    }
}

/// One request on its way.
struct Dispatch<'a> {
    path: &'a RequestContext,
    policy: Policy,
    deadline: Instant,
}

/// Where a request runs.
enum Place {
    Here(Permit),
    Peer(Box<Accepted>),
}

impl Dispatch<'_> {
    async fn find_place(&self, head: &Parts) -> Result<Place, RequestError> {
        if self.policy.draining {
            let retry_at = come_back();
            let accepted = self.offer(head, RequiredCapacity::Any).await;
            return accepted.ok_or(RequestError::Leaving { retry_at });
        }
        if head.extensions.get::<PreferPeer>().is_some()
            && let Some(place) = self.offer(head, RequiredCapacity::FreeSlot).await
        {
            return Ok(place);
        }
        let arrival = Arrival {
            priority: self.policy.profile.priority,
            deadline: self.deadline.into_std(),
            may_wait: true,
        };
        let retry_at = come_back();
        match self.path.gate.arrive(arrival) {
            Entry::Run(permit) => Ok(Place::Here(permit)),
            Entry::Wait(waiter) => self.wait(waiter, head).await,
            Entry::NoServer => Err(RequestError::NoServer { retry_at }),
            Entry::Refused(refusal) => {
                let retry_at = Instant::from_std(refusal.retry_at);
                let accepted = self.offer(head, RequiredCapacity::FreeSlot).await;
                accepted.ok_or(match refusal.cause {
                    RefusalCause::QueueFull => RequestError::Busy { retry_at },
                    RefusalCause::TooLate => RequestError::TooLate,
                })
            }
        }
    }

    /// Waits for a turn here, and meanwhile for a peer with room.
    async fn wait(&self, mut waiter: Waiter, head: &Parts) -> Result<Place, RequestError> {
        loop {
            // Made before the offer, so that room which appears during it is not missed.
            let room = self.path.peers.room_appeared();
            tokio::pin!(room);
            room.as_mut().enable();
            if let Some(place) = self.offer(head, RequiredCapacity::FreeSlot).await {
                return Ok(place);
            }
            tokio::select! {
                turn = waiter.turn() => return match turn {
                    Turn::Run(permit) => Ok(Place::Here(permit)),
                    Turn::Expired => Err(RequestError::TooLate),
                },
                () = room => {}
            }
        }
    }

    async fn offer(&self, head: &Parts, need: RequiredCapacity) -> Option<Place> {
        let scope = scope(&head.method);
        let terms = Terms {
            service: self.policy.service,
            priority: self.policy.profile.priority,
            deadline: self.deadline,
            may_wait: need == RequiredCapacity::Any,
        };
        let (service, own) = (self.policy.service, self.policy.server);
        for _ in 0..MAX_OFFERS {
            let peer = self.path.peers.choose(service, own, scope, need)?;
            if let Some(accepted) = offer(&self.path.channels, peer, &terms, head).await {
                return Some(Place::Peer(Box::new(accepted)));
            }
        }
        None
    }

    async fn run(&self, place: Place, req: Request) -> Result<Response, RequestError> {
        if Instant::now() >= self.deadline {
            return Err(RequestError::TooLate);
        }
        let answer = async {
            match place {
                Place::Here(permit) => {
                    let address = self.policy.address;
                    let response = BackendAdapter { address }.send(req).await?;
                    Ok(slot::hold(permit, response))
                }
                Place::Peer(accepted) => {
                    self.path.metrics.handed_off.inc();
                    accepted.run(req.into_body()).await
                }
            }
        };
        let answer = timeout_at(self.deadline, answer).await;
        answer.unwrap_or(Err(RequestError::TimedOut))
    }
}

/// How far a request may go, see the module.
fn scope(method: &Method) -> Scope {
    if method.is_safe() {
        Scope::Zone
    } else {
        Scope::Anywhere
    }
}
