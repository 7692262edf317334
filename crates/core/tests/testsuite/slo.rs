//! Counts per minute, windows, burn rates and imbalance.

use std::time::Duration;

use dogwoodrill_core::config::PerMille;
use dogwoodrill_core::slo::{
    Minute, MinuteRing, RING_BYTES, RING_MINUTES, RequestEnd, WINDOW_PAIRS, WindowCounts, imbalance,
};
use dogwoodrill_core::time::UnixMillis;
use insta::assert_debug_snapshot;
use rstest::rstest;

const OBJECTIVE: Duration = Duration::from_secs(1);
const START_MINUTE: u64 = 29_000_000;

/// The time that is `minutes` and `millis` after the start of the ring.
fn at(minutes: u64, millis: u64) -> UnixMillis {
    UnixMillis::new((START_MINUTE + minutes) * 60_000 + millis)
}

fn answered(millis: u64) -> RequestEnd {
    RequestEnd::Answered(Duration::from_millis(millis))
}

fn known(ring: &MinuteRing) -> Vec<u64> {
    let minutes = ring.since(Minute::new(0));
    minutes.map(|(m, _)| m.get() - START_MINUTE).collect()
}

#[rstest]
#[case::in_time(answered(1_000), 1, 0)]
#[case::late(answered(1_001), 0, 1)]
#[case::failed(RequestEnd::Failed, 0, 1)]
#[case::cancelled(RequestEnd::Cancelled, 0, 0)]
fn a_request_is_good_or_bad_or_not_counted(
    #[case] end: RequestEnd,
    #[case] good: u32,
    #[case] bad: u32,
) {
    let mut ring = MinuteRing::new(at(0, 0));
    ring.on_request(at(0, 5), end, Duration::from_millis(30), OBJECTIVE);
    let (_, counts) = ring.since(Minute::new(0)).next().unwrap();
    assert_eq!(
        (counts.good, counts.bad, counts.busy_millis),
        (good, bad, 30)
    );
}

#[test]
fn events_are_counted_in_their_minute() {
    let mut ring = MinuteRing::new(at(0, 59_999));
    ring.on_flow_opened(at(0, 59_999));
    ring.on_flow_opened(at(1, 0));
    ring.on_flow_broken(at(1, 1));
    ring.on_tick(at(2, 0), true);
    ring.on_tick(at(2, 10_000), false);
    let minutes: Vec<_> = ring.since(Minute::new(START_MINUTE)).collect();
    let counts: Vec<_> = minutes
        .iter()
        .map(|(_, c)| (c.flows_opened, c.flows_broken, c.zone_out))
        .collect();
    assert_debug_snapshot!(counts, @"
    [
        (
            1,
            0,
            0,
        ),
        (
            1,
            1,
            0,
        ),
        (
            0,
            0,
            1,
        ),
    ]
    ");
}

#[rstest]
#[case::quiet_minutes_are_known(&[0, 1, 2, 3], &[0, 1, 2, 3])]
#[case::suspended_minutes_are_not(&[0, 1, 5, 6], &[0, 1, 5, 6])]
#[case::clock_set_back(&[0, 1, 2, 1, 0, 3], &[0, 1, 2, 3])]
fn a_minute_without_a_tick_is_unknown(#[case] ticks: &[u64], #[case] expected: &[u64]) {
    let mut ring = MinuteRing::new(at(ticks[0], 0));
    for minute in ticks {
        ring.on_tick(at(*minute, 0), false);
    }
    assert_eq!(known(&ring), expected);
}

#[rstest]
#[case::by_minutes(1)]
#[case::by_a_jump(5_000)]
#[case::by_a_jump_beyond_any_window(u64::from(u32::MAX))]
fn a_ring_keeps_three_days_at_most(#[case] step: u64) {
    let mut ring = MinuteRing::new(at(0, 0));
    let mut last = 0;
    for _ in 0..10_000 {
        last += step;
        ring.on_tick(at(last, 0), false);
    }
    let known = known(&ring);
    assert!(known.len() <= RING_MINUTES, "{}", known.len());
    assert_eq!(known.last(), Some(&last));
    assert!(known[0] + RING_MINUTES as u64 > last);
    const { assert!(RING_BYTES < 128 * 1024) };
}

#[rstest]
#[case::whole(10, 5, 5, 5)]
#[case::started_within(3, 60, 3, 3)]
#[case::the_running_minute_is_left_out(0, 5, 0, 0)]
fn a_window_counts_its_known_minutes(
    #[case] lived: u64,
    #[case] minutes: u32,
    #[case] known: u32,
    #[case] good: u64,
) {
    let mut ring = MinuteRing::new(at(0, 0));
    for minute in 0..=lived {
        ring.on_request(at(minute, 0), answered(1), Duration::ZERO, OBJECTIVE);
    }
    let window = ring.window(at(lived, 30_000), minutes);
    assert_eq!((window.known_minutes, window.good), (known, good));
}

#[rstest]
#[case::no_requests(0, 0, None)]
#[case::no_bad(1_000, 0, Some(0.0))]
#[case::on_budget(999, 1, Some(1.0))]
#[case::ten_times(990, 10, Some(10.0))]
#[case::all_bad(0, 7, Some(1_000.0))]
fn the_burn_rate_is_the_share_of_bad_over_the_allowed(
    #[case] good: u64,
    #[case] bad: u64,
    #[case] expected: Option<f64>,
) {
    let window = WindowCounts {
        good,
        bad,
        ..WindowCounts::default()
    };
    let rate = window.burn_rate(PerMille::new(999));
    let close = match (rate, expected) {
        (Some(a), Some(b)) => (a - b).abs() < 1e-9,
        (a, b) => a == b,
    };
    assert!(close, "{rate:?} is not {expected:?}");
}

#[rstest]
#[case::both(Some(20.0), Some(20.0), true)]
#[case::already_ended(Some(20.0), Some(1.0), false)]
#[case::just_begun(Some(2.0), Some(20.0), false)]
#[case::unknown(Some(20.0), None, false)]
fn an_alert_needs_both_windows(
    #[case] long: Option<f64>,
    #[case] short: Option<f64>,
    #[case] expected: bool,
) {
    assert_eq!(WINDOW_PAIRS[0].is_burning(long, short), expected);
}

#[rstest]
#[case::none(&[], None)]
#[case::idle(&[0, 0], None)]
#[case::even(&[5, 5, 5], Some(1.0))]
#[case::one_does_all(&[0, 9, 0], Some(3.0))]
fn imbalance_is_the_largest_over_the_mean(#[case] loads: &[u64], #[case] expected: Option<f64>) {
    assert_eq!(imbalance(loads), expected);
}
