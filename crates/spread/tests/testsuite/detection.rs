//! The table of failure detection: who is suspected, and above all who is not.

use std::time::Duration;

use dogwoodrill_core::directory::MemberId;
use dogwoodrill_core::ids::NodeId;
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_spread::message::MemberIncarnation;
use dogwoodrill_spread::suspicion::{DEAD_AFTER, Observation, Suspicions};
use rstest::rstest;

use crate::cluster::{At, Cluster, SERVICE, ZONES};

/// The time in which new flows must stop going to a dead backend server.
const NOTICED: Duration = Duration::from_secs(8);
const LONG: Duration = Duration::from_mins(1);

/// Agents of a zone.
fn agents(zone: usize) -> Vec<At> {
    Cluster::zone(zone)
        .filter(|at| !Cluster::balancers(zone).contains(at))
        .collect()
}

fn all_balancers() -> Vec<At> {
    (0..ZONES.len()).flat_map(Cluster::balancers).collect()
}

/// Members that some balancer in `watchers` suspects.
fn suspected(cluster: &Cluster, watchers: &[At], members: &[At]) -> Vec<At> {
    let by_any = |at: &At| {
        watchers
            .iter()
            .any(|w| *w != *at && cluster.suspects(*w, *at))
    };
    members.iter().copied().filter(by_any).collect()
}

#[rstest]
#[case::process_killed(|c: &mut Cluster, at| c.kill(at))]
#[case::host_vanished(|c: &mut Cluster, at| c.vanish(at))]
#[case::hung(|c: &mut Cluster, at| c.pause(at, true))]
fn a_dead_member_is_suspected_by_every_balancer(#[case] fault: fn(&mut Cluster, At)) {
    let mut cluster = Cluster::settled();
    let dead = [agents(1)[0], Cluster::balancers(2).start];
    for at in dead {
        fault(&mut cluster, at);
    }
    let mut watchers = all_balancers();
    watchers.retain(|at| !dead.contains(at));
    let noticed = |c: &Cluster| {
        let by_all = |at: &At| watchers.iter().all(|w| c.suspects(*w, *at));
        dead.iter().all(by_all)
    };
    assert!(cluster.until(NOTICED, noticed).is_some());
    let everyone: Vec<_> = (2..cluster.all().len()).collect();
    assert_eq!(suspected(&cluster, &watchers, &everyone), dead);
    let candidates = cluster
        .node(watchers[0])
        .directory()
        .candidates(SERVICE)
        .len();
    assert_eq!(candidates, 4 * 8 - 1);
}

#[test]
fn a_member_that_is_heard_again_is_cleared() {
    let mut cluster = Cluster::settled();
    let hung = agents(0)[2];
    cluster.pause(hung, true);
    cluster.run(2 * NOTICED);
    assert_eq!(suspected(&cluster, &all_balancers(), &[hung]), [hung]);
    cluster.pause(hung, false);
    let cleared = |c: &Cluster| suspected(c, &all_balancers(), &[hung]).is_empty();
    assert!(cluster.until(LONG, cleared).is_some());
    cluster.run(LONG);
    assert!(cleared(&cluster));
}

/// One observer hears nothing although the member is well.
#[rstest]
#[case::one_way_to_its_relay(|c: &mut Cluster, at: At, relay: At| { c.cut.insert((at, relay)); })]
#[case::one_way_from_its_relay(|c: &mut Cluster, at: At, relay: At| { c.cut.insert((relay, at)); })]
#[case::both_ways(|c: &mut Cluster, at: At, relay: At| { c.cut.insert((at, relay)); c.cut.insert((relay, at)); })]
#[case::relay_paused(|c: &mut Cluster, _, relay| c.pause(relay, true))]
#[case::relay_killed(|c: &mut Cluster, _, relay| c.kill(relay))]
fn one_observer_alone_brings_nobody_under_suspicion(#[case] fault: fn(&mut Cluster, At, At)) {
    let mut cluster = Cluster::settled();
    let member = agents(3)[1];
    let relay = cluster.feed_of(member).unwrap();
    fault(&mut cluster, member, relay);
    let members: Vec<_> = (0..4).flat_map(agents).collect();
    for _ in 0..60 {
        cluster.run(LONG / 60);
        assert_eq!(suspected(&cluster, &all_balancers(), &members), []);
    }
    cluster.pause(relay, false);
    cluster.heal();
    for _ in 0..60 {
        cluster.run(LONG / 60);
        assert_eq!(suspected(&cluster, &all_balancers(), &members), []);
    }
}

