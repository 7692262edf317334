//! Placement: the server that a new flow goes to.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::placement::{self, LoadEstimator, ProbePolicy};
use dogwoodrill_core::forwarded::report::{ReceivedReport, ResponseStats, ServerReport};
use dogwoodrill_core::forwarded::service_map::{Route, Target, Weight};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use super::world::TERMS;

fn received_report(busy: u32, zone: &str, is_cold: bool) -> ReceivedReport {
    ReceivedReport {
        report: ServerReport {
            service: "orders".into(),
            zone: zone.parse().unwrap(),
            is_accepting: true,
            is_cold,
            busy,
            work: None,
            waiting: 0,
            stalled: 0,
            flows: 0,
            flow_request_rate: None,
            slots: 2,
            responses: ResponseStats::default(),
        },
        received_at: Instant::now(),
        sent_since: 0,
        offered_since: 0,
    }
}

/// Guards against a report with numbers out of range, which wrapped around in the comparison of servers.
#[test]
fn a_report_with_extreme_numbers_neither_panics_nor_wins() {
    let mut extreme = received_report(u32::MAX, "north", false);
    extreme.report.flows = u32::MAX;
    extreme.report.work = Some(Duration::from_micros(u32::MAX.into()));
    extreme.sent_since = u32::MAX;
    for slots in [0, 1, u32::MAX] {
        extreme.report.slots = slots;
        assert_eq!(
            chosen(&[extreme.clone(), received_report(1, "north", false)]),
            1
        );
    }
}

fn slow(ms: u64, mut received_report: ReceivedReport) -> ReceivedReport {
    received_report.report.work = Some(Duration::from_millis(ms));
    received_report
}

fn suspended(mut received_report: ReceivedReport) -> ReceivedReport {
    received_report.report.responses.is_suspended = true;
    received_report
}

fn chosen(servers: &[ReceivedReport]) -> usize {
    let mut rng = StdRng::seed_from_u64(1);
    let open = servers.iter().zip(0..);
    let open = open.map(|(received_report, n)| (Ipv4Addr::new(10, 0, 0, n), received_report));
    let own = "north".parse().unwrap();
    let load = LoadEstimator::new(servers[0].received_at, 1);
    let policy = ProbePolicy::OnlyIfAllSuspended;
    let chosen = placement::choose_agent(&mut rng, load, open, &own, policy).unwrap();
    chosen.agent.octets()[3].into()
}

#[rstest]
#[case::less_busy([received_report(3, "north", false), received_report(1, "north", false)], 1)]
#[case::own_zone([received_report(1, "south", false), received_report(1, "north", false)], 1)]
#[case::own_zone_much_fuller([received_report(1, "south", false), received_report(2, "north", false)], 0)]
#[case::faster([slow(75, received_report(0, "north", false)), received_report(5, "north", false)], 1)]
#[case::much_fuller([slow(75, received_report(0, "north", false)), received_report(9, "north", false)], 0)]
#[case::warm([received_report(2, "north", true), received_report(2, "north", false)], 1)]
fn the_candidate_with_the_earlier_completion_is_chosen(
    #[case] servers: [ReceivedReport; 2],
    #[case] expected: usize,
) {
    assert_eq!(chosen(&servers), expected);
}

/// Two of three servers are drawn. Without the precedence of the own zone, the third case would choose the
/// second server.
#[rstest]
#[case::idle_slot([received_report(1, "north", false), received_report(0, "south", false), received_report(0, "south", false)], "north")]
#[case::slower_but_idle([slow(40, received_report(0, "north", false)), slow(10, received_report(0, "south", false)), slow(10, received_report(0, "south", false))], "north")]
#[case::none_idle([received_report(2, "north", false), received_report(0, "south", false), received_report(0, "south", false)], "south")]
#[case::suspended([suspended(received_report(0, "north", false)), received_report(1, "south", false), received_report(1, "south", false)], "south")]
fn the_own_zone_is_preferred_while_it_has_an_idle_slot(
    #[case] servers: [ReceivedReport; 3],
    #[case] expected: &str,
) {
    assert_eq!(servers[chosen(&servers)].report.zone.to_string(), expected);
}

