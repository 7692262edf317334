//! Tests of the decisions, one module for each feature.

mod admission;
mod bounded_load;
mod changes;
mod claim_groups;
mod claims;
mod directory;
mod fleet;
mod forwarded;
mod handoff;
mod imbalance;
mod packets;
mod retry;
mod routing;
mod slo;
mod steered_pins;
mod uneven_views;
