//! P1: flows without connection ids keep their owner while the directories of balancers and agents differ.

use dogwoodrill_core::directory::{Directory, MemberId, MemberState};
use dogwoodrill_core::flow::{FlowKey, PacketClass};
use dogwoodrill_core::flow_table::{FlowLocation, FlowTable};
use dogwoodrill_core::ids::BackendServerId;
use dogwoodrill_core::routing::{DropCause, ServiceTable};
use insta::assert_snapshot;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::fleet::{
    AgentNetwork, Disposition, FLOW_TIMEOUT, LATER, ORDERS, server, seven, table, with_state,
};

const FLOWS: u64 = 2_000;
const VERSIONS: usize = 6;

#[derive(Clone, Copy, Debug)]
enum Change {
    Join,
    Drain,
    Both,
}

/// Whether all agents have every change, or each a random part of them.
#[derive(Clone, Copy, Debug)]
enum AgentViews {
    Newest,
    Any,
}

/// The initial directory, and the directory after each change.
fn versions(change: Change) -> Vec<Directory> {
    let mut all = vec![seven()];
    for n in 1..VERSIONS {
        let mut next = all[n - 1].clone();
        let id = u32::try_from(n).unwrap();
        let join = matches!(change, Change::Join) || (matches!(change, Change::Both) && n % 2 == 0);
        if join {
            next.merge(server(ORDERS, 7 + id));
        } else {
            next.merge(with_state(&server(ORDERS, id), MemberState::Draining));
        }
        all.push(next);
    }
    all
}

/// Every flow is opened with the oldest directory, and each later packet arrives through a balancer that is
/// up to `apart` changes behind the newest. All packets must reach the agent that opened the flow.
#[rstest]
fn p1_an_opaque_flow_keeps_its_owner(
    #[values(Change::Join, Change::Drain, Change::Both)] change: Change,
    #[values(1, 2, 5)] apart: usize,
    #[values(AgentViews::Newest, AgentViews::Any)] views: AgentViews,
) {
    let mut rng = StdRng::seed_from_u64(7);
    let versions = versions(change);
    let tables: Vec<_> = versions.iter().map(table).collect();
    let mut network = AgentNetwork::new(LATER);
    (1..=12).for_each(|id| network.start(id));
    network.set_all_views(&versions[0]);
    let owner = |network: &mut AgentNetwork, by: &ServiceTable, flow: u64| {
        network.send(by, PacketClass::Unknown(FlowKey::from_hash(flow)))
    };
    let flows: Vec<u64> = (0..FLOWS).map(|_| rng.random()).collect();
    let opened: Vec<_> = flows
        .iter()
        .map(|f| owner(&mut network, &tables[0], *f))
        .collect();
    for version in &versions[1..=apart] {
        for id in network.ids() {
            let knows = matches!(views, AgentViews::Newest) || rng.random();
            if knows {
                network.set_view(id, version);
            }
        }
    }
    let mut moved = 0;
    for (flow, first) in flows.iter().zip(&opened) {
        for _ in 0..3 {
            let by = &tables[rng.random_range(0..=apart)];
            let last = owner(&mut network, by, *flow);
            let same = matches!((first, last), (Disposition::Accepted { by: a, .. }, Disposition::Accepted { by: b, .. }) if *a == b);
            moved += u32::from(!same);
        }
    }
    assert_eq!(
        moved, 0,
        "packets that did not reach the owner of their flow"
    );
}

