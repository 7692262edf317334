//! Forwarded flows by the real drivers on loopback: each host has an address of its own, the ports are
//! the same on all.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodrill::context::Cx;
use dogwoodrill::control::handle::Handle;
use dogwoodrill::forwarded::agent::{AgentNode, ServerHandle};
use dogwoodrill::forwarded::balancer::BalancerNode;
use dogwoodrill::forwarded::control::{ControlNode, ControlNodeError, node_of};
use dogwoodrill::forwarded::journal::Journal;
use dogwoodrill_core::changes::Change;
use dogwoodrill_core::config::{Document, Version};
use dogwoodrill_core::control_status::ControlRole;
use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_core::forwarded::mesh::NodeAddress;
use dogwoodrill_core::forwarded::node::{
    AgentSockets, BalancerSockets, ControlPlaces, NodeRole, NodeSettings, RoleSettings,
};
use dogwoodrill_core::forwarded::server::{ServerState, ServerStatement};
use dogwoodrill_core::forwarded::service_map::RouteTable;
use dogwoodrill_core::ids::Sequence;
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_platform::document;
use dogwoodrill_platform::packet::PlatformPackets;
use tempfile::TempDir;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::support::HANG_GUARD;

const POLL_PAUSE: Duration = Duration::from_millis(20);
const CONFIG: &str = r#"{"version":VERSION,"routes":[{"name":"r","host":"198.18.0.1","path_prefix":"/443/",
"timeout_ms":1500,"target_latency_ms":100,"priority":1,"service":"orders"}],
"services":[{"name":"orders"}],"limits":{"idle_timeout_ms":15000}}"#;

/// Ports that are free on all loopback addresses that a test uses.
#[derive(Clone, Copy)]
struct Ports {
    inner: u16,
    packets: u16,
}

fn free_port() -> u16 {
    let socket = std::net::UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).unwrap();
    let listener = std::net::TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).unwrap();
    // A port that is free for one protocol is for the other too, but for rare cases that binding shows.
    let _kept = listener;
    socket.local_addr().unwrap().port()
}

fn ports() -> Ports {
    Ports {
        inner: free_port(),
        packets: free_port(),
    }
}

/// Loopback addresses of one test; tests must not share any, since ports are the same on all.
fn ip(test: u8, host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 77, test, host)
}

type Seeds = watch::Sender<Arc<[NodeAddress]>>;

fn addresses(ips: &[Ipv4Addr]) -> Arc<[NodeAddress]> {
    let role = NodeRole::Control;
    ips.iter().map(|ip| NodeAddress { ip: *ip, role }).collect()
}

fn settings(ip: Ipv4Addr, ports: Ports, seeds: &[Ipv4Addr], role: RoleSettings) -> NodeSettings {
    NodeSettings {
        name: format!("host-{ip}"),
        ip,
        zone: "north".parse().unwrap(),
        inner_port: ports.inner,
        seeds: seeds.to_vec(),
        stop_grace: Duration::from_millis(200),
        max_flow_age: Duration::from_mins(1),
        report_interval: Duration::from_millis(500),
        role,
    }
}

fn cx(ip: Ipv4Addr) -> Cx {
    let key = ClusterKey::new([0; 16]);
    Cx::new(node_of(ip), "north".parse().unwrap(), key)
}

struct Running<E> {
    token: CancellationToken,
    task: JoinHandle<Result<(), E>>,
    seeds: Seeds,
}

struct ControlHost {
    handle: Handle,
    running: Running<ControlNodeError>,
}

fn read(body: &[u8]) -> Result<RouteTable, Box<dyn std::error::Error + Send + Sync>> {
    Ok(document::read(body)?)
}

async fn control(
    ip: Ipv4Addr,
    ports: Ports,
    seeds: &[Ipv4Addr],
    data: &Path,
    founding: bool,
) -> ControlHost {
    let places = ControlPlaces {
        operators: SocketAddrV4::new(ip, 0),
        data: data.to_owned(),
        founding,
        tolerated_losses: 1,
    };
    let role = RoleSettings::Control(places.clone());
    let settings = settings(ip, ports, seeds, role);
    let journal = Journal::start("test");
    let node = ControlNode::bind(&cx(ip), &settings, &places, read, journal)
        .await
        .unwrap();
    let (tx, rx) = watch::channel(addresses(seeds));
    let token = CancellationToken::new();
    ControlHost {
        handle: node.handle(),
        running: Running {
            task: tokio::spawn(node.run(rx, token.clone())),
            token,
            seeds: tx,
        },
    }
}

