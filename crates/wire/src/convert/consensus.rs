//! Conversions of the messages between the control hosts.

use std::time::Duration;

use bytes::Bytes;
use dogwoodrill_consensus::{
    AppendOutcome, Entry, Envelope, Handover, Member, MemberId, MemberRole, Membership, Message,
    Payload, Round, Silence, Snapshot, VoteKind,
};

use super::{ConvertError, address};
use crate::proto::consensus as wire;
use wire::append_response::Outcome;
use wire::entry::Payload as WirePayload;
use wire::envelope::Body;

impl From<Envelope> for wire::Envelope {
    /// Leaves the cluster id and the sender's address empty, because the consensus log does not know them.
    fn from(e: Envelope) -> Self {
        Self {
            cluster: 0,
            from: e.from.get(),
            to: e.to.get(),
            term: e.term.get(),
            from_address: String::new(),
            body: Some(e.message.into()),
        }
    }
}

impl TryFrom<wire::Envelope> for Envelope {
    type Error = ConvertError;

    fn try_from(e: wire::Envelope) -> Result<Self, Self::Error> {
        let body = e.body.ok_or(ConvertError::Missing { field: "body" })?;
        Ok(Self {
            from: e.from.into(),
            to: e.to.into(),
            term: e.term.into(),
            message: body.try_into()?,
        })
    }
}

impl From<Message> for Body {
    fn from(message: Message) -> Self {
        match message {
            Message::VoteRequest {
                kind,
                last_index,
                last_term,
            } => Self::VoteRequest(wire::VoteRequest {
                pre_vote: kind == VoteKind::PreVote,
                last_index: last_index.into(),
                last_term: last_term.into(),
            }),
            Message::VoteResponse { kind, granted } => Self::VoteResponse(wire::VoteResponse {
                pre_vote: kind == VoteKind::PreVote,
                granted,
            }),
            Message::AppendRequest {
                previous_index,
                previous_term,
                entries,
                commit,
                round,
                silent,
            } => Self::AppendRequest(wire::AppendRequest {
                previous_index: previous_index.into(),
                previous_term: previous_term.into(),
                entries: entries.into_iter().map(Into::into).collect(),
                commit: commit.into(),
                round: round.0,
                silent: silent.into_iter().map(Into::into).collect(),
            }),
            Message::AppendResponse {
                round,
                outcome,
                silent,
            } => Self::AppendResponse(wire::AppendResponse {
                round: round.0,
                outcome: Some(match outcome {
                    AppendOutcome::Synced(index) => Outcome::Synced(index.into()),
                    AppendOutcome::RetryFrom(index) => Outcome::RetryFrom(index.into()),
                }),
                silent: silent.into_iter().map(Into::into).collect(),
            }),
            Message::SnapshotRequest { snapshot, round } => {
                Self::SnapshotRequest(wire::SnapshotRequest {
                    snapshot: Some(snapshot.into()),
                    round: round.0,
                })
            }
        }
    }
}

impl TryFrom<Body> for Message {
    type Error = ConvertError;

    fn try_from(body: Body) -> Result<Self, Self::Error> {
        Ok(match body {
            Body::VoteRequest(r) => Self::VoteRequest {
                kind: vote_kind(r.pre_vote),
                last_index: r.last_index.into(),
                last_term: r.last_term.into(),
            },
            Body::VoteResponse(r) => Self::VoteResponse {
                kind: vote_kind(r.pre_vote),
                granted: r.granted,
            },
            Body::AppendRequest(r) => Self::AppendRequest {
                previous_index: r.previous_index.into(),
                previous_term: r.previous_term.into(),
                entries: entries(r.previous_index, r.entries)?,
                commit: r.commit.into(),
                round: Round(r.round),
                silent: r.silent.into_iter().map(Into::into).collect(),
            },
            Body::AppendResponse(r) => Self::AppendResponse {
                round: Round(r.round),
                outcome: match r
                    .outcome
                    .ok_or(ConvertError::Missing { field: "outcome" })?
                {
                    Outcome::Synced(index) => AppendOutcome::Synced(index.into()),
                    Outcome::RetryFrom(index) => AppendOutcome::RetryFrom(index.into()),
                },
                silent: r.silent.into_iter().map(Into::into).collect(),
            },
            Body::SnapshotRequest(r) => {
                let snapshot = r
                    .snapshot
                    .ok_or(ConvertError::Missing { field: "snapshot" })?;
                Self::SnapshotRequest {
                    snapshot: snapshot.try_into()?,
                    round: Round(r.round),
                }
            }
        })
    }
}

