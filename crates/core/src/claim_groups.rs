//! Plans the claim groups: which agents are the claim replicas of each service.
//!
//! The control leader calls [`Planner::plan`] periodically with the committed configuration and its
//! directory, and carries out the steps that it returns. A group gets its first epoch when enough agents
//! are announced. It gets a new epoch when the zone of a replica is taken out, or when a replica has left
//! or is unreachable for [`REPLACE_AFTER`]. While an epoch is not settled, its replicas are queried but the
//! group is not changed; see [`ClaimGroup`] for the reason.
//!
//! A group that lost members without a replacement stays as it is: its majority still decides, and a
//! smaller group would tolerate fewer failures.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::config::{ClaimGroup, ClaimReplicaId, CommittedConfig};
use crate::directory::{Directory, MemberId, MemberState, Record};
use crate::ids::{AvailabilityZone, BackendServerId, Epoch, ServiceId};
use crate::time::UnixMillis;

/// Time for which a replica must be unreachable before it is replaced. Shorter than a retry window, longer
/// than a restart.
pub const REPLACE_AFTER: Duration = Duration::from_mins(1);
/// How long to wait for further agents before a service gets a group in fewer than three zones.
pub const BOOTSTRAP_WAIT: Duration = Duration::from_secs(1);
/// Allowed group sizes; the larger one needs as many zones.
const SIZES: [usize; 2] = [3, 5];

/// A step that the control leader has to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanStep {
    /// Commit this group.
    Commit(ClaimGroup),
    /// Query the replicas of this group for their installed epoch. Once a majority has installed the epoch
    /// of the group, commit the group that [`settled`] returns.
    QueryReplicas(ClaimGroup),
}

/// Returns the group with its epoch settled, that is without previous replicas.
#[must_use]
pub fn settled(group: &ClaimGroup) -> ClaimGroup {
    ClaimGroup {
        previous: Vec::new(),
        ..group.clone()
    }
}

/// Whether `replicas` of the replicas are a majority of the group.
pub const fn is_majority(group: &ClaimGroup, replicas: usize) -> bool {
    replicas > group.replicas.len() / 2
}

/// Plans claim groups, and keeps the deadlines that the plans depend on.
#[derive(Debug, Default)]
pub struct Planner {
    /// When a replica that is suspected or unknown has to be replaced.
    replace_at: BTreeMap<BackendServerId, UnixMillis>,
    /// When a service without a group gets one even in fewer than three zones.
    bootstrap_at: BTreeMap<ServiceId, UnixMillis>,
}

impl Planner {
    /// Returns the steps that are due at `now`.
    pub fn plan(
        &mut self,
        now: UnixMillis,
        config: &CommittedConfig,
        directory: &Directory,
    ) -> Vec<PlanStep> {
        let services = config.services.keys();
        let steps = services.filter_map(|service| {
            let view = View {
                service: *service,
                config,
                directory,
            };
            self.plan_service(now, &view)
        });
        steps.collect()
    }

    fn plan_service(&mut self, now: UnixMillis, view: &View<'_>) -> Option<PlanStep> {
        let Some(group) = view.config.claim_groups.get(&view.service) else {
            return self.first_epoch(now, view);
        };
        if !group.is_settled() {
            return Some(PlanStep::QueryReplicas(group.clone()));
        }
        let kept = self.replicas_to_keep(now, view, group);
        let replicas = view.choose(kept, group.replicas.len());
        let same = same_servers(&replicas, &group.replicas);
        if same || replicas.len() < group.replicas.len() {
            return None;
        }
        Some(PlanStep::Commit(ClaimGroup {
            service: view.service,
            epoch: Epoch::new(group.epoch.get() + 1),
            replicas,
            previous: group.replicas.clone(),
        }))
    }

    fn first_epoch(&mut self, now: UnixMillis, view: &View<'_>) -> Option<PlanStep> {
        let replicas = view.choose(Vec::new(), 0);
        if replicas.is_empty() {
            return None;
        }
        let deadline = self.bootstrap_at.entry(view.service);
        let deadline = *deadline.or_insert_with(|| now.plus(BOOTSTRAP_WAIT));
        if view.zones().len() < SIZES[0] && now < deadline {
            return None;
        }
        self.bootstrap_at.remove(&view.service);
        Some(PlanStep::Commit(ClaimGroup {
            service: view.service,
            epoch: ClaimGroup::FIRST_EPOCH,
            replicas,
            previous: Vec::new(),
        }))
    }

    /// The replicas of `group` that stay in the next epoch.
    fn replicas_to_keep(
        &mut self,
        now: UnixMillis,
        view: &View<'_>,
        group: &ClaimGroup,
    ) -> Vec<ClaimReplicaId> {
        let replicas = group.replicas.iter().copied();
        let stay: Vec<_> = replicas.filter(|k| self.is_kept(now, view, *k)).collect();
        view.without_colocated(stay)
    }

