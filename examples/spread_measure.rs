//! Measures the dissemination of state among simulated nodes in one process, connected by real links on
//! loopback.
//!
//! `cargo run --release --example spread_measure -- 200` starts that many nodes (a sixth of them
//! balancers) and a control host. For each role it prints the traffic of a node when idle and at the planned
//! rate of changes. It also prints the time until a change is in force on the last node, processor time and
//! memory. Bytes on the wire are estimated from the messages. The traffic of the loopback device is printed
//! for comparison; it is correct only if nothing else uses the device.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill::cluster::hub::SpreadHub;
use dogwoodrill::cluster::{Cluster, link};
use dogwoodrill::context::{Cx, wall_clock};
use dogwoodrill::transport;
use dogwoodrill_core::config::{CommittedConfig, Profile, Service};
use dogwoodrill_core::directory::{MemberId, MemberState, Record, Role};
use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_core::ids::{AvailabilityZone, LogIndex, ServiceId};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;

/// Number of nodes in one zone.
const NODES_PER_ZONE: usize = 100;
/// Every sixth node is a balancer, close to a ratio of 3,600 in 22,600.
const BALANCER_EVERY: usize = 6;
const SERVICES: u16 = 100;
const SETTLE_LIMIT: Duration = Duration::from_secs(10);
const SETTLE_TIME: Duration = Duration::from_secs(4);
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Interval between changes, for 0.22 changes per second.
const CHANGE_INTERVAL: Duration = Duration::from_millis(4545);
const CHANGES: u32 = 2;
/// Number of changes for which the time until the last node has them is measured.
const TIMED_CHANGES: usize = 10;
/// Bytes that HTTP/2, TLS 1.3, TCP and IP add to a message in its own segment.
const OVERHEAD_SENT: f64 = 9.0 + 22.0 + 52.0;
/// Bytes of a separate acknowledgement of one segment.
const OVERHEAD_ACK: f64 = 52.0;

struct SimulatedNode {
    cx: Cx,
    cluster: Arc<Cluster>,
    address: SocketAddr,
}

#[derive(Clone, Copy, Default)]
struct Counts {
    sent_bytes: f64,
    received_bytes: f64,
    sent: f64,
    received: f64,
}

impl Counts {
    fn since(self, before: Self, time: Duration) -> Self {
        let s = time.as_secs_f64();
        Self {
            sent_bytes: (self.sent_bytes - before.sent_bytes) / s,
            received_bytes: (self.received_bytes - before.received_bytes) / s,
            sent: (self.sent - before.sent) / s,
            received: (self.received - before.received) / s,
        }
    }

    /// Estimates the bytes on the wire in both directions, with one segment and one acknowledgement per message.
    fn wire(self) -> f64 {
        let segments = self.sent + self.received;
        self.sent_bytes + self.received_bytes + segments * (OVERHEAD_SENT + OVERHEAD_ACK)
    }
}

impl SimulatedNode {
    fn metric(&self, name: &str) -> f64 {
        let name = format!("dogwoodrill_spread_{name}");
        let families = self.cx.metrics.gather();
        let family = families.iter().find(|f| f.name() == name);
        let metric = family.and_then(|f| f.get_metric().first());
        metric.map_or(0.0, |m| {
            m.get_counter().get_value() + m.get_gauge().get_value()
        })
    }

    fn counts(&self) -> Counts {
        Counts {
            sent_bytes: self.metric("sent_bytes_total"),
            received_bytes: self.metric("received_bytes_total"),
            sent: self.metric("sent_messages_total"),
            received: self.metric("received_messages_total"),
        }
    }

    /// Returns the role for the table: the level in the tree, with agents and balancers distinguished.
    fn role(&self) -> &'static str {
        let own = self.cluster.own_record().borrow().clone();
        let is_balancer = own.is_some_and(|o| o.role == Role::Balancer);
        match self.metric("level") {
            l if l > 2.5 => "control",
            l if l > 1.5 => "region relay",
            l if l > 0.5 => "zone relay",
            _ if is_balancer => "balancer",
            _ => "agent",
        }
    }
}

fn zone_name(at: usize) -> AvailabilityZone {
    format!("zone-{at}").parse().expect("the name is valid")
}

fn config(zones: usize) -> CommittedConfig {
    let profile = Profile::standard("standard".parse().expect("the name is valid"));
    let service = |id: u16| Service {
        id: id.into(),
        name: format!("service-{id}").parse().expect("the name is valid"),
        profile: profile.name.clone(),
        addresses: vec![SocketAddr::from(([192, 0, 2, 1], 1000 + id))],
    };
    let region = |at: usize| format!("region-{}", at / 4).parse().expect("valid");
    CommittedConfig {
        index: LogIndex::new(1),
        services: (1..=SERVICES).map(|id| (id.into(), service(id))).collect(),
        regions: (0..zones).map(|at| (zone_name(at), region(at))).collect(),
        profiles: [(profile.name.clone(), profile)].into(),
        ..CommittedConfig::default()
    }
}

