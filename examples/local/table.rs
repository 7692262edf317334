//! The table of results and the verdict.

use std::collections::BTreeMap;
use std::fmt;

use dogwoodrill_testkit::slotted_server::OrderAttempt;

use crate::cluster::{ORDERS, ServerCounters};
use crate::tally::{BreakCause, Counts, Tally};
use crate::timeline::Measurements;

/// Results of a run.
#[derive(Debug)]
pub struct Outcome {
    rows: Vec<Row>,
    failures: Vec<&'static str>,
    notes: Vec<String>,
}

#[derive(Debug)]
struct Row {
    name: String,
    value: String,
}

/// Number of runs of each order attempt, over all servers.
struct Runs(BTreeMap<OrderAttempt, u64>);

impl Runs {
    fn of(counters: &[ServerCounters]) -> Self {
        let mut runs = BTreeMap::new();
        for server in counters {
            for (order, count) in &server.counters.runs {
                *runs.entry(order.clone()).or_default() += count;
            }
        }
        Self(runs)
    }

    fn by_key(&self) -> BTreeMap<&str, u64> {
        let mut by_key = BTreeMap::new();
        for (order, count) in &self.0 {
            *by_key.entry(order.key.as_str()).or_default() += count;
        }
        by_key
    }
}

impl Outcome {
    /// Computes the results from the counts of callers and servers.
    pub fn new(tally: &Tally, counters: &[ServerCounters], measured: Measurements) -> Self {
        let counts = tally.counts();
        let mut outcome = Self {
            rows: Vec::new(),
            failures: Vec::new(),
            notes: counts.notes.clone(),
        };
        outcome.flows(&counts);
        outcome.orders(&counts, &Runs::of(counters));
        outcome.sheets(&counts);
        outcome.servers(&counts, counters);
        outcome.events(measured);
        outcome.latencies(&counts);
        outcome
    }

    /// Returns whether all checks passed.
    pub const fn is_ok(&self) -> bool {
        self.failures.is_empty()
    }

    fn flows(&mut self, counts: &Counts) {
        self.row("flows opened", counts.flows_opened);
        self.row("flows refused", counts.flows_refused);
        for cause in [
            BreakCause::ZoneOut,
            BreakCause::ServerRestarted,
            BreakCause::Unexplained,
        ] {
            let broken = counts.broken.get(&cause).copied().unwrap_or_default();
            self.row(&format!("flows broken: {cause}"), broken);
            if !cause.is_allowed() {
                self.must_be_zero("broken flows", broken);
            }
        }
    }

    fn orders(&mut self, counts: &Counts, runs: &Runs) {
        let by_key = runs.by_key();
        let doubled = by_key.values().filter(|runs| **runs > 1).count();
        let has_run = |key: &&String| by_key.contains_key(key.as_str());
        let confirmed_unrun = counts
            .orders_confirmed
            .iter()
            .filter(|k| !has_run(k))
            .count();
        let unconfirmed = counts
            .orders_sent
            .difference(&counts.orders_confirmed)
            .count();
        let false_refusals = counts
            .refused_as_not_run
            .iter()
            .filter(|a| runs.0.contains_key(a))
            .count();
        self.row("orders sent", counts.orders_sent.len());
        self.row("orders run", by_key.len());
        self.checked("orders doubled", doubled);
        self.checked("orders lost: confirmed, not run", confirmed_unrun);
        self.checked("orders lost: never confirmed", unconfirmed);
        self.checked("false refusals", false_refusals);
        self.row("refusals: not run", counts.not_run_answers);
        self.row("refusals: may have run", counts.may_have_run_answers);
    }

    fn sheets(&mut self, counts: &Counts) {
        self.row("sheets whole", counts.sheets_whole);
        self.checked("sheets short", counts.sheets_short);
        self.row("sheets failed", counts.sheets_failed);
    }

    fn servers(&mut self, counts: &Counts, counters: &[ServerCounters]) {
        let crossings: u64 = counters.iter().map(|s| s.counters.misrouted).sum();
        self.checked("crossings between services", crossings);
        let cold_overload =
            |s: &&ServerCounters| s.counters.max_while_cold > u64::from(s.options.slots);
        self.checked(
            "cold servers overloaded",
            counters.iter().filter(cold_overload).count(),
        );
        let steady = |s: &&ServerCounters| {
            let id = s.options.id.to_string();
            let changed = [
                &counts.servers_in_removed_zone,
                &counts.restarted_servers,
                &counts.drained_servers,
            ];
            s.options.service == ORDERS.name && !changed.iter().any(|set| set.contains(&id))
        };
        let steady: Vec<_> = counters.iter().filter(steady).collect();
        let requests = steady.iter().map(|s| s.counters.requests);
        self.row(
            "max/mean of requests, steady order servers",
            Ratio::of(requests),
        );
        for s in counters {
            let line = format!(
                "{} requests, most while cold {}",
                s.counters.requests, s.counters.max_while_cold
            );
            self.row(
                &format!("{} server {}", s.options.service, s.options.id),
                line,
            );
        }
    }

    fn events(&mut self, measured: Measurements) {
        self.checked(
            "packets to the removed zone after 3 s",
            measured.packets_to_removed_zone,
        );
        self.checked(
            "requests to the drained server after 3 s",
            measured.requests_to_drained_server,
        );
    }

    fn latencies(&mut self, counts: &Counts) {
        for (class, histogram) in &counts.latencies {
            let p50 = Millis::from_micros(histogram.value_at_quantile(0.50));
            let p99 = Millis::from_micros(histogram.value_at_quantile(0.99));
            self.row(&format!("{class} latency"), format!("p50 {p50}, p99 {p99}"));
        }
    }

    fn row(&mut self, name: &str, value: impl fmt::Display) {
        self.rows.push(Row {
            name: name.to_owned(),
            value: value.to_string(),
        });
    }

    /// Adds a row whose value must be zero.
    fn checked<T>(&mut self, name: &'static str, value: T)
    where
        T: Copy + fmt::Display + PartialEq + Default,
    {
        self.row(name, value);
        self.must_be_zero(name, value);
    }

    fn must_be_zero<T: Copy + PartialEq + Default>(&mut self, name: &'static str, value: T) {
        if value != T::default() {
            self.failures.push(name);
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const NOTES_SHOWN: usize = 10;
        let width = self
            .rows
            .iter()
            .map(|r| r.name.len())
            .max()
            .unwrap_or_default();
        for Row { name, value } in &self.rows {
            writeln!(f, "{name:<width$}  {value}")?;
        }
        for note in self.notes.iter().take(NOTES_SHOWN) {
            writeln!(f, "note: {note}")?;
        }
        if self.is_ok() {
            return f.write_str("verdict: ok");
        }
        write!(f, "verdict: failed ({})", self.failures.join(", "))
    }
}

/// Ratio of the largest count to the mean.
struct Ratio(f64);

impl Ratio {
    #[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^52")]
    fn of(counts: impl Iterator<Item = u64> + Clone) -> Self {
        let max = counts.clone().max().unwrap_or_default() as f64;
        let len = counts.clone().count() as f64;
        let sum = counts.sum::<u64>() as f64;
        Self(max * len / sum)
    }
}

impl fmt::Display for Ratio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

/// Milliseconds, for display.
struct Millis(f64);

impl Millis {
    #[expect(
        clippy::cast_precision_loss,
        reason = "latencies are far below 2^52 microseconds"
    )]
    const fn from_micros(micros: u64) -> Self {
        const MICROS_PER_MILLI: f64 = 1_000.0;
        Self(micros as f64 / MICROS_PER_MILLI)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} ms", self.0)
    }
}
