//! One node's view of the cluster: the directory and the committed configuration.
//!
//! The [`driver`] runs the node's state machine for the dissemination of state over gRPC links: those
//! that it dials ([`link`]) and those that other nodes dial ([`hub`]). Records are merged, and a
//! configuration is applied only if its log index is higher, so the view never goes back. The other
//! parts of the process read the view, and subscribe to [`Cluster::updates`] or to the single values
//! that they need.

use std::sync::{Arc, OnceLock, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::Duration;

use arc_swap::ArcSwap;
use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::directory::{Directory, MemberId, MemberState, Merge, Record};
use dogwoodrill_core::ids::LogIndex;
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_spread::ServingStatus;
use dogwoodrill_spread::beacon::{Beacon, CommitPosition};
use dogwoodrill_spread::progress::{Confirmations, Progress};
use tokio::sync::{Mutex, MutexGuard, broadcast, mpsc, watch};

use crate::context::{Cx, wall_clock};

pub mod driver;
pub mod event;
pub mod hub;
pub mod link;
pub mod metrics;

use event::{Event, EventSender};
use metrics::SpreadMetrics;

/// Updates that a slow subscriber may be behind before it has to read the whole view again.
const UPDATE_BACKLOG: usize = 4096;
/// Events that may be queued for the driver; links wait while the queue is full.
const EVENT_BACKLOG: usize = 1024;
/// Maximum message size of a link in bytes; the largest message is a whole configuration.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Time for which the tombstone of a member that left is kept, so that a late copy of an older record
/// cannot restore the member.
pub const TOMBSTONE_TTL: Duration = Duration::from_hours(1);

/// A change of the view.
#[derive(Clone, Debug)]
pub enum Update {
    /// A record was merged.
    Record(Arc<Record>),
    /// A configuration came into force.
    Config(Arc<CommittedConfig>),
}

/// A node's view of the cluster, shared by the parts of one process.
#[derive(Debug)]
pub struct Cluster {
    directory: RwLock<Directory>,
    config: ArcSwap<CommittedConfig>,
    config_changes: watch::Sender<Arc<CommittedConfig>>,
    updates: broadcast::Sender<Update>,
    own: watch::Sender<Option<Record>>,
    changes: watch::Sender<()>,
    serving_status: watch::Sender<ServingStatus>,
    beacon: watch::Sender<Beacon>,
    beacon_source: watch::Sender<BeaconSource>,
    progress: watch::Sender<Progress>,
    events: EventSender,
    event_queue: Mutex<mpsc::Receiver<Event>>,
    metrics: OnceLock<SpreadMetrics>,
}

/// The source of the log position in a control host's beacons.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BeaconSource {
    /// No source was set. A control host without a log of its own sends the index of the configuration
    /// in force.
    #[default]
    ConfigInForce,
    /// This host is connected to a majority; its log is committed up to this position.
    Quorum(CommitPosition),
    /// This host is not connected to a majority and sends no beacons.
    NoQuorum,
}

impl Default for Cluster {
    fn default() -> Self {
        let config = Arc::new(CommittedConfig::default());
        let (events, event_queue) = mpsc::channel(EVENT_BACKLOG);
        Self {
            directory: RwLock::default(),
            config: ArcSwap::new(Arc::clone(&config)),
            config_changes: watch::Sender::new(config),
            updates: broadcast::Sender::new(UPDATE_BACKLOG),
            own: watch::Sender::new(None),
            changes: watch::Sender::new(()),
            serving_status: watch::Sender::default(),
            beacon: watch::Sender::default(),
            beacon_source: watch::Sender::default(),
            progress: watch::Sender::default(),
            events,
            event_queue: Mutex::new(event_queue),
            metrics: OnceLock::new(),
        }
    }
}

impl Cluster {
    /// Locks the directory for reading.
    pub fn directory(&self) -> RwLockReadGuard<'_, Directory> {
        self.directory
            .read()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<CommittedConfig> {
        self.config.load_full()
    }

    /// Subscribes to the configurations that come into force.
    pub fn config_changes(&self) -> watch::Receiver<Arc<CommittedConfig>> {
        self.config_changes.subscribe()
    }

    /// Subscribes to all changes of the view, suspicions included. The subscriber is only notified and
    /// has to read the view.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Subscribes to all updates from now on.
    pub fn updates(&self) -> broadcast::Receiver<Update> {
        self.updates.subscribe()
    }

