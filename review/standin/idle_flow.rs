//! Flows that pause for longer than 30 s, within the configured `idle_timeout_ms`.

use std::net::SocketAddrV4;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client::{Client, End};
use crate::record::Record;
use crate::town::{SERVICE, Town};

const OLD_IDLE_TIMEOUT_MS: u64 = 15_000;
const NEW_IDLE_TIMEOUT_MS: u64 = 45_000;
const PAUSE: Duration = Duration::from_secs(36);
const FLOWS: u16 = 12;
const LIMIT: Duration = Duration::from_millis(1500);
/// `config_apply_ms`, and a second more.
const CONFIG_APPLY: Duration = Duration::from_secs(4);

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let town = Town::start(record, 4, OLD_IDLE_TIMEOUT_MS)?;
    if has_trouble {
        town.put_config(7, SERVICE, NEW_IDLE_TIMEOUT_MS)?;
    }
    sleep(CONFIG_APPLY);
    let idle_timeout = Duration::from_millis(if has_trouble {
        NEW_IDLE_TIMEOUT_MS
    } else {
        OLD_IDLE_TIMEOUT_MS
    });
    let client = Client::new(town.site.ip(60), town.balancer(0), record)?;
    let route: SocketAddrV4 = town.route();
    let mut flows = Vec::new();
    for n in 0..FLOWS {
        let mut flow = client
            .open(40_000 + n, route)
            .ok_or("a flow does not open")?;
        if !matches!(
            client.request(&mut flow, &format!("first-{n}"), LIMIT),
            End::Answered(_)
        ) {
            return Err("a first request is not answered".to_owned());
        }
        flows.push((flow, Instant::now()));
    }
    record.line("all flows pause");
    sleep(PAUSE);
    let mut broken = 0;
    for (n, (flow, idle_since)) in flows.iter_mut().enumerate() {
        let idle = idle_since.elapsed();
        let end = client.request(flow, &format!("second-{n}"), LIMIT);
        let is_counted = idle < idle_timeout;
        if end == End::SystemReset && is_counted {
            broken += 1;
            record.line(&format!(
                "FLOW: flow of {} was idle for {} ms, less than {} ms; its server lives; the client got a reset that the server did not send",
                flow.client,
                idle.as_millis(),
                idle_timeout.as_millis()
            ));
        }
    }
    record.line(&format!("{broken} of {FLOWS} flows were reset"));
    Ok(broken == 0)
}
