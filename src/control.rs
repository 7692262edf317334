//! The control host: replicates the operators' decisions in a log and sends the result to every node.
//!
//! [`replica`] connects the log to the state machine; [`driver`] provides its clock, disk and messages,
//! and is the only user of it. All other parts send requests to the driver through a
//! [`handle::Handle`]: the gRPC services for other control hosts (`members`) and for operators
//! (`operators`), the bootstrap or joining of a cluster ([`place`]) and the plan of claim groups
//! (`keepers`). Committed configurations are sent to the nodes through the host's [`Cluster`].

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use dogwoodrill_consensus::store::file::{FileError, IdentityError, LockError};
use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::control_status::ControlHost;
use dogwoodrill_core::ids::NodeId;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;

use crate::cluster::Cluster;
use crate::cluster::hub::SpreadHub;
use crate::context::Cx;
use crate::report::Reporter;
use crate::supervisor::{RestartLimitExceeded, Supervisor};
use crate::transport;

pub mod driver;
pub mod handle;
mod keepers;
pub(crate) mod members;
mod metrics;
mod operators;
mod peers;
pub mod place;
pub mod replica;
mod spread;
pub mod storage;

use driver::{Driver, DriverError, LogOptions};
use handle::Handle;
use members::ConsensusService;
use operators::OperatorService;
use place::{ClusterJoiner, MembershipError};
use storage::{Storage, open_data_folder};

/// The options of a control host.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// TCP address for nodes, operators and the other control hosts.
    pub listen: SocketAddr,
    /// Path of the data folder.
    pub data: PathBuf,
    /// The other control hosts: they form a new cluster together with this host, or are asked to add
    /// this host to theirs.
    pub peers: Vec<ControlHost>,
    /// The lost control host that this one replaces; used only with an empty data folder.
    pub replaces: Option<NodeId>,
    /// The configuration to start a new cluster with.
    pub initial: CommittedConfig,
}

impl ControlOptions {
    /// The options of the only control host of a small cluster.
    pub const fn single_host(listen: SocketAddr, data: PathBuf, initial: CommittedConfig) -> Self {
        Self {
            listen,
            data,
            peers: Vec::new(),
            replaces: None,
            initial,
        }
    }
}

/// Why a control host stopped.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// The socket could not be bound.
    #[snafu(display("cannot listen on {address}; check that the port is free"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The data folder could not be opened.
    #[snafu(display("cannot open the data folder {}", path.display()))]
    Folder {
        /// The folder.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The data folder is in use.
    #[snafu(transparent)]
    Lock {
        /// The error of the lock.
        source: LockError,
    },
    /// The content of the data folder cannot be used.
    #[snafu(transparent)]
    File {
        /// The error of the file.
        source: FileError,
    },
    /// The data folder belongs to another host.
    #[snafu(transparent)]
    Identity {
        /// The error, which names the other host.
        source: IdentityError,
    },
    /// The log could not be written or read.
    #[snafu(transparent)]
    Driver {
        /// The error of the driver.
        source: DriverError,
    },
    /// The host cannot become a member of the cluster.
    #[snafu(transparent)]
    Membership {
        /// The reason.
        source: MembershipError,
    },
    /// A part of the host failed too often.
    #[snafu(transparent)]
    RestartLimitExceeded {
        /// The error, which names the part.
        source: RestartLimitExceeded,
    },
}

/// A control host whose socket is bound and whose log has been read.
#[derive(Debug)]
pub struct Control {
    shared: Arc<Shared>,
    driver: Box<Driver>,
    joiner: ClusterJoiner,
}

/// The state that the parts of the host share.
#[derive(Debug)]
struct Shared {
    cx: Cx,
    cluster: Arc<Cluster>,
    listener: Arc<TcpListener>,
    handle: Handle,
}

impl Control {
    /// Binds the socket and reads the data folder.
    pub async fn bind(cx: Cx, options: ControlOptions) -> Result<Self, ControlError> {
        let address = options.listen;
        let listener = TcpListener::bind(address)
            .await
            .context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        let storage = Storage::open(
            cx.node,
            &options.data,
            open_data_folder(&options.data)?,
            None,
        )?;
        let cluster = Arc::new(Cluster::default());
        let (handle, inputs) = handle::channel();
        let driver = Driver::new(
            &cx,
            &cluster,
            storage,
            address,
            options.initial,
            inputs,
            LogOptions::default(),
        );
        let own = ControlHost {
            node: cx.node,
            address,
        };
        let joiner = ClusterJoiner {
            cx: cx.clone(),
            handle: handle.clone(),
            own,
            peers: options.peers,
            replaces: options.replaces,
        };
        let shared = Shared {
            cx,
            cluster,
            listener: Arc::new(listener),
            handle,
        };
        Ok(Self {
            shared: Arc::new(shared),
            driver: Box::new(driver),
            joiner,
        })
    }

    /// The address on which the host listens.
    pub const fn address(&self) -> SocketAddr {
        self.joiner.own.address
    }

    /// Replaces the peers. This is for hosts that bind to any free port, whose addresses are known only
    /// after they are bound.
    #[must_use]
    pub fn with_peers(mut self, peers: Vec<ControlHost>) -> Self {
        self.joiner.peers = peers;
        self
    }

    /// The host's view of the cluster.
    pub fn cluster(&self) -> Arc<Cluster> {
        Arc::clone(&self.shared.cluster)
    }

    /// Serves until `token` is cancelled. A disk error, or the failure to become a member of the
    /// cluster, ends the host; after other failures its parts are restarted.
    pub async fn run(self, token: CancellationToken) -> Result<(), ControlError> {
        let Self {
            shared,
            driver,
            joiner,
        } = self;
        let mut supervisor = Supervisor::new("control", token.clone());
        supervisor.child("server", &shared, |shared, token| async move {
            serve(&shared, token).await
        });
        supervisor.child("keepers", &shared, |shared, _token| async move {
            keepers::run(&shared.cx, &shared.cluster, &shared.handle).await
        });
        supervisor.child("spread", &shared, |shared, _token| async move {
            spread::run(&shared.cx, &shared.cluster, &shared.handle).await
        });
        let mut parts = tokio::spawn(supervisor.run());
        let joined = async {
            joiner.join_cluster().await?;
            std::future::pending::<Result<(), MembershipError>>().await
        };
        let ended = tokio::select! {
            ended = &mut parts => return Ok(ended.unwrap_or(Ok(()))?),
            ended = Box::pin(driver.run(token.clone())) => ended.map_err(ControlError::from),
            ended = joined => ended.map_err(ControlError::from),
        };
        token.cancel();
        drop(parts.await);
        ended
    }
}

async fn serve(shared: &Shared, token: CancellationToken) -> Result<(), tonic::transport::Error> {
    let mut routes = Routes::builder();
    routes
        .add_service(SpreadHub::server(&shared.cluster))
        .add_service(Reporter::of_members(&shared.cluster))
        .add_service(ConsensusService::server(&shared.handle))
        .add_service(OperatorService::server(&shared.handle, &shared.cluster));
    let listener = Arc::clone(&shared.listener);
    transport::serve(&shared.cx, listener, routes.routes(), token).await
}
