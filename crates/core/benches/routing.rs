//! Time of a balancer's routing decision and of an agent's steering, by the number of servers.
//!
//! Goals: at most 100 ns for a pinned packet and 300 ns for an opening one, at 19,000 servers in services
//! of 5, and no dependence on the servers of other services.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::directory::{Directory, MemberId, MemberState, Record, Role};
use dogwoodrill_core::flow::{ClusterKey, ConnectionId, FlowKey, PacketClass, classify};
use dogwoodrill_core::flow_table::{FlowLocation, FlowTable, Peer};
use dogwoodrill_core::ids::{Incarnation, ServiceId};
use dogwoodrill_core::routing::ServiceTable;
use dogwoodrill_core::steering::{Steering, SteeringOptions, TunnelPacket};
use dogwoodrill_core::time::{Now, UnixMillis};

const KEY: ClusterKey = ClusterKey::new(*b"a key for tests.");
const SERVICE: ServiceId = ServiceId::new(1);
const NOW: UnixMillis = UnixMillis::new(10_000);
/// Number of servers in total and per service; the first row is a service as in current deployments.
const SIZES: [(u32, u32); 4] = [(7, 7), (1_000, 5), (19_000, 5), (19_000, 19_000)];
const INCARNATION: Incarnation = Incarnation::new(1_000);

fn directory(servers: u32, per_service: u32) -> Directory {
    let mut directory = Directory::default();
    for id in 0..servers {
        let service = u16::try_from(id / per_service + 1).expect("few services");
        directory.merge(record(id, ServiceId::new(service)));
    }
    directory
}

fn record(id: u32, service: ServiceId) -> Record {
    let [.., high, low] = id.to_be_bytes();
    let address = ([10, 0, high, low], 7_000).into();
    Record {
        member: MemberId::BackendServer(id.into()),
        zone: "pando".parse().expect("a name"),
        incarnation: INCARNATION,
        sequence: 1.into(),
        state: MemberState::Serving,
        tunnel: address,
        peer: address,
        eligible_at: UnixMillis::default(),
        role: Role::BackendServer {
            service,
            slots: 2,
            ramp_until: UnixMillis::default(),
        },
    }
}

fn packet(opening: bool, n: u64) -> Vec<u8> {
    let id = ConnectionId {
        server: 3.into(),
        incarnation: INCARNATION.short(),
        nonce: u32::try_from(n).expect("few packets").to_be_bytes(),
    };
    let mut packet = vec![0; 1_200];
    if opening {
        packet[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
        packet[6..14].copy_from_slice(&n.to_be_bytes());
    } else {
        packet[0] = 0x40;
        packet[1..17].copy_from_slice(&id.encode(&KEY, SERVICE));
    }
    packet
}

fn decisions(c: &mut Criterion) {
    let caller = "192.0.2.9:4433".parse().expect("an address");
    for (name, opening) in [("pinned", false), ("opening", true)] {
        let mut group = c.benchmark_group(name);
        let packets: Vec<_> = (0..64).map(|n| packet(opening, n)).collect();
        for (servers, per_service) in SIZES {
            let directory = directory(servers, per_service);
            let table = ServiceTable::build(&directory, &CommittedConfig::default(), SERVICE);
            let id = BenchmarkId::from_parameter(format!("{servers} by {per_service}"));
            let mut turn = packets.iter().cycle();
            group.bench_function(id, |b| {
                b.iter(|| {
                    let packet = turn.next().expect("a cycle");
                    let class = classify(&KEY, SERVICE, caller, black_box(packet));
                    table.route(class.expect("a good packet"), NOW)
                });
            });
        }
    }
}

fn steering(c: &mut Criterion) {
    let table = ServiceTable::build(&directory(5, 5), &CommittedConfig::default(), SERVICE);
    let own = Peer {
        server: 3.into(),
        tunnel: record(3, SERVICE).tunnel,
    };
    let mut agent = Steering::new(SteeringOptions {
        own,
        incarnation: INCARNATION.short(),
        flow_timeout: Duration::from_secs(10),
    });
    let now = Now {
        instant: Instant::now(),
        wall: NOW,
    };
    agent.on_table(now, Arc::new(table));
    let pinned = ConnectionId {
        server: own.server,
        incarnation: INCARNATION.short(),
        nonce: [0; 4],
    };
    let mut group = c.benchmark_group("steering");
    let mut n = 0;
    for (name, opening) in [("pinned", false), ("opening", true)] {
        group.bench_function(name, |b| {
            b.iter(|| {
                n += 1;
                let class = if opening {
                    PacketClass::Opening(FlowKey::from_hash(n))
                } else {
                    PacketClass::Pinned(pinned)
                };
                let arrival = TunnelPacket {
                    class,
                    hops: 0,
                    settled: false,
                    reset: false,
                };
                agent.on_packet(now, black_box(arrival), 0)
            });
        });
    }
}

fn table_builds(c: &mut Criterion) {
    let mut group = c.benchmark_group("table of one service of 5");
    for (servers, per_service) in &SIZES[1..3] {
        let directory = directory(*servers, *per_service);
        let config = CommittedConfig::default();
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            b.iter(|| ServiceTable::build(&directory, &config, black_box(SERVICE)));
        });
    }
}

/// Not timed: prints the memory of a routing table and of a flow table, at three sizes each.
fn bytes(_: &mut Criterion) {
    for servers in [7, 1_000, 19_000] {
        let directory = directory(servers, servers);
        let table = ServiceTable::build(&directory, &CommittedConfig::default(), SERVICE);
        println!("table of {servers} servers: {} bytes", table.bytes());
    }
    for flows in [1_000_u32, 10_000, 60_000] {
        let now = Instant::now();
        let mut table = FlowTable::new(65_536);
        for n in 0..flows {
            let key = FlowKey::from_hash(n.into());
            table.insert(now, key, FlowLocation::Local, now + Duration::from_secs(10));
        }
        let each = table.bytes() / usize::try_from(flows).expect("few flows");
        println!("{flows} remembered flows: {each} bytes each");
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(50).measurement_time(Duration::from_secs(1)).warm_up_time(Duration::from_millis(300));
    targets = decisions, steering, table_builds, bytes
}
criterion_main!(benches);
