//! State machine of one member of the replicated log.
//!
//! The caller drives a [`Node`] with `on_…` calls that carry the current time, and collects [`Outputs`].
//! Elections are in `node/election.rs`, replication by the leader in `node/leader.rs`, appends and snapshots
//! at a follower in `node/follower.rs`, and membership changes in `node/membership.rs`.

use std::time::{Duration, Instant};

use bytes::Bytes;
use dogwoodrill_core::ids::{LogIndex, Term};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use snafu::Snafu;

use crate::entry::{Batch, Entry, HardState, Payload, PersistedState};
use crate::log::Log;
use crate::member::{MemberId, Membership};
use crate::message::{Envelope, Message};
use crate::options::Options;
use crate::outputs::{Apply, LogPosition, Outputs, Pending, ReadId, ReadOutcome};

mod election;
mod follower;
mod leader;
mod membership;
mod silence;
mod standing;

use election::Candidate;
use leader::Leader;
pub use membership::JoinError;
use silence::SilentMembers;
pub use standing::{MemberProgress, MemberStatus, RoleName};

/// Error for a request that only the leader can handle.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("this member is not the leader"))]
pub struct NotLeader {
    /// Current leader, if known.
    pub leader: Option<MemberId>,
}

/// Current role of a member, with the state of the role.
#[derive(Debug)]
enum Role {
    Follower,
    Candidate(Candidate),
    Leader(Box<Leader>),
}

/// One member of the replicated log, without I/O.
#[derive(Debug)]
pub struct Node {
    id: MemberId,
    options: Options,
    rng: StdRng,
    hard_state: HardState,
    log: Log,
    /// Highest index known to be committed.
    commit: LogIndex,
    /// Highest index returned to the caller as [`Apply`].
    applied: LogIndex,
    /// Highest index that is synced to this member's disk.
    synced: LogIndex,
    role: Role,
    leader: Option<MemberId>,
    /// Whether the member has known a leader since it started.
    has_known_leader: bool,
    /// Number of real votes that the member requested, each after a majority granted its pre-vote. Only used
    /// until a leader is known.
    first_campaigns: u32,
    /// Time at which the member campaigns if it receives no message from a leader.
    election_at: Instant,
    /// Time until which the member assumes that the leader is alive and refuses votes.
    leader_until: Option<Instant>,
    /// Time of the last message from `leader`, if that is another member.
    leader_heard_at: Instant,
    /// Members that do not respond to this member; empty at the leader, which observes them by its heartbeats.
    silent: SilentMembers,
    /// Whether this member is about to stop. Only then may it remove itself as the leader.
    is_leaving: bool,
    pending: Pending,
}

impl Node {
    /// Creates the member `id` from its persisted state. `seed` randomizes the election timeouts and should
    /// differ between members.
    pub fn new(
        id: MemberId,
        options: Options,
        restored: PersistedState,
        now: Instant,
        seed: u64,
    ) -> Self {
        let log = Log::new(restored.snapshot, restored.entries);
        let mut node = Self {
            id,
            options,
            rng: StdRng::seed_from_u64(seed),
            hard_state: restored.hard_state,
            commit: log.snapshot().index,
            applied: LogIndex::default(),
            synced: log.last_index(),
            log,
            role: Role::Follower,
            leader: None,
            has_known_leader: false,
            first_campaigns: 0,
            election_at: now,
            leader_until: None,
            leader_heard_at: now,
            silent: SilentMembers::default(),
            is_leaving: false,
            pending: Pending::default(),
        };
        node.pending.restore = node.commit > LogIndex::default();
        node.reset_election_timer(now);
        node.election_at = node.first_election_at(now);
        node
    }

    /// A sole voter campaigns immediately, because no other member can be the leader.
    fn first_election_at(&self, now: Instant) -> Instant {
        let voters: Vec<_> = self.membership().voters().collect();
        if voters == [self.id] {
            now
        } else {
            self.election_at
        }
    }

    /// Returns the id of this member.
    pub const fn id(&self) -> MemberId {
        self.id
    }

    pub(crate) const fn options(&self) -> &Options {
        &self.options
    }

    /// Returns the current term of this member.
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the latest membership in this member's log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the highest index that this member knows to be committed.
    pub const fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Returns the index of the last entry in this member's log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the index of the snapshot that the log starts from.
    pub const fn snapshot_index(&self) -> LogIndex {
        self.log.snapshot().index
    }

