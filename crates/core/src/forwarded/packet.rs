//! Packets of forwarded flows.
//!
//! A [`Header`] is what the decisions need of a packet. How it lies in the bytes is the business of a
//! [`PacketFormat`], so that another wire format needs no other decision.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{BitOr, Display};
use snafu::Snafu;

/// Time after the first opening packet at which a caller sends each copy of it.
const COPIES_SENT_AFTER: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// Names a flow by its two ends.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{caller}>{service}")]
pub struct FlowKey {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The service address and port that the caller sent to.
    pub service: SocketAddrV4,
}

/// What a packet does to its flow.
#[derive(BitOr, Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Flags(u8);

impl Flags {
    /// Opens a flow.
    pub const SYN: Self = Self(1);
    /// Carries an acknowledgement.
    pub const ACK: Self = Self(2);
    /// The sender has no more to say.
    pub const FIN: Self = Self(4);
    /// Breaks the flow off.
    pub const RST: Self = Self(8);
    /// The backend server handed the packet back.
    pub const BOUNCED: Self = Self(16);

    /// Whether all of `flags` are set.
    pub const fn has(self, flags: Self) -> bool {
        self.0 & flags.0 == flags.0
    }

    /// Whether the packet opens a flow: the first packet of a caller, not the answer to one.
    pub const fn is_opening(self) -> bool {
        self.has(Self::SYN) && !self.has(Self::ACK)
    }

    /// Whether the sender ends the flow.
    pub const fn is_ending(self) -> bool {
        self.has(Self::FIN) || self.has(Self::RST)
    }
}

/// Why a node got a packet.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum Purpose {
    /// A balancer placed it or remembers its flow.
    #[default]
    #[display("placed")]
    Placed,
    /// The receiver is the flow's first keeper and is to pass it on.
    #[display("first keeper")]
    FirstKeeper,
    /// The receiver is the flow's second keeper and is to pass it on.
    #[display("second keeper")]
    SecondKeeper,
    /// A keeper says that the flow is here.
    #[display("kept")]
    FromKeeper,
    /// Nobody knows the flow; only its holder may use the packet.
    #[display("search")]
    Search,
}

impl Purpose {
    /// The number that travels in a packet.
    pub const fn code(self) -> u8 {
        match self {
            Self::Placed => 0,
            Self::FirstKeeper => 1,
            Self::SecondKeeper => 2,
            Self::FromKeeper => 3,
            Self::Search => 4,
        }
    }

    /// The purpose of that number; an unknown one has no claim on anything.
    pub const fn from_code(code: u8) -> Self {
        match code {
            0 => Self::Placed,
            1 => Self::FirstKeeper,
            2 => Self::SecondKeeper,
            3 => Self::FromKeeper,
            _ => Self::Search,
        }
    }
}

/// What nodes tell each other on a packet that they forward.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Trail {
    /// The balancer that took the packet from the caller; unspecified if none did.
    pub balancer: Ipv4Addr,
    /// How often the packet was passed on between agents.
    pub hops: u8,
    /// Why the receiver gets it.
    pub purpose: Purpose,
}

impl Trail {
    /// The trail of a packet that `balancer` sends out.
    pub const fn from_balancer(balancer: Ipv4Addr, purpose: Purpose) -> Self {
        Self {
            balancer,
            hops: 0,
            purpose,
        }
    }

    /// The trail of the packet once an agent has passed it on for `purpose`.
    #[must_use]
    pub const fn next_hop(self, purpose: Purpose) -> Self {
        Self {
            hops: self.hops + 1,
            purpose,
            ..self
        }
    }
}

/// What the decisions need of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Header {
    /// Who sent it.
    pub source: SocketAddrV4,
    /// Whom it is for.
    pub target: SocketAddrV4,
    /// What it does.
    pub flags: Flags,
    /// Position of its first byte in the sender's stream.
    pub seq: u32,
    /// What the sender has received; the number of the copy in an opening packet.
    pub ack: u32,
    /// Bytes of data.
    pub len: u16,
    /// What nodes noted on it.
    pub trail: Trail,
}

impl Header {
    /// The flow of a packet that a caller sent.
    pub const fn caller_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            service: self.target,
        }
    }

    /// The flow of a packet that a backend server sent.
    pub const fn server_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.target,
            service: self.source,
        }
    }

    /// For how long the caller of an opening packet has asked, by the number of its copy.
    pub fn time_since_first_copy(&self) -> Duration {
        let copies = usize::try_from(self.ack).unwrap_or(usize::MAX);
        let sent = COPIES_SENT_AFTER.iter().take(copies);
        sent.copied().max().unwrap_or_default()
    }
}

/// Bytes that are no packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{bytes} bytes are no packet: {problem}"))]
pub struct BadPacket {
    /// How many bytes came.
    pub bytes: usize,
    /// What is wrong with them.
    pub problem: &'static str,
}

/// How packets lie in bytes.
pub trait PacketFormat {
    /// Reads the header of a packet.
    fn read(&self, packet: &[u8]) -> Result<Header, BadPacket>;
    /// Puts a trail on a packet that [`Self::read`] took.
    fn set_trail(&self, packet: &mut [u8], trail: Trail);
    /// A packet by which the system breaks off `flow`; `seq` is what the caller expects next.
    fn reset(&self, flow: FlowKey, seq: u32) -> Bytes;
}
