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
        flows: 0,
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

/// If queued requests counted as slow ones, or the time were divided by requests that are still on their way,
/// a full server would look slow or fast, and would repel or attract flows.
#[test]
fn only_requests_that_did_not_wait_are_measured() {
    let mut work = WorkTime::default();
    let ms = Duration::from_millis;
    work.record(ms(90), 3, 2);
    assert_eq!(work.measured(), None);
    work.record(ms(20), 2, 2);
    work.record(ms(10), 1, 2);
    work.record(ms(900), 6, 2);
    assert_eq!(work.measured(), Some(ms(19)));
}

/// Without peers, the default is 15 ms, and 1.6 times as long for a cold server.
#[rstest]
#[case::warm([report(40, WARM), report(45, WARM), report(90, WARM)], WARM, ms(45))]
#[case::cold_among_warm([report(40, WARM), report(45, WARM), report(90, WARM)], COLD, ms(72))]
#[case::cold_among_cold([report(40, WARM), report(80, COLD), report(84, COLD)], COLD, ms(80))]
#[case::warm_among_cold([report(80, COLD), report(80, COLD), report(80, COLD)], WARM, ms(50))]
#[case::repeated([report(40, WARM), unmeasured(90), unmeasured(90)], WARM, ms(40))]
#[case::warm_without_peers([unmeasured(90), unmeasured(90), unmeasured(90)], WARM, ms(15))]
#[case::cold_without_peers([unmeasured(90), unmeasured(90), unmeasured(90)], COLD, ms(24))]
fn an_unmeasured_server_takes_as_long_as_its_peers(
    #[case] reports: [ServerReport; 3],
    #[case] is_cold: bool,
    #[case] expected: Duration,
) {
    let mut work = WorkTime::default();
    work.set_peers(PeerWorkTimes::of(reports.iter()));
    assert_eq!(work.time(is_cold), expected);
    work.record(ms(30), 1, 2);
    assert_eq!(work.time(is_cold), ms(30), "the server's own measurement");
}
