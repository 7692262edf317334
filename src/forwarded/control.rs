//! The control host of forwarded flows: the replicated log, and what nodes are told of it.
//!
//! The log, its disk and its messages are those of [`crate::control`]. What differs is the membership,
//! which no operator looks after: the founders know each other from their settings, and a host with an
//! empty disk asks to be taken in until the leader has a place for it.

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
use dogwoodrill_core::forwarded::mesh::{Mesh, NodeAddress};
use dogwoodrill_core::forwarded::node::{ControlHostSettings, NodeRole, NodeSettings};
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

/// Time between two looks at greetings and the log.
const TICK: Duration = Duration::from_millis(50);
/// Pause between two requests to be taken in.
const JOIN_PAUSE: Duration = Duration::from_millis(300);
/// Pause between two looks at who is a control host.
const MEMBERS_PAUSE: Duration = Duration::from_secs(1);
/// Time that a control host has to answer such a request.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without a leader after which a control host campaigns: several syncs of a disk that takes 30
/// times as long as usual fit in.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);
/// The same for hosts that all started at once.
const FIRST_ELECTION_TIMEOUT: Duration = Duration::from_millis(40);
/// Time between heartbeats of a leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Entries kept in memory behind the snapshot; each may be a whole configuration.
const LOG_TAIL: u64 = 16;

fn log_options() -> Options {
    Options {
        election_timeout: ELECTION_TIMEOUT,
        first_election_timeout: FIRST_ELECTION_TIMEOUT,
        heartbeat_interval: HEARTBEAT_INTERVAL,
        max_entries: 16,
        tail: LOG_TAIL,
    }
}

/// Reads the body of a document; it was checked when it was taken in.
pub type ParseDocument = fn(&[u8]) -> Result<RouteTable, Box<dyn std::error::Error + Send + Sync>>;

/// Why a control host stopped.
#[derive(Debug, Snafu)]
pub enum ControlNodeError {
    /// A socket could not be bound.
    #[snafu(display("cannot listen on {address}; check that the port is free"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the host said.
        source: io::Error,
    },
    /// The log could not be opened.
    #[snafu(transparent)]
    Open {
        /// Why.
        source: ControlError,
    },
    /// The log could not be kept.
    #[snafu(transparent)]
    Keep {
        /// Why.
        source: DriverError,
    },
    /// The nodes could not be heard.
    #[snafu(display("cannot read the node socket"))]
    Datagrams {
        /// What the host said.
        source: io::Error,
    },
    /// The other control hosts could not be served.
    #[snafu(transparent)]
    Serve {
        /// Why.
        source: tonic::transport::Error,
    },
}

/// A control host whose sockets are bound and whose log is read.
#[derive(Debug)]
pub struct ControlNode {
    cx: Cx,
    cluster: Arc<Cluster>,
    listener: Arc<TcpListener>,
    handle: Handle,
    driver: Box<Driver>,
    joiner: Joiner,
    datagrams: Datagrams,
    maps: Maps,
    journal: Journal,
}

impl ControlNode {
    /// Binds the sockets and reads the data folder.
    pub async fn bind(
        cx: &Cx,
        settings: &NodeSettings,
        places: &ControlHostSettings,
        read: ParseDocument,
        journal: Journal,
    ) -> Result<Self, ControlNodeError> {
        let address = SocketAddr::from((settings.ip, settings.inner_port));
        let bind = SocketAddr::from((settings.bind_ip, settings.inner_port));
        let listener = TcpListener::bind(bind).await;
        let listener = Arc::new(listener.context(ListenSnafu { address: bind })?);
        let datagrams = Datagrams::bind(settings, SocketCallCounters::register(&cx.metrics))
            .context(ListenSnafu { address: bind })?;
        let founders = founders(settings, places);
        let own_id = founders.as_ref().map(|_| founder_id(address));
        let storage = Storage::open(cx.node, &places.data_dir, own_id)?;
        let cluster = Arc::new(Cluster::default());
        let (handle, inputs) = handle::channel();
        let initial = CommittedConfig::default();
        let terms = LogOptions {
            options: log_options(),
            target_voters: 2 * places.tolerated_losses + 1,
        };
        let driver = Driver::new(cx, &cluster, storage, address, initial, inputs, terms);
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
                founders,
                members: watch::Sender::new(Arc::default()),
            },
            handle,
            driver: Box::new(driver),
            datagrams,
            maps: Maps {
                read,
                current: Arc::default(),
            },
            journal,
        })
    }

    /// For what operators ask.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// What the host holds.
    pub fn cluster(&self) -> Arc<Cluster> {
        Arc::clone(&self.cluster)
    }

    /// Serves until `token` is cancelled or the disk fails. `seeds` are control hosts to begin with.
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
        let greeter = Greeter {
            mesh: Mesh::new(self.datagrams.own()),
            datagrams: self.datagrams,
            maps: self.maps,
            cluster: self.cluster,
            journal: self.journal,
            members: self.joiner.members.subscribe(),
        };
        tokio::select! {
            ended = served => Ok(ended?),
            ended = self.driver.run(token.clone()) => Ok(ended?),
            ended = greeter.run(seeds.clone()) => ended.context(DatagramsSnafu),
            () = self.joiner.run(seeds) => Ok(()),
        }
    }
}

