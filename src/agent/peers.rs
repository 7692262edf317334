//! Load exchange between the agents of one service, and hand-off of requests.
//!
//! [`PeerView`] drives [`Peers`]: it exchanges loads with a bounded sample of peers at a fixed interval. It
//! also exchanges them immediately with peers in the same availability zone when the queue becomes empty or
//! non-empty, and with peers that have a queue when there is capacity here, so that neither side waits for
//! the interval. [`offer`] hands a request off to a peer, [`service`] accepts one.

use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dogwoodrill_core::directory::MemberId;
use dogwoodrill_core::flow_load::OpenFlowsReport;
use dogwoodrill_core::handoff::{
    LOAD_LIFETIME, MAX_SAMPLE, PeerLoad, Peers, RequiredCapacity, Scope,
};
use dogwoodrill_core::ids::{AvailabilityZone, BackendServerId, Sequence, ServiceId};
use dogwoodrill_wire::proto::peers as wire;
use dogwoodrill_wire::proto::peers::peers_client::PeersClient;
use rand::seq::IteratorRandom;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::{Instant, sleep, timeout};
use tonic::{Request, Status};

use super::Agent;
use super::channels::PeerChannels;
use super::gate::AdmissionGate;
use crate::cluster::Cluster;
use crate::credentials::Role;
use crate::transport;

pub mod offer;
pub mod service;

/// Interval between two exchanges with the sample of peers.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between two exchanges, however often the queue changes.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(3);
/// Timeout for one exchange with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Rejects a request whose sender is not a node of the cluster.
pub fn require_node<T>(request: &Request<T>) -> Result<(), Status> {
    transport::require_role(request, Role::Node)
}

/// The loads of the other agents of the service, as last reported.
#[derive(Clone, Debug)]
pub struct PeerView(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    cluster: Arc<Cluster>,
    state: Mutex<State>,
    capacity_available: Notify,
}

#[derive(Debug)]
struct State {
    peers: Peers,
    sequence: Sequence,
}

impl PeerView {
    /// Creates the view of an agent in `zone`.
    pub fn new(zone: AvailabilityZone, cluster: Arc<Cluster>) -> Self {
        let state = State {
            peers: Peers::new(zone),
            sequence: Sequence::default(),
        };
        Self(Arc::new(Shared {
            cluster,
            state: Mutex::new(state),
            capacity_available: Notify::new(),
        }))
    }

    /// Chooses a peer for the hand-off of a request of `service`. Peers that are not serving or whose zone is
    /// out are excluded.
    pub fn choose(
        &self,
        service: ServiceId,
        own: BackendServerId,
        scope: Scope,
        required: RequiredCapacity,
    ) -> Option<BackendServerId> {
        let now = Instant::now().into_std();
        let config = self.0.cluster.config();
        let directory = self.0.cluster.directory();
        let may_take = |server| {
            let record = directory
                .serving(service)
                .find(|r| r.member == MemberId::BackendServer(server));
            server != own && record.is_some_and(|r| config.is_zone_in(&r.zone))
        };
        let mut rng = rand::rng();
        self.lock()
            .peers
            .choose(now, &mut rng, scope, required, may_take)
    }

    /// Returns the number of peers with a current load report.
    pub fn reporting_count(&self) -> usize {
        let now = Instant::now().into_std();
        self.lock().peers.loads(now).count()
    }

