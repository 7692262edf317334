//! Metrics of the processes that forward flows.

use std::collections::BTreeMap;
use std::time::Duration;

use dogwoodrill_core::forwarded::decision::{Decision, Step};
use dogwoodrill_core::forwarded::slot_offers::SlotOfferStats;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Upper bounds of the histogram buckets for the time that packets wait in this process, in seconds.
const TURN_BUCKETS: [f64; 7] = [0.000_1, 0.000_5, 0.001, 0.005, 0.02, 0.1, 0.5];

/// Upper bounds of the histogram buckets for the waits before refusals, in seconds. Callers give up opening a flow after
/// 1.4 s.
const REFUSAL_WAIT_BUCKETS: [f64; 9] = [0.001, 0.02, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.4];

/// Counters of the system calls on packet sockets.
#[derive(Clone, Debug)]
pub struct SocketCallCounters {
    /// Calls that receive packets.
    pub receive: IntCounter,
    /// Calls that send packets.
    pub send: IntCounter,
}

impl SocketCallCounters {
    /// Registers the counters. If they are registered already, by another node in the same process, the new
    /// counters work but are not exported.
    pub fn register(registry: &Registry) -> Self {
        let calls = Opts::new(
            "dogwoodrill_forwarded_socket_calls_total",
            "System calls that took in or sent packets, by kind.",
        );
        let calls = IntCounterVec::new(calls, &["call"]).expect("constant names are valid");
        drop(registry.register(Box::new(calls.clone())));
        Self {
            receive: calls.with_label_values(&["receive"]),
            send: calls.with_label_values(&["send"]),
        }
    }
}

/// Metrics of a balancer or an agent.
#[derive(Clone, Debug)]
pub struct ForwardMetrics {
    /// Packets received, by sender: caller, node or server.
    pub packets: IntCounterVec,
    /// Datagrams on packet sockets that are not valid packets.
    pub bad_packets: IntCounter,
    /// Flows whose location is currently remembered.
    pub flows: IntGauge,
    /// Index of the configuration in force.
    pub config_index: IntGauge,
    decisions: IntCounterVec,
    turn_seconds: Histogram,
    refusal_wait_seconds: Histogram,
    waiting: IntGauge,
    slot_offers: IntCounterVec,
}

impl ForwardMetrics {
    /// Creates and registers the metrics.
    pub fn register(registry: &Registry) -> Self {
        let packets = Opts::new("dogwoodrill_forwarded_packets_total", "Packets taken in.");
        let decisions = Opts::new(
            "dogwoodrill_forwarded_decisions_total",
            "Decisions about packets, by what was done and why.",
        );
        let slot_offers = Opts::new(
            "dogwoodrill_forwarded_slot_offers_total",
            "Idle slots offered to and by other agents.",
        );
        let turn = HistogramOpts::new(
            "dogwoodrill_forwarded_turn_seconds",
            "Time to take in what had come, which packets behind it waited.",
        );
        let turn = turn.buckets(TURN_BUCKETS.to_vec());
        let refusal_wait = HistogramOpts::new(
            "dogwoodrill_forwarded_refusal_wait_seconds",
            "Time for which opening packets waited at an agent before they were refused.",
        );
        let refusal_wait = refusal_wait.buckets(REFUSAL_WAIT_BUCKETS.to_vec());
        let metrics = Self {
            packets: IntCounterVec::new(packets, &["from"]).expect("constant names are valid"),
            bad_packets: IntCounter::new(
                "dogwoodrill_forwarded_bad_packets_total",
                "Datagrams that are no packets.",
            )
            .expect("a constant name is valid"),
            flows: IntGauge::new("dogwoodrill_forwarded_flows", "Flows that are remembered.")
                .expect("a constant name is valid"),
            config_index: IntGauge::new(
                "dogwoodrill_forwarded_config_index",
                "Index of the configuration in force.",
            )
            .expect("a constant name is valid"),
            decisions: IntCounterVec::new(decisions, &["step", "why"])
                .expect("constant names are valid"),
            turn_seconds: Histogram::with_opts(turn).expect("a constant name is valid"),
            refusal_wait_seconds: Histogram::with_opts(refusal_wait)
                .expect("a constant name is valid"),
            waiting: IntGauge::new(
                "dogwoodrill_forwarded_waiting",
                "Opening packets in the admission queue.",
            )
            .expect("a constant name is valid"),
            slot_offers: IntCounterVec::new(slot_offers, &["result"])
                .expect("constant names are valid"),
        };
        metrics.register_all(registry);
        metrics
    }

    /// Registers all metrics. Errors are ignored: a second node in the same process has metrics that are not
    /// exported.
    fn register_all(&self, registry: &Registry) {
        let all: [Box<dyn prometheus::core::Collector>; 9] = [
            Box::new(self.packets.clone()),
            Box::new(self.bad_packets.clone()),
            Box::new(self.flows.clone()),
            Box::new(self.config_index.clone()),
            Box::new(self.decisions.clone()),
            Box::new(self.turn_seconds.clone()),
            Box::new(self.refusal_wait_seconds.clone()),
            Box::new(self.waiting.clone()),
            Box::new(self.slot_offers.clone()),
        ];
        for collector in all {
            drop(registry.register(collector));
        }
    }

    /// Counts decisions by step and reason, and records the waits before refusals.
    pub fn count_decisions(&self, decisions: &[Decision]) {
        let mut counts = BTreeMap::new();
        for d in decisions {
            if d.step == Step::Refused {
                let waited = d.waited.unwrap_or_default();
                self.refusal_wait_seconds.observe(waited.as_secs_f64());
            }
            *counts.entry((d.step, d.reason)).or_insert(0) += 1;
        }
        for ((step, reason), count) in counts {
            let why = reason.map_or_else(String::new, |r| r.to_string());
            let labels = [step.to_string(), why];
            let counter = self.decisions.with_label_values(&labels);
            counter.inc_by(count);
        }
    }

    /// Sets the length of the admission queue and the numbers of offered slots.
    pub fn set_queue(&self, waiting: usize, offers: SlotOfferStats) {
        self.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        for (result, count) in [
            ("sent", offers.sent),
            ("used", offers.used),
            ("expired", offers.expired),
        ] {
            let counter = self.slot_offers.with_label_values(&[result]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }

    /// Records the time to process one batch of packets; later packets waited for that long.
    pub fn observe_turn(&self, took: Duration) {
        self.turn_seconds.observe(took.as_secs_f64());
    }
}