/// The addresses of the hosts that found the cluster, if this host is one of them.
fn founders(settings: &NodeSettings, places: &ControlHostSettings) -> Option<Vec<SocketAddr>> {
    let founds = places.bootstrap && settings.seeds.contains(&settings.ip);
    let seeds = settings.seeds.iter().collect::<BTreeSet<_>>().into_iter();
    let addresses = seeds.map(|ip| SocketAddr::from((*ip, settings.inner_port)));
    founds.then(|| addresses.collect())
}

/// The identity of a founder's disk. All founders work it out alike, so each can write the first
/// membership without asking the others. A disk that is made later draws its identity.
fn founder_id(address: SocketAddr) -> MemberId {
    MemberId::new(hash_of(&[address]).max(1))
}

fn hash_of(addresses: &[SocketAddr]) -> u64 {
    let mut hasher = SipHasher13::new();
    for address in addresses {
        hasher.write(address.to_string().as_bytes());
        hasher.write_u8(0);
    }
    hasher.finish()
}

/// The number of the host at `ip`.
pub fn node_id_from_ip(ip: Ipv4Addr) -> NodeId {
    NodeId::new(ip.to_bits().into())
}

/// What a control host said to one that asks to be taken in.
enum JoinAnswer {
    TakenIn,
    Refused {
        why: String,
        /// The members that it knows.
        members: Membership,
    },
}

/// Finds the host's place among the control hosts.
#[derive(Debug)]
struct Joiner {
    cx: Cx,
    handle: Handle,
    own: ControlHost,
    founders: Option<Vec<SocketAddr>>,
    members: watch::Sender<Arc<[NodeAddress]>>,
}

impl Joiner {
    /// Runs as long as the host does; once it is in a cluster, it looks who else is.
    async fn run(self, seeds: watch::Receiver<Arc<[NodeAddress]>>) {
        loop {
            if let Ok(place) = self.handle.host_membership().await {
                let identity = place.identity;
                match &self.founders {
                    _ if identity.cluster.is_some() => {
                        self.members.send_replace(addresses(&place.membership));
                        sleep(MEMBERS_PAUSE).await;
                    }
                    Some(founders) => self.found(founders).await,
                    None => {
                        // The guard must not be held across the requests: who changes the seeds waits for it.
                        let known = seeds.borrow().clone();
                        self.ask(identity.host, &known).await;
                    }
                }
            }
            sleep(JOIN_PAUSE).await;
        }
    }

    async fn found(&self, founders: &[SocketAddr]) {
        let members = founders.iter().map(|address| Member {
            id: founder_id(*address),
            role: MemberRole::Voter,
            replaces: None,
            node: match address.ip() {
                std::net::IpAddr::V4(ip) => node_id_from_ip(ip),
                std::net::IpAddr::V6(_) => NodeId::default(),
            },
            address: *address,
        });
        let membership = Membership::new(members);
        let cluster = ClusterId::new(hash_of(founders).max(1));
        let input = Input::Bootstrap {
            membership,
            cluster: Some(cluster),
        };
        if let Err(e) = self.handle.send(input).await {
            log::warn!("the cluster was not founded: {e}");
        }
    }

    /// Asks the seeds, and then whom they name, until one takes the host in. Only the leader can, and it need
    /// not be among the seeds.
    async fn ask(&self, host: MemberId, seeds: &[NodeAddress]) {
        let port = self.own.address.port();
        let seeds = seeds.iter().map(|s| SocketAddr::from((s.ip, port)));
        let mut to_ask: VecDeque<_> = seeds.collect();
        let mut asked = BTreeSet::from([self.own.address]);
        while let Some(address) = to_ask.pop_front() {
            if !asked.insert(address) {
                continue;
            }
            match timeout(JOIN_TIMEOUT, self.ask_one(address, host)).await {
                Ok(Some(JoinAnswer::TakenIn)) => {
                    log::info!("taken in by {address}");
                    return;
                }
                Ok(Some(JoinAnswer::Refused { why, members })) => {
                    log::debug!("{address}: {why}");
                    to_ask.extend(members.members().iter().map(|m| m.address));
                }
                Ok(None) | Err(_) => log::debug!("{address} did not answer"),
            }
        }
    }

