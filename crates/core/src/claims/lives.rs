//! Which life of each keeper is the latest that someone knows of: a crash vector.

use std::collections::BTreeMap;

use crate::config::ClaimReplicaId;
use crate::ids::{BackendServerId, Incarnation};

/// The latest known life of each keeper.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashVector(BTreeMap<BackendServerId, Incarnation>);

impl CrashVector {
    /// The latest known life of `server`.
    pub fn get(&self, server: BackendServerId) -> Option<Incarnation> {
        self.0.get(&server).copied()
    }

    /// Takes in one life; older ones than known change nothing.
    pub fn note(&mut self, replica: ClaimReplicaId) {
        let known = self.0.entry(replica.server).or_insert(replica.incarnation);
        *known = replica.incarnation.max(*known);
    }

    /// Takes in all that `other` knows.
    pub fn merge(&mut self, other: &Self) {
        other.iter().for_each(|k| self.note(k));
    }

    /// Whether `replica` is of an older life than known.
    pub fn is_outdated(&self, replica: ClaimReplicaId) -> bool {
        self.get(replica.server)
            .is_some_and(|known| known > replica.incarnation)
    }

    /// Whether `other` lists an older life of anyone than is known here.
    pub fn outdates(&self, other: &Self) -> bool {
        other.iter().any(|k| self.is_outdated(k))
    }

    /// All lives, by server.
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
        iter.into_iter().for_each(|k| crash_vector.note(k));
        crash_vector
    }
}
