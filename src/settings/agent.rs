//! Settings of an agent.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::ResultExt;

use super::fault::Faults;
use super::process::{Ports, ProcessSettings, values};
use super::section::Section;
use super::{CredentialsSnafu, Document, SettingsError};
use crate::agent::AgentOptions;
use crate::agent::quic::ServiceIdentity;
use crate::credentials::{read_chain, read_private_key};

/// Validated settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Settings common to all daemons.
    pub process: ProcessSettings,
    /// Addresses of the control hosts or relays that the agent connects to.
    pub parents: Vec<SocketAddr>,
    /// UDP address on which the agent receives tunnel packets.
    pub tunnel: SocketAddr,
    /// Tunnel address that balancers send to, if it differs from the bound address.
    pub advertised_tunnel: Option<SocketAddr>,
    /// TCP address on which the agent accepts requests from peer agents.
    pub peer: SocketAddr,
    /// Loopback TCP address on which the local backend server announces itself.
    pub announce: SocketAddr,
    /// File with the service certificate chain that callers verify.
    pub service_certificate: PathBuf,
    /// File with the private key of the service certificate.
    pub service_key: PathBuf,
}

impl AgentSettings {
    /// Builds the options of the agent; reads the service certificate and its key.
    pub fn options(&self) -> Result<AgentOptions, SettingsError> {
        Ok(AgentOptions {
            parents: self.parents.clone(),
            tunnel: self.tunnel,
            advertised_tunnel: self.advertised_tunnel,
            peer: self.peer,
            announce: self.announce,
            identity: self.identity()?,
        })
    }

    /// Reads the service certificate chain and its private key.
    pub fn identity(&self) -> Result<ServiceIdentity, SettingsError> {
        Ok(ServiceIdentity {
            chain: read_chain(&self.service_certificate).context(CredentialsSnafu)?,
            key: read_private_key(&self.service_key).context(CredentialsSnafu)?,
        })
    }

    fn read(section: &Section<'_>, document: &Document) -> Option<Self> {
        let folder = document.folder();
        let mut ports = Ports::default();
        let process = ProcessSettings::read(section, folder, &mut ports);
        let parents = section.list("parents");
        let tunnel = ports.udp(section, "tunnel");
        let advertised_tunnel = section.optional("advertised_tunnel");
        let peer = ports.tcp(section, "peer");
        let announce = ports.tcp(section, "announce");
        let service_certificate = section.required::<PathBuf>("service_certificate");
        let service_key = section.required::<PathBuf>("service_key");
        section.finish();
        Some(Self {
            process: process?,
            parents: values(parents?),
            tunnel: tunnel?,
            advertised_tunnel,
            peer: peer?,
            announce: announce?,
            service_certificate: folder.join(service_certificate?),
            service_key: folder.join(service_key?),
        })
    }
}

impl TryFrom<&Document> for AgentSettings {
    type Error = Faults;

    fn try_from(document: &Document) -> Result<Self, Faults> {
        document.read("the settings of an agent", Self::read)
    }
}
