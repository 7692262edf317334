//! Benchmark of the log on the disk of one host. Measures commits with one sync for each command and for
//! each batch, compared with the plain sync rate of the same disk; the cost of the checksums of a frame;
//! and the time to open the log after 1, 500, 5,000 and 50,000 changes.
//!
//! `cargo run --release -p dogwoodrill-consensus --example disk -- FOLDER`; runs for about 20 s.

use std::error::Error;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use bytes::Bytes;
use crc32c::crc32c;
use dogwoodrill_consensus::store::Store;
use dogwoodrill_consensus::store::file::{FileStore, Identity, Opened, OsFolder};
use dogwoodrill_consensus::{
    Batch, Entry, Member, MemberId, MemberRole, Membership, Node, Options, Payload, PersistedState,
    Snapshot,
};

/// Approximate size of a command that changes a profile.
const COMMAND_BYTES: usize = 150;
const RUN_TIME: Duration = Duration::from_secs(3);
/// Number of changes and how many of them share a frame.
const CHANGES: [(u32, usize); 4] = [(1, 1), (500, 1), (5_000, 1), (50_000, 64)];

type Failure = Box<dyn Error>;

fn main() -> Result<(), Failure> {
    let folder = std::env::args()
        .nth(1)
        .map_or_else(std::env::temp_dir, PathBuf::from);
    let folder = folder.join(format!("dogwoodrill-disk-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let measured = measure(&folder);
    std::fs::remove_dir_all(&folder)?;
    measured
}

fn measure(folder: &Path) -> Result<(), Failure> {
    println!(
        "{:<28} {:>10} {:>9} {:>9} {:>9}",
        "", "per s", "syncs/s", "p50 ms", "p99 ms"
    );
    bare_syncs(folder)?;
    for batch in [1, 8, 64, 512] {
        commits(folder, batch)?;
    }
    bare_syncs(folder)?;
    checks();
    println!(
        "\n{:<28} {:>10} {:>12}",
        "start after changes", "ms", "us a change"
    );
    for (changes, frame) in CHANGES {
        start(folder, changes, frame)?;
    }
    Ok(())
}

/// Measures appends of the size of one command, each synced.
fn bare_syncs(folder: &Path) -> Result<(), Failure> {
    let mut file = File::create(folder.join("bare"))?;
    let mut times = Vec::new();
    let end = Instant::now() + RUN_TIME;
    while Instant::now() < end {
        let began_at = Instant::now();
        file.write_all(&[7; COMMAND_BYTES])?;
        file.sync_data()?;
        times.push(began_at.elapsed());
    }
    report("bare append and fdatasync", &mut times, 1);
    Ok(())
}

/// Measures commits of `batch` commands at a time on a cluster of one host.
fn commits(folder: &Path, batch: usize) -> Result<(), Failure> {
    let path = folder.join(format!("commits-{batch}"));
    let (mut store, restored) = create(&path)?;
    let now = Instant::now();
    let mut node = Node::new(identity().host, Options::default(), restored, now, 1);
    node.on_tick(node.next_deadline());
    let command = Bytes::from(vec![7; COMMAND_BYTES]);
    let mut times = Vec::new();
    let end = now + RUN_TIME;
    while Instant::now() < end {
        let began_at = Instant::now();
        node.propose(began_at, vec![command.clone(); batch])?;
        let outputs = node.take();
        store.write(&outputs.batch)?;
        node.on_synced(Instant::now(), outputs.synced);
        let applied = node.take().apply.len();
        assert!(applied >= batch, "a batch was not committed by its sync");
        times.push(began_at.elapsed());
    }
    report(&format!("commits, {batch} a sync"), &mut times, batch);
    Ok(())
}

fn report(what: &str, times: &mut [Duration], batch: usize) {
    times.sort_unstable();
    let total: Duration = times.iter().sum();
    let syncs = float(times.len()) / total.as_secs_f64();
    let at = |per_mille: usize| times[(times.len() - 1) * per_mille / 1000].as_secs_f64() * 1e3;
    let rate = syncs * float(batch);
    println!(
        "{what:<28} {rate:>10.0} {syncs:>9.0} {:>9.3} {:>9.3}",
        at(500),
        at(990)
    );
}

fn float(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}

/// Measures the checksums of a frame, with and without the 24 bytes of its position.
fn checks() {
    const ROUNDS: u32 = 2_000_000;
    let payload = [7; COMMAND_BYTES];
    let time = |with_position: bool| {
        let began_at = Instant::now();
        for round in 0..ROUNDS {
            let head = round.to_le_bytes();
            let seed = if with_position { crc32c(&[3; 24]) } else { 0 };
            std::hint::black_box(crc32c::crc32c_append(seed, &head));
            std::hint::black_box(crc32c(&payload));
        }
        began_at.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS)
    };
    let (without, with) = (time(false), time(true));
    println!("\nchecksums of a frame: {without:.1} ns, bound to its position: {with:.1} ns");
}

fn start(folder: &Path, changes: u32, frame: usize) -> Result<(), Failure> {
    let path = folder.join(format!("start-{changes}"));
    let (mut store, _) = create(&path)?;
    let entries: Vec<_> = (2..2 + u64::from(changes)).map(entry).collect();
    for together in entries.chunks(frame) {
        store.write(&Batch::Append {
            hard_state: None,
            truncate_from: None,
            entries: together.to_vec(),
        })?;
    }
    drop(store);
    let began_at = Instant::now();
    let Opened::Log(log) = FileStore::open(OsFolder::open(&path)?)? else {
        return Err("the data folder contains no log".into());
    };
    let took = began_at.elapsed().as_secs_f64();
    assert_eq!(
        log.restored.last_index().get(),
        1 + u64::from(changes),
        "changes were lost"
    );
    let each = took * 1e6 / f64::from(changes);
    println!("{changes:<28} {:>10.2} {each:>12.2}", took * 1e3);
    Ok(())
}

fn entry(index: u64) -> Entry {
    Entry {
        index: index.into(),
        term: 1.into(),
        payload: Payload::Command(vec![7; COMMAND_BYTES].into()),
    }
}

const fn identity() -> Identity {
    Identity {
        node: dogwoodrill_core::ids::NodeId::new(1),
        host: MemberId::new(1),
        cluster: None,
    }
}

fn create(path: &Path) -> Result<(FileStore<OsFolder>, PersistedState), Failure> {
    let voter = Member {
        id: identity().host,
        role: MemberRole::Voter,
        replaces: None,
        node: identity().node,
        address: ([127, 0, 0, 1], 1).into(),
    };
    let restored = PersistedState {
        snapshot: Snapshot {
            index: 1.into(),
            term: 1.into(),
            membership: Membership::new([voter]),
            state: Bytes::new(),
        },
        ..PersistedState::default()
    };
    let store = FileStore::create(OsFolder::open(path)?, &identity(), &restored)?;
    Ok((store, restored))
}
