//! The driver: one task that owns the [`Node`] and executes its outputs.
//!
//! Each link is a task of its own that sends its messages to the driver; the driver never waits for a
//! link. A full send queue is reported to the node, and again once it has space. The records and
//! configurations that the node accepts are written to the [`Cluster`], which the other parts of the
//! process read; changes that those make there are passed to the node.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dogwoodrill_core::directory::{MemberId, Record};
use dogwoodrill_spread::beacon::CommitPosition;
use dogwoodrill_spread::message::{FreshnessQuery, LinkId, Message, NodeRole};
use dogwoodrill_spread::topology::NodeLocation;
use dogwoodrill_spread::{Node, NodeOptions, Now, Output, ServingStatus};
use dogwoodrill_wire::proto::spread as wire;
use snafu::{ResultExt, Snafu};
use tokio::sync::broadcast::error::RecvError;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, sleep_until};

use super::event::{Event, EventSender, LinkSender};
use super::metrics::SpreadMetrics;
use super::{BeaconSource, Cluster, Update, link};
use crate::context::{Cx, wall_clock};

/// Time that the other end of a closed link has to close it as well.
const CLOSE_GRACE: Duration = Duration::from_secs(1);
/// Interval between two removals of expired tombstones.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Why the driver stopped.
#[derive(Debug, Snafu)]
pub enum DriveError {
    /// The settings name no node to link to.
    #[snafu(display("no parent to link to; name a control host in the settings"))]
    NoParent,
    /// The metrics could not be registered.
    #[snafu(display("cannot register the metrics of the spread"))]
    Metrics {
        /// The error of the registry.
        source: prometheus::Error,
    },
}

/// Runs the node of a balancer or an agent. Returns only if there is no parent or the metrics cannot be
/// registered. `parents` are control hosts or any nodes that are started first.
pub async fn run_node(
    cx: &Cx,
    cluster: &Cluster,
    parents: &[SocketAddr],
) -> Result<(), DriveError> {
    snafu::ensure!(!parents.is_empty(), NoParentSnafu);
    let own = cluster.own_record().borrow().clone();
    let is_balancer = own.is_some_and(|o| matches!(o.member, MemberId::Balancer(_)));
    let role = if is_balancer {
        NodeRole::Balancer
    } else {
        NodeRole::Agent
    };
    Box::pin(drive(cx, cluster, role, parents)).await
}

/// Runs the node of a control host; `peers` are the other control hosts.
pub async fn run_control_node(
    cx: &Cx,
    cluster: &Cluster,
    peers: &[SocketAddr],
) -> Result<(), DriveError> {
    Box::pin(drive(cx, cluster, NodeRole::Control, peers)).await
}

async fn drive(
    cx: &Cx,
    cluster: &Cluster,
    role: NodeRole,
    seeds: &[SocketAddr],
) -> Result<(), DriveError> {
    let metrics = cluster.metrics(cx).context(MetricsSnafu)?;
    let location = NodeLocation {
        node: cx.node,
        zone: cx.zone.clone(),
        is_control: role == NodeRole::Control,
        seeds: seeds.to_vec(),
    };
    let seed = rand::random();
    let node = Node::new(
        now(),
        NodeOptions {
            location,
            role,
            seed,
        },
    );
    let driver = Driver {
        cx,
        cluster,
        role,
        node,
        events: cluster.events(),
        metrics,
        links: HashMap::new(),
        tasks: JoinSet::new(),
        dialled: HashMap::new(),
        expire_at: Instant::now(),
    };
    driver.run().await;
    Ok(())
}

fn now() -> Now {
    Now {
        instant: Instant::now(),
        wall: wall_clock(),
    }
}

struct LinkEnd {
    sender: LinkSender,
    congested: bool,
}

struct Driver<'a> {
    cx: &'a Cx,
    cluster: &'a Cluster,
    role: NodeRole,
    node: Node,
    events: EventSender,
    metrics: SpreadMetrics,
    links: HashMap<LinkId, LinkEnd>,
    /// Tasks of links and freshness queries; they end with the driver.
    tasks: JoinSet<()>,
    dialled: HashMap<LinkId, AbortHandle>,
    expire_at: Instant,
}

