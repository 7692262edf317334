//! Deterministic simulation of a cluster: members, their disks and a network that loses, duplicates, delays
//! and reorders messages.
//!
//! Time advances in steps. A write takes several steps to sync; meanwhile its host does nothing else, and
//! a crash may lose the write. All random choices derive from one seed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use dogwoodrill_consensus::{
    AppendOutcome, Apply, Batch, Entry, Envelope, Handover, JoinPolicy, Member, MemberId,
    MemberRole, MemberStatus, Membership, Message, Node, Options, Outputs, Payload, PersistedState,
    ReadId, RoleName, Snapshot,
};
use dogwoodrill_core::ids::{LogIndex, NodeId, Term};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::checker::{Checked, Checker, State, Violation, holds};
use crate::support::{member, options, start};

const STEP: Duration = Duration::from_millis(5);
const MAX_SYNC_STEPS: u64 = 3;
/// Maximum delay of a straggling message, in steps; several elections can take place meanwhile.
const STRAGGLER_STEPS: u64 = 100;
/// Factor by which a slow disk takes longer to sync.
const SLOW_DISK_FACTOR: u64 = 20;
/// Number of steps for which a member and the leader must have been healthy for a replacement of the member to
/// be a violation: `replace_after`, an election, and the delays of an unreliable network.
const HEALTHY_STEPS: u64 = 60 + 60;

/// Rule that is broken on purpose, to verify that the checker detects it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sabotage {
    Nothing,
    /// Votes are sent before they are synced.
    VoteNotSynced,
    /// Responses of a learner count as those of a voter.
    LearnerVotes,
    /// A leader assumes that all members are still in contact with it.
    NoCheckQuorum,
    /// A learner reports entries as synced as soon as they are sent to it.
    LearnerReportsUnsynced,
    /// A leader serves reads without confirming that it still leads.
    UnconfirmedReads,
    /// A disk loses entries that were synced.
    DiskLosesEntries,
    /// A host with a wiped disk restarts with its old member id.
    OldIdentity,
    /// A voter that does not respond is immediately considered lost.
    ReplacedImmediately,
    /// A joining host is added as an additional member, whatever the number of members.
    UnlimitedMembers,
    /// A joining host is never added.
    NeverAdded,
    /// A host that is told to stop ends at once, whatever becomes of its place.
    EndsAtOnce,
    /// A host that is told to stop ends as soon as a successor is a member, though not yet a voter in its place.
    EndsTooEarly,
}

/// Faults of the network, in percent of messages.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub lost: u32,
    pub duplicated: u32,
    /// Messages that are delayed by up to `STRAGGLER_STEPS`.
    pub stragglers: u32,
    pub max_delay_steps: u64,
}

pub const UNRELIABLE: Network = Network {
    lost: 3,
    duplicated: 5,
    stragglers: 2,
    max_delay_steps: 3,
};
pub const RELIABLE: Network = Network {
    lost: 0,
    duplicated: 0,
    stragglers: 0,
    max_delay_steps: 1,
};

/// Speed of a disk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DiskSpeed {
    Usual,
    Slow,
    /// No write completes, as on a disk that is full or does not respond.
    Stalled,
}

pub struct Host {
    pub node: Option<Node>,
    pub disk: PersistedState,
    pub lost: bool,
    pub speed: DiskSpeed,
    /// Whether the host was told to stop and has not ended yet.
    pub leaving: bool,
    /// Node id of the host, which stays the same when the disk is wiped.
    pub node_id: NodeId,
    /// Step at which the host was last down, disconnected or without a disk of usual speed.
    last_faulty_at: u64,
    syncing: Option<(u64, Outputs)>,
    inbox: Vec<Envelope>,
    last_received_at: BTreeMap<MemberId, Instant>,
    membership: Membership,
    /// The membership when the host was last checked.
    checked: Membership,
    state: State,
    proposed: BTreeMap<LogIndex, Term>,
    reads: BTreeMap<ReadId, LogIndex>,
    policy: JoinPolicy,
}

