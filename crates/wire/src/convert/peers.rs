//! Conversions of the messages between the agents of a service.

use bytes::Bytes;
use dogwoodrill_core::admission::Load;
use dogwoodrill_core::config::Priority;
use dogwoodrill_core::handoff::PeerLoad;
use dogwoodrill_core::ids::ServiceId;

use super::ConvertError;
use crate::proto::peers as wire;

impl wire::Load {
    /// Creates the message for a load report of a server of `service`.
    pub fn new(service: ServiceId, l: &PeerLoad) -> Self {
        Self {
            server: l.server.get(),
            incarnation: l.incarnation.get(),
            service: service.get().into(),
            sequence: l.sequence.into(),
            in_flight: l.load.in_flight,
            queued: l.load.queued,
            limit: l.load.limit,
            open_flows: l.open_flows,
            draining: l.draining,
        }
    }
}

impl From<wire::Load> for PeerLoad {
    fn from(l: wire::Load) -> Self {
        Self {
            server: l.server.into(),
            incarnation: l.incarnation.into(),
            sequence: l.sequence.into(),
            load: Load {
                in_flight: l.in_flight,
                queued: l.queued,
                limit: l.limit,
            },
            open_flows: l.open_flows,
            draining: l.draining,
        }
    }
}

impl From<Priority> for wire::Priority {
    fn from(p: Priority) -> Self {
        match p {
            Priority::Interactive => Self::Interactive,
            Priority::Bulk => Self::Bulk,
        }
    }
}

impl TryFrom<wire::Priority> for Priority {
    type Error = ConvertError;

    fn try_from(p: wire::Priority) -> Result<Self, Self::Error> {
        match p {
            wire::Priority::Interactive => Ok(Self::Interactive),
            wire::Priority::Bulk => Ok(Self::Bulk),
            wire::Priority::Unspecified => Err(ConvertError::Missing { field: "priority" }),
        }
    }
}

impl wire::RequestFrame {
    /// Creates a frame with the given body.
    pub const fn new(body: wire::request_frame::Body) -> Self {
        Self { body: Some(body) }
    }

    /// Creates a frame with a part of the request body.
    pub fn data(bytes: &Bytes) -> Self {
        Self::new(wire::request_frame::Body::Data(bytes.to_vec()))
    }
}

impl wire::ResponseFrame {
    /// Creates a frame with the given body.
    pub const fn new(body: wire::response_frame::Body) -> Self {
        Self { body: Some(body) }
    }

    /// Creates a frame with a part of the response body.
    pub fn data(bytes: &Bytes) -> Self {
        Self::new(wire::response_frame::Body::Data(bytes.to_vec()))
    }
}
