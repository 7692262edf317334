//! The burn report: sums over agents, gaps in the data, and the HTML page.

use std::collections::BTreeSet;

use dogwoodrill::ops::Outcome;
use dogwoodrill::ops::page::Chart;
use dogwoodrill::ops::report::model::{BurnReport, ServiceBurn, window_lengths};
use dogwoodrill_core::slo::{AgentMinutes, Minute, MinuteRing, RequestEnd};
use dogwoodrill_core::time::UnixMillis;
use insta::assert_snapshot;
use rstest::rstest;
use std::time::Duration;

use crate::support::{ORDERS, initial_config};

const NOW_MINUTE: u64 = 29_000_000;
const SHOWN_MINUTES: u64 = 20;

fn at(minutes_ago: u64) -> UnixMillis {
    UnixMillis::new((NOW_MINUTE - minutes_ago) * 60_000)
}

/// Returns the report of the agent of `server`, which has run for `run_minutes` minutes and served requests in each.
fn agent(server: u32, zone: &str, run_minutes: u64, bad: u32, zone_out: bool) -> AgentMinutes {
    let mut ring = MinuteRing::new(at(run_minutes));
    for ago in (0..=run_minutes).rev() {
        ring.on_tick(at(ago), zone_out && ago == 3);
        for n in 0..10 {
            let end = if n < bad {
                RequestEnd::Failed
            } else {
                RequestEnd::Answered(Duration::ZERO)
            };
            let busy = Duration::from_millis(u64::from(server));
            ring.on_request(at(ago), end, busy, Duration::from_secs(1));
        }
        if ago == 2 {
            ring.on_flow_broken(at(ago));
        }
    }
    AgentMinutes {
        server: server.into(),
        service: ORDERS.id,
        zone: zone.parse().unwrap(),
        windows: window_lengths()
            .iter()
            .map(|w| ring.window(at(0), *w))
            .collect(),
        minutes: ring.since(Minute::of(at(SHOWN_MINUTES))).collect(),
    }
}

fn report(reports: &[AgentMinutes]) -> BurnReport {
    let expected: BTreeSet<_> = [1, 2, 3].map(Into::into).into();
    let shown = Minute::of(at(SHOWN_MINUTES))..Minute::of(at(0));
    let burn = ServiceBurn::new(
        &initial_config(),
        ORDERS.id,
        &expected,
        reports,
        shown.clone(),
    );
    BurnReport {
        made_at: at(0),
        since: shown.start,
        services: vec![burn.unwrap()],
    }
}

#[test]
fn the_table_adds_up_agents_and_says_what_is_missing() {
    let reports = [
        agent(1, "gent", 5_000, 0, false),
        agent(2, "brugge", 30, 1, true),
    ];
    assert_snapshot!(report(&reports), @"
    orders: 99.9% of requests within 1s
    1 of 3 agents did not answer (server 3); what they count is missing
    the zone brugge was out in 1 of the minutes shown
    window   good  bad  broken flows  burn rate  alert from  known
    1 h       870   30             2      33.33        14.4    50%  !
    5 min      95    5             2      50.00        14.4    67%  !
    6 h      3870   30             2       7.69           6    36%  !
    30 min    570   30             2      50.00           6    67%  !
    3 d     43470   30             2       0.69           1    34%
    6 h      3870   30             2       7.69           1    36%
    ");
}

#[test]
fn an_unknown_minute_is_a_gap_not_a_zero() {
    let report = report(&[agent(2, "brugge", 4, 0, false)]);
    let minutes = &report.to_json()["services"][0]["minutes"];
    let minutes = minutes.as_array().unwrap();
    let servers: Vec<_> = minutes
        .iter()
        .map(|m| m["servers"].as_u64().unwrap())
        .collect();
    assert_eq!(servers.iter().filter(|s| **s == 0).count(), 16);
    assert_eq!(minutes[0]["good"], serde_json::Value::Null);
    assert_eq!(minutes[18]["good"], 10);
}

#[test]
fn imbalance_is_reported_per_minute() {
    let reports = [
        agent(1, "gent", 30, 0, false),
        agent(3, "gent", 30, 0, false),
    ];
    let json = report(&reports).to_json();
    assert_eq!(json["services"][0]["minutes"][5]["imbalance"], 1.5);
}

#[test]
fn the_page_is_whole_and_without_links() {
    let reports = [
        agent(1, "gent", 30, 0, true),
        agent(2, "brugge", 4, 10, false),
    ];
    let html = report(&reports).to_page().to_html().unwrap();
    assert_eq!(html.matches("<svg").count(), 5);
    assert!(
        html.contains("the zone gent was out in 1 of the minutes shown"),
        "{html}"
    );
    assert!(
        html.contains("1 of 3 agents did not answer (server 3)"),
        "{html}"
    );
    for link in ["src=", "href=", "@import", "<script"] {
        assert!(!html.contains(link), "the page has {link}");
    }
}

#[rstest]
#[case::whole(&[Some(1.0), Some(2.0), Some(1.0)], 1)]
#[case::one_gap(&[Some(1.0), None, Some(1.0)], 2)]
#[case::gaps_at_the_ends(&[None, Some(1.0), Some(3.0), None], 1)]
#[case::nothing_known(&[None, None], 0)]
fn a_line_breaks_at_gaps(#[case] values: &[Option<f64>], #[case] lines: usize) {
    let points = (0_u32..).map(f64::from).zip(values.iter().copied());
    let chart = Chart {
        title: "good & <fast>".to_owned(),
        points: points.collect(),
        ..Chart::default()
    };
    let svg = chart.to_svg().unwrap();
    let is_line = |l: &&str| l.starts_with("<polyline") && l.contains("#1450A0");
    assert_eq!(svg.lines().filter(is_line).count(), lines, "{svg}");
    assert!(!svg.contains("<fast>"), "{svg}");
}
