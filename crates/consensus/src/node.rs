//! One member of the replicated log.
//!
//! A [`Node`] is driven by `on_…` calls with the time and gathers [`Outputs`]. Elections are in
//! `node/election.rs`, what a leader sends and counts in `node/leader.rs`, what a follower does with it
//! in `node/follower.rs`, changes of the membership in `node/membership.rs`.

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
mod standing;

use election::Candidate;
use leader::Leader;
pub use membership::JoinError;
pub use standing::{MemberProgress, MemberStatus, RoleName};

/// Only the leader can do that.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("this member is not the leader"))]
pub struct NotLeader {
    /// The leader, if one is known.
    pub leader: Option<MemberId>,
}

/// What a member does at the moment.
#[derive(Debug)]
enum Role {
    Follower,
    Candidate(Candidate),
    Leader(Box<Leader>),
}

/// One member of the replicated log.
#[derive(Debug)]
pub struct Node {
    id: MemberId,
    options: Options,
    rng: StdRng,
    hard_state: HardState,
    log: Log,
    commit: LogIndex,
    applied: LogIndex,
    synced: LogIndex,
    role: Role,
    leader: Option<MemberId>,
    /// Whether a leader was known since the member started.
    has_known_leader: bool,
    /// Campaigns before that in which a majority would have supported it.
    first_campaigns: u32,
    /// When to campaign.
    election_at: Instant,
    /// Until when a leader that was heard is taken to be there, so that votes are refused.
    leader_until: Option<Instant>,
    pending: Pending,
}

impl Node {
    /// Makes the member `id` from what its disk gave back. `seed` draws its election timeouts; members
    /// should have different ones.
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
            pending: Pending::default(),
        };
        node.pending.restore = node.commit > LogIndex::default();
        node.reset_election(now);
        node.election_at = node.first_election_at(now);
        node
    }

    /// The only voter has nobody to wait for.
    fn first_election_at(&self, now: Instant) -> Instant {
        let voters: Vec<_> = self.membership().voters().collect();
        if voters == [self.id] {
            now
        } else {
            self.election_at
        }
    }

    /// The member's identity.
    pub const fn id(&self) -> MemberId {
        self.id
    }

    /// The member's term.
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The members, as this member's log has them.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// The latest index that this member knows to be committed.
    pub const fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Index of the last entry in this member's log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Index of the snapshot that the log starts from.
    pub const fn snapshot_index(&self) -> LogIndex {
        self.log.snapshot().index
    }

    /// When [`Self::on_tick`] is to be called at the latest.
    pub fn next_deadline(&self) -> Instant {
        match &self.role {
            Role::Leader(leader) => leader.next_deadline(),
            Role::Follower | Role::Candidate(_) => self.election_at,
        }
    }

    /// Time passed.
    pub fn on_tick(&mut self, now: Instant) {
        if matches!(self.role, Role::Leader(_)) {
            self.on_leader_tick(now);
        } else if now >= self.election_at {
            self.campaign(now);
        }
    }

    /// A message came in. One that is for somebody else is dropped.
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
        if !self.settle_term(now, from, term, &message) {
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
            } => {
                self.follow(now, from);
                let outcome = self.append((previous_index, previous_term), entries, commit);
                self.answer_append(from, round, outcome);
            }
            Message::SnapshotRequest { snapshot, round } => {
                self.follow(now, from);
                let outcome = self.install(snapshot);
                self.answer_append(from, round, outcome);
            }
            Message::AppendResponse { round, outcome } => {
                self.on_append_response(now, from, round, outcome);
            }
        }
    }

    /// Proposes commands, as one batch. They are accepted once they come out as [`Apply::Entry`] with
    /// the term returned here; until then nothing is promised. Returns the index of the first.
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

    /// Asks for an index from which a read sees every change accepted before this call. The answer
    /// comes out of [`Self::take`] once a majority has confirmed the leader.
    pub fn read(&mut self, now: Instant, id: ReadId) -> Result<(), NotLeader> {
        self.check_lease(now);
        let not_leader = self.not_leader();
        let ready = self.has_committed_in_term();
        let Role::Leader(leader) = &mut self.role else {
            return Err(not_leader);
        };
        if !ready {
            return Err(NotLeader { leader: None });
        }
        leader.add_read(id, self.commit);
        self.start_round(now);
        self.answer_reads();
        Ok(())
    }

    /// A batch and all before it are on the disk.
    pub fn on_synced(&mut self, now: Instant, mark: LogPosition) {
        if self.log.term_at(mark.index) == Some(mark.term) {
            self.synced = self.synced.max(mark.index);
        }
        self.advance_commit(now);
    }

    /// Lets `state`, the state machine after `index`, stand for the log up to there.
    pub fn compact(&mut self, index: LogIndex, state: Bytes) {
        if index <= self.log.snapshot().index || index > self.applied {
            return;
        }
        self.log
            .compact(index, state, self.options.retained_entries);
        self.pending.rewrite = true;
    }

    /// What is to be done since the last call.
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
        let hard_state = self.pending.hard_state(self.hard_state);
        let unwritten = self.pending.unwritten_from.take();
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
            entries: unwritten.map_or_else(Vec::new, |from| self.log.range(from, last)),
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
        self.pending.appended(entry.index);
        self.log.push(entry);
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        self.pending.hard_state_changed |= self.hard_state != hard_state;
        self.hard_state = hard_state;
    }

    /// Sends what rests on the disk: it leaves once the batch is synced.
    fn send_after_sync(&mut self, to: MemberId, term: Term, message: Message) {
        self.pending.after_sync.push(Envelope {
            from: self.id,
            to,
            term,
            message,
        });
    }

    fn reset_election(&mut self, now: Instant) {
        let usual = self.options.election_timeout;
        let shortest = if self.has_known_leader {
            usual
        } else {
            // Votes that come faster than they reach the disk end one another. A pre-vote needs no disk.
            let times = 2_u32.saturating_pow(self.first_campaigns);
            usual.min(self.options.first_election_timeout.saturating_mul(times))
        };
        let spread = self.rng.random_range(0..=shortest.as_micros());
        let spread = u64::try_from(spread).unwrap_or(u64::MAX);
        self.election_at = now + shortest + Duration::from_micros(spread);
    }

    /// Gives up whatever role the member has. Reads that wait are told.
    fn become_follower(&mut self, now: Instant, leader: Option<MemberId>) {
        if let Role::Leader(old) = std::mem::replace(&mut self.role, Role::Follower) {
            let lost = old.into_reads();
            let outcomes = lost.map(|id| ReadOutcome { id, index: None });
            self.pending.reads.extend(outcomes);
        }
        self.leader = leader;
        self.has_known_leader |= leader.is_some();
        self.reset_election(now);
    }
}
