//! The tests of the replicated log, one module for each feature.

mod checker;
mod core_life;
mod disk;
mod membership;
mod schedules;
mod simulation;
mod store;
mod support;
