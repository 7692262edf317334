//! Context that is passed to all parts of a process in place of global variables.

use std::time::SystemTime;

use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_core::ids::{AvailabilityZone, Incarnation, NodeId};
use dogwoodrill_core::time::UnixMillis;
use prometheus::Registry;

use crate::credentials::Security;

/// Identity of the process, and resources shared by its parts.
#[derive(Clone, Debug)]
pub struct Cx {
    /// Node number of the process in the cluster.
    pub node: NodeId,
    /// Availability zone of the host.
    pub zone: AvailabilityZone,
    /// Incarnation of the process: its start time, which tells it from earlier runs of the same node.
    pub incarnation: Incarnation,
    /// Cluster key, used to compute authentication tags.
    pub key: ClusterKey,
    /// How the process authenticates itself and its peers.
    pub security: Security,
    /// Registry for the metrics of all parts.
    pub metrics: Registry,
}

impl Cx {
    /// Creates the context of a process that starts now, with [`Security::Plaintext`]. Use [`Cx::secured`] to
    /// change the security.
    pub fn new(node: NodeId, zone: AvailabilityZone, key: ClusterKey) -> Self {
        Self {
            node,
            zone,
            incarnation: Incarnation::new(wall_clock().get()),
            key,
            security: Security::Plaintext,
            metrics: Registry::new(),
        }
    }

    /// Creates the context of an operator command, which is not a node of the cluster.
    pub fn operator(security: Security) -> Self {
        let zone = "operator".parse().expect("the placeholder is a name");
        let key = ClusterKey::new([0; 16]);
        Self::new(NodeId::default(), zone, key).secured(security)
    }

    /// Returns the context with another [`Security`].
    #[must_use]
    pub fn secured(self, security: Security) -> Self {
        Self { security, ..self }
    }
}

/// Returns the time of the host's clock. It is used for times that are sent to other processes.
pub fn wall_clock() -> UnixMillis {
    SystemTime::now().into()
}
