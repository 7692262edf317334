//! The distribution of open flows over the servers of a service, with bounded load and with plain rendezvous
//! hashing.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use dogwoodrill_core::config::PerMille;
use dogwoodrill_core::directory::Directory;
use dogwoodrill_core::flow::{FlowKey, PacketClass};
use dogwoodrill_core::flow_load::OpenFlowsReport;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet::{AgentNetwork, Disposition, LATER, ORDERS, directory, server, table};

pub const FLOWS: u32 = 14_000;
pub const SERVERS: u32 = 7;
pub const BALANCERS: u32 = 4;
/// Share above the fair share of open flows, in thousandths, that the profile allows.
pub const SLACK: PerMille = PerMille::new(50);
/// A thousand new flows per second.
const BETWEEN_FLOWS: Duration = Duration::from_millis(1);
const FRESH_FOR: Duration = Duration::from_hours(1);

/// The parameters of one run: when servers join, and how far the balancers' directories lag.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Servers that are present from the start; the others join one after another.
    pub at_start: u32,
    /// Flows opened between two joins.
    pub join_every: u32,
    /// Flows opened between the arrival of a join at one balancer and at the next.
    pub lag: u32,
    /// Flows opened between two rounds of reports among the agents; none for plain rendezvous.
    pub report_every: Option<u32>,
}

/// Open flows of each server at the end, and number of flows whose first packet took an extra hop.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub open: BTreeMap<u32, u32>,
    pub extra_hop: u32,
}

impl Outcome {
    pub fn max_over_mean(&self) -> f64 {
        let max = self.open.values().max().copied().unwrap_or_default();
        f64::from(max) * f64::from(SERVERS) / f64::from(FLOWS)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ratio = self.max_over_mean();
        write!(f, "{ratio:.3} {:>6}", self.extra_hop)
    }
}

/// The servers in a directory that is `lag` flows behind.
fn known(scenario: Scenario, opened: u32, lag: u32) -> Directory {
    let joined = opened.saturating_sub(lag) / scenario.join_every.max(1);
    let servers = SERVERS.min(scenario.at_start + joined);
    directory((1..=servers).map(|id| server(ORDERS, id)))
}

/// Opens all flows, each through a random balancer, and leaves them open.
pub fn run(scenario: Scenario, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut network = AgentNetwork::new(LATER);
    let mut outcome = Outcome::default();
    for id in 1..=SERVERS {
        network.start(id);
        network.agent(id).on_slack(SLACK);
        outcome.open.insert(id, 0);
    }
    let mut tables = Vec::new();
    for opened in 0..FLOWS {
        network.advance(BETWEEN_FLOWS);
        if opened % 100 == 0 {
            network.set_all_views(&known(scenario, opened, 0));
            let view = |n| table(&known(scenario, opened, n * scenario.lag));
            tables = (0..BALANCERS).map(view).collect();
        }
        if scenario.report_every.is_some_and(|n| opened % n == 0) {
            report(&mut network, &outcome);
        }
        let class = PacketClass::Opening(FlowKey::from_hash(rng.random()));
        let by = &tables[rng.random_range(0..tables.len())];
        let disposition = network.send_counted(by, class, |id| outcome.open[&id]);
        let Disposition::Accepted { by, hops } = disposition else {
            panic!("a flow was not opened: {disposition:?}");
        };
        *outcome.open.get_mut(&by).unwrap() += 1;
        outcome.extra_hop += u32::from(hops > 0);
    }
    outcome
}

fn report(network: &mut AgentNetwork, outcome: &Outcome) {
    let expires_at = network.now().instant + FRESH_FOR;
    for to in network.ids() {
        for (from, open_flows) in outcome.open.iter().filter(|(from, _)| **from != to) {
            network.agent(to).on_report(OpenFlowsReport {
                server: (*from).into(),
                open_flows: *open_flows,
                expires_at,
            });
        }
    }
}
