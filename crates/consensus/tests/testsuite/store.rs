//! Behaviour of the file store on a failing, full or damaged disk.

use std::collections::BTreeMap;
use std::ops::Range;

use crc32c::crc32c;
use dogwoodrill_consensus::store::Store;
use dogwoodrill_consensus::store::file::{
    BALLAST_BYTES, ClusterId, FileError, FileStore, FolderLock, Identity, LockError, Opened,
    OpenedLog, TornTail,
};
use dogwoodrill_consensus::{Batch, HardState, MemberId, PersistedState, Snapshot};
use insta::{assert_debug_snapshot, assert_snapshot};
use rstest::rstest;

use crate::disk::{Failure, MemoryFolder, Unsynced};
use crate::support::{entry, voters};

const LOG: &str = "log-0000000000000001";
const NEXT_LOG: &str = "log-0000000000000002";
const FRAME_HEADER_BYTES: usize = 12;

fn identity() -> Identity {
    Identity {
        node: 7.into(),
        host: MemberId::new(0xabc),
        cluster: Some(ClusterId::new(0xdef)),
    }
}

fn first() -> PersistedState {
    PersistedState {
        snapshot: Snapshot {
            index: 1.into(),
            term: 1.into(),
            membership: voters(3),
            state: "state".into(),
        },
        ..PersistedState::default()
    }
}

/// Returns a batch with one entry whose command is `bytes` long.
fn batch(index: u64, bytes: usize) -> Batch {
    Batch::Append {
        hard_state: Some(HardState {
            term: index.into(),
            voted_for: Some(MemberId::new(index)),
        }),
        truncate_from: None,
        entries: vec![entry(index, 1, vec![b'x'; bytes])],
    }
}

fn create(folder: &MemoryFolder) -> Result<FileStore<MemoryFolder>, FileError> {
    FileStore::create(folder.clone(), &identity(), &first())
}

fn open(folder: &MemoryFolder) -> Result<Option<Box<OpenedLog<MemoryFolder>>>, FileError> {
    Ok(match FileStore::open(folder.clone())? {
        Opened::Log(log) => Some(log),
        Opened::Fresh(_) => None,
    })
}

/// Returns a folder with the entries 2, 3 and 4, the offsets of their frames, and the stored state.
fn three_batches(bytes: usize) -> (MemoryFolder, Vec<usize>, PersistedState) {
    let folder = MemoryFolder::default();
    let mut store = create(&folder).unwrap();
    let mut restored = first();
    let mut starts = Vec::new();
    for index in 2..=4 {
        starts.push(usize::try_from(store.len()).unwrap());
        store.write(&batch(index, bytes)).unwrap();
        restored.apply(batch(index, bytes));
    }
    (folder, starts, restored)
}

#[test]
fn a_reopened_log_equals_what_was_written() {
    let (folder, _, restored) = three_batches(100);
    let log = open(&folder).unwrap().unwrap();
    assert_eq!(
        (log.restored, log.identity, log.torn),
        (restored, identity(), None)
    );
}

#[test]
fn a_last_frame_truncated_at_any_byte_is_dropped_and_reported() {
    let (whole, starts, _) = three_batches(700);
    let bytes = whole.bytes(LOG);
    let mut before = first();
    before.apply(batch(2, 700));
    before.apply(batch(3, 700));
    for length in starts[2] + 1..bytes.len() {
        let folder = whole.copy();
        folder.set_bytes(LOG, &bytes[..length]);
        let mut log = open(&folder).unwrap().unwrap();
        let torn = TornTail {
            offset: starts[2] as u64,
            bytes: (length - starts[2]) as u64,
        };
        assert_eq!(
            (&log.restored, log.torn),
            (&before, Some(torn)),
            "cut at {length}"
        );
        log.store.write(&batch(4, 1)).unwrap();
        assert_eq!(
            open(&folder).unwrap().unwrap().torn,
            None,
            "cut at {length}"
        );
    }
}

