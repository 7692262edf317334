//! Members that do not respond, as observed by a member that does not lead.
//!
//! A leader knows from its heartbeats which members are silent. If only the leader knew, that would be lost with it, and a
//! host that waits for the place of such a member would have to wait for `replace_after` once more. So the leader names
//! the silent members in its appends, and every other member probes them until they respond or the leader hears from
//! them. If the leader is silent itself, all voters are probed, because an observation counts only while a majority
//! responds: a member that was cut off cannot tell who was up meanwhile. A member that becomes the leader continues its
//! own observation; one that restarted meanwhile receives that of the others in their responses.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::Node;
use crate::member::MemberId;
use crate::message::{Silence, VoteKind};
use crate::options::Options;

/// The members that do not respond.
#[derive(Debug, Default)]
pub(super) struct SilentMembers {
    /// Time since when each member is known not to respond.
    since: BTreeMap<MemberId, Instant>,
    /// Time of the next probes; only used while there are silent members.
    probe_at: Option<Instant>,
}

impl SilentMembers {
    /// Starts to observe a member, unless it is observed already.
    pub(super) fn add(&mut self, id: MemberId, since: Instant, probe_at: Instant) {
        if self.since.is_empty() {
            self.probe_at = Some(probe_at);
        }
        self.since.entry(id).or_insert(since);
    }

    /// Returns the time of the next probes, if there are silent members.
    pub(super) fn probe_at(&self) -> Option<Instant> {
        self.probe_at.filter(|_| !self.since.is_empty())
    }

    /// Starts the observation anew if no probes were sent for `timeout`: this member stood still, and the others may
    /// have been up meanwhile.
    fn discard_interrupted(&mut self, now: Instant, timeout: Duration) {
        if self.probe_at().is_some_and(|at| now >= at + timeout) {
            self.restart(now);
        }
    }

    fn restart(&mut self, now: Instant) {
        self.since.values_mut().for_each(|since| *since = now);
    }

    /// Returns whether the member `id` has not responded for `timeout`.
    fn is_silent(&self, now: Instant, id: MemberId, timeout: Duration) -> bool {
        let since = self.since.get(&id);
        since.is_some_and(|since| now >= *since + timeout)
    }

    /// Returns the observation for a new leader.
    pub(super) fn into_since(
        mut self,
        now: Instant,
        options: &Options,
    ) -> BTreeMap<MemberId, Instant> {
        self.discard_interrupted(now, options.election_timeout);
        self.since
    }
}

impl Node {
    /// Records that a message of the member `from` arrived.
    pub(super) fn hear_from(&mut self, now: Instant, from: MemberId) {
        self.silent.since.remove(&from);
        if self.leader == Some(from) {
            self.leader_heard_at = now;
        }
    }

    /// Observes the members that the leader does not hear from, and no longer those that it does.
    pub(super) fn observe_reported(&mut self, now: Instant, reported: &[MemberId]) {
        self.silent.since.retain(|id, _| reported.contains(id));
        let probe_at = now + self.options.heartbeat_interval;
        for id in self.other_members() {
            if reported.contains(&id) {
                self.silent.add(id, now, probe_at);
            }
        }
    }

    fn other_members(&self) -> Vec<MemberId> {
        let members = self.membership().members().iter().map(|m| m.id);
        members.filter(|id| *id != self.id).collect()
    }

    /// Observes the voters that this member asks for their votes, from the campaign on. While hosts start together, none
    /// of them is missed yet.
    pub(super) fn observe_voters(&mut self, now: Instant, voters: &[MemberId]) {
        if !self.has_known_leader {
            return;
        }
        let probe_at = now + self.options.heartbeat_interval;
        for id in voters {
            self.silent.add(*id, now, probe_at);
        }
    }

    /// Observes the current leader since its last message, or from now on if this member stood still meanwhile.
    pub(super) fn observe_leader(&mut self, now: Instant) {
        let Some(leader) = self.leader.filter(|id| *id != self.id) else {
            return;
        };
        let heard_at = self.leader_heard_at;
        let is_interrupted = now >= self.leader_silent_at() + self.options.election_timeout;
        let since = if is_interrupted { now } else { heard_at };
        self.silent.add(leader, since, now);
    }

    /// Returns the time at which the current leader counts as silent.
    pub(super) fn leader_silent_at(&self) -> Instant {
        self.leader_heard_at + self.options.silence_timeout()
    }

    /// Returns the next time at which [`Self::observe_silence`] has something to do.
    pub(super) fn next_observation(&self) -> Option<Instant> {
        let leader = self.leader.filter(|id| *id != self.id);
        let unobserved = leader.filter(|id| !self.silent.since.contains_key(id));
        let leader_silent_at = unobserved.map(|_| self.leader_silent_at());
        leader_silent_at
            .into_iter()
            .chain(self.silent.probe_at())
            .min()
    }

    /// Returns whether a majority of the voters does not respond. The silence of a member then says nothing about it.
    fn is_isolated(&self, now: Instant) -> bool {
        let timeout = self.options.silence_timeout();
        let responds = |id| id == self.id || !self.silent.is_silent(now, id, timeout);
        !self.membership().is_quorum(responds)
    }

    /// Observes a leader that has become silent and the other voters, so that this member knows whether it is cut off
    /// itself, and probes the silent members.
    pub(super) fn observe_silence(&mut self, now: Instant) {
        if self.leader.is_some() && now >= self.leader_silent_at() {
            self.observe_leader(now);
            let voters = self.other_voters();
            self.observe_voters(now, &voters);
        }
        if self.silent.probe_at().is_none_or(|at| now < at) {
            return;
        }
        let election_timeout = self.options.election_timeout;
        self.silent.discard_interrupted(now, election_timeout);
        if self.is_isolated(now) {
            self.silent.restart(now);
        }
        self.silent.probe_at = Some(now + self.options.heartbeat_interval);
        // Every member responds to a pre-vote request, and none changes its state because of it.
        for to in self.silent.since.keys().copied().collect::<Vec<_>>() {
            let message = self.vote_request(VoteKind::PreVote);
            self.send_after_sync(to, self.term().next(), message);
        }
    }

    /// Returns the members that have been silent for an election timeout at least.
    pub(super) fn silences(&self, now: Instant) -> Vec<Silence> {
        let silences = self.silent.since.iter().map(|(id, since)| Silence {
            member: *id,
            duration: now.saturating_duration_since(*since),
        });
        let election_timeout = self.options.election_timeout;
        silences
            .filter(|s| s.duration >= election_timeout)
            .collect()
    }
}
