//! Settings common to all daemons: node number, zone, keys, certificates, metrics and logs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_core::ids::{AvailabilityZone, NodeId};
use snafu::ResultExt;

use super::fault::Position;
use super::logs::LogSettings;
use super::section::{Positioned, Section};
use super::{CredentialsSnafu, KeySnafu, SettingsError, read_text};
use crate::context::Cx;
use crate::credentials::{CredentialFiles, Credentials, Security};

/// Settings common to all daemons.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// Node number of the process in the cluster.
    pub node: NodeId,
    /// Availability zone of the host.
    pub zone: Positioned<AvailabilityZone>,
    /// File with the cluster key.
    pub cluster_key: PathBuf,
    /// Files with the authority's and the node's certificate and the private key.
    pub tls: CredentialFiles,
    /// TCP address of the metrics and health endpoints.
    pub metrics: SocketAddr,
    /// Settings of logging.
    pub logs: LogSettings,
}

impl ProcessSettings {
    /// Reads the common settings. Relative paths are resolved against `folder`.
    pub fn read(section: &Section<'_>, folder: &Path, ports: &mut Ports) -> Option<Self> {
        let node = section.required("node");
        let zone = section.required_at("zone");
        let cluster_key = section.required::<PathBuf>("cluster_key");
        let tls = section.section("tls").and_then(|s| read_tls(&s, folder));
        let metrics = ports.tcp(section, "metrics");
        let logs = LogSettings::read(section.optional_section("logs").as_ref());
        Some(Self {
            node: node?,
            zone: zone?,
            cluster_key: folder.join(cluster_key?),
            tls: tls?,
            metrics: metrics?,
            logs,
        })
    }

    /// Reads the cluster key and the certificates and creates the context of a starting process.
    pub fn cx(&self) -> Result<Cx, SettingsError> {
        let key = read_key(&self.cluster_key)?;
        let credentials = Credentials::load(self.tls.clone()).context(CredentialsSnafu)?;
        let cx = Cx::new(self.node, self.zone.value.clone(), key);
        Ok(cx.secured(Security::Mtls(Arc::new(credentials))))
    }
}

/// Reads the paths of a certificate, its private key and its authority.
pub fn read_tls(section: &Section<'_>, folder: &Path) -> Option<CredentialFiles> {
    let authority = section.required::<PathBuf>("authority");
    let certificate = section.required::<PathBuf>("certificate");
    let key = section.required::<PathBuf>("key");
    section.finish();
    Some(CredentialFiles {
        authority: folder.join(authority?),
        certificate: folder.join(certificate?),
        key: folder.join(key?),
    })
}

fn read_key(path: &Path) -> Result<ClusterKey, SettingsError> {
    let text = read_text(path)?;
    text.trim().parse().context(KeySnafu { path })
}

/// The ports that one process listens on; reports ports that are given twice.
#[derive(Debug, Default)]
pub struct Ports {
    reserved: BTreeMap<(Transport, u16), Vec<ReservedPort>>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Transport {
    Tcp,
    Udp,
}

#[derive(Clone, Copy, Debug)]
struct ReservedPort {
    key: &'static str,
    address: SocketAddr,
    position: Position,
}

impl Ports {
    /// Reads a required TCP listen address and reserves its port.
    pub fn tcp(&mut self, section: &Section<'_>, key: &'static str) -> Option<SocketAddr> {
        let at = section.required_at(key)?;
        Some(self.reserve(section, Transport::Tcp, key, &at))
    }

    /// Reads a required UDP listen address and reserves its port.
    pub fn udp(&mut self, section: &Section<'_>, key: &'static str) -> Option<SocketAddr> {
        let at = section.required_at(key)?;
        Some(self.reserve(section, Transport::Udp, key, &at))
    }

    fn reserve(
        &mut self,
        section: &Section<'_>,
        transport: Transport,
        key: &'static str,
        at: &Positioned<SocketAddr>,
    ) -> SocketAddr {
        let (address, position) = (at.value, at.position);
        let reserved = self
            .reserved
            .entry((transport, address.port()))
            .or_default();
        let other = reserved
            .iter()
            .find(|t| addresses_overlap(t.address, address));
        if let Some(other) = other.filter(|_| address.port() != 0) {
            let text = format_args!(
                "{key}: {address} is taken by {} at {}; give each its own port",
                other.key, other.position
            );
            section.faults().add(position, text);
        }
        reserved.push(ReservedPort {
            key,
            address,
            position,
        });
        address
    }
}

fn addresses_overlap(a: SocketAddr, b: SocketAddr) -> bool {
    a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified()
}

/// Returns the values of a list without their positions.
pub fn values<T>(list: Vec<Positioned<T>>) -> Vec<T> {
    list.into_iter().map(|p| p.value).collect()
}
