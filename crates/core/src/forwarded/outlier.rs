//! Whether a backend server fails the requests that it takes.
//!
//! The load that this answers: a few servers fail requests at once, while their health checks succeed. By their
//! load they look the best of all, always idle and done in a millisecond, and would draw the fleet's requests.
//!
//! Packets belong to their two ends, so nothing reads what an answer says. But a failure is told sooner and in
//! fewer bytes than a result, or by a reset. What is usual for a service the agents of its other servers say:
//! the medians of their figures. A server that fails by far more often than they do is suspended, which means
//! that it gets a flow now and then to show that it is well again. Where most servers answer alike, none of
//! them is an outlier, so a service is never emptied by this.

use std::time::{Duration, Instant};

use derive_more::{Display, From, FromStr, Into};

use super::mesh::ServerReport;
use super::placement::NEWEST_SHARE;
use super::probation::Probation;

/// An answer counts as a failure below the usual work and the usual bytes, both divided by this. Work spreads
/// around its mean, so neither tells alone.
const FAILURE_DIVISOR: u32 = 2;
/// By how much the share of failures must exceed the usual one: the third failure in a row of a server that had
/// none exceeds it.
const SUSPICIOUS_EXCESS: f64 = 0.25;

/// Bytes in the first packet of an answer.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Into, Ord, PartialEq, PartialOrd,
)]
#[display("{_0} B")]
pub struct ResponseBytes(u16);

/// Share of requests that failed, in thousandths.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Into, Ord, PartialEq, PartialOrd,
)]
#[display("{_0}‰")]
pub struct FailureRate(u16);

impl FailureRate {
    /// Nearest to a share between 0 and 1.
    fn of(share: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 0 and 1000"
        )]
        Self((share.clamp(0.0, 1.0) * 1000.0).round() as u16)
    }

    fn get(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// How a server answers, as its agent tells the others.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[display("{failure_rate} fail")]
pub struct ResponseStats {
    /// Mean of the answers that were no failures; none before the first.
    pub mean_bytes: Option<ResponseBytes>,
    /// Requests that failed lately.
    pub failure_rate: FailureRate,
    /// Whether the server only gets a flow now and then.
    pub is_suspended: bool,
}

/// How the other servers of a service answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceBaseline {
    work: Duration,
    mean_bytes: ResponseBytes,
    failure_rate: FailureRate,
}

impl ServiceBaseline {
    /// The medians of what agents of a service report; none while none of them has measured.
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

    fn is_failure(&self, took: Duration, mean_bytes: u16) -> bool {
        took < self.work / FAILURE_DIVISOR
            && u32::from(mean_bytes) < u32::from(self.mean_bytes.0) / FAILURE_DIVISOR
    }
}

fn median<T: Copy + Ord>(values: impl Iterator<Item = T>) -> Option<T> {
    let mut values: Vec<_> = values.collect();
    values.sort_unstable();
    values.get(values.len().checked_sub(1)? / 2).copied()
}

/// Judges one server by its answers.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    baseline: Option<ServiceBaseline>,
    mean_bytes: Option<f64>,
    failure_rate: f64,
    /// On while the server is suspended.
    suspension: Probation,
}

impl OutlierDetector {
    /// Takes in how the other servers answer now.
    pub fn set_baseline(&mut self, now: Instant, baseline: Option<ServiceBaseline>) {
        self.baseline = baseline;
        self.judge(now);
    }

    /// The first packet of an answer, of `mean_bytes`, came after the server had worked for `took`. True if it
    /// looks like a result, false if like a failure.
    pub fn on_answer(&mut self, now: Instant, took: Duration, mean_bytes: u16) -> bool {
        let is_failure = self
            .baseline
            .is_some_and(|u| u.is_failure(took, mean_bytes));
        if !is_failure {
            let newest = f64::from(mean_bytes);
            self.mean_bytes = Some(self.mean_bytes.map_or(newest, |mean| mixed(mean, newest)));
        }
        self.count(now, is_failure);
        if !is_failure {
            self.suspension.hasten(now);
        }
        !is_failure
    }

    /// The server broke a flow off in place of an answer.
    pub fn on_broken_off(&mut self, now: Instant) {
        self.count(now, true);
    }

    fn count(&mut self, now: Instant, is_failure: bool) {
        self.failure_rate = mixed(self.failure_rate, if is_failure { 1.0 } else { 0.0 });
        self.judge(now);
    }

    fn judge(&mut self, now: Instant) {
        let baseline = self.baseline.map_or(1.0, |u| u.failure_rate.get());
        let is_outlier = self.failure_rate > baseline + SUSPICIOUS_EXCESS;
        if is_outlier != self.is_suspended() {
            if is_outlier {
                self.suspension.begin(now);
            } else {
                self.suspension.end();
            }
        }
    }

    /// Whether the server only gets a flow now and then.
    pub const fn is_suspended(&self) -> bool {
        self.suspension.is_on()
    }

    /// Whether a suspended server gets a flow now, to show whether it is well again.
    pub fn take_probe(&mut self, now: Instant) -> bool {
        self.suspension.take_probe(now)
    }

    /// What the other agents are told.
    pub fn record(&self) -> ResponseStats {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a mean of such numbers"
        )]
        let mean_bytes = self.mean_bytes.map(|mean| ResponseBytes(mean as u16));
        ResponseStats {
            mean_bytes,
            failure_rate: FailureRate::of(self.failure_rate),
            is_suspended: self.is_suspended(),
        }
    }
}

fn mixed(mean: f64, newest: f64) -> f64 {
    mean * (1.0 - NEWEST_SHARE) + newest * NEWEST_SHARE
}
