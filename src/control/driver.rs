//! Gives the replica its clock, its disk and its messages.
//!
//! One task owns the replica. It takes in all that has come meanwhile, and then writes what follows
//! from it in one batch with one sync; so the more changes come, the more share a sync. While the disk
//! works nothing else is decided.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill_consensus::store::Store;
use dogwoodrill_consensus::store::file::{
    ClusterId, FileError, FileStore, FolderLock, Identity, OsFolder,
};
use dogwoodrill_consensus::{
    Batch, Envelope, HardState, Membership, Options, Restored, RoleName, Snapshot,
};
use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::control_status::{
    ControlHost, ControlMember, ControlRole, ControlStatus, HostRefusal,
};
use dogwoodrill_core::ids::{LogIndex, Term};
use dogwoodrill_spread::beacon::CommitPosition;
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinError;
use tokio::time::{sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use super::handle::{HostMembership, Input};
use super::metrics::ControlMetrics;
use super::peers::Peers;
use super::replica::{
    Proposal, Replica, ReplicaOutputs, Reply, RequestId, StateError, first_state,
};
use super::storage::Storage;
use crate::cluster::{BeaconSource, Cluster};
use crate::context::{Cx, wall_clock};

/// Inputs that are taken in before one write.
const MAX_BATCH: usize = 1024;
/// Time between two looks at whether a full disk has room again.
const ROOM_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before a write is tried again that a full disk refused.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// Position of the snapshot that a cluster is founded with.
const FIRST_INDEX: LogIndex = LogIndex::new(1);

/// Why the log could not be kept. The host must stop.
#[derive(Debug, Snafu)]
pub enum DriverError {
    /// The disk failed.
    #[snafu(transparent)]
    Disk {
        /// How.
        source: FileError,
    },
    /// The write did not come to an end.
    #[snafu(display("the write to the data folder was broken off"))]
    Broken {
        /// Why.
        source: JoinError,
    },
    /// The log cannot be read by this version of the program.
    #[snafu(transparent)]
    State {
        /// Why.
        source: StateError,
    },
}

/// How a log is kept.
#[derive(Clone, Debug, Default)]
pub struct LogOptions {
    /// Times and sizes.
    pub options: Options,
    /// Voters below which a host that asks is taken in; 0 where only operators decide.
    pub target_voters: usize,
}

type Waiting<T> = oneshot::Sender<Result<T, HostRefusal>>;

/// Owns the replica, its disk and its callers.
#[derive(Debug)]
pub struct Driver {
    cluster: Arc<Cluster>,
    metrics: ControlMetrics,
    identity: Identity,
    address: SocketAddr,
    initial: CommittedConfig,
    terms: LogOptions,
    inputs: mpsc::Receiver<Input>,
    peers: Peers,
    replica: Replica,
    /// Out on another thread while it writes.
    store: Option<FileStore<OsFolder>>,
    disk_full: bool,
    room_at: Instant,
    next_request_id: u64,
    proposals: Vec<Proposal>,
    changes: BTreeMap<RequestId, Waiting<dogwoodrill_core::changes::Accepted>>,
    reads: BTreeMap<RequestId, Waiting<Arc<CommittedConfig>>>,
    last_role: RoleName,
    _lock: FolderLock,
}

impl Driver {
    /// Makes the driver of a host whose data folder is open.
    pub(crate) fn new(
        cx: &Cx,
        cluster: &Arc<Cluster>,
        storage: Storage,
        address: SocketAddr,
        initial: CommittedConfig,
        inputs: mpsc::Receiver<Input>,
        terms: LogOptions,
    ) -> Self {
        let identity = storage.identity;
        let now = Instant::now();
        cluster.set_beacon_source(BeaconSource::NoQuorum);
        Self {
            cluster: Arc::clone(cluster),
            metrics: ControlMetrics::register(&cx.metrics),
            identity,
            address,
            initial,
            inputs,
            peers: Peers::new(cx.clone()),
            replica: replica(&identity, storage.restored, &terms, now),
            terms,
            disk_full: storage.store.is_full(),
            store: Some(storage.store),
            room_at: now,
            next_request_id: 0,
            proposals: Vec::new(),
            changes: BTreeMap::new(),
            reads: BTreeMap::new(),
            last_role: RoleName::Follower,
            _lock: storage.lock,
        }
    }

    /// Runs until `token` is cancelled or the disk fails.
    pub async fn run(mut self, token: CancellationToken) -> Result<(), DriverError> {
        let ended = self.drive(&token).await;
        self.cluster.set_beacon_source(BeaconSource::NoQuorum);
        ended
    }

    async fn drive(&mut self, token: &CancellationToken) -> Result<(), DriverError> {
        loop {
            self.settle().await?;
            let deadline = self.replica.next_deadline().into();
            tokio::select! {
                () = token.cancelled() => return Ok(()),
                input = self.inputs.recv() => match input {
                    Some(first) => self.take_in(first).await?,
                    None => return Ok(()),
                },
                () = sleep_until(deadline) => {}
            }
            let now = Instant::now();
            if now >= self.replica.next_deadline() {
                self.replica.on_tick(now);
            }
        }
    }

    /// Takes in what has come, up to a batch.
    async fn take_in(&mut self, first: Input) -> Result<(), DriverError> {
        self.on_input(first).await?;
        for _ in 1..MAX_BATCH {
            let Ok(input) = self.inputs.try_recv() else {
                break;
            };
            self.on_input(input).await?;
        }
        let proposals = std::mem::take(&mut self.proposals);
        if !proposals.is_empty() {
            self.propose(proposals).await?;
        }
        Ok(())
    }

    async fn on_input(&mut self, input: Input) -> Result<(), DriverError> {
        let now = Instant::now();
        match input {
            Input::Message {
                cluster,
                from,
                envelope,
            } => return self.on_message(cluster, from, envelope).await,
            Input::Bootstrap {
                membership,
                cluster,
            } => return self.bootstrap(membership, cluster).await,
            Input::Propose { id, change, reply } => {
                let request_id = self.request_id();
                self.changes.insert(request_id, reply);
                self.proposals.push(Proposal {
                    request_id,
                    id,
                    change,
                });
            }
            Input::Read { reply } => {
                let request_id = self.request_id();
                self.reads.insert(request_id, reply);
                self.replica.read(now, request_id);
            }
            // Whoever asked may have gone away meanwhile.
            Input::Status { reply } => drop(reply.send(self.status(now))),
            Input::HostMembership { reply } => drop(reply.send(HostMembership {
                identity: self.identity,
                membership: self.replica.membership().clone(),
            })),
            Input::Join {
                member,
                replaces,
                reply,
            } => drop(reply.send(match replaces {
                Some(lost) => self.replica.join(now, &member, lost),
                None => self.replica.join_where_needed(now, &member),
            })),
        }
        Ok(())
    }

    fn request_id(&mut self) -> RequestId {
        self.next_request_id += 1;
        self.next_request_id.into()
    }

    /// A fresh host takes the cluster of the first leader that knows its disk. A message from another
    /// cluster, or for an earlier life of this disk, is dropped.
    async fn on_message(
        &mut self,
        cluster: ClusterId,
        from: SocketAddr,
        envelope: Envelope,
    ) -> Result<(), DriverError> {
        let known = self.identity.cluster.is_none_or(|own| own == cluster);
        if !known || envelope.to != self.identity.host {
            self.metrics.foreign_messages.inc();
            return Ok(());
        }
        if self.identity.cluster.is_none() {
            self.enter_cluster(cluster).await?;
        }
        self.peers.learn(envelope.from, from);
        self.replica.on_message(Instant::now(), envelope);
        Ok(())
    }

    async fn enter_cluster(&mut self, cluster: ClusterId) -> Result<(), DriverError> {
        self.identity.cluster = Some(cluster);
        let identity = self.identity;
        self.with_store(move |store| store.save_identity(&identity))
            .await?;
        log::info!("this control host is in cluster {cluster}");
        Ok(())
    }

    /// Starts a cluster from the initial configuration. The log comes before the identity: until that
    /// names a cluster nothing leaves this host, and it may be founded again.
    async fn bootstrap(
        &mut self,
        membership: Membership,
        cluster: Option<ClusterId>,
    ) -> Result<(), DriverError> {
        if self.identity.cluster.is_some() {
            return Ok(());
        }
        let initial = CommittedConfig {
            index: FIRST_INDEX,
            ..self.initial.clone()
        };
        let term = Term::new(1);
        let restored = Restored {
            hard_state: HardState {
                term,
                voted_for: None,
            },
            snapshot: Snapshot {
                index: FIRST_INDEX,
                term,
                membership,
                state: first_state(&initial),
            },
            entries: Vec::new(),
        };
        let first = Batch::Rewrite(restored.clone());
        self.with_store(move |store| store.write(&first)).await?;
        let drawn = || ClusterId::new(rand::random_range(1..=u64::MAX));
        self.enter_cluster(cluster.unwrap_or_else(drawn)).await?;
        self.replica = replica(&self.identity, restored, &self.terms, Instant::now());
        Ok(())
    }

    async fn propose(&mut self, proposals: Vec<Proposal>) -> Result<(), DriverError> {
        self.look_for_room().await?;
        if self.disk_full {
            for proposal in proposals {
                let refused = Reply::Change(Err(HostRefusal::DiskFull));
                self.reply(proposal.request_id, refused);
            }
            return Ok(());
        }
        self.metrics.proposals.inc_by(proposals.len() as u64);
        self.replica
            .propose(Instant::now(), wall_clock(), proposals);
        Ok(())
    }

    async fn look_for_room(&mut self) -> Result<(), DriverError> {
        if !self.disk_full || Instant::now() < self.room_at {
            return Ok(());
        }
        self.room_at = Instant::now() + ROOM_INTERVAL;
        let recovered = self.with_store(|store| Ok(store.recover_room())).await?;
        self.set_disk_full(!recovered);
        Ok(())
    }

    fn set_disk_full(&mut self, full: bool) {
        if full && !self.disk_full {
            log::error!("the disk is full: changes are refused until there is room");
        }
        if !full && self.disk_full {
            log::info!("the disk has room again: changes are taken");
        }
        self.disk_full = full;
        self.metrics.disk_full.set(i64::from(full));
    }

    /// Carries out what follows, until nothing does.
    async fn settle(&mut self) -> Result<(), DriverError> {
        loop {
            let outputs = self.replica.take(Instant::now())?;
            let more = !outputs.batch.is_empty();
            self.carry_out(outputs).await?;
            if !more {
                break;
            }
        }
        self.report();
        Ok(())
    }

    async fn carry_out(&mut self, outputs: ReplicaOutputs) -> Result<(), DriverError> {
        self.send(outputs.messages);
        for (request_id, reply) in outputs.replies {
            self.reply(request_id, reply);
        }
        if let Some(config) = outputs.config {
            self.cluster.adopt(CommittedConfig::clone(&config));
        }
        if !outputs.batch.is_empty() {
            let began_at = Instant::now();
            self.write(Arc::new(outputs.batch)).await?;
            self.metrics
                .sync_seconds
                .observe(began_at.elapsed().as_secs_f64());
            let full = self.store.as_ref().is_some_and(FileStore::is_full);
            self.set_disk_full(full);
            self.replica.on_synced(Instant::now(), outputs.synced);
        }
        self.send(outputs.after_sync);
        Ok(())
    }

    /// Writes a batch. While the disk takes nothing at all, nothing is decided here, as with a disk that
    /// hangs: the others elect another leader, and nobody is told what is not on this disk.
    async fn write(&mut self, batch: Arc<Batch>) -> Result<(), DriverError> {
        loop {
            let batch = Arc::clone(&batch);
            match self.with_store(move |store| store.write(&batch)).await {
                Err(DriverError::Disk { source }) if source.is_no_room() => {
                    self.set_disk_full(true);
                    sleep(FULL_PAUSE).await;
                }
                written => return written,
            }
        }
    }

    /// Uses the store on a thread that may block.
    async fn with_store<T, F>(&mut self, work: F) -> Result<T, DriverError>
    where
        T: Send + 'static,
        F: FnOnce(&mut FileStore<OsFolder>) -> Result<T, FileError> + Send + 'static,
    {
        let mut store = self.store.take().expect("the store is back after each use");
        let used = tokio::task::spawn_blocking(move || {
            let result = work(&mut store);
            (store, result)
        });
        let (store, result) = used
            .await
            .map_err(|source| DriverError::Broken { source })?;
        self.store = Some(store);
        Ok(result?)
    }

    fn send(&mut self, envelopes: Vec<Envelope>) {
        let Some(cluster) = self.identity.cluster else {
            return;
        };
        for envelope in envelopes {
            let member = self.replica.membership().get(envelope.to);
            let address = member.map(|m| m.address);
            self.peers.send(cluster, self.address, address, envelope);
        }
    }

    /// Whoever asked may have gone away meanwhile.
    fn reply(&mut self, request_id: RequestId, reply: Reply) {
        match reply {
            Reply::Change(answer) => {
                self.metrics.count_answer(&answer);
                if let Some(waiting) = self.changes.remove(&request_id) {
                    drop(waiting.send(answer));
                }
            }
            Reply::Read(answer) => {
                if let Some(waiting) = self.reads.remove(&request_id) {
                    drop(waiting.send(answer));
                }
            }
        }
    }

    /// Tells spread and metrics where the host stands. Nodes compare the beacon's index with that of
    /// the configuration they hold, so it is that of the last change and not of the last entry.
    fn report(&mut self) {
        let standing = self.replica.standing(Instant::now());
        let index = self.replica.state().config.index;
        self.cluster.set_beacon_source(match standing.role {
            RoleName::Leader => BeaconSource::Quorum(CommitPosition {
                term: standing.term,
                index,
            }),
            _ => BeaconSource::NoQuorum,
        });
        self.metrics.report(&standing, index);
        if standing.role != self.last_role {
            log::info!("{} in term {}", standing.role, standing.term);
            self.last_role = standing.role;
        }
    }

    fn status(&self, now: Instant) -> ControlStatus {
        let standing = self.replica.standing(now);
        let members = standing.members.into_iter().map(|progress| ControlMember {
            host: ControlHost {
                node: progress.member.node,
                address: progress.member.address,
            },
            voter: progress.member.role == dogwoodrill_consensus::MemberRole::Voter,
            synced_index: progress.synced,
            reachable: progress.reachable,
        });
        ControlStatus {
            node: self.identity.node,
            role: role(standing.role),
            term: standing.term,
            commit_index: standing.commit,
            applied_index: self.replica.applied(),
            disk_full: self.disk_full,
            leader: self.replica.host(standing.leader),
            members: members.collect(),
        }
    }
}

fn replica(identity: &Identity, restored: Restored, terms: &LogOptions, now: Instant) -> Replica {
    let (options, seed) = (terms.options.clone(), rand::random());
    let replica = Replica::new(identity.host, options, restored, now, seed);
    replica.with_target_voters(terms.target_voters)
}

const fn role(role: RoleName) -> ControlRole {
    match role {
        RoleName::Leader => ControlRole::Leader,
        RoleName::Follower => ControlRole::Follower,
        RoleName::Candidate => ControlRole::Candidate,
        RoleName::Learner => ControlRole::Learner,
    }
}
