//! Protobuf types for the payload of a frame, and their conversions.

use bytes::Bytes;
use dogwoodrill_core::ids::LogIndex;
use prost::Message;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::entry::{Batch, Entry, HardState, Payload, Snapshot};
use crate::member::{Member, MemberId, MemberRole, Membership};

/// Error when a payload with a valid checksum cannot be decoded.
#[derive(Debug, Snafu)]
pub(super) enum RecordError {
    /// The payload is not a valid protobuf message.
    Shape { source: prost::DecodeError },
    /// A member address is malformed.
    Address { source: std::net::AddrParseError },
    /// A required field is missing.
    Missing,
}

#[derive(Clone, PartialEq, Message)]
struct DiskBatch {
    #[prost(message, optional, tag = "1")]
    hard_state: Option<DiskHardState>,
    #[prost(uint64, optional, tag = "2")]
    truncate_from: Option<u64>,
    #[prost(message, repeated, tag = "3")]
    entries: Vec<DiskEntry>,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct DiskHardState {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(uint64, optional, tag = "2")]
    voted_for: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct DiskEntry {
    #[prost(uint64, tag = "1")]
    index: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(bytes = "bytes", optional, tag = "3")]
    command: Option<Bytes>,
    #[prost(message, optional, tag = "4")]
    membership: Option<DiskMembership>,
}

#[derive(Clone, PartialEq, Message)]
struct DiskMembership {
    #[prost(message, repeated, tag = "1")]
    members: Vec<DiskMember>,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct DiskMember {
    #[prost(uint64, tag = "1")]
    id: u64,
    #[prost(bool, tag = "2")]
    voter: bool,
    #[prost(uint64, optional, tag = "3")]
    replaces: Option<u64>,
    #[prost(uint64, tag = "4")]
    node: u64,
    #[prost(string, tag = "5")]
    address: String,
}

#[derive(Clone, PartialEq, Message)]
struct DiskSnapshot {
    #[prost(uint64, tag = "1")]
    index: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(message, optional, tag = "3")]
    membership: Option<DiskMembership>,
    #[prost(bytes = "bytes", tag = "4")]
    state: Bytes,
}

/// Encodes an append batch. A rewrite batch is not encoded here and returns no bytes; the store writes it as a
/// new generation.
pub(super) fn encode_batch(batch: &Batch) -> Vec<u8> {
    let Batch::Append {
        hard_state,
        truncate_from,
        entries,
    } = batch
    else {
        return Vec::new();
    };
    let disk = DiskBatch {
        hard_state: hard_state.map(|h| DiskHardState {
            term: h.term.into(),
            voted_for: h.voted_for.map(MemberId::get),
        }),
        truncate_from: truncate_from.map(LogIndex::get),
        entries: entries.iter().map(Into::into).collect(),
    };
    disk.encode_to_vec()
}

pub(super) fn decode_batch(payload: &[u8]) -> Result<Batch, RecordError> {
    let disk = DiskBatch::decode(payload).context(ShapeSnafu)?;
    let entries = disk.entries.into_iter().map(Entry::try_from);
    Ok(Batch::Append {
        hard_state: disk.hard_state.map(|h| HardState {
            term: h.term.into(),
            voted_for: h.voted_for.map(MemberId::new),
        }),
        truncate_from: disk.truncate_from.map(LogIndex::new),
        entries: entries.collect::<Result<_, _>>()?,
    })
}

pub(super) fn encode_snapshot(snapshot: &Snapshot) -> Vec<u8> {
    let disk = DiskSnapshot {
        index: snapshot.index.get(),
        term: snapshot.term.get(),
        membership: Some((&snapshot.membership).into()),
        state: snapshot.state.clone(),
    };
    disk.encode_to_vec()
}

pub(super) fn decode_snapshot(payload: &[u8]) -> Result<Snapshot, RecordError> {
    let disk = DiskSnapshot::decode(payload).context(ShapeSnafu)?;
    Ok(Snapshot {
        index: disk.index.into(),
        term: disk.term.into(),
        membership: disk.membership.context(MissingSnafu)?.try_into()?,
        state: disk.state,
    })
}

impl From<&Entry> for DiskEntry {
    fn from(entry: &Entry) -> Self {
        let (command, membership) = match &entry.payload {
            Payload::Noop => (None, None),
            Payload::Command(bytes) => (Some(bytes.clone()), None),
            Payload::Membership(m) => (None, Some(m.into())),
        };
        Self {
            index: entry.index.get(),
            term: entry.term.get(),
            command,
            membership,
        }
    }
}

impl TryFrom<DiskEntry> for Entry {
    type Error = RecordError;

    fn try_from(disk: DiskEntry) -> Result<Self, RecordError> {
        let payload = match (disk.command, disk.membership) {
            (Some(bytes), _) => Payload::Command(bytes),
            (None, Some(m)) => Payload::Membership(m.try_into()?),
            (None, None) => Payload::Noop,
        };
        Ok(Self {
            index: disk.index.into(),
            term: disk.term.into(),
            payload,
        })
    }
}

impl From<&Membership> for DiskMembership {
    fn from(membership: &Membership) -> Self {
        let members = membership.members().iter().map(|m| DiskMember {
            id: m.id.get(),
            voter: m.role == MemberRole::Voter,
            replaces: m.replaces.map(MemberId::get),
            node: m.node.get(),
            address: m.address.to_string(),
        });
        Self {
            members: members.collect(),
        }
    }
}

impl TryFrom<DiskMembership> for Membership {
    type Error = RecordError;

    fn try_from(disk: DiskMembership) -> Result<Self, RecordError> {
        let members = disk.members.into_iter().map(|m| {
            let role = if m.voter {
                MemberRole::Voter
            } else {
                MemberRole::Learner
            };
            Ok(Member {
                id: m.id.into(),
                role,
                replaces: m.replaces.map(MemberId::new),
                node: m.node.into(),
                address: m.address.parse().context(AddressSnafu)?,
            })
        });
        Ok(Self::new(members.collect::<Result<Vec<_>, _>>()?))
    }
}
