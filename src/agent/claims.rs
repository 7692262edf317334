//! The claim replicas of this agent: one state machine per service, served over gRPC.
//!
//! [`ClaimReplicas`] holds one [`ClaimReplica`] for each service whose claim group lists this agent, passes
//! the committed claim groups to them and fetches the copies that they request. [`service`] serves other
//! agents; [`ask`] acquires the claims of the requests that arrive at this agent.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dogwoodrill_core::claims::keeper::{ClaimReplica, ClaimReplicaOptions, ReplicaStatus};
use dogwoodrill_core::claims::message::{ClaimReply, ClaimRequest, Copy, CopyRequest};
use dogwoodrill_core::claims::rules::Rules;
use dogwoodrill_core::claims::table::ClaimCount;
use dogwoodrill_core::config::{ClaimReplicaId, CommittedConfig};
use dogwoodrill_core::ids::{BackendServerId, LogIndex, ServiceId};
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_wire::convert::claims::copy_from_pages;
use dogwoodrill_wire::proto::claims as wire;
use dogwoodrill_wire::proto::claims::claims_client::ClaimsClient;
use tokio::time::{sleep, timeout};

use super::Agent;
use super::channels::PeerChannels;
use crate::context::wall_clock;

pub mod ask;
pub mod service;

/// Maximum number of claims that one replica stores.
const MAX_CLAIMS: ClaimCount = ClaimCount::new(200_000);
/// Interval between rounds while a replica has copies to fetch.
const COPY_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between ticks while no replica has copies to fetch.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a control leader that has lost its quorum may still send beacons.
const QUORUM_LOSS_MARGIN: Duration = Duration::from_secs(10);
/// Timeout for fetching one copy.
const COPY_TIMEOUT: Duration = Duration::from_secs(5);

/// The claim replicas of one agent, by service.
#[derive(Clone, Debug, Default)]
pub struct ClaimReplicas(Arc<Mutex<BTreeMap<ServiceId, ClaimReplica>>>);

impl ClaimReplicas {
    /// Handles a request for a claim. Returns `None` if this agent is not a replica of `service`.
    pub fn on_request(&self, service: ServiceId, request: ClaimRequest) -> Option<ClaimReply> {
        let mut replicas = self.lock();
        let replica = replicas.get_mut(&service)?;
        Some(replica.on_request(wall_clock(), request))
    }

    /// Returns a copy of the stored claims, or `None` if this agent is not a replica of `service`.
    pub fn on_copy_request(&self, service: ServiceId, request: &CopyRequest) -> Option<Copy> {
        let mut replicas = self.lock();
        let replica = replicas.get_mut(&service)?;
        Some(replica.on_copy_request(wall_clock(), request))
    }

    /// Returns the epochs and the number of claims of the replica of `service`.
    pub fn status(&self, service: ServiceId) -> Option<ReplicaStatus> {
        self.lock().get(&service).map(ClaimReplica::status)
    }

    /// Passes the committed claim groups to the replicas that they list. `me` is this server with the
    /// agent's incarnation; `as_of` is a time at which `config` is known to have been the committed one.
    fn on_config(&self, me: ClaimReplicaId, config: &CommittedConfig, as_of: Option<UnixMillis>) {
        let now = wall_clock();
        let mut replicas = self.lock();
        for group in config.claim_groups.values() {
            let mut members = group.replicas.iter().chain(&group.previous);
            let is_member = members.any(|k| k.server == me.server);
            let Some(profile) = config.profile_of(group.service) else {
                continue;
            };
            if is_member || replicas.contains_key(&group.service) {
                let replica = replicas
                    .entry(group.service)
                    .or_insert_with(|| new_replica(me));
                replica.on_group(now, group, profile.retry_window);
            }
        }
        for replica in replicas.values_mut() {
            if let Some(as_of) = as_of {
                replica.on_confirmed(now, as_of);
            }
            replica.on_tick(now);
        }
    }

