//! A claim replica: holds the claims of one service and answers runs and other replicas.
//!
//! A replica receives the committed group by [`ClaimReplica::on_group`]. It then either starts empty (in the
//! first epoch, in its first incarnation) or collects copies ([`ClaimReplica::copy_requests`],
//! [`ClaimReplica::on_copy`]) until it has *installed* the epoch. Only then does it answer for all keys.
//! Before that, a replica whose group is confirmed to be in force answers for keys that were created after
//! the replica started, since no earlier incarnation can have granted these.

use std::time::Duration;

use super::key::{KeyAge, RequestKey};
use super::lives::CrashVector;
use super::message::{
    Abstention, Answer, ClaimOperation, ClaimReply, ClaimRequest, Copy, CopyRequest, Grant, Outcome,
};
use super::recovery::Recovery;
use super::rules::{Rule, Rules};
use super::table::{Claim, ClaimCount, Table};
use crate::config::{ClaimGroup, ClaimReplicaId};
use crate::ids::{BackendServerId, Epoch};
use crate::time::{CLOCK_MARGIN, UnixMillis};

/// Options of a [`ClaimReplica`].
#[derive(Clone, Copy, Debug)]
pub struct ClaimReplicaOptions {
    /// The backend server of the agent, and the current incarnation.
    pub me: ClaimReplicaId,
    /// When the current incarnation started, by the host's clock.
    pub started_at: UnixMillis,
    /// Maximum number of claims; only copied claims are accepted beyond it.
    pub capacity: ClaimCount,
    /// The rules; [`Rules::default`] except in tests.
    pub rules: Rules,
}

/// The status of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplicaStatus {
    /// The replica with its current incarnation.
    pub replica: ClaimReplicaId,
    /// The epoch in which it is a replica; none when it is in no group.
    pub epoch: Option<Epoch>,
    /// The last epoch that it has all claims of.
    pub installed: Option<Epoch>,
    /// Number of claims that it holds.
    pub claims: ClaimCount,
}

/// A replica of the claims on the keys of one service.
#[derive(Clone, Debug)]
pub struct ClaimReplica {
    options: ClaimReplicaOptions,
    retry_window: Duration,
    group: Option<ClaimGroup>,
    installed: Option<Epoch>,
    closed_through: Epoch,
    crash_vector: CrashVector,
    table: Table,
    recovery: Recovery,
    group_since: UnixMillis,
    confirmed_at: Option<UnixMillis>,
}

impl ClaimReplica {
    /// Creates a replica that is in no group yet.
    pub fn new(options: ClaimReplicaOptions) -> Self {
        Self {
            options,
            retry_window: Duration::ZERO,
            group: None,
            installed: None,
            closed_through: Epoch::default(),
            crash_vector: [options.me].into_iter().collect(),
            table: Table::new(options.capacity),
            recovery: Recovery::default(),
            group_since: options.started_at,
            confirmed_at: None,
        }
    }

    /// Applies the committed group and the retry window of the service's profile.
    pub fn on_group(&mut self, now: UnixMillis, group: &ClaimGroup, retry_window: Duration) {
        self.retry_window = retry_window;
        let known = self.group.as_ref();
        if known.is_some_and(|k| k.epoch > group.epoch) {
            return;
        }
        if known.is_none_or(|k| k.epoch < group.epoch) {
            self.recovery.clear();
            self.group_since = now;
            self.confirmed_at = None;
        }
        let members = group.replicas.iter().chain(&group.previous);
        members.for_each(|k| self.crash_vector.record(*k));
        self.group = Some(group.clone());
        self.start_or_join(group);
        self.on_tick(now);
    }

    /// Installs the first epoch empty in the replica's first incarnation, or closes the previous epoch.
    fn start_or_join(&mut self, group: &ClaimGroup) {
        let me = self.options.me;
        if group.epoch == ClaimGroup::FIRST_EPOCH && group.replicas.contains(&me) {
            self.installed.get_or_insert(group.epoch);
        }
        if !self.obeys(Rule::Abstain) && is_member(&group.replicas, me.server) {
            self.installed.get_or_insert(group.epoch);
        }
        if self.installed.is_some_and(|i| i < group.epoch) {
            self.close(group.epoch);
        }
    }

