//! Which balancer takes the next answer to its caller.
//!
//! Any balancer can, so an agent takes them in turn: one that died silently costs a share of the
//! packets until it is noticed, and what the transport sends again takes another way. The ring is
//! computed from the directory when that changes.
//!
//! A balancer that sends packets is alive, so those heard of lately come before the others: a death is
//! noticed here after [`LIVENESS_TIMEOUT`], long before anybody suspects it. A turn looks at `PROBES`
//! places at most, however long the ring.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::config::CommittedConfig;
use crate::directory::{Directory, Record};
use crate::ids::AvailabilityZone;
use crate::time::UnixMillis;

/// Balancers of the own zone that make the others unnecessary. With a single one, its silent death
/// would take every answer until it is noticed.
const ENOUGH_IN_ZONE: usize = 2;

/// Time for which a balancer counts as alive after a packet from it.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(300);
/// Places of the ring that one turn looks at.
const PROBES: usize = 4;

/// Tunnel addresses of the balancers that take answers in turn. Marks are set through a shared
/// reference: packets come and go on different threads.
#[derive(Debug, Default)]
pub struct ReturnRing {
    places: Box<[Place]>,
    by_tunnel: HashMap<SocketAddr, usize>,
}

#[derive(Debug)]
struct Place {
    tunnel: SocketAddr,
    /// When the balancer stops to count as alive, in milliseconds since the Unix epoch.
    fresh_until: AtomicU64,
}

impl ReturnRing {
    /// The ring of an agent in `zone`: the live balancers of the zone, or all live ones where the zone
    /// has too few. Zones that were taken out and suspected balancers are avoided.
    ///
    /// Where nobody is left, those that drain still forward; and where all are suspected, the
    /// suspicion is more likely wrong than that nobody is there to answer through.
    pub fn build(directory: &Directory, config: &CommittedConfig, zone: &AvailabilityZone) -> Self {
        let takes_part = |r: &&Record| config.is_zone_in(&r.zone);
        let live = directory.balancers().filter(takes_part);
        let near = live.clone().filter(|r| r.zone == *zone);
        if near.clone().count() >= ENOUGH_IN_ZONE {
            return Self::of(near);
        }
        let known = directory.known_balancers().filter(takes_part);
        let trusted = known.clone().filter(|r| !directory.is_suspected(r.member));
        [Self::of(live), Self::of(trusted), Self::of(known)]
            .into_iter()
            .find(|ring| !ring.is_empty())
            .unwrap_or_default()
    }

    fn of<'a>(balancers: impl Iterator<Item = &'a Record>) -> Self {
        let places: Box<[_]> = balancers
            .map(|r| Place {
                tunnel: r.tunnel,
                fresh_until: AtomicU64::default(),
            })
            .collect();
        let by_tunnel = places.iter().map(|p| p.tunnel).zip(0..).collect();
        Self { places, by_tunnel }
    }

    /// The same ring with what was heard in another.
    #[must_use]
    pub fn with_liveness_from(self, other: &Self) -> Self {
        for place in &other.places {
            if let Some(same) = self.place(place.tunnel) {
                let until = place.fresh_until.load(Ordering::Relaxed);
                same.fresh_until.store(until, Ordering::Relaxed);
            }
        }
        self
    }

    /// Takes in that a packet came from a balancer.
    pub fn on_packet_received(&self, from: SocketAddr, now: UnixMillis) {
        if let Some(place) = self.place(from) {
            let until = now.plus(LIVENESS_TIMEOUT).get();
            place.fresh_until.store(until, Ordering::Relaxed);
        }
    }

    /// The balancer whose turn it is: the next one heard of lately, or simply the next one. None while
    /// no balancer is known.
    pub fn balancer_for_turn(&self, turn: usize, now: UnixMillis) -> Option<SocketAddr> {
        let len = self.places.len();
        let first = turn.checked_rem(len)?;
        let probes = (0..PROBES.min(len)).map(|n| &self.places[(first + n) % len]);
        let fresh = |p: &&Place| p.fresh_until.load(Ordering::Relaxed) > now.get();
        let place = probes.into_iter().find(fresh);
        Some(place.unwrap_or(&self.places[first]).tunnel)
    }

    /// Balancers in the ring.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no balancer is known.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    fn place(&self, tunnel: SocketAddr) -> Option<&Place> {
        self.places.get(*self.by_tunnel.get(&tunnel)?)
    }
}
