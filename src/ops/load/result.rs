//! Aggregates the requests of a run and renders the result.

use std::fmt;
use std::time::Duration;

use dogwoodrill_core::time::UnixMillis;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::options::LoadOptions;
use super::run::RequestOutcome;
use crate::ops::Outcome;
use crate::ops::exit::EXIT_FAILED;
use crate::ops::page::{Chart, Page, Row, Section, Table};

/// Largest recorded latency in microseconds: one hour. Longer latencies are recorded as this value.
const MAX_MICROS: u64 = 3_600_000_000;
/// Significant digits of recorded latencies.
const DIGITS: u8 = 3;
/// Reported quantiles of latency.
const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p99.9", 0.999)];

/// A completed request.
#[derive(Clone, Copy, Debug)]
pub struct CompletedRequest {
    /// Index of its class.
    pub class: usize,
    /// Planned time, relative to the start of the run.
    pub due: Duration,
    /// Time from the planned time to the end of its last response.
    pub latency: Duration,
    /// Outcome of the last attempt.
    pub outcome: RequestOutcome,
    /// Number of times that it was sent again.
    pub resends: u32,
}

/// Counts and latencies of one class.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Number of good requests.
    pub good: u64,
    /// Number of requests that were refused and not run.
    pub not_run: u64,
    /// Number of requests that may have run.
    pub unclear: u64,
    /// Number of times that requests were sent again.
    pub resends: u64,
    /// Latencies of the good requests, in microseconds.
    pub latencies: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latencies = Histogram::new_with_max(MAX_MICROS, DIGITS);
        Self {
            good: 0,
            not_run: 0,
            unclear: 0,
            resends: 0,
            latencies: latencies.expect("the bounds are valid"),
        }
    }
}

impl Tally {
    fn add(&mut self, sent: &CompletedRequest) {
        self.resends += u64::from(sent.resends);
        match sent.outcome {
            RequestOutcome::Good => {
                self.good += 1;
                let micros = u64::try_from(sent.latency.as_micros()).unwrap_or(MAX_MICROS);
                self.latencies.saturating_record(micros);
            }
            RequestOutcome::NotRun => self.not_run += 1,
            RequestOutcome::Unclear => self.unclear += 1,
        }
    }

    fn quantile_ms(&self, quantile: f64) -> Option<f64> {
        let micros = self.latencies.value_at_quantile(quantile);
        let micros = u32::try_from(micros).unwrap_or(u32::MAX);
        (!self.latencies.is_empty()).then(|| f64::from(micros) / 1_000.0)
    }
}

/// Counts of one second of a run.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    good: u32,
    bad: u32,
    slowest: Duration,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct LoadResult {
    started_at: UnixMillis,
    parameters: String,
    classes: Vec<(String, Tally)>,
    seconds: Vec<Second>,
    /// Number of arrivals that were not sent because too many requests were in progress.
    pub not_sent: u64,
    /// Number of flows that ended while a request was in progress on them.
    pub flows_broken: u64,
    /// Number of flows that could not be opened at the start.
    pub flows_not_opened: usize,
}

impl LoadResult {
    /// Creates an empty result.
    pub fn new(options: &LoadOptions, started_at: UnixMillis) -> Self {
        let names = options.classes.iter().map(|c| c.name.clone());
        let seconds = usize::try_from(options.time.as_secs()).unwrap_or(usize::MAX);
        Self {
            started_at,
            parameters: format!(
                "{} requests a second for {} s over {} flows to {} ({}), seed {}",
                options.rate,
                options.time.as_secs(),
                options.flows,
                options.to,
                options.name,
                options.seed
            ),
            classes: names.map(|n| (n, Tally::default())).collect(),
            seconds: vec![Second::default(); seconds],
            not_sent: 0,
            flows_broken: 0,
            flows_not_opened: 0,
        }
    }

    /// Adds a completed request.
    pub fn on_completed(&mut self, sent: &CompletedRequest) {
        self.classes[sent.class].1.add(sent);
        let at = usize::try_from(sent.due.as_secs()).unwrap_or(usize::MAX);
        let Some(second) = self.seconds.get_mut(at) else {
            return;
        };
        match sent.outcome {
            RequestOutcome::Good => second.good += 1,
            RequestOutcome::NotRun | RequestOutcome::Unclear => second.bad += 1,
        }
        second.slowest = second.slowest.max(sent.latency);
    }