    /// Returns a future that completes when a peer reports free capacity.
    pub fn capacity_available(&self) -> Notified<'_> {
        self.0.capacity_available.notified()
    }

    /// Applies a load report of a peer.
    pub fn on_load(&self, zone: AvailabilityZone, report: PeerLoad) {
        let has_capacity = report.load.has_capacity() && !report.draining;
        let now = Instant::now().into_std();
        self.lock().peers.on_load(now, zone, report);
        if has_capacity {
            self.0.capacity_available.notify_waiters();
        }
    }

    /// Returns the peers in the same availability zone that have queued requests.
    fn zone_peers_with_queue(&self) -> Vec<BackendServerId> {
        let now = Instant::now().into_std();
        self.lock().peers.zone_peers_with_queue(now).collect()
    }

    fn next_sequence(&self) -> Sequence {
        let mut state = self.lock();
        state.sequence = state.sequence.next();
        state.sequence
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the load report of this agent, or `None` until its server has announced itself.
pub(super) fn local_load(agent: &Agent) -> Option<(ServiceId, PeerLoad)> {
    let context = &agent.request_context;
    let policy = context.policy()?;
    let report = PeerLoad {
        server: policy.server,
        incarnation: agent.cx.incarnation,
        sequence: context.peers.next_sequence(),
        load: context.gate.load(),
        open_flows: agent.flows.count(),
        draining: policy.draining,
    };
    Some((policy.service, report))
}

/// Applies a load report of a peer to the hand-off of requests and to the steering of flows.
pub(super) fn record_peer_load(agent: &Agent, load: wire::Load) {
    let report = PeerLoad::from(load);
    let Some(record) = agent.request_context.channels.record(report.server) else {
        return;
    };
    agent.steering.on_report(OpenFlowsReport {
        server: report.server,
        open_flows: report.open_flows,
        expires_at: Instant::now().into_std() + LOAD_LIFETIME,
    });
    agent.request_context.peers.on_load(record.zone, report);
}

/// Exchanges loads until the task is cancelled: with the sample at the fixed interval, with peers in the same
/// zone when the queue becomes empty or non-empty, and with peers that have a queue when there is capacity
/// here.
pub async fn run(agent: &Arc<Agent>) -> Result<(), Infallible> {
    let gate: &AdmissionGate = &agent.request_context.gate;
    let mut has_queue = false;
    loop {
        let is_periodic = tokio::select! {
            () = sleep(EXCHANGE_INTERVAL) => true,
            () = gate.load_changed() => false,
        };
        if let Some((service, report)) = local_load(agent) {
            let was_queued = std::mem::replace(&mut has_queue, report.load.queued > 0);
            let peers = if is_periodic {
                sample_peers(agent, service, report.server, Scope::Anywhere)
            } else if has_queue != was_queued {
                sample_peers(agent, service, report.server, Scope::Zone)
            } else {
                agent.request_context.peers.zone_peers_with_queue()
            };
            for peer in peers {
                let own = wire::Load::new(service, &report);
                tokio::spawn(exchange(Arc::clone(agent), peer, own));
            }
        }
        sleep(MIN_EXCHANGE_INTERVAL).await;
    }
}

async fn exchange(agent: Arc<Agent>, peer: BackendServerId, own: wire::Load) {
    let channels: &PeerChannels = &agent.request_context.channels;
    let exchanged = async {
        let channel = channels.connect(peer).await.ok()?;
        let response = PeersClient::new(channel).exchange(own).await.ok()?;
        Some(response.into_inner())
    };
    if let Ok(Some(load)) = timeout(EXCHANGE_TIMEOUT, exchanged).await {
        record_peer_load(&agent, load);
    }
}

/// Chooses at most `MAX_SAMPLE` peers at random, those in the same zone first.
fn sample_peers(
    agent: &Agent,
    service: ServiceId,
    own: BackendServerId,
    scope: Scope,
) -> Vec<BackendServerId> {
    let config = agent.cluster.config();
    let directory = agent.cluster.directory();
    let peers = directory.serving(service);
    let peers: Vec<_> = peers.filter(|r| config.is_zone_in(&r.zone)).collect();
    let server = |member| match member {
        MemberId::BackendServer(server) if server != own => Some(server),
        _ => None,
    };
    let is_same_zone = |zone: &AvailabilityZone| *zone == agent.cx.zone;
    let mut rng = rand::rng();
    let same_zone = peers.iter().filter(|r| is_same_zone(&r.zone));
    let same_zone = same_zone.filter_map(|r| server(r.member));
    let mut chosen = same_zone.choose_multiple(&mut rng, MAX_SAMPLE);
    if scope == Scope::Anywhere {
        let other_zones = peers.iter().filter(|r| !is_same_zone(&r.zone));
        let other_zones = other_zones.filter_map(|r| server(r.member));
        let remaining = MAX_SAMPLE - chosen.len();
        chosen.extend(other_zones.choose_multiple(&mut rng, remaining));
    }
    chosen
}
