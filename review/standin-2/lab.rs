//! Stand-ins for the cases of this review: a small deployment of the project's programs on loopback
//! addresses, with a backend server, callers and an operator that follow the users' pages.
//!
//! The programs are started with the command of the deploy file and a settings file each. One process plays
//! all stand-ins; it ends all programs that it started. Standard library only.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SYN: u8 = 2;
pub const ACK: u8 = 64;
pub const FIN: u8 = 32;
pub const RST: u8 = 16;
pub const BOUNCED: u8 = 8;
const HEAD: usize = 36;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// A small generator of random numbers (xorshift), seeded by the clock.
#[derive(Clone)]
pub struct Random(u64);

impl Random {
    pub fn new() -> Self {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self((now.as_nanos() as u64 ^ (u64::from(std::process::id()) << 40)) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }
    pub fn below(&mut self, n: u64) -> u64 {
        (self.next() >> 11) % n
    }
}

/// The record of a case: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }
}

/// The fields of a packet of a flow.
#[derive(Clone, Debug)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub echo: [u8; 4],
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flags: u8) -> bool {
        self.flags & flags == flags
    }
    /// The keyed sum over all fields but `echo`, `pad` and the bounced flag.
    fn keyed_sum(&self) -> u32 {
        let mut hash = 0x9E37_79B9_7F4A_7C15_u64;
        let mut add = |bytes: &[u8]| {
            for b in bytes {
                hash = (hash ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01B3);
            }
        };
        add(&self.seq.to_be_bytes());
        add(&self.ack.to_be_bytes());
        add(&self.src.ip().octets());
        add(&self.src.port().to_be_bytes());
        add(&self.dst.ip().octets());
        add(&self.dst.port().to_be_bytes());
        add(&[self.flags & !BOUNCED]);
        add(&self.data);
        (hash ^ (hash >> 32)) as u32 | 1
    }
    pub fn signed(mut self) -> Self {
        self.sum = self.keyed_sum();
        self
    }
    /// Whether the packet is as its sender wrote it.
    pub fn is_genuine(&self) -> bool {
        self.sum == self.keyed_sum()
    }
    pub fn encode(&self) -> Vec<u8> {
        let mut b = vec![0; HEAD];
        b[0..4].copy_from_slice(&self.seq.to_be_bytes());
        b[4..8].copy_from_slice(&self.ack.to_be_bytes());
        b[8..12].copy_from_slice(&self.sum.to_be_bytes());
        b[12..16].copy_from_slice(&self.echo);
        b[16..20].copy_from_slice(&self.src.ip().octets());
        b[20..22].copy_from_slice(&self.src.port().to_be_bytes());
        b[22..24].copy_from_slice(&self.dst.port().to_be_bytes());
        b[24..28].copy_from_slice(&self.dst.ip().octets());
        b[28..30].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        b[30] = self.flags;
        b.extend_from_slice(&self.data);
        b
    }
    pub fn decode(b: &[u8]) -> Option<Self> {
        if b.len() < HEAD {
            return None;
        }
        let u32_at = |at: usize| u32::from_be_bytes(b[at..at + 4].try_into().unwrap());
        let u16_at = |at: usize| u16::from_be_bytes(b[at..at + 2].try_into().unwrap());
        Some(Self {
            seq: u32_at(0),
            ack: u32_at(4),
            sum: u32_at(8),
            echo: b[12..16].try_into().unwrap(),
            src: SocketAddrV4::new(Ipv4Addr::from(u32_at(16)), u16_at(20)),
            dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(24)), u16_at(22)),
            flags: b[30],
            data: b[HEAD..].to_vec(),
        })
    }
}

/// Ports of a deployment, the same on all its hosts.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub datagram: u16,
    pub ready: u16,
    pub control: u16,
    pub outbound: u16,
    pub app: u16,
    pub inner: u16,
}

/// Values of the settings files, as a small deployment has them.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub heartbeat_ms: u64,
    pub max_flow_s: u64,
    pub tolerated: usize,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            heartbeat_ms: 770,
            max_flow_s: 60,
            tolerated: 1,
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    Front,
    Side,
    Core,
}

pub struct Host {
    pub name: String,
    pub class: Class,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    pub service: &'static str,
    child: Option<Child>,
    starts: u32,
}

