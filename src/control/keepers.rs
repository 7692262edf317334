//! The leader's plan of claim groups, carried out.

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

/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Time that a keeper has to answer.
const KEEPER_TIMEOUT: Duration = Duration::from_secs(1);

/// Plans as long as this host leads. A new leader starts with nothing remembered, which only delays.
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
                .map(|step| carry_out(cx, cluster, handle, step)),
        )
        .await;
    }
}

async fn carry_out(cx: &Cx, cluster: &Cluster, handle: &Handle, step: PlanStep) {
    let group = match step {
        PlanStep::Commit(group) => group,
        PlanStep::QueryReplicas(group) => {
            let asked = group
                .replicas
                .iter()
                .map(|k| has_installed(cx, cluster, &group, *k));
            let installed = join_all(asked).await.into_iter().filter(|yes| *yes).count();
            if !is_majority(&group, installed) {
                return;
            }
            settled(&group)
        }
    };
    let (service, epoch, is_settled) = (group.service, group.epoch, group.is_settled());
    // A refusal means that the configuration has moved on; the next plan sees it.
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
    keeper: ClaimReplicaId,
) -> bool {
    let member = MemberId::BackendServer(keeper.server);
    let address = cluster.directory().get(member).map(|record| record.peer);
    let Some(address) = address else {
        return false;
    };
    let service = group.service.get().into();
    let asked = async {
        let channel = transport::connect(cx, address).await.ok()?;
        let request = wire::StandingRequest { service };
        let answer = ClaimsClient::new(channel).standing(request).await.ok()?;
        Some(answer.into_inner().installed)
    };
    let installed = timeout(KEEPER_TIMEOUT, asked).await.ok().flatten();
    installed == Some(group.epoch.get())
}
