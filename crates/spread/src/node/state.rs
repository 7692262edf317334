//! Handles incoming records, configurations, heartbeats and observations.

use std::sync::Arc;

use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::directory::{MemberState, Merge, Record};
use dogwoodrill_core::ids::LogIndex;

use super::{Node, send};
use crate::config_delta::ConfigDelta;
use crate::message::{LinkId, LinkKind, MemberIncarnation, Message, Output};
use crate::progress::Progress;
use crate::suspicion::{DEAD_AFTER, Observation};
use crate::time::Now;

impl Node {
    pub(super) fn handle_records(
        &mut self,
        now: Now,
        link: LinkId,
        records: Vec<Arc<Record>>,
        out: &mut Vec<Output>,
    ) {
        for record in records {
            self.handle_record(now, Some(link), &record, out);
        }
    }

    pub(super) fn handle_record(
        &mut self,
        now: Now,
        from: Option<LinkId>,
        record: &Arc<Record>,
        out: &mut Vec<Output>,
    ) {
        if self.directory.merge(Arc::clone(record)) == Merge::Stale {
            return;
        }
        out.push(Output::Record(Arc::clone(record)));
        self.pending
            .add_record(now.instant, from, Arc::clone(record));
        self.refute_stale_record(now, record, out);
    }

    /// Refutes a newer record of this node's own incarnation, which another node wrote because it
    /// considered the member dead, or which remains from earlier: announces the current state again,
    /// under a higher sequence number.
    fn refute_stale_record(&mut self, now: Now, record: &Record, out: &mut Vec<Output>) {
        let Some(own) = &mut self.own else { return };
        let is_same_incarnation =
            record.member == own.member && record.incarnation == own.incarnation;
        if !is_same_incarnation || record.sequence <= own.sequence {
            return;
        }
        own.sequence = record.sequence.next();
        let own = Arc::new(own.clone());
        self.handle_record(now, None, &own, out);
    }

    /// Applies a configuration if its index is higher than that of the present one.
    pub(super) fn apply_config(
        &mut self,
        now: Now,
        config: Arc<CommittedConfig>,
        out: &mut Vec<Output>,
    ) {
        if self.startup.is_some() {
            if config.index > self.pending_config.index {
                self.pending_config = config;
            }
            return;
        }
        if config.index > self.index() {
            let delta = ConfigDelta::between(&self.config, &config);
            self.activate_config(now, config, delta.into(), out);
        }
    }

    pub(super) fn apply_delta(
        &mut self,
        now: Now,
        link: LinkId,
        delta: Arc<ConfigDelta>,
        out: &mut Vec<Output>,
    ) {
        self.raise_peer_index(link, delta.to());
        let is_starting = self.startup.is_some();
        let base = if is_starting {
            &self.pending_config
        } else {
            &self.config
        };
        if delta.to() <= base.index {
            return;
        }
        let Some(config) = delta.apply(base) else {
            out.push(send(link, Message::Pull(base.index)));
            return;
        };
        if is_starting {
            self.pending_config = Arc::new(config);
        } else {
            self.activate_config(now, Arc::new(config), delta, out);
        }
    }

    fn activate_config(
        &mut self,
        now: Now,
        config: Arc<CommittedConfig>,
        delta: Arc<ConfigDelta>,
        out: &mut Vec<Output>,
    ) {
        self.history.push(delta);
        self.config = Arc::clone(&config);
        self.pending.schedule_flush(now.instant);
        out.push(Output::Config(config));
    }

    /// Starts to serve: the configuration received during startup comes into force.
    pub(super) fn start_serving(&mut self, now: Now, out: &mut Vec<Output>) {
        self.startup = None;
        let pending_config = Arc::clone(&self.pending_config);
        self.apply_config(now, pending_config, out);
    }

    pub(super) fn raise_peer_index(&mut self, link: LinkId, index: LogIndex) {
        if let Some(link) = self.links.get_mut(&link) {
            link.index = link.index.max(index);
        }
    }