impl Driver<'_> {
    async fn run(mut self) {
        let mut events = self.cluster.event_queue().await;
        let mut updates = self.cluster.updates();
        let mut own = self.cluster.own_record();
        let mut beacon_source = self.cluster.beacon_source.subscribe();
        self.load_view();
        self.load_own_record(own.borrow_and_update().clone());
        loop {
            self.tick();
            let next = self.node.poll_at(Instant::now());
            // The node's own record is handled first: if the node read it among the updates, it would
            // take it for another node's record of its member.
            tokio::select! {
                biased;
                Ok(()) = own.changed() => {
                    let record = own.borrow_and_update().clone();
                    self.load_own_record(record);
                }
                Ok(()) = beacon_source.changed() => beacon_source.mark_unchanged(),
                Some(event) = events.recv() => self.on_event(event),
                update = updates.recv() => match update {
                    Ok(update) => self.on_update(update),
                    Err(RecvError::Lagged(_)) => self.load_view(),
                    Err(RecvError::Closed) => return,
                },
                Some(_) = self.tasks.join_next() => {}
                () = sleep_until(next.into()) => {}
            }
        }
    }

    fn tick(&mut self) {
        let now = now();
        let outputs = self.node.on_tick(now);
        self.apply_outputs(outputs);
        if let Some(commit) = self.commit_position() {
            let outputs = self.node.on_commit(now, commit);
            self.apply_outputs(outputs);
        }
        if now.instant >= self.expire_at {
            self.expire_at = now.instant + EXPIRE_INTERVAL;
            self.cluster.expire(now.wall);
            self.cluster.on_beacon(self.node.newest_beacon());
            self.update_metrics();
        }
    }

    /// The log position for the beacon; `None` at nodes that send no beacons.
    fn commit_position(&self) -> Option<CommitPosition> {
        if self.role != NodeRole::Control {
            return None;
        }
        match *self.cluster.beacon_source.borrow() {
            BeaconSource::Quorum(commit) => Some(commit),
            BeaconSource::NoQuorum => None,
            BeaconSource::ConfigInForce => Some(CommitPosition {
                index: self.cluster.config().index,
                ..CommitPosition::default()
            }),
        }
    }

    fn update_metrics(&self) {
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.metrics.links.set(count(self.links.len()));
        self.metrics.children.set(count(self.node.child_count()));
        self.metrics.level.set(self.node.plan().level as i64);
        let suspected = self.node.directory().suspected().len();
        self.metrics.suspected.set(count(suspected));
        let index = self.node.config().index.get();
        self.metrics
            .config_index
            .set(i64::try_from(index).unwrap_or(i64::MAX));
    }

    /// Passes the whole view to the node.
    fn load_view(&mut self) {
        let records: Vec<_> = {
            let directory = self.cluster.directory();
            directory.shared_records().cloned().collect()
        };
        for record in records {
            self.on_update(Update::Record(record));
        }
        self.on_update(Update::Config(self.cluster.config()));
    }

    fn load_own_record(&mut self, record: Option<Record>) {
        if let Some(record) = record {
            let outputs = self.node.on_own_record(now(), record);
            self.apply_outputs(outputs);
        }
    }

    fn on_update(&mut self, update: Update) {
        let outputs = match update {
            Update::Record(record) => self.node.on_record(now(), &record),
            Update::Config(config) => self.node.on_config(now(), config),
        };
        self.apply_outputs(outputs);
    }

    fn on_event(&mut self, event: Event) {
        let outputs = match event {
            Event::LinkUp(link, sender) => {
                let congested = false;
                self.links.insert(link, LinkEnd { sender, congested });
                self.node.on_link_up(now(), link)
            }
            Event::Message {
                link,
                message,
                bytes,
            } => {
                self.metrics.on_received(bytes);
                self.node.on_message(now(), link, message)
            }
            Event::LinkDown(link) => {
                self.links.remove(&link);
                self.dialled.remove(&link);
                self.node.on_link_down(now(), link)
            }
            Event::Writable(link) => {
                if let Some(end) = self.links.get_mut(&link) {
                    end.congested = false;
                }
                self.node.on_writable(now(), link)
            }
            Event::FreshnessReply(from, reply) => {
                self.node.on_freshness_reply(now(), from, reply.as_ref())
            }
            Event::FreshnessQuery(query, reply) => {
                // The sender of the query may have given up.
                drop(reply.send(self.node.freshness_reply(now(), &query)));
                return;
            }
        };
        self.apply_outputs(outputs);
    }

    fn apply_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Dial { link, to } => self.dial(link, to),
                Output::Send { link, message } => self.send(link, &message),
                Output::Close { link } => self.close(link),
                Output::QueryFreshness { to } => self.query_freshness(to),
                Output::Record(record) => {
                    self.cluster.merge(record);
                }
                Output::Config(config) => {
                    self.cluster.adopt(config);
                }
                Output::Suspect { member, suspected } => {
                    log::info!("suspicion of {member} changed: suspected={suspected}");
                    self.cluster.set_suspected(member, suspected);
                }
                Output::ServingStatus(serving_status) => self.set_serving_status(serving_status),
                Output::Progress(progress) => {
                    self.cluster.progress.send_replace(progress);
                }
            }
        }
    }

    fn set_serving_status(&self, serving_status: ServingStatus) {
        log::warn!("serving status of this node changed: {serving_status}");
        self.metrics.on_serving_status(serving_status);
        self.cluster.serving_status.send_replace(serving_status);
    }

    fn dial(&mut self, id: LinkId, to: SocketAddr) {
        let task = link::dial(self.cx.clone(), self.events.clone(), id, to);
        let task = self.tasks.spawn(task);
        self.dialled.insert(id, task);
    }

    fn query_freshness(&mut self, to: SocketAddr) {
        let query = FreshnessQuery {
            node: self.cx.node,
            zone: self.cx.zone.clone(),
        };
        let task = link::query_freshness(self.cx.clone(), self.events.clone(), query, to);
        self.tasks.spawn(task);
    }

    fn send(&mut self, link: LinkId, message: &Message) {
        let Some(end) = self.links.get_mut(&link) else {
            return;
        };
        let frame = wire::Frame::from(message);
        self.metrics.on_sent(&frame);
        if end.sender.try_send(frame).is_ok() {
            return;
        }
        self.node.on_congested(link);
        if std::mem::replace(&mut end.congested, true) {
            return;
        }
        self.metrics.congested.inc();
        let (sender, events) = (end.sender.clone(), self.events.clone());
        self.tasks.spawn(async move {
            sender.has_room().await;
            drop(events.send(Event::Writable(link)).await);
        });
    }

    /// Messages already queued are still sent: the link's task reads its queue to the end.
    fn close(&mut self, link: LinkId) {
        self.links.remove(&link);
        if let Some(task) = self.dialled.remove(&link) {
            self.tasks.spawn(async move {
                sleep(CLOSE_GRACE).await;
                task.abort();
            });
        }
    }
}
