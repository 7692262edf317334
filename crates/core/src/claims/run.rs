//! One run of the claim protocol by the agent that would run the order.
//!
//! A run goes through [`Acquiring`], then [`Claimed`], then [`Running`]; each is a type of its own, so
//! that an order can be sent to the backend server only with a claim in hand. Whoever gives up before
//! that goes through [`Sealing`], which finds out whether `not-run` is true. No run can be used again:
//! a new try is a new run.

use std::collections::BTreeSet;

use super::key::{Attempt, RequestKey};
use super::lives::CrashVector;
use super::message::{
    Abstention, Answer, ClaimOperation, ClaimReply, ClaimRequest, Envelope, Outcome, RunId,
};
use super::rules::{Rule, Rules};
use crate::config::ClaimGroup;
use crate::ids::{BackendServerId, Epoch};

/// What is the same in all phases of a run.
#[derive(Clone, Debug)]
struct Subject {
    rules: Rules,
    epoch: Epoch,
    replicas: Vec<BackendServerId>,
    crash_vector: CrashVector,
    key: RequestKey,
    attempt: Attempt,
    run: RunId,
}

impl Subject {
    fn request(&self, operation: ClaimOperation) -> ClaimRequest {
        ClaimRequest {
            epoch: self.epoch,
            crash_vector: self.crash_vector.clone(),
            key: self.key,
            attempt: self.attempt,
            run: self.run,
            operation,
        }
    }

    fn to_all(&self, operation: &ClaimOperation) -> Vec<Envelope> {
        let all = self.replicas.iter();
        all.map(|to| self.to(*to, operation.clone())).collect()
    }

    fn to(&self, to: BackendServerId, operation: ClaimOperation) -> Envelope {
        let request = self.request(operation);
        Envelope { to, request }
    }

    /// Whether a reply is to this run, by a life that is not outdated.
    fn accepts(&self, reply: &ClaimReply) -> bool {
        let known = self.crash_vector.get(reply.replica.server);
        reply.run == self.run
            && reply.epoch == self.epoch
            && known == Some(reply.replica.incarnation)
            && self.replicas.contains(&reply.replica.server)
    }
}

/// The keepers that said yes, and those that said anything else.
#[derive(Clone, Debug, Default)]
struct Votes {
    yes: BTreeSet<BackendServerId>,
    no: BTreeSet<BackendServerId>,
}

impl Votes {
    fn is_won(&self, subject: &Subject) -> bool {
        self.yes.len() > subject.replicas.len() / 2
    }

    /// Whether the keepers that have not answered can no longer make a majority.
    fn is_lost(&self, subject: &Subject) -> bool {
        let open = subject.replicas.len() - self.yes.len() - self.no.len();
        self.yes.len() + open <= subject.replicas.len() / 2
    }

    fn yes(&mut self, from: BackendServerId) {
        self.no.remove(&from);
        self.yes.insert(from);
    }

    fn no(&mut self, from: BackendServerId) {
        if !self.yes.contains(&from) {
            self.no.insert(from);
        }
    }

    /// Takes in later lives: what older ones said is void. Returns who must be asked again.
    fn on_stale(
        &mut self,
        subject: &mut Subject,
        from: BackendServerId,
        crash_vector: &CrashVector,
    ) -> Again {
        let before = subject.crash_vector.clone();
        subject.crash_vector.merge(crash_vector);
        let mut ask: BTreeSet<_> = subject
            .replicas
            .iter()
            .copied()
            .filter(|k| before.get(*k) != subject.crash_vector.get(*k))
            .collect();
        for replica in &ask {
            self.yes.remove(replica);
            self.no.remove(replica);
        }
        if !ask.is_empty() && !self.yes.contains(&from) {
            self.no.remove(&from);
            ask.insert(from);
        }
        if ask.is_empty() {
            self.no(from);
        }
        Again(ask)
    }
}

struct Again(BTreeSet<BackendServerId>);

impl Again {
    fn envelopes(self, subject: &Subject, operation: &ClaimOperation) -> Vec<Envelope> {
        let replicas = self.0.into_iter();
        replicas
            .map(|to| subject.to(to, operation.clone()))
            .collect()
    }
}

/// Why a run did not get its claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AcquireFailure {
    /// The order ran before.
    Done(Outcome),
    /// One other run may have a majority.
    Held,
    /// Several runs split the keepers, and none can have a majority.
    Split,
    /// The attempt is sealed at some keepers.
    Sealed {
        /// The highest sealed attempt that was seen.
        through: Attempt,
    },
    /// Too few keepers answered, and some that did are not ready yet.
    NotReady,
    /// Too few keepers answered.
    NoMajority,
}

