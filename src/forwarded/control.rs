//! The control host of forwarded flows: replicates the configuration and distributes it to the nodes.
//!
//! The log, its storage and its messages are those of [`crate::control`]. Only the membership is managed
//! differently, without an operator: the initial members know each other from their settings, and a host with
//! an empty disk requests to join until the leader has a vacancy for it.

use std::collections::{BTreeSet, VecDeque};
use std::hash::Hasher;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use dogwoodrill_consensus::store::file::ClusterId;
use dogwoodrill_consensus::{Member, MemberId, MemberRole, Membership, Options};
use dogwoodrill_core::config::{CommittedConfig, ZoneStatus};
use dogwoodrill_core::control_status::ControlHost;
use dogwoodrill_core::forwarded::mesh::Mesh;
use dogwoodrill_core::forwarded::node::NodeAddress;
use dogwoodrill_core::forwarded::node::{ControlHostSettings, NodeRole, NodeSettings};
use dogwoodrill_core::forwarded::node_list::NodeListHash;
use dogwoodrill_core::forwarded::report::Heartbeat;
use dogwoodrill_core::forwarded::service_map::{RouteTable, ServiceMap};
use dogwoodrill_core::ids::NodeId;
use dogwoodrill_wire::convert::forwarded::Datagram;
use dogwoodrill_wire::proto::consensus as consensus_wire;
use dogwoodrill_wire::proto::consensus::consensus_client::ConsensusClient;
use dogwoodrill_wire::proto::consensus::join_response::Answer;
use dogwoodrill_wire::proto::forwarded as wire;
use dogwoodrill_wire::proto::forwarded::service_maps_server::{ServiceMaps, ServiceMapsServer};
use siphasher::sip::SipHasher13;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;
use tonic::{Request, Response, Status};

use super::datagrams::Datagrams;
use super::journal::{Event, Journal};
use super::metrics::SocketCallCounters;
use super::packets::Inbox;
use crate::cluster::Cluster;
use crate::context::Cx;
use crate::control::ControlError;
use crate::control::driver::{Driver, DriverError, LogOptions};
use crate::control::handle::{self, Handle, Input};
use crate::control::members::ConsensusService;
use crate::control::storage::Storage;
use crate::transport;

/// Interval of the timer that expires nodes and flushes the journal.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two attempts to bootstrap or join a cluster.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which the list of control hosts is refreshed.
const MEMBERS_REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a join request to one control host.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without a leader after which a control host starts an election. It is long enough for several syncs
/// of a disk that takes 30 times as long as usual.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);
/// Election timeout for hosts that all start at the same time.
const FIRST_ELECTION_TIMEOUT: Duration = Duration::from_millis(40);
/// Interval between heartbeats of the leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Log entries kept in memory after a snapshot. The number is small because each may hold a whole
/// configuration.
const LOG_TAIL: u64 = 16;

fn log_options() -> Options {
    Options {
        election_timeout: ELECTION_TIMEOUT,
        first_election_timeout: FIRST_ELECTION_TIMEOUT,
        heartbeat_interval: HEARTBEAT_INTERVAL,
        max_entries: 16,
        retained_entries: LOG_TAIL,
    }
}

/// Parses the body of a committed document, which was validated before it was proposed.
pub type ParseDocument = fn(&[u8]) -> Result<RouteTable, Box<dyn std::error::Error + Send + Sync>>;

