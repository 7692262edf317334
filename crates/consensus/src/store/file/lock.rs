//! Lock that restricts a folder to one process.

use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu};

const LOCK_NAME: &str = "lock";

/// Error when a folder cannot be locked.
#[derive(Debug, Snafu)]
pub enum LockError {
    /// Another process holds the lock.
    #[snafu(display("another process uses the data folder {}; stop it first", path.display()))]
    InUse {
        /// Path of the folder.
        path: PathBuf,
    },
    /// The lock file cannot be created or locked.
    #[snafu(display("cannot lock the data folder {}", path.display()))]
    LockIo {
        /// Path of the folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Lock on a folder, held until it is dropped or the process ends.
#[derive(Debug)]
pub struct FolderLock {
    file: File,
}

impl Drop for FolderLock {
    /// Unlocks explicitly: closing the file does not release the lock while a process that was just started
    /// still shares the file descriptor.
    fn drop(&mut self) {
        if let Err(e) = self.file.unlock() {
            debug_assert!(false, "cannot release a held lock: {e}");
        }
    }
}

impl FolderLock {
    /// Locks the folder, and creates it if it does not exist.
    pub fn acquire(path: &Path) -> Result<Self, LockError> {
        std::fs::create_dir_all(path).context(LockIoSnafu { path })?;
        let file = File::create(path.join(LOCK_NAME)).context(LockIoSnafu { path })?;
        match file.try_lock() {
            Ok(()) => Ok(Self { file }),
            Err(TryLockError::WouldBlock) => InUseSnafu { path }.fail(),
            Err(TryLockError::Error(source)) => Err(source).context(LockIoSnafu { path }),
        }
    }
}
