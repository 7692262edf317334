//! The admission queue: its order, and how long packets may wait.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::packet::{Flags, Header, Purpose, Trail};
use dogwoodrill_core::forwarded::service_map::RequestPolicy;
use dogwoodrill_core::forwarded::waiting::{
    AdmissionQueue, OpeningTerms, QueuedOpening, ServerLoad,
};
use rstest::rstest;

use super::world::ORDERS_ADDRESS;

const MS: Duration = Duration::from_millis(1);

/// Requests that take 40 ms. One request at a server of two slots takes 20 ms of the time of those behind it.
const CUSTODY: RequestPolicy = RequestPolicy {
    target: Duration::from_millis(300),
    timeout: Duration::from_secs(1),
    priority: 1,
};

fn custody(priority: u32) -> RequestPolicy {
    RequestPolicy {
        priority,
        ..CUSTODY
    }
}

const fn within(target: u32, timeout: u32) -> RequestPolicy {
    RequestPolicy {
        target: Duration::from_millis(target as u64),
        timeout: Duration::from_millis(timeout as u64),
        priority: 1,
    }
}

fn load(now: Instant, busy: u32) -> ServerLoad {
    ServerLoad {
        now,
        work: 40 * MS,
        excess: Duration::ZERO,
        busy,
        slots: 2,
    }
}

fn opening(n: u16) -> Header {
    copy(n, 0)
}

/// A packet that is a copy of the caller's first one.
fn copy(n: u16, copy: u32) -> Header {
    Header {
        source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), n),
        target: ORDERS_ADDRESS,
        flags: Flags::SYN,
        seq: 0,
        ack: copy,
        len: 0,
        trail: Trail::from_balancer(Ipv4Addr::new(10, 2, 0, 1), Purpose::Placed),
    }
}

fn push(queue: &mut AdmissionQueue, now: Instant, header: &Header, policy: RequestPolicy) {
    let since = now.checked_sub(header.age()).unwrap();
    let terms = OpeningTerms::new(since, policy);
    queue.push(QueuedOpening::new(now, header, b"", terms));
}

/// Adds one packet for each entry of arrival in ms and policy; the ports count from 1.
fn queue_of(start: Instant, entries: &[(u32, RequestPolicy)]) -> AdmissionQueue {
    let mut queue = AdmissionQueue::default();
    for ((at, policy), n) in entries.iter().zip(1..) {
        push(&mut queue, start + *at * MS, &opening(n), *policy);
    }
    queue
}

fn ports(openings: &[QueuedOpening]) -> Vec<u16> {
    openings.iter().map(|w| w.header.source.port()).collect()
}

/// Removes and returns the packets whose response can no longer come in time.
fn take_unanswerable(queue: &mut AdmissionQueue, load: ServerLoad) -> Vec<QueuedOpening> {
    let flows = queue.review(load).unanswerable.into_iter();
    flows.filter_map(|flow| queue.remove(flow)).collect()
}

/// Removes and returns the packets whose response will not meet the target latency.
fn take_late(queue: &mut AdmissionQueue, load: ServerLoad) -> Vec<QueuedOpening> {
    let flows = queue.review(load).late.into_iter();
    flows.filter_map(|flow| queue.remove(flow)).collect()
}

fn order(queue: &AdmissionQueue, load: ServerLoad) -> Vec<u16> {
    let flows = queue.in_order(load).into_iter();
    flows.map(|f| f.caller.port()).collect()
}

#[rstest]
#[case::earlier_target_first(&[(150, CUSTODY), (140, CUSTODY)], &[2, 1])]
#[case::earlier_target_of_another_route(&[(140, CUSTODY), (150, within(200, 1000))], &[2, 1])]
#[case::urgent_first(&[(160, custody(0)), (170, CUSTODY)], &[1, 2])]
#[case::urgent_before_earlier(&[(150, CUSTODY), (170, custody(0))], &[2, 1])]
#[case::late_behind_those_on_target(&[(0, within(100, 1000)), (150, CUSTODY)], &[2, 1])]
#[case::late_ones_by_arrival(&[(20, within(100, 1000)), (0, within(150, 1000))], &[2, 1])]
#[case::urgent_though_late(&[(0, within(100, 1000)), (150, custody(2))], &[1, 2])]
fn packets_go_by_priority_and_target(
    #[case] entries: &[(u32, RequestPolicy)],
    #[case] expected: &[u16],
) {
    let start = Instant::now();
    let queue = queue_of(start, entries);
    assert_eq!(order(&queue, load(start + 200 * MS, 0)), expected);
}

