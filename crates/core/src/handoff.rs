//! Selection of the peer that a request is handed off to, if this server has no capacity and the peer has.
//!
//! Agents of one service report their load to each other. [`Peers`] keeps the last report of each peer until
//! a deadline and chooses by the power of two choices (Mitzenmacher, "The power of two choices in randomized
//! load balancing", 2001): of two random peers with capacity, the one that uses the smaller share of its
//! limit. Peers of the own availability zone are preferred; a request whose response may stay open for long
//! never leaves the zone. A request is handed off only once.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::admission::Load;
use crate::ids::{AvailabilityZone, BackendServerId, Incarnation, Sequence};

/// Time for which the report of a peer is valid.
pub const LOAD_LIFETIME: Duration = Duration::from_secs(2);
/// Maximum number of peers that an agent exchanges load reports with, whatever the size of the service.
pub const MAX_SAMPLE: usize = 8;

/// The load report of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerLoad {
    /// The backend server of the peer.
    pub server: BackendServerId,
    /// The incarnation of the peer's process.
    pub incarnation: Incarnation,
    /// Number of the report among those of that incarnation.
    pub sequence: Sequence,
    /// The peer's request load.
    pub load: Load,
    /// Number of the peer's open flows.
    pub open_flows: u32,
    /// Whether the peer is draining.
    pub draining: bool,
}

/// The zones that a request may be handed off to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Only within the own availability zone.
    Zone,
    /// All zones, preferably the own availability zone.
    Anywhere,
}

/// The capacity that a peer must have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequiredCapacity {
    /// The peer can run the request without queueing it.
    FreeSlot,
    /// The peer may have a queue; used by a server that is draining.
    Any,
}

#[derive(Clone, Debug)]
struct StoredReport {
    report: PeerLoad,
    zone: AvailabilityZone,
    expires_at: Instant,
}

/// The load reports of the peers of one agent.
#[derive(Clone, Debug)]
pub struct Peers {
    zone: AvailabilityZone,
    reports: BTreeMap<BackendServerId, StoredReport>,
}

impl Peers {
    /// Creates an empty set of reports for an agent in `zone`.
    pub const fn new(zone: AvailabilityZone) -> Self {
        Self {
            zone,
            reports: BTreeMap::new(),
        }
    }

    /// Stores the report of a peer in `zone`. A report that is not newer than the last one has no effect.
    pub fn on_load(&mut self, now: Instant, zone: AvailabilityZone, report: PeerLoad) {
        let order = |p: &PeerLoad| (p.incarnation, p.sequence);
        let last = self.reports.get(&report.server);
        if last.is_some_and(|k| order(&k.report) >= order(&report)) {
            return;
        }
        let known = StoredReport {
            report,
            zone,
            expires_at: now + LOAD_LIFETIME,
        };
        self.reports.insert(report.server, known);
    }

    /// Deletes expired reports.
    pub fn on_tick(&mut self, now: Instant) {
        self.reports.retain(|_, k| k.expires_at > now);
    }

    /// The valid reports, with the zone of each peer.
    pub fn loads(&self, now: Instant) -> impl Iterator<Item = (&AvailabilityZone, &PeerLoad)> {
        let valid = self.reports.values().filter(move |k| k.expires_at > now);
        valid.map(|k| (&k.zone, &k.report))
    }

    /// Peers of the own availability zone that reported a queue; free capacity is to be reported to them
    /// immediately.
    pub fn zone_peers_with_queue(&self, now: Instant) -> impl Iterator<Item = BackendServerId> {
        let in_own_zone = self.loads(now).filter(|(zone, _)| **zone == self.zone);
        in_own_zone
            .filter(|(_, report)| report.load.queued > 0)
            .map(|(_, report)| report.server)
    }

    /// Chooses a peer among those that `may_take` allows; a draining peer is never chosen. One request is
    /// added to the load of the chosen peer until its next report.
    pub fn choose(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
        scope: Scope,
        need: RequiredCapacity,
        may_take: impl Fn(BackendServerId) -> bool,
    ) -> Option<BackendServerId> {
        let usable = |k: &&StoredReport| {
            let has_capacity = need == RequiredCapacity::Any || k.report.load.has_capacity();
            k.expires_at > now && !k.report.draining && has_capacity && may_take(k.report.server)
        };
        let in_zone = |k: &&StoredReport| k.zone == self.zone;
        let usable: Vec<_> = self.reports.values().filter(usable).collect();
        let in_own_zone = usable.iter().copied().filter(in_zone);
        let chosen = two_choices(in_own_zone, rng);
        let chosen = match scope {
            Scope::Zone => chosen,
            Scope::Anywhere => chosen.or_else(|| two_choices(usable.iter().copied(), rng)),
        }?;
        let known = self.reports.get_mut(&chosen)?;
        known.report.load.in_flight += 1;
        Some(chosen)
    }
}

fn two_choices<'a>(
    peers: impl Iterator<Item = &'a StoredReport>,
    rng: &mut impl Rng,
) -> Option<BackendServerId> {
    let two = peers.choose_multiple(rng, 2);
    let least = two.into_iter().min_by(|a, b| {
        let (a, b) = (a.report.load, b.report.load);
        let share =
            |x: Load, y: Load| u64::from(x.in_flight + x.queued) * u64::from(y.limit.max(1));
        share(a, b).cmp(&share(b, a))
    });
    least.map(|k| k.report.server)
}
