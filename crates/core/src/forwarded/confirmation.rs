//! Whether opening packets get through to an agent.
//!
//! The load that this answers: a path, or a host, is lost while callers open hundreds of flows a second. Greetings
//! that stay out tell it after four of them; until then every new flow that goes there is lost. An opening packet
//! counts as heard by the agent that it reaches, and each of the agent's greetings says how long ago it heard this
//! node. So the next greeting confirms what was sent, without a message of its own.

use std::time::{Duration, Instant};

/// Time after which an agent that speaks has heard an opening packet: the way, and ticks at both ends. One that
/// does not speak has a greeting interval more.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(100);

/// What is known of opening packets to one agent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Confirmation {
    /// When the first one was sent of those that the agent has not been heard to have received.
    unconfirmed_since: Option<Instant>,
    /// The agent spoke since and had not received it.
    has_missed: bool,
    /// What was told last of whether they get lost.
    was_losing: bool,
}

impl Confirmation {
    pub(super) fn on_sent(&mut self, now: Instant) {
        self.unconfirmed_since.get_or_insert(now);
    }

    /// The agent spoke; it had last heard this node at `peer_last_saw_us_at`.
    pub(super) fn on_word(&mut self, now: Instant, peer_last_saw_us_at: Option<Instant>) {
        if peer_last_saw_us_at >= self.unconfirmed_since {
            self.unconfirmed_since = None;
        }
        let since = self.unconfirmed_since;
        self.has_missed = since.is_some_and(|at| now > at + CONFIRMED_WITHIN);
    }

    /// The agent started anew, or came back after a silence.
    pub(super) const fn forget(&mut self) {
        self.unconfirmed_since = None;
        self.has_missed = false;
    }

    /// Whether opening packets seem to get lost; the agent greets every `heartbeat_interval`.
    pub(super) fn is_losing(&self, now: Instant, heartbeat_interval: Duration) -> bool {
        let within = heartbeat_interval + CONFIRMED_WITHIN;
        self.has_missed || self.unconfirmed_since.is_some_and(|at| now > at + within)
    }

    /// Whether they get lost, if that has changed since the last call.
    pub(super) fn take_change(&mut self, now: Instant, interval: Duration) -> Option<bool> {
        let is_losing = self.is_losing(now, interval);
        let was_losing = std::mem::replace(&mut self.was_losing, is_losing);
        (was_losing != is_losing).then_some(is_losing)
    }
}
