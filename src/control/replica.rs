//! One control host's copy of the replicated state, without its sockets, disk and clock.
//!
//! A [`Replica`] connects the replicated log with the state machine and with the requests that wait for
//! a reply. The driver passes in events and executes the [`ReplicaOutputs`]; see
//! [`dogwoodrill_consensus::Outputs`] for their order.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::{Display, From};
use dogwoodrill_consensus::{
    Apply, Batch, Entry, Envelope, Handover, JoinError, JoinPolicy, LogPosition, Member, MemberId,
    MemberProgress, MemberStatus, Membership, Node, NotLeader, Options, Payload, PersistedState,
    ReadId, ReadOutcome, RoleName, Snapshot,
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

/// Number of applied entries after which a snapshot of the state replaces the log before it.
const COMPACT_AFTER_ENTRIES: u64 = 8192;
/// Size of the applied commands in bytes after which a snapshot is taken as well.
const COMPACT_AFTER_BYTES: usize = 4 << 20;

/// Identifies a request that waits for its reply.
#[derive(Clone, Copy, Debug, Default, Display, Eq, From, Ord, PartialEq, PartialOrd)]
pub struct RequestId(u64);

/// A requested change.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Identifies the request.
    pub request_id: RequestId,
    /// The operator's id of the command; `None` for a change made by the leader itself.
    pub id: Option<CommandId>,
    /// The change.
    pub change: Change,
}

/// The reply to one request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The reply to a change.
    Change(Result<Accepted, HostRefusal>),
    /// The reply to a read.
    Read(Result<Arc<CommittedConfig>, HostRefusal>),
}

/// The actions for the driver, to be executed in the order of the fields.
#[derive(Debug)]
pub struct ReplicaOutputs {
    /// Messages that may be sent at once.
    pub messages: Vec<Envelope>,
    /// Replies to requests.
    pub replies: Vec<(RequestId, Reply)>,
    /// A configuration that was committed.
    pub config: Option<Arc<CommittedConfig>>,
    /// Data that must be on disk before anything below is done.
    pub batch: Batch,
    /// Messages that may be sent only after the batch is on disk.
    pub after_sync: Vec<Envelope>,
    /// The mark to pass to [`Replica::on_synced`] once the batch is on disk.
    pub synced: LogPosition,
}

/// The log holds data that this version of the program cannot use.
#[derive(Debug, Snafu)]
pub enum StateError {
    /// An entry or snapshot cannot be decoded.
    #[snafu(display("the log holds a command that this version of the program cannot read"))]
    Decode {
        /// The error of the decoder.
        source: prost::DecodeError,
    },
    /// An entry or snapshot has a value out of range.
    #[snafu(display(
        "the log holds a command with a value that is out of range for this version of the program"
    ))]
    Convert {
        /// The error of the conversion.
        source: ConvertError,
    },
}

#[derive(Debug)]
struct PendingChange {
    request_id: RequestId,
    term: Term,
}

/// One control host's copy of the state.
#[derive(Debug)]
pub struct Replica {
    node: Node,
    state: ControlState,
    /// The configuration of `state`, shared with its readers.
    config: Arc<CommittedConfig>,
    applied: LogIndex,
    changes: BTreeMap<LogIndex, PendingChange>,
    reads: BTreeMap<ReadId, RequestId>,
    confirmed_reads: BTreeMap<LogIndex, Vec<RequestId>>,
    next_read: u64,
    replies: Vec<(RequestId, Reply)>,
    /// Size in bytes of the commands applied since the last snapshot.
    applied_bytes: usize,
    vacancies: JoinPolicy,
}

