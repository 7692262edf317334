//! A simulated cluster: nodes in one thread, with links that can be cut and a clock that the tests
//! advance.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill_core::config::{CommittedConfig, Profile, Service};
use dogwoodrill_core::directory::{MemberId, MemberState, Record, Role};
use dogwoodrill_core::ids::{LogIndex, ServiceId};
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_spread::beacon::CommitPosition;
use dogwoodrill_spread::message::{FreshnessQuery, LinkId, Message, NodeRole};
use dogwoodrill_spread::progress::Confirmations;
use dogwoodrill_spread::topology::NodeLocation;
use dogwoodrill_spread::{Node, NodeOptions, Now, Output, ServingStatus};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

pub const STEP: Duration = Duration::from_millis(50);
pub const SERVICE: ServiceId = ServiceId::new(1);
pub const ZONES: [&str; 4] = ["gent", "brugge", "pando", "santa-lucia"];
const BALANCERS: usize = 3;
const AGENTS: usize = 8;
const CONTROLS: usize = 2;
const ZONE_NODES: usize = BALANCERS + AGENTS;

/// Index of a node in the cluster.
pub type At = usize;

struct Process {
    node: Node,
    role: NodeRole,
    zone: &'static str,
    /// The highest configuration index that has been in force.
    index: LogIndex,
    up: bool,
    paused: bool,
}

/// The simulated cluster: two control hosts, then the balancers and agents of each zone.
pub struct Cluster {
    now: Now,
    processes: Vec<Process>,
    /// Maps each end of a link to the other end.
    peers: BTreeMap<(At, LinkId), (At, LinkId)>,
    in_flight: VecDeque<(At, LinkId, Message)>,
    /// Pairs of sender and receiver between which no message is delivered.
    pub cut: BTreeSet<(At, At)>,
    /// Receivers whose queues are full.
    pub slow: BTreeSet<At>,
    pub quorum: bool,
    pub reorder_rng: Option<StdRng>,
    /// Simulated time between two ticks of every node.
    pub tick: Duration,
    config: CommittedConfig,
    next_link: u64,
    restarts: u64,
}

fn address(at: At) -> SocketAddr {
    let port = u16::try_from(1000 + at).unwrap();
    (Ipv4Addr::LOCALHOST, port).into()
}

fn at(address: SocketAddr) -> At {
    usize::from(address.port()) - 1000
}

impl Cluster {
    /// Starts all nodes and runs until they are connected.
    pub fn settled() -> Self {
        let mut cluster = Self::new();
        cluster.run(Duration::from_secs(10));
        cluster
    }

    fn new() -> Self {
        let now = Now {
            instant: Instant::now(),
            wall: UnixMillis::new(1_000_000_000),
        };
        let mut cluster = Self {
            now,
            processes: Vec::new(),
            peers: BTreeMap::new(),
            in_flight: VecDeque::new(),
            cut: BTreeSet::new(),
            slow: BTreeSet::new(),
            quorum: true,
            reorder_rng: None,
            tick: STEP,
            config: config(),
            next_link: 0,
            restarts: 0,
        };
        for _ in 0..CONTROLS {
            cluster.add(NodeRole::Control, ZONES[0]);
        }
        for zone in ZONES {
            (0..BALANCERS).for_each(|_| cluster.add(NodeRole::Balancer, zone));
            (0..AGENTS).for_each(|_| cluster.add(NodeRole::Agent, zone));
        }
        cluster.commit();
        cluster
    }

    fn add(&mut self, role: NodeRole, zone: &'static str) {
        let at = self.processes.len();
        let node = self.make(at, role, zone);
        self.processes.push(Process {
            node,
            role,
            zone,
            index: LogIndex::default(),
            up: true,
            paused: false,
        });
        self.publish(at, MemberState::Serving);
    }

    fn make(&self, at: At, role: NodeRole, zone: &str) -> Node {
        let is_control = role == NodeRole::Control;
        let seeds = (0..CONTROLS).filter(|c| *c != at).map(address);
        let location = NodeLocation {
            node: (at as u64).into(),
            zone: zone.parse().unwrap(),
            is_control,
            seeds: seeds.collect(),
        };
        let seed = at as u64 + 100 * self.restarts;
        Node::new(
            self.now,
            NodeOptions {
                location,
                role,
                seed,
            },
        )
    }

