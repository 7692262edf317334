//! Clients of one zone, and the routers that choose a balancer for each of their packets.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::lab::{Lab, Role, call, lock, random};
use crate::packet::{ACK, FIN, FlowKey, Packet, RST, SYN};
use crate::server::request_id;

/// Largest distance of the position of a valid reset from the client's last acknowledgement.
const RESET_WINDOW: u32 = 76_800;
const COPIES_AT: [u64; 3] = [0, 200, 600];
const GIVES_UP_OPENING: Duration = Duration::from_millis(1400);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Served,
    /// The attempt was reset before the flow opened.
    Refused,
    Unanswered,
    /// The open flow was reset by the system.
    ResetBySystem,
    /// The open flow was reset by its server.
    ResetByServer,
}

struct Router {
    balancers: Vec<(SocketAddrV4, SocketAddrV4, AtomicBool)>,
}

impl Router {
    fn choose(&self, flow: FlowKey) -> SocketAddrV4 {
        let mut ready: Vec<_> = self.balancers.iter().filter(|b| b.2.load(SeqCst)).collect();
        if ready.len() * 2 < self.balancers.len() {
            ready = self.balancers.iter().collect();
        }
        let hash = usize::from(flow.client.port()) * 31 + usize::from(flow.route.port());
        ready[hash % ready.len()].0
    }
}

pub struct Clients {
    ip: Ipv4Addr,
    socket: UdpSocket,
    router: Router,
    flows: Mutex<HashMap<u16, Sender<(Packet, bool)>>>,
    next_port: AtomicU16,
    next_request: AtomicU64,
    /// When the first opening packet of each flow was sent.
    pub opened_at: Mutex<HashMap<FlowKey, Instant>>,
    pub forged: AtomicU64,
    stop: AtomicBool,
}

pub struct OpenFlow {
    pub key: FlowKey,
    seq: u32,
    ack: u32,
    rx: Receiver<(Packet, bool)>,
}

impl Clients {
    /// Starts the clients; the routers use the balancers of all zones in turn.
    pub fn start(lab: &Lab) -> Arc<Self> {
        let ip = lab.client_ip(1);
        let socket = UdpSocket::bind((ip, lab.ports.packets)).expect("the client's port is free");
        socket
            .set_read_timeout(Some(Duration::from_millis(20)))
            .expect("the socket can time out");
        let balancers = lab.of_role(Role::Front).map(|h| {
            (
                SocketAddrV4::new(h.ip, lab.ports.packets),
                SocketAddrV4::new(h.ip, lab.ports.ready),
                AtomicBool::new(false),
            )
        });
        let clients = Arc::new(Self {
            ip,
            socket,
            router: Router {
                balancers: balancers.collect(),
            },
            flows: Mutex::default(),
            next_port: AtomicU16::new(20_000),
            next_request: AtomicU64::new(1),
            opened_at: Mutex::default(),
            forged: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        });
        let this = Arc::clone(&clients);
        thread::spawn(move || this.receive());
        let this = Arc::clone(&clients);
        thread::spawn(move || {
            let mut missed = vec![2; this.router.balancers.len()];
            while !this.stop.load(SeqCst) {
                for (n, (_, ready, is_in)) in this.router.balancers.iter().enumerate() {
                    let is_ready = matches!(call(*ready, "GET", "/ready", ""), Some((200, _, _)));
                    missed[n] = if is_ready { 0 } else { missed[n] + 1 };
                    is_in.store(missed[n] < 2, SeqCst);
                }
                thread::sleep(Duration::from_millis(500));
            }
        });
        clients
    }

    pub fn stop(&self) {
        self.stop.store(true, SeqCst);
    }

    /// Number of balancers in rotation.
    pub fn in_rotation(&self) -> usize {
        self.router
            .balancers
            .iter()
            .filter(|b| b.2.load(SeqCst))
            .count()
    }

    fn receive(&self) {
        let mut buf = [0; 2048];
        while !self.stop.load(SeqCst) {
            let Ok((len, _)) = self.socket.recv_from(&mut buf) else {
                continue;
            };
            let Some((packet, is_genuine)) = Packet::decode(&buf[..len]) else {
                self.forged.fetch_add(1, SeqCst);
                continue;
            };
            let is_system_reset = packet.has(RST) && buf[8..12] == [0; 4] && packet.data.is_empty();
            if !is_genuine && !is_system_reset {
                self.forged.fetch_add(1, SeqCst);
                continue;
            }
            if let Some(tx) = lock(&self.flows).get(&packet.target.port()) {
                drop(tx.send((packet, is_system_reset)));
            }
        }
    }

