//! `dogwoodrill node`: runs as a process of the users' platform.
//!
//! The platform's settings file defines the role of the process. `dogwoodrill-platform` parses the HTTP
//! calls of the platform, which are passed to the drivers in [`crate::forwarded`].

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_core::forwarded::node::{NodeAddress, NodeRole, NodeSettings, RoleSettings};
use dogwoodrill_core::forwarded::service_map::RouteTable;
use dogwoodrill_platform::calls::MAX_BODY_BYTES;
use dogwoodrill_platform::document;
use dogwoodrill_platform::packet::PlatformPacketFormat;
use dogwoodrill_platform::settings::{self, SETTINGS_VARIABLE, SettingsError};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::cluster::Cluster;
use crate::context::Cx;
use crate::forwarded::agent::AgentNode;
use crate::forwarded::balancer::BalancerNode;
use crate::forwarded::control::{ControlNode, ControlNodeError, node_id_from_ip};
use crate::forwarded::explain::ExplainHandle;
use crate::forwarded::journal::{Event, Journal};
use crate::http::{HttpHandler, Server, ServerLimits};
use crate::logs;
use crate::monitor::{Health, Monitor, MonitorError};

mod operators;
mod ready;
mod servers;

/// Interval between reads of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of reads after which the seeds are sent to the driver again even if the file has not changed, so
/// that it does not drop them.
const POLLS_PER_SEED_UPDATE: u32 = 5;
/// TCP port of the metrics endpoint on every host; must match `deploy/system.toml`.
pub(super) const METRICS_PORT: u16 = 9464;

/// Limits of the HTTP servers: connections for a few hundred operators and servers, and bodies up to the
/// platform's largest configuration.
const LIMITS: ServerLimits = ServerLimits {
    connections: 256,
    body_bytes: MAX_BODY_BYTES,
};

/// Options of `dogwoodrill node`.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// The settings file; if `None`, the one named by the platform's environment variable.
    pub settings: Option<PathBuf>,
    /// The address to bind for traffic between nodes; if `None`, the address that identifies the node.
    pub bind: Option<Ipv4Addr>,
}

