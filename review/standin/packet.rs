//! The packets of the platform: a head of 36 bytes and up to 1,200 bytes of data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 2;
pub const ACK: u8 = 64;
pub const FIN: u8 = 32;
pub const RST: u8 = 16;
pub const BOUNCED: u8 = 8;
pub const HEAD: usize = 36;

/// A packet without `echo` and `pad`, which belong to the system.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packet {
    pub source: SocketAddrV4,
    pub target: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    /// Encodes the packet as a client or server sends it, with the keyed sum.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[0..4].copy_from_slice(&self.seq.to_be_bytes());
        bytes[4..8].copy_from_slice(&self.ack.to_be_bytes());
        bytes[16..20].copy_from_slice(&self.source.ip().octets());
        bytes[20..22].copy_from_slice(&self.source.port().to_be_bytes());
        bytes[22..24].copy_from_slice(&self.target.port().to_be_bytes());
        bytes[24..28].copy_from_slice(&self.target.ip().octets());
        bytes[28..30].copy_from_slice(&u16::try_from(self.data.len()).unwrap().to_be_bytes());
        bytes[30] = self.flags;
        bytes.extend_from_slice(&self.data);
        let sum = sum(&bytes);
        bytes[8..12].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    /// Decodes a packet. Returns it with whether the sum is that of its sender.
    pub fn decode(bytes: &[u8]) -> Option<(Self, bool)> {
        if bytes.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        if usize::from(u16_at(28)) != bytes.len() - HEAD {
            return None;
        }
        let packet = Self {
            source: SocketAddrV4::new(Ipv4Addr::from(u32_at(16)), u16_at(20)),
            target: SocketAddrV4::new(Ipv4Addr::from(u32_at(24)), u16_at(22)),
            flags: bytes[30],
            seq: u32_at(0),
            ack: u32_at(4),
            data: bytes[HEAD..].to_vec(),
        };
        Some((packet, u32_at(8) == sum(bytes)))
    }

    pub fn has(&self, flags: u8) -> bool {
        self.flags & flags == flags
    }

    pub fn end(&self) -> u32 {
        self.seq
            .wrapping_add(u32::try_from(self.data.len()).unwrap())
    }
}

/// A keyed sum over everything except itself, `echo`, `pad` and BOUNCED; never 0.
fn sum(bytes: &[u8]) -> u32 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325 ^ 0x5eed;
    for (at, byte) in bytes.iter().enumerate() {
        let byte = match at {
            8..16 | 31..36 => continue,
            30 => byte & !BOUNCED,
            _ => *byte,
        };
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    u32::try_from(hash >> 32).unwrap() | 1
}
