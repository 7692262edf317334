//! Determines which nodes link to each other.
//!
//! Some balancers of each zone are relays of the zone, and some balancers of each region are relays of
//! the region. Both are selected by rendezvous hashing (Thaler and Ravishankar 1998) over the live
//! balancers. Any two nodes with the same directory therefore make the same selection, and when a
//! balancer fails, only the nodes linked to it move. The number of relays keeps the children of each
//! near [`TARGET_CHILDREN`].
//!
//! An agent, or a balancer that is no relay, prefers the relays of its zone, in an order of its own; a
//! zone relay prefers the relays of its region; a region relay prefers the addresses in its settings,
//! which name the control hosts. Each list continues with the next level, so that every node has an
//! address to try.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::directory::{Directory, MemberId, Record};
use dogwoodrill_core::ids::{AvailabilityZone, NodeId};
use siphasher::sip::SipHasher13;

/// Number of children per relay from which the number of relays is computed.
pub const TARGET_CHILDREN: usize = 10;
/// Minimum number of relays of a zone and of a region, if it has that many balancers.
const MIN_RELAYS: usize = 2;
/// Maximum number of other balancers of the zone among the addresses to try. The relays that a node
/// computes right after its start may be wrong, because it knows only a part of the directory.
const MAX_OTHER_BALANCERS: usize = 8;
/// Number of relays of each region, in hash order, that link to other regions.
const GATEWAYS: usize = 2;

/// The level of a node in the tree.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Level {
    /// A node that is no relay.
    #[default]
    Leaf,
    /// A relay of its zone.
    ZoneRelay,
    /// A relay of its region.
    RegionRelay,
    /// A control host.
    Control,
}

/// The addresses that a node may link to, best first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// The level of the node.
    pub level: Level,
    /// Addresses for the feed link.
    pub feed: Vec<SocketAddr>,
    /// Number of leading addresses in `feed` that belong to the level directly above. The others are
    /// used if none of these works.
    pub preferred: usize,
    /// Addresses for the link to a second observer, all in the node's own region: members of a region
    /// that is cut off must not be suspected from outside it. The address of the feed must be skipped;
    /// if no other remains, the addresses for the feed are used.
    pub observers: Vec<SocketAddr>,
    /// Addresses for mesh links; the node links to all of them.
    pub mesh: BTreeSet<SocketAddr>,
}

/// Identifies the node for which a plan is made, and its initial addresses.
#[derive(Clone, Debug)]
pub struct NodeLocation {
    /// The node.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Whether it is a control host.
    pub is_control: bool,
    /// Addresses from its settings: control hosts, or any nodes that are started first. For a control
    /// host these are the other control hosts.
    pub seeds: Vec<SocketAddr>,
}