/// A flow that was found at its old home is still found there after the old home has expired from the history.
#[test]
fn p1_an_opaque_flow_is_found_after_its_old_home_has_expired() {
    let (before, after) = (seven(), {
        let mut d = seven();
        d.merge(server(ORDERS, 8));
        d
    });
    let mut network = AgentNetwork::new(LATER);
    (1..=8).for_each(|id| network.start(id));
    network.set_all_views(&before);
    let key = (0..FLOWS)
        .map(FlowKey::from_hash)
        .find(|k| table(&after).home(*k, LATER).unwrap().server == 8.into())
        .unwrap();
    let packet = PacketClass::Unknown(key);
    let mut dispositions = vec![network.send(&table(&before), packet)];
    network.set_all_views(&after);
    for _ in 0..3 {
        network.advance(FLOW_TIMEOUT.mul_f64(0.9));
        dispositions.push(network.send(&table(&after), packet));
    }
    network.advance(FLOW_TIMEOUT);
    dispositions.push(network.send(&table(&after), packet));
    let text: Vec<_> = dispositions.iter().map(|f| format!("{f:?}")).collect();
    assert_snapshot!(text.join("\n"), @"
    Accepted { by: 4, hops: 0 }
    Accepted { by: 4, hops: 1 }
    Accepted { by: 4, hops: 1 }
    Accepted { by: 4, hops: 1 }
    Accepted { by: 8, hops: 0 }
    ");
}

/// A draining server gets no new flow, even from a balancer that has not received its record; the packet is
/// forwarded among the homes, and the current home opens the flow.
#[rstest]
fn p8_a_draining_server_opens_no_flow(
    #[values(true, false)] opening: bool,
    #[values(true, false)] peers_know: bool,
) {
    let (before, mut after) = (seven(), seven());
    let leaving = BackendServerId::new(3);
    after.merge(with_state(&server(ORDERS, 3), MemberState::Draining));
    let mut network = AgentNetwork::new(LATER);
    (1..=7).for_each(|id| network.start(id));
    network.set_all_views(&before);
    if peers_know {
        network.set_all_views(&after);
    } else {
        network.set_view(3, &after);
    }
    for key in (0..FLOWS).map(FlowKey::from_hash) {
        let class = if opening {
            PacketClass::Opening(key)
        } else {
            PacketClass::Unknown(key)
        };
        let disposition = network.send(&table(&before), class);
        let home = table(&after).home(key, LATER).unwrap().server;
        assert!(
            matches!(disposition, Disposition::Accepted { by, .. } if home == by.into() && leaving != by.into()),
            "{key}: {disposition:?}, home {home}"
        );
    }
}

/// A packet is dropped at the hop limit if agents take each other for the home of its flow.
#[test]
fn p1_a_tunnel_loop_ends() {
    let view = |draining: &[u32]| {
        let mut d = seven();
        for id in draining {
            d.merge(with_state(&server(ORDERS, *id), MemberState::Draining));
        }
        d
    };
    let mut network = AgentNetwork::new(LATER);
    (1..=7).for_each(|id| network.start(id));
    // In the directory of each agent all agents drain, itself included, except its neighbour.
    for id in 1..=7 {
        let neighbour = id % 7 + 1;
        let draining: Vec<_> = (1..=7).filter(|n| *n != neighbour).collect();
        network.set_view(id, &view(&draining));
    }
    for key in (0..FLOWS).map(FlowKey::from_hash) {
        for class in [PacketClass::Opening(key), PacketClass::Unknown(key)] {
            let disposition = network.send(&table(&seven()), class);
            assert_eq!(
                disposition,
                Disposition::Dropped(DropCause::HopLimit),
                "{class}"
            );
        }
    }
}

/// An opening packet is not forwarded to a suspected home, where it could be lost; a packet that may belong
/// to an open flow is.
#[test]
fn p1_only_opening_packets_avoid_a_suspected_home() {
    let mut after = seven();
    after.set_suspected(MemberId::BackendServer(3.into()), true);
    let mut network = AgentNetwork::new(LATER);
    (1..=7).for_each(|id| network.start(id));
    network.set_all_views(&seven());
    let home = |key: &FlowKey| table(&seven()).home(*key, LATER).unwrap().server;
    let mut keys = (0..)
        .map(FlowKey::from_hash)
        .filter(|k| home(k) == 3.into());
    let (open, new) = (keys.next().unwrap(), keys.next().unwrap());
    let opened = network.send(&table(&seven()), PacketClass::Unknown(open));
    network.set_all_views(&after);
    let later = network.send(&table(&after), PacketClass::Unknown(open));
    let opening = network.send(&table(&after), PacketClass::Opening(new));
    assert_snapshot!(format!("{opened:?}\n{later:?}\n{opening:?}"), @"
    Accepted { by: 3, hops: 0 }
    Accepted { by: 3, hops: 1 }
    Accepted { by: 2, hops: 0 }
    ");
}

#[test]
fn a_full_flow_table_forgets_the_oldest_entry() {
    let now = AgentNetwork::new(LATER).now().instant;
    let mut flows = FlowTable::new(3);
    for n in 0..5 {
        let until = now + FLOW_TIMEOUT;
        flows.insert(now, FlowKey::from_hash(n), FlowLocation::Local, until);
    }
    let known: Vec<_> = (0..5)
        .filter(|n| flows.get(now, FlowKey::from_hash(*n)).is_some())
        .collect();
    assert_eq!((known, flows.len()), (vec![2, 3, 4], 3));
    flows.expire(now + FLOW_TIMEOUT);
    assert!(flows.is_empty());
}
