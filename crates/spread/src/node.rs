//! One node's part in the spread of state.
//!
//! A [`Node`] is driven from outside: messages and the state of links come in, [`Output`]s go out,
//! time and a seed for randomness are handed in. News is gathered for [`BATCH_TIME`] and then sent on
//! every link but the one that it came from. What comes twice is not news and goes no further, so
//! links may form cycles.
//!
//! Links of the node's own choice are kept by [`Uplinks`]; the links that
//! others dialled are its children. The submodules each add one concern: `accept` (who may be a child),
//! `state` (records, configuration and observations that come in), `flush` (what goes out), `mend`
//! (digests and repair) and `fresh` (beacons, start-up and isolation).

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

use flush::News;
use link::Link;

/// Time between two calls of [`Node::on_tick`] at most.
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which news is gathered before it is sent on.
pub const BATCH_TIME: Duration = Duration::from_millis(50);
/// A gap between two ticks that shows that the process itself stood still.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);
/// Time between two looks at the plan, at the suspects and at what has expired.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// What a node is started with.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Where the node stands.
    pub location: NodeLocation,
    /// What it is.
    pub role: NodeRole,
    /// Seed of its randomness, different in each process.
    pub seed: u64,
}

/// One node's part in the spread of state.
#[derive(Debug)]
pub struct Node {
    location: NodeLocation,
    role: NodeRole,
    rng: StdRng,
    directory: Directory,
    config: Arc<CommittedConfig>,
    /// The highest configuration heard of while the node may not serve yet.
    held: Arc<CommittedConfig>,
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
    news: News,
    progress_below: Progress,
    progress_sent: Progress,
    ticked_at: Instant,
    review_at: Instant,
    heartbeat_at: Instant,
    digests_at: Instant,
    beacon_at: Instant,
}

impl Node {
    /// The newest beacon that was heard.
    pub const fn newest_beacon(&self) -> Beacon {
        self.freshness.newest()
    }

    /// Makes a node that knows nothing yet. A control host serves what it is given from the start.
    pub fn new(now: Now, options: NodeOptions) -> Self {
        let mut rng = StdRng::seed_from_u64(options.seed);
        let NodeOptions { location, role, .. } = options;
        let is_control = role == NodeRole::Control;
        let soon = now.instant + HEARTBEAT_INTERVAL.mul_f64(rng.random());
        Self {
            observer: Observer::new(location.node),
            location,
            role,
            rng,
            directory: Directory::default(),
            config: Arc::default(),
            held: Arc::default(),
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
            news: News::default(),
            progress_below: Progress::default(),
            progress_sent: Progress::default(),
            ticked_at: now.instant,
            review_at: now.instant,
            heartbeat_at: soon,
            digests_at: now.instant,
            beacon_at: now.instant,
        }
    }

    /// What the node knows of members.
    pub const fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The configuration in force.
    pub const fn config(&self) -> &Arc<CommittedConfig> {
        &self.config
    }

    /// The node's standing.
    pub const fn serving_status(&self) -> ServingStatus {
        self.serving_status
    }

    /// Whom the node links to.
    pub const fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The link that brings this node all state.
    pub fn feed(&self) -> Option<LinkId> {
        self.uplinks.feed().map(|f| f.link)
    }

    /// Confirmations of all nodes that this one knows of.
    pub const fn progress_below(&self) -> &Progress {
        &self.progress_below
    }

    /// Links that others dialled and that bring them all state.
    pub fn child_count(&self) -> usize {
        self.children(LinkKind::Feed)
    }

    /// When the node wants [`Node::on_tick`] to be called at the latest.
    pub fn poll_at(&self, now: Instant) -> Instant {
        let tick = now + TICK_INTERVAL;
        self.news.flush_at().map_or(tick, |at| at.min(tick))
    }

