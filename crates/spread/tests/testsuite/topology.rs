//! The plans that nodes compute from the records of a directory.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::directory::{Directory, MemberId, MemberState, Record, Role};
use dogwoodrill_core::ids::AvailabilityZone;
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_spread::topology::{Level, NodeLocation, Plan, TARGET_CHILDREN, plan};

const ZONES: u32 = 10;
const ZONES_OF_REGION: u32 = 4;
const ZONE_BALANCERS: u32 = 24;
const ZONE_SERVERS: u32 = 126;

fn zone(at: u32) -> AvailabilityZone {
    format!("zone-{at}").parse().unwrap()
}

fn address(node: u32) -> SocketAddr {
    (std::net::Ipv4Addr::from(0x0a00_0000 + node), 7201).into()
}

fn record(node: u32, in_zone: u32, member: MemberId) -> Record {
    let role = match member {
        MemberId::Balancer(_) => Role::Balancer,
        MemberId::BackendServer(_) => Role::BackendServer {
            service: 1.into(),
            slots: 2,
            ramp_until: UnixMillis::default(),
        },
    };
    Record {
        member,
        zone: zone(in_zone),
        incarnation: 1.into(),
        sequence: 1.into(),
        state: MemberState::Serving,
        tunnel: address(node),
        peer: address(node),
        eligible_at: UnixMillis::default(),
        role,
    }
}

struct Testbed {
    directory: Directory,
    config: CommittedConfig,
}

impl Testbed {
    fn new() -> Self {
        let mut directory = Directory::default();
        for at in 0..ZONES {
            for n in 0..ZONE_BALANCERS {
                let node = at * 1000 + n;
                let member = MemberId::Balancer(u64::from(node).into());
                directory.merge(record(node, at, member));
            }
            for n in ZONE_BALANCERS..ZONE_BALANCERS + ZONE_SERVERS {
                let node = at * 1000 + n;
                directory.merge(record(node, at, MemberId::BackendServer(node.into())));
            }
        }
        let region = |at: u32| format!("region-{}", at / ZONES_OF_REGION).parse().unwrap();
        let config = CommittedConfig {
            regions: (0..ZONES).map(|at| (zone(at), region(at))).collect(),
            ..CommittedConfig::default()
        };
        Self { directory, config }
    }

    fn plan(&self, node: u32) -> Plan {
        let location = NodeLocation {
            node: u64::from(node).into(),
            zone: zone(node / 1000),
            is_control: false,
            seeds: vec![address(0xff_0001), address(0xff_0002), address(0xff_0003)],
        };
        plan(&location, &self.directory, &self.config)
    }
}

fn balancers() -> impl Iterator<Item = u32> {
    (0..ZONES).flat_map(|at| (0..ZONE_BALANCERS).map(move |n| at * 1000 + n))
}

#[test]
fn relay_counts_follow_the_target_number_of_children() {
    let testbed = Testbed::new();
    let plans: BTreeMap<_, _> = balancers().map(|n| (n, testbed.plan(n))).collect();
    let of_level = |level| plans.iter().filter(move |(_, p)| p.level == level);
    let for_children = |n: u32| n.div_ceil(u32::try_from(TARGET_CHILDREN).unwrap());
    let of_zone = for_children(ZONE_BALANCERS + ZONE_SERVERS);
    let count = |level| u32::try_from(of_level(level).count()).unwrap();
    assert_eq!(count(Level::ZoneRelay), ZONES * of_zone);
    // There are two regions of four zones and one of two.
    let of_regions = 2 * for_children(4 * of_zone) + for_children(2 * of_zone);
    assert_eq!(count(Level::RegionRelay), of_regions);
    for (node, plan) in of_level(Level::ZoneRelay) {
        let above = plan.feed[0];
        let feeds = plans.iter().find(|(n, _)| address(**n) == above).unwrap();
        assert_eq!(feeds.1.level, Level::RegionRelay, "above {node}");
    }
}

#[test]
fn first_choices_are_distributed_over_the_relays() {
    let testbed = Testbed::new();
    let mut children: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for n in 0..ZONE_BALANCERS + ZONE_SERVERS {
        let plan = testbed.plan(3000 + n);
        if plan.level == Level::Leaf {
            *children.entry(plan.feed[0]).or_default() += 1;
        }
    }
    let relays = usize::try_from((ZONE_BALANCERS + ZONE_SERVERS).div_ceil(10)).unwrap();
    assert!(
        children.len() * 10 >= relays * 9,
        "{} of {relays} are used",
        children.len()
    );
}

#[test]
fn a_failed_relay_moves_only_its_own_children() {
    let mut testbed = Testbed::new();
    let leaves: Vec<_> = (3000 + ZONE_BALANCERS..3000 + ZONE_BALANCERS + ZONE_SERVERS).collect();
    let before: Vec<_> = leaves.iter().map(|n| testbed.plan(*n).feed[0]).collect();
    let dead = before[0];
    let dead_node = balancers().find(|n| address(*n) == dead).unwrap();
    let member = MemberId::Balancer(u64::from(dead_node).into());
    testbed.directory.set_suspected(member, true);
    let moved = leaves.iter().zip(&before).filter(|(n, before)| {
        let plan = testbed.plan(**n);
        // Another balancer becomes a relay in its place; nodes that prefer the new one may move to it
        // or stay.
        let near = &plan.feed[..plan.preferred];
        assert!(!near.contains(&dead));
        !near.contains(before)
    });
    let moved: Vec<_> = moved.collect();
    assert!(moved.iter().all(|(_, before)| **before == dead));
    assert!(!moved.is_empty());
}

#[test]
fn a_zone_without_balancers_is_fed_by_its_region() {
    let mut testbed = Testbed::new();
    for n in 0..ZONE_BALANCERS {
        let member = MemberId::Balancer(u64::from(5000 + n).into());
        testbed.directory.remove(member);
    }
    let plan = testbed.plan(5000 + ZONE_BALANCERS);
    let zone_of = |a: &SocketAddr| balancers().find(|n| address(*n) == *a).unwrap() / 1000;
    assert!(plan.preferred > 0);
    let near = plan.feed[..plan.preferred].iter().map(zone_of);
    assert!(
        near.into_iter()
            .all(|z| z / ZONES_OF_REGION == 5 / ZONES_OF_REGION)
    );
}
