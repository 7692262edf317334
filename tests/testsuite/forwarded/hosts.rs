//! Hosts that run the real drivers on loopback. Each host has its own address; all use the same ports.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodrill::context::Cx;
use dogwoodrill::control::handle::Handle;
use dogwoodrill::control::storage::DataFolder;
use dogwoodrill::forwarded::agent::{AgentNode, ServerHandle};
use dogwoodrill::forwarded::balancer::BalancerNode;
use dogwoodrill::forwarded::control::{ControlNode, ControlNodeError, node_id_from_ip};
use dogwoodrill::forwarded::explain::ExplainHandle;
use dogwoodrill::forwarded::journal::Journal;
use dogwoodrill_consensus::store::file::OsFolder;
use dogwoodrill_core::changes::Change;
use dogwoodrill_core::config::{Document, Version};
use dogwoodrill_core::control_status::ControlRole;
use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_core::forwarded::node::{
    AgentSockets, BalancerSockets, ControlHostSettings, NodeAddress, NodeRole, NodeSettings,
    RoleSettings,
};
use dogwoodrill_core::forwarded::node_list::NodeListHash;
use dogwoodrill_core::forwarded::report::{BootId, Heartbeat, ServerPresence};
use dogwoodrill_core::forwarded::server::{ServerState, ServerStatement};
use dogwoodrill_core::forwarded::service_map::RouteTable;
use dogwoodrill_core::ids::{LogIndex, Sequence};
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_platform::document;
use dogwoodrill_platform::packet::PlatformPacketFormat;
use dogwoodrill_soak::network::free_port;
use dogwoodrill_wire::convert::forwarded::Datagram;
use dogwoodrill_wire::proto::forwarded as wire;
use prost::Message;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::support::HANG_GUARD;

pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
pub const CATCH_UP: Duration = Duration::from_secs(4);
pub const CONFIG: &str = r#"{"version":VERSION,"routes":[{"name":"r","host":"198.18.0.1","path_prefix":"/443/",
"timeout_ms":1500,"target_latency_ms":100,"priority":1,"service":"orders"}],
"services":[{"name":"orders"}],"limits":{"idle_timeout_ms":15000}}"#;

/// Ports that all hosts of a test use.
#[derive(Clone, Copy)]
pub struct Ports {
    pub inner: u16,
    pub packets: u16,
}

pub fn free_ports() -> Ports {
    Ports {
        inner: free_port().unwrap(),
        packets: free_port().unwrap(),
    }
}

/// Returns the loopback address of a host. Each test needs its own number, because hosts with the same
/// address and ports would conflict.
pub fn loopback_ip(test: u8, host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 77, test, host)
}

pub type Seeds = watch::Sender<Arc<[NodeAddress]>>;

pub fn addresses(ips: &[Ipv4Addr]) -> Arc<[NodeAddress]> {
    let role = NodeRole::Control;
    ips.iter().map(|ip| NodeAddress { ip: *ip, role }).collect()
}

pub fn settings(
    ip: Ipv4Addr,
    ports: Ports,
    seeds: &[Ipv4Addr],
    role: RoleSettings,
) -> NodeSettings {
    NodeSettings {
        name: format!("host-{ip}"),
        ip,
        bind_ip: ip,
        zone: "north".parse().unwrap(),
        inner_port: ports.inner,
        seeds: seeds.to_vec(),
        stop_grace: Duration::from_millis(200),
        max_flow_age: Duration::from_mins(1),
        report_interval: Duration::from_millis(500),
        role,
    }
}

pub fn cx(ip: Ipv4Addr) -> Cx {
    let key = ClusterKey::new([0; 16]);
    Cx::new(node_id_from_ip(ip), "north".parse().unwrap(), key)
}

pub struct Running<E> {
    pub token: CancellationToken,
    pub task: JoinHandle<Result<(), E>>,
    pub seeds: Seeds,
}

pub struct ControlHost {
    pub handle: Handle,
    pub running: Running<ControlNodeError>,
}

pub fn read(body: &[u8]) -> Result<RouteTable, Box<dyn std::error::Error + Send + Sync>> {
    Ok(document::parse(body)?)
}

pub async fn start_control_host(
    ip: Ipv4Addr,
    ports: Ports,
    seeds: &[Ipv4Addr],
    data: &Path,
    bootstrap: bool,
) -> ControlHost {
    let folder = Box::new(OsFolder::open(data).unwrap());
    start_control_host_with_folder(ip, ports, seeds, data, bootstrap, folder, 1).await
}