#[test]
fn flows_sent_since_a_report_count() {
    let mut servers = [
        received_report(0, "north", false),
        received_report(1, "north", false),
    ];
    assert_eq!(chosen(&servers), 0);
    servers[0].sent_since = 2;
    assert_eq!(chosen(&servers), 1);
}

#[test]
fn shares_follow_the_weights() {
    let target = |service: &str, weight| Target {
        service: service.into(),
        weight: Weight::new(weight),
    };
    let route = Route {
        targets: vec![target("a", 90), target("b", 10), target("c", 0)],
        policy: TERMS,
    };
    let mut counts = BTreeMap::new();
    for draw in 0..1000 {
        *counts
            .entry(route.pick(draw).unwrap().to_string())
            .or_insert(0) += 1;
    }
    assert_eq!(
        counts,
        BTreeMap::from([("a".to_owned(), 900), ("b".to_owned(), 100)])
    );
    assert!(!route.allows(&"c".into()));
    let nothing = Route {
        targets: vec![target("c", 0)],
        policy: TERMS,
    };
    assert_eq!(nothing.pick(7), None);
}

/// A report of a server with two slots that takes `work_ms` for a request.
fn loaded(busy: u32, work_ms: u64) -> ReceivedReport {
    slow(work_ms, received_report(busy, "north", false))
}

fn with_sent(sent_since: u32, received: ReceivedReport) -> ReceivedReport {
    ReceivedReport {
        sent_since,
        ..received
    }
}

fn with_stalled(stalled: u32, mut received: ReceivedReport) -> ReceivedReport {
    received.report.stalled = stalled;
    received
}

/// `rate` is in requests a second on 1,000 flows.
fn with_flows(flows: u32, rate: u32, mut received: ReceivedReport) -> ReceivedReport {
    received.report.flows = flows;
    received.report.flow_request_rate = Some(rate.into());
    received
}

fn with_slots(slots: u32, mut received: ReceivedReport) -> ReceivedReport {
    received.report.slots = slots;
    received
}

fn estimator(received: &ReceivedReport, age_ms: u64, placing_nodes: u32) -> LoadEstimator {
    let age = Duration::from_millis(age_ms);
    LoadEstimator::new(received.received_at + age, placing_nodes)
}

/// Guards against servers that are overloaded in turn, because nodes take a stale report for the present load or
/// neglect what the others send. The server completes `slots / service time` requests a second.
#[rstest]
#[case::fresh(loaded(4, 30), 0, 20, 4)]
#[case::within_a_service_time(loaded(4, 30), 14, 20, 4)]
#[case::one_completed(loaded(4, 30), 15, 20, 3)]
#[case::each_slot_completed_one(loaded(4, 30), 30, 20, 2)]
#[case::median_age(loaded(5, 30), 85, 20, 0)]
#[case::lost_report(loaded(5, 30), 1000, 20, 0)]
#[case::slow_server(loaded(5, 300), 85, 20, 5)]
#[case::more_slots(with_slots(8, loaded(12, 30)), 30, 1, 4)]
#[case::sent_by_one_node(with_sent(3, loaded(1, 30)), 0, 1, 4)]
#[case::sent_by_all(with_sent(1, loaded(1, 30)), 0, 20, 21)]
#[case::sent_after_a_lost_report(with_sent(2, loaded(5, 30)), 1000, 3, 6)]
#[case::unknown_service_time(received_report(4, "north", false), 85, 20, 4)]
#[case::all_slots_stalled(with_stalled(2, loaded(5, 30)), 1000, 20, 5)]
#[case::one_slot_stalled(with_stalled(1, loaded(5, 30)), 60, 20, 3)]
#[case::stalled_remain(with_stalled(1, loaded(5, 30)), 1000, 20, 1)]
fn requests_are_expected_from_report_age_and_openings(
    #[case] received: ReceivedReport,
    #[case] age_ms: u64,
    #[case] placing_nodes: u32,
    #[case] expected: u32,
) {
    let load = estimator(&received, age_ms, placing_nodes);
    assert_eq!(load.busy(&received), expected);
}

