//! Service-level objectives: counts per minute, and how fast the error budget burns.
//!
//! An agent keeps a [`MinuteRing`] of [`MinuteCounts`]. A report queries every agent of a service for its
//! [`WindowCounts`] and last minutes and adds them up. The burn rate of a window is the share of bad requests
//! divided by the share that the objective allows: at 1 the budget of a period is spent exactly at its end.
//! Two windows are evaluated together, as in chapter 5 of *The Site Reliability Workbook* (Beyer et al.,
//! 2018): the long one shows that the error rate is significant, the short one that it persists.
//!
//! A minute during which an agent did not run is unknown, not empty. Reports show it as a gap.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::{Add, AddAssign, Display, From, Into};

use crate::config::PerMille;
use crate::ids::{AvailabilityZone, BackendServerId, ServiceId};
use crate::time::UnixMillis;

/// Milliseconds in a minute.
const MINUTE_MILLIS: u64 = 60_000;
/// Number of minutes in a ring: three days, which is the longest window, and the current minute.
pub const RING_MINUTES: usize = 3 * 24 * 60 + 1;
/// Memory of a full ring, in bytes.
pub const RING_BYTES: usize = RING_MINUTES * size_of::<Option<MinuteCounts>>();

/// Number of a minute since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct Minute(u64);

impl Minute {
    /// Creates a minute from its number since the Unix epoch.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// The minute that contains a point in time.
    pub const fn of(at: UnixMillis) -> Self {
        Self(at.get() / MINUTE_MILLIS)
    }

    /// The number itself.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The minute that is `minutes` earlier; saturates at the Unix epoch.
    #[must_use]
    pub const fn before(self, minutes: u64) -> Self {
        Self(self.0.saturating_sub(minutes))
    }
}

/// The counts of one minute at one agent, or a sum of such counts.
#[derive(Add, AddAssign, Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MinuteCounts {
    /// Requests answered successfully and in time.
    pub good: u32,
    /// Requests that were refused, or whose response was late, a server error or incomplete.
    pub bad: u32,
    /// Flows opened.
    pub flows_opened: u32,
    /// Flows that ended with a request in progress and were not ended by their caller.
    pub flows_broken: u32,
    /// Time for which requests were in progress, summed over the requests, in milliseconds.
    pub busy_millis: u32,
    /// 1 if the agent's availability zone was out of service at some time in the minute; a count in sums.
    pub zone_out: u32,
}

/// The result of a request from its caller's point of view.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RequestEnd {
    /// The response was complete; its head arrived after this time.
    #[display("answered")]
    Answered(Duration),
    /// The backend server failed, the request was refused, or the response was incomplete.
    #[display("failed")]
    Failed,
    /// The caller disconnected; the request counts neither as good nor as bad.
    #[display("cancelled")]
    Cancelled,
}

/// The counts of the last minutes of one agent.
///
/// [`MinuteRing::on_tick`] is called several times a minute, so a minute without any call is one in which the
/// process did not run: its host was suspended, or its clock was set.
#[derive(Debug)]
pub struct MinuteRing {
    last: Minute,
    /// One element for each minute up to `last`; none for an unknown minute.
    counts: VecDeque<Option<MinuteCounts>>,
}

impl MinuteRing {
    /// Creates a ring that starts with the minute of `now`, the agent's start.
    pub fn new(now: UnixMillis) -> Self {
        Self {
            last: Minute::of(now),
            counts: VecDeque::from([Some(MinuteCounts::default())]),
        }
    }

    /// Counts a request that was in progress for `busy`; it is good if it was answered within `objective`.
    pub fn on_request(
        &mut self,
        now: UnixMillis,
        end: RequestEnd,
        busy: Duration,
        objective: Duration,
    ) {
        let counts = self.at(now);
        let busy = u32::try_from(busy.as_millis()).unwrap_or(u32::MAX);
        counts.busy_millis = counts.busy_millis.saturating_add(busy);
        match end {
            RequestEnd::Answered(after) if after <= objective => counts.good += 1,
            RequestEnd::Answered(_) | RequestEnd::Failed => counts.bad += 1,
            RequestEnd::Cancelled => {}
        }
    }

    /// Counts a flow that was opened.
    pub fn on_flow_opened(&mut self, now: UnixMillis) {
        self.at(now).flows_opened += 1;
    }

    /// Counts a flow that ended with a request in progress.
    pub fn on_flow_broken(&mut self, now: UnixMillis) {
        self.at(now).flows_broken += 1;
    }

    /// Marks the minute of `now` as known, and records whether the agent's zone is out of service.
    pub fn on_tick(&mut self, now: UnixMillis, zone_out: bool) {
        self.at(now).zone_out |= u32::from(zone_out);
    }

