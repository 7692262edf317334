//! The directory: what is known of every backend server and balancer, as soft state.
//!
//! Each member owns one [`Record`]. Copies are merged by ([`Incarnation`], [`Sequence`]), so a record
//! may come by any path, twice and in any order. A member that left stays as a tombstone until its
//! deadline, so that a late copy cannot bring it back. An earlier life that drains is kept beside its
//! successor, because packets of its flows must still find it.
//!
//! Lookups on the packet path read an index: backend servers by service, balancers by zone. Each
//! zone has a [`ZoneDigest`] by which two nodes find out what they hold differently.
//!
//! Suspicion is kept beside the records: it stops new flows only.
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
use lives::Lives;
pub use lives::SUCCESSION_GRACE;
pub use record::{MemberId, MemberState, Record, Role};

/// A backend server as the routing decision sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The backend server.
    pub server: BackendServerId,
    /// Its share of new flows, the slots it announced.
    pub weight: u16,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// UDP address of the agent beside it.
    pub tunnel: SocketAddr,
    /// When new flows may go to it.
    pub eligible_at: UnixMillis,
}

/// Whether a merge changed anything.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Merge {
    /// The record was news.
    #[display("applied")]
    Applied,
    /// An equal or newer record was known.
    #[display("stale")]
    Stale,
}

