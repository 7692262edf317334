//! Offers of idle slots between the agents of a service.
//!
//! The case that this handles: balancers choose servers by reports that are older than the time that a server
//! needs for its requests, so openings wait at one server while another is idle. The idle server's agent knows that
//! its slot is free, and only where to offer it depends on a report: it makes the offer to one peer, so that no two
//! peers use the same slot. The peer redirects an opening that waits, or keeps the offer for the next one that
//! would wait.
//!
//! An offer is a single unacknowledged message. A lost one is repeated after it has expired.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// Share of the service time for which an offer holds. Later, the server has probably received another request.
const OFFER_SHARE: f64 = 0.5;
/// Most offers that are kept; bounds memory.
const MAX_KEPT: usize = 64;

/// The offers that an agent has sent and received.
#[derive(Clone, Debug, Default)]
pub struct SlotOffers {
    /// When the offers of this agent expire.
    sent: Vec<Instant>,
    kept: Vec<KeptOffer>,
    stats: SlotOfferStats,
}

#[derive(Clone, Copy, Debug)]
struct KeptOffer {
    from: Ipv4Addr,
    until: Instant,
}

/// Numbers of offers since the start of the agent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotOfferStats {
    /// Slots offered to peers.
    pub sent: u64,
    /// Slots of peers that an opening was redirected to.
    pub used: u64,
    /// Offers of peers that expired, or exceeded the number that is kept.
    pub expired: u64,
}

impl SlotOffers {
    /// Returns the numbers of offers so far.
    pub const fn stats(&self) -> SlotOfferStats {
        self.stats
    }

    /// Number of slots that are offered to peers now.
    pub fn outstanding(&mut self, now: Instant) -> u32 {
        self.sent.retain(|until| now < *until);
        u32::try_from(self.sent.len()).unwrap_or(u32::MAX)
    }

    /// Notes that a slot was offered to a peer. `work` is the service time.
    pub fn on_sent(&mut self, now: Instant, work: Duration) {
        self.sent.push(now + work.mul_f64(OFFER_SHARE));
        self.stats.sent += 1;
    }

    /// Notes that a waiting opening was redirected to a peer that had offered a slot.
    pub const fn on_used(&mut self) {
        self.stats.used += 1;
    }

    /// Keeps an offer of `from` for the next opening that would wait. `work` is the service time.
    pub fn keep(&mut self, now: Instant, from: Ipv4Addr, work: Duration) {
        self.expire(now);
        if self.kept.len() >= MAX_KEPT {
            self.stats.expired += 1;
            return;
        }
        let until = now + work.mul_f64(OFFER_SHARE);
        self.kept.push(KeptOffer { from, until });
    }

    /// Returns the peers whose offers are valid, the oldest first.
    pub fn valid(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> {
        let valid = self.kept.iter().filter(move |offer| now < offer.until);
        valid.map(|offer| offer.from)
    }

    /// Uses the oldest offer of `peer` for an opening.
    pub fn use_offer(&mut self, now: Instant, peer: Ipv4Addr) {
        self.expire(now);
        if let Some(at) = self.kept.iter().position(|offer| offer.from == peer) {
            self.kept.remove(at);
            self.stats.used += 1;
        }
    }

    fn expire(&mut self, now: Instant) {
        let before = self.kept.len();
        self.kept.retain(|offer| now < offer.until);
        self.stats.expired += (before - self.kept.len()) as u64;
    }
}