pub struct Simulation {
    pub hosts: BTreeMap<MemberId, Host>,
    pub rng: StdRng,
    pub network: Network,
    pub checker: Checker,
    /// Links on which no message is delivered, as sender and receiver.
    pub cut_links: BTreeSet<(MemberId, MemberId)>,
    /// Hosts of the version that neither sends nor reads which members are silent.
    pub without_silence: BTreeSet<MemberId>,
    /// Hosts of the version that does not hand its place over and answers no request to do so.
    pub without_handover: BTreeSet<MemberId>,
    /// Target number of voters.
    pub target_voters: usize,
    options: Options,
    sabotage: Sabotage,
    now: Instant,
    step: u64,
    in_flight: Vec<(u64, Envelope)>,
    commands: u64,
    next_id: u64,
}

impl Simulation {
    pub fn new(voters: &Membership, seed: u64, sabotage: Sabotage) -> Self {
        Self::with_options(voters, seed, sabotage, options())
    }

    pub fn with_options(
        voters: &Membership,
        seed: u64,
        sabotage: Sabotage,
        options: Options,
    ) -> Self {
        let snapshot = Snapshot {
            index: LogIndex::new(1),
            term: 1.into(),
            membership: voters.clone(),
            state: encode(State {
                index: LogIndex::new(1),
                digest: 0,
            }),
        };
        let restored = PersistedState {
            snapshot,
            ..PersistedState::default()
        };
        let mut simulation = Self {
            hosts: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            network: UNRELIABLE,
            checker: Checker::default(),
            cut_links: BTreeSet::new(),
            without_silence: BTreeSet::new(),
            without_handover: BTreeSet::new(),
            target_voters: voters.voters().count(),
            options,
            sabotage,
            now: start(),
            step: 0,
            in_flight: Vec::new(),
            commands: 0,
            next_id: 100,
        };
        for id in voters.voters() {
            simulation.add_host(id, id.get().into(), restored.clone());
        }
        simulation
    }

    fn add_host(&mut self, id: MemberId, node_id: NodeId, disk: PersistedState) {
        let host = Host {
            node: None,
            disk,
            lost: false,
            leaving: false,
            speed: DiskSpeed::Usual,
            node_id,
            last_faulty_at: self.step,
            syncing: None,
            inbox: Vec::new(),
            last_received_at: BTreeMap::new(),
            membership: Membership::default(),
            checked: Membership::default(),
            state: State::default(),
            proposed: BTreeMap::new(),
            reads: BTreeMap::new(),
            policy: JoinPolicy::new(0),
        };
        self.hosts.insert(id, host);
        self.restart(id);
    }

    pub fn ids(&self) -> Vec<MemberId> {
        self.hosts.keys().copied().collect()
    }

    pub fn leader(&self) -> Option<MemberId> {
        let leads = |node: &Node| node.status(self.now).role == RoleName::Leader;
        let mut hosts = self.hosts.iter();
        let found = hosts.find(|(_, h)| h.node.as_ref().is_some_and(leads));
        found.map(|(id, _)| *id)
    }

    /// Crashes a host. `keep_write` decides whether its write in progress reaches the disk.
    pub fn crash(&mut self, id: MemberId, keep_write: bool) {
        let host = self.hosts.get_mut(&id).unwrap();
        host.node = None;
        host.leaving = false;
        host.inbox.clear();
        match host.syncing.take() {
            Some((_, outputs)) if keep_write => save(self.sabotage, &mut host.disk, outputs.batch),
            Some(_) => self.checker.counts.lost_writes += 1,
            None => {}
        }
    }

    pub fn restart(&mut self, id: MemberId) {
        let seed = self.rng.random();
        let host = self.hosts.get_mut(&id).unwrap();
        if host.node.is_some() || host.lost {
            return;
        }
        host.last_received_at.clear();
        host.proposed.clear();
        host.reads.clear();
        host.state = State::default();
        host.policy = JoinPolicy::new(self.target_voters);
        let mut options = self.options.clone();
        if self.sabotage == Sabotage::ReplacedImmediately {
            // Any round trip takes longer.
            options.replace_after = Duration::ZERO;
        }
        host.node = Some(Node::new(id, options, host.disk.clone(), self.now, seed));
    }

    /// Removes the host `replaced` permanently and starts one with an empty disk and the same node id.
    /// Returns the id of the new member.
    pub fn replace(&mut self, replaced: MemberId) -> MemberId {
        self.remove(replaced, true);
        self.start_empty(replaced)
    }

