//! Probation of a backend server: it gets only occasional flows as probes, which show when it has recovered.

use std::time::{Duration, Instant};

/// Interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Probation state of a server, and the time of its next probe.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Probation {
    next_probe_at: Option<Instant>,
}

impl Probation {
    /// Creates the state of a server that is not on probation.
    pub(super) const fn off() -> Self {
        Self {
            next_probe_at: None,
        }
    }

    /// Starts probation, or schedules the next probe; it is due after one interval.
    pub(super) fn begin(&mut self, now: Instant) {
        self.next_probe_at = Some(now + PROBE_INTERVAL);
    }

    /// Ends probation.
    pub(super) const fn end(&mut self) {
        self.next_probe_at = None;
    }

    /// Whether the server is on probation.
    pub(super) const fn is_on(&self) -> bool {
        self.next_probe_at.is_some()
    }

    /// Whether a probe is due now. If so, schedules the next one.
    pub(super) fn take_probe(&mut self, now: Instant) -> bool {
        let due = self.next_probe_at.is_some_and(|at| at <= now);
        if due {
            self.begin(now);
        }
        due
    }

    /// Makes the next probe due at once after a successful one, if probation continues. Only failing probes
    /// do any harm.
    pub(super) fn probe_at_once(&mut self, now: Instant) {
        if let Some(at) = &mut self.next_probe_at {
            *at = now;
        }
    }
}
