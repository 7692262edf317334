//! The daemons and test doubles of the example.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dogwoodrill::agent::quic::ServiceIdentity;
use dogwoodrill::agent::{Agent, AgentOptions};
use dogwoodrill::balancer::health::FabricHealth;
use dogwoodrill::balancer::listeners::Listeners;
use dogwoodrill::balancer::{Balancer, BalancerOptions, DEFAULT_LINGER};
use dogwoodrill::cluster::Cluster;
use dogwoodrill::context::Cx;
use dogwoodrill::control::{Control, ControlOptions};
use dogwoodrill::operator::OperatorClient;
use dogwoodrill_core::changes::Change;
use dogwoodrill_core::config::{
    CommittedConfig, Priority, Profile, Service, Version, ZoneState, ZoneStatus,
};
use dogwoodrill_core::control_status::{ControlHost, ControlRole};
use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_core::ids::{AvailabilityZone, LogIndex, ServiceId};
use dogwoodrill_testkit::backend_server;
use dogwoodrill_testkit::caller::{CallError, Caller};
use dogwoodrill_testkit::certificate::Certificate;
use dogwoodrill_testkit::fabric::Fabric;
use dogwoodrill_testkit::slotted_server::{Counters, ServerOptions, SlottedServer};
use dogwoodrill_testkit::tap::Tap;
use tempfile::TempDir;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::{Failure, fabric};

/// The availability zones.
pub const ZONES: [&str; 3] = ["las-piedras", REMOVED_ZONE, "santa-lucia"];
/// The zone that is taken out and put back in.
pub const REMOVED_ZONE: &str = "pando";
const BALANCERS_PER_ZONE: usize = 2;
const SLOTS: u16 = 2;
/// Time within which the whole cluster must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One service of the example.
#[derive(Debug)]
pub struct ServiceSpec {
    pub id: ServiceId,
    pub name: &'static str,
    pub address: SocketAddr,
    servers: u32,
    first_server: u32,
    service_time: Duration,
}

/// Takes orders and answers status queries.
pub const ORDERS: ServiceSpec = ServiceSpec {
    id: ServiceId::new(1),
    name: "orders",
    address: service_address(1),
    servers: 7,
    first_server: 1,
    service_time: Duration::from_millis(10),
};

/// Sends model sheets.
pub const CATALOGUE: ServiceSpec = ServiceSpec {
    id: ServiceId::new(2),
    name: "catalogue",
    address: service_address(2),
    servers: 3,
    first_server: 101,
    service_time: Duration::from_millis(30),
};

const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);
const COLD_TIME: Duration = Duration::from_secs(3);

const fn service_address(last: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(192, 0, 2, last)), 443)
}

/// A backend server and its agent.
#[derive(Debug)]
pub struct LocalServer {
    pub server: SlottedServer,
    pub zone: &'static str,
    tap: Option<Tap>,
    announce: SocketAddr,
}

impl LocalServer {
    /// Announces the server to its agent.
    pub async fn announce(&self) -> Result<(), Failure> {
        let options = self.server.options();
        let announcement = backend_server::Announcement {
            server: options.id,
            service: options.service,
            address: self.server.address(),
            slots: options.slots,
            boot_id: &self.server.boot_id(),
        };
        let response = backend_server::announce(self.announce, &announcement).await?;
        expect_success(response)
    }

    /// Reports to the agent that the server is draining.
    pub async fn drain(&self) -> Result<(), Failure> {
        expect_success(backend_server::drain(self.announce).await?)
    }

    /// Returns the number of packets sent to the agent so far; they are counted in [`REMOVED_ZONE`] only.
    pub fn packets(&self) -> u64 {
        self.tap.as_ref().map_or(0, Tap::packets)
    }
}

fn expect_success(response: http::StatusCode) -> Result<(), Failure> {
    if response.is_success() {
        return Ok(());
    }
    Err(format!("the agent responded with {response}").into())
}

