//! Records of decisions about packets and servers, with the inputs that led to them.

use std::net::Ipv4Addr;
use std::time::Duration;

use derive_more::Display;

use super::packet::FlowKey;
use super::service_map::ServiceLabel;
use crate::ids::LogIndex;

/// The step that was taken.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// A balancer chose the agent of a new flow.
    #[display("placed")]
    Placed,
    /// A balancer chose another agent because the first did not answer.
    #[display("placed again")]
    PlacedAgain,
    /// No agent can take the new flow.
    #[display("no server")]
    NoServer,
    /// No route leads to the address.
    #[display("no route")]
    NoRoute,
    /// The agent of the flow is not known here; a keeper is queried.
    #[display("asked keeper")]
    AskedKeeper,
    /// No keeper knew the flow; all agents are queried.
    #[display("searched")]
    Searched,
    /// An agent gave the opening packet to its server.
    #[display("accepted")]
    Accepted,
    /// An agent queues the opening packet until its server has capacity.
    #[display("waits")]
    Waits,
    /// An agent redirected the opening packet to a peer.
    #[display("passed on")]
    PassedOn,
    /// An agent refused the opening packet.
    #[display("refused")]
    Refused,
    /// The server did not answer the opening packet in time.
    #[display("unanswered")]
    Unanswered,
    /// The server bounced the opening packet.
    #[display("bounced")]
    Bounced,
    /// The flow was reset because its server has ended.
    #[display("server gone")]
    ServerGone,
    /// All agents denied the flow, and it was reset.
    #[display("found nowhere")]
    FoundNowhere,
    /// A packet of an unknown flow was dropped.
    #[display("unknown flow")]
    UnknownFlow,
}

/// Why an agent did not deliver an opening packet to its server.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// No configuration has arrived yet.
    #[display("no configuration yet")]
    NoMap,
    /// The route does not lead to the server's service.
    #[display("other service")]
    OtherService,
    /// The server's zone is disabled for new flows.
    #[display("zone out")]
    ZoneOut,
    /// The server is draining or its agent is stopping.
    #[display("server draining")]
    Draining,
    /// No server has reported, or it has ended.
    #[display("server gone")]
    NoServer,
    /// The server has not answered recently.
    #[display("server silent")]
    Silent,
    /// The server has just started and has received as many requests as it can handle while cold.
    #[display("server cold")]
    Cold,
    /// The server is suspended because it fails requests, and gets only occasional probes.
    #[display("server suspended")]
    Suspended,
    /// The server has as many requests as it can complete in time.
    #[display("server busy")]
    Busy,
    /// A peer with an idle server has offered to take an opening.
    #[display("slot offered")]
    SlotOffered,
}

/// A decision and its inputs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// The step that was taken.
    pub step: Step,
    /// The flow that the decision is about.
    pub flow: FlowKey,
    /// Log index of the configuration in force.
    pub index: LogIndex,
    /// The other node involved, if any.
    pub node: Option<Ipv4Addr>,
    /// Why the step was taken, where the step alone does not tell.
    pub reason: Option<Reason>,
    /// The service of the flow, if known.
    pub service: Option<ServiceLabel>,
    /// Number of requests at the backend server, if known.
    pub busy: Option<u32>,
    /// Mean service time of the server, once measured.
    pub work: Option<Duration>,
    /// Age of the server's last report.
    pub age: Option<Duration>,
    /// Time for which the opening packet waited in the agent's queue, if it did.
    pub waited: Option<Duration>,
    /// Number of times that the packet was forwarded between agents before.
    pub hops: u8,
}

impl Decision {
    /// Creates a decision with the inputs that are always present.
    pub const fn new(step: Step, flow: FlowKey, index: LogIndex) -> Self {
        Self {
            step,
            flow,
            index,
            node: None,
            reason: None,
            service: None,
            busy: None,
            work: None,
            age: None,
            waited: None,
            hops: 0,
        }
    }
}
