//! Servers that fail requests: which of them are suspended, and the effect on the fleet's callers.

use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::outlier::{OutlierDetector, ServiceBaseline};
use dogwoodrill_core::forwarded::report::{ResponseStats, ServerReport};
use rstest::rstest;

use super::world::{Change, Failure, ORDERS_ADDRESS, Outcome, Simulation};

const MS: Duration = Duration::from_millis(1);
/// Requests per second that 25 servers of two slots can process at 15 ms each.
const CAPACITY: f64 = 25.0 * 2.0 / 0.015;

fn report(work_ms: u64, bytes: u16, failed_permille: u16) -> ServerReport {
    ServerReport {
        service: "orders".into(),
        zone: "north".parse().unwrap(),
        is_accepting: true,
        is_cold: false,
        busy: 0,
        work: Some(Duration::from_millis(work_ms)),
        waiting: 0,
        stalled: 0,
        flows: 0,
        flow_request_rate: None,
        slots: 2,
        responses: ResponseStats {
            mean_bytes: Some(bytes.into()),
            failure_rate: failed_permille.into(),
            is_suspended: false,
        },
    }
}

/// Creates a detector whose baseline is responses of 800 bytes after 20 ms.
fn detector(now: Instant, failed_permille: u16) -> OutlierDetector {
    let peers = [
        report(20, 800, failed_permille),
        report(21, 810, failed_permille),
    ];
    let mut detector = OutlierDetector::default();
    detector.set_baseline(now, ServiceBaseline::of(peers.iter()));
    detector
}

/// The cases list responses by service time and bytes, and whether the server is suspended after the last.
#[rstest]
#[case::usual(&[(20, 800); 20], false)]
#[case::one_failure(&[(1, 150)], false)]
#[case::failures_in_a_row(&[(1, 150); 3], true)]
#[case::short_but_slow(&[(19, 150); 20], false)]
#[case::quick_but_long(&[(1, 800); 20], false)]
#[case::every_other(&[(1, 150), (20, 800), (1, 150), (20, 800), (1, 150), (20, 800), (1, 150), (20, 800), (1, 150)], true)]
fn quick_short_responses_suspend_a_server(#[case] answers: &[(u64, u16)], #[case] expected: bool) {
    let now = Instant::now();
    let mut detector = detector(now, 0);
    for (ms, bytes) in answers {
        detector.on_answer(now, Duration::from_millis(*ms), *bytes);
    }
    assert_eq!(detector.is_suspended(), expected);
}

#[test]
fn reset_flows_count_as_failures() {
    let now = Instant::now();
    let mut detector = detector(now, 0);
    for _ in 0..3 {
        detector.on_reset(now);
    }
    assert!(detector.is_suspended());
}

/// No server is an outlier if the others respond alike, or if no other has measurements.
#[rstest]
#[case::others_fail_too(Some(900))]
#[case::no_others(None)]
fn failures_at_the_baseline_do_not_suspend(#[case] others: Option<u16>) {
    let now = Instant::now();
    let mut detector = others.map_or_else(OutlierDetector::default, |f| detector(now, f));
    for _ in 0..50 {
        detector.on_answer(now, MS, 150);
        detector.on_reset(now);
    }
    assert!(!detector.is_suspended());
}

