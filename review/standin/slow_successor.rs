//! The successor of a removed control machine gets its place only after `catch_up_s`, since it waits for the removed
//! machine each time it asks.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{Machine, Role, Site};
use crate::operator::{Operator, config};
use crate::record::Record;

const SERVICE: &str = "keurmerk";
/// `catch_up_s` of the settings.
const CATCH_UP: Duration = Duration::from_secs(4);
const GRACE: Duration = Duration::from_secs(6);
const SUCCESSOR_AFTER: Duration = Duration::from_secs(2);
/// `recovery_s` of the settings.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which the operator reads the configuration back, more than `stability_window_ms`.
const READ_BACK: Duration = Duration::from_secs(8);

/// An address that takes connections and packets and never answers, as a machine without power.
struct Silent {
    _listeners: Vec<TcpListener>,
    _socket: UdpSocket,
}

impl Silent {
    fn bind(site: &Site, ip: Ipv4Addr) -> Result<Self, String> {
        let listen = |port| TcpListener::bind((ip, port)).map_err(|e| e.to_string());
        let socket = UdpSocket::bind((ip, site.inner)).map_err(|e| e.to_string())?;
        Ok(Self {
            _listeners: vec![listen(site.inner)?, listen(site.control)?],
            _socket: socket,
        })
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let site = Site::new()?;
    let route = SocketAddrV4::new(site.ip(200), 443);
    let founders = [2, 1, 3];
    let start = |host, bootstrap| {
        Machine::start(&site, record, host, Role::Control { bootstrap }, &founders)
    };
    let mut a = start(1, true)?;
    let mut b = start(2, true)?;
    let mut c = start(3, true)?;
    let mut operator = Operator {
        site: &site,
        record,
        machines: vec![a.ip, b.ip, c.ip],
    };
    let longest = Duration::from_secs(8);
    operator
        .until_ok(
            longest,
            "PUT",
            "/config",
            &config(1, route, SERVICE, 15_000),
        )
        .ok_or("version 1 is not acknowledged")?;
    sleep(CATCH_UP);

    let mut silent = None;
    let mut successor = None;
    if has_trouble {
        b.terminate(GRACE);
        silent = Some(Silent::bind(&site, b.ip)?);
        record.line("core-2 is gone for good; its address does not answer");
        operator.machines = vec![a.ip, c.ip];
        sleep(SUCCESSOR_AFTER);
        successor = Some(start(4, false)?);
        sleep(CATCH_UP);
        record.line("the successor core-4 has had catch_up_s: core-2 no longer counts as lost");
        operator.machines.push(site.ip(4));
    }
    sleep(Duration::from_millis(100));
    let began_at = Instant::now();
    let (by, _) = operator
        .until_ok(
            longest,
            "PUT",
            "/config",
            &config(5, route, SERVICE, 15_000),
        )
        .ok_or("version 5 is not acknowledged before the final fault")?;
    record.line(&format!("version 5 is acknowledged by {by} after {} ms; this machine loses its disk (1 is tolerated)", began_at.elapsed().as_millis()));
    let lost = [Some(&mut a), Some(&mut b), Some(&mut c), successor.as_mut()]
        .into_iter()
        .flatten()
        .find(|m| m.ip == by);
    let machine = lost.ok_or("a machine that is gone answered")?;
    machine.kill();
    machine.wipe();
    machine.write_settings(&site, &Role::Control { bootstrap: false }, &founders)?;
    sleep(Duration::from_secs(1));
    machine.restart()?;
    sleep(RECOVERY);

    record.line("the operator reads the configuration back");
    let read = operator.until_ok(READ_BACK, "GET", "/config", "");
    drop(silent);
    let Some((_, response)) = read else {
        record.line(&format!(
            "no configuration was returned for {} s",
            READ_BACK.as_secs()
        ));
        return Ok(false);
    };
    let is_newest = response.body == config(5, route, SERVICE, 15_000);
    record.line(&format!(
        "the configuration that was returned is {}the acknowledged one",
        if is_newest { "" } else { "not " }
    ));
    Ok(is_newest)
}
