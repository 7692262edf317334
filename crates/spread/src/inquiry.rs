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
const START_LIMIT: Duration = Duration::from_secs(5);
/// Time between two inquiries while control is out.
pub const OUTAGE_INTERVAL: Duration = Duration::from_secs(5);
/// Inquiries in a row without any answer that make a node isolated.
const MAX_SILENT_ROUNDS: u32 = 2;

/// Whether an answer comes from a node that hears the control hosts. One that has just started and
/// heard no beacon yet does not.
pub fn is_fresh(answer: &FreshnessReply) -> bool {
    answer.beacon_age < BEACON_TIMEOUT && answer.beacon != Beacon::default()
}

/// A start that is under way.
#[derive(Debug)]
pub struct Startup {
    pending: Vec<SocketAddr>,
    asked: Vec<SocketAddr>,
    highest: LogIndex,
    answers: u32,
    control_answered: bool,
    ask_until: Instant,
    give_up_at: Instant,
}

impl Startup {
    /// Begins to ask.
    pub fn new(now: Instant) -> Self {
        Self {
            pending: Vec::new(),
            asked: Vec::new(),
            highest: LogIndex::default(),
            answers: 0,
            control_answered: false,
            ask_until: now + REPLY_TIMEOUT,
            give_up_at: now + START_LIMIT,
        }
    }

    /// Whom to ask of those that may be; nobody is asked twice in a row.
    pub fn ask(&mut self, may: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        let may = may.into_iter();
        let new: Vec<_> = may.filter(|to| !self.asked.contains(to)).collect();
        self.asked.extend(&new);
        self.pending.extend(&new);
        new
    }

    /// Takes an answer, or its absence.
    pub fn on_freshness_reply(&mut self, from: SocketAddr, answer: Option<&FreshnessReply>) {
        self.pending.retain(|p| *p != from);
        let Some(answer) = answer else { return };
        self.answers += 1;
        self.highest = self.highest.max(answer.index).max(answer.beacon.index);
        self.control_answered |= answer.role == NodeRole::Control && is_fresh(answer);
    }

    /// Whether a control host that is fresh has answered, so that nobody else needs to be asked.
    pub const fn control_answered(&self) -> bool {
        self.control_answered
    }

    /// Whether somebody has answered.
    pub const fn anyone_answered(&self) -> bool {
        self.answers > 0
    }

    /// Whether the node may serve with the configuration of `index`.
    pub fn may_serve(&self, now: Instant, index: LogIndex) -> bool {
        if self.answers == 0 {
            return false;
        }
        let heard_enough =
            self.control_answered || self.pending.is_empty() || now >= self.ask_until;
        (heard_enough && index >= self.highest) || now >= self.give_up_at
    }

    /// Asks again those that did not answer, once nobody has for long enough.
    pub fn restart_if_silent(&mut self, now: Instant) {
        if self.answers == 0 && now >= self.ask_until {
            *self = Self::new(now);
        }
    }
}

/// How a round of questions ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IsolationFinding {
    /// Somebody hears the control hosts, so the node must link elsewhere, but not to one of these.
    Elsewhere(Vec<SocketAddr>),
    /// Those who answered are as stale: control is out.
    ControlOut(Vec<SocketAddr>),
    /// Nobody answered.
    Silence,
}

#[derive(Debug)]
struct Round {
    pending: Vec<SocketAddr>,
    fresh: Vec<SocketAddr>,
    stale: Vec<SocketAddr>,
    until: Instant,
}

/// Tells an outage of the control hosts from isolation.
#[derive(Debug)]
pub struct IsolationCheck {
    round: Option<Round>,
    next_round: Instant,
    silent_rounds: u32,
}

impl IsolationCheck {
    /// Nothing is asked yet.
    pub const fn new(now: Instant) -> Self {
        Self {
            round: None,
            next_round: now,
            silent_rounds: 0,
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
        self.silent_rounds > 0
    }

    /// Begins a round with those in `pending`.
    pub fn begin(&mut self, now: Instant, pending: Vec<SocketAddr>) {
        self.round = Some(Round {
            pending,
            fresh: Vec::new(),
            stale: Vec::new(),
            until: now + REPLY_TIMEOUT,
        });
    }

    /// Takes an answer, or its absence.
    pub fn on_freshness_reply(&mut self, from: SocketAddr, answer: Option<&FreshnessReply>) {
        let Some(round) = &mut self.round else { return };
        if !round.pending.contains(&from) {
            return;
        }
        round.pending.retain(|p| *p != from);
        match answer {
            Some(answer) if is_fresh(answer) => round.fresh.push(from),
            Some(_) => round.stale.push(from),
            None => {}
        }
    }

    /// Ends the round if all have answered or the time is up. `jitter` is added to the pause while
    /// control is out.
    pub fn conclude(&mut self, now: Instant, jitter: Duration) -> Option<IsolationFinding> {
        let over = |r: &mut Round| r.pending.is_empty() || now >= r.until;
        let round = self.round.take_if(over)?;
        if round.fresh.is_empty() && round.stale.is_empty() {
            self.silent_rounds += 1;
            self.next_round = now.max(round.until);
            return Some(IsolationFinding::Silence);
        }
        self.silent_rounds = 0;
        if round.fresh.is_empty() {
            self.next_round = now + OUTAGE_INTERVAL + jitter;
            return Some(IsolationFinding::ControlOut(round.stale));
        }
        self.next_round = now + BEACON_TIMEOUT;
        let silent = round.pending.into_iter();
        Some(IsolationFinding::Elsewhere(
            silent.chain(round.stale).collect(),
        ))
    }

    /// What the rounds so far say.
    pub const fn serving_status(&self) -> ServingStatus {
        if self.silent_rounds >= MAX_SILENT_ROUNDS {
            ServingStatus::Isolated
        } else {
            ServingStatus::Serving
        }
    }
}