    /// Removes a host and its disk permanently. `keep_write` decides whether its write in progress was completed.
    pub fn remove(&mut self, id: MemberId, keep_write: bool) {
        self.crash(id, keep_write);
        self.hosts.get_mut(&id).unwrap().lost = true;
    }

    /// Starts a host with an empty disk and the node id of `removed`. Returns the id of the new member.
    pub fn start_empty(&mut self, removed: MemberId) -> MemberId {
        let node_id = self.hosts[&removed].node_id;
        self.add_empty_host(node_id)
    }

    fn add_empty_host(&mut self, node_id: NodeId) -> MemberId {
        let id = MemberId::new(self.next_id);
        self.next_id += 1;
        self.add_host(id, node_id, PersistedState::default());
        id
    }

    /// Wipes the disk of a host, which then requests to join again.
    pub fn wipe(&mut self, id: MemberId) {
        if self.sabotage == Sabotage::OldIdentity {
            self.crash(id, false);
            self.hosts.get_mut(&id).unwrap().disk = PersistedState::default();
            self.restart(id);
            return;
        }
        self.replace(id);
    }

    /// Removes a host permanently; a host with another node id requests to join.
    pub fn replace_with_new_host(&mut self, id: MemberId) -> MemberId {
        self.remove(id, false);
        let node_id = NodeId::new(self.next_id);
        self.add_empty_host(node_id)
    }

    /// Adds a host that requests to join while no member is lost.
    pub fn add_spare(&mut self) -> MemberId {
        let node_id = NodeId::new(self.next_id);
        self.add_empty_host(node_id)
    }

    /// Lets the hosts that are no voters or hear from no leader send join requests to every host that they reach; only a
    /// leader adds them.
    pub fn request_joins(&mut self) -> Checked {
        let now = self.now;
        let waiting = self.ids().into_iter().filter(|id| {
            let node = self.hosts[id].node.as_ref();
            node.is_some_and(|n| n.status(now).leader.is_none() || !n.membership().is_voter(*id))
        });
        for id in waiting.collect::<Vec<_>>() {
            let joining = Member {
                node: self.hosts[&id].node_id,
                ..member(id.get(), MemberRole::Learner)
            };
            for to in self.ids() {
                let link = [(id, to), (to, id)];
                if to != id && !link.iter().any(|link| self.cut_links.contains(link)) {
                    self.request_join(to, &joining)?;
                }
            }
        }
        Ok(())
    }

    fn request_join(&mut self, to: MemberId, joining: &Member) -> Checked {
        let now = self.now;
        let host = self.hosts.get_mut(&to).unwrap();
        let (Some(node), None) = (&mut host.node, &host.syncing) else {
            return Ok(());
        };
        let before = node.membership().clone();
        let result = match self.sabotage {
            Sabotage::NeverAdded => return Ok(()),
            Sabotage::UnlimitedMembers => node.join(now, joining, None),
            _ => host.policy.join(now, node, joining),
        };
        if result.is_err() || before.get(joining.id).is_some() {
            return Ok(());
        }
        self.check_place(to, joining.id)
    }

    /// Lets a host that was told to stop hand its place over. Returns whether it may end.
    pub fn request_leave(&mut self, id: MemberId) -> Result<bool, Violation> {
        if self.sabotage == Sabotage::EndsAtOnce || self.without_handover.contains(&id) {
            return Ok(true);
        }
        let leader = self.status(id).leader;
        let mut answer = None;
        for to in self.ids() {
            let link = [(id, to), (to, id)];
            if link.iter().any(|link| self.cut_links.contains(link)) {
                continue;
            }
            if !self.without_handover.contains(&to) {
                answer = answer.or(self.request_leave_at(to, id)?);
            } else if Some(to) == leader {
                return Ok(true);
            }
        }
        if self.sabotage == Sabotage::EndsTooEarly && answer == Some(Handover::InProgress) {
            return Ok(true);
        }
        let host = &self.hosts[&id];
        let node = host.node.as_ref().unwrap();
        Ok(host.policy.may_stop(self.now, node, answer))
    }

