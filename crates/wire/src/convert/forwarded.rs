//! Conversions of the datagrams between the nodes that forward flows and of the configuration that they
//! fetch.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::forwarded::inquiry::Denial;
use dogwoodrill_core::forwarded::keepers::FlowLocation;
use dogwoodrill_core::forwarded::node::{NodeAddress, NodeRole};
use dogwoodrill_core::forwarded::node_list::NodeListHash;
use dogwoodrill_core::forwarded::packet::FlowKey;
use dogwoodrill_core::forwarded::report::{
    BootId, Heartbeat, ResponseStats, ServerPresence, ServerReport,
};
use dogwoodrill_core::forwarded::service_map::{
    RequestPolicy, RequestRate, Route, RouteTable, ServiceLabel, ServiceMap, ServicePolicy, Target,
    Weight,
};

use super::{ConvertError, checked_narrow, name};
use crate::proto::forwarded as wire;

/// The content of one datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The state of the sender, which every datagram carries.
    pub heartbeat: Heartbeat,
    /// Locations of flows that are at the sender.
    pub flow_locations: Vec<FlowLocation>,
    /// Nodes known to the sender. Only control hosts send them, and only if the receiver holds another list.
    pub nodes: Vec<NodeAddress>,
    /// From a control host, its list of nodes; to a control host, the list of it that the sender holds.
    pub node_list_hash: Option<NodeListHash>,
    /// Agents known to the sender that reported that no flow from before their start is open at their server.
    pub agents_without_earlier_flows: Vec<Ipv4Addr>,
    /// Number of opening packets waiting at the receiver that the sender's idle server can take now.
    pub idle_slots: u32,
    /// Negative replies to flow searches of the receiver: flows that are not at the sender.
    pub denials: Vec<Denial>,
}

impl From<Heartbeat> for Datagram {
    fn from(heartbeat: Heartbeat) -> Self {
        Self {
            heartbeat,
            flow_locations: Vec::new(),
            nodes: Vec::new(),
            node_list_hash: None,
            idle_slots: 0,
            agents_without_earlier_flows: Vec::new(),
            denials: Vec::new(),
        }
    }
}

impl From<&Datagram> for wire::Datagram {
    fn from(d: &Datagram) -> Self {
        let heartbeat = &d.heartbeat;
        let heard_ms = heartbeat.last_seen_age.map(millis);
        Self {
            boot: heartbeat.boot.get(),
            role: wire::Role::from(heartbeat.role).into(),
            config_index: heartbeat.index.into(),
            heard_ms,
            report: heartbeat.report.as_ref().map(Into::into),
            places: d.flow_locations.iter().map(Into::into).collect(),
            nodes: (!d.nodes.is_empty() || !d.agents_without_earlier_flows.is_empty())
                .then(|| node_list(&d.nodes, &d.agents_without_earlier_flows)),
            denials: d.denials.iter().map(Into::into).collect(),
            vacant: heartbeat.server_presence.has_no_server,
            young: heartbeat.server_presence.is_recently_started,
            node_list_hash: d.node_list_hash.map(Into::into),
            idle_slots: d.idle_slots,
        }
    }
}

impl TryFrom<wire::Datagram> for Datagram {
    type Error = ConvertError;

    fn try_from(d: wire::Datagram) -> Result<Self, Self::Error> {
        let role = NodeRole::try_from(d.role())?;
        let report = d.report.map(ServerReport::try_from).transpose()?;
        let flow_locations = d.places.into_iter().map(FlowLocation::try_from);
        let denials = d.denials.into_iter().map(Denial::try_from);
        let nodes = d.nodes.unwrap_or_default();
        let agents_without_earlier_flows = nodes.fresh_agents.iter().copied();
        Ok(Self {
            heartbeat: Heartbeat {
                boot: BootId::new(d.boot),
                role,
                index: d.config_index.into(),
                last_seen_age: d.heard_ms.map(|ms| Duration::from_millis(ms.into())),
                report,
                server_presence: ServerPresence {
                    has_no_server: d.vacant,
                    is_recently_started: d.young,
                },
            },
            flow_locations: flow_locations.collect::<Result<_, _>>()?,
            agents_without_earlier_flows: agents_without_earlier_flows
                .map(Ipv4Addr::from_bits)
                .collect(),
            nodes: node_addresses(nodes),
            node_list_hash: d.node_list_hash.map(Into::into),
            idle_slots: d.idle_slots,
            denials: denials.collect::<Result<_, _>>()?,
        })
    }
}