    /// Publishes a node's own record.
    pub fn publish(&mut self, at: At, state: MemberState) {
        let now = self.now;
        let process = &mut self.processes[at];
        let Some(member) = member(at, process.role) else {
            return;
        };
        let role = match member {
            MemberId::Balancer(_) => Role::Balancer,
            MemberId::BackendServer(_) => Role::BackendServer {
                service: SERVICE,
                slots: 2,
                ramp_until: UnixMillis::default(),
            },
        };
        let record = Record {
            member,
            zone: process.zone.parse().unwrap(),
            incarnation: (now.wall.get() / 1000 + self.restarts).into(),
            sequence: 1.into(),
            state,
            tunnel: address(at),
            peer: address(at),
            eligible_at: now.wall,
            role,
        };
        let out = process.node.on_own_record(now, record);
        self.act(at, out);
    }

    /// Commits one change and returns its index.
    pub fn commit(&mut self) -> LogIndex {
        self.config.index = self.config.index.next();
        let profile = self.config.profiles.values_mut().next().unwrap();
        profile.version = profile.version.next();
        let config = Arc::new(self.config.clone());
        for control in 0..CONTROLS {
            let node = &mut self.processes[control].node;
            let out = node.on_config(self.now, Arc::clone(&config));
            self.act(control, out);
        }
        self.config.index
    }

    /// Ends a process without notice; its links are closed.
    pub fn kill(&mut self, at: At) {
        self.processes[at].up = false;
        let links = self
            .peers
            .iter()
            .filter(|((a, _), (b, _))| *a == at || *b == at);
        let ends: Vec<_> = links.map(|(end, _)| *end).collect();
        for (end, link) in ends {
            self.peers.remove(&(end, link));
            if end != at {
                let out = self.processes[end].node.on_link_down(self.now, link);
                self.act(end, out);
            }
        }
    }

    /// Ends a process together with its host: the other ends of its links get no event.
    pub fn lose_host(&mut self, at: At) {
        self.processes[at].up = false;
    }

    /// Starts a process again, as a new incarnation.
    pub fn restart(&mut self, at: At) {
        self.restarts += 1;
        let (role, zone) = (self.processes[at].role, self.processes[at].zone);
        let node = self.make(at, role, zone);
        let process = &mut self.processes[at];
        process.node = node;
        process.up = true;
        process.index = LogIndex::default();
        self.publish(at, MemberState::Serving);
    }

    /// Pauses or resumes a process; messages to a paused process are kept.
    pub fn pause(&mut self, at: At, paused: bool) {
        self.processes[at].paused = paused;
    }

    /// Cuts, in both directions, all traffic between `inner` and the other nodes.
    pub fn cut_off(&mut self, inner: &[At]) {
        for a in inner {
            for b in self.all().filter(|b| !inner.contains(b)) {
                self.cut.insert((*a, b));
                self.cut.insert((b, *a));
            }
        }
    }

    /// Ends all cuts. Links across a cut are closed, because their messages were lost.
    pub fn heal(&mut self) {
        let cut = std::mem::take(&mut self.cut);
        let across = self
            .peers
            .iter()
            .filter(|((a, _), (b, _))| cut.contains(&(*a, *b)));
        let across: Vec<_> = across.map(|(a, b)| (*a, *b)).collect();
        for (a, b) in across {
            for (end, link) in [a, b] {
                if self.peers.remove(&(end, link)).is_some() {
                    let out = self.processes[end].node.on_link_down(self.now, link);
                    self.act(end, out);
                }
            }
        }
    }

    pub fn all(&self) -> std::ops::Range<At> {
        0..self.processes.len()
    }

    /// The nodes of one zone, balancers first.
    pub fn zone(zone: usize) -> std::ops::Range<At> {
        let first = CONTROLS + zone * ZONE_NODES;
        first..first + ZONE_NODES
    }

    pub fn balancers(zone: usize) -> std::ops::Range<At> {
        let first = Self::zone(zone).start;
        first..first + BALANCERS
    }

    /// The balancer of a zone with the most children, and these children.
    pub fn busiest_relay(&self, zone: usize) -> (At, Vec<At>) {
        let children = |relay: At| {
            let of = self.peers.iter().filter(move |((a, _), (b, l))| {
                *b == relay && matches!(l, LinkId::Accepted(_)) && self.feed_of(*a) == Some(relay)
            });
            of.map(|((a, _), _)| *a).collect::<BTreeSet<_>>()
        };
        let relay = Self::balancers(zone).max_by_key(|b| children(*b).len());
        let relay = relay.unwrap();
        (relay, children(relay).into_iter().collect())
    }