    fn request_leave_at(
        &mut self,
        to: MemberId,
        leaving: MemberId,
    ) -> Result<Option<Handover>, Violation> {
        let now = self.now;
        let host = self.hosts.get_mut(&to).unwrap();
        let (Some(node), None) = (&mut host.node, &host.syncing) else {
            return Ok(None);
        };
        let before = node.membership().clone();
        let Ok(handover) = host.policy.leave(now, node, leaving) else {
            return Ok(None);
        };
        let after = node.membership().members().iter().map(|m| m.id);
        let joined: Vec<_> = after.filter(|id| before.get(*id).is_none()).collect();
        for joined in joined {
            self.check_place(to, joined)?;
        }
        Ok(Some(handover))
    }

    /// Checks the place that the leader `to` has given to the host `joining`.
    fn check_place(&mut self, to: MemberId, joining: MemberId) -> Checked {
        let step = self.step;
        let host = &self.hosts[&to];
        let after = host.node.as_ref().unwrap().membership().clone();
        let joining = after.get(joining).unwrap();
        let is_leader_healthy = step - host.last_faulty_at > HEALTHY_STEPS;
        let is_settled = |m: &&Member| m.replaces.is_none() && m.id != joining.id;
        let is_additional = after.get(joining.id).is_some_and(|m| m.replaces.is_none());
        let count = after.members().iter().filter(is_settled).count() + usize::from(is_additional);
        holds(
            count <= self.target_voters,
            Violation::TooManyMembers(count),
        )?;
        let replaced = after.get(joining.id).and_then(|m| m.replaces);
        let is_other_host = |m: &MemberId| self.hosts[m].node_id != joining.node;
        if let Some(replaced) = replaced.filter(is_other_host) {
            let is_member_healthy = step - self.hosts[&replaced].last_faulty_at > HEALTHY_STEPS;
            let is_leaving = self.hosts[&replaced].leaving;
            let is_mistake = is_leader_healthy && is_member_healthy && !is_leaving;
            holds(!is_mistake, Violation::ReplacedHealthyMember(replaced))?;
        }
        self.checker.counts.hosts_added += 1;
        Ok(())
    }

    /// Checks a read that a leader serves without confirming that it still leads.
    fn check_unconfirmed_read(&mut self, id: MemberId) -> Checked {
        let needed = self.checker.accepted;
        let host = &self.hosts[&id];
        let leads = |n: &Node| n.status(self.now).role == RoleName::Leader;
        let leads = host.node.as_ref().is_some_and(leads);
        holds(
            !leads || host.state.index >= needed,
            Violation::StaleRead(needed),
        )
    }

    /// Sends every host a request to replace `replaced` by `joining`; only a leader handles it.
    pub fn join_as_replacement(&mut self, joining: MemberId, replaced: MemberId) {
        let joining = Member {
            node: self.hosts[&joining].node_id,
            ..member(joining.get(), MemberRole::Learner)
        };
        for host in self.hosts.values_mut() {
            if let (Some(node), None) = (&mut host.node, &host.syncing) {
                drop(node.join(self.now, &joining, Some(replaced)));
            }
        }
    }

    pub fn propose(&mut self, id: MemberId) -> Checked {
        self.commands += 1;
        let command = Bytes::from(self.commands.to_string());
        let now = self.now;
        let host = self.hosts.get_mut(&id).unwrap();
        let (Some(node), None) = (&mut host.node, &host.syncing) else {
            return Ok(());
        };
        let Ok(first) = node.propose(now, [command]) else {
            return Ok(());
        };
        host.proposed.insert(first.index, first.term);
        let is_in_contact = |m| {
            m == id
                || host
                    .last_received_at
                    .get(&m)
                    .is_some_and(|at| *at + self.options.election_timeout > now)
        };
        let in_contact = node.membership().is_quorum(is_in_contact);
        holds(in_contact, Violation::AcceptedIsolated(id))
    }

    pub fn read(&mut self, id: MemberId) -> Checked {
        if self.sabotage == Sabotage::UnconfirmedReads {
            return self.check_unconfirmed_read(id);
        }
        self.commands += 1;
        let read = ReadId::from(self.commands);
        let accepted = self.checker.accepted;
        let host = self.hosts.get_mut(&id).unwrap();
        if let (Some(node), None) = (&mut host.node, &host.syncing)
            && node.read(self.now, read).is_ok()
        {
            host.reads.insert(read, accepted);
        }
        Ok(())
    }

