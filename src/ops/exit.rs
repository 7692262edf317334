//! Exit codes; `docs/cli.md` lists them for operators.

use super::OpsError;

/// The command failed or found faults. Nothing was changed.
pub const EXIT_FAILED: u8 = 1;
/// The command line was not understood.
pub const EXIT_USAGE: u8 = 2;
/// It is not known whether a change was accepted.
pub const EXIT_UNKNOWN_OUTCOME: u8 = 3;
/// A daemon was told to stop a second time: what was in progress was cut.
pub const EXIT_ABORTED: u8 = 4;
/// Another change was accepted first. Nothing was changed.
pub const EXIT_VERSION_CONFLICT: u8 = 5;
/// The change was accepted, but not every node has confirmed it.
pub const EXIT_NOT_CONFIRMED: u8 = 6;

/// The code that a command ends with after an error.
pub const fn exit_code(error: &OpsError) -> u8 {
    match error {
        OpsError::Command { source } => source.exit_code(),
        _ => EXIT_FAILED,
    }
}