    /// The nodes that receive their state through `relay`.
    pub fn below(&self, relay: At) -> Vec<At> {
        let passes = |at: &At| {
            let way = std::iter::successors(Some(*at), |at| self.feed_of(*at));
            way.skip(1).take(8).any(|at| at == relay)
        };
        self.all().filter(passes).collect()
    }

    /// The node at the other end of a node's feed.
    pub fn feed_of(&self, at: At) -> Option<At> {
        let feed = self.processes[at].node.feed()?;
        self.peers.get(&(at, feed)).map(|(peer, _)| *peer)
    }

    pub fn node(&self, at: At) -> &Node {
        &self.processes[at].node
    }

    pub fn index(&self, at: At) -> LogIndex {
        self.node(at).config().index
    }

    /// Whether `watcher` suspects `at`.
    pub fn suspects(&self, watcher: At, at: At) -> bool {
        let member = member(at, self.processes[at].role).unwrap();
        self.node(watcher).directory().is_suspected(member)
    }

    /// Whether `watcher` knows the latest record of `at`.
    pub fn knows(&self, watcher: At, at: At) -> bool {
        let member = member(at, self.processes[at].role).unwrap();
        let record = |d: At| self.node(d).directory().get(member).cloned();
        record(watcher) == record(at)
    }

    /// The confirmations of the last change at the first control host.
    pub fn confirmations(&self) -> Confirmations {
        self.node(0)
            .progress_below()
            .confirmations(self.config.index)
    }

    pub fn isolated(&self) -> Vec<At> {
        let isolated = |at: &At| {
            self.processes[*at].up && self.node(*at).serving_status() == ServingStatus::Isolated
        };
        self.all().filter(isolated).collect()
    }

