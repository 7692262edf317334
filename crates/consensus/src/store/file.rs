//! The log in a folder on a disk.
//!
//! ```text
//! identity               who the disk belongs to, as text
//! lock                   held while a process uses the folder
//! log-0000000000000007   one generation: header, snapshot, then one frame for each synced batch
//! ballast                room kept free, so that a full disk still takes votes
//! ```
//!
//! A generation is written beside the one before, synced, renamed into place and the folder synced;
//! then the one before is removed. So the rename switches from one whole state to the next. A frame
//! carries its length and CRC-32C checksums that also cover where it stands, so that a stale or
//! misplaced block does not pass for the right one. `frame` says what of a damaged file is a torn
//! tail, which is cut, and what stops the host.
//!
//! The design is in `docs/design/control-log.md`.

mod folder;
mod frame;
mod identity;
mod lock;
mod open;
mod record;

use std::io;

use snafu::{ResultExt, Snafu, ensure};

use super::Store;
use crate::entry::{Batch, PersistedState};
use crate::member::MemberId;

pub use folder::{Folder, OsFolder};
pub use frame::Damage;
pub use identity::{ClusterId, Identity, IdentityError};
pub use lock::{FolderLock, LockError};
pub use open::{Opened, OpenedLog, TornTail};

use frame::Position;

/// Room kept free for votes and elections on a full disk, in bytes.
pub const BALLAST_BYTES: u64 = 4 << 20;

/// Why the disk could not be used. The host must stop; see [`Store::write`].
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FileError {
    /// The operating system refused.
    #[snafu(display("cannot {action} {file}; the host stops, and must not go on with this disk"))]
    Io {
        /// What was tried.
        action: &'static str,
        /// The file.
        file: String,
        /// What the operating system said.
        source: io::Error,
    },
    /// The disk takes no bytes at all, not even in the room that was kept free. Nothing of the write
    /// counts; the same write may be tried again.
    #[snafu(display("there is no room to write {file}; free some on the disk of the data folder"))]
    StorageFull {
        /// The file.
        file: String,
    },
    /// The file is not what was written.
    #[snafu(display(
        "{file} is damaged at byte {offset}: {damage}; replace this control host, its disk may not vote"
    ))]
    Damaged {
        /// The file.
        file: String,
        /// Where.
        offset: u64,
        /// What is wrong.
        damage: Damage,
    },
    /// There is an identity and no log.
    #[snafu(display("the log is missing from the folder; replace this control host"))]
    LogMissing,
    /// The identity was refused.
    #[snafu(transparent)]
    Identity {
        /// Why.
        source: IdentityError,
    },
}

impl FileError {
    /// Whether the same write may be tried again once there is room.
    pub const fn is_storage_full(&self) -> bool {
        matches!(self, Self::StorageFull { .. })
    }
}

/// A log in a folder.
#[derive(Debug)]
pub struct FileStore<F: Folder> {
    folder: F,
    host: MemberId,
    generation: u64,
    /// Bytes of the current generation that are synced.
    end: u64,
    /// An error after which what the disk holds is not known.
    failed: bool,
    full: bool,
}

impl<F: Folder> FileStore<F> {
    /// Starts the log of a fresh folder from `first`.
    pub fn create(
        folder: F,
        identity: &Identity,
        first: &PersistedState,
    ) -> Result<Self, FileError> {
        let mut store = Self {
            folder,
            host: identity.host,
            generation: 0,
            end: 0,
            failed: false,
            full: false,
        };
        // The log comes first: a folder with an identity and no log is damaged, one with a log and
        // no identity was never used.
        store.rewrite(first)?;
        identity::save(&mut store.folder, identity)?;
        store.reserve();
        Ok(store)
    }

    /// Reads the log of a folder that was used before.
    pub fn open(folder: F) -> Result<Opened<F>, FileError> {
        open::open(folder)
    }

    /// Writes who the disk belongs to anew, once the host has found its cluster.
    pub fn save_identity(&mut self, identity: &Identity) -> Result<(), FileError> {
        identity::save(&mut self.folder, identity)
    }

    /// Whether the disk had no room at the last write. What was given to that write is on the disk all
    /// the same, in the room kept free; no more should be given than elections need.
    pub const fn is_full(&self) -> bool {
        self.full
    }

    /// Tries to get the room back that is kept free; true if the disk is no longer full.
    pub fn restore_ballast(&mut self) -> bool {
        self.reserve();
        !self.full
    }

    /// Bytes in the current generation.
    pub const fn len(&self) -> u64 {
        self.end
    }

