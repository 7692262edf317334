//! Conversions of the records of the directory.

use dogwoodrill_core::directory::{MemberId, MemberState, Record, Role};

use super::{ConvertError, address, checked_narrow, name};
use crate::proto::spread as wire;

impl From<&Record> for wire::Record {
    fn from(r: &Record) -> Self {
        Self {
            member: Some(r.member.into()),
            zone: r.zone.to_string(),
            incarnation: r.incarnation.into(),
            sequence: r.sequence.into(),
            state: wire::MemberState::from(r.state).into(),
            tunnel: r.tunnel.to_string(),
            peer: r.peer.to_string(),
            eligible_at_ms: r.eligible_at.into(),
            backend_server_role: role_to_wire(&r.role),
        }
    }
}

impl TryFrom<wire::Record> for Record {
    type Error = ConvertError;

    fn try_from(r: wire::Record) -> Result<Self, Self::Error> {
        let state = MemberState::try_from(r.state())?;
        let member = r.member.ok_or(ConvertError::Missing { field: "member" })?;
        Ok(Self {
            member: member.into(),
            zone: name("zone", r.zone)?,
            incarnation: r.incarnation.into(),
            sequence: r.sequence.into(),
            state,
            tunnel: address("tunnel", r.tunnel)?,
            peer: address("peer", r.peer)?,
            eligible_at: r.eligible_at_ms.into(),
            role: role_from_wire(member, r.backend_server_role)?,
        })
    }
}

impl From<MemberId> for wire::record::Member {
    fn from(m: MemberId) -> Self {
        match m {
            MemberId::BackendServer(id) => Self::BackendServer(id.into()),
            MemberId::Balancer(id) => Self::Balancer(id.into()),
        }
    }
}

impl From<wire::record::Member> for MemberId {
    fn from(m: wire::record::Member) -> Self {
        match m {
            wire::record::Member::BackendServer(id) => Self::BackendServer(id.into()),
            wire::record::Member::Balancer(id) => Self::Balancer(id.into()),
        }
    }
}

impl From<MemberState> for wire::MemberState {
    fn from(s: MemberState) -> Self {
        match s {
            MemberState::Serving => Self::Serving,
            MemberState::Draining => Self::Draining,
            MemberState::Left => Self::Left,
        }
    }
}

impl TryFrom<wire::MemberState> for MemberState {
    type Error = ConvertError;

    fn try_from(s: wire::MemberState) -> Result<Self, Self::Error> {
        match s {
            wire::MemberState::Serving => Ok(Self::Serving),
            wire::MemberState::Draining => Ok(Self::Draining),
            wire::MemberState::Left => Ok(Self::Left),
            wire::MemberState::Unspecified => Err(ConvertError::Missing { field: "state" }),
        }
    }
}

fn role_to_wire(role: &Role) -> Option<wire::BackendServerRole> {
    let Role::BackendServer {
        service,
        slots,
        ramp_until,
    } = *role
    else {
        return None;
    };
    Some(wire::BackendServerRole {
        service: service.get().into(),
        slots: slots.into(),
        ramp_until_ms: ramp_until.into(),
    })
}

fn role_from_wire(
    member: wire::record::Member,
    role: Option<wire::BackendServerRole>,
) -> Result<Role, ConvertError> {
    match (member, role) {
        (wire::record::Member::Balancer(_), _) => Ok(Role::Balancer),
        (wire::record::Member::BackendServer(_), Some(r)) => Ok(Role::BackendServer {
            service: checked_narrow::<u16>("service", r.service)?.into(),
            slots: checked_narrow("slots", r.slots)?,
            ramp_until: r.ramp_until_ms.into(),
        }),
        (wire::record::Member::BackendServer(_), None) => Err(ConvertError::Missing {
            field: "backend server role",
        }),
    }
}
