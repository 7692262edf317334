//! Decides whether a backend server gets an opening packet.
//!
//! A balancer's view may be stale in every respect. The agent has the current state of its server and the
//! configuration, and every packet to the server passes it. So every rule on what a server may get is
//! enforced here.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::decision::Reason;
use super::packet::FlowKey;
use super::placement;
use super::server::{Server, Unavailability};
use super::service_map::{RequestRate, ServiceMap};

/// Requests per slot up to which a server always has capacity: one that is processed, and one that is queued
/// behind it or on its way.
pub(super) const UNCONDITIONAL_PER_SLOT: u32 = 2;
/// Requests per slot from which a server gets nothing more. Further requests would only wait in the server's
/// FIFO queue.
const MAX_PER_SLOT: u32 = 3;
/// Share of the configured rate that a cold server gets; the rest is reserved for packets already on their
/// way.
const COLD_SHARE: f64 = 0.9;
/// Window over which the rate of a cold server is counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Whether a server can take another request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Capacity {
    /// The server takes another request.
    Available,
    /// The server gets no further requests for now.
    Exhausted,
}

/// Returns the capacity of a server with `busy` requests and a service time of `work`, for a request whose response
/// meets its target latency if it is complete within `left`. A request that would be late waits at the agent, where more
/// urgent ones may overtake it, and not in the server's FIFO queue.
pub fn capacity(work: Duration, busy: u32, slots: u32, left: Duration) -> Capacity {
    let slots = slots.max(1);
    let is_late = placement::completion(work, busy, slots) > left;
    let has_queue = busy >= slots.saturating_mul(UNCONDITIONAL_PER_SLOT);
    if is_full(busy, slots) || (has_queue && is_late) {
        Capacity::Exhausted
    } else {
        Capacity::Available
    }
}

/// Whether a server with `busy` requests gets nothing more, whatever the request.
pub fn is_full(busy: u32, slots: u32) -> bool {
    busy >= slots.max(1).saturating_mul(MAX_PER_SLOT)
}

/// Returns why `flow` must not go to `server`, load aside; `None` if it may.
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

/// Limits the rate of opening packets to a cold server.
#[derive(Clone, Debug, Default)]
pub struct ColdBudget {
    taken: VecDeque<Instant>,
}

impl ColdBudget {
    /// Takes one opening packet out of the budget. Returns false if the budget is used up.
    pub fn take(&mut self, now: Instant, rate: RequestRate) -> bool {
        while self
            .taken
            .front()
            .is_some_and(|at| now >= *at + COLD_WINDOW)
        {
            self.taken.pop_front();
        }
        // A server that handles less than one request per second still gets one at a time.
        let most = (rate.get() * COLD_SHARE).max(1.0);
        #[expect(clippy::cast_precision_loss, reason = "the budget is far below 2^52")]
        let left = (self.taken.len() as f64) + 1.0 <= most;
        if left {
            self.taken.push_back(now);
        }
        left
    }
}
