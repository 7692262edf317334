//! Property P2: a tunnel header is unchanged after encoding and decoding, and any modification of it is
//! detected.

use dogwoodrill_core::drop_cause::DropCause;
use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_wire::tunnel::{AddressTag, HEADER_BYTES, Header, DatagramKind};
use rstest::rstest;

const KEY: ClusterKey = ClusterKey::new(*b"a key for tests.");
const PAYLOAD: &[u8] = b"a packet";

fn header(kind: DatagramKind, caller: &str) -> Header {
    Header {
        kind,
        hops: 3,
        settled: true,
        service: 7.into(),
        server: 70_000.into(),
        address: AddressTag::of(&KEY, "192.0.2.1:443".parse().unwrap()),
        caller: caller.parse().unwrap(),
    }
}

fn encoded(header: &Header) -> Vec<u8> {
    let mut raw = [0; HEADER_BYTES];
    header.encode(&KEY, &mut raw);
    [&raw, PAYLOAD].concat()
}

#[rstest]
fn p2_headers_round_trip(
    #[values(DatagramKind::ToServer, DatagramKind::ToCaller, DatagramKind::Reset)] kind: DatagramKind,
    #[values("192.0.2.9:4433", "[2001:db8::9]:4433")] caller: &str,
    #[values(true, false)] settled: bool,
) {
    let header = Header {
        settled,
        ..header(kind, caller)
    };
    assert_eq!(
        Header::decode(&KEY, &encoded(&header)),
        Ok((header, PAYLOAD))
    );
}

/// The tag covers every bit of the header: flipping any single bit is detected.
#[test]
fn p2_refuses_a_modified_header() {
    let valid = encoded(&header(DatagramKind::ToServer, "192.0.2.9:4433"));
    for bit in 0..HEADER_BYTES * 8 {
        let mut modified = valid.clone();
        modified[bit / 8] ^= 1 << (bit % 8);
        let cause = Header::decode(&KEY, &modified).map_err(DropCause::from);
        let is_refused = matches!(cause, Err(DropCause::WrongTag | DropCause::Malformed));
        assert!(is_refused, "bit {bit}: {cause:?}");
    }
}

#[rstest]
#[case::empty(&[])]
#[case::cut_off(&encoded(&header(DatagramKind::Reset, "192.0.2.9:1"))[..HEADER_BYTES - 1])]
#[case::something_else(&[0x40; 60])]
fn p2_refuses_malformed_headers(#[case] raw: &[u8]) {
    let cause = Header::decode(&KEY, raw).map_err(DropCause::from);
    assert_eq!(cause, Err(DropCause::Malformed));
}

#[test]
fn p2_refuses_a_header_of_another_cluster() {
    let raw = encoded(&header(DatagramKind::ToServer, "192.0.2.9:4433"));
    let other = ClusterKey::new(*b"another cluster.");
    let cause = Header::decode(&other, &raw).map_err(DropCause::from);
    assert_eq!(cause, Err(DropCause::WrongTag));
}
