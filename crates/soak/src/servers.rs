//! Backend servers: the far ends of flows, each beside its agent.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use dogwoodrill_core::forwarded::packet::{Flags, FlowKey, Header, PacketFormat, Purpose, Trail};
use dogwoodrill_platform::packet::{HEADER_BYTES, PlatformPacketFormat, bounce, encode};
use http::Method;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::{interval, sleep};
use tokio_util::sync::CancellationToken;

use crate::checker::{CLOSED_AFTER, Checker, LifeId, RequestId};
use crate::http::call;
use crate::network::{Host, Layout, agents, lock};

/// Time between two reports; the settings name it too.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(10);
/// Requests that a server works on at once, as it says.
const SLOTS: u32 = 2;
/// Time for which a server that leaves still serves.
const DRAIN: Duration = Duration::from_millis(1500);
/// Bytes of an answer: the request's number and filling.
const ANSWER_BYTES: usize = 200;
/// How far beyond a server's first position a caller acknowledges.
const ACK_WINDOW: u32 = 1 << 20;

/// The service of a host's server.
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
    /// Where the caller's stream goes on.
    next: u32,
    sent: u32,
    /// The last answer, to be sent again.
    answer: Option<Vec<u8>>,
    is_open: bool,
}

/// A server that may be ended and started.
#[derive(Debug)]
pub struct Server {
    host: Host,
    layout: Layout,
    checker: Arc<Checker>,
    stop: CancellationToken,
    current: Mutex<Option<CancellationToken>>,
    /// Held as long as a life holds its sockets.
    sockets: Arc<tokio::sync::Mutex<()>>,
    drain: Mutex<Option<Instant>>,
    /// When the agent acknowledged that it leaves.
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

impl Server {
    /// The host that it is on.
    pub const fn host(&self) -> Host {
        self.host
    }

    /// Starts a new life, if none goes on.
    pub async fn start(self: &Arc<Self>) -> io::Result<()> {
        if lock(&self.current).is_some() {
            return Ok(());
        }
        let held = Arc::clone(&self.sockets).lock_owned().await;
        let address = (self.layout.own(self.host), self.layout.server);
        let listener = TcpListener::bind(address).await?;
        let socket = UdpSocket::bind(address).await?;
        let token = self.stop.child_token();
        *lock(&self.current) = Some(token.clone());
        *lock(&self.drain) = None;
        *lock(&self.drained_at) = None;
        let life = self.checker.begin_life();
        let this = Arc::clone(self);
        tokio::spawn(async move {
            let running = Life::new(&this, life, socket);
            tokio::select! {
                () = token.cancelled() => {}
                () = running.serve() => {}
                () = this.report(life) => {}
                () = accept(&listener) => {}
            }
            this.checker.end_life(life);
            drop((listener, held));
        });
        Ok(())
    }

    /// Ends it as a crash does.
    pub fn crash(&self) {
        if let Some(token) = lock(&self.current).take() {
            token.cancel();
        }
    }

    /// It leaves: says so, serves for a while, says farewell and ends.
    pub async fn leave(&self) {
        let began = *lock(&self.drain).get_or_insert_with(Instant::now);
        sleep(DRAIN).await;
        // Another life may have begun meanwhile.
        if *lock(&self.drain) == Some(began) {
            self.crash();
        }
    }

    async fn report(&self, life: LifeId) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |born| born.as_millis());
        let agent = SocketAddrV4::new(self.layout.own(self.host), self.layout.reports);
        let mut tick = interval(REPORT_INTERVAL);
        for sequence in 1_u64.. {
            tick.tick().await;
            let drains = lock(&self.drain).is_some();
            let body = serde_json::json!({
                "service": service(self.host),
                "address": format!("{}:{}", self.layout.own(self.host), self.layout.server),
                "zone": self.layout.zone(self.host),
                "max_concurrent": SLOTS,
                "state": if drains { "draining" } else { "ready" },
                "cold_remaining_ms": 0,
                "sequence": sequence,
                "born": born,
            });
            let path = format!("/instances/s-{}", u64::from(life));
            let answer = call(agent, Method::PUT, &path, body.to_string()).await;
            if drains && answer.is_some_and(|(status, _)| status.is_success()) {
                lock(&self.drained_at).get_or_insert_with(Instant::now);
            }
        }
    }
}

/// Somebody listens, which is all that the agent looks for.
async fn accept(listener: &TcpListener) {
    while listener.accept().await.is_ok() {}
}

/// One life of a server.
struct Life<'a> {
    server: &'a Server,
    id: LifeId,
    socket: UdpSocket,
    flows: HashMap<FlowKey, Flow>,
}

impl<'a> Life<'a> {
    fn new(server: &'a Server, life: LifeId, socket: UdpSocket) -> Self {
        Self {
            server,
            id: life,
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
                Some((flow, request)) = done.recv() => self.answer(flow, request).await,
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
                .find("a server got bytes that are no packet");
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
            flow.answer = None;
            self.server.checker.on_run(request, self.id);
            let done = done.clone();
            tokio::spawn(async move {
                sleep(WORK).await;
                // It fails only once the server has ended.
                _ = done.send((key, request));
            });
        } else if let Some(answer) = flow.answer.clone() {
            self.send(&answer).await;
        }
    }

    async fn on_opening(&mut self, key: FlowKey, header: &Header) {
        let drained_at = *lock(&self.server.drained_at);
        if drained_at.is_some_and(|at| at.elapsed() > CLOSED_AFTER) {
            let life = self.id;
            let found = format!("flow {key} reached {life} long after it had said that it leaves");
            self.server.checker.find(found);
        }
        let flow = self.flows.entry(key).or_insert_with(|| Flow {
            seq: rand::random(),
            next: header.seq.wrapping_add(1),
            sent: 0,
            answer: None,
            is_open: false,
        });
        let seq = flow.seq;
        self.server.checker.on_offer(key, seq, self.id);
        let answer = turned(
            key,
            Flags::SYN | Flags::ACK,
            seq,
            header.seq.wrapping_add(1),
            &[],
        );
        self.send(&answer).await;
    }

    async fn answer(&mut self, key: FlowKey, request: RequestId) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let mut data = u64::from(request).to_be_bytes().to_vec();
        data.resize(ANSWER_BYTES, 0);
        let seq = flow.seq.wrapping_add(1).wrapping_add(flow.sent);
        flow.sent += u32::try_from(ANSWER_BYTES).unwrap_or(u32::MAX);
        let packet = turned(key, Flags::ACK, seq, flow.next, &data);
        flow.answer = Some(packet.clone());
        self.send(&packet).await;
    }

    async fn send(&self, packet: &[u8]) {
        let layout = self.server.layout;
        let agent = (layout.own(self.server.host), layout.outbound);
        // An agent that is down loses it.
        drop(self.socket.send_to(packet, agent).await);
    }
}

/// The request that data begins with.
pub fn request_of(data: &[u8]) -> Option<RequestId> {
    let number = data.first_chunk::<8>()?;
    Some(u64::from_be_bytes(*number).into())
}

fn turned(flow: FlowKey, flags: Flags, seq: u32, ack: u32, data: &[u8]) -> Vec<u8> {
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
