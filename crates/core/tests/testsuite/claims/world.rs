//! A simulation of replicas, runs and a network, in which the test chooses every step.

use std::collections::BTreeMap;
use std::time::Duration;

use dogwoodrill_core::claims::keeper::{ClaimReplica, ClaimReplicaOptions};
use dogwoodrill_core::claims::key::{Attempt, RequestKey};
use dogwoodrill_core::claims::lives::CrashVector;
use dogwoodrill_core::claims::message::{ClaimReply, Copy, CopyRequest, Envelope, Outcome, RunId};
use dogwoodrill_core::claims::rules::Rules;
use dogwoodrill_core::claims::run::{
    AcquireFailure, AcquireStep, Acquiring, Claimed, Running, SealOutcome, SealStep, Sealing,
};
use dogwoodrill_core::claims::table::ClaimCount;
use dogwoodrill_core::config::{ClaimGroup, ClaimReplicaId};
use dogwoodrill_core::ids::{BackendServerId, Incarnation, ServiceId};
use dogwoodrill_core::time::UnixMillis;
use uuid::Uuid;

pub const WINDOW: Duration = Duration::from_mins(5);
/// When the key was created; replicas start before or after it.
pub const KEY_TIME: u64 = 1_000_000_000;
pub const NOW: UnixMillis = UnixMillis::new(KEY_TIME + 1_000);

/// A key created at `millis`.
pub fn key_at(millis: u64) -> RequestKey {
    let bits = (u128::from(millis) << 80) | (7 << 76) | (0b10 << 62) | 1;
    Uuid::from_u128(bits).try_into().unwrap()
}

pub fn server(number: u32) -> BackendServerId {
    BackendServerId::new(number)
}

pub fn attempt(number: u32) -> Attempt {
    Attempt::new(number).unwrap()
}

#[derive(Clone, Debug)]
pub enum Message {
    Request(Envelope),
    Reply(ClaimReply),
    CopyRequest(BackendServerId, CopyRequest),
    Copy(ClaimReplicaId, Copy),
}

#[derive(Debug)]
pub enum Phase {
    Acquiring(Acquiring),
    Claimed(Claimed),
    Running(Running),
    Sealing(Sealing),
    Ended,
}

#[derive(Debug)]
pub struct Run {
    pub attempt: Attempt,
    pub phase: Phase,
}

pub struct Node {
    pub replica: ClaimReplica,
    incarnation: u64,
    /// Number of committed states that the node has received.
    configs_received: usize,
}

pub struct Simulation {
    rules: Rules,
    key: RequestKey,
    pub now: UnixMillis,
    /// Every committed state of the group, in order.
    pub committed: Vec<ClaimGroup>,
    pub nodes: BTreeMap<BackendServerId, Node>,
    pub runs: Vec<Run>,
    pub net: Vec<Message>,
    pub dispatched: Vec<Attempt>,
    pub not_run: Vec<Attempt>,
}

impl Simulation {
    /// Servers 1 to `replicas` form the first group; `spare` further servers are available for later ones.
    pub fn new(rules: Rules, replicas: u32, spare: u32) -> Self {
        let mut sim = Self {
            rules,
            key: key_at(KEY_TIME),
            now: NOW,
            committed: Vec::new(),
            nodes: BTreeMap::new(),
            runs: Vec::new(),
            net: Vec::new(),
            dispatched: Vec::new(),
            not_run: Vec::new(),
        };
        for number in 1..=replicas + spare {
            let node = sim.node(server(number), 1);
            sim.nodes.insert(server(number), node);
        }
        sim.commit(1..=replicas);
        sim.deliver_all_configs();
        sim
    }

    fn node(&self, server: BackendServerId, incarnation: u64) -> Node {
        // Every incarnation starts after the key was created. A replica could otherwise conclude from the
        // key's creation time that no earlier incarnation can have granted it, and answer without copies.
        let options = ClaimReplicaOptions {
            me: ClaimReplicaId {
                server,
                incarnation: Incarnation::new(KEY_TIME + incarnation),
            },
            started_at: UnixMillis::new(KEY_TIME + incarnation),
            capacity: ClaimCount::new(16),
            rules: self.rules,
        };
        Node {
            replica: ClaimReplica::new(options),
            incarnation,
            configs_received: 0,
        }
    }

    fn replica_id(&self, server: BackendServerId) -> ClaimReplicaId {
        ClaimReplicaId {
            server,
            incarnation: Incarnation::new(KEY_TIME + self.nodes[&server].incarnation),
        }
    }

