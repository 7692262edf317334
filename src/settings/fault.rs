//! Faults of a settings file and their positions.

use std::cell::RefCell;
use std::fmt;
use std::path::{Path, PathBuf};

use derive_more::Display;
use serde_saphyr::Location;

/// A position in a file. Line and column count from 1; 0 means that the position is unknown.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{line}:{column}")]
pub struct Position {
    /// Line number.
    pub line: u64,
    /// Column in characters.
    pub column: u64,
}

impl From<Location> for Position {
    fn from(location: Location) -> Self {
        Self {
            line: location.line(),
            column: location.column(),
        }
    }
}

/// One fault of a settings file.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{position}: {text}")]
pub struct Fault {
    /// Position of the faulty key or value.
    pub position: Position,
    /// Description of the fault and of what is expected instead.
    pub text: String,
}

/// All faults of one file, ordered by position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Faults {
    /// Path of the file.
    pub path: PathBuf,
    /// The faults; never empty.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.faults.len();
        let plural = if count == 1 { "fault" } else { "faults" };
        write!(f, "{count} {plural} in {}", self.path.display())?;
        for fault in &self.faults {
            write!(f, "\n{}:{fault}", self.path.display())?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Collects faults while a file is validated.
#[derive(Debug, Default)]
pub struct FaultList(RefCell<Vec<Fault>>);

impl FaultList {
    /// Adds a fault.
    pub fn add(&self, position: Position, text: impl fmt::Display) {
        let text = text.to_string();
        self.0.borrow_mut().push(Fault { position, text });
    }

    /// Returns the validated value if no fault was added, and all faults otherwise. `read` is `None` only
    /// if a fault was added.
    pub fn finish<T>(self, path: &Path, read: Option<T>) -> Result<T, Faults> {
        let mut faults = self.0.into_inner();
        match read {
            Some(read) if faults.is_empty() => Ok(read),
            _ => {
                faults.sort();
                let path = path.to_owned();
                Err(Faults { path, faults })
            }
        }
    }
}
