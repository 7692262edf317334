//! One control host's copy of the state, without its sockets, disk and clock.
//!
//! A [`Replica`] joins the replicated log to the state machine and to the callers that wait for an
//! answer. The driver hands in what happens and carries out [`ReplicaOutputs`]; see
//! [`dogwoodrill_consensus::Outputs`] for their order.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::{Display, From};
use dogwoodrill_consensus::{
    Apply, Batch, Entry, Envelope, JoinError, Member, MemberId, MemberProgress, Membership, Node,
    Options, Payload, ReadId, ReadOutcome, Restored, RoleName, Snapshot, Standing, SyncMark,
    Vacancies,
};
use dogwoodrill_core::changes::{Accepted, Change, Command, CommandId};
use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::control_state::ControlState;
use dogwoodrill_core::control_status::{ControlHost, HostRefusal};
use dogwoodrill_core::ids::{LogIndex, NodeId, Term};
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_wire::convert::ConvertError;
use dogwoodrill_wire::proto::consensus as wire;
use prost::Message as _;
use snafu::{ResultExt, Snafu};

/// Entries after which the state takes the place of the log before it.
const COMPACT_AFTER: u64 = 8192;
/// Bytes of commands after which it does too.
const COMPACT_AFTER_BYTES: usize = 4 << 20;
/// Time without an answer after which another host may take a voter's place: longer than a restart.
pub const LOST_AFTER: Duration = Duration::from_secs(3);

/// Names a caller that waits for an answer.
#[derive(Clone, Copy, Debug, Default, Display, Eq, From, Ord, PartialEq, PartialOrd)]
pub struct RequestId(u64);

/// A change that somebody asks for.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Who waits.
    pub request_id: RequestId,
    /// The operator's id; none for a change of the leader.
    pub id: Option<CommandId>,
    /// The change.
    pub change: Change,
}

/// The answer to one caller.
#[derive(Clone, Debug)]
pub enum Reply {
    /// To a change.
    Change(Result<Accepted, HostRefusal>),
    /// To a read.
    Read(Result<Arc<CommittedConfig>, HostRefusal>),
}

/// What is to be done; in the order of the fields.
#[derive(Debug)]
pub struct ReplicaOutputs {
    /// Messages that may leave at once.
    pub messages: Vec<Envelope>,
    /// Answers to callers.
    pub replies: Vec<(RequestId, Reply)>,
    /// A configuration that was committed.
    pub config: Option<Arc<CommittedConfig>>,
    /// What the disk must hold before anything below is done.
    pub batch: Batch,
    /// Messages that may leave only then.
    pub after_sync: Vec<Envelope>,
    /// What to report to [`Replica::on_synced`] then.
    pub synced: SyncMark,
}

/// What the log holds is none of this program's.
#[derive(Debug, Snafu)]
pub enum StateError {
    /// An entry or snapshot cannot be decoded.
    #[snafu(display("the log holds a command that this version of the program cannot read"))]
    Decode {
        /// What the decoder said.
        source: prost::DecodeError,
    },
    /// An entry or snapshot has a value out of range.
    #[snafu(display("the log holds a command that makes no sense to this version of the program"))]
    Convert {
        /// What is wrong.
        source: ConvertError,
    },
}

#[derive(Debug)]
struct WaitingChange {
    request_id: RequestId,
    term: Term,
}

/// One control host's copy of the state.
#[derive(Debug)]
pub struct Replica {
    node: Node,
    state: ControlState,
    /// The configuration of `state`, shared with whoever reads it.
    config: Arc<CommittedConfig>,
    applied: LogIndex,
    changes: BTreeMap<LogIndex, WaitingChange>,
    reads: BTreeMap<ReadId, RequestId>,
    confirmed_reads: BTreeMap<LogIndex, Vec<RequestId>>,
    next_read: u64,
    replies: Vec<(RequestId, Reply)>,
    /// Bytes of the commands applied since the last snapshot.
    applied_bytes: usize,
    vacancies: Vacancies,
}

impl Replica {
    /// Makes the copy of member `id` from what its disk gave back.
    pub fn new(
        id: MemberId,
        options: Options,
        restored: Restored,
        now: Instant,
        seed: u64,
    ) -> Self {
        Self {
            node: Node::new(id, options, restored, now, seed),
            state: ControlState::default(),
            config: Arc::default(),
            applied: LogIndex::default(),
            changes: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed_reads: BTreeMap::new(),
            next_read: 0,
            replies: Vec::new(),
            applied_bytes: 0,
            vacancies: Vacancies::new(0, LOST_AFTER),
        }
    }

