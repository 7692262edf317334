//! The sockets that take callers' packets, one for each service address, with the routing table of
//! the service.
//!
//! The set is replaced as a whole when the configuration changes; the packet paths read it without a
//! lock.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};
use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_core::ids::ServiceId;
use dogwoodrill_core::routing::ServiceTable;
use dogwoodrill_wire::tunnel::AddressTag;
use tokio::net::UdpSocket;

/// One service address, the socket bound for it and the service's routing table.
#[derive(Debug)]
pub struct Listener {
    /// The service.
    pub service: ServiceId,
    /// The address that callers send to.
    pub address: SocketAddr,
    /// The address's short name in tunnel headers.
    pub tag: AddressTag,
    /// The socket.
    pub socket: Arc<UdpSocket>,
    /// Where packets of the service go.
    pub table: ArcSwap<ServiceTable>,
}

type ByTag = HashMap<AddressTag, Arc<Listener>>;

/// All listeners of one balancer, by the tag of their address.
#[derive(Debug)]
pub struct Listeners {
    bind_instead: Option<SocketAddr>,
    by_tag: ArcSwap<ByTag>,
}

/// An address that could not be bound.
#[derive(Debug)]
pub struct Unbound {
    /// The service address.
    pub address: SocketAddr,
    /// What the host said.
    pub error: io::Error,
}

impl Listeners {
    /// Makes an empty set; `bind_instead` replaces the service addresses for binding.
    pub fn new(bind_instead: Option<SocketAddr>) -> Self {
        Self {
            bind_instead,
            by_tag: ArcSwap::default(),
        }
    }

    /// Brings the set in line with a configuration and returns what could not be bound.
    ///
    /// An address that vanished is closed. One that went to another service keeps its socket under a
    /// new listener, which knows nothing of the old service.
    pub async fn sync(&self, key: &ClusterKey, config: &CommittedConfig) -> Vec<Unbound> {
        let before = self.by_tag.load_full();
        let mut after = ByTag::new();
        let mut unbound = Vec::new();
        for service in config.services.values() {
            for address in &service.addresses {
                let tag = AddressTag::of(key, *address);
                match self.listener(&before, tag, service.id, *address).await {
                    Ok(listener) => drop(after.insert(tag, listener)),
                    Err(error) => unbound.push(Unbound {
                        address: *address,
                        error,
                    }),
                }
            }
        }
        self.by_tag.store(Arc::new(after));
        unbound
    }

    /// The listener that is there for an address and service, or a new one.
    async fn listener(
        &self,
        before: &ByTag,
        tag: AddressTag,
        service: ServiceId,
        address: SocketAddr,
    ) -> io::Result<Arc<Listener>> {
        let known = before.get(&tag);
        if let Some(same) = known.filter(|l| l.service == service) {
            return Ok(Arc::clone(same));
        }
        let socket = match known {
            Some(l) => Arc::clone(&l.socket),
            None => self.bind(address).await?,
        };
        Ok(Arc::new(Listener {
            service,
            address,
            tag,
            socket,
            table: ArcSwap::default(),
        }))
    }

    async fn bind(&self, address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
        let socket = UdpSocket::bind(self.bind_instead.unwrap_or(address)).await?;
        Ok(Arc::new(socket))
    }

    /// The listeners as they are now.
    pub fn all(&self) -> Guard<Arc<ByTag>> {
        self.by_tag.load()
    }

    /// Where the socket for a service address is bound, once it is.
    pub fn bound_address(&self, address: SocketAddr) -> Option<SocketAddr> {
        let all = self.all();
        let listener = all.values().find(|l| l.address == address)?;
        listener.socket.local_addr().ok()
    }
}
