//! The state machine of one node in the dissemination of state.
//!
//! A [`Node`] does no input or output: its driver passes in messages, link events, the time and a seed
//! for randomness, and executes the [`Output`]s. Updates are collected for [`BATCH_TIME`] and then sent
//! on every link except the one that they came from. An update that the node already has is not
//! forwarded, so links may form cycles.
//!
//! The links that the node dials are managed by [`Uplinks`]; the links that other nodes dialled are its
//! children. Each submodule adds one concern: `accept` (which nodes may be children), `state` (incoming
//! records, configurations and observations), `flush` (outgoing updates), `mend` (digests and repair)
//! and `fresh` (beacons, startup and isolation).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::directory::{Directory, MemberId, MemberState, Record};
use dogwoodrill_core::ids::{LogIndex, NodeId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::beacon::{Beacon, Freshness};
use crate::config_delta::History;
use crate::inquiry::{IsolationCheck, Startup};
use crate::message::{Hello, LinkId, LinkKind, MemberIncarnation, Message, NodeRole, Output};
use crate::observer::{HEARTBEAT_INTERVAL, Observer};
use crate::progress::{NodeConfigIndex, Progress};
use crate::standing::ServingStatus;
use crate::suspicion::Suspicions;
use crate::time::Now;
use crate::topology::{NodeLocation, Plan, plan};
use crate::uplinks::Uplinks;

mod accept;
mod flush;
mod fresh;
mod link;
mod mend;
mod state;

use flush::PendingUpdates;
use link::Link;

/// Maximum interval between two calls of [`Node::on_tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which updates are collected before they are forwarded.
pub const BATCH_TIME: Duration = Duration::from_millis(50);
/// An interval between two ticks above this limit shows that this process was paused.
const OWN_PAUSE_LIMIT: Duration = Duration::from_secs(1);
/// Interval between two updates of the plan and the suspects, and removals of expired entries.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// The options of a [`Node`].
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// The node's identifier, zone and initial addresses.
    pub location: NodeLocation,
    /// The kind of process that the node is.
    pub role: NodeRole,
    /// Seed of its random number generator, different in each process.
    pub seed: u64,
}

/// The state machine of one node in the dissemination of state.
#[derive(Debug)]
pub struct Node {
    location: NodeLocation,
    role: NodeRole,
    rng: StdRng,
    directory: Directory,
    config: Arc<CommittedConfig>,
    /// The configuration of the highest index that was received while the node may not serve yet.
    pending_config: Arc<CommittedConfig>,
    history: History,
    links: BTreeMap<LinkId, Link>,
    uplinks: Uplinks,
    plan: Plan,
    own: Option<Record>,
    observer: Observer,
    suspicions: Suspicions,
    freshness: Freshness,
    startup: Option<Startup>,
    isolation_check: IsolationCheck,
    serving_status: ServingStatus,
    pending: PendingUpdates,
    progress_below: Progress,
    progress_sent: Progress,
    last_tick_at: Instant,
    review_at: Instant,
    heartbeat_at: Instant,
    digests_at: Instant,
    beacon_at: Instant,
}

impl Node {
    /// The newest beacon that was received.
    pub const fn newest_beacon(&self) -> Beacon {
        self.freshness.newest()
    }

    /// Creates a node with an empty directory and configuration. A control host serves what it is given
    /// from the start.
    pub fn new(now: Now, options: NodeOptions) -> Self {
        let mut rng = StdRng::seed_from_u64(options.seed);
        let NodeOptions { location, role, .. } = options;
        let is_control = role == NodeRole::Control;
        let first_heartbeat_at = now.instant + HEARTBEAT_INTERVAL.mul_f64(rng.random());
        Self {
            observer: Observer::new(location.node),
            location,
            role,
            rng,
            directory: Directory::default(),
            config: Arc::default(),
            pending_config: Arc::default(),
            history: History::default(),
            links: BTreeMap::new(),
            uplinks: Uplinks::default(),
            plan: Plan::default(),
            own: None,
            suspicions: Suspicions::default(),
            freshness: Freshness::new(now.instant),
            startup: (!is_control).then(|| Startup::new(now.instant)),
            isolation_check: IsolationCheck::new(now.instant),
            serving_status: ServingStatus::Serving,
            pending: PendingUpdates::default(),
            progress_below: Progress::default(),
            progress_sent: Progress::default(),
            last_tick_at: now.instant,
            review_at: now.instant,
            heartbeat_at: first_heartbeat_at,
            digests_at: now.instant,
            beacon_at: now.instant,
        }
    }

    /// The members that the node knows.
    pub const fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The configuration in force.
    pub const fn config(&self) -> &Arc<CommittedConfig> {
        &self.config
    }

    /// Whether the node may serve.
    pub const fn serving_status(&self) -> ServingStatus {
        self.serving_status
    }

