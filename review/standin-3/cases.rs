//! The cases. Each returns whether the rule was broken, or `None` if it could not run.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{Clients, OpenFlow, Outcome};
use crate::lab::{
    HEARTBEAT, Host, Lab, RESTART_DELAY, Record, Role, SIGKILL, SIGTERM, call, lock, order,
};
use crate::server::Server;

const ORDERS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);

pub fn run(case: &str, record: &Record, trouble: bool) -> Option<bool> {
    match case {
        "cold-return" => cold_return(record, trouble),
        "cold-agents" => cold_agents(record, trouble),
        "planned-successor" => planned_successor(record, trouble),
        _ => None,
    }
}

#[derive(Clone, Copy)]
struct Config {
    cold_start_s: f64,
    cold_per_s: f64,
}

const CONFIG: Config = Config {
    cold_start_s: 2.0,
    cold_per_s: 0.0,
};

impl Config {
    fn text(self) -> String {
        self.text_of(3)
    }

    fn text_of(self, version: u64) -> String {
        format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-orders\",\"host\":\"{}\",\"path_prefix\":\"/{}/\",\"type\":\"safe\",\"timeout_ms\":1000,\"target_latency_ms\":200,\"priority\":2,\"service\":\"orders\",\"max_attempts\":2}}],\"services\":[{{\"name\":\"orders\",\"health_path\":\"/health\",\"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":{:.1},\"cold_per_s\":{:.1}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            ORDERS.ip(),
            ORDERS.port(),
            self.cold_start_s,
            self.cold_per_s
        )
    }
}

/// Service time of a request.
const WORK: Duration = Duration::from_millis(15);

/// Starts the servers and clients, sends the configuration and waits until requests are served.
fn begin(lab: &Lab, config: Config) -> Option<(Vec<Server>, Arc<Clients>)> {
    if !order(lab, "PUT", "/config", &config.text()) {
        return None;
    }
    let servers = lab
        .of_role(Role::Side)
        .map(|h| Server::start(lab, h, WORK, Duration::ZERO));
    let servers: Vec<_> = servers.collect();
    let clients = Clients::start(lab);
    let until = Instant::now() + Duration::from_secs(15);
    let mut served = 0;
    while served < 20 {
        if Instant::now() > until {
            lab.record.line("no requests are served");
            return None;
        }
        sleep(Duration::from_millis(50));
        if clients.in_rotation() == 3 && clients.single(ORDERS) == Outcome::Served {
            served += 1;
        }
    }
    lab.record.line("requests are served");
    Some((servers, clients))
}

/// Clients that open a flow for each request, at a constant rate, until dropped.
struct Traffic {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU32>,
    failed: Arc<AtomicU32>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Traffic {
    fn start(clients: &Arc<Clients>, per_s: u32) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (served, failed) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
        let (clients, stopped) = (Arc::clone(clients), Arc::clone(&stop));
        let counts = (Arc::clone(&served), Arc::clone(&failed));
        let thread = thread::spawn(move || {
            let mut next = Instant::now();
            while !stopped.load(SeqCst) {
                next += Duration::from_secs(1) / per_s;
                sleep(next.saturating_duration_since(Instant::now()));
                let clients = Arc::clone(&clients);
                let counts = (Arc::clone(&counts.0), Arc::clone(&counts.1));
                thread::spawn(move || {
                    let outcome = clients.single(ORDERS);
                    let count = if outcome == Outcome::Served {
                        counts.0
                    } else {
                        counts.1
                    };
                    count.fetch_add(1, SeqCst);
                });
            }
        });
        Self {
            stop,
            served,
            failed,
            thread: Some(thread),
        }
    }

    fn end(&mut self, record: &Record) {
        self.stop.store(true, SeqCst);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
        sleep(Duration::from_millis(1500));
        let (served, failed) = (self.served.load(SeqCst), self.failed.load(SeqCst));
        record.line(format!("clients: {served} requests served, {failed} not"));
    }
}