fn node_list(nodes: &[NodeAddress], agents_without_earlier_flows: &[Ipv4Addr]) -> wire::NodeList {
    let ips_of = |role| {
        let ips = nodes.iter().filter(move |n| n.role == role);
        ips.map(|n| n.ip.to_bits()).collect()
    };
    wire::NodeList {
        balancers: ips_of(NodeRole::Balancer),
        agents: ips_of(NodeRole::Agent),
        controls: ips_of(NodeRole::Control),
        fresh_agents: agents_without_earlier_flows
            .iter()
            .map(|ip| ip.to_bits())
            .collect(),
    }
}

fn node_addresses(list: wire::NodeList) -> Vec<NodeAddress> {
    let with_role = |ips: Vec<u32>, role| {
        let addresses = ips.into_iter().map(Ipv4Addr::from_bits);
        addresses.map(move |ip| NodeAddress { ip, role })
    };
    let balancers = with_role(list.balancers, NodeRole::Balancer);
    let agents = with_role(list.agents, NodeRole::Agent);
    let controls = with_role(list.controls, NodeRole::Control);
    balancers.chain(agents).chain(controls).collect()
}

impl From<NodeRole> for wire::Role {
    fn from(role: NodeRole) -> Self {
        match role {
            NodeRole::Balancer => Self::Balancer,
            NodeRole::Agent => Self::Agent,
            NodeRole::Control => Self::Control,
        }
    }
}

impl TryFrom<wire::Role> for NodeRole {
    type Error = ConvertError;

    fn try_from(role: wire::Role) -> Result<Self, Self::Error> {
        match role {
            wire::Role::Balancer => Ok(Self::Balancer),
            wire::Role::Agent => Ok(Self::Agent),
            wire::Role::Control => Ok(Self::Control),
            wire::Role::Unspecified => Err(ConvertError::Missing { field: "role" }),
        }
    }
}

impl From<&ServerReport> for wire::ServerReport {
    fn from(r: &ServerReport) -> Self {
        Self {
            service: r.service.to_string(),
            zone: r.zone.to_string(),
            open: r.is_accepting,
            cold: r.is_cold,
            busy: r.busy,
            flows: r.flows,
            slots: r.slots,
            work_us: r
                .work
                .map(|work| u32::try_from(work.as_micros()).unwrap_or(u32::MAX)),
            answer_bytes: r.responses.mean_bytes.map(|bytes| u16::from(bytes).into()),
            failed_permille: u16::from(r.responses.failure_rate).into(),
            suspended: r.responses.is_suspended,
            waiting: r.waiting,
            flow_request_rate: r.flow_request_rate.map(Into::into),
            stalled: r.stalled,
        }
    }
}

impl TryFrom<wire::ServerReport> for ServerReport {
    type Error = ConvertError;

    fn try_from(r: wire::ServerReport) -> Result<Self, Self::Error> {
        let bytes = r.answer_bytes.map(|bytes| {
            let bytes: u16 = checked_narrow("answer bytes", bytes)?;
            Ok(bytes.into())
        });
        Ok(Self {
            service: r.service.into(),
            zone: name("zone", r.zone)?,
            is_accepting: r.open,
            is_cold: r.cold,
            busy: r.busy,
            waiting: r.waiting,
            stalled: r.stalled,
            flows: r.flows,
            flow_request_rate: r.flow_request_rate.map(Into::into),
            slots: r.slots,
            work: r.work_us.map(|us| Duration::from_micros(us.into())),
            responses: ResponseStats {
                mean_bytes: bytes.transpose()?,
                failure_rate: checked_narrow::<u16>("failed permille", r.failed_permille)?.into(),
                is_suspended: r.suspended,
            },
        })
    }
}

impl From<&FlowLocation> for wire::FlowPlace {
    fn from(p: &FlowLocation) -> Self {
        Self {
            caller_ip: p.flow.caller.ip().to_bits(),
            caller_port: p.flow.caller.port().into(),
            service_ip: p.flow.service.ip().to_bits(),
            service_port: p.flow.service.port().into(),
            server_seq: p.server_seq,
        }
    }
}

impl TryFrom<wire::FlowPlace> for FlowLocation {
    type Error = ConvertError;

    fn try_from(p: wire::FlowPlace) -> Result<Self, Self::Error> {
        let caller = (p.caller_ip, p.caller_port);
        let flow = flow_key(caller, (p.service_ip, p.service_port))?;
        Ok(Self {
            flow,
            server_seq: p.server_seq,
        })
    }
}

impl From<&Denial> for wire::Denial {
    fn from(d: &Denial) -> Self {
        Self {
            caller_ip: d.flow.caller.ip().to_bits(),
            caller_port: d.flow.caller.port().into(),
            service_ip: d.flow.service.ip().to_bits(),
            service_port: d.flow.service.port().into(),
            agents: d.agents.into(),
            settled: d.has_full_membership,
        }
    }
}

impl TryFrom<wire::Denial> for Denial {
    type Error = ConvertError;

