//! A control machine that stands still while another is being replaced loses its place for good, and with
//! it the system loses a part of the losses that it must bear.

use std::net::SocketAddrV4;
use std::thread::sleep;
use std::time::Duration;

use crate::fleet::{Machine, Role, Site};
use crate::operator::{Operator, config};
use crate::record::Record;

const SERVICE: &str = "keurmerk";
/// `catch_up_s` of the settings, and a second more.
const CATCH_UP: Duration = Duration::from_secs(5);
/// Within the longest freeze of a core machine in the site file (6.6 s).
const FREEZE: Duration = Duration::from_millis(6500);
const GRACE: Duration = Duration::from_secs(6);
/// `recovery_s` of the settings.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which the operator reads the configuration back, more than `stability_window_ms`.
const READ_BACK: Duration = Duration::from_secs(8);

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let site = Site::new()?;
    let route = SocketAddrV4::new(site.ip(200), 443);
    let founders = [1, 2, 3];
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

    record.line("planned replacement of core-2 by core-4: the new machine starts first");
    let mut d = start(4, false)?;
    sleep(CATCH_UP);
    if has_trouble {
        c.freeze();
        sleep(FREEZE);
        c.thaw();
    } else {
        sleep(FREEZE);
    }
    sleep(CATCH_UP);
    b.terminate(GRACE);
    record.line("core-2 is gone for good");
    operator.machines = vec![a.ip, c.ip, d.ip];
    // More than catch_up_s: the removed machine no longer counts as lost.
    sleep(CATCH_UP + CATCH_UP);

    let (by, _) = operator
        .until_ok(
            longest,
            "PUT",
            "/config",
            &config(5, route, SERVICE, 15_000),
        )
        .ok_or("version 5 is not acknowledged before the final fault")?;
    record.line(&format!(
        "version 5 is acknowledged by {by}; one machine loses its disk (1 is tolerated)"
    ));
    let lost = [&mut a, &mut c, &mut d].into_iter().find(|m| m.ip == by);
    lose_disk(
        &site,
        lost.ok_or("a machine that is gone answered")?,
        &founders,
    )?;
    read_back(record, &operator, route)
}

fn lose_disk(site: &Site, machine: &mut Machine, seeds: &[u8]) -> Result<(), String> {
    machine.kill();
    machine.wipe();
    machine.write_settings(site, &Role::Control { bootstrap: false }, seeds)?;
    sleep(Duration::from_secs(1));
    machine.restart()
}

/// Reads the configuration back after the recovery time.
fn read_back(
    record: &Record,
    operator: &Operator<'_>,
    route: SocketAddrV4,
) -> Result<bool, String> {
    sleep(RECOVERY);
    record.line("the operator reads the configuration back");
    let read = operator.until_ok(READ_BACK, "GET", "/config", "");
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
