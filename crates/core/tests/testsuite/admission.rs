//! P3: a backend server gets no more load than it can handle, whatever its endpoints report.

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

/// The admission control of a server whose cold start has ended, and the time.
fn warm() -> (Admission, Instant) {
    let start = Instant::now();
    let admission = Admission::new(start, SETTINGS);
    (admission, start + SETTINGS.cold_start)
}

fn start(a: &mut Admission, now: Instant) -> Ticket {
    match a.on_arrival(now, arrival(now, Priority::Interactive, LONG)) {
        Decision::Run(ticket) => ticket,
        other => panic!("the request did not run immediately: {other:?}"),
    }
}

fn refused(events: &[Event]) -> Vec<(Ticket, RefusalCause)> {
    let refused = events.iter().filter_map(|e| match e {
        Event::Refused(ticket, refusal) => Some((*ticket, refusal.cause)),
        Event::Run(_) => None,
    });
    refused.collect()
}

/// Runs requests one after the other, each with the given latency; returns the time at the end.
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
fn p3_limit_of_a_cold_server_rises_in_steps() {
    let start = Instant::now();
    let admission = Admission::new(start, SETTINGS);
    let limits = (0..=10).map(|s| admission.limit(start + Duration::from_secs(s)).to_string());
    assert_snapshot!(limits.collect::<Vec<_>>().join(" "), @"1 1 1 2 2 2 3 3 3 4 4");
}

/// Outdated or wrong replies of the health and load endpoints only lower the limit, until they expire.
#[rstest]
#[case::healthy_with_limit_above_the_slots(true, Some(100), 0, 4)]
#[case::healthy_with_lower_limit(true, Some(2), 0, 2)]
#[case::unhealthy_without_limit(false, None, 0, 1)]
#[case::unhealthy_with_high_limit(false, Some(100), 0, 1)]
#[case::healthy_with_limit_zero(true, Some(0), 0, 1)]
#[case::expired_report(true, Some(1), 10, 4)]
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
fn p3_a_healthy_report_does_not_end_a_cold_start() {
    let now = Instant::now();
    let mut admission = Admission::new(now, SETTINGS);
    let report = EndpointReport {
        is_healthy: true,
        limit: Some(100),
    };
    admission.on_report(now, report);
    assert_eq!(admission.limit(now), 1);
}

/// Checks the limit after the latency has changed at equal concurrency.
#[rstest]
#[case::tenfold(10, 3, 1)]
#[case::as_before(1, 30, 4)]
#[case::one_and_a_half_times(2, 3, 4)]
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
fn p3_a_higher_latency_is_the_baseline_after_a_cold_start() {
    let (mut admission, now) = warm();
    let now = serve(&mut admission, now, 20, USUAL);
    let now = serve(&mut admission, now, 40, USUAL * 10);
    assert_eq!(admission.limit(now + SETTINGS.cold_start), SETTINGS.slots);
}

