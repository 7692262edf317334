//! Service time of a backend server: measured by its agent or, until there is a measurement, the one that
//! the agents of the service's other servers report.
//!
//! The case that this handles: a release replaces servers one after the other. If a new server counted as a
//! fast one until it is measured, it would draw more flows than it can complete in time, although the other
//! servers show how long the requests of the service take.

use std::time::Duration;

use super::report::ServerReport;

/// Unit in which the loads of a service's servers are compared while none of them is measured. Any value gives the
/// same order.
const UNMEASURED_WORK: Duration = Duration::from_millis(15);
/// Number of requests that the moving average covers. Over ten, the mean of requests whose deviation is half of
/// their mean was off by 11%, and the servers that seemed the fastest got the most flows.
const MEASURED_REQUESTS: u32 = 32;
/// Number of mean deviations by which few requests exceed the mean service time: of normally distributed ones, 1 in 18.
const EXCESS_DEVIATIONS: u32 = 2;
/// Weight of a new measurement in the moving averages of outlier detection; about the last ten requests count.
pub(super) const NEWEST_SHARE: f64 = 0.1;

/// Service time of a server, as its agent measures or expects it.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkTime {
    mean: Option<Duration>,
    /// Mean deviation from the mean.
    deviation: Duration,
    /// Number of measurements, up to [`MEASURED_REQUESTS`].
    measurements: u32,
    peers: PeerWorkTimes,
}

/// Median service times of the other servers of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerWorkTimes {
    /// Servers that have been running for a while; `None` if none of them is measured.
    warm: Option<Duration>,
    /// Servers that have just started and are still slow; `None` if none of them is measured.
    cold: Option<Duration>,
}

impl WorkTime {
    /// Adds the time for which a request occupied a slot to the mean.
    pub fn record(&mut self, newest: Duration) {
        self.measurements = (self.measurements + 1).min(MEASURED_REQUESTS);
        let newest_share = f64::from(self.measurements).recip();
        let average = |before: Duration, newest: Duration| {
            before.mul_f64(1.0 - newest_share) + newest.mul_f64(newest_share)
        };
        if let Some(mean) = self.mean {
            self.deviation = average(self.deviation, newest.abs_diff(mean));
        }
        self.mean = Some(self.mean.map_or(newest, |mean| average(mean, newest)));
    }

    /// Sets the service times of the service's other servers.
    pub const fn set_peers(&mut self, peers: PeerWorkTimes) {
        self.peers = peers;
    }

    /// Returns the mean service time, once there is a measurement.
    pub const fn measured(self) -> Option<Duration> {
        self.mean
    }

    /// Returns by how much a request may take longer than the mean; few take longer still. Zero until it is measured.
    pub fn excess(self) -> Duration {
        self.deviation.saturating_mul(EXCESS_DEVIATIONS)
    }

    /// Returns the measured service time or that of the other servers; `None` if neither is known.
    /// `is_cold` tells whether the server has just started.
    pub fn expected(self, is_cold: bool) -> Option<Duration> {
        self.mean.or_else(|| self.peers.expected(is_cold))
    }

    /// Returns the expected service time, or the unit of comparisons if nothing is known.
    pub fn or_unit(self, is_cold: bool) -> Duration {
        or_unit(self.expected(is_cold))
    }
}

impl PeerWorkTimes {
    /// Returns the medians of the values that the agents of a service report.
    pub fn of<'a>(reports: impl Iterator<Item = &'a ServerReport>) -> Self {
        // A report without a response repeats what its agent knows from others.
        let measured = reports.filter(|r| r.responses.mean_bytes.is_some());
        let (cold, warm): (Vec<_>, Vec<_>) = measured.partition(|r| r.is_cold);
        let median_of = |reports: Vec<&ServerReport>| median(reports.iter().filter_map(|r| r.work));
        Self {
            warm: median_of(warm),
            cold: median_of(cold),
        }
    }

    fn expected(self, is_cold: bool) -> Option<Duration> {
        if is_cold {
            self.cold.or(self.warm)
        } else {
            self.warm.or(self.cold)
        }
    }
}

/// Returns the reported service time of a server, or the unit of comparisons if nothing is known.
pub(super) fn or_unit(reported: Option<Duration>) -> Duration {
    reported.unwrap_or(UNMEASURED_WORK)
}

/// Returns the median; of an even number of values, the lower one of the two in the middle.
pub(super) fn median<T: Copy + Ord>(values: impl Iterator<Item = T>) -> Option<T> {
    let mut values: Vec<_> = values.collect();
    values.sort_unstable();
    values.get(values.len().checked_sub(1)? / 2).copied()
}
