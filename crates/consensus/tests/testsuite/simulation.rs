//! A cluster in memory: members, their disks and a network that loses, doubles, delays and reorders.
//!
//! Time goes in steps. A write takes a while to be synced; meanwhile its host does nothing else, and a
//! crash may lose it. Everything is drawn from one seed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use dogwoodrill_consensus::{
    AppendOutcome, Apply, Batch, Entry, Envelope, JoinPolicy, Member, MemberId, MemberRole,
    Membership, Message, Node, Outputs, Payload, PersistedState, ReadId, RoleName, Snapshot,
};
use dogwoodrill_core::ids::{LogIndex, NodeId, Term};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::checker::{Checked, Checker, State, Violation, holds};
use crate::support::{ELECTION_TIMEOUT, member, options, start};

const STEP: Duration = Duration::from_millis(5);
const MAX_SYNC_STEPS: u64 = 3;
/// How long a straggling message may be on its way; several elections pass meanwhile.
const STRAGGLER_STEPS: u64 = 100;
/// How much longer a slow disk takes.
const SLOW_DISK: u64 = 20;
/// Time without an answer after which a voter's place is given away.
pub const LOST_AFTER: Duration = Duration::from_millis(300);
/// Steps for which a member and the leader must have been in good order for its loss to be a mistake:
/// the time above, an election, and what a rough network takes of both.
const WELL_STEPS: u64 = 60 + 60;

/// A rule that is broken on purpose, to show that the checks see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sabotage {
    Nothing,
    /// Votes are given before they are on the disk.
    VoteNotSynced,
    /// The answers of a learner count as those of a voter.
    LearnerVotes,
    /// A leader believes that everyone still answers it.
    NoCheckQuorum,
    /// A learner says that its disk holds what it has only been sent.
    LearnerClaims,
    /// A leader answers reads without asking whether it still leads.
    ReadsAtOnce,
    /// A disk loses what it was told to keep.
    DiskForgets,
    /// A host whose disk is gone comes back under its old identity.
    OldIdentity,
    /// A voter that does not answer is taken for lost at once.
    LostAtOnce,
    /// A host is given a place of its own, however many there are.
    PlaceForAll,
    /// A host that asks is never taken in.
    NoPlace,
}

/// How rough the network is, in percent.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub lost: u32,
    pub doubled: u32,
    /// Messages that arrive much later than the others.
    pub stragglers: u32,
    pub max_delay_steps: u64,
}

pub const ROUGH: Network = Network {
    lost: 3,
    doubled: 5,
    stragglers: 2,
    max_delay_steps: 3,
};
pub const CALM: Network = Network {
    lost: 0,
    doubled: 0,
    stragglers: 0,
    max_delay_steps: 1,
};

/// How a disk works.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DiskSpeed {
    Usual,
    Slow,
    /// It takes nothing, as one that is full or hangs.
    Stalled,
}

pub struct Host {
    pub node: Option<Node>,
    pub disk: PersistedState,
    pub lost: bool,
    pub speed: DiskSpeed,
    /// Number of the host, which a fresh disk keeps.
    pub number: NodeId,
    vacancies: JoinPolicy,
    /// When it was last down, cut off, or without a working disk.
    unwell_at: u64,
    syncing: Option<(u64, Outputs)>,
    inbox: Vec<Envelope>,
    heard: BTreeMap<MemberId, Instant>,
    membership: Membership,
    state: State,
    proposed: BTreeMap<LogIndex, Term>,
    reads: BTreeMap<ReadId, LogIndex>,
}

pub struct Simulation {
    pub hosts: BTreeMap<MemberId, Host>,
    pub rng: StdRng,
    pub network: Network,
    pub checker: Checker,
    /// Links on which nothing arrives, by sender and receiver.
    pub cut: BTreeSet<(MemberId, MemberId)>,
    /// Hosts that are to be members, without replacing anyone in particular.
    pub asking: BTreeSet<MemberId>,
    /// The voters that there should be.
    pub wanted: usize,
    sabotage: Sabotage,
    now: Instant,
    step: u64,
    in_flight: Vec<(u64, Envelope)>,
    commands: u64,
    next_id: u64,
}