    /// Whether nothing was written yet.
    pub const fn is_empty(&self) -> bool {
        self.end == 0
    }

    fn reserve(&mut self) {
        self.full = self.folder.reserve(BALLAST_NAME, BALLAST_BYTES).is_err();
    }

    fn append(&mut self, batch: &Batch) -> Result<(), FileError> {
        let position = Position {
            host: self.host,
            generation: self.generation,
            offset: self.end,
        };
        let bytes = frame::encode(position, &record::encode_batch(batch));
        let name = log_name(self.generation);
        let mut written = self.folder.write_at(&name, self.end, &bytes);
        if is_storage_full(&written) && !self.full {
            self.give_up_ballast()?;
            written = self.folder.write_at(&name, self.end, &bytes);
        }
        ensure!(!is_storage_full(&written), StorageFullSnafu { file: &name });
        written.context(IoSnafu {
            action: "write",
            file: &name,
        })?;
        self.folder.sync(&name).context(IoSnafu {
            action: "sync",
            file: &name,
        })?;
        self.end += bytes.len() as u64;
        Ok(())
    }

    fn give_up_ballast(&mut self) -> Result<(), FileError> {
        self.full = true;
        self.folder.remove(BALLAST_NAME).context(IoSnafu {
            action: "remove",
            file: BALLAST_NAME,
        })
    }

    fn rewrite(&mut self, restored: &PersistedState) -> Result<(), FileError> {
        let next = self.generation + 1;
        let bytes = generation_bytes(self.host, next, restored);
        let name = log_name(next);
        let mut replaced = self.replace(&name, &bytes);
        if is_storage_full(&replaced) && !self.full && self.generation > 0 {
            self.give_up_ballast()?;
            replaced = self.replace(&name, &bytes);
        }
        ensure!(
            !is_storage_full(&replaced),
            StorageFullSnafu { file: &name }
        );
        replaced.context(IoSnafu {
            action: "write",
            file: &name,
        })?;
        let before = std::mem::replace(&mut self.generation, next);
        self.end = bytes.len() as u64;
        if before > 0 {
            let file = log_name(before);
            self.folder.remove(&file).context(IoSnafu {
                action: "remove",
                file,
            })?;
        }
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        replace_file(&mut self.folder, name, bytes)
    }
}

impl<F: Folder> Store for FileStore<F> {
    type Error = FileError;

    fn write(&mut self, batch: &Batch) -> Result<(), FileError> {
        if self.failed {
            let source = io::Error::other("an earlier write failed");
            let file = log_name(self.generation);
            let action = "go on writing";
            return Err(FileError::Io {
                action,
                file,
                source,
            });
        }
        let written = match batch {
            Batch::Rewrite(restored) => self.rewrite(restored),
            Batch::Append { .. } if batch.is_empty() => Ok(()),
            Batch::Append { .. } => self.append(batch),
        };
        self.failed = written.as_ref().is_err_and(|e| !e.is_storage_full());
        written
    }
}

const BALLAST_NAME: &str = "ballast";
const IDENTITY_NAME: &str = "identity";
const LOG_PREFIX: &str = "log-";
const TEMPORARY_SUFFIX: &str = ".tmp";

fn log_name(generation: u64) -> String {
    format!("{LOG_PREFIX}{generation:016}")
}

fn is_storage_full(result: &io::Result<()>) -> bool {
    let kinds = [io::ErrorKind::StorageFull, io::ErrorKind::QuotaExceeded];
    result.as_ref().is_err_and(|e| kinds.contains(&e.kind()))
}

/// Header, snapshot and the entries after it.
fn generation_bytes(host: MemberId, generation: u64, restored: &PersistedState) -> Vec<u8> {
    let mut bytes = frame::header(host, generation);
    let batch = record::encode_batch(&Batch::Append {
        hard_state: Some(restored.hard_state),
        truncate_from: None,
        entries: restored.entries.clone(),
    });
    for payload in [record::encode_snapshot(&restored.snapshot), batch] {
        let position = Position {
            host,
            generation,
            offset: bytes.len() as u64,
        };
        bytes.extend(frame::encode(position, &payload));
    }
    bytes
}

/// Writes a file beside its place, syncs it, renames it into place and syncs the folder.
fn replace_file<F: Folder>(folder: &mut F, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    folder.write_at(&temporary, 0, bytes)?;
    folder.sync(&temporary)?;
    folder.rename(&temporary, name)?;
    folder.sync_folder()
}