/// Why a control host stopped.
#[derive(Debug, Snafu)]
pub enum ControlNodeError {
    /// A socket could not be bound.
    #[snafu(display("cannot listen on {address}; check that the port is free"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The log could not be opened.
    #[snafu(transparent)]
    Open {
        /// The reason.
        source: ControlError,
    },
    /// The log could not be written.
    #[snafu(transparent)]
    Write {
        /// The reason.
        source: DriverError,
    },
    /// The socket for messages of other nodes failed.
    #[snafu(display("cannot read datagrams from the node socket"))]
    Datagrams {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The gRPC server for other control hosts and nodes failed.
    #[snafu(transparent)]
    Serve {
        /// The reason.
        source: tonic::transport::Error,
    },
}

/// A control host with its sockets bound and its log loaded, ready to run.
#[derive(Debug)]
pub struct ControlNode {
    cx: Cx,
    cluster: Arc<Cluster>,
    listener: Arc<TcpListener>,
    handle: Handle,
    driver: Box<Driver>,
    joiner: Joiner,
    datagrams: Datagrams,
    maps: ServiceMapStore,
    journal: Journal,
}

impl ControlNode {
    /// Binds the sockets and opens the log in the data folder. `read` parses committed documents.
    pub async fn bind(
        cx: &Cx,
        settings: &NodeSettings,
        host_settings: &ControlHostSettings,
        read: ParseDocument,
        journal: Journal,
    ) -> Result<Self, ControlNodeError> {
        let address = SocketAddr::from((settings.ip, settings.inner_port));
        let bind = SocketAddr::from((settings.bind_ip, settings.inner_port));
        let listener = TcpListener::bind(bind).await;
        let listener = Arc::new(listener.context(ListenSnafu { address: bind })?);
        let datagrams = Datagrams::bind(settings, SocketCallCounters::register(&cx.metrics))
            .context(ListenSnafu { address: bind })?;
        let initial_members = initial_members(settings, host_settings);
        let own_id = initial_members.as_ref().map(|_| initial_member_id(address));
        let storage = Storage::open(cx.node, &host_settings.data_dir, own_id)?;
        let cluster = Arc::new(Cluster::default());
        let (handle, inputs) = handle::channel();
        let initial = CommittedConfig::default();
        let log_terms = LogOptions {
            options: log_options(),
            target_voters: 2 * host_settings.tolerated_losses + 1,
        };
        let driver = Driver::new(cx, &cluster, storage, address, initial, inputs, log_terms);
        Ok(Self {
            cx: cx.clone(),
            cluster,
            listener,
            joiner: Joiner {
                cx: cx.clone(),
                handle: handle.clone(),
                own: ControlHost {
                    node: cx.node,
                    address,
                },
                initial_members,
                members: watch::Sender::new(Arc::default()),
            },
            handle,
            driver: Box::new(driver),
            datagrams,
            maps: ServiceMapStore {
                read,
                current: Arc::default(),
            },
            journal,
        })
    }

    /// Returns a handle for proposing changes and for reading the configuration and the status.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Returns the state that the host shares with its tasks, such as the committed configuration.
    pub fn cluster(&self) -> Arc<Cluster> {
        Arc::clone(&self.cluster)
    }

