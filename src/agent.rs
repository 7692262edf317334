//! The agent: the one process beside a backend server.
//!
//! It waits for the backend server's announcement ([`announce`]), publishes a record for it and ends
//! the QUIC flows that balancers forward ([`tunnel`], [`steering`], [`quic`], [`flow`]). Each HTTP/3
//! request goes through a stack of tower services ([`exchange`]): its deadline ([`deadline`]), the claim
//! on its key ([`idempotency`], [`claims`]), second tries ([`retry`]), and a place ([`dispatch`]) at the
//! backend server ([`gate`], [`backend`]) or at that of a peer ([`peers`]). Answers leave through any
//! live balancer ([`return_path`]). [`leave`] is the planned stop.

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
use claims::service::KeeperService;
use flow::OpenFlows;
use path::RequestContext;
use peers::service::PeerService;
use quic::ServiceIdentity;
use return_path::ReturnPath;
use slo::{SloContext, SloRecorder};
use steering::SharedSteering;

/// What an agent is started with.
#[derive(Debug)]
pub struct AgentOptions {
    /// Control hosts or relays to link to.
    pub parents: Vec<SocketAddr>,
    /// UDP address of the tunnel.
    pub tunnel: SocketAddr,
    /// Where balancers reach the tunnel, if that is not the address it is bound to.
    pub advertised_tunnel: Option<SocketAddr>,
    /// TCP address for messages from peers.
    pub peer: SocketAddr,
    /// Loopback TCP address where the backend server announces itself.
    pub announce: SocketAddr,
    /// The certificate that callers check.
    pub identity: ServiceIdentity,
}

/// Why an agent did not start.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// A socket could not be bound.
    #[snafu(display("cannot bind the {purpose} to {address}; check that the port is free"))]
    Bind {
        /// What the socket is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the host said.
        source: std::io::Error,
    },
}

/// An agent whose sockets are bound.
#[derive(Debug)]
pub struct Agent {
    cx: Cx,
    cluster: Arc<Cluster>,
    parents: Vec<SocketAddr>,
    tunnel: Arc<UdpSocket>,
    advertised_tunnel: Option<SocketAddr>,
    peer: Arc<TcpListener>,
    announce: TcpListener,
    announced: watch::Sender<Option<Announcement>>,
    requests: Arc<RequestContext>,
    identity: watch::Sender<Arc<ServiceIdentity>>,
    slo: Arc<SloRecorder>,
    flows: OpenFlows,
    draining: watch::Sender<bool>,
    steering: Arc<SharedSteering>,
    return_path: Arc<ReturnPath>,
    metrics: PacketMetrics,
    /// Cancelled when the flows that are left must end.
    ending: CancellationToken,
}

impl Agent {
    /// Binds the sockets.
    pub async fn bind(cx: Cx, options: AgentOptions) -> Result<Self, AgentError> {
        let address = options.tunnel;
        let tunnel = UdpSocket::bind(address).await.context(BindSnafu {
            purpose: "tunnel",
            address,
        })?;
        let cluster = Arc::new(Cluster::default());
        let announced = watch::Sender::new(None);
        let requests = RequestContext::new(&cx, &cluster, announced.subscribe());
        Ok(Self {
            requests: Arc::new(requests),
            metrics: PacketMetrics::register(&cx.metrics, "agent"),
            cx,
            cluster,
            parents: options.parents,
            tunnel: Arc::new(tunnel),
            advertised_tunnel: options.advertised_tunnel,
            peer: Arc::new(listen("peer listener", options.peer).await?),
            announce: listen("announce listener", options.announce).await?,
            announced,
            identity: watch::Sender::new(Arc::new(options.identity)),
            slo: Arc::default(),
            flows: OpenFlows::default(),
            draining: watch::Sender::default(),
            steering: Arc::default(),
            return_path: Arc::default(),
            ending: CancellationToken::new(),
        })
    }

    /// The flows that end here.
    pub const fn flows(&self) -> &OpenFlows {
        &self.flows
    }

    /// The steering of packets; a peer's count of open flows goes to it.
    pub fn steering(&self) -> Arc<SharedSteering> {
        Arc::clone(&self.steering)
    }

    /// What the requests of this agent share.
    pub fn request_context(&self) -> Arc<RequestContext> {
        Arc::clone(&self.requests)
    }

    /// The counters of packets.
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
        self.announced.borrow().as_ref().is_some_and(|a| a.draining)
    }

    /// Where balancers reach the tunnel.
    fn public_tunnel(&self) -> std::io::Result<SocketAddr> {
        match self.advertised_tunnel {
            Some(address) => Ok(address),
            None => self.tunnel.local_addr(),
        }
    }

    /// The agent's view of the cluster.
    pub fn cluster(&self) -> Arc<Cluster> {
        Arc::clone(&self.cluster)
    }

    /// Where the backend server announces itself.
    pub fn announce_address(&self) -> std::io::Result<SocketAddr> {
        self.announce.local_addr()
    }

    /// The certificate that callers check. One that is sent here is used for new flows; those that are
    /// open go on with the one before.
    pub fn identity(&self) -> watch::Sender<Arc<ServiceIdentity>> {
        self.identity.clone()
    }

    /// Where the tunnel is bound.
    pub fn tunnel_address(&self) -> std::io::Result<SocketAddr> {
        self.tunnel.local_addr()
    }

    /// Serves until `token` is cancelled, and then until the open flows have ended or their drain
    /// deadline has passed.
    pub async fn run(self, token: CancellationToken) -> Result<(), RestartLimitExceeded> {
        let mut supervisor = Supervisor::new("agent", token);
        let this = Arc::new(self);
        supervisor.child("link", &this, |this, _| async move {
            link::run_node(&this.cx, &this.cluster, &this.parents).await
        });
        supervisor.child("peers", &this, |this, token| async move {
            let routes = Routes::new(SpreadHub::server(&this.cluster))
                .add_service(KeeperService::server(&this.requests.keepers))
                .add_service(PeerService::server(&this))
                .add_service(Reporter::of_agent(&this.cluster, &this.slo));
            transport::serve(&this.cx, Arc::clone(&this.peer), routes, token).await
        });
        supervisor.child("minutes", &this, |this, _| async move {
            run_minute_clock(&this.cx, &this.cluster, &this.slo).await;
            Ok::<_, Infallible>(())
        });
        supervisor.child("announce", &this, |this, _| async move {
            announce::run(&this.announce, &this.announced).await
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
