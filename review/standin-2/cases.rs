//! The cases. Each returns the exit code of its script.

use std::net::SocketAddrV4;
use std::thread::sleep;
use std::time::Instant;

use crate::lab::{
    Caller, Class, Config, Flow, Lab, Operator, Outcome, Record, Server, ServerOptions, Terms,
    ZONES, ms, route,
};

const RULE_BROKEN: i32 = 1;
const HELD: i32 = 0;
const NOT_RUN: i32 = 2;

/// Three control hosts, `fronts` balancers, and an agent with a server for each of `services`.
fn deployment(record: &Record, terms: Terms, fronts: u8, services: &[&'static str]) -> Lab {
    let mut lab = Lab::new(record.clone(), terms);
    for n in 0..3_u8 {
        lab.add(Class::Core, 10 + n, ZONES[usize::from(n)], "");
    }
    for n in 0..fronts {
        lab.add(Class::Front, 30 + n, ZONES[usize::from(n) % 3], "");
    }
    for (n, service) in services.iter().enumerate() {
        lab.add(Class::Side, 50 + n as u8, ZONES[n % 3], service);
    }
    lab.start_all();
    lab
}

fn fronts(lab: &Lab) -> Vec<SocketAddrV4> {
    lab.of(Class::Front)
        .iter()
        .map(|i| SocketAddrV4::new(lab.hosts[*i].ip, lab.ports.datagram))
        .collect()
}

fn server(lab: &Lab, at: usize, first_sequence: u64) -> Server {
    let host = &lab.hosts[at];
    Server::start(
        lab,
        at,
        ServerOptions {
            id: format!("i-{}", host.name),
            service: host.service,
            first_sequence,
            work: ms(15),
            backs_off: false,
        },
    )
}

fn server_named(lab: &Lab, at: usize, first_sequence: u64, id: &str) -> Server {
    Server::start(
        lab,
        at,
        ServerOptions {
            id: id.to_owned(),
            service: lab.hosts[at].service,
            first_sequence,
            work: ms(15),
            backs_off: false,
        },
    )
}

fn wait_for(limit: std::time::Duration, done: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if done() {
            return true;
        }
        sleep(ms(20));
    }
    false
}

/// Opens a flow, trying again as a client does whose flow never opened.
fn open(caller: &mut Caller, via: SocketAddrV4, port: u16) -> Option<Flow> {
    (0..20).find_map(|_| {
        let opened = caller.open(via, route(port)).ok();
        if opened.is_none() {
            sleep(ms(200));
        }
        opened
    })
}

/// FLOW: a flow that is idle for less than the `idle_timeout_ms` in force is reset.
pub fn idle_flow(record: &Record, trouble: bool) -> i32 {
    let mut lab = deployment(record, Terms::default(), 2, &["orders", "orders", "orders"]);
    let operator = Operator::of(&lab);
    let config = |version, idle_timeout_ms| {
        Config {
            version,
            routes: &[(443, "orders")],
            services: &["orders"],
            idle_timeout_ms,
            padding: 0,
        }
        .body()
    };
    if operator.order("PUT", "/config", &config(3, 15_000), ms(10_000)) != Some(200) {
        return NOT_RUN;
    }
    let servers: Vec<_> = lab
        .of(Class::Side)
        .iter()
        .map(|at| server(&lab, *at, 1))
        .collect();
    if !wait_for(ms(10_000), || servers.iter().all(Server::is_acknowledged))
        || !lab.wait_ready(ms(10_000))
    {
        return NOT_RUN;
    }
    let idle_timeout_ms = if trouble { 50_000 } else { 15_000 };
    if trouble
        && operator.order("PUT", "/config", &config(7, idle_timeout_ms), ms(10_000)) != Some(200)
    {
        return NOT_RUN;
    }
    // Longer than `config_apply_ms` and `stability_window_ms`: the new version is in force on all hosts.
    sleep(ms(5_000));
    let via = fronts(&lab);
    let mut caller = Caller::new(&lab, 200);
    let mut flows = Vec::new();
    for n in 0..12 {
        let Some(mut flow) = open(&mut caller, via[n % 2], 443) else {
            return NOT_RUN;
        };
        if !matches!(
            flow.request(via[n % 2], "POST /first", ms(4_000)),
            Outcome::Answer(_)
        ) {
            return NOT_RUN;
        }
        flows.push((Instant::now(), flow));
    }
    // Longer than 30 s, shorter than the 50 s that the configuration allows and the 60 s of `max_flow_s`.
    let mut broken = 0;
    for (n, (last, flow)) in flows.iter_mut().enumerate() {
        sleep((*last + ms(34_000)).saturating_duration_since(Instant::now()));
        let idle = last.elapsed();
        let outcome = flow.request(via[n % 2], "POST /second", ms(4_000));
        let is_excused = idle.as_millis() > u128::from(idle_timeout_ms);
        if outcome == Outcome::Reset && !is_excused {
            broken += 1;
        }
        record.line(format!(
            "flow {n}: idle for {:.1} s, idle_timeout_ms {idle_timeout_ms}: {outcome:?}{}",
            idle.as_secs_f64(),
            if is_excused { ", excused" } else { "" }
        ));
    }
    let ended = lab.ended();
    record.line(format!(
        "flows broken: {broken} of {}; programs that ended: {ended:?}",
        flows.len()
    ));
    for mut s in servers {
        s.crash();
    }
    lab.end();
    if broken > 0 { RULE_BROKEN } else { HELD }
}

