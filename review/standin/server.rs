//! A backend server beside an agent: flows over UDP, health over TCP, and status reports.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::operator::call;
use crate::packet::{ACK, BOUNCED, FIN, Packet, RST, SYN};
use crate::record::Record;

const HEARTBEAT: Duration = Duration::from_millis(770);
const WORK: Duration = Duration::from_millis(15);
const ACK_WINDOW: u32 = 1 << 20;
const POLL: Duration = Duration::from_millis(2);

pub struct ServerAddress {
    pub ip: Ipv4Addr,
    pub app: u16,
    pub outbound: u16,
    pub control: u16,
}

struct Flow {
    seq: u32,
    next: u32,
    is_open: bool,
    /// Bytes of data sent so far.
    sent: u32,
    response: Option<Vec<u8>>,
}

/// A running server. Dropping it crashes it.
pub struct Server {
    /// Start of this boot, in Unix milliseconds.
    pub born: u64,
    /// Status reports that were sent so far.
    reports_sent: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

pub fn unix_ms() -> u64 {
    u64::try_from(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis(),
    )
    .unwrap()
}

impl Server {
    pub fn start(
        at: ServerAddress,
        id: &str,
        service: &str,
        record: &Record,
    ) -> Result<Self, String> {
        let socket = UdpSocket::bind((at.ip, at.app)).map_err(|e| e.to_string())?;
        socket
            .set_read_timeout(Some(POLL))
            .map_err(|e| e.to_string())?;
        let listener = TcpListener::bind((at.ip, at.app)).map_err(|e| e.to_string())?;
        listener.set_nonblocking(true).map_err(|e| e.to_string())?;
        let stop = Arc::new(AtomicBool::new(false));
        record.line(&format!(
            "server {id} ({service}) starts at {}:{}",
            at.ip, at.app
        ));
        let health = {
            let stop = Arc::clone(&stop);
            thread::spawn(move || serve_health(&listener, &stop))
        };
        let born = unix_ms();
        let reports_sent = Arc::new(AtomicU64::new(0));
        let reports = {
            let (stop, record, sent) =
                (Arc::clone(&stop), record.clone(), Arc::clone(&reports_sent));
            let (to, id) = (SocketAddr::from((at.ip, at.control)), id.to_owned());
            let bodies: Vec<_> = (1..400)
                .map(|n| report(at.ip, at.app, service, n, born))
                .collect();
            thread::spawn(move || report_status(to, &id, &bodies, &sent, &stop, &record))
        };
        let flows = {
            let (stop, record, id) = (Arc::clone(&stop), record.clone(), id.to_owned());
            let outbound = SocketAddrV4::new(at.ip, at.outbound);
            thread::spawn(move || {
                Flows {
                    id,
                    socket,
                    outbound,
                    flows: HashMap::new(),
                    due: Vec::new(),
                    record,
                }
                .serve(&stop)
            })
        };
        Ok(Self {
            born,
            reports_sent,
            stop,
            threads: vec![health, reports, flows],
        })
    }

    /// Number of the next status report.
    pub fn next_sequence(&self) -> u64 {
        self.reports_sent.load(Ordering::Relaxed) + 1
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            drop(thread.join());
        }
    }
}

pub fn report(ip: Ipv4Addr, app: u16, service: &str, sequence: u64, born: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{ip}:{app}\",\"zone\":\"gent\",\"version\":\"v1\",\"max_concurrent\":2,\"state\":\"ready\",\
         \"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
    )
}

