//! Changes to the committed configuration between two log indexes.
//!
//! A configuration of thousands of services takes hundreds of kilobytes, a single change a few hundred
//! bytes. A node keeps the latest changes in a [`History`] and sends a child those after the index that
//! the child has, or the whole configuration if the history does not reach back that far.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::ids::{AvailabilityZone, LogIndex, ProfileName, ServiceId};

/// Maximum number of changes that a node keeps.
const HISTORY_LEN: usize = 128;

/// Keys that were removed from the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Removed {
    /// Removed profiles.
    pub profiles: Vec<ProfileName>,
    /// Removed services.
    pub services: Vec<ServiceId>,
    /// Removed zones.
    pub zones: Vec<AvailabilityZone>,
    /// Zones that are no longer assigned to a region.
    pub regions: Vec<AvailabilityZone>,
    /// Services whose claim group was removed.
    pub claim_groups: Vec<ServiceId>,
}

/// The changes from one log index to a later one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigDelta {
    /// The index of the configuration that the delta applies to.
    pub from: LogIndex,
    /// Values that were added or changed; its index is the later one.
    pub set: CommittedConfig,
    /// Keys that were removed.
    pub removed: Removed,
}

impl ConfigDelta {
    /// Computes the delta from `old` to `new`.
    pub fn between(old: &CommittedConfig, new: &CommittedConfig) -> Self {
        let (profiles, no_profiles) = diff(&old.profiles, &new.profiles);
        let (services, no_services) = diff(&old.services, &new.services);
        let (zones, no_zones) = diff(&old.zones, &new.zones);
        let (regions, no_regions) = diff(&old.regions, &new.regions);
        let (claim_groups, no_claim_groups) = diff(&old.claim_groups, &new.claim_groups);
        let set = CommittedConfig {
            index: new.index,
            profiles,
            services,
            zones,
            regions,
            claim_groups,
            document: None,
        };
        let removed = Removed {
            profiles: no_profiles,
            services: no_services,
            zones: no_zones,
            regions: no_regions,
            claim_groups: no_claim_groups,
        };
        Self {
            from: old.index,
            set,
            removed,
        }
    }

    /// The index of the configuration after the delta.
    pub const fn to(&self) -> LogIndex {
        self.set.index
    }

    /// Applies the delta to `old`. Returns `None` if `old` has another index than the delta starts
    /// from, or if the delta does not lead to a higher index.
    pub fn apply(&self, old: &CommittedConfig) -> Option<CommittedConfig> {
        if old.index != self.from || self.to() <= self.from {
            return None;
        }
        let mut new = old.clone();
        new.index = self.to();
        patch(
            &mut new.profiles,
            &self.set.profiles,
            &self.removed.profiles,
        );
        patch(
            &mut new.services,
            &self.set.services,
            &self.removed.services,
        );
        patch(&mut new.zones, &self.set.zones, &self.removed.zones);
        patch(&mut new.regions, &self.set.regions, &self.removed.regions);
        patch(
            &mut new.claim_groups,
            &self.set.claim_groups,
            &self.removed.claim_groups,
        );
        Some(new)
    }
}

fn diff<K, V>(old: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> (BTreeMap<K, V>, Vec<K>)
where
    K: Clone + Ord,
    V: Clone + PartialEq,
{
    let set = new.iter().filter(|(k, v)| old.get(k) != Some(v));
    let set = set.map(|(k, v)| (k.clone(), v.clone())).collect();
    let removed = old.keys().filter(|k| !new.contains_key(k));
    (set, removed.cloned().collect())
}

fn patch<K, V>(map: &mut BTreeMap<K, V>, set: &BTreeMap<K, V>, removed: &[K])
where
    K: Clone + Ord,
    V: Clone,
{
    for key in removed {
        map.remove(key);
    }
    map.extend(set.iter().map(|(k, v)| (k.clone(), v.clone())));
}

/// The latest changes, in order and contiguous.
#[derive(Clone, Debug, Default)]
pub struct History(VecDeque<Arc<ConfigDelta>>);

impl History {
    /// Adds the delta that led to the configuration now in force. If it does not follow the last one,
    /// the earlier deltas are discarded.
    pub fn push(&mut self, delta: Arc<ConfigDelta>) {
        if self.0.back().is_some_and(|last| last.to() != delta.from) {
            self.0.clear();
        }
        self.0.push_back(delta);
        if self.0.len() > HISTORY_LEN {
            self.0.pop_front();
        }
    }

    /// The deltas after `index`, or `None` if the history does not reach back that far.
    pub fn since(&self, index: LogIndex) -> Option<impl Iterator<Item = &Arc<ConfigDelta>>> {
        let at = self.0.iter().position(|d| d.from == index)?;
        Some(self.0.range(at..))
    }
}