/// Exploration: many configurations while up to half of the control hosts (`CORES`) are killed, frozen or lose their
/// disks. `PADDING` is the number of routes beside the first.
pub fn explore_control(record: &Record, trouble: bool) -> i32 {
    use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
    use std::sync::{Arc, Mutex};
    let cores: u8 = std::env::var("CORES")
        .ok()
        .and_then(|p| p.parse().ok())
        .unwrap_or(3);
    let lost_at_once = usize::from(cores / 2);
    let mut lab = Lab::new(
        record.clone(),
        Terms {
            tolerated: lost_at_once,
            ..Terms::default()
        },
    );
    for n in 0..cores {
        lab.add(Class::Core, 10 + n, ZONES[usize::from(n) % 3], "");
    }
    lab.add(Class::Front, 30, ZONES[0], "");
    lab.start_all();
    if cores > 3 {
        sleep(ms(8_000));
    }
    let padding = std::env::var("PADDING")
        .ok()
        .and_then(|p| p.parse().ok())
        .unwrap_or(1000);
    let acked = Arc::new(Mutex::new(Vec::<(Instant, u64)>::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let stale = Arc::new(AtomicU64::new(0));
    let hosts = Operator::of(&lab).hosts;
    let mut threads = Vec::new();
    for w in 0..2_u64 {
        let (acked, stop, record, hosts) =
            (acked.clone(), stop.clone(), record.clone(), hosts.clone());
        threads.push(std::thread::spawn(move || {
            let operator = Operator {
                record: record.clone(),
                hosts,
            };
            let mut version = 10 + w;
            while !stop.load(Ordering::Relaxed) {
                version += 2;
                let body = Config {
                    version,
                    routes: &[(443, "orders")],
                    services: &["orders"],
                    idle_timeout_ms: 15_000,
                    padding,
                }
                .body();
                match operator.order("PUT", "/config", &body, ms(30_000)) {
                    Some(200) => acked.lock().unwrap().push((Instant::now(), version)),
                    other => record.line(format!("PROBLEM: version {version}: {other:?}")),
                }
                sleep(ms(100));
            }
        }));
    }
    for host in hosts.clone() {
        let (acked, stop, record, stale) =
            (acked.clone(), stop.clone(), record.clone(), stale.clone());
        threads.push(std::thread::spawn(move || {
            let operator = Operator {
                record: record.clone(),
                hosts: vec![host],
            };
            while !stop.load(Ordering::Relaxed) {
                let newest = acked.lock().unwrap().iter().map(|a| a.1).max();
                if let Some((200, body)) = operator.call_at(host, "GET", "/config", b"") {
                    let text = String::from_utf8_lossy(&body[..40.min(body.len())]).into_owned();
                    let version: u64 = text
                        .split(&[':', ','][..])
                        .nth(1)
                        .and_then(|v| v.parse().ok())
                        .unwrap_or(0);
                    if newest.is_some_and(|n| version < n) {
                        stale.fetch_add(1, Ordering::Relaxed);
                        record.line(format!(
                            "PROBLEM: read {version} at {host}, acknowledged before: {newest:?}"
                        ));
                    }
                }
                sleep(ms(150));
            }
        }));
    }
    sleep(ms(4000));
    let mut random = crate::lab::Random::new();
    let core = lab.of(Class::Core);
    let until = Instant::now() + ms(if trouble { 80_000 } else { 10_000 });
    while trouble && Instant::now() < until {
        let first = random.below(u64::from(cores)) as usize;
        let hit: Vec<usize> = (0..1 + random.below(lost_at_once as u64) as usize)
            .map(|n| core[(first + n) % core.len()])
            .collect();
        match random.below(4) {
            0 => {
                for at in &hit {
                    lab.kill(*at);
                }
                for at in &hit {
                    sleep(ms(200 + random.below(2500)));
                    lab.start(*at, false);
                }
            }
            1 => {
                for at in &hit {
                    lab.signal(*at, crate::lab::SIGSTOP);
                }
                for at in &hit {
                    sleep(ms(500 + random.below(4000)));
                    lab.signal(*at, crate::lab::SIGCONT);
                }
            }
            2 => {
                for at in &hit {
                    lab.kill(*at);
                    let folder = lab.data_dir(&lab.hosts[*at]);
                    let _ = std::fs::remove_dir_all(folder);
                    record.line("disk lost");
                }
                for at in &hit {
                    sleep(ms(200 + random.below(2500)));
                    lab.start(*at, false);
                }
            }
            _ => {
                for at in &core {
                    lab.kill(*at);
                }
                sleep(ms(300 + random.below(600)));
                for at in &core {
                    lab.start(*at, false);
                }
            }
        }
        sleep(ms(6100 + random.below(1500)));
    }
    sleep(ms(2000));
    stop.store(true, Ordering::Relaxed);
    for t in threads {
        let _ = t.join();
    }
    let newest = acked.lock().unwrap().iter().map(|a| a.1).max().unwrap_or(0);
    let operator = Operator::of(&lab);
    let mut read = 0;
    for _ in 0..50 {
        if let Some((200, body)) = operator.call_at(operator.hosts[0], "GET", "/config", b"") {
            let text = String::from_utf8_lossy(&body[..40]).into_owned();
            read = text
                .split(&[':', ','][..])
                .nth(1)
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            break;
        }
        sleep(ms(200));
    }
    let ended = lab.ended();
    record.line(format!("acknowledged {} versions, newest {newest}, read back {read}, stale reads {}, ended {ended:?}", acked.lock().unwrap().len(), stale.load(Ordering::Relaxed)));
    lab.end();
    i32::from(read < newest || stale.load(Ordering::Relaxed) > 0 || !ended.is_empty())
}

/// The agents' servers of one service, with flows that have been answered once.
struct OpenFlows {
    caller: Caller,
    flows: Vec<(Instant, Flow)>,
}

/// Opens flows until `count` of them are open at `server`, and sends one request on each.
fn open_at(lab: &Lab, server: &Server, count: usize) -> Option<OpenFlows> {
    let via = fronts(lab);
    let mut caller = Caller::new(lab, 200);
    let mut flows = Vec::new();
    for n in 0..200 {
        let mut flow = open(&mut caller, via[n % via.len()], 443)?;
        if !matches!(
            flow.request(via[n % via.len()], "POST /first", ms(4_000)),
            Outcome::Answer(_)
        ) {
            return None;
        }
        if server
            .opened
            .lock()
            .unwrap()
            .iter()
            .any(|o| o.1 == flow.own)
        {
            flows.push((Instant::now(), flow));
        }
        if flows.len() >= count {
            return Some(OpenFlows { caller, flows });
        }
    }
    None
}

/// Sends a second request on each flow. Returns the number of flows that the system has reset.
fn second_requests(record: &Record, lab: &Lab, open: &mut OpenFlows) -> usize {
    let via = fronts(lab);
    let mut broken = 0;
    for (n, (last, flow)) in open.flows.iter_mut().enumerate() {
        let idle = last.elapsed();
        let outcome = flow.request(via[(n + 1) % via.len()], "POST /second", ms(2_000));
        broken += usize::from(outcome == Outcome::Reset);
        record.line(format!(
            "flow {n} from {}: idle for {:.1} s: {outcome:?}",
            flow.own,
            idle.as_secs_f64()
        ));
    }
    broken
}

/// FLOW: a delayed report of a crashed boot arrives after its agent has been restarted, beside the next boot.
pub fn late_report(record: &Record, trouble: bool) -> i32 {
    let mut lab = deployment(record, Terms::default(), 2, &["orders", "orders", "orders"]);
    let operator = Operator::of(&lab);
    let config = Config {
        version: 3,
        routes: &[(443, "orders")],
        services: &["orders"],
        idle_timeout_ms: 15_000,
        padding: 0,
    }
    .body();
    if operator.order("PUT", "/config", &config, ms(10_000)) != Some(200) {
        return NOT_RUN;
    }
    let sides = lab.of(Class::Side);
    let mut first = server_named(&lab, sides[0], 1, "i-first");
    let mut others: Vec<_> = sides[1..].iter().map(|at| server(&lab, *at, 1)).collect();
    if !wait_for(ms(10_000), || {
        first.is_acknowledged() && others.iter().all(Server::is_acknowledged)
    }) || !lab.wait_ready(ms(10_000))
    {
        return NOT_RUN;
    }
    sleep(ms(2_500));
    // The first boot's last report is held up on its way; then the boot crashes.
    let delayed = first.next_report(&lab, sides[0]);
    first.crash();
    record.line("server i-first crashed; its last report is held up");
    sleep(ms(2_500));
    let second = server_named(&lab, sides[0], 1, "i-second");
    if !wait_for(ms(10_000), || second.is_acknowledged()) {
        return NOT_RUN;
    }
    sleep(ms(4_000));
    let Some(mut open) = open_at(&lab, &second, 10) else {
        return NOT_RUN;
    };
    let part = std::env::var("PART").unwrap_or_default();
    if trouble || part == "restart" {
        lab.signal(sides[0], crate::lab::SIGTERM);
        if !lab.wait(sides[0], ms(6_000)) {
            return NOT_RUN;
        }
        sleep(ms(600));
        lab.start(sides[0], false);
    }
    if trouble {
        let to = SocketAddrV4::new(lab.hosts[sides[0]].ip, lab.ports.control);
        let until = Instant::now() + ms(3_000);
        let status = loop {
            let answer = crate::lab::http(
                to,
                "PUT",
                "/instances/i-first",
                delayed.as_bytes(),
                ms(1_000),
            );
            if answer.is_some() || Instant::now() > until {
                break answer.map(|a| a.0);
            }
            sleep(ms(2));
        };
        record.line(format!("the delayed report of i-first arrives: {status:?}"));
    }
    sleep(ms(6_000));
    let broken = second_requests(record, &lab, &mut open);
    let ended = lab.ended();
    record.line(format!(
        "flows broken: {broken} of {}; programs that ended: {ended:?}",
        open.flows.len()
    ));
    drop(open.caller);
    others.push(second);
    for s in &mut others {
        s.crash();
    }
    lab.end();
    if broken > 0 { RULE_BROKEN } else { HELD }
}

/// FLOW: an agent is killed and restarted between the first two reports of a server that counts them from 0.
pub fn young_server(record: &Record, trouble: bool) -> i32 {
    let mut lab = deployment(record, Terms::default(), 2, &["orders", "orders", "orders"]);
    let operator = Operator::of(&lab);
    let config = Config {
        version: 3,
        routes: &[(443, "orders")],
        services: &["orders"],
        idle_timeout_ms: 15_000,
        padding: 0,
    }
    .body();
    if operator.order("PUT", "/config", &config, ms(10_000)) != Some(200) {
        return NOT_RUN;
    }
    let sides = lab.of(Class::Side);
    let mut others: Vec<_> = sides[1..].iter().map(|at| server(&lab, *at, 0)).collect();
    if !wait_for(ms(10_000), || others.iter().all(Server::is_acknowledged))
        || !lab.wait_ready(ms(10_000))
    {
        return NOT_RUN;
    }
    sleep(ms(5_000));
    let young = server(&lab, sides[0], 0);
    if !wait_for(ms(2_000), || young.is_acknowledged()) {
        return NOT_RUN;
    }
    sleep(ms(50));
    let Some(mut open) = open_at(&lab, &young, 4) else {
        return NOT_RUN;
    };
    if trouble {
        lab.kill(sides[0]);
        sleep(ms(100));
        lab.start(sides[0], false);
    }
    sleep(ms(7_000));
    let broken = second_requests(record, &lab, &mut open);
    record.line(format!(
        "flows broken: {broken} of {}; reports {:?}",
        open.flows.len(),
        young
            .reports
            .lock()
            .unwrap()
            .iter()
            .take(4)
            .map(|r| (r.1, r.2))
            .collect::<Vec<_>>()
    ));
    others.push(young);
    for s in &mut others {
        s.crash();
    }
    lab.end();
    if broken > 0 { RULE_BROKEN } else { HELD }
}

/// Exploration: flows with long pauses while agents and balancers are restarted in turn, or with `KILL` three agents and a
/// balancer killed at once. No server ends. With `BACKOFF` the servers' pauses increase after failed reports.
pub fn explore_roll(record: &Record, trouble: bool) -> i32 {
    use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
    use std::sync::{Arc, Mutex};
    let is = |name: &str| std::env::var_os(name).is_some();
    let mut lab = deployment(record, Terms::default(), 3, &["orders"; 5]);
    let operator = Operator::of(&lab);
    let config = Config {
        version: 3,
        routes: &[(443, "orders")],
        services: &["orders"],
        idle_timeout_ms: 15_000,
        padding: 0,
    }
    .body();
    if operator.order("PUT", "/config", &config, ms(10_000)) != Some(200) {
        return NOT_RUN;
    }
    let sides = lab.of(Class::Side);
    let mut servers: Vec<_> = sides
        .iter()
        .map(|at| {
            Server::start(
                &lab,
                *at,
                ServerOptions {
                    id: format!("i-{}", lab.hosts[*at].name),
                    service: "orders",
                    first_sequence: 1,
                    work: ms(5),
                    backs_off: is("BACKOFF"),
                },
            )
        })
        .collect();
    if !wait_for(ms(10_000), || servers.iter().all(Server::is_acknowledged))
        || !lab.wait_ready(ms(10_000))
    {
        return NOT_RUN;
    }
    sleep(ms(4_000));
    let via = fronts(&lab);
    let rotation = Arc::new(Mutex::new(via.clone()));
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicUsize; 4]> = Arc::default();
    let threads: Vec<_> = (0..50_u8)
        .map(|n| {
            let mut caller = Caller::new(&lab, 150 + n);
            let (rotation, stop, counts, record) = (
                rotation.clone(),
                stop.clone(),
                counts.clone(),
                record.clone(),
            );
            std::thread::spawn(move || {
                let mut random = crate::lab::Random::new();
                for _ in 0..n {
                    random.next();
                }
                let pick = |port: u16| {
                    let r = rotation.lock().unwrap();
                    r[usize::from(port) % r.len()]
                };
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut flow) = caller.open(pick(n.into()), route(443)) else {
                        sleep(ms(300));
                        continue;
                    };
                    let opened = Instant::now();
                    while opened.elapsed() < ms(40_000) && !stop.load(Ordering::Relaxed) {
                        let outcome = flow.request(pick(flow.own.port()), "GET /x", ms(4_000));
                        let which = match outcome {
                            Outcome::Answer(_) => 0,
                            Outcome::Reset => 1,
                            Outcome::ServerReset => 2,
                            Outcome::Silence => 3,
                        };
                        counts[which].fetch_add(1, Ordering::Relaxed);
                        if which != 0 {
                            record.line(format!(
                                "PROBLEM: {outcome:?} on {} after {:?}",
                                flow.own,
                                opened.elapsed()
                            ));
                            break;
                        }
                        sleep(ms(300 + random.below(13_500)));
                    }
                }
            })
        })
        .collect();
    sleep(ms(8_000));
    let mut random = crate::lab::Random::new();
    let front = lab.of(Class::Front);
    let until = Instant::now() + ms(if trouble { 80_000 } else { 5_000 });
    while trouble && Instant::now() < until {
        if is("KILL") {
            let from = random.below(5) as usize;
            let hit: Vec<_> = (0..3).map(|n| sides[(from + n) % 5]).collect();
            let balancer = front[random.below(3) as usize];
            for at in hit.iter().chain([&balancer]) {
                lab.kill(*at);
            }
            sleep(ms(200 + random.below(2_500)));
            for at in hit.iter().chain([&balancer]) {
                lab.start(*at, false);
            }
            sleep(ms(7_000 + random.below(3_000)));
            continue;
        }
        for at in sides.clone() {
            lab.signal(at, crate::lab::SIGTERM);
            lab.wait(at, ms(6_000));
            sleep(ms(600));
            lab.start(at, false);
            sleep(ms(200));
        }
        for at in front.clone() {
            let address = SocketAddrV4::new(lab.hosts[at].ip, lab.ports.datagram);
            lab.signal(at, crate::lab::SIGTERM);
            sleep(ms(1_000));
            rotation.lock().unwrap().retain(|a| *a != address);
            lab.wait(at, ms(6_000));
            sleep(ms(300));
            lab.start(at, false);
            sleep(ms(1_200));
            rotation.lock().unwrap().push(address);
            rotation.lock().unwrap().sort();
        }
    }
    sleep(ms(3_000));
    stop.store(true, Ordering::Relaxed);
    for t in threads {
        let _ = t.join();
    }
    record.line(format!(
        "answers, resets, server resets, silences: {counts:?}; ended {:?}",
        lab.ended()
    ));
    for s in &mut servers {
        s.crash();
    }
    lab.end();
    i32::from(counts[1].load(Ordering::Relaxed) > 0)
}

