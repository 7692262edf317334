//! The balancer: forwards each datagram of a caller to the agent that owns its flow, and the replies back to
//! the caller.
//!
//! A balancer keeps no per-flow state. [`inbound`] has one socket for each service address and forwards the
//! received datagrams through the tunnel, using routing [`tables`] computed from the view of the cluster.
//! [`outbound`] receives the replies from the tunnel and sends them from the service address that the caller
//! used. Dropped packets are counted by cause. [`health`] determines the result of the fabric's health check,
//! and [`leave`] implements the planned shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::directory::{MemberId, MemberState, Record, Role};
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;

use crate::cluster::hub::SpreadHub;
use crate::cluster::{Cluster, link};
use crate::context::{Cx, wall_clock};
use crate::packet_metrics::PacketMetrics;
use crate::supervisor::{RestartLimitExceeded, Supervisor};
use crate::transport;

pub mod health;
pub mod inbound;
pub mod leave;
pub mod listeners;
pub mod outbound;
pub mod tables;

use health::FabricHealth;
use listeners::Listeners;

/// Default time for which a leaving balancer goes on forwarding.
pub const DEFAULT_LINGER: Duration = Duration::from_secs(10);

/// Options for starting a balancer.
#[derive(Clone, Debug)]
pub struct BalancerOptions {
    /// Control hosts or relays to link to.
    pub parents: Vec<SocketAddr>,
    /// UDP address of the tunnel.
    pub tunnel: SocketAddr,
    /// TCP address of the gRPC server for other processes of the cluster.
    pub peer: SocketAddr,
    /// Address to bind instead of each service address, for a fabric that relays packets rather than routing
    /// the service addresses to this host. Port 0 binds a free port for each service address.
    pub bind_instead: Option<SocketAddr>,
    /// Time for which a leaving balancer goes on forwarding. It must be longer than the fabric takes to act
    /// on a failed health check.
    pub linger: Duration,
}

/// Error returned when a balancer cannot start.
#[derive(Debug, Snafu)]
pub enum BalancerError {
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

/// A balancer whose sockets are bound and which is ready to run.
#[derive(Debug)]
pub struct Balancer {
    cx: Cx,
    cluster: Arc<Cluster>,
    parents: Vec<SocketAddr>,
    tunnel: Arc<UdpSocket>,
    peer: Arc<TcpListener>,
    listeners: Arc<Listeners>,
    metrics: PacketMetrics,
    health: watch::Sender<FabricHealth>,
    leaving: watch::Sender<bool>,
    linger: Duration,
    record: Record,
}

impl Balancer {
    /// Binds the sockets and publishes the balancer's record.
    pub async fn bind(cx: Cx, options: BalancerOptions) -> Result<Self, BalancerError> {
        let (purpose, address) = ("tunnel", options.tunnel);
        let tunnel = UdpSocket::bind(address)
            .await
            .context(BindSnafu { purpose, address })?;
        let tunnel_address = tunnel
            .local_addr()
            .context(BindSnafu { purpose, address })?;
        let (purpose, address) = ("peer listener", options.peer);
        let peer = TcpListener::bind(address)
            .await
            .context(BindSnafu { purpose, address })?;
        let peer_address = peer.local_addr().context(BindSnafu { purpose, address })?;
        let balancer = Self {
            metrics: PacketMetrics::register(&cx.metrics, "balancer"),
            record: record(&cx, tunnel_address, peer_address),
            cx,
            cluster: Arc::new(Cluster::default()),
            parents: options.parents,
            tunnel: Arc::new(tunnel),
            peer: Arc::new(peer),
            listeners: Arc::new(Listeners::new(options.bind_instead)),
            health: watch::Sender::default(),
            leaving: watch::Sender::default(),
            linger: options.linger,
        };
        balancer.publish(MemberState::Serving);
        Ok(balancer)
    }

    /// Publishes the balancer's record with `state`. The states must be published in the order serving,
    /// draining, left, because the sequence number follows from the state.
    fn publish(&self, state: MemberState) {
        let mut record = self.record.clone();
        record.state = state;
        record.sequence = match state {
            MemberState::Serving => 1,
            MemberState::Draining => 2,
            MemberState::Left => 3,
        }
        .into();
        self.cluster.publish(record);
    }

    /// Returns a receiver of the result of the fabric's health check.
    pub fn health(&self) -> watch::Receiver<FabricHealth> {
        self.health.subscribe()
    }

    /// Returns the packet counters.
    pub const fn metrics(&self) -> &PacketMetrics {
        &self.metrics
    }

    /// Returns the balancer's view of the cluster.
    pub fn cluster(&self) -> Arc<Cluster> {
        Arc::clone(&self.cluster)
    }

    /// Returns the sockets that receive the packets of callers.
    pub fn listeners(&self) -> Arc<Listeners> {
        Arc::clone(&self.listeners)
    }

    /// Forwards until `token` is cancelled, and then for the linger time.
    pub async fn run(self, token: CancellationToken) -> Result<(), RestartLimitExceeded> {
        let mut supervisor = Supervisor::new("balancer", token);
        let this = Arc::new(self);
        supervisor.child("link", &this, |this, _| async move {
            link::run_node(&this.cx, &this.cluster, &this.parents).await
        });
        supervisor.child("peers", &this, |this, token| async move {
            let routes = Routes::new(SpreadHub::server(&this.cluster));
            transport::serve(&this.cx, Arc::clone(&this.peer), routes, token).await
        });
        supervisor.child("outbound", &this, |this, _| async move {
            outbound::run(&this).await
        });
        supervisor.child("inbound", &this, |this, token| async move {
            inbound::run(&this, token).await
        });
        supervisor.child("tables", &this, |this, _| async move {
            tables::run(&this.cluster, &this.listeners).await
        });
        supervisor.child("health", &this, |this, _| async move {
            health::run(&this).await
        });
        supervisor.draining_child("leave", &this, leave::run);
        supervisor.run().await
    }
}

fn record(cx: &Cx, tunnel: SocketAddr, peer: SocketAddr) -> Record {
    Record {
        member: MemberId::Balancer(cx.node),
        zone: cx.zone.clone(),
        incarnation: cx.incarnation,
        sequence: 1.into(),
        state: MemberState::Serving,
        tunnel,
        peer,
        eligible_at: wall_clock(),
        role: Role::Balancer,
    }
}
