//! The HTTP port of a process for those who watch it: `/metrics` for Prometheus, `/healthz` for the
//! fabric.
//!
//! A process is healthy once it has a configuration, until it is told to stop or finds itself
//! isolated. A balancer says for itself what the fabric is to be told.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use ::http::header::{CONTENT_TYPE, HeaderValue};
use ::http::{Method, StatusCode};
use bytes::Bytes;
use derive_more::Display;
use dogwoodrill_core::ids::LogIndex;
use dogwoodrill_spread::ServingStatus;
use prometheus::process_collector::ProcessCollector;
use prometheus::{Registry, TEXT_FORMAT, TextEncoder};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::balancer::health::FabricHealth;
use crate::cluster::Cluster;
use crate::context::Cx;
use crate::http::{HttpHandler, Reply, Server, ServerLimits, text};

mod metrics;

pub use metrics::ProcessMetrics;

/// What watchers may take; their calls have no bodies worth reading.
const LIMITS: ServerLimits = ServerLimits {
    connections: 64,
    body_bytes: 1024,
};

/// The port could not be bound.
#[derive(Debug, Snafu)]
#[snafu(display("cannot bind the metrics to {address}; check that the port is free"))]
pub struct MonitorError {
    /// The address.
    address: SocketAddr,
    /// What the host said.
    source: std::io::Error,
}

/// What the health check is answered with.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Condition {
    /// No configuration has arrived yet.
    #[display("starting")]
    Starting,
    /// It works.
    #[display("serving")]
    Serving,
    /// It was told to stop.
    #[display("stopping")]
    Stopping,
    /// It is cut off from the cluster.
    #[display("isolated")]
    Isolated,
    /// What a balancer tells the fabric.
    #[display("{_0}")]
    Balancer(FabricHealth),
}

impl Condition {
    /// Whether the health check passes.
    pub const fn is_healthy(self) -> bool {
        match self {
            Self::Serving => true,
            Self::Starting | Self::Stopping | Self::Isolated => false,
            Self::Balancer(health) => health.is_healthy(),
        }
    }
}

/// What the condition of a process is told from.
#[derive(Clone, Debug)]
pub enum Health {
    /// A balancer's own word.
    Balancer(watch::Receiver<FabricHealth>),
    /// An agent or a control host: its view of the cluster, and what is cancelled when it is told to
    /// stop.
    Node(Arc<Cluster>, CancellationToken),
}

impl Health {
    /// The condition now.
    pub fn condition(&self) -> Condition {
        match self {
            Self::Balancer(health) => Condition::Balancer(*health.borrow()),
            Self::Node(_, stop) if stop.is_cancelled() => Condition::Stopping,
            Self::Node(cluster, _) => node_condition(cluster),
        }
    }
}

fn node_condition(cluster: &Cluster) -> Condition {
    if *cluster.serving_status().borrow() == ServingStatus::Isolated {
        Condition::Isolated
    } else if cluster.config().index == LogIndex::default() {
        Condition::Starting
    } else {
        Condition::Serving
    }
}

/// The HTTP port, bound.
#[derive(Debug)]
pub struct Monitor {
    listener: TcpListener,
    page: Arc<Page>,
}

impl Monitor {
    /// Binds the port and registers the metrics of the process itself.
    pub async fn bind(cx: &Cx, address: SocketAddr, health: Health) -> Result<Self, MonitorError> {
        let listener = TcpListener::bind(address)
            .await
            .context(MonitorSnafu { address })?;
        // Fails only if it is registered already, and then it serves as well.
        drop(cx.metrics.register(Box::new(ProcessCollector::for_self())));
        Ok(Self {
            listener,
            page: Arc::new(Page {
                registry: cx.metrics.clone(),
                health,
            }),
        })
    }

    /// Where the port is bound.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers until its task ends.
    pub async fn run(self: Arc<Self>) -> Result<(), Infallible> {
        let server = Server::new(Arc::clone(&self.page), LIMITS);
        match server.run(&self.listener).await {}
    }
}

/// What is served.
#[derive(Debug)]
struct Page {
    registry: Registry,
    health: Health,
}

impl HttpHandler for Page {
    async fn handle(&self, method: Method, path: String, _body: Bytes) -> Reply {
        match (method, path.as_str()) {
            (Method::GET | Method::HEAD, "/metrics") => self.metrics(),
            (Method::GET | Method::HEAD, "/healthz") => self.health(),
            (_, "/metrics" | "/healthz") => text(StatusCode::METHOD_NOT_ALLOWED, "use GET\n"),
            _ => text(StatusCode::NOT_FOUND, "here are /metrics and /healthz\n"),
        }
    }
}

impl Page {
    fn health(&self) -> Reply {
        let condition = self.health.condition();
        let status = if condition.is_healthy() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        text(status, format!("{condition}\n"))
    }

    fn metrics(&self) -> Reply {
        let encoded = TextEncoder::new().encode_to_string(&self.registry.gather());
        let Ok(encoded) = encoded else {
            return text(
                StatusCode::INTERNAL_SERVER_ERROR,
                "cannot encode the metrics\n",
            );
        };
        let mut response = text(StatusCode::OK, encoded);
        let kind = HeaderValue::from_static(TEXT_FORMAT);
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }
}
