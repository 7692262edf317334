//! The lists of nodes that control hosts send, and the versions of them that a node holds.
//!
//! The case that this handles: every node sends heartbeats to the control hosts several times a second, and
//! each is answered. If every answer carried the list of all nodes, what control hosts send would grow with
//! the square of the fleet, although the list rarely changes. So a heartbeat names the list that its sender
//! holds, and the answer carries the list only if it is another one.

use std::collections::HashMap;
use std::hash::Hasher;
use std::net::Ipv4Addr;

use derive_more::{Display, From, Into};
use siphasher::sip::SipHasher13;

use super::node::NodeAddress;

/// Identifies the content of a list of nodes.
#[derive(Clone, Copy, Debug, Display, Eq, From, Into, PartialEq)]
#[display("{_0:016x}")]
pub struct NodeListHash(u64);

impl NodeListHash {
    /// Hashes a list; the order of the nodes counts.
    pub fn of(nodes: &[NodeAddress]) -> Self {
        let mut hasher = SipHasher13::new();
        for node in nodes {
            hasher.write(&node.ip.octets());
            hasher.write_u8(node.role as u8);
        }
        Self(hasher.finish())
    }
}

/// The last list that a node received from each control host.
#[derive(Clone, Debug, Default)]
pub struct ReceivedNodeLists {
    lists: HashMap<Ipv4Addr, ReceivedNodeList>,
}

#[derive(Clone, Debug)]
struct ReceivedNodeList {
    hash: NodeListHash,
    nodes: Vec<NodeAddress>,
}

impl ReceivedNodeLists {
    /// Returns which list of the control host at `control` the node holds.
    pub fn held_from(&self, control: Ipv4Addr) -> Option<NodeListHash> {
        self.lists.get(&control).map(|list| list.hash)
    }

    /// Applies an answer of the control host at `control`, which carries `nodes` only if the list identified by
    /// `hash` is not the one that the node holds. Returns the nodes that the control host knows.
    pub fn on_answer(
        &mut self,
        control: Ipv4Addr,
        hash: NodeListHash,
        nodes: Vec<NodeAddress>,
    ) -> &[NodeAddress] {
        if !nodes.is_empty() {
            let list = ReceivedNodeList { hash, nodes };
            self.lists.insert(control, list);
        }
        let list = self.lists.get(&control).filter(|list| list.hash == hash);
        list.map_or(&[], |list| &list.nodes)
    }
}