    /// Runs until `token` is cancelled or the disk fails. `seeds` are the addresses of the control hosts that
    /// the host contacts first.
    pub async fn run(
        self,
        seeds: watch::Receiver<Arc<[NodeAddress]>>,
        token: CancellationToken,
    ) -> Result<(), ControlNodeError> {
        let mut routes = Routes::builder();
        routes
            .add_service(ConsensusService::server(&self.handle))
            .add_service(ServiceMapsServer::new(self.maps.clone()));
        let served = transport::serve(&self.cx, self.listener, routes.routes(), token.clone());
        let notifier = NodeNotifier {
            mesh: Mesh::new(self.datagrams.own_address()),
            datagrams: self.datagrams,
            maps: self.maps,
            cluster: self.cluster,
            journal: self.journal,
            members: self.joiner.members.subscribe(),
        };
        tokio::select! {
            ended = served => Ok(ended?),
            ended = self.driver.run(token.clone()) => Ok(ended?),
            ended = notifier.run(seeds.clone()) => ended.context(DatagramsSnafu),
            () = self.joiner.run(seeds) => Ok(()),
        }
    }
}

/// Returns the addresses of the initial members of the cluster if this host is one of them, else `None`.
fn initial_members(
    settings: &NodeSettings,
    host_settings: &ControlHostSettings,
) -> Option<Vec<SocketAddr>> {
    let is_initial_member = host_settings.bootstrap && settings.seeds.contains(&settings.ip);
    let seeds = settings.seeds.iter().collect::<BTreeSet<_>>().into_iter();
    let addresses = seeds.map(|ip| SocketAddr::from((*ip, settings.inner_port)));
    is_initial_member.then(|| addresses.collect())
}

/// Returns the member id of an initial member. It is derived from the address, so that each initial member
/// can write the first membership without contacting the others. Disks that are initialized later get a
/// random id.
fn initial_member_id(address: SocketAddr) -> MemberId {
    MemberId::new(hash_addresses(&[address]).max(1))
}

fn hash_addresses(addresses: &[SocketAddr]) -> u64 {
    let mut hasher = SipHasher13::new();
    for address in addresses {
        hasher.write(address.to_string().as_bytes());
        hasher.write_u8(0);
    }
    hasher.finish()
}

/// Returns the node id of the host at `ip`.
pub fn node_id_from_ip(ip: Ipv4Addr) -> NodeId {
    NodeId::new(ip.to_bits().into())
}

/// The outcome of a join request.
enum JoinOutcome {
    Accepted,
    Refused {
        reason: String,
        /// The members known to the control host that refused.
        members: Membership,
    },
}

/// Bootstraps the cluster or joins it, and then keeps the list of control hosts up to date.
#[derive(Debug)]
struct Joiner {
    cx: Cx,
    handle: Handle,
    own: ControlHost,
    initial_members: Option<Vec<SocketAddr>>,
    members: watch::Sender<Arc<[NodeAddress]>>,
}

impl Joiner {
    /// Runs until the future is dropped. Once the host belongs to a cluster, only the list of control hosts
    /// is refreshed.
    async fn run(self, seeds: watch::Receiver<Arc<[NodeAddress]>>) {
        loop {
            if let Ok(host_membership) = self.handle.host_membership().await {
                let identity = host_membership.identity;
                match &self.initial_members {
                    _ if identity.cluster.is_some() => {
                        self.members
                            .send_replace(node_addresses(&host_membership.membership));
                        sleep(MEMBERS_REFRESH_INTERVAL).await;
                    }
                    Some(initial_members) => self.bootstrap(initial_members).await,
                    None => {
                        // The guard must not be held across the requests, because it blocks writers of the
                        // seeds.
                        let known_seeds = seeds.borrow().clone();
                        self.request_join(identity.host, &known_seeds).await;
                    }
                }
            }
            sleep(JOIN_RETRY_INTERVAL).await;
        }
    }

    async fn bootstrap(&self, initial_members: &[SocketAddr]) {
        let members = initial_members.iter().map(|address| Member {
            id: initial_member_id(*address),
            role: MemberRole::Voter,
            replaces: None,
            node: match address.ip() {
                std::net::IpAddr::V4(ip) => node_id_from_ip(ip),
                std::net::IpAddr::V6(_) => NodeId::default(),
            },
            address: *address,
        });
        let membership = Membership::new(members);
        let cluster = ClusterId::new(hash_addresses(initial_members).max(1));
        let input = Input::Bootstrap {
            membership,
            cluster: Some(cluster),
        };
        if let Err(e) = self.handle.send(input).await {
            log::warn!("cannot bootstrap the cluster: {e}");
        }
    }

