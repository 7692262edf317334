//! Shares of a server's capacity, by priority of the requests that take it.

use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::capacity_shares::CapacityShares;
use rstest::rstest;

const WORK: Duration = Duration::from_millis(30);
const SLOTS: u32 = 2;

/// Records `count` requests in one second from `start` on.
fn record_second(shares: &mut CapacityShares, start: Instant, priority: u32, count: u32) {
    for n in 0..count {
        let now = start + Duration::from_secs(1) * n / count;
        shares.record(now, priority, WORK, SLOTS);
    }
}

/// Guards against a share that depends on the number of requests instead of the capacity that they take: openings
/// would be refused at a lightly loaded server, or accepted and served late. One request is the tolerance.
#[rstest]
#[case::light(20, 30, 2, 0.3)]
#[case::half(50, 30, 3, 0.5)]
#[case::one_slot(10, 40, 1, 0.4)]
#[case::many_slots(1000, 5, 64, 0.078)]
#[case::none(0, 30, 2, 0.0)]
fn a_steady_load_takes_its_share(
    #[case] per_second: u32,
    #[case] work_ms: u64,
    #[case] slots: u32,
    #[case] expected: f64,
) {
    let mut shares = CapacityShares::default();
    let start = Instant::now();
    let work = Duration::from_millis(work_ms);
    for n in 0..per_second * 6 {
        let now = start + Duration::from_secs(1) * n / per_second;
        shares.record(now, 0, work, slots);
    }
    let now = start + Duration::from_secs(6);
    let one_request = work.as_secs_f64() / f64::from(slots);
    let tolerance = one_request + 0.01;
    let urgent = shares.more_urgent(now, 1);
    assert!((urgent - expected).abs() <= tolerance, "{urgent}");
}

/// Guards against a request that counts against those of its own priority or of a more urgent one. Urgent requests
/// would be refused because of less urgent ones.
#[rstest]
#[case::most_urgent(0, 0.0)]
#[case::middle(1, 0.15)]
#[case::least_urgent(2, 0.45)]
#[case::below_all(u32::MAX, 0.75)]
fn only_more_urgent_requests_count(#[case] priority: u32, #[case] expected: f64) {
    let mut shares = CapacityShares::default();
    let now = Instant::now();
    for (recorded, count) in [(0, 10), (1, 20), (2, 20)] {
        for _ in 0..count {
            shares.record(now, recorded, WORK, SLOTS);
        }
    }
    let share = shares.more_urgent(now, priority);
    assert!((share - expected).abs() < 1e-9, "{share}");
}

/// Guards against a burst that is remembered for long: less urgent openings would be refused while the server has
/// capacity again. The share is that of the last second.
#[test]
fn a_burst_is_forgotten_within_seconds() {
    let mut shares = CapacityShares::default();
    let start = Instant::now();
    record_second(&mut shares, start, 0, 60);
    let end = start + Duration::from_secs(1);
    let after = |secs| shares.more_urgent(end + Duration::from_secs(secs), 1);
    assert!(after(0) > 0.5, "{}", after(0));
    assert!(after(1) < after(0) / 2.0, "{}", after(1));
    assert!(after(5) < 0.01, "{}", after(5));
}

/// Guards against the loss of one priority's share when a request of another is recorded.
#[test]
fn recording_one_priority_keeps_the_others() {
    let mut shares = CapacityShares::default();
    let start = Instant::now();
    record_second(&mut shares, start, 0, 20);
    let end = start + Duration::from_secs(1);
    let before = shares.more_urgent(end, 1);
    record_second(&mut shares, end, 5, 20);
    let later = end + Duration::from_secs(1);
    let urgent = shares.more_urgent(later, 1);
    let expected = before * (-1.0_f64).exp();
    assert!((urgent - expected).abs() < 0.001, "{urgent}");
}

/// Guards against a division by zero in the expected wait, and against a service whose less urgent openings are all
/// refused at an idle server: some capacity always counts as left.
#[rstest]
#[case::overload(1000, WORK, SLOTS)]
#[case::no_slots(10, WORK, 0)]
#[case::most_slots(10, WORK, u32::MAX)]
#[case::no_work(10, Duration::ZERO, SLOTS)]
#[case::endless_work(10, Duration::MAX, 1)]
fn shares_stay_in_range(#[case] count: u32, #[case] work: Duration, #[case] slots: u32) {
    let mut shares = CapacityShares::default();
    let now = Instant::now();
    for _ in 0..count {
        shares.record(now, 0, work, slots);
    }
    let urgent = shares.more_urgent(now, u32::MAX);
    assert!((0.0..1.0).contains(&urgent), "{urgent}");
}

/// Guards against a share that grows when a packet is processed with a slightly earlier time than the one before.
#[test]
fn an_earlier_time_does_not_raise_a_share() {
    let mut shares = CapacityShares::default();
    let now = Instant::now();
    let later = now + Duration::from_secs(10);
    shares.record(later, 0, WORK, SLOTS);
    let at_record = shares.more_urgent(later, 1);
    assert!(shares.more_urgent(now, 1) <= at_record);
}