    fn send(&self, key: FlowKey, seq: u32, ack: u32, flags: u8, data: Vec<u8>) {
        let packet = Packet {
            seq,
            ack,
            source: key.client,
            target: key.route,
            flags,
            data,
        };
        drop(
            self.socket
                .send_to(&packet.encode(), self.router.choose(key)),
        );
    }

    /// Opens a flow to a route.
    pub fn open(&self, route: SocketAddrV4) -> Result<OpenFlow, Outcome> {
        let port = self.next_port.fetch_add(1, SeqCst);
        let key = FlowKey {
            client: SocketAddrV4::new(self.ip, port),
            route,
        };
        let (tx, rx) = channel();
        lock(&self.flows).insert(port, tx);
        let opened = self.shake_hands(key, rx);
        if opened.is_err() {
            lock(&self.flows).remove(&port);
        }
        opened
    }

    fn shake_hands(&self, key: FlowKey, rx: Receiver<(Packet, bool)>) -> Result<OpenFlow, Outcome> {
        let started = Instant::now();
        lock(&self.opened_at).insert(key, started);
        let seq = random() as u32;
        let mut copy = 0;
        loop {
            let elapsed = started.elapsed();
            if elapsed >= GIVES_UP_OPENING {
                return Err(Outcome::Unanswered);
            }
            let due = COPIES_AT.get(copy).map(|ms| Duration::from_millis(*ms));
            if due.is_some_and(|at| at <= elapsed) {
                self.send(key, seq, copy as u32, SYN, Vec::new());
                copy += 1;
                continue;
            }
            let wait = due.unwrap_or(GIVES_UP_OPENING).saturating_sub(elapsed);
            match rx.recv_timeout(wait) {
                Ok((p, _)) if p.has(RST) => return Err(Outcome::Refused),
                Ok((p, _)) if p.has(SYN) && p.has(ACK) => {
                    return Ok(OpenFlow {
                        key,
                        seq: seq.wrapping_add(1),
                        ack: p.seq.wrapping_add(1),
                        rx,
                    });
                }
                _ => {}
            }
        }
    }

    /// Sends a request on an open flow and waits for its answer.
    pub fn request(&self, flow: &mut OpenFlow, limit: Duration) -> Outcome {
        let id = self.next_request.fetch_add(1, SeqCst);
        let text = format!("GET /status HTTP/1.1\r\nHost: orders\r\nRequest-Id: {id}\r\n\r\n");
        let data = text.into_bytes();
        let until = Instant::now() + limit;
        let mut interval = Duration::from_millis(200);
        while Instant::now() < until {
            self.send(flow.key, flow.seq, flow.ack, ACK, data.clone());
            let again = (Instant::now() + interval).min(until);
            interval = (interval * 2).min(Duration::from_millis(1600));
            loop {
                let wait = again.saturating_duration_since(Instant::now());
                if wait.is_zero() {
                    break;
                }
                let Ok((p, is_system_reset)) = flow.rx.recv_timeout(wait) else {
                    break;
                };
                if p.has(RST) {
                    let off = (p.seq.wrapping_sub(flow.ack) as i32).unsigned_abs();
                    if !is_system_reset {
                        return Outcome::ResetByServer;
                    }
                    if off <= RESET_WINDOW {
                        return Outcome::ResetBySystem;
                    }
                    continue;
                }
                if !p.data.is_empty() && p.seq == flow.ack {
                    flow.ack = flow.ack.wrapping_add(p.data.len() as u32);
                    if request_id(&p.data) == Some(id) {
                        flow.seq = flow.seq.wrapping_add(data.len() as u32);
                        self.send(flow.key, flow.seq, flow.ack, ACK, Vec::new());
                        return Outcome::Served;
                    }
                }
            }
        }
        Outcome::Unanswered
    }

    /// Closes a flow.
    pub fn close(&self, flow: &OpenFlow) {
        self.send(flow.key, flow.seq, flow.ack, FIN | ACK, Vec::new());
        lock(&self.flows).remove(&flow.key.client.port());
    }

    /// Opens a flow for one request, as clients of short flows do.
    pub fn single(&self, route: SocketAddrV4) -> Outcome {
        match self.open(route) {
            Ok(mut flow) => {
                let outcome = self.request(&mut flow, Duration::from_millis(1000));
                self.close(&flow);
                outcome
            }
            Err(outcome) => outcome,
        }
    }
}
