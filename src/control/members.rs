//! The gRPC service for the other control hosts.

use std::fmt::Display;
use std::net::SocketAddr;

use dogwoodrill_consensus::store::file::ClusterId;
use dogwoodrill_consensus::{Envelope, Member};
use dogwoodrill_wire::proto::consensus as wire;
use dogwoodrill_wire::proto::consensus::consensus_server::{Consensus, ConsensusServer};
use dogwoodrill_wire::proto::consensus::join_response::Answer;
use dogwoodrill_wire::proto::consensus::leave_response::Answer as LeaveAnswer;
use tonic::{Request, Response, Status};

use super::handle::{DriverUnavailable, Handle, Input};
use crate::transport::{self, Role};

/// Maximum message size in bytes; the largest message contains a snapshot.
pub(super) const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Serves the other control hosts.
#[derive(Debug)]
pub(crate) struct ConsensusService {
    handle: Handle,
}

impl ConsensusService {
    pub(crate) fn server(handle: &Handle) -> ConsensusServer<Self> {
        let handle = handle.clone();
        ConsensusServer::new(Self { handle }).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }
}

fn unavailable(error: DriverUnavailable) -> Status {
    Status::unavailable(error.to_string())
}

fn malformed(error: impl Display) -> Status {
    Status::invalid_argument(format!("malformed request: {error}"))
}

#[tonic::async_trait]
impl Consensus for ConsensusService {
    async fn send(
        &self,
        request: Request<wire::Envelope>,
    ) -> Result<Response<wire::SendResponse>, Status> {
        transport::require_role(&request, Role::Control)?;
        let message = request.into_inner();
        let from: SocketAddr = message.from_address.parse().map_err(malformed)?;
        let cluster = ClusterId::new(message.cluster);
        let envelope = Envelope::try_from(message).map_err(malformed)?;
        let input = Input::Message {
            cluster,
            from,
            envelope,
        };
        self.handle.send(input).await.map_err(unavailable)?;
        Ok(Response::new(wire::SendResponse {}))
    }

    async fn identify(
        &self,
        request: Request<wire::IdentifyRequest>,
    ) -> Result<Response<wire::IdentifyResponse>, Status> {
        transport::require_role(&request, Role::Control)?;
        let own = self.handle.host_membership().await.map_err(unavailable)?;
        Ok(Response::new(wire::IdentifyResponse {
            node: own.identity.node.get(),
            host: own.identity.host.get(),
            cluster: own.identity.cluster.map_or(0, ClusterId::get),
            membership: Some((&own.membership).into()),
        }))
    }

    async fn join(
        &self,
        request: Request<wire::JoinRequest>,
    ) -> Result<Response<wire::JoinResponse>, Status> {
        transport::require_role(&request, Role::Control)?;
        let request = request.into_inner();
        let member = request.member.ok_or_else(|| malformed("no member"))?;
        let member = Member::try_from(member).map_err(malformed)?;
        let replaces = request.replaces_node;
        let replaces = (replaces != 0).then(|| replaces.into());
        let cluster = cluster_id(request.cluster);
        let joined = self.handle.join(member, cluster, replaces).await;
        let answer = match joined.map_err(unavailable)? {
            Ok(()) => Answer::TakenIn(true),
            Err(refusal) => Answer::Refusal(refusal.to_string()),
        };
        Ok(Response::new(wire::JoinResponse {
            answer: Some(answer),
        }))
    }

    async fn leave(
        &self,
        request: Request<wire::LeaveRequest>,
    ) -> Result<Response<wire::LeaveResponse>, Status> {
        transport::require_role(&request, Role::Control)?;
        let request = request.into_inner();
        let cluster = cluster_id(request.cluster);
        let left = self.handle.leave(request.member.into(), cluster).await;
        let answer = match left.map_err(unavailable)? {
            Ok(handover) => LeaveAnswer::Handover(wire::Handover::from(handover).into()),
            Err(refusal) => LeaveAnswer::Refusal(refusal.to_string()),
        };
        Ok(Response::new(wire::LeaveResponse {
            answer: Some(answer),
        }))
    }
}

/// Reads the number of a cluster in a message; 0 stands for none.
pub(super) fn cluster_id(number: u64) -> Option<ClusterId> {
    (number != 0).then(|| ClusterId::new(number))
}