/// FAILBACK: servers of an evacuated zone become cold shortly before the zone is taken back.
fn cold_return(record: &Record, trouble: bool) -> Option<bool> {
    let config = Config {
        cold_per_s: 4.0,
        ..CONFIG
    };
    let limit = config.cold_per_s * 1.5 + 5.0;
    let cold_for = Duration::from_secs_f64(config.cold_start_s);
    let lab = Lab::start(
        record.clone(),
        &[
            (0, "orders"),
            (0, "orders"),
            (1, "orders"),
            (1, "orders"),
            (2, "orders"),
            (2, "orders"),
        ],
    );
    let (servers, clients) = begin(&lab, config)?;
    let zone = servers[0].zone;
    let mut traffic = Traffic::start(&clients, 360);
    sleep(Duration::from_secs(2));
    let path = format!("/evacuations/{zone}");
    if !order(&lab, "POST", &path, "") {
        return None;
    }
    sleep(Duration::from_secs(6));
    // The servers become cold between two of their reports, 150 ms before the zone is taken back.
    let reported = lock(&servers[0].seen).last_report_at?;
    let mut cold_at = reported + Duration::from_millis(100);
    while cold_at < Instant::now() {
        cold_at += HEARTBEAT;
    }
    sleep(cold_at.saturating_duration_since(Instant::now()));
    let in_zone = servers.iter().filter(|s| s.zone == zone);
    if trouble {
        for server in in_zone.clone() {
            lock(&server.mood).cold_until = Some(cold_at + cold_for);
        }
        record.line(format!(
            "the servers of {zone} are cold for {} ms",
            cold_for.as_millis()
        ));
    }
    sleep(Duration::from_millis(150));
    if !order(&lab, "DELETE", &path, "") {
        return None;
    }
    sleep(Duration::from_secs(4));
    traffic.end(record);
    let mut broken = false;
    let sent_at = lock(&clients.opened_at);
    for server in in_zone {
        let seen = lock(&server.seen);
        // Requests that were sent and arrived while the server was cold.
        let cold = cold_at..cold_at + cold_for;
        let taken = seen.taken.iter().filter(|t| t.opened);
        let taken = taken.filter_map(|t| Some((*sent_at.get(&t.flow)?, t.at)));
        let arrived = taken.filter(|(sent, at)| cold.contains(sent) && cold.contains(at));
        let arrived: Vec<_> = arrived.collect();
        let counts = arrived.iter().map(|(first, _)| {
            let second = *first..*first + Duration::from_secs(1);
            let inside =
                |(sent, at): &&(Instant, Instant)| second.contains(sent) && second.contains(at);
            arrived.iter().filter(inside).count()
        });
        let most = counts.max().unwrap_or(0);
        record.line(format!(
            "server {} got {} requests in the {} ms from the change on, {most} of them in one second; limit while cold {limit}",
            server.id,
            arrived.len(),
            cold_for.as_millis()
        ));
        broken |= trouble && most as f64 > limit;
    }
    clients.stop();
    Some(broken)
}

/// FLOW: all agents are killed at once while the servers beside them are still cold.
fn cold_agents(record: &Record, trouble: bool) -> Option<bool> {
    let config = Config {
        cold_start_s: 8.0,
        ..CONFIG
    };
    let cold_for = Duration::from_secs_f64(config.cold_start_s);
    let lab = Lab::start(
        record.clone(),
        &[(0, "orders"), (1, "orders"), (2, "orders")],
    );
    let (mut servers, clients) = begin(&lab, config)?;
    let mut traffic = Traffic::start(&clients, 60);
    sleep(Duration::from_secs(2));
    // The servers are replaced one after the other; each new one is cold.
    let hosts: Vec<&Host> = lab.of_role(Role::Side).collect();
    for (server, host) in servers.iter_mut().zip(&hosts) {
        server.end();
        *server = Server::start(&lab, host, WORK, cold_for);
        sleep(Duration::from_secs(1));
    }
    sleep(Duration::from_millis(1500));
    let mut flows = open_long_flows(&lab, &clients, 30);
    if flows.len() < 20 {
        return None;
    }
    sleep(Duration::from_millis(700));
    if trouble {
        record.line("all agents are killed");
        for host in &hosts {
            lab.signal(host, SIGKILL);
        }
        for host in &hosts {
            lab.wait(host);
        }
        sleep(RESTART_DELAY);
        for host in &hosts {
            lab.start_process(host);
        }
        record.line("all agents are started again");
    }
    sleep(Duration::from_secs(9));
    let broken = use_long_flows(&lab, &clients, &mut flows);
    traffic.end(record);
    lab.quote_logs(Role::Side, &["all began together"], 1);
    lab.quote_logs(Role::Side, &["found nowhere", "found-nowhere"], 3);
    clients.stop();
    let crashed = lab.hosts.iter().filter(|h| !lab.is_running(h)).count();
    record.line(format!("{crashed} processes have ended by themselves"));
    Some(broken > 0)
}

