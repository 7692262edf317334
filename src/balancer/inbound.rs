//! From callers to agents: one task for each service address in the configuration.
//!
//! The path of a packet takes no lock, copies nothing and allocates nothing: the packet is received
//! behind room for the tunnel header, and the routing table is read in place.

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
use super::listeners::{Listener, Unbound};
use super::tables;
use crate::cluster::Cluster;
use crate::context::{Cx, wall_clock};
use crate::packet_metrics::{Outcome, PacketMetrics};

/// Room for a datagram of a caller. Agents tell callers to send 1,400 bytes at most, and with thousands
/// of addresses the room counts; a datagram that fills it is dropped, for it may have been cut off.
pub const CALLER_DATAGRAM_BYTES: usize = 2_048;
/// Pause before an address that could not be bound is tried again.
const BIND_PAUSE: Duration = Duration::from_secs(1);

/// Serves each service address of the configuration in force.
pub async fn run(balancer: &Balancer, token: CancellationToken) -> io::Result<()> {
    let mut news = balancer.cluster.config_changes();
    let mut serving = Serving::default();
    let mut complained = false;
    loop {
        let config = Arc::clone(&news.borrow_and_update());
        let unbound = balancer.listeners.sync(&balancer.cx.key, &config).await;
        // A listener must not take a packet before it has a table.
        tables::refresh(&balancer.cluster, &balancer.listeners);
        serving.sync(balancer, &token);
        if !complained {
            unbound.iter().for_each(complain);
        }
        complained = !unbound.is_empty();
        tokio::select! {
            changed = news.changed() => if changed.is_err() { return Ok(()) },
            () = sleep(BIND_PAUSE), if !unbound.is_empty() => {}
        }
    }
}

fn complain(unbound: &Unbound) {
    let Unbound { address, error } = unbound;
    log::error!("cannot bind the service address {address}, trying on: {error}");
}

/// The forwarders that run, each with its listener; dropping one ends it.
#[derive(Debug, Default)]
struct Serving {
    by_tag: HashMap<AddressTag, (Arc<Listener>, DropGuard)>,
}

impl Serving {
    fn sync(&mut self, balancer: &Balancer, token: &CancellationToken) {
        let listeners = balancer.listeners.all();
        self.by_tag.retain(|tag, (running, _)| {
            let wanted = listeners.get(tag);
            wanted.is_some_and(|l| Arc::ptr_eq(l, running))
        });
        for (tag, listener) in listeners.iter() {
            if self.by_tag.contains_key(tag) {
                continue;
            }
            let ends = token.child_token();
            let forwarder = Forwarder {
                cx: balancer.cx.clone(),
                cluster: Arc::clone(&balancer.cluster),
                tunnel: Arc::clone(&balancer.tunnel),
                metrics: balancer.metrics.clone(),
                health: balancer.health.subscribe(),
                listener: Arc::clone(listener),
            };
            tokio::spawn(forwarder.run(ends.clone()));
            let running = (Arc::clone(listener), ends.drop_guard());
            self.by_tag.insert(*tag, running);
        }
    }
}

/// Forwards what comes to one service address.
#[derive(Debug)]
pub struct Forwarder {
    /// The process.
    pub cx: Cx,
    /// The view of the cluster; asked only why a packet's server is not of the service.
    pub cluster: Arc<Cluster>,
    /// The tunnel's socket.
    pub tunnel: Arc<UdpSocket>,
    /// Where packets are counted.
    pub metrics: PacketMetrics,
    /// Whether the balancer forwards at all.
    pub health: watch::Receiver<FabricHealth>,
    /// The address and its routing table.
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
            // An error here is of an earlier send to a caller that is gone; the socket still works.
            let Ok((len, caller)) = received.await else {
                continue;
            };
            if len == CALLER_DATAGRAM_BYTES {
                self.metrics.drop_for(DropCause::TooLarge);
                continue;
            }
            match self.forward(caller, &mut buf[..HEADER_BYTES + len]).await {
                Ok(outcome) => self.metrics.count(outcome),
                Err(cause) => self.metrics.drop_for(cause),
            }
        }
    }

    /// Forwards a datagram that has room for the tunnel header in front.
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
            // As any datagram, one that the host does not take may be lost.
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