impl ControlHost {
    /// Ends it as a lost host ends, without a farewell.
    async fn kill(self) {
        self.running.task.abort();
        drop(self.running.task.await);
    }

    /// Whether it is one of `count` voters; it may hear of the voters before it is one.
    async fn votes_among(&self, count: usize) -> bool {
        let Ok(status) = self.handle.status().await else {
            return false;
        };
        let voters = status.members.iter().filter(|m| m.voter);
        let own = voters.clone().any(|m| m.host.node == status.node);
        // The lost host on the same address has the same number.
        own && voters.count() == count && status.role != ControlRole::Learner
    }
}

fn body(version: u64) -> Bytes {
    CONFIG.replace("VERSION", &version.to_string()).into()
}

/// Puts a document in force at whichever host leads, and tells which version stands.
async fn put(hosts: &[&ControlHost], version: u64) -> u64 {
    let document = Document {
        version: Version::new(version),
        body: body(version),
    };
    let tried = async {
        loop {
            for host in hosts {
                let change = Change::Document(document.clone());
                if let Ok(accepted) = host.handle.propose(None, change).await {
                    return accepted.version.get();
                }
            }
            sleep(POLL_PAUSE).await;
        }
    };
    timeout(HANG_GUARD, tried)
        .await
        .expect("no host took the document")
}

async fn read_back(hosts: &[&ControlHost]) -> Bytes {
    let tried = async {
        loop {
            for host in hosts {
                if let Ok(config) = host.handle.read().await {
                    return config.document.as_ref().unwrap().body.clone();
                }
            }
            sleep(POLL_PAUSE).await;
        }
    };
    timeout(HANG_GUARD, tried).await.expect("no host was sure")
}

async fn wait_for_vote(host: &ControlHost, among: usize) {
    let reached = async {
        while !host.votes_among(among).await {
            sleep(POLL_PAUSE).await;
        }
    };
    timeout(HANG_GUARD, reached)
        .await
        .expect("the host got no vote");
}

fn folders<const N: usize>() -> [TempDir; N] {
    std::array::from_fn(|_| tempfile::tempdir().unwrap())
}

async fn found(test: u8, ports: Ports, data: &[TempDir; 3]) -> (Vec<Ipv4Addr>, Vec<ControlHost>) {
    let seeds: Vec<_> = (1..=3).map(|host| ip(test, host)).collect();
    let mut hosts = Vec::new();
    for (ip, data) in seeds.iter().zip(data) {
        hosts.push(control(*ip, ports, &seeds, data.path(), true).await);
    }
    (seeds, hosts)
}

/// Founders that cannot ask each other first come out as one cluster, in which the highest version
/// stands whatever comes again.
#[tokio::test]
async fn founders_agree_and_the_highest_version_stands() {
    let (ports, data) = (ports(), folders::<3>());
    let (_, hosts) = found(1, ports, &data).await;
    let hosts: Vec<_> = hosts.iter().collect();
    let stood = [
        put(&hosts, 7).await,
        put(&hosts, 9).await,
        put(&hosts, 9).await,
        put(&hosts, 8).await,
    ];
    assert_eq!(stood, [7, 9, 9, 9]);
    assert_eq!(read_back(&hosts).await, body(9));
}

/// A host with an empty disk takes the place of one that is gone, while its settings change all the
/// time; then another founder may be lost.
#[tokio::test]
async fn an_empty_host_takes_the_place_of_a_lost_one() {
    let (ports, data, more) = (ports(), folders::<3>(), folders::<1>());
    let (mut seeds, mut hosts) = found(2, ports, &data).await;
    put(&hosts.iter().collect::<Vec<_>>(), 3).await;
    hosts.remove(0).kill().await;
    seeds[0] = ip(2, 4);
    let joining = control(seeds[0], ports, &seeds, more[0].path(), false).await;
    let changes = async {
        loop {
            joining.running.seeds.send_replace(addresses(&seeds));
            sleep(POLL_PAUSE).await;
        }
    };
    tokio::select! {
        () = changes => {}
        () = wait_for_vote(&joining, 3) => {}
    }
    hosts.remove(0).kill().await;
    let hosts = [&joining, &hosts[0]];
    assert_eq!(put(&hosts, 4).await, 4);
    assert_eq!(read_back(&hosts).await, body(4));
}