/// The hosts of a deployment and the programs on them.
pub struct Lab {
    pub record: Record,
    pub ports: Ports,
    pub terms: Terms,
    pub hosts: Vec<Host>,
    pub dir: PathBuf,
    /// The control hosts that settings files written later name as seeds; the first three if there are none.
    pub seeds: Vec<usize>,
    net: (u8, u8),
}

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

impl Lab {
    pub fn new(record: Record, terms: Terms) -> Self {
        let mut random = Random::new();
        let dir = std::env::temp_dir().join(format!(
            "review-2-{}-{:x}",
            std::process::id(),
            random.next()
        ));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let net = (100 + random.below(100) as u8, 1 + random.below(250) as u8);
        let port = || free_port(net);
        let ports = Ports {
            datagram: port(),
            ready: port(),
            control: port(),
            outbound: port(),
            app: port(),
            inner: port(),
        };
        record.line(format!(
            "hosts at 127.{}.{}.*, {ports:?}, {terms:?}",
            net.0, net.1
        ));
        Self {
            record,
            ports,
            terms,
            hosts: Vec::new(),
            dir,
            seeds: Vec::new(),
            net,
        }
    }

    pub fn address(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, host)
    }

    /// Adds a host; its number is the last byte of its address.
    pub fn add(
        &mut self,
        class: Class,
        number: u8,
        zone: &'static str,
        service: &'static str,
    ) -> usize {
        let name = format!("{class:?}-{number}").to_lowercase();
        let ip = self.address(number);
        self.hosts.push(Host {
            name,
            class,
            ip,
            zone,
            service,
            child: None,
            starts: 0,
        });
        self.hosts.len() - 1
    }

    pub fn of(&self, class: Class) -> Vec<usize> {
        (0..self.hosts.len())
            .filter(|i| self.hosts[*i].class == class)
            .collect()
    }

    fn settings(&self, host: &Host, bootstrap: bool) -> String {
        let p = self.ports;
        let (ip, class) = (host.ip, host.class);
        let role = match class {
            Class::Front => ("balancer", "front"),
            Class::Side => ("agent", "side"),
            Class::Core => ("control", "control"),
        };
        let listen = match class {
            Class::Front => format!(
                "  datagram_addr: \"{ip}:{}\"\n  ready_addr: \"{ip}:{}\"\n",
                p.datagram, p.ready
            ),
            Class::Side => format!(
                "  datagram_addr: \"{ip}:{}\"\n  outbound: \"{ip}:{}\"\n  ready_addr: \"{ip}:{}\"\n  control: \"{ip}:{}\"\n",
                p.datagram, p.outbound, p.ready, p.control
            ),
            Class::Core => format!("  control: \"{ip}:{}\"\n", p.control),
        };
        let own_server = match class {
            Class::Side => format!("service: \"{}\"\napp: \"{ip}:{}\"\n", host.service, p.app),
            _ => String::new(),
        };
        let mut seeds = self.of(Class::Core);
        if !bootstrap && !self.seeds.is_empty() {
            seeds = self.seeds.clone();
        }
        let seeds: String = seeds
            .iter()
            .take(3)
            .map(|i| format!("  - \"{}:{}\"\n", self.hosts[*i].ip, p.control))
            .collect();
        let data_dir = match class {
            Class::Core => format!("\"{}\"", self.data_dir(host).display()),
            _ => "null".to_owned(),
        };
        let is_core = class == Class::Core;
        format!(
            "node_name: \"{name}\"\nrole: \"{role}\"\nmachine_class: \"{machine}\"\nserves:\n  - \"{serves}\"\n\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"region\"\nlisten:\n{listen}port_range:\n  - {inner}\n  - {inner}\n\
             seeds:\n{seeds}bootstrap: {bootstrap}\ncounts_as_loss: {is_core}\n\
             limits:\n  cpu_share: 0.25\n  cpus: 1\n  memory_mb: 256\n  max_fds: 4096\n  link_mbps: 1000.0\n  disk_mb: 128\n\
             data_dir: {data_dir}\ndiscovery: \"local\"\nentry: \"bgp_announce\"\nheartbeat_ms: {beat}\n\
             fault_tolerance:\n  machines: {tolerated}\n  zones: 1\n  regions: 0\n\
             bounds:\n  seed_lag_s: 3\n  addr_reuse_s: 2\n  stability_window_ms: 4000\n  ack_ms: 5000\n  catch_up_s: 4\n  \
             drain_ms: 3000\n  grace_s: 6\n  loss_slack_ms: 200\n  config_apply_ms: 3000\n  rollback_slack_ms: 250\n  \
             max_stretch_ms: 12000\n  cold_overage: 1.5\n  cold_slack: 5\n  evacuate_ms: 5000\n  recovery_s: 12\n  \
             flow_reorder_ms: 2000\n  max_flow_s: {max_flow}\nconfig_mode: \"highest\"\nhash: \"mod\"\nforwarding_mode: \"agent\"\n{own_server}",
            name = host.name,
            role = role.0,
            serves = role.1,
            zone = host.zone,
            machine = format!("{class:?}").to_lowercase(),
            inner = p.inner,
            beat = self.terms.heartbeat_ms,
            tolerated = self.terms.tolerated,
            max_flow = self.terms.max_flow_s,
        )
    }

    pub fn data_dir(&self, host: &Host) -> PathBuf {
        self.dir.join(format!("data-{}", host.name))
    }

    /// Starts the program of a host with the command of the deploy file.
    pub fn start(&mut self, at: usize, bootstrap: bool) {
        let text = self.settings(&self.hosts[at], bootstrap);
        let file = self.dir.join(format!("{}.yaml", self.hosts[at].name));
        fs::write(&file, text).expect("a settings file can be written");
        if self.hosts[at].class == Class::Core {
            let _ = fs::create_dir_all(self.data_dir(&self.hosts[at]));
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", self.hosts[at].name)))
            .expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new("target/release/dogwoodrill")
            .arg("node")
            .env("DOGWOODRILL_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file starts");
        let host = &mut self.hosts[at];
        host.starts += 1;
        self.record.line(format!(
            "start {} at {} as process {} (start {}, bootstrap {bootstrap})",
            host.name,
            host.ip,
            child.id(),
            host.starts
        ));
        host.child = Some(child);
    }

    pub fn start_all(&mut self) {
        for at in 0..self.hosts.len() {
            self.start(at, true);
        }
    }

    pub fn signal(&mut self, at: usize, signal: i32) {
        let Some(child) = &self.hosts[at].child else {
            return;
        };
        let pid = child.id() as i32;
        self.record.line(format!(
            "signal {signal} to {} (process {pid})",
            self.hosts[at].name
        ));
        unsafe { kill(pid, signal) };
    }

    /// Kills the program of a host and waits for its end.
    pub fn kill(&mut self, at: usize) {
        self.signal(at, SIGKILL);
        if let Some(mut child) = self.hosts[at].child.take() {
            let _ = child.wait();
        }
    }

    /// Waits for the end of a program that was told to stop.
    pub fn wait(&mut self, at: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            match self.hosts[at].child.as_mut().map(Child::try_wait) {
                Some(Ok(Some(status))) => {
                    self.record
                        .line(format!("{} ended: {status}", self.hosts[at].name));
                    self.hosts[at].child = None;
                    return true;
                }
                None => return true,
                _ => sleep(ms(10)),
            }
        }
        false
    }

    pub fn is_running(&self, at: usize) -> bool {
        self.hosts[at].child.is_some()
    }

    /// Names of the programs that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for host in &mut self.hosts {
            if let Some(Ok(Some(status))) = host.child.as_mut().map(Child::try_wait) {
                ended.push(format!("{} ({status})", host.name));
            }
        }
        ended
    }

    pub fn end(&mut self) {
        for at in 0..self.hosts.len() {
            if self.hosts[at].child.is_some() {
                self.kill(at);
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }

    /// Waits until all balancers say that they are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut left = self.of(Class::Front);
        while Instant::now() < until {
            left.retain(|i| {
                let address = SocketAddrV4::new(self.hosts[*i].ip, self.ports.ready);
                http(address, "GET", "/ready", b"", ms(500)).is_none_or(|r| r.0 != 200)
            });
            if left.is_empty() {
                self.record.line("all balancers are ready");
                return true;
            }
            sleep(ms(100));
        }
        false
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        self.end();
    }
}

