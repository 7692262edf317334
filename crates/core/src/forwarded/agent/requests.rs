//! The requests at an agent's server: which are expected, which are running, and how long they take.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::{Agent, RequestState, WORK_TIMEOUT};
use crate::forwarded::packet::FlowKey;

/// Time for which a flow is remembered after both ends have closed it, to handle retransmitted packets.
const ENDED_TTL: Duration = Duration::from_secs(10);

impl Agent {
    /// Handles the first bytes of a response: the server has completed the request.
    /// Returns whether it had one.
    pub(super) fn on_answer(&mut self, now: Instant, key: FlowKey, bytes: u16) -> bool {
        let Some(flow) = self.flows.get_mut(&key) else {
            return false;
        };
        let had_request = flow.request_state.is_running();
        flow.answers = flow.answers.saturating_add(1);
        if let RequestState::Running { since, .. } = flow.request_state {
            let took = now.saturating_duration_since(since);
            let processed = self.running.complete(now, key, self.slots());
            // Failed requests are left out of the mean service time, because they complete too quickly.
            let is_success = self.outlier.on_answer(now, took, bytes);
            if let Some(processed) = processed.filter(|_| is_success) {
                self.work.record(processed);
            }
        }
        self.set_request_state(now, key, RequestState::Idle);
        had_request
    }

    /// Handles the first packet of a request, which is delivered to the server.
    pub(super) fn on_request(&mut self, now: Instant, key: FlowKey) {
        if let Some(flow) = self.flows.get(&key) {
            match (flow.request_state, flow.answered_at) {
                (RequestState::Expected { .. } | RequestState::Idle, Some(at))
                    if flow.answers == 0 =>
                {
                    let round_trip = now.saturating_duration_since(at);
                    self.queue.record_round_trip(round_trip);
                }
                (RequestState::Idle, _) if flow.answers > 0 => {
                    self.flow_demand.on_request();
                    self.record_share(now, key);
                }
                // Another packet of the same request.
                _ => {}
            }
        }
        let (since, until) = (now, now + WORK_TIMEOUT);
        self.set_request_state(now, key, RequestState::Running { since, until });
    }

    /// Records that a request takes capacity of the server. Counted when it is accepted, at the mean service time.
    pub(super) fn record_share(&mut self, now: Instant, key: FlowKey) {
        let (work, slots) = (self.known_work(now), self.slots());
        if let Some(route) = self.map.route(key.service) {
            self.queue
                .record_share(now, route.policy.priority, work, slots);
        }
    }

    /// Number of requests that occupy a slot of the server for far longer than the service time.
    pub(super) fn stalled_requests(&self, now: Instant) -> u32 {
        let work = self.work.measured();
        work.map_or(0, |work| self.running.stalled(now, work))
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

    pub(super) fn set_request_state(
        &mut self,
        now: Instant,
        key: FlowKey,
        request_state: RequestState,
    ) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let before = std::mem::replace(&mut flow.request_state, request_state);
        if !request_state.is_pending() {
            flow.request = None;
        }
        self.busy =
            self.busy + u32::from(request_state.is_pending()) - u32::from(before.is_pending());
        match (before.is_running(), request_state.is_running()) {
            (false, true) => self.running.add(now, key, self.slots()),
            (true, false) => drop(self.running.remove(now, key, self.slots())),
            _ => {}
        }
    }

    /// Handles the end of a flow by one side or both.
    pub(super) fn end(&mut self, now: Instant, key: FlowKey) {
        self.set_request_state(now, key, RequestState::Idle);
        if let Some(flow) = self.flows.get_mut(&key)
            && flow.caller_ended
            && flow.server_ended
        {
            flow.forget_at = now + ENDED_TTL;
        }
    }

    pub(super) fn expire_request_deadlines(&mut self, now: Instant) {
        while let Some(Reverse((at, key))) = self.request_deadlines.peek().copied()
            && at <= now
        {
            self.request_deadlines.pop();
            let flow = self.flows.get(&key);
            if flow.is_some_and(|f| f.request_state.is_overdue(now)) {
                self.set_request_state(now, key, RequestState::Idle);
            }
        }
    }
}
