//! gRPC connections to the agents of other backend servers, opened on first use and then shared.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use dogwoodrill_core::config::ClaimReplicaId;
use dogwoodrill_core::directory::{MemberId, Record};
use dogwoodrill_core::ids::BackendServerId;
use snafu::{OptionExt, ResultExt, Snafu};
use tonic::transport::Channel;

use crate::cluster::Cluster;
use crate::context::Cx;
use crate::transport;

/// Error returned when a peer agent cannot be reached.
#[derive(Debug, Snafu)]
pub enum Unreachable {
    /// The directory has no record of the backend server.
    #[snafu(display("the directory has no record of backend server {server}"))]
    Unknown {
        /// Id of the backend server.
        server: BackendServerId,
    },
    /// The connection failed.
    #[snafu(display("cannot connect to the agent of backend server {server}"))]
    Connect {
        /// Id of the backend server.
        server: BackendServerId,
        /// Error of the gRPC transport.
        source: tonic::transport::Error,
    },
}

/// Connections to peer agents, by their address.
#[derive(Clone, Debug)]
pub struct PeerChannels {
    cx: Cx,
    cluster: Arc<Cluster>,
    open: Arc<Mutex<HashMap<SocketAddr, Channel>>>,
}

impl PeerChannels {
    /// Creates an empty set. Addresses are looked up in the directory of `cluster`.
    pub fn new(cx: Cx, cluster: Arc<Cluster>) -> Self {
        Self {
            cx,
            cluster,
            open: Arc::default(),
        }
    }

    /// Returns the connection to the agent of `server`, opening it if necessary.
    pub async fn connect(&self, server: BackendServerId) -> Result<Channel, Unreachable> {
        let address = self.record(server).context(UnknownSnafu { server })?.peer;
        let known = self.lock().get(&address).cloned();
        if let Some(channel) = known {
            return Ok(channel);
        }
        let channel = transport::connect(&self.cx, address)
            .await
            .context(ConnectSnafu { server })?;
        self.lock().insert(address, channel.clone());
        Ok(channel)
    }

    /// Returns the directory record of a backend server.
    pub fn record(&self, server: BackendServerId) -> Option<Record> {
        let directory = self.cluster.directory();
        directory.get(MemberId::BackendServer(server)).cloned()
    }

    /// Returns `server` with the incarnation of its agent that the directory lists.
    pub fn claim_replica_id(&self, server: BackendServerId) -> Option<ClaimReplicaId> {
        let incarnation = self.record(server)?.incarnation;
        Some(ClaimReplicaId {
            server,
            incarnation,
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Channel>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