#[test]
fn beyond_the_cap_the_detector_is_doubted() {
    let mut cluster = Cluster::settled();
    let dead: Vec<_> = (0..4).flat_map(|zone| agents(zone)[..4].to_vec()).collect();
    for at in &dead {
        cluster.kill(*at);
    }
    cluster.run(LONG);
    let first = all_balancers()[0];
    for watcher in all_balancers() {
        // 300 per mille of 32.
        let suspects = suspected(&cluster, &[watcher], &dead);
        assert_eq!(suspects.len(), 9);
        assert_eq!(
            suspects,
            suspected(&cluster, &[first], &dead),
            "at {watcher}"
        );
    }
}

#[test]
fn a_member_that_stays_dead_becomes_a_tombstone_and_may_come_back() {
    let mut cluster = Cluster::settled();
    let dead = agents(2)[3];
    cluster.kill(dead);
    cluster.run(LONG);
    cluster.stride = Duration::from_millis(900);
    cluster.run(DEAD_AFTER);
    let state = |c: &Cluster, w: At| {
        let member = MemberId::BackendServer(u32::try_from(dead).unwrap().into());
        c.node(w).directory().get(member).map(|r| r.state)
    };
    let left = Some(dogwoodrill_core::directory::MemberState::Left);
    assert!(all_balancers().iter().all(|w| state(&cluster, *w) == left));
    cluster.run(DEAD_AFTER + LONG);
    assert!(
        all_balancers()
            .iter()
            .all(|w| state(&cluster, *w).is_none())
    );
    cluster.restart(dead);
    cluster.run(LONG);
    assert!(all_balancers().iter().all(|w| cluster.knows(*w, dead)));
}

const NOW: UnixMillis = UnixMillis::new(1_000_000);

fn said(observer: u64, is_alive: bool, ago: Duration) -> Observation {
    Observation {
        observer: NodeId::new(observer),
        subject: MemberIncarnation {
            member: MemberId::BackendServer(1.into()),
            incarnation: 1.into(),
        },
        is_alive,
        since: UnixMillis::new(1),
        reported_at: UnixMillis::new(NOW.get() - u64::try_from(ago.as_millis()).unwrap()),
    }
}

const JUST_NOW: Duration = Duration::ZERO;
const AGO: Duration = Duration::from_secs(10);
const LAPSED: Duration = Duration::from_secs(100);

#[rstest]
#[case::nobody(&[], false)]
#[case::one(&[(1, false, JUST_NOW)], false)]
#[case::one_twice(&[(1, false, AGO), (1, false, JUST_NOW)], false)]
#[case::two(&[(1, false, JUST_NOW), (2, false, AGO)], true)]
#[case::two_and_a_witness(&[(1, false, JUST_NOW), (2, false, AGO), (3, true, AGO)], false)]
#[case::a_witness_long_ago(&[(1, false, JUST_NOW), (2, false, AGO), (3, true, LAPSED)], true)]
#[case::one_took_it_back(&[(1, false, AGO), (2, false, AGO), (2, true, JUST_NOW)], false)]
#[case::late_copy_of_the_first_word(&[(1, false, AGO), (2, true, JUST_NOW), (2, false, AGO)], false)]
#[case::the_word_of_a_dead_observer(&[(1, false, JUST_NOW), (2, false, LAPSED)], false)]
fn who_is_believed(#[case] statements: &[(u64, bool, Duration)], #[case] suspected: bool) {
    let mut suspicions = Suspicions::default();
    for (observer, is_alive, ago) in statements {
        suspicions.merge(NOW, said(*observer, *is_alive, *ago));
    }
    suspicions.expire(NOW);
    assert_eq!(suspicions.silent().count() == 1, suspected);
}
