//! Messages between the nodes that forward flows are unchanged after encoding and decoding.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use dogwoodrill_core::forwarded::inquiry::{AgentSetHash, Denial};
use dogwoodrill_core::forwarded::keepers::FlowLocation;
use dogwoodrill_core::forwarded::node::{NodeAddress, NodeRole};
use dogwoodrill_core::forwarded::packet::FlowKey;
use dogwoodrill_core::forwarded::report::{
    BootId, Heartbeat, ResponseStats, ServerPresence, ServerReport,
};
use dogwoodrill_core::forwarded::service_map::{
    RequestPolicy, RequestRate, Route, RouteTable, ServiceMap, ServicePolicy, Target, Weight,
};
use dogwoodrill_core::ids::LogIndex;
use dogwoodrill_wire::convert::forwarded::Datagram;
use dogwoodrill_wire::proto::forwarded as wire;
use prost::Message;
use rstest::rstest;

use crate::damage::survives_damage;

fn heartbeat(role: NodeRole) -> Heartbeat {
    Heartbeat {
        boot: BootId::new(u64::MAX),
        role,
        index: LogIndex::new(12),
        last_seen_age: None,
        report: None,
        server_presence: ServerPresence::default(),
    }
}

fn report(work: Option<Duration>) -> ServerReport {
    ServerReport {
        service: "orders & more".into(),
        zone: "las-piedras".parse().unwrap(),
        is_accepting: true,
        is_cold: true,
        busy: 3,
        work,
        waiting: 0,
        stalled: 0,
        flows: 40,
        flow_request_rate: None,
        slots: 2,
        responses: ResponseStats {
            mean_bytes: work.map(|_| 1200.into()),
            failure_rate: 271.into(),
            is_suspended: work.is_some(),
        },
    }
}

fn location(n: u8) -> FlowLocation {
    FlowLocation {
        flow: FlowKey {
            caller: format!("100.64.0.{n}:65535").parse().unwrap(),
            service: "198.18.0.1:443".parse().unwrap(),
        },
        server_seq: u32::MAX,
    }
}

fn denial(n: u8) -> Denial {
    Denial {
        flow: location(n).flow,
        agents: AgentSetHash::from(u64::MAX),
        has_full_membership: n == 1,
    }
}

#[rstest]
#[case::balancer(Datagram::from(heartbeat(NodeRole::Balancer)))]
#[case::heard(Datagram::from(Heartbeat { last_seen_age: Some(Duration::from_millis(250)), ..heartbeat(NodeRole::Agent) }))]
#[case::report(Datagram::from(Heartbeat { report: Some(report(None)), ..heartbeat(NodeRole::Agent) }))]
#[case::measured(Datagram::from(Heartbeat { report: Some(report(Some(Duration::from_micros(15_432)))), ..heartbeat(NodeRole::Agent) }))]
#[case::waiting(Datagram::from(Heartbeat { report: Some(ServerReport { waiting: 2, stalled: 1, ..report(None) }), ..heartbeat(NodeRole::Agent) }))]
#[case::no_flow_requests(Datagram::from(Heartbeat { report: Some(ServerReport { flow_request_rate: Some(0.into()), ..report(None) }), ..heartbeat(NodeRole::Agent) }))]
#[case::largest_numbers(Datagram { idle_slots: u32::MAX, ..Datagram::from(Heartbeat { report: Some(ServerReport { waiting: u32::MAX, stalled: u32::MAX, flow_request_rate: Some(u32::MAX.into()), slots: 0, ..report(None) }), ..heartbeat(NodeRole::Agent) }) })]
#[case::idle_slots(Datagram { idle_slots: 2, ..Datagram::from(heartbeat(NodeRole::Agent)) })]
#[case::locations(Datagram { flow_locations: vec![location(1), location(2)], ..Datagram::from(heartbeat(NodeRole::Agent)) })]
#[case::nodes(Datagram { nodes: [NodeRole::Balancer, NodeRole::Agent, NodeRole::Control].map(|role| NodeAddress { ip: Ipv4Addr::new(10, 1, 0, 9), role }).to_vec(), ..Datagram::from(heartbeat(NodeRole::Control)) })]
#[case::node_list_held(Datagram { node_list_hash: Some(u64::MAX.into()), agents_without_earlier_flows: vec![Ipv4Addr::new(10, 1, 0, 9)], ..Datagram::from(heartbeat(NodeRole::Control)) })]
#[case::fresh_agents(Datagram { nodes: vec![NodeAddress { ip: Ipv4Addr::new(10, 1, 0, 9), role: NodeRole::Agent }], agents_without_earlier_flows: vec![Ipv4Addr::new(10, 1, 0, 9)], ..Datagram::from(heartbeat(NodeRole::Control)) })]
#[case::young(Datagram::from(Heartbeat { server_presence: ServerPresence { has_no_server: false, is_recently_started: true }, ..heartbeat(NodeRole::Agent) }))]
#[case::vacant(Datagram::from(Heartbeat { server_presence: ServerPresence { has_no_server: true, is_recently_started: false }, ..heartbeat(NodeRole::Agent) }))]
#[case::denials(Datagram { denials: vec![denial(1), denial(2)], ..Datagram::from(heartbeat(NodeRole::Agent)) })]
fn datagrams_round_trip(#[case] sent: Datagram) {
    let bytes = wire::Datagram::from(&sent).encode_to_vec();
    let read = wire::Datagram::decode(&*bytes).unwrap();
    assert_eq!(Datagram::try_from(read).unwrap(), sent);
    survives_damage::<wire::Datagram, Datagram>(&bytes);
}

