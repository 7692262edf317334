//! Lists of nodes that control hosts send only if a node does not hold them.

use std::net::Ipv4Addr;

use dogwoodrill_core::forwarded::node::{NodeAddress, NodeRole};
use dogwoodrill_core::forwarded::node_list::{NodeListHash, ReceivedNodeLists};
use rstest::rstest;

const CONTROL: Ipv4Addr = Ipv4Addr::new(10, 3, 0, 1);
const OTHER_CONTROL: Ipv4Addr = Ipv4Addr::new(10, 3, 0, 2);

fn nodes(count: u8) -> Vec<NodeAddress> {
    let ips = (0..count).map(|n| Ipv4Addr::new(10, 1, 0, n));
    let role = NodeRole::Agent;
    ips.map(|ip| NodeAddress { ip, role }).collect()
}

/// After a list of two nodes, the cases apply an answer of a control host that knows `known` nodes and sends
/// `sent` of them.
#[rstest]
#[case::not_repeated(CONTROL, 2, 0, 2)]
#[case::changed(CONTROL, 3, 3, 3)]
#[case::changed_to_one_that_is_not_held(CONTROL, 3, 0, 0)]
#[case::of_another_host(OTHER_CONTROL, 2, 0, 0)]
fn an_answer_names_the_nodes_of_the_list_that_it_identifies(
    #[case] from: Ipv4Addr,
    #[case] known: u8,
    #[case] sent: u8,
    #[case] learned: u8,
) {
    let mut lists = ReceivedNodeLists::default();
    assert_eq!(lists.held_from(CONTROL), None);
    let first = NodeListHash::of(&nodes(2));
    assert_eq!(lists.on_answer(CONTROL, first, nodes(2)), nodes(2));
    assert_eq!(lists.held_from(CONTROL), Some(first));
    let hash = NodeListHash::of(&nodes(known));
    assert_eq!(lists.on_answer(from, hash, nodes(sent)), nodes(learned));
}

#[test]
fn the_role_of_a_node_is_part_of_the_list() {
    let balancers = nodes(2).into_iter().map(|node| NodeAddress {
        role: NodeRole::Balancer,
        ..node
    });
    let balancers: Vec<_> = balancers.collect();
    assert_ne!(NodeListHash::of(&balancers), NodeListHash::of(&nodes(2)));
}
