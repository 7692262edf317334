//! The driver: one task that owns the node's [`Node`] and does what it says.
//!
//! Links are tasks of their own that hand their messages to the driver; it never waits for a link. A
//! link without room is reported to the node, and again once it has room. What the node merges goes
//! into the [`Cluster`], which the other parts of the process read; what they put there comes back
//! to the node as a change.

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

/// Time that the other end of a closed link has to end it, too.
const CLOSE_GRACE: Duration = Duration::from_secs(1);
/// Time between two runs that forget tombstones.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Why the driver stopped.
#[derive(Debug, Snafu)]
pub enum DriveError {
    /// The settings name nobody to link to.
    #[snafu(display("no parent to link to; name a control host in the settings"))]
    NoParent,
    /// The metrics could not be registered.
    #[snafu(display("cannot register the metrics of the spread"))]
    Metrics {
        /// What the registry said.
        source: prometheus::Error,
    },
}

/// Takes part in the spread as a balancer or an agent; ends only with its task, or at once where
/// there is no parent. `parents` are control hosts or whoever else is up first.
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

/// Takes part in the spread as a control host; `peers` are the other control hosts.
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
    /// Tasks of links and questions; they end with the driver.
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
        self.read_all();
        self.read_own(own.borrow_and_update().clone());
        loop {
            self.tick();
            let next = self.node.poll_at(Instant::now());
            // The own record comes first: the node must not take it, read among the updates, for
            // what others say of it.
            tokio::select! {
                biased;
                Ok(()) = own.changed() => {
                    let record = own.borrow_and_update().clone();
                    self.read_own(record);
                }
                Ok(()) = beacon_source.changed() => beacon_source.mark_unchanged(),
                Some(event) = events.recv() => self.on_event(event),
                update = updates.recv() => match update {
                    Ok(update) => self.on_update(update),
                    Err(RecvError::Lagged(_)) => self.read_all(),
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
        self.act(outputs);
        if let Some(commit) = self.commit_position() {
            let outputs = self.node.on_commit(now, commit);
            self.act(outputs);
        }
        if now.instant >= self.expire_at {
            self.expire_at = now.instant + EXPIRE_INTERVAL;
            self.cluster.expire(now.wall);
            self.cluster.on_beacon(self.node.newest_beacon());
            self.measure();
        }
    }

    /// What the beacon says; none at nodes that send none.
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

    fn measure(&self) {
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

    /// Hands the node everything that is in the view.
    fn read_all(&mut self) {
        let records: Vec<_> = {
            let directory = self.cluster.directory();
            directory.shared_records().cloned().collect()
        };
        for record in records {
            self.on_update(Update::Record(record));
        }
        self.on_update(Update::Config(self.cluster.config()));
    }

    fn read_own(&mut self, record: Option<Record>) {
        if let Some(record) = record {
            let outputs = self.node.on_own_record(now(), record);
            self.act(outputs);
        }
    }

    fn on_update(&mut self, update: Update) {
        let outputs = match update {
            Update::Record(record) => self.node.on_record(now(), &record),
            Update::Config(config) => self.node.on_config(now(), config),
        };
        self.act(outputs);
    }

    fn on_event(&mut self, event: Event) {
        let outputs = match event {
            Event::Up(link, sender) => {
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
            Event::Down(link) => {
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
            Event::FreshnessReply(from, answer) => {
                self.node.on_freshness_reply(now(), from, answer.as_ref())
            }
            Event::FreshnessQuery(question, reply) => {
                // Whoever asked may have given up.
                drop(reply.send(self.node.answer(now(), &question)));
                return;
            }
        };
        self.act(outputs);
    }

    fn act(&mut self, outputs: Vec<Output>) {
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
                    log::info!("{member}: suspected {suspected}");
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
        log::warn!("this node is {serving_status}");
        self.metrics.on_serving_status(serving_status);
        self.cluster.serving_status.send_replace(serving_status);
    }

    fn dial(&mut self, id: LinkId, to: SocketAddr) {
        let task = link::dial(self.cx.clone(), self.events.clone(), id, to);
        let task = self.tasks.spawn(task);
        self.dialled.insert(id, task);
    }

    fn query_freshness(&mut self, to: SocketAddr) {
        let question = FreshnessQuery {
            node: self.cx.node,
            zone: self.cx.zone.clone(),
        };
        let task = link::query_freshness(self.cx.clone(), self.events.clone(), question, to);
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

    /// What was sent still goes out: the link's task reads the backlog to its end.
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
