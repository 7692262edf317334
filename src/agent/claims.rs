//! The keeper of this agent: its state machines behind the peer server.
//!
//! [`Keepers`] holds one [`ClaimReplica`] for each service whose claim group lists this agent, feeds them the
//! committed groups and fetches the copies that they ask for. [`service`] answers other agents; [`ask`]
//! runs the claims of the requests that arrive here.

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
use super::channels::Channels;
use crate::context::wall_clock;

pub mod ask;
pub mod service;

/// Claims that one keeper has room for.
const CAPACITY: ClaimCount = ClaimCount::new(200_000);
/// Pause between two rounds of a keeper that copies.
const COPY_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two looks at the time of a keeper that has all claims.
const TICK: Duration = Duration::from_secs(1);
/// Time for which a control leader that has lost its majority may still send beacons.
const QUORUM_MARGIN: Duration = Duration::from_secs(10);
/// Time that one copy may take.
const COPY_TIMEOUT: Duration = Duration::from_secs(5);

/// The keepers of one agent, by service.
#[derive(Clone, Debug, Default)]
pub struct Keepers(Arc<Mutex<BTreeMap<ServiceId, ClaimReplica>>>);

impl Keepers {
    /// Answers a run; none where this agent is no keeper of `service`.
    pub fn on_request(&self, service: ServiceId, request: ClaimRequest) -> Option<ClaimReply> {
        let mut keepers = self.lock();
        let keeper = keepers.get_mut(&service)?;
        Some(keeper.on_request(wall_clock(), request))
    }

    /// Gives a copy; none where this agent is no keeper of `service`.
    pub fn on_copy_request(&self, service: ServiceId, request: &CopyRequest) -> Option<Copy> {
        let mut keepers = self.lock();
        let keeper = keepers.get_mut(&service)?;
        Some(keeper.on_copy_request(wall_clock(), request))
    }

    /// How far the keeper of `service` is.
    pub fn standing(&self, service: ServiceId) -> Option<ReplicaStatus> {
        self.lock().get(&service).map(ClaimReplica::status)
    }

    /// Feeds the committed groups to the keepers that they list, in this life `me`. `as_of` is when the
    /// configuration is known to have been the committed one.
    fn on_config(&self, me: ClaimReplicaId, config: &CommittedConfig, as_of: Option<UnixMillis>) {
        let now = wall_clock();
        let mut keepers = self.lock();
        for group in config.claim_groups.values() {
            let mut members = group.replicas.iter().chain(&group.previous);
            let is_member = members.any(|k| k.server == me.server);
            let Some(profile) = config.profile_of(group.service) else {
                continue;
            };
            if is_member || keepers.contains_key(&group.service) {
                let keeper = keepers
                    .entry(group.service)
                    .or_insert_with(|| new_keeper(me));
                keeper.on_group(now, group, profile.retry_window);
            }
        }
        for keeper in keepers.values_mut() {
            if let Some(as_of) = as_of {
                keeper.on_confirmed(now, as_of);
            }
            keeper.on_tick(now);
        }
    }

    fn copies_wanted(&self) -> Vec<(ServiceId, BackendServerId, CopyRequest)> {
        let keepers = self.lock();
        let of_service = |(service, keeper): (&ServiceId, &ClaimReplica)| {
            let service = *service;
            let requests = keeper.copy_requests().into_iter();
            requests.map(move |(giver, request)| (service, giver, request))
        };
        keepers.iter().flat_map(of_service).collect()
    }

    fn on_copy(&self, service: ServiceId, copy: Copy) {
        if let Some(keeper) = self.lock().get_mut(&service) {
            keeper.on_copy(wall_clock(), copy);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, ClaimReplica>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_keeper(me: ClaimReplicaId) -> ClaimReplica {
    ClaimReplica::new(ClaimReplicaOptions {
        me,
        // An incarnation is the time at which its process started.
        started_at: me.incarnation.get().into(),
        capacity: CAPACITY,
        rules: Rules::default(),
    })
}

fn before(time: UnixMillis, margin: Duration) -> UnixMillis {
    let margin = u64::try_from(margin.as_millis()).unwrap_or(u64::MAX);
    UnixMillis::new(time.get().saturating_sub(margin))
}

/// Keeps the keepers of `agent` going.
pub async fn run(agent: &Agent) -> Result<(), Infallible> {
    let requests = &agent.requests;
    let mut announced = agent.announced.subscribe();
    let mut changes = agent.cluster.config_changes();
    loop {
        // Read before the configuration, which may then only be newer.
        let beacon = agent.cluster.beacon();
        let server = announced.borrow_and_update().as_ref().map(|a| a.server);
        let config = changes.borrow_and_update().clone();
        if let Some(server) = server {
            let incarnation = agent.cx.incarnation;
            let me = ClaimReplicaId {
                server,
                incarnation,
            };
            let is_current = beacon.index > LogIndex::default() && config.index >= beacon.index;
            let as_of = is_current.then(|| before(beacon.sent_at, QUORUM_MARGIN));
            requests.keepers.on_config(me, &config, as_of);
        }
        let wanted = requests.keepers.copies_wanted();
        let pause = if wanted.is_empty() { TICK } else { COPY_PAUSE };
        fetch(&requests.channels, &requests.keepers, wanted).await;
        tokio::select! {
            Ok(()) = announced.changed() => {}
            Ok(()) = changes.changed() => {}
            () = sleep(pause) => {}
        }
    }
}

/// Fetches copies at the same time; one that fails is asked for again in the next round.
async fn fetch(
    channels: &Channels,
    keepers: &Keepers,
    wanted: Vec<(ServiceId, BackendServerId, CopyRequest)>,
) {
    let fetches = wanted
        .into_iter()
        .map(|(service, giver, request)| async move {
            match timeout(COPY_TIMEOUT, fetch_one(channels, service, giver, &request)).await {
                Ok(Some(copy)) => keepers.on_copy(service, copy),
                Ok(None) | Err(_) => log::debug!("no copy of claims from backend server {giver}"),
            }
        });
    futures_util::future::join_all(fetches).await;
}

async fn fetch_one(
    channels: &Channels,
    service: ServiceId,
    giver: BackendServerId,
    request: &CopyRequest,
) -> Option<Copy> {
    let channel = channels.to(giver).await.ok()?;
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
