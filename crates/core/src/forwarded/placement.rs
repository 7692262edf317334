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

use derive_more::{Add, AddAssign, Display, From, Into, Mul};
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

use super::report::ReceivedReport;
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
        let expected = self.expected(received);
        expected.completion(expected.work)
    }

    fn expected(&self, received: &ReceivedReport) -> ExpectedLoad {
        let report = &received.report;
        let (flows, flow_requests) = match report.flow_request_rate {
            Some(rate) => (0, f64::from(report.flows) * rate.per_second()),
            None => (report.flows / FLOWS_PER_REQUEST, 0.0),
        };
        ExpectedLoad {
            work: work_time::or_unit(report.work),
            busy: self.busy(received).saturating_add(flows),
            slots: report.slots,
            is_cold: report.is_cold,
            flow_requests,
        }
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

    /// Returns the drawn candidate with the earliest completion; of equal ones, the first.
    fn earliest_completion<'a>(&self, drawn: Vec<Candidate<'a>>) -> Option<Candidate<'a>> {
        drawn.into_iter().reduce(|best, next| {
            let is_earlier = self
                .expected(next.received)
                .is_earlier_than(&self.expected(best.received));
            if is_earlier { next } else { best }
        })
    }
}

/// Expected load of a server.
#[derive(Clone, Copy, Debug)]
struct ExpectedLoad {
    work: Duration,
    busy: u32,
    slots: u32,
    /// Requests a second on the server's open flows; 0 if not measured.
    flow_requests: f64,
    /// Whether the server has just started.
    is_cold: bool,
}

impl ExpectedLoad {
    /// Expected completion time of a request with a service time of `work`.
    fn completion(&self, work: Duration) -> Duration {
        let completion = completion(work, self.busy, self.slots).as_secs_f64();
        let flow_share = self.flow_requests * work.as_secs_f64() / f64::from(self.slots.max(1));
        let left = 1.0 - flow_share.min(MAX_FLOW_SHARE);
        Duration::try_from_secs_f64(completion / left).unwrap_or(Duration::MAX)
    }

    /// Whether a request completes earlier at this server than at the other.
    fn is_earlier_than(&self, other: &Self) -> bool {
        let shortest = self.work.min(other.work);
        let limit = shortest.mul_f64(SAME_WORK);
        let completion = |load: &Self| {
            let work = if load.work < limit {
                shortest
            } else {
                load.work
            };
            load.completion(work)
        };
        // Of equal ones, a server that has just started is the slower one, even if none of the service is measured.
        (completion(self), self.is_cold) < (completion(other), other.is_cold)
    }
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
    let drawn = draw_two(rng, candidates.clone());
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
    let local = load.earliest_completion(draw_two(rng, local));
    if local.is_some_and(|c| load.has_idle_slot(c.received)) {
        return local;
    }
    if suspended.is_none() {
        return load.earliest_completion(drawn);
    }
    load.earliest_completion(draw_two(rng, not_suspended))
        .or_else(|| load.earliest_completion(drawn))
}

/// Draws two candidates in random order. [`IteratorRandom::choose_multiple`] alone draws them in an order that depends on
/// their position, which is the same at all nodes: the first of equal servers would get the flows of all of them.
fn draw_two<'a, R: Rng>(
    rng: &mut R,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Vec<Candidate<'a>> {
    let mut drawn = candidates.choose_multiple(rng, 2);
    drawn.shuffle(rng);
    drawn
}

/// Probability of a random choice, from 0 to 1.
#[derive(
    Add, AddAssign, Clone, Copy, Debug, Default, Display, From, Into, Mul, PartialEq, PartialOrd,
)]
#[display("{:.1}%", _0 * 100.0)]
pub struct Probability(f64);

/// An outcome of the draw of two candidates, by their indices. Both are the same if there is only one candidate.
#[derive(Clone, Copy, Debug)]
struct Draw {
    first: usize,
    second: usize,
    probability: f64,
}

/// Returns the outcomes of a draw of two from `n` candidates, in random order.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn draws(n: usize) -> impl Iterator<Item = Draw> {
    let only = (n == 1).then_some(Draw {
        first: 0,
        second: 0,
        probability: 1.0,
    });
    let each = 1.0 / (n as f64 * (n as f64 - 1.0));
    let pairs = (0..n).flat_map(move |first| {
        let seconds = (0..n).filter(move |second| *second != first);
        seconds.map(move |second| Draw {
            first,
            second,
            probability: each,
        })
    });
    only.into_iter().chain(pairs)
}

/// Returns the probability with which [`choose_agent`] chooses each of the candidates.
pub fn choice_probabilities(
    load: LoadEstimator,
    candidates: &[Candidate<'_>],
    zone: &AvailabilityZone,
    probe_policy: ProbePolicy,
) -> Vec<Probability> {
    let expected: Vec<_> = candidates
        .iter()
        .map(|c| load.expected(c.received))
        .collect();
    let earlier = |first: usize, second: usize| {
        if expected[second].is_earlier_than(&expected[first]) {
            second
        } else {
            first
        }
    };
    let report = |i: usize| &candidates[i].received.report;
    // All pairs are visited below, so what is known of each candidate is computed before.
    let suspended: Vec<_> = (0..candidates.len())
        .map(|i| report(i).responses.is_suspended)
        .collect();
    let is_suspended = |i: &usize| suspended[*i];
    let not_suspended: Vec<_> = (0..candidates.len()).filter(|i| !is_suspended(i)).collect();
    let local = not_suspended.iter().copied();
    let local: Vec<_> = local.filter(|i| report(*i).zone == *zone).collect();
    let is_idle: Vec<_> = candidates
        .iter()
        .map(|c| load.has_idle_slot(c.received))
        .collect();
    let mut local_idle = vec![0.0; candidates.len()];
    let mut no_local = 1.0;
    for draw in draws(local.len()) {
        let i = earlier(local[draw.first], local[draw.second]);
        if is_idle[i] {
            local_idle[i] += draw.probability;
            no_local -= draw.probability;
        }
    }
    // The sum of the probabilities of all pairs may exceed 1 by a rounding error.
    let no_local = no_local.max(0.0);
    let probe = match probe_policy {
        ProbePolicy::OnlyIfAllSuspended => 0.0,
        ProbePolicy::Occasional => f64::from(DRAWS_PER_PROBE).recip(),
    };

    let mut chosen = vec![0.0; candidates.len()];
    let (mut to_local, mut to_not_suspended) = (0.0, 0.0);
    for draw in draws(candidates.len()) {
        let suspended = [draw.first, draw.second].into_iter().find(is_suspended);
        let mut left = draw.probability;
        if let Some(i) = suspended {
            chosen[i] += left * probe;
            left *= 1.0 - probe;
        }
        to_local += left;
        if suspended.is_some() && !not_suspended.is_empty() {
            to_not_suspended += left * no_local;
        } else {
            chosen[earlier(draw.first, draw.second)] += left * no_local;
        }
    }
    for (chosen, local) in chosen.iter_mut().zip(local_idle) {
        *chosen += local * to_local;
    }
    for draw in draws(not_suspended.len()) {
        let i = earlier(not_suspended[draw.first], not_suspended[draw.second]);
        chosen[i] += draw.probability * to_not_suspended;
    }
    chosen.into_iter().map(Probability).collect()
}
