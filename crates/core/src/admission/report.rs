//! What the health and load endpoints of a backend server say, and for how long it is believed.

use std::time::{Duration, Instant};

/// Time for which a report is believed after it was fetched.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// Requests that a server may run that calls itself unwell: enough to see whether it is.
const UNWELL_LIMIT: u32 = 1;

/// One answer of the endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointReport {
    /// Whether the server calls itself well.
    pub is_healthy: bool,
    /// Requests that it says it can run at once, if it says so.
    pub limit: Option<u32>,
}

/// The last report.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reported {
    limit: Option<u32>,
    expires_at: Option<Instant>,
}

impl Reported {
    pub(super) fn take(&mut self, now: Instant, report: EndpointReport) {
        self.limit = if report.is_healthy {
            report.limit
        } else {
            Some(UNWELL_LIMIT)
        };
        self.expires_at = Some(now + REPORT_LIFETIME);
    }

    /// The limit that the server asks for; none if it asks for none or said so too long ago.
    pub(super) fn limit(&self, now: Instant) -> Option<u32> {
        self.limit.filter(|_| self.expires_at(now).is_some())
    }

    pub(super) fn expires_at(&self, now: Instant) -> Option<Instant> {
        self.expires_at.filter(|at| *at > now)
    }
}