    /// The same copy, which takes in a host that asks, without taking anyone's place, while there are
    /// fewer voters than `wanted`.
    #[must_use]
    pub fn with_target_voters(mut self, wanted: usize) -> Self {
        self.vacancies = Vacancies::new(wanted, LOST_AFTER);
        self
    }

    /// The state as far as it is applied.
    pub const fn state(&self) -> &ControlState {
        &self.state
    }

    /// The last index that is applied.
    pub const fn applied(&self) -> LogIndex {
        self.applied
    }

    /// The members that this host knows.
    pub fn membership(&self) -> &Membership {
        self.node.membership()
    }

    /// The host's standing in the log.
    pub fn standing(&self, now: Instant) -> Standing {
        self.node.standing(now)
    }

    /// Whether the host leads, as far as it knows.
    pub fn is_leader(&self, now: Instant) -> bool {
        self.standing(now).role == RoleName::Leader
    }

    /// When [`Self::on_tick`] is to be called at the latest.
    pub fn next_deadline(&self) -> Instant {
        self.node.next_deadline()
    }

    /// Time passed.
    pub fn on_tick(&mut self, now: Instant) {
        self.node.on_tick(now);
    }

    /// A message of another member came in.
    pub fn on_message(&mut self, now: Instant, envelope: Envelope) {
        self.node.on_message(now, envelope);
    }

    /// A batch and all before it are on the disk.
    pub fn on_synced(&mut self, now: Instant, mark: SyncMark) {
        self.node.on_synced(now, mark);
    }

    /// Takes changes in, as one batch. `wall` is the host's clock.
    pub fn propose(&mut self, now: Instant, wall: UnixMillis, proposals: Vec<Proposal>) {
        let commands = proposals.iter().map(|p| encode(wall, p));
        let first = match self.node.propose(now, commands.collect::<Vec<_>>()) {
            Ok(first) => first,
            Err(not_leader) => {
                let refusal = HostRefusal::NotLeader(self.host(not_leader.leader));
                for proposal in proposals {
                    self.reply_change(proposal.request_id, Err(refusal.clone()));
                }
                return;
            }
        };
        for (proposal, index) in proposals.into_iter().zip(first.index.get()..) {
            let waiting = WaitingChange {
                request_id: proposal.request_id,
                term: first.term,
            };
            self.changes.insert(index.into(), waiting);
        }
    }

    /// Answers with the configuration once it is sure to hold every change accepted before this call.
    pub fn read(&mut self, now: Instant, request_id: RequestId) {
        self.next_read += 1;
        let id = ReadId::from(self.next_read);
        match self.node.read(now, id) {
            Ok(()) => {
                self.reads.insert(id, request_id);
            }
            Err(not_leader) => {
                let refusal = HostRefusal::NotLeader(self.host(not_leader.leader));
                self.replies.push((request_id, Reply::Read(Err(refusal))));
            }
        }
    }

    /// Takes in a host that replaces the one of number `lost`.
    pub fn join(&mut self, now: Instant, joining: &Member, lost: NodeId) -> Result<(), JoinError> {
        let members = self.membership().members();
        if members.iter().any(|m| m.id == joining.id) {
            return Ok(());
        }
        // The lost host may come back under its old number with a fresh disk, and that disk may have
        // been replaced again before it got a vote; the member to replace is the one that was first.
        let mut on_lost = members.iter().filter(|m| m.node == lost);
        let replaced = on_lost.find(|m| m.replaces.is_none()).map(|m| m.id);
        let replaced = replaced.ok_or(JoinError::NobodyToReplace)?;
        let belongs = |m: &Member| m.id == replaced || m.replaces == Some(replaced);
        let mut on_own = members.iter().filter(|m| m.node == joining.node);
        if !on_own.all(belongs) {
            return Err(JoinError::NumberTaken);
        }
        self.node.join(now, joining, Some(replaced))
    }

    /// Takes in a host that names nobody whose place it takes, where there is a place for it.
    pub fn join_where_needed(&mut self, now: Instant, joining: &Member) -> Result<(), JoinError> {
        self.vacancies.join(now, &mut self.node, joining)
    }

    /// What is to be done since the last call.
    pub fn take(&mut self, now: Instant) -> Result<ReplicaOutputs, StateError> {
        self.compact();
        let outputs = self.node.take();
        for apply in outputs.apply {
            self.apply(apply)?;
        }
        self.answer_reads(outputs.reads);
        self.give_up_changes(now);
        Ok(ReplicaOutputs {
            messages: outputs.messages,
            replies: std::mem::take(&mut self.replies),
            config: self.new_config(),
            batch: outputs.batch,
            after_sync: outputs.after_sync,
            synced: outputs.synced,
        })
    }