/// What is known of the owner of a connection id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Owner<'a> {
    /// The owner is there; send it the packet. It may be an earlier life that still drains.
    Live(&'a Record),
    /// The owner has left or was replaced by a later incarnation.
    Ended(&'a Record),
    /// Nobody has announced that backend server here yet.
    Unknown,
}

/// All records, with an index by service and by zone.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    members: BTreeMap<MemberId, Lives>,
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
    /// Takes in a copy of a record.
    pub fn merge(&mut self, record: impl Into<Arc<Record>>) -> Merge {
        let record = record.into();
        if record.forget_at().is_some_and(|at| at < self.expired_to) {
            return Merge::Stale;
        }
        let member = record.member;
        let before = self.members.get(&member).cloned();
        let outcome = if let Some(lives) = self.members.get_mut(&member) {
            lives.merge(record)
        } else {
            self.members.insert(member, Lives::new(record));
            Merge::Applied
        };
        if outcome == Merge::Applied {
            self.replace(member, before.as_ref());
        }
        outcome
    }

    /// Forgets tombstones past their deadline and earlier lives past their grace. Run it about once
    /// a second; a merge between two runs takes the time of the last one. Whether anything went.
    pub fn expire(&mut self, now: UnixMillis) -> bool {
        self.expired_to = self.expired_to.max(now);
        let mut any_went = false;
        for member in self.expiring.clone() {
            let Some(before) = self.members.get(&member).cloned() else {
                continue;
            };
            let mut lives = before.clone();
            if !lives.expire(now) {
                self.remove(member);
                any_went = true;
                continue;
            }
            any_went |= lives.all().count() < before.all().count();
            self.members.insert(member, lives);
            self.replace(member, Some(&before));
        }
        any_went
    }

    /// Marks a member as suspected dead or clears the mark.
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

    /// Whether a member is suspected dead.
    pub fn is_suspected(&self, member: MemberId) -> bool {
        self.suspected.contains(&member)
    }

    /// Members that are suspected dead.
    pub const fn suspected(&self) -> &BTreeSet<MemberId> {
        &self.suspected
    }

    /// The record of a member's latest life.
    pub fn get(&self, member: MemberId) -> Option<&Record> {
        self.members.get(&member).map(|l| &**l.current())
    }

    /// The record of one life of a member, if that life still matters.
    pub fn record_of(&self, member: MemberId, incarnation: Incarnation) -> Option<&Arc<Record>> {
        let mut lives = self.members.get(&member)?.shared();
        lives.find(|r| r.incarnation == incarnation)
    }

    /// All records in the order of their members: the latest lives, and earlier ones that drain.
    pub fn records(&self) -> impl Iterator<Item = &Record> + Clone {
        self.shared_records().map(|r| &**r)
    }

    /// As [`Directory::records`], without copying what is kept.
    pub fn shared_records(&self) -> impl Iterator<Item = &Arc<Record>> + Clone {
        self.members.values().flat_map(Lives::shared)
    }

    /// Forgets a member at once. Another node's copy may bring it back; a member that leaves becomes
    /// a tombstone instead.
    pub fn remove(&mut self, member: MemberId) {
        let Some(lives) = self.members.remove(&member) else {
            return;
        };
        self.toggle(&lives);
        self.suspected.remove(&member);
        self.expiring.remove(&member);
        self.leave_zone(lives.current());
        self.reindex(member, lives.current().service());
    }

    /// Backend servers of `service` that may be given new flows, by server number.
    pub fn candidates(&self, service: ServiceId) -> &[Candidate] {
        self.candidates.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Backend servers of `service` that take part, suspected or not.
    pub fn serving(&self, service: ServiceId) -> impl Iterator<Item = &Record> {
        let servers = self.servers.get(&service).into_iter().flatten();
        servers
            .filter_map(|id| self.get(MemberId::BackendServer(*id)))
            .filter(|r| r.state == MemberState::Serving)
    }

    /// The records of all routable lives of the backend servers of `service`, tombstones included.
    pub fn records_of_service(&self, service: ServiceId) -> impl Iterator<Item = &Record> {
        let servers = self.servers.get(&service).into_iter().flatten();
        servers
            .filter_map(|id| self.members.get(&MemberId::BackendServer(*id)))
            .flat_map(Lives::all)
            .map(|r| &**r)
            .filter(move |r| r.service() == Some(service))
    }

    /// Balancers that take part and are not suspected, by node number.
    pub fn balancers(&self) -> impl Iterator<Item = &Record> + Clone {
        self.balancers.iter().map(|r| &**r)
    }

    /// Every balancer that has not left, suspected or not, by node number.
    pub fn known_balancers(&self) -> impl Iterator<Item = &Record> + Clone {
        let first = MemberId::Balancer(0.into());
        let latest = self.members.range(first..).map(|(_, l)| &**l.current());
        latest.filter(|r| r.state != MemberState::Left)
    }

    /// The same balancers, for a reader that picks one by position.
    pub fn live_balancers(&self) -> &[Arc<Record>] {
        &self.balancers
    }

    /// The balancers of one zone that take part and are not suspected.
    pub fn live_balancers_in(&self, zone: &AvailabilityZone) -> &[Arc<Record>] {
        self.balancers_by_zone.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Zones that have members, in the order of their names.
    pub fn zones(&self) -> impl Iterator<Item = &AvailabilityZone> {
        self.zone_members.keys()
    }

    /// Members of one zone, tombstones included.
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
            .flat_map(Lives::shared)
    }

    /// The owner of a connection id.
    pub fn owner(&self, server: BackendServerId, incarnation: ShortIncarnation) -> Owner<'_> {
        let Some(lives) = self.members.get(&MemberId::BackendServer(server)) else {
            return Owner::Unknown;
        };
        match lives.life(incarnation) {
            Some(record) if record.state != MemberState::Left => Owner::Live(record),
            Some(record) => Owner::Ended(record),
            None if incarnation.is_before(lives.current().incarnation.short()) => {
                Owner::Ended(lives.current())
            }
            // A later life than the one announced here: this node is behind, the flow may well live.
            None => Owner::Unknown,
        }
    }

    fn service_of(&self, member: MemberId) -> Option<ServiceId> {
        self.get(member).and_then(Record::service)
    }

    /// Brings every index from what a member was before to what it is now.
    fn replace(&mut self, member: MemberId, before: Option<&Lives>) {
        let Some(now) = self.members.get(&member).cloned() else {
            return;
        };
        if let Some(before) = before {
            self.toggle(before);
            self.leave_zone(before.current());
            if before.current().incarnation != now.current().incarnation {
                self.suspected.remove(&member);
            }
        }
        self.toggle(&now);
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

    /// A member's lives are all counted in the zone of the latest.
    fn toggle(&mut self, lives: &Lives) {
        let zone = self.zones.entry(lives.current().zone.clone()).or_default();
        lives.shared().for_each(|r| zone.toggle(r));
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

    /// Puts one balancer in its place in both lists, or takes it out.
    fn reindex_balancer(&mut self, member: MemberId) {
        if let Ok(at) = self.balancers.binary_search_by_key(&member, |r| r.member) {
            let before = self.balancers.remove(at);
            let near = self.balancers_by_zone.get_mut(&before.zone);
            if let Some(near) = near {
                near.retain(|r| r.member != member);
            }
        }
        let Some(record) = self.members.get(&member).map(Lives::current) else {
            return;
        };
        if record.state != MemberState::Serving || self.suspected.contains(&member) {
            return;
        }
        insert_by_member(&mut self.balancers, record);
        let near = self.balancers_by_zone.entry(record.zone.clone());
        insert_by_member(near.or_default(), record);
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
