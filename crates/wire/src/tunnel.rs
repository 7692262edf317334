//! The header of each datagram in the tunnel between a balancer and an agent.
//!
//! The header has 40 bytes in network byte order: magic (1), version and kind (1), hops (1), flags (1),
//! service (2), caller port (2), backend server (4), address tag (4), caller address (16, IPv4-mapped), tag
//! (8). The tag authenticates the header with the cluster key; the payload is protected by QUIC. The *address
//! tag* identifies the service address that the caller used, so that the response is sent from the same
//! address.

use std::net::{IpAddr, Ipv6Addr, SocketAddr};

use derive_more::{Display, From, Into};
use dogwoodrill_core::drop_cause::DropCause;
use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_core::ids::{BackendServerId, ServiceId};

/// Length of the header in bytes.
pub const HEADER_BYTES: usize = 40;
const TAG_AT: usize = 32;
const MAGIC: u8 = 0xd6;
const VERSION: u8 = 1;
const KIND_MASK: u8 = 0x0f;
const VERSION_SHIFT: u32 = 4;

/// Flag: the receiver must accept the datagram even if it does not know the flow.
const FLAG_SETTLED: u8 = 0x01;

/// The direction of a datagram and what the receiver does with it.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum DatagramKind {
    /// Balancer to agent: a packet of a caller.
    #[display("to-server")]
    ToServer,
    /// Agent to balancer: a packet for a caller.
    #[display("to-caller")]
    ToCaller,
    /// Balancer to agent: reset the flow of the caller.
    #[display("reset")]
    Reset,
}

impl DatagramKind {
    const fn code(self) -> u8 {
        match self {
            Self::ToServer => 1,
            Self::ToCaller => 2,
            Self::Reset => 3,
        }
    }

    const fn from_code(code: u8) -> Option<Self> {
        match code {
            1 => Some(Self::ToServer),
            2 => Some(Self::ToCaller),
            3 => Some(Self::Reset),
            _ => None,
        }
    }
}

/// A 32-bit tag that identifies an address of a service.
#[derive(Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, PartialEq)]
#[display("{_0:08x}")]
pub struct AddressTag(u32);

impl AddressTag {
    /// Computes the tag of a service address.
    pub fn of(key: &ClusterKey, address: SocketAddr) -> Self {
        let ip = to_mapped(address.ip()).octets();
        let bytes = [ip.as_slice(), &address.port().to_be_bytes()].concat();
        let [_, _, _, _, a, b, c, d] = key.tag(&bytes).to_be_bytes();
        Self(u32::from_be_bytes([a, b, c, d]))
    }
}

/// The decoded content of a header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Header {
    /// The direction of the datagram.
    pub kind: DatagramKind,
    /// Number of times that the datagram was forwarded from agent to agent.
    pub hops: u8,
    /// Whether the receiver must accept the datagram even if it does not know the flow.
    pub settled: bool,
    /// The service that the caller used.
    pub service: ServiceId,
    /// The backend server whose agent sends or receives.
    pub server: BackendServerId,
    /// The service address that the caller used.
    pub address: AddressTag,
    /// The address of the caller.
    pub caller: SocketAddr,
}

/// Why a header was refused.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum BadHeader {
    /// Shorter than a header, without the magic byte, or of an unknown kind.
    #[display("malformed")]
    Malformed,
    /// Not the supported version of the format.
    #[display("version")]
    Version,
    /// The authentication tag is wrong.
    #[display("wrong-tag")]
    WrongTag,
}

impl Header {
    /// Writes the header into the first bytes of a datagram.
    pub fn encode(&self, key: &ClusterKey, out: &mut [u8; HEADER_BYTES]) {
        out[0] = MAGIC;
        out[1] = VERSION << VERSION_SHIFT | self.kind.code();
        out[2] = self.hops;
        out[3] = if self.settled { FLAG_SETTLED } else { 0 };
        out[4..6].copy_from_slice(&self.service.get().to_be_bytes());
        out[6..8].copy_from_slice(&self.caller.port().to_be_bytes());
        out[8..12].copy_from_slice(&self.server.get().to_be_bytes());
        out[12..16].copy_from_slice(&u32::from(self.address).to_be_bytes());
        out[16..TAG_AT].copy_from_slice(&to_mapped(self.caller.ip()).octets());
        let tag = key.tag(&out[..TAG_AT]);
        out[TAG_AT..].copy_from_slice(&tag.to_be_bytes());
    }

    /// Decodes the header of a datagram. Returns the header and the payload.
    ///
    /// # Errors
    ///
    /// [`BadHeader`] if the datagram was not sent by a process of this cluster.
    pub fn decode<'a>(key: &ClusterKey, datagram: &'a [u8]) -> Result<(Self, &'a [u8]), BadHeader> {
        let (raw, payload) = datagram
            .split_first_chunk::<HEADER_BYTES>()
            .ok_or(BadHeader::Malformed)?;
        if raw[0] != MAGIC {
            return Err(BadHeader::Malformed);
        }
        if raw[1] >> VERSION_SHIFT != VERSION {
            return Err(BadHeader::Version);
        }
        let (tagged, tag) = raw.split_at(TAG_AT);
        if key.tag(tagged).to_be_bytes() != tag {
            return Err(BadHeader::WrongTag);
        }
        let kind = DatagramKind::from_code(raw[1] & KIND_MASK).ok_or(BadHeader::Malformed)?;
        Ok((Self::from_raw(kind, raw), payload))
    }

    fn from_raw(kind: DatagramKind, raw: &[u8; HEADER_BYTES]) -> Self {
        let mut ip = [0; 16];
        ip.copy_from_slice(&raw[16..TAG_AT]);
        let port = u16::from_be_bytes([raw[6], raw[7]]);
        Self {
            kind,
            hops: raw[2],
            settled: raw[3] & FLAG_SETTLED != 0,
            service: u16::from_be_bytes([raw[4], raw[5]]).into(),
            server: u32::from_be_bytes([raw[8], raw[9], raw[10], raw[11]]).into(),
            address: u32::from_be_bytes([raw[12], raw[13], raw[14], raw[15]]).into(),
            caller: SocketAddr::new(Ipv6Addr::from(ip).to_canonical(), port),
        }
    }
}

const fn to_mapped(ip: IpAddr) -> Ipv6Addr {
    match ip {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    }
}

impl From<BadHeader> for DropCause {
    fn from(bad: BadHeader) -> Self {
        match bad {
            BadHeader::Malformed | BadHeader::Version => Self::Malformed,
            BadHeader::WrongTag => Self::WrongTag,
        }
    }
}
