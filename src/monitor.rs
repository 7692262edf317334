//! HTTP endpoint for monitoring a process: `/metrics` for Prometheus, `/healthz` for the fabric, and
//! `/explain` for operators of forwarded flows.
//!
//! An agent or control host is healthy from when it has a configuration until it starts to stop or
//! detects that it is isolated. A balancer determines its health itself, see [`FabricHealth`].

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use ::http::header::{CONTENT_TYPE, HeaderValue};
use ::http::{Method, StatusCode, Uri};
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
use crate::forwarded::explain::ExplainHandle;
use crate::http::{HttpHandler, Reply, Server, ServerLimits, text};

mod explain;
mod metrics;

pub use metrics::ProcessMetrics;

/// Limits of the HTTP server. Requests to these endpoints have no body.
const LIMITS: ServerLimits = ServerLimits {
    connections: 64,
    body_bytes: 1024,
};

/// Error of binding the endpoint.
#[derive(Debug, Snafu)]
#[snafu(display("cannot bind the metrics endpoint to {address}; check that the port is free"))]
pub struct MonitorError {
    /// The address to bind.
    address: SocketAddr,
    /// The I/O error.
    source: std::io::Error,
}

/// Condition of a process, which is the body of the health check response.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Condition {
    /// No configuration has been received yet.
    #[display("starting")]
    Starting,
    /// The process has a configuration and serves.
    #[display("serving")]
    Serving,
    /// The process was asked to stop.
    #[display("stopping")]
    Stopping,
    /// The process is isolated from the cluster.
    #[display("isolated")]
    Isolated,
    /// The health that a balancer reports to the fabric.
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

/// Source of the condition of a process.
#[derive(Clone, Debug)]
pub enum Health {
    /// The health that a balancer determines itself.
    Balancer(watch::Receiver<FabricHealth>),
    /// For an agent or a control host: its view of the cluster, and the token that is cancelled when it is
    /// asked to stop.
    Node(Arc<Cluster>, CancellationToken),
}

impl Health {
    /// Returns the current condition.
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

/// The bound HTTP endpoint.
#[derive(Debug)]
pub struct Monitor {
    listener: TcpListener,
    page: Arc<Page>,
}

impl Monitor {
    /// Binds the endpoint and registers the metrics of the operating system process.
    pub async fn bind(cx: &Cx, address: SocketAddr, health: Health) -> Result<Self, MonitorError> {
        let listener = TcpListener::bind(address)
            .await
            .context(MonitorSnafu { address })?;
        // Fails only if a collector is already registered, which is just as good.
        drop(cx.metrics.register(Box::new(ProcessCollector::for_self())));
        Ok(Self {
            listener,
            page: Arc::new(Page {
                registry: cx.metrics.clone(),
                health,
                explain: None,
            }),
        })
    }

    /// Also serves `/explain`, with the answers of a node.
    #[must_use]
    pub fn with_explain(mut self, handle: ExplainHandle) -> Self {
        self.page = Arc::new(Page {
            explain: Some(handle),
            ..Page::clone(&self.page)
        });
        self
    }

    /// Returns the bound address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves requests until the task is dropped.
    pub async fn run(self: Arc<Self>) -> Result<(), Infallible> {
        let server = Server::new(Arc::clone(&self.page), LIMITS);
        match server.run(&self.listener).await {}
    }
}

/// Handler of the endpoint's requests.
#[derive(Clone, Debug)]
struct Page {
    registry: Registry,
    health: Health,
    /// The node that is asked where new flows would go, if the process is a balancer or agent of forwarded flows.
    explain: Option<ExplainHandle>,
}

impl HttpHandler for Page {
    async fn handle(&self, method: Method, uri: Uri, _body: Bytes) -> Reply {
        match (method, uri.path()) {
            (Method::GET | Method::HEAD, "/metrics") => self.metrics(),
            (Method::GET | Method::HEAD, "/healthz") => self.health(),
            (Method::GET | Method::HEAD, "/explain") if let Some(explain) = &self.explain => {
                explain::reply(explain, uri.query()).await
            }
            (_, "/explain") if self.explain.is_some() => {
                text(StatusCode::METHOD_NOT_ALLOWED, "use GET\n")
            }
            (_, "/metrics" | "/healthz") => text(StatusCode::METHOD_NOT_ALLOWED, "use GET\n"),
            _ if self.explain.is_some() => text(
                StatusCode::NOT_FOUND,
                "not found; the paths are /metrics, /healthz and /explain\n",
            ),
            _ => text(
                StatusCode::NOT_FOUND,
                "not found; the paths are /metrics and /healthz\n",
            ),
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
