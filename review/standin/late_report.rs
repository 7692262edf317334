//! A status report of a server that has crashed arrives late, just after the agent beside the server has been
//! restarted.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client::{Client, End};
use crate::operator::call;
use crate::record::Record;
use crate::server::report;
use crate::town::{FIRST_AGENT, SERVICE, Town};

const IDLE_TIMEOUT_MS: u64 = 15_000;
const FLOWS: u16 = 24;
const LIMIT: Duration = Duration::from_millis(1500);
/// `addr_reuse_s` of the settings.
const NEXT_BOOT_AFTER: Duration = Duration::from_secs(2);
/// Time in which all nodes know the server that has registered.
const REGISTERED: Duration = Duration::from_millis(800);
const GRACE: Duration = Duration::from_secs(6);
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// `stability_window_ms`, and a second more.
const STABLE: Duration = Duration::from_secs(5);
const LATE_REPORT_TIMEOUT: Duration = Duration::from_secs(2);

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let mut town = Town::start(record, 4, IDLE_TIMEOUT_MS)?;
    let reports = SocketAddr::from((town.site.ip(FIRST_AGENT), town.site.control));
    sleep(Duration::from_secs(2));
    // The last report of the first boot is held up on its way; the boot crashes right after it.
    let first = town.servers.remove(0);
    let late = report(
        town.site.ip(FIRST_AGENT),
        town.app,
        SERVICE,
        first.next_sequence(),
        first.born,
    );
    let sent_at = Instant::now();
    record.line(&format!(
        "server i-0 sends a status report, which is held up: {late}"
    ));
    drop(first);
    record.line("server i-0 has crashed");
    sleep(NEXT_BOOT_AFTER);
    let next = town.start_server(0, "i-0-next")?;
    town.servers.insert(0, next);
    sleep(REGISTERED);

    let client = Client::new(town.site.ip(60), town.balancer(0), record)?;
    let mut flows = Vec::new();
    for n in 0..FLOWS {
        let mut flow = client
            .open(40_000 + n, town.route())
            .ok_or("a flow does not open")?;
        let End::Answered(answer) = client.request(&mut flow, &format!("first-{n}"), LIMIT) else {
            return Err("a first request is not answered".to_owned());
        };
        flows.push((flow, answer.ends_with("i-0-next"), Instant::now()));
    }
    let at_next = flows.iter().filter(|f| f.1).count();
    record.line(&format!("{at_next} of {FLOWS} flows are open at i-0-next"));
    if at_next == 0 {
        return Err("no flow is open at the server".to_owned());
    }

    record.line("planned restart of the agent side-21");
    town.agents[0].terminate(GRACE);
    sleep(RESTART_DELAY);
    town.agents[0].restart()?;
    if has_trouble {
        let until = Instant::now() + LATE_REPORT_TIMEOUT;
        let status = loop {
            let response = call(reports, "PUT", "/instances/i-0", &late);
            if response.is_some() || Instant::now() >= until {
                break response.map(|r| r.status);
            }
            sleep(Duration::from_millis(2));
        };
        let delay = sent_at.elapsed().as_millis();
        record.line(&format!(
            "the status report of i-0 arrives after {delay} ms: {late}: {status:?}"
        ));
    }
    sleep(STABLE);

    let mut broken = 0;
    for (n, (flow, is_at_next, since)) in flows.iter_mut().enumerate() {
        let idle = since.elapsed();
        let end = client.request(flow, &format!("second-{n}"), LIMIT);
        let is_counted = idle < Duration::from_millis(IDLE_TIMEOUT_MS);
        if end == End::SystemReset && is_counted {
            broken += 1;
            record.line(&format!(
                "FLOW: flow of {} (at i-0-next: {is_at_next}), idle for {} ms: its server lives; the client got a reset that the server did not send",
                flow.client,
                idle.as_millis()
            ));
        }
    }
    record.line(&format!(
        "{broken} of {FLOWS} flows were reset, {at_next} were open at i-0-next"
    ));
    Ok(broken == 0)
}
