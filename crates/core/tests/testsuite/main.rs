//! Tests of the decision logic, one module per feature.

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