    /// The addresses that the node may link to.
    pub const fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The link over which the node receives all state.
    pub fn feed(&self) -> Option<LinkId> {
        self.uplinks.feed().map(|f| f.link)
    }

    /// Confirmations of all nodes whose progress this one receives.
    pub const fn progress_below(&self) -> &Progress {
        &self.progress_below
    }

    /// Number of links that other nodes dialled to receive all state.
    pub fn child_count(&self) -> usize {
        self.children(LinkKind::Feed)
    }

    /// The latest time at which [`Node::on_tick`] must be called next.
    pub fn poll_at(&self, now: Instant) -> Instant {
        let tick = now + TICK_INTERVAL;
        self.pending.flush_at().map_or(tick, |at| at.min(tick))
    }

    /// Runs everything that is due by time.
    pub fn on_tick(&mut self, now: Now) -> Vec<Output> {
        let mut out = Vec::new();
        self.handle_own_pause(now);
        if now.instant >= self.review_at {
            self.review(now, &mut out);
        }
        self.report_silent_members(now);
        self.maintain_freshness(now, &mut out);
        self.maintain_uplinks(now, &mut out);
        self.send_heartbeats(now, &mut out);
        self.send_digests(now, &mut out);
        self.send_backlogs(&mut out);
        self.flush(now, &mut out);
        out
    }

    /// Handles a dialled link that is connected, or a link that was accepted. The node that dialled
    /// sends the first message.
    pub fn on_link_up(&mut self, now: Now, link: LinkId) -> Vec<Output> {
        let kind = self.uplinks.get(link).map(|u| u.kind);
        self.links.insert(link, Link::new(now.instant, kind));
        let mut out = Vec::new();
        if let Some(kind) = kind {
            self.send_hello(link, kind, &mut out);
        }
        self.flush(now, &mut out);
        out
    }

    /// Handles a link that has ended or could not be dialled.
    pub fn on_link_down(&mut self, now: Now, link: LinkId) -> Vec<Output> {
        let mut out = Vec::new();
        self.links.remove(&link);
        self.uplinks.on_failed(now.instant, link, &mut self.rng);
        self.pending.schedule_progress(now.instant);
        self.maintain_uplinks(now, &mut out);
        out
    }

    /// Handles a message.
    pub fn on_message(&mut self, now: Now, link: LinkId, message: Message) -> Vec<Output> {
        let mut out = Vec::new();
        if let Some(known) = self.links.get_mut(&link) {
            known.on_received(now.instant);
        }
        self.handle_message(now, link, message, &mut out);
        self.flush(now, &mut out);
        out
    }

    /// Handles a full send queue: a message for the link was dropped.
    pub fn on_congested(&mut self, link: LinkId) {
        if let Some(link) = self.links.get_mut(&link) {
            link.mark_congested();
        }
    }

    /// Handles a send queue that has space again after it was full.
    pub fn on_writable(&mut self, now: Now, link: LinkId) -> Vec<Output> {
        let mut out = Vec::new();
        let kind = self.links.get_mut(&link).and_then(Link::clear_congestion);
        if let Some(kind) = kind {
            self.send_hello(link, kind, &mut out);
            self.send_digests_on(link, &mut out);
            self.send_initial_state(link, &mut out);
        }
        self.flush(now, &mut out);
        out
    }

    /// Handles a new or changed record of this node's own member.
    pub fn on_own_record(&mut self, now: Now, mut record: Record) -> Vec<Output> {
        let known = self.directory.record_of(record.member, record.incarnation);
        if let Some(known) = known.filter(|k| ***k != record) {
            record.sequence = record.sequence.max(known.sequence.next());
        }
        self.own = Some(record.clone());
        self.on_record(now, &Arc::new(record))
    }

    /// Handles a record that another part of the process has learned.
    pub fn on_record(&mut self, now: Now, record: &Arc<Record>) -> Vec<Output> {
        let mut out = Vec::new();
        self.handle_record(now, None, record, &mut out);
        self.flush(now, &mut out);
        out
    }

    /// Handles a configuration from another part of the process, normally at a control host.
    pub fn on_config(&mut self, now: Now, config: Arc<CommittedConfig>) -> Vec<Output> {
        let mut out = Vec::new();
        self.apply_config(now, config, &mut out);
        self.flush(now, &mut out);
        out
    }

