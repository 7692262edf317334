//! P1, P2 and P4 at the balancer: the routing of packets according to the records.

use dogwoodrill_core::directory::{Directory, MemberId, MemberState, Record, Role};
use dogwoodrill_core::flow::{ConnectionId, FlowKey, PacketClass};
use dogwoodrill_core::ids::Incarnation;
use dogwoodrill_core::return_ring::ReturnRing;
use dogwoodrill_core::routing::{DropCause, Route, ServiceTable, unknown_server_cause};
use dogwoodrill_core::time::UnixMillis;
use insta::assert_snapshot;
use rstest::rstest;

use crate::fleet::{
    LATER, ORDERS, SHEETS, ZONES, balancer, directory, nth_incarnation, server, tunnel, with_state,
    without_zone,
};

const DRAINING: MemberState = MemberState::Draining;
const LEFT: MemberState = MemberState::Left;

/// Server 4, whose zone is pando, in its n-th incarnation at a port of that incarnation.
fn in_incarnation(n: u64) -> Record {
    Record {
        incarnation: nth_incarnation(n),
        tunnel: tunnel(400 + u32::try_from(n).unwrap()),
        ..server(ORDERS, 4)
    }
}

fn of_sheets(record: Record) -> Record {
    let role = Role::BackendServer {
        service: SHEETS,
        slots: 2,
        ramp_until: UnixMillis::default(),
    };
    Record { role, ..record }
}

fn suspected(mut directory: Directory) -> Directory {
    directory.set_suspected(MemberId::BackendServer(4.into()), true);
    directory
}

fn pinned(to: Incarnation) -> PacketClass {
    PacketClass::Pinned(ConnectionId {
        server: 4.into(),
        incarnation: to.short(),
        nonce: [0; 4],
    })
}

/// The route of a packet that is pinned to the second incarnation of server 4. Server 5, in the zone
/// santa-lucia, always serves and resets flows of servers that have ended.
#[rstest]
#[case::serving(directory([in_incarnation(2)]), None, "forward to 4 at 127.0.0.1:10402")]
#[case::duplicate_records(directory([in_incarnation(2), in_incarnation(2)]), None, "forward to 4 at 127.0.0.1:10402")]
#[case::suspected(suspected(directory([in_incarnation(2)])), None, "forward to 4 at 127.0.0.1:10402")]
#[case::draining(directory([with_state(&in_incarnation(2), DRAINING)]), None, "forward to 4 at 127.0.0.1:10402")]
#[case::left(directory([with_state(&in_incarnation(2), LEFT)]), None, "reset by 5 at 127.0.0.1:10005")]
#[case::left_then_late_copy(directory([with_state(&in_incarnation(2), LEFT), in_incarnation(2)]), None, "reset by 5 at 127.0.0.1:10005")]
#[case::never_announced(directory([]), None, "drop: unknown-server")]
#[case::earlier_incarnation_only(directory([in_incarnation(1)]), None, "forward to 4 at 127.0.0.1:10401")]
#[case::earlier_incarnation_left(directory([with_state(&in_incarnation(1), LEFT)]), None, "drop: unknown-server")]
#[case::returned(directory([in_incarnation(3)]), None, "reset by 5 at 127.0.0.1:10005")]
#[case::drains_after_successor_started(directory([with_state(&in_incarnation(2), DRAINING), in_incarnation(3)]), None, "forward to 4 at 127.0.0.1:10402")]
#[case::drain_announced_after_successor(directory([in_incarnation(3), with_state(&in_incarnation(2), DRAINING)]), None, "forward to 4 at 127.0.0.1:10402")]
#[case::left_after_successor_started(directory([in_incarnation(3), with_state(&in_incarnation(2), LEFT)]), None, "reset by 5 at 127.0.0.1:10005")]
#[case::zone_out(directory([in_incarnation(2)]), Some(ZONES[1]), "reset by 5 at 127.0.0.1:10005")]
#[case::other_zone_out(directory([in_incarnation(2)]), Some(ZONES[0]), "forward to 4 at 127.0.0.1:10402")]
#[case::zone_of_resetting_server_out_too(directory([with_state(&in_incarnation(2), LEFT)]), Some(ZONES[2]), "drop: no-server")]
fn p1_p4_a_pinned_packet_goes_to_its_agent_until_it_has_ended(
    #[case] mut directory: Directory,
    #[case] out: Option<&str>,
    #[case] expected: &str,
) {
    directory.merge(server(ORDERS, 5));
    let table = ServiceTable::build(&directory, &without_zone(out), ORDERS);
    let route = table.route(pinned(nth_incarnation(2)), LATER);
    assert_eq!(route.to_string(), expected);
}

