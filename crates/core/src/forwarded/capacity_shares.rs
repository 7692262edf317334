//! Shares of a server's capacity that requests of each priority take.
//!
//! The case that this handles: urgent requests take much of the capacity. Each one that arrives later starts before the
//! less urgent ones that wait already, so these progress only with the capacity that the urgent ones leave. If only the
//! requests ahead counted, a less urgent caller would wait nearly as long as it can, and be refused in the end.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time constant of the moving averages: some 50 requests of a server, and a small part of a burst of seconds.
const WINDOW: Duration = Duration::from_secs(1);
/// Largest share that more urgent requests count for; leaves a number to divide by.
const MAX_URGENT_SHARE: f64 = 0.99;
/// Share below which a priority is forgotten.
const NEGLIGIBLE: f64 = 0.001;

/// Moving averages of the shares of capacity, by priority.
#[derive(Clone, Debug, Default)]
pub struct CapacityShares {
    by_priority: BTreeMap<u32, Share>,
}

#[derive(Clone, Copy, Debug)]
struct Share {
    value: f64,
    at: Instant,
}

impl Share {
    fn now(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.value * (-age.div_duration_f64(WINDOW)).exp()
    }
}

impl CapacityShares {
    /// Adds a request of `priority` that takes one of `slots` slots for `work`.
    pub fn record(&mut self, now: Instant, priority: u32, work: Duration, slots: u32) {
        let added = work.div_duration_f64(WINDOW) / f64::from(slots.max(1));
        let before = self.by_priority.get(&priority).map_or(0.0, |s| s.now(now));
        self.by_priority.retain(|_, s| s.now(now) >= NEGLIGIBLE);
        let value = before + added;
        self.by_priority.insert(priority, Share { value, at: now });
    }

    /// Share that requests with a higher priority than `priority` take.
    pub fn more_urgent(&self, now: Instant, priority: u32) -> f64 {
        let urgent = self.by_priority.range(..priority);
        let share: f64 = urgent.map(|(_, s)| s.now(now)).sum();
        share.min(MAX_URGENT_SHARE)
    }
}