fn free_port(net: (u8, u8)) -> u16 {
    let ip = Ipv4Addr::new(127, net.0, net.1, 1);
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// One HTTP call. Returns the status, the headers and the body; `None` without an answer in time.
pub fn http(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
    limit: Duration,
) -> Option<(u16, String, Vec<u8>)> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(to), limit).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.set_write_timeout(Some(limit)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut all = Vec::new();
    let mut buf = [0; 65536];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        stream.set_read_timeout(Some(left)).ok()?;
        match stream.read(&mut buf) {
            Ok(0) => break,
            Ok(n) => all.extend_from_slice(&buf[..n]),
            Err(_) => return None,
        }
    }
    let end = all.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&all[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, head, all[end + 4..].to_vec()))
}

/// The operator: sends an order to the control hosts in turn until it has a clear answer.
pub struct Operator {
    pub record: Record,
    pub hosts: Vec<SocketAddrV4>,
}

impl Operator {
    pub fn of(lab: &Lab) -> Self {
        let hosts = lab
            .of(Class::Core)
            .iter()
            .map(|i| SocketAddrV4::new(lab.hosts[*i].ip, lab.ports.control))
            .collect();
        Self {
            record: lab.record.clone(),
            hosts,
        }
    }

    /// One call to `to`, which follows a redirection twice.
    pub fn call_at(
        &self,
        to: SocketAddrV4,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        let mut to = to;
        for _ in 0..3 {
            let (status, head, answer) = http(
                to,
                method,
                path,
                body,
                ms(if body.len() > 50_000 { 3000 } else { 1000 }),
            )?;
            if status != 307 {
                return Some((status, answer));
            }
            let location = head.lines().find_map(|l| {
                l.to_ascii_lowercase()
                    .strip_prefix("location: http://")
                    .map(str::to_owned)
            })?;
            to = location.split('/').next()?.parse().ok()?;
        }
        None
    }

