//! One run of the claim protocol (a *claim run*), at the agent that would have the request executed.
//!
//! A claim run is in the phase [`Acquiring`], then [`Claimed`], then [`Running`]. Each phase is a type of its
//! own, so that a request can be sent to the backend server only with a claim. A claim run that gives up
//! enters [`Sealing`], which determines whether `not-run` may be reported, that is, whether it is certain that
//! the request was not executed. A claim run is never reused: each try is a new claim run.

use std::collections::BTreeSet;

use super::key::{Attempt, RequestKey};
use super::lives::CrashVector;
use super::message::{
    Abstention, Answer, ClaimOperation, ClaimReply, ClaimRequest, Envelope, Outcome, RunId,
};
use super::rules::{Rule, Rules};
use crate::config::ClaimGroup;
use crate::ids::{BackendServerId, Epoch};

/// The parameters of a run, which are common to all phases.
#[derive(Clone, Debug)]
struct RunContext {
    rules: Rules,
    epoch: Epoch,
    replicas: Vec<BackendServerId>,
    crash_vector: CrashVector,
    key: RequestKey,
    attempt: Attempt,
    run: RunId,
}

impl RunContext {
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

    /// Whether a reply is to this run, from the latest known incarnation of one of its replicas.
    fn accepts(&self, reply: &ClaimReply) -> bool {
        let known = self.crash_vector.get(reply.replica.server);
        reply.run == self.run
            && reply.epoch == self.epoch
            && known == Some(reply.replica.incarnation)
            && self.replicas.contains(&reply.replica.server)
    }
}

/// The replicas that granted or sealed, and those that replied otherwise or are unreachable.
#[derive(Clone, Debug, Default)]
struct Votes {
    yes: BTreeSet<BackendServerId>,
    no: BTreeSet<BackendServerId>,
}

impl Votes {
    fn is_won(&self, context: &RunContext) -> bool {
        self.yes.len() > context.replicas.len() / 2
    }

    /// Whether no majority is possible any more, even if all replicas that have not replied grant or seal.
    fn is_lost(&self, context: &RunContext) -> bool {
        let open = context.replicas.len() - self.yes.len() - self.no.len();
        self.yes.len() + open <= context.replicas.len() / 2
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

    /// Merges a newer crash vector, which voids the replies of older incarnations. Returns the replicas to
    /// which the request must be sent again.
    fn on_stale(
        &mut self,
        context: &mut RunContext,
        from: BackendServerId,
        crash_vector: &CrashVector,
    ) -> Retry {
        let before = context.crash_vector.clone();
        context.crash_vector.merge(crash_vector);
        let mut retry: BTreeSet<_> = context
            .replicas
            .iter()
            .copied()
            .filter(|k| before.get(*k) != context.crash_vector.get(*k))
            .collect();
        for replica in &retry {
            self.yes.remove(replica);
            self.no.remove(replica);
        }
        if !retry.is_empty() && !self.yes.contains(&from) {
            self.no.remove(&from);
            retry.insert(from);
        }
        if retry.is_empty() {
            self.no(from);
        }
        Retry(retry)
    }
}

struct Retry(BTreeSet<BackendServerId>);

impl Retry {
    fn envelopes(self, context: &RunContext, operation: &ClaimOperation) -> Vec<Envelope> {
        let replicas = self.0.into_iter();
        replicas
            .map(|to| context.to(to, operation.clone()))
            .collect()
    }
}

/// Why a run did not get a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AcquireFailure {
    /// The request was sent to a backend server before; this is its outcome.
    Done(Outcome),
    /// One other run holds the key, possibly at a majority.
    Held,
    /// Several runs hold grants of the key, and possibly none has a majority.
    Split,
    /// The attempt is sealed at some replicas.
    Sealed {
        /// The highest sealed attempt in the replies.
        through: Attempt,
    },
    /// No majority granted the key, and some replicas are not ready yet.
    NotReady,
    /// No majority of the replicas granted the key.
    NoMajority,
}

/// The result of a reply in the phase [`Acquiring`].
#[derive(Debug)]
pub enum AcquireStep {
    /// The phase goes on; the requests, if any, are to be sent.
    Pending(Acquiring, Vec<Envelope>),
    /// A majority granted the key.
    Claimed(Claimed),
    /// A majority is no longer possible.
    Failed(Acquiring, AcquireFailure),
}

/// A run that requests grants of the key.
#[derive(Clone, Debug)]
pub struct Acquiring {
    context: RunContext,
    votes: Votes,
    holders: Vec<RunId>,
    sealed: Option<Attempt>,
    not_ready: bool,
}

