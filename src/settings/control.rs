//! Settings of a control host.

use std::net::SocketAddr;
use std::path::PathBuf;

use dogwoodrill_core::control_status::ControlHost;
use dogwoodrill_core::ids::NodeId;

use super::fault::Faults;
use super::initial::InitialSettings;
use super::process::{Ports, ProcessSettings};
use super::section::{Positioned, Section};
use super::{Document, SettingsError};
use crate::control::ControlOptions;

/// Allowed numbers of peers of a control host, in clusters of 1, 3 or 5 control hosts.
const PEER_COUNTS: [usize; 3] = [0, 2, 4];

/// Validated settings of a control host.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Settings common to all daemons.
    pub process: ProcessSettings,
    /// TCP address on which nodes and operators connect.
    pub listen: SocketAddr,
    /// Folder for the replicated log and other persistent data.
    pub data: PathBuf,
    /// The other control hosts.
    pub peers: Vec<ControlHost>,
    /// The lost control host that this one replaces.
    pub replaces: Option<NodeId>,
    /// File with the initial configuration of a new cluster.
    pub initial: PathBuf,
}

impl ControlSettings {
    /// Builds the options of the control host; reads the initial configuration.
    pub fn options(&self) -> Result<ControlOptions, SettingsError> {
        let document = Document::open(&self.initial)?;
        let initial = InitialSettings::try_from(&document)?;
        Ok(ControlOptions {
            listen: self.listen,
            data: self.data.clone(),
            peers: self.peers.clone(),
            replaces: self.replaces,
            initial: initial.config,
        })
    }

    fn read(section: &Section<'_>, document: &Document) -> Option<Self> {
        let folder = document.folder();
        let mut ports = Ports::default();
        let process = ProcessSettings::read(section, folder, &mut ports);
        let listen = ports.tcp(section, "listen");
        let data = section.required::<PathBuf>("data");
        let peers = read_peers(section, process.as_ref().map(|p| p.node), listen);
        let replaces = section.optional_at::<NodeId>("replaces");
        check_count(section, &peers, replaces.as_ref());
        let initial = section.required::<PathBuf>("initial");
        section.finish();
        Some(Self {
            process: process?,
            listen: listen?,
            data: folder.join(data?),
            peers,
            replaces: replaces.map(|r| r.value),
            initial: folder.join(initial?),
        })
    }
}

/// Reads the other control hosts from a mapping of node numbers to addresses. A single control host may
/// omit the key.
fn read_peers(
    section: &Section<'_>,
    own: Option<NodeId>,
    listen: Option<SocketAddr>,
) -> Vec<ControlHost> {
    let Some(peers) = section.optional_section("peers") else {
        return Vec::new();
    };
    let at = peers.position();
    let fault = |text: &str| section.faults().add(at, format_args!("peers: {text}"));
    if listen.is_some_and(|listen| listen.ip().is_unspecified()) {
        fault("with peers, listen must name the address that they reach this host at");
    }
    let mut hosts = Vec::new();
    for (key, address) in peers.pairs::<SocketAddr>() {
        match key.parse::<NodeId>() {
            Ok(node) if Some(node) == own => fault("this host is its own peer; leave it out"),
            Ok(node) => hosts.push(ControlHost { node, address }),
            Err(_) => fault(&format!("{key:?} must be the number of a control host")),
        }
    }
    hosts
}

/// Checks the number of control hosts. A cluster that loses a host must keep a majority, and an even
/// number of hosts tolerates no more failures than the odd number below it.
fn check_count(
    section: &Section<'_>,
    peers: &[ControlHost],
    replaces: Option<&Positioned<NodeId>>,
) {
    if let Some(replaces) = replaces {
        if peers.is_empty() {
            let text =
                format_args!("replaces needs the other control hosts of the cluster under peers");
            section.faults().add(replaces.position, text);
        }
    } else if !PEER_COUNTS.contains(&peers.len()) {
        let hosts = peers.len() + 1;
        let text = format_args!(
            "a cluster has 1, 3 or 5 control hosts; with its peers this makes {hosts}"
        );
        section.faults().add(section.position(), text);
    }
}

impl TryFrom<&Document> for ControlSettings {
    type Error = Faults;

    fn try_from(document: &Document) -> Result<Self, Faults> {
        document.read("the settings of a control host", Self::read)
    }
}
