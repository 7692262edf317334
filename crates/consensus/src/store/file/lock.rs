//! One process for a folder.

use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu};

const LOCK_NAME: &str = "lock";

/// Why a folder could not be locked.
#[derive(Debug, Snafu)]
pub enum LockError {
    /// Another process has it.
    #[snafu(display("another process uses the data folder {}; stop it first", path.display()))]
    InUse {
        /// The folder.
        path: PathBuf,
    },
    /// The operating system refused.
    #[snafu(display("cannot lock the data folder {}", path.display()))]
    LockIo {
        /// The folder.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
}

/// Holds a folder until it is dropped or the process ends.
#[derive(Debug)]
pub struct FolderLock {
    file: File,
}

impl Drop for FolderLock {
    /// Closing the file is not enough where a process that was just started still shares it.
    fn drop(&mut self) {
        if let Err(e) = self.file.unlock() {
            debug_assert!(false, "a lock that is held can be given up: {e}");
        }
    }
}

impl FolderLock {
    /// Takes the folder, which is made where it is not there.
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
