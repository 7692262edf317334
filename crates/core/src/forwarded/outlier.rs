//! Outlier detection: finds backend servers that fail the requests they accept.
//!
//! The case that this handles: a few servers fail requests immediately while their health checks succeed. By
//! load they look best, always idle and done within a millisecond, and would attract the requests of the
//! whole fleet.
//!
//! The system does not read the content of responses. But a failure arrives sooner and in fewer bytes than a
//! result, or as a reset. The baseline of a service is the median of the figures that the agents of its other
//! servers report. A server whose failure rate is far above the baseline is suspended: it gets only
//! occasional probes, which show when it has recovered. If most servers respond alike, none of them is an
//! outlier, so outlier ejection never empties a service.

use std::time::{Duration, Instant};

use super::probation::Probation;
use super::report::{FailureRate, ResponseBytes, ResponseStats, ServerReport};
use super::work_time::{NEWEST_SHARE, median};

/// A response counts as a failure if both its service time and its bytes are below the baseline divided by
/// this. Service times spread around their mean, so one of the two alone is not enough.
const FAILURE_DIVISOR: u32 = 2;
/// Largest excess of a server's failure rate over the baseline; the third consecutive failure of a server
/// without earlier ones exceeds it.
const MAX_EXCESS_FAILURE_RATE: f64 = 0.25;

/// Typical responses of the other servers of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceBaseline {
    work: Duration,
    mean_bytes: ResponseBytes,
    failure_rate: FailureRate,
}

impl ServiceBaseline {
    /// Returns the medians of the values that agents of a service report; `None` if none has measured any.
    pub fn of<'a>(reports: impl Iterator<Item = &'a ServerReport>) -> Option<Self> {
        let measured =
            |r: &ServerReport| Some((r.work?, r.responses.mean_bytes?, r.responses.failure_rate));
        let measured: Vec<_> = reports.filter_map(measured).collect();
        Some(Self {
            work: median(measured.iter().map(|m| m.0))?,
            mean_bytes: median(measured.iter().map(|m| m.1))?,
            failure_rate: median(measured.iter().map(|m| m.2))?,
        })
    }

    fn is_failure(&self, service_time: Duration, bytes: u16) -> bool {
        service_time < self.work / FAILURE_DIVISOR
            && u32::from(bytes) < u32::from(self.mean_bytes.0) / FAILURE_DIVISOR
    }
}

/// Decides from the responses of one server whether to suspend it.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    baseline: Option<ServiceBaseline>,
    mean_bytes: Option<f64>,
    failure_rate: f64,
    /// Active while the server is suspended.
    suspension: Probation,
}

impl OutlierDetector {
    /// Sets the current baseline of the service.
    pub fn set_baseline(&mut self, now: Instant, baseline: Option<ServiceBaseline>) {
        self.baseline = baseline;
        self.update_suspension(now);
    }

    /// Handles the first packet of a response, of `bytes`, that came after `service_time`. Returns whether it
    /// looks like a result, not a failure.
    pub fn on_answer(&mut self, now: Instant, service_time: Duration, bytes: u16) -> bool {
        let is_failure = self
            .baseline
            .is_some_and(|u| u.is_failure(service_time, bytes));
        if !is_failure {
            let newest = f64::from(bytes);
            self.mean_bytes = Some(
                self.mean_bytes
                    .map_or(newest, |mean| moving_average(mean, newest)),
            );
        }
        self.count(now, is_failure);
        if !is_failure {
            self.suspension.probe_at_once(now);
        }
        !is_failure
    }

    /// Handles a reset that the server sent in place of a response.
    pub fn on_reset(&mut self, now: Instant) {
        self.count(now, true);
    }

    fn count(&mut self, now: Instant, is_failure: bool) {
        self.failure_rate = moving_average(self.failure_rate, if is_failure { 1.0 } else { 0.0 });
        self.update_suspension(now);
    }

    fn update_suspension(&mut self, now: Instant) {
        let baseline = self.baseline.map_or(1.0, |u| u.failure_rate.get());
        let is_outlier = self.failure_rate > baseline + MAX_EXCESS_FAILURE_RATE;
        if is_outlier != self.is_suspended() {
            if is_outlier {
                self.suspension.begin(now);
            } else {
                self.suspension.end();
            }
        }
    }

    /// Whether the server is suspended, so that it gets only probes.
    pub const fn is_suspended(&self) -> bool {
        self.suspension.is_on()
    }

    /// Whether a suspended server gets a flow now as a probe.
    pub fn take_probe(&mut self, now: Instant) -> bool {
        self.suspension.take_probe(now)
    }

    /// Returns the statistics to report to other nodes.
    pub fn stats(&self) -> ResponseStats {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a mean of `u16` values"
        )]
        let mean_bytes = self.mean_bytes.map(|mean| ResponseBytes(mean as u16));
        ResponseStats {
            mean_bytes,
            failure_rate: FailureRate::of(self.failure_rate),
            is_suspended: self.is_suspended(),
        }
    }
}

fn moving_average(mean: f64, newest: f64) -> f64 {
    mean * (1.0 - NEWEST_SHARE) + newest * NEWEST_SHARE
}
