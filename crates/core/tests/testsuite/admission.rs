//! P3: a backend server gets no more than it can bear, whatever its endpoints say.

use std::time::{Duration, Instant};

use dogwoodrill_core::admission::report::EndpointReport;
use dogwoodrill_core::admission::{
    Admission, AdmissionSettings, Arrival, Decision, Event, RefusalCause, Ticket,
};
use dogwoodrill_core::config::Priority;
use insta::assert_snapshot;
use rstest::rstest;

const SETTINGS: AdmissionSettings = AdmissionSettings {
    slots: 4,
    queue_limit: 3,
    cold_start: Duration::from_secs(9),
};
const USUAL: Duration = Duration::from_millis(50);
const LONG: Duration = Duration::from_mins(1);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn arrival(now: Instant, priority: Priority, within: Duration) -> Arrival {
    Arrival {
        priority,
        deadline: now + within,
        may_wait: true,
    }
}

/// A server whose cold start is over; returns the time, too.
fn warm() -> (Admission, Instant) {
    let start = Instant::now();
    let admission = Admission::new(start, SETTINGS);
    (admission, start + SETTINGS.cold_start)
}

fn start(a: &mut Admission, now: Instant) -> Ticket {
    match a.on_arrival(now, arrival(now, Priority::Interactive, LONG)) {
        Decision::Run(ticket) => ticket,
        other => panic!("not run at once: {other:?}"),
    }
}

/// Runs requests one after the other, each taking `latency`; returns the time at the end.
fn serve(a: &mut Admission, mut now: Instant, requests: u32, latency: Duration) -> Instant {
    for _ in 0..requests {
        let ticket = start(a, now);
        now += latency;
        a.on_response_head(now, ticket);
        a.on_completed(now, ticket);
    }
    now
}

#[test]
fn p3_a_cold_server_is_brought_to_its_limit_step_by_step() {
    let start = Instant::now();
    let admission = Admission::new(start, SETTINGS);
    let limits = (0..=10).map(|s| admission.limit(start + Duration::from_secs(s)).to_string());
    assert_snapshot!(limits.collect::<Vec<_>>().join(" "), @"1 1 1 2 2 2 3 3 3 4 4");
}

/// Health and load endpoints that lag or lie only lower the limit, and not for long.
#[rstest]
#[case::well_and_more_than_announced(true, Some(100), 0, 4)]
#[case::well_and_less(true, Some(2), 0, 2)]
#[case::unwell_though_it_is_not(false, None, 0, 1)]
#[case::unwell_and_boasting(false, Some(100), 0, 1)]
#[case::says_none_at_all(true, Some(0), 0, 1)]
#[case::ten_seconds_old(true, Some(1), 10, 4)]
fn p3_endpoints_only_lower_the_limit(
    #[case] is_healthy: bool,
    #[case] limit: Option<u32>,
    #[case] age: u64,
    #[case] expected: u32,
) {
    let (mut admission, now) = warm();
    admission.on_report(now, EndpointReport { is_healthy, limit });
    assert_eq!(admission.limit(now + Duration::from_secs(age)), expected);
}

#[test]
fn p3_an_endpoint_that_says_well_does_not_lift_a_cold_start() {
    let now = Instant::now();
    let mut admission = Admission::new(now, SETTINGS);
    let report = EndpointReport {
        is_healthy: true,
        limit: Some(100),
    };
    admission.on_report(now, report);
    assert_eq!(admission.limit(now), 1);
}

/// The limit after the latency has changed at equal concurrency.
#[rstest]
#[case::tenfold(10, 3, 1)]
#[case::as_before(1, 30, 4)]
#[case::half_as_much_again(2, 3, 4)]
fn p3_a_sudden_rise_of_latency_means_a_cold_server(
    #[case] factor: u32,
    #[case] requests: u32,
    #[case] expected: u32,
) {
    let (mut admission, now) = warm();
    let now = serve(&mut admission, now, 20, USUAL);
    let latency = if factor == 2 {
        USUAL * 3 / 2
    } else {
        USUAL * factor
    };
    let now = serve(&mut admission, now, requests, latency);
    assert_eq!(admission.limit(now), expected);
}