impl Replica {
    /// Creates the replica of member `id` from the state restored from its disk.
    pub fn new(
        id: MemberId,
        options: Options,
        restored: PersistedState,
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
            vacancies: JoinPolicy::new(0),
        }
    }

    /// Makes the replica add a host that requests to join without replacing another, while there are
    /// fewer voters than `target`.
    #[must_use]
    pub fn with_target_voters(mut self, target: usize) -> Self {
        self.vacancies = JoinPolicy::new(target);
        self
    }

    /// The state up to the last applied entry.
    pub const fn state(&self) -> &ControlState {
        &self.state
    }

    /// The index of the last applied entry.
    pub const fn applied(&self) -> LogIndex {
        self.applied
    }

    /// The members that this host knows.
    pub fn membership(&self) -> &Membership {
        self.node.membership()
    }

    /// The status of this host in the consensus protocol.
    pub fn standing(&self, now: Instant) -> MemberStatus {
        self.node.status(now)
    }

    /// Whether this host is the leader, as far as it knows.
    pub fn is_leader(&self, now: Instant) -> bool {
        self.standing(now).role == RoleName::Leader
    }

    /// The latest time at which [`Self::on_tick`] must be called next.
    pub fn next_deadline(&self) -> Instant {
        self.node.next_deadline()
    }

    /// Runs everything that is due by time.
    pub fn on_tick(&mut self, now: Instant) {
        self.node.on_tick(now);
    }

    /// Handles a message from another member.
    pub fn on_message(&mut self, now: Instant, envelope: Envelope) {
        self.node.on_message(now, envelope);
    }

    /// Handles the completion of a write: the batch of `mark` and all earlier ones are on disk.
    pub fn on_synced(&mut self, now: Instant, mark: LogPosition) {
        self.node.on_synced(now, mark);
    }

    /// Proposes changes, as one batch. `wall` is the host's wall clock.
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
            let pending = PendingChange {
                request_id: proposal.request_id,
                term: first.term,
            };
            self.changes.insert(index.into(), pending);
        }
    }

    /// Replies with the configuration once it is known to contain every change accepted before this
    /// call.
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

    /// Adds a host that replaces the one with number `lost`.
    pub fn join(&mut self, now: Instant, joining: &Member, lost: NodeId) -> Result<(), JoinError> {
        let members = self.membership().members();
        if members.iter().any(|m| m.id == joining.id) {
            return Ok(());
        }
        // The lost host may return under its old number with a fresh disk, and that disk may in turn
        // have been replaced before it became a voter; the member to replace is the original one.
        let mut on_lost = members.iter().filter(|m| m.node == lost);
        let replaced = on_lost.find(|m| m.replaces.is_none()).map(|m| m.id);
        let replaced = replaced.ok_or(JoinError::NoReplaceableMember)?;
        let belongs = |m: &Member| m.id == replaced || m.replaces == Some(replaced);
        let mut on_own = members.iter().filter(|m| m.node == joining.node);
        if !on_own.all(belongs) {
            return Err(JoinError::NodeIdInUse);
        }
        self.node.join(now, joining, Some(replaced))
    }

    /// Adds a host that does not name a host to replace, if the cluster needs another member.
    pub fn join_where_needed(&mut self, now: Instant, joining: &Member) -> Result<(), JoinError> {
        self.vacancies.join(now, &mut self.node, joining)
    }

    /// Gives a host that waits for a place one that has become vacant; returns the host if its place has changed.
    pub fn fill_vacancy(&mut self, now: Instant) -> Option<MemberId> {
        self.vacancies.advance(now, &mut self.node)
    }

    /// Hands the place of the member `leaving`, which is about to stop, over to a host that waits for one.
    pub fn leave(&mut self, now: Instant, leaving: MemberId) -> Result<Handover, NotLeader> {
        self.vacancies.leave(now, &mut self.node, leaving)
    }

    /// Whether this host, which is about to stop, may end after the last `answer` of a leader.
    pub fn may_stop(&self, now: Instant, answer: Option<Handover>) -> bool {
        self.vacancies.may_stop(now, &self.node, answer)
    }

    /// The time for which this leader has waited for a response of the member `id`.
    pub fn silence(&self, now: Instant, id: MemberId) -> Duration {
        let since = self.node.silent_since(now, id);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns the actions that are due since the last call.
    pub fn take(&mut self, now: Instant) -> Result<ReplicaOutputs, StateError> {
        self.compact();
        let outputs = self.node.take();
        for apply in outputs.apply {
            self.apply(apply)?;
        }
        self.reply_to_reads(outputs.reads);
        self.fail_pending_changes(now);
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
        let many = self.applied.get() >= self.node.snapshot_index().get() + COMPACT_AFTER_ENTRIES;
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
        let pending = self.changes.remove(&index);
        if let Payload::Command(bytes) = entry.payload {
            self.applied_bytes += bytes.len();
            let command = wire::Command::decode(bytes).context(DecodeSnafu)?;
            let command = Command::try_from(command).context(ConvertSnafu)?;
            let answer = self.state.apply(index, command);
            if let Some(pending) = pending {
                // An entry of another term at that index does not show the outcome of the pending
                // change.
                let answer = if pending.term == term {
                    answer.map_err(HostRefusal::Refused)
                } else {
                    Err(HostRefusal::NoQuorum)
                };
                self.reply_change(pending.request_id, answer);
            }
        } else if let Some(pending) = pending {
            self.reply_change(pending.request_id, Err(HostRefusal::NoQuorum));
        }
        Ok(())
    }

    fn reply_to_reads(&mut self, outcomes: Vec<ReadOutcome>) {
        for outcome in outcomes {
            let Some(request_id) = self.reads.remove(&outcome.id) else {
                continue;
            };
            if let Some(index) = outcome.index {
                let pending = self.confirmed_reads.entry(index).or_default();
                pending.push(request_id);
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

    /// Replies to all pending changes after this host has lost the leadership, because it no longer
    /// learns their outcome.
    fn fail_pending_changes(&mut self, now: Instant) {
        if self.changes.is_empty() || self.is_leader(now) {
            return;
        }
        for pending in std::mem::take(&mut self.changes).into_values() {
            self.reply_change(pending.request_id, Err(HostRefusal::NoQuorum));
        }
    }

    fn reply_change(&mut self, request_id: RequestId, answer: Result<Accepted, HostRefusal>) {
        self.replies.push((request_id, Reply::Change(answer)));
    }

    /// The number and address of a member's host.
    pub fn host(&self, id: Option<MemberId>) -> Option<ControlHost> {
        let member = self.membership().get(id?)?;
        Some(ControlHost {
            node: member.node,
            address: member.address,
        })
    }

    /// The replication progress of the members.
    pub fn members(&self, now: Instant) -> Vec<MemberProgress> {
        self.standing(now).members
    }
}

/// The state of a new cluster, as its initial snapshot contains it.
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
