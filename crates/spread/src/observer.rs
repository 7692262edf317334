//! One relay's part in the detection of failures: it hears heartbeats and notices their absence.
//!
//! Heartbeats go to the observers of a member only, never through the tree. What an observer says is
//! an [`Observation`]; who believes it is decided elsewhere ([`suspicion`](crate::suspicion)). An
//! observer that itself stood still heard nothing either and gives every member the full time again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dogwoodrill_core::ids::NodeId;
use dogwoodrill_core::time::UnixMillis;

use crate::message::MemberIncarnation;
use crate::suspicion::{Observation, RESTATE_INTERVAL};

/// Time between two heartbeats of a member.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Silence after which an observer says that it does not hear a member.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);
/// Silence after which the observer says nothing more; the member has long been given up.
pub const FORGET_AFTER: Duration = Duration::from_hours(2);

#[derive(Clone, Copy, Debug)]
struct Observed {
    /// When the member will have been silent for too long.
    silent_at: Instant,
    /// Since when it has been.
    silent_since: Option<UnixMillis>,
    restate_at: Instant,
}

/// Members whose heartbeats this node hears.
#[derive(Debug)]
pub struct Observer {
    node: NodeId,
    observed: BTreeMap<MemberIncarnation, Observed>,
}

impl Observer {
    /// Makes the observer of one node.
    pub const fn new(node: NodeId) -> Self {
        Self {
            node,
            observed: BTreeMap::new(),
        }
    }

    /// A heartbeat came. A member that had been silent is said to be heard again.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        wall: UnixMillis,
        subject: MemberIncarnation,
    ) -> Option<Observation> {
        let alive = Observed {
            silent_at: now + HEARTBEAT_TIMEOUT,
            silent_since: None,
            restate_at: now,
        };
        let before = self.observed.insert(subject, alive);
        let was_silent = before.is_some_and(|b| b.silent_since.is_some());
        was_silent.then(|| self.alive_observation(wall, subject))
    }

    /// The member went to another observer, or leaves.
    pub fn on_bye(&mut self, subject: MemberIncarnation) {
        self.observed.remove(&subject);
    }

    /// Another observer does not hear a member; if this one does, it says so.
    pub fn on_other(&self, wall: UnixMillis, other: &Observation) -> Option<Observation> {
        let observed = self.observed.get(&other.subject)?;
        let hears = observed.silent_since.is_none();
        (!other.is_alive && other.observer != self.node && hears)
            .then(|| self.alive_observation(wall, other.subject))
    }

    /// Time has passed; what there is to say.
    pub fn on_tick(&mut self, now: Instant, wall: UnixMillis) -> Vec<Observation> {
        let node = self.node;
        let mut said = Vec::new();
        for (subject, observed) in &mut self.observed {
            if now < observed.silent_at || now < observed.restate_at {
                continue;
            }
            observed.restate_at = now + RESTATE_INTERVAL;
            said.push(Observation {
                observer: node,
                subject: *subject,
                is_alive: false,
                since: *observed.silent_since.get_or_insert(wall),
                reported_at: wall,
            });
        }
        self.observed
            .retain(|_, o| now < o.silent_at + FORGET_AFTER);
        said
    }

    /// The observer itself stood still until now: every member gets the full time again.
    pub fn on_pause(&mut self, now: Instant) {
        for observed in self.observed.values_mut() {
            if observed.silent_since.is_none() {
                observed.silent_at = now + HEARTBEAT_TIMEOUT;
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
