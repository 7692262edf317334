//! The requests at an agent's server: which are expected, which are running, and how long they take.

use std::time::{Duration, Instant};

use super::{Agent, RequestState};
use crate::forwarded::packet::FlowKey;

/// Time for which a flow is remembered after both ends have closed it, to handle retransmitted packets.
const ENDED_TTL: Duration = Duration::from_secs(10);

impl Agent {
    /// Handles the first bytes of a response: the server has completed the request.
    pub(super) fn on_answer(&mut self, now: Instant, key: FlowKey, bytes: u16) {
        let work = self.flows.get(&key).map(|f| f.request_state);
        if let Some(RequestState::Running {
            since, concurrent, ..
        }) = work
        {
            let took = now.saturating_duration_since(since);
            // Failed requests are left out of the mean service time, because they complete too quickly.
            if self.outlier.on_answer(now, took, bytes) {
                self.work.record(took, concurrent, self.slots());
            }
        }
        self.set_request_state(key, RequestState::Idle);
    }

    /// Handles a reset of a flow that the server had not ended. If a request was running, the reset counts as
    /// a failed request.
    pub(super) fn on_reset(&mut self, now: Instant, key: FlowKey) {
        let flow = self.flows.get(&key);
        if flow.is_some_and(|f| f.request_state.is_running()) {
            self.outlier.on_reset(now);
        }
    }

    pub(super) fn extend_request_deadline(&mut self, key: FlowKey, deadline: Instant) {
        if let Some(RequestState::Expected { until }) =
            self.flows.get_mut(&key).map(|f| &mut f.request_state)
        {
            *until = deadline;
        }
    }

    pub(super) fn set_request_state(&mut self, key: FlowKey, request_state: RequestState) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let before = std::mem::replace(&mut flow.request_state, request_state);
        if !request_state.is_pending() {
            flow.request = None;
        }
        self.busy =
            self.busy + u32::from(request_state.is_pending()) - u32::from(before.is_pending());
        let left = u32::from(before.is_running());
        self.running = self.running + u32::from(request_state.is_running()) - left;
    }

    /// Handles the end of a flow by one side or both.
    pub(super) fn end(&mut self, now: Instant, key: FlowKey) {
        self.set_request_state(key, RequestState::Idle);
        if let Some(flow) = self.flows.get_mut(&key)
            && flow.caller_ended
            && flow.server_ended
        {
            flow.forget_at = now + ENDED_TTL;
        }
    }

    pub(super) fn expire_request_deadlines(&mut self, now: Instant) {
        while let Some((at, key)) = self.request_deadlines.front().copied()
            && at <= now
        {
            self.request_deadlines.pop_front();
            let flow = self.flows.get(&key);
            if flow.is_some_and(|f| f.request_state.is_overdue(now)) {
                self.set_request_state(key, RequestState::Idle);
            }
        }
    }
}
