//! Explains where the opening packet of a new flow would go now, and why.
//!
//! [`Balancer::explain`](super::balancer::Balancer::explain) and [`Agent::explain`](super::agent::Agent::explain) call
//! the functions that decide on packets, and change nothing.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use derive_more::Display;
use snafu::{OptionExt, Snafu, ensure};

use super::decision::Reason;
use super::mesh::{Exclusion, Mesh};
use super::packet::FlowKey;
use super::placement::Probability;
use super::server::Unavailability;
use super::service_map::{RequestPolicy, Route, ServiceLabel, ServiceMap, Target, Weight};
use crate::ids::{AvailabilityZone, LogIndex};

/// What is to be explained.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Query {
    /// The new flow. Port 0 stands for a caller's port that is not known.
    pub flow: FlowKey,
    /// Zone of the balancer that the caller enters at; `None` for that of the node itself.
    pub zone: Option<AvailabilityZone>,
}

/// Why there is nothing to explain.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ExplainError {
    /// No configuration has arrived yet.
    #[snafu(display("no configuration yet"))]
    NoConfiguration,
    /// No route leads to the address.
    #[snafu(display("no route to {to}"))]
    NoRoute {
        /// The address.
        to: SocketAddrV4,
    },
    /// No known node is in the zone.
    #[snafu(display("unknown zone {zone}; there are {}", join(known)))]
    UnknownZone {
        /// The zone in question.
        zone: AvailabilityZone,
        /// The known zones.
        known: Vec<AvailabilityZone>,
    },
}

/// Where a balancer would send the flow.
#[derive(Clone, Debug, PartialEq)]
pub struct BalancerExplanation {
    /// The zone whose servers are preferred.
    pub zone: AvailabilityZone,
    /// Index of the configuration in force.
    pub index: LogIndex,
    /// Requirements of the route.
    pub policy: RequestPolicy,
    /// The agent of the flow, if it has one already. Its packets go there, whatever is chosen for a new flow.
    pub placed_at: Option<Ipv4Addr>,
    /// The services of the route.
    pub services: Vec<ServiceChoice>,
    /// Probability that there is no agent for a new flow.
    pub no_server: Probability,
    /// Agents that have not reported a server.
    pub without_server: Vec<Ipv4Addr>,
}

/// A service of a route, and the agents that a new flow may go to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceChoice {
    /// The service.
    pub service: ServiceLabel,
    /// Its weight among the services of the route.
    pub weight: Weight,
    /// Probability that it is chosen.
    pub probability: Probability,
    /// All known agents of the service.
    pub agents: Vec<AgentChoice>,
}

/// An agent that a new flow may go to.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentChoice {
    /// Address of the agent.
    pub agent: Ipv4Addr,
    /// Zone of its server.
    pub zone: AvailabilityZone,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Requests at the server by the last report.
    pub reported: u32,
    /// Requests expected there now.
    pub expected: u32,
    /// Expected completion time of a request that is sent now.
    pub completion: Duration,
    /// Age of the last report.
    pub age: Duration,
    /// Whether the agent is one of those that the choice is made from.
    pub is_candidate: bool,
    /// Why it is not, or is only in some cases.
    pub exclusion: Option<Exclusion>,
    /// Probability that the new flow goes there.
    pub probability: Probability,
}

/// What an agent would do with the flow's opening packet.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentExplanation {
    /// Index of the configuration in force.
    pub index: LogIndex,
    /// Requirements of the route.
    pub policy: RequestPolicy,
    /// The state of the backend server; `None` if there is none.
    pub server: Option<ServerCondition>,
    /// What the agent would do.
    pub action: OpeningAction,
    /// Why, where the action alone does not tell.
    pub reason: Option<Reason>,
    /// The agents that a redirection was considered to, if it was.
    pub peers: Vec<AgentChoice>,
}

/// The state of an agent's backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerCondition {
    /// Service of the server.
    pub service: ServiceLabel,
    /// Zone of the server.
    pub zone: AvailabilityZone,
    /// Why it gets no opening packets; `None` if it gets them.
    pub unavailability: Option<Unavailability>,
    /// Whether it has just started and is still slow.
    pub is_cold: bool,
    /// Whether it is suspended, so that it gets only probes.
    pub is_suspended: bool,
    /// Whether its agent is stopping.
    pub is_stopping: bool,
    /// Requests at the server or on their way to it.
    pub busy: u32,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Expected service time of a request.
    pub work: Duration,
    /// Number of openings in the agent's queue.
    pub waiting: usize,
    /// Age of the server's last report.
    pub age: Option<Duration>,
}