    pub fn compact(&mut self, id: MemberId) {
        let host = self.hosts.get_mut(&id).unwrap();
        if let (Some(node), None) = (&mut host.node, &host.syncing) {
            node.compact(host.state.index, encode(host.state));
        }
    }

    /// Advances the time by one step.
    pub fn step(&mut self) -> Checked {
        self.step += 1;
        self.now += STEP;
        self.record_faults();
        self.deliver();
        for id in self.ids() {
            self.finish_sync(id);
            self.run_host(id)?;
        }
        Ok(())
    }

    pub fn run(&mut self, steps: u64) -> Checked {
        (0..steps).try_for_each(|_| self.step())
    }

    fn record_faults(&mut self) {
        let step = self.step;
        for (id, host) in &mut self.hosts {
            let is_cut = self
                .cut_links
                .iter()
                .any(|(from, to)| from == id || to == id);
            if host.node.is_none() || is_cut || host.speed != DiskSpeed::Usual {
                host.last_faulty_at = step;
            }
        }
    }

    fn deliver(&mut self) {
        let step = self.step;
        let due = self.in_flight.extract_if(.., |(at, _)| *at <= step);
        for (_, envelope) in due.collect::<Vec<_>>() {
            let is_open = !self.cut_links.contains(&(envelope.from, envelope.to));
            let host = self.hosts.get_mut(&envelope.to);
            if let (true, Some(host)) = (is_open, host.filter(|h| h.node.is_some())) {
                host.inbox.push(envelope);
            }
        }
    }

    fn finish_sync(&mut self, id: MemberId) {
        let step = self.step;
        let host = self.hosts.get_mut(&id).unwrap();
        if host.speed == DiskSpeed::Stalled {
            return;
        }
        let Some((_, outputs)) = host.syncing.take_if(|(at, _)| *at <= step) else {
            return;
        };
        let (after, synced) = (outputs.after_sync, outputs.synced);
        save(self.sabotage, &mut host.disk, outputs.batch);
        if let Some(node) = &mut host.node {
            node.on_synced(self.now, synced);
        }
        self.send(after);
    }

    fn run_host(&mut self, id: MemberId) -> Checked {
        let now = self.now;
        let host = self.hosts.get_mut(&id).unwrap();
        if host.syncing.is_some() || host.node.is_none() {
            return Ok(());
        }
        // Each message is checked on its own: one may promote a learner, and the next one commit an entry that the
        // learner does not have yet.
        let inbox = std::mem::take(&mut host.inbox);
        for envelope in inbox {
            let host = self.hosts.get_mut(&id).unwrap();
            host.last_received_at.insert(envelope.from, now);
            host.node.as_mut().unwrap().on_message(now, envelope);
            self.check_member(id)?;
        }
        let node = self.hosts.get_mut(&id).unwrap().node.as_mut().unwrap();
        if now >= node.next_deadline() {
            node.on_tick(now);
            self.check_member(id)?;
            self.fill_vacancy(id)?;
        }
        let node = self.hosts.get_mut(&id).unwrap().node.as_mut().unwrap();
        let outputs = node.take();
        self.process_outputs(id, outputs)
    }

    fn fill_vacancy(&mut self, id: MemberId) -> Checked {
        let is_sabotaged = |s| matches!(s, Sabotage::NeverAdded | Sabotage::UnlimitedMembers);
        if is_sabotaged(self.sabotage) {
            return Ok(());
        }
        let host = self.hosts.get_mut(&id).unwrap();
        let node = host.node.as_mut().unwrap();
        let joined = host.policy.advance(self.now, node);
        self.check_member(id)?;
        joined.map_or(Ok(()), |joined| self.check_place(id, joined))
    }

