//! Metrics of the nodes that forward flows.

use std::time::Duration;

use dogwoodrill::forwarded::metrics::ForwardMetrics;
use dogwoodrill_core::forwarded::decision::{Decision, Reason, Step};
use dogwoodrill_core::forwarded::packet::FlowKey;
use dogwoodrill_core::ids::LogIndex;
use prometheus::{Registry, TextEncoder};

fn decision(step: Step, waited: Option<u64>) -> Decision {
    let flow = FlowKey {
        caller: "100.64.0.1:40001".parse().unwrap(),
        service: "198.18.0.1:443".parse().unwrap(),
    };
    Decision {
        reason: Some(Reason::Busy),
        waited: waited.map(Duration::from_millis),
        ..Decision::new(step, flow, LogIndex::new(1))
    }
}

/// Guards against callers that are told late without a sign of it: each refusal counts with the time that the opening packet
/// has waited, those on arrival with none.
#[test]
fn the_waits_before_refusals_are_exported() {
    let registry = Registry::new();
    let metrics = ForwardMetrics::register(&registry);
    metrics.count_decisions(&[
        decision(Step::Refused, None),
        decision(Step::Waits, None),
        decision(Step::Refused, Some(150)),
        decision(Step::Refused, Some(900)),
    ]);
    let exported = TextEncoder::new().encode_to_string(&registry.gather());
    let exported = exported.unwrap();
    let bucket = |le: &str| {
        let name = format!("dogwoodrill_forwarded_refusal_wait_seconds_bucket{{le=\"{le}\"}} ");
        let line = exported.lines().find_map(|line| line.strip_prefix(&name));
        line.unwrap().parse::<u32>().unwrap()
    };
    let counts = ["0.001", "0.1", "0.2", "0.7", "1", "+Inf"].map(bucket);
    assert_eq!(counts, [1, 1, 2, 2, 3, 3]);
}
