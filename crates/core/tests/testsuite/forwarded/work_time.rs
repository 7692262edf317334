//! Service time of a server, measured or taken from other servers of the service.

use std::time::Duration;

use dogwoodrill_core::forwarded::report::{ResponseStats, ServerReport};
use dogwoodrill_core::forwarded::work_time::{PeerWorkTimes, WorkTime};
use rstest::rstest;

const WARM: bool = false;
const COLD: bool = true;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn report(work_ms: u64, is_cold: bool) -> ServerReport {
    ServerReport {
        service: "orders".into(),
        zone: "north".parse().unwrap(),
        is_accepting: true,
        is_cold,
        busy: 0,
        work: Some(ms(work_ms)),
        waiting: 0,
        stalled: 0,
        flows: 0,
        flow_request_rate: None,
        slots: 2,
        responses: ResponseStats {
            mean_bytes: Some(800.into()),
            ..ResponseStats::default()
        },
    }
}

/// A report that repeats what its agent knows from others.
fn unmeasured(work_ms: u64) -> ServerReport {
    ServerReport {
        responses: ResponseStats::default(),
        ..report(work_ms, WARM)
    }
}

/// Guards against a mean that follows the last few requests, which vary: the servers whose last requests were short
/// would get the most flows.
#[test]
fn the_mean_covers_many_requests() {
    let mut work = WorkTime::default();
    assert_eq!(work.measured(), None);
    work.record(ms(20));
    work.record(ms(10));
    assert_eq!(work.measured(), Some(ms(15)));
    for n in 0..200 {
        work.record(ms(if n % 2 == 0 { 10 } else { 50 }));
    }
    let mean = work.measured().unwrap();
    assert!(mean > ms(28) && mean < ms(32), "{mean:?}");
}

/// Guards against a server that stays the favourite, or stays avoided, after its speed has changed. It must be
/// noticed within a second at 100 requests a second.
#[rstest]
#[case::slower(10, 50)]
#[case::faster(50, 10)]
fn a_change_of_speed_is_measured_within_a_second(#[case] before: u64, #[case] after: u64) {
    let mut work = WorkTime::default();
    for _ in 0..100 {
        work.record(ms(before));
    }
    for _ in 0..100 {
        work.record(ms(after));
    }
    let mean = work.measured().unwrap();
    assert!(mean.abs_diff(ms(after)) < ms(2), "{mean:?}");
}

/// Guards against an assumed service time: what no server of the service shows is not known. The ratio between cold and
/// warm servers is not known either, so servers of the other kind count where there are none of the same.
#[rstest]
#[case::warm([report(40, WARM), report(45, WARM), report(90, WARM)], WARM, Some(ms(45)))]
#[case::cold_among_warm([report(40, WARM), report(45, WARM), report(90, WARM)], COLD, Some(ms(45)))]
#[case::cold_among_cold([report(40, WARM), report(80, COLD), report(84, COLD)], COLD, Some(ms(80)))]
#[case::warm_among_cold([report(80, COLD), report(80, COLD), report(80, COLD)], WARM, Some(ms(80)))]
#[case::repeated([report(40, WARM), unmeasured(90), unmeasured(90)], WARM, Some(ms(40)))]
#[case::warm_without_peers([unmeasured(90), unmeasured(90), unmeasured(90)], WARM, None)]
#[case::cold_without_peers([unmeasured(90), unmeasured(90), unmeasured(90)], COLD, None)]
fn an_unmeasured_server_takes_as_long_as_its_peers(
    #[case] reports: [ServerReport; 3],
    #[case] is_cold: bool,
    #[case] expected: Option<Duration>,
) {
    let mut work = WorkTime::default();
    work.set_peers(PeerWorkTimes::of(reports.iter()));
    assert_eq!(work.expected(is_cold), expected);
    work.record(ms(30));
    let own = work.expected(is_cold);
    assert_eq!(own, Some(ms(30)), "the server's own measurement");
}