    pub fn crash_vector(&self) -> CrashVector {
        self.nodes.keys().map(|s| self.replica_id(*s)).collect()
    }

    /// Commits a new epoch with these servers.
    pub fn commit(&mut self, servers: impl IntoIterator<Item = u32>) {
        let before = self.committed.last();
        let group = ClaimGroup {
            service: ServiceId::new(1),
            epoch: before.map_or(ClaimGroup::FIRST_EPOCH, |g| g.epoch.next()),
            replicas: servers
                .into_iter()
                .map(|n| self.replica_id(server(n)))
                .collect(),
            previous: before.map_or_else(Vec::new, |g| g.replicas.clone()),
        };
        self.committed.push(group);
    }

    /// Settles the last epoch if a majority has installed it.
    pub fn settle(&mut self) -> bool {
        let mut group = self.committed.last().unwrap().clone();
        let installed = |k: &&ClaimReplicaId| {
            let standing = self.nodes[&k.server].replica.status();
            standing.installed == Some(group.epoch)
        };
        let enough = group.replicas.iter().filter(installed).count() > group.replicas.len() / 2;
        if enough && !group.is_settled() {
            group.previous.clear();
            self.committed.push(group);
        }
        enough
    }

    /// Delivers the next committed state to a node; false if it has received all.
    pub fn deliver_config(&mut self, server: BackendServerId) -> bool {
        let now = self.now;
        let node = self.nodes.get_mut(&server).unwrap();
        let Some(group) = self.committed.get(node.configs_received) else {
            return false;
        };
        node.configs_received += 1;
        node.replica.on_group(now, group, WINDOW);
        true
    }

    pub fn deliver_all_configs(&mut self) {
        for server in self.nodes.keys().copied().collect::<Vec<_>>() {
            while self.deliver_config(server) {}
        }
    }

    /// Restarts a node, which then has the committed state number `configs_received`.
    pub fn restart(&mut self, server: BackendServerId, configs_received: usize) {
        let incarnation = self.nodes[&server].incarnation + 1;
        let mut node = self.node(server, incarnation);
        // A node that starts receives only the latest state.
        node.configs_received = configs_received.saturating_sub(1);
        self.nodes.insert(server, node);
        if configs_received > 0 {
            self.deliver_config(server);
        }
    }

    /// Starts a run under the group of `epoch_at` in the committed history.
    pub fn start(
        &mut self,
        attempt: Attempt,
        epoch_at: usize,
        crash_vector: &CrashVector,
    ) -> usize {
        let index = self.runs.len();
        let run = RunId {
            server: server(100),
            incarnation: Incarnation::new(1),
            number: index as u64,
        };
        let group = &self.committed[epoch_at];
        let (asking, requests) =
            Acquiring::start(self.rules, group, crash_vector, self.key, attempt, run);
        let phase = Phase::Acquiring(asking);
        self.runs.push(Run { attempt, phase });
        self.send(requests);
        index
    }

    fn send(&mut self, envelopes: Vec<Envelope>) {
        self.net.extend(envelopes.into_iter().map(Message::Request));
    }

    /// Sends the copy requests of a node.
    pub fn send_copy_requests(&mut self, server: BackendServerId) {
        let requests = self.nodes[&server].replica.copy_requests();
        let requests = requests.into_iter();
        self.net
            .extend(requests.map(|(to, req)| Message::CopyRequest(to, req)));
    }

