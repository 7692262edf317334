//! The sockets that receive packets from callers, one for each service address, with the routing table of the
//! service.
//!
//! The whole set is replaced when the configuration changes, and the packet paths read it without a lock.

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
    /// Service that the address belongs to.
    pub service: ServiceId,
    /// Address to which callers send.
    pub address: SocketAddr,
    /// Tag that stands for the address in tunnel headers.
    pub tag: AddressTag,
    /// Socket that is bound for the address.
    pub socket: Arc<UdpSocket>,
    /// Routing table of the service.
    pub table: ArcSwap<ServiceTable>,
}

type ByTag = HashMap<AddressTag, Arc<Listener>>;

/// All listeners of one balancer, by the tag of their service address.
#[derive(Debug)]
pub struct Listeners {
    bind_instead: Option<SocketAddr>,
    by_tag: ArcSwap<ByTag>,
}

/// A service address that could not be bound.
#[derive(Debug)]
pub struct BindFailure {
    /// The service address.
    pub address: SocketAddr,
    /// Error returned by the operating system.
    pub error: io::Error,
}

impl Listeners {
    /// Creates an empty set. If `bind_instead` is given, sockets are bound to it instead of to the service
    /// addresses.
    pub fn new(bind_instead: Option<SocketAddr>) -> Self {
        Self {
            bind_instead,
            by_tag: ArcSwap::default(),
        }
    }

    /// Updates the set to match a configuration and returns the addresses that could not be bound.
    ///
    /// The listener of a removed address is dropped. An address that moved to another service keeps its socket
    /// under a new listener, which shares no state with the old service.
    pub async fn sync(&self, key: &ClusterKey, config: &CommittedConfig) -> Vec<BindFailure> {
        let before = self.by_tag.load_full();
        let mut after = ByTag::new();
        let mut bind_failures = Vec::new();
        for service in config.services.values() {
            for address in &service.addresses {
                let tag = AddressTag::of(key, *address);
                match self.listener(&before, tag, service.id, *address).await {
                    Ok(listener) => drop(after.insert(tag, listener)),
                    Err(error) => bind_failures.push(BindFailure {
                        address: *address,
                        error,
                    }),
                }
            }
        }
        self.by_tag.store(Arc::new(after));
        bind_failures
    }

    /// Returns the existing listener for an address and service, or creates one.
    async fn listener(
        &self,
        before: &ByTag,
        tag: AddressTag,
        service: ServiceId,
        address: SocketAddr,
    ) -> io::Result<Arc<Listener>> {
        let existing = before.get(&tag);
        if let Some(reusable) = existing.filter(|l| l.service == service) {
            return Ok(Arc::clone(reusable));
        }
        let socket = match existing {
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

    /// Returns the current listeners.
    pub fn all(&self) -> Guard<Arc<ByTag>> {
        self.by_tag.load()
    }

    /// Returns the local address of the socket for a service address, or `None` if it is not bound.
    pub fn bound_address(&self, address: SocketAddr) -> Option<SocketAddr> {
        let all = self.all();
        let listener = all.values().find(|l| l.address == address)?;
        listener.socket.local_addr().ok()
    }
}