async fn start(
    node: usize,
    zone: usize,
    parent: Option<SocketAddr>,
) -> std::io::Result<SimulatedNode> {
    let key = ClusterKey::new(*b"a key to measure");
    let cx = Cx::new((node as u64).into(), zone_name(zone), key);
    let listener = Arc::new(TcpListener::bind("127.0.0.1:0").await?);
    let address = listener.local_addr()?;
    let cluster = Arc::new(Cluster::default());
    if parent.is_some() {
        cluster.publish(record(&cx, node, address, 1));
    }
    let routes = Routes::new(SpreadHub::server(&cluster));
    let server_cx = cx.clone();
    tokio::spawn(async move {
        transport::serve(&server_cx, listener, routes, CancellationToken::new()).await
    });
    let (link_cx, view) = (cx.clone(), Arc::clone(&cluster));
    tokio::spawn(async move {
        match parent {
            Some(parent) => link::run_node(&link_cx, &view, &[parent]).await,
            None => link::run_control_node(&link_cx, &view, &[]).await,
        }
    });
    Ok(SimulatedNode {
        cx,
        cluster,
        address,
    })
}

fn record(cx: &Cx, node: usize, address: SocketAddr, sequence: u64) -> Record {
    let number = u32::try_from(node).unwrap_or(u32::MAX);
    let service = u16::try_from(node).unwrap_or_default() % SERVICES + 1;
    let is_balancer = node.is_multiple_of(BALANCER_EVERY);
    Record {
        member: if is_balancer {
            MemberId::Balancer(cx.node)
        } else {
            MemberId::BackendServer(number.into())
        },
        zone: cx.zone.clone(),
        incarnation: cx.incarnation,
        sequence: sequence.into(),
        state: MemberState::Serving,
        tunnel: address,
        peer: address,
        eligible_at: wall_clock(),
        role: if is_balancer {
            Role::Balancer
        } else {
            Role::BackendServer {
                service: ServiceId::new(service),
                slots: 2,
                ramp_until: wall_clock(),
            }
        },
    }
}

async fn until(
    nodes: &[SimulatedNode],
    what: impl Fn(&SimulatedNode) -> bool,
    limit: Duration,
) -> bool {
    let all = async {
        for node in nodes {
            while !what(node) {
                sleep(Duration::from_millis(2)).await;
            }
        }
    };
    timeout(limit, all).await.is_ok()
}

/// Puts a configuration with changed profiles in force, as operators do, and returns its index.
fn change(control: &Cluster) -> LogIndex {
    let mut next = CommittedConfig::clone(&control.config());
    next.index = next.index.next();
    for profile in next.profiles.values_mut() {
        profile.version = profile.version.next();
    }
    let index = next.index;
    control.adopt(next);
    index
}

fn is_confirmed(control: &SimulatedNode, index: LogIndex, nodes: usize) -> bool {
    let confirmations = control.cluster.confirmations(index);
    let total: u32 = confirmations.zones.iter().map(|z| z.confirmed).sum();
    confirmations.is_complete() && total as usize == nodes + 1
}

/// Returns the processor time used by this process so far.
fn processor_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<u64>().ok());
    let ticks = ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default();
    Duration::from_millis(ticks * 10)
}

/// Returns the bytes that the loopback device has carried, including headers.
fn loopback_bytes() -> f64 {
    let devices = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = devices.lines().find(|l| l.trim_start().starts_with("lo:"));
    let bytes = line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok());
    bytes.unwrap_or_default()
}

/// Returns the resident memory of this process in bytes.
fn memory() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or_default() * 1024.0
}

fn print_roles(title: &str, nodes: &[SimulatedNode], baseline: &Baseline) {
    let (before, time) = (&baseline.counts, baseline.at.elapsed());
    let all = nodes
        .iter()
        .zip(before)
        .map(|(n, b)| n.counts().since(*b, time).wire());
    #[expect(clippy::cast_precision_loss, reason = "node counts are small")]
    let mean = all.sum::<f64>() / nodes.len() as f64;
    println!("  mean of all nodes: {mean:.0} B/s on the wire (estimated)");
    println!("{title}: per node and second");
    println!("  role          nodes  links kids   msgs  payload B  wire B  max wire B");
    for role in ["agent", "balancer", "zone relay", "region relay", "control"] {
        let of_role: Vec<_> = (0..nodes.len())
            .filter(|i| nodes[*i].role() == role)
            .collect();
        if of_role.is_empty() {
            continue;
        }
        let mean = |f: &dyn Fn(usize) -> f64| {
            #[expect(clippy::cast_precision_loss, reason = "node counts are small")]
            let count = of_role.len() as f64;
            of_role.iter().map(|i| f(*i)).sum::<f64>() / count
        };
        let rate = |i: usize| nodes[i].counts().since(before[i], time);
        let wire = mean(&|i| rate(i).wire());
        let max = of_role.iter().map(|i| rate(*i).wire()).fold(0.0, f64::max);
        println!(
            "  {role:<12} {:>6} {:>6.1} {:>4.1} {:>6.2} {:>10.0} {:>7.0} {:>11.0}",
            of_role.len(),
            mean(&|i| nodes[i].metric("links")),
            mean(&|i| nodes[i].metric("children")),
            mean(&|i| rate(i).sent + rate(i).received),
            mean(&|i| rate(i).sent_bytes + rate(i).received_bytes),
            wire,
            max,
        );
    }
}

