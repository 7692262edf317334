//! Whether a node may serve with what it knows.

use derive_more::Display;

/// A node's standing.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, PartialEq)]
pub enum ServingStatus {
    /// The node is up to date, or nobody else is any more than it.
    #[default]
    #[display("serving")]
    Serving,
    /// The node hears no fresh beacon and nobody answers it. It must leave the fabric and stop
    /// forwarding: others may have moved on.
    #[display("isolated")]
    Isolated,
}
