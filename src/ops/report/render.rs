//! Formats a burn report as text tables, JSON and an HTML page.

use std::fmt;
use std::ops::Range;

use dogwoodrill_core::config::PerMille;
use dogwoodrill_core::slo::{Minute, WindowCounts};
use serde_json::{Value, json};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use super::model::{BurnReport, MinuteBurn, PairBurn, ServiceBurn};
use crate::ops::Outcome;
use crate::ops::page::{Chart, Page, Row, Section, Table};
use crate::settings::scalar::{format_duration, format_share};

/// Minutes in an hour and in a day.
const HOUR: u32 = 60;
const DAY: u32 = 24 * HOUR;
/// Coverage from which a window is shown as fully known.
const FULL_COVERAGE: f64 = 0.999;

impl Outcome for BurnReport {
    fn to_json(&self) -> Value {
        let services: Vec<_> = self.services.iter().map(service_json).collect();
        json!({ "made_at": self.made_at.get(), "services": services })
    }
}

fn service_json(service: &ServiceBurn) -> Value {
    let objective = service.objective;
    let windows: Vec<_> = service
        .windows
        .iter()
        .map(|p| pair_json(p, objective))
        .collect();
    let minutes: Vec<_> = service.minutes.iter().map(minute_json).collect();
    let unanswered: Vec<_> = service.unanswered.iter().map(|s| s.get()).collect();
    let minutes_of = |m: &[Minute]| m.iter().map(|m| m.get()).collect::<Vec<_>>();
    let zones = service.zones_out.iter();
    let zones: serde_json::Map<_, _> = zones
        .map(|(zone, minutes)| (zone.to_string(), json!(minutes_of(minutes))))
        .collect();
    json!({
        "service": service.name.as_str(),
        "objective": f64::from(objective.get()) / 1_000.0,
        "latency_objective": format_duration(service.latency_objective),
        "servers_answered": service.answered,
        "servers_unanswered": unanswered,
        "windows": windows,
        "zones_out": zones,
        "minutes": minutes,
    })
}

fn pair_json(pair: &PairBurn, objective: PerMille) -> Value {
    json!({
        "threshold": pair.pair.threshold,
        "burning": pair.is_burning(objective),
        "long": window_json(&pair.long, pair.pair.long, objective),
        "short": window_json(&pair.short, pair.pair.short, objective),
    })
}

fn window_json(window: &WindowCounts, minutes: u32, objective: PerMille) -> Value {
    json!({
        "minutes": minutes,
        "good": window.good,
        "bad": window.bad,
        "flows_broken": window.flows_broken,
        "burn_rate": window.burn_rate(objective),
        "coverage": window.coverage(),
    })
}

/// Returns one minute as JSON. A minute without data has no counts.
fn minute_json(minute: &MinuteBurn) -> Value {
    let number = minute.minute.get();
    if minute.servers == 0 {
        return json!({ "minute": number, "servers": 0 });
    }
    json!({
        "minute": number,
        "servers": minute.servers,
        "good": minute.counts.good,
        "bad": minute.counts.bad,
        "flows_opened": minute.counts.flows_opened,
        "flows_broken": minute.counts.flows_broken,
        "imbalance": minute.imbalance,
    })
}

impl fmt::Display for BurnReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for service in &self.services {
            writeln!(f, "{}", heading(service))?;
            for note in notes(service) {
                writeln!(f, "{note}")?;
            }
            writeln!(f, "{}", windows_table(service).to_text())?;
        }
        Ok(())
    }
}

fn heading(service: &ServiceBurn) -> String {
    format!(
        "{}: {} of requests within {}",
        service.name,
        format_share(service.objective),
        format_duration(service.latency_objective)
    )
}

fn notes(service: &ServiceBurn) -> Vec<String> {
    let mut notes = Vec::new();
    if !service.unanswered.is_empty() {
        let servers: Vec<_> = service.unanswered.iter().map(ToString::to_string).collect();
        let (count, all) = (servers.len(), servers.len() + service.answered);
        let servers = servers.join(", ");
        notes.push(format!(
            "{count} of {all} agents did not answer (server {servers}); what they count is missing"
        ));
    }
    for (zone, minutes) in &service.zones_out {
        let count = minutes.len();
        notes.push(format!(
            "the zone {zone} was out in {count} of the minutes shown"
        ));
    }
    notes
}

