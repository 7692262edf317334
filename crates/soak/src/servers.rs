//! Backend servers, each on the same host as its agent.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use dogwoodrill_core::forwarded::packet::{Flags, FlowKey, Header, PacketFormat, Purpose, Trail};
use dogwoodrill_platform::packet::{HEADER_BYTES, PlatformPacketFormat, bounce, encode};
use http::Method;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::{interval, sleep};
use tokio_util::sync::CancellationToken;

use crate::checker::{Checker, IncarnationId, NEW_FLOW_GRACE, RequestId};
use crate::http::call;
use crate::network::{Host, Layout, agents, lock};

/// Time between two reports to the agent; equals `heartbeat_ms` in the settings that [`crate::fleet`] writes.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time that a server takes to process a request.
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Time within which a process that was started executes its program, also on a busy machine.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
const RELEASE_INTERVAL: Duration = Duration::from_millis(5);
/// Number of concurrent requests that a server reports as its limit.
const SLOTS: u32 = 2;
/// Time for which a draining server still serves.
const DRAIN_TIME: Duration = Duration::from_millis(1500);
/// Size of a response in bytes: the request's number followed by padding.
const RESPONSE_BYTES: usize = 200;
/// Largest distance of a valid acknowledgement from the server's initial sequence number.
const ACK_WINDOW: u32 = 1 << 20;

/// Returns the service of a host's server.
pub const fn service(host: Host) -> &'static str {
    if host.is_multiple_of(3) {
        "sheets"
    } else {
        "orders"
    }
}

#[derive(Debug)]
struct Flow {
    seq: u32,
    /// The next sequence number expected from the caller.
    next: u32,
    sent: u32,
    /// The last response, for retransmission.
    response: Option<Vec<u8>>,
    is_open: bool,
}

/// A backend server that can be stopped and started again.
#[derive(Debug)]
pub struct Server {
    host: Host,
    layout: Layout,
    checker: Arc<Checker>,
    stop: CancellationToken,
    current: Mutex<Option<CancellationToken>>,
    /// Locked as long as an incarnation holds its sockets.
    sockets: Arc<tokio::sync::Mutex<()>>,
    drain: Mutex<Option<Instant>>,
    /// When the agent acknowledged that the server is draining.
    drained_at: Mutex<Option<Instant>>,
}

/// Starts the servers of all agents.
pub async fn start(
    layout: Layout,
    checker: &Arc<Checker>,
    stop: &CancellationToken,
) -> io::Result<Vec<Arc<Server>>> {
    let mut servers = Vec::new();
    for host in agents() {
        let server = Arc::new(Server {
            host,
            layout,
            checker: Arc::clone(checker),
            stop: stop.clone(),
            current: Mutex::default(),
            sockets: Arc::default(),
            drain: Mutex::default(),
            drained_at: Mutex::default(),
        });
        server.start().await?;
        servers.push(server);
    }
    Ok(servers)
}

/// Binds the sockets of a server. A process that the fleet is just starting holds copies of the sockets of an earlier
/// incarnation until it executes its program, so an address in use is tried again for a while.
async fn bind_when_released(address: (Ipv4Addr, u16)) -> io::Result<(TcpListener, UdpSocket)> {
    let until = Instant::now() + RELEASE_TIMEOUT;
    loop {
        let bound = async {
            let listener = TcpListener::bind(address).await?;
            Ok((listener, UdpSocket::bind(address).await?))
        };
        match bound.await {
            Err(e) if is_in_use(&e) && Instant::now() < until => sleep(RELEASE_INTERVAL).await,
            bound => return bound,
        }
    }
}

fn is_in_use(e: &io::Error) -> bool {
    e.kind() == io::ErrorKind::AddrInUse
}

impl Server {
    /// Returns the number of the host that the server runs on.
    pub const fn host(&self) -> Host {
        self.host
    }

    /// Starts a new incarnation unless one is running.
    pub async fn start(self: &Arc<Self>) -> io::Result<()> {
        if lock(&self.current).is_some() {
            return Ok(());
        }
        let held = Arc::clone(&self.sockets).lock_owned().await;
        let address = (self.layout.bind_address(self.host), self.layout.server);
        let (listener, socket) = bind_when_released(address).await?;
        let token = self.stop.child_token();
        *lock(&self.current) = Some(token.clone());
        *lock(&self.drain) = None;
        *lock(&self.drained_at) = None;
        let incarnation = self.checker.start_incarnation();
        let this = Arc::clone(self);
        tokio::spawn(async move {
            let running = ServerIncarnation::new(&this, incarnation, socket);
            tokio::select! {
                () = token.cancelled() => {}
                () = running.serve() => {}
                () = this.report(incarnation) => {}
                () = accept(&listener) => {}
            }
            this.checker.end_incarnation(incarnation);
            drop((listener, held));
        });
        Ok(())
    }

    /// Ends the current incarnation at once, as a crash does.
    pub fn crash(&self) {
        if let Some(token) = lock(&self.current).take() {
            token.cancel();
        }
    }

    /// Reports that the server is draining, serves for a while and ends the incarnation.
    pub async fn leave(&self) {
        let started = *lock(&self.drain).get_or_insert_with(Instant::now);
        sleep(DRAIN_TIME).await;
        // Another incarnation may have started in the meantime.
        if *lock(&self.drain) == Some(started) {
            self.crash();
        }
    }

