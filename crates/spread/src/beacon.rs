//! The freshness beacon: how a node knows that what it holds is recent.
//!
//! The control host that leads sends a beacon about once a second. Each node passes on only a beacon
//! that is newer than any that it heard, so a relay that is cut off falls silent towards its children
//! although its links to them stand.

use std::time::{Duration, Instant};

use derive_more::Display;
use dogwoodrill_core::ids::{LogIndex, Term};
use dogwoodrill_core::time::UnixMillis;

/// Time between two beacons.
pub const BEACON_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a newer beacon after which a node is no longer sure to be up to date.
pub const BEACON_TIMEOUT: Duration = Duration::from_secs(3);

/// How far the control hosts are.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[display("index {index} of term {term}")]
pub struct CommitPosition {
    /// Election term of the leader.
    pub term: Term,
    /// Index of the last committed log entry.
    pub index: LogIndex,
}

/// A beacon. Beacons are ordered by term, then by the time they were sent.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("term {term}, sent at {sent_at}, index {index}")]
pub struct Beacon {
    /// Election term of the sender.
    pub term: Term,
    /// When it was sent, by the sender's clock; larger in each beacon of one term.
    pub sent_at: UnixMillis,
    /// Index of the last committed log entry.
    pub index: LogIndex,
}

/// The newest beacon that a node heard, and when.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    newest: Beacon,
    heard_at: Instant,
}

impl Freshness {
    /// Nothing heard yet; a node that starts gets the full time to hear one.
    pub fn new(now: Instant) -> Self {
        let newest = Beacon::default();
        Self {
            newest,
            heard_at: now,
        }
    }

    /// Takes a beacon in; whether it was newer than any before.
    pub fn hear(&mut self, now: Instant, beacon: Beacon) -> bool {
        let newer = beacon > self.newest;
        if newer {
            self.newest = beacon;
            self.heard_at = now;
        }
        newer
    }

    /// The newest beacon.
    pub const fn newest(&self) -> Beacon {
        self.newest
    }

    /// Time since the newest beacon was heard.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard_at)
    }

    /// Whether the newest beacon is fresh.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.age(now) < BEACON_TIMEOUT
    }
}
