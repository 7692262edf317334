//! The processes of a small deployment on loopback, started with the command of the deploy file.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

pub const HEARTBEAT: Duration = Duration::from_millis(770);
pub const ZONES: [&str; 3] = ["las-piedras", "pando", "santa-lucia"];
/// Restart delay of a process that ended.
pub const RESTART_DELAY: Duration = Duration::from_millis(300);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Small generator of random numbers.
pub fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    RandomState::new().build_hasher().finish()
}

/// The record of a run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_millis();
        let text = text.as_ref();
        println!("{at:>7} ms  {text}");
        writeln!(lock(&self.file), "{at:>7} ms  {text}").expect("the record can be written");
    }
}

#[derive(Clone, Copy)]
pub struct Ports {
    pub node: u16,
    pub packets: u16,
    pub ready: u16,
    pub control: u16,
    pub reports: u16,
    pub outbound: u16,
    pub app: u16,
}

fn free_port() -> u16 {
    loop {
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).expect("a port is free");
        let port = listener.local_addr().expect("it is bound").port();
        if UdpSocket::bind((Ipv4Addr::UNSPECIFIED, port)).is_ok() {
            return port;
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    Control,
    Front,
    Side,
}

pub struct Host {
    pub name: String,
    pub role: Role,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    /// Service of the server beside the agent.
    pub service: &'static str,
    child: Mutex<Option<Child>>,
    starts: Mutex<u32>,
}

/// The deployment: 3 control hosts, one a zone; 3 balancers; an agent for each server.
pub struct Lab {
    pub hosts: Vec<Host>,
    pub ports: Ports,
    pub record: Record,
    /// The control hosts that settings files name as seeds.
    pub seeds: Mutex<Vec<Ipv4Addr>>,
    net: (u8, u8),
    folder: PathBuf,
}

impl Lab {
    /// Starts all processes. `servers` gives the zone's number and the service of each server.
    pub fn start(record: Record, servers: &[(usize, &'static str)]) -> Self {
        let lab = Self::new(record, servers, 0);
        for host in &lab.hosts {
            lab.start_process(host);
        }
        lab
    }

    /// Starts three control hosts alone. The last host of the lab is a fourth one, which is not started.
    pub fn start_core(record: Record) -> Self {
        let mut lab = Self::new(record, &[], 1);
        lab.hosts.retain(|h| h.role == Role::Control);
        for host in &lab.hosts[..3] {
            lab.start_process(host);
        }
        lab
    }

    fn new(record: Record, servers: &[(usize, &'static str)], successors: u8) -> Self {
        let id = std::process::id();
        let net = (100 + (id % 100) as u8, ((id / 100) % 250) as u8);
        let ports = Ports {
            node: free_port(),
            packets: free_port(),
            ready: free_port(),
            control: free_port(),
            reports: free_port(),
            outbound: free_port(),
            app: free_port(),
        };
        let folder = std::env::temp_dir().join(format!("dogwoodrill-review-3-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let mut hosts = Vec::new();
        let mut add = |role, n: u8, zone: usize, service| {
            let role_name = match role {
                Role::Control => "core",
                Role::Front => "front",
                Role::Side => "side",
            };
            hosts.push(Host {
                name: format!("{role_name}-{}-{n}", ZONES[zone]),
                role,
                ip: Ipv4Addr::new(127, net.0, net.1, n),
                zone: ZONES[zone],
                service,
                child: Mutex::new(None),
                starts: Mutex::new(0),
            });
        };
        for zone in 0..3_u8 {
            add(Role::Control, 11 + zone, zone.into(), "");
            add(Role::Front, 21 + zone, zone.into(), "");
        }
        for (n, (zone, service)) in servers.iter().enumerate() {
            add(Role::Side, 31 + n as u8, *zone, *service);
        }
        for n in 0..successors {
            add(Role::Control, 14 + n, 0, "");
        }
        let seeds = hosts.iter().filter(|h| h.role == Role::Control).take(3);
        Self {
            seeds: Mutex::new(seeds.map(|h| h.ip).collect()),
            hosts,
            ports,
            record,
            net,
            folder,
        }
    }

    /// Address of client machine `n`.
    pub fn client_ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, 200 + n)
    }

    pub fn of_role(&self, role: Role) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(move |h| h.role == role)
    }

    fn settings(&self, host: &Host, bootstrap: bool) -> String {
        let (ip, p) = (host.ip, self.ports);
        let (serves, listen, rest) = match host.role {
            Role::Control => (
                "control",
                format!("  control: \"{ip}:{}\"\n", p.control),
                format!(
                    "data_dir: \"{}\"\n",
                    self.folder.join(&host.name).join("data").display()
                ),
            ),
            Role::Front => (
                "front",
                format!(
                    "  datagram_addr: \"{ip}:{}\"\n  ready_addr: \"{ip}:{}\"\n",
                    p.packets, p.ready
                ),
                "data_dir: null\n".to_owned(),
            ),
            Role::Side => (
                "side",
                format!(
                    "  datagram_addr: \"{ip}:{}\"\n  ready_addr: \"{ip}:{}\"\n  outbound: \"{ip}:{}\"\n  control: \"{ip}:{}\"\n",
                    p.packets, p.ready, p.outbound, p.reports
                ),
                format!(
                    "data_dir: null\nservice: \"{}\"\napp: \"{ip}:{}\"\n",
                    host.service, p.app
                ),
            ),
        };
        let zones: String = ZONES
            .iter()
            .map(|z| format!("  {z}: \"canelones\"\n"))
            .collect();
        let seeds: String = lock(&self.seeds)
            .iter()
            .map(|ip| format!("  - \"{ip}:{}\"\n", p.control))
            .collect();
        format!(
            "node_name: \"{}\"\nrole: \"{serves}\"\nmachine_class: \"{serves}\"\nserves:\n  - \"{serves}\"\n\
             ip: \"{ip}\"\nzone: \"{}\"\nregion: \"canelones\"\nzones:\n{zones}listen:\n{listen}\
             port_range:\n  - {}\n  - {}\nseeds:\n{seeds}bootstrap: {bootstrap}\ncounts_as_loss: {}\n{rest}\
             discovery: \"local\"\nentry: \"bgp_announce\"\nheartbeat_ms: {}\n\
             contracts: [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"flows\", \"places\"]\n\
             fault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 0\n\
             bounds:\n  seed_lag_s: 3\n  addr_reuse_s: 2\n  stability_window_ms: 4000\n  ack_ms: 5000\n  catch_up_s: 4\n\
             \x20 drain_ms: 3000\n  grace_s: 6\n  loss_slack_ms: 200\n  config_apply_ms: 3000\n  rollback_slack_ms: 250\n\
             \x20 max_stretch_ms: 12000\n  cold_overage: 1.5\n  cold_slack: 5\n  evacuate_ms: 5000\n  recovery_s: 12\n\
             \x20 flow_reorder_ms: 2000\n  max_flow_s: 60\n\
             config_mode: \"highest\"\nhash: \"mod\"\nforwarding_mode: \"agent\"\n",
            host.name,
            host.zone,
            p.node,
            p.node,
            host.role == Role::Control,
            HEARTBEAT.as_millis(),
        )
    }

    /// Starts the process of a host as the deploy file runs it: `target/release/dogwoodrill node`.
    pub fn start_process(&self, host: &Host) {
        let mut starts = lock(&host.starts);
        let folder = self.folder.join(&host.name);
        fs::create_dir_all(&folder).expect("a folder can be made");
        let settings = folder.join("node.yaml");
        let bootstrap = *starts == 0 && lock(&self.seeds).contains(&host.ip);
        fs::write(&settings, self.settings(host, bootstrap)).expect("settings can be written");
        *starts += 1;
        let log = File::create(folder.join(format!("log-{starts}"))).expect("a log can be made");
        let mut command = Command::new("target/release/dogwoodrill");
        command
            .arg("node")
            .env("DOGWOODRILL_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log can be shared"))
            .stderr(log);
        // A process must not outlive the stand-in, even if that is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .spawn()
            .expect("target/release/dogwoodrill can be started");
        *lock(&host.child) = Some(child);
    }

    /// Sends a signal to the process of a host, if it runs.
    pub fn signal(&self, host: &Host, signal: i32) {
        if let Some(child) = lock(&host.child).as_mut()
            && matches!(child.try_wait(), Ok(None))
        {
            // The id of a child that was not waited for is not used again.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the process of a host has ended.
    pub fn wait(&self, host: &Host) {
        if let Some(mut child) = lock(&host.child).take() {
            drop(child.wait());
        }
    }

    /// Whether the process of a host runs.
    pub fn is_running(&self, host: &Host) -> bool {
        let mut child = lock(&host.child);
        child
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Removes the disk of a control host, whose process must have ended.
    pub fn wipe(&self, host: &Host) {
        let data = self.folder.join(&host.name).join("data");
        fs::remove_dir_all(data).expect("the disk can be removed");
    }

    /// Copies the lines of the agents' logs that contain one of `words` into the record.
    pub fn quote_logs(&self, role: Role, words: &[&str], most: usize) {
        for host in self.of_role(role) {
            for n in 1..=*lock(&host.starts) {
                let path = self.folder.join(&host.name).join(format!("log-{n}"));
                let text = fs::read_to_string(path).unwrap_or_default();
                let lines = text.lines().filter(|l| words.iter().any(|w| l.contains(w)));
                for line in lines.take(most) {
                    self.record
                        .line(format!("log of {} start {n}: {line}", host.name));
                }
            }
        }
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        for host in &self.hosts {
            self.signal(host, SIGKILL);
            self.wait(host);
        }
        drop(fs::remove_dir_all(&self.folder));
    }
}

/// Makes one HTTP call on a connection of its own; `None` without an answer within a second.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String, String)> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&to.into(), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let started = Instant::now();
    let mut buf = [0; 4096];
    loop {
        match stream.read(&mut buf) {
            Ok(0) => break,
            Ok(n) => answer.extend_from_slice(&buf[..n]),
            Err(_) => return None,
        }
        if started.elapsed() > limit {
            return None;
        }
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let location = head.lines().find_map(|l| {
        l.to_ascii_lowercase()
            .strip_prefix("location: ")
            .map(str::to_owned)
    });
    Some((status, location.unwrap_or_default(), body.to_owned()))
}

/// The operator: picks among the control hosts, follows a 307 twice and sends again without a clear answer.
pub fn order(lab: &Lab, method: &str, path: &str, body: &str) -> bool {
    let controls: Vec<_> = lab.of_role(Role::Control).map(|h| h.ip).collect();
    let mut pause = Duration::from_millis(50);
    for attempt in 0..40 {
        let first = (random() as usize + attempt) % controls.len();
        let mut to = SocketAddrV4::new(controls[first], lab.ports.control);
        for _ in 0..3 {
            match call(to, method, path, body) {
                Some((status @ 200..=299, _, _)) => {
                    lab.record
                        .line(format!("operator: {method} {path} at {to}: {status}"));
                    return true;
                }
                Some((307, location, _)) => {
                    let address = location.strip_prefix("http://").unwrap_or_default();
                    let address = address.split('/').next().unwrap_or_default();
                    let Ok(next) = address.parse() else { break };
                    to = next;
                }
                Some((status @ 400..=499, _, text)) => {
                    lab.record.line(format!(
                        "operator: {method} {path} at {to}: {status} {text}"
                    ));
                    return false;
                }
                _ => break,
            }
        }
        std::thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_millis(500));
    }
    false
}