    /// Time has passed.
    pub fn on_tick(&mut self, now: Now) -> Vec<Output> {
        let mut out = Vec::new();
        self.forgive_own_pause(now);
        if now.instant >= self.review_at {
            self.review(now, &mut out);
        }
        self.observe(now);
        self.tend_freshness(now, &mut out);
        self.tend_uplinks(now, &mut out);
        self.send_heartbeats(now, &mut out);
        self.send_digests(now, &mut out);
        self.pump(&mut out);
        self.flush(now, &mut out);
        out
    }

    /// A dialled link has come up, or another node's link was accepted. Whoever dials speaks first.
    pub fn on_link_up(&mut self, now: Now, link: LinkId) -> Vec<Output> {
        let kind = self.uplinks.get(link).map(|u| u.kind);
        self.links.insert(link, Link::new(now.instant, kind));
        let mut out = Vec::new();
        if let Some(kind) = kind {
            self.greet(link, kind, &mut out);
        }
        self.flush(now, &mut out);
        out
    }

    /// A link has ended, or could not be dialled.
    pub fn on_link_down(&mut self, now: Now, link: LinkId) -> Vec<Output> {
        let mut out = Vec::new();
        self.links.remove(&link);
        self.uplinks.on_failed(now.instant, link, &mut self.rng);
        self.news.progress_soon(now.instant);
        self.tend_uplinks(now, &mut out);
        out
    }

    /// A message came.
    pub fn on_message(&mut self, now: Now, link: LinkId, message: Message) -> Vec<Output> {
        let mut out = Vec::new();
        if let Some(known) = self.links.get_mut(&link) {
            known.on_heard(now.instant);
        }
        self.take(now, link, message, &mut out);
        self.flush(now, &mut out);
        out
    }

    /// There was no room for a message on a link, which was therefore dropped.
    pub fn on_congested(&mut self, link: LinkId) {
        if let Some(link) = self.links.get_mut(&link) {
            link.lag();
        }
    }

    /// There is room again on a link that was congested.
    pub fn on_writable(&mut self, now: Now, link: LinkId) -> Vec<Output> {
        let mut out = Vec::new();
        let kind = self.links.get_mut(&link).and_then(Link::catch_up);
        if let Some(kind) = kind {
            self.greet(link, kind, &mut out);
            self.send_digests_on(link, &mut out);
            self.send_standing_state(link, &mut out);
        }
        self.flush(now, &mut out);
        out
    }

    /// This node's own record is new or has changed.
    pub fn on_own_record(&mut self, now: Now, mut record: Record) -> Vec<Output> {
        let known = self.directory.record_of(record.member, record.incarnation);
        if let Some(known) = known.filter(|k| ***k != record) {
            record.sequence = record.sequence.max(known.sequence.next());
        }
        self.own = Some(record.clone());
        self.on_record(now, &Arc::new(record))
    }

    /// A record came from within the process.
    pub fn on_record(&mut self, now: Now, record: &Arc<Record>) -> Vec<Output> {
        let mut out = Vec::new();
        self.take_record(now, None, record, &mut out);
        self.flush(now, &mut out);
        out
    }

    /// A configuration came from within the process, normally at a control host.
    pub fn on_config(&mut self, now: Now, config: Arc<CommittedConfig>) -> Vec<Output> {
        let mut out = Vec::new();
        self.take_config(now, config, &mut out);
        self.flush(now, &mut out);
        out
    }

