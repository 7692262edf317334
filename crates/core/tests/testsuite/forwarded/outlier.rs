//! Servers that fail requests: who is suspected, what the fleet's callers notice, and who is not.

use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::mesh::ServerReport;
use dogwoodrill_core::forwarded::outlier::{OutlierDetector, ResponseStats, ServiceBaseline};
use rstest::rstest;

use super::world::{Change, Failure, ORDERS_ADDRESS, Outcome, World};

const MS: Duration = Duration::from_millis(1);
/// Requests a second that 25 servers of two slots work off, at 15 ms each.
const CAPACITY: f64 = 25.0 * 2.0 / 0.015;

fn report(work_ms: u64, bytes: u16, failed_permille: u16) -> ServerReport {
    ServerReport {
        service: "orders".into(),
        zone: "north".parse().unwrap(),
        is_accepting: true,
        is_cold: false,
        busy: 0,
        work: Some(Duration::from_millis(work_ms)),
        flows: 0,
        slots: 2,
        responses: ResponseStats {
            mean_bytes: Some(bytes.into()),
            failure_rate: failed_permille.into(),
            is_suspended: false,
        },
    }
}

/// A detector beside servers that take 20 ms for answers of 800 bytes.
fn detector(now: Instant, failed_permille: u16) -> OutlierDetector {
    let peers = [
        report(20, 800, failed_permille),
        report(21, 810, failed_permille),
    ];
    let mut detector = OutlierDetector::default();
    detector.set_baseline(now, ServiceBaseline::of(peers.iter()));
    detector
}

/// Answers by the time that they took and their bytes; whether the server is suspended after the last.
#[rstest]
#[case::usual(&[(20, 800); 20], false)]
#[case::one_failure(&[(1, 150)], false)]
#[case::failures_in_a_row(&[(1, 150); 3], true)]
#[case::short_but_slow(&[(19, 150); 20], false)]
#[case::quick_but_long(&[(1, 800); 20], false)]
#[case::every_other(&[(1, 150), (20, 800), (1, 150), (20, 800), (1, 150), (20, 800), (1, 150), (20, 800), (1, 150)], true)]
fn answers_are_judged(#[case] answers: &[(u64, u16)], #[case] expected: bool) {
    let now = Instant::now();
    let mut detector = detector(now, 0);
    for (ms, bytes) in answers {
        detector.on_answer(now, Duration::from_millis(*ms), *bytes);
    }
    assert_eq!(detector.is_suspended(), expected);
}

#[test]
fn broken_off_flows_are_failures() {
    let now = Instant::now();
    let mut detector = detector(now, 0);
    for _ in 0..3 {
        detector.on_broken_off(now);
    }
    assert!(detector.is_suspended());
}

/// Nobody is an outlier where the others answer alike, or where nothing is known of them.
#[rstest]
#[case::others_fail_too(Some(900))]
#[case::no_others(None)]
fn what_is_usual_is_no_ground(#[case] others: Option<u16>) {
    let now = Instant::now();
    let mut detector = others.map_or_else(OutlierDetector::default, |f| detector(now, f));
    for _ in 0..50 {
        detector.on_answer(now, MS, 150);
        detector.on_broken_off(now);
    }
    assert!(!detector.is_suspended());
}

/// A suspended server gets a flow each 250 ms while it fails them, and is trusted again soon after it does not.
/// Thirty failures leave a share of 0.958, and thirteen results take it below a quarter.
#[rstest]
#[case::failing(1, 150, 4)]
#[case::well_again(20, 800, 13)]
fn trials_show_how_a_server_is(#[case] took_ms: u64, #[case] bytes: u16, #[case] expected: u32) {
    let start = Instant::now();
    let mut detector = detector(start, 0);
    for _ in 0..30 {
        detector.on_answer(start, MS, 150);
    }
    let mut probes = 0;
    for ms in 1..=1000 {
        let now = start + ms * MS;
        if detector.take_probe(now) {
            probes += 1;
            detector.on_answer(now, Duration::from_millis(took_ms), bytes);
        }
    }
    assert_eq!(detector.is_suspended(), bytes == 150);
    assert_eq!(probes, expected);
}

/// The median of what others measured; those who have not say nothing.
#[test]
fn the_usual_is_what_most_measure() {
    let unmeasured = ServerReport {
        work: None,
        ..report(1, 1, 0)
    };
    assert_eq!(ServiceBaseline::of([unmeasured].iter()), None);
    let most = [
        report(20, 800, 0),
        report(1, 150, 1000),
        report(22, 820, 10),
    ];
    let alike = [report(20, 800, 10)];
    assert_eq!(
        ServiceBaseline::of(most.iter()),
        ServiceBaseline::of(alike.iter())
    );
}

