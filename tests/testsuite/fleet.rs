//! A fleet of balancers and agents; a test can change the cluster view of each node separately.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill::agent::flow::OpenFlows;
use dogwoodrill::agent::quic::ServiceIdentity;
use dogwoodrill::agent::steering::SharedSteering;
use dogwoodrill::agent::{Agent, AgentOptions};
use dogwoodrill::balancer::health::FabricHealth;
use dogwoodrill::balancer::listeners::Listeners;
use dogwoodrill::balancer::{Balancer, BalancerOptions};
use dogwoodrill::cluster::Cluster;
use dogwoodrill::context::{Cx, wall_clock};
use dogwoodrill::control::{Control, ControlOptions};
use dogwoodrill::packet_metrics::PacketMetrics;
use dogwoodrill::supervisor::RestartLimitExceeded;
use dogwoodrill_core::config::{CommittedConfig, ZoneState, ZoneStatus};
use dogwoodrill_core::directory::{MemberId, MemberState, Record};
use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_testkit::backend_server::BackendServer;
use dogwoodrill_testkit::caller::{CallError, Caller};
use dogwoodrill_testkit::certificate::Certificate;
use dogwoodrill_testkit::fabric::Fabric;
use tempfile::TempDir;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::support::{HANG_GUARD, ORDERS, any_port, initial_config};

pub const KEY: ClusterKey = ClusterKey::new(*b"a key for tests.");
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which a leaving balancer still forwards; longer than a test needs for its steps.
const LINGER: Duration = Duration::from_secs(2);

/// Waits until `done` returns true.
pub async fn eventually(what: &str, mut done: impl FnMut() -> bool) {
    let poll = async {
        while !done() {
            sleep(POLL_INTERVAL).await;
        }
    };
    let came = timeout(HANG_GUARD, poll).await;
    came.unwrap_or_else(|_| panic!("it did not come about that {what}"));
}

pub struct LocalAgent {
    pub server: u32,
    pub backend: BackendServer,
    pub cluster: Arc<Cluster>,
    pub flows: OpenFlows,
    pub identity: watch::Sender<Arc<ServiceIdentity>>,
    pub steering: Arc<SharedSteering>,
    pub metrics: PacketMetrics,
    pub tunnel: SocketAddr,
    pub stop: CancellationToken,
    pub task: JoinHandle<Result<(), RestartLimitExceeded>>,
}

pub struct LocalBalancer {
    pub cluster: Arc<Cluster>,
    pub listeners: Arc<Listeners>,
    pub metrics: PacketMetrics,
    pub health: watch::Receiver<FabricHealth>,
    pub stop: CancellationToken,
    pub task: JoinHandle<Result<(), RestartLimitExceeded>>,
}

pub struct Fleet {
    pub agents: Vec<LocalAgent>,
    pub balancers: Vec<LocalBalancer>,
    pub fabric: Fabric,
    pub certificate: Certificate,
    control: SocketAddr,
    node: u64,
    _data: TempDir,
    _stop: DropGuard,
}

impl Fleet {
    /// Starts an agent for each zone in `agents`, with servers numbered from 1, and a balancer for each zone in
    /// `balancers`.
    pub async fn start(agents: &[&str], balancers: &[&str]) -> Self {
        let stop = CancellationToken::new();
        let data = tempfile::tempdir().unwrap();
        let control =
            ControlOptions::single_host(any_port(), data.path().to_owned(), initial_config());
        let control = Control::bind(cx(900, "las-piedras"), control)
            .await
            .unwrap();
        let address = control.address();
        tokio::spawn(control.run(stop.clone()));
        let mut fleet = Self {
            agents: Vec::new(),
            balancers: Vec::new(),
            fabric: Fabric::start(Vec::new(), 7).await.unwrap(),
            certificate: Certificate::generate(),
            control: address,
            node: 0,
            _data: data,
            _stop: stop.drop_guard(),
        };
        for (server, zone) in (1..).zip(agents) {
            fleet.start_agent(server, zone).await;
        }
        for zone in balancers {
            fleet.start_balancer(zone).await;
        }
        fleet.settle().await;
        fleet
    }

