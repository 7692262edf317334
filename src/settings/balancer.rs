//! Settings of a balancer.

use std::net::SocketAddr;
use std::time::Duration;

use super::fault::Faults;
use super::process::{Ports, ProcessSettings, values};
use super::section::Section;
use super::{Document, SettingsError};
use crate::balancer::{BalancerOptions, DEFAULT_LINGER};

/// Checked settings.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// What every daemon has.
    pub process: ProcessSettings,
    /// Control hosts or relays to link to.
    pub parents: Vec<SocketAddr>,
    /// UDP address of the tunnel.
    pub tunnel: SocketAddr,
    /// TCP address for messages from peers.
    pub peer: SocketAddr,
    /// Address to bind in place of each service's own.
    pub bind_instead: Option<SocketAddr>,
    /// Time for which a stopping balancer goes on forwarding.
    pub linger: Duration,
}

impl BalancerSettings {
    /// What the balancer is started with.
    pub fn options(&self) -> Result<BalancerOptions, SettingsError> {
        Ok(BalancerOptions {
            parents: self.parents.clone(),
            tunnel: self.tunnel,
            peer: self.peer,
            bind_instead: self.bind_instead,
            linger: self.linger,
        })
    }

    fn read(section: &Section<'_>, document: &Document) -> Option<Self> {
        let mut ports = Ports::default();
        let process = ProcessSettings::read(section, document.folder(), &mut ports);
        let parents = section.list("parents");
        let tunnel = ports.udp(section, "tunnel");
        let peer = ports.tcp(section, "peer");
        let bind_instead = section.optional("bind_instead");
        let linger = section.optional("linger").unwrap_or(DEFAULT_LINGER);
        section.finish();
        Some(Self {
            process: process?,
            parents: values(parents?),
            tunnel: tunnel?,
            peer: peer?,
            bind_instead,
            linger,
        })
    }
}

impl TryFrom<&Document> for BalancerSettings {
    type Error = Faults;

    fn try_from(document: &Document) -> Result<Self, Faults> {
        document.read("the settings of a balancer", Self::read)
    }
}
