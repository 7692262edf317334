//! The failure detector of one relay: it receives heartbeats and reports members whose heartbeats stop.
//!
//! Heartbeats go to the observers of a member only, never through the tree. The report of an observer
//! is an [`Observation`]; which members are suspected is decided from these in
//! [`suspicion`](crate::suspicion). An observer that was paused itself received nothing meanwhile and
//! gives every member the full timeout again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dogwoodrill_core::ids::NodeId;
use dogwoodrill_core::time::UnixMillis;

use crate::message::MemberIncarnation;
use crate::suspicion::{Observation, REPORT_INTERVAL};

/// Interval between two heartbeats of a member.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a heartbeat after which an observer reports a member as silent.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a heartbeat, beyond the timeout, after which the observer no longer reports on a
/// member. It has been removed from the directory long before.
pub const FORGET_AFTER: Duration = Duration::from_hours(2);

#[derive(Clone, Copy, Debug)]
struct Observed {
    /// When the heartbeat timeout of the member expires.
    expires_at: Instant,
    /// When the member was found silent; `None` while it is alive.
    silent_since: Option<UnixMillis>,
    next_report_at: Instant,
}

/// The members whose heartbeats this node receives.
#[derive(Debug)]
pub struct Observer {
    node: NodeId,
    observed: BTreeMap<MemberIncarnation, Observed>,
}

impl Observer {
    /// Creates the observer of one node.
    pub const fn new(node: NodeId) -> Self {
        Self {
            node,
            observed: BTreeMap::new(),
        }
    }

    /// Handles a heartbeat. Returns a report that the member is alive if it had been silent.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        wall: UnixMillis,
        subject: MemberIncarnation,
    ) -> Option<Observation> {
        let alive = Observed {
            expires_at: now + HEARTBEAT_TIMEOUT,
            silent_since: None,
            next_report_at: now,
        };
        let before = self.observed.insert(subject, alive);
        let was_silent = before.is_some_and(|b| b.silent_since.is_some());
        was_silent.then(|| self.alive_observation(wall, subject))
    }

    /// Handles a member that has moved to another observer or leaves.
    pub fn on_bye(&mut self, subject: MemberIncarnation) {
        self.observed.remove(&subject);
    }

    /// Handles the report of another observer that a member is silent. Returns a report that it is
    /// alive if this observer receives its heartbeats.
    pub fn on_other_observation(
        &self,
        wall: UnixMillis,
        other: &Observation,
    ) -> Option<Observation> {
        let observed = self.observed.get(&other.subject)?;
        let is_alive = observed.silent_since.is_none();
        (!other.is_alive && other.observer != self.node && is_alive)
            .then(|| self.alive_observation(wall, other.subject))
    }

    /// Returns the reports on silent members that are due.
    pub fn on_tick(&mut self, now: Instant, wall: UnixMillis) -> Vec<Observation> {
        let node = self.node;
        let mut reports = Vec::new();
        for (subject, observed) in &mut self.observed {
            if now < observed.expires_at || now < observed.next_report_at {
                continue;
            }
            observed.next_report_at = now + REPORT_INTERVAL;
            reports.push(Observation {
                observer: node,
                subject: *subject,
                is_alive: false,
                since: *observed.silent_since.get_or_insert(wall),
                reported_at: wall,
            });
        }
        self.observed
            .retain(|_, o| now < o.expires_at + FORGET_AFTER);
        reports
    }

    /// Handles a pause of the observer itself that ended now: every member that was not silent gets the
    /// full timeout again.
    pub fn on_own_pause(&mut self, now: Instant) {
        for observed in self.observed.values_mut() {
            if observed.silent_since.is_none() {
                observed.expires_at = now + HEARTBEAT_TIMEOUT;
            }
        }
    }

    const fn alive_observation(&self, wall: UnixMillis, subject: MemberIncarnation) -> Observation {
        Observation {
            observer: self.node,
            subject,
            is_alive: true,
            since: wall,
            reported_at: wall,
        }
    }
}
