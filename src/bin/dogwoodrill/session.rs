//! Options shared by the operator commands.

use std::path::PathBuf;

use dogwoodrill::ops::{ChangeOptions, SessionOptions};
use dogwoodrill_core::changes::CommandId;
use dogwoodrill_core::config::Version;

/// Builds the options of all operator commands.
pub const fn session_options(config: PathBuf) -> SessionOptions {
    SessionOptions { config }
}

/// Builds the options of a change.
pub const fn change_options(
    command_id: Option<CommandId>,
    version: Option<Version>,
    wait: bool,
) -> ChangeOptions {
    ChangeOptions {
        command_id,
        version,
        wait,
    }
}