    fn check_member(&mut self, id: MemberId) -> Checked {
        let host = self.hosts.get_mut(&id).unwrap();
        let checked = host.node.as_ref().unwrap().membership().clone();
        let checked = std::mem::replace(&mut host.checked, checked);
        let host = &self.hosts[&id];
        let node = host.node.as_ref().unwrap();
        if node.status(self.now).role != RoleName::Leader {
            return Ok(());
        }
        let (term, commit) = (node.term(), node.commit());
        let is_new_voter = |m: &MemberId| !checked.is_voter(*m);
        let known = !checked.members().is_empty();
        let promoted: Vec<_> = node.membership().voters().filter(is_new_voter).collect();
        for voter in promoted.into_iter().filter(|_| known) {
            let is_ready = self.hosts[&voter].disk.last_index() >= commit;
            holds(is_ready, Violation::PromotedTooEarly(voter))?;
            self.checker.counts.joined += 1;
        }
        self.checker.leader(term, id)
    }

    fn process_outputs(&mut self, id: MemberId, mut outputs: Outputs) -> Checked {
        let messages = std::mem::take(&mut outputs.messages);
        self.send(messages);
        for apply in std::mem::take(&mut outputs.apply) {
            self.apply(id, apply)?;
        }
        for read in std::mem::take(&mut outputs.reads) {
            let host = self.hosts.get_mut(&id).unwrap();
            let needed = host.reads.remove(&read.id).unwrap_or_default();
            let is_fresh = read.index.is_none_or(|index| index >= needed);
            holds(is_fresh, Violation::StaleRead(needed))?;
            self.checker.counts.reads += u64::from(read.index.is_some());
        }
        let host = self.hosts.get_mut(&id).unwrap();
        host.membership = host.node.as_ref().unwrap().membership().clone();
        if let Batch::Append {
            truncate_from: Some(_),
            ..
        } = outputs.batch
        {
            self.checker.counts.truncated += 1;
        }
        if outputs.batch.is_empty() {
            host.node
                .as_mut()
                .unwrap()
                .on_synced(self.now, outputs.synced);
            let after = outputs.after_sync;
            self.send(after);
            return Ok(());
        }
        if self.sabotage == Sabotage::VoteNotSynced {
            let votes = |e: &mut Envelope| matches!(e.message, Message::VoteResponse { .. });
            let early: Vec<_> = outputs.after_sync.extract_if(.., votes).collect();
            self.send(early);
        }
        let times = match self.hosts[&id].speed {
            DiskSpeed::Slow => SLOW_DISK_FACTOR,
            DiskSpeed::Usual | DiskSpeed::Stalled => 1,
        };
        let done = self.step + times * self.rng.random_range(1..=MAX_SYNC_STEPS);
        self.hosts.get_mut(&id).unwrap().syncing = Some((done, outputs));
        Ok(())
    }

    fn apply(&mut self, id: MemberId, apply: Apply) -> Checked {
        let host = self.hosts.get_mut(&id).unwrap();
        let entry = match apply {
            Apply::Snapshot(snapshot) => {
                host.state = decode(&snapshot.state);
                self.checker.counts.snapshots += 1;
                return self.checker.state(host.state);
            }
            Apply::Entry(entry) => entry,
        };
        host.state.apply(&entry);
        let (state, own) = (host.state, host.proposed.remove(&entry.index));
        self.checker.state(state)?;
        if self.checker.entry(&entry)? {
            self.check_durable(id, &entry)?;
        }
        let command = matches!(entry.payload, Payload::Command(_));
        if command && own == Some(entry.term) {
            self.checker.accepted = self.checker.accepted.max(entry.index);
            self.checker.counts.accepted += 1;
        }
        Ok(())
    }

    /// Checks that an entry that is applied for the first time is on a majority of disks, by the membership
    /// before or after a membership change in progress.
    fn check_durable(&self, id: MemberId, entry: &Entry) -> Checked {
        let has_entry = |m: MemberId| {
            let disk = &self.hosts[&m].disk;
            disk.snapshot.index >= entry.index || disk.entries.contains(entry)
        };
        let host = &self.hosts[&id];
        let now = host.node.as_ref().unwrap().membership();
        let is_durable = now.is_quorum(has_entry) || host.membership.is_quorum(has_entry);
        holds(is_durable, Violation::CommittedUnsynced(entry.index))
    }

