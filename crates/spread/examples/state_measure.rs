//! Measures the state that every node holds: a directory with the given number of records, and a
//! configuration of 4,300 services.
//!
//! `cargo run --release -p dogwoodrill-spread --example state_measure -- 22600`

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill_core::config::{CommittedConfig, Profile, Service};
use dogwoodrill_core::directory::{Directory, MemberId, MemberState, Record, Role};
use dogwoodrill_core::ids::{AvailabilityZone, LogIndex};
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_spread::config_delta::ConfigDelta;
use dogwoodrill_spread::message::NodeRole;
use dogwoodrill_spread::topology::{Level, NodeLocation, plan};
use dogwoodrill_spread::{Node, NodeOptions, Now};

const ZONES: usize = 30;
const ZONES_OF_REGION: usize = 4;
const SERVICES: u16 = 4300;
/// One in this many members is a balancer, like 3,600 of 22,600.
const BALANCER_EVERY: usize = 6;
const ROUNDS: u32 = 100;

fn zone(at: usize) -> AvailabilityZone {
    format!("zone-{at}").parse().expect("the name is valid")
}

fn record(node: usize, zones: &[AvailabilityZone]) -> Record {
    let number = u32::try_from(node).unwrap_or(u32::MAX);
    let is_balancer = node.is_multiple_of(BALANCER_EVERY);
    let host = std::net::Ipv4Addr::from(0x0a00_0000 + number);
    Record {
        member: if is_balancer {
            MemberId::Balancer(u64::from(number).into())
        } else {
            MemberId::BackendServer(number.into())
        },
        zone: zones[node / BALANCER_EVERY % ZONES].clone(),
        incarnation: 1.into(),
        sequence: 1.into(),
        state: MemberState::Serving,
        tunnel: (host, 7200).into(),
        peer: (host, 7201).into(),
        eligible_at: UnixMillis::new(1),
        role: if is_balancer {
            Role::Balancer
        } else {
            Role::BackendServer {
                service: (u16::try_from(number % u32::from(SERVICES)).unwrap_or(0) + 1).into(),
                slots: 2,
                ramp_until: UnixMillis::new(1),
            }
        },
    }
}

fn config() -> CommittedConfig {
    let profile = Profile::standard("standard".parse().expect("the name is valid"));
    let service = |id: u16| Service {
        id: id.into(),
        name: format!("service-{id}").parse().expect("the name is valid"),
        profile: profile.name.clone(),
        addresses: vec![([192, 0, 2, 1], id).into()],
    };
    let region = |at: usize| format!("region-{}", at / ZONES_OF_REGION);
    let region = |at: usize| region(at).parse().expect("the name is valid");
    CommittedConfig {
        index: LogIndex::new(1),
        services: (1..=SERVICES).map(|id| (id.into(), service(id))).collect(),
        regions: (0..ZONES).map(|at| (zone(at), region(at))).collect(),
        profiles: [(profile.name.clone(), profile)].into(),
        ..CommittedConfig::default()
    }
}

/// Resident memory of this process in bytes.
fn memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or_default() * 1024
}

fn timed<T>(rounds: u32, mut f: impl FnMut() -> T) -> Duration {
    let begin = Instant::now();
    for _ in 0..rounds {
        black_box(f());
    }
    begin.elapsed() / rounds
}

fn print_tree(
    directory: &Directory,
    config: &CommittedConfig,
    records: usize,
    zones: &[AvailabilityZone],
) {
    let balancers = (0..records).step_by(BALANCER_EVERY);
    let level = |node: usize| {
        let location = NodeLocation {
            node: u64::try_from(node).unwrap_or_default().into(),
            zone: zones[node / BALANCER_EVERY % ZONES].clone(),
            is_control: false,
            seeds: Vec::new(),
        };
        plan(&location, directory, config).level
    };
    let levels: Vec<_> = balancers.map(level).collect();
    let count = |level| levels.iter().filter(|l| **l == level).count();
    println!(
        "  relays: {} of zones, {} of regions, among {} balancers",
        count(Level::ZoneRelay),
        count(Level::RegionRelay),
        levels.len()
    );
}

fn main() {
    let records = std::env::args().nth(1).and_then(|a| a.parse().ok());
    let records: usize = records.unwrap_or(22_600);
    let now = Now {
        instant: Instant::now(),
        wall: UnixMillis::new(2),
    };
    let location = NodeLocation {
        node: 0.into(),
        zone: zone(0),
        is_control: false,
        seeds: Vec::new(),
    };
    let role = NodeRole::Balancer;
    let seed = 1;
    let options = NodeOptions {
        location: location.clone(),
        role,
        seed,
    };
    let mut node = Node::new(now, options);

    let zones: Vec<_> = (0..ZONES).map(zone).collect();
    let all: Vec<_> = (0..records).map(|n| Arc::new(record(n, &zones))).collect();
    let before = memory();
    let begin = Instant::now();
    for record in &all {
        black_box(node.on_record(now, record));
    }
    let merge = begin.elapsed();
    let of_directory = memory() - before;
    drop(all);
    println!("{records} records");
    println!(
        "  merged in {merge:?}, {:?} each",
        merge / u32::try_from(records).unwrap_or(1)
    );
    println!(
        "  index and digests: {} B a record",
        of_directory / records as u64
    );
    println!("  a record itself: {} B", size_of::<Record>());

    let before = memory();
    let old = config();
    println!("{SERVICES} services: {} KiB", (memory() - before) / 1024);
    let directory = node.directory().clone();
    print_tree(&directory, &old, records, &zones);
    println!(
        "  plan: {:?}",
        timed(ROUNDS, || plan(&location, &directory, &old))
    );
    let mut new = old.clone();
    new.index = new.index.next();
    for profile in new.profiles.values_mut() {
        profile.version = profile.version.next();
    }
    println!(
        "  compare: {:?}",
        timed(ROUNDS, || ConfigDelta::between(&old, &new))
    );
    let delta = ConfigDelta::between(&old, &new);
    println!(
        "  apply one change: {:?}",
        timed(ROUNDS, || delta.apply(&old))
    );
    let tick = timed(ROUNDS, || {
        node.on_tick(Now {
            instant: Instant::now(),
            ..now
        })
    });
    println!("  a tick: {tick:?}");
}
