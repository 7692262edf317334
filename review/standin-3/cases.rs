//! The cases. Each returns whether the rule was broken, or `None` if it could not run.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{Clients, OpenFlow, Outcome};
use crate::lab::{HEARTBEAT, Host, Lab, RESTART_DELAY, Record, Role, SIGKILL, lock, order};
use crate::server::{Options, Server};

const ORDERS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);

pub fn run(case: &str, record: &Record, trouble: bool) -> Option<bool> {
    match case {
        "cold-return" => cold_return(record, trouble),
        "cold-agents" => cold_agents(record, trouble),
        "idle" => idle(record, trouble),
        "foreign-report" => foreign_report(record, trouble),
        "first-report" => first_report(record, trouble),
        "cold-restart" => cold_restart(record, trouble),
        _ => None,
    }
}

#[derive(Clone, Copy)]
struct Config {
    version: u64,
    cold_start_s: f64,
    cold_per_s: f64,
    idle_timeout_ms: u64,
}

const CONFIG: Config = Config {
    version: 3,
    cold_start_s: 2.0,
    cold_per_s: 0.0,
    idle_timeout_ms: 15_000,
};

impl Config {
    fn text(self) -> String {
        format!(
            "{{\"version\":{},\"routes\":[{{\"name\":\"r-orders\",\"host\":\"{}\",\"path_prefix\":\"/{}/\",\"type\":\"safe\",\"timeout_ms\":1000,\"target_latency_ms\":200,\"priority\":2,\"service\":\"orders\",\"max_attempts\":2}}],\"services\":[{{\"name\":\"orders\",\"health_path\":\"/health\",\"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":{:.1},\"cold_per_s\":{:.1}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":{}}}}}",
            self.version,
            ORDERS.ip(),
            ORDERS.port(),
            self.cold_start_s,
            self.cold_per_s,
            self.idle_timeout_ms
        )
    }
}

fn options() -> Options {
    Options {
        work: Duration::from_millis(15),
        first_sequence: 1,
    }
}