    fn take(&mut self, now: Now, link: LinkId, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Hello(hello) => self.take_hello(now, link, hello, out),
            Message::Refusal(balancers) => self.take_refusal(now, link, balancers, out),
            Message::Bye => self.take_bye(now, link, out),
            Message::Records(records) => self.take_records(now, link, records, out),
            Message::Config(config) => {
                self.note_index(link, config.index);
                self.take_config(now, config, out);
            }
            Message::ConfigDelta(delta) => self.take_delta(now, link, delta, out),
            Message::Pull(have) => self.take_pull(link, have, out),
            Message::Beacon(beacon) => self.take_beacon(now, link, beacon, out),
            Message::Heartbeat(subject) => self.take_heartbeat(now, link, subject),
            Message::Observations(list) => self.take_observations(now, link, list),
            Message::Digests(totals) => self.take_digests(link, &totals, out),
            Message::Buckets(zone, digest) => self.take_buckets(link, zone, &digest, out),
            Message::Repair(repair) => self.take_repair(now, link, repair, out),
            Message::Progress(progress) => self.take_progress(now, link, progress),
        }
    }

    /// Looks again at everything that changes slowly.
    fn review(&mut self, now: Now, out: &mut Vec<Output>) {
        self.review_at = now.instant + REVIEW_INTERVAL;
        self.directory.expire(now.wall);
        self.suspicions.expire(now.wall);
        self.judge(out);
        self.give_up_dead(now, out);
        self.plan = plan(&self.location, &self.directory, &self.config);
        if self.own.is_none() {
            self.plan.observers.clear();
        }
        self.end_abandoned(now, out);
        self.relieve(out);
    }

    /// A node that stood still itself cannot tell who was silent meanwhile.
    fn forgive_own_pause(&mut self, now: Now) {
        let last = std::mem::replace(&mut self.ticked_at, now.instant);
        if now.instant.saturating_duration_since(last) > PAUSE_LIMIT {
            self.links
                .values_mut()
                .for_each(|l| l.on_heard(now.instant));
            self.observer.on_pause(now.instant);
        }
    }

    fn end_abandoned(&mut self, now: Now, out: &mut Vec<Output>) {
        let abandoned = self
            .links
            .iter()
            .filter(|(_, l)| l.is_abandoned(now.instant));
        let abandoned: Vec<_> = abandoned.map(|(id, _)| *id).collect();
        for link in abandoned {
            self.end(link, out);
            self.news.progress_soon(now.instant);
        }
    }

    fn tend_uplinks(&mut self, now: Now, out: &mut Vec<Output>) {
        let waits = self.startup.as_ref().is_some_and(|s| !s.anyone_answered());
        if waits {
            return;
        }
        let changes = self.uplinks.follow(now.instant, &self.plan, &mut self.rng);
        for link in changes.close {
            self.end(link, out);
        }
        let dials = changes.dial.into_iter();
        out.extend(dials.map(|u| Output::Dial {
            link: u.link,
            to: u.to,
        }));
    }

    fn end(&mut self, link: LinkId, out: &mut Vec<Output>) {
        if self.links.remove(&link).is_some() {
            out.push(send(link, Message::Bye));
        }
        out.push(Output::Close { link });
    }

    fn greet(&self, link: LinkId, kind: LinkKind, out: &mut Vec<Output>) {
        let hello = Hello {
            node: self.location.node,
            zone: self.location.zone.clone(),
            kind,
            role: self.role,
            index: self.config.index,
        };
        out.push(send(link, Message::Hello(hello)));
    }

    /// The life that this node's heartbeats speak of; none once its member has left.
    fn own_incarnation(&self) -> Option<MemberIncarnation> {
        let own = self.own.as_ref()?;
        (own.state != MemberState::Left).then(|| own.into())
    }

    fn send_heartbeats(&mut self, now: Now, out: &mut Vec<Output>) {
        let Some(subject) = self.own_incarnation() else {
            return;
        };
        if now.instant < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = now.instant + HEARTBEAT_INTERVAL;
        let observed = |u: &&crate::uplinks::Uplink| u.greeted && u.kind != LinkKind::Mesh;
        let observers = self.uplinks.all().filter(observed);
        out.extend(observers.map(|u| send(u.link, Message::Heartbeat(subject))));
    }

    /// Confirmations of this node and those below it.
    fn progress(&self) -> Progress {
        let node = NodeConfigIndex {
            index: self.config.index,
            node: self.location.node,
        };
        let own = Progress::of_node(self.location.zone.clone(), node, self.own.is_some());
        let children = self.links.values().filter(|l| l.is_child());
        Progress::sum(std::iter::once(&own).chain(children.map(|l| &l.progress)))
    }

    /// A member's address is of this process, whatever life it is.
    fn is_own(&self, member: MemberId) -> bool {
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