/// Computes the plan of one node from its directory and configuration.
pub fn plan(location: &NodeLocation, directory: &Directory, config: &CommittedConfig) -> Plan {
    if location.is_control {
        return Plan {
            level: Level::Control,
            mesh: location.seeds.iter().copied().collect(),
            ..Plan::default()
        };
    }
    let regions = Regions::new(directory, config);
    let region = regions.region_relays(&location.zone);
    let zone = zone_relays(directory, &location.zone, &region);
    let level = level(location.node, &zone, &region);
    let seeds = || ordered_seeds(location);
    let near = || ordered_for(location.node, &zone);
    let above = || ordered_for(location.node, &region);
    let others = || ordered_for(location.node, directory.live_balancers_in(&location.zone));
    let (preferred, rest): (Vec<_>, Vec<_>) = match level {
        Level::Leaf if zone.is_empty() => {
            let near = ordered_for(location.node, &regions.region_balancers(&location.zone));
            (near.take(MAX_OTHER_BALANCERS).collect(), seeds().collect())
        }
        Level::Leaf => {
            let rest = others()
                .take(MAX_OTHER_BALANCERS)
                .chain(above())
                .chain(seeds());
            (near().collect(), rest.collect())
        }
        Level::ZoneRelay => (above().collect(), seeds().collect()),
        Level::RegionRelay | Level::Control => {
            (seeds().collect(), regions.other_region_relays(location))
        }
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

/// The relays of `zone` that a node should try, best first.
pub fn relays_for(
    node: NodeId,
    zone: &AvailabilityZone,
    directory: &Directory,
    config: &CommittedConfig,
) -> Vec<Arc<Record>> {
    let region = Regions::new(directory, config).region_relays(zone);
    let mut relays = zone_relays(directory, zone, &region);
    relays.sort_by_cached_key(|r| hash(&(node, r.member)));
    relays
}

/// The relays of one zone, in hash order. Relays of the region are left out if the zone has enough
/// other balancers, because they already carry the load of the region.
fn zone_relays(
    directory: &Directory,
    zone: &AvailabilityZone,
    region: &[Arc<Record>],
) -> Vec<Arc<Record>> {
    let target = directory.member_count(zone).div_ceil(TARGET_CHILDREN);
    let all = directory.live_balancers_in(zone);
    let of_region = |r: &Arc<Record>| region.iter().any(|other| other.member == r.member);
    let others: Vec<_> = all.iter().filter(|r| !of_region(r)).cloned().collect();
    if others.len() < target.max(MIN_RELAYS) {
        return pick(zone, all, target);
    }
    pick(zone, &others, target)
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

    /// The relays of the region that contains `zone`.
    fn region_relays(&self, zone: &AvailabilityZone) -> Vec<Arc<Record>> {
        let near: Vec<_> = self.region_zones(zone).collect();
        let count = |z: &&AvailabilityZone| {
            let relays = self.directory.member_count(z).div_ceil(TARGET_CHILDREN);
            relays.min(self.directory.live_balancers_in(z).len())
        };
        let target = near.iter().map(count).sum::<usize>();
        let balancers = self.region_balancers(zone);
        let region = self.config.regions.get(zone);
        pick(&region, &balancers, target.div_ceil(TARGET_CHILDREN))
    }

    fn region_zones<'b>(
        &'b self,
        zone: &'b AvailabilityZone,
    ) -> impl Iterator<Item = &'a AvailabilityZone> + 'b {
        let zones = self.zones.iter().copied();
        zones.filter(|z| self.config.is_same_region(z, zone))
    }

    /// The live balancers of the region that contains `zone`.
    fn region_balancers(&self, zone: &AvailabilityZone) -> Vec<Arc<Record>> {
        let near = self.region_zones(zone);
        near.flat_map(|z| self.directory.live_balancers_in(z))
            .cloned()
            .collect()
    }

    /// One zone of each region other than that of `zone`.
    fn zones_of_other_regions(
        &self,
        zone: &AvailabilityZone,
    ) -> impl Iterator<Item = &'a AvailabilityZone> {
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

    fn other_region_relays(&self, location: &NodeLocation) -> Vec<SocketAddr> {
        let relays = self
            .zones_of_other_regions(&location.zone)
            .flat_map(|z| self.region_relays(z));
        let relays: Vec<_> = relays.collect();
        ordered_for(location.node, &relays).collect()
    }

    /// The next relay of the region in hash order and, for the first [`GATEWAYS`] relays, one relay of
    /// each other region.
    fn mesh(&self, location: &NodeLocation, own: &[Arc<Record>]) -> BTreeSet<SocketAddr> {
        let is_me = |r: &Arc<Record>| r.member == MemberId::Balancer(location.node);
        let at = own.iter().position(is_me).unwrap_or_default();
        let next = &own[(at + 1) % own.len()];
        let mut mesh = BTreeSet::new();
        if !is_me(next) {
            mesh.insert(next.peer);
        }
        if at < GATEWAYS {
            let other_region_relays = self
                .zones_of_other_regions(&location.zone)
                .map(|z| self.region_relays(z));
            mesh.extend(other_region_relays.filter_map(|r| ordered_for(location.node, &r).next()));
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
fn pick(group: &impl Hash, from: &[Arc<Record>], target: usize) -> Vec<Arc<Record>> {
    let mut picked = from.to_vec();
    picked.sort_by_cached_key(|r| hash(&(group, r.member)));
    picked.truncate(target.max(MIN_RELAYS));
    picked
}

/// The addresses of all balancers but the node itself, ordered by the hash of the node and each
/// balancer.
fn ordered_for(node: NodeId, relays: &[Arc<Record>]) -> impl Iterator<Item = SocketAddr> + use<> {
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
