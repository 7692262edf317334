//! Tests of the wire formats, one module for each.

mod claims;
mod control;
mod forwarded;
mod spread;
