//! Detects whether opening packets reach an agent.
//!
//! The case that this handles: a path or a host fails while callers open hundreds of flows per second. The
//! failure detector needs four missed heartbeats to notice it, and until then every new flow that is sent
//! there is lost. An opening packet counts as a packet received by the agent, and each heartbeat of the agent
//! carries the age of the last packet that it received from this node. So the next heartbeat confirms the
//! packets sent before it, without a separate message.

use std::time::{Duration, Instant};

/// Time after which an agent that sends heartbeats has received an opening packet: the latency of the path,
/// and the ticks at both ends. If no heartbeat arrives, one heartbeat interval is added.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(100);

/// Delivery state of the opening packets sent to one agent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Confirmation {
    /// When the first opening packet was sent that the agent has not confirmed.
    unconfirmed_since: Option<Instant>,
    /// Whether a heartbeat arrived since then that did not confirm it in time.
    has_missed: bool,
    /// The loss state that [`Self::take_change`] returned last.
    was_reported_losing: bool,
}

impl Confirmation {
    pub(super) fn on_sent(&mut self, now: Instant) {
        self.unconfirmed_since.get_or_insert(now);
    }

    /// Handles a heartbeat of the agent, which last received a packet of this node at `peer_last_saw_us_at`.
    pub(super) fn on_heartbeat(&mut self, now: Instant, peer_last_saw_us_at: Option<Instant>) {
        if peer_last_saw_us_at >= self.unconfirmed_since {
            self.unconfirmed_since = None;
        }
        let since = self.unconfirmed_since;
        self.has_missed = since.is_some_and(|at| now > at + CONFIRMATION_TIMEOUT);
    }

    /// Forgets unconfirmed packets, because the agent has restarted or is back after an interruption.
    pub(super) const fn reset(&mut self) {
        self.unconfirmed_since = None;
        self.has_missed = false;
    }

    /// Whether opening packets seem to be lost. The agent sends a heartbeat every `heartbeat_interval`.
    pub(super) fn is_losing(&self, now: Instant, heartbeat_interval: Duration) -> bool {
        let within = heartbeat_interval + CONFIRMATION_TIMEOUT;
        self.has_missed || self.unconfirmed_since.is_some_and(|at| now > at + within)
    }

    /// Returns whether opening packets are lost, if that has changed since the last call.
    pub(super) fn take_change(&mut self, now: Instant, interval: Duration) -> Option<bool> {
        let is_losing = self.is_losing(now, interval);
        let was_reported_losing = std::mem::replace(&mut self.was_reported_losing, is_losing);
        (was_reported_losing != is_losing).then_some(is_losing)
    }
}
