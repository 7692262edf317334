//! Issues the connection ids that pin packets to this agent.

use std::time::Duration;

use dogwoodrill_core::flow::{CONNECTION_ID_BYTES, ClusterKey, ConnectionId, NONCE_BYTES};
use dogwoodrill_core::ids::{BackendServerId, ServiceId, ShortIncarnation};
use quinn::ConnectionIdGenerator;

/// Makes connection ids that any balancer can read.
#[derive(Debug)]
pub struct PinnedIdGenerator {
    /// The secret of the cluster.
    pub key: ClusterKey,
    /// The service whose flows end here.
    pub service: ServiceId,
    /// The backend server beside this agent.
    pub server: BackendServerId,
    /// This life of the agent.
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
