//! Settings files: YAML that is parsed into a tree and then validated into typed settings.
//!
//! A [`Document`] holds any YAML with the position of each value. `TryFrom` validates it into the
//! settings of one kind and reports all faults of the file at once, such as a misspelt key, a wrong
//! unit or a duplicate port. A settings type is only built from a file without faults. Key and
//! certificate files that the settings name are read later, by `cx` and `options`.

use std::path::{Path, PathBuf};

use dogwoodrill_core::flow::BadClusterKey;
use snafu::{ResultExt, Snafu};

use crate::credentials::CredentialError;

pub mod agent;
pub mod balancer;
pub mod control;
pub mod document;
pub mod fault;
pub mod initial;
pub mod kind;
pub mod logs;
pub mod operator;
pub mod process;
pub mod profile;
pub mod scalar;
pub mod section;

use document::Node;
use fault::{FaultList, Faults};
use section::Section;

/// Error of reading or validating a settings file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// A settings or key file could not be read.
    #[snafu(display("cannot read {}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file has faults.
    #[snafu(transparent)]
    Faults {
        /// All faults of the file.
        source: Faults,
    },
    /// The cluster key file does not hold a valid key.
    #[snafu(display("{}: {source}", path.display()))]
    Key {
        /// Path of the file.
        path: PathBuf,
        /// The parse error.
        source: BadClusterKey,
    },
    /// A certificate or private key file is invalid.
    #[snafu(display("cannot use the certificates that the settings name"))]
    Credentials {
        /// The error of the certificate or key.
        source: CredentialError,
    },
}

/// A parsed settings file before validation.
#[derive(Clone, Debug)]
pub struct Document {
    /// Path of the file.
    pub path: PathBuf,
    /// The root value.
    pub root: Node,
}

impl Document {
    /// Reads and parses a file.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        Ok(Self::parse(path, &read_text(path)?)?)
    }

    /// Parses the text of a file. `path` is used in messages and to resolve relative paths in the file.
    pub fn parse(path: &Path, text: &str) -> Result<Self, Faults> {
        let path = path.to_owned();
        match Node::parse(text) {
            Ok(root) => Ok(Self { path, root }),
            Err(fault) => Err(Faults {
                path,
                faults: vec![fault],
            }),
        }
    }

    /// The folder of the settings file; relative paths in the file are resolved against it.
    pub fn folder(&self) -> &Path {
        self.path.parent().unwrap_or(Path::new(""))
    }

    fn read<T>(
        &self,
        name: &str,
        read: impl FnOnce(&Section<'_>, &Self) -> Option<T>,
    ) -> Result<T, Faults> {
        let faults = FaultList::default();
        let section = Section::new(&faults, name, &self.root);
        let settings = section.and_then(|section| read(&section, self));
        faults.finish(&self.path, settings)
    }
}

/// Reads a file and validates it as settings of one kind.
pub fn read<T>(path: &Path) -> Result<T, SettingsError>
where
    T: for<'a> TryFrom<&'a Document, Error = Faults>,
{
    let document = Document::open(path)?;
    Ok(T::try_from(&document)?)
}

fn read_text(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).context(ReadSnafu { path })
}
