//! Tests of the replicated log.

mod checker;
mod core_life;
mod disk;
mod membership;
mod replacement_orders;
mod schedules;
mod simulation;
mod store;
mod support;
