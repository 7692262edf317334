//! Prints the system calls that a balancer makes per packet of open flows, by packet rate.
//!
//! ```text
//! cargo run --release --example packet_calls
//! ```
//!
//! A whole fleet runs on loopback; the balancer has its own thread. The counts include calls that receive or
//! send packets, and waits for events. Packets arrive in bursts, as from callers that send at the same time.

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

/// Packets per burst and bursts per second.
const LOADS: [(u32, u32); 5] = [(1, 100), (1, 1000), (4, 1000), (16, 1000), (48, 1000)];
const LOAD_TIME: Duration = Duration::from_secs(2);
/// Selects loopback addresses that differ from those of the tests.
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
    let balancer_runtime = Builder::new_current_thread().enable_all().build()?;
    let (ports, data) = (free_ports(), temp_dirs::<3>());
    let (seeds, _hosts, _agent) = fleet.block_on(async {
        let (seeds, hosts) = bootstrap_cluster(FLEET, ports, &data).await;
        put_document(&hosts.iter().collect::<Vec<_>>(), 2).await;
        let (server, _, agent) = hosts::start_agent(FLEET, 10, ports, &seeds).await;
        tokio::spawn(async move {
            for sequence in 1.. {
                server.report(server_report(&server, sequence)).await;
                sleep(Duration::from_millis(300)).await;
            }
        });
        (seeds, hosts, agent)
    });
    let balancer_ip = loopback_ip(FLEET, 20);
    let cx = cx(balancer_ip);
    let waits = balancer_runtime.handle().clone();
    let _balancer = balancer_runtime.block_on(start_balancer(&cx, balancer_ip, ports, &seeds));
    let registry = cx.metrics.clone();
    std::thread::spawn(move || balancer_runtime.block_on(std::future::pending::<()>()));
    println!("packets/s  receive  send  wait  all, each for a packet");
    fleet.block_on(async {
        let caller = UdpSocket::bind((loopback_ip(FLEET, 30), ports.packets)).await?;
        let end = SocketAddrV4::new(loopback_ip(FLEET, 30), 40_001);
        open_flow(&caller, end, balancer_ip, ports).await;
        for (burst, per_second) in LOADS {
            let before = counts(&registry, &waits)?;
            load(&caller, end, ports, burst, per_second).await?;
            let after = counts(&registry, &waits)?;
            let packets = after.packets - before.packets;
            let receive = (after.receive - before.receive) / packets;
            let send = (after.send - before.send) / packets;
            let waits = f64::from(u32::try_from(after.waits - before.waits)?) / packets;
            let rate = packets / LOAD_TIME.as_secs_f64();
            let all = receive + send + waits;
            println!("{rate:>9.0}  {receive:>7.2}  {send:>4.2}  {waits:>4.2}  {all:>3.2}");
        }
        Ok(())
    })
}

/// Sends bursts of packets for [`LOAD_TIME`] without waiting for replies.
async fn load(
    caller: &UdpSocket,
    end: SocketAddrV4,
    ports: Ports,
    burst: u32,
    per_second: u32,
) -> Result<(), Failure> {
    let acknowledgement = encode_packet(64, end, 101, 5001, b"");
    let mut tick = interval(Duration::from_secs(1) / per_second);
    for _ in 0..per_second * u32::try_from(LOAD_TIME.as_secs())? {
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
