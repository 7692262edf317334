//! State shared by the requests of one agent, and the policy that applies to them.

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

/// Retry delay reported to callers when nothing more precise is known, for instance because the server has
/// not announced itself or is draining.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State shared by the requests of one agent.
#[derive(Debug)]
pub struct RequestContext {
    /// Admission control of the backend server.
    pub gate: AdmissionGate,
    /// Loads of the other agents of the service.
    pub peers: PeerView,
    /// Connections to peers and claim replicas.
    pub channels: PeerChannels,
    /// The claim replicas that this agent hosts.
    pub claim_replicas: ClaimReplicas,
    /// Client that acquires claims.
    pub claims: ClaimClient,
    /// Request counters.
    pub metrics: RequestMetrics,
    retry_budget: Mutex<RetryBudget>,
    cluster: Arc<Cluster>,
    announcements: watch::Receiver<Option<Announcement>>,
}

/// The settings for requests that arrive now, from the committed configuration and the announcement.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Id of the backend server.
    pub server: BackendServerId,
    /// Id of its service.
    pub service: ServiceId,
    /// Profile of the service.
    pub profile: Profile,
    /// Address on which the server accepts requests.
    pub address: SocketAddr,
    /// Number of requests that the server announced it can run concurrently.
    pub slots: u32,
    /// Whether the server is draining.
    pub draining: bool,
}

impl Policy {
    /// Returns the settings of the admission control.
    pub const fn admission(&self) -> AdmissionSettings {
        AdmissionSettings {
            slots: self.slots,
            queue_limit: self.profile.queue_limit,
            cold_start: self.profile.cold_start,
        }
    }
}

impl RequestContext {
    /// Creates the shared state of one agent.
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

    /// Returns the current policy, or `None` until the server has announced itself for a committed service.
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

    /// Returns the current policy, or the error for the caller if there is none.
    pub fn require_policy(&self) -> Result<Policy, RequestError> {
        let retry_at = default_retry_at();
        self.policy().ok_or(RequestError::NoServer { retry_at })
    }

    /// Returns the claim group of a service, waiting until `until` for one to be committed: a new cluster
    /// plans its claim groups only after its agents have published their records.
    pub async fn claim_group(&self, service: ServiceId, until: Instant) -> Option<ClaimGroup> {
        let mut changes = self.cluster.config_changes();
        let has_group = |c: &Arc<CommittedConfig>| c.claim_groups.contains_key(&service);
        let config = timeout_at(until, changes.wait_for(has_group)).await;
        let config = Arc::clone(&*config.ok()?.ok()?);
        config.claim_groups.get(&service).cloned()
    }

    /// Adds a request to the retry budget.
    pub fn count_request(&self) {
        self.with_retry_budget(RetryBudget::on_request);
    }

    /// Takes one retry or hedge from the retry budget and returns whether there was one.
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

/// Returns the time at which a caller may retry when nothing more precise is known.
pub fn default_retry_at() -> Instant {
    Instant::now() + DEFAULT_RETRY_AFTER
}