fn windows_table(service: &ServiceBurn) -> Table {
    let head = [
        "window",
        "good",
        "bad",
        "broken flows",
        "burn rate",
        "alert from",
        "known",
    ];
    let rows = service.windows.iter().flat_map(|pair| {
        let bad = pair.is_burning(service.objective);
        let row = |minutes, window| {
            window_row(minutes, window, pair.pair.threshold, service.objective, bad)
        };
        [
            row(pair.pair.long, &pair.long),
            row(pair.pair.short, &pair.short),
        ]
    });
    Table {
        head: head.map(ToOwned::to_owned).to_vec(),
        rows: rows.collect(),
    }
}

fn window_row(
    minutes: u32,
    window: &WindowCounts,
    threshold: f64,
    objective: PerMille,
    bad: bool,
) -> Row {
    let rate = window.burn_rate(objective);
    let coverage = window.coverage();
    let known = if coverage >= FULL_COVERAGE {
        "all".to_owned()
    } else {
        format!("{:.0}%", coverage * 100.0)
    };
    let cells = [
        window_name(minutes),
        window.good.to_string(),
        window.bad.to_string(),
        window.flows_broken.to_string(),
        rate.map_or_else(|| "-".to_owned(), |r| format!("{r:.2}")),
        format!("{threshold}"),
        known,
    ];
    Row {
        cells: cells.to_vec(),
        bad,
    }
}

fn window_name(minutes: u32) -> String {
    if minutes.is_multiple_of(DAY) {
        format!("{} d", minutes / DAY)
    } else if minutes.is_multiple_of(HOUR) {
        format!("{} h", minutes / HOUR)
    } else {
        format!("{minutes} min")
    }
}

impl BurnReport {
    /// Returns the report as a page with charts.
    pub fn to_page(&self) -> Page {
        let made_at = time_of(self.made_at.get() / 1_000);
        Page {
            title: "Burn of error budgets".to_owned(),
            summary: format!(
                "Created at {made_at}. A burn rate of 1 spends the budget exactly; a pair of windows in red burns at \
                 its alert rate. Gaps in a line are minutes without data from any agent; shaded minutes are those in which \
                 a zone was out."
            ),
            sections: self.services.iter().map(|s| self.section(s)).collect(),
        }
    }

    fn section(&self, service: &ServiceBurn) -> Section {
        let good = |m: &MinuteBurn| {
            let total = f64::from(m.counts.good) + f64::from(m.counts.bad);
            (total > 0.0).then(|| 100.0 * f64::from(m.counts.good) / total)
        };
        let known = |m: &MinuteBurn, value: u32| (m.servers > 0).then(|| f64::from(value));
        Section {
            title: heading(service),
            notes: notes(service),
            tables: vec![windows_table(service)],
            charts: vec![
                self.chart(service, "requests a minute", |m| {
                    known(m, m.counts.good + m.counts.bad)
                }),
                self.chart(service, "good requests, %", good),
                self.chart(service, "broken flows a minute", |m| {
                    known(m, m.counts.flows_broken)
                }),
                self.chart(
                    service,
                    "imbalance: busiest backend server over the mean",
                    |m| m.imbalance,
                ),
                self.chart(service, "backend servers that report", |m| {
                    u32::try_from(m.servers).ok().map(f64::from)
                }),
            ],
        }
    }

    fn chart(
        &self,
        service: &ServiceBurn,
        title: &str,
        value: impl Fn(&MinuteBurn) -> Option<f64>,
    ) -> Chart {
        let minutes = service.minutes.iter();
        Chart {
            title: format!("{}: {title}", service.name),
            axis: format!("minutes since {}", time_of(self.since.get() * 60)),
            points: minutes
                .map(|m| (self.position(m.minute), value(m)))
                .collect(),
            shaded: self.shaded(service),
        }
    }

    fn position(&self, minute: Minute) -> f64 {
        let after = minute.get().saturating_sub(self.since.get());
        f64::from(u32::try_from(after).unwrap_or(u32::MAX))
    }

    fn shaded(&self, service: &ServiceBurn) -> Vec<Range<f64>> {
        let out = service.zones_out.values().flatten();
        out.map(|m| self.position(*m) - 0.5..self.position(*m) + 0.5)
            .collect()
    }
}

/// Formats a point in time as RFC 3339 text.
fn time_of(unix_seconds: u64) -> String {
    let seconds = i64::try_from(unix_seconds).unwrap_or(i64::MAX);
    let time = OffsetDateTime::from_unix_timestamp(seconds).ok();
    let text = time.and_then(|t| t.format(&Rfc3339).ok());
    text.unwrap_or_else(|| "an unknown time".to_owned())
}