/// Handle of a running balancer.
#[derive(Debug)]
pub struct LocalBalancer {
    token: CancellationToken,
    task: AbortHandle,
    health: watch::Receiver<FabricHealth>,
    listeners: Arc<Listeners>,
    cluster: Arc<Cluster>,
}

impl LocalBalancer {
    /// Returns whether the balancer passes the fabric's health check.
    pub fn is_healthy(&self) -> bool {
        !self.task.is_finished() && *self.health.borrow() == FabricHealth::Serving
    }

    /// Returns the address at which the balancer receives packets for a service.
    pub fn bound_for(&self, service: &ServiceSpec) -> Option<SocketAddr> {
        self.listeners.bound_address(service.address)
    }

    /// Stops the balancer as a planned change does: it fails its health check, forwards for a while and ends.
    pub fn stop(&self) {
        self.token.cancel();
    }

    /// Ends the balancer at once, as a crash does.
    pub fn kill(&self) {
        self.task.abort();
    }
}

/// Handle of a running control host.
#[derive(Debug)]
struct LocalControl {
    host: ControlHost,
    task: AbortHandle,
}

/// The fabric of each service.
#[derive(Debug)]
pub struct Fabrics {
    orders: Fabric,
    catalogue: Fabric,
}

impl Fabrics {
    /// Returns each service with its fabric.
    pub const fn all(&self) -> [(&'static ServiceSpec, &Fabric); 2] {
        [(&ORDERS, &self.orders), (&CATALOGUE, &self.catalogue)]
    }

    fn address(&self, service: &ServiceSpec) -> SocketAddr {
        if service.id == ORDERS.id {
            self.orders.address()
        } else {
            self.catalogue.address()
        }
    }
}

/// All daemons, servers and fabrics of the example.
#[derive(Debug)]
pub struct LocalCluster {
    pub balancers: Vec<Arc<LocalBalancer>>,
    pub servers: Vec<LocalServer>,
    control: Vec<LocalControl>,
    operator: OperatorClient,
    fabrics: Arc<Fabrics>,
    certificate: Certificate,
    token: CancellationToken,
    health_checks: JoinHandle<()>,
    daemons: Mutex<Vec<JoinHandle<()>>>,
    _data: TempDir,
}

impl LocalCluster {
    /// Starts all daemons and test doubles and waits until each balancer knows all servers.
    pub async fn start() -> Result<Self, Failure> {
        let mut starter = Starter::new()?;
        let control = starter.control().await?;
        let parents: Vec<_> = control.iter().map(|c| c.host.address).collect();
        let operator =
            OperatorClient::new(starter.cx(ZONES[0])?, parents.clone(), COMMAND_TIMEOUT)?;
        let mut servers = Vec::new();
        for spec in [&ORDERS, &CATALOGUE] {
            for n in 0..spec.servers {
                servers.push(starter.server(&parents, spec, n).await?);
            }
        }
        let mut balancers = Vec::new();
        for n in 0..ZONES.len() * BALANCERS_PER_ZONE {
            balancers.push(Arc::new(starter.balancer(&parents, n).await?));
        }
        let ready = wait_until_ready(&balancers);
        timeout(START_TIMEOUT, ready)
            .await
            .ok()
            .ok_or("the cluster was not ready in time")?;
        let fabrics = Arc::new(Fabrics {
            orders: Fabric::start(Vec::new(), 1).await?,
            catalogue: Fabric::start(Vec::new(), 2).await?,
        });
        Ok(Self {
            health_checks: fabric::start_health_checks(balancers.clone(), Arc::clone(&fabrics)),
            balancers,
            servers,
            control,
            operator,
            fabrics,
            certificate: starter.certificate,
            token: starter.token,
            daemons: Mutex::new(starter.daemons),
            _data: starter.data,
        })
    }

    /// Opens a flow of a new caller.
    pub async fn connect(&self, service: &ServiceSpec) -> Result<Caller, CallError> {
        Caller::connect(self.fabrics.address(service), &self.certificate).await
    }

