//! Callers that return after a refusal.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::packet::FlowKey;
use dogwoodrill_core::forwarded::returning::{RefusedAttempt, RefusedAttempts};
use rstest::rstest;

use super::world::{ORDERS_ADDRESS, SHEETS_ADDRESS};

const MS: Duration = Duration::from_millis(1);
const TARGET: Duration = Duration::from_millis(250);

fn before(now: Instant, ms: u32) -> Instant {
    now.checked_sub(ms * MS).unwrap()
}

fn flow(host: u8, port: u16, service: SocketAddrV4) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, host), port),
        service,
    }
}

/// An attempt that was refused at `refused_at`, 300 ms after the caller's first packet.
fn refused(refused_at: Instant) -> RefusedAttempt {
    RefusedAttempt {
        flow: flow(1, 1000, ORDERS_ADDRESS),
        first_seen_at: before(refused_at, 300),
        refused_at,
    }
}

/// Guards against callers that look new on every attempt, and against other callers that are taken for a refused one.
#[rstest]
#[case::next_attempt(flow(1, 1001, ORDERS_ADDRESS), 5, true)]
#[case::at_the_end_of_the_window(flow(1, 1001, ORDERS_ADDRESS), 60, true)]
#[case::too_late(flow(1, 1001, ORDERS_ADDRESS), 61, false)]
#[case::other_host(flow(2, 1001, ORDERS_ADDRESS), 5, false)]
#[case::other_service(flow(1, 1001, SHEETS_ADDRESS), 5, false)]
#[case::copy_of_the_refused_packet(flow(1, 1000, ORDERS_ADDRESS), 5, false)]
fn a_refused_caller_is_recognised(
    #[case] next: FlowKey,
    #[case] after_ms: u32,
    #[case] is_recognised: bool,
) {
    let now = Instant::now();
    let mut attempts = RefusedAttempts::default();
    attempts.on_refused(refused(now), TARGET);
    let first_seen = attempts.take_first_seen(now + after_ms * MS, next);
    assert_eq!(first_seen, is_recognised.then(|| before(now, 300)));
}

/// Several users share a host: guards against one refusal that makes all of their next requests old.
#[test]
fn a_refusal_counts_for_one_attempt() {
    let now = Instant::now();
    let mut attempts = RefusedAttempts::default();
    attempts.on_refused(refused(now), TARGET);
    let first = attempts.take_first_seen(now, flow(1, 1001, ORDERS_ADDRESS));
    let second = attempts.take_first_seen(now, flow(1, 1002, ORDERS_ADDRESS));
    assert_eq!((first.is_some(), second), (true, None));
}

/// Guards against heartbeats that repeat what was learnt from others, and that grow without bound.
#[test]
fn only_own_recent_refusals_are_announced() {
    let now = Instant::now();
    let mut attempts = RefusedAttempts::default();
    assert!(attempts.on_announced(refused(now)));
    assert!(!attempts.on_announced(refused(now)), "told twice");
    for port in 2000..2100 {
        let other = RefusedAttempt {
            flow: flow(3, port, ORDERS_ADDRESS),
            ..refused(now)
        };
        attempts.on_refused(other, TARGET);
    }
    assert_eq!(attempts.announced(now).len(), 32);
    assert!(attempts.announced(now + 400 * MS).is_empty());
}

/// Guards against memory that grows with refusals, and against refusals in time that make a host's other users look late.
#[test]
fn refusals_are_bounded() {
    let now = Instant::now();
    let mut attempts = RefusedAttempts::default();
    let young = RefusedAttempt {
        first_seen_at: before(now, 62),
        ..refused(now)
    };
    attempts.on_refused(young, TARGET);
    let next = flow(1, 1001, ORDERS_ADDRESS);
    assert_eq!(attempts.take_first_seen(now, next), None);
    attempts.on_refused(refused(now), TARGET);
    for port in 2000..3000 {
        attempts.on_announced(RefusedAttempt {
            flow: flow(3, port, ORDERS_ADDRESS),
            ..refused(now)
        });
    }
    assert_eq!(attempts.take_first_seen(now, next), None, "not forgotten");
    attempts.expire(now + 1000 * MS);
    let late = flow(3, 9, ORDERS_ADDRESS);
    assert_eq!(attempts.take_first_seen(now, late), None);
}
