//! Settings of a process that forwards flows.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

use derive_more::Display;

use super::service_map::ServiceLabel;
use crate::ids::AvailabilityZone;

/// Role of a node.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum NodeRole {
    /// Receives packets from callers.
    #[display("balancer")]
    Balancer,
    /// Runs on the host of a backend server.
    #[display("agent")]
    Agent,
    /// Stores and replicates the configuration.
    #[display("control")]
    Control,
}

/// Address and role of a node.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct NodeAddress {
    /// Address of the host.
    pub ip: Ipv4Addr,
    /// Role of the node.
    pub role: NodeRole,
}

/// Socket addresses of a balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BalancerSockets {
    /// UDP: receives packets of callers.
    pub packets: SocketAddrV4,
    /// TCP: health check that the fabric queries.
    pub ready: SocketAddrV4,
}

/// Socket addresses of an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AgentSockets {
    /// UDP: receives packets that other nodes forward. Packets to callers are sent from this port.
    pub packets: SocketAddrV4,
    /// UDP: receives the packets that the backend server sends to callers.
    pub outbound: SocketAddrV4,
    /// TCP: receives reports of the backend server.
    pub reports: SocketAddrV4,
    /// TCP: health check.
    pub ready: Option<SocketAddrV4>,
    /// The backend server's own address, UDP and TCP.
    pub server: SocketAddrV4,
    /// The service of the server, if the settings define it.
    pub service: Option<ServiceLabel>,
}

/// Settings of a control host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlHostSettings {
    /// TCP: receives operators' requests.
    pub operators: SocketAddrV4,
    /// The data directory.
    pub data_dir: PathBuf,
    /// Whether the system starts for the first time, with empty disks.
    pub bootstrap: bool,
    /// Number of control hosts that may fail at the same time.
    pub tolerated_losses: usize,
    /// Time after the start of a successor from which the host that it replaces no longer counts as lost.
    pub catch_up: Duration,
}

/// Settings of the node's role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RoleSettings {
    /// Settings of a balancer.
    Balancer(BalancerSockets),
    /// Settings of an agent.
    Agent(AgentSockets),
    /// Settings of a control host.
    Control(ControlHostSettings),
}

impl RoleSettings {
    /// Returns the role that the settings are for.
    pub const fn role(&self) -> NodeRole {
        match self {
            Self::Balancer(_) => NodeRole::Balancer,
            Self::Agent(_) => NodeRole::Agent,
            Self::Control(_) => NodeRole::Control,
        }
    }
}

/// Settings of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Name of the host.
    pub name: String,
    /// Address of the host, which identifies the node to other nodes.
    pub ip: Ipv4Addr,
    /// Local address to bind for messages between nodes. Differs from `ip` if other nodes reach the host
    /// through network address translation.
    pub bind_ip: Ipv4Addr,
    /// Availability zone of the host.
    pub zone: AvailabilityZone,
    /// First port for messages between nodes, UDP and TCP; the same on all hosts.
    pub inner_port: u16,
    /// Control hosts to contact first.
    pub seeds: Vec<Ipv4Addr>,
    /// Time from the stop request until the process is killed.
    pub stop_grace: Duration,
    /// Age from which a flow may be dropped.
    pub max_flow_age: Duration,
    /// Longest interval between two reports of a healthy backend server.
    pub report_interval: Duration,
    /// Settings of the node's role.
    pub role: RoleSettings,
}
