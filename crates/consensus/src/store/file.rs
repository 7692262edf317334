//! Log storage in a folder on disk.
//!
//! ```text
//! identity               host, member and cluster that the folder belongs to, as text
//! lock                   held while a process uses the folder
//! log-0000000000000007   one generation: header, snapshot, then one frame for each synced batch
//! ballast                reserved space, so that votes can be written when the disk is full
//! ```
//!
//! A new generation is written to a temporary file, synced and renamed, and the folder is synced; then the
//! previous generation is removed. The rename thus switches atomically from one complete state to the
//! next. A frame carries its length and CRC-32C checksums that also cover its position, so that a stale or
//! misplaced block is detected. `frame` defines which damage is a torn tail, which is truncated, and which
//! damage stops the host.
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

/// Space reserved for votes and elections on a full disk, in bytes.
pub const BALLAST_BYTES: u64 = 4 << 20;

/// Error of the file store. Unless it is [`FileError::StorageFull`], the host must stop; see [`Store::write`].
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FileError {
    /// A file operation failed.
    #[snafu(display(
        "cannot {action} {file}; the host stops and must not continue with this disk"
    ))]
    Io {
        /// Operation that failed.
        action: &'static str,
        /// Name of the file.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The disk is full, and the space reserved by the ballast file is used up. The write had no effect and
    /// may be retried.
    #[snafu(display("no space left to write {file}; free space on the disk of the data folder"))]
    StorageFull {
        /// Name of the file.
        file: String,
    },
    /// The content of a file is not what was written.
    #[snafu(display(
        "{file} is damaged at byte {offset}: {damage}; replace this control host, its disk may not vote"
    ))]
    Damaged {
        /// Name of the file.
        file: String,
        /// Offset of the damaged part, in bytes.
        offset: u64,
        /// Kind of damage.
        damage: Damage,
    },
    /// The folder contains an identity but no log.
    #[snafu(display("the log is missing from the folder; replace this control host"))]
    LogMissing,
    /// The identity file is invalid or does not match this host.
    #[snafu(transparent)]
    Identity {
        /// Reason for the rejection.
        source: IdentityError,
    },
}

impl FileError {
    /// Returns whether the disk was full; the write may be retried once space is free.
    pub const fn is_storage_full(&self) -> bool {
        matches!(self, Self::StorageFull { .. })
    }
}

/// Log in a folder.
#[derive(Debug)]
pub struct FileStore<F: Folder> {
    folder: F,
    host: MemberId,
    generation: u64,
    /// Length of the synced part of the current generation, in bytes.
    end: u64,
    /// Whether a write failed, so that the content of the disk is unknown.
    has_failed: bool,
    is_full: bool,
}

impl<F: Folder> FileStore<F> {
    /// Creates the log of an unused folder with the initial state `first`.
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
            has_failed: false,
            is_full: false,
        };
        // The log is written before the identity: a folder with an identity and no log is damaged, one with
        // a log and no identity was never used.
        store.rewrite(first)?;
        identity::save(&mut store.folder, identity)?;
        store.reserve_ballast();
        Ok(store)
    }

    /// Opens a folder and reads its log, if it has one.
    pub fn open(folder: F) -> Result<Opened<F>, FileError> {
        open::open(folder)
    }

    /// Rewrites the identity file, for instance once the host has joined its cluster.
    pub fn save_identity(&mut self, identity: &Identity) -> Result<(), FileError> {
        identity::save(&mut self.folder, identity)
    }

    /// Returns whether the disk is full, so that the space of the ballast file is in use or could not be
    /// reserved. Successful writes are still durable; the caller should write only what elections need.
    pub const fn is_full(&self) -> bool {
        self.is_full
    }

    /// Tries to reserve the ballast space again; returns true if the disk is no longer full.
    pub fn restore_ballast(&mut self) -> bool {
        self.reserve_ballast();
        !self.is_full
    }

    /// Returns the length of the current generation, in bytes.
    pub const fn len(&self) -> u64 {
        self.end
    }

    /// Returns whether nothing has been written yet.
    pub const fn is_empty(&self) -> bool {
        self.end == 0
    }

    fn reserve_ballast(&mut self) {
        self.is_full = self.folder.reserve(BALLAST_NAME, BALLAST_BYTES).is_err();
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
        if is_storage_full(&written) && !self.is_full {
            self.release_ballast()?;
            written = self.folder.write_at(&name, self.end, &bytes);
        }
        check_written(written, &name)?;
        self.folder.sync(&name).context(IoSnafu {
            action: "sync",
            file: &name,
        })?;
        self.end += bytes.len() as u64;
        Ok(())
    }

    fn release_ballast(&mut self) -> Result<(), FileError> {
        self.is_full = true;
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
        if is_storage_full(&replaced) && !self.is_full && self.generation > 0 {
            self.release_ballast()?;
            replaced = self.replace(&name, &bytes);
        }
        check_written(replaced, &name)?;
        let previous = std::mem::replace(&mut self.generation, next);
        self.end = bytes.len() as u64;
        if previous > 0 {
            let file = log_name(previous);
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
        if self.has_failed {
            let source = io::Error::other("an earlier write failed");
            let file = log_name(self.generation);
            let action = "continue writing";
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
        self.has_failed = written.as_ref().is_err_and(|e| !e.is_storage_full());
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

/// Returns the error of a write to `file`; a full disk has one of its own, since such a write may be retried.
fn check_written(written: io::Result<()>, file: &str) -> Result<(), FileError> {
    ensure!(!is_storage_full(&written), StorageFullSnafu { file });
    let action = "write";
    written.context(IoSnafu { action, file })
}

/// Encodes a generation: header, snapshot and the entries after it.
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

/// Replaces a file atomically: writes a temporary file, syncs it, renames it and syncs the folder.
fn replace_file<F: Folder>(folder: &mut F, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    folder.write_at(&temporary, 0, bytes)?;
    folder.sync(&temporary)?;
    folder.rename(&temporary, name)?;
    folder.sync_folder()
}
