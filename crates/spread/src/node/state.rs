//! State that comes in: records, configuration, heartbeats and observations.

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
    pub(super) fn take_records(
        &mut self,
        now: Now,
        link: LinkId,
        records: Vec<Arc<Record>>,
        out: &mut Vec<Output>,
    ) {
        for record in records {
            self.take_record(now, Some(link), &record, out);
        }
    }

    pub(super) fn take_record(
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
        self.news.record(now.instant, from, Arc::clone(record));
        self.contradict(now, record, out);
    }

    /// Others took this node's member for dead, or a record of it came back from before: say again
    /// what is the case, under a higher sequence number.
    fn contradict(&mut self, now: Now, record: &Record, out: &mut Vec<Output>) {
        let Some(own) = &mut self.own else { return };
        let is_same_incarnation =
            record.member == own.member && record.incarnation == own.incarnation;
        if !is_same_incarnation || record.sequence <= own.sequence {
            return;
        }
        own.sequence = record.sequence.next();
        let own = Arc::new(own.clone());
        self.take_record(now, None, &own, out);
    }

    /// Takes a configuration if it is of a higher index than what is known.
    pub(super) fn take_config(
        &mut self,
        now: Now,
        config: Arc<CommittedConfig>,
        out: &mut Vec<Output>,
    ) {
        if self.startup.is_some() {
            if config.index > self.held.index {
                self.held = config;
            }
            return;
        }
        if config.index > self.index() {
            let delta = ConfigDelta::between(&self.config, &config);
            self.put_in_force(now, config, delta.into(), out);
        }
    }

    pub(super) fn take_delta(
        &mut self,
        now: Now,
        link: LinkId,
        delta: Arc<ConfigDelta>,
        out: &mut Vec<Output>,
    ) {
        self.note_index(link, delta.to());
        let holds = self.startup.is_some();
        let base = if holds { &self.held } else { &self.config };
        if delta.to() <= base.index {
            return;
        }
        let Some(config) = delta.apply(base) else {
            out.push(send(link, Message::Pull(base.index)));
            return;
        };
        if holds {
            self.held = Arc::new(config);
        } else {
            self.put_in_force(now, Arc::new(config), delta, out);
        }
    }

    fn put_in_force(
        &mut self,
        now: Now,
        config: Arc<CommittedConfig>,
        delta: Arc<ConfigDelta>,
        out: &mut Vec<Output>,
    ) {
        self.history.push(delta);
        self.config = Arc::clone(&config);
        self.news.flush_soon(now.instant);
        out.push(Output::Config(config));
    }

    /// The node may serve: what it has heard of meanwhile comes in force.
    pub(super) fn serve_held(&mut self, now: Now, out: &mut Vec<Output>) {
        self.startup = None;
        let held = Arc::clone(&self.held);
        self.take_config(now, held, out);
    }

    pub(super) fn note_index(&mut self, link: LinkId, index: LogIndex) {
        if let Some(link) = self.links.get_mut(&link) {
            link.index = link.index.max(index);
        }
    }

    pub(super) fn take_pull(&mut self, link: LinkId, have: LogIndex, out: &mut Vec<Output>) {
        if let Some(known) = self.links.get_mut(&link) {
            known.index = have;
            self.send_config(link, out);
        }
    }

    pub(super) fn take_progress(&mut self, now: Now, link: LinkId, progress: Progress) {
        if let Some(known) = self.links.get_mut(&link) {
            known.progress = progress;
            self.news.progress_soon(now.instant);
        }
    }

    pub(super) fn take_heartbeat(&mut self, now: Now, link: LinkId, subject: MemberIncarnation) {
        let Some(known) = self.links.get_mut(&link) else {
            return;
        };
        if known.kind == Some(LinkKind::Mesh) || known.dialled {
            return;
        }
        known.subject = Some(subject);
        let said = self.observer.on_heartbeat(now.instant, now.wall, subject);
        self.state_all(now, said);
    }

    pub(super) fn take_observations(
        &mut self,
        now: Now,
        link: LinkId,
        observations: Vec<Observation>,
    ) {
        for observation in observations {
            if !self.suspicions.merge(now.wall, observation.clone()) {
                continue;
            }
            let reply = self.observer.on_other(now.wall, &observation);
            self.news.observation(now.instant, Some(link), observation);
            self.state_all(now, reply);
        }
    }

    pub(super) fn observe(&mut self, now: Now) {
        let said = self.observer.on_tick(now.instant, now.wall);
        self.state_all(now, said);
    }

    fn state_all(&mut self, now: Now, said: impl IntoIterator<Item = Observation>) {
        for observation in said {
            if self.suspicions.merge(now.wall, observation.clone()) {
                self.news.observation(now.instant, None, observation);
            }
        }
    }

    /// Brings the marks in the directory in line with what the observers say.
    pub(super) fn judge(&mut self, out: &mut Vec<Output>) {
        let wanted = self.suspicions.suspects(&self.directory, &self.config);
        let marked = self.directory.suspected().clone();
        for member in wanted.symmetric_difference(&marked) {
            let suspected = wanted.contains(member);
            self.directory.set_suspected(*member, suspected);
            out.push(Output::Suspect {
                member: *member,
                suspected,
            });
        }
    }

    /// Writes the tombstone of a member that an observer has not heard for very long. The member, if
    /// it lives after all, contradicts.
    pub(super) fn give_up_dead(&mut self, now: Now, out: &mut Vec<Output>) {
        let node = self.node();
        let of_own = self
            .suspicions
            .all()
            .filter(|o| o.observer == node && !o.is_alive);
        let long = of_own.filter(|o| now.wall.since(o.since) >= DEAD_AFTER);
        let subjects: Vec<_> = long.map(|o| o.subject).collect();
        for subject in subjects {
            if let Some(tombstone) = self.tombstone(now, subject) {
                self.take_record(now, None, &Arc::new(tombstone), out);
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
        let agreed = self
            .suspicions
            .silent()
            .any(|(silent, _)| silent == subject);
        let gone = record.state == MemberState::Left || self.is_own(subject.member);
        (agreed && !gone).then(|| Record {
            sequence: record.sequence.next(),
            state: MemberState::Left,
            eligible_at: now.wall.plus(DEAD_AFTER),
            ..Record::clone(record)
        })
    }
}