/// What a reply led to in [`Acquiring`].
#[derive(Debug)]
pub enum AcquireStep {
    /// Nothing yet; send these, if any.
    Pending(Acquiring, Vec<Envelope>),
    /// A majority granted the key.
    Claimed(Claimed),
    /// No majority can be had.
    Failed(Acquiring, AcquireFailure),
}

/// A run that asks for the key.
#[derive(Clone, Debug)]
pub struct Acquiring {
    subject: Subject,
    votes: Votes,
    holders: Vec<RunId>,
    sealed: Option<Attempt>,
    not_ready: bool,
}

impl Acquiring {
    /// Starts a run for one attempt. `crash_vector` are the keepers' latest lives in the directory; those
    /// that the group was committed with are known without it.
    pub fn start(
        rules: Rules,
        group: &ClaimGroup,
        crash_vector: &CrashVector,
        key: RequestKey,
        attempt: Attempt,
        run: RunId,
    ) -> (Self, Vec<Envelope>) {
        let mut known: CrashVector = group.replicas.iter().copied().collect();
        known.merge(crash_vector);
        let asking = Self {
            subject: Subject {
                rules,
                epoch: group.epoch,
                replicas: group.replicas.iter().map(|k| k.server).collect(),
                crash_vector: known,
                key,
                attempt,
                run,
            },
            votes: Votes::default(),
            holders: Vec::new(),
            sealed: None,
            not_ready: false,
        };
        let requests = asking.subject.to_all(&ClaimOperation::Grant);
        (asking, requests)
    }

    /// Takes in a reply.
    pub fn on_reply(mut self, reply: ClaimReply) -> AcquireStep {
        let from = reply.replica.server;
        if let Answer::Stale(crash_vector) = &reply.answer
            && reply.run == self.subject.run
        {
            let again = self.votes.on_stale(&mut self.subject, from, crash_vector);
            return self.decide(again);
        }
        if !self.subject.accepts(&reply) {
            return AcquireStep::Pending(self, Vec::new());
        }
        match reply.answer {
            Answer::Granted => self.votes.yes(from),
            Answer::Done(outcome) => {
                return AcquireStep::Failed(self, AcquireFailure::Done(outcome));
            }
            Answer::Held { by } => {
                self.holders.push(by);
                self.votes.no(from);
            }
            Answer::Refused { through } => {
                self.sealed = self.sealed.max(Some(through));
                self.votes.no(from);
            }
            Answer::Abstained(Abstention::Recovering | Abstention::Epoch) => {
                self.not_ready = true;
                self.votes.no(from);
            }
            _ => self.votes.no(from),
        }
        self.decide(Again(BTreeSet::new()))
    }

    /// Takes in that a keeper does not know yet that it is one.
    pub fn on_not_ready(mut self, replica: BackendServerId) -> AcquireStep {
        self.not_ready = true;
        self.on_unreachable(replica)
    }

    /// Takes in that a keeper can't be reached.
    pub fn on_unreachable(mut self, replica: BackendServerId) -> AcquireStep {
        self.votes.no(replica);
        self.decide(Again(BTreeSet::new()))
    }

    fn decide(self, again: Again) -> AcquireStep {
        if self.votes.is_won(&self.subject) {
            return AcquireStep::Claimed(Claimed {
                subject: self.subject,
            });
        }
        if self.votes.is_lost(&self.subject) {
            let why = self.failure_reason();
            return AcquireStep::Failed(self, why);
        }
        let envelopes = again.envelopes(&self.subject, &ClaimOperation::Grant);
        AcquireStep::Pending(self, envelopes)
    }

    /// Why the run is lost as far as the replies show.
    pub fn failure_reason(&self) -> AcquireFailure {
        if let Some(through) = self.sealed {
            return AcquireFailure::Sealed { through };
        }
        let others: BTreeSet<_> = self.holders.iter().collect();
        match (others.len(), self.votes.yes.is_empty()) {
            (0, _) if self.not_ready => AcquireFailure::NotReady,
            (0, _) => AcquireFailure::NoMajority,
            (1, true) => AcquireFailure::Held,
            _ => AcquireFailure::Split,
        }
    }

    /// Gives up, and asks whether `not-run` is true.
    pub fn give_up(self) -> (Sealing, Vec<Envelope>) {
        Sealing::start(self.subject)
    }