/// FLOW: a report of another writer lacks a field, and ends the flows of the server beside the agent.
pub fn foreign_report(record: &Record, trouble: bool) -> i32 {
    let mut lab = deployment(record, Terms::default(), 2, &["orders", "orders", "orders"]);
    let operator = Operator::of(&lab);
    let config = Config {
        version: 3,
        routes: &[(443, "orders")],
        services: &["orders"],
        idle_timeout_ms: 15_000,
        padding: 0,
    }
    .body();
    if operator.order("PUT", "/config", &config, ms(10_000)) != Some(200) {
        return NOT_RUN;
    }
    let sides = lab.of(Class::Side);
    let mut servers: Vec<_> = sides.iter().map(|at| server(&lab, *at, 1)).collect();
    if !wait_for(ms(10_000), || servers.iter().all(Server::is_acknowledged))
        || !lab.wait_ready(ms(10_000))
    {
        return NOT_RUN;
    }
    sleep(ms(5_000));
    let Some(mut open) = open_at(&lab, &servers[0], 10) else {
        return NOT_RUN;
    };
    sleep(ms(3_000));
    if trouble {
        let host = &lab.hosts[sides[0]];
        let body = foreign_body(
            host.service,
            SocketAddrV4::new(host.ip, lab.ports.app),
            host.zone,
        );
        let to = SocketAddrV4::new(host.ip, lab.ports.control);
        let status = crate::lab::http(to, "PUT", "/instances/i-other", body.as_bytes(), ms(1_000))
            .map(|a| a.0);
        record.line(format!(
            "a report of another writer without the field version, answered {status:?}: {body}"
        ));
    }
    sleep(ms(1_000));
    let broken = second_requests(record, &lab, &mut open);
    record.line(format!("flows broken: {broken} of {}", open.flows.len()));
    for s in &mut servers {
        s.crash();
    }
    lab.end();
    if broken > 0 { RULE_BROKEN } else { HELD }
}

