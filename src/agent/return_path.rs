//! The agent's place in the ring of balancers that take answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use arc_swap::ArcSwap;
use dogwoodrill_core::return_ring::ReturnRing;

use crate::context::wall_clock;

/// Picks balancers in turn, without a lock.
#[derive(Debug, Default)]
pub struct ReturnPath {
    ring: ArcSwap<ReturnRing>,
    next_index: AtomicUsize,
}

impl ReturnPath {
    /// Puts a ring in force.
    pub fn set(&self, ring: ReturnRing) {
        let ring = ring.with_marks_of(&self.ring.load());
        self.ring.store(Arc::new(ring));
    }

    /// Takes in that a packet came from a balancer.
    pub fn on_packet_from(&self, from: SocketAddr) {
        self.ring.load().on_heard(from, wall_clock());
    }

    /// The tunnel address of the balancer whose turn it is; none while no balancer is known.
    pub fn next(&self) -> Option<SocketAddr> {
        let next_index = self.next_index.fetch_add(1, Ordering::Relaxed);
        self.ring.load().at(next_index, wall_clock())
    }
}
