//! What an agent remembers of a flow at its server.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::forwarded::keepers::Keepers;
use crate::forwarded::packet::{Header, Trail};
use crate::forwarded::server::ServerIncarnation;

/// Time for which a flow that is not open yet is remembered.
pub(super) const OPENING_TTL: Duration = Duration::from_secs(2);
/// Time for which a flow is remembered without packets, over every idle limit in use.
pub(super) const IDLE_TTL: Duration = Duration::from_secs(30);

/// How far a flow's current request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Work {
    /// A request is about to come.
    Expected { until: Instant },
    /// The server works on one.
    Running {
        since: Instant,
        /// Requests that the server had with it.
        among: u32,
        until: Instant,
    },
    /// None.
    Idle,
}

impl Work {
    pub(super) const fn is_running(self) -> bool {
        matches!(self, Self::Running { .. })
    }

    pub(super) const fn counts(self) -> bool {
        !matches!(self, Self::Idle)
    }

    /// Whether it should have come to an end by now.
    pub(super) fn is_overdue(self, now: Instant) -> bool {
        match self {
            Self::Expected { until } | Self::Running { until, .. } => until <= now,
            Self::Idle => false,
        }
    }
}

#[derive(Debug)]
pub(super) struct Flow {
    pub(super) incarnation: ServerIncarnation,
    /// The caller has acknowledged what the server said first.
    pub(super) is_open: bool,
    pub(super) server_seq: Option<u32>,
    /// When the server first answered.
    pub(super) answered_at: Option<Instant>,
    /// The opening packet, while the server has not answered it.
    pub(super) opening: Option<Bytes>,
    /// The first packet of the request that the server works on.
    pub(super) request: Option<Bytes>,
    pub(super) trail: Trail,
    pub(super) work: Work,
    pub(super) caller_next: u32,
    pub(super) caller_ack: u32,
    pub(super) caller_ended: bool,
    pub(super) server_ended: bool,
    pub(super) keepers: Keepers,
    /// Who searches for the flow, while the server has not shown that it holds it.
    pub(super) searched_by: Option<Ipv4Addr>,
    pub(super) forget_at: Instant,
}

/// A flow that the server does not hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct HandedBack {
    pub(super) incarnation: ServerIncarnation,
    pub(super) until: Instant,
}

impl Flow {
    /// Whether the server was only given a packet of the flow, and has not shown that it holds it: it may
    /// be open elsewhere.
    pub(super) const fn is_doubtful(&self) -> bool {
        self.is_open && self.server_seq.is_none()
    }

    /// A flow that may be open already, though the agent did not see it open. The caller acknowledges
    /// `ack` and sends `next` next.
    pub(super) const fn found_open(
        incarnation: ServerIncarnation,
        trail: Trail,
        ack: u32,
        next: u32,
        forget_at: Instant,
    ) -> Self {
        Self {
            incarnation,
            is_open: true,
            server_seq: None,
            answered_at: None,
            opening: None,
            request: None,
            trail,
            work: Work::Idle,
            caller_next: next,
            caller_ack: ack,
            caller_ended: false,
            server_ended: false,
            keepers: Keepers {
                first: None,
                second: None,
            },
            searched_by: None,
            forget_at,
        }
    }

    /// A flow whose opening packet goes to the server, which is to answer until `until`.
    pub(super) fn opening(
        incarnation: ServerIncarnation,
        header: &Header,
        packet: &[u8],
        until: Instant,
    ) -> Self {
        let next = header.seq.wrapping_add(1);
        Self {
            is_open: false,
            opening: Some(Bytes::copy_from_slice(packet)),
            work: Work::Expected { until },
            ..Self::found_open(incarnation, header.trail, 0, next, until)
        }
    }
}
