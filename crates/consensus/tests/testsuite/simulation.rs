//! A cluster in memory: members, their disks and a network that loses, doubles, delays and reorders.
//!
//! Time goes in steps. A write takes a while to be synced; meanwhile its host does nothing else, and a
//! crash may lose it. Everything is drawn from one seed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use dogwoodrill_consensus::{
    AppendOutcome, Apply, Batch, Entry, Envelope, Member, MemberId, MemberRole, Membership,
    Message, Node, Outputs, Payload, ReadId, Restored, RoleName, Snapshot,
};
use dogwoodrill_core::ids::{LogIndex, Term};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::checker::{Checked, Checker, State, Violation, holds};
use crate::support::{ELECTION_TIMEOUT, member, options, start};

const STEP: Duration = Duration::from_millis(5);
const MAX_SYNC_STEPS: u64 = 3;
/// How long a straggling message may be on its way; several elections pass meanwhile.
const STRAGGLER_STEPS: u64 = 100;

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

pub struct Host {
    pub node: Option<Node>,
    pub disk: Restored,
    pub lost: bool,
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
        let restored = Restored {
            snapshot,
            ..Restored::default()
        };
        let mut simulation = Self {
            hosts: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            network: ROUGH,
            checker: Checker::default(),
            cut: BTreeSet::new(),
            sabotage,
            now: start(),
            step: 0,
            in_flight: Vec::new(),
            commands: 0,
            next_id: 100,
        };
        for id in voters.voters() {
            simulation.add_host(id, restored.clone());
        }
        simulation
    }

    fn add_host(&mut self, id: MemberId, disk: Restored) {
        let host = Host {
            node: None,
            disk,
            lost: false,
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
        let leads = |node: &Node| node.standing(self.now).role == RoleName::Leader;
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
        let id = MemberId::new(self.next_id);
        self.next_id += 1;
        self.add_host(id, Restored::default());
        id
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

    pub fn read(&mut self, id: MemberId) {
        self.commands += 1;
        let read = ReadId::from(self.commands);
        let accepted = self.checker.accepted;
        let host = self.hosts.get_mut(&id).unwrap();
        if let (Some(node), None) = (&mut host.node, &host.syncing)
            && node.read(self.now, read).is_ok()
        {
            host.reads.insert(read, accepted);
        }
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
        if node.standing(self.now).role != RoleName::Leader {
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
        let done = self.step + self.rng.random_range(1..=MAX_SYNC_STEPS);
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
        let standing = self.hosts[&id].node.as_ref().unwrap().standing(self.now);
        let members = standing.members.into_iter().map(|m| m.member);
        let voters = members.filter(|m| m.role == MemberRole::Voter);
        voters.map(|m| m.id).collect()
    }

    pub fn percent(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }
}

fn keep(sabotage: Sabotage, disk: &mut Restored, mut batch: Batch) {
    if let (Sabotage::VoteNotSynced, Batch::Append { hard_state, .. }) = (sabotage, &mut batch) {
        *hard_state = None;
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