    /// Sends an order until it is acknowledged or refused. Returns the status.
    pub fn order(&self, method: &str, path: &str, body: &[u8], limit: Duration) -> Option<u16> {
        let until = Instant::now() + limit;
        let mut n = 0;
        while Instant::now() < until {
            let to = self.hosts[n % self.hosts.len()];
            n += 1;
            let answer = self.call_at(to, method, path, body);
            let status = answer.as_ref().map(|a| a.0);
            self.record.line(format!(
                "operator: {method} {path} ({} bytes) to {to}: {status:?}",
                body.len()
            ));
            match status {
                Some(s) if (200..300).contains(&s) || [400, 409, 412, 413, 422].contains(&s) => {
                    return Some(s);
                }
                _ => sleep(ms(100)),
            }
        }
        None
    }
}

/// What a server has run: flow and text of the request.
pub type Runs = Arc<Mutex<Vec<(Instant, SocketAddrV4, String)>>>;

struct ServerFlow {
    own_seq: u32,
    peer_next: u32,
    next: u32,
    is_open: bool,
    ended: bool,
    /// The packet that the caller has not acknowledged, and when it is sent again.
    unacked: Option<(Packet, Instant, Duration)>,
    /// When the answer to the request is ready.
    answer_at: Option<(Instant, String)>,
}

/// A backend server beside an agent.
pub struct Server {
    pub runs: Runs,
    pub reports: Arc<Mutex<Vec<(Instant, u64, bool)>>>,
    stop: Arc<AtomicBool>,
    pub sequence: Arc<AtomicU64>,
    pub opened: Arc<Mutex<Vec<(Instant, SocketAddrV4)>>>,
    born: u128,
    threads: Vec<thread::JoinHandle<()>>,
}

#[derive(Clone)]
pub struct ServerOptions {
    pub id: String,
    pub service: &'static str,
    pub first_sequence: u64,
    pub work: Duration,
    /// Whether the pause after failed reports increases.
    pub backs_off: bool,
}

