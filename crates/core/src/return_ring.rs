//! Selection of the balancer that sends the next reply to its caller.
//!
//! Any balancer can send it, so an agent uses them round robin: if one fails silently, only its share of the
//! packets is lost until the failure is detected, and retransmissions go through another balancer. The ring
//! is computed from the directory whenever that changes.
//!
//! A balancer that sends packets is alive, so balancers from which a packet was received recently are
//! preferred. A failure therefore takes effect after [`LIVENESS_TIMEOUT`], long before the failure detector
//! suspects the balancer. A selection examines at most `PROBES` entries, whatever the length of the ring.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::config::CommittedConfig;
use crate::directory::{Directory, Record};
use crate::ids::AvailabilityZone;
use crate::time::UnixMillis;

/// Number of balancers in the own zone from which only these are used. With a single one, its silent failure
/// would lose every reply until it is detected.
const ENOUGH_IN_ZONE: usize = 2;

/// Time for which a balancer counts as alive after a packet from it.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of entries that one selection examines.
const PROBES: usize = 4;

/// The tunnel addresses of the balancers that send replies, used round robin. Liveness is updated through a
/// shared reference, because packets are received and sent on different threads.
#[derive(Debug, Default)]
pub struct ReturnRing {
    entries: Box<[RingEntry]>,
    by_tunnel: HashMap<SocketAddr, usize>,
}

#[derive(Debug)]
struct RingEntry {
    tunnel: SocketAddr,
    /// Until when the balancer counts as alive, in milliseconds since the Unix epoch.
    live_until: AtomicU64,
}

impl ReturnRing {
    /// Computes the ring of an agent in `zone`: the serving balancers of the zone, or all serving ones if the
    /// zone has too few. Balancers in zones that were taken out and suspected balancers are not used.
    ///
    /// If none is left, draining balancers are used too, as they still forward packets. If all balancers are
    /// suspected, they are used nevertheless: the suspicion is more likely wrong than a failure of all.
    pub fn build(directory: &Directory, config: &CommittedConfig, zone: &AvailabilityZone) -> Self {
        let in_service = |r: &&Record| config.is_zone_in(&r.zone);
        let live = directory.balancers().filter(in_service);
        let in_own_zone = live.clone().filter(|r| r.zone == *zone);
        if in_own_zone.clone().count() >= ENOUGH_IN_ZONE {
            return Self::of(in_own_zone);
        }
        let known = directory.known_balancers().filter(in_service);
        let trusted = known.clone().filter(|r| !directory.is_suspected(r.member));
        [Self::of(live), Self::of(trusted), Self::of(known)]
            .into_iter()
            .find(|ring| !ring.is_empty())
            .unwrap_or_default()
    }

    fn of<'a>(balancers: impl Iterator<Item = &'a Record>) -> Self {
        let entries: Box<[_]> = balancers
            .map(|r| RingEntry {
                tunnel: r.tunnel,
                live_until: AtomicU64::default(),
            })
            .collect();
        let by_tunnel = entries.iter().map(|p| p.tunnel).zip(0..).collect();
        Self { entries, by_tunnel }
    }

    /// Returns this ring with the liveness times of `other`.
    #[must_use]
    pub fn with_liveness_from(self, other: &Self) -> Self {
        for entry in &other.entries {
            if let Some(same) = self.entry(entry.tunnel) {
                let until = entry.live_until.load(Ordering::Relaxed);
                same.live_until.store(until, Ordering::Relaxed);
            }
        }
        self
    }

    /// Records that a packet was received from a balancer.
    pub fn on_packet_received(&self, from: SocketAddr, now: UnixMillis) {
        if let Some(entry) = self.entry(from) {
            let until = now.plus(LIVENESS_TIMEOUT).get();
            entry.live_until.store(until, Ordering::Relaxed);
        }
    }

    /// The tunnel address of the balancer for `turn`: the first of the next entries that counts as alive, or
    /// else the next entry. None while no balancer is known.
    pub fn balancer_for_turn(&self, turn: usize, now: UnixMillis) -> Option<SocketAddr> {
        let len = self.entries.len();
        let first = turn.checked_rem(len)?;
        let probes = (0..PROBES.min(len)).map(|n| &self.entries[(first + n) % len]);
        let is_live = |p: &&RingEntry| p.live_until.load(Ordering::Relaxed) > now.get();
        let entry = probes.into_iter().find(is_live);
        Some(entry.unwrap_or(&self.entries[first]).tunnel)
    }

    /// Number of balancers in the ring.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no balancer is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn entry(&self, tunnel: SocketAddr) -> Option<&RingEntry> {
        self.entries.get(*self.by_tunnel.get(&tunnel)?)
    }
}
