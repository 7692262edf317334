//! What the requests of one agent share, and the policy they are under.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dogwoodrill_core::admission::AdmissionSettings;
use dogwoodrill_core::config::{ClaimGroup, CommittedConfig, Profile};
use dogwoodrill_core::ids::{BackendServerId, ServiceId};
use dogwoodrill_core::retry::RetryBudget;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::announce::Announcement;
use super::channels::PeerChannels;
use super::claims::ClaimReplicas;
use super::claims::ask::ClaimClient;
use super::gate::AdmissionGate;
use super::metrics::RequestMetrics;
use super::peers::PeerView;
use super::request::RequestError;
use crate::cluster::Cluster;
use crate::context::Cx;

/// When a caller may come back to an agent whose server has not announced itself, or is leaving.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the requests of one agent share.
#[derive(Debug)]
pub struct RequestContext {
    /// Who may run at the backend server.
    pub gate: AdmissionGate,
    /// The peers of the service.
    pub peers: PeerView,
    /// Connections to peers and keepers.
    pub channels: PeerChannels,
    /// The claims that this agent keeps.
    pub claim_replicas: ClaimReplicas,
    /// Asks for claims.
    pub claims: ClaimClient,
    /// The counters.
    pub metrics: RequestMetrics,
    retry_budget: Mutex<RetryBudget>,
    cluster: Arc<Cluster>,
    announcements: watch::Receiver<Option<Announcement>>,
}

/// What the committed configuration and the announcement say of requests that arrive now.
#[derive(Clone, Debug)]
pub struct Policy {
    /// The backend server.
    pub server: BackendServerId,
    /// Its service.
    pub service: ServiceId,
    /// The service's profile.
    pub profile: Profile,
    /// Where the server takes requests.
    pub address: SocketAddr,
    /// Requests that it says it can run at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
}

impl Policy {
    /// The settings of the admission.
    pub const fn admission(&self) -> AdmissionSettings {
        AdmissionSettings {
            slots: self.slots,
            queue_limit: self.profile.queue_limit,
            cold_start: self.profile.cold_start,
        }
    }
}

impl RequestContext {
    /// Makes what the requests of one agent share.
    pub fn new(
        cx: &Cx,
        cluster: &Arc<Cluster>,
        announcements: watch::Receiver<Option<Announcement>>,
    ) -> Self {
        let channels = PeerChannels::new(cx.clone(), Arc::clone(cluster));
        let claim_replicas = ClaimReplicas::default();
        Self {
            gate: AdmissionGate::default(),
            peers: PeerView::new(cx.zone.clone(), Arc::clone(cluster)),
            claims: ClaimClient::new(cx.clone(), channels.clone(), claim_replicas.clone()),
            channels,
            claim_replicas,
            metrics: RequestMetrics::register(&cx.metrics),
            retry_budget: Mutex::default(),
            cluster: Arc::clone(cluster),
            announcements,
        }
    }

    /// The policy in force; none before the server has announced a committed service.
    pub fn policy(&self) -> Option<Policy> {
        let announcement = self.announcements.borrow().clone()?;
        let config = self.cluster.config();
        let service = config.service_named(&announcement.service)?.id;
        Some(Policy {
            server: announcement.server,
            service,
            profile: config.profile_of(service)?.clone(),
            address: announcement.address,
            slots: announcement.slots.into(),
            draining: announcement.draining,
        })
    }

    /// The policy in force, or the refusal where there is none.
    pub fn require_policy(&self) -> Result<Policy, RequestError> {
        let retry_at = default_retry_at();
        self.policy().ok_or(RequestError::NoServer { retry_at })
    }

    /// The claim group of a service. Waits until `until` for one to be committed: a cluster that has
    /// just started plans its groups when its agents have announced themselves.
    pub async fn claim_group(&self, service: ServiceId, until: Instant) -> Option<ClaimGroup> {
        let mut changes = self.cluster.config_changes();
        let has_group = |c: &Arc<CommittedConfig>| c.claim_groups.contains_key(&service);
        let config = timeout_at(until, changes.wait_for(has_group)).await;
        let config = Arc::clone(&*config.ok()?.ok()?);
        config.claim_groups.get(&service).cloned()
    }

    /// Counts a request for the retry budget.
    pub fn count_request(&self) {
        self.with_retry_budget(RetryBudget::on_request);
    }

    /// Takes a retry or a hedge out of the budget.
    pub fn take_retry(&self) -> bool {
        self.with_retry_budget(RetryBudget::take)
    }

    fn with_retry_budget<T>(&self, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        f(&mut self
            .retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner))
    }
}

/// When a caller may come back that was told nothing better.
pub fn default_retry_at() -> Instant {
    Instant::now() + DEFAULT_RETRY_AFTER
}