impl Server {
    pub fn start(lab: &Lab, at: usize, options: ServerOptions) -> Self {
        let host = &lab.hosts[at];
        let (ip, ports, zone) = (host.ip, lab.ports, host.zone);
        let stop = Arc::new(AtomicBool::new(false));
        let sequence = Arc::new(AtomicU64::new(options.first_sequence));
        let runs: Runs = Arc::default();
        let opened: Arc<Mutex<Vec<_>>> = Arc::default();
        let reports: Arc<Mutex<Vec<_>>> = Arc::default();
        let app = SocketAddrV4::new(ip, ports.app);
        let socket = UdpSocket::bind(app).expect("the server's port is free");
        let health = TcpListener::bind(app).expect("the server's port is free");
        lab.record.line(format!(
            "server {} ({}) starts at {app}",
            options.id, options.service
        ));
        let mut threads = Vec::new();
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        {
            let (stop, record, options) = (stop.clone(), lab.record.clone(), options.clone());
            let (runs, opened) = (runs.clone(), opened.clone());
            threads.push(thread::spawn(move || {
                serve_flows(
                    &socket,
                    SocketAddrV4::new(ip, ports.outbound),
                    &stop,
                    &record,
                    &options,
                    &runs,
                    &opened,
                );
            }));
        }
        {
            let stop = stop.clone();
            health.set_nonblocking(true).expect("a listener");
            threads.push(thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    match health.accept() {
                        Ok((mut stream, _)) => {
                            let _ = stream.set_nonblocking(false);
                            let _ = stream.set_read_timeout(Some(ms(200)));
                            let mut buf = [0; 1024];
                            if stream.read(&mut buf).is_ok_and(|n| n > 0) {
                                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                            }
                        }
                        Err(_) => sleep(ms(5)),
                    }
                }
            }));
        }
        {
            let (stop, record, options, sequence) = (
                stop.clone(),
                lab.record.clone(),
                options.clone(),
                sequence.clone(),
            );
            let reports = reports.clone();
            let beat = ms(lab.terms.heartbeat_ms);
            threads.push(thread::spawn(move || {
                let mut due = Instant::now();
                let mut failed = 0_u32;
                while !stop.load(Ordering::Relaxed) {
                    if Instant::now() < due {
                        sleep(ms(5));
                        continue;
                    }
                    due = due.max(Instant::now() - beat) + beat;
                    let number = sequence.fetch_add(1, Ordering::Relaxed);
                    let state = "ready";
                    let body = report_body(options.service, app, zone, state, number, born);
                    let answer = http(
                        SocketAddrV4::new(ip, ports.control),
                        "PUT",
                        &format!("/instances/{}", options.id),
                        body.as_bytes(),
                        ms(1000),
                    );
                    let status = answer.map(|a| a.0);
                    failed = if status == Some(200) {
                        0
                    } else {
                        (failed + 1).min(3)
                    };
                    if options.backs_off && failed > 0 {
                        due = Instant::now() + beat * 2_u32.pow(failed);
                    }
                    reports
                        .lock()
                        .unwrap()
                        .push((Instant::now(), number, status == Some(200)));
                    record.line(format!(
                        "server {}: report {number} {state}: {status:?}",
                        options.id
                    ));
                }
            }));
        }
        Self {
            runs,
            reports,
            stop,
            sequence,
            opened,
            born,
            threads,
        }
    }

    /// Ends the server as a crash does: without a word.
    pub fn crash(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for t in self.threads.drain(..) {
            let _ = t.join();
        }
    }

    /// The body of the server's next report, which the caller sends later.
    pub fn next_report(&self, lab: &Lab, at: usize) -> String {
        let host = &lab.hosts[at];
        let number = self.sequence.fetch_add(1, Ordering::Relaxed);
        report_body(
            host.service,
            SocketAddrV4::new(host.ip, lab.ports.app),
            host.zone,
            "ready",
            number,
            self.born,
        )
    }

    pub fn is_acknowledged(&self) -> bool {
        self.reports.lock().unwrap().iter().any(|r| r.2)
    }
}

fn report_body(
    service: &str,
    app: SocketAddrV4,
    zone: &str,
    state: &str,
    sequence: u64,
    born: u128,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{app}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"max_concurrent\":2,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
    )
}

fn request_end(data: &[u8]) -> Option<usize> {
    data.windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| at + 4)
}

