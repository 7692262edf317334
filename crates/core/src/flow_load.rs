//! Open flows of the backend servers of one service, and whether one has more than its share.
//!
//! Rendezvous hashing gives each server its share of *keys*; the open flows differ from it by chance,
//! by age of the servers and by directories that differ between balancers. So a home with more than
//! (1+ε) of its share hands an opening flow to the first server in the flow's ranking that has
//! room (consistent hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam 2016). Figures come
//! from the peers themselves as [`OpenFlowsReport`]s and are used until their deadline. Between two
//! reports each hand-over is counted on to the peer's last figure, and so is what the other agents
//! can be expected to hand over meanwhile: otherwise all of them fill the same room at once.

use std::collections::HashMap;
use std::time::Instant;

use crate::config::PerMille;
use crate::ids::BackendServerId;
use crate::routing::Placement;

const WHOLE: u64 = 1000;

/// What a peer last said of its open flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OpenFlowsReport {
    /// The backend server beside the peer.
    pub server: BackendServerId,
    /// Flows that end at it.
    pub open_flows: u32,
    /// When the figure is too old to be used.
    pub expires_at: Instant,
}

/// Open flows of an agent and its peers.
#[derive(Clone, Debug, Default)]
pub struct FlowLoads {
    reports: HashMap<BackendServerId, OpenFlowsReport>,
}

/// Flows and weights of the servers whose figures are known, the basis of every share.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownLoad {
    flows: u64,
    weight: u64,
}

impl FlowLoads {
    /// Takes in a peer's figure.
    pub fn on_report(&mut self, report: OpenFlowsReport) {
        self.reports.insert(report.server, report);
    }

    /// Forgets figures past their deadline.
    pub fn expire(&mut self, now: Instant) {
        self.reports.retain(|_, r| r.expires_at > now);
    }

    /// Counts a flow that was handed over since the peer's last report, as many times as there are
    /// others who see the same room there and use it as well.
    pub fn on_handed_over(&mut self, now: Instant, to: BackendServerId) {
        let alike = self.reports.values().filter(|r| r.expires_at > now).count();
        let alike = u32::try_from(alike).unwrap_or(u32::MAX);
        if let Some(report) = self.reports.get_mut(&to) {
            report.open_flows = report.open_flows.saturating_add(alike);
        }
    }

    /// The open flows of a peer, if its figure is fresh.
    pub fn open_flows(&self, now: Instant, server: BackendServerId) -> Option<u32> {
        let report = self.reports.get(&server)?;
        (report.expires_at > now).then_some(report.open_flows)
    }

    /// The known load of the servers in `ranked`, where `own` has `own_flows`.
    pub fn known(
        &self,
        now: Instant,
        own: BackendServerId,
        own_flows: u32,
        ranked: &[Placement],
    ) -> KnownLoad {
        let mut known = KnownLoad::default();
        for p in ranked {
            let flows = if p.server == own {
                Some(own_flows)
            } else {
                self.open_flows(now, p.server)
            };
            if let Some(flows) = flows {
                known.flows += u64::from(flows);
                known.weight += u64::from(p.weight);
            }
        }
        known
    }

    /// The first server in `ranked` that has room for one more flow by its own figure; none when
    /// `own`, with `own_flows`, has room itself, or when nobody else has.
    pub fn hand_over_to<'a>(
        &self,
        now: Instant,
        own: BackendServerId,
        own_flows: u32,
        ranked: &'a [Placement],
        slack: PerMille,
    ) -> Option<&'a Placement> {
        let known = self.known(now, own, own_flows, ranked);
        let mine = ranked.iter().find(|p| p.server == own)?;
        if known.has_capacity(own_flows, mine.weight, slack) {
            return None;
        }
        ranked.iter().filter(|p| p.server != own).find(|p| {
            self.open_flows(now, p.server)
                .is_some_and(|flows| known.has_capacity(flows, p.weight, slack))
        })
    }
}

impl KnownLoad {
    /// Whether a server of `weight` with `flows` may open one more and stay within (1+ε) of its share
    /// of all known flows, the new one included; shares are rounded up to whole flows.
    pub fn has_capacity(self, flows: u32, weight: u16, slack: PerMille) -> bool {
        let allowed = (self.flows + 1) * u64::from(weight) * (WHOLE + u64::from(slack.get()));
        let limit = allowed.div_ceil(self.weight.max(1) * WHOLE);
        u64::from(flows) < limit
    }
}
