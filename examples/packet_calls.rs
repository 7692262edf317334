//! Prints the system calls that a balancer makes for each packet of open flows, by the rate of packets.
//!
//! ```text
//! cargo run --release --example packet_calls
//! ```
//!
//! A whole fleet runs on loopback; the balancer has a thread of its own. Counted are calls that take in
//! or send packets, and the waits between them. Packets come in bursts, as callers in a wave send them.

#[path = "../tests/testsuite/forwarded/hosts.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod hosts;
#[path = "../tests/testsuite/support.rs"]
#[expect(dead_code, reason = "the tests use more of it")]
mod support;

use std::error::Error;
use std::net::SocketAddrV4;
use std::time::Duration;

use hosts::{
    Ports, bootstrap_cluster, cx, encode_packet, free_ports, loopback_ip, open_flow, put_document,
    server_report, start_balancer, temp_dirs,
};
use prometheus::Registry;
use tokio::net::UdpSocket;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::time::{interval, sleep};

/// Packets in a burst, and bursts in a second.
const LOADS: [(u32, u32); 5] = [(1, 100), (1, 1000), (4, 1000), (16, 1000), (48, 1000)];
const SPAN: Duration = Duration::from_secs(2);
/// Loopback addresses beside those of the tests.
const FLEET: u8 = 200;

type Failure = Box<dyn Error + Send + Sync>;

#[derive(Clone, Copy, Debug)]
struct Counts {
    packets: f64,
    receive: f64,
    send: f64,
    waits: u64,
}

fn main() -> Result<(), Failure> {
    let fleet = Runtime::new()?;
    let apart = Builder::new_current_thread().enable_all().build()?;
    let (ports, data) = (free_ports(), temp_dirs::<3>());
    let (seeds, _hosts, _agent) = fleet.block_on(async {
        let (seeds, hosts) = bootstrap_cluster(FLEET, ports, &data).await;
        put_document(&hosts.iter().collect::<Vec<_>>(), 2).await;
        let (server, agent) = hosts::start_agent(FLEET, 10, ports, &seeds).await;
        tokio::spawn(async move {
            for sequence in 1.. {
                server.report(server_report(&server, sequence)).await;
                sleep(Duration::from_millis(300)).await;
            }
        });
        (seeds, hosts, agent)
    });
    let own = loopback_ip(FLEET, 20);
    let cx = cx(own);
    let waits = apart.handle().clone();
    let _balancer = apart.block_on(start_balancer(&cx, own, ports, &seeds));
    let registry = cx.metrics.clone();
    std::thread::spawn(move || apart.block_on(std::future::pending::<()>()));
    println!("packets/s  receive  send  wait  all, each for a packet");
    fleet.block_on(async {
        let caller = UdpSocket::bind((loopback_ip(FLEET, 30), ports.packets)).await?;
        let end = SocketAddrV4::new(loopback_ip(FLEET, 30), 40_001);
        open_flow(&caller, end, own, ports).await;
        for (burst, per_second) in LOADS {
            let before = counts(&registry, &waits)?;
            load(&caller, end, ports, burst, per_second).await?;
            let after = counts(&registry, &waits)?;
            let packets = after.packets - before.packets;
            let receive = (after.receive - before.receive) / packets;
            let send = (after.send - before.send) / packets;
            let waits = f64::from(u32::try_from(after.waits - before.waits)?) / packets;
            let rate = packets / SPAN.as_secs_f64();
            let all = receive + send + waits;
            println!("{rate:>9.0}  {receive:>7.2}  {send:>4.2}  {waits:>4.2}  {all:>3.2}");
        }
        Ok(())
    })
}

/// Bursts of packets for [`SPAN`]; answers are not waited for.
async fn load(
    caller: &UdpSocket,
    end: SocketAddrV4,
    ports: Ports,
    burst: u32,
    per_second: u32,
) -> Result<(), Failure> {
    let acknowledgement = encode_packet(64, end, 101, 5001, b"");
    let mut tick = interval(Duration::from_secs(1) / per_second);
    for _ in 0..per_second * u32::try_from(SPAN.as_secs())? {
        tick.tick().await;
        for _ in 0..burst {
            let to = (loopback_ip(FLEET, 20), ports.packets);
            caller.send_to(&acknowledgement, to).await?;
        }
    }
    Ok(())
}

fn counts(registry: &Registry, waits: &Handle) -> Result<Counts, Failure> {
    let families = registry.gather();
    let value = |name: &str, label: &str| {
        let family = families.iter().find(|f| f.name() == name);
        let metrics = family.map(|f| f.get_metric().iter()).into_iter().flatten();
        let mut found = metrics.filter(|m| m.get_label().iter().any(|l| l.value() == label));
        found.next().map(|m| m.get_counter().get_value())
    };
    let calls = "dogwoodrill_forwarded_socket_calls_total";
    Ok(Counts {
        packets: value("dogwoodrill_forwarded_packets_total", "caller").ok_or("no packets yet")?,
        receive: value(calls, "receive").ok_or("no calls yet")?,
        send: value(calls, "send").ok_or("no calls yet")?,
        waits: waits.metrics().worker_park_count(0),
    })
}