    /// Sends join requests to the seeds and then to the members that they return, until one accepts the host.
    /// Only the leader can accept it, and the leader need not be among the seeds.
    async fn request_join(&self, host: MemberId, seeds: &[NodeAddress]) {
        let port = self.own.address.port();
        let seeds = seeds.iter().map(|s| SocketAddr::from((s.ip, port)));
        let mut pending: VecDeque<_> = seeds.collect();
        let mut queried = BTreeSet::from([self.own.address]);
        while let Some(address) = pending.pop_front() {
            if !queried.insert(address) {
                continue;
            }
            match timeout(JOIN_TIMEOUT, self.request_join_from(address, host)).await {
                Ok(Some(JoinOutcome::Accepted)) => {
                    log::info!("control host {address} accepted the join request");
                    return;
                }
                Ok(Some(JoinOutcome::Refused { reason, members })) => {
                    log::debug!("control host {address} refused the join request: {reason}");
                    pending.extend(members.members().iter().map(|m| m.address));
                }
                Ok(None) | Err(_) => log::debug!("control host {address} did not answer"),
            }
        }
    }

    async fn request_join_from(&self, address: SocketAddr, host: MemberId) -> Option<JoinOutcome> {
        let member = Member {
            id: host,
            role: MemberRole::Learner,
            replaces: None,
            node: self.own.node,
            address: self.own.address,
        };
        let request = consensus_wire::JoinRequest {
            member: Some((&member).into()),
            replaces_node: 0,
        };
        let channel = transport::connect(&self.cx, address).await.ok()?;
        let mut client = ConsensusClient::new(channel);
        let answer = client.join(request).await.ok()?.into_inner().answer?;
        let reason = match answer {
            Answer::TakenIn(_) => return Some(JoinOutcome::Accepted),
            Answer::Refusal(reason) => reason,
        };
        let identity = client.identify(consensus_wire::IdentifyRequest {}).await;
        let members = identity.ok()?.into_inner().membership?.try_into().ok()?;
        Some(JoinOutcome::Refused { reason, members })
    }
}

fn node_addresses(membership: &Membership) -> Arc<[NodeAddress]> {
    let ips = membership
        .members()
        .iter()
        .filter_map(|m| match m.address.ip() {
            std::net::IpAddr::V4(ip) => Some(ip),
            std::net::IpAddr::V6(_) => None,
        });
    let role = NodeRole::Control;
    ips.map(|ip| NodeAddress { ip, role }).collect()
}

/// Holds the service map of the committed configuration and serves it to the nodes.
#[derive(Clone, Debug)]
struct ServiceMapStore {
    read: ParseDocument,
    current: Arc<ArcSwap<wire::ServiceMap>>,
}

impl ServiceMapStore {
    fn update(
        &self,
        config: &CommittedConfig,
    ) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
        let document = config.document.as_ref();
        let table = document.map(|d| (self.read)(&d.body)).transpose()?;
        let out = config
            .zones
            .values()
            .filter(|z| z.status == ZoneStatus::Out);
        let map = ServiceMap {
            index: config.index,
            table: table.map(Arc::new),
            zones_out: out.map(|z| z.name.clone()).collect(),
        };
        self.current.store(Arc::new((&map).into()));
        Ok(())
    }
}

#[tonic::async_trait]
impl ServiceMaps for ServiceMapStore {
    async fn fetch(
        &self,
        request: Request<wire::FetchRequest>,
    ) -> Result<Response<wire::ServiceMap>, Status> {
        let current = self.current.load_full();
        if current.config_index <= request.into_inner().config_index {
            return Err(Status::failed_precondition("nothing newer is known here"));
        }
        Ok(Response::new(wire::ServiceMap::clone(&current)))
    }
}

/// Answers the heartbeats of nodes with the list of known nodes, and announces new configurations to all
/// nodes.
#[derive(Debug)]
struct NodeNotifier {
    mesh: Mesh,
    datagrams: Datagrams,
    maps: ServiceMapStore,
    cluster: Arc<Cluster>,
    journal: Journal,
    members: watch::Receiver<Arc<[NodeAddress]>>,
}

