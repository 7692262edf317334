//! Bounded load: the open flows of the backend servers of one service, and which server has more than its
//! share.
//!
//! Rendezvous hashing gives each server its share of *keys*; the open flows differ from it by chance, by the
//! age of the servers and by differences between the balancers' directories. Therefore a home with more than
//! (1+ε) of its share hands an opening flow over to the first server in the flow's ranking that has capacity
//! (consistent hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam 2016). The counts come from the
//! peers as [`OpenFlowsReport`]s and are used until their deadline. Between two reports each hand-over is
//! added to the peer's last count, together with the hand-overs to be expected from the other agents
//! meanwhile: otherwise all agents would use the same free capacity at once.

use std::collections::HashMap;
use std::time::Instant;

use crate::config::PerMille;
use crate::ids::BackendServerId;
use crate::routing::Placement;

const WHOLE: u64 = 1000;

/// The last report of a peer about its open flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OpenFlowsReport {
    /// The backend server of the peer.
    pub server: BackendServerId,
    /// Number of flows that the peer terminates.
    pub open_flows: u32,
    /// The time from which the report is not used any more.
    pub expires_at: Instant,
}

/// Open flows of an agent and its peers.
#[derive(Clone, Debug, Default)]
pub struct FlowLoads {
    reports: HashMap<BackendServerId, OpenFlowsReport>,
}

/// Sums of the open flows and weights of the servers whose counts are known; shares are relative to these.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownLoad {
    flows: u64,
    weight: u64,
}

impl FlowLoads {
    /// Stores a peer's report.
    pub fn on_report(&mut self, report: OpenFlowsReport) {
        self.reports.insert(report.server, report);
    }

    /// Deletes reports past their deadline.
    pub fn expire(&mut self, now: Instant) {
        self.reports.retain(|_, r| r.expires_at > now);
    }

    /// Counts a flow that was handed over to a peer since its last report. It is counted once for every peer
    /// with a valid report, because these agents see the same free capacity and use it as well.
    pub fn on_handed_over(&mut self, now: Instant, to: BackendServerId) {
        let agents = self.reports.values().filter(|r| r.expires_at > now).count();
        let agents = u32::try_from(agents).unwrap_or(u32::MAX);
        if let Some(report) = self.reports.get_mut(&to) {
            report.open_flows = report.open_flows.saturating_add(agents);
        }
    }

    /// The open flows of a peer, if its report has not expired.
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

    /// The first server in `ranked` that has capacity for one more flow according to its report. None if
    /// `own`, with `own_flows`, has capacity itself, or if no other server has.
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
    /// Whether a server of `weight` with `flows` open flows may open one more and stay within (1+ε) of its
    /// share of all known flows, the new one included. Shares are rounded up to whole flows.
    pub fn has_capacity(self, flows: u32, weight: u16, slack: PerMille) -> bool {
        let allowed = (self.flows + 1) * u64::from(weight) * (WHOLE + u64::from(slack.get()));
        let limit = allowed.div_ceil(self.weight.max(1) * WHOLE);
        u64::from(flows) < limit
    }
}