fn serve_flows(
    socket: &UdpSocket,
    outbound: SocketAddrV4,
    stop: &AtomicBool,
    record: &Record,
    options: &ServerOptions,
    runs: &Runs,
    opened: &Mutex<Vec<(Instant, SocketAddrV4)>>,
) {
    let mut random = Random::new();
    let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), ServerFlow> = HashMap::new();
    let mut buf = [0; 2048];
    let _ = socket.set_read_timeout(Some(ms(5)));
    let send = |p: &Packet| drop(socket.send_to(&p.encode(), outbound));
    let id = &options.id;
    while !stop.load(Ordering::Relaxed) {
        let now = Instant::now();
        for ((caller, service), flow) in &mut flows {
            if let Some((at, text)) = flow.answer_at.clone()
                && at <= now
            {
                flow.answer_at = None;
                let body = format!("{id} ran {text}");
                let data = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nResponse-Signature: {id}\r\n\r\n{body}",
                    body.len()
                );
                let p = Packet {
                    src: *service,
                    dst: *caller,
                    flags: ACK,
                    seq: flow.next,
                    ack: flow.peer_next,
                    sum: 0,
                    echo: [0; 4],
                    data: data.into_bytes(),
                }
                .signed();
                flow.next = flow.next.wrapping_add(p.data.len() as u32);
                send(&p);
                flow.unacked = Some((p, now + ms(200), ms(200)));
            }
            if let Some((p, at, pause)) = &mut flow.unacked
                && *at <= now
            {
                send(p);
                *pause = (*pause * 2).min(ms(1600));
                *at = now + *pause;
            }
        }
        let Ok((n, _)) = socket.recv_from(&mut buf) else {
            continue;
        };
        let Some(p) = Packet::decode(&buf[..n]) else {
            continue;
        };
        if !p.is_genuine() {
            record.line(format!(
                "server {id}: a packet that its sender didn't write so: {p:?}"
            ));
            runs.lock().unwrap().push((now, p.src, "UNASKED".into()));
            continue;
        }
        let key = (p.src, p.dst);
        if p.has(SYN) && !p.has(ACK) {
            let flow = flows.entry(key).or_insert_with(|| {
                let own = random.next() as u32;
                ServerFlow {
                    own_seq: own,
                    peer_next: p.seq.wrapping_add(1),
                    next: own.wrapping_add(1),
                    is_open: false,
                    ended: false,
                    unacked: None,
                    answer_at: None,
                }
            });
            if flow.is_open {
                continue;
            }
            let answer = Packet {
                src: p.dst,
                dst: p.src,
                flags: SYN | ACK,
                seq: flow.own_seq,
                ack: flow.peer_next,
                sum: 0,
                echo: [0; 4],
                data: vec![],
            }
            .signed();
            send(&answer);
            flow.unacked = Some((answer, now + ms(200), ms(200)));
            continue;
        }
        let Some(flow) = flows
            .get_mut(&key)
            .filter(|f| f.is_open || p.ack.wrapping_sub(f.own_seq) <= 1 << 20)
        else {
            if !p.has(RST) {
                let mut bounced = buf[..n].to_vec();
                bounced[30] |= BOUNCED;
                bounced[31..36].fill(0);
                let _ = socket.send_to(&bounced, outbound);
                record.line(format!(
                    "server {id}: hands back a packet of {} > {}",
                    p.src, p.dst
                ));
            }
            continue;
        };
        if !flow.is_open {
            flow.is_open = true;
            opened.lock().unwrap().push((now, p.src));
            record.line(format!("server {id}: flow {} > {} is open", p.src, p.dst));
        }
        if flow.unacked.as_ref().is_some_and(|(u, _, _)| {
            let end = u
                .seq
                .wrapping_add(u.data.len() as u32)
                .wrapping_add(u32::from(u.has(SYN)));
            p.ack.wrapping_sub(end).cast_signed() >= 0
        }) {
            flow.unacked = None;
        }
        if p.has(FIN) {
            flow.ended = true;
        }
        if !p.data.is_empty() {
            if p.seq == flow.peer_next {
                flow.peer_next = flow.peer_next.wrapping_add(p.data.len() as u32);
                if let Some(end) = request_end(&p.data) {
                    let text = String::from_utf8_lossy(&p.data[..end])
                        .lines()
                        .next()
                        .unwrap_or_default()
                        .to_owned();
                    record.line(format!(
                        "server {id}: runs {text:?} of {} > {}",
                        p.src, p.dst
                    ));
                    runs.lock().unwrap().push((now, p.src, text.clone()));
                    flow.answer_at = Some((now + options.work, text));
                }
            }
            send(
                &Packet {
                    src: p.dst,
                    dst: p.src,
                    flags: ACK,
                    seq: flow.next,
                    ack: flow.peer_next,
                    sum: 0,
                    echo: [0; 4],
                    data: vec![],
                }
                .signed(),
            );
        }
    }
}