    /// Merges a copy of a record into the directory.
    pub fn merge(&self, record: impl Into<Arc<Record>>) -> Merge {
        let record = record.into();
        let outcome = self.write().merge(Arc::clone(&record));
        if outcome == Merge::Applied {
            self.notify(Update::Record(record));
        }
        outcome
    }

    /// Removes tombstones past their deadline.
    pub fn expire(&self, now: UnixMillis) {
        if self.write().expire(now) {
            self.changes.send_replace(());
        }
    }

    /// Sets or clears the mark that a member is suspected to have failed.
    pub fn set_suspected(&self, member: MemberId, suspected: bool) {
        self.write().set_suspected(member, suspected);
        self.changes.send_replace(());
    }

    /// Puts a configuration into force if its index is higher than that of the present one.
    pub fn adopt(&self, config: impl Into<Arc<CommittedConfig>>) -> Merge {
        let config = config.into();
        let adopted = self.config_changes.send_if_modified(|current| {
            let is_newer = config.index > current.index;
            if is_newer {
                *current = Arc::clone(&config);
                self.config.store(Arc::clone(&config));
            }
            is_newer
        });
        if !adopted {
            return Merge::Stale;
        }
        self.notify(Update::Config(config));
        Merge::Applied
    }

    /// Publishes this node's own record and merges it into the directory. A sequence number that other
    /// nodes may already know is raised, and a tombstone gets its deadline.
    pub fn publish(&self, mut record: Record) {
        {
            let directory = self.directory();
            let known = directory.get(record.member);
            if let Some(known) = known.filter(|k| k.incarnation == record.incarnation) {
                record.sequence = record.sequence.max(known.sequence.next());
            }
        }
        if record.state == MemberState::Left {
            record.eligible_at = wall_clock().plus(TOMBSTONE_TTL);
        }
        self.own.send_replace(Some(record.clone()));
        self.merge(record);
    }

    /// Subscribes to this node's own record.
    pub fn own_record(&self) -> watch::Receiver<Option<Record>> {
        self.own.subscribe()
    }

    /// The newest beacon of the control hosts that this node has received; its index is 0 before the
    /// first.
    pub fn beacon(&self) -> Beacon {
        *self.beacon.borrow()
    }

    /// Records the newest beacon.
    pub fn on_beacon(&self, beacon: Beacon) {
        self.beacon.send_replace(beacon);
    }

    /// Subscribes to whether this node may serve. A node that is isolated must leave the fabric and
    /// stop forwarding.
    pub fn serving_status(&self) -> watch::Receiver<ServingStatus> {
        self.serving_status.subscribe()
    }

    /// Sets the log position that this control host's beacons report. It must be set after each change,
    /// and to [`BeaconSource::NoQuorum`] as soon as the connection to the majority is lost.
    pub fn set_beacon_source(&self, source: BeaconSource) {
        self.beacon_source.send_replace(source);
    }

    /// Which reachable nodes have the configuration of `index` in force. Only a control host has the
    /// reports of all nodes; any other node has those of the nodes below it.
    pub fn confirmations(&self, index: LogIndex) -> Confirmations {
        let mut confirmations = self.progress.borrow().confirmations(index);
        let directory = self.directory();
        for zone in &mut confirmations.zones {
            let active = directory
                .records()
                .filter(|r| r.zone == zone.zone && r.state != MemberState::Left)
                .count();
            let active = u32::try_from(active).unwrap_or(u32::MAX);
            zone.unreachable = active.saturating_sub(zone.members);
        }
        confirmations
    }

    /// Subscribes to changes of the confirmations.
    pub fn confirmation_changes(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    fn events(&self) -> EventSender {
        self.events.clone()
    }

    /// Locks the queue of the driver's events. A driver that is started again continues with the same
    /// queue.
    async fn event_queue(&self) -> MutexGuard<'_, mpsc::Receiver<Event>> {
        self.event_queue.lock().await
    }

    fn metrics(&self, cx: &Cx) -> Result<SpreadMetrics, prometheus::Error> {
        if let Some(metrics) = self.metrics.get() {
            return Ok(metrics.clone());
        }
        let metrics = SpreadMetrics::register(&cx.metrics)?;
        Ok(self.metrics.get_or_init(|| metrics).clone())
    }

    fn write(&self) -> RwLockWriteGuard<'_, Directory> {
        self.directory
            .write()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Notifies the subscribers. There may be none; the view holds the update in any case.
    fn notify(&self, update: Update) {
        self.changes.send_replace(());
        drop(self.updates.send(update));
    }
}
