//! Callers, and the fabric that delivers their packets to balancers.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
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
}

/// Starts the callers, which run until `stop` is cancelled.
pub async fn start(
    layout: Layout,
    checker: &Arc<Checker>,
    stop: &CancellationToken,
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
        });
        let rng = StdRng::seed_from_u64(seed ^ u64::from(n));
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = Arc::clone(&caller).receive() => {}
                () = Arc::clone(&caller).open_flows(rng, stop.clone()) => {}
            }
        });
    }
    Ok(())
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
        let mut port = 10_000;
        loop {
            let gap = -rng.random_range(1e-9_f64..1.0).ln() / FLOWS_PER_SECOND;
            sleep(Duration::from_secs_f64(gap)).await;
            port = if port == u16::MAX { 10_000 } else { port + 1 };
            let is_long = rng.random_bool(LONG_FLOW_RATIO);
            let service = if rng.random_bool(0.7) {
                ORDERS_ADDRESS
            } else {
                SHEETS_ADDRESS
            };
            let key = FlowKey {
                caller: SocketAddrV4::new(self.ip, port),
                service,
            };
            let this = Arc::clone(&self);
            let (first_seq, requests) =
                (rng.random(), if is_long { LONG_FLOW_REQUESTS } else { 1 });
            tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
                this.flow(key, first_seq, requests).await;
            }));
        }
    }

    async fn flow(&self, key: FlowKey, first_seq: u32, requests: u32) {
        let (tx, mut rx) = mpsc::channel(64);
        lock(&self.flows).insert(key.caller.port(), tx);
        match self.open(key, first_seq, &mut rx).await {
            Some(mut flow) => {
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
            None => self.checker.on_call_end(false),
        }
        lock(&self.flows).remove(&key.caller.port());
    }

    async fn open(&self, key: FlowKey, first_seq: u32, rx: &mut Inbox) -> Option<OpenFlow> {
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
                    let (_, copy) = due.next()?;
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
                        return None;
                    }
                    if header.flags.has(Flags::SYN) {
                        return Some(OpenFlow {
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
