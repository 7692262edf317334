//! Conversions of the commands of operators and their answers.

use dogwoodrill_core::changes::{Accepted, Change, CommittedValue, Refusal};
use dogwoodrill_core::control_status::{
    ControlHost, ControlMember, ControlRole, ControlStatus, HostRefusal,
};
use dogwoodrill_spread::progress::{Confirmations, NodeConfigIndex, ZoneConfirmations};

use super::{ConvertError, address, name};
use crate::proto::operator as wire;
use wire::apply_request::Change as WireChange;
use wire::lost_race::Won;
use wire::refusal::Reason;

/// Error for a change that operators cannot make.
const NOT_FOR_OPERATORS: ConvertError = ConvertError::Missing { field: "change" };

/// Fails for changes of claim groups and documents, which operators cannot make with this message.
impl TryFrom<&Change> for WireChange {
    type Error = ConvertError;

    fn try_from(change: &Change) -> Result<Self, Self::Error> {
        match change {
            Change::Profile(profile) => Ok(Self::Profile(wire::ProfileChange {
                profile: Some(profile.into()),
            })),
            Change::Zone(zone) => Ok(Self::Zone(wire::ZoneChange {
                zone: Some(zone.into()),
            })),
            Change::ClaimGroup(_) | Change::Document(_) => Err(NOT_FOR_OPERATORS),
        }
    }
}

impl TryFrom<WireChange> for Change {
    type Error = ConvertError;

    fn try_from(change: WireChange) -> Result<Self, Self::Error> {
        match change {
            WireChange::Profile(c) => {
                let profile = c
                    .profile
                    .ok_or(ConvertError::Missing { field: "profile" })?;
                Ok(Self::Profile(profile.try_into()?))
            }
            WireChange::Zone(c) => {
                let zone = c.zone.ok_or(ConvertError::Missing { field: "zone" })?;
                Ok(Self::Zone(zone.try_into()?))
            }
        }
    }
}

impl From<Accepted> for wire::Accepted {
    fn from(a: Accepted) -> Self {
        Self {
            index: a.index.into(),
            version: a.version.into(),
        }
    }
}

impl From<wire::Accepted> for Accepted {
    fn from(a: wire::Accepted) -> Self {
        Self {
            index: a.index.into(),
            version: a.version.into(),
        }
    }
}

impl From<HostRefusal> for wire::Refusal {
    fn from(refusal: HostRefusal) -> Self {
        let reason = match refusal {
            HostRefusal::Refused(refusal) => refused(refusal),
            HostRefusal::NotLeader(leader) => Reason::NotLeader(wire::NotLeader {
                leader: leader.map(Into::into),
            }),
            HostRefusal::NoQuorum => Reason::NoQuorum(wire::NoQuorum {}),
            HostRefusal::DiskFull => Reason::DiskFull(wire::DiskFull {}),
        };
        Self {
            reason: Some(reason),
        }
    }
}

fn refused(refusal: Refusal) -> Reason {
    match refusal {
        Refusal::VersionConflict { current } => Reason::LostRace(wire::LostRace {
            won: self::won(&current),
        }),
        Refusal::CommandIdReused => Reason::CommandIdReused(wire::CommandIdReused {}),
        Refusal::CommandIdExpired => Reason::CommandIdExpired(wire::CommandIdExpired {}),
        Refusal::Invalid { field, problem } => Reason::Invalid(wire::Invalid { field, problem }),
    }
}

impl TryFrom<wire::Refusal> for HostRefusal {
    type Error = ConvertError;

    fn try_from(refusal: wire::Refusal) -> Result<Self, Self::Error> {
        let reason = refusal
            .reason
            .ok_or(ConvertError::Missing { field: "reason" })?;
        Ok(match reason {
            Reason::LostRace(r) => {
                let current = r
                    .won
                    .map_or(Ok(CommittedValue::Nothing), CommittedValue::try_from)?;
                Refusal::VersionConflict { current }.into()
            }
            Reason::CommandIdReused(_) => Refusal::CommandIdReused.into(),
            Reason::CommandIdExpired(_) => Refusal::CommandIdExpired.into(),
            Reason::Invalid(r) => Refusal::Invalid {
                field: r.field,
                problem: r.problem,
            }
            .into(),
            Reason::NotLeader(r) => {
                Self::NotLeader(r.leader.map(ControlHost::try_from).transpose()?)
            }
            Reason::NoQuorum(_) => Self::NoQuorum,
            Reason::DiskFull(_) => Self::DiskFull,
        })
    }
}

fn won(standing: &CommittedValue) -> Option<Won> {
    match standing {
        CommittedValue::Profile(p) => Some(Won::Profile((&**p).into())),
        CommittedValue::Zone(z) => Some(Won::Zone(z.into())),
        CommittedValue::Nothing | CommittedValue::ClaimGroup(_) => None,
    }
}

impl TryFrom<Won> for CommittedValue {
    type Error = ConvertError;

