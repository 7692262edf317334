//! Exit codes of the subcommands; `docs/cli.md` lists them for operators.

use super::OpsError;

/// The command failed or found faults. Nothing was changed.
pub const EXIT_FAILED: u8 = 1;
/// The command line is invalid.
pub const EXIT_USAGE: u8 = 2;
/// It is unknown whether a change was accepted.
pub const EXIT_UNKNOWN_OUTCOME: u8 = 3;
/// A daemon received a second signal to stop and aborted the work in progress.
pub const EXIT_ABORTED: u8 = 4;
/// Another change was accepted first (version conflict). Nothing was changed.
pub const EXIT_VERSION_CONFLICT: u8 = 5;
/// The change was accepted, but not every node has confirmed it.
pub const EXIT_NOT_CONFIRMED: u8 = 6;

/// Returns the exit code for an error.
pub const fn exit_code(error: &OpsError) -> u8 {
    match error {
        OpsError::Command { source } => source.exit_code(),
        _ => EXIT_FAILED,
    }
}
