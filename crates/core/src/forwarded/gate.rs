//! Whether a backend server gets an opening packet: the agent's last word.
//!
//! A balancer may be stale in every respect; the agent knows its server and the configuration at
//! first hand, and every packet to the server passes it. So each rule about what a server may get is
//! kept here.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::decision::Reason;
use super::packet::FlowKey;
use super::placement;
use super::server::{Server, Unavailability};
use super::service_map::{RequestRate, ServiceMap};

/// Requests for each slot up to which a server takes all that comes: one that is worked on, and one
/// that is there when it ends or on its way.
const EASY_PER_SLOT: u32 = 2;
/// Requests for each slot above which nothing more is given to a server. More would only wait in the
/// order of its queue.
const MOST_PER_SLOT: u32 = 3;
/// Late requests on their way to a server whose slots are all taken: opening a flow takes about half as long
/// as a request.
const LATE_AHEAD: u32 = 1;
/// Time that an answer takes beside that at the server: opening the flow, the way there and back, and
/// what work differs from its mean.
const BESIDE_SERVER: Duration = Duration::from_millis(40);
/// Share of the stated rate that a cold server gets; the rest is left for packets on their way.
const COLD_SHARE: f64 = 0.9;
/// Span over which the rate of a cold server is counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// How full a server is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Capacity {
    /// It takes more.
    Room,
    /// It gets nothing more.
    Most,
}

/// How full a server is that has `busy` requests, each of which takes `work`, for a request whose answer
/// is in time within `target`. A server that is slow, for instance cold, gets fewer: what it cannot
/// finish in time waits at the agent, where newer requests may pass it.
pub fn capacity(work: Duration, busy: u32, slots: u32, target: Duration) -> Capacity {
    let slots = slots.max(1);
    let is_late = placement::completion(work, busy, slots) + BESIDE_SERVER > target;
    if busy >= slots * MOST_PER_SLOT || (busy >= slots * EASY_PER_SLOT && is_late) {
        Capacity::Most
    } else {
        Capacity::Room
    }
}

/// Whether a server with `busy` requests has nothing to do soon. Only then it gets one whose answer comes
/// too late anyway: under lasting overload one that can be in time arrives within milliseconds.
pub fn would_idle(busy: u32, slots: u32) -> bool {
    busy < slots.max(1) + LATE_AHEAD
}

/// Why `flow` must not go to `server` at all; load aside.
pub fn rejection_reason(
    now: Instant,
    map: &ServiceMap,
    server: &Server,
    flow: FlowKey,
) -> Option<Reason> {
    if map.table.is_none() {
        return Some(Reason::NoMap);
    }
    let Some(statement) = server.statement() else {
        return Some(Reason::NoServer);
    };
    let route = map.route(flow.service);
    if !route.is_some_and(|r| r.allows(&statement.service)) {
        return Some(Reason::OtherService);
    }
    if !map.is_zone_enabled(&statement.zone) {
        return Some(Reason::ZoneOut);
    }
    match server.unavailability(now) {
        Some(Unavailability::Stopped) => Some(Reason::NoServer),
        Some(Unavailability::Draining) => Some(Reason::Draining),
        Some(Unavailability::Silent) => Some(Reason::Silent),
        None => None,
    }
}

/// Bounds the opening packets that a cold server gets.
#[derive(Debug, Default)]
pub struct ColdBudget {
    taken: VecDeque<Instant>,
}

impl ColdBudget {
    /// Takes one opening packet out of the budget; false if there is none left.
    pub fn take(&mut self, now: Instant, rate: RequestRate) -> bool {
        while self
            .taken
            .front()
            .is_some_and(|at| now >= *at + COLD_WINDOW)
        {
            self.taken.pop_front();
        }
        // A server that bears less than one request a second still gets one at a time.
        let most = (rate.get() * COLD_SHARE).max(1.0);
        #[expect(clippy::cast_precision_loss, reason = "the budget is far below 2^52")]
        let left = (self.taken.len() as f64) + 1.0 <= most;
        if left {
            self.taken.push_back(now);
        }
        left
    }
}