/// Error of `dogwoodrill node`.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// Neither the option nor the environment variable names a settings file.
    #[snafu(display("no settings: give --settings FILE, or set {SETTINGS_VARIABLE}"))]
    NoSettings,
    /// The settings file is invalid.
    #[snafu(transparent)]
    Settings {
        /// The underlying error.
        source: SettingsError,
    },
    /// A socket could not be bound.
    #[snafu(display("cannot bind the sockets of the {role}; check that the ports are free"))]
    Bind {
        /// Role of the process.
        role: NodeRole,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A socket failed.
    #[snafu(display("a socket of the {role} failed"))]
    Socket {
        /// Role of the process.
        role: NodeRole,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The metrics endpoint could not be bound.
    #[snafu(transparent)]
    Metrics {
        /// The underlying error.
        source: MonitorError,
    },
    /// The control host failed.
    #[snafu(transparent)]
    Control {
        /// The underlying error.
        source: ControlNodeError,
    },
    /// The signal handlers could not be installed.
    #[snafu(display("cannot receive signals"))]
    NodeSignals {
        /// The I/O error.
        source: std::io::Error,
    },
}

/// Runs a process of the platform until SIGTERM.
pub async fn run_node(options: NodeOptions) -> Result<(), NodeError> {
    let settings_from_env = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let path = options
        .settings
        .or(settings_from_env)
        .context(NoSettingsSnafu)?;
    let mut settings = settings::read(&path)?;
    settings.bind_ip = options.bind.unwrap_or(settings.bind_ip);
    let role = settings.role.role();
    logs::install_for_stdout();
    let mut journal = Journal::start(&settings.name);
    let start = Event::new("start")
        .with_subject(&role)
        .with_detail(&format!(
            "version {}, zone {}, channels between processes without TLS on a private network",
            env!("CARGO_PKG_VERSION"),
            settings.zone
        ));
    journal.write_event(start);
    journal.flush();
    let node = NodeProcess::new(path, settings)?;
    let result = Box::pin(node.run(journal)).await;
    match &result {
        Ok(()) => log::info!("{role} stopped"),
        Err(e) => log::error!("{role} stopped: {e}"),
    }
    result
}

struct NodeProcess {
    settings: NodeSettings,
    cx: Cx,
    seeds: watch::Receiver<Arc<[NodeAddress]>>,
    stop: CancellationToken,
}

impl NodeProcess {
    fn new(path: PathBuf, settings: NodeSettings) -> Result<Self, NodeError> {
        let key = ClusterKey::new([0; 16]);
        let cx = Cx::new(node_id_from_ip(settings.ip), settings.zone.clone(), key);
        let (tx, seeds) = watch::channel(control_seeds(&settings));
        let reload = signal(SignalKind::hangup()).context(NodeSignalsSnafu)?;
        tokio::spawn(watch_settings(path, tx, reload));
        let stop = stop_on_signal()?;
        Ok(Self {
            settings,
            cx,
            seeds,
            stop,
        })
    }

    async fn run(self, journal: Journal) -> Result<(), NodeError> {
        let role = self.settings.role.role();
        let result = match &self.settings.role {
            RoleSettings::Balancer(sockets) => {
                let sockets = *sockets;
                let (cx, settings) = (&self.cx, &self.settings);
                let node = BalancerNode::bind(cx, settings, sockets, PlatformPacketFormat, journal);
                let node = node.context(BindSnafu { role })?;
                self.serve_ready(sockets.ready, node.ready()).await?;
                self.monitor(Arc::default(), Some(node.explain())).await?;
                node.run(self.seeds, self.stop).await
            }
            RoleSettings::Agent(sockets) => {
                let (cx, settings) = (&self.cx, &self.settings);
                let node = AgentNode::bind(cx, settings, sockets, PlatformPacketFormat, journal);
                let node = node.context(BindSnafu { role })?;
                if let Some(ready) = sockets.ready {
                    self.serve_ready(ready, node.ready()).await?;
                }
                let calls = servers::CallHandler::new(node.handle(), sockets.service.clone());
                self.serve(sockets.reports, calls).await?;
                self.monitor(Arc::default(), Some(node.explain())).await?;
                node.run(self.seeds, self.stop).await
            }
            RoleSettings::Control(control_settings) => {
                let (cx, settings) = (&self.cx, &self.settings);
                let node =
                    ControlNode::bind(cx, settings, control_settings, read_document, journal)
                        .await?;
                let port = control_settings.operators.port();
                let calls = operators::CallHandler::new(node.handle(), node.cluster(), port);
                self.serve(control_settings.operators, calls).await?;
                self.monitor(node.cluster(), None).await?;
                return Ok(Box::pin(node.run(self.seeds, self.stop)).await?);
            }
        };
        result.context(SocketSnafu { role })
    }

    async fn serve_ready(
        &self,
        address: SocketAddrV4,
        ready: watch::Receiver<bool>,
    ) -> Result<(), NodeError> {
        self.serve(address, ready::Ready::new(ready)).await
    }

    async fn serve<C: HttpHandler>(
        &self,
        address: SocketAddrV4,
        calls: C,
    ) -> Result<(), NodeError> {
        let role = self.settings.role.role();
        let listener = TcpListener::bind(address).await;
        let listener = listener.context(BindSnafu { role })?;
        let server = Server::new(Arc::new(calls), LIMITS);
        tokio::spawn(async move { server.run(&listener).await });
        Ok(())
    }

    async fn monitor(
        &self,
        cluster: Arc<Cluster>,
        explain: Option<ExplainHandle>,
    ) -> Result<(), NodeError> {
        let address = SocketAddrV4::new(self.settings.bind_ip, METRICS_PORT);
        let health = Health::Node(cluster, self.stop.clone());
        let monitor = Monitor::bind(&self.cx, address.into(), health).await?;
        let monitor = match explain {
            Some(explain) => monitor.with_explain(explain),
            None => monitor,
        };
        tokio::spawn(Arc::new(monitor).run());
        Ok(())
    }
}

fn read_document(body: &[u8]) -> Result<RouteTable, Box<dyn Error + Send + Sync>> {
    Ok(document::parse(body)?)
}

fn control_seeds(settings: &NodeSettings) -> Arc<[NodeAddress]> {
    let role = NodeRole::Control;
    let seeds = settings.seeds.iter();
    seeds.map(|ip| NodeAddress { ip: *ip, role }).collect()
}

/// Reloads the seeds when the settings file changes or SIGHUP arrives. If the file cannot be read or is
/// invalid, the current settings stay in use.
async fn watch_settings(
    path: PathBuf,
    seeds: watch::Sender<Arc<[NodeAddress]>>,
    mut reload: Signal,
) {
    let mut known = read_text(&path);
    let mut polls = 0;
    loop {
        tokio::select! {
            _ = reload.recv() => log::info!("received SIGHUP; reading the settings again"),
            () = sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        polls += 1;
        let text = read_text(&path);
        if text == known && polls % POLLS_PER_SEED_UPDATE != 0 {
            continue;
        }
        let Some(text) = text else {
            log::warn!(
                "cannot read {}; the current settings stay in use",
                path.display()
            );
            continue;
        };
        match settings::parse(&path, &text) {
            Ok(settings) => {
                if known.as_ref() != Some(&text) {
                    log::info!("reloaded the settings, seeds {:?}", settings.seeds);
                }
                seeds.send_replace(control_seeds(&settings));
            }
            Err(e) => log::warn!("invalid settings, the current settings stay in use: {e}"),
        }
        known = Some(text);
    }
}

fn read_text(path: &Path) -> Option<String> {
    std::fs::read_to_string(path).ok()
}

fn stop_on_signal() -> Result<CancellationToken, NodeError> {
    let stop = CancellationToken::new();
    let mut term = signal(SignalKind::terminate()).context(NodeSignalsSnafu)?;
    let token = stop.clone();
    tokio::spawn(async move {
        term.recv().await;
        log::info!("received SIGTERM; stopping");
        token.cancel();
    });
    Ok(stop)
}
