//! The copies that a keeper collects until a majority of them is of one view.

use std::collections::BTreeMap;

use super::lives::CrashVector;
use super::message::Copy;
use crate::config::ClaimReplicaId;
use crate::ids::{BackendServerId, Epoch};

/// Copies collected so far, the latest of each giver.
///
/// A copy is void when its giver is known to have restarted since: in its new life it may have
/// granted what the copy does not show.
#[derive(Clone, Debug, Default)]
pub(super) struct Recovery {
    copies: BTreeMap<BackendServerId, Copy>,
}

impl Recovery {
    /// Takes in a copy, and drops those that `crash_vector` shows to be void.
    pub(super) fn take(&mut self, copy: Copy, crash_vector: &CrashVector) {
        if copy.installed.is_some() {
            self.copies.insert(copy.giver.server, copy);
        }
        self.drop_void(crash_vector);
    }

    /// Drops the copies whose givers have restarted since.
    pub(super) fn drop_void(&mut self, crash_vector: &CrashVector) {
        self.copies
            .retain(|_, c| !crash_vector.is_outdated(c.giver));
    }

    /// Whether a majority of `group` gave copies that are `good`. `own` is a member whose claims are at
    /// hand without a copy.
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

    /// Whether anyone has installed `epoch`.
    pub(super) fn has_copy_of(&self, epoch: Epoch) -> bool {
        self.copies.values().any(|c| c.installed >= Some(epoch))
    }

    /// All copies, which are no longer held.
    pub(super) fn drain(&mut self) -> impl Iterator<Item = Copy> + use<> {
        std::mem::take(&mut self.copies).into_values()
    }

    /// Drops all copies.
    pub(super) fn clear(&mut self) {
        self.copies.clear();
    }
}
