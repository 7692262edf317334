//! The agent: the process that terminates flows on the host of a backend server.
//!
//! One agent runs next to each backend server. It waits for the server's announcement ([`announce`]),
//! publishes a directory record for it and terminates the QUIC flows that balancers forward ([`tunnel`],
//! [`steering`], [`quic`], [`flow`]). Each HTTP/3 request passes through a stack of tower services
//! ([`exchange`]): deadline ([`deadline`]), claim on its idempotency key ([`idempotency`], [`claims`]),
//! retries ([`retry`]) and dispatch ([`dispatch`]) to the local backend server ([`gate`], [`backend`]) or
//! to that of a peer ([`peers`]). Responses leave through any live balancer ([`return_path`]). [`leave`]
//! implements the planned shutdown.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use dogwoodrill_core::ids::ServiceId;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;

use crate::cluster::hub::SpreadHub;
use crate::cluster::{Cluster, link};
use crate::context::Cx;
use crate::packet_metrics::PacketMetrics;
use crate::report::{Reporter, run_minute_clock};
use crate::supervisor::{RestartLimitExceeded, Supervisor};
use crate::transport;

pub mod announce;
pub mod backend;
pub mod channels;
pub mod claims;
pub mod connection_ids;
pub mod deadline;
pub mod dispatch;
pub mod endpoints;
pub mod exchange;
pub mod flow;
pub mod gate;
pub mod headers;
pub mod idempotency;
pub mod leave;
pub mod metrics;
pub mod path;
pub mod peers;
pub mod publish;
pub mod quic;
pub mod request;
pub mod retry;
pub mod return_path;
pub mod slo;
pub mod slot;
pub mod steering;
pub mod tunnel;

use announce::Announcement;
use claims::service::ClaimReplicaService;
use flow::OpenFlows;
use path::RequestContext;
use peers::service::PeerService;
use quic::ServiceIdentity;
use return_path::ReturnPath;
use slo::{SloContext, SloRecorder};
use steering::SharedSteering;

/// Options for starting an agent.
#[derive(Debug)]
pub struct AgentOptions {
    /// Control hosts or relays to link to.
    pub parents: Vec<SocketAddr>,
    /// UDP address of the tunnel.
    pub tunnel: SocketAddr,
    /// Address at which balancers reach the tunnel, if it differs from the bound address.
    pub advertised_tunnel: Option<SocketAddr>,
    /// TCP address of the gRPC server for other processes of the cluster.
    pub peer: SocketAddr,
    /// Loopback TCP address of the HTTP interface for the backend server's announcements.
    pub announce: SocketAddr,
    /// Certificate chain and key that are presented to callers.
    pub identity: ServiceIdentity,
}

/// Error returned when an agent cannot start.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// A socket could not be bound.
    #[snafu(display("cannot bind the {purpose} to {address}; check that the port is free"))]
    Bind {
        /// Purpose of the socket, as named in the error message.
        purpose: &'static str,
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error returned by the operating system.
        source: std::io::Error,
    },
}

/// An agent whose sockets are bound and which is ready to run.
#[derive(Debug)]
pub struct Agent {
    cx: Cx,
    cluster: Arc<Cluster>,
    parents: Vec<SocketAddr>,
    tunnel: Arc<UdpSocket>,
    advertised_tunnel: Option<SocketAddr>,
    peer: Arc<TcpListener>,
    announce: TcpListener,
    announcements: watch::Sender<Option<Announcement>>,
    request_context: Arc<RequestContext>,
    identity: watch::Sender<Arc<ServiceIdentity>>,
    slo: Arc<SloRecorder>,
    flows: OpenFlows,
    draining: watch::Sender<bool>,
    steering: Arc<SharedSteering>,
    return_path: Arc<ReturnPath>,
    metrics: PacketMetrics,
    /// Cancelled when the flows that are still open must be closed.
    shutdown: CancellationToken,
}

impl Agent {
    /// Binds the sockets of the agent.
    pub async fn bind(cx: Cx, options: AgentOptions) -> Result<Self, AgentError> {
        let address = options.tunnel;
        let tunnel = UdpSocket::bind(address).await.context(BindSnafu {
            purpose: "tunnel",
            address,
        })?;
        let cluster = Arc::new(Cluster::default());
        let announcements = watch::Sender::new(None);
        let request_context = RequestContext::new(&cx, &cluster, announcements.subscribe());
        Ok(Self {
            request_context: Arc::new(request_context),
            metrics: PacketMetrics::register(&cx.metrics, "agent"),
            cx,
            cluster,
            parents: options.parents,
            tunnel: Arc::new(tunnel),
            advertised_tunnel: options.advertised_tunnel,
            peer: Arc::new(listen("peer listener", options.peer).await?),
            announce: listen("announce listener", options.announce).await?,
            announcements,
            identity: watch::Sender::new(Arc::new(options.identity)),
            slo: Arc::default(),
            flows: OpenFlows::default(),
            draining: watch::Sender::default(),
            steering: Arc::default(),
            return_path: Arc::default(),
            shutdown: CancellationToken::new(),
        })
    }

