//! Messages of the relay tree are unchanged after encoding and decoding; malformed ones are refused with an
//! error that names the field.

use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::config::{CommittedConfig, Profile};
use dogwoodrill_core::directory::{
    BucketSet, Digest, MemberId, MemberState, Record, Role, ZoneDigest,
};
use dogwoodrill_core::ids::AvailabilityZone;
use dogwoodrill_spread::beacon::Beacon;
use dogwoodrill_spread::config_delta::ConfigDelta;
use dogwoodrill_spread::message::{
    FreshnessReply, Hello, LinkKind, MemberIncarnation, Message, NodeRole, Repair, ZoneTotal,
};
use dogwoodrill_spread::progress::{NodeConfigIndex, Progress};
use dogwoodrill_spread::suspicion::Observation;
use dogwoodrill_wire::proto::spread as wire;
use dogwoodrill_wire::proto::spread::frame::Body;
use prost::Message as _;
use rstest::rstest;

use crate::damage::survives_damage;

fn zone() -> AvailabilityZone {
    "pando".parse().unwrap()
}

fn record() -> Arc<Record> {
    Arc::new(Record {
        member: MemberId::BackendServer(7.into()),
        zone: zone(),
        incarnation: 3.into(),
        sequence: 4.into(),
        state: MemberState::Draining,
        tunnel: "10.0.0.1:7200".parse().unwrap(),
        peer: "[2001:db8::1]:7201".parse().unwrap(),
        eligible_at: 5.into(),
        role: Role::BackendServer {
            service: 6.into(),
            slots: 2,
            ramp_until: 9.into(),
        },
    })
}

fn incarnation_of_record() -> MemberIncarnation {
    MemberIncarnation::from(&*record())
}

fn config(index: u64, names: &[&str]) -> CommittedConfig {
    let profile = |name: &&str| Profile::standard(name.parse().unwrap());
    let profiles = names.iter().map(profile).map(|p| (p.name.clone(), p));
    CommittedConfig {
        index: index.into(),
        profiles: profiles.collect(),
        regions: [(zone(), "canelones".parse().unwrap())].into(),
        ..CommittedConfig::default()
    }
}

fn beacon() -> Beacon {
    Beacon {
        term: 1.into(),
        sent_at: 2.into(),
        index: 3.into(),
    }
}

fn progress() -> Progress {
    let node = |node: u64, index: u64| NodeConfigIndex {
        index: index.into(),
        node: node.into(),
    };
    let part = |n| Progress::of_node(zone(), n, true);
    Progress::sum(&[part(node(1, 5)), part(node(2, 6))])
}

fn digest() -> ZoneDigest {
    let mut buckets = [Digest::default(); 32];
    buckets[3] = Digest::from(77);
    buckets.into()
}

#[rstest]
#[case::hello(Message::Hello(Hello {
    node: 1.into(), zone: zone(), kind: LinkKind::Mesh, role: NodeRole::Control, index: 8.into(),
}))]
#[case::refusal(Message::Refusal(vec![record()]))]
#[case::bye(Message::Bye)]
#[case::records(Message::Records(vec![record()]))]
#[case::config(Message::Config(config(9, &["orders"]).into()))]
#[case::delta(Message::ConfigDelta(
    ConfigDelta::between(&config(9, &["orders"]), &config(10, &["sheets"])).into()
))]
#[case::pull(Message::Pull(4.into()))]
#[case::beacon(Message::Beacon(beacon()))]
#[case::heartbeat(Message::Heartbeat(incarnation_of_record()))]
#[case::observations(Message::Observations(vec![Observation {
    observer: 1.into(), subject: incarnation_of_record(), is_alive: true, since: 2.into(), reported_at: 3.into(),
}]))]
#[case::digests(Message::Digests(vec![ZoneTotal { zone: zone(), total: digest().total() }]))]
#[case::buckets(Message::Buckets(zone(), digest()))]
#[case::repair(Message::Repair(Repair {
    zone: zone(), buckets: BucketSet::ALL, records: vec![record()],
}))]
#[case::progress(Message::Progress(progress()))]
fn messages_round_trip(#[case] message: Message) {
    let frame = wire::Frame::from(&message);
    survives_damage::<wire::Frame, Message>(&frame.encode_to_vec());
    assert_eq!(Message::try_from(frame).unwrap(), message);
}

#[test]
fn answers_round_trip() {
    let answer = FreshnessReply {
        node: 1.into(),
        role: NodeRole::Agent,
        index: 2.into(),
        beacon: beacon(),
        beacon_age: Duration::from_millis(1500),
        balancers: vec![record()],
    };
    let wire = wire::Answer::from(&answer);
    assert_eq!(FreshnessReply::try_from(wire).unwrap(), answer);
}

#[rstest]
#[case::empty(None, "the message has no body")]
#[case::hello_without_link_kind(
    Some(Body::Hello(wire::Hello { zone: "pando".into(), ..Default::default() })),
    "the message has no link kind"
)]
#[case::bad_zone(
    Some(Body::Digests(wire::Digests {
        zones: vec![wire::ZoneTotal { zone: "Pando!".into(), total: 1 }],
    })),
    "zone is not a name"
)]
#[case::too_few_buckets(
    Some(Body::Buckets(wire::Buckets { zone: "pando".into(), digests: vec![1; 31] })),
    "number of digests is out of range"
)]
#[case::life_without_member(
    Some(Body::Heartbeat(wire::Life { member: None, incarnation: 1 })),
    "the message has no member"
)]
#[case::delta_without_values(
    Some(Body::ConfigDelta(wire::ConfigDelta::default())),
    "the message has no set"
)]
fn refuses_malformed_messages(#[case] body: Option<Body>, #[case] expected: &str) {
    let refused = Message::try_from(wire::Frame { body }).unwrap_err();
    assert_eq!(refused.to_string(), expected);
}
