//! Metrics of a control host.

use dogwoodrill_consensus::{RoleName, Standing};
use dogwoodrill_core::changes::Accepted;
use dogwoodrill_core::control_status::HostRefusal;
use dogwoodrill_core::ids::LogIndex;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// The metrics of a control host.
#[derive(Clone, Debug)]
pub(super) struct ControlMetrics {
    pub(super) proposals: IntCounter,
    pub(super) foreign_messages: IntCounter,
    pub(super) disk_full: IntGauge,
    pub(super) sync_seconds: Histogram,
    answers: IntCounterVec,
    is_leader: IntGauge,
    term: IntGauge,
    commit_index: IntGauge,
    config_index: IntGauge,
}

impl ControlMetrics {
    /// Creates and registers the metrics. If a process runs a second control host, the metrics of that
    /// one are not exported.
    pub(super) fn register(registry: &Registry) -> Self {
        let sync = HistogramOpts::new(
            "dogwoodrill_control_sync_seconds",
            "Time to write and sync one batch of the log.",
        );
        let answers = Opts::new(
            "dogwoodrill_control_answers_total",
            "Changes answered, by outcome.",
        );
        let metrics = Self {
            proposals: counter("dogwoodrill_control_proposals_total", "Changes taken in."),
            foreign_messages: counter(
                "dogwoodrill_control_foreign_messages_total",
                "Messages dropped because they came from another cluster or were for another disk.",
            ),
            disk_full: gauge(
                "dogwoodrill_control_disk_full",
                "Whether the disk is full, so that changes are refused.",
            ),
            sync_seconds: Histogram::with_opts(sync).expect("a constant name is valid"),
            answers: IntCounterVec::new(answers, &["outcome"]).expect("a constant name is valid"),
            is_leader: gauge(
                "dogwoodrill_control_is_leader",
                "Whether this control host leads.",
            ),
            term: gauge("dogwoodrill_control_term", "Election term."),
            commit_index: gauge(
                "dogwoodrill_control_commit_index",
                "Index of the last committed log entry.",
            ),
            config_index: gauge(
                "dogwoodrill_control_config_index",
                "Index of the last change in force.",
            ),
        };
        metrics.register_all(registry);
        metrics
    }

    fn register_all(&self, registry: &Registry) {
        let all: [Box<dyn prometheus::core::Collector>; 9] = [
            Box::new(self.proposals.clone()),
            Box::new(self.foreign_messages.clone()),
            Box::new(self.disk_full.clone()),
            Box::new(self.sync_seconds.clone()),
            Box::new(self.answers.clone()),
            Box::new(self.is_leader.clone()),
            Box::new(self.term.clone()),
            Box::new(self.commit_index.clone()),
            Box::new(self.config_index.clone()),
        ];
        for collector in all {
            drop(registry.register(collector));
        }
    }

    pub(super) fn count_answer(&self, answer: &Result<Accepted, HostRefusal>) {
        let outcome = match answer {
            Ok(_) => "accepted",
            Err(HostRefusal::Refused(_)) => "refused",
            Err(HostRefusal::NotLeader(_)) => "not_leader",
            Err(HostRefusal::NoQuorum) => "no_quorum",
            Err(HostRefusal::DiskFull) => "disk_full",
        };
        self.answers.with_label_values(&[outcome]).inc();
    }

    pub(super) fn report(&self, standing: &Standing, config: LogIndex) {
        self.is_leader
            .set(i64::from(standing.role == RoleName::Leader));
        self.term.set(value(standing.term.get()));
        self.commit_index.set(value(standing.commit.get()));
        self.config_index.set(value(config.get()));
    }
}

fn value(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("a constant name is valid")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("a constant name is valid")
}
