//! Conversions of the messages in the relay tree.

use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::directory::digest::BUCKETS;
use dogwoodrill_core::directory::{Digest, Record, ZoneDigest};
use dogwoodrill_core::ids::ServiceId;
use dogwoodrill_spread::beacon::Beacon;
use dogwoodrill_spread::config_delta::{ConfigDelta, Removed};
use dogwoodrill_spread::message::{
    FreshnessQuery, FreshnessReply, Hello, LinkKind, MemberIncarnation, Message, NodeRole, Repair,
    ZoneTotal,
};
use dogwoodrill_spread::progress::{NodeConfigIndex, Progress, ZoneProgress};
use dogwoodrill_spread::suspicion::Observation;

use super::{ConvertError, checked_narrow, name};
use crate::proto::spread as wire;
use crate::proto::spread::frame::Body;

impl From<&Message> for wire::Frame {
    fn from(m: &Message) -> Self {
        let body = match m {
            Message::Hello(h) => Body::Hello(h.into()),
            Message::Refusal(r) => Body::Refusal(wire::Refusal {
                balancers: records_to_wire(r),
            }),
            Message::Bye => Body::Bye(wire::Bye {}),
            Message::Records(r) => Body::Records(wire::Records {
                records: records_to_wire(r),
            }),
            Message::Config(c) => Body::Config((&**c).into()),
            Message::ConfigDelta(d) => Body::ConfigDelta((&**d).into()),
            Message::Pull(index) => Body::Pull(wire::Pull {
                index: (*index).into(),
            }),
            Message::Beacon(b) => Body::Beacon((*b).into()),
            Message::Heartbeat(life) => Body::Heartbeat((*life).into()),
            Message::Observations(o) => Body::Observations(wire::Observations {
                observations: o.iter().map(Into::into).collect(),
            }),
            Message::Digests(zones) => Body::Digests(wire::Digests {
                zones: zones.iter().map(Into::into).collect(),
            }),
            Message::Buckets(zone, digest) => Body::Buckets(wire::Buckets {
                zone: zone.to_string(),
                digests: digest.buckets().map(Into::into).to_vec(),
            }),
            Message::Repair(r) => Body::Repair(wire::Repair {
                zone: r.zone.to_string(),
                buckets: r.buckets.into(),
                records: records_to_wire(&r.records),
            }),
            Message::Progress(p) => Body::Progress(p.into()),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<wire::Frame> for Message {
    type Error = ConvertError;

    fn try_from(f: wire::Frame) -> Result<Self, Self::Error> {
        let body = f.body.ok_or(ConvertError::Missing { field: "body" })?;
        Ok(match body {
            Body::Hello(h) => Self::Hello(h.try_into()?),
            Body::Refusal(r) => Self::Refusal(records(r.balancers)?),
            Body::Bye(_) => Self::Bye,
            Body::Records(r) => Self::Records(records(r.records)?),
            Body::Config(c) => Self::Config(Arc::new(c.try_into()?)),
            Body::ConfigDelta(d) => Self::ConfigDelta(Arc::new(d.try_into()?)),
            Body::Pull(p) => Self::Pull(p.index.into()),
            Body::Beacon(b) => Self::Beacon(b.into()),
            Body::Heartbeat(life) => Self::Heartbeat(life.try_into()?),
            Body::Observations(o) => {
                let list = o.observations.into_iter().map(TryInto::try_into);
                Self::Observations(list.collect::<Result<_, _>>()?)
            }
            Body::Digests(d) => {
                let zones = d.zones.into_iter().map(TryInto::try_into);
                Self::Digests(zones.collect::<Result<_, _>>()?)
            }
            Body::Buckets(b) => Self::Buckets(name("zone", b.zone)?, zone_digest(&b.digests)?),
            Body::Repair(r) => Self::Repair(Repair {
                zone: name("zone", r.zone)?,
                buckets: r.buckets.into(),
                records: records(r.records)?,
            }),
            Body::Progress(p) => Self::Progress(p.try_into()?),
        })
    }
}

fn records_to_wire(records: &[Arc<Record>]) -> Vec<wire::Record> {
    records.iter().map(|r| (&**r).into()).collect()
}

fn records(records: Vec<wire::Record>) -> Result<Vec<Arc<Record>>, ConvertError> {
    let records = records.into_iter();
    records.map(|r| Record::try_from(r).map(Arc::new)).collect()
}

fn zone_digest(digests: &[u64]) -> Result<ZoneDigest, ConvertError> {
    let digests: [u64; BUCKETS] = digests.try_into().ok().ok_or(ConvertError::OutOfRange {
        field: "number of digests",
    })?;
    Ok(digests.map(Digest::from).into())
}

impl From<&Hello> for wire::Hello {
    fn from(h: &Hello) -> Self {
        Self {
            node: h.node.into(),
            zone: h.zone.to_string(),
            kind: wire::LinkKind::from(h.kind).into(),
            role: wire::NodeRole::from(h.role).into(),
            index: h.index.into(),
        }
    }
}

impl TryFrom<wire::Hello> for Hello {
    type Error = ConvertError;

    fn try_from(h: wire::Hello) -> Result<Self, Self::Error> {
        let (kind, role) = (h.kind().try_into()?, h.role().try_into()?);
        Ok(Self {
            node: h.node.into(),
            zone: name("zone", h.zone)?,
            kind,
            role,
            index: h.index.into(),
        })
    }
}

impl From<LinkKind> for wire::LinkKind {
    fn from(k: LinkKind) -> Self {
        match k {
            LinkKind::Feed => Self::Feed,
            LinkKind::Observe => Self::Observe,
            LinkKind::Mesh => Self::Mesh,
        }
    }
}

impl TryFrom<wire::LinkKind> for LinkKind {
    type Error = ConvertError;

    fn try_from(k: wire::LinkKind) -> Result<Self, Self::Error> {
        match k {
            wire::LinkKind::Feed => Ok(Self::Feed),
            wire::LinkKind::Observe => Ok(Self::Observe),
            wire::LinkKind::Mesh => Ok(Self::Mesh),
            wire::LinkKind::Unspecified => Err(ConvertError::Missing { field: "link kind" }),
        }
    }
}

impl From<NodeRole> for wire::NodeRole {
    fn from(r: NodeRole) -> Self {
        match r {
            NodeRole::Control => Self::Control,
            NodeRole::Balancer => Self::Balancer,
            NodeRole::Agent => Self::Agent,
        }
    }
}

impl TryFrom<wire::NodeRole> for NodeRole {
    type Error = ConvertError;

    fn try_from(r: wire::NodeRole) -> Result<Self, Self::Error> {
        match r {
            wire::NodeRole::Control => Ok(Self::Control),
            wire::NodeRole::Balancer => Ok(Self::Balancer),
            wire::NodeRole::Agent => Ok(Self::Agent),
            wire::NodeRole::Unspecified => Err(ConvertError::Missing { field: "node role" }),
        }
    }
}

impl From<Beacon> for wire::Beacon {
    fn from(b: Beacon) -> Self {
        Self {
            term: b.term.into(),
            commit_index: b.index.into(),
            sent_at_ms: b.sent_at.into(),
        }
    }
}

impl From<wire::Beacon> for Beacon {
    fn from(b: wire::Beacon) -> Self {
        Self {
            term: b.term.into(),
            sent_at: b.sent_at_ms.into(),
            index: b.commit_index.into(),
        }
    }
}

impl From<MemberIncarnation> for wire::Life {
    fn from(l: MemberIncarnation) -> Self {
        let member = wire::record::Member::from(l.member);
        Self {
            member: Some(match member {
                wire::record::Member::BackendServer(id) => wire::life::Member::BackendServer(id),
                wire::record::Member::Balancer(id) => wire::life::Member::Balancer(id),
            }),
            incarnation: l.incarnation.into(),
        }
    }
}

impl TryFrom<wire::Life> for MemberIncarnation {
    type Error = ConvertError;

    fn try_from(l: wire::Life) -> Result<Self, Self::Error> {
        let member = l.member.ok_or(ConvertError::Missing { field: "member" })?;
        let member = match member {
            wire::life::Member::BackendServer(id) => wire::record::Member::BackendServer(id),
            wire::life::Member::Balancer(id) => wire::record::Member::Balancer(id),
        };
        Ok(Self {
            member: member.into(),
            incarnation: l.incarnation.into(),
        })
    }
}

impl From<&Observation> for wire::Observation {
    fn from(o: &Observation) -> Self {
        Self {
            observer: o.observer.into(),
            life: Some(o.subject.into()),
            heard: o.is_alive,
            since_ms: o.since.into(),
            stated_at_ms: o.reported_at.into(),
        }
    }
}

impl TryFrom<wire::Observation> for Observation {
    type Error = ConvertError;

    fn try_from(o: wire::Observation) -> Result<Self, Self::Error> {
        let life = o.life.ok_or(ConvertError::Missing { field: "life" })?;
        Ok(Self {
            observer: o.observer.into(),
            subject: life.try_into()?,
            is_alive: o.heard,
            since: o.since_ms.into(),
            reported_at: o.stated_at_ms.into(),
        })
    }
}

impl From<&ZoneTotal> for wire::ZoneTotal {
    fn from(t: &ZoneTotal) -> Self {
        Self {
            zone: t.zone.to_string(),
            total: t.total.into(),
        }
    }
}

impl TryFrom<wire::ZoneTotal> for ZoneTotal {
    type Error = ConvertError;

    fn try_from(t: wire::ZoneTotal) -> Result<Self, Self::Error> {
        Ok(Self {
            zone: name("zone", t.zone)?,
            total: t.total.into(),
        })
    }
}

impl From<&Progress> for wire::Progress {
    fn from(p: &Progress) -> Self {
        let zones = p.zones.iter().map(|(zone, z)| wire::ZoneProgress {
            zone: zone.to_string(),
            members: z.members,
            at: z.nodes_by_index.iter().map(nodes_at).collect(),
            behind: z.lagging.iter().map(node_at).collect(),
        });
        Self {
            zones: zones.collect(),
        }
    }
}

fn nodes_at((index, nodes): (&dogwoodrill_core::ids::LogIndex, &u32)) -> wire::NodesAt {
    wire::NodesAt {
        index: index.get(),
        nodes: *nodes,
    }
}

fn node_at(n: &NodeConfigIndex) -> wire::NodeAt {
    wire::NodeAt {
        node: n.node.get(),
        index: n.index.get(),
    }
}

impl TryFrom<wire::Progress> for Progress {
    type Error = ConvertError;

    fn try_from(p: wire::Progress) -> Result<Self, Self::Error> {
        let mut progress = Self::default();
        for z in p.zones {
            let at = z.at.into_iter().map(|a| (a.index.into(), a.nodes));
            let behind = z.behind.into_iter().map(|n| NodeConfigIndex {
                index: n.index.into(),
                node: n.node.into(),
            });
            let of_zone = ZoneProgress {
                members: z.members,
                nodes_by_index: at.collect(),
                lagging: behind.collect(),
            };
            progress.zones.insert(name("zone", z.zone)?, of_zone);
        }
        Ok(progress)
    }
}

impl From<&ConfigDelta> for wire::ConfigDelta {
    fn from(d: &ConfigDelta) -> Self {
        let removed = &d.removed;
        let services = |ids: &[ServiceId]| ids.iter().map(|id| id.get().into()).collect();
        Self {
            from: d.from.into(),
            set: Some((&d.set).into()),
            removed_profiles: to_strings(&removed.profiles),
            removed_services: services(&removed.services),
            removed_zones: to_strings(&removed.zones),
            removed_claim_groups: services(&removed.claim_groups),
            removed_regions: to_strings(&removed.regions),
        }
    }
}

impl TryFrom<wire::ConfigDelta> for ConfigDelta {
    type Error = ConvertError;

    fn try_from(d: wire::ConfigDelta) -> Result<Self, Self::Error> {
        let set = d.set.ok_or(ConvertError::Missing { field: "set" })?;
        Ok(Self {
            from: d.from.into(),
            set: CommittedConfig::try_from(set)?,
            removed: Removed {
                profiles: names("profile", d.removed_profiles)?,
                services: services(d.removed_services)?,
                zones: names("zone", d.removed_zones)?,
                regions: names("zone", d.removed_regions)?,
                claim_groups: services(d.removed_claim_groups)?,
            },
        })
    }
}

fn to_strings<T: ToString>(names: &[T]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

fn names<T>(field: &'static str, texts: Vec<String>) -> Result<Vec<T>, ConvertError>
where
    T: TryFrom<String, Error = dogwoodrill_core::ids::NameError>,
{
    texts.into_iter().map(|text| name(field, text)).collect()
}

fn services(ids: Vec<u32>) -> Result<Vec<ServiceId>, ConvertError> {
    let ids = ids.into_iter();
    ids.map(|id| checked_narrow::<u16>("service", id).map(ServiceId::new))
        .collect()
}

impl From<&FreshnessQuery> for wire::Question {
    fn from(q: &FreshnessQuery) -> Self {
        Self {
            node: q.node.into(),
            zone: q.zone.to_string(),
        }
    }
}

impl TryFrom<wire::Question> for FreshnessQuery {
    type Error = ConvertError;

    fn try_from(q: wire::Question) -> Result<Self, Self::Error> {
        Ok(Self {
            node: q.node.into(),
            zone: name("zone", q.zone)?,
        })
    }
}

impl From<&FreshnessReply> for wire::Answer {
    fn from(a: &FreshnessReply) -> Self {
        let age = u64::try_from(a.beacon_age.as_millis());
        Self {
            node: a.node.into(),
            role: wire::NodeRole::from(a.role).into(),
            index: a.index.into(),
            beacon: Some(a.beacon.into()),
            beacon_age_ms: age.unwrap_or(u64::MAX),
            balancers: records_to_wire(&a.balancers),
        }
    }
}

impl TryFrom<wire::Answer> for FreshnessReply {
    type Error = ConvertError;

    fn try_from(a: wire::Answer) -> Result<Self, Self::Error> {
        let role = a.role().try_into()?;
        let beacon = a.beacon.ok_or(ConvertError::Missing { field: "beacon" })?;
        Ok(Self {
            node: a.node.into(),
            role,
            index: a.index.into(),
            beacon: beacon.into(),
            beacon_age: Duration::from_millis(a.beacon_age_ms),
            balancers: records(a.balancers)?,
        })
    }
}
