//! Messages between the processes of dogwoodrill.
//!
//! Tunneled datagrams between balancers and agents start with the fixed header of [`tunnel`]. All other
//! messages are Protocol Buffers, most of them sent over gRPC. The message types in [`proto`] are generated
//! and committed. The `From` and `TryFrom` implementations in [`convert`] convert them to and from the types
//! of the other crates and validate them, so that no unvalidated message leaves this crate.

pub mod convert;
pub mod proto;
pub mod tunnel;
