//! The bound on open flows: 7 servers and 14,000 flows through 4 balancers with directories of different ages.

use dogwoodrill_core::flow::{FlowKey, PacketClass};
use rstest::rstest;

use crate::fleet::{AgentNetwork, LATER, seven, table};
use crate::imbalance::{Scenario, run};

/// Specified bound on the ratio of the open flows of the server with the most to the mean.
const BOUND: f64 = 1.05;

const SAME_VIEWS: Scenario = Scenario {
    at_start: 7,
    join_every: 1,
    lag: 0,
    report_every: Some(250),
};
const TWO_JOIN: Scenario = Scenario {
    at_start: 5,
    join_every: 2_000,
    lag: 500,
    report_every: Some(250),
};

#[rstest]
#[case::same_views(SAME_VIEWS)]
#[case::directories_of_different_ages(TWO_JOIN)]
#[case::far_apart(Scenario { lag: 2_000, ..TWO_JOIN })]
#[case::infrequent_reports(Scenario { report_every: Some(1_000), ..TWO_JOIN })]
fn open_flows_stay_within_the_bound(#[case] scenario: Scenario, #[values(1, 2, 3)] seed: u64) {
    let ratio = run(scenario, seed).max_over_mean();
    assert!(ratio <= BOUND, "max/mean of open flows is {ratio:.4}");
}

/// The bound does not hold by chance: without reports the same flows exceed it.
#[test]
fn plain_rendezvous_exceeds_the_bound() {
    let plain = Scenario {
        report_every: None,
        ..TWO_JOIN
    };
    let ratio = run(plain, 1).max_over_mean();
    assert!(ratio > BOUND, "max/mean of open flows is {ratio:.4}");
}

/// All packets of the handshake of a handed-over flow reach the same agent, also duplicates and late ones.
#[test]
fn p1_all_packets_of_a_handed_over_handshake_reach_one_agent() {
    let mut network = AgentNetwork::new(LATER);
    (1..=7).for_each(|id| network.start(id));
    network.set_all_views(&seven());
    let expires_at = network.now().instant + crate::fleet::FLOW_TIMEOUT;
    for server in 1..=7_u32 {
        for to in 1..=7 {
            network
                .agent(to)
                .on_report(dogwoodrill_core::flow_load::OpenFlowsReport {
                    server: server.into(),
                    open_flows: 100,
                    expires_at,
                });
        }
    }
    // By their own counts, all agents but 2 have far more than their share.
    let open = |id| if id == 2 { 0 } else { 1_000 };
    for n in 0..200 {
        let class = PacketClass::Opening(FlowKey::from_hash(n));
        let first = network.send_counted(&table(&seven()), class, open);
        for _ in 0..3 {
            assert_eq!(network.send_counted(&table(&seven()), class, open), first);
        }
    }
}
