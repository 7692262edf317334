//! Whether a node may serve with the state that it holds.

use derive_more::Display;

/// Whether a node may serve.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, PartialEq)]
pub enum ServingStatus {
    /// The node is up to date, or no reachable node has newer state.
    #[default]
    #[display("serving")]
    Serving,
    /// The node receives no fresh beacon and no other node replies to it. It must leave the fabric and
    /// stop forwarding, because the rest of the cluster may have newer state.
    #[display("isolated")]
    Isolated,
}
