//! Connections to the agents beside other backend servers, made once and used again.

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

/// Why a peer can't be reached.
#[derive(Debug, Snafu)]
pub enum Unreachable {
    /// Nobody has announced that backend server here.
    #[snafu(display("no record of backend server {server}"))]
    Unknown {
        /// The server.
        server: BackendServerId,
    },
    /// The connection failed.
    #[snafu(display("cannot connect to the agent beside backend server {server}"))]
    Connect {
        /// The server.
        server: BackendServerId,
        /// What the transport said.
        source: tonic::transport::Error,
    },
}

/// Connections by address.
#[derive(Clone, Debug)]
pub struct Channels {
    cx: Cx,
    cluster: Arc<Cluster>,
    open: Arc<Mutex<HashMap<SocketAddr, Channel>>>,
}

impl Channels {
    /// Makes an empty set; addresses come from the directory of `cluster`.
    pub fn new(cx: Cx, cluster: Arc<Cluster>) -> Self {
        Self {
            cx,
            cluster,
            open: Arc::default(),
        }
    }

    /// The connection to the agent beside `server`.
    pub async fn to(&self, server: BackendServerId) -> Result<Channel, Unreachable> {
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

    /// The record of a backend server.
    pub fn record(&self, server: BackendServerId) -> Option<Record> {
        let directory = self.cluster.directory();
        directory.get(MemberId::BackendServer(server)).cloned()
    }

    /// The life of the agent beside `server`, as the directory knows it.
    pub fn life(&self, server: BackendServerId) -> Option<ClaimReplicaId> {
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