fn report_status(
    to: SocketAddr,
    id: &str,
    bodies: &[String],
    sent: &AtomicU64,
    stop: &AtomicBool,
    record: &Record,
) {
    let mut last = None;
    for body in bodies {
        let next_at = Instant::now() + HEARTBEAT;
        sent.fetch_add(1, Ordering::Relaxed);
        let status = call(to, "PUT", &format!("/instances/{id}"), body).map(|r| r.status);
        if last != Some(status) {
            record.line(&format!("server {id}: status report {body}: {status:?}"));
            last = Some(status);
        }
        while Instant::now() < next_at {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

fn serve_health(listener: &TcpListener, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let Ok((mut stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(5));
            continue;
        };
        thread::spawn(move || {
            drop(stream.set_nonblocking(false));
            drop(stream.set_read_timeout(Some(Duration::from_secs(1))));
            let mut buf = [0; 1024];
            if stream.read(&mut buf).is_ok_and(|n| n > 0) {
                drop(stream.write_all(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                ));
            }
        });
    }
}

type Key = (SocketAddrV4, SocketAddrV4);

struct Flows {
    id: String,
    socket: UdpSocket,
    outbound: SocketAddrV4,
    flows: HashMap<Key, Flow>,
    /// Requests that are being processed.
    due: Vec<(Instant, Key, String)>,
    record: Record,
}

impl Flows {
    fn serve(mut self, stop: &AtomicBool) {
        let mut buf = [0; 2048];
        while !stop.load(Ordering::Relaxed) {
            if let Ok(len) = self.socket.recv(&mut buf) {
                self.on_packet(&buf[..len]);
            }
            self.respond();
        }
        self.record.line(&format!("server {} ends", self.id));
    }

    fn send(&self, bytes: &[u8]) {
        drop(self.socket.send_to(bytes, self.outbound));
    }

    fn reply(&self, key: Key, flags: u8, seq: u32, ack: u32, data: &[u8]) -> Vec<u8> {
        let (client, route) = key;
        Packet {
            source: route,
            target: client,
            flags,
            seq,
            ack,
            data: data.to_vec(),
        }
        .encode()
    }

    fn on_packet(&mut self, bytes: &[u8]) {
        let Some((packet, true)) = Packet::decode(bytes) else {
            self.record.line(&format!(
                "server {}: UNASKED a packet that its sender did not write so",
                self.id
            ));
            return;
        };
        let key = (packet.source, packet.target);
        if packet.has(SYN) {
            let next = packet.seq.wrapping_add(1);
            let seq = seed(&self.id, key);
            let flow = self.flows.entry(key).or_insert(Flow {
                seq,
                next,
                is_open: false,
                sent: 0,
                response: None,
            });
            let (seq, next) = (flow.seq, flow.next);
            self.record.line(&format!(
                "server {}: opening packet from {}",
                self.id, key.0
            ));
            return self.send(&self.reply(key, SYN | ACK, seq, next, &[]));
        }
        let held = self
            .flows
            .get_mut(&key)
            .filter(|f| packet.ack.wrapping_sub(f.seq) <= ACK_WINDOW);
        let Some(flow) = held else {
            self.record.line(&format!(
                "server {}: hands back a packet of {}, which it does not hold",
                self.id, key.0
            ));
            let mut bounced = bytes.to_vec();
            bounced[30] |= BOUNCED;
            bounced[31..36].fill(0);
            return self.send(&bounced);
        };
        if !flow.is_open {
            flow.is_open = true;
            self.record
                .line(&format!("server {}: flow of {} is open", self.id, key.0));
        }
        if packet.has(FIN) || packet.has(RST) {
            let (seq, next) = (packet.ack, packet.end().wrapping_add(1));
            self.flows.remove(&key);
            self.record
                .line(&format!("server {}: flow of {} ends", self.id, key.0));
            return self.send(&self.reply(key, FIN | ACK, seq, next, &[]));
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.seq == flow.next {
            flow.next = packet.end();
            flow.response = None;
            let request = String::from_utf8_lossy(&packet.data).into_owned();
            self.record
                .line(&format!("server {}: runs {request} of {}", self.id, key.0));
            self.due.push((Instant::now() + WORK, key, request));
        } else if let Some(response) = flow.response.clone() {
            self.send(&response);
        }
    }

    fn respond(&mut self) {
        let now = Instant::now();
        let (ready, later) = self.due.drain(..).partition(|(at, ..)| *at <= now);
        self.due = later;
        let ready: Vec<(Instant, Key, String)> = ready;
        for (_, key, request) in ready {
            let Some(flow) = self.flows.get(&key) else {
                continue;
            };
            let sent = flow.seq.wrapping_add(1).wrapping_add(flow.sent);
            let data = format!("200 {request} by {}", self.id);
            let bytes = self.reply(key, ACK, sent, flow.next, data.as_bytes());
            self.send(&bytes);
            let flow = self.flows.get_mut(&key).expect("it was found above");
            flow.sent += u32::try_from(data.len()).unwrap();
            flow.response = Some(bytes);
        }
    }
}

/// An initial sequence number that differs between servers and flows.
fn seed(id: &str, key: Key) -> u32 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in format!("{id} {} {} {}", key.0, key.1, unix_ms()).bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    u32::try_from(hash >> 32).unwrap()
}