    /// Runs until `done`. Returns the time it took, or `None` if it took longer than `limit`.
    pub fn until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let mut time = Duration::ZERO;
        while !done(self) {
            if time >= limit {
                return None;
            }
            self.step();
            time += self.tick;
        }
        Some(time)
    }

    pub fn run(&mut self, time: Duration) {
        let none = self.until(time, |_| false);
        assert_eq!(none, None);
    }

    fn step(&mut self) {
        self.now.instant += self.tick;
        self.now.wall = self.now.wall.plus(self.tick);
        self.deliver();
        for at in self.all() {
            let process = &mut self.processes[at];
            if !process.up || process.paused {
                continue;
            }
            let mut out = process.node.on_tick(self.now);
            if process.role == NodeRole::Control && self.quorum {
                let index = process.node.config().index;
                let commit = CommitPosition {
                    index,
                    ..CommitPosition::default()
                };
                out.extend(process.node.on_commit(self.now, commit));
            }
            self.act(at, out);
        }
    }

    fn deliver(&mut self) {
        if let Some(rng) = &mut self.reorder_rng {
            let messages = self.in_flight.make_contiguous();
            let is_state = |m: &Message| {
                matches!(
                    m,
                    Message::Records(_)
                        | Message::Config(_)
                        | Message::ConfigDelta(_)
                        | Message::Beacon(_)
                        | Message::Observations(_)
                )
            };
            let doubled: Vec<_> = messages
                .iter()
                .filter(|(_, _, m)| is_state(m))
                .cloned()
                .collect();
            self.in_flight.extend(doubled);
            let states = self
                .in_flight
                .iter()
                .filter(|(_, _, m)| is_state(m))
                .cloned();
            let mut states: Vec<_> = states.collect();
            states.shuffle(rng);
            self.in_flight.retain(|(_, _, m)| !is_state(m));
            self.in_flight.extend(states);
        }
        for _ in 0..self.in_flight.len() {
            let Some((to, link, message)) = self.in_flight.pop_front() else {
                return;
            };
            let Some((from, _)) = self.peers.get(&(to, link)) else {
                continue;
            };
            if !self.processes[to].up {
                continue;
            }
            if self.processes[to].paused || self.cut.contains(&(*from, to)) {
                self.in_flight.push_back((to, link, message));
                continue;
            }
            let out = self.processes[to].node.on_message(self.now, link, message);
            self.act(to, out);
        }
    }

    fn act(&mut self, at: At, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Dial { link, to } => self.dial(at, link, to),
                Output::Send { link, message } => self.send(at, link, message),
                Output::Close { link } => self.close(at, link),
                Output::QueryFreshness { to } => self.ask(at, to),
                Output::Config(config) => {
                    let process = &mut self.processes[at];
                    assert!(
                        config.index > process.index,
                        "the version at {at} went down"
                    );
                    process.index = config.index;
                }
                _ => {}
            }
        }
    }

    fn reaches(&self, from: At, to: At) -> bool {
        let there = &self.processes[to];
        let open = !self.cut.contains(&(from, to)) && !self.cut.contains(&(to, from));
        there.up && !there.paused && open
    }

    fn dial(&mut self, from: At, link: LinkId, to: SocketAddr) {
        let to = at(to);
        if !self.reaches(from, to) {
            let out = self.processes[from].node.on_link_down(self.now, link);
            return self.act(from, out);
        }
        self.next_link += 1;
        let other = LinkId::Accepted(self.next_link);
        self.peers.insert((from, link), (to, other));
        self.peers.insert((to, other), (from, link));
        let out = self.processes[to].node.on_link_up(self.now, other);
        self.act(to, out);
        let out = self.processes[from].node.on_link_up(self.now, link);
        self.act(from, out);
    }

    fn send(&mut self, from: At, link: LinkId, message: Message) {
        let Some((to, other)) = self.peers.get(&(from, link)).copied() else {
            return;
        };
        if self.slow.contains(&to) {
            return self.processes[from].node.on_congested(link);
        }
        self.in_flight.push_back((to, other, message));
    }

    /// Ends the congestion at `at`: the nodes that could not send to it may do so now.
    pub fn end_congestion(&mut self, at: At) {
        self.slow.remove(&at);
        let ends = self.peers.iter().filter(|(_, (b, _))| *b == at);
        let ends: Vec<_> = ends.map(|(end, _)| *end).collect();
        for (end, link) in ends {
            let out = self.processes[end].node.on_writable(self.now, link);
            self.act(end, out);
        }
    }

    fn close(&mut self, at: At, link: LinkId) {
        // Messages that were sent before are still delivered; a bye or refusal among them informs the
        // other end of the close.
        let Some((other, theirs)) = self.peers.get(&(at, link)).copied() else {
            return;
        };
        let is_final = |(to, l, m): &(At, LinkId, Message)| {
            (*to, *l) == (other, theirs) && matches!(m, Message::Bye | Message::Refusal(_))
        };
        if !self.in_flight.iter().any(is_final) {
            self.peers.remove(&(at, link));
            self.peers.remove(&(other, theirs));
        }
    }

    fn ask(&mut self, from: At, to: SocketAddr) {
        let answer = self.reaches(from, at(to)).then(|| {
            let question = FreshnessQuery {
                node: (from as u64).into(),
                zone: self.processes[from].zone.parse().unwrap(),
            };
            self.processes[at(to)]
                .node
                .freshness_reply(self.now, &question)
        });
        let node = &mut self.processes[from].node;
        let out = node.on_freshness_reply(self.now, to, answer.as_ref());
        self.act(from, out);
    }
}

fn member(at: At, role: NodeRole) -> Option<MemberId> {
    match role {
        NodeRole::Control => None,
        NodeRole::Balancer => Some(MemberId::Balancer((at as u64).into())),
        NodeRole::Agent => Some(MemberId::BackendServer(u32::try_from(at).unwrap().into())),
    }
}

fn config() -> CommittedConfig {
    let profile = Profile::standard("orders".parse().unwrap());
    let service = Service {
        id: SERVICE,
        name: "orders".parse().unwrap(),
        profile: profile.name.clone(),
        addresses: vec!["192.0.2.1:443".parse().unwrap()],
    };
    let region = |at: usize| if at < 2 { "flanders" } else { "canelones" };
    let regions = ZONES.iter().enumerate();
    CommittedConfig {
        profiles: [(profile.name.clone(), profile)].into(),
        services: [(service.id, service)].into(),
        regions: regions
            .map(|(at, zone)| (zone.parse().unwrap(), region(at).parse().unwrap()))
            .collect(),
        ..CommittedConfig::default()
    }
}
