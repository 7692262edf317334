//! Generated message types, one module for each protocol file under `crates/wire/proto`.

/// A module for the generated code of one protocol file. Its content stands in a module `v1`, the path
/// under which other protocol files refer to it.
macro_rules! generated {
    ($(#[$doc:meta])* $name:ident, $file:literal) => {
        $(#[$doc])*
        pub mod $name {
            pub use v1::*;

            /// Version 1.
            #[allow(
                missing_docs,
                clippy::all,
                clippy::pedantic,
                clippy::allow_attributes_without_reason,
                clippy::clone_on_ref_ptr,
                clippy::empty_structs_with_brackets,
                reason = "generated"
            )]
            pub mod v1 {
                include!($file);
            }
        }
    };
}

generated! {
    /// Spread of the directory and of the committed configuration.
    spread, "generated/dogwoodrill.spread.v1.rs"
}

generated! {
    /// What operators ask of the control hosts.
    operator, "generated/dogwoodrill.operator.v1.rs"
}

generated! {
    /// Messages between the control hosts, and what their disks hold.
    consensus, "generated/dogwoodrill.consensus.v1.rs"
}

generated! {
    /// Claims on request keys.
    claims, "generated/dogwoodrill.claims.v1.rs"
}

generated! {
    /// Load reports and handed-off requests between the agents of one service.
    peers, "generated/dogwoodrill.peers.v1.rs"
}

generated! {
    /// What a report on service levels asks of the nodes.
    report, "generated/dogwoodrill.report.v1.rs"
}

generated! {
    /// Messages between the nodes that forward flows.
    forwarded, "generated/dogwoodrill.forwarded.v1.rs"
}
