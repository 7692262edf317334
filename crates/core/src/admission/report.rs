//! Replies of the health and load endpoints of a backend server, and how long they are valid.

use std::time::{Duration, Instant};

/// Time for which a report is valid after it was fetched.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// Concurrent requests for a server that reports itself unhealthy; its responses show whether it is.
const UNHEALTHY_LIMIT: u32 = 1;

/// One reply of the endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointReport {
    /// Whether the server reports itself healthy.
    pub is_healthy: bool,
    /// Concurrent requests that the server reports it can run; none if it reports no limit.
    pub limit: Option<u32>,
}

/// The limit of the last report.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedLimit {
    limit: Option<u32>,
    expires_at: Option<Instant>,
}

impl ReportedLimit {
    pub(super) fn update(&mut self, now: Instant, report: EndpointReport) {
        self.limit = if report.is_healthy {
            report.limit
        } else {
            Some(UNHEALTHY_LIMIT)
        };
        self.expires_at = Some(now + REPORT_LIFETIME);
    }

    /// The reported limit; none if there is none or it has expired.
    pub(super) fn limit(&self, now: Instant) -> Option<u32> {
        self.limit.filter(|_| self.expires_at(now).is_some())
    }

    pub(super) fn expires_at(&self, now: Instant) -> Option<Instant> {
        self.expires_at.filter(|at| *at > now)
    }
}
