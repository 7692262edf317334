//! Tests of the replicated log.

mod checker;
mod core_life;
mod disk;
mod membership;
mod schedules;
mod simulation;
mod store;
mod support;