/// Starts a host whose data folder is `folder`, of a cluster that tolerates the loss of `tolerated_losses` hosts.
pub async fn start_control_host_with_folder(
    ip: Ipv4Addr,
    ports: Ports,
    seeds: &[Ipv4Addr],
    data: &Path,
    bootstrap: bool,
    folder: DataFolder,
    tolerated_losses: usize,
) -> ControlHost {
    let host_settings = ControlHostSettings {
        operators: SocketAddrV4::new(ip, 0),
        data_dir: data.to_owned(),
        bootstrap,
        tolerated_losses,
        catch_up: CATCH_UP,
    };
    let role = RoleSettings::Control(host_settings.clone());
    let settings = NodeSettings {
        stop_grace: HANG_GUARD,
        ..settings(ip, ports, seeds, role)
    };
    let journal = Journal::start("test");
    let cx = cx(ip);
    let node =
        ControlNode::bind_with_folder(&cx, &settings, &host_settings, folder, read, journal).await;
    let node = node.unwrap();
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

impl Running<std::io::Error> {
    pub async fn stop(self) {
        self.token.cancel();
        let ended = timeout(HANG_GUARD, self.task).await;
        ended.unwrap().unwrap().unwrap();
        drop(self.seeds);
    }
}

impl ControlHost {
    /// Aborts the host like a crash, without a leave notice.
    pub async fn kill(self) {
        self.running.task.abort();
        drop(self.running.task.await);
    }

    /// Stops the host as at SIGTERM.
    pub async fn stop(self) {
        self.running.token.cancel();
        let ended = timeout(HANG_GUARD, self.running.task).await;
        ended.expect("the host did not end").unwrap().unwrap();
    }

    pub async fn is_leader(&self) -> bool {
        let status = self.handle.status().await;
        status.is_ok_and(|s| s.role == ControlRole::Leader)
    }

    /// Returns whether the host is one of `count` voters. It may receive the list of voters before it becomes
    /// one.
    pub async fn is_voter_among(&self, count: usize) -> bool {
        let Ok(status) = self.handle.status().await else {
            return false;
        };
        let voters = status.members.iter().filter(|m| m.voter);
        let own = voters.clone().any(|m| m.host.node == status.node);
        // A lost host at the same address has the same node id, so the role is checked too.
        own && voters.count() == count && status.role != ControlRole::Learner
    }
}

/// What a host that never answers has seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilentHostEvent {
    Connected,
    Disconnected,
}

/// Listens for messages between nodes at `ips` without ever answering. Returns the events in their order.
pub async fn silent_hosts(
    ips: &[Ipv4Addr],
    ports: Ports,
) -> mpsc::UnboundedReceiver<SilentHostEvent> {
    let (tx, rx) = mpsc::unbounded_channel();
    for ip in ips {
        let listener = TcpListener::bind((*ip, ports.inner)).await.unwrap();
        let tx = tx.clone();
        tokio::spawn(async move {
            let mut buf = [0; 1024];
            while let Ok((mut stream, _)) = listener.accept().await {
                // The test may have ended.
                let _ended = tx.send(SilentHostEvent::Connected);
                while stream.read(&mut buf).await.is_ok_and(|len| len > 0) {}
                let _ended = tx.send(SilentHostEvent::Disconnected);
            }
        });
    }
    rx
}

pub fn config_document(version: u64) -> Bytes {
    CONFIG.replace("VERSION", &version.to_string()).into()
}

/// Proposes a document to the hosts until the leader accepts it. Returns the version that is then committed.
pub async fn put_document(hosts: &[&ControlHost], version: u64) -> u64 {
    let document = Document {
        version: Version::new(version),
        body: config_document(version),
    };
    let proposed = async || {
        for host in hosts {
            let change = Change::Document(document.clone());
            if let Ok(accepted) = host.handle.propose(None, change).await {
                return Some(accepted.version.get());
            }
        }
        None
    };
    poll_until("no host accepted the document", proposed).await
}

pub async fn read_document(hosts: &[&ControlHost]) -> Bytes {
    let read = async || {
        for host in hosts {
            if let Ok(config) = host.handle.read().await {
                return Some(config.document.as_ref().unwrap().body.clone());
            }
        }
        None
    };
    poll_until("no host answered the read", read).await
}

