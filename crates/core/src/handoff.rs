//! Which peer a request is handed off to, when this server has no room and the peer has.
//!
//! Agents of one service tell each other their load. [`Peers`] keeps the last word of each until a
//! deadline and chooses by the power of two choices (Mitzenmacher, "The power of two choices in
//! randomized load balancing", 2001): of two peers with room, picked at random, the one with the
//! smaller share of its limit in use. Peers of the own availability zone come first; a request whose
//! answer may stay open for long never leaves the zone. A request is handed off once.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::admission::Load;
use crate::ids::{AvailabilityZone, BackendServerId, Incarnation, Sequence};

/// Time for which the word of a peer is believed.
pub const LOAD_LIFETIME: Duration = Duration::from_secs(2);
/// Peers that an agent exchanges loads with, however large the service is.
pub const MAX_SAMPLE: usize = 8;

/// What a peer says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerLoad {
    /// The backend server beside the peer.
    pub server: BackendServerId,
    /// The peer's life.
    pub incarnation: Incarnation,
    /// Counts what that life said.
    pub sequence: Sequence,
    /// Its requests.
    pub load: Load,
    /// Its open flows.
    pub open_flows: u32,
    /// Whether it is leaving.
    pub draining: bool,
}

/// Where a request may be handed off to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Only within the own availability zone.
    Zone,
    /// Anywhere, the own availability zone first.
    Anywhere,
}

/// How much room a peer must have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequiredCapacity {
    /// It must be able to run the request at once.
    FreeSlot,
    /// It may have a queue; for a server that is leaving.
    Any,
}

#[derive(Clone, Debug)]
struct Known {
    said: PeerLoad,
    zone: AvailabilityZone,
    expires_at: Instant,
}

/// What the peers of one agent said.
#[derive(Clone, Debug)]
pub struct Peers {
    zone: AvailabilityZone,
    known: BTreeMap<BackendServerId, Known>,
}

impl Peers {
    /// Makes the view of an agent in `zone`.
    pub const fn new(zone: AvailabilityZone) -> Self {
        Self {
            zone,
            known: BTreeMap::new(),
        }
    }

    /// Takes in the word of a peer. An older word than the last changes nothing.
    pub fn on_load(&mut self, now: Instant, zone: AvailabilityZone, said: PeerLoad) {
        let order = |p: &PeerLoad| (p.incarnation, p.sequence);
        let last = self.known.get(&said.server);
        if last.is_some_and(|k| order(&k.said) >= order(&said)) {
            return;
        }
        let known = Known {
            said,
            zone,
            expires_at: now + LOAD_LIFETIME,
        };
        self.known.insert(said.server, known);
    }

    /// Forgets what has expired.
    pub fn on_tick(&mut self, now: Instant) {
        self.known.retain(|_, k| k.expires_at > now);
    }

    /// The words that are still believed, with the zone of each peer.
    pub fn loads(&self, now: Instant) -> impl Iterator<Item = (&AvailabilityZone, &PeerLoad)> {
        let fresh = self.known.values().filter(move |k| k.expires_at > now);
        fresh.map(|k| (&k.zone, &k.said))
    }

    /// Peers of the own availability zone that said that requests wait there; they should hear of room
    /// at once.
    pub fn zone_peers_with_queue(&self, now: Instant) -> impl Iterator<Item = BackendServerId> {
        let near = self.loads(now).filter(|(zone, _)| **zone == self.zone);
        near.filter(|(_, said)| said.load.queued > 0)
            .map(|(_, said)| said.server)
    }

    /// Chooses a peer among those that `may_take` allows; a peer said to be leaving is never chosen.
    /// The chosen peer counts one request more until it speaks again.
    pub fn choose(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        scope: Scope,
        need: RequiredCapacity,
        may_take: impl Fn(BackendServerId) -> bool,
    ) -> Option<BackendServerId> {
        let usable = |k: &&Known| {
            let has_capacity = need == RequiredCapacity::Any || k.said.load.has_capacity();
            k.expires_at > now && !k.said.draining && has_capacity && may_take(k.said.server)
        };
        let in_zone = |k: &&Known| k.zone == self.zone;
        let usable: Vec<_> = self.known.values().filter(usable).collect();
        let near = usable.iter().copied().filter(in_zone);
        let chosen = two_choices(near, rng);
        let chosen = match scope {
            Scope::Zone => chosen,
            Scope::Anywhere => chosen.or_else(|| two_choices(usable.iter().copied(), rng)),
        }?;
        let known = self.known.get_mut(&chosen)?;
        known.said.load.in_flight += 1;
        Some(chosen)
    }
}

fn two_choices<'a>(
    peers: impl Iterator<Item = &'a Known>,
    rng: &mut impl Rng,
) -> Option<BackendServerId> {
    let two = peers.choose_multiple(rng, 2);
    let least = two.into_iter().min_by(|a, b| {
        let (a, b) = (a.said.load, b.said.load);
        let share =
            |x: Load, y: Load| u64::from(x.in_flight + x.queued) * u64::from(y.limit.max(1));
        share(a, b).cmp(&share(b, a))
    });
    least.map(|k| k.said.server)
}
