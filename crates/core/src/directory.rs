//! The directory: the records of all backend servers and balancers, as soft state.
//!
//! Each member owns one [`Record`]. Copies are merged by ([`Incarnation`], [`Sequence`]), so a record may
//! arrive over any path, several times and in any order. A member that has left stays as a tombstone until a
//! deadline, so that a late copy can't bring it back. An earlier incarnation that drains is kept in addition
//! to its successor, because packets of its flows must still be routed to it.
//!
//! Lookups on the packet path read an index: backend servers by service, balancers by zone. Each zone has a
//! [`ZoneDigest`] with which two nodes find the records in which they differ.
//!
//! Suspicion by the failure detector is kept separately from the records: it stops only new flows.
//!
//! [`Sequence`]: crate::ids::Sequence

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;

use crate::ids::{AvailabilityZone, BackendServerId, Incarnation, ServiceId, ShortIncarnation};
use crate::time::UnixMillis;

pub mod digest;
mod lives;
mod record;

pub use digest::{Bucket, BucketSet, Digest, ZoneDigest};
use lives::MemberIncarnations;
pub use lives::SUCCESSION_GRACE;
pub use record::{MemberId, MemberState, Record, Role};

/// A backend server that may be given new flows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The backend server.
    pub server: BackendServerId,
    /// Its weight in the distribution of new flows: the slots that it announced, at least 1.
    pub weight: u16,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Tunnel address (UDP) of its agent.
    pub tunnel: SocketAddr,
    /// The time from which it may be given new flows.
    pub eligible_at: UnixMillis,
}

/// Whether a merge changed the directory.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Merge {
    /// The record was new or newer than the known one.
    #[display("applied")]
    Applied,
    /// An equal or newer record was known.
    #[display("stale")]
    Stale,
}

/// The state of the owner of a connection id, according to the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Owner<'a> {
    /// The owner runs, and packets are to be sent to it. It may be an earlier incarnation that drains.
    Live(&'a Record),
    /// The owner has left or was replaced by a later incarnation.
    Ended(&'a Record),
    /// There is no record of that backend server yet.
    Unknown,
}

/// All records, indexed by service and by zone.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    members: BTreeMap<MemberId, MemberIncarnations>,
    candidates: HashMap<ServiceId, Vec<Candidate>>,
    servers: HashMap<ServiceId, BTreeSet<BackendServerId>>,
    balancers: Vec<Arc<Record>>,
    balancers_by_zone: BTreeMap<AvailabilityZone, Vec<Arc<Record>>>,
    zones: BTreeMap<AvailabilityZone, ZoneDigest>,
    zone_members: BTreeMap<AvailabilityZone, BTreeSet<MemberId>>,
    suspected: BTreeSet<MemberId>,
    expiring: BTreeSet<MemberId>,
    expired_to: UnixMillis,
}

impl Directory {
    /// Merges a copy of a record.
    pub fn merge(&mut self, record: impl Into<Arc<Record>>) -> Merge {
        let record = record.into();
        if record.forget_at().is_some_and(|at| at < self.expired_to) {
            return Merge::Stale;
        }
        let member = record.member;
        let before = self.members.get(&member).cloned();
        let outcome = if let Some(incarnations) = self.members.get_mut(&member) {
            incarnations.merge(record)
        } else {
            self.members.insert(member, MemberIncarnations::new(record));
            Merge::Applied
        };
        if outcome == Merge::Applied {
            self.update_indexes(member, before.as_ref());
        }
        outcome
    }

    /// Deletes tombstones past their deadline and earlier incarnations past their grace period. Returns
    /// whether anything was deleted. To be called about once a second; a merge between two calls uses the
    /// time of the last one.
    pub fn expire(&mut self, now: UnixMillis) -> bool {
        self.expired_to = self.expired_to.max(now);
        let mut any_deleted = false;
        for member in self.expiring.clone() {
            let Some(before) = self.members.get(&member).cloned() else {
                continue;
            };
            let mut incarnations = before.clone();
            if !incarnations.expire(now) {
                self.remove(member);
                any_deleted = true;
                continue;
            }
            any_deleted |= incarnations.all().count() < before.all().count();
            self.members.insert(member, incarnations);
            self.update_indexes(member, Some(&before));
        }
        any_deleted
    }

    /// Marks a member as suspected to have failed, or clears the mark.
    pub fn set_suspected(&mut self, member: MemberId, suspected: bool) {
        let changed = if suspected {
            self.suspected.insert(member)
        } else {
            self.suspected.remove(&member)
        };
        if changed {
            self.reindex(member, self.service_of(member));
        }
    }

