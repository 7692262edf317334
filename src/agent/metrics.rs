//! The counters of requests.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// Counters of one agent's requests.
#[derive(Clone, Debug)]
pub struct RequestMetrics {
    /// Requests of callers.
    pub requests: IntCounter,
    /// Requests handed off to a peer.
    pub handed_off: IntCounter,
    /// Requests taken over from a peer.
    pub taken_over: IntCounter,
    /// Retries and hedges of idempotent requests.
    pub retries: IntCounter,
    /// Claims by how they ended.
    pub claims: IntCounterVec,
    /// Answers of the agent's own, by status and verdict.
    pub refusals: IntCounterVec,
}

impl RequestMetrics {
    /// Registers the counters. A second registration in one registry is counted by itself.
    pub fn register(registry: &Registry) -> Self {
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(format!("dogwoodrill_requests_{name}"), help);
            let counter = counter.expect("the name is a valid metric name");
            drop(registry.register(Box::new(counter.clone())));
            counter
        };
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let opts = Opts::new(format!("dogwoodrill_requests_{name}"), help);
            let counters = IntCounterVec::new(opts, labels);
            let counters = counters.expect("the names are valid metric names");
            drop(registry.register(Box::new(counters.clone())));
            counters
        };
        Self {
            requests: counter("received_total", "Requests of callers"),
            handed_off: counter("handed_off_total", "Requests handed off to a peer"),
            taken_over: counter("taken_over_total", "Requests taken over from a peer"),
            retries: counter("retries_total", "Retries and hedges of idempotent requests"),
            claims: counters("claims_total", "Claims by how they ended", &["end"]),
            refusals: counters(
                "refusals_total",
                "Answers of the agent's own",
                &["status", "verdict"],
            ),
        }
    }
}
