//! The state of the directory after records that arrive over any path and in any order.

use dogwoodrill_core::directory::{
    BucketSet, Directory, MemberId, MemberState, Merge, Owner, Record, Role, SUCCESSION_GRACE,
};
use dogwoodrill_core::ids::{BackendServerId, Incarnation, ServiceId, ShortIncarnation};
use dogwoodrill_core::time::UnixMillis;
use proptest::prelude::*;
use rstest::rstest;

const SERVICE: ServiceId = ServiceId::new(1);
const SERVER: BackendServerId = BackendServerId::new(7);
const FORGET_AT: UnixMillis = UnixMillis::new(1_000_000);
const DRAINING: MemberState = MemberState::Draining;
const LEFT: MemberState = MemberState::Left;
const SERVING: MemberState = MemberState::Serving;

type Step = (u64, u64, MemberState);

/// The n-th incarnation, at the minimum distance from the one before.
const fn nth_incarnation(n: u64) -> Incarnation {
    Incarnation::new(n * ShortIncarnation::UNIT_MILLIS)
}

fn server(id: BackendServerId, (incarnation, sequence, state): Step) -> Record {
    Record {
        member: MemberId::BackendServer(id),
        zone: "pando".parse().unwrap(),
        incarnation: nth_incarnation(incarnation),
        sequence: sequence.into(),
        state,
        tunnel: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        eligible_at: FORGET_AT,
        role: Role::BackendServer {
            service: SERVICE,
            slots: 2,
            ramp_until: UnixMillis::default(),
        },
    }
}

fn balancer(node: u64, zone: &str, sequence: u64, state: MemberState) -> Record {
    Record {
        member: MemberId::Balancer(node.into()),
        zone: zone.parse().unwrap(),
        role: Role::Balancer,
        ..server(SERVER, (1, sequence, state))
    }
}

fn merged(steps: &[Step]) -> Directory {
    let mut directory = Directory::default();
    for step in steps {
        directory.merge(server(SERVER, *step));
    }
    directory
}

/// The result of an owner lookup for the n-th incarnation.
fn owner_state(directory: &Directory, n: u64) -> &'static str {
    match directory.owner(SERVER, nth_incarnation(n).short()) {
        Owner::Live(record) if record.incarnation == nth_incarnation(n) => "live",
        Owner::Live(_) => "another incarnation",
        Owner::Ended(_) => "gone",
        Owner::Unknown => "unknown",
    }
}

#[rstest]
#[case::never_announced(&[], "unknown", "unknown")]
#[case::serves(&[(1, 1, SERVING)], "live", "unknown")]
#[case::drains(&[(1, 1, SERVING), (1, 2, DRAINING)], "live", "unknown")]
#[case::left(&[(1, 1, SERVING), (1, 2, LEFT)], "gone", "unknown")]
#[case::late_copy_after_left(&[(1, 2, LEFT), (1, 1, SERVING)], "gone", "unknown")]
#[case::doubled(&[(1, 1, SERVING), (1, 1, SERVING)], "live", "unknown")]
#[case::successor_while_draining(&[(1, 2, DRAINING), (2, 1, SERVING)], "live", "live")]
#[case::drain_notice_arrives_late(&[(1, 1, SERVING), (2, 1, SERVING), (1, 2, DRAINING)], "live", "live")]
#[case::only_the_drain_notice_arrives(&[(2, 1, SERVING), (1, 2, DRAINING)], "live", "live")]
#[case::predecessor_left(&[(1, 2, DRAINING), (2, 1, SERVING), (1, 3, LEFT)], "gone", "live")]
#[case::predecessor_left_then_late_copy(&[(2, 1, SERVING), (1, 3, LEFT), (1, 2, DRAINING)], "gone", "live")]
#[case::killed_and_restarted(&[(1, 1, SERVING), (2, 1, SERVING)], "gone", "live")]
#[case::copy_of_an_old_incarnation(&[(2, 1, SERVING), (1, 9, SERVING)], "gone", "live")]
fn the_owner_of_a_pinned_packet(
    #[case] steps: &[Step],
    #[case] first_incarnation: &str,
    #[case] second_incarnation: &str,
) {
    let mut directory = merged(steps);
    let now = UnixMillis::new(1);
    directory.expire(now);
    directory.expire(now.plus(SUCCESSION_GRACE));
    let states = (owner_state(&directory, 1), owner_state(&directory, 2));
    assert_eq!(states, (first_incarnation, second_incarnation));
}

#[test]
fn an_incarnation_without_a_drain_notice_is_routable_for_the_grace_period() {
    let mut directory = merged(&[(1, 1, SERVING), (2, 1, SERVING)]);
    let now = UnixMillis::new(1);
    directory.expire(now);
    directory.expire(now.plus(SUCCESSION_GRACE / 2));
    assert_eq!(owner_state(&directory, 1), "live");
    directory.expire(now.plus(SUCCESSION_GRACE));
    assert_eq!(owner_state(&directory, 1), "gone");
}