/// A report that has every field but `version`.
fn foreign_body(service: &str, address: SocketAddrV4, zone: &str) -> String {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"max_concurrent\":2,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{now}}}"
    )
}

/// Exploration: the control hosts of a core of five are killed, frozen, wiped and replaced, two at a time at most; then
/// two disks are lost while all other hosts are killed. With `BEYOND` any number is killed or frozen at once, and two disks at
/// most are lost until all hosts have run for 6.5 s.
pub fn explore_core(record: &Record, _trouble: bool) -> i32 {
    use std::sync::atomic::{AtomicBool, Ordering};
    use std::sync::{Arc, Mutex};
    const TOLERATED: usize = 2;
    let catch_up = ms(4_000);
    let mut lab = Lab::new(
        record.clone(),
        Terms {
            tolerated: TOLERATED,
            ..Terms::default()
        },
    );
    for n in 0..5 {
        lab.add(Class::Core, 10 + n, ZONES[usize::from(n) % 3], "");
    }
    lab.start_all();
    let mut slots: Vec<usize> = lab.of(Class::Core);
    let all = Arc::new(Mutex::new(Operator::of(&lab).hosts));
    sleep(ms(9_000));
    let acked = Arc::new(Mutex::new(0_u64));
    let stop = Arc::new(AtomicBool::new(false));
    let writer = {
        let (acked, stop, record, all) = (acked.clone(), stop.clone(), record.clone(), all.clone());
        std::thread::spawn(move || {
            let mut version = 10;
            let mut slowest = ms(0);
            while !stop.load(Ordering::Relaxed) {
                version += 1;
                let body = Config {
                    version,
                    routes: &[(443, "orders")],
                    services: &["orders"],
                    idle_timeout_ms: 15_000,
                    padding: 20,
                }
                .body();
                let began = Instant::now();
                let mut n = version as usize;
                while !stop.load(Ordering::Relaxed) {
                    let hosts = all.lock().unwrap().clone();
                    let operator = Operator {
                        record: record.clone(),
                        hosts: vec![hosts[n % hosts.len()]],
                    };
                    n += 1;
                    if operator
                        .call_at(operator.hosts[0], "PUT", "/config", &body)
                        .is_some_and(|a| a.0 == 200)
                    {
                        *acked.lock().unwrap() = version;
                        if began.elapsed() > slowest {
                            slowest = began.elapsed();
                            record
                                .line(format!("slowest ack so far: version {version} {slowest:?}"));
                        }
                        break;
                    }
                    sleep(ms(50));
                }
                sleep(ms(150));
            }
        })
    };
    let mut random = crate::lab::Random::new();
    for _ in 0..40 {
        random.next();
    }
    let mut lost_until = vec![Instant::now(); 5];
    // What is due later: when, slot, what.
    let mut due: Vec<(Instant, usize, u8)> = Vec::new();
    let mut next_number = 20;
    let mut successors = std::collections::HashMap::new();
    let until = Instant::now() + ms(50_000);
    let far = Instant::now() + ms(600_000);
    let mut disks_lost = vec![false; 5];
    let mut calm_since = Instant::now();
    let publish = |lab: &Lab, slots: &[usize]| {
        *all.lock().unwrap() = slots
            .iter()
            .map(|at| SocketAddrV4::new(lab.hosts[*at].ip, lab.ports.control))
            .collect();
    };
    loop {
        let now = Instant::now();
        let (ready, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|d| d.0 <= now);
        due = later;
        for (_, slot, what) in ready {
            match what {
                0 => {
                    lab.start(slots[slot], false);
                    lost_until[slot] = now + catch_up;
                }
                1 => {
                    lab.signal(slots[slot], crate::lab::SIGCONT);
                    lost_until[slot] = now + catch_up;
                }
                2 | 3 => {
                    // A successor at a new address; with 3 the old host is still there.
                    let old = slots[slot];
                    lab.seeds = slots.iter().copied().filter(|at| *at != old).collect();
                    for n in (1..lab.seeds.len()).rev() {
                        let m = random.below(n as u64 + 1) as usize;
                        lab.seeds.swap(n, m);
                    }
                    let zone = lab.hosts[old].zone;
                    let new = lab.add(Class::Core, next_number, zone, "");
                    next_number += 1;
                    lab.start(new, false);
                    slots[slot] = new;
                    publish(&lab, &slots);
                    lost_until[slot] = now + catch_up;
                    if what == 3 {
                        lost_until[slot] = far;
                        successors.insert(old, slot);
                        due.push((now + ms(500 + random.below(6_000)), old, 4));
                    }
                }
                _ => {
                    lab.signal(slot, crate::lab::SIGTERM);
                    if let Some(at) = successors.get(&slot) {
                        lost_until[*at] = now + catch_up;
                    }
                }
            }
        }
        if now > until && due.is_empty() && lost_until.iter().all(|u| *u < now) {
            break;
        }
        if lost_until.iter().any(|u| *u == far) {
            calm_since = now;
        } else if now > calm_since + ms(6_500) {
            disks_lost.iter_mut().for_each(|d| *d = false);
        }
        let beyond = std::env::var_os("BEYOND").is_some();
        if now > until && beyond && disks_lost.iter().any(|d| *d) {
            sleep(ms(100));
            continue;
        }
        if now < until && beyond && random.below(10) < 4 {
            let free: Vec<usize> = (0..5).filter(|s| lost_until[*s] != far).collect();
            if !free.is_empty() {
                let slot = free[random.below(free.len() as u64) as usize];
                let at = slots[slot];
                let pause = ms(200 + random.below(2_500));
                let may_lose_disk =
                    disks_lost.iter().filter(|d| **d).count() < TOLERATED && !disks_lost[slot];
                match random.below(7) {
                    0 | 1 => {
                        lost_until[slot] = far;
                        lab.kill(at);
                        due.push((now + pause, slot, 0));
                    }
                    2 => {
                        lost_until[slot] = far;
                        lab.signal(at, crate::lab::SIGSTOP);
                        due.push((now + pause + ms(1_500), slot, 1));
                    }
                    3 | 4 if may_lose_disk => {
                        lost_until[slot] = far;
                        disks_lost[slot] = true;
                        lab.kill(at);
                        let folder = lab.data_dir(&lab.hosts[at]);
                        let _ = std::fs::remove_dir_all(folder);
                        record.line(format!("{} lost its disk", lab.hosts[at].name));
                        due.push((now + pause, slot, 0));
                    }
                    5 if may_lose_disk => {
                        lost_until[slot] = far;
                        disks_lost[slot] = true;
                        lab.kill(at);
                        due.push((now + pause, slot, 2));
                    }
                    6 => {
                        for slot in free {
                            lost_until[slot] = far;
                            lab.kill(slots[slot]);
                            due.push((now + pause, slot, 0));
                        }
                    }
                    _ => {}
                }
                if random.below(3) == 0 {
                    sleep(ms(random.below(4_000)));
                }
            }
        }
        if now < until && !beyond {
            let lost = lost_until.iter().filter(|u| **u > now).count();
            let free: Vec<usize> = (0..5).filter(|s| lost_until[*s] <= now).collect();
            if lost < TOLERATED && random.below(10) < 3 {
                let slot = free[random.below(free.len() as u64) as usize];
                let at = slots[slot];
                let pause = ms(200 + random.below(2_500));
                lost_until[slot] = far;
                match random.below(6) {
                    0 => {
                        lab.kill(at);
                        due.push((now + pause, slot, 0));
                    }
                    1 => {
                        lab.signal(at, crate::lab::SIGSTOP);
                        due.push((now + pause + ms(1_500), slot, 1));
                    }
                    2 => {
                        lab.kill(at);
                        let folder = lab.data_dir(&lab.hosts[at]);
                        let _ = std::fs::remove_dir_all(folder);
                        record.line(format!("{} lost its disk", lab.hosts[at].name));
                        due.push((now + pause, slot, 0));
                    }
                    3 => {
                        lab.kill(at);
                        due.push((now + pause, slot, 2));
                    }
                    _ => {
                        due.push((now, slot, 3));
                    }
                }
            }
        }
        sleep(ms(100));
    }
    stop.store(true, Ordering::Relaxed);
    let _ = writer.join();
    // One more change, and right after its acknowledgement the final fault.
    let newest = *acked.lock().unwrap() + 10;
    publish(&lab, &slots);
    let operator = Operator {
        record: record.clone(),
        hosts: all.lock().unwrap().clone(),
    };
    let body = Config {
        version: newest,
        routes: &[(443, "orders")],
        services: &["orders"],
        idle_timeout_ms: 15_000,
        padding: 20,
    }
    .body();
    let last = operator.order("PUT", "/config", &body, ms(10_000));
    if last != Some(200) {
        record.line("PROBLEM: a valid change is not acknowledged on a calm core");
    }
    let expected = if last == Some(200) {
        newest
    } else {
        *acked.lock().unwrap()
    };
    let first = random.below(5) as usize;
    let second = (first + 1 + random.below(4) as usize) % 5;
    for at in &slots {
        lab.kill(*at);
    }
    for slot in [first, second] {
        let folder = lab.data_dir(&lab.hosts[slots[slot]]);
        let _ = std::fs::remove_dir_all(folder);
        record.line(format!("{} lost its disk", lab.hosts[slots[slot]].name));
    }
    sleep(ms(800));
    lab.seeds = slots.clone();
    for at in &slots {
        lab.start(*at, false);
    }
    let mut read = 0;
    let until = Instant::now() + ms(20_000);
    while Instant::now() < until && read < expected {
        for host in &operator.hosts {
            if let Some((200, body)) = operator.call_at(*host, "GET", "/config", b"") {
                let text = String::from_utf8_lossy(&body[..40]).into_owned();
                read = text
                    .split(&[':', ','][..])
                    .nth(1)
                    .and_then(|v| v.parse().ok())
                    .unwrap_or(0);
            }
        }
        sleep(ms(100));
    }
    record.line(format!(
        "acknowledged {expected}, read back {read}, ended {:?}",
        lab.ended()
    ));
    let broken = read < expected || last != Some(200);
    if broken {
        record.line("PROBLEM: the configuration is lost");
    }
    lab.end();
    i32::from(broken)
}

