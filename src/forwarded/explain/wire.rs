//! The JSON form of explanations, which nodes send to `dogwoodrill explain`.

use std::net::Ipv4Addr;
use std::time::Duration;

use dogwoodrill_core::forwarded::explain::{
    AgentChoice, AgentExplanation, BalancerExplanation, ServerCondition, ServiceChoice,
};
use dogwoodrill_core::forwarded::placement::Probability;
use dogwoodrill_core::forwarded::service_map::RequestPolicy;
use serde::{Deserialize, Serialize};

/// An explanation. Durations are in milliseconds (`_ms`) or microseconds (`_us`), probabilities from 0 to 1.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "role", rename_all = "lowercase")]
pub enum Explanation {
    /// Of a balancer.
    Balancer(Balancer),
    /// Of an agent.
    Agent(Agent),
}

/// Why a node explains nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Error {
    /// The reason, for people.
    pub error: String,
}

/// Where a balancer would send the flow.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Balancer {
    /// The zone whose servers are preferred.
    pub zone: String,
    /// Index of the configuration in force.
    pub config: u64,
    /// Requirements of the route.
    pub route: Route,
    /// The agent of the flow, if it has one already.
    pub placed_at: Option<Ipv4Addr>,
    /// The services of the route.
    pub services: Vec<Service>,
    /// Probability that there is no agent for a new flow.
    pub no_server: f64,
    /// Agents that have not reported a server.
    pub agents_without_server: Vec<Ipv4Addr>,
}

/// Requirements of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Time after which a response is late.
    pub target_ms: u64,
    /// Time after which the caller gives up.
    pub timeout_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
}

/// A service of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub service: String,
    /// Its weight among the services of the route.
    pub weight: u32,
    /// Probability that it is chosen.
    pub probability: f64,
    /// All known agents of the service.
    pub agents: Vec<Candidate>,
}

/// An agent that the flow may go to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Candidate {
    /// Address of the agent.
    pub agent: Ipv4Addr,
    /// Zone of its server.
    pub zone: String,
    /// Requests that the server processes concurrently.
    pub slots: u32,
    /// Requests there by the last report.
    pub reported: u32,
    /// Requests expected there now.
    pub expected: u32,
    /// Expected completion time of a request that is sent now.
    pub completion_us: u64,
    /// Age of the last report.
    pub age_ms: u64,
    /// Whether the choice is made from it and others.
    pub candidate: bool,
    /// Why it is not, or is only in some cases.
    pub why_not: Option<String>,
    /// Probability that the flow goes there.
    pub probability: f64,
}

/// What an agent would do with the opening packet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Agent {
    /// Index of the configuration in force.
    pub config: u64,
    /// Requirements of the route.
    pub route: Route,
    /// The state of the backend server, if there is one.
    pub server: Option<Server>,
    /// `accept`, `queue`, `redirect`, `refuse` or `known already`.
    pub action: String,
    /// Why, where the action alone does not tell.
    pub why: Option<String>,
    /// The agents that a redirection was considered to.
    pub peers: Vec<Candidate>,
}

/// The state of a backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Server {
    /// Service of the server.
    pub service: String,
    /// Zone of the server.
    pub zone: String,
    /// Why it gets no opening packets: `gone`, `draining` or `silent`.
    pub unavailable: Option<String>,
    /// Whether it has just started and is still slow.
    pub cold: bool,
    /// Whether it gets only probes.
    pub suspended: bool,
    /// Whether its agent is stopping.
    pub stopping: bool,
    /// Requests at the server or on their way to it.
    pub busy: u32,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Expected service time of a request.
    pub work_us: u64,
    /// Openings in the agent's queue.
    pub waiting: usize,
    /// Age of the server's last report.
    pub age_ms: Option<u64>,
}

impl From<super::Explanation> for Explanation {
    fn from(explanation: super::Explanation) -> Self {
        match explanation {
            super::Explanation::Balancer(balancer) => Self::Balancer(balancer.into()),
            super::Explanation::Agent(agent) => Self::Agent(agent.into()),
        }
    }
}

impl From<BalancerExplanation> for Balancer {
    fn from(explanation: BalancerExplanation) -> Self {
        Self {
            zone: explanation.zone.to_string(),
            config: explanation.index.get(),
            route: explanation.policy.into(),
            placed_at: explanation.placed_at,
            services: explanation.services.into_iter().map(Into::into).collect(),
            no_server: rounded(explanation.no_server),
            agents_without_server: explanation.without_server,
        }
    }
}

impl From<RequestPolicy> for Route {
    fn from(policy: RequestPolicy) -> Self {
        Self {
            target_ms: millis(policy.target),
            timeout_ms: millis(policy.timeout),
            priority: policy.priority,
        }
    }
}

impl From<ServiceChoice> for Service {
    fn from(choice: ServiceChoice) -> Self {
        Self {
            service: choice.service.to_string(),
            weight: choice.weight.get(),
            probability: rounded(choice.probability),
            agents: choice.agents.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<AgentChoice> for Candidate {
    fn from(choice: AgentChoice) -> Self {
        Self {
            agent: choice.agent,
            zone: choice.zone.to_string(),
            slots: choice.slots,
            reported: choice.reported,
            expected: choice.expected,
            completion_us: micros(choice.completion),
            age_ms: millis(choice.age),
            candidate: choice.is_candidate,
            why_not: choice.exclusion.map(|e| e.to_string()),
            probability: rounded(choice.probability),
        }
    }
}

impl From<AgentExplanation> for Agent {
    fn from(explanation: AgentExplanation) -> Self {
        Self {
            config: explanation.index.get(),
            route: explanation.policy.into(),
            server: explanation.server.map(Into::into),
            action: explanation.action.to_string(),
            why: explanation.reason.map(|r| r.to_string()),
            peers: explanation.peers.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<ServerCondition> for Server {
    fn from(server: ServerCondition) -> Self {
        Self {
            service: server.service.to_string(),
            zone: server.zone.to_string(),
            unavailable: server.unavailability.map(|u| u.to_string()),
            cold: server.is_cold,
            suspended: server.is_suspended,
            stopping: server.is_stopping,
            busy: server.busy,
            slots: server.slots,
            work_us: micros(server.work),
            waiting: server.waiting,
            age_ms: server.age.map(millis),
        }
    }
}

/// Rounds to what is worth reading.
fn rounded(probability: Probability) -> f64 {
    (f64::from(probability) * 10_000.0).round() / 10_000.0
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