    async fn report(&self, incarnation: IncarnationId) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |born| born.as_millis());
        let agent = SocketAddrV4::new(self.layout.bind_address(self.host), self.layout.reports);
        let mut tick = interval(REPORT_INTERVAL);
        for sequence in 1_u64.. {
            tick.tick().await;
            let is_draining = lock(&self.drain).is_some();
            let body = serde_json::json!({
                "service": service(self.host),
                "address": format!("{}:{}", self.layout.bind_address(self.host), self.layout.server),
                "zone": self.layout.zone(self.host),
                "max_concurrent": SLOTS,
                "state": if is_draining { "draining" } else { "ready" },
                "cold_remaining_ms": 0,
                "sequence": sequence,
                "born": born,
            });
            let path = format!("/instances/s-{}", u64::from(incarnation));
            let response = call(agent, Method::PUT, &path, body.to_string()).await;
            if is_draining && response.is_some_and(|(status, _)| status.is_success()) {
                lock(&self.drained_at).get_or_insert_with(Instant::now);
            }
        }
    }
}

/// Accepts connections and closes them; the agent only checks that the server listens.
async fn accept(listener: &TcpListener) {
    while listener.accept().await.is_ok() {}
}

/// A running incarnation of a server.
struct ServerIncarnation<'a> {
    server: &'a Server,
    id: IncarnationId,
    socket: UdpSocket,
    flows: HashMap<FlowKey, Flow>,
}

impl<'a> ServerIncarnation<'a> {
    fn new(server: &'a Server, incarnation: IncarnationId, socket: UdpSocket) -> Self {
        Self {
            server,
            id: incarnation,
            socket,
            flows: HashMap::new(),
        }
    }

    async fn serve(mut self) {
        let (done_tx, mut done) = mpsc::unbounded_channel();
        let mut buf = [0; 2048];
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => {
                    if let Ok((len, SocketAddr::V4(_))) = received {
                        self.on_packet(&buf[..len], &done_tx).await;
                    }
                }
                Some((flow, request)) = done.recv() => self.respond(flow, request).await,
            }
        }
    }

    async fn on_packet(
        &mut self,
        packet: &[u8],
        done: &mpsc::UnboundedSender<(FlowKey, RequestId)>,
    ) {
        let Ok(header) = PlatformPacketFormat.read(packet) else {
            self.server
                .checker
                .add_finding("a server received a datagram that is not a valid packet");
            return;
        };
        let key = header.caller_flow();
        if header.flags.is_opening() {
            self.on_opening(key, &header).await;
            return;
        }
        let holds = self.flows.get_mut(&key);
        let Some(flow) = holds.filter(|f| header.ack.wrapping_sub(f.seq) < ACK_WINDOW) else {
            self.send(&bounce(packet)).await;
            return;
        };
        if !flow.is_open {
            flow.is_open = true;
            self.server.checker.on_open(key, self.id);
        }
        if header.flags.is_ending() {
            self.flows.remove(&key);
            self.server.checker.on_flow_end(key);
            return;
        }
        let Some(request) = request_of(&packet[HEADER_BYTES..]) else {
            return;
        };
        if header.seq == flow.next {
            flow.next = flow.next.wrapping_add(u32::from(header.len));
            flow.response = None;
            self.server.checker.on_run(request, self.id);
            let done = done.clone();
            tokio::spawn(async move {
                sleep(SERVICE_TIME).await;
                // Fails only after the server has ended.
                _ = done.send((key, request));
            });
        } else if let Some(response) = flow.response.clone() {
            self.send(&response).await;
        }
    }

    async fn on_opening(&mut self, key: FlowKey, header: &Header) {
        let drained_at = *lock(&self.server.drained_at);
        if drained_at.is_some_and(|at| at.elapsed() > NEW_FLOW_GRACE) {
            let incarnation = self.id;
            let found = format!(
                "flow {key} reached {incarnation} more than {NEW_FLOW_GRACE:?} after its draining was acknowledged"
            );
            self.server.checker.add_finding(found);
        }
        let flow = self.flows.entry(key).or_insert_with(|| Flow {
            seq: rand::random(),
            next: header.seq.wrapping_add(1),
            sent: 0,
            response: None,
            is_open: false,
        });
        let seq = flow.seq;
        self.server.checker.on_opening_reply(key, seq, self.id);
        let response = reply_packet(
            key,
            Flags::SYN | Flags::ACK,
            seq,
            header.seq.wrapping_add(1),
            &[],
        );
        self.send(&response).await;
    }

    async fn respond(&mut self, key: FlowKey, request: RequestId) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let mut data = u64::from(request).to_be_bytes().to_vec();
        data.resize(RESPONSE_BYTES, 0);
        let seq = flow.seq.wrapping_add(1).wrapping_add(flow.sent);
        flow.sent += u32::try_from(RESPONSE_BYTES).unwrap_or(u32::MAX);
        let packet = reply_packet(key, Flags::ACK, seq, flow.next, &data);
        flow.response = Some(packet.clone());
        self.send(&packet).await;
    }

    async fn send(&self, packet: &[u8]) {
        let layout = self.server.layout;
        let agent = (layout.bind_address(self.server.host), layout.outbound);
        // The packet is lost if the agent is down.
        drop(self.socket.send_to(packet, agent).await);
    }
}

/// Returns the id of the request at the start of the data.
pub fn request_of(data: &[u8]) -> Option<RequestId> {
    let number = data.first_chunk::<8>()?;
    Some(u64::from_be_bytes(*number).into())
}

fn reply_packet(flow: FlowKey, flags: Flags, seq: u32, ack: u32, data: &[u8]) -> Vec<u8> {
    let header = Header {
        source: flow.service,
        target: flow.caller,
        flags,
        seq,
        ack,
        len: u16::try_from(data.len()).unwrap_or(u16::MAX),
        trail: Trail::from_balancer(std::net::Ipv4Addr::UNSPECIFIED, Purpose::Placed),
    };
    encode(&header, data)
}
