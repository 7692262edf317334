//! Queries to other nodes: before a node serves for the first time, and when it receives no fresh
//! beacon.
//!
//! A node that starts must not serve with the state of a relay that is cut off. [`Startup`] waits for
//! the reply of a control host that has a fresh beacon itself, or else for the replies of several other
//! nodes, and lets the node serve at the highest log index among the replies.
//!
//! A node without a fresh beacon may be cut off, or the control hosts may be unavailable.
//! [`IsolationCheck`] distinguishes these cases. If other nodes reply and none has a fresh beacon, the
//! control hosts are unavailable and the node continues to serve. If one has a fresh beacon, the node's
//! own relay is cut off. If no node replies, this node is isolated.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dogwoodrill_core::ids::LogIndex;

use crate::beacon::{BEACON_TIMEOUT, Beacon};
use crate::message::{FreshnessReply, NodeRole};
use crate::standing::ServingStatus;

/// Time that queried nodes have to reply.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a starting node no longer waits for a higher index than the one it has.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between two rounds of queries while the control hosts are unavailable.
pub const OUTAGE_INTERVAL: Duration = Duration::from_secs(5);
/// Consecutive rounds without any reply after which a node is isolated.
const MAX_ROUNDS_WITHOUT_REPLY: u32 = 2;

/// Whether a reply comes from a node that receives current beacons. A node that has just started and
/// has not received any beacon does not.
pub fn is_fresh(reply: &FreshnessReply) -> bool {
    reply.beacon_age < BEACON_TIMEOUT && reply.beacon != Beacon::default()
}

/// Collects the replies that a starting node needs before it may serve.
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
    /// Starts without any query sent.
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

    /// Returns the addresses among `candidates` that have not been queried yet, and marks them as
    /// queried.
    pub fn query(&mut self, candidates: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        let candidates = candidates.into_iter();
        let new: Vec<_> = candidates.filter(|to| !self.queried.contains(to)).collect();
        self.queried.extend(&new);
        self.pending.extend(&new);
        new
    }

    /// Records a reply, or that there was none.
    pub fn on_freshness_reply(&mut self, from: SocketAddr, reply: Option<&FreshnessReply>) {
        self.pending.retain(|p| *p != from);
        let Some(reply) = reply else { return };
        self.replies += 1;
        self.highest = self.highest.max(reply.index).max(reply.beacon.index);
        self.has_control_reply |= reply.role == NodeRole::Control && is_fresh(reply);
    }

    /// Whether a control host with a fresh beacon has replied, so that no other node needs to be
    /// queried.
    pub const fn has_control_reply(&self) -> bool {
        self.has_control_reply
    }

    /// Whether any node has replied.
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

    /// Starts over, so that all nodes are queried again, if none has replied in time.
    pub fn restart_if_unanswered(&mut self, now: Instant) {
        if self.replies == 0 && now >= self.collect_until {
            *self = Self::new(now);
        }
    }
}

/// The result of a round of queries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IsolationFinding {
    /// At least one node has a fresh beacon, so this node must link to another relay. The addresses are
    /// those that did not reply or are stale themselves, and must be avoided.
    FreshElsewhere(Vec<SocketAddr>),
    /// All nodes that replied, whose addresses these are, are stale as well: the control hosts are
    /// unavailable.
    ControlUnreachable(Vec<SocketAddr>),
    /// No node replied.
    NoReplies,
}

#[derive(Debug)]
struct Round {
    pending: Vec<SocketAddr>,
    fresh: Vec<SocketAddr>,
    stale: Vec<SocketAddr>,
    deadline: Instant,
}

/// Distinguishes an outage of the control hosts from the isolation of this node.
#[derive(Debug)]
pub struct IsolationCheck {
    round: Option<Round>,
    next_round: Instant,
    rounds_without_reply: u32,
}

impl IsolationCheck {
    /// Starts without any query sent; the first round is due at once.
    pub const fn new(now: Instant) -> Self {
        Self {
            round: None,
            next_round: now,
            rounds_without_reply: 0,
        }
    }

    /// Handles a fresh beacon: the check starts over.
    pub fn on_fresh(&mut self, now: Instant) {
        *self = Self::new(now);
    }

    /// Whether a new round of queries is due.
    pub fn is_due(&self, now: Instant) -> bool {
        self.round.is_none() && now >= self.next_round
    }

    /// Whether the last round had no reply, so that additional nodes should be queried.
    pub const fn must_widen(&self) -> bool {
        self.rounds_without_reply > 0
    }

    /// Starts a round in which the nodes in `pending` are queried.
    pub fn start_round(&mut self, now: Instant, pending: Vec<SocketAddr>) {
        self.round = Some(Round {
            pending,
            fresh: Vec::new(),
            stale: Vec::new(),
            deadline: now + REPLY_TIMEOUT,
        });
    }

    /// Records a reply, or that there was none.
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

    /// Ends the round if all nodes have replied or its time is up. `jitter` is added to the interval
    /// until the next round while the control hosts are unavailable.
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

    /// The serving status that follows from the rounds so far.
    pub const fn serving_status(&self) -> ServingStatus {
        if self.rounds_without_reply >= MAX_ROUNDS_WITHOUT_REPLY {
            ServingStatus::Isolated
        } else {
            ServingStatus::Serving
        }
    }
}
