//! Persistent storage of a member.

use crate::entry::Batch;

pub mod file;

/// Writes batches durably.
pub trait Store {
    /// Error when a batch could not be written.
    type Error;

    /// Writes a batch; it is synced to disk when this returns `Ok`.
    ///
    /// # Errors
    ///
    /// After an error the caller must stop, because it is unknown whether the batch is on disk. A retry that
    /// succeeds proves nothing: the operating system may have discarded the pages that it failed to write.
    fn write(&mut self, batch: &Batch) -> Result<(), Self::Error>;
}