#[test]
fn a_tombstone_blocks_late_copies_until_its_deadline() {
    let mut directory = merged(&[(1, 1, SERVING), (1, 2, LEFT)]);
    let before = UnixMillis::new(FORGET_AT.get() - 1);
    directory.expire(before);
    assert_eq!(
        directory.merge(server(SERVER, (1, 1, SERVING))),
        Merge::Stale
    );
    let after = UnixMillis::new(FORGET_AT.get() + 1);
    directory.expire(after);
    assert_eq!(directory.records().count(), 0);
    assert_eq!(directory.digests().count(), 0);
    // A copy from a node that deletes the tombstone a moment later must not bring the record back.
    assert_eq!(directory.merge(server(SERVER, (1, 2, LEFT))), Merge::Stale);
}

#[test]
fn suspicion_stops_only_new_flows_and_ends_with_the_incarnation() {
    let mut directory = merged(&[(1, 1, SERVING)]);
    let member = MemberId::BackendServer(SERVER);
    directory.set_suspected(member, true);
    assert!(directory.candidates(SERVICE).is_empty());
    assert_eq!(owner_state(&directory, 1), "live");
    directory.merge(server(SERVER, (2, 1, SERVING)));
    assert_eq!(directory.candidates(SERVICE).len(), 1);
}

#[test]
fn the_index_of_balancers_follows_each_change() {
    let mut directory = Directory::default();
    let mut names = Vec::new();
    let steps = [
        balancer(1, "pando", 1, SERVING),
        balancer(2, "pando", 1, SERVING),
        balancer(3, "las-piedras", 1, SERVING),
        balancer(1, "las-piedras", 2, SERVING),
        balancer(2, "pando", 2, DRAINING),
    ];
    for record in steps {
        directory.merge(record);
        let near = directory.live_balancers_in(&"pando".parse().unwrap());
        names.push((directory.live_balancers().len(), near.len()));
    }
    directory.set_suspected(MemberId::Balancer(3.into()), true);
    directory.remove(MemberId::Balancer(1.into()));
    names.push((directory.live_balancers().len(), 0));
    assert_eq!(names, [(1, 1), (2, 2), (3, 2), (3, 1), (2, 0), (0, 0)]);
}

fn any_record() -> impl Strategy<Value = Record> {
    let state = prop_oneof![Just(SERVING), Just(DRAINING), Just(LEFT)];
    (0_u32..6, 1_u64..4, 1_u64..4, state).prop_map(|(id, incarnation, sequence, state)| {
        // An incarnation has one record per sequence number, and none after it has left.
        let state = match sequence {
            1 => SERVING,
            2 if state == SERVING => DRAINING,
            2 => DRAINING,
            _ => LEFT,
        };
        server(BackendServerId::new(id), (incarnation, sequence, state))
    })
}

fn settled(records: &[Record]) -> Directory {
    let mut directory = Directory::default();
    for record in records {
        directory.merge(record.clone());
    }
    let now = UnixMillis::new(1);
    directory.expire(now);
    directory.expire(now.plus(SUCCESSION_GRACE));
    directory
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..ProptestConfig::default() })]

    #[test]
    fn routing_does_not_depend_on_order_or_duplicates(
        (records, shuffled) in prop::collection::vec(any_record(), 1..24)
            .prop_flat_map(|r| (Just(r.clone()), Just(r).prop_shuffle())),
    ) {
        let once = settled(&records);
        let mut twice = settled(&shuffled);
        for record in &shuffled {
            twice.merge(record.clone());
        }
        let later = UnixMillis::new(2).plus(SUCCESSION_GRACE);
        twice.expire(later);
        twice.expire(later.plus(SUCCESSION_GRACE));
        prop_assert_eq!(once.candidates(SERVICE), twice.candidates(SERVICE));
        for record in &records {
            let MemberId::BackendServer(id) = record.member else { unreachable!() };
            let live = |d: &Directory| matches!(d.owner(id, record.incarnation.short()), Owner::Live(_));
            prop_assert_eq!(live(&once), live(&twice));
        }
    }

    #[test]
    fn exchanging_the_differing_buckets_makes_two_directories_equal(
        a in prop::collection::vec(any_record(), 0..24),
        b in prop::collection::vec(any_record(), 0..24),
    ) {
        let (mut a, mut b) = (settled(&a), settled(&b));
        let zone = "pando".parse().unwrap();
        let digest = |d: &Directory| d.digests().next().map(|(_, z)| z.clone()).unwrap_or_default();
        let differing = digest(&a).differing(&digest(&b));
        let from_a: Vec<_> = a.bucket_records(&zone, differing).cloned().collect();
        let from_b: Vec<_> = b.bucket_records(&zone, differing).cloned().collect();
        for r in from_a { b.merge(r); }
        for r in from_b { a.merge(r); }
        let now = UnixMillis::new(10).plus(SUCCESSION_GRACE);
        for d in [&mut a, &mut b] {
            d.expire(now);
            d.expire(now.plus(SUCCESSION_GRACE));
        }
        prop_assert_eq!(digest(&a).differing(&digest(&b)), BucketSet::default());
        let all = |d: &Directory| d.records().cloned().collect::<Vec<_>>();
        prop_assert_eq!(all(&a), all(&b));
    }
}
