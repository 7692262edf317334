//! The state of a replica: one [`Claim`] per key, until no host can answer for the key any more.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use derive_more::{Display, From, Into};

use super::key::{Attempt, RequestKey};
use super::message::{Grant, Outcome, RunId};
use crate::time::{CLOCK_MARGIN, UnixMillis};

/// Number of runs per claim that are remembered as having given up.
const MAX_ENDED_RUNS: usize = 4;

/// A number of claims.
#[derive(Clone, Copy, Debug, Display, Eq, From, Into, Ord, PartialEq, PartialOrd)]
pub struct ClaimCount(usize);

impl ClaimCount {
    /// Creates a count.
    pub const fn new(value: usize) -> Self {
        Self(value)
    }
}

/// The state of one key at a replica.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Claim {
    /// The last sealed attempt; neither it nor an earlier one is granted any more.
    pub sealed_through: Option<Attempt>,
    /// The grant that the current incarnation of the replica gave in the current epoch.
    pub granted: Option<Grant>,
    /// Grants known from copies. They block other runs, and are never acknowledged.
    pub copied: Vec<Grant>,
    /// The outcome of the request, if it is known here.
    pub outcome: Option<Outcome>,
    /// Runs that have given up; their delayed requests are refused.
    ended: Vec<RunId>,
}

impl Claim {
    /// Creates a claim from the content of a copy.
    pub const fn from_copy(
        sealed_through: Option<Attempt>,
        copied: Vec<Grant>,
        outcome: Option<Outcome>,
    ) -> Self {
        Self {
            sealed_through,
            granted: None,
            copied,
            outcome,
            ended: Vec::new(),
        }
    }

    /// All grants that block other runs: the replica's own and the copied ones.
    pub fn grants(&self) -> impl Iterator<Item = Grant> {
        self.granted.into_iter().chain(self.copied.iter().copied())
    }

    /// Whether `run` has given up.
    pub fn has_ended(&self, run: RunId) -> bool {
        self.ended.contains(&run)
    }

    /// Deletes the grants of a run that gives up, and remembers that it has.
    pub fn end(&mut self, run: RunId) {
        self.granted.take_if(|g| g.run == run);
        self.copied.retain(|g| g.run != run);
        if self.has_ended(run) {
            return;
        }
        if self.ended.len() == MAX_ENDED_RUNS {
            self.ended.remove(0);
        }
        self.ended.push(run);
    }

    /// Stores the outcome of the request. A known outcome replaces [`Outcome::Unknown`] and is never replaced.
    pub fn finish(&mut self, outcome: Outcome) {
        if matches!(self.outcome, None | Some(Outcome::Unknown)) {
            self.outcome = Some(outcome);
        }
        self.granted = None;
        self.copied.clear();
    }

    /// Turns the replica's own grant into one that only blocks, as a new epoch requires.
    fn demote(&mut self) {
        self.copied.extend(self.granted.take());
    }

    /// Merges the claim of another replica. Its grants block here.
    pub fn merge(&mut self, copy: &Self) {
        self.sealed_through = self.sealed_through.max(copy.sealed_through);
        if let Some(outcome) = &copy.outcome {
            self.finish(outcome.clone());
        }
        if self.outcome.is_some() {
            return;
        }
        for grant in copy.grants() {
            let known = self.grants().any(|g| g == grant);
            if !known && !self.has_ended(grant.run) {
                self.copied.push(grant);
            }
        }
    }
}

/// All claims of one replica.
#[derive(Clone, Debug)]
pub struct Table {
    capacity: ClaimCount,
    floor: UnixMillis,
    claims: HashMap<RequestKey, Claim>,
    by_age: BTreeSet<RequestKey>,
}

impl Table {
    /// Creates an empty table for up to `capacity` claims.
    pub fn new(capacity: ClaimCount) -> Self {
        Self {
            capacity,
            floor: UnixMillis::default(),
            claims: HashMap::new(),
            by_age: BTreeSet::new(),
        }
    }

    /// Claims on keys created at or before this time may have been deleted.
    pub const fn floor(&self) -> UnixMillis {
        self.floor
    }

    /// Raises the floor and deletes the claims on keys at or below it.
    pub fn raise_floor(&mut self, floor: UnixMillis) {
        self.floor = self.floor.max(floor);
        while let Some(oldest) = self.by_age.first().copied() {
            if oldest.created_at() > self.floor {
                return;
            }
            self.by_age.remove(&oldest);
            self.claims.remove(&oldest);
        }
    }

    /// Deletes the claims on keys that no host can answer for any more, given that another host's clock may
    /// be behind this one by [`CLOCK_MARGIN`].
    pub fn expire(&mut self, now: UnixMillis, retry_window: Duration) {
        let kept = retry_window + CLOCK_MARGIN;
        let kept = u64::try_from(kept.as_millis()).unwrap_or(u64::MAX);
        self.raise_floor(UnixMillis::new(now.get().saturating_sub(kept + 1)));
    }

    /// Whether there is a claim on `key` or the capacity allows one more.
    pub fn has_room_for(&self, key: RequestKey) -> bool {
        self.claims.contains_key(&key) || self.claims.len() < self.capacity.into()
    }

    /// The claim on `key`, if there is one.
    pub fn get(&self, key: RequestKey) -> Option<&Claim> {
        self.claims.get(&key)
    }

    /// The claim on `key`, created if there is none.
    pub fn entry(&mut self, key: RequestKey) -> &mut Claim {
        self.by_age.insert(key);
        self.claims.entry(key).or_default()
    }

    /// Merges the claims of a copy. Copied claims are accepted beyond the capacity, because a request whose
    /// claim is dropped could run twice.
    pub fn merge(&mut self, claims: &[(RequestKey, Claim)]) {
        for (key, claim) in claims {
            if key.created_at() > self.floor {
                self.entry(*key).merge(claim);
            }
        }
    }

    /// Turns every own grant into one that only blocks.
    pub fn demote_all(&mut self) {
        self.claims.values_mut().for_each(Claim::demote);
    }

    /// Copies of all claims, ordered by key.
    pub fn to_vec(&self) -> Vec<(RequestKey, Claim)> {
        let all = self.by_age.iter();
        all.map(|key| (*key, self.claims[key].clone())).collect()
    }

    /// Number of claims.
    pub fn len(&self) -> ClaimCount {
        self.claims.len().into()
    }

    /// Whether there is no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
