//! Timeouts and size limits of a member.

use std::time::Duration;

/// Timeouts and size limits, which must be the same at all members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Minimum time without a leader after which a member campaigns; the actual time is random, up to twice
    /// as long. A leader without contact with a majority for this time steps down.
    pub election_timeout: Duration,
    /// Election timeout until the member has known a leader since it started. When all hosts start at once,
    /// no leader exists that is worth waiting for; when one host restarts, the others reject its pre-vote
    /// while they have a leader. The timeout doubles, up to `election_timeout`, with each failed campaign for
    /// which a majority had granted the pre-vote.
    pub first_election_timeout: Duration,
    /// Interval between the heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Time without a response to the leader after which another host may replace a member.
    pub replace_after: Duration,
    /// Maximum number of entries in one message.
    pub max_entries: usize,
    /// Number of entries before the snapshot that stay in memory for members that are slightly behind.
    pub retained_entries: u64,
}

impl Options {
    /// Returns the time without a message after which other members are told that a member is silent.
    pub(crate) fn silence_timeout(&self) -> Duration {
        self.election_timeout / 2
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            election_timeout: Duration::from_secs(1),
            first_election_timeout: Duration::from_secs(1),
            heartbeat_interval: Duration::from_millis(150),
            replace_after: Duration::from_secs(3),
            max_entries: 512,
            retained_entries: 1024,
        }
    }
}
