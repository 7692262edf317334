//! Wall-clock time that is exchanged between processes.
//!
//! Deadlines within one process are [`std::time::Instant`]s. Times that are sent to other processes are
//! [`UnixMillis`]; the clocks of two hosts may differ by up to [`CLOCK_MARGIN`].

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use derive_more::{Display, From, FromStr, Into};

/// Maximum difference between the clocks of two hosts.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(2);

/// A point in time, in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct UnixMillis(u64);

impl UnixMillis {
    /// Creates a point in time from milliseconds since the Unix epoch.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Milliseconds since the Unix epoch.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The point in time `after` later; saturates at the maximum.
    #[must_use]
    pub fn plus(self, after: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
        )
    }

    /// Time from `earlier` to this point in time; zero if this one is not later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl From<SystemTime> for UnixMillis {
    fn from(t: SystemTime) -> Self {
        let since = t.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}

/// The current time on both clocks. Deadlines within this process use the first, deadlines in records the
/// second.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Now {
    /// Monotonic time.
    pub instant: Instant,
    /// Wall-clock time.
    pub wall: UnixMillis,
}