    fn compact(&mut self) {
        let many = self.applied.get() >= self.node.snapshot_index().get() + COMPACT_AFTER;
        if many || self.applied_bytes >= COMPACT_AFTER_BYTES {
            self.applied_bytes = 0;
            let state = wire::State::from(&self.state).encode_to_vec();
            self.node.compact(self.applied, state.into());
        }
    }

    fn new_config(&mut self) -> Option<Arc<CommittedConfig>> {
        if self.state.config.index == self.config.index {
            return None;
        }
        self.config = Arc::new(self.state.config.clone());
        Some(Arc::clone(&self.config))
    }

    fn apply(&mut self, apply: Apply) -> Result<(), StateError> {
        match apply {
            Apply::Snapshot(snapshot) => self.restore(&snapshot),
            Apply::Entry(entry) => self.apply_entry(entry),
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), StateError> {
        let state = wire::State::decode(snapshot.state.clone()).context(DecodeSnafu)?;
        self.state = state.try_into().context(ConvertSnafu)?;
        self.applied = snapshot.index;
        Ok(())
    }

    fn apply_entry(&mut self, entry: Entry) -> Result<(), StateError> {
        let (index, term) = (entry.index, entry.term);
        self.applied = index;
        let waiting = self.changes.remove(&index);
        if let Payload::Command(bytes) = entry.payload {
            self.applied_bytes += bytes.len();
            let command = wire::Command::decode(bytes).context(DecodeSnafu)?;
            let command = Command::try_from(command).context(ConvertSnafu)?;
            let answer = self.state.apply(index, command);
            if let Some(waiting) = waiting {
                // Another leader's entry at that index says nothing of the change that waits.
                let answer = if waiting.term == term {
                    answer.map_err(HostRefusal::Refused)
                } else {
                    Err(HostRefusal::NoQuorum)
                };
                self.reply_change(waiting.request_id, answer);
            }
        } else if let Some(waiting) = waiting {
            self.reply_change(waiting.request_id, Err(HostRefusal::NoQuorum));
        }
        Ok(())
    }

    fn answer_reads(&mut self, outcomes: Vec<ReadOutcome>) {
        for outcome in outcomes {
            let Some(request_id) = self.reads.remove(&outcome.id) else {
                continue;
            };
            if let Some(index) = outcome.index {
                let waiting = self.confirmed_reads.entry(index).or_default();
                waiting.push(request_id);
            } else {
                let reply = Reply::Read(Err(HostRefusal::NotLeader(None)));
                self.replies.push((request_id, reply));
            }
        }
        let later = self.confirmed_reads.split_off(&self.applied.next());
        let ready = std::mem::replace(&mut self.confirmed_reads, later);
        if ready.is_empty() {
            return;
        }
        let config = Arc::new(self.state.config.clone());
        for request_id in ready.into_values().flatten() {
            let reply = Reply::Read(Ok(Arc::clone(&config)));
            self.replies.push((request_id, reply));
        }
    }

    /// A host that no longer leads does not know what becomes of the changes that it took in.
    fn give_up_changes(&mut self, now: Instant) {
        if self.changes.is_empty() || self.is_leader(now) {
            return;
        }
        for waiting in std::mem::take(&mut self.changes).into_values() {
            self.reply_change(waiting.request_id, Err(HostRefusal::NoQuorum));
        }
    }

    fn reply_change(&mut self, request_id: RequestId, answer: Result<Accepted, HostRefusal>) {
        self.replies.push((request_id, Reply::Change(answer)));
    }

    /// The host of a member.
    pub fn host(&self, id: Option<MemberId>) -> Option<ControlHost> {
        let member = self.membership().get(id?)?;
        Some(ControlHost {
            node: member.node,
            address: member.address,
        })
    }

    /// How far the members are.
    pub fn members(&self, now: Instant) -> Vec<MemberProgress> {
        self.standing(now).members
    }
}

/// The state of a new cluster, as its first snapshot holds it.
pub fn first_state(initial: &CommittedConfig) -> Bytes {
    let state = ControlState::new(initial.clone());
    wire::State::from(&state).encode_to_vec().into()
}

fn encode(wall: UnixMillis, proposal: &Proposal) -> Bytes {
    let command = Command {
        id: proposal.id,
        proposed_at: wall,
        change: proposal.change.clone(),
    };
    wire::Command::from(&command).encode_to_vec().into()
}
