//! What a process that forwards flows is told about itself and its surroundings.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

use derive_more::Display;

use super::service_map::ServiceLabel;
use crate::ids::AvailabilityZone;

/// What a process does.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum NodeRole {
    /// Takes packets from callers.
    #[display("balancer")]
    Balancer,
    /// Stands beside a backend server.
    #[display("agent")]
    Agent,
    /// Keeps the configuration.
    #[display("control")]
    Control,
}

/// The sockets of a balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BalancerSockets {
    /// UDP: packets of callers come in here.
    pub packets: SocketAddrV4,
    /// TCP: health check of the fabric.
    pub ready: SocketAddrV4,
}

/// The sockets of an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentSockets {
    /// UDP: packets that other nodes pass on come in here. Callers are reached at this port.
    pub packets: SocketAddrV4,
    /// UDP: the backend server hands its own packets over here.
    pub outbound: SocketAddrV4,
    /// TCP: the backend server reports here.
    pub reports: SocketAddrV4,
    /// TCP: health check.
    pub ready: Option<SocketAddrV4>,
    /// The backend server itself, UDP and TCP.
    pub server: SocketAddrV4,
    /// The service that the server is of, where the settings say so.
    pub service: Option<ServiceLabel>,
}

/// What a control host has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlHostSettings {
    /// TCP: operators call here.
    pub operators: SocketAddrV4,
    /// The data folder.
    pub data_dir: PathBuf,
    /// Whether the whole system starts for the first time, with empty disks.
    pub bootstrap: bool,
    /// Control hosts whose loss at once must be borne.
    pub tolerated_losses: usize,
}

/// What a role needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RoleSettings {
    /// A balancer.
    Balancer(BalancerSockets),
    /// An agent.
    Agent(AgentSockets),
    /// A control host.
    Control(ControlHostSettings),
}

impl RoleSettings {
    /// The role's name.
    pub const fn role(&self) -> NodeRole {
        match self {
            Self::Balancer(_) => NodeRole::Balancer,
            Self::Agent(_) => NodeRole::Agent,
            Self::Control(_) => NodeRole::Control,
        }
    }
}

/// What a process is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// The host's name.
    pub name: String,
    /// The host's address, which names the node to the others.
    pub ip: Ipv4Addr,
    /// The address that the node binds for what is said between nodes; another one where the others
    /// reach the host through an address translation.
    pub bind_ip: Ipv4Addr,
    /// The host's availability zone.
    pub zone: AvailabilityZone,
    /// The first port for the system's own messages, UDP and TCP; the same on all hosts.
    pub inner_port: u16,
    /// Control hosts to begin with.
    pub seeds: Vec<Ipv4Addr>,
    /// Time from the request to stop until the process is killed.
    pub stop_grace: Duration,
    /// Age at which a flow may be given up.
    pub max_flow_age: Duration,
    /// Longest time between two reports of a backend server in good order.
    pub report_interval: Duration,
    /// What the role needs.
    pub role: RoleSettings,
}