/// How an attempt of a caller ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    Answer(String),
    /// A reset that no server sent.
    Reset,
    /// A reset of the server.
    ServerReset,
    Silence,
}

/// A caller's end of one flow.
pub struct Flow {
    pub own: SocketAddrV4,
    pub service: SocketAddrV4,
    seq: u32,
    ack: u32,
    socket: Arc<UdpSocket>,
    inbox: Arc<Mutex<HashMap<u16, Vec<Packet>>>>,
    record: Record,
}

/// A caller's host: one socket for all its flows.
pub struct Caller {
    ip: Ipv4Addr,
    socket: Arc<UdpSocket>,
    inbox: Arc<Mutex<HashMap<u16, Vec<Packet>>>>,
    record: Record,
    random: Random,
    next_port: u16,
}

impl Caller {
    pub fn new(lab: &Lab, number: u8) -> Self {
        let ip = lab.address(number);
        let socket =
            Arc::new(UdpSocket::bind((ip, lab.ports.datagram)).expect("the caller's port is free"));
        let inbox: Arc<Mutex<HashMap<u16, Vec<Packet>>>> = Arc::default();
        {
            let (socket, inbox) = (socket.clone(), Arc::downgrade(&inbox));
            let _ = socket.set_read_timeout(Some(ms(100)));
            thread::spawn(move || {
                let mut buf = [0; 2048];
                loop {
                    let Some(inbox) = inbox.upgrade() else { return };
                    if let Ok((n, _)) = socket.recv_from(&mut buf)
                        && let Some(p) = Packet::decode(&buf[..n])
                    {
                        inbox
                            .lock()
                            .unwrap()
                            .entry(p.dst.port())
                            .or_default()
                            .push(p);
                    }
                }
            });
        }
        Self {
            ip,
            socket,
            inbox,
            record: lab.record.clone(),
            random: Random::new(),
            next_port: 20_000,
        }
    }

    /// Opens a flow through the balancer at `via`, as the pages say: copies after 200 and 600 ms.
    pub fn open(&mut self, via: SocketAddrV4, service: SocketAddrV4) -> Result<Flow, Outcome> {
        self.next_port += 1;
        let own = SocketAddrV4::new(self.ip, self.next_port);
        let mut flow = Flow {
            own,
            service,
            seq: self.random.next() as u32,
            ack: 0,
            socket: self.socket.clone(),
            inbox: self.inbox.clone(),
            record: self.record.clone(),
        };
        let began = Instant::now();
        for (copy, until) in [(0, 200), (1, 600), (2, 1400)] {
            let syn = Packet {
                src: own,
                dst: service,
                flags: SYN,
                seq: flow.seq,
                ack: copy,
                sum: 0,
                echo: [0; 4],
                data: vec![],
            }
            .signed();
            let _ = self.socket.send_to(&syn.encode(), via);
            while began.elapsed() < ms(until) {
                for p in flow.take() {
                    if p.has(SYN | ACK) && p.is_genuine() {
                        flow.seq = flow.seq.wrapping_add(1);
                        flow.ack = p.seq.wrapping_add(1);
                        self.record.line(format!(
                            "caller: flow {own} > {service} opened through {via}"
                        ));
                        return Ok(flow);
                    }
                    if p.has(RST) {
                        self.record
                            .line(format!("caller: flow {own} > {service} refused"));
                        return Err(Outcome::Reset);
                    }
                }
                sleep(ms(1));
            }
        }
        self.record
            .line(format!("caller: flow {own} > {service} did not open"));
        Err(Outcome::Silence)
    }
}

impl Flow {
    fn take(&self) -> Vec<Packet> {
        self.inbox
            .lock()
            .unwrap()
            .remove(&self.own.port())
            .unwrap_or_default()
    }

    /// Whether a reset that the system sent has arrived since the last look.
    fn is_system_reset(&self, p: &Packet) -> bool {
        p.has(RST)
            && p.sum == 0
            && p.seq.wrapping_sub(self.ack).cast_signed().unsigned_abs() <= 76_800
    }

