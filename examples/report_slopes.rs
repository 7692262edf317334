//! Measures the cost of a burn report: bytes from one agent, and the time to aggregate many agents.
//!
//! Run with `cargo run --release --example report_slopes`. docs/measures/report.md has the figures.

use std::collections::BTreeSet;
use std::error::Error;
use std::time::{Duration, Instant};

use dogwoodrill::ops::Outcome;
use dogwoodrill::ops::report::model::{BurnReport, ServiceBurn, window_lengths};
use dogwoodrill_core::config::{CommittedConfig, Profile, Service};
use dogwoodrill_core::ids::ServiceId;
use dogwoodrill_core::slo::{AgentMinutes, Minute, MinuteRing, RING_BYTES, RequestEnd};
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_wire::proto::report::MinutesResponse;
use prost::Message;

const SERVICE: ServiceId = ServiceId::new(1);
const NOW: UnixMillis = UnixMillis::new(1_764_000_000_000);
const MINUTE: Duration = Duration::from_mins(1);
/// Requests in each minute of an agent.
const REQUESTS: u32 = 600;
/// Numbers of minutes in the charts.
const CHART_MINUTES: [u64; 3] = [60, 360, 4_319];
/// Numbers of agents whose minutes are aggregated.
const AGENTS: [u32; 3] = [100, 1_000, 10_000];
/// Minutes in the charts while agents are aggregated.
const AGGREGATED_MINUTES: u64 = 360;

fn main() -> Result<(), Box<dyn Error>> {
    println!("memory of a full ring: {RING_BYTES} bytes");
    let ring = full_ring();
    for shown in CHART_MINUTES {
        let agent_minutes = MinutesResponse::from(&agent_minutes(&ring, 1, shown));
        println!(
            "one agent, {shown} minutes: {} bytes",
            agent_minutes.encoded_len()
        );
    }
    for agents in AGENTS {
        aggregate(&ring, agents)?;
    }
    Ok(())
}

fn minutes_ago(ago: u64) -> UnixMillis {
    let millis = u64::try_from(MINUTE.as_millis()).unwrap_or(u64::MAX);
    UnixMillis::new(NOW.get() - ago * millis)
}

fn full_ring() -> MinuteRing {
    let longest = CHART_MINUTES[2];
    let mut ring = MinuteRing::new(minutes_ago(longest));
    let (head, busy) = (Duration::from_millis(20), Duration::from_millis(90));
    for ago in (0..=longest).rev() {
        for _ in 0..REQUESTS {
            ring.on_request(minutes_ago(ago), RequestEnd::Answered(head), busy, MINUTE);
        }
    }
    ring
}

fn agent_minutes(ring: &MinuteRing, server: u32, shown: u64) -> AgentMinutes {
    let since = Minute::of(minutes_ago(shown));
    AgentMinutes {
        server: server.into(),
        service: SERVICE,
        zone: "las-piedras".parse().expect("the name is well formed"),
        windows: window_lengths()
            .iter()
            .map(|w| ring.window(NOW, *w))
            .collect(),
        minutes: ring.since(since).collect(),
    }
}

fn aggregate(ring: &MinuteRing, agents: u32) -> Result<(), Box<dyn Error>> {
    let agent_minutes: Vec<_> = (0..agents)
        .map(|n| agent_minutes(ring, n, AGGREGATED_MINUTES))
        .collect();
    let expected: BTreeSet<_> = (0..agents).map(Into::into).collect();
    let shown = Minute::of(minutes_ago(AGGREGATED_MINUTES))..Minute::of(NOW);
    let begun = Instant::now();
    let burn = ServiceBurn::new(
        &config()?,
        SERVICE,
        &expected,
        &agent_minutes,
        shown.clone(),
    );
    let report = BurnReport {
        made_at: NOW,
        since: shown.start,
        services: burn.into_iter().collect(),
    };
    let summed = begun.elapsed();
    let json = report.to_json().to_string().len();
    let html = report.to_page().to_html()?.len();
    println!(
        "{agents} agents, {AGGREGATED_MINUTES} minutes: added up in {summed:.1?}; JSON {json} bytes, page {html} bytes"
    );
    Ok(())
}

fn config() -> Result<CommittedConfig, Box<dyn Error>> {
    let profile = Profile::standard("orders".parse()?);
    let service = Service {
        id: SERVICE,
        name: "orders".parse()?,
        profile: profile.name.clone(),
        addresses: Vec::new(),
    };
    Ok(CommittedConfig {
        profiles: [(profile.name.clone(), profile)].into(),
        services: [(service.id, service)].into(),
        ..CommittedConfig::default()
    })
}