    pub async fn start_agent(&mut self, server: u32, zone: &str) {
        self.node += 1;
        let backend = BackendServer::start().await.unwrap();
        let options = AgentOptions {
            parents: vec![self.control],
            tunnel: any_port(),
            advertised_tunnel: None,
            peer: any_port(),
            announce: any_port(),
            identity: ServiceIdentity {
                chain: vec![self.certificate.der.clone()],
                key: self.certificate.clone().key,
            },
        };
        let agent = Agent::bind(cx(self.node, zone), options).await.unwrap();
        let announce = agent.announce_address().unwrap();
        let stop = CancellationToken::new();
        self.agents.push(LocalAgent {
            server,
            cluster: agent.cluster(),
            flows: agent.flows().clone(),
            identity: agent.identity(),
            steering: agent.steering(),
            metrics: agent.metrics().clone(),
            tunnel: agent.tunnel_address().unwrap(),
            stop: stop.clone(),
            task: tokio::spawn(agent.run(stop)),
            backend,
        });
        let backend = &self.agents.last().unwrap().backend;
        let answer = backend.announce(announce, server, ORDERS.name, 2, "boot-1");
        assert!(answer.await.unwrap().is_success());
    }

    async fn start_balancer(&mut self, zone: &str) {
        self.node += 1;
        let options = BalancerOptions {
            parents: vec![self.control],
            tunnel: any_port(),
            peer: any_port(),
            bind_instead: Some(any_port()),
            linger: LINGER,
        };
        let balancer = Balancer::bind(cx(self.node, zone), options).await.unwrap();
        let stop = CancellationToken::new();
        self.balancers.push(LocalBalancer {
            cluster: balancer.cluster(),
            listeners: balancer.listeners(),
            metrics: balancer.metrics().clone(),
            health: balancer.health(),
            stop: stop.clone(),
            task: tokio::spawn(balancer.run(stop)),
        });
    }

    fn views(&self) -> impl Iterator<Item = &Arc<Cluster>> {
        let agents = self.agents.iter().map(|a| &a.cluster);
        agents.chain(self.balancers.iter().map(|b| &b.cluster))
    }

    /// Waits until every node knows all servers and balancers and all servers are eligible for flows.
    pub async fn settle(&self) {
        let servers = self.agents.iter().filter(|a| !a.task.is_finished());
        let servers: std::collections::BTreeSet<_> = servers.map(|a| a.server).collect();
        let knows = |view: &Arc<Cluster>| {
            let directory = view.directory();
            let now = wall_clock();
            let candidates = directory.candidates(ORDERS.id).iter();
            candidates.filter(|c| c.eligible_at <= now).count() == servers.len()
                && directory.balancers().count() == self.balancers.len()
        };
        eventually("every node knows all others", || self.views().all(knows)).await;
        let bound = || self.balancers.iter().filter_map(LocalBalancer::bound);
        eventually("the address is bound", || {
            bound().count() == self.balancers.len()
        })
        .await;
        self.fabric.set_balancers(bound().collect());
    }

    pub async fn caller(&self) -> Result<Caller, CallError> {
        Caller::connect(self.fabric.address(), &self.certificate).await
    }

    /// Puts a changed configuration in force on every node.
    pub fn change(&self, change: impl Fn(&mut CommittedConfig)) {
        for view in self.views() {
            let mut config = (*view.config()).clone();
            config.index = config.index.next();
            change(&mut config);
            view.adopt(config);
        }
    }

    pub fn take_out(&self, zone: &str) {
        self.change(|config| {
            let zone = ZoneState {
                name: zone.parse().unwrap(),
                version: 2.into(),
                status: ZoneStatus::Out,
            };
            config.zones.insert(zone.name.clone(), zone);
        });
    }

    /// Marks a server as left on every node, as failure detection or a leave notice would.
    pub fn mark_as_left(&self, server: u32) {
        for view in self.views() {
            let member = MemberId::BackendServer(server.into());
            let known = view.directory().get(member).cloned().unwrap();
            view.merge(Record {
                state: MemberState::Left,
                sequence: known.sequence.next(),
                eligible_at: wall_clock().plus(HANG_GUARD),
                ..known
            });
        }
    }

    /// Returns the agent of the only open flow.
    pub fn owner(&self) -> &LocalAgent {
        let mut owners = self.agents.iter().filter(|a| a.flows.count() > 0);
        let owner = owners.next().expect("a flow is open");
        assert!(owners.next().is_none(), "only one flow is open");
        owner
    }
}

impl LocalBalancer {
    pub fn bound(&self) -> Option<SocketAddr> {
        self.listeners.bound_address(ORDERS.address)
    }

    /// Ends the balancer at once, as a crash does.
    pub async fn kill(&mut self) {
        self.task.abort();
        assert!((&mut self.task).await.is_err(), "the task was running");
    }
}

fn cx(node: u64, zone: &str) -> Cx {
    Cx::new(node.into(), zone.parse().unwrap(), KEY)
}