/// Calls `attempt` at intervals until it returns a value. Fails with `failure` if it never does.
pub async fn poll_until<T>(failure: &str, attempt: impl AsyncFn() -> Option<T>) -> T {
    let reached = async {
        loop {
            if let Some(value) = attempt().await {
                return value;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(HANG_GUARD, reached).await.expect(failure)
}

pub async fn wait_until_voter(host: &ControlHost, among: usize) {
    let is_voter = async || host.is_voter_among(among).await.then_some(());
    poll_until("the host did not become a voter", is_voter).await;
}

/// Waits until the voters that `host` knows of are those at `ips`.
pub async fn wait_until_voters_are(host: &ControlHost, ips: &[Ipv4Addr]) {
    let expected: BTreeSet<_> = ips.iter().map(|ip| node_id_from_ip(*ip)).collect();
    let are_voters = async || {
        let status = host.handle.status().await.ok()?;
        let voters = status.members.iter().filter(|m| m.voter);
        let voters: BTreeSet<_> = voters.map(|m| m.host.node).collect();
        (voters == expected).then_some(())
    };
    poll_until("the hosts did not become the voters", are_voters).await;
}

/// Waits until one of the hosts lists the host at `ip` as a learner.
pub async fn wait_until_learner(hosts: &[ControlHost], ip: Ipv4Addr) {
    let node = node_id_from_ip(ip);
    let is_learner = async || {
        for host in hosts {
            let Ok(status) = host.handle.status().await else {
                continue;
            };
            let mut learners = status.members.iter().filter(|m| !m.voter);
            if learners.any(|m| m.host.node == node) {
                return Some(());
            }
        }
        None
    };
    poll_until("the host did not become a learner", is_learner).await;
}

/// Returns the index of the host that is the leader.
pub async fn leader_index(hosts: &[ControlHost]) -> usize {
    let leader = async || {
        for (n, host) in hosts.iter().enumerate() {
            if host.is_leader().await {
                return Some(n);
            }
        }
        None
    };
    poll_until("no host is the leader", leader).await
}

pub fn temp_dirs<const N: usize>() -> [TempDir; N] {
    std::array::from_fn(|_| tempfile::tempdir().unwrap())
}

pub async fn bootstrap_cluster(
    test: u8,
    ports: Ports,
    data: &[TempDir; 3],
) -> (Vec<Ipv4Addr>, Vec<ControlHost>) {
    let seeds: Vec<_> = (1..=3).map(|host| loopback_ip(test, host)).collect();
    let mut hosts = Vec::new();
    for (ip, data) in seeds.iter().zip(data) {
        hosts.push(start_control_host(*ip, ports, &seeds, data.path(), true).await);
    }
    (seeds, hosts)
}

pub fn encode_packet(flags: u8, caller: SocketAddrV4, seq: u32, ack: u32, data: &[u8]) -> Vec<u8> {
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

/// Encodes a packet of the same flow in the opposite direction.
pub fn encode_reply(packet: &[u8], flags: u8, seq: u32, data: &[u8]) -> Vec<u8> {
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

/// Answers an opening packet with SYN and ACK, and a data packet with the same data.
pub async fn echo_server(socket: UdpSocket) {
    let mut buf = [0; 2048];
    loop {
        let (len, from) = socket.recv_from(&mut buf).await.unwrap();
        let packet = &buf[..len];
        let answer = match packet[30] {
            2 => encode_reply(packet, 66, 5000, b""),
            _ => encode_reply(packet, 64, 5001, &packet[36..]),
        };
        socket.send_to(&answer, from).await.unwrap();
    }
}

pub async fn start_agent(
    test: u8,
    host: u8,
    ports: Ports,
    seeds: &[Ipv4Addr],
) -> (ServerHandle, ExplainHandle, Running<std::io::Error>) {
    let ip = loopback_ip(test, host);
    let server = UdpSocket::bind((ip, 0)).await.unwrap();
    let SocketAddr::V4(address) = server.local_addr().unwrap() else {
        panic!("the server's address is IPv4");
    };
    // The agent checks whether this port is open when a report is late.
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
        PlatformPacketFormat,
        Journal::start("test"),
    );
    let node = node.unwrap();
    let (handle, explain) = (node.handle(), node.explain());
    let (tx, rx) = watch::channel(addresses(seeds));
    let token = CancellationToken::new();
    let task = tokio::spawn(node.run(rx, token.clone()));
    let running = Running {
        token,
        task,
        seeds: tx,
    };
    (handle, explain, running)
}

pub fn server_report(handle: &ServerHandle, sequence: u64) -> ServerStatement {
    ServerStatement {
        id: "server".into(),
        started_at: UnixMillis::new(1),
        sequence: Sequence::from(sequence),
        service: "orders".into(),
        address: handle.server_address(),
        zone: "north".parse().unwrap(),
        slots: 2,
        state: ServerState::Ready,
        cold_remaining: Duration::ZERO,
    }
}

/// A node that consists of the socket for messages between nodes.
pub struct HeartbeatSocket {
    socket: UdpSocket,
    port: u16,
}

impl HeartbeatSocket {
    pub async fn bind(ip: Ipv4Addr, ports: Ports) -> Self {
        let socket = UdpSocket::bind((ip, ports.inner)).await.unwrap();
        let port = ports.inner;
        Self { socket, port }
    }

    /// Sends a heartbeat of a balancer that holds the list `held`, and returns the answer of the host at `to`. The
    /// host's socket is bound, so the heartbeat is not lost.
    pub async fn exchange(&self, to: Ipv4Addr, held: Option<NodeListHash>) -> Datagram {
        let heartbeat = Heartbeat {
            boot: BootId::new(1),
            role: NodeRole::Balancer,
            index: LogIndex::default(),
            last_seen_age: None,
            report: None,
            server_presence: ServerPresence::default(),
        };
        let sent = Datagram {
            node_list_hash: held,
            ..Datagram::from(heartbeat)
        };
        let bytes = wire::Datagram::from(&sent).encode_to_vec();
        let mut buf = [0; 2048];
        self.socket.send_to(&bytes, (to, self.port)).await.unwrap();
        let answered = async {
            loop {
                let (len, from) = self.socket.recv_from(&mut buf).await.unwrap();
                let answer = wire::Datagram::decode(&buf[..len]).unwrap();
                let answer = Datagram::try_from(answer).unwrap();
                if from.ip() == to && answer.node_list_hash.is_some() {
                    return answer;
                }
            }
        };
        timeout(HANG_GUARD, answered).await.unwrap()
    }
}

/// Starts a balancer and waits until it is ready.
pub async fn start_balancer(
    cx: &Cx,
    ip: Ipv4Addr,
    ports: Ports,
    seeds: &[Ipv4Addr],
) -> (ExplainHandle, Running<std::io::Error>) {
    let sockets = BalancerSockets {
        packets: SocketAddrV4::new(ip, ports.packets),
        ready: SocketAddrV4::new(ip, 0),
    };
    let settings = settings(ip, ports, seeds, RoleSettings::Balancer(sockets));
    let journal = Journal::start("test");
    let node = BalancerNode::bind(cx, &settings, sockets, PlatformPacketFormat, journal);
    let node = node.unwrap();
    let (mut ready, explain) = (node.ready(), node.explain());
    let (tx, rx) = watch::channel(addresses(seeds));
    let token = CancellationToken::new();
    let task = tokio::spawn(node.run(rx, token.clone()));
    timeout(HANG_GUARD, ready.wait_for(|ready| *ready))
        .await
        .unwrap()
        .unwrap();
    let running = Running {
        token,
        task,
        seeds: tx,
    };
    (explain, running)
}

/// Lets the server of an agent report until the returned task is aborted.
pub fn keep_reporting(server: ServerHandle) -> JoinHandle<()> {
    tokio::spawn(async move {
        for sequence in 1.. {
            server.report(server_report(&server, sequence)).await;
            sleep(Duration::from_millis(300)).await;
        }
    })
}

/// Opens a flow through a balancer. The opening packet is retransmitted until it is answered.
pub async fn open_flow(caller: &UdpSocket, end: SocketAddrV4, balancer: Ipv4Addr, ports: Ports) {
    let mut buf = [0; 2048];
    let opened = async {
        for copy in 0.. {
            let syn = encode_packet(2, end, 100, copy, b"");
            let to = (balancer, ports.packets);
            caller.send_to(&syn, to).await.unwrap();
            if timeout(Duration::from_millis(200), caller.recv(&mut buf))
                .await
                .is_ok()
            {
                return;
            }
        }
    };
    timeout(HANG_GUARD, opened).await.unwrap();
    assert_eq!(buf[30], 66, "the answer is not a SYN with ACK");
}
