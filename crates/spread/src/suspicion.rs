//! Which members are suspected to have failed, from the reports of the observers.
//!
//! A member is suspected when [`MIN_OBSERVERS`] observers report it as silent and none reports it as
//! alive. Every node decides this on its own from the same reports. A report is a lease: it expires
//! unless it is renewed, so the reports of an observer that fails do not outlive it for long.
//!
//! A failure detector can be wrong about many members at once if the network between it and them fails.
//! Therefore at most the share of a service that its profile allows is suspected; members that have
//! been silent for longest come first. Silence of more members than that is attributed to the detector
//! and not to the backend servers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dogwoodrill_core::config::{CommittedConfig, PerMille};
use dogwoodrill_core::directory::{Directory, MemberId, MemberState, Record};
use dogwoodrill_core::ids::{NodeId, ServiceId};
use dogwoodrill_core::time::UnixMillis;

use crate::message::MemberIncarnation;

/// Number of observers that must report a member as silent.
pub const MIN_OBSERVERS: usize = 2;
/// Interval between two reports of an observer that a member is silent.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(15);
/// Time for which a report that a member is silent is valid.
const SILENT_LEASE: Duration = Duration::from_secs(40);
/// Time for which a report that a member is alive is valid.
const ALIVE_LEASE: Duration = Duration::from_secs(20);
/// Time of silence after which a suspected member is treated as having left.
pub const DEAD_AFTER: Duration = Duration::from_hours(1);
/// Share of the balancers that may be suspected, and of the servers of a service without a profile.
const DEFAULT_SUSPECT_CAP: PerMille = PerMille::new(300);

/// The report of one observer on one incarnation of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// The node that reports.
    pub observer: NodeId,
    /// The incarnation that it reports on.
    pub subject: MemberIncarnation,
    /// Whether the observer receives the member's heartbeats.
    pub is_alive: bool,
    /// Since when this has been the case.
    pub since: UnixMillis,
    /// When it was reported; of two reports of one observer the later one is valid.
    pub reported_at: UnixMillis,
}

impl Observation {
    fn expires_at(&self) -> UnixMillis {
        let lease = if self.is_alive {
            ALIVE_LEASE
        } else {
            SILENT_LEASE
        };
        self.reported_at.plus(lease)
    }
}

/// The valid reports of all observers.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    by_subject: BTreeMap<MemberIncarnation, BTreeMap<NodeId, Observation>>,
}

impl Suspicions {
    /// Adds a report. Returns whether it is newer than the previous one of its observer.
    pub fn merge(&mut self, now: UnixMillis, observation: Observation) -> bool {
        if observation.expires_at() <= now {
            return false;
        }
        let reports = self.by_subject.entry(observation.subject).or_default();
        let previous = reports.get(&observation.observer);
        let is_newer = previous.is_none_or(|k| k.reported_at < observation.reported_at);
        if is_newer {
            reports.insert(observation.observer, observation);
        }
        is_newer
    }

    /// Removes expired reports.
    pub fn expire(&mut self, now: UnixMillis) {
        for reports in self.by_subject.values_mut() {
            reports.retain(|_, o| now < o.expires_at());
        }
        self.by_subject.retain(|_, reports| !reports.is_empty());
    }

    /// All reports that have not been removed.
    pub fn all(&self) -> impl Iterator<Item = &Observation> {
        self.by_subject.values().flat_map(BTreeMap::values)
    }

    /// Incarnations that enough observers report as silent and none as alive, with the time since when.
    pub fn unresponsive(&self) -> impl Iterator<Item = (MemberIncarnation, UnixMillis)> {
        self.by_subject.iter().filter_map(|(subject, reports)| {
            let has_agreement =
                reports.len() >= MIN_OBSERVERS && reports.values().all(|o| !o.is_alive);
            let since = reports.values().map(|o| o.since).max()?;
            has_agreement.then_some((*subject, since))
        })
    }

    /// The members to mark as suspected.
    pub fn suspects(&self, directory: &Directory, config: &CommittedConfig) -> BTreeSet<MemberId> {
        let mut groups: BTreeMap<Option<ServiceId>, Vec<(UnixMillis, MemberId)>> = BTreeMap::new();
        for (subject, since) in self.unresponsive() {
            let Some(record) = serving_record(directory, subject) else {
                continue;
            };
            let group = groups.entry(record.service()).or_default();
            group.push((since, subject.member));
        }
        let mut suspects = BTreeSet::new();
        for (service, mut unresponsive) in groups {
            unresponsive.sort_unstable();
            unresponsive.truncate(max_suspects(directory, config, service));
            suspects.extend(unresponsive.into_iter().map(|(_, member)| member));
        }
        suspects
    }
}

fn serving_record(directory: &Directory, subject: MemberIncarnation) -> Option<&Record> {
    let record = directory.get(subject.member)?;
    let latest = record.incarnation == subject.incarnation;
    (latest && record.state == MemberState::Serving).then_some(record)
}

/// The maximum number of servers of a service, or of balancers, that may be suspected. Where there is
/// only one, it is never suspected.
fn max_suspects(
    directory: &Directory,
    config: &CommittedConfig,
    service: Option<ServiceId>,
) -> usize {
    let (total, cap) = if let Some(service) = service {
        let cap = config.profile_of(service).map(|p| p.suspect_cap);
        let total = directory.serving(service).count();
        (total, cap.unwrap_or(DEFAULT_SUSPECT_CAP))
    } else {
        let suspected = directory.suspected().iter();
        let suspected = suspected.filter(|m| matches!(m, MemberId::Balancer(_)));
        let total = directory.live_balancers().len() + suspected.count();
        (total, DEFAULT_SUSPECT_CAP)
    };
    if total < 2 || cap == PerMille::new(0) {
        return 0;
    }
    (total * usize::from(cap.get()) / 1000).clamp(1, total - 1)
}