    fn is_kept(&mut self, now: UnixMillis, view: &View<'_>, replica: ClaimReplicaId) -> bool {
        let member = MemberId::BackendServer(replica.server);
        let record = view.directory.get(member);
        if record.is_some_and(|record| !view.may_stay(record)) {
            return false;
        }
        if record.is_some() && !view.directory.is_suspected(member) {
            self.replace_at.remove(&replica.server);
            return true;
        }
        let replace_at = self.replace_at.entry(replica.server);
        now < *replace_at.or_insert_with(|| now.plus(REPLACE_AFTER))
    }
}

/// The configuration and directory, as seen for one service.
struct View<'a> {
    service: ServiceId,
    config: &'a CommittedConfig,
    directory: &'a Directory,
}

impl View<'_> {
    /// Whether a replica may stay one according to its agent's record: it has not left, still serves this
    /// service, and its zone is in service.
    fn may_stay(&self, record: &Record) -> bool {
        let serves = record.state != MemberState::Left && record.service() == Some(self.service);
        serves && self.config.is_zone_in(&record.zone)
    }

    fn zone_of(&self, replica: &ClaimReplicaId) -> Option<&AvailabilityZone> {
        let record = self.directory.get(MemberId::BackendServer(replica.server));
        record.map(|record| &record.zone)
    }

    /// Removes one replica that shares its zone with another, if there is a zone without a replica.
    fn without_colocated(&self, mut kept: Vec<ClaimReplicaId>) -> Vec<ClaimReplicaId> {
        let zones: Vec<_> = kept.iter().map(|replica| self.zone_of(replica)).collect();
        let is_repeated = |at: &usize| zones[..*at].contains(&zones[*at]);
        let shared = (0..zones.len()).find(is_repeated);
        let has_free_zone = self
            .zones()
            .iter()
            .any(|zone| !zones.contains(&Some(*zone)));
        if let (Some(shared), true) = (shared, has_free_zone) {
            kept.remove(shared);
        }
        kept
    }

    /// Records of the agents that may become replicas.
    fn candidates(&self) -> impl Iterator<Item = &Record> {
        self.directory.serving(self.service).filter(|r| {
            let serving = r.state == MemberState::Serving;
            let is_unsuspected = !self.directory.is_suspected(r.member);
            serving && is_unsuspected && self.config.is_zone_in(&r.zone)
        })
    }

    fn zones(&self) -> BTreeSet<&AvailabilityZone> {
        self.candidates().map(|r| &r.zone).collect()
    }

    /// The size of the group, at least `least`: the largest of [`SIZES`] for which there are as many zones,
    /// else the smallest of them if there are as many agents, else 1 if there is any agent.
    fn size(&self, least: usize) -> usize {
        let (zones, agents) = (self.zones().len(), self.candidates().count());
        let one_per_zone = SIZES.iter().rev().find(|size| zones >= **size);
        let sharing_zones = SIZES.first().filter(|size| agents >= **size);
        let size = one_per_zone
            .or(sharing_zones)
            .copied()
            .unwrap_or(agents.min(1));
        size.max(least)
    }

    /// Adds candidates to `kept` up to the size of the group, those of zones with the fewest replicas first.
    fn choose(&self, mut kept: Vec<ClaimReplicaId>, least: usize) -> Vec<ClaimReplicaId> {
        let size = self.size(least);
        while kept.len() < size {
            let Some(next) = self.next_keeper(&kept) else {
                break;
            };
            kept.push(next);
        }
        kept.sort_unstable();
        kept
    }

    fn next_keeper(&self, kept: &[ClaimReplicaId]) -> Option<ClaimReplicaId> {
        let taken: Vec<_> = kept.iter().filter_map(|k| self.zone_of(k)).collect();
        let free = self.candidates().filter_map(|record| {
            let replica = keeper_of(record)?;
            let known = kept.iter().any(|k| k.server == replica.server);
            let in_zone = taken.iter().filter(|zone| **zone == &record.zone).count();
            (!known).then_some((in_zone, replica))
        });
        free.min().map(|(_, replica)| replica)
    }
}

const fn keeper_of(record: &Record) -> Option<ClaimReplicaId> {
    match record.member {
        MemberId::BackendServer(server) => Some(ClaimReplicaId {
            server,
            incarnation: record.incarnation,
        }),
        MemberId::Balancer(_) => None,
    }
}

fn same_servers(a: &[ClaimReplicaId], b: &[ClaimReplicaId]) -> bool {
    let servers = |replicas: &[ClaimReplicaId]| -> BTreeSet<_> {
        replicas.iter().map(|replica| replica.server).collect()
    };
    servers(a) == servers(b)
}
