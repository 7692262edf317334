//! State that an agent keeps for each flow at its server.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::forwarded::keepers::Keepers;
use crate::forwarded::packet::{Header, Trail};
use crate::forwarded::server::ServerIncarnation;

/// Time for which a flow that is not open yet is remembered.
pub(super) const OPENING_TTL: Duration = Duration::from_secs(2);
/// Time for which a flow is remembered without packets; longer than every configured idle timeout.
pub(super) const IDLE_TTL: Duration = Duration::from_secs(30);

/// State of a flow's current request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RequestState {
    /// A request is expected until this time.
    Expected { until: Instant },
    /// The request has reached the server.
    Running { since: Instant, until: Instant },
    /// There is no request.
    Idle,
}

impl RequestState {
    pub(super) const fn is_running(self) -> bool {
        matches!(self, Self::Running { .. })
    }

    pub(super) const fn is_pending(self) -> bool {
        !matches!(self, Self::Idle)
    }

    /// Whether the request should have arrived or completed by now.
    pub(super) fn is_overdue(self, now: Instant) -> bool {
        match self {
            Self::Expected { until } | Self::Running { until, .. } => until <= now,
            Self::Idle => false,
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Flow {
    pub(super) incarnation: ServerIncarnation,
    /// Whether the caller has acknowledged the server's initial sequence number.
    pub(super) is_open: bool,
    /// The server's initial sequence number, once it has answered.
    pub(super) server_seq: Option<u32>,
    /// When the server first answered.
    pub(super) answered_at: Option<Instant>,
    /// The opening packet, until the server answers it.
    pub(super) opening: Option<Bytes>,
    /// The first packet of the running request.
    pub(super) request: Option<Bytes>,
    pub(super) trail: Trail,
    pub(super) request_state: RequestState,
    /// Sequence number that the caller sends next.
    pub(super) caller_next: u32,
    /// The caller's last acknowledgement number.
    pub(super) caller_ack: u32,
    pub(super) caller_ended: bool,
    pub(super) server_ended: bool,
    /// Number of requests on the flow that the server has answered.
    pub(super) answers: u32,
    /// The flow's keepers when its location was last sent to them.
    pub(super) keepers: Keepers,
    /// The agent that searches for the flow, until the server has shown that it holds the flow.
    pub(super) searched_by: Option<Ipv4Addr>,
    pub(super) forget_at: Instant,
}

/// Remembers that the server does not hold a flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct BouncedFlow {
    pub(super) incarnation: ServerIncarnation,
    pub(super) until: Instant,
}

impl Flow {
    /// Whether the server was given a packet of the flow but has not shown that it holds the flow. The flow
    /// may then be open at another server.
    pub(super) const fn is_unconfirmed(&self) -> bool {
        self.is_open && self.server_seq.is_none()
    }

    /// Whether the flow may bring further requests and has none now.
    pub(super) const fn is_open_and_idle(&self) -> bool {
        self.is_open && !self.caller_ended && !self.server_ended && !self.request_state.is_pending()
    }

    /// Creates a flow that is assumed to be open, though the agent did not see it open. `ack` is the caller's
    /// acknowledgement number and `next` the next sequence number that it will send.
    pub(super) const fn assumed_open(
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
            request_state: RequestState::Idle,
            caller_next: next,
            caller_ack: ack,
            caller_ended: false,
            server_ended: false,
            answers: 0,
            keepers: Keepers {
                first: None,
                second: None,
            },
            searched_by: None,
            forget_at,
        }
    }

    /// Creates a flow whose opening packet is delivered to the server, which should answer before `until`.
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
            request_state: RequestState::Expected { until },
            ..Self::assumed_open(incarnation, header.trail, 0, next, until)
        }
    }
}