/// Counters at the start of a measurement.
struct Baseline {
    at: Instant,
    counts: Vec<Counts>,
    processor: Duration,
    loopback: f64,
}

impl Baseline {
    fn new(nodes: &[SimulatedNode]) -> Self {
        Self {
            at: Instant::now(),
            counts: nodes.iter().map(SimulatedNode::counts).collect(),
            processor: processor_time(),
            loopback: loopback_bytes(),
        }
    }

    fn report(&self, title: &str, nodes: &[SimulatedNode]) {
        let seconds = self.at.elapsed().as_secs_f64();
        let used = processor_time().saturating_sub(self.processor);
        let carried = loopback_bytes() - self.loopback;
        print_roles(title, nodes, self);
        #[expect(clippy::cast_precision_loss, reason = "node counts are small")]
        let nodes = nodes.len() as f64;
        let used = 100.0 * used.as_secs_f64() / seconds / nodes;
        // Each byte is sent by one node and received by another.
        let carried = 2.0 * carried / seconds / nodes;
        println!("  mean: processor {used:.3}% of a core, loopback {carried:.0} B/s both ways");
    }
}

#[tokio::main(worker_threads = 4)]
async fn main() -> Result<(), Box<dyn Error>> {
    let count: usize = std::env::args().nth(1).map_or(Ok(50), |a| a.parse())?;
    let zones = count.div_ceil(NODES_PER_ZONE).max(2);
    let base = memory();
    let control = start(1_000_000, 0, None).await?;
    control.cluster.adopt(config(zones));
    let started = Instant::now();
    let mut nodes = Vec::new();
    for node in 0..count {
        nodes.push(start(node, node / BALANCER_EVERY % zones, Some(control.address)).await?);
    }
    let known = |n: &SimulatedNode| {
        let records = n.cluster.directory().records().count();
        n.cluster.config().index.get() > 0 && records == count
    };
    let complete = until(&nodes, known, SETTLE_LIMIT).await;
    println!(
        "{count} nodes in {zones} zones: full membership on all nodes after {:?} ({complete}), processor {:?}",
        started.elapsed(),
        processor_time()
    );
    nodes.push(control);
    sleep(SETTLE_TIME).await;
    let behind = nodes.iter().filter(|n| !known(n)).count();
    println!("nodes with incomplete state after another {SETTLE_TIME:?}: {behind}");
    let totals = |n: &SimulatedNode| {
        let directory = n.cluster.directory();
        let totals = directory.digests().map(|(_, z)| z.total());
        totals.collect::<Vec<_>>()
    };
    let expected = totals(&nodes[count]);
    let unequal = nodes.iter().filter(|n| totals(n) != expected).count();
    let congested: f64 = nodes.iter().map(|n| n.metric("congested_total")).sum();
    println!("nodes whose digests differ: {unequal}; congested links: {congested}");

    #[expect(clippy::cast_precision_loss, reason = "node counts are small")]
    let per_node = nodes.len() as f64;
    println!(
        "memory: {:.0} KiB a node",
        (memory() - base) / per_node / 1024.0
    );
    let baseline = Baseline::new(&nodes);
    sleep(IDLE_TIME).await;
    baseline.report("idle", &nodes);
    let baseline = Baseline::new(&nodes);
    for _ in 0..CHANGES {
        change(&nodes[count].cluster);
        sleep(CHANGE_INTERVAL).await;
    }
    baseline.report("0.22 changes a second", &nodes);

    let mut times = Vec::new();
    for _ in 0..TIMED_CHANGES {
        let baseline = Instant::now();
        let index = change(&nodes[count].cluster);
        let in_force = |n: &SimulatedNode| n.cluster.config().index >= index;
        if !until(&nodes, in_force, SETTLE_LIMIT).await {
            println!("a change was not in force on all nodes after {SETTLE_LIMIT:?}");
        }
        times.push(baseline.elapsed());
        sleep(Duration::from_millis(300)).await;
    }
    times.sort_unstable();
    println!(
        "in force at the last node: median {:?}, slowest {:?}",
        times[TIMED_CHANGES / 2],
        times[TIMED_CHANGES - 1]
    );
    let last = nodes[count].cluster.config().index;
    let baseline = Instant::now();
    let complete = until(
        &nodes[count..],
        |n| is_confirmed(n, last, count),
        SETTLE_LIMIT,
    )
    .await;
    println!(
        "confirmed by all: {complete}, {:?} later",
        baseline.elapsed()
    );
    Ok(())
}
