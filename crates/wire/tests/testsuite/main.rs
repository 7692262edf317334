//! Tests of the wire formats, one module per format.

mod claims;
mod control;
mod forwarded;
mod spread;
