//! Faults: what must hold on every node while relays, links and control hosts fail. The simulated
//! cluster checks each configuration that comes into force, so that the index of no node goes down.

use std::time::Duration;

use dogwoodrill_core::directory::MemberState;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use crate::cluster::{At, Cluster};

/// Time within which a change must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(8);
const MINUTES: Duration = Duration::from_mins(3);
const SECONDS: Duration = Duration::from_secs(10);

fn others(cluster: &Cluster, except: &[At]) -> Vec<At> {
    cluster.all().filter(|at| !except.contains(at)).collect()
}

/// Checks that a change of the configuration and one of a record reach `nodes` in time.
fn assert_in_force(cluster: &mut Cluster, nodes: &[At]) {
    let index = cluster.commit();
    let announcer = *nodes.last().unwrap();
    cluster.publish(announcer, MemberState::Draining);
    let everywhere = |c: &Cluster| {
        nodes
            .iter()
            .all(|at| c.index(*at) >= index && c.knows(*at, announcer))
    };
    let took = cluster.until(IN_FORCE, everywhere);
    let behind = nodes
        .iter()
        .filter(|at| cluster.index(**at) < index || !cluster.knows(**at, announcer));
    let behind: Vec<_> = behind.collect();
    assert!(took.is_some(), "{behind:?} are behind");
}

#[test]
fn every_node_of_a_started_cluster_is_connected_and_confirms() {
    let mut cluster = Cluster::settled();
    let all = others(&cluster, &[]);
    assert_in_force(&mut cluster, &all);
    cluster.run(SECONDS);
    let confirmations = cluster.confirmations();
    assert!(confirmations.is_complete());
    let counted: u32 = confirmations.zones.iter().map(|z| z.confirmed).sum();
    // Each control host counts itself and the nodes below the other.
    assert_eq!(counted as usize, cluster.all().len());
    assert_eq!(cluster.isolated(), []);
}

#[rstest]
#[case::killed(|c: &mut Cluster, relay| c.kill(relay))]
#[case::vanished(|c: &mut Cluster, relay| c.lose_host(relay))]
#[case::paused(|c: &mut Cluster, relay| c.pause(relay, true))]
fn a_failed_relay_delays_only_the_nodes_below_it(#[case] fault: fn(&mut Cluster, At)) {
    let mut cluster = Cluster::settled();
    let (relay, children) = cluster.busiest_relay(0);
    assert!(children.len() >= 2, "{children:?}");
    let below = cluster.below(relay);
    fault(&mut cluster, relay);
    let index = cluster.commit();
    let mut not_below = others(&cluster, &below);
    not_below.retain(|at| *at != relay);
    assert!(!not_below.is_empty());
    let done = |c: &Cluster| not_below.iter().all(|at| c.index(*at) >= index);
    assert!(cluster.until(Duration::from_secs(1), done).is_some());
    let rest = others(&cluster, &[relay]);
    let done = |c: &Cluster| rest.iter().all(|at| c.index(*at) >= index);
    assert!(cluster.until(IN_FORCE, done).is_some());
    assert_in_force(&mut cluster, &rest);
    assert_eq!(cluster.isolated(), []);
}

#[test]
fn children_leave_an_isolated_relay_when_its_beacon_is_stale() {
    let mut cluster = Cluster::settled();
    let (relay, children) = cluster.busiest_relay(0);
    assert!(children.len() >= 2, "{children:?}");
    for at in others(&cluster, &children) {
        cluster.cut.insert((at, relay));
        cluster.cut.insert((relay, at));
    }
    let moved = |c: &Cluster| children.iter().all(|at| c.feed_of(*at) != Some(relay));
    assert!(cluster.until(IN_FORCE, moved).is_some());
    let rest = others(&cluster, &[relay]);
    assert_in_force(&mut cluster, &rest);
    cluster.heal();
    let all = others(&cluster, &[]);
    cluster.run(SECONDS);
    assert_in_force(&mut cluster, &all);
}

#[test]
fn a_node_started_next_to_a_stale_relay_serves_at_the_highest_index() {
    let mut cluster = Cluster::settled();
    let started = Cluster::zone(0).last().unwrap();
    let stale = Cluster::balancers(0).start;
    cluster.kill(started);
    let reachable = [stale, started];
    for at in others(&cluster, &reachable) {
        cluster.cut.insert((at, stale));
        cluster.cut.insert((stale, at));
    }
    let index = cluster.commit();
    cluster.run(SECONDS);
    assert!(cluster.index(stale) < index);
    cluster.restart(started);
    let before = cluster.index(started);
    let serves = |c: &Cluster| c.index(started) > before;
    assert!(cluster.until(IN_FORCE, serves).is_some());
    assert_eq!(cluster.index(started), index);
}

