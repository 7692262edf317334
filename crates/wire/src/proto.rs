//! Generated message types, one module per file in `crates/wire/proto`.

/// Declares the module for the generated code of one proto file. The code is in a submodule `v1`, because the
/// generated code of other files refers to it by that path.
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
    /// Dissemination of the directory and of the committed configuration.
    spread, "generated/dogwoodrill.spread.v1.rs"
}

generated! {
    /// Requests of operators to the control hosts.
    operator, "generated/dogwoodrill.operator.v1.rs"
}

generated! {
    /// Messages between the control hosts, and the format of their stored data.
    consensus, "generated/dogwoodrill.consensus.v1.rs"
}

generated! {
    /// Claims on request keys.
    claims, "generated/dogwoodrill.claims.v1.rs"
}

generated! {
    /// Load reports and handed-off requests between the agents of a service.
    peers, "generated/dogwoodrill.peers.v1.rs"
}

generated! {
    /// Queries that the command for service level reports sends to the nodes.
    report, "generated/dogwoodrill.report.v1.rs"
}

generated! {
    /// Messages between the nodes that forward flows.
    forwarded, "generated/dogwoodrill.forwarded.v1.rs"
}
