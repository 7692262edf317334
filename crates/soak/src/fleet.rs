//! Starts and signals the processes and writes their settings files.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::checker::Checker;
use crate::network::{Host, Layout, agents, balancers, controls, lock};

/// Seconds that a process may take to stop after SIGTERM.
const GRACE: u8 = 3;

#[derive(Debug)]
struct Process {
    child: Option<Child>,
    /// Whether a signal to stop was sent, so that an exit is expected.
    is_stop_expected: bool,
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
            is_stop_expected: false,
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
            fleet.start_process(host)?;
        }
        Ok(fleet)
    }

    /// Returns the addresses and ports of the run.
    pub const fn layout(&self) -> Layout {
        self.layout
    }

    /// Returns the checker that records findings.
    pub fn checker(&self) -> &Checker {
        &self.checker
    }

    /// Returns the folder with settings, data and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn process(&self, host: Host) -> &Mutex<Process> {
        &self.processes[usize::from(host) - 1]
    }

    fn settings_path(&self, host: Host) -> PathBuf {
        self.folder.join(format!("{host}.yaml"))
    }

    fn data_dir(&self, host: Host) -> PathBuf {
        self.folder.join(format!("data-{host}"))
    }

    /// Writes a host's settings file; `bootstrap` sets the setting of that name, for the first start of the system.
    pub fn write_settings(&self, host: Host, bootstrap: bool) -> io::Result<()> {
        let l = self.layout;
        let (bind_address, public_address) = (l.bind_address(host), l.public_address(host));
        let (serves, listen) = if controls().contains(&host) {
            let listen = format!("  control: \"{bind_address}:{}\"\n", l.control);
            ("control", listen)
        } else if balancers().contains(&host) {
            let (packets, ready) = (l.packets, l.ready);
            let listen = format!(
                "  datagram_addr: \"{bind_address}:{packets}\"\n  ready_addr: \"{bind_address}:{ready}\"\n"
            );
            ("front", listen)
        } else {
            let listen = format!(
                "  datagram_addr: \"{bind_address}:{}\"\n  outbound: \"{bind_address}:{}\"\n  control: \"{bind_address}:{}\"\n",
                l.packets, l.outbound, l.reports
            );
            ("side", listen)
        };
        let seeds = controls().map(|n| format!("\"{}:{}\"", l.public_address(n), l.control));
        let text = format!(
            "node_name: host-{host}\nserves: [{serves}]\nip: {public_address}\nzone: {}\nlisten:\n{listen}\
             port_range: [{}, {}]\nseeds: [{}]\nbootstrap: {bootstrap}\ndata_dir: {}\n\
             heartbeat_ms: 300\nfault_tolerance: {{machines: 1}}\n\
             bounds: {{grace_s: {GRACE}, max_flow_s: 60}}\napp: \"{bind_address}:{}\"\n",
            l.zone(host),
            l.node_traffic,
            l.node_traffic,
            seeds.collect::<Vec<_>>().join(", "),
            self.data_dir(host).display(),
            l.server,
        );
        fs::write(self.settings_path(host), text)
    }

    /// Overwrites a host's settings file with invalid YAML.
    pub fn corrupt_settings(&self, host: Host) -> io::Result<()> {
        fs::write(self.settings_path(host), "node_name: [")
    }

    /// Starts the process of a host unless it is running.
    pub fn start_process(&self, host: Host) -> io::Result<()> {
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
            .args([
                "node",
                "--bind",
                &self.layout.bind_address(host).to_string(),
            ])
            .env("DOGWOODRILL_NODE_FILE", self.settings_path(host))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        process.child = Some(child);
        process.is_stop_expected = false;
        Ok(())
    }

    /// Sends a signal to a process that this fleet started and that has not ended.
    pub fn signal(&self, host: Host, signal: Signal) {
        let mut process = lock(self.process(host));
        process.is_stop_expected |= matches!(signal, Signal::SIGTERM | Signal::SIGKILL);
        let Some(child) = &mut process.child else {
            return;
        };
        // The id of a child that was not waited for is not reused.
        if let (Ok(None), Ok(id)) = (child.try_wait(), i32::try_from(child.id())) {
            // Fails only if the process has ended in the meantime.
            _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&self, host: Host) {
        self.signal(host, Signal::SIGKILL);
        if let Some(mut child) = lock(self.process(host)).child.take() {
            drop(child.wait());
        }
    }

    /// Removes a control host's data folder; its process must not be running.
    pub fn wipe_data(&self, host: Host) -> io::Result<()> {
        match fs::remove_dir_all(self.data_dir(host)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => self.write_settings(host, false),
        }
    }

    /// Records processes that exited without a signal to stop.
    pub fn check_exits(&self) {
        for (process, host) in self.processes.iter().zip(1_u8..) {
            let mut process = lock(process);
            let is_stop_expected = process.is_stop_expected;
            if let Some(child) = &mut process.child
                && let Ok(Some(status)) = child.try_wait()
                && !is_stop_expected
            {
                self.checker.add_finding(format!(
                    "the process of host {host} exited unexpectedly: {status}"
                ));
                process.child = None;
            }
        }
    }

    /// Kills all processes.
    pub fn kill_all(&self) {
        for host in 1..=*agents().end() {
            self.kill(host);
        }
    }
}
