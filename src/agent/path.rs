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
use super::channels::Channels;
use super::claims::Keepers;
use super::claims::ask::ClaimClient;
use super::gate::Gate;
use super::metrics::RequestMetrics;
use super::peers::PeerView;
use super::request::RequestError;
use crate::cluster::Cluster;
use crate::context::Cx;

/// When a caller may come back to an agent whose server has not announced itself, or is leaving.
const COME_BACK: Duration = Duration::from_secs(1);

/// What the requests of one agent share.
#[derive(Debug)]
pub struct RequestContext {
    /// Who may run at the backend server.
    pub gate: Gate,
    /// The peers of the service.
    pub peers: PeerView,
    /// Connections to peers and keepers.
    pub channels: Channels,
    /// The claims that this agent keeps.
    pub keepers: Keepers,
    /// Asks for claims.
    pub claims: ClaimClient,
    /// The counters.
    pub metrics: RequestMetrics,
    budget: Mutex<RetryBudget>,
    cluster: Arc<Cluster>,
    announced: watch::Receiver<Option<Announcement>>,
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
        announced: watch::Receiver<Option<Announcement>>,
    ) -> Self {
        let channels = Channels::new(cx.clone(), Arc::clone(cluster));
        let keepers = Keepers::default();
        Self {
            gate: Gate::default(),
            peers: PeerView::new(cx.zone.clone(), Arc::clone(cluster)),
            claims: ClaimClient::new(cx.clone(), channels.clone(), keepers.clone()),
            channels,
            keepers,
            metrics: RequestMetrics::register(&cx.metrics),
            budget: Mutex::default(),
            cluster: Arc::clone(cluster),
            announced,
        }
    }

    /// The policy in force; none before the server has announced a committed service.
    pub fn policy(&self) -> Option<Policy> {
        let known = self.announced.borrow().clone()?;
        let config = self.cluster.config();
        let service = config.service_named(&known.service)?.id;
        Some(Policy {
            server: known.server,
            service,
            profile: config.profile_of(service)?.clone(),
            address: known.address,
            slots: known.slots.into(),
            draining: known.draining,
        })
    }

    /// The policy in force, or the refusal where there is none.
    pub fn require_policy(&self) -> Result<Policy, RequestError> {
        let retry_at = come_back();
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
        self.with_budget(RetryBudget::on_request);
    }

    /// Takes a retry or a hedge out of the budget.
    pub fn take_retry(&self) -> bool {
        self.with_budget(RetryBudget::take)
    }

    fn with_budget<T>(&self, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        f(&mut self.budget.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// When a caller may come back that was told nothing better.
pub fn come_back() -> Instant {
    Instant::now() + COME_BACK
}
