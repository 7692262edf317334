//! Classification of datagrams: how a packet identifies its flow and the owner of the flow.
//!
//! The agent that terminates a flow issues connection ids that contain the number of its backend server, a
//! part of its incarnation and a keyed tag. A balancer reads them with the invariants of QUIC (RFC 8999) and
//! needs no flow table. Packets without such an id are either *opening* (the first of a flow) or *unknown*
//! (of a transport without connection ids, or 0-RTT) and are routed by [`FlowKey`].

use std::hash::Hasher;
use std::net::{IpAddr, SocketAddr};

use derive_more::{Debug, Display};
use siphasher::sip::{SipHasher13, SipHasher24};
use snafu::{Snafu, ensure};

use crate::ids::{BackendServerId, ServiceId, ShortIncarnation};

/// Length of a connection id that an agent issues, in bytes.
pub const CONNECTION_ID_BYTES: usize = 16;
/// Number of bytes of a connection id that the tag covers.
const TAGGED_BYTES: usize = 12;
/// Length of the random part that makes the connection ids of one server distinct, in bytes.
pub const NONCE_BYTES: usize = 4;
/// Length of the cluster key, in bytes.
pub const CLUSTER_KEY_BYTES: usize = 16;
/// Length of a key that is derived from the cluster key, in bytes.
pub const DERIVED_KEY_BYTES: usize = 32;

const LONG_HEADER_BIT: u8 = 0x80;
const LONG_HEADER_VERSION_AT: usize = 1;
const LONG_HEADER_LENGTH_AT: usize = 5;
const LONG_HEADER_ID_AT: usize = 6;
const SHORT_HEADER_ID_AT: usize = 1;
const LONG_TYPE_MASK: u8 = 0x30;
const LONG_TYPE_INITIAL: u8 = 0x00;
const LONG_TYPE_ZERO_RTT: u8 = 0x10;
/// QUIC version 1 (RFC 9000), the only version whose packet types are interpreted.
const VERSION_1: u32 = 1;
/// Version field of a version negotiation packet, which only a server sends.
const VERSION_NEGOTIATION: u32 = 0;
const MAX_CONNECTION_ID_BYTES: usize = 20;

/// The secret that all processes of one cluster share; the key of every tag.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClusterKey(#[debug("..")] [u8; CLUSTER_KEY_BYTES]);

/// The text of a cluster key is not 32 hexadecimal digits.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("a cluster key must be {} hexadecimal digits", 2 * CLUSTER_KEY_BYTES))]
pub struct BadClusterKey;

impl ClusterKey {
    /// Creates a key from its bytes.
    pub const fn new(value: [u8; CLUSTER_KEY_BYTES]) -> Self {
        Self(value)
    }

    /// Derives a secret for the use that `purpose` identifies.
    pub fn derive(&self, purpose: &[&[u8]]) -> [u8; DERIVED_KEY_BYTES] {
        let mut out = [0; DERIVED_KEY_BYTES];
        for (i, chunk) in (0_u8..).zip(out.chunks_exact_mut(size_of::<u64>())) {
            let mut h = SipHasher24::new_with_key(&self.0);
            h.write_u8(i);
            for part in purpose {
                h.write(part);
            }
            chunk.copy_from_slice(&h.finish().to_be_bytes());
        }
        out
    }

    /// The 64-bit keyed tag of `bytes` (SipHash-2-4).
    pub fn tag(&self, bytes: &[u8]) -> u64 {
        SipHasher24::new_with_key(&self.0).hash(bytes)
    }
}

impl std::str::FromStr for ClusterKey {
    type Err = BadClusterKey;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        ensure!(
            s.is_ascii() && s.len() == 2 * CLUSTER_KEY_BYTES,
            BadClusterKeySnafu
        );
        let mut key = [0; CLUSTER_KEY_BYTES];
        for (i, byte) in key.iter_mut().enumerate() {
            let digits = &s[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(digits, 16).ok().ok_or(BadClusterKey)?;
        }
        Ok(Self(key))
    }
}

/// A connection id issued by an agent: server (4 bytes), incarnation (4), nonce (4), tag (4).
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display("server {server} life {incarnation}")]
pub struct ConnectionId {
    /// The backend server whose agent terminates the flow.
    pub server: BackendServerId,
    /// The incarnation of that agent.
    pub incarnation: ShortIncarnation,
    /// Random bytes that make the ids of one server distinct.
    pub nonce: [u8; NONCE_BYTES],
}

impl ConnectionId {
    /// Encodes the id. The tag binds it to `service`.
    pub fn encode(&self, key: &ClusterKey, service: ServiceId) -> [u8; CONNECTION_ID_BYTES] {
        let mut out = [0; CONNECTION_ID_BYTES];
        out[..4].copy_from_slice(&self.server.get().to_be_bytes());
        out[4..8].copy_from_slice(&u32::from(self.incarnation).to_be_bytes());
        out[8..TAGGED_BYTES].copy_from_slice(&self.nonce);
        let tag = short_tag(key, service, &out[..TAGGED_BYTES]);
        out[TAGGED_BYTES..].copy_from_slice(&tag);
        out
    }