    fn send(&mut self, envelopes: Vec<Envelope>) {
        for mut envelope in envelopes {
            self.sabotage(&envelope);
            let ends = [envelope.from, envelope.to];
            if ends.iter().any(|id| self.without_silence.contains(id)) {
                remove_silence(&mut envelope.message);
            }
            let network = self.network;
            let copies = 1 + u32::from(self.percent(network.duplicated));
            for _ in 0..copies {
                let most = if self.percent(network.stragglers) {
                    STRAGGLER_STEPS
                } else {
                    network.max_delay_steps
                };
                let delay = self.rng.random_range(1..=most);
                if !self.percent(network.lost) {
                    self.in_flight.push((self.step + delay, envelope.clone()));
                }
            }
        }
    }

    /// Injects the messages that would result if the sabotaged rule were broken.
    fn sabotage(&mut self, envelope: &Envelope) {
        let Envelope { from, to, term, .. } = *envelope;
        match (self.sabotage, &envelope.message) {
            (Sabotage::LearnerVotes, Message::AppendResponse { .. }) => {
                let leader = self.hosts[&to].node.as_ref();
                let membership = leader.map(|node| node.membership().clone());
                let membership = membership.unwrap_or_default();
                let mut others = membership.voters().filter(|v| *v != to);
                if let (false, Some(voter)) = (membership.is_voter(from), others.next()) {
                    let forged = Envelope {
                        from: voter,
                        ..envelope.clone()
                    };
                    self.in_flight.push((self.step + 1, forged));
                }
            }
            (Sabotage::LearnerReportsUnsynced, Message::AppendRequest { entries, round, .. }) => {
                let leader = self.hosts[&from].node.as_ref();
                let is_voter = leader.is_some_and(|n| n.membership().is_voter(to));
                let Some(last) = entries.last().filter(|_| !is_voter) else {
                    return;
                };
                let forged = Envelope {
                    from: to,
                    to: from,
                    term,
                    message: Message::AppendResponse {
                        round: *round,
                        outcome: AppendOutcome::Synced(last.index),
                        silent: Vec::new(),
                    },
                };
                self.in_flight.push((self.step + 1, forged));
            }
            (Sabotage::NoCheckQuorum, Message::AppendRequest { round, .. }) => {
                let outcome = AppendOutcome::Synced(LogIndex::default());
                let round = *round;
                let forged = Envelope {
                    from: to,
                    to: from,
                    term,
                    message: Message::AppendResponse {
                        round,
                        outcome,
                        silent: Vec::new(),
                    },
                };
                if let Some(node) = &mut self.hosts.get_mut(&from).unwrap().node {
                    node.on_message(self.now, forged);
                }
            }
            _ => {}
        }
    }

    /// Delivers a message to a running host at once.
    pub fn deliver_now(&mut self, envelope: Envelope) {
        let host = self.hosts.get_mut(&envelope.to).unwrap();
        host.node.as_mut().unwrap().on_message(self.now, envelope);
    }

    /// Returns the status that a running host reports.
    pub fn status(&self, id: MemberId) -> MemberStatus {
        self.hosts[&id].node.as_ref().unwrap().status(self.now)
    }

    /// Returns the members that the status of a host reports as voters.
    pub fn reported_voters(&self, id: MemberId) -> BTreeSet<MemberId> {
        let members = self.status(id).members.into_iter().map(|m| m.member);
        let voters = members.filter(|m| m.role == MemberRole::Voter);
        voters.map(|m| m.id).collect()
    }

    pub fn percent(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }
}

fn save(sabotage: Sabotage, disk: &mut PersistedState, mut batch: Batch) {
    if let (Sabotage::VoteNotSynced, Batch::Append { hard_state, .. }) = (sabotage, &mut batch) {
        *hard_state = None;
    }
    if let (Sabotage::DiskLosesEntries, Batch::Append { entries, .. }) = (sabotage, &mut batch) {
        entries.pop();
    }
    disk.apply(batch);
}

fn remove_silence(message: &mut Message) {
    match message {
        Message::AppendRequest { silent, .. } => silent.clear(),
        Message::AppendResponse { silent, .. } => silent.clear(),
        _ => {}
    }
}

fn encode(state: State) -> Bytes {
    let mut bytes = state.index.get().to_be_bytes().to_vec();
    bytes.extend(state.digest.to_be_bytes());
    bytes.into()
}

fn decode(mut bytes: &[u8]) -> State {
    State {
        index: bytes.get_u64().into(),
        digest: bytes.get_u64(),
    }
}