    /// Gives up without asking; send what is returned.
    pub fn release(self) -> Vec<Envelope> {
        self.subject.to_all(&ClaimOperation::Release)
    }
}

/// A run that has the key and has sent nothing to the backend server.
#[derive(Clone, Debug)]
pub struct Claimed {
    subject: Subject,
}

impl Claimed {
    /// The order is sent to the backend server from here on.
    pub fn dispatch(self) -> Running {
        Running {
            subject: self.subject,
        }
    }

    /// Gives up, and asks whether `not-run` is true.
    pub fn give_up(self) -> (Sealing, Vec<Envelope>) {
        Sealing::start(self.subject)
    }
}

/// A run whose order is at the backend server.
#[derive(Clone, Debug)]
pub struct Running {
    subject: Subject,
}

impl Running {
    /// The order has an outcome; send what is returned.
    pub fn finish(self, outcome: Outcome) -> Vec<Envelope> {
        self.subject.to_all(&ClaimOperation::Finish(outcome))
    }

    /// It is certain that nothing of the order was written to the backend server, or the peer that
    /// had it says so, and that nothing will be.
    pub fn not_written(self) -> (Sealing, Vec<Envelope>) {
        Sealing::start(self.subject)
    }
}

/// What may be said of an attempt that was given up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Sealed {
    /// Neither this attempt nor an earlier one ran or will run.
    NotRun {
        /// The lowest attempt that can still be granted, as far as is known.
        next: Attempt,
    },
    /// Another run has the order in hand, or had when it ended.
    Held,
    /// The order ran before.
    Done(Outcome),
    /// No majority could be asked.
    NoMajority,
}

/// What a reply led to in [`Sealing`].
#[derive(Debug)]
pub enum SealStep {
    /// Nothing yet; send these, if any.
    Pending(Sealing, Vec<Envelope>),
    /// The end of the run.
    Ended(Sealed),
}

/// A run that has given up and seals its attempt.
#[derive(Clone, Debug)]
pub struct Sealing {
    subject: Subject,
    votes: Votes,
    through: Attempt,
    held: bool,
}

impl Sealing {
    fn start(subject: Subject) -> (Self, Vec<Envelope>) {
        let requests = subject.to_all(&ClaimOperation::Seal);
        let sealing = Self {
            through: subject.attempt,
            subject,
            votes: Votes::default(),
            held: false,
        };
        (sealing, requests)
    }

    /// Takes in a reply.
    pub fn on_reply(mut self, reply: ClaimReply) -> SealStep {
        let from = reply.replica.server;
        if let Answer::Stale(crash_vector) = &reply.answer
            && reply.run == self.subject.run
        {
            let again = self.votes.on_stale(&mut self.subject, from, crash_vector);
            return self.decide(again);
        }
        if !self.subject.accepts(&reply) {
            return SealStep::Pending(self, Vec::new());
        }
        match reply.answer {
            Answer::Sealed { through } if through >= self.subject.attempt => {
                self.through = self.through.max(through);
                self.votes.yes(from);
            }
            Answer::Done(outcome) => return SealStep::Ended(Sealed::Done(outcome)),
            Answer::Held { by } if by != self.subject.run => {
                self.held = true;
                self.votes.no(from);
            }
            // A late answer to the question before.
            Answer::Granted | Answer::Refused { .. } | Answer::Held { .. } => {}
            _ => self.votes.no(from),
        }
        self.decide(Again(BTreeSet::new()))
    }

    /// Takes in that a keeper can't be reached.
    pub fn on_unreachable(mut self, replica: BackendServerId) -> SealStep {
        self.votes.no(replica);
        self.decide(Again(BTreeSet::new()))
    }

    /// No reply comes any more.
    pub fn on_timeout(self) -> Sealed {
        if self.held {
            Sealed::Held
        } else {
            Sealed::NoMajority
        }
    }

    fn decide(self, again: Again) -> SealStep {
        let sealed = self.votes.is_won(&self.subject) || !self.subject.rules.obeys(Rule::Seal);
        if sealed {
            let next = self.through.next();
            return SealStep::Ended(Sealed::NotRun { next });
        }
        if self.votes.is_lost(&self.subject) {
            return SealStep::Ended(self.on_timeout());
        }
        let envelopes = again.envelopes(&self.subject, &ClaimOperation::Seal);
        SealStep::Pending(self, envelopes)
    }
}