    /// Returns the latest time at which the caller must call [`Self::on_tick`].
    pub fn next_deadline(&self) -> Instant {
        match &self.role {
            Role::Leader(leader) => leader.next_deadline(),
            Role::Follower | Role::Candidate(_) => {
                let observation = self.next_observation();
                observation.map_or(self.election_at, |at| at.min(self.election_at))
            }
        }
    }

    /// Handles expired timers: starts a campaign, sends heartbeats or steps down.
    pub fn on_tick(&mut self, now: Instant) {
        if matches!(self.role, Role::Leader(_)) {
            self.on_leader_tick(now);
            return;
        }
        self.observe_silence(now);
        if now >= self.election_at {
            self.campaign(now);
        }
    }

    /// Handles a received message. A message addressed to another member is dropped.
    pub fn on_message(&mut self, now: Instant, envelope: Envelope) {
        let Envelope {
            from,
            to,
            term,
            message,
        } = envelope;
        if to != self.id || from == self.id {
            return;
        }
        self.hear_from(now, from);
        if !self.accept_term(now, from, term, &message) {
            return;
        }
        let from_leader = matches!(
            message,
            Message::AppendRequest { .. } | Message::SnapshotRequest { .. }
        );
        if from_leader && matches!(self.role, Role::Leader(_)) {
            return;
        }
        match message {
            Message::VoteRequest {
                kind,
                last_index,
                last_term,
            } => self.on_vote_request(now, from, term, kind, (last_term, last_index)),
            Message::VoteResponse { kind, granted } => {
                self.on_vote_response(now, from, term, kind, granted);
            }
            Message::AppendRequest {
                previous_index,
                previous_term,
                entries,
                commit,
                round,
                silent,
            } => {
                self.follow(now, from);
                self.observe_reported(now, &silent);
                let outcome = self.append((previous_index, previous_term), entries, commit);
                self.respond_append(now, from, round, outcome);
            }
            Message::SnapshotRequest { snapshot, round } => {
                self.follow(now, from);
                let outcome = self.install(snapshot);
                self.respond_append(now, from, round, outcome);
            }
            Message::AppendResponse {
                round,
                outcome,
                silent,
            } => {
                self.record_reported(now, from, round, &silent);
                self.on_append_response(now, from, round, outcome);
            }
        }
    }

    /// Proposes commands as one batch. Returns the position of the first. A command is accepted once it is
    /// returned as [`Apply::Entry`] with the same index and term; until then it may still be lost.
    pub fn propose(
        &mut self,
        now: Instant,
        commands: impl IntoIterator<Item = Bytes>,
    ) -> Result<LogPosition, NotLeader> {
        self.check_lease(now);
        if !matches!(self.role, Role::Leader(_)) {
            return Err(self.not_leader());
        }
        let first = LogPosition {
            index: self.log.last_index().next(),
            term: self.term(),
        };
        for command in commands {
            self.add_entry(Payload::Command(command));
        }
        self.send_entries();
        Ok(first)
    }

    /// Requests an index at which a read sees every change accepted before this call. The index is returned
    /// by [`Self::take`] as [`ReadOutcome`] once a majority has confirmed that this member still leads.
    pub fn read(&mut self, now: Instant, id: ReadId) -> Result<(), NotLeader> {
        self.check_lease(now);
        let not_leader = self.not_leader();
        let can_read = self.has_committed_in_term();
        let Role::Leader(leader) = &mut self.role else {
            return Err(not_leader);
        };
        if !can_read {
            return Err(NotLeader { leader: None });
        }
        leader.add_read(id, self.commit);
        self.start_round(now);
        self.confirm_reads();
        Ok(())
    }

    /// Handles the completed sync of a batch and all batches before it.
    pub fn on_synced(&mut self, now: Instant, position: LogPosition) {
        if self.log.term_at(position.index) == Some(position.term) {
            self.synced = self.synced.max(position.index);
        }
        self.advance_commit(now);
    }