#[test]
fn p3_a_new_normal_is_learnt_after_the_cold_start() {
    let (mut admission, now) = warm();
    let now = serve(&mut admission, now, 20, USUAL);
    let now = serve(&mut admission, now, 40, USUAL * 10);
    assert_eq!(admission.limit(now + SETTINGS.cold_start), SETTINGS.slots);
}

/// All servers cold at once: together they run the sum of their ramps, and refuse the rest.
#[test]
fn p3_all_cold_at_once_run_the_sum_of_their_ramps() {
    let now = Instant::now();
    let mut servers: Vec<_> = (0..7).map(|_| Admission::new(now, SETTINGS)).collect();
    let mut counts = [0_u32; 3];
    for n in 0..70 {
        let server = &mut servers[n % 7];
        let decision = server.on_arrival(now, arrival(now, Priority::Interactive, LONG));
        match decision {
            Decision::Run(_) => counts[0] += 1,
            Decision::Wait(_) => counts[1] += 1,
            Decision::Refused(refusal) => {
                assert_eq!(refusal.cause, RefusalCause::QueueFull);
                assert!(refusal.retry_at > now);
                counts[2] += 1;
            }
        }
    }
    assert_eq!(counts, [7, 21, 42]);
}

#[test]
fn waiting_requests_are_taken_by_priority_and_then_by_deadline() {
    let (mut admission, now) = warm();
    let running: Vec<_> = (0..4).map(|_| start(&mut admission, now)).collect();
    let mut names = Vec::new();
    for (name, priority, seconds) in [
        ("sheet", Priority::Bulk, 5),
        ("check, late", Priority::Interactive, 30),
        ("check, soon", Priority::Interactive, 20),
        ("one too many", Priority::Interactive, 1),
    ] {
        let arrival = arrival(now, priority, Duration::from_secs(seconds));
        match admission.on_arrival(now, arrival) {
            Decision::Wait(ticket) => names.push((ticket, name)),
            other => assert!(name == "one too many", "{name}: {other:?}"),
        }
    }
    let mut order = Vec::new();
    for ticket in running {
        for event in admission.on_completed(now, ticket) {
            let Event::Run(ticket) = event else {
                panic!("{event:?}")
            };
            order.push(names.iter().find(|(t, _)| *t == ticket).unwrap().1);
        }
    }
    assert_eq!(order, ["check, soon", "check, late", "sheet"]);
}

/// What becomes of a request whose deadline is near.
#[rstest]
#[case::passed(0, "Refused TooLate")]
#[case::before_its_turn(40, "Refused TooLate")]
#[case::in_time(500, "Wait, then expired")]
fn nothing_is_kept_waiting_that_cannot_run_in_time(#[case] within: u64, #[case] expected: &str) {
    let (mut admission, now) = warm();
    let now = serve(&mut admission, now, 20, ms(100));
    for _ in 0..4 {
        start(&mut admission, now);
    }
    for _ in 0..2 {
        admission.on_arrival(now, arrival(now, Priority::Interactive, LONG));
    }
    let deadline = arrival(now, Priority::Interactive, ms(within));
    // Two wait before it and four run, which takes about half of 100 ms.
    let seen = match admission.on_arrival(now, deadline) {
        Decision::Refused(refusal) => format!("Refused {:?}", refusal.cause),
        Decision::Run(_) => "Run".to_owned(),
        Decision::Wait(ticket) => {
            let events = admission.on_tick(now + ms(within));
            assert_eq!(events, [Event::Expired(ticket)]);
            "Wait, then expired".to_owned()
        }
    };
    assert_eq!(seen, expected);
}

#[test]
fn a_withdrawn_request_frees_its_place_and_never_gets_a_turn() {
    let (mut admission, now) = warm();
    let running: Vec<_> = (0..4).map(|_| start(&mut admission, now)).collect();
    let Decision::Wait(ticket) =
        admission.on_arrival(now, arrival(now, Priority::Interactive, LONG))
    else {
        panic!("it must wait");
    };
    assert!(admission.on_withdrawn(ticket));
    assert!(!admission.on_withdrawn(ticket));
    assert_eq!(admission.on_completed(now, running[0]), []);
    assert_eq!(admission.load(now).in_flight, 3);
}
