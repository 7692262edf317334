//! The state machine of the replicated log.
//!
//! Every control host applies the same [`Command`]s in the same order and so has the same
//! [`ControlState`]. A result depends only on the state and the entry: its index, its time and its content.
//! The results of operators' commands are kept until the deadline in their id, so that a command that is
//! sent again gets its first result, also from a later leader. A command whose result may have been deleted
//! is refused.

use std::collections::BTreeMap;

use crate::changes::{
    Accepted, COMMAND_WINDOW, Change, ChangeResult, Command, CommandId, CommandIdExpiredSnafu,
    CommandIdReusedSnafu, CommittedValue, InvalidSnafu, Refusal, VersionConflictSnafu,
};
use crate::config::{ClaimGroup, CommittedConfig, Document, Profile, Version, ZoneState};
use crate::ids::{LogIndex, ServiceId};
use crate::time::UnixMillis;

/// A command that was applied, with its result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnsweredCommand {
    /// The requested change.
    pub change: Change,
    /// The result.
    pub answer: ChangeResult,
}

/// The state after all log entries that were applied.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ControlState {
    /// The configuration in force.
    pub config: CommittedConfig,
    /// Commands whose results are kept, by id and so by age.
    pub answered: BTreeMap<CommandId, AnsweredCommand>,
    /// When the current state of each claim group was committed, by the clocks of the leaders.
    pub epoch_times: BTreeMap<ServiceId, UnixMillis>,
    /// The latest time of any entry.
    pub time: UnixMillis,
}

impl ControlState {
    /// The state of a new cluster.
    pub fn new(initial: CommittedConfig) -> Self {
        Self {
            config: initial,
            ..Self::default()
        }
    }

    /// Applies the entry at `index`.
    pub fn apply(&mut self, index: LogIndex, command: Command) -> ChangeResult {
        self.time = self.time.max(command.proposed_at);
        self.delete_expired_results();
        let Some(id) = command.id else {
            return self.change(index, command.change);
        };
        if let Some(known) = self.answered.get(&id) {
            return known.repeated_result(&command.change);
        }
        self.check_age(id)?;
        let answer = self.change(index, command.change.clone());
        let answered = AnsweredCommand {
            change: command.change,
            answer: answer.clone(),
        };
        self.answered.insert(id, answered);
        answer
    }

    /// Deletes expired results. Ids sort by the time in them, so the expired ones come first.
    fn delete_expired_results(&mut self) {
        while let Some(first) = self.answered.first_entry() {
            if first.key().forget_at() >= self.time {
                return;
            }
            first.remove();
        }
    }

    fn check_age(&self, id: CommandId) -> Result<(), Refusal> {
        if id.forget_at() < self.time {
            return CommandIdExpiredSnafu.fail();
        }
        if id.created_at() > self.time.plus(COMMAND_WINDOW) {
            let (field, problem) = ("command_id", "its time is in the future; check the clock");
            return InvalidSnafu { field, problem }.fail();
        }
        Ok(())
    }

    fn change(&mut self, index: LogIndex, change: Change) -> ChangeResult {
        let version = match change {
            Change::Profile(profile) => self.change_profile(profile)?,
            Change::Zone(zone) => self.change_zone(zone)?,
            Change::ClaimGroup(group) => self.change_claim_group(group)?,
            Change::Document(document) => return Ok(self.change_document(index, document)),
        };
        self.config.index = index;
        Ok(Accepted { index, version })
    }

    fn change_profile(&mut self, mut profile: Profile) -> Result<Version, Refusal> {
        profile.check()?;
        let known = self.config.profiles.get(&profile.name);
        let current = known.map_or(CommittedValue::Nothing, |p| Box::new(p.clone()).into());
        check_version(profile.version, known.map(|p| p.version), current)?;
        profile.version = profile.version.next();
        let version = profile.version;
        self.config.profiles.insert(profile.name.clone(), profile);
        Ok(version)
    }

    fn change_zone(&mut self, mut zone: ZoneState) -> Result<Version, Refusal> {
        let known = self.config.zones.get(&zone.name);
        let current = known.map_or(CommittedValue::Nothing, |z| z.clone().into());
        check_version(zone.version, known.map(|z| z.version), current)?;
        zone.version = zone.version.next();
        let version = zone.version;
        self.config.zones.insert(zone.name.clone(), zone);
        Ok(version)
    }

    /// A document whose version is not the highest, because it was sent again or overtaken, is accepted
    /// without effect on the document and the index.
    fn change_document(&mut self, index: LogIndex, document: Document) -> Accepted {
        let in_force = self.config.document.as_ref().map(|d| d.version);
        if in_force.is_none_or(|in_force| document.version > in_force) {
            self.config.document = Some(document);
            self.config.index = index;
        }
        let in_force = self.config.document.as_ref().map(|d| d.version);
        Accepted {
            index: self.config.index,
            version: in_force.unwrap_or_default(),
        }
    }

    fn change_claim_group(&mut self, group: ClaimGroup) -> Result<Version, Refusal> {
        let known = self.config.claim_groups.get(&group.service);
        if !may_follow(known, &group) {
            let current = known.map_or(CommittedValue::Nothing, |g| g.clone().into());
            return VersionConflictSnafu { current }.fail();
        }
        let version = Version::new(group.epoch.get());
        self.epoch_times.insert(group.service, self.time);
        self.config.claim_groups.insert(group.service, group);
        Ok(version)
    }
}

/// Whether `next` is one of the three changes that [`ClaimGroup`] allows: the first epoch, the next epoch of
/// a settled group, and the settling of an epoch.
fn may_follow(known: Option<&ClaimGroup>, next: &ClaimGroup) -> bool {
    let Some(known) = known else {
        return next.epoch == ClaimGroup::FIRST_EPOCH && next.is_settled();
    };
    if next.epoch == known.epoch {
        return next.replicas == known.replicas && next.is_settled() && !known.is_settled();
    }
    let follows = next.epoch.get() == known.epoch.get() + 1;
    follows && known.is_settled() && next.previous == known.replicas
}

impl AnsweredCommand {
    fn repeated_result(&self, change: &Change) -> ChangeResult {
        if self.change == *change {
            self.answer.clone()
        } else {
            CommandIdReusedSnafu.fail()
        }
    }
}

fn check_version(
    read_at: Version,
    in_force: Option<Version>,
    current: CommittedValue,
) -> Result<(), Refusal> {
    if read_at == in_force.unwrap_or_default() {
        Ok(())
    } else {
        VersionConflictSnafu { current }.fail()
    }
}
