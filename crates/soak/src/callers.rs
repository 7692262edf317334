//! Callers, and the fabric that delivers their packets to balancers.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::packet::{Flags, FlowKey, Header, PacketFormat, Purpose, Trail};
use dogwoodrill_platform::packet::{HEADER_BYTES, PlatformPacketFormat, encode};
use http::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use crate::checker::Checker;
use crate::http::call;
use crate::network::{Host, Layout, balancers, lock};
use crate::operator::{ORDERS_ADDRESS, SHEETS_ADDRESS};
use crate::servers::request_of;

/// Number of caller hosts; each opens its own flows.
const CALLERS: u8 = 4;
/// Mean rate at which one host opens flows, per second.
const FLOWS_PER_SECOND: f64 = 15.0;
/// Time between two bursts of a host, in milliseconds.
const BURST_INTERVAL_MS: std::ops::Range<u64> = 1000..4000;
/// Flows that a host opens at once in a burst; together they exceed what the servers can take in a second.
const BURST_FLOWS: u32 = 150;
/// Number of times that a refused caller returns.
const RETRIES: u32 = 2;
/// Fraction of flows that stay open for several requests.
const LONG_FLOW_RATIO: f64 = 0.3;
const LONG_FLOW_REQUESTS: u32 = 20;
/// Time between two requests of a long flow.
const PAUSE: Duration = Duration::from_millis(250);
/// Times after the first opening packet at which copies of it are sent.
const RETRANSMIT_TIMES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPENING_TIMEOUT: Duration = Duration::from_millis(1400);
/// Time after which a request on an open flow fails.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
const INITIAL_RETRANSMIT_INTERVAL: Duration = Duration::from_millis(200);
const MAX_RETRANSMIT_INTERVAL: Duration = Duration::from_millis(1600);
/// Largest distance of the sequence number of a valid reset from the next one that the caller expects.
const RESET_WINDOW: u32 = 76_800;
const REQUEST_BYTES: usize = 100;
/// Lowest port of a caller's flows.
const FIRST_PORT: u16 = 10_000;
/// Time between two health checks; a balancer that fails two in a row gets no packets.
const HEALTH_INTERVAL: Duration = Duration::from_millis(500);

/// The fabric: checks the health of the balancers and chooses one for each packet.
#[derive(Debug)]
struct Fabric {
    layout: Layout,
    failed_checks: Mutex<HashMap<Host, u32>>,
}

impl Fabric {
    async fn run_health_checks(self: Arc<Self>) {
        loop {
            for host in balancers() {
                let to = SocketAddrV4::new(self.layout.bind_address(host), self.layout.ready);
                let response = call(to, Method::GET, "/ready", "").await;
                let ready = response.is_some_and(|(status, _)| status.is_success());
                let mut failed_checks = lock(&self.failed_checks);
                let count = failed_checks.entry(host).or_insert(2);
                *count = if ready { 0 } else { *count + 1 };
            }
            sleep(HEALTH_INTERVAL).await;
        }
    }

    /// Chooses by a hash of the flow modulo the healthy balancers, so nearly all flows move to another balancer
    /// when one is added or removed.
    fn choose_balancer(&self, flow: FlowKey) -> Ipv4Addr {
        let failed_checks = lock(&self.failed_checks);
        let all: Vec<_> = balancers().collect();
        let healthy = all
            .iter()
            .filter(|h| failed_checks.get(h).is_none_or(|m| *m < 2));
        let mut healthy: Vec<_> = healthy.collect();
        if healthy.is_empty() {
            healthy = all.iter().collect();
        }
        let hash = usize::from(flow.caller.port()) * 31 + usize::from(flow.caller.ip().octets()[3]);
        self.layout.bind_address(*healthy[hash % healthy.len()])
    }
}

type Inbox = mpsc::Receiver<(Header, Vec<u8>)>;
type Flows = HashMap<u16, mpsc::Sender<(Header, Vec<u8>)>>;

/// A caller host.
#[derive(Debug)]
struct Caller {
    ip: Ipv4Addr,
    socket: UdpSocket,
    fabric: Arc<Fabric>,
    checker: Arc<Checker>,
    flows: Mutex<Flows>,
    next_port: AtomicU16,
}

