//! Prints the memory per forwarded flow: at its agent, at a keeper, and in a balancer's cache.
//!
//! ```text
//! cargo run --release -p dogwoodrill-core --example flow_entries
//! ```
//!
//! Hash tables double their capacity when they are full, so an entry takes the most memory just after that:
//! the sizes are just before and just after a doubling.

#[path = "../benches/fixtures/one_service.rs"]
mod one_service;

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::process::Command;
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::agent::Agent;
use dogwoodrill_core::forwarded::balancer::Balancer;
use dogwoodrill_core::forwarded::keepers::{FlowDirectory, FlowLocation};
use dogwoodrill_core::forwarded::mesh::Mesh;
use dogwoodrill_core::forwarded::node::{NodeAddress, NodeRole};
use dogwoodrill_core::forwarded::packet::{Flags, FlowKey, Header, Purpose, Trail};
use dogwoodrill_core::forwarded::server::{ServerState, ServerStatement};
use dogwoodrill_core::ids::Sequence;
use dogwoodrill_core::time::UnixMillis;
use one_service::{SERVICE, map};

const KINDS: [&str; 3] = ["agent", "keeper", "balancer"];
const SIZES: [u32; 2] = [110_000, 120_000];
const PAGE_BYTES: u64 = 4_096;
const MAX_AGE: Duration = Duration::from_mins(1);

type Failure = Box<dyn Error + Send + Sync>;

fn main() -> Result<(), Failure> {
    let args: Vec<_> = std::env::args().skip(1).collect();
    if let [kind, flows] = &*args {
        println!("{}", measured(kind, flows.parse()?)?);
        return Ok(());
    }
    println!("flows  {}, bytes each", KINDS.join("  "));
    for flows in SIZES {
        let each = KINDS.map(|kind| in_own_process(kind, flows));
        let each: Vec<_> = each.into_iter().collect::<Result<_, _>>()?;
        println!("{flows}  {}", each.join("  "));
    }
    Ok(())
}

/// Each table is measured in its own process, because it would reuse the memory that another has freed.
fn in_own_process(kind: &str, flows: u32) -> Result<String, Failure> {
    let own = std::env::current_exe()?;
    let output = Command::new(own)
        .args([kind, &flows.to_string()])
        .output()?;
    Ok(String::from_utf8(output.stdout)?.trim().to_owned())
}

/// Measures the bytes per entry of a table with `flows` entries.
fn measured(kind: &str, flows: u32) -> Result<u64, Failure> {
    let before = resident()?;
    let bytes = match kind {
        "agent" => held(&fill_agent(flows))?,
        "keeper" => held(&fill_directory(flows))?,
        "balancer" => held(&fill_balancer(flows))?,
        _ => return Err(format!("no such table: {kind}; there are {KINDS:?}").into()),
    };
    Ok(bytes.saturating_sub(before) / u64::from(flows))
}

fn held<T>(_table: &T) -> Result<u64, Failure> {
    resident()
}

fn resident() -> Result<u64, Failure> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = statm.split(' ').nth(1).ok_or("no resident size")?.parse()?;
    Ok(pages * PAGE_BYTES)
}

fn flow(n: u32) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::from_bits(0x6440_0000 + n), 1000),
        service: SERVICE,
    }
}

fn mesh(role: NodeRole) -> Mesh {
    let ip = Ipv4Addr::new(10, 0, 0, 1);
    Mesh::new(NodeAddress { ip, role })
}

fn fill_balancer(flows: u32) -> Balancer {
    let now = Instant::now();
    let zone = "north".parse().expect("a name");
    let mut balancer = Balancer::new(now, mesh(NodeRole::Balancer), zone, 1);
    let places = (0..flows).map(|n| FlowLocation {
        flow: flow(n),
        server_seq: n,
    });
    balancer.on_flow_locations(Ipv4Addr::new(10, 0, 0, 2), places);
    balancer
}

fn fill_directory(flows: u32) -> FlowDirectory {
    let now = Instant::now();
    let mut directory = FlowDirectory::default();
    for n in 0..flows {
        let place = FlowLocation {
            flow: flow(n),
            server_seq: n,
        };
        directory.on_flow_location(now, Ipv4Addr::new(10, 0, 0, 2), place, MAX_AGE);
    }
    directory
}

/// An agent with flows that were opened and have one request and one response.
fn fill_agent(flows: u32) -> Agent {
    let now = Instant::now();
    let mut agent = Agent::new(now, mesh(NodeRole::Agent), MAX_AGE, MAX_AGE, 1);
    agent.on_map(map());
    agent.on_statement(
        now,
        ServerStatement {
            id: "server".into(),
            started_at: UnixMillis::new(1),
            sequence: Sequence::from(1),
            service: "orders".into(),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80),
            zone: "north".parse().expect("a name"),
            slots: 2,
            state: ServerState::Ready,
            cold_remaining: Duration::ZERO,
        },
    );
    for n in 0..flows {
        let key = flow(n);
        let from = Ipv4Addr::new(10, 0, 0, 9);
        let trail = Trail::from_balancer(from, Purpose::Placed);
        let header = |flags, seq, ack, len| Header {
            source: key.caller,
            target: key.service,
            flags,
            seq,
            ack,
            len,
            trail,
        };
        let turned = |flags, seq, ack, len| Header {
            source: key.service,
            target: key.caller,
            flags,
            seq,
            ack,
            len,
            trail,
        };
        agent.on_caller_packet(now, from, &header(Flags::SYN, 1, 0, 0), &[0; 36]);
        agent.on_server_packet(now, &turned(Flags::SYN | Flags::ACK, 500, 2, 0));
        agent.on_caller_packet(now, from, &header(Flags::ACK, 2, 501, 900), &[0; 936]);
        agent.on_server_packet(now, &turned(Flags::ACK, 501, 902, 500));
        agent.take_actions();
        agent.take_decisions();
    }
    assert_eq!(agent.flows(), flows as usize, "all were opened");
    agent
}