    async fn ask_one(&self, address: SocketAddr, host: MemberId) -> Option<JoinAnswer> {
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
        let why = match answer {
            Answer::TakenIn(_) => return Some(JoinAnswer::TakenIn),
            Answer::Refusal(why) => why,
        };
        let place = client.identify(consensus_wire::IdentifyRequest {}).await;
        let members = place.ok()?.into_inner().membership?.try_into().ok()?;
        Some(JoinAnswer::Refused { why, members })
    }
}

fn addresses(membership: &Membership) -> Arc<[NodeAddress]> {
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

/// The configuration as nodes fetch it.
#[derive(Clone, Debug)]
struct Maps {
    read: ParseDocument,
    current: Arc<ArcSwap<wire::ServiceMap>>,
}

impl Maps {
    fn renew(
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
impl ServiceMaps for Maps {
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

/// Answers greetings with the nodes that greet, and tells all of a new configuration.
#[derive(Debug)]
struct Greeter {
    mesh: Mesh,
    datagrams: Datagrams,
    maps: Maps,
    cluster: Arc<Cluster>,
    journal: Journal,
    members: watch::Receiver<Arc<[NodeAddress]>>,
}

impl Greeter {
    async fn run(mut self, mut seeds: watch::Receiver<Arc<[NodeAddress]>>) -> io::Result<()> {
        let mut changes = self.cluster.config_changes();
        self.learn(&seeds.borrow_and_update().clone());
        self.on_config();
        let mut tick_at = Instant::now();
        let mut inbox = Inbox::default();
        loop {
            tokio::select! {
                () = sleep_until(tick_at.into()) => {
                    tick_at = Instant::now() + TICK;
                    self.mesh.on_tick(Instant::now());
                    self.journal.flush();
                }
                readable = self.datagrams.readable() => {
                    readable?;
                    self.take_datagrams(&mut inbox);
                }
                Ok(()) = changes.changed() => self.on_config(),
                Ok(()) = seeds.changed() => self.learn(&seeds.borrow_and_update().clone()),
                Ok(()) = self.members.changed() => {
                    let members = self.members.borrow_and_update().clone();
                    self.learn(&members);
                }
            }
            self.datagrams.flush();
        }
    }

    fn learn(&mut self, nodes: &[NodeAddress]) {
        self.mesh.learn_all(Instant::now(), nodes.iter().copied());
    }

    fn on_config(&mut self) {
        let config = self.cluster.config();
        let index = config.index.get();
        if let Err(e) = self.maps.renew(&config) {
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
            self.greet(now, ip, Vec::new());
        }
    }

    fn greet(&mut self, now: Instant, to: Ipv4Addr, nodes: Vec<NodeAddress>) {
        let index = self.cluster.config().index;
        let last_seen_age = self.mesh.last_seen_age(now, to);
        let heartbeat = self.datagrams.heartbeat(last_seen_age, index, None);
        let datagram = Datagram {
            nodes,
            agents_without_earlier_flows: self.mesh.agents_without_earlier_flows(now).collect(),
            ..Datagram::from(heartbeat)
        };
        self.datagrams.send(to, &datagram);
    }

    fn take_datagrams(&mut self, inbox: &mut Inbox) {
        for (from, datagram) in self.datagrams.receive(inbox) {
            let now = Instant::now();
            let role = datagram.heartbeat.role;
            let news = self.mesh.on_heartbeat(now, from, datagram.heartbeat);
            self.journal
                .write_node_change(NodeAddress { ip: from, role }, news);
            if role != NodeRole::Control {
                let nodes = self.known(now);
                self.greet(now, from, nodes);
            }
        }
    }

    /// Nodes that are there, and the other control hosts.
    fn known(&self, now: Instant) -> Vec<NodeAddress> {
        let roles = [NodeRole::Balancer, NodeRole::Agent];
        let live = roles.into_iter().flat_map(|role| self.mesh.live(now, role));
        let live = live.map(|(ip, known)| NodeAddress {
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
        live.chain(controls).collect()
    }
}
