//! The limit on the children of a relay.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill_core::directory::{MemberId, MemberState, Record, Role};
use dogwoodrill_core::ids::LogIndex;
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_spread::message::{Hello, LinkId, LinkKind, MemberIncarnation, Message, NodeRole};
use dogwoodrill_spread::topology::NodeLocation;
use dogwoodrill_spread::{Node, NodeOptions, Now, Output};
use rstest::rstest;

const ZONE: &str = "gent";

fn balancer(node: u64) -> Arc<Record> {
    let address = ([127, 0, 0, 1], u16::try_from(1000 + node).unwrap()).into();
    Arc::new(Record {
        member: MemberId::Balancer(node.into()),
        zone: ZONE.parse().unwrap(),
        incarnation: 1.into(),
        sequence: 1.into(),
        state: MemberState::Serving,
        tunnel: address,
        peer: address,
        eligible_at: UnixMillis::default(),
        role: Role::Balancer,
    })
}

fn hello(node: u64, kind: LinkKind) -> Message {
    Message::Hello(Hello {
        node: node.into(),
        zone: ZONE.parse().unwrap(),
        kind,
        role: NodeRole::Balancer,
        index: LogIndex::default(),
    })
}

fn refusals(outputs: &[Output]) -> usize {
    let refused = |o: &&Output| matches!(o, Output::Send { message: Message::Refusal(others), .. } if !others.is_empty());
    outputs.iter().filter(refused).count()
}

#[rstest]
#[case::feeds(LinkKind::Feed)]
#[case::observed(LinkKind::Observe)]
fn a_relay_above_its_limit_refuses_excess_children_one_per_second(#[case] kind: LinkKind) {
    let mut now = Now {
        instant: Instant::now(),
        wall: UnixMillis::new(1),
    };
    let location = NodeLocation {
        node: 1.into(),
        zone: ZONE.parse().unwrap(),
        is_control: false,
        seeds: Vec::new(),
    };
    let role = NodeRole::Balancer;
    let mut node = Node::new(
        now,
        NodeOptions {
            location,
            role,
            seed: 1,
        },
    );
    // The relay is the only serving balancer among 31 members, so its limit is high: it refuses no
    // child, and it knows of no balancer that could take one.
    node.on_record(now, &balancer(1));
    for member in 2..32 {
        let mut record = Record::clone(&balancer(member));
        record.state = MemberState::Draining;
        node.on_record(now, &Arc::new(record));
    }
    for child in 2..32 {
        let link = LinkId::Accepted(child);
        node.on_link_up(now, link);
        let outputs = node.on_message(now, link, hello(child, kind));
        assert_eq!(refusals(&outputs), 0);
    }
    // The other balancers are serving now.
    for member in 2..32 {
        let mut record = Record::clone(&balancer(member));
        record.sequence = 2.into();
        node.on_record(now, &Arc::new(record));
    }
    let mut refused = Vec::new();
    for _ in 0..30 {
        let step = Duration::from_secs(1);
        now.instant += step;
        now.wall = now.wall.plus(step);
        for child in 2..32 {
            let beat = Message::Heartbeat(MemberIncarnation::from(&*balancer(child)));
            node.on_message(now, LinkId::Accepted(child), beat);
        }
        let outputs = node.on_tick(now);
        refused.push(refusals(&outputs));
        // A child that was refused must not be reported as silent.
        let reports_silence = |o: &Output| {
            matches!(
                o,
                Output::Send {
                    message: Message::Observations(_),
                    ..
                }
            )
        };
        assert!(!outputs.iter().any(reports_silence));
    }
    assert!(refused.iter().all(|n| *n <= 1), "{refused:?}");
    // Of thirty children, twelve stay.
    assert_eq!(refused.iter().sum::<usize>(), 18);
    let late = LinkId::Accepted(99);
    node.on_link_up(now, late);
    let outputs = node.on_message(now, late, hello(99, kind));
    assert_eq!(refusals(&outputs), 1);
}
