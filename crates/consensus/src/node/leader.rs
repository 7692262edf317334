//! Replication, commit, lease and read confirmation at a leader.
//!
//! Every append carries the number of a heartbeat round, and every response returns it. A response to a
//! round proves contact since the round began. The lease and the reads depend only on that and not on
//! the clock of another host.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use dogwoodrill_core::ids::LogIndex;

use super::election::Candidate;
use super::{Node, Role};
use crate::entry::Payload;
use crate::member::{MemberId, Membership};
use crate::message::{AppendOutcome, Envelope, Message, Round, Silence};
use crate::options::Options;
use crate::outputs::{ReadId, ReadOutcome};

/// Number of rounds whose start times are kept. A response to an older round proves no contact.
const MAX_ROUNDS: usize = 256;

/// Replication state of another member, as known to the leader.
#[derive(Debug)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    pub(super) next: LogIndex,
    /// Highest index up to which the member's disk holds the log.
    pub(super) synced: LogIndex,
    /// Latest round that the member responded to.
    round: Round,
    /// Start time of that round, or of the campaign in which the member voted; `None` before the first contact.
    pub(super) contact: Option<Instant>,
    /// Time at which the leader was elected or the member was added, whichever is later.
    added_at: Instant,
    /// Time since when this member hears nothing from the other one, if that has not responded to the leader yet. It is
    /// before the election if this member observed the silence then.
    unheard_since: Instant,
    /// Members that this one does not hear from, as of its last response, with the time since when.
    reported: Vec<(MemberId, Instant)>,
    /// Time after which a snapshot in transit is sent again; `None` if no snapshot is in transit.
    snapshot_retry_at: Option<Instant>,
}

impl Progress {
    fn new(now: Instant, next: LogIndex, contact: Option<Instant>) -> Self {
        Self {
            next,
            synced: LogIndex::default(),
            round: Round::default(),
            contact,
            added_at: now,
            unheard_since: now,
            reported: Vec::new(),
            snapshot_retry_at: None,
        }
    }

    /// Returns the time since when the leader hears nothing from the member.
    fn silent_since(&self) -> Instant {
        self.contact.unwrap_or(self.unheard_since)
    }

    /// Returns whether the member responded to a round that began within the last `timeout`.
    pub(super) fn is_reachable(&self, now: Instant, timeout: Duration) -> bool {
        self.contact.is_some_and(|contact| now < contact + timeout)
    }
}

/// Read that waits until `round` is confirmed by a majority.
#[derive(Debug)]
struct PendingRead {
    id: ReadId,
    index: LogIndex,
    round: Round,
}

/// State of a leader.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) peers: BTreeMap<MemberId, Progress>,
    /// Current heartbeat round.
    round: Round,
    /// Start times of the last rounds, in ascending order.
    rounds: VecDeque<(Round, Instant)>,
    /// Time at which the next round starts.
    heartbeat_at: Instant,
    /// Time at which the leader steps down unless a majority responds before.
    lease_until: Instant,
    /// Index of the first entry of the leader's term.
    first_index: LogIndex,
    reads: VecDeque<PendingRead>,
    /// Members that were silent when the current round began.
    silent: Vec<MemberId>,
}

impl Leader {
    pub(super) fn next_deadline(&self) -> Instant {
        self.heartbeat_at.min(self.lease_until)
    }

    pub(super) fn add_read(&mut self, id: ReadId, index: LogIndex) {
        let round = Round(self.round.0 + 1);
        self.reads.push_back(PendingRead { id, index, round });
    }

    pub(super) fn into_reads(self) -> impl Iterator<Item = ReadId> {
        self.reads.into_iter().map(|read| read.id)
    }

    fn begin_round(&mut self, now: Instant, options: &Options) {
        self.round = Round(self.round.0 + 1);
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.heartbeat_at = now + options.heartbeat_interval;
        let timeout = options.silence_timeout();
        let silent = self
            .peers
            .iter()
            .filter(|(_, p)| !p.is_reachable(now, timeout));
        self.silent = silent.map(|(id, _)| *id).collect();
    }

