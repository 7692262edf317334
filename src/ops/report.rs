//! `report burn`: reports how fast each service spends its error budget.
//!
//! [`collect`] reads the configuration and the members from a control host, and then queries every agent
//! for its window sums and its last minutes. [`model`] aggregates them and [`render`] formats them.

pub mod collect;
pub mod model;
pub mod render;

pub use collect::{BurnOptions, ReportError, report_burn};
pub use model::BurnReport;
