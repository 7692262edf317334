//! Reading a folder back when the host starts.

use derive_more::Display;
use snafu::ResultExt;

use super::frame::{self, Damage, FILE_HEAD, FRAME_HEAD, Position, Read};
use super::identity::{self, Identity, IdentityError};
use super::{
    DamagedSnafu, FileError, FileStore, Folder, IoSnafu, LOG_PREFIX, LogMissingSnafu,
    TEMPORARY_SUFFIX, log_name, record,
};
use crate::entry::PersistedState;
use crate::member::MemberId;

/// A batch that was being written when the host died was dropped; nobody was told of it.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("dropped {bytes} bytes of an unfinished write at byte {offset} of the log")]
pub struct TornTail {
    /// Where the log was cut.
    pub offset: u64,
    /// How much was cut, in bytes.
    pub bytes: u64,
}

/// What a folder holds.
#[derive(Debug)]
pub enum Opened<F: Folder> {
    /// Nothing: the host has not used it.
    Fresh(F),
    /// A log.
    Log(Box<OpenedLog<F>>),
}

/// A log that was read back.
#[derive(Debug)]
pub struct OpenedLog<F: Folder> {
    /// The store, to go on with.
    pub store: FileStore<F>,
    /// Whom the folder belongs to.
    pub identity: Identity,
    /// What the log holds.
    pub restored: PersistedState,
    /// What was cut off its end.
    pub torn: Option<TornTail>,
}

pub(super) fn open<F: Folder>(mut folder: F) -> Result<Opened<F>, FileError> {
    let identity = identity::load(&folder)?;
    let generation = clean(&mut folder, identity.is_some())?;
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
        at: FILE_HEAD,
    };
    let (restored, end) = replay.run()?;
    let torn = cut(&mut folder, &file, end, bytes.len() as u64)?;
    let mut store = FileStore {
        folder,
        host: identity.host,
        generation,
        end,
        failed: false,
        full: false,
    };
    store.reserve();
    Ok(Opened::Log(Box::new(OpenedLog {
        store,
        identity,
        restored,
        torn,
    })))
}

/// Removes what a crash left behind; returns the latest generation. Without an identity nothing in the
/// folder was ever used.
fn clean<F: Folder>(folder: &mut F, used: bool) -> Result<Option<u64>, FileError> {
    let names = folder.list().context(IoSnafu {
        action: "list",
        file: "the data folder",
    })?;
    let generation = |name: &str| name.strip_prefix(LOG_PREFIX)?.parse::<u64>().ok();
    let latest = names.iter().filter_map(|name| generation(name)).max();
    let kept = latest.filter(|_| used);
    for file in names {
        let old = generation(&file).is_some_and(|g| Some(g) != kept);
        if old || file.ends_with(TEMPORARY_SUFFIX) {
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
    at: usize,
}

impl<'a> Replay<'a> {
    /// What all frames add up to, and where the last whole one ends. The snapshot and the first batch
    /// were synced before the file got its name, so they cannot be torn.
    fn run(mut self) -> Result<(PersistedState, u64), FileError> {
        frame::check_header(self.bytes, self.host, self.generation)
            .or_else(|damage| self.damaged(0, damage))?;
        let snapshot = self.required()?;
        let snapshot = record::decode_snapshot(snapshot);
        let mut restored = PersistedState {
            snapshot: snapshot.or_else(|_e| self.damaged(FILE_HEAD, Damage::Content))?,
            ..PersistedState::default()
        };
        let first = self.required()?;
        self.apply(&mut restored, first)?;
        while let Some(payload) = self.next()? {
            self.apply(&mut restored, payload)?;
        }
        Ok((restored, self.at as u64))
    }

    fn apply(&self, restored: &mut PersistedState, payload: &[u8]) -> Result<(), FileError> {
        let batch = record::decode_batch(payload);
        restored.apply(batch.or_else(|_e| self.damaged(self.at, Damage::Content))?);
        Ok(())
    }

    fn required(&mut self) -> Result<&'a [u8], FileError> {
        let at = self.at;
        match self.next()? {
            Some(payload) => Ok(payload),
            None => self.damaged(at, Damage::Snapshot),
        }
    }

    fn next(&mut self) -> Result<Option<&'a [u8]>, FileError> {
        let position = Position {
            host: self.host,
            generation: self.generation,
            offset: self.at as u64,
        };
        match frame::read(position, &self.bytes[self.at..]) {
            Read::Payload(payload) => {
                self.at += FRAME_HEAD + payload.len();
                Ok(Some(payload))
            }
            Read::End | Read::Torn => Ok(None),
            Read::Damaged(damage) => self.damaged(self.at, damage),
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

fn cut<F: Folder>(
    folder: &mut F,
    file: &str,
    end: u64,
    length: u64,
) -> Result<Option<TornTail>, FileError> {
    if end == length {
        return Ok(None);
    }
    let action = "cut";
    folder
        .truncate(file, end)
        .context(IoSnafu { action, file })?;
    folder.sync(file).context(IoSnafu { action, file })?;
    Ok(Some(TornTail {
        offset: end,
        bytes: length - end,
    }))
}
