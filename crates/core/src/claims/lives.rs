//! The crash vector: the latest known incarnation of each replica.

use std::collections::BTreeMap;

use crate::config::ClaimReplicaId;
use crate::ids::{BackendServerId, Incarnation};

/// The latest known incarnation of each replica.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashVector(BTreeMap<BackendServerId, Incarnation>);

impl CrashVector {
    /// The latest known incarnation of the replica of `server`.
    pub fn get(&self, server: BackendServerId) -> Option<Incarnation> {
        self.0.get(&server).copied()
    }

    /// Records an incarnation. One that is older than the known incarnation has no effect.
    pub fn record(&mut self, replica: ClaimReplicaId) {
        let known = self.0.entry(replica.server).or_insert(replica.incarnation);
        *known = replica.incarnation.max(*known);
    }

    /// Records all incarnations of `other`.
    pub fn merge(&mut self, other: &Self) {
        other.iter().for_each(|k| self.record(k));
    }

    /// Whether a later incarnation than that of `replica` is known.
    pub fn is_outdated(&self, replica: ClaimReplicaId) -> bool {
        self.get(replica.server)
            .is_some_and(|known| known > replica.incarnation)
    }

    /// Whether `other` lists an older incarnation of any replica than is known here.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        other.iter().any(|k| self.is_outdated(k))
    }

    /// The latest known incarnation of each replica, by server.
    pub fn iter(&self) -> impl Iterator<Item = ClaimReplicaId> {
        self.0.iter().map(|(server, incarnation)| ClaimReplicaId {
            server: *server,
            incarnation: *incarnation,
        })
    }
}

impl FromIterator<ClaimReplicaId> for CrashVector {
    fn from_iter<T: IntoIterator<Item = ClaimReplicaId>>(iter: T) -> Self {
        let mut crash_vector = Self::default();
        iter.into_iter().for_each(|k| crash_vector.record(k));
        crash_vector
    }
}
