//! The control host of forwarded flows: replicates the configuration and distributes it to the nodes.
//!
//! The log, its storage and its messages are those of [`crate::control`]. Only the membership is managed
//! differently, without an operator: the initial members know each other from their settings, and a host with
//! an empty disk requests to join until the leader has a vacancy for it (`control/joiner.rs`). A host that is told to
//! stop hands its place over before it ends (`control/leaver.rs`). Nodes are told of each other and of new
//! configurations by `control/notifier.rs`, and fetch a configuration from `control/service_maps.rs`.

use std::future::pending;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_consensus::Options;
use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::control_status::ControlHost;
use dogwoodrill_core::forwarded::mesh::Mesh;
use dogwoodrill_core::forwarded::node::{ControlHostSettings, NodeAddress, NodeSettings};
use dogwoodrill_core::forwarded::service_map::RouteTable;
use dogwoodrill_core::ids::NodeId;
use dogwoodrill_wire::proto::forwarded::service_maps_server::ServiceMapsServer;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;

use super::datagrams::Datagrams;
use super::journal::Journal;
use super::metrics::SocketCallCounters;
use crate::cluster::Cluster;
use crate::context::Cx;
use crate::control::ControlError;
use crate::control::driver::{Driver, DriverError, LogOptions};
use crate::control::handle::{self, Handle};
use crate::control::members::ConsensusService;
use crate::control::storage::{DataFolder, Storage, open_data_folder};
use crate::transport;

mod joiner;
mod leaver;
mod notifier;
mod service_maps;

use joiner::{Joiner, initial_member_id, initial_members};
use leaver::Leaver;
use notifier::NodeNotifier;
use service_maps::ServiceMapStore;

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

/// Returns the options of the log. Half of the time that a successor has to catch up is for noticing that its
/// predecessor is gone, the other half for an election before that, and for joining.
fn log_options(catch_up: Duration) -> Options {
    Options {
        replace_after: (catch_up / 2).max(2 * ELECTION_TIMEOUT),
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
    leaver: Leaver,
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
        let folder = open_data_folder(&host_settings.data_dir)?;
        Self::bind_with_folder(cx, settings, host_settings, folder, read, journal).await
    }

    /// Binds the sockets and opens the log in `folder`, which holds the files of the data folder.
    pub async fn bind_with_folder(
        cx: &Cx,
        settings: &NodeSettings,
        host_settings: &ControlHostSettings,
        folder: DataFolder,
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
        let storage = Storage::open(cx.node, &host_settings.data_dir, folder, own_id)?;
        let cluster = Arc::new(Cluster::default());
        let (handle, inputs) = handle::channel();
        let initial = CommittedConfig::default();
        let log_terms = LogOptions {
            options: log_options(host_settings.catch_up),
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
            leaver: Leaver {
                cx: cx.clone(),
                handle: handle.clone(),
                successor_waits: driver.successor_waits(),
                stop_grace: settings.stop_grace,
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

    /// Runs until `token` is cancelled and the place of the host is handed over if another one waits for it, or until
    /// the disk fails. `seeds` are the addresses of the control hosts that the host contacts first.
    pub async fn run(
        self,
        seeds: watch::Receiver<Arc<[NodeAddress]>>,
        token: CancellationToken,
    ) -> Result<(), ControlNodeError> {
        let mut routes = Routes::builder();
        routes
            .add_service(ConsensusService::server(&self.handle))
            .add_service(ServiceMapsServer::new(self.maps.clone()));
        let end = CancellationToken::new();
        let served = transport::serve(&self.cx, self.listener, routes.routes(), end.clone());
        let notifier = NodeNotifier {
            mesh: Mesh::new(self.datagrams.own_address()),
            datagrams: self.datagrams,
            maps: self.maps,
            cluster: self.cluster,
            journal: self.journal,
            members: self.joiner.members.subscribe(),
        };
        let membership = async {
            // A host that is about to stop requests no place.
            token
                .run_until_cancelled(self.joiner.run(seeds.clone()))
                .await;
            self.leaver.hand_over().await;
            end.cancel();
            pending::<()>().await;
        };
        tokio::select! {
            ended = served => Ok(ended?),
            ended = self.driver.run(end.clone()) => Ok(ended?),
            ended = notifier.run(seeds.clone()) => ended.context(DatagramsSnafu),
            () = membership => Ok(()),
        }
    }
}

/// Returns the node id of the host at `ip`.
pub fn node_id_from_ip(ip: Ipv4Addr) -> NodeId {
    NodeId::new(ip.to_bits().into())
}