    fn try_from(d: wire::Denial) -> Result<Self, Self::Error> {
        let caller = (d.caller_ip, d.caller_port);
        let flow = flow_key(caller, (d.service_ip, d.service_port))?;
        Ok(Self {
            flow,
            agents: d.agents.into(),
            has_full_membership: d.settled,
        })
    }
}

fn flow_key(caller: (u32, u32), service: (u32, u32)) -> Result<FlowKey, ConvertError> {
    Ok(FlowKey {
        caller: socket_address("caller port", caller.0, caller.1)?,
        service: socket_address("service port", service.0, service.1)?,
    })
}

fn socket_address(field: &'static str, ip: u32, port: u32) -> Result<SocketAddrV4, ConvertError> {
    Ok(SocketAddrV4::new(
        Ipv4Addr::from_bits(ip),
        checked_narrow(field, port)?,
    ))
}

impl From<&ServiceMap> for wire::ServiceMap {
    fn from(m: &ServiceMap) -> Self {
        Self {
            config_index: m.index.into(),
            table: m.table.as_deref().map(Into::into),
            zones_out: m.zones_out.iter().map(ToString::to_string).collect(),
        }
    }
}

impl TryFrom<wire::ServiceMap> for ServiceMap {
    type Error = ConvertError;

    fn try_from(m: wire::ServiceMap) -> Result<Self, Self::Error> {
        let table = m.table.map(RouteTable::try_from).transpose()?;
        let zones_out = m.zones_out.into_iter().map(|zone| name("zone", zone));
        Ok(Self {
            index: m.config_index.into(),
            table: table.map(Arc::new),
            zones_out: zones_out.collect::<Result<_, _>>()?,
        })
    }
}

impl From<&RouteTable> for wire::RouteTable {
    fn from(t: &RouteTable) -> Self {
        let services = t.services.iter().map(|(label, terms)| wire::Service {
            name: label.to_string(),
            cold_rate: terms.cold_rate.map(RequestRate::get),
        });
        let labels = t.services.keys().zip(0_u32..);
        let positions: HashMap<_, _> = labels.collect();
        let mut routes: Vec<_> = t.routes.iter().collect();
        routes.sort_by_key(|(address, _)| **address);
        let routes = routes.into_iter().map(|(address, route)| wire::Route {
            ip: address.ip().to_bits(),
            port: address.port().into(),
            targets: targets(route, &positions),
            target_ms: millis(route.policy.target),
            timeout_ms: millis(route.policy.timeout),
            priority: route.policy.priority,
        });
        Self {
            version: t.version.into(),
            routes: routes.collect(),
            services: services.collect(),
            idle_timeout_ms: millis(t.idle_timeout),
        }
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Converts the targets of a route. Targets whose service is not listed are omitted, since they cannot be
/// reached.
fn targets(route: &Route, positions: &HashMap<&ServiceLabel, u32>) -> Vec<wire::Target> {
    let targets = route.targets.iter().filter_map(|target| {
        let service = *positions.get(&target.service)?;
        let weight = target.weight.get();
        Some(wire::Target { service, weight })
    });
    targets.collect()
}

impl TryFrom<wire::RouteTable> for RouteTable {
    type Error = ConvertError;

    fn try_from(t: wire::RouteTable) -> Result<Self, Self::Error> {
        let services = t.services.into_iter().map(|s| {
            let cold_rate = s.cold_rate.map(RequestRate::new);
            (ServiceLabel::from(s.name), ServicePolicy { cold_rate })
        });
        let services: Vec<_> = services.collect();
        let mut routes = HashMap::with_capacity(t.routes.len());
        for route in t.routes {
            let address = socket_address("route port", route.ip, route.port)?;
            let targets = route.targets.into_iter().map(|t| target(&services, t));
            let targets = targets.collect::<Result<_, _>>()?;
            let policy = RequestPolicy {
                target: Duration::from_millis(route.target_ms.into()),
                timeout: Duration::from_millis(route.timeout_ms.into()),
                priority: route.priority,
            };
            routes.insert(address, Route { targets, policy });
        }
        Ok(Self {
            version: t.version.into(),
            routes,
            services: services.into_iter().collect(),
            idle_timeout: Duration::from_millis(t.idle_timeout_ms.into()),
        })
    }
}

fn target(
    services: &[(ServiceLabel, ServicePolicy)],
    target: wire::Target,
) -> Result<Target, ConvertError> {
    let position = usize::try_from(target.service).ok();
    let service = position.and_then(|at| services.get(at));
    let (service, _) = service.ok_or(ConvertError::OutOfRange { field: "service" })?;
    Ok(Target {
        service: service.clone(),
        weight: Weight::new(target.weight),
    })
}
