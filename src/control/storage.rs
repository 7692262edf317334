//! The data folder of a control host.

use std::fmt::Debug;
use std::path::Path;

use dogwoodrill_consensus::store::file::{
    FileStore, Folder, FolderLock, Identity, Opened, OsFolder,
};
use dogwoodrill_consensus::{MemberId, PersistedState};
use dogwoodrill_core::ids::NodeId;
use snafu::ResultExt;

use super::{ControlError, FolderSnafu};

/// The files of a data folder, or a stand-in whose operations fail.
pub type DataFolder = Box<dyn DriverFolder>;

/// A [`Folder`] that the driver may use on any thread.
pub trait DriverFolder: Folder + Debug + Send {}

impl<F: Folder + Debug + Send> DriverFolder for F {}

/// Opens the data folder at `path`.
pub(crate) fn open_data_folder(path: &Path) -> Result<DataFolder, ControlError> {
    let folder = OsFolder::open(path).context(FolderSnafu { path })?;
    Ok(Box::new(folder))
}

/// An opened data folder and its content.
#[derive(Debug)]
pub(crate) struct Storage {
    /// Held as long as the folder is in use.
    pub(super) lock: FolderLock,
    pub(super) store: FileStore<DataFolder>,
    pub(super) identity: Identity,
    pub(super) restored: PersistedState,
}

impl Storage {
    /// Opens the folder `folder` at `path`. An empty folder gets the identity `host`, or a random one.
    pub(crate) fn open(
        node: NodeId,
        path: &Path,
        folder: DataFolder,
        host: Option<MemberId>,
    ) -> Result<Self, ControlError> {
        let lock = FolderLock::acquire(path)?;
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
        folder: DataFolder,
        host: Option<MemberId>,
    ) -> Result<Self, ControlError> {
        let random_id = || MemberId::new(rand::random_range(1..=u64::MAX));
        let identity = Identity {
            node,
            host: host.unwrap_or_else(random_id),
            cluster: None,
        };
        let restored = PersistedState::default();
        Ok(Self {
            lock,
            store: FileStore::create(folder, &identity, &restored)?,
            identity,
            restored,
        })
    }
}
