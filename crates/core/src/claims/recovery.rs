//! The copies that a replica collects until it has those of a majority.

use std::collections::BTreeMap;

use super::lives::CrashVector;
use super::message::Copy;
use crate::config::ClaimReplicaId;
use crate::ids::{BackendServerId, Epoch};

/// Copies collected so far, the latest of each giver.
///
/// A copy is void when its giver is known to have restarted since: in its new incarnation it may have
/// given grants that the copy does not contain.
#[derive(Clone, Debug, Default)]
pub(super) struct Recovery {
    copies: BTreeMap<BackendServerId, Copy>,
}

impl Recovery {
    /// Adds a copy, and removes those that are void according to `crash_vector`.
    pub(super) fn add(&mut self, copy: Copy, crash_vector: &CrashVector) {
        if copy.installed.is_some() {
            self.copies.insert(copy.giver.server, copy);
        }
        self.drop_void(crash_vector);
    }

    /// Removes the copies whose givers have restarted since.
    pub(super) fn drop_void(&mut self, crash_vector: &CrashVector) {
        self.copies
            .retain(|_, c| !crash_vector.is_outdated(c.giver));
    }

    /// Whether a majority of `group` gave copies for which `good` is true. `own` is the copying replica if
    /// its own claims count as such a copy.
    pub(super) fn has_majority(
        &self,
        group: &[ClaimReplicaId],
        own: Option<BackendServerId>,
        good: impl Fn(&Copy) -> bool,
    ) -> bool {
        let gave = |k: &&ClaimReplicaId| {
            let copied = self.copies.get(&k.server);
            Some(k.server) == own || copied.is_some_and(&good)
        };
        group.iter().filter(gave).count() > group.len() / 2
    }

    /// Whether any giver has installed `epoch` or a later one.
    pub(super) fn has_copy_of(&self, epoch: Epoch) -> bool {
        self.copies.values().any(|c| c.installed >= Some(epoch))
    }

    /// Removes and returns all copies.
    pub(super) fn drain(&mut self) -> impl Iterator<Item = Copy> + use<> {
        std::mem::take(&mut self.copies).into_values()
    }

    /// Removes all copies.
    pub(super) fn clear(&mut self) {
        self.copies.clear();
    }
}
