//! The numbers of a burn report, added up from what the agents told.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dogwoodrill_core::config::{CommittedConfig, PerMille};
use dogwoodrill_core::ids::{AvailabilityZone, BackendServerId, ServiceId, ServiceName};
use dogwoodrill_core::slo::{
    AgentMinutes, Minute, MinuteCounts, WINDOW_PAIRS, WindowCounts, WindowPair, imbalance,
};
use dogwoodrill_core::time::UnixMillis;

/// The report.
#[derive(Clone, Debug)]
pub struct BurnReport {
    /// When it was made.
    pub made_at: UnixMillis,
    /// First minute that the charts show.
    pub since: Minute,
    /// Each service in order of its number.
    pub services: Vec<ServiceBurn>,
}

/// The part of one service.
#[derive(Clone, Debug)]
pub struct ServiceBurn {
    /// The service.
    pub name: ServiceName,
    /// Share of good requests that its profile promises.
    pub objective: PerMille,
    /// Time within which the head of a good answer comes.
    pub latency_objective: Duration,
    /// Backend servers whose agents answered.
    pub answered: usize,
    /// Backend servers whose agents did not; what they count is missing.
    pub unanswered: Vec<BackendServerId>,
    /// The pairs of windows.
    pub windows: Vec<PairBurn>,
    /// Each minute from [`BurnReport::since`] on, known or not.
    pub minutes: Vec<MinuteBurn>,
    /// Zones that were out in some minute.
    pub zones_out: BTreeMap<AvailabilityZone, Vec<Minute>>,
}

/// One pair of windows.
#[derive(Clone, Copy, Debug)]
pub struct PairBurn {
    /// The pair.
    pub pair: WindowPair,
    /// Sum of the long window.
    pub long: WindowCounts,
    /// Sum of the short window.
    pub short: WindowCounts,
}

/// One minute of a service.
#[derive(Clone, Copy, Debug)]
pub struct MinuteBurn {
    /// The minute.
    pub minute: Minute,
    /// Backend servers that know the minute.
    pub servers: usize,
    /// The sum over them.
    pub counts: MinuteCounts,
    /// Largest time in progress of a server over the mean; none where nothing was in progress.
    pub imbalance: Option<f64>,
}

/// Lengths of the windows to ask agents for: of each pair the long one, then the short one.
pub fn window_lengths() -> Vec<u32> {
    WINDOW_PAIRS
        .iter()
        .flat_map(|p| [p.long, p.short])
        .collect()
}

impl ServiceBurn {
    /// Adds up what the agents of a service told; `expected` are the servers that the directory has.
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
    /// Whether both windows burn at the pair's threshold.
    pub fn is_burning(&self, objective: PerMille) -> bool {
        let (long, short) = (
            self.long.burn_rate(objective),
            self.short.burn_rate(objective),
        );
        self.pair.is_burning(long, short)
    }
}

/// Sums over the agents; those that did not answer count as having lived through nothing.
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
