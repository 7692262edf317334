//! Counters of packets: what was sent where, and what was dropped by cause.
//!
//! The counters are looked up once, so that counting a packet is one addition.

use dogwoodrill_core::drop_cause::DropCause;
use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// What became of a packet that was not dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A balancer sent it to the agent of its flow.
    Forwarded,
    /// A balancer sent it to an agent that resets its flow.
    ResetRequested,
    /// A balancer sent it to its caller.
    Returned,
    /// An agent took it.
    Accepted,
    /// An agent passed it on to another in search of its flow.
    PassedOn,
    /// An agent handed it to another that has to take it.
    Redirected,
    /// An agent sent it to a balancer.
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
    /// Makes the counters of a process with `role` in its metric names and registers them.
    ///
    /// # Panics
    ///
    /// When the process registers the same role twice.
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

    /// Counts a packet that was sent or taken.
    pub fn count(&self, outcome: Outcome) {
        self.outcomes[outcome as usize].inc();
    }

    /// Counts a dropped packet.
    pub fn drop_for(&self, cause: DropCause) {
        self.drops[cause.index()].inc();
    }

    /// Packets with an outcome so far.
    pub fn total(&self, outcome: Outcome) -> u64 {
        self.outcomes[outcome as usize].get()
    }

    /// Packets dropped for a cause so far.
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
