//! Chooses the backend server of a new flow.
//!
//! The choice is the better of two random candidates, by expected completion time. Reports are older than a server
//! needs for a request, and all balancers choose by the same ones, so balancers that took them literally would
//! overload servers in turns. A [`LoadEstimator`] therefore deducts what a server has probably completed since its
//! report, and assumes that the other balancers have sent it as many flows since as this one.
//!
//! Servers in the node's own zone come first as long as one of two candidates there has an idle slot: a
//! server in another zone could not start sooner, and its flows would be lost in a partition between the
//! zones.
//!
//! The expected completion time follows from a server's requests, its slots and its service time, which its
//! agent measures. So a server that becomes slow automatically gets fewer flows.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IteratorRandom;

use super::report::{FlowRequestRate, ReceivedReport, ServerReport};
use super::work_time;
use crate::ids::AvailabilityZone;

/// Number of flows that count as one request where the rate of requests on them is not known. An agent of an earlier
/// version also counts flows that have ended.
const FLOWS_PER_REQUEST: u32 = 50;
/// Largest share of a server's capacity that the requests of its open flows count for.
const MAX_FLOW_SHARE: f64 = 0.95;

/// Ratio of service times below which servers count as equally fast. The means of servers that are alike differ by some
/// 6%; if that decided between two idle ones, those with the smallest means would get most of the flows.
const SAME_WORK: f64 = 1.25;

/// One in this many flows that drew a suspended server goes to it. Its agent uses the flows that it needs as
/// probes and redirects the others, so a larger share would only cause extra hops.
const DRAWS_PER_PROBE: u32 = 4;

/// A server that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Address of the server's agent.
    pub agent: Ipv4Addr,
    /// The last report of the agent.
    pub received: &'a ReceivedReport,
}

impl<'a> From<(Ipv4Addr, &'a ReceivedReport)> for Candidate<'a> {
    fn from((agent, received): (Ipv4Addr, &'a ReceivedReport)) -> Self {
        Self { agent, received }
    }
}

/// Expected completion time of a request at a server with `busy` other requests, each with a service time of
/// `work`.
pub fn completion(work: Duration, busy: u32, slots: u32) -> Duration {
    work.saturating_add(work.saturating_mul(busy) / slots.max(1))
}

/// Estimates the load of servers at one moment from the last reports of their agents.
#[derive(Clone, Copy, Debug)]
pub struct LoadEstimator {
    now: Instant,
    placing_nodes: u32,
}

impl LoadEstimator {
    /// Creates an estimator for one of `placing_nodes` nodes that place openings.
    pub const fn new(now: Instant, placing_nodes: u32) -> Self {
        Self { now, placing_nodes }
    }

    /// Expected number of requests at the server or queued at its agent.
    pub fn busy(&self, received: &ReceivedReport) -> u32 {
        let report = &received.report;
        let age = self.now.saturating_duration_since(received.received_at);
        // Requests that a server does not complete are still there, and the slots that they occupy are not used.
        let stalled = report.stalled.min(report.busy);
        let slots = report.slots.max(1).saturating_sub(stalled);
        let completed = report.work.map_or(0, |work| {
            age.as_micros() * u128::from(slots) / work.as_micros().max(1)
        });
        let completed = u32::try_from(completed).unwrap_or(u32::MAX);
        let sent = received.sent_since.saturating_mul(self.placing_nodes);
        (report.busy - stalled)
            .saturating_sub(completed)
            .saturating_add(stalled)
            .saturating_add(sent)
    }

    /// Expected completion time of a request at the server.
    pub fn completion(&self, received: &ReceivedReport) -> Duration {
        self.completion_with(received, expected_work(&received.report))
    }

    fn completion_with(&self, received: &ReceivedReport, work: Duration) -> Duration {
        let report = &received.report;
        let flows = match report.flow_request_rate {
            Some(_) => 0,
            None => report.flows / FLOWS_PER_REQUEST,
        };
        let busy = self.busy(received).saturating_add(flows);
        let completion = completion(work, busy, report.slots);
        let left = 1.0 - flow_share(work, report);
        Duration::try_from_secs_f64(completion.as_secs_f64() / left).unwrap_or(Duration::MAX)
    }

    /// Whether a request sent now is expected to be processed at once.
    fn has_idle_slot(&self, received: &ReceivedReport) -> bool {
        self.busy(received) < received.report.slots
    }

    /// Whether the last report showed an idle slot that this node has not used since.
    pub(super) fn had_idle_slot(&self, received: &ReceivedReport) -> bool {
        let sent = received.sent_since.saturating_mul(self.placing_nodes);
        received.report.busy.saturating_add(sent) < received.report.slots
    }

    fn earliest_completion<'a>(&self, drawn: Vec<Candidate<'a>>) -> Option<Candidate<'a>> {
        let work = |c: &Candidate<'_>| expected_work(&c.received.report);
        let shortest = drawn.iter().map(work).min()?;
        let limit = shortest.mul_f64(SAME_WORK);
        let completion = |c: &Candidate<'_>| {
            let work = if work(c) < limit { shortest } else { work(c) };
            self.completion_with(c.received, work)
        };
        drawn.into_iter().min_by_key(completion)
    }
}

fn expected_work(report: &ServerReport) -> Duration {
    work_time::or_default(report.work, report.is_cold)
}

/// Share of a server's capacity that the requests of its open flows are expected to take; 0 if not measured.
fn flow_share(work: Duration, report: &ServerReport) -> f64 {
    let rate = report
        .flow_request_rate
        .map_or(0.0, FlowRequestRate::per_second);
    let requests = f64::from(report.flows) * rate;
    let share = requests * work.as_secs_f64() / f64::from(report.slots.max(1));
    share.min(MAX_FLOW_SHARE)
}

/// Whether suspended servers get flows as probes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbePolicy {
    /// Suspended servers get flows only if all servers are suspended.
    OnlyIfAllSuspended,
    /// One in `DRAWS_PER_PROBE` of the flows that drew a suspended server goes to it.
    Occasional,
}

/// Chooses an agent for a node in `zone` from the agents' last reports.
pub fn choose_agent<'a, R: Rng>(
    rng: &mut R,
    load: LoadEstimator,
    candidates: impl Iterator<Item = (Ipv4Addr, &'a ReceivedReport)> + Clone,
    zone: &AvailabilityZone,
    probe_policy: ProbePolicy,
) -> Option<Candidate<'a>> {
    let candidates = candidates.map(Candidate::from);
    let is_suspended = |c: &Candidate<'_>| c.received.report.responses.is_suspended;
    let drawn = candidates.clone().choose_multiple(rng, 2);
    let suspended = drawn.iter().copied().find(is_suspended);
    if suspended.is_some()
        && probe_policy == ProbePolicy::Occasional
        && rng.random_ratio(1, DRAWS_PER_PROBE)
    {
        return suspended;
    }
    let not_suspended = candidates.filter(|c| !is_suspended(c));
    let local = not_suspended
        .clone()
        .filter(|c| c.received.report.zone == *zone);
    let local = load.earliest_completion(local.choose_multiple(rng, 2));
    if local.is_some_and(|c| load.has_idle_slot(c.received)) {
        return local;
    }
    if suspended.is_none() {
        return load.earliest_completion(drawn);
    }
    load.earliest_completion(not_suspended.choose_multiple(rng, 2))
        .or_else(|| load.earliest_completion(drawn))
}