impl Acquiring {
    /// Starts a run for one attempt, and returns it with the requests to send. `crash_vector` has the
    /// replicas' latest incarnations in the directory; those that the group was committed with are added.
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
        let acquiring = Self {
            context: RunContext {
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
        let requests = acquiring.context.to_all(&ClaimOperation::Grant);
        (acquiring, requests)
    }

    /// Handles a reply.
    pub fn on_reply(mut self, reply: ClaimReply) -> AcquireStep {
        let from = reply.replica.server;
        if let Answer::Stale(crash_vector) = &reply.answer
            && reply.run == self.context.run
        {
            let retry = self.votes.on_stale(&mut self.context, from, crash_vector);
            return self.decide(retry);
        }
        if !self.context.accepts(&reply) {
            return AcquireStep::Pending(self, Vec::new());
        }
        match reply.answer {
            Answer::Granted => self.votes.yes(from),
            Answer::Done(result) => return AcquireStep::Failed(self, AcquireFailure::Done(result)),
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
        self.decide(Retry(BTreeSet::new()))
    }

    /// Handles the reply of a server that is not a replica according to the configuration it has.
    pub fn on_not_ready(mut self, replica: BackendServerId) -> AcquireStep {
        self.not_ready = true;
        self.on_unreachable(replica)
    }

    /// Handles the failure to reach a replica.
    pub fn on_unreachable(mut self, replica: BackendServerId) -> AcquireStep {
        self.votes.no(replica);
        self.decide(Retry(BTreeSet::new()))
    }

    fn decide(self, retry: Retry) -> AcquireStep {
        if self.votes.is_won(&self.context) {
            return AcquireStep::Claimed(Claimed {
                context: self.context,
            });
        }
        if self.votes.is_lost(&self.context) {
            let reason = self.failure_reason();
            return AcquireStep::Failed(self, reason);
        }
        let envelopes = retry.envelopes(&self.context, &ClaimOperation::Grant);
        AcquireStep::Pending(self, envelopes)
    }

    /// The reason for the failure of the run, according to the replies so far.
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

    /// Gives up and seals the attempt, to find out whether `not-run` may be reported.
    pub fn give_up(self) -> (Sealing, Vec<Envelope>) {
        Sealing::start(self.context)
    }

    /// Gives up without sealing; the returned requests are to be sent.
    pub fn release(self) -> Vec<Envelope> {
        self.context.to_all(&ClaimOperation::Release)
    }
}

/// A run that has the claim and has sent nothing to the backend server.
#[derive(Clone, Debug)]
pub struct Claimed {
    context: RunContext,
}

impl Claimed {
    /// Enters the phase in which the request may be sent to the backend server.
    pub fn dispatch(self) -> Running {
        Running {
            context: self.context,
        }
    }

    /// Gives up and seals the attempt, to find out whether `not-run` may be reported.
    pub fn give_up(self) -> (Sealing, Vec<Envelope>) {
        Sealing::start(self.context)
    }
}

/// A run whose request may have been sent to the backend server.
#[derive(Clone, Debug)]
pub struct Running {
    context: RunContext,
}

impl Running {
    /// Ends the run with the outcome of the request; the returned requests are to be sent.
    pub fn finish(self, outcome: Outcome) -> Vec<Envelope> {
        self.context.to_all(&ClaimOperation::Finish(outcome))
    }

    /// Gives up and seals the attempt. Only allowed if it is certain that no part of the request was or will
    /// be written to the backend server, or if the peer that it was handed off to has reported so.
    pub fn not_written(self) -> (Sealing, Vec<Envelope>) {
        Sealing::start(self.context)
    }
}

/// The result of a run that has given up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SealOutcome {
    /// Neither this attempt nor an earlier one ran or will run.
    NotRun {
        /// The lowest attempt that can still be granted, according to the replies.
        next: Attempt,
    },
    /// Another run holds a grant of the key.
    Held,
    /// The request was sent to a backend server before; this is its outcome.
    Done(Outcome),
    /// No majority has sealed the attempt.
    NoMajority,
}

/// The result of a reply in the phase [`Sealing`].
#[derive(Debug)]
pub enum SealStep {
    /// The phase goes on; the requests, if any, are to be sent.
    Pending(Sealing, Vec<Envelope>),
    /// The run has ended.
    Ended(SealOutcome),
}

/// A run that has given up and seals its attempt.
#[derive(Clone, Debug)]
pub struct Sealing {
    context: RunContext,
    votes: Votes,
    through: Attempt,
    held: bool,
}

impl Sealing {
    fn start(context: RunContext) -> (Self, Vec<Envelope>) {
        let requests = context.to_all(&ClaimOperation::Seal);
        let sealing = Self {
            through: context.attempt,
            context,
            votes: Votes::default(),
            held: false,
        };
        (sealing, requests)
    }

    /// Handles a reply.
    pub fn on_reply(mut self, reply: ClaimReply) -> SealStep {
        let from = reply.replica.server;
        if let Answer::Stale(crash_vector) = &reply.answer
            && reply.run == self.context.run
        {
            let retry = self.votes.on_stale(&mut self.context, from, crash_vector);
            return self.decide(retry);
        }
        if !self.context.accepts(&reply) {
            return SealStep::Pending(self, Vec::new());
        }
        match reply.answer {
            Answer::Sealed { through } if through >= self.context.attempt => {
                self.through = self.through.max(through);
                self.votes.yes(from);
            }
            Answer::Done(outcome) => return SealStep::Ended(SealOutcome::Done(outcome)),
            Answer::Held { by } if by != self.context.run => {
                self.held = true;
                self.votes.no(from);
            }
            // A late reply to the grant request that preceded the seal.
            Answer::Granted | Answer::Refused { .. } | Answer::Held { .. } => {}
            _ => self.votes.no(from),
        }
        self.decide(Retry(BTreeSet::new()))
    }

    /// Handles the failure to reach a replica.
    pub fn on_unreachable(mut self, replica: BackendServerId) -> SealStep {
        self.votes.no(replica);
        self.decide(Retry(BTreeSet::new()))
    }

    /// The result if no further reply is received.
    pub fn on_timeout(self) -> SealOutcome {
        if self.held {
            SealOutcome::Held
        } else {
            SealOutcome::NoMajority
        }
    }

    fn decide(self, retry: Retry) -> SealStep {
        // Tests disable the rule to verify that their checks then find a violation. Without the rule,
        // `not-run` is reported without a majority, so the attempt counts as sealed.
        let sealed = self.votes.is_won(&self.context) || !self.context.rules.obeys(Rule::Seal);
        if sealed {
            let next = self.through.next();
            return SealStep::Ended(SealOutcome::NotRun { next });
        }
        if self.votes.is_lost(&self.context) {
            return SealStep::Ended(self.on_timeout());
        }
        let envelopes = retry.envelopes(&self.context, &ClaimOperation::Seal);
        SealStep::Pending(self, envelopes)
    }
}
