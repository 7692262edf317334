//! The freshness beacon, by which a node determines whether its state is recent.
//!
//! The leading control host sends a beacon about once a second. A node only relays a beacon that is
//! newer than every beacon it has received. A relay that is cut off therefore stops sending beacons to
//! its children, even while its links to them stay open.

use std::time::{Duration, Instant};

use derive_more::Display;
use dogwoodrill_core::ids::{LogIndex, Term};
use dogwoodrill_core::time::UnixMillis;

/// Interval between two beacons.
pub const BEACON_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a newer beacon after which a node can no longer assume that it is up to date.
pub const BEACON_TIMEOUT: Duration = Duration::from_secs(3);

/// The position up to which the control hosts have committed their log.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[display("index {index} of term {term}")]
pub struct CommitPosition {
    /// Election term of the leader.
    pub term: Term,
    /// Index of the last committed log entry.
    pub index: LogIndex,
}

/// A freshness beacon. Beacons are ordered by term, then by the time at which they were sent.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("term {term}, sent at {sent_at}, index {index}")]
pub struct Beacon {
    /// Election term of the sender.
    pub term: Term,
    /// When it was sent, by the sender's wall clock; strictly increasing within one term.
    pub sent_at: UnixMillis,
    /// Index of the last committed log entry.
    pub index: LogIndex,
}

/// The newest beacon that a node has received, and when it was received.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    newest: Beacon,
    received_at: Instant,
}

impl Freshness {
    /// Starts without a beacon. A node that has just started has the full timeout to receive one.
    pub fn new(now: Instant) -> Self {
        let newest = Beacon::default();
        Self {
            newest,
            received_at: now,
        }
    }

    /// Records a beacon. Returns whether it was newer than every earlier one.
    pub fn update(&mut self, now: Instant, beacon: Beacon) -> bool {
        let newer = beacon > self.newest;
        if newer {
            self.newest = beacon;
            self.received_at = now;
        }
        newer
    }

    /// The newest beacon.
    pub const fn newest(&self) -> Beacon {
        self.newest
    }

    /// Time since the newest beacon was received.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.received_at)
    }

    /// Whether the newest beacon was received less than [`BEACON_TIMEOUT`] ago.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.age(now) < BEACON_TIMEOUT
    }
}