/// If all servers are cold, they run the sum of their ramps together, and queue or refuse the rest.
#[test]
fn p3_cold_servers_together_run_the_sum_of_their_ramps() {
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
fn queued_requests_run_by_priority_and_then_by_deadline() {
    let (mut admission, now) = warm();
    let running: Vec<_> = (0..4).map(|_| start(&mut admission, now)).collect();
    let mut names = Vec::new();
    for (name, priority, seconds) in [
        ("sheet", Priority::Bulk, 5),
        ("check, late", Priority::Interactive, 30),
        ("check, soon", Priority::Interactive, 20),
        ("one too many", Priority::Bulk, 6),
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

/// A request whose response cannot come before its deadline is refused, on arrival or in the queue.
#[rstest]
#[case::passed(0, "Refused TooLate")]
#[case::before_it_could_run(40, "Refused TooLate")]
#[case::before_its_response_could_come(125, "Refused TooLate")]
#[case::just_in_time(126, "Wait, then refused")]
#[case::in_time(500, "Wait, then refused")]
fn a_request_that_cannot_run_in_time_is_refused(#[case] within: u64, #[case] expected: &str) {
    let (mut admission, now) = warm();
    let now = serve(&mut admission, now, 20, ms(100));
    for _ in 0..4 {
        start(&mut admission, now);
    }
    for _ in 0..2 {
        admission.on_arrival(now, arrival(now, Priority::Interactive, LONG));
    }
    let deadline = arrival(now, Priority::Interactive, ms(within));
    // Four requests run, and those in the queue have later deadlines: it would start after a quarter of 100 ms.
    let seen = match admission.on_arrival(now, deadline) {
        Decision::Refused(refusal) => format!("Refused {:?}", refusal.cause),
        Decision::Run(_) => "Run".to_owned(),
        Decision::Wait(ticket) => {
            let events = admission.on_tick(now + ms(within));
            assert_eq!(refused(&events), [(ticket, RefusalCause::TooLate)]);
            "Wait, then refused".to_owned()
        }
    };
    assert_eq!(seen, expected);
}

#[test]
fn a_withdrawn_request_leaves_the_queue_and_never_runs() {
    let (mut admission, now) = warm();
    let running: Vec<_> = (0..4).map(|_| start(&mut admission, now)).collect();
    let Decision::Wait(ticket) =
        admission.on_arrival(now, arrival(now, Priority::Interactive, LONG))
    else {
        panic!("the request was not queued");
    };
    assert!(admission.on_withdrawn(ticket));
    assert!(!admission.on_withdrawn(ticket));
    assert_eq!(admission.on_completed(now, running[0]), []);
    assert_eq!(admission.load(now).in_flight, 3);
}

/// A server with four running requests of 100 ms, and the time.
fn full() -> (Admission, Instant) {
    let (mut admission, now) = warm();
    let now = serve(&mut admission, now, 20, ms(100));
    for _ in 0..4 {
        start(&mut admission, now);
    }
    (admission, now)
}

fn wait(a: &mut Admission, now: Instant, priority: Priority, within: u64) -> Ticket {
    match a.on_arrival(now, arrival(now, priority, ms(within))) {
        Decision::Wait(ticket) => ticket,
        other => panic!("the request was not queued: {other:?}"),
    }
}

/// Guards against a request that goes on waiting although more urgent ones have made its response impossible: it was told at its
/// deadline.
#[test]
fn a_request_is_refused_when_more_urgent_ones_push_it_too_far_back() {
    let (mut admission, now) = full();
    let pushed = wait(&mut admission, now, Priority::Bulk, 160);
    assert_eq!(admission.on_tick(now), []);
    wait(&mut admission, now, Priority::Interactive, 1000);
    assert_eq!(admission.on_tick(now), []);
    wait(&mut admission, now, Priority::Interactive, 1000);
    let events = admission.on_tick(now);
    assert_eq!(refused(&events), [(pushed, RefusalCause::TooLate)]);
    assert_eq!(admission.load(now).queued, 2);
}

/// Guards against a full queue that refuses an urgent newcomer and keeps a less urgent request.
#[rstest]
#[case::less_urgent(Priority::Bulk, true)]
#[case::as_urgent_but_later(Priority::Interactive, true)]
fn a_full_queue_keeps_the_first_in_order(#[case] last: Priority, #[case] is_last_refused: bool) {
    let (mut admission, now) = full();
    let last = wait(&mut admission, now, last, 9000);
    wait(&mut admission, now, Priority::Interactive, 1000);
    wait(&mut admission, now, Priority::Interactive, 1000);
    wait(&mut admission, now, Priority::Interactive, 1000);
    let events = admission.on_tick(now);
    let expected = is_last_refused.then_some((last, RefusalCause::QueueFull));
    assert_eq!(refused(&events), Vec::from_iter(expected));
    let later = arrival(now, Priority::Interactive, ms(2000));
    let decision = admission.on_arrival(now, later);
    assert!(matches!(decision, Decision::Refused(r) if r.cause == RefusalCause::QueueFull));
}

/// The timer must run when a response becomes impossible, not at the deadline.
#[test]
fn a_request_is_refused_as_soon_as_its_response_cannot_come() {
    let (mut admission, now) = full();
    let ticket = wait(&mut admission, now, Priority::Interactive, 500);
    let at = admission.next_tick(now).unwrap();
    // It waits for a quarter of 100 ms and runs for 100 ms.
    assert_eq!(at - now, ms(375));
    assert_eq!(admission.on_tick(at.checked_sub(ms(1)).unwrap()), []);
    let events = admission.on_tick(at);
    assert_eq!(refused(&events), [(ticket, RefusalCause::TooLate)]);
}

/// Guards against a server that gets nothing more after slow requests, so that nothing shows that it is fast again.
#[test]
fn an_idle_server_gets_the_next_request_whatever_the_earlier_ones_took() {
    let (mut admission, now) = warm();
    let now = serve(&mut admission, now, 20, ms(100));
    let short = arrival(now, Priority::Interactive, ms(50));
    let decision = admission.on_arrival(now, short);
    assert!(matches!(decision, Decision::Run(_)));
    let decision = admission.on_arrival(now, short);
    assert!(matches!(decision, Decision::Refused(r) if r.cause == RefusalCause::TooLate));
}
