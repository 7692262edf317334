//! Who links to whom.
//!
//! Some balancers of each zone are its relays, and some balancers of each region are the region's.
//! Both are picked by rendezvous hashing (Thaler and Ravishankar 1998) over the live balancers, so
//! that any two nodes with the same directory pick alike and one balancer's death moves only what
//! hung on it. There are as many as keep a relay's children near [`TARGET_CHILDREN`].
//!
//! An agent or plain balancer prefers the relays of its zone, in an order of its own; a zone's relay
//! prefers the relays of its region; a region's relay prefers the addresses in its settings, where
//! the control hosts are named. Each list goes on with the next level, so that nobody is left
//! without a way.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::directory::{Directory, MemberId, Record};
use dogwoodrill_core::ids::{AvailabilityZone, NodeId};
use siphasher::sip::SipHasher13;

/// Children for each relay that the number of relays is made for.
pub const TARGET_CHILDREN: usize = 10;
/// Relays of a zone and of a region, if it has so many balancers.
const MIN_RELAYS: usize = 2;
/// Balancers of the zone that are no relays by what a node knows, yet worth a try by one that has just
/// started and knows little.
const MAX_OTHERS: usize = 8;
/// Relays of each region, in the order of the hash, that link to other regions.
const GATEWAYS: usize = 2;

/// Where a node stands in the tree.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Level {
    /// No relay.
    #[default]
    Leaf,
    /// A relay of its zone.
    ZoneRelay,
    /// A relay of its region.
    RegionRelay,
    /// A control host.
    Control,
}

/// Whom a node may link to, best first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Where the node stands.
    pub level: Level,
    /// Addresses for the feed link.
    pub feed: Vec<SocketAddr>,
    /// How many of those are of the level right above; the others are for when none of these works.
    pub preferred: usize,
    /// Addresses for the link to a second observer, all of the node's own region: a region that is cut
    /// off must not look dead from outside. The feed's own is to be left out; where no other remains,
    /// the addresses for the feed serve.
    pub observers: Vec<SocketAddr>,
    /// Addresses for mesh links; all of them are wanted.
    pub mesh: BTreeSet<SocketAddr>,
}

/// Who the plan is for.
#[derive(Clone, Debug)]
pub struct NodeLocation {
    /// The node.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Whether it is a control host.
    pub is_control: bool,
    /// Addresses from its settings: control hosts, or whoever else is up first. For a control host
    /// the others of its kind.
    pub seeds: Vec<SocketAddr>,
}

/// Makes the plan of one node from what it knows.
pub fn plan(location: &NodeLocation, directory: &Directory, config: &CommittedConfig) -> Plan {
    if location.is_control {
        return Plan {
            level: Level::Control,
            mesh: location.seeds.iter().copied().collect(),
            ..Plan::default()
        };
    }
    let regions = Regions::new(directory, config);
    let region = regions.relays_near(&location.zone);
    let zone = zone_relays(directory, &location.zone, &region);
    let level = level(location.node, &zone, &region);
    let seeds = || ordered_seeds(location);
    let near = || in_order_of(location.node, &zone);
    let above = || in_order_of(location.node, &region);
    let others = || in_order_of(location.node, directory.live_balancers_in(&location.zone));
    let (preferred, rest): (Vec<_>, Vec<_>) = match level {
        Level::Leaf if zone.is_empty() => {
            let near = in_order_of(location.node, &regions.balancers_near(&location.zone));
            (near.take(MAX_OTHERS).collect(), seeds().collect())
        }
        Level::Leaf => {
            let rest = others().take(MAX_OTHERS).chain(above()).chain(seeds());
            (near().collect(), rest.collect())
        }
        Level::ZoneRelay => (above().collect(), seeds().collect()),
        Level::RegionRelay | Level::Control => (seeds().collect(), regions.far(location)),
    };
    let mesh = match level {
        Level::RegionRelay => regions.mesh(location, &region),
        _ => BTreeSet::new(),
    };
    let observers = near().chain(above());
    Plan {
        level,
        preferred: preferred.len(),
        feed: unique(preferred.into_iter().chain(rest)),
        observers: unique(observers),
        mesh,
    }
}

/// Relays of `zone` for a node to try, best first.
pub fn relays_for(
    node: NodeId,
    zone: &AvailabilityZone,
    directory: &Directory,
    config: &CommittedConfig,
) -> Vec<Arc<Record>> {
    let region = Regions::new(directory, config).relays_near(zone);
    let mut relays = zone_relays(directory, zone, &region);
    relays.sort_by_cached_key(|r| hash(&(node, r.member)));
    relays
}

/// Relays of one zone, in the order of the hash. Relays of its region have enough to do and are left
/// out where the zone has other balancers.
fn zone_relays(
    directory: &Directory,
    zone: &AvailabilityZone,
    region: &[Arc<Record>],
) -> Vec<Arc<Record>> {
    let wanted = directory.member_count(zone).div_ceil(TARGET_CHILDREN);
    let all = directory.live_balancers_in(zone);
    let of_region = |r: &Arc<Record>| region.iter().any(|other| other.member == r.member);
    let others: Vec<_> = all.iter().filter(|r| !of_region(r)).cloned().collect();
    if others.len() < wanted.max(MIN_RELAYS) {
        return pick(zone, all, wanted);
    }
    pick(zone, &others, wanted)
}

