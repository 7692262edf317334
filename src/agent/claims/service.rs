//! The gRPC service of a keeper.

use dogwoodrill_core::claims::message::{ClaimRequest, CopyRequest};
use dogwoodrill_core::ids::{Epoch, ServiceId};
use dogwoodrill_wire::convert::claims::copy_to_pages;
use dogwoodrill_wire::proto::claims as wire;
use dogwoodrill_wire::proto::claims::claims_server::{Claims, ClaimsServer};
use tokio_stream::Iter;
use tonic::{Request, Response, Status};

use super::Keepers;
use crate::agent::peers::require_node;

/// Claims on one page of a copy; an outcome is at most
/// [`crate::agent::idempotency::MAX_OUTCOME_BYTES`], which keeps a page below the size that a message
/// may have.
const PAGE_CLAIMS: usize = 32;

/// Answers runs and keepers of other agents.
#[derive(Debug)]
pub struct KeeperService {
    keepers: Keepers,
}

impl KeeperService {
    /// Makes the server over the keepers of an agent.
    pub fn server(keepers: &Keepers) -> ClaimsServer<Self> {
        let keepers = keepers.clone();
        ClaimsServer::new(Self { keepers })
    }
}

type Pages = Iter<std::vec::IntoIter<Result<wire::CopyPage, Status>>>;

#[tonic::async_trait]
impl Claims for KeeperService {
    type CopyStream = Pages;

    async fn ask(
        &self,
        request: Request<wire::ClaimRequest>,
    ) -> Result<Response<wire::ClaimReply>, Status> {
        require_node(&request)?;
        let request = request.into_inner();
        let service = service(request.service)?;
        let request = ClaimRequest::try_from(request).map_err(malformed)?;
        let reply = self.keepers.on_request(service, request);
        let reply = reply.ok_or_else(|| not_a_keeper(service))?;
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
        let copy = self.keepers.on_copy_request(service, &request);
        let copy = copy.ok_or_else(|| not_a_keeper(service))?;
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
        let standing = self.keepers.standing(service);
        let standing = standing.ok_or_else(|| not_a_keeper(service))?;
        Ok(Response::new(wire::StandingReply {
            keeper: Some(standing.replica.into()),
            epoch: standing.epoch.map_or(0, Epoch::get),
            installed: standing.installed.map_or(0, Epoch::get),
            claims: usize::from(standing.claims) as u64,
        }))
    }
}

fn service(number: u32) -> Result<ServiceId, Status> {
    let number = u16::try_from(number);
    let number = number
        .ok()
        .ok_or_else(|| Status::invalid_argument("service is out of range"));
    number.map(ServiceId::new)
}

fn malformed(e: impl std::fmt::Display) -> Status {
    Status::invalid_argument(e.to_string())
}

fn not_a_keeper(service: ServiceId) -> Status {
    Status::not_found(format!("this agent keeps no claims of service {service}"))
}
