//! One node's view of the cluster: the directory and the committed configuration.
//!
//! The [`driver`] runs the node's part in the spread over gRPC links: those that it dials ([`link`])
//! and those of the nodes below ([`hub`]). Records are merged and configuration is taken only at a
//! higher log index, so the view never goes back. The other parts of the process read the view, and
//! subscribe to [`Cluster::updates`] or to what they need.

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

/// Updates that a slow subscriber may be behind before it must read the whole view again.
const UPDATE_BACKLOG: usize = 4096;
/// Events that may wait for the driver; links wait when it is behind.
const EVENT_BACKLOG: usize = 1024;
/// Largest message of a link: a whole configuration.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Time for which the record of a member that left is kept, so that a late copy cannot bring it back.
pub const TOMBSTONE_TTL: Duration = Duration::from_hours(1);

/// A piece of news.
#[derive(Clone, Debug)]
pub enum Update {
    /// A record was merged.
    Record(Arc<Record>),
    /// A configuration came in force.
    Config(Arc<CommittedConfig>),
}

/// A node's view, shared by the parts of one process.
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

/// What a control host's beacons are made of.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BeaconSource {
    /// Nobody said; a control host without a log of its own goes by the configuration in force.
    #[default]
    ConfigInForce,
    /// This host is in contact with a majority; its log is committed so far.
    Quorum(CommitPosition),
    /// This host is not in contact with a majority and sends no beacons.
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
    /// The directory, for reading.
    pub fn directory(&self) -> RwLockReadGuard<'_, Directory> {
        self.directory
            .read()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<CommittedConfig> {
        self.config.load_full()
    }

    /// Tells of each configuration that comes in force.
    pub fn config_changes(&self) -> watch::Receiver<Arc<CommittedConfig>> {
        self.config_changes.subscribe()
    }

    /// Tells that something in the view changed, suspicions included, for whoever computes from the
    /// whole of it.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Tells of each piece of news from now on.
    pub fn updates(&self) -> broadcast::Receiver<Update> {
        self.updates.subscribe()
    }

    /// Takes in a copy of a record.
    pub fn merge(&self, record: impl Into<Arc<Record>>) -> Merge {
        let record = record.into();
        let outcome = self.write().merge(Arc::clone(&record));
        if outcome == Merge::Applied {
            self.announce(Update::Record(record));
        }
        outcome
    }

    /// Forgets tombstones past their deadline.
    pub fn expire(&self, now: UnixMillis) {
        if self.write().expire(now) {
            self.changes.send_replace(());
        }
    }

    /// Marks a member as suspected dead or clears the mark.
    pub fn set_suspected(&self, member: MemberId, suspected: bool) {
        self.write().set_suspected(member, suspected);
        self.changes.send_replace(());
    }

    /// Puts a configuration in force if it is of a higher index than the one that is.
    pub fn adopt(&self, config: impl Into<Arc<CommittedConfig>>) -> Merge {
        let config = config.into();
        let adopted = self.config_changes.send_if_modified(|current| {
            let news = config.index > current.index;
            if news {
                *current = Arc::clone(&config);
                self.config.store(Arc::clone(&config));
            }
            news
        });
        if !adopted {
            return Merge::Stale;
        }
        self.announce(Update::Config(config));
        Merge::Applied
    }

    /// Publishes this node's own record and merges it here. A sequence number that others may know
    /// already is raised, and a tombstone gets its deadline.
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

    /// This node's own record and its changes.
    pub fn own_record(&self) -> watch::Receiver<Option<Record>> {
        self.own.subscribe()
    }

    /// The newest beacon of the control hosts that was heard here; its index is 0 before the first.
    pub fn beacon(&self) -> Beacon {
        *self.beacon.borrow()
    }

    /// Takes in the newest beacon.
    pub fn on_beacon(&self, beacon: Beacon) {
        self.beacon.send_replace(beacon);
    }

    /// Whether this node may serve with what it knows, and its changes. A node that is isolated must
    /// leave the fabric and stop forwarding.
    pub fn serving_status(&self) -> watch::Receiver<ServingStatus> {
        self.serving_status.subscribe()
    }

    /// Says what this control host's beacons are made of. Say it again after each change, and
    /// [`BeaconSource::NoQuorum`] as soon as the contact with the majority is lost.
    pub fn set_beacon_source(&self, source: BeaconSource) {
        self.beacon_source.send_replace(source);
    }

    /// Which reachable nodes have the configuration of `index` in force, and which have not. Only a
    /// control host knows of all; another node knows of those below it.
    pub fn confirmations(&self, index: LogIndex) -> Confirmations {
        let mut confirmations = self.progress.borrow().confirmations(index);
        let directory = self.directory();
        for zone in &mut confirmations.zones {
            let taking_part = directory
                .records()
                .filter(|r| r.zone == zone.zone && r.state != MemberState::Left)
                .count();
            let taking_part = u32::try_from(taking_part).unwrap_or(u32::MAX);
            zone.unreachable = taking_part.saturating_sub(zone.members);
        }
        confirmations
    }

    /// Tells when confirmations have changed.
    pub fn confirmation_changes(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    fn events(&self) -> EventSender {
        self.events.clone()
    }

    /// What the driver is told; a driver that is started again goes on with it.
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

    /// Nobody may be subscribed; the news is in the view all the same.
    fn announce(&self, update: Update) {
        self.changes.send_replace(());
        drop(self.updates.send(update));
    }
}
