//! The current time, as passed in by the driver.

use std::time::Instant;

use dogwoodrill_core::time::UnixMillis;

/// The current time of the monotonic clock and of the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic time, for deadlines within the process.
    pub instant: Instant,
    /// Wall-clock time, for timestamps that are sent to other processes.
    pub wall: UnixMillis,
}