    fn pending_copies(&self) -> Vec<(ServiceId, BackendServerId, CopyRequest)> {
        let replicas = self.lock();
        let of_service = |(service, replica): (&ServiceId, &ClaimReplica)| {
            let service = *service;
            let requests = replica.copy_requests().into_iter();
            requests.map(move |(source, request)| (service, source, request))
        };
        replicas.iter().flat_map(of_service).collect()
    }

    fn on_copy(&self, service: ServiceId, copy: Copy) {
        if let Some(replica) = self.lock().get_mut(&service) {
            replica.on_copy(wall_clock(), copy);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, ClaimReplica>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_replica(me: ClaimReplicaId) -> ClaimReplica {
    ClaimReplica::new(ClaimReplicaOptions {
        me,
        // The incarnation number is the start time of the process.
        started_at: me.incarnation.get().into(),
        capacity: MAX_CLAIMS,
        rules: Rules::default(),
    })
}

fn earlier_by(time: UnixMillis, margin: Duration) -> UnixMillis {
    let margin = u64::try_from(margin.as_millis()).unwrap_or(u64::MAX);
    UnixMillis::new(time.get().saturating_sub(margin))
}

/// Drives the claim replicas of `agent`: applies committed claim groups, ticks and fetches copies.
pub async fn run(agent: &Agent) -> Result<(), Infallible> {
    let context = &agent.request_context;
    let mut announcements = agent.announcements.subscribe();
    let mut changes = agent.cluster.config_changes();
    loop {
        // Read before the configuration, so that the configuration is at least as new as the beacon.
        let beacon = agent.cluster.beacon();
        let server = announcements.borrow_and_update().as_ref().map(|a| a.server);
        let config = changes.borrow_and_update().clone();
        if let Some(server) = server {
            let incarnation = agent.cx.incarnation;
            let me = ClaimReplicaId {
                server,
                incarnation,
            };
            let is_current = beacon.index > LogIndex::default() && config.index >= beacon.index;
            let as_of = is_current.then(|| earlier_by(beacon.sent_at, QUORUM_LOSS_MARGIN));
            context.claim_replicas.on_config(me, &config, as_of);
        }
        let pending = context.claim_replicas.pending_copies();
        let delay = if pending.is_empty() {
            TICK_INTERVAL
        } else {
            COPY_RETRY_INTERVAL
        };
        fetch_copies(&context.channels, &context.claim_replicas, pending).await;
        tokio::select! {
            Ok(()) = announcements.changed() => {}
            Ok(()) = changes.changed() => {}
            () = sleep(delay) => {}
        }
    }
}

/// Fetches the pending copies concurrently. A copy that fails is requested again in the next round.
async fn fetch_copies(
    channels: &PeerChannels,
    replicas: &ClaimReplicas,
    pending: Vec<(ServiceId, BackendServerId, CopyRequest)>,
) {
    let fetches = pending
        .into_iter()
        .map(|(service, source, request)| async move {
            match timeout(
                COPY_TIMEOUT,
                fetch_copy(channels, service, source, &request),
            )
            .await
            {
                Ok(Some(copy)) => replicas.on_copy(service, copy),
                Ok(None) | Err(_) => log::debug!("cannot fetch claims from server {source}"),
            }
        });
    futures_util::future::join_all(fetches).await;
}

async fn fetch_copy(
    channels: &PeerChannels,
    service: ServiceId,
    source: BackendServerId,
    request: &CopyRequest,
) -> Option<Copy> {
    let channel = channels.connect(source).await.ok()?;
    let request = wire::CopyRequest::new(service, request);
    let mut stream = ClaimsClient::new(channel)
        .copy(request)
        .await
        .ok()?
        .into_inner();
    let mut pages = Vec::new();
    while let Some(page) = stream.message().await.ok()? {
        pages.push(page);
    }
    copy_from_pages(pages).ok()
}
