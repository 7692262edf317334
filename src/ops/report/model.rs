//! Data of a burn report, aggregated from the responses of the agents.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dogwoodrill_core::config::{CommittedConfig, PerMille};
use dogwoodrill_core::ids::{AvailabilityZone, BackendServerId, ServiceId, ServiceName};
use dogwoodrill_core::slo::{
    AgentMinutes, Minute, MinuteCounts, WINDOW_PAIRS, WindowCounts, WindowPair, imbalance,
};
use dogwoodrill_core::time::UnixMillis;

/// A burn report.
#[derive(Clone, Debug)]
pub struct BurnReport {
    /// Time at which the report was created.
    pub made_at: UnixMillis,
    /// First minute that the charts cover.
    pub since: Minute,
    /// The services, ordered by id.
    pub services: Vec<ServiceBurn>,
}

/// Burn rates and minutes of one service.
#[derive(Clone, Debug)]
pub struct ServiceBurn {
    /// Name of the service.
    pub name: ServiceName,
    /// Objective of the profile: minimum share of good requests.
    pub objective: PerMille,
    /// Maximum time to the response head of a good request.
    pub latency_objective: Duration,
    /// Number of backend servers whose agents responded.
    pub answered: usize,
    /// Backend servers whose agents did not respond; their counts are missing from the report.
    pub unanswered: Vec<BackendServerId>,
    /// Sums over the alerting window pairs.
    pub windows: Vec<PairBurn>,
    /// All minutes from [`BurnReport::since`] on, including those without data.
    pub minutes: Vec<MinuteBurn>,
    /// Zones that were out of service, with the minutes.
    pub zones_out: BTreeMap<AvailabilityZone, Vec<Minute>>,
}

/// Sums over one alerting window pair.
#[derive(Clone, Copy, Debug)]
pub struct PairBurn {
    /// The pair.
    pub pair: WindowPair,
    /// Sum over the long window.
    pub long: WindowCounts,
    /// Sum over the short window.
    pub short: WindowCounts,
}

/// One minute of a service.
#[derive(Clone, Copy, Debug)]
pub struct MinuteBurn {
    /// The minute.
    pub minute: Minute,
    /// Number of backend servers with data for the minute.
    pub servers: usize,
    /// Sum over these servers.
    pub counts: MinuteCounts,
    /// Largest busy time of a server divided by the mean; `None` if no server was busy.
    pub imbalance: Option<f64>,
}

/// Window lengths, in minutes, to request from agents: for each pair the long one, then the short one.
pub fn window_lengths() -> Vec<u32> {
    WINDOW_PAIRS
        .iter()
        .flat_map(|p| [p.long, p.short])
        .collect()
}

impl ServiceBurn {
    /// Aggregates the responses of a service's agents. `expected` are the servers in the directory. Returns
    /// `None` if the configuration lacks the service or its profile.
    pub fn new(
        config: &CommittedConfig,
        service: ServiceId,
        expected: &BTreeSet<BackendServerId>,
        responses: &[AgentMinutes],
        shown: std::ops::Range<Minute>,
    ) -> Option<Self> {
        let profile = config.profile_of(service)?;
        let responses: Vec<_> = responses.iter().filter(|t| t.service == service).collect();
        let answered: BTreeSet<_> = responses.iter().map(|t| t.server).collect();
        let unanswered: Vec<_> = expected.difference(&answered).copied().collect();
        Some(Self {
            name: config.services.get(&service)?.name.clone(),
            objective: profile.objective,
            latency_objective: profile.latency_objective,
            answered: answered.len(),
            windows: windows(&responses, unanswered.len()),
            unanswered,
            minutes: minutes(&responses, shown),
            zones_out: zones_out(&responses),
        })
    }
}

impl PairBurn {
    /// Whether the burn rates of both windows reach the pair's threshold.
    pub fn is_burning(&self, objective: PerMille) -> bool {
        let (long, short) = (
            self.long.burn_rate(objective),
            self.short.burn_rate(objective),
        );
        self.pair.is_burning(long, short)
    }
}

/// Sums the windows over the agents. Agents that did not respond count as windows without any known
/// minute, which lowers the coverage.
fn windows(responses: &[&AgentMinutes], unanswered: usize) -> Vec<PairBurn> {
    let sum = |at: usize, minutes: u32| {
        let unknown = WindowCounts {
            minutes,
            ..WindowCounts::default()
        };
        let unknown = std::iter::repeat_n(unknown, unanswered);
        let windows = responses.iter().filter_map(|t| t.windows.get(at).copied());
        windows
            .chain(unknown)
            .fold(WindowCounts::default(), |a, b| a + b)
    };
    let pairs = WINDOW_PAIRS.iter().enumerate();
    pairs
        .map(|(i, pair)| PairBurn {
            pair: *pair,
            long: sum(2 * i, pair.long),
            short: sum(2 * i + 1, pair.short),
        })
        .collect()
}

fn minutes(responses: &[&AgentMinutes], shown: std::ops::Range<Minute>) -> Vec<MinuteBurn> {
    let mut by_minute: BTreeMap<Minute, Vec<MinuteCounts>> = BTreeMap::new();
    for (minute, counts) in responses.iter().flat_map(|t| &t.minutes) {
        by_minute.entry(*minute).or_default().push(*counts);
    }
    let all = shown.start.get()..shown.end.get();
    all.map(|number| {
        let minute = Minute::new(number);
        let known = by_minute.get(&minute).map_or(&[][..], Vec::as_slice);
        let busy: Vec<_> = known.iter().map(|c| c.busy_millis.into()).collect();
        MinuteBurn {
            minute,
            servers: known.len(),
            counts: known.iter().fold(MinuteCounts::default(), |a, b| a + *b),
            imbalance: imbalance(&busy),
        }
    })
    .collect()
}

fn zones_out(responses: &[&AgentMinutes]) -> BTreeMap<AvailabilityZone, Vec<Minute>> {
    let mut zones: BTreeMap<AvailabilityZone, BTreeSet<Minute>> = BTreeMap::new();
    for agent in responses {
        let out = agent.minutes.iter().filter(|(_, c)| c.zone_out > 0);
        for (minute, _) in out {
            zones.entry(agent.zone.clone()).or_default().insert(*minute);
        }
    }
    let list = |(zone, minutes): (_, BTreeSet<_>)| (zone, minutes.into_iter().collect());
    zones.into_iter().map(list).collect()
}
