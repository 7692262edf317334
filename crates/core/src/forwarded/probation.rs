//! A backend server that gets a flow only now and then, to show whether it is well again.

use std::time::{Duration, Instant};

/// Time between two flows that such a server gets.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// Whether a server is on probation, and when it gets its next flow.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Probation {
    trial_at: Option<Instant>,
}

impl Probation {
    /// Off.
    pub(super) const fn off() -> Self {
        Self { trial_at: None }
    }

    /// Begins; the first trial is an interval away.
    pub(super) fn begin(&mut self, now: Instant) {
        self.trial_at = Some(now + TRIAL_INTERVAL);
    }

    /// Ends.
    pub(super) const fn end(&mut self) {
        self.trial_at = None;
    }

    /// Whether it goes on.
    pub(super) const fn is_on(&self) -> bool {
        self.trial_at.is_some()
    }

    /// Whether the server gets a flow now.
    pub(super) fn take_probe(&mut self, now: Instant) -> bool {
        let due = self.trial_at.is_some_and(|at| at <= now);
        if due {
            self.begin(now);
        }
        due
    }

    /// A trial went well: if probation goes on, the next one may follow at once, since only those that fail
    /// cost anything.
    pub(super) fn hasten(&mut self, now: Instant) {
        if let Some(at) = &mut self.trial_at {
            *at = now;
        }
    }
}
