//! The subcommands that run until they are told to stop.
//!
//! Beside its work each daemon runs a [`Monitor`] and looks after its certificates, until the work
//! has ended: metrics and health are there while it drains.

use std::convert::Infallible;
use std::future::pending;
use std::path::PathBuf;
use std::sync::Arc;

use snafu::ResultExt;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::exit::EXIT_ABORTED;
use super::{MetricsSnafu, OpsError, SignalsSnafu};
use crate::agent::Agent;
use crate::agent::quic::ServiceIdentity;
use crate::balancer::Balancer;
use crate::cluster::Cluster;
use crate::context::Cx;
use crate::control::Control;
use crate::credentials::{Credentials, RELOAD_INTERVAL, Security};
use crate::monitor::{Health, Monitor, ProcessMetrics};
use crate::settings::agent::AgentSettings;
use crate::settings::balancer::BalancerSettings;
use crate::settings::control::ControlSettings;
use crate::settings::process::ProcessSettings;
use crate::supervisor::Supervisor;
use crate::{logs, settings};

/// What a daemon is started with.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// The settings file.
    pub config: PathBuf,
}

/// Runs a balancer until a signal ends it.
pub async fn run_balancer(options: DaemonOptions) -> Result<(), OpsError> {
    let settings: BalancerSettings = settings::read(&options.config)?;
    let process = Process::start(&settings.process, "balancer")?;
    let balancer = Balancer::bind(process.cx.clone(), settings.options()?).await?;
    let background = process
        .start_background(Health::Balancer(balancer.health()))
        .await?;
    log::info!("balancer {} serves", process.cx.node);
    background.run_with(balancer.run(process.stop)).await
}

/// Runs an agent until a signal ends it.
pub async fn run_agent(options: DaemonOptions) -> Result<(), OpsError> {
    let settings: AgentSettings = settings::read(&options.config)?;
    let process = Process::start(&settings.process, "agent")?;
    let agent = Agent::bind(process.cx.clone(), settings.options()?).await?;
    let mut background = process
        .start_background(process.health(agent.cluster()))
        .await?;
    let watched = Arc::new((settings, agent.identity()));
    background
        .supervisor
        .child("service certificate", &watched, |watched, _| async move {
            watch_service_certificate(&watched.0, &watched.1).await
        });
    log::info!("agent {} serves", process.cx.node);
    background.run_with(agent.run(process.stop)).await
}

/// Runs a control host until a signal ends it.
pub async fn run_control(options: DaemonOptions) -> Result<(), OpsError> {
    let settings: ControlSettings = settings::read(&options.config)?;
    let process = Process::start(&settings.process, "control")?;
    let control = Control::bind(process.cx.clone(), settings.options()?).await?;
    let background = process
        .start_background(process.health(control.cluster()))
        .await?;
    log::info!("control host {} serves", process.cx.node);
    background.run_with(control.run(process.stop)).await
}

/// What every daemon has before its work begins.
struct Process {
    cx: Cx,
    metrics: ProcessMetrics,
    monitor: std::net::SocketAddr,
    stop: CancellationToken,
}

impl Process {
    fn start(settings: &ProcessSettings, role: &str) -> Result<Self, OpsError> {
        logs::install(&settings.logs);
        let cx = settings.cx()?;
        let metrics = ProcessMetrics::register(&cx.metrics, role).context(MetricsSnafu)?;
        Ok(Self {
            cx,
            metrics,
            monitor: settings.metrics,
            stop: stop_on_signal()?,
        })
    }

    fn health(&self, cluster: Arc<Cluster>) -> Health {
        Health::Node(cluster, self.stop.clone())
    }

    /// What runs beside the work.
    async fn start_background(&self, health: Health) -> Result<BackgroundTasks, OpsError> {
        let end_token = CancellationToken::new();
        let monitor = Arc::new(Monitor::bind(&self.cx, self.monitor, health).await?);
        let mut supervisor = Supervisor::new("process", end_token.clone());
        supervisor.child("monitor", &monitor, |monitor, _| monitor.run());
        if let Security::Mtls(credentials) = &self.cx.security {
            let watched = Arc::new((Arc::clone(credentials), self.metrics.clone()));
            supervisor.child("certificates", &watched, |watched, _| async move {
                watch_certificates(&watched.0, &watched.1).await
            });
        }
        Ok(BackgroundTasks {
            supervisor,
            end_token,
        })
    }
}

struct BackgroundTasks {
    supervisor: Supervisor,
    end_token: CancellationToken,
}

impl BackgroundTasks {
    /// Runs until the work ends, or fails if what runs beside it does.
    async fn run_with<E>(self, work: impl Future<Output = Result<(), E>>) -> Result<(), OpsError>
    where
        OpsError: From<E>,
    {
        let background = tokio::spawn(self.supervisor.run());
        let failed = async {
            match background.await {
                Ok(Err(e)) => e,
                _ => pending().await,
            }
        };
        tokio::select! {
            result = work => {
                self.end_token.cancel();
                Ok(result?)
            }
            e = failed => Err(e.into()),
        }
    }
}

/// Reads changed certificates, and keeps the metrics of them.
async fn watch_certificates(
    credentials: &Credentials,
    metrics: &ProcessMetrics,
) -> Result<(), Infallible> {
    let mut refused = false;
    loop {
        metrics.set_certificate_expiry(credentials.expires_at());
        sleep(RELOAD_INTERVAL).await;
        match credentials.reload() {
            Ok(true) => log::info!("the certificate was renewed"),
            Ok(false) => {}
            Err(e) => {
                metrics.certificate_reload_failures.inc();
                if !refused {
                    log::warn!(
                        "the certificate files were refused: {}",
                        super::one_line(&e)
                    );
                }
                refused = true;
                continue;
            }
        }
        refused = false;
    }
}

/// Reads a changed service certificate. Files that are half renewed are read again later.
async fn watch_service_certificate(
    settings: &AgentSettings,
    identity: &watch::Sender<Arc<ServiceIdentity>>,
) -> Result<(), Infallible> {
    loop {
        sleep(RELOAD_INTERVAL).await;
        let Ok(read) = settings.identity() else {
            continue;
        };
        let renewed = identity.send_if_modified(|current| {
            let renewed = current.is_renewed_by(&read);
            if renewed {
                *current = Arc::new(read);
            }
            renewed
        });
        if renewed {
            log::info!("the service certificate was renewed");
        }
    }
}

/// A token that the first SIGTERM or SIGINT cancels; the second one ends the process at once.
fn stop_on_signal() -> Result<CancellationToken, OpsError> {
    let token = CancellationToken::new();
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    let stop = token.clone();
    tokio::spawn(async move {
        recv_either(&mut terminate, &mut interrupt).await;
        log::info!("told to stop; finishing what is in progress");
        stop.cancel();
        recv_either(&mut terminate, &mut interrupt).await;
        log::warn!("told to stop again; ending at once");
        std::process::exit(EXIT_ABORTED.into());
    });
    Ok(token)
}

async fn recv_either(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
