//! `check-config`: validates settings files without starting a process.

use std::fmt;
use std::path::{Path, PathBuf};

use dogwoodrill_core::ids::AvailabilityZone;
use serde_json::{Value, json};
use snafu::Snafu;

use super::Outcome;
use super::exit::EXIT_FAILED;
use crate::settings::fault::Faults;
use crate::settings::kind::{AnySettings, SettingsKind};
use crate::settings::{Document, SettingsError};

/// Options of `check-config`.
#[derive(Clone, Debug)]
pub struct CheckConfigOptions {
    /// The settings files.
    pub files: Vec<PathBuf>,
    /// Kind of all the files; detected from their keys if not given.
    pub kind: Option<SettingsKind>,
    /// Whether to skip reading the key and certificate files that the settings name.
    pub without_keys: bool,
}

/// Error of checking one file.
#[derive(Debug, Snafu)]
pub enum CheckError {
    /// The settings file, or a file that it names, is invalid.
    #[snafu(transparent)]
    Settings {
        /// The underlying error.
        source: SettingsError,
    },
    /// The kind cannot be detected from the keys.
    #[snafu(display("{}: cannot detect the kind of settings from the keys; give it with --kind", path.display()))]
    NoKind {
        /// Path of the file.
        path: PathBuf,
    },
}

/// The check result of one file.
#[derive(Debug)]
pub struct CheckedFile {
    /// Path of the file.
    pub path: PathBuf,
    /// Its kind, or the error.
    pub result: Result<SettingsKind, CheckError>,
}

/// The check results of all files.
#[derive(Debug)]
pub struct CheckReport {
    /// One result per file, in the order given.
    pub files: Vec<CheckedFile>,
}

/// Checks the files. If one of them is an initial configuration, it must list the zones that the other
/// files use.
pub fn check_config(options: &CheckConfigOptions) -> CheckReport {
    let mut read: Vec<_> = options
        .files
        .iter()
        .map(|path| (path, check(path, options.kind)))
        .collect();
    let zones = listed_zones(&read);
    for (_, result) in &mut read {
        check_references(result, zones.as_deref(), options.without_keys);
    }
    let file = |(path, result): (&PathBuf, FileCheck)| CheckedFile {
        path: path.clone(),
        result: result.map(|read| read.kind),
    };
    CheckReport {
        files: read.into_iter().map(file).collect(),
    }
}

struct ReadFile {
    document: Document,
    kind: SettingsKind,
    settings: AnySettings,
}

type FileCheck = Result<ReadFile, CheckError>;

fn check(path: &Path, kind: Option<SettingsKind>) -> FileCheck {
    let document = Document::open(path)?;
    let kind = kind.or_else(|| SettingsKind::detect(&document));
    let Some(kind) = kind else {
        return NoKindSnafu { path }.fail();
    };
    let settings = kind.check(&document).map_err(faults)?;
    Ok(ReadFile {
        document,
        kind,
        settings,
    })
}

fn faults(source: Faults) -> CheckError {
    let source = SettingsError::Faults { source };
    CheckError::Settings { source }
}

fn listed_zones(read: &[(&PathBuf, FileCheck)]) -> Option<Vec<AvailabilityZone>> {
    let files = read.iter().filter_map(|(_, result)| result.as_ref().ok());
    let mut initials = files.filter_map(|file| match &file.settings {
        AnySettings::Initial(initial) => Some(&initial.config),
        _ => None,
    });
    let config = initials.next()?;
    Some(config.zones.keys().cloned().collect())
}

fn check_references(
    result: &mut FileCheck,
    zones: Option<&[AvailabilityZone]>,
    without_keys: bool,
) {
    let Ok(read) = result else { return };
    let zone = zones.map_or(Ok(()), |z| read.settings.check_zone(&read.document, z));
    if let Err(e) = zone {
        *result = Err(faults(e));
        return;
    }
    if without_keys {
        return;
    }
    if let Err(source) = read.settings.check_files() {
        *result = Err(CheckError::Settings { source });
    }
}

impl CheckReport {
    /// Whether every file passed.
    pub fn succeeded(&self) -> bool {
        self.files.iter().all(|f| f.result.is_ok())
    }
}

impl Outcome for CheckReport {
    fn exit_code(&self) -> u8 {
        if self.succeeded() { 0 } else { EXIT_FAILED }
    }

    fn to_json(&self) -> Value {
        let files: Vec<_> = self.files.iter().map(file_json).collect();
        json!({ "ok": self.succeeded(), "files": files })
    }
}

fn file_json(file: &CheckedFile) -> Value {
    match &file.result {
        Ok(kind) => json!({ "path": file.path, "ok": true, "kind": kind.to_string() }),
        Err(CheckError::Settings {
            source: SettingsError::Faults { source },
        }) => {
            let fault = |f: &crate::settings::fault::Fault| json!({ "line": f.position.line, "column": f.position.column, "text": f.text });
            let faults: Vec<_> = source.faults.iter().map(fault).collect();
            json!({ "path": file.path, "ok": false, "faults": faults })
        }
        Err(e) => {
            let text = super::one_line(e);
            json!({ "path": file.path, "ok": false, "faults": [{ "text": text }] })
        }
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for file in &self.files {
            match &file.result {
                Ok(kind) => writeln!(f, "{}: ok ({kind})", file.path.display())?,
                Err(e) => writeln!(f, "{}", super::one_line(e))?,
            }
        }
        Ok(())
    }
}