    /// Records that the last group was the committed one at `as_of`, by the clock of a control host. Only
    /// with this confirmation may a replica that restarted rely on time instead of copies: its earlier
    /// incarnation may have closed the epoch, and a closed epoch never expires.
    pub fn on_confirmed(&mut self, now: UnixMillis, as_of: UnixMillis) {
        if as_of > self.options.started_at.plus(CLOCK_MARGIN) {
            self.confirmed_at.get_or_insert(now);
        }
    }

    /// Deletes expired claims, and ends the recovery when all claims to be recovered have expired.
    pub fn on_tick(&mut self, now: UnixMillis) {
        if self.group.is_none() {
            return;
        }
        self.table.expire(now, self.retry_window);
        let floor = self.table.floor();
        let mut missing = self.missing_epochs();
        let all_expired =
            missing.find(|e| self.may_be_granted_until(*e).is_some_and(|u| floor > u));
        if let Some(epoch) = all_expired {
            self.install(epoch);
        }
    }

    /// The time after which a key must have been created so that it can't have been granted before, neither
    /// in `epoch` by an earlier incarnation of this replica nor in an older epoch by any replica; none if
    /// that is not known yet. The time includes [`CLOCK_MARGIN`] twice: a key may be ahead of the clock of
    /// the replica that granted it, and that clock may be ahead of this one.
    fn may_be_granted_until(&self, epoch: Epoch) -> Option<UnixMillis> {
        let group = self.group.as_ref()?;
        let since = if epoch < group.epoch {
            Some(self.group_since)
        } else {
            let in_force = group.is_settled() || self.recovery.has_copy_of(epoch);
            self.confirmed_at.filter(|_| in_force)
        };
        since.map(|s| s.plus(2 * CLOCK_MARGIN))
    }

    /// The copy requests to send now, each with the server of the replica to send it to. To be sent
    /// repeatedly until none is returned.
    pub fn copy_requests(&self) -> Vec<(BackendServerId, CopyRequest)> {
        let Some(group) = &self.group else {
            return Vec::new();
        };
        let me = self.options.me;
        let mut requests = Vec::new();
        for epoch in self.missing_epochs() {
            let members = group.replicas.iter().chain(&group.previous);
            let mut others: Vec<_> = members.map(|k| k.server).collect();
            others.sort_unstable();
            others.dedup();
            others.retain(|s| *s != me.server);
            requests.extend(others.into_iter().map(|to| {
                let request = CopyRequest {
                    epoch,
                    copier: me,
                    crash_vector: self.crash_vector.clone(),
                };
                (to, request)
            }));
        }
        requests
    }

    /// Epochs whose claims this replica needs and has not installed: that of the group, and the one before
    /// while other replicas still copy from it.
    fn missing_epochs(&self) -> impl Iterator<Item = Epoch> + use<> {
        let me = self.options.me;
        let installed = self.installed.unwrap_or_default();
        let group = self.group.as_ref();
        let own = group.filter(|g| is_member(&g.replicas, me.server));
        let before = group.filter(|g| is_member(&g.previous, me.server));
        let before = before.map(|g| Epoch::new(g.epoch.get() - 1));
        let missing = [own.map(|g| g.epoch), before];
        missing
            .into_iter()
            .flatten()
            .filter(move |e| *e > installed)
    }

    /// Handles a copy from another replica.
    pub fn on_copy(&mut self, now: UnixMillis, copy: Copy) {
        self.crash_vector.record(copy.giver);
        self.crash_vector.merge(&copy.crash_vector);
        self.recovery.add(copy, &self.crash_vector);
        self.try_install();
        self.on_tick(now);
    }

    fn try_install(&mut self) {
        let Some(group) = self.group.clone() else {
            return;
        };
        self.recovery.drop_void(&self.crash_vector);
        let mut missing = self.missing_epochs();
        if let Some(epoch) = missing.find(|e| self.has_quorum(&group, *e)) {
            self.install(epoch);
        }
    }

    /// Whether the collected copies contain every grant that was acknowledged before the start of `epoch`,
    /// or in it by earlier incarnations of this replica.
    fn has_quorum(&self, group: &ClaimGroup, epoch: Epoch) -> bool {
        let installed = |c: &Copy| c.installed >= Some(epoch);
        if epoch < group.epoch {
            return self.recovery.has_majority(&group.previous, None, installed);
        }
        self.recovery.has_majority(&group.replicas, None, installed) || self.can_join(group)
    }

