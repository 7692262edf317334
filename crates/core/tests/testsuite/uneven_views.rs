//! P1: flows without connection ids stay whole while directories differ between balancers and agents.

use dogwoodrill_core::directory::{Directory, MemberId, MemberState};
use dogwoodrill_core::flow::{FlowKey, PacketClass};
use dogwoodrill_core::flow_table::{FlowLocation, FlowTable};
use dogwoodrill_core::ids::BackendServerId;
use dogwoodrill_core::routing::{DropCause, ServiceTable};
use insta::assert_snapshot;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::fleet::{Fate, LATER, Mesh, ORDERS, REMEMBER, server, seven, table, with_state};

const FLOWS: u64 = 2_000;
const VERSIONS: usize = 6;

#[derive(Clone, Copy, Debug)]
enum Change {
    Join,
    Drain,
    Both,
}

/// Whether agents know every change at once, or each its own number of them.
#[derive(Clone, Copy, Debug)]
enum AgentViews {
    Newest,
    Any,
}

/// The directory after each change, the first before any.
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

/// Every flow is opened at the oldest view, and each of its later packets comes by a balancer that is
/// up to `apart` changes behind the newest; all of them end where the flow was opened.
#[rstest]
fn p1_an_opaque_flow_keeps_its_owner(
    #[values(Change::Join, Change::Drain, Change::Both)] change: Change,
    #[values(1, 2, 5)] apart: usize,
    #[values(AgentViews::Newest, AgentViews::Any)] views: AgentViews,
) {
    let mut rng = StdRng::seed_from_u64(7);
    let versions = versions(change);
    let tables: Vec<_> = versions.iter().map(table).collect();
    let mut mesh = Mesh::new(LATER);
    (1..=12).for_each(|id| mesh.start(id));
    mesh.tell_all(&versions[0]);
    let owner = |mesh: &mut Mesh, by: &ServiceTable, flow: u64| {
        mesh.send(by, PacketClass::Unknown(FlowKey::from_hash(flow)))
    };
    let flows: Vec<u64> = (0..FLOWS).map(|_| rng.random()).collect();
    let opened: Vec<_> = flows
        .iter()
        .map(|f| owner(&mut mesh, &tables[0], *f))
        .collect();
    for version in &versions[1..=apart] {
        for id in mesh.ids() {
            let knows = matches!(views, AgentViews::Newest) || rng.random();
            if knows {
                mesh.tell(id, version);
            }
        }
    }
    let mut moved = 0;
    for (flow, first) in flows.iter().zip(&opened) {
        for _ in 0..3 {
            let by = &tables[rng.random_range(0..=apart)];
            let last = owner(&mut mesh, by, *flow);
            let same = matches!((first, last), (Fate::Taken { by: a, .. }, Fate::Taken { by: b, .. }) if *a == b);
            moved += u32::from(!same);
        }
    }
    assert_eq!(
        moved, 0,
        "packets that did not reach the owner of their flow"
    );
}