    /// Decodes an id and checks its tag for `service`; none if it was not issued by this cluster for it.
    pub fn decode(key: &ClusterKey, service: ServiceId, raw: &[u8]) -> Option<Self> {
        let raw: &[u8; CONNECTION_ID_BYTES] = raw.try_into().ok()?;
        let (tagged, tag) = raw.split_at(TAGGED_BYTES);
        if short_tag(key, service, tagged) != tag {
            return None;
        }
        let mut nonce = [0; NONCE_BYTES];
        nonce.copy_from_slice(&tagged[8..]);
        Some(Self {
            server: u32::from_be_bytes([raw[0], raw[1], raw[2], raw[3]]).into(),
            incarnation: u32::from_be_bytes([raw[4], raw[5], raw[6], raw[7]]).into(),
            nonce,
        })
    }
}

fn short_tag(key: &ClusterKey, service: ServiceId, tagged: &[u8]) -> [u8; 4] {
    let mut bytes = [0; TAGGED_BYTES + size_of::<u16>()];
    bytes[..TAGGED_BYTES].copy_from_slice(tagged);
    bytes[TAGGED_BYTES..].copy_from_slice(&service.get().to_be_bytes());
    let [a, b, c, d, ..] = key.tag(&bytes).to_be_bytes();
    [a, b, c, d]
}

/// The hash by which a flow without a connection id of this cluster is routed.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{_0:016x}")]
pub struct FlowKey(u64);

impl FlowKey {
    /// The key of the flow from `caller` to `service`; `opening_id` is the connection id that the caller
    /// chose, or empty for a transport without connection ids.
    pub fn new(service: ServiceId, caller: SocketAddr, opening_id: &[u8]) -> Self {
        let mut h = SipHasher13::new();
        match caller.ip() {
            IpAddr::V4(ip) => h.write(&ip.octets()),
            IpAddr::V6(ip) => h.write(&ip.octets()),
        }
        h.write_u16(caller.port());
        h.write_u16(service.get());
        h.write(opening_id);
        Self(h.finish())
    }

    /// Creates a key from a hash.
    pub const fn from_hash(hash: u64) -> Self {
        Self(hash)
    }

    /// The hash itself.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// The class of a packet, derived from its bytes and the caller's address alone.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PacketClass {
    /// The packet has a connection id with a valid tag.
    #[display("pinned to {_0}")]
    Pinned(ConnectionId),
    /// The packet is the first of a flow.
    #[display("opening {_0}")]
    Opening(FlowKey),
    /// The packet has no id of an owner and does not show whether it is the first of its flow.
    #[display("unknown {_0}")]
    Unknown(FlowKey),
}

/// Why a packet was not classified.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum BadPacket {
    /// The packet is too short for the header that its first byte indicates.
    #[display("short")]
    Short,
    /// The packet can't open a flow, and its connection id has no valid tag for this service.
    #[display("wrong-tag")]
    WrongTag,
}

/// Classifies a QUIC datagram that was sent to an address of `service`.
///
/// # Errors
///
/// [`BadPacket`] for a datagram that cannot belong to a flow of this service.
pub fn classify(
    key: &ClusterKey,
    service: ServiceId,
    caller: SocketAddr,
    packet: &[u8],
) -> Result<PacketClass, BadPacket> {
    let first = *packet.first().ok_or(BadPacket::Short)?;
    if first & LONG_HEADER_BIT == 0 {
        let end = SHORT_HEADER_ID_AT + CONNECTION_ID_BYTES;
        let raw = packet
            .get(SHORT_HEADER_ID_AT..end)
            .ok_or(BadPacket::Short)?;
        return ConnectionId::decode(key, service, raw)
            .map(PacketClass::Pinned)
            .ok_or(BadPacket::WrongTag);
    }
    let raw = long_header_id(packet).ok_or(BadPacket::Short)?;
    if let Some(id) = ConnectionId::decode(key, service, raw) {
        return Ok(PacketClass::Pinned(id));
    }
    let flow = FlowKey::new(service, caller, raw);
    match (long_header_version(packet), first & LONG_TYPE_MASK) {
        (Some(VERSION_1), LONG_TYPE_INITIAL) => Ok(PacketClass::Opening(flow)),
        (Some(VERSION_1), LONG_TYPE_ZERO_RTT) => Ok(PacketClass::Unknown(flow)),
        (Some(VERSION_1 | VERSION_NEGOTIATION), _) => Err(BadPacket::WrongTag),
        // Packet types of other versions are not known here; the agent replies with a version negotiation.
        (Some(_), _) => Ok(PacketClass::Opening(flow)),
        (None, _) => Err(BadPacket::Short),
    }
}

/// Classifies a datagram of a transport without connection ids: its flow is identified by the caller's
/// address and the service only.
pub fn classify_opaque(service: ServiceId, caller: SocketAddr) -> PacketClass {
    PacketClass::Unknown(FlowKey::new(service, caller, &[]))
}

fn long_header_version(packet: &[u8]) -> Option<u32> {
    let raw = packet.get(LONG_HEADER_VERSION_AT..LONG_HEADER_LENGTH_AT)?;
    raw.try_into().ok().map(u32::from_be_bytes)
}

fn long_header_id(packet: &[u8]) -> Option<&[u8]> {
    let len = usize::from(*packet.get(LONG_HEADER_LENGTH_AT)?);
    if len > MAX_CONNECTION_ID_BYTES {
        return None;
    }
    packet.get(LONG_HEADER_ID_AT..LONG_HEADER_ID_AT + len)
}
