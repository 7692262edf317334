//! Executes the leader's plan of claim groups.

use std::convert::Infallible;
use std::time::Duration;

use dogwoodrill_core::changes::Change;
use dogwoodrill_core::claim_groups::{PlanStep, Planner, is_majority, settled};
use dogwoodrill_core::config::{ClaimGroup, ClaimReplicaId};
use dogwoodrill_core::control_status::ControlRole;
use dogwoodrill_core::directory::MemberId;
use dogwoodrill_wire::proto::claims as wire;
use dogwoodrill_wire::proto::claims::claims_client::ClaimsClient;
use futures_util::future::join_all;
use tokio::time::{sleep, timeout};

use super::handle::Handle;
use crate::cluster::Cluster;
use crate::context::{Cx, wall_clock};
use crate::transport;

/// Interval between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Time that a claim replica has to reply.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(1);

/// Plans while this host leads. A new leader starts without the previous leader's observations, which
/// only delays its plan.
pub(super) async fn run(cx: &Cx, cluster: &Cluster, handle: &Handle) -> Result<(), Infallible> {
    let mut planner = Planner::default();
    loop {
        sleep(PLAN_INTERVAL).await;
        let leads = handle
            .status()
            .await
            .is_ok_and(|s| s.role == ControlRole::Leader);
        if !leads {
            planner = Planner::default();
            continue;
        }
        let steps = planner.plan(wall_clock(), &cluster.config(), &cluster.directory());
        join_all(
            steps
                .into_iter()
                .map(|step| execute_step(cx, cluster, handle, step)),
        )
        .await;
    }
}

async fn execute_step(cx: &Cx, cluster: &Cluster, handle: &Handle, step: PlanStep) {
    let group = match step {
        PlanStep::Commit(group) => group,
        PlanStep::QueryReplicas(group) => {
            let queries = group
                .replicas
                .iter()
                .map(|r| has_installed(cx, cluster, &group, *r));
            let installed = join_all(queries)
                .await
                .into_iter()
                .filter(|yes| *yes)
                .count();
            if !is_majority(&group, installed) {
                return;
            }
            settled(&group)
        }
    };
    let (service, epoch, is_settled) = (group.service, group.epoch, group.is_settled());
    // A refusal means that the configuration has changed meanwhile; the next plan takes that into
    // account.
    if handle
        .propose(None, Change::ClaimGroup(group))
        .await
        .is_ok()
    {
        let state = if is_settled { "settled" } else { "begun" };
        log::info!("claim group of service {service}: epoch {epoch} {state}");
    }
}

async fn has_installed(
    cx: &Cx,
    cluster: &Cluster,
    group: &ClaimGroup,
    replica: ClaimReplicaId,
) -> bool {
    let member = MemberId::BackendServer(replica.server);
    let address = cluster.directory().get(member).map(|record| record.peer);
    let Some(address) = address else {
        return false;
    };
    let service = group.service.get().into();
    let query = async {
        let channel = transport::connect(cx, address).await.ok()?;
        let request = wire::StandingRequest { service };
        let answer = ClaimsClient::new(channel).standing(request).await.ok()?;
        Some(answer.into_inner().installed)
    };
    let installed = timeout(REPLICA_TIMEOUT, query).await.ok().flatten();
    installed == Some(group.epoch.get())
}
