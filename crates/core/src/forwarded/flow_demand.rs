//! Requests that open flows bring, measured by an agent.
//!
//! The case that this handles: callers that keep a flow open for many requests. A new flow brings little load at
//! first and much later, so servers with the same number of requests now may be loaded very differently soon. How
//! much a flow brings differs by service: one request or thousands.

use std::time::{Duration, Instant};

use super::report::FlowRequestRate;

/// Time constant of the moving average; flows pause for about a second between requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Moving averages of the requests on flows that have had one before, and of the number of such flows.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlowDemand {
    requests: f64,
    flow_seconds: f64,
    at: Option<Instant>,
}

impl FlowDemand {
    /// Notes that `flows` flows without a request have been open since the last call.
    pub fn on_tick(&mut self, now: Instant, flows: u32) {
        let span = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = (-span.div_duration_f64(WINDOW)).exp();
        self.requests *= kept;
        self.flow_seconds = self.flow_seconds * kept + f64::from(flows) * span.as_secs_f64();
        self.at = Some(now);
    }

    /// Notes a request on a flow that has had one before.
    pub const fn on_request(&mut self) {
        self.requests += 1.0;
    }

    /// Returns the rate of requests; `None` before flows have been open for a second altogether.
    pub fn rate(&self) -> Option<FlowRequestRate> {
        (self.flow_seconds >= 1.0)
            .then(|| FlowRequestRate::from_per_second(self.requests / self.flow_seconds))
    }
}
