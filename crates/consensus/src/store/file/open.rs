//! Opening a data folder and replaying its log when the host starts.

use derive_more::Display;
use snafu::ResultExt;

use super::frame::{self, Damage, FILE_HEADER_BYTES, FRAME_HEADER_BYTES, FrameRead, Position};
use super::identity::{self, Identity, IdentityError};
use super::{
    DamagedSnafu, FileError, FileStore, Folder, IoSnafu, LOG_PREFIX, LogMissingSnafu,
    TEMPORARY_SUFFIX, log_name, record,
};
use crate::entry::PersistedState;
use crate::member::MemberId;

/// Part of the log that was truncated: a batch that was being written when the host crashed and was never
/// acknowledged.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("dropped {bytes} bytes of an unfinished write at byte {offset} of the log")]
pub struct TornTail {
    /// Offset at which the log was truncated, in bytes.
    pub offset: u64,
    /// Number of bytes removed.
    pub bytes: u64,
}

/// Content of a folder that was opened.
#[derive(Debug)]
pub enum Opened<F: Folder> {
    /// The folder is unused.
    Fresh(F),
    /// The folder contains a log.
    Log(Box<OpenedLog<F>>),
}

/// Log that was read from a folder.
#[derive(Debug)]
pub struct OpenedLog<F: Folder> {
    /// Store for further writes.
    pub store: FileStore<F>,
    /// Identity of the folder.
    pub identity: Identity,
    /// State that the log holds.
    pub restored: PersistedState,
    /// Torn tail that was truncated, if any.
    pub torn: Option<TornTail>,
}

pub(super) fn open<F: Folder>(mut folder: F) -> Result<Opened<F>, FileError> {
    let identity = identity::load(&folder)?;
    let generation = remove_leftovers(&mut folder, identity.is_some())?;
    let Some(identity) = identity else {
        return Ok(Opened::Fresh(folder));
    };
    let Some(generation) = generation else {
        return LogMissingSnafu.fail();
    };
    let file = log_name(generation);
    let bytes = folder.read(&file).context(IoSnafu {
        action: "read",
        file: &file,
    })?;
    let replay = Replay {
        bytes: &bytes,
        host: identity.host,
        generation,
        offset: FILE_HEADER_BYTES,
    };
    let (restored, end) = replay.run()?;
    let torn = truncate_torn_tail(&mut folder, &file, end, bytes.len() as u64)?;
    let mut store = FileStore {
        folder,
        host: identity.host,
        generation,
        end,
        has_failed: false,
        is_full: false,
    };
    store.reserve_ballast();
    Ok(Opened::Log(Box::new(OpenedLog {
        store,
        identity,
        restored,
        torn,
    })))
}

/// Removes temporary files and old generations that a crash left behind, and returns the latest generation.
/// Without an identity the folder was never used, so all generations are removed.
fn remove_leftovers<F: Folder>(folder: &mut F, is_used: bool) -> Result<Option<u64>, FileError> {
    let names = folder.list().context(IoSnafu {
        action: "list",
        file: "the data folder",
    })?;
    let generation = |name: &str| name.strip_prefix(LOG_PREFIX)?.parse::<u64>().ok();
    let latest = names.iter().filter_map(|name| generation(name)).max();
    let kept = latest.filter(|_| is_used);
    for file in names {
        let is_obsolete = generation(&file).is_some_and(|g| Some(g) != kept);
        if is_obsolete || file.ends_with(TEMPORARY_SUFFIX) {
            folder.remove(&file).context(IoSnafu {
                action: "remove",
                file,
            })?;
        }
    }
    Ok(kept)
}

/// Reads one generation, frame by frame.
struct Replay<'a> {
    bytes: &'a [u8],
    host: MemberId,
    generation: u64,
    offset: usize,
}

impl<'a> Replay<'a> {
    /// Returns the state after all intact frames and the offset at which the last of them ends. The snapshot and
    /// the first batch were synced before the file was renamed to its final name, so they cannot be torn.
    fn run(mut self) -> Result<(PersistedState, u64), FileError> {
        frame::check_header(self.bytes, self.host, self.generation)
            .or_else(|damage| self.damaged(0, damage))?;
        let snapshot = self.next_required()?;
        let snapshot = record::decode_snapshot(snapshot);
        let mut restored = PersistedState {
            snapshot: snapshot.or_else(|_e| self.damaged(FILE_HEADER_BYTES, Damage::Content))?,
            ..PersistedState::default()
        };
        let first = self.next_required()?;
        self.apply(&mut restored, first)?;
        while let Some(payload) = self.next()? {
            self.apply(&mut restored, payload)?;
        }
        Ok((restored, self.offset as u64))
    }

    fn apply(&self, restored: &mut PersistedState, payload: &[u8]) -> Result<(), FileError> {
        let batch = record::decode_batch(payload);
        restored.apply(batch.or_else(|_e| self.damaged(self.offset, Damage::Content))?);
        Ok(())
    }

    fn next_required(&mut self) -> Result<&'a [u8], FileError> {
        let offset = self.offset;
        match self.next()? {
            Some(payload) => Ok(payload),
            None => self.damaged(offset, Damage::Snapshot),
        }
    }

    fn next(&mut self) -> Result<Option<&'a [u8]>, FileError> {
        let position = Position {
            host: self.host,
            generation: self.generation,
            offset: self.offset as u64,
        };
        match frame::read(position, &self.bytes[self.offset..]) {
            FrameRead::Payload(payload) => {
                self.offset += FRAME_HEADER_BYTES + payload.len();
                Ok(Some(payload))
            }
            FrameRead::End | FrameRead::Torn => Ok(None),
            FrameRead::Damaged(damage) => self.damaged(self.offset, damage),
        }
    }

    fn damaged<T>(&self, offset: usize, damage: Damage) -> Result<T, FileError> {
        if let Damage::FormatVersion(found) = damage {
            return Err(IdentityError::Format { found }.into());
        }
        let (file, offset) = (log_name(self.generation), offset as u64);
        DamagedSnafu {
            file,
            offset,
            damage,
        }
        .fail()
    }
}

/// Truncates the log to `end` if the file is longer.
fn truncate_torn_tail<F: Folder>(
    folder: &mut F,
    file: &str,
    end: u64,
    length: u64,
) -> Result<Option<TornTail>, FileError> {
    if end == length {
        return Ok(None);
    }
    let action = "truncate";
    folder
        .truncate(file, end)
        .context(IoSnafu { action, file })?;
    folder.sync(file).context(IoSnafu { action, file })?;
    Ok(Some(TornTail {
        offset: end,
        bytes: length - end,
    }))
}
