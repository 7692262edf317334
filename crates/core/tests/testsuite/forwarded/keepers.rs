//! The hash ring of keepers, and the flow directory of a keeper.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::keepers::{FlowDirectory, FlowLocation, KeeperRing};
use dogwoodrill_core::forwarded::packet::FlowKey;
use dogwoodrill_core::forwarded::report::BootId;
use insta::assert_snapshot;

const TTL: Duration = Duration::from_mins(1);

fn agents(count: u8) -> Vec<(Ipv4Addr, BootId)> {
    let ips = (0..count).map(|n| Ipv4Addr::new(10, 0, 0, n));
    ips.map(|ip| (ip, BootId::new(1))).collect()
}

fn ring(agents: &[(Ipv4Addr, BootId)]) -> KeeperRing {
    let mut ring = KeeperRing::default();
    assert!(ring.update(agents));
    ring
}

fn flow(n: u32) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::from_bits(0x6440_0000 + n), 1000),
        service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    }
}

#[test]
fn keepers_are_two_agents_where_there_are_two() {
    let none = KeeperRing::default().keepers(flow(1));
    assert_eq!((none.first, none.second), (None, None));
    let one = ring(&agents(1)).keepers(flow(1));
    assert_eq!(one.iter().count(), 1);
    let many = ring(&agents(10));
    for n in 0..1000 {
        let keepers = many.keepers(flow(n));
        assert_ne!(keepers.first, keepers.second);
        assert_eq!(keepers.iter().count(), 2);
    }
}

/// When one of ten agents leaves, about a fifth of the flows get another first or second keeper. For flows
/// that lost their first keeper, the second becomes the first.
#[test]
fn few_flows_move_when_an_agent_leaves() {
    let before = ring(&agents(10));
    let after = ring(&agents(9));
    let left_agent = Ipv4Addr::new(10, 0, 0, 9);
    let mut moved = 0;
    for n in 0..10_000 {
        let (old, new) = (before.keepers(flow(n)), after.keepers(flow(n)));
        if old == new {
            continue;
        }
        moved += 1;
        assert!(old.iter().any(|ip| ip == left_agent));
        if old.first == Some(left_agent) {
            assert_eq!(new.first, old.second);
        }
    }
    assert!(
        (1_000..3_000).contains(&moved),
        "{moved} of 10,000 flows moved"
    );
}

#[test]
fn agents_have_similar_shares_of_flows() {
    let ring = ring(&agents(10));
    let mut shares = BTreeMap::new();
    for n in 0..10_000 {
        *shares.entry(ring.keepers(flow(n)).first).or_insert(0) += 1;
    }
    let least = shares.values().min().unwrap();
    let most = shares.values().max().unwrap();
    assert_eq!(shares.len(), 10);
    assert_snapshot!(format!("least {least}, most {most} of 10000"), @"least 720, most 1519 of 10000");
}

#[test]
fn an_update_with_the_same_agents_changes_nothing() {
    let mut ring = ring(&agents(3));
    assert!(!ring.update(&agents(3)));
    let mut has_restarted = agents(3);
    has_restarted[0].1 = BootId::new(2);
    assert!(ring.update(&has_restarted));
}

#[test]
fn a_flow_is_found_at_the_acknowledged_server() {
    let now = Instant::now();
    let [a, b] = [Ipv4Addr::new(10, 0, 0, 1), Ipv4Addr::new(10, 0, 0, 2)];
    let mut directory = FlowDirectory::default();
    let location = |server_seq| FlowLocation {
        flow: flow(1),
        server_seq,
    };
    directory.on_flow_location(now, a, location(u32::MAX - 10), TTL);
    directory.on_flow_location(now, b, location(0x4000_0000), TTL);
    let found = [
        directory.find(flow(1), u32::MAX - 9),
        directory.find(flow(1), 500),
        directory.find(flow(1), 0x4000_0001),
        directory.find(flow(1), 0x4010_0000),
        directory.find(flow(2), 500),
    ];
    assert_eq!(found, [Some(a), Some(a), Some(b), Some(b), None]);
}

#[test]
fn locations_of_a_flow_are_limited_and_expire() {
    let now = Instant::now();
    let mut directory = FlowDirectory::default();
    for n in 0..6 {
        let server_seq = u32::from(n) * 0x1000_0000;
        let location = FlowLocation {
            flow: flow(1),
            server_seq,
        };
        directory.on_flow_location(now, Ipv4Addr::new(10, 0, 0, n), location, TTL);
    }
    // The two oldest locations were replaced.
    assert_eq!(
        directory.find(flow(1), 0x1000_0001),
        Some(Ipv4Addr::new(10, 0, 0, 5))
    );
    assert_eq!(
        directory.find(flow(1), 0x2000_0001),
        Some(Ipv4Addr::new(10, 0, 0, 2))
    );
    directory.expire(now + Duration::from_millis(59_999));
    assert_eq!(directory.len(), 1);
    directory.expire(now + TTL);
    assert!(directory.is_empty());
}