    fn handle_message(&mut self, now: Now, link: LinkId, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Hello(hello) => self.handle_hello(now, link, hello, out),
            Message::Refusal(balancers) => self.handle_refusal(now, link, balancers, out),
            Message::Bye => self.handle_bye(now, link, out),
            Message::Records(records) => self.handle_records(now, link, records, out),
            Message::Config(config) => {
                self.raise_peer_index(link, config.index);
                self.apply_config(now, config, out);
            }
            Message::ConfigDelta(delta) => self.apply_delta(now, link, delta, out),
            Message::Pull(have) => self.handle_pull(link, have, out),
            Message::Beacon(beacon) => self.handle_beacon(now, link, beacon, out),
            Message::Heartbeat(subject) => self.handle_heartbeat(now, link, subject),
            Message::Observations(list) => self.handle_observations(now, link, list),
            Message::Digests(totals) => self.handle_digests(link, &totals, out),
            Message::Buckets(zone, digest) => self.handle_buckets(link, zone, &digest, out),
            Message::Repair(repair) => self.handle_repair(now, link, repair, out),
            Message::Progress(progress) => self.handle_progress(now, link, progress),
        }
    }

    /// Updates the state that changes slowly.
    fn review(&mut self, now: Now, out: &mut Vec<Output>) {
        self.review_at = now.instant + REVIEW_INTERVAL;
        self.directory.expire(now.wall);
        self.suspicions.expire(now.wall);
        self.update_suspects(out);
        self.write_tombstones(now, out);
        self.plan = plan(&self.location, &self.directory, &self.config);
        if self.own.is_none() {
            self.plan.observers.clear();
        }
        self.close_abandoned_links(now, out);
        self.shed_excess_children(out);
    }

    /// Restarts all timeouts of other nodes after a pause of this process: it cannot know which nodes
    /// sent nothing meanwhile.
    fn handle_own_pause(&mut self, now: Now) {
        let last = std::mem::replace(&mut self.last_tick_at, now.instant);
        if now.instant.saturating_duration_since(last) > OWN_PAUSE_LIMIT {
            self.links
                .values_mut()
                .for_each(|l| l.on_received(now.instant));
            self.observer.on_own_pause(now.instant);
        }
    }

    fn close_abandoned_links(&mut self, now: Now, out: &mut Vec<Output>) {
        let abandoned = self
            .links
            .iter()
            .filter(|(_, l)| l.is_abandoned(now.instant));
        let abandoned: Vec<_> = abandoned.map(|(id, _)| *id).collect();
        for link in abandoned {
            self.close_link(link, out);
            self.pending.schedule_progress(now.instant);
        }
    }

    fn maintain_uplinks(&mut self, now: Now, out: &mut Vec<Output>) {
        let is_starting = self.startup.as_ref().is_some_and(|s| !s.has_reply());
        if is_starting {
            return;
        }
        let changes = self
            .uplinks
            .reconcile(now.instant, &self.plan, &mut self.rng);
        for link in changes.close {
            self.close_link(link, out);
        }
        let dials = changes.dial.into_iter();
        out.extend(dials.map(|u| Output::Dial {
            link: u.link,
            to: u.to,
        }));
    }

    fn close_link(&mut self, link: LinkId, out: &mut Vec<Output>) {
        if self.links.remove(&link).is_some() {
            out.push(send(link, Message::Bye));
        }
        out.push(Output::Close { link });
    }

    fn send_hello(&self, link: LinkId, kind: LinkKind, out: &mut Vec<Output>) {
        let hello = Hello {
            node: self.location.node,
            zone: self.location.zone.clone(),
            kind,
            role: self.role,
            index: self.config.index,
        };
        out.push(send(link, Message::Hello(hello)));
    }

    /// The member incarnation that this node sends heartbeats for; `None` once the member has left.
    fn subject(&self) -> Option<MemberIncarnation> {
        let own = self.own.as_ref()?;
        (own.state != MemberState::Left).then(|| own.into())
    }

    fn send_heartbeats(&mut self, now: Now, out: &mut Vec<Output>) {
        let Some(me) = self.subject() else { return };
        if now.instant < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = now.instant + HEARTBEAT_INTERVAL;
        let observed = |u: &&crate::uplinks::Uplink| u.is_established && u.kind != LinkKind::Mesh;
        let observers = self.uplinks.all().filter(observed);
        out.extend(observers.map(|u| send(u.link, Message::Heartbeat(me))));
    }

    /// The progress of this node and those below it.
    fn progress(&self) -> Progress {
        let node = NodeConfigIndex {
            index: self.config.index,
            node: self.location.node,
        };
        let own = Progress::of_node(self.location.zone.clone(), node, self.own.is_some());
        let children = self.links.values().filter(|l| l.is_child());
        Progress::sum(std::iter::once(&own).chain(children.map(|l| &l.progress)))
    }

    /// Whether a member belongs to this process, in any incarnation.
    fn is_own_member(&self, member: MemberId) -> bool {
        self.own.as_ref().is_some_and(|o| o.member == member)
    }

    const fn node(&self) -> NodeId {
        self.location.node
    }

    fn index(&self) -> LogIndex {
        self.config.index
    }
}

fn send(link: LinkId, message: Message) -> Output {
    Output::Send { link, message }
}