/// Starts the callers, which run until `stop` is cancelled. Bursts of calls begin until `bursts_until`.
pub async fn start(
    layout: Layout,
    checker: &Arc<Checker>,
    stop: &CancellationToken,
    bursts_until: Instant,
    seed: u64,
) -> io::Result<()> {
    let fabric = Arc::new(Fabric {
        layout,
        failed_checks: Mutex::default(),
    });
    let health_checks = Arc::clone(&fabric).run_health_checks();
    tokio::spawn(stop.clone().run_until_cancelled_owned(health_checks));
    for n in 1..=CALLERS {
        let ip = layout.caller(n);
        let caller = Arc::new(Caller {
            ip,
            socket: UdpSocket::bind((ip, layout.packets)).await?,
            fabric: Arc::clone(&fabric),
            checker: Arc::clone(checker),
            flows: Mutex::default(),
            next_port: AtomicU16::new(FIRST_PORT),
        });
        let rng = StdRng::seed_from_u64(seed ^ u64::from(n));
        let burst_rng = StdRng::seed_from_u64(!seed ^ u64::from(n));
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = Arc::clone(&caller).receive() => {}
                () = Arc::clone(&caller).open_flows(rng, stop.clone()) => {}
                () = Arc::clone(&caller).open_bursts(burst_rng, stop.clone(), bursts_until) => {}
            }
        });
    }
    Ok(())
}

/// What became of the opening packets of a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Opening {
    Opened,
    /// The flow was reset at once.
    Refused,
    Unanswered,
}

/// An open flow, as its caller sees it.
struct OpenFlow {
    key: FlowKey,
    /// The server's initial sequence number.
    server_seq: u32,
    seq: u32,
    ack: u32,
}

impl OpenFlow {
    /// Whether a reset with this sequence number belongs to this flow. A reset that answers another copy of
    /// the opening packet does not: the flow of that copy was never opened.
    const fn is_reset_by(&self, seq: u32) -> bool {
        seq.wrapping_sub(self.ack).cast_signed().unsigned_abs() <= RESET_WINDOW
    }
}

impl Caller {
    async fn receive(self: Arc<Self>) {
        let mut buf = [0; 2048];
        loop {
            let Ok(len) = self.socket.recv(&mut buf).await else {
                continue;
            };
            let Ok(header) = PlatformPacketFormat.read(&buf[..len]) else {
                self.checker
                    .add_finding("a caller received a datagram that is not a valid packet");
                continue;
            };
            let data = buf[HEADER_BYTES..len].to_vec();
            let flow = lock(&self.flows).get(&header.target.port()).cloned();
            if let Some(tx) = flow {
                // The channel is closed once the flow has ended.
                drop(tx.try_send((header, data)));
            }
        }
    }

    async fn open_flows(self: Arc<Self>, mut rng: StdRng, stop: CancellationToken) {
        loop {
            let gap = -rng.random_range(1e-9_f64..1.0).ln() / FLOWS_PER_SECOND;
            sleep(Duration::from_secs_f64(gap)).await;
            let is_long = rng.random_bool(LONG_FLOW_RATIO);
            let service = if rng.random_bool(0.7) {
                ORDERS_ADDRESS
            } else {
                SHEETS_ADDRESS
            };
            let requests = if is_long { LONG_FLOW_REQUESTS } else { 1 };
            self.spawn_call(&stop, service, rng.random(), requests);
        }
    }

    async fn open_bursts(
        self: Arc<Self>,
        mut rng: StdRng,
        stop: CancellationToken,
        until: Instant,
    ) {
        loop {
            sleep(Duration::from_millis(rng.random_range(BURST_INTERVAL_MS))).await;
            if Instant::now() >= until {
                break;
            }
            for _ in 0..BURST_FLOWS {
                self.spawn_call(&stop, ORDERS_ADDRESS, rng.random(), 1);
            }
        }
        stop.cancelled().await;
    }

