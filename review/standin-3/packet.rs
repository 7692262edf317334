//! Packets of the users' page: 36 bytes of header, big-endian, and up to 1,200 bytes of data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEADER: usize = 36;
pub const SYN: u8 = 2;
pub const ACK: u8 = 64;
pub const FIN: u8 = 32;
pub const RST: u8 = 16;
pub const BOUNCED: u8 = 8;
/// Key of `sum`; only clients and servers know it.
const KEY: u64 = 0x5bd1_e995_9d2c_5680;

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FlowKey {
    pub client: SocketAddrV4,
    pub route: SocketAddrV4,
}

#[derive(Clone, Debug)]
pub struct Packet {
    pub seq: u32,
    pub ack: u32,
    pub source: SocketAddrV4,
    pub target: SocketAddrV4,
    pub flags: u8,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Encodes the packet as its end writes it: `echo` and `pad` are 0, `sum` is set.
    pub fn encode(&self) -> Vec<u8> {
        let mut b = vec![0; HEADER];
        b[0..4].copy_from_slice(&self.seq.to_be_bytes());
        b[4..8].copy_from_slice(&self.ack.to_be_bytes());
        b[16..20].copy_from_slice(&self.source.ip().octets());
        b[20..22].copy_from_slice(&self.source.port().to_be_bytes());
        b[22..24].copy_from_slice(&self.target.port().to_be_bytes());
        b[24..28].copy_from_slice(&self.target.ip().octets());
        b[28..30].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        b[30] = self.flags;
        b.extend_from_slice(&self.data);
        let sum = sum(&b);
        b[8..12].copy_from_slice(&sum.to_be_bytes());
        b
    }

    /// Decodes a packet; `None` if it is malformed. The second value tells whether `sum` is right.
    pub fn decode(b: &[u8]) -> Option<(Self, bool)> {
        let u32_at = |at: usize| Some(u32::from_be_bytes(b.get(at..at + 4)?.try_into().ok()?));
        let u16_at = |at: usize| Some(u16::from_be_bytes(b.get(at..at + 2)?.try_into().ok()?));
        if b.len() < HEADER || usize::from(u16_at(28)?) != b.len() - HEADER {
            return None;
        }
        let packet = Self {
            seq: u32_at(0)?,
            ack: u32_at(4)?,
            source: SocketAddrV4::new(Ipv4Addr::from(u32_at(16)?), u16_at(20)?),
            target: SocketAddrV4::new(Ipv4Addr::from(u32_at(24)?), u16_at(22)?),
            flags: b[30],
            data: b[HEADER..].to_vec(),
        };
        Some((packet, u32_at(8)? == sum(b)))
    }
}

/// Returns the packet as a server hands it back: BOUNCED set, `pad` 0, `echo` as it arrived.
pub fn bounce(b: &[u8]) -> Vec<u8> {
    let mut b = b.to_vec();
    b[30] |= BOUNCED;
    b[31..HEADER].fill(0);
    b
}

/// Keyed sum over all fields except `echo`, `pad` and BOUNCED.
fn sum(b: &[u8]) -> u32 {
    let mut hash = KEY;
    let mut add = |byte: u8| hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    b[0..8].iter().chain(&b[16..30]).for_each(|byte| add(*byte));
    add(b[30] & !BOUNCED);
    b[HEADER..].iter().for_each(|byte| add(*byte));
    let folded = (hash ^ (hash >> 32)) as u32;
    // A sum of 0 marks a reset of the system's own.
    folded.max(1)
}