/// Guards against an overflow or a division by zero, and against numbers out of range that make a server look idle.
#[rstest]
#[case::most_requests(with_sent(u32::MAX, loaded(u32::MAX, 30)), u32::MAX, u32::MAX)]
#[case::more_stalled_than_requests(with_stalled(u32::MAX, loaded(3, 30)), 20, 3)]
#[case::more_stalled_than_slots(with_stalled(u32::MAX, loaded(u32::MAX, 30)), 20, u32::MAX)]
#[case::no_slots_and_stalled(with_slots(0, with_stalled(1, loaded(3, 30))), 20, 3)]
#[case::no_slots(with_slots(0, loaded(u32::MAX, 1000)), 20, u32::MAX - 1)]
#[case::no_work(loaded(u32::MAX, 0), 20, u32::MAX - 2_000_000)]
#[case::most_slots(with_slots(u32::MAX, loaded(7, 0)), 20, 0)]
fn extreme_reports_neither_overflow_nor_look_idle(
    #[case] received: ReceivedReport,
    #[case] placing_nodes: u32,
    #[case] expected: u32,
) {
    let load = estimator(&received, 1000, placing_nodes);
    assert_eq!(load.busy(&received), expected);
    let work = received.report.work.unwrap();
    assert!(load.completion(&received) >= work);
}

/// Guards against a report from the future, as after a correction of the time, that counts as very old.
#[test]
fn a_report_received_after_the_present_time_counts_as_fresh() {
    let received = loaded(4, 30);
    let earlier = received.received_at.checked_sub(Duration::from_secs(1));
    let load = LoadEstimator::new(earlier.unwrap(), 20);
    assert_eq!(load.busy(&received), 4);
}

/// Guards against open flows that count by their number instead of the requests that they bring. The capacity that
/// these take is not available to a new flow.
#[rstest]
#[case::no_flows(with_flows(0, 1000, loaded(0, 30)), 30)]
#[case::flows_without_requests(with_flows(1000, 0, loaded(0, 30)), 30)]
#[case::half_of_the_capacity(with_flows(40, 833, loaded(0, 30)), 60)]
#[case::half_and_queued(with_flows(40, 833, loaded(2, 30)), 120)]
#[case::few_busy_flows(with_flows(2, 16_667, loaded(0, 30)), 60)]
#[case::half_of_more_slots(with_slots(8, with_flows(160, 833, loaded(0, 30))), 60)]
fn a_flow_counts_by_the_requests_that_it_brings(
    #[case] received: ReceivedReport,
    #[case] expected_ms: u64,
) {
    let completion = estimator(&received, 0, 1).completion(&received);
    let expected = Duration::from_millis(expected_ms);
    assert!(
        completion.abs_diff(expected) < Duration::from_millis(1),
        "{completion:?}"
    );
}

/// Guards against an endless completion time, at which a server with many flows compares equal to a failed one and
/// its queue no longer counts.
#[test]
fn more_requests_on_flows_than_capacity_keep_the_order_of_servers() {
    let full = |busy| with_flows(u32::MAX, u32::MAX, loaded(busy, 30));
    let completion = |received: &ReceivedReport| estimator(received, 0, 1).completion(received);
    assert!(completion(&full(1)) < completion(&full(2)));
    assert!(completion(&full(2)) < Duration::from_hours(1));
}

/// Guards against a choice by the number of requests alone, which overloads slow servers. The service times are those
/// of a request of 13 ms at the speeds 1.2 and 0.55.
#[rstest]
#[case::both_idle([loaded(0, 24), loaded(0, 11)], 1)]
#[case::fast_with_both_slots_used([loaded(0, 24), loaded(2, 11)], 1)]
#[case::fast_with_a_queue([loaded(0, 24), loaded(4, 11)], 0)]
#[case::equal_number([loaded(3, 24), loaded(3, 11)], 1)]
#[case::fast_with_flows([loaded(0, 24), with_flows(100, 1200, loaded(0, 11))], 0)]
#[case::fast_but_stalled([with_stalled(2, loaded(6, 11)), loaded(1, 24)], 1)]
fn slow_and_fast_servers_are_compared_by_completion(
    #[case] servers: [ReceivedReport; 2],
    #[case] expected: usize,
) {
    assert_eq!(chosen(&servers), expected);
}
