//! Confirmations: which configuration is in force at which nodes.
//!
//! Each node reports to the node above it, and each relay aggregates the reports of its children. The
//! aggregate is small, a count for each log index in use and the identifiers of a few nodes that are
//! behind, so that a control host learns the state of all reachable nodes from a few messages.

use std::collections::BTreeMap;

use derive_more::Display;
use dogwoodrill_core::ids::{AvailabilityZone, LogIndex, NodeId};

/// Maximum number of lagging nodes that are listed for each zone.
pub const MAX_NAMED: usize = 16;

/// A node and the index of the configuration in force there.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("node {node} at {index}")]
pub struct NodeConfigIndex {
    /// Index of the configuration in force there.
    pub index: LogIndex,
    /// The node.
    pub node: NodeId,
}

/// The progress of the reachable nodes of one zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneProgress {
    /// Number of these nodes that have a record in the directory.
    pub members: u32,
    /// Number of nodes for each index of a configuration in force.
    pub nodes_by_index: BTreeMap<LogIndex, u32>,
    /// Nodes that are behind the others, those furthest behind first, at most [`MAX_NAMED`]. If none is
    /// behind, this holds one of the nodes, because nodes of the zone reported by another relay may be
    /// ahead of it.
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

    fn truncate_lagging(&mut self) {
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

/// The progress of the reachable nodes below one node, by zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// The progress of each zone.
    pub zones: BTreeMap<AvailabilityZone, ZoneProgress>,
}

impl Progress {
    /// The progress of a single node; `is_member` is whether it has a record in the directory.
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

    /// Aggregates several reports.
    pub fn sum<'a>(parts: impl IntoIterator<Item = &'a Self>) -> Self {
        let mut sum = Self::default();
        for part in parts {
            for (zone, progress) in &part.zones {
                let entry = sum.zones.entry(zone.clone()).or_default();
                entry.add(progress);
            }
        }
        sum.zones
            .values_mut()
            .for_each(ZoneProgress::truncate_lagging);
        sum
    }

    /// Which nodes have the configuration of `index` in force.
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

/// Which nodes of one zone have a configuration in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneConfirmations {
    /// The zone.
    pub zone: AvailabilityZone,
    /// Number of reachable nodes that have it, or a later one, in force.
    pub confirmed: u32,
    /// Number of reachable nodes that have an earlier one in force.
    pub behind: u32,
    /// Some of the nodes that have an earlier one in force.
    pub behind_nodes: Vec<NodeConfigIndex>,
    /// Number of reachable nodes that have a record in the directory.
    pub members: u32,
    /// Number of members that are active according to the directory but that no control host can reach.
    pub unreachable: u32,
}

/// Which nodes have a configuration in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Confirmations {
    /// Index of the configuration.
    pub index: LogIndex,
    /// The confirmations of each zone.
    pub zones: Vec<ZoneConfirmations>,
}

impl Confirmations {
    /// Whether every reachable node has it in force.
    pub fn is_complete(&self) -> bool {
        self.zones.iter().all(|z| z.behind == 0)
    }
}
