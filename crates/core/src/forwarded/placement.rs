//! Which backend server gets a new flow.
//!
//! Two candidates are drawn and the less loaded one is taken: reports are some tens of milliseconds
//! old, and balancers that all took the least loaded server would flood it between two reports. What
//! this node has sent since a report counts on top of it.

use std::net::Ipv4Addr;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::mesh::HeardReport;
use crate::ids::AvailabilityZone;

/// Load that an open flow without a request adds, in requests: a flow that stays open asks about
/// once a second and is worked on for some 15 ms.
const IDLE_FLOW_LOAD: f64 = 0.02;
/// Load, in full servers, by which one in the own zone is preferred; spares bytes between zones
/// without letting a queue form.
const ZONE_PREFERENCE: f64 = 0.25;
/// Speed of a server that has just started.
const COLD_SPEED: f64 = 0.6;

/// A server that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its agent.
    pub agent: Ipv4Addr,
    /// What the agent said last.
    pub heard: &'a HeardReport,
}

/// Load of a server in full servers: at 1 all its slots are taken.
pub fn load(heard: &HeardReport) -> f64 {
    let report = &heard.report;
    let speed = if report.cold { COLD_SPEED } else { 1.0 };
    let requests = f64::from(report.busy) + f64::from(heard.sent_since);
    let flows = f64::from(report.flows) * IDLE_FLOW_LOAD;
    (requests + flows) / (f64::from(report.slots.max(1)) * speed)
}

fn cost(candidate: &Candidate<'_>, zone: &AvailabilityZone) -> f64 {
    let away = candidate.heard.report.zone != *zone;
    load(candidate.heard) + if away { ZONE_PREFERENCE } else { 0.0 }
}

/// Chooses among `candidates` for a node in `zone`.
pub fn choose<'a, R: Rng>(
    rng: &mut R,
    candidates: impl Iterator<Item = Candidate<'a>>,
    zone: &AvailabilityZone,
) -> Option<Candidate<'a>> {
    let drawn = candidates.choose_multiple(rng, 2);
    drawn
        .into_iter()
        .min_by(|a, b| cost(a, zone).total_cmp(&cost(b, zone)))
}