/// A suspended server gets a probe every 250 ms while it fails them, and recovers soon after it stops
/// failing. Thirty failures lead to a failure rate of 0.958, and thirteen results reduce it to less than a
/// quarter.
#[rstest]
#[case::failing(1, 150, 4)]
#[case::well_again(20, 800, 13)]
fn probes_show_whether_a_server_has_recovered(
    #[case] took_ms: u64,
    #[case] bytes: u16,
    #[case] expected: u32,
) {
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

/// The baseline is the median of measurements; servers without measurements don't count.
#[test]
fn the_baseline_is_the_median_of_measurements() {
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

/// Share of the calls of one second, from `from`, that fail.
fn failed_share(simulation: &Simulation, from: Instant) -> f64 {
    let until = from + Duration::from_secs(1);
    let calls = simulation.callers.values();
    let calls: Vec<_> = calls
        .filter(|c| (from..until).contains(&c.started_at))
        .collect();
    let is_failure = |o| matches!(o, Some(Outcome::Failed | Outcome::Reset));
    let failed = calls.iter().filter(|c| is_failure(c.outcome)).count();
    f64::from(u32::try_from(failed).unwrap()) / f64::from(u32::try_from(calls.len()).unwrap())
}

/// Servers begin to fail all at once in a fleet loaded to a half. The shares are the limits of failed calls
/// in the first second and in those after it.
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
    let mut simulation = Simulation::new(seed, 25, 0, 4);
    let start = simulation.now;
    let secs = Duration::from_secs;
    for n in 0..servers {
        simulation.at(secs(1), Change::FailRequests(n, permille, how));
        simulation.at(secs(4), Change::FailRequests(n, 0, how));
    }
    simulation.calls(secs(9), 0.5 * CAPACITY, ORDERS_ADDRESS);
    simulation.run_for(secs(12));
    let failed: Vec<_> = (0..9)
        .map(|n| failed_share(&simulation, start + secs(n)))
        .collect();
    assert!(failed[1] <= at_first, "{failed:?}");
    assert!(failed[2].max(failed[3]) <= later, "{failed:?}");
    assert!(failed[4..].iter().all(|f| *f == 0.0), "{failed:?}");
    // After their recovery they get as many flows as the other servers.
    let openings_by_server: Vec<_> = simulation
        .servers
        .iter()
        .map(|s| s.openings.iter())
        .collect();
    let openings_after_recovery = |n: usize| {
        let openings = openings_by_server[n].clone();
        openings.filter(|at| **at >= start + secs(8)).count()
    };
    let mean = (0..25).map(openings_after_recovery).sum::<usize>() / 25;
    assert!(
        (0..servers).all(|n| openings_after_recovery(n) * 2 >= mean),
        "mean {mean}, {:?}",
        (0..25).map(openings_after_recovery).collect::<Vec<_>>()
    );
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// Under little load every node finds an idle server in its own zone. Servers that have recovered must get
/// probes all the same.
#[rstest]
fn suspended_servers_recover_under_little_load(#[values(1, 2)] seed: u64) {
    let mut simulation = Simulation::new(seed, 25, 0, 4);
    let secs = Duration::from_secs;
    for n in 0..3 {
        simulation.at(secs(1), Change::FailRequests(n, 1000, Failure::Error));
        simulation.at(secs(3), Change::FailRequests(n, 0, Failure::Error));
    }
    simulation.calls(secs(9), 0.1 * CAPACITY, ORDERS_ADDRESS);
    simulation.run_for(secs(3));
    let suspended = |simulation: &Simulation| {
        let reports = (0..3).filter_map(|n| simulation.agent(n).report(simulation.now));
        reports.filter(|r| r.responses.is_suspended).count()
    };
    assert_eq!(suspended(&simulation), 3);
    simulation.run_for(secs(6));
    assert_eq!(suspended(&simulation), 0);
}

/// If all servers of a service fail, callers must still get responses from them.
#[rstest]
fn suspension_never_empties_a_service(#[values(1, 2)] seed: u64) {
    let mut simulation = Simulation::new(seed, 7, 0, 2);
    let secs = Duration::from_secs;
    for n in 0..7 {
        simulation.at(secs(1), Change::FailRequests(n, 700, Failure::Error));
    }
    simulation.calls(secs(4), 300.0, ORDERS_ADDRESS);
    simulation.run_for(secs(6));
    let outcomes = simulation.outcomes();
    assert_eq!(outcomes.get(&Some(Outcome::Refused)), None, "{outcomes:?}");
    assert_eq!(outcomes.get(&Some(Outcome::GaveUp)), None, "{outcomes:?}");
}
