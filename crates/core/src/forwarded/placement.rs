//! Chooses the backend server of a new flow.
//!
//! The choice is the better of two random candidates, by expected completion time. Reports are some tens of
//! milliseconds old, so balancers that all chose the best server would overload it between two reports. Flows
//! that this node has sent since a report are added to it.
//!
//! Servers in the node's own zone come first as long as one of two candidates there has an idle slot: a
//! server in another zone could not start sooner, and its flows would be lost in a partition between the
//! zones.
//!
//! The expected completion time follows from a server's requests, its slots and its service time, which its
//! agent measures. So a server that becomes slow automatically gets fewer flows.

use std::net::Ipv4Addr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::report::ReceivedReport;
use super::work_time;
use crate::ids::AvailabilityZone;

/// Number of flows without a running request that count as one request. An open flow sends about one request
/// per second, each with a service time of about 15 ms.
const FLOWS_PER_REQUEST: u32 = 50;

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

/// Expected completion time of a request at a server, according to its last report.
pub fn expected_completion(received: &ReceivedReport) -> Duration {
    let report = &received.report;
    let work = work_time::or_default(report.work, report.is_cold);
    let idle_flows = work.saturating_mul(report.flows) / FLOWS_PER_REQUEST / report.slots.max(1);
    completion(work, received.expected_busy(), report.slots).saturating_add(idle_flows)
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
    let local = earliest_completion(local.choose_multiple(rng, 2));
    if local.is_some_and(|c| has_idle_slot(c.received)) {
        return local;
    }
    if suspended.is_none() {
        return earliest_completion(drawn);
    }
    earliest_completion(not_suspended.choose_multiple(rng, 2))
        .or_else(|| earliest_completion(drawn))
}

fn earliest_completion(drawn: Vec<Candidate<'_>>) -> Option<Candidate<'_>> {
    drawn
        .into_iter()
        .min_by_key(|c| expected_completion(c.received))
}

/// Whether a request sent now is expected to be processed at once.
const fn has_idle_slot(received: &ReceivedReport) -> bool {
    received.expected_busy() < received.report.slots
}
