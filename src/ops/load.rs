//! `load`: sends requests to a service over HTTP/3 at a fixed rate and reports the results.
//!
//! The load is open-loop: [`plan`] draws the arrival times in advance, and requests do not wait for
//! earlier responses, as those of independent callers do not. Latency is measured from the planned time,
//! so that a stall shows in every request that it delays (this avoids coordinated omission, as described
//! by Gil Tene). [`caller`] manages the flows, [`run`] sends the requests, and [`result`] counts and
//! renders the results.

pub mod caller;
pub mod options;
pub mod plan;
pub mod result;
pub mod run;

pub use options::{LoadOptions, RequestClass};
pub use result::LoadResult;
pub use run::{LoadError, load};