/// A flow that was found at its old home is found there after the home before the change is forgotten.
#[test]
fn p1_an_opaque_flow_outlives_the_memory_of_its_home() {
    let (before, after) = (seven(), {
        let mut d = seven();
        d.merge(server(ORDERS, 8));
        d
    });
    let mut mesh = Mesh::new(LATER);
    (1..=8).for_each(|id| mesh.start(id));
    mesh.tell_all(&before);
    let key = (0..FLOWS)
        .map(FlowKey::from_hash)
        .find(|k| table(&after).home(*k, LATER).unwrap().server == 8.into())
        .unwrap();
    let packet = PacketClass::Unknown(key);
    let mut fates = vec![mesh.send(&table(&before), packet)];
    mesh.tell_all(&after);
    for _ in 0..3 {
        mesh.advance(REMEMBER.mul_f64(0.9));
        fates.push(mesh.send(&table(&after), packet));
    }
    mesh.advance(REMEMBER);
    fates.push(mesh.send(&table(&after), packet));
    let text: Vec<_> = fates.iter().map(|f| format!("{f:?}")).collect();
    assert_snapshot!(text.join("\n"), @"
    Taken { by: 4, hops: 0 }
    Taken { by: 4, hops: 1 }
    Taken { by: 4, hops: 1 }
    Taken { by: 4, hops: 1 }
    Taken { by: 8, hops: 0 }
    ");
}

/// A leaving server gets no new flow, also from a balancer that has not heard of it; a new flow goes
/// round the homes and ends at the current one.
#[rstest]
fn p8_a_draining_server_opens_no_flow(
    #[values(true, false)] opening: bool,
    #[values(true, false)] peers_know: bool,
) {
    let (before, mut after) = (seven(), seven());
    let leaving = BackendServerId::new(3);
    after.merge(with_state(&server(ORDERS, 3), MemberState::Draining));
    let mut mesh = Mesh::new(LATER);
    (1..=7).for_each(|id| mesh.start(id));
    mesh.tell_all(&before);
    if peers_know {
        mesh.tell_all(&after);
    } else {
        mesh.tell(3, &after);
    }
    for key in (0..FLOWS).map(FlowKey::from_hash) {
        let class = if opening {
            PacketClass::Opening(key)
        } else {
            PacketClass::Unknown(key)
        };
        let fate = mesh.send(&table(&before), class);
        let home = table(&after).home(key, LATER).unwrap().server;
        assert!(
            matches!(fate, Fate::Taken { by, .. } if home == by.into() && leaving != by.into()),
            "{key}: {fate:?}, home {home}"
        );
    }
}

/// Two agents that each take the other for the home of a flow do not pass a packet round for ever.
#[test]
fn p1_a_tunnel_loop_ends() {
    let view = |gone: &[u32]| {
        let mut d = seven();
        for id in gone {
            d.merge(with_state(&server(ORDERS, *id), MemberState::Draining));
        }
        d
    };
    let mut mesh = Mesh::new(LATER);
    (1..=7).for_each(|id| mesh.start(id));
    // Each agent believes that all others drain but its neighbour, and that it drains itself.
    for id in 1..=7 {
        let neighbour = id % 7 + 1;
        let gone: Vec<_> = (1..=7).filter(|n| *n != neighbour).collect();
        mesh.tell(id, &view(&gone));
    }
    for key in (0..FLOWS).map(FlowKey::from_hash) {
        for class in [PacketClass::Opening(key), PacketClass::Unknown(key)] {
            let fate = mesh.send(&table(&seven()), class);
            assert_eq!(fate, Fate::Dropped(DropCause::HopLimit), "{class}");
        }
    }
}

/// An opening packet is not sent to a suspected home, where it would be lost; one that may belong to
/// an open flow is.
#[test]
fn p1_only_opening_packets_avoid_a_suspected_home() {
    let mut after = seven();
    after.set_suspected(MemberId::BackendServer(3.into()), true);
    let mut mesh = Mesh::new(LATER);
    (1..=7).for_each(|id| mesh.start(id));
    mesh.tell_all(&seven());
    let home = |key: &FlowKey| table(&seven()).home(*key, LATER).unwrap().server;
    let mut keys = (0..)
        .map(FlowKey::from_hash)
        .filter(|k| home(k) == 3.into());
    let (open, new) = (keys.next().unwrap(), keys.next().unwrap());
    let opened = mesh.send(&table(&seven()), PacketClass::Unknown(open));
    mesh.tell_all(&after);
    let later = mesh.send(&table(&after), PacketClass::Unknown(open));
    let opening = mesh.send(&table(&after), PacketClass::Opening(new));
    assert_snapshot!(format!("{opened:?}\n{later:?}\n{opening:?}"), @"
    Taken { by: 3, hops: 0 }
    Taken { by: 3, hops: 1 }
    Taken { by: 2, hops: 0 }
    ");
}

#[test]
fn a_full_flow_table_forgets_the_oldest_entry() {
    let now = Mesh::new(LATER).now().instant;
    let mut flows = FlowTable::new(3);
    for n in 0..5 {
        let until = now + REMEMBER;
        flows.keep(now, FlowKey::from_hash(n), FlowLocation::Local, until);
    }
    let known: Vec<_> = (0..5)
        .filter(|n| flows.get(now, FlowKey::from_hash(*n)).is_some())
        .collect();
    assert_eq!((known, flows.len()), (vec![2, 3, 4], 3));
    flows.expire(now + REMEMBER);
    assert!(flows.is_empty());
}
