//! P6 and P7: a keyed request runs at most once, and `not-run` is reported only if it is true.

mod keeper;
mod random;
mod schedules;
mod world;