/// Starts the servers and clients, sends the configuration and waits until requests are served.
fn begin(lab: &Lab, config: Config) -> Option<(Vec<Server>, Arc<Clients>)> {
    if !order(lab, "PUT", "/config", &config.text()) {
        return None;
    }
    let servers = lab.of_role(Role::Side).map(|h| Server::start(lab, h, options()));
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
                    let count = if outcome == Outcome::Served { counts.0 } else { counts.1 };
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
        &[(0, "orders"), (0, "orders"), (1, "orders"), (1, "orders"), (2, "orders"), (2, "orders")],
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
        record.line(format!("the servers of {zone} are cold for {} ms", cold_for.as_millis()));
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
        let arrived = seen.taken.iter().filter(|t| t.opened && t.at >= cold_at);
        let arrived: Vec<_> = arrived.filter(|t| t.at < cold_at + cold_for).collect();
        let counts = arrived.iter().map(|first| {
            let second = first.at..first.at + Duration::from_secs(1);
            let inside = arrived.iter().filter(|t| second.contains(&t.at));
            let sent_inside = |t: &&&crate::server::Taken| {
                sent_at.get(&t.flow).is_some_and(|at| second.contains(at) || *at >= first.at - Duration::from_millis(20))
            };
            inside.filter(sent_inside).count()
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
    let lab = Lab::start(record.clone(), &[(0, "orders"), (1, "orders"), (2, "orders")]);
    let (mut servers, clients) = begin(&lab, config)?;
    let mut traffic = Traffic::start(&clients, 60);
    sleep(Duration::from_secs(2));
    // The servers are replaced one after the other; each new one is cold.
    let hosts: Vec<&Host> = lab.of_role(Role::Side).collect();
    for (server, host) in servers.iter_mut().zip(&hosts) {
        server.end();
        *server = Server::start(&lab, host, options());
        lock(&server.mood).cold_until = Some(Instant::now() + cold_for);
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

/// FLOW: the configuration raises the idle timeout, and clients pause for less than that.
fn idle(record: &Record, trouble: bool) -> Option<bool> {
    let lab = Lab::start(record.clone(), &[(0, "orders"), (1, "orders"), (2, "orders")]);
    let (_servers, clients) = begin(&lab, CONFIG)?;
    let pause = if trouble { 36 } else { 10 };
    if trouble {
        let raised = Config {
            version: 9,
            idle_timeout_ms: 50_000,
            ..CONFIG
        };
        if !order(&lab, "PUT", "/config", &raised.text()) {
            return None;
        }
        sleep(Duration::from_secs(4));
    }
    let mut flows = open_long_flows(&lab, &clients, 30);
    sleep(Duration::from_secs(pause));
    let broken = use_long_flows(&lab, &clients, &mut flows);
    clients.stop();
    Some(broken > 0)
}

/// FLOW: a status report of another writer, with fields missing, reaches an agent.
fn foreign_report(record: &Record, trouble: bool) -> Option<bool> {
    let lab = Lab::start(record.clone(), &[(0, "orders"), (1, "orders"), (2, "orders")]);
    let (servers, clients) = begin(&lab, CONFIG)?;
    let mut traffic = Traffic::start(&clients, 30);
    let mut flows = open_long_flows(&lab, &clients, 30);
    sleep(Duration::from_secs(3));
    let host = lab.of_role(Role::Side).next()?;
    if trouble {
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).ok()?.as_millis();
        let body = format!(
            "{{\"service\":\"orders\",\"address\":\"{}:{}\",\"zone\":\"{}\",\"max_concurrent\":2,\"state\":\"ready\",\"sequence\":1,\"born\":{born}}}",
            host.ip, lab.ports.app, host.zone
        );
        let to = SocketAddrV4::new(host.ip, lab.ports.reports);
        let answer = crate::lab::call(to, "PUT", "/instances/i-0badc0de", &body);
        record.line(format!("a report of another writer, without version and cold_remaining_ms: {:?}", answer.map(|a| a.0)));
    }
    sleep(Duration::from_secs(6));
    let broken = use_long_flows(&lab, &clients, &mut flows);
    let before: Vec<_> = servers.iter().map(|s| lock(&s.seen).taken.len()).collect();
    sleep(Duration::from_secs(4));
    for (server, before) in servers.iter().zip(before) {
        let now = lock(&server.seen).taken.len();
        record.line(format!("server {} took {} new flows in 4 s", server.id, now - before));
    }
    traffic.end(record);
    clients.stop();
    Some(broken > 0)
}

/// FLOW: an agent restarts between the first two reports of its server, which number them from 0.
fn first_report(record: &Record, trouble: bool) -> Option<bool> {
    let lab = Lab::start(record.clone(), &[(0, "orders"), (1, "orders"), (2, "orders")]);
    let (mut servers, clients) = begin(&lab, CONFIG)?;
    let host = lab.of_role(Role::Side).next()?;
    servers[0].end();
    sleep(Duration::from_secs(3));
    let numbered = Options {
        first_sequence: 0,
        ..options()
    };
    servers[0] = Server::start(&lab, host, numbered);
    sleep(Duration::from_millis(30));
    let mut flows = open_long_flows(&lab, &clients, 12);
    if trouble {
        record.line("the agent is killed");
        lab.signal(host, SIGKILL);
        lab.wait(host);
        sleep(Duration::from_millis(100));
        lab.start_process(host);
    }
    sleep(Duration::from_secs(7));
    let broken = use_long_flows(&lab, &clients, &mut flows);
    clients.stop();
    Some(broken > 0)
}

/// FAILBACK: the agent of a cold server is killed and starts again.
fn cold_restart(record: &Record, trouble: bool) -> Option<bool> {
    let config = Config {
        cold_start_s: 8.0,
        cold_per_s: 40.0,
        ..CONFIG
    };
    let limit = config.cold_per_s * 1.5 + 5.0;
    let cold_for = Duration::from_secs_f64(config.cold_start_s);
    let lab = Lab::start(record.clone(), &[(0, "orders"), (0, "orders"), (1, "orders"), (2, "orders")]);
    let (mut servers, clients) = begin(&lab, config)?;
    let mut traffic = Traffic::start(&clients, 360);
    sleep(Duration::from_secs(2));
    let host = lab.of_role(Role::Side).next()?;
    servers[0].end();
    servers[0] = Server::start(&lab, host, options());
    let cold_at = Instant::now();
    lock(&servers[0].mood).cold_until = Some(cold_at + cold_for);
    for _ in 0..4 {
        sleep(Duration::from_millis(1300));
        if trouble {
            lab.signal(host, SIGKILL);
            lab.wait(host);
            sleep(Duration::from_millis(100));
            lab.start_process(host);
        }
    }
    sleep(Duration::from_secs(3));
    traffic.end(record);
    let seen = lock(&servers[0].seen);
    let arrived: Vec<_> = seen.taken.iter().filter(|t| t.opened && t.at < cold_at + cold_for).collect();
    let counts = arrived.iter().map(|first| {
        let second = first.at..first.at + Duration::from_secs(1);
        arrived.iter().filter(|t| second.contains(&t.at)).count()
    });
    let most = counts.max().unwrap_or(0);
    record.line(format!("at most {most} requests in a second, limit {limit}"));
    clients.stop();
    Some(most as f64 > limit)
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
    lab.record.line(format!("{} flows are open, each has had one answer", opened.len()));
    opened
}

/// Sends another request on each flow; returns how many the system reset.
fn use_long_flows(lab: &Lab, clients: &Clients, flows: &mut [OpenFlow]) -> usize {
    let mut counts = std::collections::BTreeMap::new();
    for flow in flows {
        let outcome = clients.request(flow, Duration::from_secs(1));
        *counts.entry(format!("{outcome:?}")).or_insert(0) += 1;
        if outcome == Outcome::ResetBySystem && counts["ResetBySystem"] <= 5 {
            lab.record.line(format!("flow {:?} was reset, not by its server", flow.key));
        }
    }
    lab.record.line(format!("the next requests on the flows: {counts:?}"));
    counts.get("ResetBySystem").copied().unwrap_or(0)
}