impl Simulation {
    pub fn new(voters: &Membership, seed: u64, sabotage: Sabotage) -> Self {
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
            network: ROUGH,
            checker: Checker::default(),
            cut: BTreeSet::new(),
            asking: BTreeSet::new(),
            wanted: voters.voters().count(),
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

    fn add_host(&mut self, id: MemberId, number: NodeId, disk: PersistedState) {
        let lost_after = match self.sabotage {
            Sabotage::LostAtOnce => Duration::ZERO,
            _ => LOST_AFTER,
        };
        let host = Host {
            node: None,
            disk,
            lost: false,
            speed: DiskSpeed::Usual,
            number,
            vacancies: JoinPolicy::new(self.wanted, lost_after),
            unwell_at: self.step,
            syncing: None,
            inbox: Vec::new(),
            heard: BTreeMap::new(),
            membership: Membership::default(),
            state: State::default(),
            proposed: BTreeMap::new(),
            reads: BTreeMap::new(),
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

    /// Stops a host. What it was writing is on the disk or not, as `keep_write` says.
    pub fn crash(&mut self, id: MemberId, keep_write: bool) {
        let host = self.hosts.get_mut(&id).unwrap();
        host.node = None;
        host.inbox.clear();
        match host.syncing.take() {
            Some((_, outputs)) if keep_write => keep(self.sabotage, &mut host.disk, outputs.batch),
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
        host.heard.clear();
        host.proposed.clear();
        host.reads.clear();
        host.state = State::default();
        host.node = Some(Node::new(id, options(), host.disk.clone(), self.now, seed));
    }

    /// A host with an empty disk asks to take the place of `replaced`, which is lost for good.
    pub fn replace(&mut self, replaced: MemberId) -> MemberId {
        self.crash(replaced, true);
        self.hosts.get_mut(&replaced).unwrap().lost = true;
        let number = self.hosts[&replaced].number;
        self.add_fresh(number)
    }

    fn add_fresh(&mut self, number: NodeId) -> MemberId {
        let id = MemberId::new(self.next_id);
        self.next_id += 1;
        self.add_host(id, number, PersistedState::default());
        id
    }

    /// The disk of a host is gone; the host asks to be a member again.
    pub fn wipe(&mut self, id: MemberId) {
        if self.sabotage == Sabotage::OldIdentity {
            self.crash(id, false);
            self.hosts.get_mut(&id).unwrap().disk = PersistedState::default();
            self.restart(id);
            return;
        }
        let fresh = self.replace(id);
        self.asking.insert(fresh);
    }

    /// A host is gone for good, and another one asks to be a member.
    pub fn move_away(&mut self, id: MemberId) {
        self.crash(id, false);
        self.hosts.get_mut(&id).unwrap().lost = true;
        let number = NodeId::new(self.next_id);
        let fresh = self.add_fresh(number);
        self.asking.insert(fresh);
    }

    /// A host asks to be a member while nobody is gone.
    pub fn add_spare(&mut self) {
        let number = NodeId::new(self.next_id);
        let fresh = self.add_fresh(number);
        self.asking.insert(fresh);
    }

    /// Hosts that are no members ask every host that they reach; only a leader takes them in.
    pub fn ask(&mut self) -> Checked {
        let voters = self.asking.clone().into_iter().filter(|id| {
            let node = self.hosts[id].node.as_ref();
            node.is_some_and(|n| n.membership().get(*id).is_none())
        });
        for id in voters.collect::<Vec<_>>() {
            let joining = Member {
                node: self.hosts[&id].number,
                ..member(id.get(), MemberRole::Learner)
            };
            for to in self.ids() {
                let way = [(id, to), (to, id)];
                if to != id && !way.iter().any(|way| self.cut.contains(way)) {
                    self.ask_one(to, &joining)?;
                }
            }
        }
        Ok(())
    }

    fn ask_one(&mut self, to: MemberId, joining: &Member) -> Checked {
        let (now, step) = (self.now, self.step);
        let host = self.hosts.get_mut(&to).unwrap();
        let (Some(node), None) = (&mut host.node, &host.syncing) else {
            return Ok(());
        };
        let before = node.membership().clone();
        let taken = match self.sabotage {
            Sabotage::NoPlace => return Ok(()),
            Sabotage::PlaceForAll => node.join(now, joining, None),
            _ => host.vacancies.join(now, node, joining),
        };
        if taken.is_err() || before.get(joining.id).is_some() {
            return Ok(());
        }
        let after = node.membership().clone();
        let leader_well = step - host.unwell_at > WELL_STEPS;
        let settled = |m: &&Member| m.replaces.is_none() && m.id != joining.id;
        let own_place = after.get(joining.id).is_some_and(|m| m.replaces.is_none());
        let count = after.members().iter().filter(settled).count() + usize::from(own_place);
        holds(count <= self.wanted, Violation::TooManyMembers(count))?;
        let replaced = after.get(joining.id).and_then(|m| m.replaces);
        let other_host = |m: &MemberId| self.hosts[m].number != joining.node;
        if let Some(replaced) = replaced.filter(other_host) {
            let member_well = step - self.hosts[&replaced].unwell_at > WELL_STEPS;
            let mistaken = leader_well && member_well;
            holds(!mistaken, Violation::ReplacedAlive(replaced))?;
        }
        self.checker.counts.taken_in += 1;
        Ok(())
    }

    /// What a host would answer at once, had it not to ask whether it still leads.
    fn read_at_once(&mut self, id: MemberId) -> Checked {
        let needed = self.checker.accepted;
        let host = &self.hosts[&id];
        let leads = |n: &Node| n.status(self.now).role == RoleName::Leader;
        let leads = host.node.as_ref().is_some_and(leads);
        holds(
            !leads || host.state.index >= needed,
            Violation::StaleRead(needed),
        )
    }

    /// Asks every host to take the fresh `joining` in; only a leader does.
    pub fn ask_to_join(&mut self, joining: MemberId, replaced: MemberId) {
        let joining = Member {
            node: replaced.get().into(),
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
        let hears = |m| {
            m == id
                || host
                    .heard
                    .get(&m)
                    .is_some_and(|at| *at + ELECTION_TIMEOUT > now)
        };
        let in_contact = node.membership().is_quorum(hears);
        holds(in_contact, Violation::AcceptedIsolated(id))
    }

    pub fn read(&mut self, id: MemberId) -> Checked {
        if self.sabotage == Sabotage::ReadsAtOnce {
            return self.read_at_once(id);
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

    /// Lets one step of time pass.
    pub fn step(&mut self) -> Checked {
        self.step += 1;
        self.now += STEP;
        self.note_unwell();
        self.deliver();
        for id in self.ids() {
            self.finish_sync(id);
            self.drive(id)?;
        }
        Ok(())
    }

    pub fn run(&mut self, steps: u64) -> Checked {
        (0..steps).try_for_each(|_| self.step())
    }

    fn note_unwell(&mut self) {
        let step = self.step;
        for (id, host) in &mut self.hosts {
            let is_cut = self.cut.iter().any(|(from, to)| from == id || to == id);
            if host.node.is_none() || is_cut || host.speed != DiskSpeed::Usual {
                host.unwell_at = step;
            }
        }
    }

    fn deliver(&mut self) {
        let step = self.step;
        let due = self.in_flight.extract_if(.., |(at, _)| *at <= step);
        for (_, envelope) in due.collect::<Vec<_>>() {
            let open = !self.cut.contains(&(envelope.from, envelope.to));
            let host = self.hosts.get_mut(&envelope.to);
            if let (true, Some(host)) = (open, host.filter(|h| h.node.is_some())) {
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
        keep(self.sabotage, &mut host.disk, outputs.batch);
        if let Some(node) = &mut host.node {
            node.on_synced(self.now, synced);
        }
        self.send(after);
    }

    fn drive(&mut self, id: MemberId) -> Checked {
        let now = self.now;
        let host = self.hosts.get_mut(&id).unwrap();
        if host.syncing.is_some() {
            return Ok(());
        }
        let Some(node) = &mut host.node else {
            return Ok(());
        };
        for envelope in std::mem::take(&mut host.inbox) {
            host.heard.insert(envelope.from, now);
            node.on_message(now, envelope);
        }
        if now >= node.next_deadline() {
            node.on_tick(now);
        }
        let outputs = node.take();
        self.check_member(id)?;
        self.carry_out(id, outputs)
    }

    fn check_member(&mut self, id: MemberId) -> Checked {
        let host = &self.hosts[&id];
        let node = host.node.as_ref().unwrap();
        if node.status(self.now).role != RoleName::Leader {
            return Ok(());
        }
        let (term, commit) = (node.term(), node.commit());
        let votes_now = |m: &MemberId| !host.membership.is_voter(*m);
        let known = !host.membership.members().is_empty();
        let promoted: Vec<_> = node.membership().voters().filter(votes_now).collect();
        for voter in promoted.into_iter().filter(|_| known) {
            let ready = self.hosts[&voter].disk.last_index() >= commit;
            holds(ready, Violation::VotesTooEarly(voter))?;
            self.checker.counts.joined += 1;
        }
        self.checker.leader(term, id)
    }

    fn carry_out(&mut self, id: MemberId, mut outputs: Outputs) -> Checked {
        let messages = std::mem::take(&mut outputs.messages);
        self.send(messages);
        for apply in std::mem::take(&mut outputs.apply) {
            self.apply(id, apply)?;
        }
        for read in std::mem::take(&mut outputs.reads) {
            let host = self.hosts.get_mut(&id).unwrap();
            let needed = host.reads.remove(&read.id).unwrap_or_default();
            let fresh = read.index.is_none_or(|index| index >= needed);
            holds(fresh, Violation::StaleRead(needed))?;
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
            DiskSpeed::Slow => SLOW_DISK,
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

    /// What is applied first must be on a majority of disks, by the membership before or after the
    /// change that may be in progress.
    fn check_durable(&self, id: MemberId, entry: &Entry) -> Checked {
        let holds_it = |m: MemberId| {
            let disk = &self.hosts[&m].disk;
            disk.snapshot.index >= entry.index || disk.entries.contains(entry)
        };
        let host = &self.hosts[&id];
        let now = host.node.as_ref().unwrap().membership();
        let durable = now.is_quorum(holds_it) || host.membership.is_quorum(holds_it);
        holds(durable, Violation::CommittedUnsynced(entry.index))
    }

    fn send(&mut self, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            self.sabotage(&envelope);
            let network = self.network;
            let copies = 1 + u32::from(self.percent(network.doubled));
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

    /// Does to a message what the broken rule would do.
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
            (Sabotage::LearnerClaims, Message::AppendRequest { entries, round, .. }) => {
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
                    message: Message::AppendResponse { round, outcome },
                };
                if let Some(node) = &mut self.hosts.get_mut(&from).unwrap().node {
                    node.on_message(self.now, forged);
                }
            }
            _ => {}
        }
    }

    /// The members that a host's standing lists as voters.
    pub fn shown_members(&self, id: MemberId) -> BTreeSet<MemberId> {
        let status = self.hosts[&id].node.as_ref().unwrap().status(self.now);
        let members = status.members.into_iter().map(|m| m.member);
        let voters = members.filter(|m| m.role == MemberRole::Voter);
        voters.map(|m| m.id).collect()
    }

    pub fn percent(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }
}

fn keep(sabotage: Sabotage, disk: &mut PersistedState, mut batch: Batch) {
    if let (Sabotage::VoteNotSynced, Batch::Append { hard_state, .. }) = (sabotage, &mut batch) {
        *hard_state = None;
    }
    if let (Sabotage::DiskForgets, Batch::Append { entries, .. }) = (sabotage, &mut batch) {
        entries.pop();
    }
    disk.apply(batch);
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