    /// Whether a majority of the previous epoch's replicas have closed it and given copies. This suffices
    /// for a replica in its first incarnation in the new epoch; a later incarnation may have given grants
    /// in an earlier one.
    fn can_join(&self, group: &ClaimGroup) -> bool {
        let me = self.options.me;
        if group.is_settled() || !group.replicas.contains(&me) {
            return false;
        }
        let before = Epoch::new(group.epoch.get() - 1);
        let own = self.installed.is_some_and(|i| i >= before);
        let closes = self.obeys(Rule::RefuseOldEpoch);
        self.recovery
            .has_majority(&group.previous, own.then_some(me.server), |c| {
                c.installed >= Some(before) && (c.closed_through >= before || !closes)
            })
    }

    fn install(&mut self, epoch: Epoch) {
        if self.installed.is_some() {
            self.table.demote_all();
        }
        for copy in self.recovery.drain() {
            self.closed_through = self.closed_through.max(copy.closed_through);
            self.table.raise_floor(copy.floor);
            self.table.merge(&copy.claims);
        }
        self.installed = Some(epoch);
        let committed = self.group.as_ref().map(|g| g.epoch);
        if let Some(next) = committed.filter(|c| *c > epoch) {
            self.close(next);
        }
    }

    /// Returns a copy of all claims, or one without `installed` if there is none to give.
    pub fn on_copy_request(&mut self, now: UnixMillis, request: &CopyRequest) -> Copy {
        self.on_tick(now);
        let copier = request.copier;
        let is_outdated = self.crash_vector.is_outdated(copier);
        if self.obeys(Rule::FenceCopies) && !is_outdated {
            self.crash_vector.merge(&request.crash_vector);
            self.crash_vector.record(copier);
        }
        let installed = self.installed.filter(|i| i.next() >= request.epoch);
        let given = installed.filter(|_| !is_outdated && !self.is_replaced());
        if given.is_some_and(|i| i < request.epoch) {
            self.close(request.epoch);
        }
        Copy {
            giver: self.options.me,
            installed: given,
            closed_through: self.closed_through,
            floor: self.table.floor(),
            crash_vector: self.crash_vector.clone(),
            claims: given.map_or_else(Vec::new, |_| self.table.to_vec()),
        }
    }

    /// Refuses the epochs before `epoch` from now on.
    fn close(&mut self, epoch: Epoch) {
        if self.obeys(Rule::RefuseOldEpoch) {
            let before = Epoch::new(epoch.get() - 1);
            self.closed_through = self.closed_through.max(before);
        }
    }

    /// Handles a request of a run.
    pub fn on_request(&mut self, now: UnixMillis, request: ClaimRequest) -> ClaimReply {
        self.on_tick(now);
        let (epoch, run) = (request.epoch, request.run);
        ClaimReply {
            replica: self.options.me,
            epoch,
            run,
            answer: self.answer(now, request),
        }
    }

    fn answer(&mut self, now: UnixMillis, request: ClaimRequest) -> Answer {
        match request.operation {
            ClaimOperation::Release => self.release(&request),
            ClaimOperation::Finish(outcome) => self.finish(request.key, outcome),
            ClaimOperation::Grant => match self.check(now, &request) {
                Some(refusal) => refusal,
                None => self.grant(&request),
            },
            ClaimOperation::Seal => match self.check(now, &request) {
                Some(refusal) => refusal,
                None => self.seal(&request),
            },
        }
    }

    /// The reply to a request that can't be decided; none if it can.
    fn check(&mut self, now: UnixMillis, request: &ClaimRequest) -> Option<Answer> {
        if let Some(stale) = self.check_lives(&request.crash_vector) {
            return Some(stale);
        }
        let abstention = self
            .check_epoch(request.epoch, request.key)
            .or_else(|| self.check_key(now, request.key));
        abstention.map(Answer::Abstained)
    }

    fn check_lives(&mut self, listed: &CrashVector) -> Option<Answer> {
        let me = self.options.me;
        if self.is_replaced() || listed.get(me.server) != Some(me.incarnation) {
            return Some(Answer::Stale(self.crash_vector.clone()));
        }
        if !self.obeys(Rule::FenceCopies) {
            return None;
        }
        if self.crash_vector.is_newer_than(listed) {
            return Some(Answer::Stale(self.crash_vector.clone()));
        }
        self.crash_vector.merge(listed);
        None
    }