    /// Replaces the log up to `index` by a snapshot; `state` is the state machine after `index`. Does nothing if
    /// the index is not applied yet or a snapshot already covers it.
    pub fn compact(&mut self, index: LogIndex, state: Bytes) {
        if index <= self.log.snapshot().index || index > self.applied {
            return;
        }
        self.log
            .compact(index, state, self.options.retained_entries);
        self.pending.rewrite = true;
    }

    /// Returns the work for the caller that accumulated since the last call.
    pub fn take(&mut self) -> Outputs {
        let apply = self.take_apply();
        let batch = self.take_batch();
        Outputs {
            messages: std::mem::take(&mut self.pending.messages),
            batch,
            after_sync: std::mem::take(&mut self.pending.after_sync),
            synced: LogPosition {
                index: self.log.last_index(),
                term: self.log.last_term(),
            },
            apply,
            reads: std::mem::take(&mut self.pending.reads),
        }
    }

    fn take_batch(&mut self) -> Batch {
        let hard_state = self.pending.take_hard_state(self.hard_state);
        let unwritten_from = self.pending.unwritten_from.take();
        let truncate_from = self.pending.truncate_from.take();
        if std::mem::take(&mut self.pending.rewrite) {
            return Batch::Rewrite(PersistedState {
                hard_state: self.hard_state,
                snapshot: self.log.snapshot().clone(),
                entries: self.log.after_snapshot(),
            });
        }
        let last = self.log.last_index();
        Batch::Append {
            hard_state,
            truncate_from,
            entries: unwritten_from.map_or_else(Vec::new, |from| self.log.range(from, last)),
        }
    }

    fn take_apply(&mut self) -> Vec<Apply> {
        let mut apply = Vec::new();
        if std::mem::take(&mut self.pending.restore) {
            self.applied = self.log.snapshot().index;
            apply.push(Apply::Snapshot(self.log.snapshot().clone()));
        }
        let entries = self.log.range(self.applied.next(), self.commit);
        self.applied = entries.last().map_or(self.applied, |e| e.index);
        apply.extend(entries.into_iter().map(Apply::Entry));
        apply
    }

    const fn not_leader(&self) -> NotLeader {
        NotLeader {
            leader: self.leader,
        }
    }

    fn add_entry(&mut self, payload: Payload) {
        let entry = Entry {
            index: self.log.last_index().next(),
            term: self.term(),
            payload,
        };
        self.pending.mark_appended(entry.index);
        self.log.push(entry);
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        self.pending.hard_state_changed |= self.hard_state != hard_state;
        self.hard_state = hard_state;
    }

    /// Queues a message that depends on persisted state; the caller sends it once the batch is synced.
    fn send_after_sync(&mut self, to: MemberId, term: Term, message: Message) {
        self.pending.after_sync.push(Envelope {
            from: self.id,
            to,
            term,
            message,
        });
    }

    fn reset_election_timer(&mut self, now: Instant) {
        let election_timeout = self.options.election_timeout;
        let min_timeout = if self.has_known_leader {
            election_timeout
        } else {
            // If campaigns follow faster than a disk syncs a vote, each one ends the one before. A pre-vote
            // writes nothing, so it does not count.
            let factor = 2_u32.saturating_pow(self.first_campaigns);
            election_timeout.min(self.options.first_election_timeout.saturating_mul(factor))
        };
        self.election_at = now + min_timeout + self.random_delay(min_timeout);
    }

    /// Returns a random time up to `max`, in whole microseconds.
    fn random_delay(&mut self, max: Duration) -> Duration {
        let delay = self.rng.random_range(0..=max.as_micros());
        Duration::from_micros(u64::try_from(delay).unwrap_or(u64::MAX))
    }

    /// Makes the member a follower. Reads that a former leader had not confirmed fail.
    fn become_follower(&mut self, now: Instant, leader: Option<MemberId>) {
        if self.leader != leader {
            self.observe_leader(now);
        }
        if let Role::Leader(previous) = std::mem::replace(&mut self.role, Role::Follower) {
            for (id, since) in previous.silent_members(now, &self.options) {
                self.silent.add(id, since, now);
            }
            let unconfirmed = previous.into_reads();
            let outcomes = unconfirmed.map(|id| ReadOutcome { id, index: None });
            self.pending.reads.extend(outcomes);
        }
        self.leader = leader;
        self.has_known_leader |= leader.is_some();
        self.reset_election_timer(now);
    }
}
