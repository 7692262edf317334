//! What an agent does with a packet, and what else it does.

use std::net::Ipv4Addr;

use bytes::Bytes;

use crate::forwarded::inquiry::Denial;
use crate::forwarded::keepers::FlowLocation;
use crate::forwarded::packet::{FlowKey, Trail};

/// What is done with a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disposition {
    /// Deliver it to the agent's backend server.
    Deliver,
    /// Return it to the caller.
    Return,
    /// Forward it to another agent with this trail.
    Forward {
        /// Address of the agent.
        to: Ipv4Addr,
        /// Trail to set on the packet.
        trail: Trail,
    },
    /// Drop it.
    Drop,
}

/// An effect beyond the disposition of the current packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Forward a stored packet to another agent.
    Forward {
        /// Address of the agent.
        to: Ipv4Addr,
        /// Trail to set on the packet.
        trail: Trail,
        /// The stored packet.
        packet: Bytes,
    },
    /// Deliver a stored packet to the backend server.
    Deliver(Bytes),
    /// Reset a flow.
    Reset {
        /// The flow to reset.
        flow: FlowKey,
        /// Sequence number that the caller expects next.
        seq: u32,
    },
    /// Send the location of a flow to a balancer at once.
    NotifyBalancer {
        /// Address of the balancer.
        to: Ipv4Addr,
        /// Location of the flow.
        location: FlowLocation,
    },
    /// Send the location of a flow to a keeper; may be batched.
    NotifyKeeper {
        /// Address of the keeper.
        to: Ipv4Addr,
        /// Location of the flow.
        location: FlowLocation,
    },
    /// Reply to an agent that searches for a flow that its server does not hold it.
    Deny {
        /// Address of the searching agent.
        to: Ipv4Addr,
        /// The negative reply.
        denial: Denial,
    },
    /// Offer an idle slot of the server to an agent.
    OfferSlot {
        /// Address of the agent.
        to: Ipv4Addr,
    },
    /// Check whether a process listens at the server's port.
    CheckPort,
}
