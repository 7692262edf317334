//! Asking others: before a node serves for the first time, and when it hears no fresh beacon.
//!
//! A node that starts must not serve with what a relay that is cut off tells it. [`Startup`] waits for
//! the word of a control host that is fresh itself, or else of several others, and lets the node serve
//! at the highest log index it heard of.
//!
//! A node without a fresh beacon may be cut off, or the control hosts may be out. [`IsolationCheck`] tells
//! the two apart: if others answer and are as stale, control is out and the node serves on; if one is
//! fresh, the node's own relay is cut off; if nobody answers, the node is isolated.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dogwoodrill_core::ids::LogIndex;

use crate::beacon::{BEACON_TIMEOUT, Beacon};
use crate::message::{FreshnessReply, NodeRole};
use crate::standing::ServingStatus;

/// Time that those who are asked have to answer.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a starting node no longer looks for a higher index than it has.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two inquiries while control is out.
pub const OUTAGE_INTERVAL: Duration = Duration::from_secs(5);
/// Inquiries in a row without any answer that make a node isolated.
const MAX_ROUNDS_WITHOUT_REPLY: u32 = 2;

/// Whether an answer comes from a node that hears the control hosts. One that has just started and
/// heard no beacon yet does not.
pub fn is_fresh(reply: &FreshnessReply) -> bool {
    reply.beacon_age < BEACON_TIMEOUT && reply.beacon != Beacon::default()
}

/// A start that is under way.
#[derive(Debug)]
pub struct Startup {
    pending: Vec<SocketAddr>,
    queried: Vec<SocketAddr>,
    highest: LogIndex,
    replies: u32,
    has_control_reply: bool,
    collect_until: Instant,
    give_up_at: Instant,
}

impl Startup {
    /// Begins to ask.
    pub fn new(now: Instant) -> Self {
        Self {
            pending: Vec::new(),
            queried: Vec::new(),
            highest: LogIndex::default(),
            replies: 0,
            has_control_reply: false,
            collect_until: now + REPLY_TIMEOUT,
            give_up_at: now + STARTUP_TIMEOUT,
        }
    }

    /// Whom to ask of those that may be; nobody is asked twice in a row.
    pub fn query(&mut self, candidates: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        let candidates = candidates.into_iter();
        let new: Vec<_> = candidates.filter(|to| !self.queried.contains(to)).collect();
        self.queried.extend(&new);
        self.pending.extend(&new);
        new
    }

    /// Takes an answer, or its absence.
    pub fn on_freshness_reply(&mut self, from: SocketAddr, reply: Option<&FreshnessReply>) {
        self.pending.retain(|p| *p != from);
        let Some(reply) = reply else { return };
        self.replies += 1;
        self.highest = self.highest.max(reply.index).max(reply.beacon.index);
        self.has_control_reply |= reply.role == NodeRole::Control && is_fresh(reply);
    }

    /// Whether a control host that is fresh has answered, so that nobody else needs to be asked.
    pub const fn has_control_reply(&self) -> bool {
        self.has_control_reply
    }

    /// Whether somebody has answered.
    pub const fn has_reply(&self) -> bool {
        self.replies > 0
    }

    /// Whether the node may serve with the configuration of `index`.
    pub fn may_serve(&self, now: Instant, index: LogIndex) -> bool {
        if self.replies == 0 {
            return false;
        }
        let has_enough_replies =
            self.has_control_reply || self.pending.is_empty() || now >= self.collect_until;
        (has_enough_replies && index >= self.highest) || now >= self.give_up_at
    }

    /// Asks again those that did not answer, once nobody has for long enough.
    pub fn restart_if_unanswered(&mut self, now: Instant) {
        if self.replies == 0 && now >= self.collect_until {
            *self = Self::new(now);
        }
    }
}

/// How a round of questions ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IsolationFinding {
    /// Somebody hears the control hosts, so the node must link elsewhere, but not to one of these.
    FreshElsewhere(Vec<SocketAddr>),
    /// Those who answered are as stale: control is out.
    ControlUnreachable(Vec<SocketAddr>),
    /// Nobody answered.
    NoReplies,
}

#[derive(Debug)]
struct Round {
    pending: Vec<SocketAddr>,
    fresh: Vec<SocketAddr>,
    stale: Vec<SocketAddr>,
    deadline: Instant,
}

/// Tells an outage of the control hosts from isolation.
#[derive(Debug)]
pub struct IsolationCheck {
    round: Option<Round>,
    next_round: Instant,
    rounds_without_reply: u32,
}

impl IsolationCheck {
    /// Nothing is asked yet.
    pub const fn new(now: Instant) -> Self {
        Self {
            round: None,
            next_round: now,
            rounds_without_reply: 0,
        }
    }

    /// A fresh beacon came.
    pub fn on_fresh(&mut self, now: Instant) {
        *self = Self::new(now);
    }

    /// Whether a round is due.
    pub fn is_due(&self, now: Instant) -> bool {
        self.round.is_none() && now >= self.next_round
    }

    /// Whether the last round brought nothing, so that more and others should be asked.
    pub const fn must_widen(&self) -> bool {
        self.rounds_without_reply > 0
    }

    /// Begins a round with those in `pending`.
    pub fn start_round(&mut self, now: Instant, pending: Vec<SocketAddr>) {
        self.round = Some(Round {
            pending,
            fresh: Vec::new(),
            stale: Vec::new(),
            deadline: now + REPLY_TIMEOUT,
        });
    }

    /// Takes an answer, or its absence.
    pub fn on_freshness_reply(&mut self, from: SocketAddr, reply: Option<&FreshnessReply>) {
        let Some(round) = &mut self.round else { return };
        if !round.pending.contains(&from) {
            return;
        }
        round.pending.retain(|p| *p != from);
        match reply {
            Some(reply) if is_fresh(reply) => round.fresh.push(from),
            Some(_) => round.stale.push(from),
            None => {}
        }
    }

    /// Ends the round if all have answered or the time is up. `jitter` is added to the pause while
    /// control is out.
    pub fn finish_round(&mut self, now: Instant, jitter: Duration) -> Option<IsolationFinding> {
        let is_finished = |r: &mut Round| r.pending.is_empty() || now >= r.deadline;
        let round = self.round.take_if(is_finished)?;
        if round.fresh.is_empty() && round.stale.is_empty() {
            self.rounds_without_reply += 1;
            self.next_round = now.max(round.deadline);
            return Some(IsolationFinding::NoReplies);
        }
        self.rounds_without_reply = 0;
        if round.fresh.is_empty() {
            self.next_round = now + OUTAGE_INTERVAL + jitter;
            return Some(IsolationFinding::ControlUnreachable(round.stale));
        }
        self.next_round = now + BEACON_TIMEOUT;
        let unanswered = round.pending.into_iter();
        Some(IsolationFinding::FreshElsewhere(
            unanswered.chain(round.stale).collect(),
        ))
    }

    /// What the rounds so far say.
    pub const fn serving_status(&self) -> ServingStatus {
        if self.rounds_without_reply >= MAX_ROUNDS_WITHOUT_REPLY {
            ServingStatus::Isolated
        } else {
            ServingStatus::Serving
        }
    }
}
