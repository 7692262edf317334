//! How a control host gives up its place in the cluster before the process ends.
//!
//! A host that is told to stop may only restart, or be removed for good after a successor has started; it cannot tell
//! which. While another host waits for a place, it keeps running until that one has its own, because until then the loss of
//! another disk could lose what was accepted. If it only restarts, it waits for a place itself (`control/joiner.rs`).

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use dogwoodrill_consensus::Handover;
use dogwoodrill_consensus::store::file::{ClusterId, Identity};
use dogwoodrill_wire::proto::consensus as wire;
use dogwoodrill_wire::proto::consensus::consensus_client::ConsensusClient;
use dogwoodrill_wire::proto::consensus::leave_response::Answer;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tonic::Code;

use crate::context::Cx;
use crate::control::handle::{Handle, HostMembership};
use crate::transport;

/// Interval between two requests to the leader.
const LEAVE_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a round of requests while a host is known to wait for a place.
const ROUND_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a round if no host is known to wait. The leader may know of one that this host has not heard from.
const UNCERTAIN_ROUND_TIMEOUT: Duration = Duration::from_millis(100);

/// Why a host that was told to stop ends.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
enum Departure {
    #[display("another host has its place")]
    HandedOver,
    #[display("no host waits for its place")]
    NoSuccessor,
    #[display("it has no place in a cluster")]
    NoMember,
    #[display("the leader runs a version that hands no place over")]
    Unsupported,
    #[display("its place could not be handed over in time")]
    TimedOut,
}

/// Answer of another control host.
enum LeaveAnswer {
    Handover(Handover),
    /// The host is the leader, but does not know the request.
    Unsupported,
}

/// Result of a round of requests.
enum Round {
    End(Departure),
    /// Another host is taking the place.
    Taken,
    /// No leader has answered, though a host waits.
    Undecided,
}

/// Hands the place of a host over when the host is told to stop.
#[derive(Debug)]
pub(super) struct Leaver {
    pub(super) cx: Cx,
    pub(super) handle: Handle,
    /// Whether a host is known to wait for a place.
    pub(super) successor_waits: watch::Receiver<bool>,
    /// Time until the process is killed.
    pub(super) stop_grace: Duration,
}

impl Leaver {
    /// Returns once the process may end: at once if no host waits for a place, and in any case before it is killed.
    pub(super) async fn hand_over(&self) {
        let began_at = Instant::now();
        // The rest of the time is for the end of the process.
        let deadline = began_at + self.stop_grace / 4 * 3;
        let departure = timeout_at(deadline, self.leave()).await;
        let departure = departure.unwrap_or(Departure::TimedOut);
        let elapsed = began_at.elapsed().as_millis();
        log::info!("this control host ends after {elapsed} ms: {departure}");
    }

    async fn leave(&self) -> Departure {
        let mut is_taken = false;
        loop {
            let successor_waits = is_taken || *self.successor_waits.borrow();
            let round_timeout = if successor_waits {
                ROUND_TIMEOUT
            } else {
                UNCERTAIN_ROUND_TIMEOUT
            };
            match timeout(round_timeout, self.round(is_taken)).await {
                Ok(Round::End(departure)) => return departure,
                Ok(Round::Taken) => is_taken = true,
                Ok(Round::Undecided) => {}
                Err(_) if successor_waits => {}
                Err(_) => return Departure::NoSuccessor,
            }
            sleep(LEAVE_INTERVAL).await;
        }
    }

    /// Asks the leader once. `is_taken` is whether it has answered before that another host takes the place.
    async fn round(&self, is_taken: bool) -> Round {
        let Ok(own) = self.handle.host_membership().await else {
            return Round::Undecided;
        };
        let Identity { host, cluster, .. } = own.identity;
        // A leader that removes itself is no voter any more before its removal is committed.
        let is_voter = is_taken || own.membership.is_voter(host);
        let Some(cluster) = cluster.filter(|_| is_voter) else {
            return Round::End(Departure::NoMember);
        };
        let answer = match self.request_leave(&own, cluster).await {
            Some(LeaveAnswer::Unsupported) => return Round::End(Departure::Unsupported),
            Some(LeaveAnswer::Handover(Handover::Complete)) => {
                return Round::End(Departure::HandedOver);
            }
            Some(LeaveAnswer::Handover(Handover::InProgress)) => return Round::Taken,
            Some(LeaveAnswer::Handover(Handover::NoSuccessor)) => Some(Handover::NoSuccessor),
            None => None,
        };
        match self.handle.may_stop(answer).await {
            Ok(true) if answer.is_some() || !is_taken => Round::End(Departure::NoSuccessor),
            _ => Round::Undecided,
        }
    }

    /// Asks this host and all other members, because any of them may lead, and returns the answer of the leader.
    async fn request_leave(&self, own: &HostMembership, cluster: ClusterId) -> Option<LeaveAnswer> {
        let host = own.identity.host;
        if let Ok(Ok(handover)) = self.handle.leave(host, Some(cluster)).await {
            return Some(LeaveAnswer::Handover(handover));
        }
        let request = wire::LeaveRequest {
            member: host.get(),
            cluster: cluster.get(),
        };
        let others = own.membership.members().iter().filter(|m| m.id != host);
        let requests = others.map(|m| {
            let leads = own.leader == Some(m.id);
            self.request_leave_at(m.address, request, leads)
        });
        let mut answers: FuturesUnordered<_> = requests.collect();
        while let Some(answer) = answers.next().await {
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    async fn request_leave_at(
        &self,
        address: SocketAddr,
        request: wire::LeaveRequest,
        leads: bool,
    ) -> Option<LeaveAnswer> {
        let channel = transport::connect(&self.cx, address).await.ok()?;
        let response = match ConsensusClient::new(channel).leave(request).await {
            Ok(response) => response.into_inner(),
            Err(status) if leads && status.code() == Code::Unimplemented => {
                return Some(LeaveAnswer::Unsupported);
            }
            Err(_) => return None,
        };
        match response.answer? {
            Answer::Handover(handover) => {
                let handover = wire::Handover::try_from(handover).ok()?.try_into().ok()?;
                Some(LeaveAnswer::Handover(handover))
            }
            Answer::Refusal(_) => None,
        }
    }
}
