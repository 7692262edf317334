//! Simulation of three control hosts without sockets and disks, for the tests of operators' commands.
//!
//! Events happen one at a time: a disk write finishes, a message arrives, or, if there is neither, time
//! advances to the next deadline. A host can therefore be killed after any event.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use dogwoodrill::control::replica::{
    Proposal, Replica, ReplicaOutputs, Reply, RequestId, first_state,
};
use dogwoodrill_consensus::{
    Envelope, Member, MemberId, MemberRole, Membership, Options, PersistedState, Snapshot,
};
use dogwoodrill_core::changes::{Accepted, Change, CommandId};
use dogwoodrill_core::control_status::HostRefusal;
use dogwoodrill_core::time::UnixMillis;

use crate::support::initial_config;

const MAX_EVENTS: u64 = 2_000_000;
const START: UnixMillis = UnixMillis::new(1_800_000_000_000);

pub type Answer = Result<Accepted, HostRefusal>;

struct Host {
    replica: Option<Replica>,
    disk: PersistedState,
    writing: Option<ReplicaOutputs>,
}

pub struct Simulation {
    hosts: BTreeMap<MemberId, Host>,
    queue: VecDeque<Envelope>,
    answers: BTreeMap<RequestId, Answer>,
    pub isolated: BTreeSet<MemberId>,
    started_at: Instant,
    now: Instant,
    request_ids: u64,
    pub events: u64,
}

/// Returns a command id that was created `after` the start.
pub fn command_id(number: u8, after: Duration) -> CommandId {
    CommandId::new(START.plus(after), &[number; 10])
}

impl Simulation {
    /// Starts a new cluster of three hosts and waits for a leader.
    pub fn start() -> Self {
        let ids = [1, 2, 3].map(MemberId::new);
        let members = ids.map(|id| Member {
            id,
            role: MemberRole::Voter,
            replaces: None,
            node: id.get().into(),
            address: ([127, 0, 0, 1], 1).into(),
        });
        let disk = PersistedState {
            snapshot: Snapshot {
                index: 1.into(),
                term: 1.into(),
                membership: Membership::new(members),
                state: first_state(&initial_config()),
            },
            ..PersistedState::default()
        };
        let now = Instant::now();
        let mut simulation = Self {
            hosts: BTreeMap::new(),
            queue: VecDeque::new(),
            answers: BTreeMap::new(),
            isolated: BTreeSet::new(),
            started_at: now,
            now,
            request_ids: 0,
            events: 0,
        };
        for id in ids {
            let (replica, disk) = (None, disk.clone());
            let writing = None;
            simulation.hosts.insert(
                id,
                Host {
                    replica,
                    disk,
                    writing,
                },
            );
            simulation.restart(id);
        }
        simulation.until_leader();
        simulation
    }

    fn wall_clock(&self) -> UnixMillis {
        START.plus(self.now - self.started_at)
    }

    pub fn leader(&self) -> Option<MemberId> {
        let leads = |h: &Host| h.replica.as_ref().is_some_and(|r| r.is_leader(self.now));
        let mut hosts = self.hosts.iter();
        let found = hosts.find(|(id, h)| leads(h) && !self.isolated.contains(id));
        found.map(|(id, _)| *id)
    }

    pub fn until_leader(&mut self) -> MemberId {
        self.until(|simulation| simulation.leader().is_some());
        self.leader().unwrap()
    }

    pub fn until(&mut self, done: impl Fn(&Self) -> bool) {
        while !done(self) {
            self.step();
        }
    }

