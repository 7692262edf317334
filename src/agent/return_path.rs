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
    turn: AtomicUsize,
}

impl ReturnPath {
    /// Puts a ring in force.
    pub fn set(&self, ring: ReturnRing) {
        let ring = ring.with_liveness_from(&self.ring.load());
        self.ring.store(Arc::new(ring));
    }

    /// Takes in that a packet came from a balancer.
    pub fn heard(&self, from: SocketAddr) {
        self.ring.load().on_packet_received(from, wall_clock());
    }

    /// The tunnel address of the balancer whose turn it is; none while no balancer is known.
    pub fn next(&self) -> Option<SocketAddr> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        self.ring.load().balancer_for_turn(turn, wall_clock())
    }
}