/// Flips one bit of each byte in each region in turn. Opening the log must report damage every time, also
/// in the last frame, where damage must not pass for a torn tail.
#[test]
fn a_flipped_bit_is_always_reported_as_damage() {
    let (whole, starts, _) = three_batches(40);
    let bytes = whole.bytes(LOG);
    let regions: [(&str, Range<usize>); 6] = [
        ("header", 0..32),
        ("snapshot and first batch", 32..starts[0]),
        (
            "middle frame head",
            starts[1]..starts[1] + FRAME_HEADER_BYTES,
        ),
        (
            "middle frame payload",
            starts[1] + FRAME_HEADER_BYTES..starts[2],
        ),
        ("last frame head", starts[2]..starts[2] + FRAME_HEADER_BYTES),
        (
            "last frame payload",
            starts[2] + FRAME_HEADER_BYTES..bytes.len(),
        ),
    ];
    let mut seen = BTreeMap::<_, BTreeMap<String, usize>>::new();
    for (region, range) in regions {
        for at in range {
            let mut damaged = bytes.clone();
            damaged[at] ^= 1 << (at % 8);
            let folder = whole.copy();
            folder.set_bytes(LOG, &damaged);
            let damage = match open(&folder) {
                Err(FileError::Damaged { damage, .. }) => damage.to_string(),
                other => panic!("{region} at {at}: {other:?}"),
            };
            *seen.entry(region).or_default().entry(damage).or_default() += 1;
        }
    }
    assert_debug_snapshot!(seen, @r#"
    {
        "header": {
            "not a log": 8,
            "the header is damaged or belongs to another host or generation": 24,
        },
        "last frame head": {
            "a frame's head is damaged or belongs to another place": 12,
        },
        "last frame payload": {
            "a frame's payload is damaged": 54,
        },
        "middle frame head": {
            "a frame's head is damaged or belongs to another place": 12,
        },
        "middle frame payload": {
            "a frame's payload is damaged": 54,
        },
        "snapshot and first batch": {
            "a frame's head is damaged or belongs to another place": 24,
            "a frame's payload is damaged": 78,
        },
    }
    "#);
}

fn put(bytes: &mut [u8], at: usize, other: &[u8]) {
    bytes[at..at + other.len()].copy_from_slice(other);
}

fn stale_block(bytes: &mut [u8], starts: &[usize]) {
    let (old, ..) = three_batches(1400);
    let sector = starts[1] / 512 * 512;
    let stale = old.bytes(LOG)[sector..sector + 512].to_vec();
    put(bytes, sector, &stale);
}

fn frame_at_another_position(bytes: &mut [u8], starts: &[usize]) {
    let misplaced = bytes[starts[0]..starts[1]].to_vec();
    put(bytes, starts[1], &misplaced);
}

fn lost_sector_in_the_middle(bytes: &mut [u8], starts: &[usize]) {
    put(bytes, starts[1].next_multiple_of(512), &[0; 512]);
}

fn lost_sector_at_the_end(bytes: &mut [u8], starts: &[usize]) {
    put(bytes, starts[2].next_multiple_of(512), &[0; 512]);
}

fn last_frame_all_zeros(bytes: &mut [u8], starts: &[usize]) {
    bytes[starts[2]..].fill(0);
}

#[rstest]
#[case::stale_block(stale_block, "damaged")]
#[case::frame_at_another_position(frame_at_another_position, "damaged")]
#[case::lost_sector_in_the_middle(lost_sector_in_the_middle, "damaged")]
#[case::lost_sector_at_the_end(lost_sector_at_the_end, "torn")]
#[case::last_frame_all_zeros(last_frame_all_zeros, "torn")]
fn a_wrong_block_is_classified_as_damage_or_torn_tail(
    #[case] damage: fn(&mut [u8], &[usize]),
    #[case] expected: &str,
) {
    let (folder, starts, _) = three_batches(1500);
    let mut bytes = folder.bytes(LOG);
    damage(&mut bytes, &starts);
    folder.set_bytes(LOG, &bytes);
    let outcome = match open(&folder) {
        Err(FileError::Damaged { .. }) => "damaged",
        Ok(Some(log)) if log.torn.is_some() => "torn",
        other => panic!("{other:?}"),
    };
    assert_eq!(outcome, expected);
}

#[test]
fn foreign_or_damaged_files_are_rejected_with_instructions() {
    let (folder, ..) = three_batches(10);
    let rejected = |change: &dyn Fn(&MemoryFolder)| {
        let folder = folder.copy();
        change(&folder);
        open(&folder).unwrap_err().to_string()
    };
    let other = MemoryFolder::default();
    let theirs = Identity {
        host: MemberId::new(1),
        ..identity()
    };
    FileStore::create(other.clone(), &theirs, &first()).unwrap();
    let later = "dogwoodrill control host, format 2\n";
    let later = format!("{later}checksum {:08x}\n", crc32c(later.as_bytes()));
    let later_log = |bytes: &[u8]| {
        let mut header = bytes[..28].to_vec();
        header[8] = 2;
        let checksum = crc32c(&header).to_le_bytes();
        [&*header, &checksum, &bytes[32..]].concat()
    };
    let messages = [
        rejected(&|f| f.set_bytes(LOG, &other.bytes(LOG))),
        rejected(&|f| f.set_bytes("identity", b"node 1")),
        rejected(&|f| f.set_bytes("identity", later.as_bytes())),
        rejected(&|f| f.set_bytes(LOG, &later_log(&f.bytes(LOG)))),
        rejected(&|f| f.set_bytes(LOG, &f.bytes(LOG)[..50])),
        rejected(&|f| {
            let mut bytes = f.bytes(LOG);
            bytes.rotate_left(1);
            f.set_bytes(LOG, &bytes);
        }),
        identity().check_node(8.into()).unwrap_err().to_string(),
    ];
    assert_snapshot!(messages.join("\n"), @"
    log-0000000000000001 is damaged at byte 0: the header is damaged or belongs to another host or generation; replace this control host, its disk may not vote
    the file identity is damaged; replace this control host
    the data folder has format 2; this version of the program knows 1
    the data folder has format 2; this version of the program knows 1
    log-0000000000000001 is damaged at byte 32: the snapshot is cut short; replace this control host, its disk may not vote
    log-0000000000000001 is damaged at byte 0: not a log; replace this control host, its disk may not vote
    the data folder belongs to control host 7, the settings say 8; use the right folder
    ");
}

#[test]
fn an_identity_without_a_log_is_rejected_and_a_log_without_an_identity_is_ignored() {
    let (folder, ..) = three_batches(10);
    let (no_log, no_identity) = (MemoryFolder::default(), MemoryFolder::default());
    no_log.set_bytes("identity", &folder.bytes("identity"));
    no_identity.set_bytes(LOG, &folder.bytes(LOG));
    assert!(matches!(open(&no_log), Err(FileError::LogMissing)));
    assert!(open(&no_identity).unwrap().is_none());
}

/// Appends and rewrites until the first error. Returns the last acknowledged state (`None` if the folder was
/// not created) and the state after the last attempted write.
fn workload(folder: &MemoryFolder) -> (Option<PersistedState>, PersistedState) {
    let mut attempted = first();
    let Ok(mut store) = create(folder) else {
        return (None, attempted);
    };
    let mut acknowledged = first();
    for index in 2..=9 {
        let mut next = attempted.clone();
        next.apply(batch(index, 300));
        let batch = if index % 4 == 0 {
            next.snapshot.index = (index - 2).into();
            next.entries.retain(|e| e.index > next.snapshot.index);
            Batch::Rewrite(next.clone())
        } else {
            batch(index, 300)
        };
        attempted = next;
        if store.write(&batch).is_err() {
            assert!(
                store.write(&batch).is_err(),
                "a write after a failed write must be rejected"
            );
            return (Some(acknowledged), attempted);
        }
        acknowledged = attempted.clone();
    }
    (Some(acknowledged), attempted)
}

/// The disk fails at each operation in turn and the host crashes. The reopened log must hold the last
/// acknowledged state or that after the one write in progress. This covers lost renames, short writes,
/// failed syncs and a crash between any two operations.
#[rstest]
fn acknowledged_writes_survive_a_disk_failure_at_any_operation(
    #[values(Failure::Error, Failure::Short)] failure: Failure,
    #[values(Unsynced::Lost, Unsynced::Kept, Unsynced::NamesKept, Unsynced::Half)]
    unsynced: Unsynced,
) {
    let whole = MemoryFolder::default();
    workload(&whole);
    for operation in 1..=whole.operations() {
        let folder = MemoryFolder::default();
        folder.fail_at(operation, failure);
        let (acknowledged, attempted) = workload(&folder);
        folder.crash(unsynced);
        let log = open(&folder).unwrap_or_else(|e| panic!("operation {operation}: {e}"));
        let found = log.map(|log| log.restored);
        let allowed = [acknowledged, Some(attempted)];
        assert!(allowed.contains(&found), "operation {operation}: {found:?}");
    }
}

#[test]
fn a_full_disk_still_accepts_votes_and_recovers() {
    let folder = MemoryFolder::default();
    let mut store = create(&folder).unwrap();
    folder.set_capacity(Some(folder.used() + 100));
    store.write(&batch(2, 300)).unwrap();
    let full = store.is_full();
    store.write(&batch(3, 300)).unwrap();
    let recovered_while_full = store.restore_ballast();
    folder.set_capacity(None);
    let recovered = store.restore_ballast();
    let last = open(&folder).unwrap().unwrap().restored.last_index().get();
    let result = (full, recovered_while_full, recovered, last, BALLAST_BYTES);
    assert_debug_snapshot!(result, @"
    (
        true,
        false,
        true,
        3,
        4194304,
    )
    ");
}

/// The disk rejects all writes for a while, also those that use the space of the ballast file.
#[test]
fn a_write_rejected_by_a_full_disk_can_be_retried() {
    let folder = MemoryFolder::default();
    let mut store = create(&folder).unwrap();
    store.write(&batch(2, 300)).unwrap();
    folder.set_capacity(Some(0));
    for _ in 0..3 {
        let rejected = store.write(&batch(3, 300)).unwrap_err();
        assert!(rejected.is_storage_full(), "{rejected}");
    }
    assert_eq!(
        open(&folder).unwrap().unwrap().restored.last_index().get(),
        2
    );
    folder.set_capacity(None);
    store.write(&batch(3, 300)).unwrap();
    store.write(&batch(4, 300)).unwrap();
    assert!(store.restore_ballast());
    folder.crash(Unsynced::Lost);
    assert_eq!(
        open(&folder).unwrap().unwrap().restored.last_index().get(),
        4
    );
}

/// Guards against a disk path that ends the host when the disk rejects all writes for a while.
#[rstest]
#[case::append(|store: &mut FileStore<MemoryFolder>| store.write(&batch(3, 300)))]
#[case::rewrite(|store: &mut FileStore<MemoryFolder>| store.write(&Batch::Rewrite(first())))]
#[case::identity(|store: &mut FileStore<MemoryFolder>| store.save_identity(&identity()))]
fn each_write_to_a_full_disk_can_be_retried(
    #[case] write: fn(&mut FileStore<MemoryFolder>) -> Result<(), FileError>,
) {
    let folder = MemoryFolder::default();
    let mut store = create(&folder).unwrap();
    store.write(&batch(2, 300)).unwrap();
    folder.set_capacity(Some(0));
    for _ in 0..3 {
        let rejected = write(&mut store).unwrap_err();
        assert!(rejected.is_storage_full(), "{rejected}");
    }
    folder.set_capacity(None);
    write(&mut store).unwrap();
    assert!(store.restore_ballast());
    folder.crash(Unsynced::Lost);
    let log = open(&folder).unwrap().unwrap();
    assert_eq!(log.identity, identity());
}

#[test]
fn a_rewrite_leaves_one_generation() {
    let (folder, _, restored) = three_batches(10);
    let mut log = open(&folder).unwrap().unwrap();
    log.store.write(&Batch::Rewrite(restored.clone())).unwrap();
    assert_eq!(open(&folder).unwrap().unwrap().restored, restored);
    let names = dogwoodrill_consensus::store::file::Folder::list(&folder).unwrap();
    assert_eq!(names, ["identity", NEXT_LOG]);
}

#[test]
fn only_one_process_can_lock_a_folder() {
    let folder = tempfile::tempdir().unwrap();
    let held = FolderLock::acquire(folder.path()).unwrap();
    let rejected = FolderLock::acquire(folder.path());
    assert!(matches!(rejected, Err(LockError::InUse { .. })));
    drop(held);
    FolderLock::acquire(folder.path()).unwrap();
}
