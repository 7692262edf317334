//! The gRPC service for operators.

use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::changes::{Change, CommandId, Refusal};
use dogwoodrill_core::config::ZoneState;
use dogwoodrill_core::control_status::HostRefusal;
use dogwoodrill_wire::proto::operator as wire;
use dogwoodrill_wire::proto::operator::operator_server::{Operator, OperatorServer};
use dogwoodrill_wire::proto::operator::{apply_response, read_response};
use tokio::time::timeout;
use tonic::{Request, Response, Status};

use super::handle::Handle;
use crate::cluster::Cluster;
use crate::transport::{self, Role};

/// Time that the dissemination of a host that has just started has to count its first node.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves operators.
#[derive(Debug)]
pub(super) struct OperatorService {
    handle: Handle,
    cluster: Arc<Cluster>,
}

impl OperatorService {
    pub(super) fn server(handle: &Handle, cluster: &Arc<Cluster>) -> OperatorServer<Self> {
        OperatorServer::new(Self {
            handle: handle.clone(),
            cluster: Arc::clone(cluster),
        })
    }

    /// Waits until there is a progress report. Right after its start a host has not even counted
    /// itself, and an answer without any node that is behind would look as if all nodes were up to
    /// date.
    async fn wait_for_progress(&self) {
        let mut progress = self.cluster.confirmation_changes();
        let begun = progress.wait_for(|p| !p.zones.is_empty());
        // After the timeout the answer contains no node, which is correct as far as is known.
        drop(timeout(PROGRESS_TIMEOUT, begun).await);
    }

    /// Rejects a zone that is neither in the configuration nor announced by any node. It is most likely
    /// a typing error; taking such a zone out would look like a success but have no effect.
    fn check_zone(&self, zone: &ZoneState) -> Result<(), HostRefusal> {
        let committed = self.cluster.config().zones.contains_key(&zone.name);
        let announced = || self.cluster.directory().zones().any(|z| *z == zone.name);
        if committed || announced() {
            return Ok(());
        }
        Err(HostRefusal::Refused(Refusal::Invalid {
            field: "zone".to_owned(),
            problem: format!("no node is in an availability zone {}", zone.name),
        }))
    }
}

#[tonic::async_trait]
impl Operator for OperatorService {
    async fn apply(
        &self,
        request: Request<wire::ApplyRequest>,
    ) -> Result<Response<wire::ApplyResponse>, Status> {
        transport::require_role(&request, Role::Operator)?;
        let request = request.into_inner();
        let malformed = |problem: String| Status::invalid_argument(problem);
        let id = request.command_id.parse::<CommandId>();
        let id = id.map_err(|e| malformed(e.to_string()))?;
        let change = request
            .change
            .ok_or_else(|| malformed("no change".to_owned()))?;
        let change = Change::try_from(change).map_err(|e| malformed(e.to_string()))?;
        let known = match &change {
            Change::Zone(zone) => self.check_zone(zone),
            Change::Profile(_) | Change::ClaimGroup(_) | Change::Document(_) => Ok(()),
        };
        let answer = match known {
            Ok(()) => self.handle.propose(Some(id), change).await,
            Err(refusal) => Err(refusal),
        };
        let answer = match answer {
            Ok(accepted) => apply_response::Answer::Accepted(accepted.into()),
            Err(refusal) => apply_response::Answer::Refusal(refusal.into()),
        };
        Ok(Response::new(wire::ApplyResponse {
            answer: Some(answer),
        }))
    }

    async fn read(
        &self,
        request: Request<wire::ReadRequest>,
    ) -> Result<Response<wire::ReadResponse>, Status> {
        transport::require_role(&request, Role::Operator)?;
        let answer = match self.handle.read().await {
            Ok(config) => read_response::Answer::Config((&*config).into()),
            Err(refusal) => read_response::Answer::Refusal(refusal.into()),
        };
        Ok(Response::new(wire::ReadResponse {
            answer: Some(answer),
        }))
    }

    async fn confirmations(
        &self,
        request: Request<wire::ConfirmationsRequest>,
    ) -> Result<Response<wire::ConfirmationsResponse>, Status> {
        transport::require_role(&request, Role::Operator)?;
        let index = request.into_inner().index.into();
        self.wait_for_progress().await;
        Ok(Response::new(self.cluster.confirmations(index).into()))
    }

    async fn status(
        &self,
        request: Request<wire::StatusRequest>,
    ) -> Result<Response<wire::StatusResponse>, Status> {
        transport::require_role(&request, Role::Operator)?;
        let status = self.handle.status().await;
        let status = status.map_err(|e| Status::unavailable(e.to_string()))?;
        Ok(Response::new(status.into()))
    }
}