    /// Returns the silent members, with the time since when, for a leader that steps down; none if the leader stood
    /// still itself.
    pub(super) fn silent_members(
        &self,
        now: Instant,
        options: &Options,
    ) -> Vec<(MemberId, Instant)> {
        if now >= self.heartbeat_at + options.election_timeout {
            return Vec::new();
        }
        let silent = self
            .silent
            .iter()
            .filter_map(|id| self.peers.get_key_value(id));
        silent.map(|(id, p)| (*id, p.silent_since())).collect()
    }

    /// Returns the time since when the member `id` is silent according to others that respond to the leader.
    fn reported_since(&self, now: Instant, id: MemberId, timeout: Duration) -> Option<Instant> {
        let reporters = self.peers.values().filter(|p| p.is_reachable(now, timeout));
        let reports = reporters.flat_map(|p| &p.reported);
        let of_member = reports.filter(|(member, _)| *member == id);
        of_member.map(|(_, since)| *since).min()
    }

    fn began_at(&self, round: Round) -> Option<Instant> {
        let position = self.rounds.partition_point(|(known, _)| *known < round);
        let found = self
            .rounds
            .get(position)
            .filter(|(known, _)| *known == round);
        found.map(|(_, began_at)| *began_at)
    }

    /// Adds a `Progress` for each member that joined and removes those of members that left.
    fn update_peers(
        &mut self,
        now: Instant,
        own: MemberId,
        membership: &Membership,
        next: LogIndex,
    ) {
        self.peers.retain(|id, _| membership.get(*id).is_some());
        let others = membership.members().iter().filter(|m| m.id != own);
        for member in others {
            let peer = self.peers.entry(member.id);
            peer.or_insert(Progress::new(now, next, None));
        }
    }

    /// Extends the lease to one election timeout after the latest contact with a majority. The leader itself
    /// has no `Progress` and always counts as in contact.
    fn renew_lease(&mut self, now: Instant, membership: &Membership, options: &Options) {
        let contact = |id| self.peers.get(&id).map_or(Some(now), |peer| peer.contact);
        if let Some(since) = membership.quorum_value(contact).flatten() {
            self.lease_until = since + options.election_timeout;
        }
    }
}

impl Node {
    /// Makes the member the leader. Each granted vote proves contact since `campaign` began.
    pub(super) fn become_leader(&mut self, now: Instant, campaign: &Candidate) {
        let next = self.log.last_index().next();
        let mut peers = BTreeMap::new();
        for voter in campaign.supporters.iter().filter(|id| **id != self.id) {
            peers.insert(*voter, Progress::new(now, next, Some(campaign.began_at)));
        }
        let silent = std::mem::take(&mut self.silent);
        for (id, unheard_since) in silent.into_since(now, &self.options) {
            peers.entry(id).or_insert(Progress {
                unheard_since,
                ..Progress::new(now, next, None)
            });
        }
        self.role = Role::Leader(Box::new(Leader {
            peers,
            round: Round::default(),
            rounds: VecDeque::new(),
            heartbeat_at: now,
            lease_until: campaign.began_at + self.options.election_timeout,
            first_index: next,
            reads: VecDeque::new(),
            silent: Vec::new(),
        }));
        self.leader = Some(self.id);
        self.has_known_leader = true;
        self.update_peers(now, next);
        self.add_entry(Payload::Noop);
        self.start_round(now);
    }

    pub(super) fn update_peers(&mut self, now: Instant, next: LogIndex) {
        if let Role::Leader(leader) = &mut self.role {
            leader.update_peers(now, self.id, self.log.membership(), next);
        }
    }

