//! What the agents of one service tell each other, and the requests that they hand off.
//!
//! [`PeerView`] drives [`Peers`]: it exchanges loads with a bounded sample of peers at a slow beat, and
//! at once with those of the own availability zone when a queue begins or ends, or when there is room
//! for what waits there, so that neither side waits for the beat. [`offer`] hands a request off, [`service`] takes one.

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
use super::channels::Channels;
use super::gate::Gate;
use crate::cluster::Cluster;
use crate::credentials::Role;
use crate::transport;

pub mod offer;
pub mod service;

/// Pause between two exchanges with the sample.
const BEAT: Duration = Duration::from_millis(500);
/// Least pause between two exchanges, however often queues begin and end.
const MIN_PAUSE: Duration = Duration::from_millis(3);
/// Time in which a peer must answer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Refuses a request that is not from a node of the cluster.
pub fn require_node<T>(request: &Request<T>) -> Result<(), Status> {
    transport::require_role(request, Role::Node)
}

/// What this agent knows of its peers.
#[derive(Clone, Debug)]
pub struct PeerView(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    cluster: Arc<Cluster>,
    state: Mutex<State>,
    room: Notify,
}

#[derive(Debug)]
struct State {
    peers: Peers,
    sequence: Sequence,
}

impl PeerView {
    /// Makes the view of an agent in `zone`.
    pub fn new(zone: AvailabilityZone, cluster: Arc<Cluster>) -> Self {
        let state = State {
            peers: Peers::new(zone),
            sequence: Sequence::default(),
        };
        Self(Arc::new(Shared {
            cluster,
            state: Mutex::new(state),
            room: Notify::new(),
        }))
    }

    /// Chooses a peer to hand a request of `service` off to.
    pub fn choose(
        &self,
        service: ServiceId,
        own: BackendServerId,
        scope: Scope,
        need: RequiredCapacity,
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
            .choose(now, &mut rng, scope, need, may_take)
    }

    /// How many peers have spoken of late.
    pub fn reporting_count(&self) -> usize {
        let now = Instant::now().into_std();
        self.lock().peers.loads(now).count()
    }

    /// Completes when a peer has said that it has room.
    pub fn room_appeared(&self) -> Notified<'_> {
        self.0.room.notified()
    }

    /// Takes in the word of a peer.
    pub fn on_load(&self, zone: AvailabilityZone, said: PeerLoad) {
        let has_room = said.load.has_capacity() && !said.draining;
        let now = Instant::now().into_std();
        self.lock().peers.on_load(now, zone, said);
        if has_room {
            self.0.room.notify_waiters();
        }
    }

    /// Peers of the own availability zone where requests wait.
    fn waiting_nearby(&self) -> Vec<BackendServerId> {
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

/// What this agent says of itself; none before its server has announced itself.
pub(super) fn own_load(agent: &Agent) -> Option<(ServiceId, PeerLoad)> {
    let requests = &agent.requests;
    let policy = requests.policy()?;
    let said = PeerLoad {
        server: policy.server,
        incarnation: agent.cx.incarnation,
        sequence: requests.peers.next_sequence(),
        load: requests.gate.load(),
        open_flows: agent.flows.count(),
        draining: policy.draining,
    };
    Some((policy.service, said))
}

/// Takes in what a peer said, for requests and for flows.
pub(super) fn take_load(agent: &Agent, load: wire::Load) {
    let said = PeerLoad::from(load);
    let Some(record) = agent.requests.channels.record(said.server) else {
        return;
    };
    agent.steering.on_report(OpenFlowsReport {
        server: said.server,
        open_flows: said.open_flows,
        expires_at: Instant::now().into_std() + LOAD_LIFETIME,
    });
    agent.requests.peers.on_load(record.zone, said);
}

/// Exchanges loads until the task ends: with the sample at the beat, with the own zone when a queue
/// begins or ends, and with peers that have a queue when there is room here.
pub async fn run(agent: &Arc<Agent>) -> Result<(), Infallible> {
    let gate: &Gate = &agent.requests.gate;
    let mut queued = false;
    loop {
        let is_beat = tokio::select! {
            () = sleep(BEAT) => true,
            () = gate.pressure_changed() => false,
        };
        if let Some((service, said)) = own_load(agent) {
            let was_queued = std::mem::replace(&mut queued, said.load.queued > 0);
            let peers = if is_beat {
                sample(agent, service, said.server, Scope::Anywhere)
            } else if queued != was_queued {
                sample(agent, service, said.server, Scope::Zone)
            } else {
                agent.requests.peers.waiting_nearby()
            };
            for peer in peers {
                let own = wire::Load::new(service, &said);
                tokio::spawn(exchange(Arc::clone(agent), peer, own));
            }
        }
        sleep(MIN_PAUSE).await;
    }
}

async fn exchange(agent: Arc<Agent>, peer: BackendServerId, own: wire::Load) {
    let channels: &Channels = &agent.requests.channels;
    let asked = async {
        let channel = channels.to(peer).await.ok()?;
        let answer = PeersClient::new(channel).exchange(own).await.ok()?;
        Some(answer.into_inner())
    };
    if let Ok(Some(load)) = timeout(EXCHANGE_TIMEOUT, asked).await {
        take_load(&agent, load);
    }
}

/// The peers to exchange loads with: those of the own zone first, the rest at random.
fn sample(
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
    let is_near = |zone: &AvailabilityZone| *zone == agent.cx.zone;
    let mut rng = rand::rng();
    let near = peers.iter().filter(|r| is_near(&r.zone));
    let near = near.filter_map(|r| server(r.member));
    let mut chosen = near.choose_multiple(&mut rng, MAX_SAMPLE);
    if scope == Scope::Anywhere {
        let far = peers.iter().filter(|r| !is_near(&r.zone));
        let far = far.filter_map(|r| server(r.member));
        let left = MAX_SAMPLE - chosen.len();
        chosen.extend(far.choose_multiple(&mut rng, left));
    }
    chosen
}