    /// Sends a request through the balancer at `via` and waits for its answer until the time limit.
    pub fn request(&mut self, via: SocketAddrV4, text: &str, limit: Duration) -> Outcome {
        let data = format!(
            "{text} HTTP/1.1\r\nRequest-Id: {}-{text}\r\n\r\n",
            self.own.port()
        )
        .into_bytes();
        let p = Packet {
            src: self.own,
            dst: self.service,
            flags: ACK,
            seq: self.seq,
            ack: self.ack,
            sum: 0,
            echo: [0; 4],
            data,
        }
        .signed();
        self.seq = self.seq.wrapping_add(p.data.len() as u32);
        let until = Instant::now() + limit;
        let (mut pause, mut due) = (ms(200), Instant::now());
        self.record.line(format!(
            "caller: {text:?} on {} > {} through {via}",
            self.own, self.service
        ));
        let mut is_acknowledged = false;
        while Instant::now() < until {
            if Instant::now() >= due && !is_acknowledged {
                let _ = self.socket.send_to(&p.encode(), via);
                due = Instant::now() + pause;
                pause = (pause * 2).min(ms(1600));
            }
            for q in self.take() {
                if self.is_system_reset(&q) {
                    self.record.line(format!(
                        "caller: {} > {}: reset by the system (sum 0, seq {:#x}, last ack {:#x})",
                        self.own, self.service, q.seq, self.ack
                    ));
                    return Outcome::Reset;
                }
                if !q.is_genuine() {
                    continue;
                }
                if q.has(RST) {
                    self.record.line(format!(
                        "caller: {} > {}: reset by the server",
                        self.own, self.service
                    ));
                    return Outcome::ServerReset;
                }
                is_acknowledged |= q.ack == self.seq;
                if !q.data.is_empty() && q.seq == self.ack {
                    self.ack = self.ack.wrapping_add(q.data.len() as u32);
                    let ack = Packet {
                        src: self.own,
                        dst: self.service,
                        flags: ACK,
                        seq: self.seq,
                        ack: self.ack,
                        sum: 0,
                        echo: [0; 4],
                        data: vec![],
                    }
                    .signed();
                    let _ = self.socket.send_to(&ack.encode(), via);
                    let text = String::from_utf8_lossy(&q.data).into_owned();
                    let body = text.split("\r\n\r\n").nth(1).unwrap_or_default().to_owned();
                    self.record.line(format!(
                        "caller: {} > {}: answered {body:?}",
                        self.own, self.service
                    ));
                    return Outcome::Answer(body);
                }
            }
            sleep(ms(1));
        }
        self.record.line(format!(
            "caller: {} > {}: no answer in {limit:?}",
            self.own, self.service
        ));
        Outcome::Silence
    }
}

/// Settings of a configuration.
pub struct Config<'a> {
    pub version: u64,
    /// Routes: port and service of each, all at 198.18.0.1.
    pub routes: &'a [(u16, &'a str)],
    pub services: &'a [&'a str],
    pub idle_timeout_ms: u64,
    /// Length of a name that makes the document larger; 0 for none.
    pub padding: usize,
}

impl Config<'_> {
    pub fn body(&self) -> Vec<u8> {
        let routes: Vec<_> = self.routes.iter().map(|(port, service)| {
            format!(
                "{{\"name\":\"r-{port}\",\"host\":\"198.18.0.1\",\"path_prefix\":\"/{port}/\",\"type\":\"unsafe\",\"timeout_ms\":4000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2}}"
            )
        }).collect();
        let services: Vec<_> = self.services.iter().map(|s| {
            format!("{{\"name\":\"{s}\",\"health_path\":\"/health\",\"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":2.0,\"cold_per_s\":0.0}}")
        }).collect();
        let extra: Vec<_> = (0..self.padding).map(|n| {
            format!(",{{\"name\":\"idle-{}-{n}\",\"host\":\"198.18.{}.{}\",\"path_prefix\":\"/9000/\",\"type\":\"safe\",\"timeout_ms\":1500,\"target_latency_ms\":100,\"priority\":2,\"service\":\"{}\",\"max_attempts\":2}}", self.version, 1 + n / 250, 1 + n % 250, self.services[0])
        }).collect();
        format!(
            "{{\"version\":{},\"routes\":[{}{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":{}}}}}",
            self.version, routes.join(","), extra.concat(), services.join(","), self.idle_timeout_ms
        ).into_bytes()
    }
}

pub fn route(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}
