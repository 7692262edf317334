//! Generates the QUIC connection ids that pin packets to this agent.

use std::time::Duration;

use dogwoodrill_core::flow::{CONNECTION_ID_BYTES, ClusterKey, ConnectionId, NONCE_BYTES};
use dogwoodrill_core::ids::{BackendServerId, ServiceId, ShortIncarnation};
use quinn::ConnectionIdGenerator;

/// Generates connection ids that every balancer of the cluster can decode.
#[derive(Debug)]
pub struct PinnedIdGenerator {
    /// Secret key of the cluster.
    pub key: ClusterKey,
    /// Service whose flows this agent terminates.
    pub service: ServiceId,
    /// Backend server of this agent.
    pub server: BackendServerId,
    /// Incarnation of this agent.
    pub incarnation: ShortIncarnation,
}

impl ConnectionIdGenerator for PinnedIdGenerator {
    fn generate_cid(&mut self) -> quinn::ConnectionId {
        let nonce: [u8; NONCE_BYTES] = rand::random();
        let id = ConnectionId {
            server: self.server,
            incarnation: self.incarnation,
            nonce,
        };
        quinn::ConnectionId::new(&id.encode(&self.key, self.service))
    }

    fn cid_len(&self) -> usize {
        CONNECTION_ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
