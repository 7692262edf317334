//! Time of an admission decision and of a claim, and memory of a claim.

use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use dogwoodrill_core::admission::{Admission, AdmissionSettings, Arrival, Decision, Ticket};
use dogwoodrill_core::claims::keeper::{ClaimReplica, ClaimReplicaOptions};
use dogwoodrill_core::claims::key::{Attempt, RequestKey};
use dogwoodrill_core::claims::message::{ClaimOperation, ClaimRequest, Outcome, RunId};
use dogwoodrill_core::claims::rules::Rules;
use dogwoodrill_core::claims::table::ClaimCount;
use dogwoodrill_core::config::{ClaimGroup, ClaimReplicaId, Priority};
use dogwoodrill_core::ids::{BackendServerId, Incarnation, ServiceId};
use dogwoodrill_core::time::UnixMillis;
use uuid::Uuid;

const START: u64 = 1_000_000_000;
const NOW: UnixMillis = UnixMillis::new(START + 1_000);
const WINDOW: Duration = Duration::from_mins(5);
/// Numbers of claims that a replica holds.
const SIZES: [u64; 3] = [1_000, 30_000, 150_000];
const PAGE_BYTES: usize = 4_096;

fn keeper_id(server: u32) -> ClaimReplicaId {
    ClaimReplicaId {
        server: BackendServerId::new(server),
        incarnation: Incarnation::new(1),
    }
}

fn replica() -> ClaimReplica {
    let mut replica = ClaimReplica::new(ClaimReplicaOptions {
        me: keeper_id(1),
        started_at: UnixMillis::new(START),
        capacity: ClaimCount::new(1_000_000),
        rules: Rules::default(),
    });
    let group = ClaimGroup {
        service: ServiceId::new(1),
        epoch: ClaimGroup::FIRST_EPOCH,
        replicas: (1..=3).map(keeper_id).collect(),
        previous: Vec::new(),
    };
    replica.on_group(NOW, &group, WINDOW);
    replica
}

fn key(number: u64) -> RequestKey {
    let minted = u128::from(START + number % 1_000);
    let bits = (minted << 80) | (7 << 76) | (0b10 << 62) | u128::from(number);
    Uuid::from_u128(bits)
        .try_into()
        .expect("a UUID of version 7")
}

fn request(number: u64, operation: ClaimOperation) -> ClaimRequest {
    ClaimRequest {
        epoch: ClaimGroup::FIRST_EPOCH,
        crash_vector: (1..=3).map(keeper_id).collect(),
        key: key(number),
        attempt: Attempt::FIRST,
        run: RunId {
            server: BackendServerId::new(1),
            incarnation: Incarnation::new(1),
            number,
        },
        operation,
    }
}

fn filled(claims: u64) -> ClaimReplica {
    let mut replica = replica();
    for number in 0..claims {
        replica.on_request(NOW, request(number, ClaimOperation::Grant));
        replica.on_request(
            NOW,
            request(
                number,
                ClaimOperation::Finish(Outcome::NotKept { status: 201 }),
            ),
        );
    }
    replica
}

/// Resident memory of the process in bytes, from /proc.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn memory_of_claims(_: &mut Criterion) {
    for claims in SIZES {
        let before = resident_bytes();
        let replica = filled(claims);
        let bytes = resident_bytes().saturating_sub(before);
        let each = bytes / usize::try_from(claims).unwrap_or(1);
        println!("memory of {claims} finished claims: {each} bytes each");
        drop(black_box(replica));
    }
}

fn claim_at_keeper(c: &mut Criterion) {
    let mut group = c.benchmark_group("claim at keeper");
    for claims in SIZES {
        let mut replica = filled(claims);
        let mut number = claims;
        group.bench_function(BenchmarkId::new("grant and finish", claims), |b| {
            b.iter_batched(
                || {
                    number += 1;
                    let outcome = Outcome::NotKept { status: 201 };
                    let finish = request(number, ClaimOperation::Finish(outcome));
                    (request(number, ClaimOperation::Grant), finish)
                },
                |(grant, finish)| {
                    let granted = replica.on_request(NOW, grant);
                    (granted, replica.on_request(NOW, finish))
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

fn busy(now: Instant, waiting: u32) -> (Admission, Ticket) {
    let settings = AdmissionSettings {
        slots: 2,
        queue_limit: 1_000_000,
        cold_start: Duration::ZERO,
    };
    let mut admission = Admission::new(now, settings);
    let mut running = None;
    for _ in 0..waiting + 2 {
        if let Decision::Run(ticket) = admission.on_arrival(now, arrival(now)) {
            running = Some(ticket);
        }
    }
    (admission, running.expect("two requests run"))
}

fn arrival(now: Instant) -> Arrival {
    Arrival {
        priority: Priority::Interactive,
        deadline: now + WINDOW,
        may_wait: true,
    }
}

fn admission_decision(c: &mut Criterion) {
    let now = Instant::now();
    let mut group = c.benchmark_group("admission");
    for waiting in [0, 64, 1_024] {
        let (mut admission, _) = busy(now, waiting);
        group.bench_function(BenchmarkId::new("arrive and withdraw", waiting), |b| {
            b.iter(|| match admission.on_arrival(now, arrival(now)) {
                Decision::Wait(ticket) => admission.on_withdrawn(ticket),
                _ => false,
            });
        });
    }
    group.finish();
}

criterion_group!(
    benches,
    memory_of_claims,
    claim_at_keeper,
    admission_decision
);
criterion_main!(benches);