    /// Whether a member is suspected to have failed.
    pub fn is_suspected(&self, member: MemberId) -> bool {
        self.suspected.contains(&member)
    }

    /// Members that are suspected to have failed.
    pub const fn suspected(&self) -> &BTreeSet<MemberId> {
        &self.suspected
    }

    /// The record of a member's latest incarnation.
    pub fn get(&self, member: MemberId) -> Option<&Record> {
        self.members.get(&member).map(|l| &**l.current())
    }

    /// The record of one incarnation of a member, if it is the latest or an earlier one that drains or left.
    pub fn record_of(&self, member: MemberId, incarnation: Incarnation) -> Option<&Arc<Record>> {
        let mut incarnations = self.members.get(&member)?.shared();
        incarnations.find(|r| r.incarnation == incarnation)
    }

    /// All records in the order of their members: those of the latest incarnations, and of earlier ones that
    /// drain or left.
    pub fn records(&self) -> impl Iterator<Item = &Record> + Clone {
        self.shared_records().map(|r| &**r)
    }

    /// As [`Directory::records`], but as shared pointers, so that records can be kept without copying.
    pub fn shared_records(&self) -> impl Iterator<Item = &Arc<Record>> + Clone {
        self.members.values().flat_map(MemberIncarnations::shared)
    }

    /// Deletes a member without a tombstone, so a copy from another node may bring it back. A member that
    /// leaves becomes a tombstone instead.
    pub fn remove(&mut self, member: MemberId) {
        let Some(incarnations) = self.members.remove(&member) else {
            return;
        };
        self.toggle_digest(&incarnations);
        self.suspected.remove(&member);
        self.expiring.remove(&member);
        self.leave_zone(incarnations.current());
        self.reindex(member, incarnations.current().service());
    }

