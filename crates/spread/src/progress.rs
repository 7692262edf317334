//! Confirmations: which nodes have which configuration in force.
//!
//! Each node tells the node above it, and each relay adds up what its children told. The sum is
//! small, a count for each log index in use and the names of a few nodes that are behind, so that a
//! control host learns of all reachable nodes from a few messages.

use std::collections::BTreeMap;

use derive_more::Display;
use dogwoodrill_core::ids::{AvailabilityZone, LogIndex, NodeId};

/// Nodes behind the others that are named for each zone.
pub const MAX_NAMED: usize = 16;

/// A node and the configuration it has in force.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("node {node} at {index}")]
pub struct NodeConfigIndex {
    /// Index of the configuration in force there.
    pub index: LogIndex,
    /// The node.
    pub node: NodeId,
}

/// The reachable nodes of one zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneProgress {
    /// Those of the nodes that have a record in the directory.
    pub members: u32,
    /// How many nodes have which configuration in force.
    pub nodes_by_index: BTreeMap<LogIndex, u32>,
    /// Nodes that are behind the others, those furthest behind first, at most [`MAX_NAMED`]. Where
    /// none is, one of them all: the others of the zone may turn out to be ahead.
    pub lagging: Vec<NodeConfigIndex>,
}

impl ZoneProgress {
    fn add(&mut self, other: &Self) {
        self.members += other.members;
        for (index, nodes) in &other.nodes_by_index {
            *self.nodes_by_index.entry(*index).or_default() += nodes;
        }
        self.lagging.extend(&other.lagging);
    }

    fn shorten(&mut self) {
        let highest = self
            .nodes_by_index
            .keys()
            .last()
            .copied()
            .unwrap_or_default();
        self.lagging.sort_unstable();
        let lower = self.lagging.partition_point(|n| n.index < highest);
        self.lagging.truncate(lower.clamp(1, MAX_NAMED));
    }
}

/// The reachable nodes below one node, by zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// The zones.
    pub zones: BTreeMap<AvailabilityZone, ZoneProgress>,
}

impl Progress {
    /// One node by itself; `is_member` tells whether it has a record in the directory.
    pub fn of_node(zone: AvailabilityZone, node: NodeConfigIndex, is_member: bool) -> Self {
        let of_zone = ZoneProgress {
            members: u32::from(is_member),
            nodes_by_index: [(node.index, 1)].into(),
            lagging: vec![node],
        };
        Self {
            zones: [(zone, of_zone)].into(),
        }
    }

    /// Adds up several parts.
    pub fn sum<'a>(parts: impl IntoIterator<Item = &'a Self>) -> Self {
        let mut sum = Self::default();
        for part in parts {
            for (zone, progress) in &part.zones {
                let entry = sum.zones.entry(zone.clone()).or_default();
                entry.add(progress);
            }
        }
        sum.zones.values_mut().for_each(ZoneProgress::shorten);
        sum
    }

    /// Who has the configuration of `index` in force.
    pub fn confirmations(&self, index: LogIndex) -> Confirmations {
        let zones = self.zones.iter().map(|(zone, p)| {
            let behind = p
                .nodes_by_index
                .range(..index)
                .map(|(_, nodes)| nodes)
                .sum();
            let confirmed = p
                .nodes_by_index
                .range(index..)
                .map(|(_, nodes)| nodes)
                .sum();
            let behind_nodes = p.lagging.iter().filter(|n| n.index < index);
            ZoneConfirmations {
                zone: zone.clone(),
                confirmed,
                behind,
                behind_nodes: behind_nodes.copied().collect(),
                members: p.members,
                unreachable: 0,
            }
        });
        Confirmations {
            index,
            zones: zones.collect(),
        }
    }
}

/// Who of one zone has a configuration in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneConfirmations {
    /// The zone.
    pub zone: AvailabilityZone,
    /// Reachable nodes that have it, or a later one, in force.
    pub confirmed: u32,
    /// Reachable nodes that have not.
    pub behind: u32,
    /// Some of those that have not, by name.
    pub behind_nodes: Vec<NodeConfigIndex>,
    /// Reachable nodes that have a record in the directory.
    pub members: u32,
    /// Members that take part by the directory, but that nobody reaches.
    pub unreachable: u32,
}

/// Who has a configuration in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Confirmations {
    /// Index of the configuration.
    pub index: LogIndex,
    /// The zones.
    pub zones: Vec<ZoneConfirmations>,
}

impl Confirmations {
    /// Whether every reachable node has it in force.
    pub fn is_complete(&self) -> bool {
        self.zones.iter().all(|z| z.behind == 0)
    }
}