    pub fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Request(envelope) => {
                let node = self.nodes.get_mut(&envelope.to).unwrap();
                let reply = node.replica.on_request(now, envelope.request);
                self.net.push(Message::Reply(reply));
            }
            Message::Reply(reply) => self.on_reply(reply),
            Message::CopyRequest(to, request) => {
                let node = self.nodes.get_mut(&to).unwrap();
                let copy = node.replica.on_copy_request(now, &request);
                self.net.push(Message::Copy(request.copier, copy));
            }
            Message::Copy(copier, copy) => {
                // A copy for a process that has ended is lost.
                if self.replica_id(copier.server) == copier {
                    let node = self.nodes.get_mut(&copier.server).unwrap();
                    node.replica.on_copy(now, copy);
                }
            }
        }
    }

    fn take_phase(&mut self, index: usize) -> Phase {
        std::mem::replace(&mut self.runs[index].phase, Phase::Ended)
    }

    fn on_reply(&mut self, reply: ClaimReply) {
        let index = usize::try_from(reply.run.number).unwrap();
        let (phase, requests) = match self.take_phase(index) {
            Phase::Acquiring(asking) => match asking.on_reply(reply) {
                AcquireStep::Pending(asking, requests) => (Phase::Acquiring(asking), requests),
                AcquireStep::Claimed(claimed) => (Phase::Claimed(claimed), Vec::new()),
                AcquireStep::Failed(asking, AcquireFailure::Done(_)) => {
                    (Phase::Ended, asking.release())
                }
                AcquireStep::Failed(asking, _) => {
                    let (sealing, requests) = asking.give_up();
                    (Phase::Sealing(sealing), requests)
                }
            },
            Phase::Sealing(sealing) => match sealing.on_reply(reply) {
                SealStep::Pending(sealing, requests) => (Phase::Sealing(sealing), requests),
                SealStep::Ended(end) => {
                    self.note(index, &end);
                    (Phase::Ended, Vec::new())
                }
            },
            phase => (phase, Vec::new()),
        };
        self.runs[index].phase = phase;
        self.send(requests);
    }

    fn note(&mut self, index: usize, end: &SealOutcome) {
        if let SealOutcome::NotRun { .. } = end {
            self.not_run.push(self.runs[index].attempt);
        }
    }

    /// Advances a run: a claimed request is dispatched, a running one finishes.
    pub fn proceed(&mut self, index: usize) {
        let attempt = self.runs[index].attempt;
        let (phase, requests) = match self.take_phase(index) {
            Phase::Claimed(claimed) => {
                self.dispatched.push(attempt);
                (Phase::Running(claimed.dispatch()), Vec::new())
            }
            Phase::Running(running) => (Phase::Ended, running.finish(Outcome::Unknown)),
            phase => (phase, Vec::new()),
        };
        self.runs[index].phase = phase;
        self.send(requests);
    }

    /// Lets a run give up, if its phase allows that.
    pub fn give_up(&mut self, index: usize) {
        let (sealing, requests) = match self.take_phase(index) {
            Phase::Acquiring(asking) => asking.give_up(),
            Phase::Claimed(claimed) => claimed.give_up(),
            Phase::Sealing(sealing) => {
                let end = sealing.on_timeout();
                return self.note(index, &end);
            }
            phase => {
                self.runs[index].phase = phase;
                return;
            }
        };
        self.runs[index].phase = Phase::Sealing(sealing);
        self.send(requests);
    }

    /// Delivers the pending requests of `run` to these replicas, and their replies.
    pub fn exchange(&mut self, run: usize, replicas: impl IntoIterator<Item = u32>) {
        for number in replicas {
            let ours = |m: &mut Message| {
                matches!(m, Message::Request(e)
                    if e.to == server(number) && e.request.run.number == run as u64)
            };
            for message in self.net.extract_if(.., ours).collect::<Vec<_>>() {
                self.deliver(message);
                if let Some(reply) = self.net.pop_if(|m| matches!(m, Message::Reply(_))) {
                    self.deliver(reply);
                }
            }
        }
    }

    /// A node copies from these replicas; its copy requests to others are lost.
    pub fn copy_from(&mut self, copier: u32, givers: impl IntoIterator<Item = u32>) {
        let sent = self.net.len();
        self.send_copy_requests(server(copier));
        let requests = self.net.split_off(sent);
        for giver in givers {
            for message in &requests {
                if matches!(message, Message::CopyRequest(to, _) if *to == server(giver)) {
                    self.deliver(message.clone());
                    let copy = self.net.pop().unwrap();
                    self.deliver(copy);
                }
            }
        }
    }

    /// Starts a run under the latest group, with the current incarnations of all nodes.
    pub fn start_now(&mut self, number: u32) -> usize {
        let crash_vector = self.crash_vector();
        self.start(attempt(number), self.committed.len() - 1, &crash_vector)
    }

    /// Describes the violated property, if there is one.
    pub fn fault(&self) -> Option<String> {
        if self.dispatched.len() > 1 {
            return Some(format!("ran {} times", self.dispatched.len()));
        }
        let highest_not_run = self.not_run.iter().max()?;
        let ran = self.dispatched.iter().find(|ran| *ran <= highest_not_run)?;
        Some(format!(
            "attempt {ran} ran, but attempt {highest_not_run} was reported as not run"
        ))
    }

    /// Number of epochs that were committed.
    pub fn epochs(&self) -> usize {
        usize::try_from(self.committed.last().unwrap().epoch.get()).unwrap()
    }
}