    fn try_from(won: Won) -> Result<Self, Self::Error> {
        Ok(match won {
            Won::Profile(p) => Self::Profile(Box::new(p.try_into()?)),
            Won::Zone(z) => Self::Zone(z.try_into()?),
        })
    }
}

impl From<ControlHost> for wire::ControlHost {
    fn from(h: ControlHost) -> Self {
        Self {
            node: h.node.get(),
            address: h.address.to_string(),
        }
    }
}

impl TryFrom<wire::ControlHost> for ControlHost {
    type Error = ConvertError;

    fn try_from(h: wire::ControlHost) -> Result<Self, Self::Error> {
        Ok(Self {
            node: h.node.into(),
            address: address("control host", h.address)?,
        })
    }
}

impl From<ControlMember> for wire::ControlMember {
    fn from(m: ControlMember) -> Self {
        Self {
            host: Some(m.host.into()),
            voter: m.voter,
            synced_index: m.synced_index.into(),
            reachable: m.reachable,
        }
    }
}

impl TryFrom<wire::ControlMember> for ControlMember {
    type Error = ConvertError;

    fn try_from(m: wire::ControlMember) -> Result<Self, Self::Error> {
        let host = m.host.ok_or(ConvertError::Missing { field: "host" })?;
        Ok(Self {
            host: host.try_into()?,
            voter: m.voter,
            synced_index: m.synced_index.into(),
            reachable: m.reachable,
        })
    }
}

impl From<ControlRole> for wire::ControlRole {
    fn from(role: ControlRole) -> Self {
        match role {
            ControlRole::Leader => Self::Leader,
            ControlRole::Follower => Self::Follower,
            ControlRole::Candidate => Self::Candidate,
            ControlRole::Learner => Self::Learner,
        }
    }
}

impl TryFrom<wire::ControlRole> for ControlRole {
    type Error = ConvertError;

    fn try_from(role: wire::ControlRole) -> Result<Self, Self::Error> {
        match role {
            wire::ControlRole::Leader => Ok(Self::Leader),
            wire::ControlRole::Follower => Ok(Self::Follower),
            wire::ControlRole::Candidate => Ok(Self::Candidate),
            wire::ControlRole::Learner => Ok(Self::Learner),
            wire::ControlRole::Unspecified => Err(ConvertError::Missing { field: "role" }),
        }
    }
}

impl From<ControlStatus> for wire::StatusResponse {
    fn from(s: ControlStatus) -> Self {
        Self {
            node: s.node.get(),
            role: wire::ControlRole::from(s.role).into(),
            term: s.term.into(),
            commit_index: s.commit_index.into(),
            applied_index: s.applied_index.into(),
            disk_full: s.disk_full,
            leader: s.leader.map(Into::into),
            members: s.members.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<wire::StatusResponse> for ControlStatus {
    type Error = ConvertError;

    fn try_from(s: wire::StatusResponse) -> Result<Self, Self::Error> {
        let role = s.role().try_into()?;
        let members = s.members.into_iter().map(ControlMember::try_from);
        Ok(Self {
            node: s.node.into(),
            role,
            term: s.term.into(),
            commit_index: s.commit_index.into(),
            applied_index: s.applied_index.into(),
            disk_full: s.disk_full,
            leader: s.leader.map(ControlHost::try_from).transpose()?,
            members: members.collect::<Result<_, _>>()?,
        })
    }
}

impl From<Confirmations> for wire::ConfirmationsResponse {
    fn from(c: Confirmations) -> Self {
        Self {
            index: c.index.into(),
            zones: c.zones.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<wire::ConfirmationsResponse> for Confirmations {
    type Error = ConvertError;

    fn try_from(c: wire::ConfirmationsResponse) -> Result<Self, Self::Error> {
        let zones = c.zones.into_iter().map(ZoneConfirmations::try_from);
        Ok(Self {
            index: c.index.into(),
            zones: zones.collect::<Result<_, _>>()?,
        })
    }
}

impl From<ZoneConfirmations> for wire::ZoneConfirmations {
    fn from(z: ZoneConfirmations) -> Self {
        let named = z.behind_nodes.into_iter().map(|n| wire::NodeAt {
            node: n.node.get(),
            index: n.index.get(),
        });
        Self {
            zone: z.zone.to_string(),
            confirmed: z.confirmed,
            behind: z.behind,
            named: named.collect(),
            members: z.members,
            unreachable: z.unreachable,
        }
    }
}

impl TryFrom<wire::ZoneConfirmations> for ZoneConfirmations {
    type Error = ConvertError;

    fn try_from(z: wire::ZoneConfirmations) -> Result<Self, Self::Error> {
        let named = z.named.into_iter().map(|n| NodeConfigIndex {
            node: n.node.into(),
            index: n.index.into(),
        });
        Ok(Self {
            zone: name("zone", z.zone)?,
            confirmed: z.confirmed,
            behind: z.behind,
            behind_nodes: named.collect(),
            members: z.members,
            unreachable: z.unreachable,
        })
    }
}