/// A datagram with 40 flow locations stays at or below 1,400 bytes, so that it is not fragmented.
#[test]
fn forty_flow_locations_fit_into_a_packet() {
    let mut sent = Datagram::from(Heartbeat {
        last_seen_age: Some(Duration::from_secs(3)),
        report: Some(report(Some(Duration::from_secs(1)))),
        ..heartbeat(NodeRole::Agent)
    });
    sent.flow_locations = (0..40).map(location).collect();
    let bytes = wire::Datagram::from(&sent).encoded_len();
    assert!(bytes <= 1_400, "{bytes}");
}

/// The fields of a datagram of the previous version that carries a report.
#[derive(Clone, PartialEq, Message)]
struct PreviousDatagram {
    #[prost(fixed64, tag = "1")]
    boot: u64,
    #[prost(int32, tag = "2")]
    role: i32,
    #[prost(uint64, tag = "3")]
    config_index: u64,
    #[prost(message, optional, tag = "5")]
    report: Option<PreviousReport>,
}

/// A report of the previous version.
#[derive(Clone, PartialEq, Message)]
struct PreviousReport {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    zone: String,
    #[prost(bool, tag = "3")]
    open: bool,
    #[prost(bool, tag = "4")]
    cold: bool,
    #[prost(uint32, tag = "5")]
    busy: u32,
    #[prost(uint32, tag = "6")]
    flows: u32,
    #[prost(uint32, tag = "7")]
    slots: u32,
    #[prost(uint32, optional, tag = "8")]
    work_us: Option<u32>,
    #[prost(uint32, optional, tag = "9")]
    answer_bytes: Option<u32>,
    #[prost(uint32, tag = "10")]
    failed_permille: u32,
    #[prost(bool, tag = "11")]
    suspended: bool,
}

/// Returns what a node of the previous version sends for `report(Some(30 ms))`.
fn previous_datagram() -> PreviousDatagram {
    PreviousDatagram {
        boot: u64::MAX,
        role: wire::Role::Agent.into(),
        config_index: 12,
        report: Some(PreviousReport {
            service: "orders & more".to_owned(),
            zone: "las-piedras".to_owned(),
            open: true,
            cold: true,
            busy: 3,
            flows: 40,
            slots: 2,
            work_us: Some(30_000),
            answer_bytes: Some(1200),
            failed_permille: 271,
            suspended: true,
        }),
    }
}

/// Guards against an agent of the previous version that seems to have waiting openings, stalled requests or idle slots
/// on offer, or whose unknown rate of requests counts as a measured one of zero.
#[test]
fn a_datagram_of_the_previous_version_has_none_of_the_new_values() {
    let bytes = previous_datagram().encode_to_vec();
    let read = wire::Datagram::decode(&*bytes).unwrap();
    let read = Datagram::try_from(read).unwrap();
    let expected = Datagram::from(Heartbeat {
        report: Some(report(Some(Duration::from_millis(30)))),
        ..heartbeat(NodeRole::Agent)
    });
    assert_eq!(read, expected);
    assert_eq!(read.idle_slots, 0);
    let report = read.heartbeat.report.unwrap();
    assert_eq!((report.waiting, report.stalled), (0, 0));
    assert_eq!(report.flow_request_rate, None);
}

/// Guards against a new field that takes the number of an earlier one, which a node of the previous version would
/// misread or reject.
#[test]
fn the_previous_version_reads_a_datagram_without_the_new_values() {
    let sent = Datagram {
        idle_slots: 2,
        ..Datagram::from(Heartbeat {
            report: Some(ServerReport {
                waiting: 5,
                stalled: 1,
                flow_request_rate: Some(250.into()),
                ..report(Some(Duration::from_millis(30)))
            }),
            ..heartbeat(NodeRole::Agent)
        })
    };
    let bytes = wire::Datagram::from(&sent).encode_to_vec();
    let read = PreviousDatagram::decode(&*bytes).unwrap();
    assert_eq!(read, previous_datagram());
}