/// The disk of a host is gone, and the host is back at its address.
#[tokio::test]
async fn a_wiped_host_joins_again_under_a_new_identity() {
    let (ports, data, more) = (ports(), folders::<3>(), folders::<1>());
    let (seeds, mut hosts) = found(3, ports, &data).await;
    put(&hosts.iter().collect::<Vec<_>>(), 3).await;
    hosts.remove(2).kill().await;
    let wiped = control(seeds[2], ports, &seeds, more[0].path(), false).await;
    wait_for_vote(&wiped, 3).await;
    hosts.remove(0).kill().await;
    let hosts = [&wiped, &hosts[0]];
    assert_eq!(read_back(&hosts).await, body(3));
    assert_eq!(put(&hosts, 5).await, 5);
}

/// All processes end at once and come back with their disks.
#[tokio::test]
async fn what_was_accepted_is_there_after_all_hosts_restarted() {
    let (ports, data) = (ports(), folders::<3>());
    let (seeds, hosts) = found(4, ports, &data).await;
    put(&hosts.iter().collect::<Vec<_>>(), 12).await;
    for host in hosts {
        host.kill().await;
    }
    let mut back = Vec::new();
    for (ip, data) in seeds.iter().zip(&data) {
        back.push(control(*ip, ports, &seeds, data.path(), true).await);
    }
    assert_eq!(read_back(&back.iter().collect::<Vec<_>>()).await, body(12));
}

fn packet(flags: u8, caller: SocketAddrV4, seq: u32, ack: u32, data: &[u8]) -> Vec<u8> {
    let mut packet = vec![0; 36];
    packet[0..4].copy_from_slice(&seq.to_be_bytes());
    packet[4..8].copy_from_slice(&ack.to_be_bytes());
    packet[16..20].copy_from_slice(&caller.ip().octets());
    packet[20..22].copy_from_slice(&caller.port().to_be_bytes());
    packet[22..24].copy_from_slice(&443_u16.to_be_bytes());
    packet[24..28].copy_from_slice(&[198, 18, 0, 1]);
    packet[28..30].copy_from_slice(&u16::try_from(data.len()).unwrap().to_be_bytes());
    packet[30] = flags;
    packet.extend_from_slice(data);
    packet
}

/// The same packet the other way.
fn turned(packet: &[u8], flags: u8, seq: u32, data: &[u8]) -> Vec<u8> {
    let mut back = packet[..36].to_vec();
    back[0..4].copy_from_slice(&seq.to_be_bytes());
    back[16..20].copy_from_slice(&packet[24..28]);
    back[20..22].copy_from_slice(&packet[22..24]);
    back[22..24].copy_from_slice(&packet[20..22]);
    back[24..28].copy_from_slice(&packet[16..20]);
    back[28..30].copy_from_slice(&u16::try_from(data.len()).unwrap().to_be_bytes());
    back[30] = flags;
    back.extend_from_slice(data);
    back
}

/// Answers an opening with its own position, and data with the same data.
async fn echo_server(socket: UdpSocket) {
    let mut buf = [0; 2048];
    loop {
        let (len, from) = socket.recv_from(&mut buf).await.unwrap();
        let packet = &buf[..len];
        let answer = match packet[30] {
            2 => turned(packet, 66, 5000, b""),
            _ => turned(packet, 64, 5001, &packet[36..]),
        };
        socket.send_to(&answer, from).await.unwrap();
    }
}