impl NodeNotifier {
    async fn run(mut self, mut seeds: watch::Receiver<Arc<[NodeAddress]>>) -> io::Result<()> {
        let mut changes = self.cluster.config_changes();
        self.add_known_nodes(&seeds.borrow_and_update().clone());
        self.on_config();
        let mut tick_at = Instant::now();
        let mut inbox = Inbox::default();
        loop {
            tokio::select! {
                () = sleep_until(tick_at.into()) => {
                    tick_at = Instant::now() + TICK_INTERVAL;
                    self.mesh.on_tick(Instant::now());
                    self.journal.flush();
                }
                readable = self.datagrams.readable() => {
                    readable?;
                    self.receive_datagrams(&mut inbox);
                }
                Ok(()) = changes.changed() => self.on_config(),
                Ok(()) = seeds.changed() => self.add_known_nodes(&seeds.borrow_and_update().clone()),
                Ok(()) = self.members.changed() => {
                    let members = self.members.borrow_and_update().clone();
                    self.add_known_nodes(&members);
                }
            }
            self.datagrams.flush();
        }
    }

    fn add_known_nodes(&mut self, nodes: &[NodeAddress]) {
        self.mesh.learn_all(Instant::now(), nodes.iter().copied());
    }

    fn on_config(&mut self) {
        let config = self.cluster.config();
        let index = config.index.get();
        if let Err(e) = self.maps.update(&config) {
            let event = Event::new("configuration not usable")
                .with_detail(&e)
                .with_config_index(index);
            self.journal.write_event(event);
            return;
        }
        let version = config.document.as_ref().map_or(0, |d| d.version.get());
        let event =
            Event::new("configuration committed").with_detail(&format!("version {version}"));
        self.journal.write_event(event.with_config_index(index));
        let now = Instant::now();
        let nodes: Vec<_> = self.mesh.nodes().map(|(ip, _)| ip).collect();
        for ip in nodes {
            let datagram = self.build_heartbeat(now, ip).into();
            self.datagrams.send(ip, &datagram);
        }
    }

    fn build_heartbeat(&self, now: Instant, to: Ipv4Addr) -> Heartbeat {
        let index = self.cluster.config().index;
        let last_seen_age = self.mesh.last_seen_age(now, to);
        self.datagrams.build_heartbeat(last_seen_age, index, None)
    }

    /// Answers a heartbeat with the list of nodes, unless its sender holds that list.
    fn answer_heartbeat(&mut self, now: Instant, to: Ipv4Addr, held: Option<NodeListHash>) {
        let nodes = self.known_nodes(now);
        let hash = NodeListHash::of(&nodes);
        let datagram = Datagram {
            nodes: if held == Some(hash) {
                Vec::new()
            } else {
                nodes
            },
            node_list_hash: Some(hash),
            agents_without_earlier_flows: self.mesh.agents_without_earlier_flows(now).collect(),
            ..Datagram::from(self.build_heartbeat(now, to))
        };
        self.datagrams.send(to, &datagram);
    }

    fn receive_datagrams(&mut self, inbox: &mut Inbox) {
        for (from, datagram) in self.datagrams.receive(inbox) {
            let now = Instant::now();
            let role = datagram.heartbeat.role;
            let change = self.mesh.on_heartbeat(now, from, datagram.heartbeat);
            self.journal
                .write_node_change(NodeAddress { ip: from, role }, change);
            if role != NodeRole::Control {
                self.answer_heartbeat(now, from, datagram.node_list_hash);
            }
        }
    }

    /// Returns the live balancers and agents, and all other control hosts.
    fn known_nodes(&self, now: Instant) -> Vec<NodeAddress> {
        let roles = [NodeRole::Balancer, NodeRole::Agent];
        let live_nodes = roles.into_iter().flat_map(|role| self.mesh.live(now, role));
        let live_nodes = live_nodes.map(|(ip, known)| NodeAddress {
            ip,
            role: known.role,
        });
        let controls = self
            .mesh
            .nodes()
            .filter(|(_, k)| k.role == NodeRole::Control);
        let controls = controls.map(|(ip, known)| NodeAddress {
            ip,
            role: known.role,
        });
        live_nodes.chain(controls).collect()
    }
}
