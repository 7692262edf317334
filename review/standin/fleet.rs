//! Processes of the system, started as the deploy file does, on loopback addresses of their own.

use std::fs;
use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::record::Record;

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The port at which a process of the system serves its metrics, on the address of its machine.
const METRICS_PORT: u16 = 9464;
/// Host number of no machine, whose address shows that a lane is in use.
const LANE_HOST: u8 = 254;
const FIRST_PORT: u16 = 21_000;
const LAST_PORT: u16 = 29_000;

/// The ports that all hosts of a run use, and the folder of its files.
pub struct Site {
    pub folder: PathBuf,
    /// Third octet of the loopback addresses of this run.
    pub lane: u8,
    pub control: u16,
    pub datagram: u16,
    pub ready: u16,
    pub outbound: u16,
    /// Machines with a disk that may be lost at once.
    pub tolerance: u8,
    /// First of the ports for traffic between nodes.
    pub inner: u16,
    _lane: TcpListener,
}

impl Site {
    /// Makes a temporary folder, and finds loopback addresses and ports that are free.
    pub fn new() -> Result<Self, String> {
        let pid = std::process::id();
        let lanes = (0..200).map(|n| u8::try_from((pid + n) % 200).unwrap() + 1);
        let mut free = lanes.filter_map(|lane| {
            let held =
                TcpListener::bind((Ipv4Addr::new(127, 91, lane, LANE_HOST), METRICS_PORT)).ok()?;
            TcpListener::bind((Ipv4Addr::new(127, 91, lane, 1), METRICS_PORT)).ok()?;
            Some((lane, held))
        });
        let (lane, held) = free.next().ok_or("no loopback addresses are free")?;
        let is_free = |port: u16| {
            let at = (Ipv4Addr::new(127, 91, lane, 1), port);
            TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok()
        };
        let mut bases = (FIRST_PORT..LAST_PORT).step_by(40);
        let base = bases
            .find(|base| (*base..base + 40).all(is_free))
            .ok_or("no ports are free")?;
        let folder = std::env::temp_dir().join(format!("dogwoodrill-review-{pid}"));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        Ok(Self {
            folder,
            lane,
            control: base,
            datagram: base + 1,
            ready: base + 2,
            outbound: base + 3,
            tolerance: 1,
            inner: base + 5,
            _lane: held,
        })
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 91, self.lane, host)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var("REVIEW_KEEP").is_err() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

/// The role of a process, with what its settings need beside the addresses.
#[derive(Clone)]
pub enum Role {
    Control { bootstrap: bool },
    Balancer,
    Agent { service: String, app_port: u16 },
}

/// One machine with one process of the system.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub data: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Machine {
    /// Writes the settings and starts the process. The settings have the fields and values of a small
    /// deployment.
    pub fn start(
        site: &Site,
        record: &Record,
        host: u8,
        role: Role,
        seeds: &[u8],
    ) -> Result<Self, String> {
        let ip = site.ip(host);
        let class = match &role {
            Role::Control { .. } => "core",
            Role::Balancer => "front",
            Role::Agent { .. } => "side",
        };
        let name = format!("{class}-{host}");
        let mut machine = Self {
            settings: site.folder.join(format!("{name}.yaml")),
            log: site.folder.join(format!("{name}.log")),
            data: site.folder.join(format!("data-{name}")),
            name,
            ip,
            child: None,
            record: record.clone(),
        };
        machine.write_settings(site, &role, seeds)?;
        machine.restart()?;
        Ok(machine)
    }