/// What an agent does with an opening packet.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum OpeningAction {
    /// It is delivered to the server.
    #[display("accept")]
    Accept,
    /// It waits at the agent.
    #[display("queue")]
    Queue,
    /// It goes to another agent.
    #[display("redirect")]
    Redirect,
    /// It is refused, and the flow is reset.
    #[display("refuse")]
    Refuse,
    /// The flow is at the server or in the queue already.
    #[display("known already")]
    Known,
}

impl Query {
    /// Returns the route of the flow, if the question can be answered with what is known.
    pub(super) fn route<'a>(
        &self,
        map: &'a ServiceMap,
        mesh: &Mesh,
        own: Option<&AvailabilityZone>,
    ) -> Result<&'a Route, ExplainError> {
        ensure!(map.table.is_some(), NoConfigurationSnafu);
        let to = self.flow.service;
        let route = map.route(to).context(NoRouteSnafu { to })?;
        if let Some(zone) = &self.zone {
            let reports = mesh.agents().filter_map(|(_, k)| k.report.as_ref());
            let zones = reports.map(|r| &r.report.zone).chain(own);
            let mut known: Vec<_> = zones.chain(&map.zones_out).cloned().collect();
            known.sort_unstable();
            known.dedup();
            ensure!(
                known.contains(zone),
                UnknownZoneSnafu {
                    zone: zone.clone(),
                    known
                }
            );
        }
        Ok(route)
    }
}

/// Returns the services of a route that get flows, with the probability of each.
pub(super) fn services(route: &Route) -> impl Iterator<Item = (&Target, Probability)> {
    let weight = |w: Weight| f64::from(w.get());
    let total: f64 = route.targets.iter().map(|t| weight(t.weight)).sum();
    let used = route
        .targets
        .iter()
        .filter(|t| t.weight > Weight::default());
    used.map(move |t| (t, Probability::from(weight(t.weight) / total)))
}

/// Returns all known agents of `service`. `chosen` are the candidates with the probability of each.
pub(super) fn agent_choices(
    now: Instant,
    map: &ServiceMap,
    mesh: &Mesh,
    service: &ServiceLabel,
    chosen: &[(Ipv4Addr, Probability)],
) -> Vec<AgentChoice> {
    let load = mesh.load_estimator(now);
    let reports = mesh
        .agents()
        .filter_map(|(ip, known)| Some((ip, known, known.report.as_ref()?)));
    let of_service = reports.filter(|(_, _, received)| received.report.service == *service);
    let choices = of_service.map(|(ip, known, received)| {
        let report = &received.report;
        let candidate = chosen.iter().find(|(agent, _)| *agent == ip);
        let not_live = mesh.exclusion(now, known, report);
        let zone_disabled = !map.is_zone_enabled(&report.zone);
        let exclusion = not_live
            .filter(|e| *e == Exclusion::NotLive)
            .or(zone_disabled.then_some(Exclusion::ZoneDisabled))
            .or(not_live)
            .or(mesh
                .is_losing_openings(now, ip)
                .then_some(Exclusion::LosingOpenings))
            .or(report
                .responses
                .is_suspended
                .then_some(Exclusion::Suspended))
            .or(candidate.is_none().then_some(Exclusion::TooSlow));
        AgentChoice {
            agent: ip,
            zone: report.zone.clone(),
            slots: report.slots,
            reported: report.busy,
            expected: load.busy(received),
            completion: load.completion(received),
            age: now.saturating_duration_since(received.received_at),
            is_candidate: candidate.is_some(),
            exclusion,
            probability: candidate.map(|(_, p)| *p).unwrap_or_default(),
        }
    });
    choices.collect()
}

fn join(zones: &[AvailabilityZone]) -> String {
    let zones: Vec<_> = zones.iter().map(AvailabilityZone::as_str).collect();
    zones.join(", ")
}
