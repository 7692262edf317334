//! Which backend server gets a new flow.
//!
//! Two candidates are drawn and the one is taken that would be done earlier: reports are some tens of
//! milliseconds old, and balancers that all took the best server would flood it between two reports.
//! What this node has sent since a report counts on top of it.
//!
//! The node's own zone comes first as long as one of two servers drawn there has an idle slot: a server in another
//! zone could not begin sooner, and its flows would be lost to a cut between the zones.
//!
//! When a server would be done follows from its requests, its slots and the time that it takes for a
//! request, which its agent measures. So a server that turned slow gets fewer flows by itself.

use std::net::Ipv4Addr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::mesh::ReceivedReport;
use crate::ids::AvailabilityZone;

/// Time for a request at a server that has not been measured: that of quick checks and orders.
const USUAL_WORK: Duration = Duration::from_millis(15);
/// How much longer a server that has just started takes, while that is not measured.
const COLD_FACTOR: f64 = 1.6;
/// Share of a new measurement in the mean: about the last ten requests count.
pub(super) const NEWEST_SHARE: f64 = 0.1;
/// Flows without a request that weigh as much as a request: a flow that stays open asks about once a
/// second and is worked on for some 15 ms.
const FLOWS_PER_REQUEST: u32 = 50;

/// Flows of which one may go to a suspended server. Its agent takes what it needs as trials and passes the rest
/// on, so more would only be a detour.
const DRAWS_PER_TRIAL: u32 = 4;

/// A server that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its agent.
    pub agent: Ipv4Addr,
    /// What the agent said last.
    pub received: &'a ReceivedReport,
}

impl<'a> From<(Ipv4Addr, &'a ReceivedReport)> for Candidate<'a> {
    fn from((agent, received): (Ipv4Addr, &'a ReceivedReport)) -> Self {
        Self { agent, received }
    }
}

/// The time that a server takes for a request, as its agent measures it.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkTime {
    mean: Option<Duration>,
}

impl WorkTime {
    /// A request took that long; `running` requests, itself included, were at the server of `slots` when
    /// it came. One that may have waited says nothing of the work.
    pub fn on_done(&mut self, newest: Duration, running: u32, slots: u32) {
        if running > slots {
            return;
        }
        self.mean = Some(self.mean.map_or(newest, |mean| {
            mean.mul_f64(1.0 - NEWEST_SHARE) + newest.mul_f64(NEWEST_SHARE)
        }));
    }

    /// The mean, once there is one.
    pub const fn measured(self) -> Option<Duration> {
        self.mean
    }

    /// The mean, or what is usual.
    pub fn time(self) -> Duration {
        self.mean.unwrap_or(USUAL_WORK)
    }
}

/// When a request would be done at a server with `busy` others, each of which takes `work`.
pub fn completion(work: Duration, busy: u32, slots: u32) -> Duration {
    work + work.saturating_mul(busy) / slots.max(1)
}

/// When a request would be done at a server, as far as is known of it.
pub fn expected_completion(received: &ReceivedReport) -> Duration {
    let report = &received.report;
    let work = report.work.unwrap_or_else(|| {
        if report.is_cold {
            USUAL_WORK.mul_f64(COLD_FACTOR)
        } else {
            USUAL_WORK
        }
    });
    let idle_flows = work.saturating_mul(report.flows) / FLOWS_PER_REQUEST / report.slots.max(1);
    completion(work, report.busy + received.sent_since, report.slots) + idle_flows
}

/// Whether suspended servers get a flow now and then.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbePolicy {
    /// Only where all servers are suspended.
    OnlyIfAllSuspended,
    /// One in a few of the flows that drew one goes to it.
    Occasional,
}

/// Chooses among agents, by what they said last, for a node in `zone`.
pub fn choose_agent<'a, R: Rng>(
    rng: &mut R,
    open: impl Iterator<Item = (Ipv4Addr, &'a ReceivedReport)> + Clone,
    zone: &AvailabilityZone,
    probe_policy: ProbePolicy,
) -> Option<Candidate<'a>> {
    let candidates = open.map(Candidate::from);
    let is_suspended = |c: &Candidate<'_>| c.received.report.responses.is_suspended;
    let drawn = candidates.clone().choose_multiple(rng, 2);
    let suspended = drawn.iter().copied().find(is_suspended);
    if suspended.is_some()
        && probe_policy == ProbePolicy::Occasional
        && rng.random_ratio(1, DRAWS_PER_TRIAL)
    {
        return suspended;
    }
    let trusted = candidates.filter(|c| !is_suspended(c));
    let near = trusted.clone().filter(|c| c.received.report.zone == *zone);
    let near = soonest(near.choose_multiple(rng, 2));
    if near.is_some_and(|c| has_idle_slot(c.received)) {
        return near;
    }
    if suspended.is_none() {
        return soonest(drawn);
    }
    soonest(trusted.choose_multiple(rng, 2)).or_else(|| soonest(drawn))
}

fn soonest(drawn: Vec<Candidate<'_>>) -> Option<Candidate<'_>> {
    drawn
        .into_iter()
        .min_by_key(|c| expected_completion(c.received))
}

/// Whether a request that is sent now would be worked on at once, as far as is known.
const fn has_idle_slot(received: &ReceivedReport) -> bool {
    received.report.busy + received.sent_since < received.report.slots
}
