//! `status`: shows the control hosts, the committed configuration and which nodes have it in force.

use std::fmt;
use std::net::SocketAddr;

use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::control_status::ControlStatus;
use dogwoodrill_core::ids::ProfileName;
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_spread::progress::Confirmations;
use serde_json::{Value, json};

use super::exit::EXIT_FAILED;
use super::session::{
    CommandError, Session, SessionOptions, confirmations_json, confirmations_text,
};
use super::{Outcome, one_line};
use crate::context::wall_clock;
use crate::credentials::Security;
use crate::operator::OperatorError;

/// Milliseconds in a day.
const DAY_MILLIS: u64 = 24 * 60 * 60 * 1_000;

/// Status of the cluster.
#[derive(Debug)]
pub struct ClusterStatus {
    /// Status of each control host, in the order of the settings.
    pub hosts: Vec<(SocketAddr, Result<ControlStatus, OperatorError>)>,
    /// The committed configuration, or the error of reading it.
    pub config: Result<CommittedConfig, OperatorError>,
    /// Which nodes have that configuration in force, if known.
    pub confirmations: Option<Confirmations>,
    /// Whole days until the operator's certificate expires; `None` without TLS.
    pub certificate_days: Option<u64>,
}

/// Queries every control host.
pub async fn status(options: &SessionOptions) -> Result<ClusterStatus, CommandError> {
    let session = Session::open(&options.config)?;
    let hosts = session.client.status_of_each().await;
    let config = session.client.config().await;
    let confirmations = match &config {
        Ok(config) => session.client.confirmations(config.index).await.ok(),
        Err(_) => None,
    };
    Ok(ClusterStatus {
        hosts,
        config,
        confirmations,
        certificate_days: certificate_days(&session.cx.security, wall_clock()),
    })
}

fn certificate_days(security: &Security, now: UnixMillis) -> Option<u64> {
    match security {
        Security::Plaintext => None,
        Security::Mtls(credentials) => {
            let left = credentials.expires_at().get().saturating_sub(now.get());
            Some(left / DAY_MILLIS)
        }
    }
}

impl Outcome for ClusterStatus {
    /// Fails if a control host does not respond or the configuration cannot be read.
    fn exit_code(&self) -> u8 {
        let hosts = self.hosts.iter().all(|(_, status)| status.is_ok());
        if hosts && self.config.is_ok() {
            0
        } else {
            EXIT_FAILED
        }
    }

    fn to_json(&self) -> Value {
        let hosts: Vec<_> = self.hosts.iter().map(|(a, s)| host_json(*a, s)).collect();
        json!({
            "control": hosts,
            "config": self.config.as_ref().ok().map(config_json),
            "nodes": self.confirmations.as_ref().map(confirmations_json),
            "certificate_days": self.certificate_days,
        })
    }
}

fn host_json(address: SocketAddr, status: &Result<ControlStatus, OperatorError>) -> Value {
    match status {
        Err(e) => json!({ "address": address.to_string(), "error": one_line(e) }),
        Ok(status) => json!({
            "address": address.to_string(),
            "node": status.node.get(),
            "role": status.role.to_string(),
            "term": status.term.get(),
            "commit_index": status.commit_index.get(),
            "applied_index": status.applied_index.get(),
            "disk_full": status.disk_full,
        }),
    }
}

fn config_json(config: &CommittedConfig) -> Value {
    let zones = config.zones.values();
    let zones: serde_json::Map<_, _> = zones
        .map(|z| (z.name.to_string(), json!(z.status.to_string())))
        .collect();
    json!({
        "index": config.index.get(),
        "zones": zones,
        "services": config.services.values().map(|s| s.name.as_str()).collect::<Vec<_>>(),
        "profiles": config.profiles.keys().map(ProfileName::as_str).collect::<Vec<_>>(),
    })
}

impl fmt::Display for ClusterStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (address, status) in &self.hosts {
            write_host(f, *address, status)?;
        }
        match &self.config {
            Ok(config) => write_config(f, config)?,
            Err(e) => writeln!(f, "no configuration can be read: {}", one_line(e))?,
        }
        if let Some(confirmations) = &self.confirmations {
            writeln!(f, "configuration: {}", confirmations_text(confirmations))?;
        }
        if let Some(days) = self.certificate_days {
            writeln!(f, "your certificate expires in {days} days")?;
        }
        Ok(())
    }
}

fn write_host(
    f: &mut fmt::Formatter<'_>,
    address: SocketAddr,
    status: &Result<ControlStatus, OperatorError>,
) -> fmt::Result {
    let status = match status {
        Ok(status) => status,
        Err(e) => return writeln!(f, "control {address}: {}", one_line(e)),
    };
    let (node, role, term, commit) = (status.node, status.role, status.term, status.commit_index);
    let disk = if status.disk_full { ", DISK FULL" } else { "" };
    writeln!(
        f,
        "control {address}: node {node}, {role}, term {term}, committed {commit}{disk}"
    )
}

fn write_config(f: &mut fmt::Formatter<'_>, config: &CommittedConfig) -> fmt::Result {
    writeln!(f, "configuration: index {}", config.index)?;
    for zone in config.zones.values() {
        writeln!(f, "zone {}: {}", zone.name, zone.status)?;
    }
    for service in config.services.values() {
        writeln!(f, "service {}: profile {}", service.name, service.profile)?;
    }
    Ok(())
}