    /// Whether a later incarnation of this replica is known.
    fn is_replaced(&self) -> bool {
        self.crash_vector.is_outdated(self.options.me)
    }

    fn check_epoch(&self, epoch: Epoch, key: RequestKey) -> Option<Abstention> {
        if epoch <= self.closed_through {
            return Some(Abstention::Epoch);
        }
        if self.installed == Some(epoch) {
            return None;
        }
        let group = self.group.as_ref().filter(|g| g.epoch == epoch);
        if !group.is_some_and(|g| is_member(&g.replicas, self.options.me.server)) {
            return Some(Abstention::Epoch);
        }
        let may_be_granted_until = self.may_be_granted_until(epoch);
        let is_created_after = may_be_granted_until.is_some_and(|until| key.created_at() > until);
        (!is_created_after).then_some(Abstention::Recovering)
    }

    fn check_key(&self, now: UnixMillis, key: RequestKey) -> Option<Abstention> {
        let is_current = key.age(now, self.retry_window) == KeyAge::Current;
        if !is_current || key.created_at() <= self.table.floor() {
            return Some(Abstention::KeyTime);
        }
        (!self.table.has_room_for(key)).then_some(Abstention::Full)
    }

    fn grant(&mut self, request: &ClaimRequest) -> Answer {
        let block_only = self.obeys(Rule::BlockOnlyCopies);
        let (attempt, run) = (request.attempt, request.run);
        let claim = self.table.entry(request.key);
        if let Some(outcome) = &claim.outcome {
            return Answer::Done(outcome.clone());
        }
        if let Some(through) = claim.sealed_through.filter(|through| *through >= attempt) {
            return Answer::Refused { through };
        }
        let grant = Grant { attempt, run };
        if claim.granted == Some(grant) || (!block_only && claim.copied.contains(&grant)) {
            return Answer::Granted;
        }
        if let Some(held) = blocked_by(claim, request) {
            return held;
        }
        claim.granted = Some(grant);
        Answer::Granted
    }

    fn seal(&mut self, request: &ClaimRequest) -> Answer {
        let claim = self.table.entry(request.key);
        claim.end(request.run);
        if let Some(outcome) = &claim.outcome {
            return Answer::Done(outcome.clone());
        }
        if let Some(grant) = claim.grants().next() {
            return Answer::Held { by: grant.run };
        }
        let through = claim.sealed_through.max(Some(request.attempt));
        claim.sealed_through = through;
        Answer::Sealed {
            through: through.unwrap_or(request.attempt),
        }
    }

    fn release(&mut self, request: &ClaimRequest) -> Answer {
        if self.can_store(request.key) {
            self.table.entry(request.key).end(request.run);
        }
        Answer::Noted
    }

    fn finish(&mut self, key: RequestKey, outcome: Outcome) -> Answer {
        if self.can_store(key) {
            self.table.entry(key).finish(outcome);
        }
        Answer::Noted
    }

    /// Whether a change of the claim on `key` still has an effect and fits in the table.
    fn can_store(&self, key: RequestKey) -> bool {
        key.created_at() > self.table.floor() && self.table.has_room_for(key)
    }

    /// The status of the replica.
    pub fn status(&self) -> ReplicaStatus {
        let server = self.options.me.server;
        let group = self.group.as_ref();
        let mine = group.filter(|g| is_member(&g.replicas, server));
        ReplicaStatus {
            replica: self.options.me,
            epoch: mine.map(|g| g.epoch),
            installed: self.installed,
            claims: self.table.len(),
        }
    }

    /// The claim on `key`, if there is one.
    pub fn claim(&self, key: RequestKey) -> Option<&Claim> {
        self.table.get(key)
    }

    fn obeys(&self, rule: Rule) -> bool {
        self.options.rules.obeys(rule)
    }
}

/// The reply that names the run which blocks the request; none if the key is free.
fn blocked_by(claim: &Claim, request: &ClaimRequest) -> Option<Answer> {
    if claim.has_ended(request.run) {
        return Some(Answer::Held { by: request.run });
    }
    let grant = claim.grants().next()?;
    Some(Answer::Held { by: grant.run })
}

fn is_member(replicas: &[ClaimReplicaId], server: BackendServerId) -> bool {
    replicas.iter().any(|k| k.server == server)
}