    /// Returns the counter of the flows that this agent terminates.
    pub const fn flows(&self) -> &OpenFlows {
        &self.flows
    }

    /// Returns the packet steering, which also receives the peers' counts of open flows.
    pub fn steering(&self) -> Arc<SharedSteering> {
        Arc::clone(&self.steering)
    }

    /// Returns the state that all requests of this agent share.
    pub fn request_context(&self) -> Arc<RequestContext> {
        Arc::clone(&self.request_context)
    }

    /// Returns the packet counters.
    pub const fn metrics(&self) -> &PacketMetrics {
        &self.metrics
    }

    fn slo(&self, service: ServiceId) -> SloContext {
        SloContext {
            recorder: Arc::clone(&self.slo),
            cluster: Arc::clone(&self.cluster),
            service,
        }
    }

    fn is_draining(&self) -> bool {
        self.announcements
            .borrow()
            .as_ref()
            .is_some_and(|a| a.draining)
    }

    /// Returns the address at which balancers reach the tunnel.
    fn advertised_tunnel_address(&self) -> std::io::Result<SocketAddr> {
        match self.advertised_tunnel {
            Some(address) => Ok(address),
            None => self.tunnel.local_addr(),
        }
    }

    /// Returns the agent's view of the cluster.
    pub fn cluster(&self) -> Arc<Cluster> {
        Arc::clone(&self.cluster)
    }

    /// Returns the address on which announcements of the backend server are accepted.
    pub fn announce_address(&self) -> std::io::Result<SocketAddr> {
        self.announce.local_addr()
    }

    /// Returns the sender that replaces the service certificate. A new certificate is used for new flows;
    /// open flows keep the previous one.
    pub fn identity(&self) -> watch::Sender<Arc<ServiceIdentity>> {
        self.identity.clone()
    }

    /// Returns the address to which the tunnel is bound.
    pub fn tunnel_address(&self) -> std::io::Result<SocketAddr> {
        self.tunnel.local_addr()
    }

    /// Serves until `token` is cancelled, then drains: returns when all open flows have ended or the drain
    /// timeout has passed.
    pub async fn run(self, token: CancellationToken) -> Result<(), RestartLimitExceeded> {
        let mut supervisor = Supervisor::new("agent", token);
        let this = Arc::new(self);
        supervisor.child("link", &this, |this, _| async move {
            link::run_node(&this.cx, &this.cluster, &this.parents).await
        });
        supervisor.child("peers", &this, |this, token| async move {
            let routes = Routes::new(SpreadHub::server(&this.cluster))
                .add_service(ClaimReplicaService::server(
                    &this.request_context.claim_replicas,
                ))
                .add_service(PeerService::server(&this))
                .add_service(Reporter::of_agent(&this.cluster, &this.slo));
            transport::serve(&this.cx, Arc::clone(&this.peer), routes, token).await
        });
        supervisor.child("minutes", &this, |this, _| async move {
            run_minute_clock(&this.cx, &this.cluster, &this.slo).await;
            Ok::<_, Infallible>(())
        });
        supervisor.child("announce", &this, |this, _| async move {
            announce::run(&this.announce, &this.announcements).await
        });
        supervisor.child(
            "gate",
            &this,
            |this, _| async move { gate::run(&this).await },
        );
        supervisor.child("endpoints", &this, |this, _| async move {
            endpoints::run(&this).await
        });
        supervisor.child("claims", &this, |this, _| async move {
            claims::run(&this).await
        });
        supervisor.child(
            "loads",
            &this,
            |this, _| async move { peers::run(&this).await },
        );
        supervisor.child("publish", &this, |this, _| async move {
            publish::run(&this).await
        });
        supervisor.child("quic", &this, |this, token| async move {
            quic::run(&this, token).await
        });
        supervisor.draining_child("leave", &this, leave::run);
        supervisor.run().await
    }
}

async fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, AgentError> {
    TcpListener::bind(address)
        .await
        .context(BindSnafu { purpose, address })
}
