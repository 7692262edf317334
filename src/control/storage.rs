//! The data folder of a control host.

use std::path::Path;

use dogwoodrill_consensus::store::file::{FileStore, FolderLock, Identity, Opened, OsFolder};
use dogwoodrill_consensus::{MemberId, Restored};
use dogwoodrill_core::ids::NodeId;
use snafu::ResultExt;

use super::{ControlError, FolderSnafu};

/// An opened data folder and its content.
#[derive(Debug)]
pub(crate) struct Storage {
    /// Held as long as the folder is in use.
    pub(super) lock: FolderLock,
    pub(super) store: FileStore<OsFolder>,
    pub(super) identity: Identity,
    pub(super) restored: Restored,
}

impl Storage {
    /// Opens the folder. An empty folder gets the identity `host`, or a random one.
    pub(crate) fn open(
        node: NodeId,
        path: &Path,
        host: Option<MemberId>,
    ) -> Result<Self, ControlError> {
        let lock = FolderLock::take(path)?;
        let folder = OsFolder::open(path).context(FolderSnafu { path })?;
        match FileStore::open(folder)? {
            Opened::Fresh(folder) => Self::create(node, lock, folder, host),
            Opened::Log(log) => {
                log.identity.check_node(node)?;
                if let Some(torn) = log.torn {
                    log::warn!("data folder: {torn}; none of this was confirmed to any client");
                }
                Ok(Self {
                    lock,
                    store: log.store,
                    identity: log.identity,
                    restored: log.restored,
                })
            }
        }
    }

    fn create(
        node: NodeId,
        lock: FolderLock,
        folder: OsFolder,
        host: Option<MemberId>,
    ) -> Result<Self, ControlError> {
        let random_id = || MemberId::new(rand::random_range(1..=u64::MAX));
        let identity = Identity {
            node,
            host: host.unwrap_or_else(random_id),
            cluster: None,
        };
        let restored = Restored::default();
        Ok(Self {
            lock,
            store: FileStore::create(folder, &identity, &restored)?,
            identity,
            restored,
        })
    }
}
