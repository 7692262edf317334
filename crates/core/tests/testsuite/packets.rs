//! P2 at the balancer: the classification of packets by their bytes, and that it can't be forged.

use dogwoodrill_core::flow::{ClusterKey, ConnectionId, classify, classify_opaque};
use dogwoodrill_core::ids::ServiceId;
use insta::assert_snapshot;
use proptest::prelude::*;
use rstest::rstest;

use crate::fleet::{KEY, ORDERS, SHEETS, nth_incarnation};

const ID: ConnectionId = ConnectionId {
    server: dogwoodrill_core::ids::BackendServerId::new(7),
    incarnation: nth_incarnation(1).short(),
    nonce: [1, 2, 3, 4],
};
const SHORT: u8 = 0x40;
const INITIAL: u8 = 0xc0;
const ZERO_RTT: u8 = 0xd0;
const HANDSHAKE: u8 = 0xe0;
const V1: u32 = 1;
const GREASED: u32 = 0x0a1a_2a3a;

fn long(first: u8, version: u32, id: &[u8]) -> Vec<u8> {
    let len = u8::try_from(id.len()).unwrap();
    let version = version.to_be_bytes();
    [&[first], version.as_slice(), &[len], id, &[0; 20]].concat()
}

fn short(id: &[u8]) -> Vec<u8> {
    [&[SHORT], id, &[0; 20]].concat()
}

fn ours(service: ServiceId) -> [u8; 16] {
    ID.encode(&KEY, service)
}

fn classified(packet: &[u8]) -> String {
    let caller = "192.0.2.9:4433".parse().unwrap();
    match classify(&KEY, ORDERS, caller, packet) {
        Ok(class) => class.to_string(),
        Err(bad) => format!("bad: {bad}"),
    }
}

#[rstest]
fn p2_packets_are_classified_by_their_bytes() {
    let mut flipped = ours(ORDERS);
    flipped[3] ^= 1;
    let other_key = ClusterKey::new(*b"another cluster.");
    let rows = [
        ("short header, our id", short(&ours(ORDERS))),
        ("short header, id of another service", short(&ours(SHEETS))),
        ("short header, one bit flipped", short(&flipped)),
        (
            "short header, other cluster",
            short(&ID.encode(&other_key, ORDERS)),
        ),
        ("short header, cut off", short(&ours(ORDERS))[..12].to_vec()),
        ("empty", vec![]),
        ("one byte", vec![INITIAL]),
        ("initial, id of the caller", long(INITIAL, V1, &[9; 8])),
        ("initial, no id", long(INITIAL, V1, &[])),
        ("initial, our id", long(INITIAL, V1, &ours(ORDERS))),
        (
            "initial, id of another service",
            long(INITIAL, V1, &ours(SHEETS)),
        ),
        (
            "initial, id cut off",
            long(INITIAL, V1, &[9; 20])[..10].to_vec(),
        ),
        ("initial, id too long", long(INITIAL, V1, &[9; 21])),
        ("handshake, our id", long(HANDSHAKE, V1, &ours(ORDERS))),
        ("handshake, id of the caller", long(HANDSHAKE, V1, &[9; 8])),
        ("zero-rtt, id of the caller", long(ZERO_RTT, V1, &[9; 8])),
        (
            "handshake of an unknown version",
            long(HANDSHAKE, GREASED, &[9; 8]),
        ),
        ("version negotiation", long(INITIAL, 0, &[9; 8])),
    ];
    let text = rows.map(|(name, packet)| format!("{name}: {}", classified(&packet)));
    assert_snapshot!(text.join("\n"), @"
    short header, our id: pinned to server 7 life 15
    short header, id of another service: bad: wrong-tag
    short header, one bit flipped: bad: wrong-tag
    short header, other cluster: bad: wrong-tag
    short header, cut off: bad: short
    empty: bad: short
    one byte: bad: short
    initial, id of the caller: opening 64c468ee660b1c8b
    initial, no id: opening f2911ebeb3a74ce3
    initial, our id: pinned to server 7 life 15
    initial, id of another service: opening 570f0c987dfa893a
    initial, id cut off: bad: short
    initial, id too long: bad: short
    handshake, our id: pinned to server 7 life 15
    handshake, id of the caller: bad: wrong-tag
    zero-rtt, id of the caller: unknown 64c468ee660b1c8b
    handshake of an unknown version: opening 64c468ee660b1c8b
    version negotiation: bad: wrong-tag
    ");
}

#[test]
fn a_flow_without_ids_is_identified_by_the_caller_address() {
    let class = |service, caller: &str| classify_opaque(service, caller.parse().unwrap());
    let one = class(ORDERS, "192.0.2.9:4433");
    assert_eq!(one, class(ORDERS, "192.0.2.9:4433"));
    assert_ne!(one, class(ORDERS, "192.0.2.9:4434"));
    assert_ne!(one, class(ORDERS, "192.0.2.8:4433"));
    assert_ne!(one, class(SHEETS, "192.0.2.9:4433"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Arbitrary bytes are classified or refused, and are pinned only with a valid tag.
    #[test]
    fn p2_no_bytes_are_pinned_without_the_key(packet in prop::collection::vec(any::<u8>(), 0..80)) {
        let text = classified(&packet);
        prop_assert!(!text.starts_with("pinned"), "{}", text);
    }
}
