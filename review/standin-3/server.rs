//! A server beside an agent, as the users' pages describe it.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::lab::{HEARTBEAT, Host, Lab, Record, call, lock, random};
use crate::packet::{ACK, FIN, FlowKey, Packet, RST, SYN, bounce};

/// Largest distance of an acknowledgement from the server's first position at which a packet is its own.
const ACK_WINDOW: u32 = 1 << 24;
/// Requests that a server runs at a time.
const SLOTS: usize = 2;
/// Retransmissions after which a server gives up.
const MOST_RETRANSMISSIONS: u32 = 8;

/// An opening packet that a server took.
#[derive(Clone, Copy, Debug)]
pub struct Taken {
    pub flow: FlowKey,
    pub at: Instant,
    /// Whether the flow opened.
    pub opened: bool,
}

struct Flow {
    first: u32,
    next_in: u32,
    next_out: u32,
    open: bool,
    ended: bool,
    taken: usize,
    /// Packets that the client has not acknowledged.
    unacked: Vec<(Packet, Instant, u32)>,
}

#[derive(Default)]
pub struct Seen {
    pub taken: Vec<Taken>,
    /// Requests that were run, by id, with how often.
    pub runs: HashMap<u64, u32>,
    pub forged: u32,
    pub acked_reports: u64,
    pub last_report_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
pub struct Mood {
    /// Until when the server is cold.
    pub cold_until: Option<Instant>,
}

pub struct Server {
    pub id: String,
    pub zone: &'static str,
    pub seen: Arc<Mutex<Seen>>,
    pub mood: Arc<Mutex<Mood>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Server {
    pub fn start(lab: &Lab, host: &Host, work: Duration, cold: Duration) -> Self {
        let id = format!("i-{:08x}", random() as u32);
        let seen = Arc::new(Mutex::new(Seen::default()));
        let cold_until = (!cold.is_zero()).then(|| Instant::now() + cold);
        let mood = Arc::new(Mutex::new(Mood { cold_until }));
        let stop = Arc::new(AtomicBool::new(false));
        let app = SocketAddrV4::new(host.ip, lab.ports.app);
        let socket = UdpSocket::bind(app).expect("the server's port is free");
        let listener = TcpListener::bind(app).expect("the server's port is free");
        lab.record.line(format!(
            "server {id} of {} starts at {app} in {}",
            host.service, host.zone
        ));
        let mut threads = Vec::new();
        {
            let (seen, stop) = (Arc::clone(&seen), Arc::clone(&stop));
            let agent = SocketAddrV4::new(host.ip, lab.ports.outbound);
            threads.push(thread::spawn(move || {
                serve(&socket, agent, work, &seen, &stop)
            }));
        }
        {
            let stop = Arc::clone(&stop);
            threads.push(thread::spawn(move || answer_health(&listener, &stop)));
        }
        {
            let (seen, mood, stop) = (Arc::clone(&seen), Arc::clone(&mood), Arc::clone(&stop));
            let agent = SocketAddrV4::new(host.ip, lab.ports.reports);
            let (service, zone, id) = (host.service, host.zone, id.clone());
            let record = lab.record.clone();
            threads.push(thread::spawn(move || {
                let body = |sequence: u64, cold_ms: u128, born: u128| {
                    format!(
                        "{{\"service\":\"{service}\",\"address\":\"{app}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"max_concurrent\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":{cold_ms},\"sequence\":{sequence},\"born\":{born}}}"
                    )
                };
                report(&record, agent, &id, &body, &seen, &mood, &stop);
            }));
        }
        Self {
            id,
            zone: host.zone,
            seen,
            mood,
            stop,
            threads,
        }
    }

    /// Ends the server at once.
    pub fn end(&mut self) {
        self.stop.store(true, SeqCst);
        for thread in self.threads.drain(..) {
            drop(thread.join());
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.end();
    }
}

#[expect(clippy::too_many_arguments, reason = "the parts of one thread")]
fn report(
    record: &Record,
    agent: SocketAddrV4,
    id: &str,
    body: &dyn Fn(u64, u128, u128) -> String,
    seen: &Mutex<Seen>,
    mood: &Mutex<Mood>,
    stop: &AtomicBool,
) {
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis());
    let mut next_at = Instant::now();
    let mut sequence = 1;
    let mut was_cold = false;
    while !stop.load(SeqCst) {
        if Instant::now() < next_at {
            thread::sleep(Duration::from_millis(5));
            continue;
        }
        next_at += HEARTBEAT;
        let cold_until = lock(mood).cold_until;
        let cold = cold_until.map_or(Duration::ZERO, |at| {
            at.saturating_duration_since(Instant::now())
        });
        let text = body(sequence, cold.as_millis(), born);
        let answer = call(agent, "PUT", &format!("/instances/{id}"), &text);
        let is_acked = matches!(answer, Some((200..=299, _, _)));
        let is_cold = !cold.is_zero();
        if sequence == 1 || is_cold != was_cold || !is_acked {
            let status = answer.map_or("no answer".to_owned(), |a| a.0.to_string());
            record.line(format!(
                "server {id}: report {sequence}, cold for {} ms: {status}",
                cold.as_millis()
            ));
        }
        was_cold = is_cold;
        let mut seen = lock(seen);
        seen.acked_reports += u64::from(is_acked);
        seen.last_report_at = Some(Instant::now());
        sequence += 1;
    }
}

fn answer_health(listener: &TcpListener, stop: &AtomicBool) {
    listener
        .set_nonblocking(true)
        .expect("the listener can poll");
    while !stop.load(SeqCst) {
        let Ok((mut stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(5));
            continue;
        };
        drop(stream.set_nonblocking(false));
        drop(stream.set_read_timeout(Some(Duration::from_millis(50))));
        let mut buf = [0; 1024];
        if matches!(stream.read(&mut buf), Ok(1..)) {
            drop(
                stream.write_all(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                ),
            );
        }
    }
}

/// Returns the number in the field `Request-Id` of a request or an answer.
pub fn request_id(data: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(data);
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("Request-Id: ").map(str::to_owned));
    line?.trim().parse().ok()
}

fn serve(
    socket: &UdpSocket,
    agent: SocketAddrV4,
    work: Duration,
    seen: &Mutex<Seen>,
    stop: &AtomicBool,
) {
    socket
        .set_read_timeout(Some(Duration::from_millis(2)))
        .expect("the socket can time out");
    let mut flows: HashMap<FlowKey, Flow> = HashMap::new();
    let mut slots = [Instant::now(); SLOTS];
    let mut due: Vec<(Instant, FlowKey, u64)> = Vec::new();
    let mut buf = [0; 2048];
    let send = |bytes: &[u8]| drop(socket.send_to(bytes, agent));
    while !stop.load(SeqCst) {
        if let Ok((len, _)) = socket.recv_from(&mut buf) {
            let bytes = &buf[..len];
            let Some((packet, is_genuine)) = Packet::decode(bytes) else {
                lock(seen).forged += 1;
                continue;
            };
            if !is_genuine || (packet.has(SYN) && packet.has(ACK)) {
                lock(seen).forged += 1;
                continue;
            }
            let now = Instant::now();
            let key = FlowKey {
                client: packet.source,
                route: packet.target,
            };
            if packet.has(SYN) {
                let flow = flows.entry(key).or_insert_with(|| {
                    let mut seen = lock(seen);
                    seen.taken.push(Taken {
                        flow: key,
                        at: now,
                        opened: false,
                    });
                    let first = random() as u32;
                    Flow {
                        first,
                        next_in: packet.seq.wrapping_add(1),
                        next_out: first.wrapping_add(1),
                        open: false,
                        ended: false,
                        taken: seen.taken.len() - 1,
                        unacked: Vec::new(),
                    }
                });
                let answer = Packet {
                    seq: flow.first,
                    ack: packet.seq.wrapping_add(1),
                    source: key.route,
                    target: key.client,
                    flags: SYN | ACK,
                    data: Vec::new(),
                };
                send(&answer.encode());
                continue;
            }
            let held = flows.get_mut(&key);
            let held = held.filter(|f| packet.ack.wrapping_sub(f.first) < ACK_WINDOW);
            let Some(flow) = held else {
                send(&bounce(bytes));
                continue;
            };
            if flow.ended {
                let flags = if packet.has(FIN) { ACK } else { RST };
                if packet.has(FIN) || !packet.data.is_empty() {
                    send(&reply(key, flow.next_out, flow.next_in, flags, Vec::new()).encode());
                }
                continue;
            }
            if !flow.open {
                flow.open = true;
                lock(seen).taken[flow.taken].opened = true;
            }
            flow.unacked.retain(|(p, _, _)| {
                let end = p.seq.wrapping_add(p.data.len() as u32);
                (packet.ack.wrapping_sub(end) as i32) < 0
            });
            if packet.has(RST) {
                flow.ended = true;
                continue;
            }
            if packet.has(FIN) {
                flow.ended = true;
                flow.unacked.clear();
                flow.next_in = packet.seq.wrapping_add(1);
                send(&reply(key, flow.next_out, flow.next_in, ACK | FIN, Vec::new()).encode());
                continue;
            }
            if !packet.data.is_empty() {
                if packet.seq == flow.next_in {
                    flow.next_in = flow.next_in.wrapping_add(packet.data.len() as u32);
                    if let Some(id) = request_id(&packet.data) {
                        *lock(seen).runs.entry(id).or_default() += 1;
                        let slot = slots.iter_mut().min().expect("there are slots");
                        *slot = (*slot).max(now) + work;
                        due.push((*slot, key, id));
                    }
                }
                send(&reply(key, flow.next_out, flow.next_in, ACK, Vec::new()).encode());
            }
        }
        let now = Instant::now();
        let mut rest = Vec::new();
        for (at, key, id) in due.drain(..) {
            if at > now {
                rest.push((at, key, id));
                continue;
            }
            let Some(flow) = flows.get_mut(&key).filter(|f| !f.ended) else {
                continue;
            };
            let body = "x".repeat(900);
            let text = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s{id}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let packet = reply(key, flow.next_out, flow.next_in, ACK, text.into_bytes());
            send(&packet.encode());
            flow.next_out = flow.next_out.wrapping_add(packet.data.len() as u32);
            flow.unacked
                .push((packet, now + Duration::from_millis(200), 0));
        }
        due = rest;
        for flow in flows.values_mut().filter(|f| !f.unacked.is_empty()) {
            for (packet, at, times) in &mut flow.unacked {
                if *at <= now && *times < MOST_RETRANSMISSIONS {
                    send(&packet.encode());
                    *times += 1;
                    *at = now + Duration::from_millis(200 << (*times).min(3));
                }
            }
        }
    }
}

fn reply(key: FlowKey, seq: u32, ack: u32, flags: u8, data: Vec<u8>) -> Packet {
    Packet {
        seq,
        ack,
        source: key.route,
        target: key.client,
        flags,
        data,
    }
}