#[test]
fn service_maps_round_trip() {
    let target = |service: &str, weight| Target {
        service: service.into(),
        weight: Weight::new(weight),
    };
    let route = |targets| Route {
        targets,
        policy: RequestPolicy {
            target: Duration::from_millis(100),
            timeout: Duration::from_millis(1500),
            priority: 2,
        },
    };
    let split = route(vec![target("orders", 90), target("sheets", 0)]);
    let unsplit = route(vec![target("sheets", 1)]);
    let terms = |cold_rate| ServicePolicy { cold_rate };
    let sent = ServiceMap {
        index: LogIndex::new(7),
        table: Some(std::sync::Arc::new(RouteTable {
            version: 51.into(),
            routes: [
                ("198.18.0.1:443".parse().unwrap(), split),
                ("198.18.0.1:8080".parse().unwrap(), unsplit),
            ]
            .into(),
            services: [
                ("orders".into(), terms(None)),
                ("sheets".into(), terms(Some(RequestRate::new(12.5)))),
            ]
            .into(),
            idle_timeout: Duration::from_secs(15),
        })),
        zones_out: BTreeSet::from(["pando".parse().unwrap()]),
    };
    let bytes = wire::ServiceMap::from(&sent).encode_to_vec();
    let read = wire::ServiceMap::decode(&*bytes).unwrap();
    assert_eq!(ServiceMap::try_from(read).unwrap(), sent);
    survives_damage::<wire::ServiceMap, ServiceMap>(&bytes);
}

#[rstest]
#[case::no_role(wire::Datagram::default())]
#[case::denied_port_too_large(wire::Datagram { role: 2, denials: vec![wire::Denial { service_port: 70_000, ..wire::Denial::default() }], ..wire::Datagram::default() })]
#[case::port_too_large(wire::Datagram { role: 2, places: vec![wire::FlowPlace { caller_port: 70_000, ..wire::FlowPlace::default() }], ..wire::Datagram::default() })]
#[case::answer_bytes(wire::Datagram { role: 2, report: Some(wire::ServerReport { zone: "a".to_owned(), answer_bytes: Some(1 << 16), ..wire::ServerReport::default() }), ..wire::Datagram::default() })]
#[case::failed_share(wire::Datagram { role: 2, report: Some(wire::ServerReport { zone: "a".to_owned(), failed_permille: 1 << 16, ..wire::ServerReport::default() }), ..wire::Datagram::default() })]
#[case::zone_is_no_name(wire::Datagram { role: 2, report: Some(wire::ServerReport { zone: "A B".to_owned(), ..wire::ServerReport::default() }), ..wire::Datagram::default() })]
fn refuses_malformed_datagrams(#[case] datagram: wire::Datagram) {
    Datagram::try_from(datagram).unwrap_err();
}

#[test]
fn refuses_a_route_to_an_unlisted_service() {
    let route = wire::Route {
        port: 443,
        targets: vec![wire::Target {
            service: 1,
            weight: 1,
        }],
        ..wire::Route::default()
    };
    let table = wire::RouteTable {
        routes: vec![route],
        services: vec![wire::Service::default()],
        ..wire::RouteTable::default()
    };
    RouteTable::try_from(table).unwrap_err();
}

/// The capacity estimates in the documentation use these sizes.
#[test]
fn encoded_size_of_a_route_and_a_flow_location() {
    let routes = (0..350_u16).map(|port| {
        let route = Route {
            targets: vec![Target {
                service: "orders".into(),
                weight: Weight::new(1),
            }],
            policy: RequestPolicy {
                target: Duration::from_millis(100),
                timeout: Duration::from_millis(1500),
                priority: 2,
            },
        };
        (
            SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 1000 + port),
            route,
        )
    });
    let table = RouteTable {
        routes: routes.collect(),
        services: [("orders".into(), ServicePolicy::default())].into(),
        ..RouteTable::default()
    };
    let table = wire::RouteTable::from(&table).encoded_len();
    let mut locations = Datagram::from(heartbeat(NodeRole::Agent));
    let empty = wire::Datagram::from(&locations).encoded_len();
    locations.flow_locations = (0..40).map(location).collect();
    let locations = wire::Datagram::from(&locations).encoded_len() - empty;
    assert_eq!((table / 350, locations / 40), (21, 24));
}

/// A datagram of the previous version with the attempts of callers that its sender has refused.
#[derive(Clone, PartialEq, Message)]
struct DatagramWithRefusals {
    #[prost(fixed64, tag = "1")]
    boot: u64,
    #[prost(int32, tag = "2")]
    role: i32,
    #[prost(message, repeated, tag = "13")]
    refused: Vec<RefusedAttempt>,
}

#[derive(Clone, PartialEq, Message)]
struct RefusedAttempt {
    #[prost(fixed32, tag = "1")]
    caller_ip: u32,
    #[prost(uint32, tag = "2")]
    caller_port: u32,
    #[prost(uint32, tag = "6")]
    refused_ms: u32,
}

/// Guards against nodes of the previous version that are not understood: what they say of refused attempts is skipped.
#[test]
fn refused_attempts_of_the_previous_version_are_skipped() {
    let attempt = RefusedAttempt {
        caller_ip: 1,
        caller_port: 70_000,
        refused_ms: 20,
    };
    let previous = DatagramWithRefusals {
        boot: 7,
        role: wire::Role::Agent.into(),
        refused: vec![attempt; 32],
    };
    let datagram = wire::Datagram::decode(&*previous.encode_to_vec()).unwrap();
    let expected = wire::Datagram {
        boot: 7,
        role: wire::Role::Agent.into(),
        ..wire::Datagram::default()
    };
    assert_eq!(datagram, expected);
    Datagram::try_from(datagram).unwrap();
}
