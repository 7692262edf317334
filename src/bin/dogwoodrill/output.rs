//! Prints the result of a command and returns its exit code.

use std::process::ExitCode;

use dogwoodrill::ops::{OpsError, Outcome, exit_code, one_line};
use serde_json::json;

/// Output format.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// Human-readable text.
    Text,
    /// JSON, for scripts.
    Json,
}

impl Format {
    /// Returns the format that the `--json` flag selects.
    pub const fn new(json: bool) -> Self {
        if json { Self::Json } else { Self::Text }
    }
}

/// Result of a command and the format to print it in.
pub struct Report {
    format: Format,
    result: Result<Option<Box<dyn Outcome>>, OpsError>,
}

impl Report {
    /// Creates the report of a command that has a result to print.
    pub fn new<T, E>(json: bool, result: Result<T, E>) -> Self
    where
        T: Outcome + 'static,
        OpsError: From<E>,
    {
        let result = result.map_err(OpsError::from);
        Self {
            format: Format::new(json),
            result: result.map(|outcome| Some(Box::new(outcome) as Box<dyn Outcome>)),
        }
    }

    /// Creates the report of a daemon, which has no result to print.
    pub fn of_daemon(result: Result<(), OpsError>) -> Self {
        Self {
            format: Format::Text,
            result: result.map(|()| None),
        }
    }

    /// Prints the result and returns the exit code. Results and JSON errors go to standard output, text errors
    /// to standard error.
    pub fn print(self) -> ExitCode {
        match self.result {
            Ok(None) => ExitCode::SUCCESS,
            Ok(Some(outcome)) => {
                match self.format {
                    Format::Text => print!("{outcome}"),
                    Format::Json => println!("{:#}", outcome.to_json()),
                }
                ExitCode::from(outcome.exit_code())
            }
            Err(e) => {
                match self.format {
                    Format::Text => eprintln!("error: {}", one_line(&e)),
                    Format::Json => println!("{:#}", json!({ "error": one_line(&e) })),
                }
                ExitCode::from(exit_code(&e))
            }
        }
    }
}