    /// Takes a zone out or puts it back in.
    pub async fn set_zone(&self, zone: &str, status: ZoneStatus) -> Result<(), Failure> {
        let config = self.operator.config().await?;
        let name: AvailabilityZone = zone.parse()?;
        let mut state = config.zones.get(&name).ok_or("no such zone")?.clone();
        state.status = status;
        let id = OperatorClient::new_command_id();
        self.operator.apply(id, &Change::Zone(state)).await?;
        Ok(())
    }

    /// Ends the leader of the control hosts at once, as a crash does.
    pub async fn kill_control_leader(&self) -> Result<(), Failure> {
        for (address, status) in self.operator.status_of_each().await {
            if status.is_ok_and(|s| s.role == ControlRole::Leader) {
                let leader = self.control.iter().find(|c| c.host.address == address);
                leader
                    .ok_or("the leader is not one of the control hosts")?
                    .task
                    .abort();
                return Ok(());
            }
        }
        Err("no control host is the leader".into())
    }

    /// Returns the counters of all servers.
    pub fn counters(&self) -> Vec<ServerCounters> {
        let counters = |s: &LocalServer| ServerCounters {
            options: s.server.options().clone(),
            counters: s.server.counters(),
        };
        self.servers.iter().map(counters).collect()
    }

    /// Ends all open status queries with their last chunk.
    pub fn finish_status(&self) {
        for server in &self.servers {
            server.server.finish_status();
        }
    }

    /// Stops all daemons.
    pub async fn stop(&self) {
        self.health_checks.abort();
        self.token.cancel();
        let daemons = {
            let mut daemons = self.daemons.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *daemons)
        };
        for daemon in daemons {
            // A daemon that was killed on purpose ends with an error.
            drop(daemon.await);
        }
    }
}

/// Options and counters of a server.
#[derive(Debug)]
pub struct ServerCounters {
    pub options: ServerOptions,
    pub counters: Counters,
}

async fn wait_until_ready(balancers: &[Arc<LocalBalancer>]) {
    let knows_all = |b: &Arc<LocalBalancer>| {
        [&ORDERS, &CATALOGUE].into_iter().all(|spec| {
            let known = b.cluster.directory().candidates(spec.id).len();
            known == spec.servers as usize && b.bound_for(spec).is_some()
        })
    };
    while !balancers.iter().all(knows_all) {
        sleep(POLL_INTERVAL).await;
    }
    // New servers get flows only after their records have had time to reach all balancers.
    sleep(dogwoodrill::agent::publish::SPREAD_TIME).await;
}

struct Starter {
    token: CancellationToken,
    certificate: Certificate,
    data: TempDir,
    daemons: Vec<JoinHandle<()>>,
    next_node: u64,
}

impl Starter {
    fn new() -> Result<Self, Failure> {
        Ok(Self {
            token: CancellationToken::new(),
            certificate: Certificate::generate(),
            data: tempfile::tempdir()?,
            daemons: Vec::new(),
            next_node: 1,
        })
    }

    fn cx(&mut self, zone: &str) -> Result<Cx, Failure> {
        let node = self.next_node;
        self.next_node += 1;
        let key = ClusterKey::new(*b"a key on trial!!");
        Ok(Cx::new(node.into(), zone.parse()?, key))
    }

    /// Starts one control host in each zone.
    async fn control(&mut self) -> Result<Vec<LocalControl>, Failure> {
        let mut bound = Vec::new();
        for zone in ZONES {
            let cx = self.cx(zone)?;
            let data = self.data.path().join(zone);
            std::fs::create_dir(&data)?;
            let options = ControlOptions::single_host(any_port(), data, initial_config()?);
            let node = cx.node;
            let control = Control::bind(cx, options).await?;
            let address = control.address();
            bound.push((control, ControlHost { node, address }));
        }
        let hosts: Vec<_> = bound.iter().map(|(_, host)| *host).collect();
        let start = |(control, host): (Control, ControlHost)| {
            let others = hosts.iter().copied().filter(|h| h.node != host.node);
            let run = control.with_peers(others.collect()).run(self.token.clone());
            let daemon = tokio::spawn(async move { report(run.await) });
            let task = daemon.abort_handle();
            self.daemons.push(daemon);
            LocalControl { host, task }
        };
        Ok(bound.into_iter().map(start).collect())
    }

