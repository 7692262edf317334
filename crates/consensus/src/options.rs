//! How a member keeps time and how much it sends at once.

use std::time::Duration;

/// Times and sizes; the same at all members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Time without a leader after which a member campaigns; it waits up to twice as long, at random.
    /// A leader that has had no contact with a majority for this time steps down.
    pub election_timeout: Duration,
    /// The same until the member has first known a leader since it started. Hosts that all start at
    /// once need not wait for a leader that cannot be there; one that starts alone is told by the
    /// others in the pre-vote that there is one. It doubles, up to the usual time, with each vote that a
    /// majority would have supported and that came to nothing.
    pub first_election_timeout: Duration,
    /// Time between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Entries that one message may carry.
    pub max_entries: usize,
    /// Entries before the snapshot that stay in memory for members that are a little behind.
    pub retained_entries: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            election_timeout: Duration::from_secs(1),
            first_election_timeout: Duration::from_secs(1),
            heartbeat_interval: Duration::from_millis(150),
            max_entries: 512,
            retained_entries: 1024,
        }
    }
}