    pub fn write_settings(&self, site: &Site, role: &Role, seeds: &[u8]) -> Result<(), String> {
        let ip = self.ip;
        let seeds: Vec<_> = seeds
            .iter()
            .map(|s| format!("  - \"{}:{}\"\n", site.ip(*s), site.control))
            .collect();
        let packets = format!(
            "  datagram_addr: \"{ip}:{}\"\n  ready_addr: \"{ip}:{}\"\n",
            site.datagram, site.ready
        );
        let control = format!("  control: \"{ip}:{}\"\n", site.control);
        let (class, serves, listen, more) = match role {
            Role::Control { bootstrap } => (
                "core",
                "control",
                control,
                format!(
                    "bootstrap: {bootstrap}\ncounts_as_loss: true\ndata_dir: \"{}\"\n",
                    self.data.display()
                ),
            ),
            Role::Balancer => (
                "front",
                "front",
                packets,
                "bootstrap: true\ncounts_as_loss: false\ndata_dir: null\n".to_owned(),
            ),
            Role::Agent { service, app_port } => (
                "side",
                "side",
                format!("{packets}{control}  outbound: \"{ip}:{}\"\n", site.outbound),
                format!(
                    "bootstrap: true\ncounts_as_loss: false\ndata_dir: null\napp: \"{ip}:{app_port}\"\nservice: \"{service}\"\n"
                ),
            ),
        };
        let text = format!(
            "node_name: \"{}\"\nrole: \"{class}\"\nmachine_class: \"{class}\"\nserves:\n  - \"{serves}\"\nip: \"{ip}\"\n\
             zone: \"gent\"\nregion: \"vlaanderen\"\nzones:\n  gent: \"vlaanderen\"\nlisten:\n{listen}port_range:\n  - {}\n  - {}\n\
             seeds:\n{}limits:\n  cpu_share: 0.6\n  cpus: 1\n  memory_mb: 256\n  max_fds: 4096\n  link_mbps: 1000.0\n  disk_mb: 128\n\
             {more}discovery: \"local\"\nentry: \"bgp_announce\"\nheartbeat_ms: 770\nfault_tolerance:\n  machines: {}\n  zones: 1\n  regions: 0\n\
             bounds:\n  seed_lag_s: 3\n  addr_reuse_s: 2\n  stability_window_ms: 4000\n  ack_ms: 5000\n  catch_up_s: 4\n  drain_ms: 3000\n\
             \x20 grace_s: 6\n  loss_slack_ms: 200\n  config_apply_ms: 3000\n  rollback_slack_ms: 250\n  max_stretch_ms: 12000\n\
             \x20 cold_overage: 1.5\n  cold_slack: 5\n  evacuate_ms: 5000\n  recovery_s: 12\n  flow_reorder_ms: 2000\n  max_flow_s: 60\n\
             config_mode: \"highest\"\nhash: \"mod\"\nforwarding_mode: \"agent\"\n",
            self.name,
            site.inner,
            site.inner + 15,
            seeds.concat(),
            site.tolerance,
        );
        fs::write(&self.settings, text).map_err(|e| e.to_string())
    }

    /// Starts the process with the settings in effect now.
    pub fn restart(&mut self) -> Result<(), String> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(|e| e.to_string())?;
        let child = Command::new("target/release/dogwoodrill")
            .arg("node")
            .env("DOGWOODRILL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("cannot start target/release/dogwoodrill: {e}"))?;
        self.record.line(&format!(
            "{} at {} starts, process {}",
            self.name,
            self.ip,
            child.id()
        ));
        self.child = Some(child);
        Ok(())
    }

    fn signal(&self, signal: i32, what: &str) {
        if let Some(child) = &self.child {
            self.record.line(&format!("{} {what}", self.name));
            let pid = i32::try_from(child.id()).expect("a process id");
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(pid, signal) };
        }
    }

    pub fn freeze(&self) {
        self.signal(SIGSTOP, "stands still (SIGSTOP)");
    }

    pub fn thaw(&self) {
        self.signal(SIGCONT, "runs again (SIGCONT)");
    }

    /// Kills the process, as a loss of power does.
    pub fn kill(&mut self) {
        self.signal(SIGKILL, "is killed (SIGKILL)");
        if let Some(mut child) = self.child.take() {
            drop(child.wait());
        }
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after the grace.
    pub fn terminate(&mut self, grace: Duration) {
        self.signal(SIGTERM, "gets SIGTERM");
        let until = Instant::now() + grace;
        while let Some(child) = &mut self.child {
            if child.try_wait().ok().flatten().is_some() {
                self.record.line(&format!("{} has ended", self.name));
                self.child = None;
                return;
            }
            if Instant::now() >= until {
                return self.kill();
            }
            sleep(Duration::from_millis(20));
        }
    }

    /// Empties the disk of a process that does not run.
    pub fn wipe(&self) {
        self.record.line(&format!("{} loses its disk", self.name));
        drop(fs::remove_dir_all(&self.data));
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            drop(child.kill());
            drop(child.wait());
        }
    }
}
