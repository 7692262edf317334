//! Who is suspected dead, from what the observers say.
//!
//! A member is suspected when [`MIN_OBSERVERS`] observers do not hear it and none says that it does.
//! Every node judges for itself from the same statements. A statement is a lease: it lapses unless
//! it is said again, so an observer that dies takes its word with it.
//!
//! A detector can be wrong about many at once, where a network fails between it and them. So no more
//! than the profile's share of a service is suspected; those silent for longest come first. Beyond
//! that the detector is doubted, not the backend servers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dogwoodrill_core::config::{CommittedConfig, PerMille};
use dogwoodrill_core::directory::{Directory, MemberId, MemberState, Record};
use dogwoodrill_core::ids::{NodeId, ServiceId};
use dogwoodrill_core::time::UnixMillis;

use crate::message::MemberIncarnation;

/// Observers that must agree.
pub const MIN_OBSERVERS: usize = 2;
/// Time between two statements that a member is not heard.
pub const RESTATE_INTERVAL: Duration = Duration::from_secs(15);
/// Time for which a statement that a member is not heard holds.
const SILENT_LEASE: Duration = Duration::from_secs(40);
/// Time for which a statement that a member is heard holds.
const HEARD_LEASE: Duration = Duration::from_secs(20);
/// Silence after which a suspected member is taken to have left.
pub const DEAD_AFTER: Duration = Duration::from_hours(1);
/// Share of the balancers that may be suspected, and of a service without a profile.
const STANDARD_CAP: PerMille = PerMille::new(300);

/// What one observer says of one life of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// Who says it.
    pub observer: NodeId,
    /// Of whom.
    pub subject: MemberIncarnation,
    /// Whether the observer hears the member's heartbeats.
    pub is_alive: bool,
    /// Since when.
    pub since: UnixMillis,
    /// When it was said; of two statements the later one holds.
    pub reported_at: UnixMillis,
}

impl Observation {
    fn lapses_at(&self) -> UnixMillis {
        let lease = if self.is_alive {
            HEARD_LEASE
        } else {
            SILENT_LEASE
        };
        self.reported_at.plus(lease)
    }
}

/// What all observers say.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    by_subject: BTreeMap<MemberIncarnation, BTreeMap<NodeId, Observation>>,
}

impl Suspicions {
    /// Takes a statement in; whether it is news.
    pub fn merge(&mut self, now: UnixMillis, observation: Observation) -> bool {
        if observation.lapses_at() <= now {
            return false;
        }
        let reports = self.by_subject.entry(observation.subject).or_default();
        let known = reports.get(&observation.observer);
        let news = known.is_none_or(|k| k.reported_at < observation.reported_at);
        if news {
            reports.insert(observation.observer, observation);
        }
        news
    }

    /// Forgets statements that have lapsed.
    pub fn expire(&mut self, now: UnixMillis) {
        for reports in self.by_subject.values_mut() {
            reports.retain(|_, o| now < o.lapses_at());
        }
        self.by_subject.retain(|_, reports| !reports.is_empty());
    }

    /// Every statement that holds.
    pub fn all(&self) -> impl Iterator<Item = &Observation> {
        self.by_subject.values().flat_map(BTreeMap::values)
    }

    /// Lives that enough observers do not hear and nobody hears, with the time since when.
    pub fn silent(&self) -> impl Iterator<Item = (MemberIncarnation, UnixMillis)> {
        self.by_subject.iter().filter_map(|(subject, said)| {
            let agreed = said.len() >= MIN_OBSERVERS && said.values().all(|o| !o.is_alive);
            let since = said.values().map(|o| o.since).max()?;
            agreed.then_some((*subject, since))
        })
    }

    /// The members to suspect.
    pub fn suspects(&self, directory: &Directory, config: &CommittedConfig) -> BTreeSet<MemberId> {
        let mut groups: BTreeMap<Option<ServiceId>, Vec<(UnixMillis, MemberId)>> = BTreeMap::new();
        for (subject, since) in self.silent() {
            let Some(record) = serving(directory, subject) else {
                continue;
            };
            let group = groups.entry(record.service()).or_default();
            group.push((since, subject.member));
        }
        let mut suspects = BTreeSet::new();
        for (service, mut silent) in groups {
            silent.sort_unstable();
            silent.truncate(allowed(directory, config, service));
            suspects.extend(silent.into_iter().map(|(_, member)| member));
        }
        suspects
    }
}

fn serving(directory: &Directory, subject: MemberIncarnation) -> Option<&Record> {
    let record = directory.get(subject.member)?;
    let latest = record.incarnation == subject.incarnation;
    (latest && record.state == MemberState::Serving).then_some(record)
}

/// How many of a service, or of the balancers, may be suspected. The only one never is.
fn allowed(directory: &Directory, config: &CommittedConfig, service: Option<ServiceId>) -> usize {
    let (total, cap) = if let Some(service) = service {
        let cap = config.profile_of(service).map(|p| p.suspect_cap);
        let total = directory.serving(service).count();
        (total, cap.unwrap_or(STANDARD_CAP))
    } else {
        let suspected = directory.suspected().iter();
        let suspected = suspected.filter(|m| matches!(m, MemberId::Balancer(_)));
        let total = directory.live_balancers().len() + suspected.count();
        (total, STANDARD_CAP)
    };
    if total < 2 || cap == PerMille::new(0) {
        return 0;
    }
    (total * usize::from(cap.get()) / 1000).clamp(1, total - 1)
}
