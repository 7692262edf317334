//! Requests that open flows bring.

use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::flow_demand::FlowDemand;
use rstest::rstest;

const TICK: Duration = Duration::from_millis(20);

/// Advances the demand from `start` by `secs` seconds, in which `flows` flows without a request are open and
/// `requests_per_second` requests arrive on them. Returns the end.
fn run(
    demand: &mut FlowDemand,
    start: Instant,
    secs: u32,
    flows: u32,
    requests_per_second: u32,
) -> Instant {
    let mut requests = 0;
    for tick in 1..=secs * 50 {
        demand.on_tick(start + TICK * tick, flows);
        while requests < tick * requests_per_second / 50 {
            demand.on_request();
            requests += 1;
        }
    }
    start + Duration::from_secs(secs.into())
}

/// Returns the rate in requests a second on 1,000 flows.
fn permille(demand: &FlowDemand) -> Option<u32> {
    demand.rate().map(u32::from)
}

/// Guards against a rate that follows the number of flows: a server with many quiet flows would count as loaded, and
/// one with few busy flows as idle.
#[rstest]
#[case::one_a_second(40, 40, 1000)]
#[case::few_busy_flows(2, 100, 50_000)]
#[case::many_quiet_flows(200, 2, 10)]
#[case::no_further_requests(40, 0, 0)]
fn the_rate_is_that_of_one_flow(
    #[case] flows: u32,
    #[case] requests_per_second: u32,
    #[case] expected: u32,
) {
    let mut demand = FlowDemand::default();
    run(&mut demand, Instant::now(), 15, flows, requests_per_second);
    let rate = permille(&demand).unwrap();
    assert!(rate.abs_diff(expected) <= expected / 10, "{rate}");
}

/// Guards against a rate from too few observations: a single request on a flow just opened would count as thousands
/// a second.
#[rstest]
#[case::nothing_observed(0, 0, false)]
#[case::no_flows(1000, 0, false)]
#[case::one_flow_briefly(500, 1, false)]
#[case::one_flow(1500, 1, true)]
#[case::many_flows_briefly(100, 50, true)]
fn the_rate_is_unknown_before_flows_were_open_for_a_second(
    #[case] open_ms: u32,
    #[case] flows: u32,
    #[case] is_known: bool,
) {
    let start = Instant::now();
    let mut demand = FlowDemand::default();
    demand.on_tick(start, flows);
    for at_ms in (20..=open_ms).step_by(20) {
        demand.on_tick(start + Duration::from_millis(at_ms.into()), flows);
    }
    demand.on_request();
    assert_eq!(demand.rate().is_some(), is_known);
}

/// Guards against a rate that lags behind a change of the load. The load of a deployment swings within 15 s, after
/// which the error is at most a twentieth of a request a second.
#[rstest]
#[case::rises(40, 62)]
#[case::falls(62, 40)]
#[case::stops(40, 0)]
fn a_change_is_measured_within_fifteen_seconds(#[case] before: u32, #[case] after: u32) {
    let mut demand = FlowDemand::default();
    let changed_at = run(&mut demand, Instant::now(), 30, 40, before);
    run(&mut demand, changed_at, 15, 40, after);
    let rate = permille(&demand).unwrap();
    let expected = after * 1000 / 40;
    assert!(rate.abs_diff(expected) <= 50, "{rate}");
}

/// Guards against an infinite or stale rate after all flows have ended.
#[test]
fn the_rate_becomes_unknown_without_flows() {
    let mut demand = FlowDemand::default();
    let closed_at = run(&mut demand, Instant::now(), 5, 4, 4);
    assert!(demand.rate().is_some());
    run(&mut demand, closed_at, 30, 0, 0);
    assert_eq!(demand.rate(), None);
}

/// Guards against a panic or a wrong order of magnitude after a pause of the process, at a repeated or earlier time,
/// and at extreme numbers.
#[rstest]
#[case::pause(Duration::from_hours(1), 40)]
#[case::most_flows(Duration::from_secs(1), u32::MAX)]
#[case::long_pause_with_most_flows(Duration::from_hours(24 * 365), u32::MAX)]
fn extreme_intervals_are_harmless(#[case] pause: Duration, #[case] flows: u32) {
    let start = Instant::now();
    let mut demand = FlowDemand::default();
    demand.on_tick(start, flows);
    demand.on_request();
    demand.on_tick(start + pause, flows);
    demand.on_tick(start + pause, flows);
    demand.on_tick(start, flows);
    let rate = permille(&demand);
    assert!(rate.is_some_and(|rate| rate <= 1000), "{rate:?}");
}
