//! Time of the balancer's decision about a packet of a forwarded flow, and of its explanation, by the number of agents.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use dogwoodrill_core::forwarded::balancer::Balancer;
use dogwoodrill_core::forwarded::explain::Query;
use dogwoodrill_core::forwarded::keepers::FlowLocation;
use dogwoodrill_core::forwarded::mesh::Mesh;
use dogwoodrill_core::forwarded::node::{NodeAddress, NodeRole};
use dogwoodrill_core::forwarded::packet::{Flags, Header, Purpose, Trail};
use dogwoodrill_core::forwarded::report::{
    BootId, Heartbeat, ResponseStats, ServerPresence, ServerReport,
};
use dogwoodrill_core::ids::LogIndex;

#[path = "fixtures/one_service.rs"]
mod one_service;

use one_service::{SERVICE, map};

/// Agents of one service: as in current deployments, as in grown ones, and ten times that.
const SIZES: [u16; 3] = [7, 42, 420];
/// Number of flows that are new to the balancer in one measurement.
const FLOWS: u32 = 1_000;

fn agent(n: u16) -> Ipv4Addr {
    let [high, low] = n.to_be_bytes();
    Ipv4Addr::new(10, 0, high, low)
}

fn balancer(now: Instant, agents: u16) -> Balancer {
    let own = NodeAddress {
        ip: Ipv4Addr::new(10, 9, 0, 1),
        role: NodeRole::Balancer,
    };
    let mut mesh = Mesh::new(own);
    for n in 0..agents {
        let greeting = Heartbeat {
            boot: BootId::new(1),
            role: NodeRole::Agent,
            index: LogIndex::new(1),
            last_seen_age: Some(Duration::ZERO),
            report: Some(ServerReport {
                service: "orders".into(),
                zone: "north".parse().expect("a name"),
                is_accepting: true,
                is_cold: false,
                busy: u32::from(n % 3),
                work: None,
                waiting: 0,
                stalled: 0,
                flows: 0,
                flow_request_rate: None,
                slots: 2,
                responses: ResponseStats::default(),
            }),
            server_presence: ServerPresence::default(),
        };
        mesh.on_heartbeat(now, agent(n), greeting);
    }
    let mut balancer = Balancer::new(now, mesh, "north".parse().expect("a name"), 1);
    balancer.on_map(map());
    balancer
}

fn header(caller: u32, flags: Flags) -> Header {
    Header {
        source: SocketAddrV4::new(Ipv4Addr::from_bits(0x6440_0000 + caller), 1000),
        target: SERVICE,
        flags,
        seq: 1,
        ack: 0,
        len: 0,
        trail: Trail::from_balancer(Ipv4Addr::UNSPECIFIED, Purpose::Placed),
    }
}

fn decisions(c: &mut Criterion) {
    let now = Instant::now();
    let mut group = c.benchmark_group("balancer");
    for agents in SIZES {
        let mut cached = balancer(now, agents);
        let data = header(0, Flags::ACK);
        let place = FlowLocation {
            flow: data.caller_flow(),
            server_seq: 0,
        };
        cached.on_flow_locations(agent(0), [place]);
        group.bench_function(BenchmarkId::new("cached", agents), |b| {
            b.iter(|| cached.on_packet(now, black_box(&data)));
        });
        let query = Query {
            flow: data.caller_flow(),
            zone: None,
        };
        group.bench_function(BenchmarkId::new("explain", agents), |b| {
            b.iter(|| cached.explain(now, black_box(&query)));
        });
        group.throughput(Throughput::Elements(FLOWS.into()));
        for (name, flags) in [("unknown flows", Flags::ACK), ("openings", Flags::SYN)] {
            group.bench_function(BenchmarkId::new(name, agents), |b| {
                let decide = |balancer: &mut Balancer| {
                    for caller in 0..FLOWS {
                        black_box(balancer.on_packet(now, &header(caller, flags)));
                    }
                    balancer.take_decisions()
                };
                b.iter_batched_ref(|| balancer(now, agents), decide, BatchSize::LargeInput);
            });
        }
        group.throughput(Throughput::Elements(1));
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
