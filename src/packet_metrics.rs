//! Packet counters: packets by outcome, and dropped packets by cause.
//!
//! The counters are looked up once, so that counting a packet is a single addition.

use dogwoodrill_core::drop_cause::DropCause;
use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// Outcome of a packet that was not dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A balancer sent it to the agent of its flow.
    Forwarded,
    /// A balancer sent it to an agent that resets the flow.
    ResetRequested,
    /// A balancer sent it to its caller.
    Returned,
    /// An agent accepted it for one of its flows.
    Accepted,
    /// An agent passed it on to another agent, in search of the agent that owns its flow.
    PassedOn,
    /// An agent redirected it to another agent, which must accept it.
    Redirected,
    /// An agent sent it to a balancer, as a reply to the caller.
    Answered,
}

impl Outcome {
    const ALL: [(Self, &'static str); 7] = [
        (Self::Forwarded, "forwarded"),
        (Self::ResetRequested, "reset-asked"),
        (Self::Returned, "returned"),
        (Self::Accepted, "accepted"),
        (Self::PassedOn, "passed-on"),
        (Self::Redirected, "redirected"),
        (Self::Answered, "answered"),
    ];
}

/// The packet counters of one process.
#[derive(Clone, Debug)]
pub struct PacketMetrics {
    outcomes: [IntCounter; Outcome::ALL.len()],
    drops: [IntCounter; DropCause::ALL.len()],
}

impl PacketMetrics {
    /// Creates and registers the counters of a process. The metric names contain `role`.
    ///
    /// # Panics
    ///
    /// Panics if the same role is registered twice in one registry.
    pub fn register(registry: &Registry, role: &str) -> Self {
        let packets = counters(
            registry,
            role,
            "packets_total",
            "outcome",
            "Packets sent on.",
        );
        let drops = counters(
            registry,
            role,
            "dropped_packets_total",
            "cause",
            "Packets dropped.",
        );
        Self {
            outcomes: Outcome::ALL.map(|(_, label)| packets.with_label_values(&[label])),
            drops: DropCause::ALL.map(|c| drops.with_label_values(&[c.to_string()])),
        }
    }

    /// Counts a packet that was sent or accepted.
    pub fn count(&self, outcome: Outcome) {
        self.outcomes[outcome as usize].inc();
    }

    /// Counts a dropped packet.
    pub fn count_drop(&self, cause: DropCause) {
        self.drops[cause.index()].inc();
    }

    /// Returns the number of packets with this outcome so far.
    pub fn total(&self, outcome: Outcome) -> u64 {
        self.outcomes[outcome as usize].get()
    }

    /// Returns the number of packets dropped for this cause so far.
    pub fn dropped(&self, cause: DropCause) -> u64 {
        self.drops[cause.index()].get()
    }
}

fn counters(registry: &Registry, role: &str, name: &str, label: &str, help: &str) -> IntCounterVec {
    let opts = Opts::new(format!("dogwoodrill_{role}_{name}"), help);
    let counters = IntCounterVec::new(opts, &[label]).expect("the name and label are well formed");
    registry
        .register(Box::new(counters.clone()))
        .expect("each role is registered once in a process");
    counters
}