    fn spawn_call(
        self: &Arc<Self>,
        stop: &CancellationToken,
        service: SocketAddrV4,
        first_seq: u32,
        requests: u32,
    ) {
        let this = Arc::clone(self);
        tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
            for attempt in 0..=RETRIES {
                let key = FlowKey {
                    caller: SocketAddrV4::new(this.ip, this.take_port()),
                    service,
                };
                let is_last = attempt == RETRIES;
                let first_seq = first_seq.wrapping_add(attempt);
                if this.flow(key, first_seq, requests, is_last).await != Opening::Refused {
                    break;
                }
            }
        }));
    }

    fn take_port(&self) -> u16 {
        let next = |port| {
            Some(if port == u16::MAX {
                FIRST_PORT
            } else {
                port + 1
            })
        };
        let port = self.next_port.fetch_update(Relaxed, Relaxed, next);
        port.unwrap_or(FIRST_PORT)
    }

    /// Opens a flow and sends requests on it. If it is refused and `is_last` is false, the call has not ended.
    async fn flow(&self, key: FlowKey, first_seq: u32, requests: u32, is_last: bool) -> Opening {
        let (tx, mut rx) = mpsc::channel(64);
        lock(&self.flows).insert(key.caller.port(), tx);
        let opened = self.open(key, first_seq, &mut rx).await;
        let opening = match &opened {
            Ok(_) => Opening::Opened,
            Err(opening) => *opening,
        };
        match opened {
            Ok(mut flow) => {
                for n in 0..requests {
                    if n > 0 {
                        sleep(PAUSE).await;
                    }
                    let served = self.request(&mut flow, &mut rx).await;
                    self.checker.on_call_end(served);
                    if !served {
                        break;
                    }
                }
                self.send(&flow, Flags::FIN | Flags::ACK, &[]).await;
                self.checker.on_flow_end(key);
            }
            Err(Opening::Refused) if !is_last => {}
            Err(_) => self.checker.on_call_end(false),
        }
        lock(&self.flows).remove(&key.caller.port());
        opening
    }

    async fn open(
        &self,
        key: FlowKey,
        first_seq: u32,
        rx: &mut Inbox,
    ) -> Result<OpenFlow, Opening> {
        let started_at = Instant::now();
        let due = [Duration::ZERO]
            .into_iter()
            .chain(RETRANSMIT_TIMES)
            .zip(0..);
        let mut due = due.peekable();
        loop {
            let next = due.peek().map_or(OPENING_TIMEOUT, |(at, _)| *at);
            tokio::select! {
                () = sleep_until((started_at + next).into()) => {
                    let (_, copy) = due.next().ok_or(Opening::Unanswered)?;
                    let header = Header {
                        source: key.caller,
                        target: key.service,
                        flags: Flags::SYN,
                        seq: first_seq,
                        ack: copy,
                        len: 0,
                        trail: empty_trail(),
                    };
                    self.send_packet(key, &encode(&header, &[])).await;
                }
                Some((header, _)) = rx.recv() => {
                    if header.flags.has(Flags::RST) {
                        return Err(Opening::Refused);
                    }
                    if header.flags.has(Flags::SYN) {
                        return Ok(OpenFlow {
                            key,
                            server_seq: header.seq,
                            seq: first_seq.wrapping_add(1),
                            ack: header.seq.wrapping_add(1),
                        });
                    }
                }
            }
        }
    }

    /// Sends one request on an open flow; returns whether a response arrived.
    async fn request(&self, flow: &mut OpenFlow, rx: &mut Inbox) -> bool {
        let request = self.checker.next_request_id();
        let mut data = u64::from(request).to_be_bytes().to_vec();
        data.resize(REQUEST_BYTES, 0);
        let until = Instant::now() + REQUEST_TIMEOUT;
        let mut retransmit_interval = INITIAL_RETRANSMIT_INTERVAL;
        while Instant::now() < until {
            self.send(flow, Flags::ACK, &data).await;
            let retransmit_at = (Instant::now() + retransmit_interval).min(until);
            retransmit_interval = (retransmit_interval * 2).min(MAX_RETRANSMIT_INTERVAL);
            while let Ok(Some((header, response))) = timeout(
                retransmit_at.saturating_duration_since(Instant::now()),
                rx.recv(),
            )
            .await
            {
                if header.flags.has(Flags::RST) && flow.is_reset_by(header.seq) {
                    self.checker.on_reset(flow.key);
                    return false;
                }
                if header.len > 0 && header.seq == flow.ack {
                    let received = request_of(&response).unwrap_or(0.into());
                    let (key, seq) = (flow.key, flow.server_seq);
                    self.checker.on_response(key, seq, request, received);
                    flow.ack = flow.ack.wrapping_add(header.len.into());
                    let bytes = u32::try_from(REQUEST_BYTES).unwrap_or(u32::MAX);
                    flow.seq = flow.seq.wrapping_add(bytes);
                    return true;
                }
            }
        }
        false
    }

    async fn send(&self, flow: &OpenFlow, flags: Flags, data: &[u8]) {
        let header = Header {
            source: flow.key.caller,
            target: flow.key.service,
            flags,
            seq: flow.seq,
            ack: flow.ack,
            len: u16::try_from(data.len()).unwrap_or(u16::MAX),
            trail: empty_trail(),
        };
        self.send_packet(flow.key, &encode(&header, data)).await;
    }

    async fn send_packet(&self, flow: FlowKey, packet: &[u8]) {
        let to = (
            self.fabric.choose_balancer(flow),
            self.fabric.layout.packets,
        );
        // The packet is lost if the balancer is down.
        drop(self.socket.send_to(packet, to).await);
    }
}

const fn empty_trail() -> Trail {
    Trail::from_balancer(Ipv4Addr::UNSPECIFIED, Purpose::Placed)
}