    /// Runs the simulation for this time.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        self.until(|simulation| simulation.now >= end);
    }

    /// Sends a change to `host` and returns its request id. There is no reply if the host is killed or isolated.
    pub fn send(&mut self, host: MemberId, id: CommandId, change: &Change) -> RequestId {
        let request_ids = self.send_all(host, &[(id, change.clone())]);
        request_ids[0]
    }

    /// Sends changes that are processed in one batch.
    pub fn send_all(&mut self, host: MemberId, commands: &[(CommandId, Change)]) -> Vec<RequestId> {
        let mut proposals = Vec::new();
        for (id, change) in commands.iter().cloned() {
            self.request_ids += 1;
            let (request_id, id) = (self.request_ids.into(), Some(id));
            proposals.push(Proposal {
                request_id,
                id,
                change,
            });
        }
        let request_ids = proposals.iter().map(|p| p.request_id).collect();
        let (now, wall_clock) = (self.now, self.wall_clock());
        if let Some(replica) = &mut self.hosts.get_mut(&host).unwrap().replica {
            replica.propose(now, wall_clock, proposals);
            self.take_outputs(host);
        }
        request_ids
    }

    pub fn answer(&self, request_id: RequestId) -> Option<&Answer> {
        self.answers.get(&request_id)
    }

    /// Sends a change to the leader, and retries with the same id until the reply is final.
    pub fn settle(&mut self, id: CommandId, change: &Change) -> Answer {
        loop {
            let leader = self.until_leader();
            let request_id = self.send(leader, id, change);
            self.until(|simulation| simulation.answer(request_id).is_some());
            match self.answer(request_id).unwrap() {
                Err(HostRefusal::NotLeader(_) | HostRefusal::NoQuorum) => self.step(),
                answer => return answer.clone(),
            }
        }
    }

    /// Stops a host; a write in progress is lost.
    pub fn kill(&mut self, id: MemberId) {
        let host = self.hosts.get_mut(&id).unwrap();
        (host.replica, host.writing) = (None, None);
    }

    pub fn restart(&mut self, id: MemberId) {
        let host = self.hosts.get_mut(&id).unwrap();
        let disk = host.disk.clone();
        let replica = Replica::new(id, Options::default(), disk, self.now, id.get());
        host.replica = Some(replica);
        self.take_outputs(id);
    }

    pub fn replica(&self, id: MemberId) -> &Replica {
        self.hosts[&id].replica.as_ref().unwrap()
    }

    pub fn ids(&self) -> Vec<MemberId> {
        self.hosts.keys().copied().collect()
    }

    /// Starts all hosts, waits until they have applied the same entries, and checks that their states are equal.
    pub fn wait_until_equal(&mut self) {
        for id in self.ids() {
            if self.hosts[&id].replica.is_none() {
                self.restart(id);
            }
        }
        self.until(|simulation| {
            let last = simulation.hosts.values().map(|h| h.disk.last_index()).max();
            let applied = |h: &Host| h.replica.as_ref().map(Replica::applied);
            let all = simulation.hosts.values().all(|h| applied(h) == last);
            all && simulation.leader().is_some()
        });
        let states: Vec<_> = self
            .ids()
            .into_iter()
            .map(|id| self.replica(id).state())
            .collect();
        assert!(
            states.windows(2).all(|pair| pair[0] == pair[1]),
            "states differ"
        );
    }

    fn step(&mut self) {
        self.events += 1;
        assert!(self.events < MAX_EVENTS, "the hosts never get there");
        let writing = self.hosts.iter().find(|(_, h)| h.writing.is_some());
        if let Some(id) = writing.map(|(id, _)| *id) {
            self.finish_write(id);
        } else if let Some(envelope) = self.queue.pop_front() {
            self.deliver(envelope);
        } else {
            self.advance_to_next_deadline();
        }
    }

    fn finish_write(&mut self, id: MemberId) {
        let host = self.hosts.get_mut(&id).unwrap();
        let outputs = host.writing.take().unwrap();
        host.disk.apply(outputs.batch);
        if let Some(replica) = &mut host.replica {
            replica.on_synced(self.now, outputs.synced);
        }
        self.queue.extend(outputs.after_sync);
        self.take_outputs(id);
    }

    fn deliver(&mut self, envelope: Envelope) {
        let id = envelope.to;
        let cut = [envelope.from, id]
            .iter()
            .any(|end| self.isolated.contains(end));
        let host = self.hosts.get_mut(&id).filter(|_| !cut);
        if let Some(replica) = host.and_then(|h| h.replica.as_mut()) {
            replica.on_message(self.now, envelope);
            self.take_outputs(id);
        }
    }

    fn advance_to_next_deadline(&mut self) {
        let deadlines = self.hosts.iter().filter_map(|(id, host)| {
            let replica = host.replica.as_ref()?;
            Some((replica.next_deadline(), *id))
        });
        let (at, id) = deadlines.min().unwrap();
        self.now = self.now.max(at);
        let host = self.hosts.get_mut(&id).unwrap();
        host.replica.as_mut().unwrap().on_tick(self.now);
        self.take_outputs(id);
    }

    fn take_outputs(&mut self, id: MemberId) {
        let host = self.hosts.get_mut(&id).unwrap();
        // A host does nothing else while it writes to its disk.
        let (Some(replica), None) = (&mut host.replica, &host.writing) else {
            return;
        };
        let mut outputs = replica.take(self.now).unwrap();
        self.queue.extend(std::mem::take(&mut outputs.messages));
        for (request_id, reply) in std::mem::take(&mut outputs.replies) {
            if let Reply::Change(answer) = reply {
                self.answers.insert(request_id, answer);
            }
        }
        if outputs.batch.is_empty() {
            self.queue.extend(outputs.after_sync);
        } else {
            host.writing = Some(outputs);
        }
    }
}
