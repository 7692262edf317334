//! P1 and P2 at the agent: pinned packets with and without the reset flag, for any directory of the balancer.

use dogwoodrill_core::directory::{Directory, MemberId, MemberState, Record};
use dogwoodrill_core::flow::{ConnectionId, FlowKey, PacketClass};
use dogwoodrill_core::ids::{BackendServerId, Incarnation};
use dogwoodrill_core::routing::ServiceTable;
use dogwoodrill_core::steering::{Steering, SteeringOptions, TunnelPacket};
use rstest::rstest;

use crate::fleet::{
    AgentNetwork, FLOW_TIMEOUT, LATER, ORDERS, ZONES, directory, nth_incarnation, server, tunnel,
    with_state, without_zone,
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
        incarnation: nth_incarnation(2).short(),
        flow_timeout: FLOW_TIMEOUT,
    });
    let config = without_zone(out);
    let table = ServiceTable::build(view, &config, ORDERS);
    agent.on_table(AgentNetwork::new(LATER).now(), table.into());
    agent.on_zone(config.is_zone_in(&ZONES[1].parse().unwrap()));
    agent
}

/// Server 4 in its n-th incarnation; only the second is at the agent's own address.
fn own_in_incarnation(n: u64) -> Record {
    let at = if n == 2 {
        OWN
    } else {
        400 + u32::try_from(n).unwrap()
    };
    Record {
        incarnation: nth_incarnation(n),
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

/// The decision of the agent of server 4, in its second incarnation, about a packet that is pinned to an
/// incarnation of a server.
#[rstest]
#[case::own(directory([own_in_incarnation(2)]), (4, 2), false, "accept")]
#[case::own_with_reset_flag(directory([own_in_incarnation(2)]), (4, 2), true, "accept")]
#[case::own_and_empty_view(directory([]), (4, 2), false, "accept")]
#[case::earlier_incarnation_here(directory([own_in_incarnation(2)]), (4, 1), false, "accept")]
#[case::earlier_incarnation_drains(directory([with_state(&own_in_incarnation(1), MemberState::Draining), own_in_incarnation(2)]), (4, 1), false, "pass to 4 at 127.0.0.1:10401, hop 1")]
#[case::successor_here(directory([with_state(&own_in_incarnation(2), MemberState::Draining), own_in_incarnation(3)]), (4, 3), false, "pass to 4 at 127.0.0.1:10403, hop 1")]
#[case::successor_unknown(directory([own_in_incarnation(2)]), (4, 3), false, "drop: unknown-server")]
#[case::reset_of_left(directory([own_in_incarnation(2), with_state(&server(ORDERS, 5), LEFT)]), (5, 1), true, "accept")]
#[case::reset_of_replaced(directory([own_in_incarnation(2), Record { incarnation: nth_incarnation(2), ..server(ORDERS, 5) }]), (5, 1), true, "accept")]
#[case::reset_of_live(directory([own_in_incarnation(2), server(ORDERS, 5)]), (5, 1), true, "pass to 5 at 127.0.0.1:10005, hop 1")]
#[case::reset_of_draining(directory([own_in_incarnation(2), with_state(&server(ORDERS, 5), MemberState::Draining)]), (5, 1), true, "pass to 5 at 127.0.0.1:10005, hop 1")]
#[case::reset_of_unknown(directory([own_in_incarnation(2)]), (5, 1), true, "drop: unknown-server")]
#[case::reset_of_later_incarnation(directory([own_in_incarnation(2), with_state(&server(ORDERS, 5), LEFT)]), (5, 9), true, "drop: unknown-server")]
#[case::other_server_without_reset(directory([own_in_incarnation(2), with_state(&server(ORDERS, 5), LEFT)]), (5, 1), false, "drop: unknown-server")]
fn p1_p2_a_pinned_packet_at_an_agent(
    #[case] view: Directory,
    #[case] (to, n): (u32, u64),
    #[case] reset: bool,
    #[case] expected: &str,
) {
    let arrival = TunnelPacket {
        class: pin(to, nth_incarnation(n)),
        hops: 0,
        settled: false,
        reset,
    };
    let now = AgentNetwork::new(LATER).now();
    let step = agent(&view, None).on_packet(now, arrival, 0);
    assert_eq!(step.to_string(), expected);
}

/// An agent whose own zone was taken out drops all packets; one in another zone resets flows of that zone.
#[rstest]
#[case::own_zone(ZONES[1], pin(4, nth_incarnation(2)), "drop: zone-out")]
#[case::own_zone_opening(ZONES[1], PacketClass::Opening(FlowKey::from_hash(1)), "drop: zone-out")]
#[case::own_zone_unknown(ZONES[1], PacketClass::Unknown(FlowKey::from_hash(1)), "drop: zone-out")]
#[case::other_zone(ZONES[2], pin(4, nth_incarnation(2)), "accept")]
#[case::flow_of_the_other_zone(ZONES[2], pin(5, nth_incarnation(1)), "accept")]
fn p4_a_removed_zone_accepts_no_packets(
    #[case] out: &str,
    #[case] class: PacketClass,
    #[case] expected: &str,
) {
    let view = directory([own_in_incarnation(2), server(ORDERS, 5)]);
    let arrival = TunnelPacket {
        class,
        hops: 0,
        settled: false,
        reset: true,
    };
    let now = AgentNetwork::new(LATER).now();
    let step = agent(&view, Some(out)).on_packet(now, arrival, 0);
    assert_eq!(step.to_string(), expected);
}

/// A pinned packet that two agents would forward to each other is dropped at the hop limit.
#[test]
fn p1_a_pinned_packet_does_not_loop() {
    let mut view = directory([own_in_incarnation(2), server(ORDERS, 5)]);
    view.set_suspected(MemberId::BackendServer(5.into()), true);
    let mut agent = agent(&view, None);
    let now = AgentNetwork::new(LATER).now();
    let steps = (0..8).map(|hops| {
        let class = pin(5, nth_incarnation(1));
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
