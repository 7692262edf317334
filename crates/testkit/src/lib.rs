//! Test doubles of the fabric, backend servers and callers.
//!
//! They use the published protocols over loopback and keep their own counts, so that tests do not depend
//! on what the product reports about itself.

pub mod backend_server;
pub mod caller;
pub mod certificate;
pub mod fabric;
pub mod slotted_server;
pub mod tap;
