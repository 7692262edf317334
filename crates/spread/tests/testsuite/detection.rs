//! Failure detection: which members are suspected, and above all which are not.

use std::time::Duration;

use dogwoodrill_core::directory::MemberId;
use dogwoodrill_core::ids::NodeId;
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_spread::message::MemberIncarnation;
use dogwoodrill_spread::suspicion::{DEAD_AFTER, Observation, Suspicions};
use rstest::rstest;

use crate::cluster::{At, Cluster, SERVICE, ZONES};

/// Time within which new flows must no longer go to a failed backend server.
const DETECTION_LIMIT: Duration = Duration::from_secs(8);
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
#[case::host_vanished(|c: &mut Cluster, at| c.lose_host(at))]
#[case::hung(|c: &mut Cluster, at| c.pause(at, true))]
fn a_failed_member_is_suspected_by_every_balancer(#[case] fault: fn(&mut Cluster, At)) {
    let mut cluster = Cluster::settled();
    let dead = [agents(1)[0], Cluster::balancers(2).start];
    for at in dead {
        fault(&mut cluster, at);
    }
    let mut watchers = all_balancers();
    watchers.retain(|at| !dead.contains(at));
    let is_detected = |c: &Cluster| {
        let by_all = |at: &At| watchers.iter().all(|w| c.suspects(*w, *at));
        dead.iter().all(by_all)
    };
    assert!(cluster.until(DETECTION_LIMIT, is_detected).is_some());
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
fn the_suspicion_ends_when_heartbeats_resume() {
    let mut cluster = Cluster::settled();
    let hung = agents(0)[2];
    cluster.pause(hung, true);
    cluster.run(2 * DETECTION_LIMIT);
    assert_eq!(suspected(&cluster, &all_balancers(), &[hung]), [hung]);
    cluster.pause(hung, false);
    let cleared = |c: &Cluster| suspected(c, &all_balancers(), &[hung]).is_empty();
    assert!(cluster.until(LONG, cleared).is_some());
    cluster.run(LONG);
    assert!(cleared(&cluster));
}

/// Guards against a suspicion that rests on one observer: it receives no heartbeats although the member
/// works.
#[rstest]
#[case::one_way_to_its_relay(|c: &mut Cluster, at: At, relay: At| { c.cut.insert((at, relay)); })]
#[case::one_way_from_its_relay(|c: &mut Cluster, at: At, relay: At| { c.cut.insert((relay, at)); })]
#[case::both_ways(|c: &mut Cluster, at: At, relay: At| { c.cut.insert((at, relay)); c.cut.insert((relay, at)); })]
#[case::relay_paused(|c: &mut Cluster, _, relay| c.pause(relay, true))]
#[case::relay_killed(|c: &mut Cluster, _, relay| c.kill(relay))]
fn one_observer_alone_causes_no_suspicion(#[case] fault: fn(&mut Cluster, At, At)) {
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
fn no_more_members_are_suspected_than_the_cap_allows() {
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
fn a_member_silent_for_long_becomes_a_tombstone_and_may_rejoin() {
    let mut cluster = Cluster::settled();
    let dead = agents(2)[3];
    cluster.kill(dead);
    cluster.run(LONG);
    cluster.tick = Duration::from_millis(900);
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

fn report(observer: u64, is_alive: bool, ago: Duration) -> Observation {
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
const EARLIER: Duration = Duration::from_secs(10);
const EXPIRED: Duration = Duration::from_secs(100);

#[rstest]
#[case::nobody(&[], false)]
#[case::one(&[(1, false, JUST_NOW)], false)]
#[case::one_twice(&[(1, false, EARLIER), (1, false, JUST_NOW)], false)]
#[case::two(&[(1, false, JUST_NOW), (2, false, EARLIER)], true)]
#[case::two_and_a_witness(&[(1, false, JUST_NOW), (2, false, EARLIER), (3, true, EARLIER)], false)]
#[case::a_witness_long_ago(&[(1, false, JUST_NOW), (2, false, EARLIER), (3, true, EXPIRED)], true)]
#[case::one_took_it_back(&[(1, false, EARLIER), (2, false, EARLIER), (2, true, JUST_NOW)], false)]
#[case::late_copy_of_the_first_word(&[(1, false, EARLIER), (2, true, JUST_NOW), (2, false, EARLIER)], false)]
#[case::the_word_of_a_dead_observer(&[(1, false, JUST_NOW), (2, false, EXPIRED)], false)]
fn a_member_is_suspected_by_two_valid_reports_without_contradiction(
    #[case] reports: &[(u64, bool, Duration)],
    #[case] suspected: bool,
) {
    let mut suspicions = Suspicions::default();
    for (observer, is_alive, ago) in reports {
        suspicions.merge(NOW, report(*observer, *is_alive, *ago));
    }
    suspicions.expire(NOW);
    assert_eq!(suspicions.unresponsive().count() == 1, suspected);
}