    fn sum(&self, of: impl Fn(&Tally) -> u64) -> u64 {
        self.classes.iter().map(|(_, t)| of(t)).sum()
    }

    /// Returns the counts so far, for the progress bar.
    pub fn summary(&self) -> String {
        let (good, not_run, unclear) = (
            self.sum(|t| t.good),
            self.sum(|t| t.not_run),
            self.sum(|t| t.unclear),
        );
        format!("{good} good, {not_run} not run, {unclear} unclear")
    }

    fn table(&self) -> Table {
        let mut head = vec!["class", "good", "not run", "unclear", "resends"];
        head.extend(QUANTILES.map(|(name, _)| name));
        let mut head: Vec<_> = head.into_iter().map(ToOwned::to_owned).collect();
        head.push("longest, ms".to_owned());
        let rows = self.classes.iter().map(|(name, tally)| row(name, tally));
        Table {
            head,
            rows: rows.collect(),
        }
    }

    fn notes(&self) -> Vec<String> {
        vec![
            format!("parameters: {}", self.parameters),
            format!(
                "{} flows broke with a request in progress, {} did not open; {} arrivals were not sent because too many requests were in progress",
                self.flows_broken, self.flows_not_opened, self.not_sent
            ),
        ]
    }

    /// Returns the result as a page with charts.
    pub fn to_page(&self) -> Page {
        let chart = |title: &str, value: fn(&Second) -> Option<f64>| Chart {
            title: title.to_owned(),
            axis: "seconds since the start".to_owned(),
            points: (0_u32..)
                .zip(&self.seconds)
                .map(|(at, s)| (f64::from(at), value(s)))
                .collect(),
            shaded: Vec::new(),
        };
        let share = |s: &Second| {
            let total = f64::from(s.good) + f64::from(s.bad);
            (total > 0.0).then(|| 100.0 * f64::from(s.good) / total)
        };
        let slowest =
            |s: &Second| (s.good + s.bad > 0).then_some(s.slowest.as_secs_f64() * 1_000.0);
        Page {
            title: "Load run".to_owned(),
            summary: "Latencies in ms, from when a request was due until its answer was whole. Gaps are seconds \
                      in which no request was due."
                .to_owned(),
            sections: vec![Section {
                title: format!("run started at {} ms since the Unix epoch", self.started_at),
                notes: self.notes(),
                tables: vec![self.table()],
                charts: vec![
                    chart("requests a second", |s| Some(f64::from(s.good + s.bad))),
                    chart("good requests, %", share),
                    chart("longest latency, ms", slowest),
                ],
            }],
        }
    }
}

fn row(name: &str, tally: &Tally) -> Row {
    let ms = |value: Option<f64>| value.map_or_else(|| "-".to_owned(), |v| format!("{v:.1}"));
    let mut cells = vec![
        name.to_owned(),
        tally.good.to_string(),
        tally.not_run.to_string(),
        tally.unclear.to_string(),
        tally.resends.to_string(),
    ];
    cells.extend(QUANTILES.map(|(_, q)| ms(tally.quantile_ms(q))));
    cells.push(ms(tally.quantile_ms(1.0)));
    Row {
        cells,
        bad: tally.not_run + tally.unclear > 0,
    }
}

impl Outcome for LoadResult {
    /// Fails if a request did not have a good outcome, or a request or flow could not be started.
    fn exit_code(&self) -> u8 {
        let bad = self.sum(|t| t.not_run + t.unclear) + self.not_sent;
        if bad == 0 && self.flows_not_opened == 0 {
            0
        } else {
            EXIT_FAILED
        }
    }

    fn to_json(&self) -> Value {
        let class = |(name, tally): &(String, Tally)| {
            let latencies = QUANTILES.map(|(q, at)| (q.to_owned(), json!(tally.quantile_ms(at))));
            json!({
                "class": name,
                "good": tally.good,
                "not_run": tally.not_run,
                "unclear": tally.unclear,
                "resends": tally.resends,
                "latency_ms": serde_json::Map::from_iter(latencies),
            })
        };
        json!({
            "asked": self.parameters,
            "classes": self.classes.iter().map(class).collect::<Vec<_>>(),
            "flows_broken": self.flows_broken,
            "flows_not_opened": self.flows_not_opened,
            "not_sent": self.not_sent,
        })
    }
}

impl fmt::Display for LoadResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for note in self.notes() {
            writeln!(f, "{note}")?;
        }
        f.write_str(&self.table().to_text())
    }
}
