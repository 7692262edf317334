//! The processes, their settings files, and signals to them.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::checker::Checker;
use crate::network::{Host, Layout, agents, balancers, controls, lock};

/// Seconds between a request to stop and the end of a process.
const GRACE: u8 = 3;

#[derive(Debug)]
struct Process {
    child: Option<Child>,
    /// It was told to stop, so it may end by itself.
    may_end: bool,
    starts: u32,
}

/// All processes of a run.
#[derive(Debug)]
pub struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    layout: Layout,
    checker: Arc<Checker>,
    processes: Vec<Mutex<Process>>,
}

impl Fleet {
    /// Starts all processes for the first time.
    pub fn start(
        program: &Path,
        folder: &Path,
        layout: Layout,
        checker: &Arc<Checker>,
    ) -> io::Result<Self> {
        let last = *agents().end();
        let empty = || Process {
            child: None,
            may_end: false,
            starts: 0,
        };
        let fleet = Self {
            program: program.to_owned(),
            folder: folder.to_owned(),
            layout,
            checker: Arc::clone(checker),
            processes: (1..=last).map(|_| Mutex::new(empty())).collect(),
        };
        for host in 1..=last {
            fleet.write_settings(host, true)?;
            fleet.start_one(host)?;
        }
        Ok(fleet)
    }

    /// Addresses and ports.
    pub const fn layout(&self) -> Layout {
        self.layout
    }

    /// What must hold.
    pub fn checker(&self) -> &Checker {
        &self.checker
    }

    /// Where settings, data and logs are.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn process(&self, host: Host) -> &Mutex<Process> {
        &self.processes[usize::from(host) - 1]
    }

    fn settings_path(&self, host: Host) -> PathBuf {
        self.folder.join(format!("{host}.yaml"))
    }

    fn data(&self, host: Host) -> PathBuf {
        self.folder.join(format!("data-{host}"))
    }

    /// Writes a host's settings file; `founding` as at the very first start.
    pub fn write_settings(&self, host: Host, founding: bool) -> io::Result<()> {
        let l = self.layout;
        let (own, public) = (l.own(host), l.public(host));
        let (serves, listen) = if controls().contains(&host) {
            let listen = format!("  control: \"{own}:{}\"\n", l.control);
            ("control", listen)
        } else if balancers().contains(&host) {
            let (packets, ready) = (l.packets, l.ready);
            let listen =
                format!("  datagram_addr: \"{own}:{packets}\"\n  ready_addr: \"{own}:{ready}\"\n");
            ("front", listen)
        } else {
            let listen = format!(
                "  datagram_addr: \"{own}:{}\"\n  outbound: \"{own}:{}\"\n  control: \"{own}:{}\"\n",
                l.packets, l.outbound, l.reports
            );
            ("side", listen)
        };
        let seeds = controls().map(|n| format!("\"{}:{}\"", l.public(n), l.control));
        let text = format!(
            "node_name: host-{host}\nserves: [{serves}]\nip: {public}\nzone: {}\nlisten:\n{listen}\
             port_range: [{}, {}]\nseeds: [{}]\nbootstrap: {founding}\ndata_dir: {}\n\
             heartbeat_ms: 300\nfault_tolerance: {{machines: 1}}\n\
             bounds: {{grace_s: {GRACE}, max_flow_s: 60}}\napp: \"{own}:{}\"\n",
            l.zone(host),
            l.inner,
            l.inner,
            seeds.collect::<Vec<_>>().join(", "),
            self.data(host).display(),
            l.server,
        );
        fs::write(self.settings_path(host), text)
    }

    /// Makes a host's settings file unreadable.
    pub fn spoil_settings(&self, host: Host) -> io::Result<()> {
        fs::write(self.settings_path(host), "node_name: [")
    }

    /// Starts a process that does not run.
    pub fn start_one(&self, host: Host) -> io::Result<()> {
        let mut process = lock(self.process(host));
        if let Some(child) = &mut process.child
            && child.try_wait()?.is_none()
        {
            return Ok(());
        }
        if process.starts > 0 {
            self.write_settings(host, false)?;
        }
        process.starts += 1;
        let log = format!("{host}-{}.log", process.starts);
        let log = fs::File::create(self.folder.join(log))?;
        let child = Command::new(&self.program)
            .args(["node", "--bind", &self.layout.own(host).to_string()])
            .env("DOGWOODRILL_NODE_FILE", self.settings_path(host))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        process.child = Some(child);
        process.may_end = false;
        Ok(())
    }

    /// Sends a signal to a process that this fleet started and that has not ended.
    pub fn signal(&self, host: Host, signal: Signal) {
        let mut process = lock(self.process(host));
        process.may_end |= matches!(signal, Signal::SIGTERM | Signal::SIGKILL);
        let Some(child) = &mut process.child else {
            return;
        };
        // A child that was not waited for keeps its id.
        if let (Ok(None), Ok(id)) = (child.try_wait(), i32::try_from(child.id())) {
            // It fails only for a process that ended just now.
            _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// The process ends at once, whatever it does.
    pub fn kill(&self, host: Host) {
        self.signal(host, Signal::SIGKILL);
        if let Some(mut child) = lock(self.process(host)).child.take() {
            drop(child.wait());
        }
    }

    /// Drops a control host's disk; its process must not run.
    pub fn wipe(&self, host: Host) -> io::Result<()> {
        match fs::remove_dir_all(self.data(host)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => self.write_settings(host, false),
        }
    }

    /// Looks for processes that ended by themselves.
    pub fn check(&self) {
        for (process, host) in self.processes.iter().zip(1_u8..) {
            let mut process = lock(process);
            let may_end = process.may_end;
            if let Some(child) = &mut process.child
                && let Ok(Some(status)) = child.try_wait()
                && !may_end
            {
                self.checker.find(format!(
                    "the process of host {host} ended by itself: {status}"
                ));
                process.child = None;
            }
        }
    }

    /// Ends all processes.
    pub fn end(&self) {
        for host in 1..=*agents().end() {
            self.kill(host);
        }
    }
}
