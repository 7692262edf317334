//! Safety and liveness properties of the replicated log, checked under every schedule.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use derive_more::Display;
use dogwoodrill_consensus::{Entry, MemberId};
use dogwoodrill_core::ids::{LogIndex, Term};

/// Property that was violated.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Violation {
    #[display("two leaders in term {_0}")]
    TwoLeaders(Term),
    #[display("a different entry was applied at {_0}")]
    ConflictingCommit(LogIndex),
    #[display("states differ at {_0}")]
    DivergedStates(LogIndex),
    #[display("{_0} was committed without a majority of disks")]
    CommittedUnsynced(LogIndex),
    #[display("{_0} accepted a proposal without contact with a majority")]
    AcceptedIsolated(MemberId),
    #[display("a read at {_0} missed an accepted change")]
    StaleRead(LogIndex),
    #[display("{_0} was made a voter before its disk held what was committed")]
    PromotedTooEarly(MemberId),
    #[display("{_0} was replaced although it and the leader were healthy")]
    ReplacedHealthyMember(MemberId),
    #[display("{_0} members that replace nobody")]
    TooManyMembers(usize),
    #[display("the membership was not complete after all faults were healed")]
    IncompleteMembership,
    #[display("the members did not agree after all faults were healed")]
    NotLive,
}

pub type Checked = Result<(), Violation>;

/// State machine that keeps a running hash of all applied entries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct State {
    pub index: LogIndex,
    pub digest: u64,
}

impl State {
    pub fn apply(&mut self, entry: &Entry) {
        let mut hasher = DefaultHasher::new();
        (self.digest, entry.index, format!("{:?}", entry.payload)).hash(&mut hasher);
        *self = Self {
            index: entry.index,
            digest: hasher.finish(),
        };
    }
}

/// Counts of the events that the schedules are meant to cause.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub terms: u64,
    pub accepted: u64,
    pub snapshots: u64,
    pub truncated: u64,
    pub lost_writes: u64,
    pub joined: u64,
    pub reads: u64,
    /// Hosts that were added on their own join request.
    pub hosts_added: u64,
}

impl Counts {
    pub fn each(&self) -> [u64; 7] {
        let first = [self.terms, self.accepted, self.snapshots, self.truncated];
        let [a, b, c, d] = first;
        [a, b, c, d, self.lost_writes, self.joined, self.reads]
    }
}

/// Observations of all members.
#[derive(Debug, Default)]
pub struct Checker {
    leaders: BTreeMap<Term, MemberId>,
    applied: BTreeMap<LogIndex, Entry>,
    states: BTreeMap<LogIndex, u64>,
    /// Counts of events in this run.
    pub counts: Counts,
    /// Highest index that was reported to its proposer as accepted.
    pub accepted: LogIndex,
}

impl Checker {
    pub fn leader(&mut self, term: Term, id: MemberId) -> Checked {
        let first = *self.leaders.entry(term).or_insert(id);
        self.counts.terms = self.leaders.len() as u64;
        holds(first == id, Violation::TwoLeaders(term))
    }

    /// Returns whether the entry is applied for the first time anywhere.
    pub fn entry(&mut self, entry: &Entry) -> Result<bool, Violation> {
        let is_first = !self.applied.contains_key(&entry.index);
        let first = self.applied.entry(entry.index);
        let same = first.or_insert_with(|| entry.clone()) == entry;
        holds(same, Violation::ConflictingCommit(entry.index))?;
        Ok(is_first)
    }

    pub fn state(&mut self, state: State) -> Checked {
        let first = *self.states.entry(state.index).or_insert(state.digest);
        holds(
            first == state.digest,
            Violation::DivergedStates(state.index),
        )
    }

    pub fn last_applied(&self) -> LogIndex {
        self.applied.keys().last().copied().unwrap_or_default()
    }
}

pub fn holds(condition: bool, otherwise: Violation) -> Checked {
    if condition { Ok(()) } else { Err(otherwise) }
}