/// The control host that answers a read itself: the leader.
fn leader(lab: &Lab, among: &[usize]) -> Option<usize> {
    let port = lab.ports.control;
    among.iter().copied().find(|at| {
        let to = SocketAddrV4::new(lab.hosts[*at].ip, port);
        crate::lab::http(to, "GET", "/config", b"", ms(500)).is_some_and(|a| a.0 == 200)
    })
}

fn version_in(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(&body[..body.len().min(40)]).into_owned();
    text.split(&[':', ','][..])
        .nth(1)
        .and_then(|v| v.trim().parse().ok())
        .unwrap_or(0)
}

/// LOST: a core host is replaced as planned, and the leader loses its disk while the successor waits for its place;
/// `catch_up_s` after the old host has left, a second disk is lost.
pub fn late_successor(record: &Record, trouble: bool) -> i32 {
    let terms = Terms {
        tolerated: 2,
        ..Terms::default()
    };
    let mut lab = Lab::new(record.clone(), terms);
    for n in 0..5 {
        lab.add(Class::Core, 10 + n, ZONES[usize::from(n) % 3], "");
    }
    lab.start_all();
    sleep(ms(10_000));
    let mut members = lab.of(Class::Core);
    let body = |version| {
        Config {
            version,
            routes: &[(443, "orders")],
            services: &["orders"],
            idle_timeout_ms: 15_000,
            padding: 8,
        }
        .body()
    };
    let at_hosts = |lab: &Lab, members: &[usize]| Operator {
        record: record.clone(),
        hosts: members
            .iter()
            .map(|at| SocketAddrV4::new(lab.hosts[*at].ip, lab.ports.control))
            .collect(),
    };
    if at_hosts(&lab, &members).order("PUT", "/config", &body(3), ms(10_000)) != Some(200) {
        return NOT_RUN;
    }
    if trouble {
        // The successor comes first, at a new address and with an empty disk, and has more than `catch_up_s` (4 s).
        lab.seeds = members[..3].to_vec();
        let new = lab.add(Class::Core, 20, ZONES[1], "");
        lab.start(new, false);
        sleep(ms(5_000));
        let Some(first) = leader(&lab, &members) else {
            return NOT_RUN;
        };
        let Some(old) = members.iter().copied().rev().find(|at| *at != first) else {
            return NOT_RUN;
        };
        members.retain(|at| *at != old);
        members.push(new);
        record.line(format!(
            "{} leads; {} leaves, {} takes its place",
            lab.hosts[first].name, lab.hosts[old].name, lab.hosts[new].name
        ));
        let left_at = Instant::now();
        lab.signal(old, crate::lab::SIGTERM);
        if !lab.wait(old, ms(6_000)) {
            return NOT_RUN;
        }
        // The leader loses power and its disk right after it has acknowledged a change.
        sleep((left_at + ms(1_700)).saturating_duration_since(Instant::now()));
        let mut version = 5;
        for (number, due) in [(1, ms(1_700)), (2, ms(4_100))] {
            sleep((left_at + due).saturating_duration_since(Instant::now()));
            version += 2;
            let running: Vec<_> = members
                .iter()
                .copied()
                .filter(|at| lab.is_running(*at))
                .collect();
            if at_hosts(&lab, &running).order("PUT", "/config", &body(version), ms(8_000))
                != Some(200)
            {
                record.line(
                    "a change has no ack; the case asks for one before the next disk is lost",
                );
                return NOT_RUN;
            }
            let Some(acted) = leader(&lab, &running) else {
                return NOT_RUN;
            };
            lab.kill(acted);
            let folder = lab.data_dir(&lab.hosts[acted]);
            let _ = std::fs::remove_dir_all(folder);
            record.line(format!("disk {number}: {} acknowledged version {version}, lost power and its disk {:.2} s after the old host left", lab.hosts[acted].name, left_at.elapsed().as_secs_f64()));
        }
        // Both come back with empty disks, 3 s after the first and 1.5 s after the second loss.
        for at in members.clone() {
            if !lab.is_running(at) {
                sleep((left_at + ms(5_000)).saturating_duration_since(Instant::now()));
                lab.start(at, false);
                sleep(ms(600));
            }
        }
    }
    let expected = if trouble { 9 } else { 3 };
    sleep(ms(12_000));
    let operator = at_hosts(&lab, &members);
    let (mut read, mut statuses) = (0, Vec::new());
    let until = Instant::now() + ms(25_000);
    while Instant::now() < until && read < expected {
        statuses.clear();
        for host in &operator.hosts {
            let answer = operator.call_at(*host, "GET", "/config", b"");
            statuses.push(answer.as_ref().map(|a| a.0));
            if let Some((200, body)) = answer {
                read = version_in(&body).max(read);
            }
        }
        sleep(ms(200));
    }
    record.line(format!("acknowledged {expected}, read back {read}; last answers {statuses:?}; programs that ended by themselves: {:?}", lab.ended()));
    lab.end();
    if read < expected { RULE_BROKEN } else { HELD }
}