    /// Backend servers of `service` that may be given new flows, by server number.
    pub fn candidates(&self, service: ServiceId) -> &[Candidate] {
        self.candidates.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Records of the serving backend servers of `service`, suspected or not.
    pub fn serving(&self, service: ServiceId) -> impl Iterator<Item = &Record> {
        let servers = self.servers.get(&service).into_iter().flatten();
        servers
            .filter_map(|id| self.get(MemberId::BackendServer(*id)))
            .filter(|r| r.state == MemberState::Serving)
    }

    /// The records of all routable incarnations of the backend servers of `service`, tombstones included.
    pub fn records_of_service(&self, service: ServiceId) -> impl Iterator<Item = &Record> {
        let servers = self.servers.get(&service).into_iter().flatten();
        servers
            .filter_map(|id| self.members.get(&MemberId::BackendServer(*id)))
            .flat_map(MemberIncarnations::all)
            .map(|r| &**r)
            .filter(move |r| r.service() == Some(service))
    }

    /// Records of the balancers that serve and are not suspected, by node number.
    pub fn balancers(&self) -> impl Iterator<Item = &Record> + Clone {
        self.balancers.iter().map(|r| &**r)
    }

    /// Records of the balancers that have not left, suspected or not, by node number.
    pub fn known_balancers(&self) -> impl Iterator<Item = &Record> + Clone {
        let first = MemberId::Balancer(0.into());
        let latest = self.members.range(first..).map(|(_, l)| &**l.current());
        latest.filter(|r| r.state != MemberState::Left)
    }

    /// As [`Directory::balancers`], as a slice.
    pub fn live_balancers(&self) -> &[Arc<Record>] {
        &self.balancers
    }

    /// The balancers of one zone that serve and are not suspected.
    pub fn live_balancers_in(&self, zone: &AvailabilityZone) -> &[Arc<Record>] {
        self.balancers_by_zone.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Zones that have members, in the order of their names.
    pub fn zones(&self) -> impl Iterator<Item = &AvailabilityZone> {
        self.zone_members.keys()
    }

    /// Number of members of one zone, tombstones included.
    pub fn member_count(&self, zone: &AvailabilityZone) -> usize {
        self.zone_members.get(zone).map_or(0, BTreeSet::len)
    }

    /// The digest of each zone that has records.
    pub fn digests(&self) -> impl Iterator<Item = (&AvailabilityZone, &ZoneDigest)> {
        self.zones.iter()
    }

    /// The records of one zone that are in one of `buckets`.
    pub fn bucket_records(
        &self,
        zone: &AvailabilityZone,
        buckets: BucketSet,
    ) -> impl Iterator<Item = &Arc<Record>> {
        let members = self.zone_members.get(zone).into_iter().flatten();
        members
            .filter(move |m| buckets.contains(Bucket::of(**m)))
            .filter_map(|m| self.members.get(m))
            .flat_map(MemberIncarnations::shared)
    }

    /// The state of the owner of a connection id.
    pub fn owner(&self, server: BackendServerId, incarnation: ShortIncarnation) -> Owner<'_> {
        let Some(incarnations) = self.members.get(&MemberId::BackendServer(server)) else {
            return Owner::Unknown;
        };
        match incarnations.record_of(incarnation) {
            Some(record) if record.state != MemberState::Left => Owner::Live(record),
            Some(record) => Owner::Ended(record),
            None if incarnation.is_before(incarnations.current().incarnation.short()) => {
                Owner::Ended(incarnations.current())
            }
            // A later incarnation than the one known here: its record has not arrived yet, and the flow may
            // exist.
            None => Owner::Unknown,
        }
    }

    fn service_of(&self, member: MemberId) -> Option<ServiceId> {
        self.get(member).and_then(Record::service)
    }

    /// Updates all indexes after a change of a member, given its incarnations before the change.
    fn update_indexes(&mut self, member: MemberId, before: Option<&MemberIncarnations>) {
        let Some(now) = self.members.get(&member).cloned() else {
            return;
        };
        if let Some(before) = before {
            self.toggle_digest(before);
            self.leave_zone(before.current());
            if before.current().incarnation != now.current().incarnation {
                self.suspected.remove(&member);
            }
        }
        self.toggle_digest(&now);
        let zone = now.current().zone.clone();
        self.zone_members.entry(zone).or_default().insert(member);
        if now.may_expire() {
            self.expiring.insert(member);
        } else {
            self.expiring.remove(&member);
        }
        let service = before.and_then(|b| b.current().service());
        if service != now.current().service() {
            self.reindex(member, service);
        }
        self.reindex(member, now.current().service());
    }

    /// Adds the member's records to the digest of its zone, or removes them. All incarnations are counted in
    /// the zone of the latest one.
    fn toggle_digest(&mut self, incarnations: &MemberIncarnations) {
        let zone = self
            .zones
            .entry(incarnations.current().zone.clone())
            .or_default();
        incarnations.shared().for_each(|r| zone.toggle(r));
    }

    fn leave_zone(&mut self, record: &Record) {
        let Some(members) = self.zone_members.get_mut(&record.zone) else {
            return;
        };
        members.remove(&record.member);
        if members.is_empty() {
            self.zone_members.remove(&record.zone);
            self.zones.remove(&record.zone);
        }
    }

    fn reindex(&mut self, member: MemberId, service: Option<ServiceId>) {
        match (member, service) {
            (MemberId::BackendServer(server), Some(service)) => {
                self.reindex_service(server, service);
            }
            (MemberId::BackendServer(_), None) => {}
            (MemberId::Balancer(_), _) => self.reindex_balancer(member),
        }
    }

    fn reindex_service(&mut self, server: BackendServerId, service: ServiceId) {
        let belongs = self.service_of(MemberId::BackendServer(server)) == Some(service);
        let of_service = self.servers.entry(service).or_default();
        if belongs {
            of_service.insert(server);
        } else {
            of_service.remove(&server);
        }
        let list: Vec<_> = self
            .serving(service)
            .filter(|r| !self.suspected.contains(&r.member))
            .filter_map(candidate)
            .collect();
        self.candidates.insert(service, list);
    }

    /// Inserts one balancer in both lists or removes it, according to its record.
    fn reindex_balancer(&mut self, member: MemberId) {
        if let Ok(at) = self.balancers.binary_search_by_key(&member, |r| r.member) {
            let before = self.balancers.remove(at);
            let in_zone = self.balancers_by_zone.get_mut(&before.zone);
            if let Some(in_zone) = in_zone {
                in_zone.retain(|r| r.member != member);
            }
        }
        let Some(record) = self.members.get(&member).map(MemberIncarnations::current) else {
            return;
        };
        if record.state != MemberState::Serving || self.suspected.contains(&member) {
            return;
        }
        insert_by_member(&mut self.balancers, record);
        let in_zone = self.balancers_by_zone.entry(record.zone.clone());
        insert_by_member(in_zone.or_default(), record);
    }
}

fn insert_by_member(list: &mut Vec<Arc<Record>>, record: &Arc<Record>) {
    let at = list.partition_point(|r| r.member < record.member);
    list.insert(at, Arc::clone(record));
}

fn candidate(record: &Record) -> Option<Candidate> {
    let (MemberId::BackendServer(server), Role::BackendServer { slots, .. }) =
        (record.member, &record.role)
    else {
        return None;
    };
    Some(Candidate {
        server,
        weight: (*slots).max(1),
        zone: record.zone.clone(),
        tunnel: record.tunnel,
        eligible_at: record.eligible_at,
    })
}
