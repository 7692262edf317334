//! The admission queue: its order and its time limits.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::packet::{Flags, Header, Purpose, Trail};
use dogwoodrill_core::forwarded::service_map::RequestPolicy;
use dogwoodrill_core::forwarded::waiting::{AdmissionQueue, max_queue_time};
use rstest::rstest;

use super::world::{ORDERS_ADDRESS, TERMS};

const MS: Duration = Duration::from_millis(1);
const WORK: Duration = Duration::from_millis(15);

fn opening(n: u16) -> Header {
    Header {
        source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), n),
        target: ORDERS_ADDRESS,
        flags: Flags::SYN,
        seq: 0,
        ack: 0,
        len: 0,
        trail: Trail::from_balancer(Ipv4Addr::new(10, 2, 0, 1), Purpose::Placed),
    }
}

fn urgent() -> RequestPolicy {
    RequestPolicy {
        priority: 0,
        ..TERMS
    }
}

/// Adds a packet of a caller that was not refused before.
fn push(queue: &mut AdmissionQueue, now: Instant, header: &Header, policy: RequestPolicy) {
    let since = now - header.time_since_first_copy();
    queue.push(now, since, header, b"", policy);
}

/// Removes all packets in the order of the queue and returns their ports.
fn remove_all(queue: &mut AdmissionQueue, now: Instant) -> Vec<u16> {
    let remove = || {
        let next = queue.next(now, WORK)?;
        Some(queue.remove(next.flow)?.header.source.port())
    };
    std::iter::from_fn(remove).collect()
}

/// Adds one packet for each entry of age in ms and policy, and returns the order in which they leave the
/// queue.
fn removal_order(entries: &[(u32, RequestPolicy)]) -> Vec<u16> {
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    for ((at, policy), n) in entries.iter().zip(1..) {
        push(&mut queue, start + *at * MS, &opening(n), *policy);
    }
    let now = start + 200 * MS;
    remove_all(&mut queue, now)
}

#[rstest]
#[case::earlier_deadline_first(&[(150, TERMS), (140, TERMS)], &[2, 1])]
#[case::urgent_first(&[(160, urgent()), (170, TERMS)], &[1, 2])]
#[case::in_time_before_late(&[(0, TERMS), (150, TERMS)], &[2, 1])]
#[case::in_time_before_urgent_and_late(&[(0, urgent()), (150, TERMS)], &[2, 1])]
#[case::late_ones_alike(&[(0, TERMS), (20, TERMS), (10, urgent())], &[3, 2, 1])]
fn the_packet_with_the_most_remaining_benefit_is_next(
    #[case] entries: &[(u32, RequestPolicy)],
    #[case] expected: &[u16],
) {
    assert_eq!(removal_order(entries), expected);
}

fn copy(n: u16, copy: u32) -> Header {
    Header {
        ack: copy,
        ..opening(n)
    }
}

/// After an outage, callers that have retried for 200 and 600 ms arrive before and together with new ones.
/// Only the new ones can be answered on time.
#[test]
fn a_copy_is_as_old_as_its_first_packet() {
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    for (n, copy_number) in [(1, 0), (2, 1), (3, 2), (4, 1), (5, 0)] {
        let now = start + u32::from(n) * MS;
        push(&mut queue, now, &copy(n, copy_number), TERMS);
    }
    let now = start + 10 * MS;
    assert_eq!(remove_all(&mut queue, now), [1, 5, 4, 2, 3]);
}

/// A caller gives up opening a flow 1.4 s after its first packet, also if only its last copy arrived.
#[test]
fn a_copy_waits_no_longer_than_its_caller() {
    let policy = RequestPolicy {
        timeout: Duration::from_secs(8),
        ..TERMS
    };
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    push(&mut queue, start, &copy(1, 2), policy);
    assert!(queue.take_expired(start + 700 * MS).is_empty());
    assert_eq!(queue.take_expired(start + 800 * MS).len(), 1);
}

#[rstest]
#[case::short(500, 200)]
#[case::long(1500, 600)]
#[case::longest(8000, 1000)]
fn queue_time_is_limited(#[case] timeout: u64, #[case] expected: u64) {
    let policy = RequestPolicy {
        timeout: Duration::from_millis(timeout),
        ..TERMS
    };
    let longest = Duration::from_millis(expected);
    assert_eq!(max_queue_time(policy), longest);
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    push(&mut queue, start, &opening(1), policy);
    let almost = start + longest.saturating_sub(MS);
    assert!(queue.take_expired(almost).is_empty());
    assert_eq!(queue.take_expired(start + longest).len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn queue_length_is_limited() {
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    let mut removed = 0;
    for n in 0..1000_u16 {
        let now = start + u32::from(n) * MS;
        push(&mut queue, now, &opening(n), TERMS);
        removed += queue.trim(now, WORK, usize::MAX).len();
        assert!(queue.len() <= 256, "{} queued", queue.len());
    }
    assert_eq!(queue.len() + removed, 1000);
    assert!(queue.contains(opening(999).caller_flow()));
    assert!(!queue.contains(opening(0).caller_flow()));
}

/// The packets with the least remaining benefit are removed first, and no others.
#[rstest]
#[case::late_ones(&[(0, TERMS), (150, TERMS), (20, TERMS)], 1, &[1, 3])]
#[case::less_urgent_ones(&[(150, urgent()), (160, TERMS), (155, TERMS)], 1, &[2, 3])]
#[case::the_newcomer_itself(&[(150, urgent()), (160, urgent()), (170, TERMS)], 2, &[3])]
#[case::nobody(&[(0, TERMS), (150, TERMS)], 2, &[])]
fn trimming_removes_the_packets_with_the_least_remaining_benefit(
    #[case] entries: &[(u32, RequestPolicy)],
    #[case] most: usize,
    #[case] expected: &[u16],
) {
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    for ((at, policy), n) in entries.iter().zip(1..) {
        push(&mut queue, start + *at * MS, &opening(n), *policy);
    }
    let removed = queue.trim(start + 200 * MS, WORK, most);
    let removed: Vec<_> = removed.iter().map(|w| w.header.source.port()).collect();
    assert_eq!(removed, expected);
}
