//! Settings of a balancer.

use std::net::SocketAddr;
use std::time::Duration;

use super::fault::Faults;
use super::process::{Ports, ProcessSettings, values};
use super::section::Section;
use super::{Document, SettingsError};
use crate::balancer::{BalancerOptions, DEFAULT_LINGER};

/// Validated settings of a balancer.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Settings common to all daemons.
    pub process: ProcessSettings,
    /// Addresses of the control hosts or relays that the balancer connects to.
    pub parents: Vec<SocketAddr>,
    /// UDP address on which the balancer receives tunnel packets.
    pub tunnel: SocketAddr,
    /// TCP address on which the balancer accepts connections from other nodes.
    pub peer: SocketAddr,
    /// Address to bind instead of each service's own address.
    pub bind_instead: Option<SocketAddr>,
    /// Time for which a stopping balancer continues to forward packets.
    pub linger: Duration,
}

impl BalancerSettings {
    /// Builds the options of the balancer.
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
