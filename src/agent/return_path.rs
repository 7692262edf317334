//! Selection of the balancers through which responses return to callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use arc_swap::ArcSwap;
use dogwoodrill_core::return_ring::ReturnRing;

use crate::context::wall_clock;

/// Selects balancers in round-robin order, without a lock.
#[derive(Debug, Default)]
pub struct ReturnPath {
    ring: ArcSwap<ReturnRing>,
    next_index: AtomicUsize,
}

impl ReturnPath {
    /// Replaces the ring of balancers; the new ring keeps the liveness marks of the old one.
    pub fn set(&self, ring: ReturnRing) {
        let ring = ring.with_liveness_from(&self.ring.load());
        self.ring.store(Arc::new(ring));
    }

    /// Records that a packet arrived from a balancer.
    pub fn on_packet_from(&self, from: SocketAddr) {
        self.ring.load().on_packet_received(from, wall_clock());
    }

    /// Returns the tunnel address of the next balancer, or `None` if no balancer is known.
    pub fn next(&self) -> Option<SocketAddr> {
        let next_index = self.next_index.fetch_add(1, Ordering::Relaxed);
        self.ring.load().balancer_for_turn(next_index, wall_clock())
    }
}
