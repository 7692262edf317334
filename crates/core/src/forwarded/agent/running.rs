//! The requests that have reached the server, and when each has started.
//!
//! A server processes requests in the order of their arrival. So the agent knows when a queued request starts, and
//! can measure the service time of each, also while the server is never idle.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::forwarded::packet::FlowKey;

/// Multiple of the service time from which a request counts as stalled.
const STALLED_AFTER: u32 = 4;
/// Shortest time after which a request counts as stalled; the measured times include delays of the agent itself.
const MIN_STALLED_AFTER: Duration = Duration::from_millis(50);

/// Requests at the server in the order of their arrival; the first ones occupy its slots.
#[derive(Clone, Debug, Default)]
pub(super) struct RunningRequests {
    requests: VecDeque<RunningRequest>,
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    flow: FlowKey,
    started_at: Option<Instant>,
}

impl RunningRequests {
    /// Adds a request that has reached the server.
    pub(super) fn add(&mut self, now: Instant, flow: FlowKey, slots: u32) {
        let started_at = None;
        self.requests.push_back(RunningRequest { flow, started_at });
        self.start(now, slots);
    }

    /// Removes the request of a flow that the server has answered. Returns for how long it had a slot; `None` if that is
    /// not known.
    pub(super) fn complete(&mut self, now: Instant, flow: FlowKey, slots: u32) -> Option<Duration> {
        let at = self.requests.iter().position(|r| r.flow == flow)?;
        // A request that had no slot cannot complete, so the server has dropped requests before it, for instance because
        // their callers have left.
        let dropped = (at + 1).saturating_sub(slots as usize);
        self.requests.drain(..dropped);
        self.remove(now, flow, slots)
    }

    /// Removes the request of a flow. Returns for how long it had a slot; `None` if it is not known to have had
    /// one.
    pub(super) fn remove(&mut self, now: Instant, flow: FlowKey, slots: u32) -> Option<Duration> {
        let at = self.requests.iter().position(|r| r.flow == flow)?;
        let request = self.requests.remove(at)?;
        self.start(now, slots);
        Some(now.saturating_duration_since(request.started_at?))
    }

    /// Number of requests that have occupied a slot for far longer than `work`, the service time.
    pub(super) fn stalled(&self, now: Instant, work: Duration) -> u32 {
        let limit = work.saturating_mul(STALLED_AFTER).max(MIN_STALLED_AFTER);
        let started = self.requests.iter().filter_map(|r| r.started_at);
        let stalled = started.filter(|at| now.saturating_duration_since(*at) > limit);
        u32::try_from(stalled.count()).unwrap_or(u32::MAX)
    }

    fn start(&mut self, now: Instant, slots: u32) {
        for request in self.requests.iter_mut().take(slots as usize) {
            request.started_at.get_or_insert(now);
        }
    }
}