/// No packet of one service is forwarded to a server of another, whatever ran at its address before.
#[rstest]
#[case::of_another_service(directory([of_sheets(in_incarnation(2))]), "wrong-service")]
#[case::address_taken_over(directory([in_incarnation(1), of_sheets(Record { tunnel: tunnel(401), ..in_incarnation(2) })]), "wrong-service")]
#[case::never_announced(directory([]), "unknown-server")]
fn p2_a_server_of_another_service_gets_no_packets(
    #[case] directory: Directory,
    #[case] expected: &str,
) {
    let table = ServiceTable::build(&directory, &without_zone(None), ORDERS);
    let opening = table.route(PacketClass::Opening(FlowKey::from_hash(1)), LATER);
    let pinned = table.route(pinned(nth_incarnation(2)), LATER);
    let cause = unknown_server_cause(&directory, ORDERS, 4.into());
    assert_eq!(opening, Route::Drop(DropCause::NoServer));
    assert_eq!(pinned, Route::Drop(DropCause::UnknownServer));
    assert_eq!(cause.to_string(), expected);
}

/// The servers that get new flows, with their shares of 10,000 keys.
#[rstest]
#[case::one_drains(directory([server(ORDERS, 1), with_state(&server(ORDERS, 2), DRAINING)]), None, "1:10000")]
#[case::one_left(directory([server(ORDERS, 1), with_state(&server(ORDERS, 2), LEFT)]), None, "1:10000")]
#[case::one_suspected(suspected(directory([server(ORDERS, 1), in_incarnation(1)])), None, "1:10000")]
#[case::one_not_eligible_yet(directory([server(ORDERS, 1), Record { eligible_at: LATER.plus(std::time::Duration::from_millis(1)), ..server(ORDERS, 2) }]), None, "1:10000")]
#[case::one_in_a_zone_out(directory([server(ORDERS, 1), server(ORDERS, 2)]), Some(ZONES[1]), "2:10000")]
#[case::nobody(directory([]), None, "")]
fn p3_p4_p8_new_flows_go_to_eligible_servers_only(
    #[case] directory: Directory,
    #[case] out: Option<&str>,
    #[case] expected: &str,
) {
    let table = ServiceTable::build(&directory, &without_zone(out), ORDERS);
    let mut shares = std::collections::BTreeMap::new();
    for key in (0..10_000).map(FlowKey::from_hash) {
        if let Some(p) = table.home(key, LATER) {
            *shares.entry(p.server).or_insert(0) += 1;
        }
    }
    let text: Vec<_> = shares.iter().map(|(s, n)| format!("{s}:{n}")).collect();
    assert_eq!(text.join(" "), expected);
}

/// Shares of new flows are proportional to the slots, within four standard deviations of a random draw.
#[test]
fn shares_follow_the_weights() {
    const KEYS: f64 = 10_000.0;
    let with_slots = |id: u32, slots| Record {
        role: Role::BackendServer {
            service: ORDERS,
            slots,
            ramp_until: UnixMillis::default(),
        },
        ..server(ORDERS, id)
    };
    let slots = [1_u16, 2, 2, 5];
    let records = (1..).zip(slots).map(|(id, slots)| with_slots(id, slots));
    let table = ServiceTable::build(&directory(records), &without_zone(None), ORDERS);
    for (id, slots) in (1..).zip(slots) {
        let share = f64::from(slots) / 10.0;
        let keys = (0..10_000).map(FlowKey::from_hash);
        let won = keys.filter(|k| table.home(*k, LATER).unwrap().server == id.into());
        let won = f64::from(u32::try_from(won.count()).unwrap());
        let deviation = (won - share * KEYS).abs() / (KEYS * share * (1.0 - share)).sqrt();
        assert!(
            deviation < 4.0,
            "server {id} won {won} of a share of {share}"
        );
    }
}

/// The removal of one server moves only the flows that it had.
#[test]
fn rendezvous_moves_no_other_flows() {
    let before = directory((1..=7).map(|id| server(ORDERS, id)));
    let after = directory((1..=6).map(|id| server(ORDERS, id)));
    let [before, after] =
        [before, after].map(|d| ServiceTable::build(&d, &without_zone(None), ORDERS));
    let moved = (0..10_000).map(FlowKey::from_hash).filter(|k| {
        let (a, b) = (
            before.home(*k, LATER).unwrap(),
            after.home(*k, LATER).unwrap(),
        );
        a.server != b.server && a.server != 7.into()
    });
    assert_eq!(moved.count(), 0);
}

