//! Counts and latencies that the callers record.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use dogwoodrill_testkit::slotted_server::OrderAttempt;
use hdrhistogram::Histogram;

/// A kind of request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Class {
    Order,
    Sheet,
    Status,
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Order => "order",
            Self::Sheet => "sheet",
            Self::Status => "status",
        })
    }
}

/// Reason for which a flow was broken.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum BreakCause {
    /// Its server's zone was taken out.
    ZoneOut,
    /// Its server restarted without warning.
    ServerRestarted,
    /// No event of the timeline explains it.
    Unexplained,
}

impl BreakCause {
    /// Returns whether the product may break a flow for this reason.
    pub const fn is_allowed(self) -> bool {
        !matches!(self, Self::Unexplained)
    }
}

impl fmt::Display for BreakCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::ZoneOut => "zone out",
            Self::ServerRestarted => "server restarted",
            Self::Unexplained => "unexplained",
        })
    }
}

/// Counts and latencies over all callers.
#[derive(Debug, Default)]
pub struct Counts {
    pub flows_opened: u64,
    pub flows_refused: u64,
    pub broken: BTreeMap<BreakCause, u64>,
    pub orders_sent: BTreeSet<String>,
    pub orders_confirmed: BTreeSet<String>,
    pub refused_as_not_run: BTreeSet<OrderAttempt>,
    pub not_run_answers: u64,
    pub may_have_run_answers: u64,
    pub sheets_whole: u64,
    pub sheets_short: u64,
    pub sheets_failed: u64,
    pub latencies: BTreeMap<Class, Histogram<u64>>,
    pub restarted_servers: BTreeSet<String>,
    pub drained_servers: BTreeSet<String>,
    pub servers_in_removed_zone: BTreeSet<String>,
    pub notes: Vec<String>,
}

/// [`Counts`], shared by the callers.
#[derive(Debug)]
pub struct Tally {
    counts: Mutex<Counts>,
    start: Instant,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            counts: Mutex::default(),
            start: Instant::now(),
        }
    }
}

impl Tally {
    /// Locks the counts for reading and writing.
    pub fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the latency of a request.
    pub fn record(&self, class: Class, took: Duration) {
        let mut counts = self.counts();
        let histogram = counts.latencies.entry(class).or_insert_with(new_histogram);
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        histogram
            .record(micros)
            .expect("the histogram grows with its values");
    }

    /// Records a flow that was broken while `server` served it; `how` becomes a note if no event explains it.
    pub fn record_broken(&self, server: &str, how: &str) {
        let mut counts = self.counts();
        let cause = if counts.servers_in_removed_zone.contains(server) {
            BreakCause::ZoneOut
        } else if counts.restarted_servers.contains(server) {
            BreakCause::ServerRestarted
        } else {
            let second = self.start.elapsed().as_secs();
            let line = format!("server {server} broke a flow at {second} s: {how}");
            counts.notes.push(line);
            BreakCause::Unexplained
        };
        *counts.broken.entry(cause).or_default() += 1;
    }

    /// Adds a line to the notes that help to diagnose a failure.
    pub fn note(&self, line: String) {
        self.counts().notes.push(line);
    }
}

fn new_histogram() -> Histogram<u64> {
    const SIGNIFICANT_DIGITS: u8 = 3;
    Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are within the library's limits")
}
