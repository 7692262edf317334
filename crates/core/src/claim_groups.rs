//! Plans the claim groups: which agents keep claims on request keys, for each service.
//!
//! The control leader calls [`Planner::plan`] at a slow beat with the committed configuration and its
//! directory, and proposes what comes back. A group gets its first epoch when enough agents are
//! announced, and a new one when a keeper's zone is taken out or a keeper has left or is gone for
//! long. A group whose epoch is not settled yet is left alone but for asking its keepers; see
//! [`ClaimGroup`] for why.
//!
//! A group that lost members for whom there is no replacement stays as it is: its majority still
//! decides, and a smaller group would bear less.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::config::{ClaimGroup, ClaimReplicaId, CommittedConfig};
use crate::directory::{Directory, MemberId, MemberState, Record};
use crate::ids::{AvailabilityZone, BackendServerId, Epoch, ServiceId};
use crate::time::UnixMillis;

/// Time without a keeper after which it is replaced. Shorter than a retry window, longer than a restart.
pub const REPLACE_AFTER: Duration = Duration::from_mins(1);
/// Time for further agents to announce themselves before a service gets a group of fewer than three
/// zones.
pub const BOOTSTRAP_WAIT: Duration = Duration::from_secs(1);
/// Keepers of a service in a few zones, and in many.
const SIZES: [usize; 2] = [3, 5];

/// What the control leader should do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanStep {
    /// Commit this group.
    Commit(ClaimGroup),
    /// Ask the keepers of this group whether they have its epoch installed; once a majority has,
    /// commit [`settled`] of it.
    QueryReplicas(ClaimGroup),
}

/// The group with its epoch settled.
#[must_use]
pub fn settled(group: &ClaimGroup) -> ClaimGroup {
    ClaimGroup {
        previous: Vec::new(),
        ..group.clone()
    }
}

/// Whether so many keepers are a majority of the group.
pub const fn is_majority(group: &ClaimGroup, replicas: usize) -> bool {
    replicas > group.replicas.len() / 2
}

/// Remembers since when members are gone and agents are gathering.
#[derive(Debug, Default)]
pub struct Planner {
    /// When a keeper that cannot be seen is given up.
    replace_at: BTreeMap<BackendServerId, UnixMillis>,
    /// When a service without a group gets one even if it is small.
    bootstrap_at: BTreeMap<ServiceId, UnixMillis>,
}

impl Planner {
    /// What to do now.
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
        let kept = self.kept(now, view, group);
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

    /// The keepers that stay.
    fn kept(
        &mut self,
        now: UnixMillis,
        view: &View<'_>,
        group: &ClaimGroup,
    ) -> Vec<ClaimReplicaId> {
        let replicas = group.replicas.iter().copied();
        let stay: Vec<_> = replicas.filter(|k| self.stays(now, view, *k)).collect();
        view.without_crowding(stay)
    }

    fn stays(&mut self, now: UnixMillis, view: &View<'_>, replica: ClaimReplicaId) -> bool {
        let member = MemberId::BackendServer(replica.server);
        let record = view.directory.get(member);
        if record.is_some_and(|record| !view.may_keep(record)) {
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

/// What is known of one service.
struct View<'a> {
    service: ServiceId,
    config: &'a CommittedConfig,
    directory: &'a Directory,
}

impl View<'_> {
    /// Whether an agent that is a keeper may stay one, as far as its record says.
    fn may_keep(&self, record: &Record) -> bool {
        let here = record.state != MemberState::Left && record.service() == Some(self.service);
        here && self.config.is_zone_in(&record.zone)
    }

    fn zone_of(&self, replica: &ClaimReplicaId) -> Option<&AvailabilityZone> {
        let record = self.directory.get(MemberId::BackendServer(replica.server));
        record.map(|record| &record.zone)
    }

    /// Drops one keeper that shares its zone where another zone could have one.
    fn without_crowding(&self, mut kept: Vec<ClaimReplicaId>) -> Vec<ClaimReplicaId> {
        let zones: Vec<_> = kept.iter().map(|replica| self.zone_of(replica)).collect();
        let is_repeated = |at: &usize| zones[..*at].contains(&zones[*at]);
        let shared = (0..zones.len()).find(is_repeated);
        let free = self
            .zones()
            .iter()
            .any(|zone| !zones.contains(&Some(*zone)));
        if let (Some(shared), true) = (shared, free) {
            kept.remove(shared);
        }
        kept
    }

    /// Agents that may become keepers.
    fn candidates(&self) -> impl Iterator<Item = &Record> {
        self.directory.serving(self.service).filter(|r| {
            let serving = r.state == MemberState::Serving;
            let seen = !self.directory.is_suspected(r.member);
            serving && seen && self.config.is_zone_in(&r.zone)
        })
    }

    fn zones(&self) -> BTreeSet<&AvailabilityZone> {
        self.candidates().map(|r| &r.zone).collect()
    }

    /// The largest size that candidates in as many zones allow, or one of fewer zones, but at least
    /// `least`.
    fn size(&self, least: usize) -> usize {
        let (zones, agents) = (self.zones().len(), self.candidates().count());
        let spread = SIZES.iter().rev().find(|size| zones >= **size);
        let crowded = SIZES.first().filter(|size| agents >= **size);
        let size = spread.or(crowded).copied().unwrap_or(agents.min(1));
        size.max(least)
    }

    /// Fills `kept` up with candidates, those of zones without a keeper first.
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
            let crowd = taken.iter().filter(|zone| **zone == &record.zone).count();
            (!known).then_some((crowd, replica))
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
