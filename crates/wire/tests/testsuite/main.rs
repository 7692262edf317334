//! Tests of the wire formats, one module per format.

mod claims;
mod control;
mod damage;
mod forwarded;
mod spread;