/// FLOW: agents are restarted in turn as planned; one whose server's report comes late, since its pause increases after
/// a failure, counts as an agent without a server.
pub fn late_beat(record: &Record, trouble: bool) -> i32 {
    let mut lab = deployment(record, Terms::default(), 2, &["orders", "orders", "orders"]);
    let operator = Operator::of(&lab);
    let config = Config {
        version: 3,
        routes: &[(443, "orders")],
        services: &["orders"],
        idle_timeout_ms: 15_000,
        padding: 0,
    }
    .body();
    if operator.order("PUT", "/config", &config, ms(10_000)) != Some(200) {
        return NOT_RUN;
    }
    let sides = lab.of(Class::Side);
    let mut servers: Vec<_> = sides
        .iter()
        .map(|at| {
            Server::start(
                &lab,
                *at,
                ServerOptions {
                    id: format!("i-{}", lab.hosts[*at].name),
                    service: "orders",
                    first_sequence: 1,
                    work: ms(5),
                    backs_off: std::env::var("BACKOFF").map_or(true, |b| b != "0"),
                },
            )
        })
        .collect();
    if !wait_for(ms(10_000), || servers.iter().all(Server::is_acknowledged))
        || !lab.wait_ready(ms(10_000))
    {
        return NOT_RUN;
    }
    sleep(ms(5_000));
    let via = fronts(&lab);
    let mut caller = Caller::new(&lab, 200);
    let mut flows = Vec::new();
    for _ in 0..90 {
        let Some(mut flow) = open(&mut caller, via[1], 443) else {
            return NOT_RUN;
        };
        if !matches!(
            flow.request(via[1], "POST /first", ms(4_000)),
            Outcome::Answer(_)
        ) {
            return NOT_RUN;
        }
        if servers[0]
            .opened
            .lock()
            .unwrap()
            .iter()
            .any(|o| o.1 == flow.own)
        {
            flows.push((Instant::now(), flow));
        }
    }
    let front = lab.of(Class::Front)[1];
    let mut started = Instant::now();
    if trouble {
        // In turn: the agents, the balancer that has seen the flows, and the first agent once more.
        for at in [sides[0], sides[1], sides[2], front, sides[0]] {
            if at == sides[0] {
                // Any moment would do; with this one the server's next report but one fails.
                let last = servers[0].reports.lock().unwrap().last().map(|r| r.0);
                sleep(last.map_or(ms(0), |last| {
                    (last + ms(970)).saturating_duration_since(Instant::now())
                }));
            }
            lab.signal(at, crate::lab::SIGTERM);
            if !lab.wait(at, ms(6_000)) {
                return NOT_RUN;
            }
            sleep(ms(600));
            lab.start(at, false);
            started = Instant::now();
            sleep(ms(300));
        }
    }
    let threads: Vec<_> = flows
        .into_iter()
        .enumerate()
        .map(|(n, (last, mut flow))| {
            let (via, record) = (via[0], record.clone());
            let due = started + ms(1_180 + 12 * n as u64);
            std::thread::spawn(move || {
                sleep(due.saturating_duration_since(Instant::now()));
                let idle = last.elapsed();
                let outcome = flow.request(via, "POST /second", ms(4_000));
                record.line(format!(
                    "flow {n} from {}: idle for {:.1} s: {outcome:?}",
                    flow.own,
                    idle.as_secs_f64()
                ));
                (outcome == Outcome::Reset && idle < ms(15_000)).then_some(flow.own)
            })
        })
        .collect();
    let count = threads.len();
    let reset: Vec<_> = threads
        .into_iter()
        .filter_map(|t| t.join().ok().flatten())
        .collect();
    let broken = reset.len();
    let runs = servers[0].runs.lock().unwrap();
    let run = reset
        .iter()
        .filter(|own| {
            runs.iter()
                .any(|r| r.1 == **own && r.2.starts_with("POST /second"))
        })
        .count();
    drop(runs);
    record.line(format!("flows broken: {broken} of {count}; in {run} of these the server ran the request all the same"));
    for s in &mut servers {
        s.crash();
    }
    lab.end();
    if broken > 0 { RULE_BROKEN } else { HELD }
}