/// The balancers that send the replies of an agent in las-piedras, round robin. The balancer that forwarded
/// the last packet of a flow is not preferred.
#[rstest]
#[case::own_zone_first([(1, 0), (2, 0), (3, 1)], &[], None, "10001 10002 10001")]
#[case::last_balancer_died([(1, 0), (2, 0), (3, 1)], &[2], None, "10001 10003 10001")]
#[case::own_zone_has_one([(1, 0), (2, 1), (3, 2)], &[], None, "10001 10002 10003")]
#[case::own_zone_has_none([(1, 1), (2, 1), (3, 2)], &[], None, "10001 10002 10003")]
#[case::zone_out([(1, 0), (2, 1), (3, 1)], &[], Some(ZONES[1]), "10001 10001 10001")]
#[case::all_suspected([(1, 0), (2, 0), (3, 1)], &[1, 2, 3], None, "10001 10002 10003")]
#[case::all_in_a_zone_out([(1, 1), (2, 1), (3, 1)], &[], Some(ZONES[1]), "- - -")]
fn p1_replies_leave_through_any_live_balancer(
    #[case] balancers: [(u64, usize); 3],
    #[case] dead: &[u64],
    #[case] out: Option<&str>,
    #[case] expected: &str,
) {
    let mut view = directory(balancers.map(|(node, zone)| balancer(node, zone)));
    for node in dead {
        view.set_suspected(MemberId::Balancer((*node).into()), true);
    }
    let zone = ZONES[0].parse().unwrap();
    let ring = ReturnRing::build(&view, &without_zone(out), &zone);
    let turns = (0..3).map(|turn| ring.balancer_for_turn(turn, LATER));
    let text: Vec<_> = turns
        .map(|to| to.map_or_else(|| "-".to_owned(), |to| to.port().to_string()))
        .collect();
    assert_eq!(text.join(" "), expected);
}

/// A balancer that sends no packets any more gets no replies while another sends packets; if none does, all
/// get replies again. Liveness times are kept when the ring changes.
#[rstest]
#[case::no_packets_received(&[], 0, "10001 10002 10001 10002")]
#[case::packets_from_both(&[1, 2], 299, "10001 10002 10001 10002")]
#[case::one_failed_silently(&[2], 299, "10002 10002 10002 10002")]
#[case::both_silent_since(&[2], 300, "10001 10002 10001 10002")]
#[case::packets_from_unknown_address(&[9], 0, "10001 10002 10001 10002")]
fn p1_replies_leave_through_balancers_that_sent_packets_recently(
    #[case] senders: &[u32],
    #[case] after: u64,
    #[case] expected: &str,
) {
    let zone = ZONES[0].parse().unwrap();
    let view = directory([balancer(1, 0), balancer(2, 0)]);
    let before = ReturnRing::build(&view, &without_zone(None), &zone);
    for node in senders {
        before.on_packet_received(tunnel(*node), LATER);
    }
    let ring = ReturnRing::build(&view, &without_zone(None), &zone).with_liveness_from(&before);
    let now = LATER.plus(std::time::Duration::from_millis(after));
    let turns = (0..4).map(|turn| {
        ring.balancer_for_turn(turn, now)
            .unwrap()
            .port()
            .to_string()
    });
    assert_eq!(turns.collect::<Vec<_>>().join(" "), expected);
}

/// A balancer that drains or has left gets no replies, unless it is the only one and still drains.
#[test]
fn p9_a_draining_balancer_gets_no_replies() {
    let states = [MemberState::Serving, DRAINING, LEFT];
    let rows = states.map(|state| {
        let [with_another, alone] = [1, 2].map(|from| {
            let records = [balancer(1, 0), with_state(&balancer(2, 0), state)];
            let records = records.into_iter().skip(from - 1);
            let zone = ZONES[0].parse().unwrap();
            ReturnRing::build(&directory(records), &without_zone(None), &zone).len()
        });
        format!("{state}: {with_another} with another, {alone} alone")
    });
    assert_snapshot!(rows.join("\n"), @"
    serving: 2 with another, 1 alone
    draining: 1 with another, 1 alone
    left: 1 with another, 0 alone
    ");
}