/// Share of the calls of a second that end with a failure.
fn failed_from(world: &World, from: Instant) -> f64 {
    let until = from + Duration::from_secs(1);
    let calls = world.callers.values();
    let calls: Vec<_> = calls
        .filter(|c| (from..until).contains(&c.started_at))
        .collect();
    let is_failure = |o| matches!(o, Some(Outcome::Failed | Outcome::BrokenOff));
    let failed = calls.iter().filter(|c| is_failure(c.outcome)).count();
    f64::from(u32::try_from(failed).unwrap()) / f64::from(u32::try_from(calls.len()).unwrap())
}

/// Servers begin to fail at once while all is well, in a fleet that is loaded to a half. The shares are those that
/// the callers may notice in the first second and in those after it.
#[rstest]
#[case::an_eighth(3, 0.05, 0.02)]
#[case::three_tenths(7, 0.10, 0.04)]
fn the_fleet_avoids_servers_that_fail(
    #[case] servers: usize,
    #[case] at_first: f64,
    #[case] later: f64,
    #[values(Failure::Error, Failure::Reset)] how: Failure,
    #[values(400, 1000)] permille: u32,
    #[values(1, 2)] seed: u64,
) {
    let mut world = World::new(seed, 25, 0, 4);
    let start = world.now;
    let secs = Duration::from_secs;
    for n in 0..servers {
        world.at(secs(1), Change::FailRequests(n, permille, how));
        world.at(secs(4), Change::FailRequests(n, 0, how));
    }
    world.calls(secs(9), 0.5 * CAPACITY, ORDERS_ADDRESS);
    world.run_for(secs(12));
    let failed: Vec<_> = (0..9)
        .map(|n| failed_from(&world, start + secs(n)))
        .collect();
    assert!(failed[1] <= at_first, "{failed:?}");
    assert!(failed[2].max(failed[3]) <= later, "{failed:?}");
    assert!(failed[4..].iter().all(|f| *f == 0.0), "{failed:?}");
    // Once they are well again, they work as the others do.
    let by_one: Vec<_> = world.servers.iter().map(|s| s.openings.iter()).collect();
    let last = |n: usize| {
        let openings = by_one[n].clone();
        openings.filter(|at| **at >= start + secs(8)).count()
    };
    let mean = (0..25).map(last).sum::<usize>() / 25;
    assert!(
        (0..servers).all(|n| last(n) * 2 >= mean),
        "{mean} on the mean, {:?}",
        (0..25).map(last).collect::<Vec<_>>()
    );
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// Under little load every node finds an idle server in its own zone. Servers that are well again get their trials
/// all the same.
#[rstest]
fn servers_are_trusted_again_under_little_load(#[values(1, 2)] seed: u64) {
    let mut world = World::new(seed, 25, 0, 4);
    let secs = Duration::from_secs;
    for n in 0..3 {
        world.at(secs(1), Change::FailRequests(n, 1000, Failure::Error));
        world.at(secs(3), Change::FailRequests(n, 0, Failure::Error));
    }
    world.calls(secs(9), 0.1 * CAPACITY, ORDERS_ADDRESS);
    world.run_for(secs(3));
    let suspended = |world: &World| {
        let reports = (0..3).filter_map(|n| world.agent(n).report(world.now));
        reports.filter(|r| r.responses.is_suspended).count()
    };
    assert_eq!(suspended(&world), 3);
    world.run_for(secs(6));
    assert_eq!(suspended(&world), 0);
}

/// Where all servers of a service fail, callers go on to be answered by them.
#[rstest]
fn a_service_is_never_emptied(#[values(1, 2)] seed: u64) {
    let mut world = World::new(seed, 7, 0, 2);
    let secs = Duration::from_secs;
    for n in 0..7 {
        world.at(secs(1), Change::FailRequests(n, 700, Failure::Error));
    }
    world.calls(secs(4), 300.0, ORDERS_ADDRESS);
    world.run_for(secs(6));
    let outcomes = world.outcomes();
    assert_eq!(outcomes.get(&Some(Outcome::Refused)), None, "{outcomes:?}");
    assert_eq!(outcomes.get(&Some(Outcome::GaveUp)), None, "{outcomes:?}");
}
