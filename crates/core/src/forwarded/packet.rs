//! Packets of forwarded flows.
//!
//! A [`Header`] holds the fields of a packet that the decisions use. A [`PacketFormat`] defines their
//! encoding, so that the decisions do not depend on the wire format.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{BitOr, Display};
use snafu::Snafu;

/// Times after the first opening packet at which a caller sends the copies of it.
const COPIES_SENT_AFTER: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// Identifies a flow by the addresses of its two ends.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{caller}>{service}")]
pub struct FlowKey {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The service address and port that the caller sent to.
    pub service: SocketAddrV4,
}

/// Flags of a packet.
#[derive(BitOr, Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Flags(u8);

impl Flags {
    /// Opens a flow.
    pub const SYN: Self = Self(1);
    /// Carries an acknowledgement.
    pub const ACK: Self = Self(2);
    /// The sender has no more data.
    pub const FIN: Self = Self(4);
    /// Resets the flow.
    pub const RST: Self = Self(8);
    /// The backend server bounced the packet.
    pub const BOUNCED: Self = Self(16);

    /// Whether all of `flags` are set.
    pub const fn has(self, flags: Self) -> bool {
        self.0 & flags.0 == flags.0
    }

    /// Whether the packet opens a flow: the first packet of a caller, not the reply to it.
    pub const fn is_opening(self) -> bool {
        self.has(Self::SYN) && !self.has(Self::ACK)
    }

    /// Whether the sender ends the flow.
    pub const fn is_ending(self) -> bool {
        self.has(Self::FIN) || self.has(Self::RST)
    }
}

/// Why a node receives a packet.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum Purpose {
    /// A balancer placed the flow at the receiver, or has the receiver in its cache.
    #[default]
    #[display("placed")]
    Placed,
    /// The receiver is the flow's first keeper and should forward the packet.
    #[display("first keeper")]
    FirstKeeper,
    /// The receiver is the flow's second keeper and should forward the packet.
    #[display("second keeper")]
    SecondKeeper,
    /// A keeper has stored that the flow is at the receiver.
    #[display("kept")]
    FromKeeper,
    /// No keeper knows the flow; only the agent that holds it may deliver the packet.
    #[display("search")]
    Search,
}

impl Purpose {
    /// Returns the code that is sent in a packet.
    pub const fn code(self) -> u8 {
        match self {
            Self::Placed => 0,
            Self::FirstKeeper => 1,
            Self::SecondKeeper => 2,
            Self::FromKeeper => 3,
            Self::Search => 4,
        }
    }

    /// Returns the purpose with that code. An unknown code becomes [`Self::Search`], which lets the receiver
    /// deliver the packet only if it holds the flow.
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

/// Forwarding metadata that nodes attach to a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Trail {
    /// The balancer that received the packet from the caller; unspecified if none did.
    pub balancer: Ipv4Addr,
    /// Number of times that the packet was forwarded between agents.
    pub hops: u8,
    /// Why the receiver gets the packet.
    pub purpose: Purpose,
    /// Age of the caller's first packet when an agent redirected this opening packet; zero if none did.
    pub age: Duration,
}

impl Trail {
    /// Creates the trail of a packet that `balancer` forwards.
    pub const fn from_balancer(balancer: Ipv4Addr, purpose: Purpose) -> Self {
        Self {
            balancer,
            hops: 0,
            purpose,
            age: Duration::ZERO,
        }
    }

    /// Returns the trail for the next hop, after an agent has forwarded the packet for `purpose`.
    #[must_use]
    pub const fn next_hop(self, purpose: Purpose) -> Self {
        Self {
            hops: self.hops + 1,
            purpose,
            ..self
        }
    }
}

/// The fields of a packet that the decisions use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Header {
    /// Address of the sender.
    pub source: SocketAddrV4,
    /// Address of the receiver.
    pub target: SocketAddrV4,
    /// Flags of the packet.
    pub flags: Flags,
    /// Sequence number of the first byte.
    pub seq: u32,
    /// Acknowledgement number; in an opening packet, the number of the copy.
    pub ack: u32,
    /// Number of bytes of data.
    pub len: u16,
    /// Forwarding metadata.
    pub trail: Trail,
}

impl Header {
    /// Returns the flow of a packet that a caller sent.
    pub const fn caller_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            service: self.target,
        }
    }

    /// Returns the flow of a packet that a backend server sent.
    pub const fn server_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.target,
            service: self.source,
        }
    }

    /// Returns the header with the age that an agent tells the next one when it redirects the packet.
    #[must_use]
    pub const fn with_age(&self, age: Duration) -> Self {
        Self {
            trail: Trail { age, ..self.trail },
            ..*self
        }
    }

    /// Time since the caller sent its first opening packet: what the agent that redirected the packet knew, or what the
    /// number of this copy tells.
    pub fn age(&self) -> Duration {
        self.time_since_first_copy().max(self.trail.age)
    }

    /// Time since the first copy of the packet was sent, derived from the number of this copy.
    pub fn time_since_first_copy(&self) -> Duration {
        let copies = usize::try_from(self.ack).unwrap_or(usize::MAX);
        let sent = COPIES_SENT_AFTER.iter().take(copies);
        sent.copied().max().unwrap_or_default()
    }
}

/// The error for bytes that are not a valid packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{bytes} bytes are no packet: {problem}"))]
pub struct BadPacket {
    /// Number of bytes received.
    pub bytes: usize,
    /// Description of the error.
    pub problem: &'static str,
}

/// Encoding of packets.
pub trait PacketFormat {
    /// Decodes the header of a packet.
    fn read(&self, packet: &[u8]) -> Result<Header, BadPacket>;
    /// Sets the trail of a packet that [`Self::read`] has accepted.
    fn set_trail(&self, packet: &mut [u8], trail: Trail);
    /// Encodes a packet by which the system resets `flow`. `seq` is the sequence number that the caller
    /// expects next.
    fn reset(&self, flow: FlowKey, seq: u32) -> Bytes;
}
