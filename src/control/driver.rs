//! Runs the replica: provides its clock, disk and messages.
//!
//! One task owns the replica. It handles all inputs that have arrived and then writes the result in one
//! batch with one sync, so under load more changes share a sync. No input is handled while the disk
//! writes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill_consensus::store::Store;
use dogwoodrill_consensus::store::file::{ClusterId, FileError, FileStore, FolderLock, Identity};
use dogwoodrill_consensus::{
    self as consensus, Batch, Envelope, Handover, HardState, Member, MemberId, Membership, Options,
    PersistedState, RoleName, Snapshot,
};
use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::control_status::{
    ControlHost, ControlMember, ControlRole, ControlStatus, HostRefusal,
};
use dogwoodrill_core::ids::{LogIndex, NodeId, Term};
use dogwoodrill_spread::beacon::CommitPosition;
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinError;
use tokio::time::{sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use super::handle::{HostMembership, Input};
use super::metrics::ControlMetrics;
use super::peers::Peers;
use super::replica::{
    Proposal, Replica, ReplicaOutputs, Reply, RequestId, StateError, first_state,
};
use super::storage::{DataFolder, Storage};
use crate::cluster::{BeaconSource, Cluster};
use crate::context::{Cx, wall_clock};

/// Maximum number of inputs handled before one write.
const MAX_BATCH: usize = 1024;
/// Interval between two checks of whether a full disk has space again.
const DISK_SPACE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a write that failed on a full disk is retried.
const DISK_FULL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Log index of the initial snapshot of a new cluster.
const FIRST_INDEX: LogIndex = LogIndex::new(1);

/// Why the log could not be written or read. The host must stop.
#[derive(Debug, Snafu)]
pub enum DriverError {
    /// The disk failed.
    #[snafu(transparent)]
    Disk {
        /// The error of the file.
        source: FileError,
    },
    /// The write did not complete.
    #[snafu(display("the write to the data folder was aborted"))]
    WriteAborted {
        /// The error of the task that wrote.
        source: JoinError,
    },
    /// This version of the program cannot read the log.
    #[snafu(transparent)]
    State {
        /// The error of the decoder.
        source: StateError,
    },
}

/// Options of the log of a control host.
#[derive(Clone, Debug, Default)]
pub struct LogOptions {
    /// The times and sizes of the consensus protocol.
    pub options: Options,
    /// While there are fewer voters than this, a host that requests to join is added; 0 if only
    /// operators decide.
    pub target_voters: usize,
}

type ReplySender<T> = oneshot::Sender<Result<T, HostRefusal>>;

/// Owns the replica, its disk and the pending requests.
#[derive(Debug)]
pub struct Driver {
    cluster: Arc<Cluster>,
    metrics: ControlMetrics,
    identity: Identity,
    address: SocketAddr,
    initial: CommittedConfig,
    log_options: LogOptions,
    inputs: mpsc::Receiver<Input>,
    peers: Peers,
    replica: Replica,
    /// `None` while another thread writes.
    store: Option<FileStore<DataFolder>>,
    disk_full: bool,
    next_space_check: Instant,
    next_request_id: u64,
    proposals: Vec<Proposal>,
    changes: BTreeMap<RequestId, ReplySender<dogwoodrill_core::changes::Accepted>>,
    reads: BTreeMap<RequestId, ReplySender<Arc<CommittedConfig>>>,
    last_role: RoleName,
    /// Whether another host waits for a place or is taking the one of this host.
    successor_waits: watch::Sender<bool>,
    /// The committed members when they were last logged.
    last_members: Membership,
    _lock: FolderLock,
}

impl Driver {
    /// Creates the driver of a host whose data folder is open.
    pub(crate) fn new(
        cx: &Cx,
        cluster: &Arc<Cluster>,
        storage: Storage,
        address: SocketAddr,
        initial: CommittedConfig,
        inputs: mpsc::Receiver<Input>,
        log_options: LogOptions,
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
            replica: replica(&identity, storage.restored, &log_options, now),
            log_options,
            disk_full: storage.store.is_full(),
            store: Some(storage.store),
            next_space_check: now,
            next_request_id: 0,
            proposals: Vec::new(),
            changes: BTreeMap::new(),
            reads: BTreeMap::new(),
            last_role: RoleName::Follower,
            successor_waits: watch::Sender::new(false),
            last_members: Membership::default(),
            _lock: storage.lock,
        }
    }

    /// Watches whether another host waits for a place or is taking the one of this host. The value is as of the last
    /// write if the disk does not respond.
    pub fn successor_waits(&self) -> watch::Receiver<bool> {
        self.successor_waits.subscribe()
    }

    /// Runs until `token` is cancelled or the disk fails.
    pub async fn run(mut self, token: CancellationToken) -> Result<(), DriverError> {
        let ended = self.drive(&token).await;
        self.cluster.set_beacon_source(BeaconSource::NoQuorum);
        ended
    }

    async fn drive(&mut self, token: &CancellationToken) -> Result<(), DriverError> {
        loop {
            self.process_outputs().await?;
            let deadline = self.replica.next_deadline().into();
            tokio::select! {
                () = token.cancelled() => return Ok(()),
                input = self.inputs.recv() => match input {
                    Some(first) => self.handle_batch(first).await?,
                    None => return Ok(()),
                },
                () = sleep_until(deadline) => {}
            }
            self.check_disk_space().await?;
            let now = Instant::now();
            if now >= self.replica.next_deadline() {
                self.replica.on_tick(now);
                if let Some(id) = self.replica.fill_vacancy(now) {
                    self.log_place(now, id);
                }
            }
        }
    }

    /// Handles the inputs that have arrived, up to a batch.
    async fn handle_batch(&mut self, first: Input) -> Result<(), DriverError> {
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
            // The sender of the request may have given up.
            Input::Status { reply } => drop(reply.send(self.status(now))),
            Input::HostMembership { reply } => drop(reply.send(HostMembership {
                identity: self.identity,
                membership: self.replica.membership().clone(),
                leader: self.replica.standing(now).leader,
            })),
            Input::Join {
                member,
                cluster,
                replaces,
                reply,
            } => drop(reply.send(self.join(now, &member, cluster, replaces))),
            Input::Leave {
                member,
                cluster,
                reply,
            } => drop(reply.send(self.leave(now, member, cluster))),
            Input::MayStop { answer, reply } => {
                let _sent = reply.send(self.replica.may_stop(now, answer));
            }
        }
        Ok(())
    }

    fn join(
        &mut self,
        now: Instant,
        joining: &Member,
        cluster: Option<ClusterId>,
        replaces: Option<NodeId>,
    ) -> Result<(), consensus::JoinError> {
        if cluster.is_some() && cluster != self.identity.cluster {
            return Err(consensus::JoinError::OtherCluster);
        }
        let is_known = self.replica.membership().get(joining.id).is_some();
        match replaces {
            Some(lost) => self.replica.join(now, joining, lost)?,
            None => self.replica.join_where_needed(now, joining)?,
        }
        if !is_known {
            self.log_place(now, joining.id);
        }
        Ok(())
    }

    fn leave(
        &mut self,
        now: Instant,
        leaving: MemberId,
        cluster: Option<ClusterId>,
    ) -> Result<Handover, consensus::JoinError> {
        if cluster != self.identity.cluster {
            return Err(consensus::JoinError::OtherCluster);
        }
        let successor = |r: &Replica| Some(r.membership().replacement_of(leaving)?.id);
        let before = successor(&self.replica);
        let handover = self.replica.leave(now, leaving)?;
        let after = successor(&self.replica);
        if let Some(id) = after.filter(|_| after != before) {
            log::info!("member {leaving} is about to stop and hands its place over");
            self.log_place(now, id);
        }
        Ok(handover)
    }

    fn log_place(&self, now: Instant, id: MemberId) {
        let members = self.replica.membership();
        let Some(joining) = members.get(id) else {
            return;
        };
        let address = joining.address;
        match joining.replaces.and_then(|replaced| members.get(replaced)) {
            Some(m) => log::info!(
                "member {id} at {address} joins in place of member {} at {}, silent for {} ms",
                m.id,
                m.address,
                self.replica.silence(now, m.id).as_millis()
            ),
            None => log::info!("member {id} at {address} joins as an additional member"),
        }
    }

    fn request_id(&mut self) -> RequestId {
        self.next_request_id += 1;
        self.next_request_id.into()
    }

    /// A host with a fresh data folder joins the cluster of the first leader that knows its disk. A
    /// message from another cluster, or for an earlier identity of this disk, is dropped.
    async fn on_message(
        &mut self,
        cluster: ClusterId,
        from: SocketAddr,
        envelope: Envelope,
    ) -> Result<(), DriverError> {
        let is_own_cluster = self.identity.cluster.is_none_or(|own| own == cluster);
        if !is_own_cluster || envelope.to != self.identity.host {
            self.metrics.foreign_messages.inc();
            return Ok(());
        }
        if self.identity.cluster.is_none() {
            self.enter_cluster(cluster).await?;
        }
        self.peers.set_address(envelope.from, from);
        self.replica.on_message(Instant::now(), envelope);
        Ok(())
    }

    async fn enter_cluster(&mut self, cluster: ClusterId) -> Result<(), DriverError> {
        self.identity.cluster = Some(cluster);
        let identity = self.identity;
        self.write(move |store| store.save_identity(&identity))
            .await?;
        log::info!("this control host is in cluster {cluster}");
        Ok(())
    }

    /// Bootstraps a cluster from the initial configuration. The log is written before the identity:
    /// until the identity names a cluster, this host sends nothing, and the bootstrap may be repeated.
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
        let restored = PersistedState {
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
        let first = Arc::new(Batch::Rewrite(restored.clone()));
        self.write(move |store| store.write(&first)).await?;
        let random_id = || ClusterId::new(rand::random_range(1..=u64::MAX));
        self.enter_cluster(cluster.unwrap_or_else(random_id))
            .await?;
        self.replica = replica(&self.identity, restored, &self.log_options, Instant::now());
        Ok(())
    }

    async fn propose(&mut self, proposals: Vec<Proposal>) -> Result<(), DriverError> {
        self.check_disk_space().await?;
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

    async fn check_disk_space(&mut self) -> Result<(), DriverError> {
        if !self.disk_full || Instant::now() < self.next_space_check {
            return Ok(());
        }
        self.next_space_check = Instant::now() + DISK_SPACE_CHECK_INTERVAL;
        let recovered = self.with_store(|store| Ok(store.restore_ballast())).await?;
        self.set_disk_full(!recovered);
        Ok(())
    }

    fn set_disk_full(&mut self, full: bool) {
        if full && !self.disk_full {
            log::error!("the disk is full: changes are refused until there is space");
        }
        if !full && self.disk_full {
            log::info!("the disk has space again: changes are accepted");
        }
        self.disk_full = full;
        self.metrics.disk_full.set(i64::from(full));
    }

    /// Executes the outputs of the replica until there are none left.
    async fn process_outputs(&mut self) -> Result<(), DriverError> {
        loop {
            let outputs = self.replica.take(Instant::now())?;
            let more = !outputs.batch.is_empty();
            self.execute(outputs).await?;
            if !more {
                break;
            }
        }
        self.report();
        Ok(())
    }

    async fn execute(&mut self, outputs: ReplicaOutputs) -> Result<(), DriverError> {
        self.send(outputs.messages);
        for (request_id, reply) in outputs.replies {
            self.reply(request_id, reply);
        }
        if let Some(config) = outputs.config {
            self.cluster.adopt(CommittedConfig::clone(&config));
        }
        if !outputs.batch.is_empty() {
            let began_at = Instant::now();
            let batch = Arc::new(outputs.batch);
            self.write(move |store| store.write(&batch)).await?;
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

    /// Writes by `work`, which has no effect if the disk is full. While the disk accepts no data at all, this
    /// host handles no input, as with a disk that does not respond: the other hosts elect another leader, and
    /// nothing is confirmed to anyone that is not on this disk.
    async fn write<F>(&mut self, work: F) -> Result<(), DriverError>
    where
        F: Fn(&mut FileStore<DataFolder>) -> Result<(), FileError> + Clone + Send + 'static,
    {
        loop {
            match self.with_store(work.clone()).await {
                Err(DriverError::Disk { source }) if source.is_storage_full() => {
                    self.set_disk_full(true);
                    sleep(DISK_FULL_RETRY_DELAY).await;
                }
                written => return written,
            }
        }
    }

    /// Uses the store on a thread that may block.
    async fn with_store<T, F>(&mut self, work: F) -> Result<T, DriverError>
    where
        T: Send + 'static,
        F: FnOnce(&mut FileStore<DataFolder>) -> Result<T, FileError> + Send + 'static,
    {
        let mut store = self
            .store
            .take()
            .expect("the store is returned after each use");
        let used = tokio::task::spawn_blocking(move || {
            let result = work(&mut store);
            (store, result)
        });
        let (store, result) = used
            .await
            .map_err(|source| DriverError::WriteAborted { source })?;
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

    /// Sends the reply to a request; the sender of the request may have given up.
    fn reply(&mut self, request_id: RequestId, reply: Reply) {
        match reply {
            Reply::Change(answer) => {
                self.metrics.count_answer(&answer);
                if let Some(sender) = self.changes.remove(&request_id) {
                    drop(sender.send(answer));
                }
            }
            Reply::Read(answer) => {
                if let Some(sender) = self.reads.remove(&request_id) {
                    drop(sender.send(answer));
                }
            }
        }
    }

    /// Updates the beacon source, the metrics and what others watch. The beacon carries the index of the last
    /// configuration change and not of the last log entry, because nodes compare it with the index of
    /// their configuration.
    fn report(&mut self) {
        let now = Instant::now();
        let successor_waits = !self.replica.may_stop(now, None);
        self.successor_waits
            .send_if_modified(|waits| std::mem::replace(waits, successor_waits) != successor_waits);
        let standing = self.replica.standing(now);
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
            log::info!(
                "role changed to {} in term {}",
                standing.role,
                standing.term
            );
            self.last_role = standing.role;
        }
        let members = standing.members.iter().map(|p| &p.member);
        if !members.clone().eq(self.last_members.members()) {
            self.last_members = Membership::new(members.cloned());
            log::info!("committed members: {}", self.last_members);
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
            reachable: progress.is_reachable,
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

fn replica(
    identity: &Identity,
    restored: PersistedState,
    log_options: &LogOptions,
    now: Instant,
) -> Replica {
    let (options, seed) = (log_options.options.clone(), rand::random());
    let replica = Replica::new(identity.host, options, restored, now, seed);
    replica.with_target_voters(log_options.target_voters)
}

const fn role(role: RoleName) -> ControlRole {
    match role {
        RoleName::Leader => ControlRole::Leader,
        RoleName::Follower => ControlRole::Follower,
        RoleName::Candidate => ControlRole::Candidate,
        RoleName::Learner => ControlRole::Learner,
    }
}
