//! P2: the tunnel header says what was put in, and any change to it is noticed.

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
fn p2_a_header_comes_back_as_it_was(
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

/// Every bit of the header is covered: turning any one round is noticed.
#[test]
fn p2_a_changed_header_is_refused() {
    let good = encoded(&header(DatagramKind::ToServer, "192.0.2.9:4433"));
    for bit in 0..HEADER_BYTES * 8 {
        let mut bad = good.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        let cause = Header::decode(&KEY, &bad).map_err(DropCause::from);
        let seen = matches!(cause, Err(DropCause::WrongTag | DropCause::Malformed));
        assert!(seen, "bit {bit}: {cause:?}");
    }
}

#[rstest]
#[case::empty(&[])]
#[case::cut_off(&encoded(&header(DatagramKind::Reset, "192.0.2.9:1"))[..HEADER_BYTES - 1])]
#[case::something_else(&[0x40; 60])]
fn p2_what_is_no_header_is_malformed(#[case] raw: &[u8]) {
    let cause = Header::decode(&KEY, raw).map_err(DropCause::from);
    assert_eq!(cause, Err(DropCause::Malformed));
}

#[test]
fn p2_a_header_of_another_cluster_is_refused() {
    let raw = encoded(&header(DatagramKind::ToServer, "192.0.2.9:4433"));
    let other = ClusterKey::new(*b"another cluster.");
    let cause = Header::decode(&other, &raw).map_err(DropCause::from);
    assert_eq!(cause, Err(DropCause::WrongTag));
}