async fn agent(
    test: u8,
    host: u8,
    ports: Ports,
    seeds: &[Ipv4Addr],
) -> (ServerHandle, Running<std::io::Error>) {
    let ip = ip(test, host);
    let server = UdpSocket::bind((ip, 0)).await.unwrap();
    let SocketAddr::V4(address) = server.local_addr().unwrap() else {
        panic!("the server's address is IPv4");
    };
    // The agent looks whether something listens here when a report is late.
    let listener = TcpListener::bind(address).await.unwrap();
    tokio::spawn(async move {
        echo_server(server).await;
        drop(listener);
    });
    let sockets = AgentSockets {
        packets: SocketAddrV4::new(ip, ports.packets),
        outbound: SocketAddrV4::new(ip, 0),
        reports: SocketAddrV4::new(ip, 0),
        ready: None,
        server: address,
        service: None,
    };
    let settings = settings(ip, ports, seeds, RoleSettings::Agent(sockets.clone()));
    let node = AgentNode::bind(
        &cx(ip),
        &settings,
        &sockets,
        PlatformPackets,
        Journal::start("test"),
    );
    let node = node.unwrap();
    let handle = node.handle();
    let (tx, rx) = watch::channel(addresses(seeds));
    let token = CancellationToken::new();
    let task = tokio::spawn(node.run(rx, token.clone()));
    let running = Running {
        token,
        task,
        seeds: tx,
    };
    (handle, running)
}

fn statement(handle: &ServerHandle, sequence: u64) -> ServerStatement {
    ServerStatement {
        id: "server".into(),
        born: UnixMillis::new(1),
        sequence: Sequence::from(sequence),
        service: "orders".into(),
        address: handle.server(),
        zone: "north".parse().unwrap(),
        slots: 2,
        state: ServerState::Ready,
        cold_remaining: Duration::ZERO,
    }
}

/// From the caller's first packet to the server's answer, through sockets of all roles, with the
/// configuration fetched from the control hosts.
#[tokio::test]
async fn a_flow_is_served_through_all_roles() {
    let (ports, data) = (ports(), folders::<3>());
    let (seeds, hosts) = found(5, ports, &data).await;
    put(&hosts.iter().collect::<Vec<_>>(), 2).await;
    let (server, agent) = agent(5, 10, ports, &seeds).await;
    let reports = tokio::spawn(async move {
        for sequence in 1.. {
            server.report(statement(&server, sequence)).await;
            sleep(Duration::from_millis(300)).await;
        }
    });
    let balancer_ip = ip(5, 20);
    let sockets = BalancerSockets {
        packets: SocketAddrV4::new(balancer_ip, ports.packets),
        ready: SocketAddrV4::new(balancer_ip, 0),
    };
    let settings = settings(balancer_ip, ports, &seeds, RoleSettings::Balancer(sockets));
    let journal = Journal::start("test");
    let node = BalancerNode::bind(
        &cx(balancer_ip),
        &settings,
        sockets,
        PlatformPackets,
        journal,
    );
    let node = node.unwrap();
    let mut ready = node.ready();
    let (_seeds, rx) = watch::channel(addresses(&seeds));
    let token = CancellationToken::new();
    let balancer = tokio::spawn(node.run(rx, token.clone()));
    timeout(HANG_GUARD, ready.wait_for(|ready| *ready))
        .await
        .unwrap()
        .unwrap();

    let caller_ip = ip(5, 30);
    let caller = UdpSocket::bind((caller_ip, ports.packets)).await.unwrap();
    let end = SocketAddrV4::new(caller_ip, 40_001);
    let mut buf = [0; 2048];
    let opened = async {
        for copy in 0.. {
            let syn = packet(2, end, 100, copy, b"");
            caller
                .send_to(&syn, (balancer_ip, ports.packets))
                .await
                .unwrap();
            if let Ok(got) = timeout(Duration::from_millis(200), caller.recv(&mut buf)).await {
                return got.unwrap();
            }
        }
        unreachable!("copies do not end");
    };
    timeout(HANG_GUARD, opened).await.unwrap();
    assert_eq!(buf[30], 66, "an answer to the opening");
    let request = packet(64, end, 101, 5001, b"order");
    caller
        .send_to(&request, (balancer_ip, ports.packets))
        .await
        .unwrap();
    let answered = async {
        loop {
            let len = caller.recv(&mut buf).await.unwrap();
            if len > 36 {
                return buf[36..len].to_vec();
            }
        }
    };
    assert_eq!(timeout(HANG_GUARD, answered).await.unwrap(), b"order");

    reports.abort();
    token.cancel();
    agent.token.cancel();
    timeout(HANG_GUARD, balancer)
        .await
        .unwrap()
        .unwrap()
        .unwrap();
    timeout(HANG_GUARD, agent.task)
        .await
        .unwrap()
        .unwrap()
        .unwrap();
    drop(agent.seeds);
}
