//! Slow start: the concurrency limit of a backend server while it warms up.
//!
//! A server that has just started handles its first requests slowly, and is overloaded by its full load. A
//! [`Ramp`] starts with a limit of one request and raises it by one at each of a sequence of deadlines, the
//! last of which is the end of the cold start.

use std::time::{Duration, Instant};

/// The concurrency limit of a server that warms up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ramp {
    /// The times at which the limit is raised by one, in ascending order.
    raises: Vec<Instant>,
}

impl Ramp {
    /// Starts a ramp to a limit of `full` requests over `cold_start`.
    pub fn start(now: Instant, cold_start: Duration, full: u32) -> Self {
        let steps = full.saturating_sub(1);
        let raises = (1..=steps).map(|step| now + cold_start.mul_f64(share(step, steps)));
        Self {
            raises: raises.collect(),
        }
    }

    /// Requests that may run concurrently at `now`.
    pub fn limit(&self, now: Instant) -> u32 {
        let raised = self.raises.partition_point(|at| *at <= now);
        u32::try_from(raised).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// When the limit is raised next; none once the cold start has ended.
    pub fn next_raise(&self, now: Instant) -> Option<Instant> {
        self.raises.iter().copied().find(|at| *at > now)
    }
}

fn share(step: u32, steps: u32) -> f64 {
    f64::from(step) / f64::from(steps)
}
