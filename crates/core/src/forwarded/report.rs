//! What nodes tell each other of themselves: the heartbeat that each message carries, and the report of an agent
//! on its backend server.

use std::time::{Duration, Instant};

use derive_more::{Display, From, FromStr, Into};

use super::node::NodeRole;
use super::service_map::ServiceLabel;
use crate::ids::{AvailabilityZone, LogIndex};

/// Random number drawn when a process starts, which identifies that run of the process.
#[derive(Clone, Copy, Debug, Default, Display, Eq, From, Into, PartialEq)]
#[display("{_0:016x}")]
pub struct BootId(u64);

impl BootId {
    /// Creates a boot id from its numeric value.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the numeric value.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// The state of its sender that each message between nodes carries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Id of the sender's process run.
    pub boot: BootId,
    /// Role of the sender.
    pub role: NodeRole,
    /// Log index of the configuration that the sender holds.
    pub index: LogIndex,
    /// Time since the sender last received a packet from the receiver; `None` if it never did.
    pub last_seen_age: Option<Duration>,
    /// Report on the sender's backend server, if the sender is an agent.
    pub report: Option<ServerReport>,
    /// Presence of the sender's backend server, if the sender is an agent.
    pub server_presence: ServerPresence,
}

/// The state of a backend server, as its agent reports it to other nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerReport {
    /// Service of the server.
    pub service: ServiceLabel,
    /// Availability zone of the server.
    pub zone: AvailabilityZone,
    /// Whether the server accepts new flows.
    pub is_accepting: bool,
    /// Whether the server has just started and is still slow.
    pub is_cold: bool,
    /// Number of requests at the server, on their way to it, or queued at its agent.
    pub busy: u32,
    /// Expected service time of a request: measured, or until then that of the service's other servers; `None`
    /// if neither is known.
    pub work: Option<Duration>,
    /// Number of those requests that wait in the agent's queue.
    pub waiting: u32,
    /// Number of requests that occupy a slot for far longer than the service time.
    pub stalled: u32,
    /// Number of open flows without a request.
    pub flows: u32,
    /// Rate of requests on these flows; `None` if not measured.
    pub flow_request_rate: Option<FlowRequestRate>,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Statistics of the server's responses, for outlier detection.
    pub responses: ResponseStats,
}

/// A server report and when it was received.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    /// The report of the agent.
    pub report: ServerReport,
    /// When the report was received.
    pub received_at: Instant,
    /// Number of opening packets sent to the agent since.
    pub sent_since: u32,
    /// Number of slots offered to the agent since.
    pub offered_since: u32,
}

/// Rate of requests on open flows, in requests a second on 1,000 flows.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Into, Ord, PartialEq, PartialOrd,
)]
#[display("{_0}‰/s")]
pub struct FlowRequestRate(u32);

impl FlowRequestRate {
    /// Rounds a rate in requests a second on one flow.
    pub(super) fn from_per_second(rate: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "limited to the range of `u32`"
        )]
        Self((rate * 1000.0).clamp(0.0, u32::MAX.into()).round() as u32)
    }

    /// Returns the rate in requests a second on one flow.
    pub(super) fn per_second(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// Whether an agent has a local backend server, and whether it has just started.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[display("vacant {has_no_server}, young {is_recently_started}")]
pub struct ServerPresence {
    /// The agent has no local server, so no flow can be open there.
    pub has_no_server: bool,
    /// The agent started recently and does not know that its server was running before.
    pub is_recently_started: bool,
}

/// Statistics of a server's responses, as its agent reports them to other nodes.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[display("{failure_rate} fail")]
pub struct ResponseStats {
    /// Mean bytes of responses that were not failures; `None` before the first.
    pub mean_bytes: Option<ResponseBytes>,
    /// Moving average of the share of failed requests.
    pub failure_rate: FailureRate,
    /// Whether the server is suspended, so that it gets only probes.
    pub is_suspended: bool,
}

/// Number of bytes in the first packet of a response.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Into, Ord, PartialEq, PartialOrd,
)]
#[display("{_0} B")]
pub struct ResponseBytes(pub(super) u16);

/// Share of requests that failed, in thousandths.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Into, Ord, PartialEq, PartialOrd,
)]
#[display("{_0}‰")]
pub struct FailureRate(u16);

impl FailureRate {
    /// Rounds a share between 0 and 1.
    pub(super) fn of(share: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 0 and 1000"
        )]
        Self((share.clamp(0.0, 1.0) * 1000.0).round() as u16)
    }

    pub(super) fn get(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}