/// Guards against a late packet that loses its response to later arrivals of the same priority: it goes behind those on
/// target only while its own response still comes in time behind them, with a request more on each slot.
#[rstest]
#[case::enough_time(600, &[2, 3, 4, 5, 1])]
#[case::time_for_few(379, &[1, 2, 3, 4, 5])]
fn a_late_packet_does_not_lose_its_response_to_later_ones(
    #[case] timeout: u32,
    #[case] expected: &[u16],
) {
    let start = Instant::now();
    let late = (0, within(100, timeout));
    let on_target = (190, within(300, 1000));
    let queue = queue_of(start, &[late, on_target, on_target, on_target, on_target]);
    assert_eq!(order(&queue, load(start + 200 * MS, 2)), expected);
}

/// After an outage, callers that have retransmitted for 200 and 600 ms arrive before and together with new ones.
#[test]
fn a_copy_is_as_old_as_its_first_packet() {
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    for (n, copy_number) in [(1, 0), (2, 1), (3, 2), (4, 1), (5, 0)] {
        let now = start + u32::from(n) * MS;
        push(&mut queue, now, &copy(n, copy_number), within(150, 1500));
    }
    let now = start + 10 * MS;
    assert_eq!(order(&queue, load(now, 0)), [1, 5, 3, 2, 4]);
}

/// The time that the caller has left, the requests before the packet and its own decide: behind 8 requests on two slots it starts
/// after 140 ms and is answered after 180 ms.
#[rstest]
#[case::answered_just_in_time(8, 0, 180, &[])]
#[case::answered_too_late(8, 0, 179, &[1])]
#[case::idle_server(0, 0, 1, &[])]
#[case::free_slot(1, 0, 40, &[])]
#[case::own_time_too_long(1, 0, 39, &[1])]
#[case::has_waited_but_can_be_answered(2, 899, 1000, &[])]
#[case::has_waited_too_long(2, 941, 1000, &[1])]
fn a_packet_waits_while_its_response_can_come_in_time(
    #[case] busy: u32,
    #[case] waited: u32,
    #[case] timeout: u32,
    #[case] expected: &[u16],
) {
    let start = Instant::now();
    let mut queue = queue_of(start, &[(0, within(timeout, timeout))]);
    let unanswerable = take_unanswerable(&mut queue, load(start + waited * MS, busy));
    assert_eq!(ports(&unanswerable), expected);
}

/// A caller gives up opening a flow 1.4 s after its first packet. The server gets the packet when fewer than two requests per slot are
/// left: of 14 requests that is after 220 ms.
#[rstest]
#[case::first_packet(0, 1180, &[])]
#[case::first_packet_too_late(0, 1181, &[1])]
#[case::second_copy(2, 580, &[])]
#[case::second_copy_too_late(2, 581, &[1])]
fn a_packet_waits_no_longer_than_its_caller(
    #[case] copy_number: u32,
    #[case] waited: u32,
    #[case] expected: &[u16],
) {
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    push(&mut queue, start, &copy(1, copy_number), within(8000, 8000));
    let unanswerable = take_unanswerable(&mut queue, load(start + waited * MS, 14));
    assert_eq!(ports(&unanswerable), expected);
}

/// Guards against a packet that waits for a response that the path makes too late. Opening the flow and the path take 30 ms.
#[rstest]
#[case::in_time(70, &[])]
#[case::too_late(69, &[1])]
fn the_path_takes_its_part_of_the_time(#[case] timeout: u32, #[case] expected: &[u16]) {
    let start = Instant::now();
    let mut queue = queue_of(start, &[(0, within(timeout, timeout))]);
    queue.record_round_trip(15 * MS);
    let unanswerable = take_unanswerable(&mut queue, load(start, 1));
    assert_eq!(ports(&unanswerable), expected);
}

/// Guards against a refusal on an assumed service time.
#[test]
fn nothing_is_refused_for_a_service_time_that_is_not_known() {
    let start = Instant::now();
    let mut queue = queue_of(start, &[(0, within(10, 10))]);
    let unknown = ServerLoad {
        work: Duration::ZERO,
        ..load(start + 9 * MS, 100)
    };
    assert_eq!(ports(&take_unanswerable(&mut queue, unknown)), []);
    let now = start + 11 * MS;
    let unknown = ServerLoad { now, ..unknown };
    assert_eq!(ports(&take_unanswerable(&mut queue, unknown)), [1]);
}

