//! A small cluster on loopback that consists of real daemons and test doubles.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use dogwoodrill::agent::quic::ServiceIdentity;
use dogwoodrill::agent::{Agent, AgentOptions};
use dogwoodrill::balancer::{Balancer, BalancerOptions};
use dogwoodrill::context::Cx;
use dogwoodrill::control::{Control, ControlOptions};
use dogwoodrill_core::config::{CommittedConfig, Profile, Service};
use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_core::ids::{LogIndex, ServiceId};
use dogwoodrill_testkit::backend_server::BackendServer;
use dogwoodrill_testkit::caller::{CallError, Caller};
use dogwoodrill_testkit::certificate::Certificate;
use dogwoodrill_testkit::fabric::Fabric;
use http::Request;
use tempfile::TempDir;
use tokio::time::{sleep, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Timeout that ends a test that hangs; no result depends on its length.
pub const HANG_GUARD: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Name, id and address of the service of the small cluster.
pub struct TestService {
    pub name: &'static str,
    pub id: ServiceId,
    pub address: SocketAddr,
}

pub const ORDERS: TestService = TestService {
    name: "orders",
    id: ServiceId::new(1),
    address: SocketAddr::new(
        std::net::IpAddr::V4(std::net::Ipv4Addr::new(192, 0, 2, 1)),
        443,
    ),
};

/// A cluster with one control host, some balancers and one backend server with its agent.
pub struct SmallCluster {
    pub backend: BackendServer,
    pub fabric: Fabric,
    pub certificate: Certificate,
    _stop: DropGuard,
    _data: TempDir,
}

impl SmallCluster {
    /// Starts everything and waits until the first flow can be opened.
    pub async fn start(balancers: u64) -> Self {
        let token = CancellationToken::new();
        let certificate = Certificate::generate();
        let backend = BackendServer::start().await.unwrap();
        let data = tempfile::tempdir().unwrap();
        let control = start_control(&token, data.path()).await;
        let agent = start_agent(&token, control, &certificate).await;
        announce(agent, &backend).await;
        let mut upstreams = Vec::new();
        for node in 0..balancers {
            upstreams.push(start_balancer(&token, control, node).await);
        }
        let fabric = Fabric::start(upstreams, 7).await.unwrap();
        Self {
            backend,
            fabric,
            certificate,
            _stop: token.drop_guard(),
            _data: data,
        }
    }

    /// Opens a flow of a new caller.
    pub async fn caller(&self) -> Result<Caller, CallError> {
        Caller::connect(self.fabric.address(), &self.certificate).await
    }
}

pub fn cx(node: u64) -> Cx {
    let key = ClusterKey::new(*b"a key for tests.");
    Cx::new(node.into(), "las-piedras".parse().unwrap(), key)
}

/// Builds a GET request for `path`, without a body.
pub fn get(path: &str) -> Request<Bytes> {
    Request::get(format!("https://service.test{path}"))
        .body(Bytes::new())
        .unwrap()
}

pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Returns the initial configuration of the small cluster.
pub fn initial_config() -> CommittedConfig {
    let profile = Profile::standard("orders".parse().unwrap());
    let service = Service {
        id: ORDERS.id,
        name: ORDERS.name.parse().unwrap(),
        profile: profile.name.clone(),
        addresses: vec![ORDERS.address],
    };
    CommittedConfig {
        index: LogIndex::new(1),
        profiles: [(profile.name.clone(), profile)].into(),
        services: [(service.id, service)].into(),
        ..CommittedConfig::default()
    }
}

async fn start_control(token: &CancellationToken, data: &Path) -> SocketAddr {
    let options = ControlOptions::single_host(any_port(), data.to_owned(), initial_config());
    let control = Control::bind(cx(200), options).await.unwrap();
    let address = control.address();
    tokio::spawn(control.run(token.clone()));
    address
}

async fn start_agent(
    token: &CancellationToken,
    control: SocketAddr,
    certificate: &Certificate,
) -> SocketAddr {
    let identity = certificate.clone();
    let options = AgentOptions {
        parents: vec![control],
        tunnel: any_port(),
        advertised_tunnel: None,
        peer: any_port(),
        announce: any_port(),
        identity: ServiceIdentity {
            chain: vec![identity.der],
            key: identity.key,
        },
    };
    let agent = Agent::bind(cx(100), options).await.unwrap();
    let address = agent.announce_address().unwrap();
    tokio::spawn(agent.run(token.clone()));
    address
}

async fn start_balancer(token: &CancellationToken, control: SocketAddr, node: u64) -> SocketAddr {
    let options = BalancerOptions {
        parents: vec![control],
        tunnel: any_port(),
        peer: any_port(),
        bind_instead: Some(any_port()),
        linger: Duration::from_millis(200),
    };
    let balancer = Balancer::bind(cx(node), options).await.unwrap();
    let (listeners, cluster) = (balancer.listeners(), balancer.cluster());
    tokio::spawn(balancer.run(token.clone()));
    let ready = async {
        loop {
            let known = !cluster.directory().candidates(ORDERS.id).is_empty();
            if let (true, Some(bound)) = (known, listeners.bound_address(ORDERS.address)) {
                return bound;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(HANG_GUARD, ready)
        .await
        .expect("the balancer learns of the service and its server")
}

async fn announce(agent: SocketAddr, backend: &BackendServer) {
    let answer = backend
        .announce(agent, 1, ORDERS.name, 2, "boot-1")
        .await
        .unwrap();
    assert!(
        answer.is_success(),
        "the announcement was refused: {answer}"
    );
}
