//! P1 and P2 at the agent: pinned packets and requests for a reset, whatever the balancer believed.

use dogwoodrill_core::directory::{Directory, MemberId, MemberState, Record};
use dogwoodrill_core::flow::{ConnectionId, FlowKey, PacketClass};
use dogwoodrill_core::ids::{BackendServerId, Incarnation};
use dogwoodrill_core::routing::ServiceTable;
use dogwoodrill_core::steering::{Steering, SteeringOptions, TunnelPacket};
use rstest::rstest;

use crate::fleet::{
    LATER, Mesh, ORDERS, REMEMBER, ZONES, directory, life, server, tunnel, with_state, without_zone,
};

const OWN: u32 = 4;
const LEFT: MemberState = MemberState::Left;

fn agent(view: &Directory, out: Option<&str>) -> Steering {
    let own = dogwoodrill_core::flow_table::Peer {
        server: OWN.into(),
        tunnel: tunnel(OWN),
    };
    let mut agent = Steering::new(SteeringOptions {
        own,
        incarnation: life(2).short(),
        flow_timeout: REMEMBER,
    });
    let config = without_zone(out);
    let table = ServiceTable::build(view, &config, ORDERS);
    agent.on_table(Mesh::new(LATER).now(), table.into());
    agent.on_zone(config.is_zone_in(&ZONES[1].parse().unwrap()));
    agent
}

/// Server 4 in its n-th life; only the second is at the agent's own address.
fn own_life(n: u64) -> Record {
    let at = if n == 2 {
        OWN
    } else {
        400 + u32::try_from(n).unwrap()
    };
    Record {
        incarnation: life(n),
        tunnel: tunnel(at),
        ..server(ORDERS, OWN)
    }
}

fn pin(server: u32, to: Incarnation) -> PacketClass {
    PacketClass::Pinned(ConnectionId {
        server: BackendServerId::new(server),
        incarnation: to.short(),
        nonce: [0; 4],
    })
}

/// What the agent beside server 4, in its second life, does with a packet pinned to a server's life.
#[rstest]
#[case::own(directory([own_life(2)]), (4, 2), false, "accept")]
#[case::own_but_thought_gone(directory([own_life(2)]), (4, 2), true, "accept")]
#[case::own_and_empty_view(directory([]), (4, 2), false, "accept")]
#[case::earlier_life_here(directory([own_life(2)]), (4, 1), false, "accept")]
#[case::earlier_life_drains(directory([with_state(&own_life(1), MemberState::Draining), own_life(2)]), (4, 1), false, "pass to 4 at 127.0.0.1:10401, hop 1")]
#[case::successor_here(directory([with_state(&own_life(2), MemberState::Draining), own_life(3)]), (4, 3), false, "pass to 4 at 127.0.0.1:10403, hop 1")]
#[case::successor_not_heard_of(directory([own_life(2)]), (4, 3), false, "drop: unknown-server")]
#[case::reset_of_left(directory([own_life(2), with_state(&server(ORDERS, 5), LEFT)]), (5, 1), true, "accept")]
#[case::reset_of_replaced(directory([own_life(2), Record { incarnation: life(2), ..server(ORDERS, 5) }]), (5, 1), true, "accept")]
#[case::reset_of_live(directory([own_life(2), server(ORDERS, 5)]), (5, 1), true, "pass to 5 at 127.0.0.1:10005, hop 1")]
#[case::reset_of_draining(directory([own_life(2), with_state(&server(ORDERS, 5), MemberState::Draining)]), (5, 1), true, "pass to 5 at 127.0.0.1:10005, hop 1")]
#[case::reset_of_unknown(directory([own_life(2)]), (5, 1), true, "drop: unknown-server")]
#[case::reset_of_later_life(directory([own_life(2), with_state(&server(ORDERS, 5), LEFT)]), (5, 9), true, "drop: unknown-server")]
#[case::other_server_without_reset(directory([own_life(2), with_state(&server(ORDERS, 5), LEFT)]), (5, 1), false, "drop: unknown-server")]
fn p1_p2_a_pinned_packet_at_an_agent(
    #[case] view: Directory,
    #[case] (to, n): (u32, u64),
    #[case] reset: bool,
    #[case] expected: &str,
) {
    let arrival = TunnelPacket {
        class: pin(to, life(n)),
        hops: 0,
        settled: false,
        reset,
    };
    let now = Mesh::new(LATER).now();
    let step = agent(&view, None).on_packet(now, arrival, 0);
    assert_eq!(step.to_string(), expected);
}

/// An agent whose own zone was taken out takes nothing in; one elsewhere resets flows of that zone.
#[rstest]
#[case::own_zone(ZONES[1], pin(4, life(2)), "drop: zone-out")]
#[case::own_zone_opening(ZONES[1], PacketClass::Opening(FlowKey::from_hash(1)), "drop: zone-out")]
#[case::own_zone_unknown(ZONES[1], PacketClass::Unknown(FlowKey::from_hash(1)), "drop: zone-out")]
#[case::other_zone(ZONES[2], pin(4, life(2)), "accept")]
#[case::flow_of_the_other_zone(ZONES[2], pin(5, life(1)), "accept")]
fn p4_a_removed_zone_takes_nothing(
    #[case] out: &str,
    #[case] class: PacketClass,
    #[case] expected: &str,
) {
    let view = directory([own_life(2), server(ORDERS, 5)]);
    let arrival = TunnelPacket {
        class,
        hops: 0,
        settled: false,
        reset: true,
    };
    let now = Mesh::new(LATER).now();
    let step = agent(&view, Some(out)).on_packet(now, arrival, 0);
    assert_eq!(step.to_string(), expected);
}

/// A pin that two agents would send to each other ends at the hop limit.
#[test]
fn p1_a_pinned_packet_does_not_go_round() {
    let mut view = directory([own_life(2), server(ORDERS, 5)]);
    view.set_suspected(MemberId::BackendServer(5.into()), true);
    let mut agent = agent(&view, None);
    let now = Mesh::new(LATER).now();
    let steps = (0..8).map(|hops| {
        let class = pin(5, life(1));
        let arrival = TunnelPacket {
            class,
            hops,
            settled: false,
            reset: true,
        };
        agent.on_packet(now, arrival, 0).to_string()
    });
    let last: Vec<_> = steps.skip(5).collect();
    let dropped = "drop: hop-limit";
    assert_eq!(
        last,
        ["pass to 5 at 127.0.0.1:10005, hop 6", dropped, dropped]
    );
}