    /// Returns the time since when the member `id` is silent; `None` if this member is not the leader or `id` is not
    /// another member. A new leader that the member has not responded to either relies on the observation of the others
    /// as well: it may have restarted and lost its own.
    pub fn silent_since(&self, now: Instant, id: MemberId) -> Option<Instant> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let peer = leader.peers.get(&id)?;
        let own = peer.silent_since();
        if peer.contact.is_some() || now < peer.added_at + self.options.silence_timeout() {
            return Some(own);
        }
        let reported = leader.reported_since(now, id, self.options.election_timeout);
        Some(reported.map_or(own, |since| since.min(own)))
    }

    /// Returns whether the member `id` has not responded to this leader for an election timeout.
    pub(super) fn is_down(&self, now: Instant, id: MemberId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let peer = leader.peers.get(&id);
        peer.is_some_and(|p| {
            let since = p.contact.unwrap_or(p.added_at);
            now >= since + self.options.election_timeout
        })
    }

    /// Records the members that the member `from` does not hear from.
    pub(super) fn record_reported(
        &mut self,
        now: Instant,
        from: MemberId,
        round: Round,
        silent: &[Silence],
    ) {
        let membership = self.log.membership();
        if let Role::Leader(leader) = &mut self.role
            && let Some(peer) = leader.peers.get_mut(&from)
            && round >= peer.round
        {
            let of_members = silent.iter().filter(|s| membership.get(s.member).is_some());
            let reported =
                of_members.map(|s| (s.member, now.checked_sub(s.duration).unwrap_or(now)));
            peer.reported = reported.take(membership.members().len()).collect();
        }
    }

    /// Returns whether the member `id` responded to this leader within the election timeout.
    pub(super) fn is_reachable(&self, now: Instant, id: MemberId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let peer = leader.peers.get(&id);
        peer.is_some_and(|p| p.is_reachable(now, self.options.election_timeout))
    }

    /// Returns whether the member `id` has not responded to this leader for so long that another host may replace it.
    pub fn is_lost(&self, now: Instant, id: MemberId) -> bool {
        let since = self.silent_since(now, id);
        since.is_some_and(|since| now >= since + self.options.replace_after)
    }

    pub(super) fn on_leader_tick(&mut self, now: Instant) {
        self.check_lease(now);
        self.advance_membership(now);
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if now >= leader.heartbeat_at {
            self.start_round(now);
        }
    }

    /// Steps down if no majority has responded for an election timeout.
    pub(super) fn check_lease(&mut self, now: Instant) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.renew_lease(now, self.log.membership(), &self.options);
        if now >= leader.lease_until {
            self.become_follower(now, None);
        }
    }

    /// Returns whether this member is the leader and has committed an entry of its own term.
    pub(super) fn has_committed_in_term(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if self.commit >= leader.first_index)
    }

    /// Starts a heartbeat round: sends every member its next entries, or an empty append.
    pub(super) fn start_round(&mut self, now: Instant) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.begin_round(now, &self.options);
        for to in leader.peers.keys().copied().collect::<Vec<_>>() {
            self.send_to(now, to);
        }
    }

    /// Sends pending entries to the members that are not waiting for a snapshot.
    pub(super) fn send_entries(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let last = self.log.last_index();
        let behind = leader.peers.iter().filter(|(_, p)| p.next <= last);
        let ready = behind.filter(|(_, p)| p.snapshot_retry_at.is_none());
        for to in ready.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.send_append(to);
        }
    }

    fn send_to(&mut self, now: Instant, to: MemberId) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&to) else {
            return;
        };
        let previous = LogIndex::new(peer.next.get() - 1);
        if self.log.term_at(previous).is_some() {
            peer.snapshot_retry_at = None;
            self.send_append(to);
        } else if peer.snapshot_retry_at.is_none_or(|at| now >= at) {
            peer.snapshot_retry_at = Some(now + self.options.election_timeout);
            self.send_snapshot(to);
        } else {
            self.send_empty_append(to);
        }
    }

    fn send_append(&mut self, to: MemberId) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&to) else {
            return;
        };
        let previous_index = LogIndex::new(peer.next.get() - 1);
        let Some(previous_term) = self.log.term_at(previous_index) else {
            return;
        };
        let max_index = previous_index.get() + self.options.max_entries as u64;
        let to_index = self.log.last_index().min(LogIndex::new(max_index));
        let entries = self.log.range(peer.next, to_index);
        peer.next = entries.last().map_or(peer.next, |e| e.index.next());
        let message = Message::AppendRequest {
            previous_index,
            previous_term,
            entries,
            commit: self.commit,
            round: leader.round,
            silent: leader.silent.clone(),
        };
        self.send_now(to, message);
    }

    /// Sends a heartbeat without entries to a member that is installing a snapshot.
    fn send_empty_append(&mut self, to: MemberId) {
        let snapshot = self.log.snapshot();
        let (previous_index, previous_term) = (snapshot.index, snapshot.term);
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let message = Message::AppendRequest {
            previous_index,
            previous_term,
            entries: Vec::new(),
            commit: previous_index,
            round: leader.round,
            silent: leader.silent.clone(),
        };
        self.send_now(to, message);
    }

    fn send_snapshot(&mut self, to: MemberId) {
        let snapshot = self.log.snapshot().clone();
        if let Role::Leader(leader) = &self.role {
            let round = leader.round;
            self.send_now(to, Message::SnapshotRequest { snapshot, round });
        }
    }

    /// Queues a message that need not wait for the disk: the leader's term and vote were synced before it
    /// requested votes, and it counts its own entries towards a majority only once they are synced.
    fn send_now(&mut self, to: MemberId, message: Message) {
        let (from, term) = (self.id, self.term());
        let envelope = Envelope {
            from,
            to,
            term,
            message,
        };
        self.pending.messages.push(envelope);
    }

    pub(super) fn on_append_response(
        &mut self,
        now: Instant,
        from: MemberId,
        round: Round,
        outcome: AppendOutcome,
    ) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let began_at = leader.began_at(round);
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        if let Some(began_at) = began_at {
            peer.contact = peer.contact.max(Some(began_at));
            peer.round = peer.round.max(round);
        }
        match outcome {
            AppendOutcome::Synced(index) => {
                let index = index.min(self.log.last_index());
                peer.synced = peer.synced.max(index);
                peer.next = peer.next.max(peer.synced.next());
                peer.snapshot_retry_at = None;
                self.advance_commit(now);
            }
            AppendOutcome::RetryFrom(index) => {
                let resend_from = peer.next.min(index);
                peer.next = resend_from.max(peer.synced.next());
                // Until the snapshot is installed, the member rejects every append; none is resent.
                if peer.snapshot_retry_at.is_none() {
                    self.send_to(now, from);
                }
            }
        }
        self.send_entries();
        self.confirm_reads();
        self.advance_membership(now);
    }

    /// Commits the entries that a majority of disks holds. Entries of earlier terms are committed only together
    /// with a later entry of the leader's own term (Raft paper, figure 8).
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let synced = |id| leader.peers.get(&id).map_or(self.synced, |p| p.synced);
        let quorum_index = self.log.membership().quorum_value(synced);
        let term = self.hard_state.term;
        let quorum_index = quorum_index.filter(|index| self.log.term_at(*index) == Some(term));
        if let Some(index) = quorum_index.filter(|index| *index > self.commit) {
            self.commit = index;
            // Sends the new commit index immediately instead of with the next regular heartbeat.
            leader.heartbeat_at = now;
        }
    }

    /// Returns the reads whose heartbeat round a majority has confirmed.
    pub(super) fn confirm_reads(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let membership = self.log.membership();
        let current = leader.round;
        let round = |id| leader.peers.get(&id).map_or(current, |p| p.round);
        let Some(confirmed) = membership.quorum_value(round) else {
            return;
        };
        while let Some(read) = leader.reads.front()
            && read.round <= confirmed
        {
            self.pending.reads.push(ReadOutcome {
                id: read.id,
                index: Some(read.index),
            });
            leader.reads.pop_front();
        }
    }
}