/// An arrival makes packets unanswerable only where it goes before them, and the last one first. Of the four that wait, none leaves
/// time for a further request before it.
#[rstest]
#[case::urgent(0, &[4])]
#[case::same_priority(1, &[5])]
#[case::less_urgent(2, &[5])]
fn an_arrival_displaces_the_last_in_rank_only(#[case] priority: u32, #[case] expected: &[u16]) {
    let start = Instant::now();
    let limited = |priority| RequestPolicy {
        priority,
        ..within(10, 279)
    };
    let entries = [1, 1, 1, 1].map(|priority| (u32::default(), limited(priority)));
    let mut queue = queue_of(start, &entries);
    let load = load(start, 9);
    assert!(take_unanswerable(&mut queue, load).is_empty());
    push(&mut queue, start, &opening(5), limited(priority));
    assert_eq!(ports(&take_unanswerable(&mut queue, load)), expected);
    assert_eq!(queue.len(), 4);
    assert!(take_unanswerable(&mut queue, load).is_empty());
}

/// Guards against packets that go on waiting when it turns out that the server is slower.
#[test]
fn a_slower_server_makes_packets_unanswerable() {
    let start = Instant::now();
    let mut queue = queue_of(start, &[(0, CUSTODY); 20]);
    assert!(take_unanswerable(&mut queue, load(start, 6)).is_empty());
    let slower = ServerLoad {
        work: 80 * MS,
        ..load(start, 6)
    };
    // The one behind 25 requests would start after 960 ms.
    assert_eq!(take_unanswerable(&mut queue, slower).len(), 1);
}

/// Guards against requests that are begun, and that take longer than the mean and longer than their callers wait.
#[rstest]
#[case::even(0, 940, &[])]
#[case::uneven(60, 880, &[])]
#[case::uneven_and_too_late(60, 881, &[1])]
fn the_deviation_of_service_times_counts(
    #[case] excess: u32,
    #[case] waited: u32,
    #[case] expected: &[u16],
) {
    let start = Instant::now();
    let mut queue = queue_of(start, &[(0, within(1000, 1000))]);
    let load = ServerLoad {
        excess: excess * MS,
        ..load(start + waited * MS, 2)
    };
    assert_eq!(ports(&take_unanswerable(&mut queue, load)), expected);
}

/// Guards against a packet that is offered to peers again and again because it is late here.
#[test]
fn a_late_packet_is_returned_once() {
    let start = Instant::now();
    let mut queue = queue_of(start, &[(0, CUSTODY), (1, within(20, 1000))]);
    let load = load(start + 2 * MS, 2);
    let late = take_late(&mut queue, load);
    assert_eq!(ports(&late), [2]);
    for w in late {
        queue.push_late(w);
    }
    assert!(take_late(&mut queue, load).is_empty());
    assert_eq!(order(&queue, load), [1, 2]);
}

/// The last in the order are removed, whoever arrived last.
#[rstest]
#[case::less_urgent_newcomer(2, 1000)]
#[case::urgent_newcomer(0, 256)]
fn queue_length_is_limited(#[case] priority: u32, #[case] last: u16) {
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    let policy = within(2_000_000, 2_000_000);
    for n in 1..=256 {
        push(&mut queue, start + u32::from(n) * MS, &opening(n), policy);
    }
    let load = load(start + 300 * MS, 2);
    assert!(queue.trim(load).is_empty());
    let newcomer = RequestPolicy { priority, ..policy };
    push(&mut queue, load.now, &opening(1000), newcomer);
    assert_eq!(ports(&queue.trim(load)), [last]);
    assert_eq!(queue.len(), 256);
}

/// Guards against a panic at the extreme values that a server or a route can have.
#[rstest]
#[case::no_slots(40 * MS, 2, 0)]
#[case::most_slots(40 * MS, 2, u32::MAX)]
#[case::no_work(Duration::ZERO, 2, 2)]
#[case::longest_work(Duration::from_micros(u32::MAX.into()), 2, 2)]
#[case::most_requests(40 * MS, u32::MAX, 1)]
fn extreme_loads_lose_no_opening(#[case] work: Duration, #[case] busy: u32, #[case] slots: u32) {
    let start = Instant::now();
    let load = ServerLoad {
        now: start + 4 * MS,
        work,
        excess: Duration::MAX,
        busy,
        slots,
    };
    let priorities = [0, 1, 1, u32::MAX];
    let mut queue = queue_of(start, &priorities.map(|p| (1, custody(p))));
    let mut all = Vec::new();
    for w in take_late(&mut queue, load) {
        queue.push_late(w);
    }
    all.extend(ports(&take_unanswerable(&mut queue, load)));
    while let Some(flow) = queue.next(load) {
        all.extend(queue.remove(flow).map(|w| w.header.source.port()));
    }
    all.sort_unstable();
    assert_eq!(all, [1, 2, 3, 4]);
}
