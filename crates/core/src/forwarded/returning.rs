//! Callers that return after a refusal.
//!
//! The case that this handles: after an outage, or during a burst, refused callers return at once, on a new flow from
//! another port. Taken for new callers, they displace those that can still be on time, although their own responses are
//! late already. A caller's host address stays the same, so an opening that follows a refusal of the same host closely
//! counts from the refused attempt's first packet.
//!
//! Agents tell each other of refused callers in the heartbeats that they send anyway. What arrives after the caller's
//! next opening corrects that opening while it waits. Everything here is lost at a restart; callers then count as new.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::packet::FlowKey;

/// Share of the target from which a refusal is remembered.
const MIN_AGE: f64 = 0.25;
/// Time within which a refused caller returns: the path in both directions, at a busy balancer.
const RETURN_WINDOW: Duration = Duration::from_millis(60);
/// By how much the time of a refusal may seem too late, because the message about it was on its way.
const MESSAGE_DELAY: Duration = Duration::from_millis(20);
/// Time for which a refusal is remembered; longer than a message about it takes.
const TTL: Duration = Duration::from_secs(1);
/// Time for which a refusal is part of heartbeats, so that every agent gets one that contains it.
const ANNOUNCED_FOR: Duration = Duration::from_millis(400);
/// Most refusals in a heartbeat; keeps it in one packet.
const MAX_ANNOUNCED: usize = 32;
/// Most refusals that are remembered; bounds memory.
const MAX_REMEMBERED: usize = 512;

/// A refused attempt of a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RefusedAttempt {
    /// The flow that was refused.
    pub flow: FlowKey,
    /// When the caller sent its first packet, that of earlier attempts included.
    pub first_seen_at: Instant,
    /// When it was refused.
    pub refused_at: Instant,
}

impl RefusedAttempt {
    /// Whether an opening packet of `flow` that arrived at `arrived_at` may be the caller's next attempt.
    pub fn may_be_followed_by(&self, flow: FlowKey, arrived_at: Instant) -> bool {
        let is_same_host = self.flow.caller.ip() == flow.caller.ip();
        let is_same_service = self.flow.service == flow.service;
        is_same_host
            && is_same_service
            && self.flow.caller.port() != flow.caller.port()
            && arrived_at + MESSAGE_DELAY >= self.refused_at
            && arrived_at <= self.refused_at + RETURN_WINDOW
    }
}

/// The recently refused attempts that an agent knows of.
#[derive(Clone, Debug, Default)]
pub struct RefusedAttempts {
    remembered: VecDeque<Remembered>,
}

#[derive(Clone, Copy, Debug)]
struct Remembered {
    attempt: RefusedAttempt,
    /// Whether this agent refused it, and tells others.
    is_own: bool,
    /// Whether the caller's next attempt was recognised.
    has_returned: bool,
}

impl RefusedAttempts {
    /// Remembers an attempt that this agent has refused, if a quarter of the `target` had passed. Callers that return
    /// sooner can still be on time. Under overload they are many, and since users share hosts, each of them would make a new caller
    /// look old now and then.
    pub fn on_refused(&mut self, attempt: RefusedAttempt, target: Duration) {
        let age = attempt
            .refused_at
            .saturating_duration_since(attempt.first_seen_at);
        if age >= target.mul_f64(MIN_AGE) {
            self.remember(attempt, true);
        }
    }

    /// Remembers an attempt that another agent has refused. Returns false if it is known already.
    pub fn on_announced(&mut self, attempt: RefusedAttempt) -> bool {
        let mut known = self.remembered.iter();
        let is_new = !known.any(|r| r.attempt.flow == attempt.flow);
        if is_new {
            self.remember(attempt, false);
        }
        is_new
    }

    fn remember(&mut self, attempt: RefusedAttempt, is_own: bool) {
        if self.remembered.len() >= MAX_REMEMBERED {
            self.remembered.pop_front();
        }
        self.remembered.push_back(Remembered {
            attempt,
            is_own,
            has_returned: false,
        });
    }

    /// Returns when the caller of an opening packet that arrives now was first seen, if it was refused just before.
    pub fn take_first_seen(&mut self, now: Instant, flow: FlowKey) -> Option<Instant> {
        let mut waiting = self.remembered.iter_mut().filter(|r| !r.has_returned);
        let returned = waiting.find(|r| r.attempt.may_be_followed_by(flow, now))?;
        returned.has_returned = true;
        Some(returned.attempt.first_seen_at)
    }

    /// Notes that the next attempt of a refused caller was recognised.
    pub fn on_returned(&mut self, refused: FlowKey) {
        let mut remembered = self.remembered.iter_mut();
        if let Some(r) = remembered.find(|r| r.attempt.flow == refused) {
            r.has_returned = true;
        }
    }

    /// Returns the attempts that heartbeats to other agents contain, the latest first.
    pub fn announced(&self, now: Instant) -> Vec<RefusedAttempt> {
        let own = self.remembered.iter().rev().filter(|r| r.is_own);
        let recent = own.take_while(|r| now < r.attempt.refused_at + ANNOUNCED_FOR);
        recent.take(MAX_ANNOUNCED).map(|r| r.attempt).collect()
    }

    /// Forgets old refusals.
    pub fn expire(&mut self, now: Instant) {
        self.remembered.retain(|r| now < r.attempt.refused_at + TTL);
    }
}