    /// The known minutes from `since` on, the oldest first.
    pub fn since(&self, since: Minute) -> impl Iterator<Item = (Minute, MinuteCounts)> {
        let first = self.last.before(self.counts.len() as u64 - 1);
        let skipped = since.get().saturating_sub(first.get());
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let counts = self.counts.iter().enumerate().skip(skipped);
        counts.filter_map(move |(i, counts)| Some((Minute(first.0 + i as u64), (*counts)?)))
    }

    /// The sum of a window that ends with the minute before that of `now`, which has not ended yet.
    pub fn window(&self, now: UnixMillis, minutes: u32) -> WindowCounts {
        let end = Minute::of(now);
        let mut window = WindowCounts {
            minutes,
            ..WindowCounts::default()
        };
        let whole = self.since(end.before(minutes.into()));
        for (_, counts) in whole.take_while(|(minute, _)| *minute < end) {
            window.known_minutes += 1;
            window.good += u64::from(counts.good);
            window.bad += u64::from(counts.bad);
            window.flows_broken += u64::from(counts.flows_broken);
            window.busy_millis += u64::from(counts.busy_millis);
        }
        window
    }

    /// The counts of the minute of `now`. If the clock was set back, those of the last minute.
    fn at(&mut self, now: UnixMillis) -> &mut MinuteCounts {
        let minute = Minute::of(now);
        let passed = minute.get().saturating_sub(self.last.get());
        let passed = usize::try_from(passed).unwrap_or(usize::MAX);
        for _ in 0..passed.min(RING_MINUTES) {
            if self.counts.len() == RING_MINUTES {
                self.counts.pop_front();
            }
            self.counts.push_back(None);
        }
        self.last = self.last.max(minute);
        let last = self.counts.back_mut();
        let last = last.expect("a ring holds at least the minute of its start");
        last.get_or_insert_default()
    }
}

/// The sum of one window, of one agent or of several.
#[derive(Add, AddAssign, Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WindowCounts {
    /// Length of the window, summed over agents.
    pub minutes: u32,
    /// Minutes of the window that are known, summed over agents.
    pub known_minutes: u32,
    /// Good requests.
    pub good: u64,
    /// Bad requests.
    pub bad: u64,
    /// Flows that ended with a request in progress and were not ended by their caller.
    pub flows_broken: u64,
    /// Time for which requests were in progress, in milliseconds.
    pub busy_millis: u64,
}

impl WindowCounts {
    /// The burn rate of the error budget: at 1 it is spent exactly; none if there was no request.
    pub fn burn_rate(&self, objective: PerMille) -> Option<f64> {
        let total = self.good + self.bad;
        if total == 0 {
            return None;
        }
        let allowed = f64::from(1_000_u16.saturating_sub(objective.get())) / 1_000.0;
        Some(ratio(self.bad, total) / allowed)
    }

    /// Share of the window that is known, from 0 to 1.
    pub fn coverage(&self) -> f64 {
        ratio(self.known_minutes.into(), self.minutes.into())
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of three days stay far below 2^52"
)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Two windows that are evaluated together, and the burn rate from which they justify an alert.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowPair {
    /// Length of the long window in minutes.
    pub long: u32,
    /// Length of the short window in minutes.
    pub short: u32,
    /// Burn rate that both windows must reach for an alert.
    pub threshold: f64,
}

/// The pairs of windows in a report. At the thresholds 2% of the budget of 30 days are spent in 1 h, 5% in 6 h
/// and 10% in 3 d.
pub const WINDOW_PAIRS: [WindowPair; 3] = [
    WindowPair {
        long: 60,
        short: 5,
        threshold: 14.4,
    },
    WindowPair {
        long: 6 * 60,
        short: 30,
        threshold: 6.0,
    },
    WindowPair {
        long: 3 * 24 * 60,
        short: 6 * 60,
        threshold: 1.0,
    },
];

impl WindowPair {
    /// Whether both rates have reached the threshold.
    pub fn is_burning(&self, long: Option<f64>, short: Option<f64>) -> bool {
        let at = |rate: Option<f64>| rate.is_some_and(|r| r >= self.threshold);
        at(long) && at(short)
    }
}

/// The imbalance of the loads of a service's backend servers: the largest divided by the mean; none if there
/// is no load.
pub fn imbalance(loads: &[u64]) -> Option<f64> {
    let sum: u64 = loads.iter().sum();
    let largest = loads.iter().max().copied()?;
    (sum > 0).then(|| ratio(largest * loads.len() as u64, sum))
}

/// The reply of one agent to the query of a report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentMinutes {
    /// The backend server of the agent.
    pub server: BackendServerId,
    /// Its service.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// One sum for each requested window, in the order of the request.
    pub windows: Vec<WindowCounts>,
    /// The known minutes, the oldest first.
    pub minutes: Vec<(Minute, MinuteCounts)>,
}