struct Regions<'a> {
    directory: &'a Directory,
    config: &'a CommittedConfig,
    zones: Vec<&'a AvailabilityZone>,
}

impl<'a> Regions<'a> {
    fn new(directory: &'a Directory, config: &'a CommittedConfig) -> Self {
        Self {
            directory,
            config,
            zones: directory.zones().collect(),
        }
    }

    /// The relays of the region that `zone` is in.
    fn relays_near(&self, zone: &AvailabilityZone) -> Vec<Arc<Record>> {
        let near: Vec<_> = self.zones_near(zone).collect();
        let count = |z: &&AvailabilityZone| {
            let relays = self.directory.member_count(z).div_ceil(TARGET_CHILDREN);
            relays.min(self.directory.live_balancers_in(z).len())
        };
        let wanted = near.iter().map(count).sum::<usize>();
        let balancers = self.balancers_near(zone);
        let region = self.config.regions.get(zone);
        pick(&region, &balancers, wanted.div_ceil(TARGET_CHILDREN))
    }

    fn zones_near<'b>(
        &'b self,
        zone: &'b AvailabilityZone,
    ) -> impl Iterator<Item = &'a AvailabilityZone> + 'b {
        let zones = self.zones.iter().copied();
        zones.filter(|z| self.config.is_same_region(z, zone))
    }

    /// The live balancers of the region that `zone` is in.
    fn balancers_near(&self, zone: &AvailabilityZone) -> Vec<Arc<Record>> {
        let near = self.zones_near(zone);
        near.flat_map(|z| self.directory.live_balancers_in(z))
            .cloned()
            .collect()
    }

    /// One zone of each region other than that of `zone`.
    fn others(&self, zone: &AvailabilityZone) -> impl Iterator<Item = &'a AvailabilityZone> {
        let own = self.config.regions.get(zone);
        let mut first = BTreeMap::new();
        for z in &self.zones {
            first.entry(self.config.regions.get(*z)).or_insert(*z);
        }
        first
            .into_iter()
            .filter(move |(region, _)| *region != own)
            .map(|(_, zone)| zone)
    }

    fn far(&self, location: &NodeLocation) -> Vec<SocketAddr> {
        let relays = self
            .others(&location.zone)
            .flat_map(|z| self.relays_near(z));
        let relays: Vec<_> = relays.collect();
        in_order_of(location.node, &relays).collect()
    }

    /// The next relay of the region, and for the first ones a relay of each other region.
    fn mesh(&self, location: &NodeLocation, own: &[Arc<Record>]) -> BTreeSet<SocketAddr> {
        let is_me = |r: &Arc<Record>| r.member == MemberId::Balancer(location.node);
        let at = own.iter().position(is_me).unwrap_or_default();
        let next = &own[(at + 1) % own.len()];
        let mut mesh = BTreeSet::new();
        if !is_me(next) {
            mesh.insert(next.peer);
        }
        if at < GATEWAYS {
            let far = self.others(&location.zone).map(|z| self.relays_near(z));
            mesh.extend(far.filter_map(|r| in_order_of(location.node, &r).next()));
        }
        mesh
    }
}

fn level(node: NodeId, zone: &[Arc<Record>], region: &[Arc<Record>]) -> Level {
    let me = MemberId::Balancer(node);
    if region.iter().any(|r| r.member == me) {
        Level::RegionRelay
    } else if zone.iter().any(|r| r.member == me) {
        Level::ZoneRelay
    } else {
        Level::Leaf
    }
}

/// The first balancers by the hash of group and balancer.
fn pick(group: &impl Hash, from: &[Arc<Record>], wanted: usize) -> Vec<Arc<Record>> {
    let mut picked = from.to_vec();
    picked.sort_by_cached_key(|r| hash(&(group, r.member)));
    picked.truncate(wanted.max(MIN_RELAYS));
    picked
}

/// Others than the node, by the hash of both.
fn in_order_of(node: NodeId, relays: &[Arc<Record>]) -> impl Iterator<Item = SocketAddr> + use<> {
    let me = MemberId::Balancer(node);
    let mut others: Vec<_> = relays.iter().filter(|r| r.member != me).collect();
    others.sort_by_cached_key(|r| hash(&(node, r.member)));
    let addresses: Vec<_> = others.into_iter().map(|r| r.peer).collect();
    addresses.into_iter()
}

fn ordered_seeds(location: &NodeLocation) -> impl Iterator<Item = SocketAddr> + use<> {
    let mut seeds = location.seeds.clone();
    seeds.sort_by_cached_key(|s| hash(&(location.node, s)));
    seeds.into_iter()
}

fn unique(addresses: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let mut seen = BTreeSet::new();
    let addresses = addresses.into_iter();
    addresses.filter(|a| seen.insert(*a)).collect()
}

fn hash(value: &impl Hash) -> u64 {
    let mut h = SipHasher13::new();
    value.hash(&mut h);
    h.finish()
}
