//! Output of a command: text, JSON and exit code.

use std::error::Error;
use std::fmt::Display;

use serde_json::Value;

/// The result of a command that is not a daemon: text by `Display`, and JSON for scripts.
pub trait Outcome: Display {
    /// Returns the exit code. It can differ from 0 for a command that ran without an error, for example if
    /// it found faults.
    fn exit_code(&self) -> u8 {
        0
    }

    /// Returns the result as JSON.
    fn to_json(&self) -> Value;
}

/// Formats an error and its sources in one line, separated by colons. A source whose text is already part
/// of the line is omitted.
pub fn one_line(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        let cause_text = cause.to_string();
        if !text.contains(&cause_text) {
            text = format!("{text}: {cause_text}");
        }
        source = cause.source();
    }
    text
}