    pub(super) fn handle_pull(&mut self, link: LinkId, have: LogIndex, out: &mut Vec<Output>) {
        if let Some(known) = self.links.get_mut(&link) {
            known.index = have;
            self.send_config(link, out);
        }
    }

    pub(super) fn handle_progress(&mut self, now: Now, link: LinkId, progress: Progress) {
        if let Some(known) = self.links.get_mut(&link) {
            known.progress = progress;
            self.pending.schedule_progress(now.instant);
        }
    }

    pub(super) fn handle_heartbeat(&mut self, now: Now, link: LinkId, subject: MemberIncarnation) {
        let Some(known) = self.links.get_mut(&link) else {
            return;
        };
        if known.kind == Some(LinkKind::Mesh) || known.dialled {
            return;
        }
        known.subject = Some(subject);
        let observations = self.observer.on_heartbeat(now.instant, now.wall, subject);
        self.publish_observations(now, observations);
    }

    pub(super) fn handle_observations(
        &mut self,
        now: Now,
        link: LinkId,
        observations: Vec<Observation>,
    ) {
        for observation in observations {
            if !self.suspicions.merge(now.wall, observation.clone()) {
                continue;
            }
            let reply = self.observer.on_other_observation(now.wall, &observation);
            self.pending
                .add_observation(now.instant, Some(link), observation);
            self.publish_observations(now, reply);
        }
    }

    pub(super) fn report_silent_members(&mut self, now: Now) {
        let observations = self.observer.on_tick(now.instant, now.wall);
        self.publish_observations(now, observations);
    }

    fn publish_observations(
        &mut self,
        now: Now,
        observations: impl IntoIterator<Item = Observation>,
    ) {
        for observation in observations {
            if self.suspicions.merge(now.wall, observation.clone()) {
                self.pending.add_observation(now.instant, None, observation);
            }
        }
    }

    /// Updates the suspicion marks in the directory from the reports of the observers.
    pub(super) fn update_suspects(&mut self, out: &mut Vec<Output>) {
        let suspects = self.suspicions.suspects(&self.directory, &self.config);
        let marked = self.directory.suspected().clone();
        for member in suspects.symmetric_difference(&marked) {
            let suspected = suspects.contains(member);
            self.directory.set_suspected(*member, suspected);
            out.push(Output::Suspect {
                member: *member,
                suspected,
            });
        }
    }

    /// Writes the tombstones of members that this node, as an observer, has not received heartbeats
    /// from for [`DEAD_AFTER`]. If such a member is alive after all, it refutes the tombstone.
    pub(super) fn write_tombstones(&mut self, now: Now, out: &mut Vec<Output>) {
        let node = self.node();
        let own_reports = self
            .suspicions
            .all()
            .filter(|o| o.observer == node && !o.is_alive);
        let expired = own_reports.filter(|o| now.wall.since(o.since) >= DEAD_AFTER);
        let subjects: Vec<_> = expired.map(|o| o.subject).collect();
        for subject in subjects {
            if let Some(tombstone) = self.tombstone(now, subject) {
                self.handle_record(now, None, &Arc::new(tombstone), out);
            }
        }
    }

    fn tombstone(&self, now: Now, subject: MemberIncarnation) -> Option<Record> {
        let record = self
            .directory
            .record_of(subject.member, subject.incarnation)?;
        let latest = self.directory.get(subject.member)?;
        let is_latest = latest.incarnation == subject.incarnation;
        if is_latest
            && record.state == MemberState::Serving
            && !self.directory.is_suspected(subject.member)
        {
            return None;
        }
        let has_agreement = self
            .suspicions
            .unresponsive()
            .any(|(silent, _)| silent == subject);
        let has_ended = record.state == MemberState::Left || self.is_own_member(subject.member);
        (has_agreement && !has_ended).then(|| Record {
            sequence: record.sequence.next(),
            state: MemberState::Left,
            eligible_at: now.wall.plus(DEAD_AFTER),
            ..Record::clone(record)
        })
    }
}