    async fn server(
        &mut self,
        parents: &[SocketAddr],
        spec: &ServiceSpec,
        n: u32,
    ) -> Result<LocalServer, Failure> {
        let zone = ZONES[n as usize % ZONES.len()];
        let server = SlottedServer::start(ServerOptions {
            id: spec.first_server + n,
            service: spec.name,
            slots: SLOTS,
            service_time: spec.service_time,
            cold_time: COLD_TIME,
        })
        .await?;
        // An agent behind a tap sees the tap's address in place of the balancers' addresses and cannot tell which
        // of them is alive. Taps are therefore used only where packets are counted.
        let tap = if zone == REMOVED_ZONE {
            Some(Tap::start().await?)
        } else {
            None
        };
        let certificate = self.certificate.clone();
        let options = AgentOptions {
            parents: parents.to_vec(),
            tunnel: any_port(),
            advertised_tunnel: tap.as_ref().map(Tap::address),
            peer: any_port(),
            announce: any_port(),
            identity: ServiceIdentity {
                chain: vec![certificate.der],
                key: certificate.key,
            },
        };
        let agent = Agent::bind(self.cx(zone)?, options).await?;
        if let Some(tap) = &tap {
            tap.set_target(agent.tunnel_address()?);
        }
        let announce = agent.announce_address()?;
        let run = agent.run(self.token.clone());
        self.daemons
            .push(tokio::spawn(async move { report(run.await) }));
        let local = LocalServer {
            server,
            zone,
            tap,
            announce,
        };
        local.announce().await?;
        Ok(local)
    }

    async fn balancer(
        &mut self,
        parents: &[SocketAddr],
        n: usize,
    ) -> Result<LocalBalancer, Failure> {
        let options = BalancerOptions {
            parents: parents.to_vec(),
            tunnel: any_port(),
            peer: any_port(),
            bind_instead: Some(any_port()),
            linger: DEFAULT_LINGER,
        };
        let cx = self.cx(ZONES[n % ZONES.len()])?;
        let balancer = Balancer::bind(cx, options).await?;
        let (listeners, cluster) = (balancer.listeners(), balancer.cluster());
        let health = balancer.health();
        let token = self.token.child_token();
        let run = balancer.run(token.clone());
        let daemon = tokio::spawn(async move { report(run.await) });
        let task = daemon.abort_handle();
        self.daemons.push(daemon);
        Ok(LocalBalancer {
            token,
            task,
            health,
            listeners,
            cluster,
        })
    }
}

fn report<E: std::fmt::Display>(ended: Result<(), E>) {
    if let Err(e) = ended {
        eprintln!("a daemon failed: {e}");
    }
}

const fn any_port() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

fn initial_config() -> Result<CommittedConfig, Failure> {
    let mut config = CommittedConfig {
        index: LogIndex::new(1),
        ..CommittedConfig::default()
    };
    for zone in ZONES {
        let state = ZoneState {
            name: zone.parse()?,
            version: Version::new(1),
            status: ZoneStatus::In,
        };
        config.zones.insert(state.name.clone(), state);
    }
    for (spec, priority) in [
        (&ORDERS, Priority::Interactive),
        (&CATALOGUE, Priority::Bulk),
    ] {
        let mut profile = Profile::standard(spec.name.parse()?);
        profile.version = Version::new(1);
        profile.priority = priority;
        profile.request_timeout = Duration::from_secs(5);
        profile.cold_start = COLD_TIME;
        let service = Service {
            id: spec.id,
            name: spec.name.parse()?,
            profile: profile.name.clone(),
            addresses: vec![spec.address],
        };
        config.profiles.insert(profile.name.clone(), profile);
        config.services.insert(service.id, service);
    }
    Ok(config)
}
