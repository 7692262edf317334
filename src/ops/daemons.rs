//! The subcommands that run until they receive a signal.
//!
//! In addition to its main task each daemon runs a [`Monitor`] and reloads its certificates. These
//! background tasks run until the main task has ended, so that metrics and health are available while it
//! drains.

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

/// Options of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// Path of the settings file.
    pub config: PathBuf,
}

/// Runs a balancer until SIGTERM or SIGINT.
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

/// Runs an agent until SIGTERM or SIGINT.
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

/// Runs a control host until SIGTERM or SIGINT.
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

/// State of a daemon before its main task starts.
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

    /// Creates the background tasks: the monitor and the reload of certificates.
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
    /// Runs the main task with the background tasks. Returns when the main task ends, or with an error when
    /// the background tasks fail.
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

/// Reloads the certificates when their files change and updates the certificate metrics.
async fn watch_certificates(
    credentials: &Credentials,
    metrics: &ProcessMetrics,
) -> Result<(), Infallible> {
    let mut refused = false;
    loop {
        metrics.set_certificate_expiry(credentials.expires_at());
        sleep(RELOAD_INTERVAL).await;
        match credentials.reload() {
            Ok(true) => log::info!("reloaded the renewed certificate"),
            Ok(false) => {}
            Err(e) => {
                metrics.certificate_reload_failures.inc();
                if !refused {
                    log::warn!(
                        "cannot reload the certificate files, the loaded certificate stays in use: {}",
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

/// Reloads the service certificate when its files change. Files that cannot be read, for example because
/// only one of them is renewed yet, are read again after [`RELOAD_INTERVAL`].
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
            log::info!("reloaded the renewed service certificate");
        }
    }
}

/// Returns a token that the first SIGTERM or SIGINT cancels; the second signal exits the process at once.
fn stop_on_signal() -> Result<CancellationToken, OpsError> {
    let token = CancellationToken::new();
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    let stop = token.clone();
    tokio::spawn(async move {
        recv_either(&mut terminate, &mut interrupt).await;
        log::info!("received a signal to stop; finishing work in progress");
        stop.cancel();
        recv_either(&mut terminate, &mut interrupt).await;
        log::warn!("received a second signal to stop; exiting at once");
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