#[test]
fn reordered_and_duplicate_updates_are_tolerated() {
    let mut cluster = Cluster::settled();
    cluster.reorder_rng = Some(StdRng::seed_from_u64(11));
    for _ in 0..20 {
        cluster.commit();
        cluster.run(Duration::from_millis(100));
    }
    let all = others(&cluster, &[]);
    assert_in_force(&mut cluster, &all);
}

#[rstest]
#[case::no_quorum(false)]
#[case::control_hosts_dead(true)]
fn nodes_continue_to_serve_while_control_hosts_are_unavailable(#[case] kill: bool) {
    let mut cluster = Cluster::settled();
    cluster.quorum = false;
    if kill {
        cluster.kill(0);
        cluster.kill(1);
    }
    for _ in 0..18 {
        cluster.run(SECONDS);
        assert_eq!(cluster.isolated(), []);
    }
    let nodes = others(&cluster, &[0, 1]);
    let announcer = *nodes.last().unwrap();
    cluster.publish(announcer, MemberState::Draining);
    let known = |c: &Cluster| nodes.iter().all(|at| c.knows(*at, announcer));
    assert!(
        cluster.until(IN_FORCE, known).is_some(),
        "soft state spreads without the control hosts"
    );
    if kill {
        cluster.restart(0);
        cluster.restart(1);
    }
    cluster.quorum = true;
    cluster.run(2 * SECONDS);
    let all = others(&cluster, &[]);
    assert_in_force(&mut cluster, &all);
}

#[test]
fn a_region_cut_off_for_minutes_recovers() {
    let mut cluster = Cluster::settled();
    let mut region: Vec<_> = Cluster::zone(2).collect();
    region.extend(Cluster::zone(3));
    cluster.cut_off(&region);
    cluster.run(MINUTES);
    assert_eq!(
        cluster.isolated(),
        [],
        "all nodes of the region are equally stale and continue to serve"
    );
    let rest = others(&cluster, &region);
    assert_in_force(&mut cluster, &rest);
    let suspected = rest
        .iter()
        .any(|w| region.iter().any(|at| cluster.suspects(*w, *at)));
    assert!(
        !suspected,
        "no node outside the region observes its members"
    );
    cluster.heal();
    cluster.run(2 * SECONDS);
    let all = others(&cluster, &[]);
    assert_in_force(&mut cluster, &all);
}

#[test]
fn an_isolated_node_stops_serving_and_recovers() {
    let mut cluster = Cluster::settled();
    let alone = Cluster::balancers(1).start;
    cluster.cut_off(&[alone]);
    let stopped = |c: &Cluster| c.isolated() == [alone];
    assert!(cluster.until(IN_FORCE, stopped).is_some());
    cluster.run(MINUTES);
    assert_eq!(cluster.isolated(), [alone]);
    cluster.heal();
    let serves = |c: &Cluster| c.isolated().is_empty();
    assert!(cluster.until(2 * SECONDS, serves).is_some());
    cluster.run(SECONDS);
    let all = others(&cluster, &[]);
    assert_in_force(&mut cluster, &all);
}

#[test]
fn a_slow_child_delays_no_other_node_and_catches_up() {
    let mut cluster = Cluster::settled();
    let slow = Cluster::zone(1).last().unwrap();
    cluster.slow.insert(slow);
    let rest = others(&cluster, &[slow]);
    for _ in 0..3 {
        assert_in_force(&mut cluster, &rest);
    }
    cluster.end_congestion(slow);
    cluster.run(SECONDS);
    let all = others(&cluster, &[]);
    assert_in_force(&mut cluster, &all);
}

#[test]
fn a_restarting_zone_does_not_link_to_the_control_hosts() {
    let mut cluster = Cluster::settled();
    let zone: Vec<_> = Cluster::zone(3).collect();
    for at in &zone {
        cluster.kill(*at);
    }
    cluster.run(SECONDS);
    for at in &zone {
        cluster.restart(*at);
    }
    cluster.run(SECONDS);
    let fed = |c: &Cluster, at: &At| c.feed_of(*at).is_some_and(|feed| feed < 2);
    let by_control = zone.iter().filter(|at| fed(&cluster, at)).count();
    assert!(
        by_control <= 2,
        "{by_control} nodes are fed by a control host"
    );
    let all = others(&cluster, &[]);
    assert_in_force(&mut cluster, &all);
}
