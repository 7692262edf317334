//! gRPC service of the claim replicas.

use dogwoodrill_core::claims::message::{ClaimRequest, CopyRequest};
use dogwoodrill_core::ids::{Epoch, ServiceId};
use dogwoodrill_wire::convert::claims::copy_to_pages;
use dogwoodrill_wire::proto::claims as wire;
use dogwoodrill_wire::proto::claims::claims_server::{Claims, ClaimsServer};
use tokio_stream::Iter;
use tonic::{Request, Response, Status};

use super::ClaimReplicas;
use crate::agent::peers::require_node;

/// Claims per page of a copy. An outcome has at most [`crate::agent::idempotency::MAX_OUTCOME_BYTES`], so
/// a page stays below the size limit of a gRPC message.
const PAGE_CLAIMS: usize = 32;

/// Serves the claim requests and copy requests of other agents.
#[derive(Debug)]
pub struct ClaimReplicaService {
    claim_replicas: ClaimReplicas,
}

impl ClaimReplicaService {
    /// Creates the gRPC server for the claim replicas of an agent.
    pub fn server(claim_replicas: &ClaimReplicas) -> ClaimsServer<Self> {
        let claim_replicas = claim_replicas.clone();
        ClaimsServer::new(Self { claim_replicas })
    }
}

type Pages = Iter<std::vec::IntoIter<Result<wire::CopyPage, Status>>>;

#[tonic::async_trait]
impl Claims for ClaimReplicaService {
    type CopyStream = Pages;

    async fn ask(
        &self,
        request: Request<wire::ClaimRequest>,
    ) -> Result<Response<wire::ClaimReply>, Status> {
        require_node(&request)?;
        let request = request.into_inner();
        let service = service(request.service)?;
        let request = ClaimRequest::try_from(request).map_err(malformed)?;
        let reply = self.claim_replicas.on_request(service, request);
        let reply = reply.ok_or_else(|| not_a_replica(service))?;
        Ok(Response::new((&reply).into()))
    }

    async fn copy(
        &self,
        request: Request<wire::CopyRequest>,
    ) -> Result<Response<Self::CopyStream>, Status> {
        require_node(&request)?;
        let request = request.into_inner();
        let service = service(request.service)?;
        let request = CopyRequest::try_from(request).map_err(malformed)?;
        let copy = self.claim_replicas.on_copy_request(service, &request);
        let copy = copy.ok_or_else(|| not_a_replica(service))?;
        let pages: Vec<_> = copy_to_pages(&copy, PAGE_CLAIMS)
            .into_iter()
            .map(Ok)
            .collect();
        Ok(Response::new(tokio_stream::iter(pages)))
    }

    async fn standing(
        &self,
        request: Request<wire::StandingRequest>,
    ) -> Result<Response<wire::StandingReply>, Status> {
        require_node(&request)?;
        let service = service(request.into_inner().service)?;
        let status = self.claim_replicas.status(service);
        let status = status.ok_or_else(|| not_a_replica(service))?;
        Ok(Response::new(wire::StandingReply {
            keeper: Some(status.replica.into()),
            epoch: status.epoch.map_or(0, Epoch::get),
            installed: status.installed.map_or(0, Epoch::get),
            claims: usize::from(status.claims) as u64,
        }))
    }
}

fn service(number: u32) -> Result<ServiceId, Status> {
    let number = u16::try_from(number);
    let number = number
        .ok()
        .ok_or_else(|| Status::invalid_argument("the service number is out of range"));
    number.map(ServiceId::new)
}

fn malformed(e: impl std::fmt::Display) -> Status {
    Status::invalid_argument(e.to_string())
}

fn not_a_replica(service: ServiceId) -> Status {
    Status::not_found(format!(
        "this agent is not a claim replica of service {service}"
    ))
}
