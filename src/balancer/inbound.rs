//! Forwards packets from callers to agents, with one task for each service address in the configuration.
//!
//! The packet path takes no lock and neither copies nor allocates: a packet is received into a buffer that
//! leaves space for the tunnel header in front of it, and the routing table is read in place.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::drop_cause::DropCause;
use dogwoodrill_core::flow::{PacketClass, classify};
use dogwoodrill_core::routing::{Route, unknown_server_cause};
use dogwoodrill_wire::tunnel::{AddressTag, DatagramKind, HEADER_BYTES, Header};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::Balancer;
use super::health::FabricHealth;
use super::listeners::{BindFailure, Listener};
use super::tables;
use crate::cluster::Cluster;
use crate::context::{Cx, wall_clock};
use crate::packet_metrics::{Outcome, PacketMetrics};

/// Buffer size for a datagram of a caller. Agents limit callers to 1,400 bytes, and with thousands of service
/// addresses the memory for buffers matters. A datagram that fills the buffer is dropped, because it may have
/// been truncated.
pub const CALLER_DATAGRAM_BYTES: usize = 2_048;
/// Interval between attempts to bind an address that could not be bound.
const BIND_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a forwarder for each service address in the current configuration.
pub async fn run(balancer: &Balancer, token: CancellationToken) -> io::Result<()> {
    let mut config_changes = balancer.cluster.config_changes();
    let mut forwarders = Forwarders::default();
    let mut has_logged_failures = false;
    loop {
        let config = Arc::clone(&config_changes.borrow_and_update());
        let bind_failures = balancer.listeners.sync(&balancer.cx.key, &config).await;
        // A listener must have a routing table before it receives packets.
        tables::refresh(&balancer.cluster, &balancer.listeners);
        forwarders.sync(balancer, &token);
        if !has_logged_failures {
            bind_failures.iter().for_each(log_bind_failure);
        }
        has_logged_failures = !bind_failures.is_empty();
        tokio::select! {
            changed = config_changes.changed() => if changed.is_err() { return Ok(()) },
            () = sleep(BIND_RETRY_INTERVAL), if !bind_failures.is_empty() => {}
        }
    }
}

fn log_bind_failure(failure: &BindFailure) {
    let BindFailure { address, error } = failure;
    log::error!("cannot bind the service address {address}, retrying: {error}");
}

/// The running forwarders, each with its listener. Dropping an entry stops the forwarder.
#[derive(Debug, Default)]
struct Forwarders {
    by_tag: HashMap<AddressTag, (Arc<Listener>, DropGuard)>,
}

impl Forwarders {
    fn sync(&mut self, balancer: &Balancer, token: &CancellationToken) {
        let listeners = balancer.listeners.all();
        self.by_tag.retain(|tag, (running, _)| {
            let current = listeners.get(tag);
            current.is_some_and(|l| Arc::ptr_eq(l, running))
        });
        for (tag, listener) in listeners.iter() {
            if self.by_tag.contains_key(tag) {
                continue;
            }
            let cancellation = token.child_token();
            let forwarder = Forwarder {
                cx: balancer.cx.clone(),
                cluster: Arc::clone(&balancer.cluster),
                tunnel: Arc::clone(&balancer.tunnel),
                metrics: balancer.metrics.clone(),
                health: balancer.health.subscribe(),
                listener: Arc::clone(listener),
            };
            tokio::spawn(forwarder.run(cancellation.clone()));
            let running = (Arc::clone(listener), cancellation.drop_guard());
            self.by_tag.insert(*tag, running);
        }
    }
}

/// Forwards the packets that arrive at one service address.
#[derive(Debug)]
pub struct Forwarder {
    /// Context of the process.
    pub cx: Cx,
    /// View of the cluster, read only to find the drop cause of a packet whose server is not in the table.
    pub cluster: Arc<Cluster>,
    /// Socket of the tunnel.
    pub tunnel: Arc<UdpSocket>,
    /// Packet counters.
    pub metrics: PacketMetrics,
    /// Health of the balancer; nothing is forwarded while it is isolated.
    pub health: watch::Receiver<FabricHealth>,
    /// The service address with its socket and routing table.
    pub listener: Arc<Listener>,
}

impl Forwarder {
    /// Forwards until `token` is cancelled.
    pub async fn run(self, token: CancellationToken) {
        token.run_until_cancelled(self.forward_all()).await;
    }

    async fn forward_all(&self) {
        let mut buf = vec![0; HEADER_BYTES + CALLER_DATAGRAM_BYTES];
        loop {
            let received = self.listener.socket.recv_from(&mut buf[HEADER_BYTES..]);
            // An error here belongs to an earlier send to a caller that no longer exists; the socket still
            // works.
            let Ok((len, caller)) = received.await else {
                continue;
            };
            if len == CALLER_DATAGRAM_BYTES {
                self.metrics.count_drop(DropCause::TooLarge);
                continue;
            }
            match self.forward(caller, &mut buf[..HEADER_BYTES + len]).await {
                Ok(outcome) => self.metrics.count(outcome),
                Err(cause) => self.metrics.count_drop(cause),
            }
        }
    }

    /// Forwards a datagram; the first `HEADER_BYTES` of the buffer are reserved for the tunnel header.
    async fn forward(&self, caller: SocketAddr, datagram: &mut [u8]) -> Result<Outcome, DropCause> {
        let (header, packet) = datagram
            .split_first_chunk_mut::<HEADER_BYTES>()
            .ok_or(DropCause::Short)?;
        let (kind, outcome, server, to) = match self.decide(caller, packet)? {
            Route::Forward { server, tunnel } => {
                (DatagramKind::ToServer, Outcome::Forwarded, server, tunnel)
            }
            Route::Reset { server, tunnel } => {
                (DatagramKind::Reset, Outcome::ResetRequested, server, tunnel)
            }
            Route::Drop(cause) => return Err(cause),
        };
        let content = Header {
            kind,
            hops: 0,
            settled: false,
            service: self.listener.service,
            server,
            address: self.listener.tag,
            caller,
        };
        content.encode(&self.cx.key, header);
        match self.tunnel.send_to(datagram, to).await {
            Ok(_) => Ok(outcome),
            // A datagram that the kernel rejects is dropped; QUIC recovers from lost datagrams.
            Err(_) => Err(DropCause::SendFailed),
        }
    }

    fn decide(&self, caller: SocketAddr, packet: &[u8]) -> Result<Route, DropCause> {
        if !self.health.borrow().is_forwarding() {
            return Err(DropCause::Isolated);
        }
        let service = self.listener.service;
        let class = classify(&self.cx.key, service, caller, packet)?;
        let route = self.listener.table.load().route(class, wall_clock());
        if let (PacketClass::Pinned(id), Route::Drop(DropCause::UnknownServer)) = (class, route) {
            return Err(unknown_server_cause(
                &self.cluster.directory(),
                service,
                id.server,
            ));
        }
        Ok(route)
    }
}