/// LOST: a control host is replaced as planned, and the tolerated loss of a disk follows, `AFTER_MS` (1500) after the
/// old host has ended.
fn planned_successor(record: &Record, trouble: bool) -> Option<bool> {
    let lab = Lab::start_core(record.clone());
    if !order(&lab, "PUT", "/config", &CONFIG.text()) {
        return None;
    }
    sleep(Duration::from_secs(5));
    let port = lab.ports.control;
    let address = |host: &Host| SocketAddrV4::new(host.ip, port);
    let is_leader = |host: &&Host| {
        let answer = call(address(host), "GET", "/config", "");
        matches!(answer, Some((200, _, _)))
    };
    let founders = &lab.hosts[..3];
    let leader = founders.iter().find(is_leader)?;
    let leaving = founders.iter().find(|h| h.ip != leader.ip)?;
    if trouble {
        let successor = lab.hosts.last()?;
        lab.start_process(successor);
        record.line(format!(
            "successor {} starts at {}",
            successor.name, successor.ip
        ));
        sleep(Duration::from_millis(5000));
        lab.signal(leaving, SIGTERM);
        lab.wait(leaving);
        record.line(format!(
            "{} at {} got SIGTERM and has ended; it never comes back",
            leaving.name, leaving.ip
        ));
        let rest = lab.hosts.iter().filter(|h| h.ip != leaving.ip);
        *lock(&lab.seeds) = rest.map(|h| h.ip).collect();
        let after_ms = std::env::var("AFTER_MS")
            .ok()
            .and_then(|ms| ms.parse().ok());
        sleep(Duration::from_millis(after_ms.unwrap_or(1500)));
    }
    if !order(&lab, "PUT", "/config", &CONFIG.text_of(7)) {
        return None;
    }
    lab.signal(leader, SIGKILL);
    lab.wait(leader);
    lab.wipe(leader);
    record.line(format!(
        "{} at {}, which acknowledged version 7, loses power and its disk",
        leader.name, leader.ip
    ));
    sleep(Duration::from_millis(1000));
    lab.start_process(leader);
    record.line("it starts again at its address, with an empty disk");
    let until = Instant::now() + Duration::from_secs(45);
    let mut answers = std::collections::BTreeMap::new();
    let mut is_read = false;
    while Instant::now() < until && !is_read {
        for host in &lab.hosts {
            let answer = call(address(host), "GET", "/config", "");
            let status = answer
                .as_ref()
                .map_or("none".to_owned(), |a| a.0.to_string());
            *answers.entry((host.name.clone(), status)).or_insert(0) += 1;
            is_read |= matches!(&answer, Some((200, _, body)) if body.contains("\"version\":7"));
        }
        sleep(Duration::from_millis(300));
    }
    record.line(format!("reads of the configuration: {answers:?}"));
    record.line(format!("version 7 was read back: {is_read}"));
    lab.quote_logs(Role::Control, &["committed members"], 6);
    Some(!is_read)
}

/// Opens flows and sends one request on each.
fn open_long_flows(lab: &Lab, clients: &Clients, count: usize) -> Vec<OpenFlow> {
    let opened = (0..count).filter_map(|_| {
        let mut flow = clients.open(ORDERS).ok()?;
        let outcome = clients.request(&mut flow, Duration::from_secs(2));
        sleep(Duration::from_millis(10));
        (outcome == Outcome::Served).then_some(flow)
    });
    let opened: Vec<_> = opened.collect();
    lab.record.line(format!(
        "{} flows are open, each has had one answer",
        opened.len()
    ));
    opened
}

/// Sends another request on each flow; returns how many the system reset.
fn use_long_flows(lab: &Lab, clients: &Clients, flows: &mut [OpenFlow]) -> usize {
    let mut counts = std::collections::BTreeMap::new();
    for flow in flows {
        let outcome = clients.request(flow, Duration::from_secs(1));
        *counts.entry(format!("{outcome:?}")).or_insert(0) += 1;
        if outcome == Outcome::ResetBySystem && counts["ResetBySystem"] <= 5 {
            lab.record
                .line(format!("flow {:?} was reset, not by its server", flow.key));
        }
    }
    lab.record
        .line(format!("the next requests on the flows: {counts:?}"));
    counts.get("ResetBySystem").copied().unwrap_or(0)
}