impl From<Silence> for wire::Silence {
    fn from(silence: Silence) -> Self {
        Self {
            member: silence.member.into(),
            duration_ms: u64::try_from(silence.duration.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<wire::Silence> for Silence {
    fn from(silence: wire::Silence) -> Self {
        Self {
            member: silence.member.into(),
            duration: Duration::from_millis(silence.duration_ms),
        }
    }
}

const fn vote_kind(pre_vote: bool) -> VoteKind {
    if pre_vote {
        VoteKind::PreVote
    } else {
        VoteKind::Vote
    }
}

/// Converts entries and checks that their indexes are consecutive and start after `previous`. The log relies
/// on it.
fn entries(previous: u64, entries: Vec<wire::Entry>) -> Result<Vec<Entry>, ConvertError> {
    let mut converted = Vec::with_capacity(entries.len());
    for (entry, index) in entries.into_iter().zip(previous + 1..) {
        if entry.index != index {
            return Err(ConvertError::OutOfRange { field: "index" });
        }
        converted.push(entry.try_into()?);
    }
    Ok(converted)
}

impl From<Entry> for wire::Entry {
    fn from(e: Entry) -> Self {
        let payload = match e.payload {
            Payload::Noop => None,
            Payload::Command(bytes) => Some(WirePayload::Command(bytes.to_vec())),
            Payload::Membership(m) => Some(WirePayload::Membership((&m).into())),
        };
        Self {
            index: e.index.into(),
            term: e.term.into(),
            payload,
        }
    }
}

impl TryFrom<wire::Entry> for Entry {
    type Error = ConvertError;

    fn try_from(e: wire::Entry) -> Result<Self, Self::Error> {
        let payload = match e.payload {
            None => Payload::Noop,
            Some(WirePayload::Command(bytes)) => Payload::Command(Bytes::from(bytes)),
            Some(WirePayload::Membership(m)) => Payload::Membership(m.try_into()?),
        };
        Ok(Self {
            index: e.index.into(),
            term: e.term.into(),
            payload,
        })
    }
}

impl From<&Membership> for wire::Membership {
    fn from(m: &Membership) -> Self {
        Self {
            members: m.members().iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<wire::Membership> for Membership {
    type Error = ConvertError;

    fn try_from(m: wire::Membership) -> Result<Self, Self::Error> {
        let members = m.members.into_iter().map(Member::try_from);
        Ok(Self::new(members.collect::<Result<Vec<_>, _>>()?))
    }
}

impl From<&Member> for wire::Member {
    fn from(m: &Member) -> Self {
        Self {
            id: m.id.get(),
            voter: m.role == MemberRole::Voter,
            replaces: m.replaces.map(MemberId::get),
            node: m.node.get(),
            address: m.address.to_string(),
        }
    }
}

impl TryFrom<wire::Member> for Member {
    type Error = ConvertError;

    fn try_from(m: wire::Member) -> Result<Self, Self::Error> {
        Ok(Self {
            id: m.id.into(),
            role: if m.voter {
                MemberRole::Voter
            } else {
                MemberRole::Learner
            },
            replaces: m.replaces.map(MemberId::new),
            node: m.node.into(),
            address: address("control host", m.address)?,
        })
    }
}

impl From<Handover> for wire::Handover {
    fn from(h: Handover) -> Self {
        match h {
            Handover::Complete => Self::Complete,
            Handover::InProgress => Self::InProgress,
            Handover::NoSuccessor => Self::NoSuccessor,
        }
    }
}

impl TryFrom<wire::Handover> for Handover {
    type Error = ConvertError;

    fn try_from(h: wire::Handover) -> Result<Self, Self::Error> {
        match h {
            wire::Handover::Complete => Ok(Self::Complete),
            wire::Handover::InProgress => Ok(Self::InProgress),
            wire::Handover::NoSuccessor => Ok(Self::NoSuccessor),
            wire::Handover::Unspecified => Err(ConvertError::Missing { field: "handover" }),
        }
    }
}

impl From<Snapshot> for wire::Snapshot {
    fn from(s: Snapshot) -> Self {
        Self {
            index: s.index.into(),
            term: s.term.into(),
            membership: Some((&s.membership).into()),
            state: s.state.to_vec(),
        }
    }
}

impl TryFrom<wire::Snapshot> for Snapshot {
    type Error = ConvertError;

    fn try_from(s: wire::Snapshot) -> Result<Self, Self::Error> {
        let membership = s.membership;
        let membership = membership.ok_or(ConvertError::Missing { field: "members" })?;
        Ok(Self {
            index: s.index.into(),
            term: s.term.into(),
            membership: membership.try_into()?,
            state: s.state.into(),
        })
    }
}
