//! How freshness replies are evaluated: when a node may first serve, and whether it is isolated.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dogwoodrill_core::ids::LogIndex;
use dogwoodrill_spread::ServingStatus;
use dogwoodrill_spread::beacon::Beacon;
use dogwoodrill_spread::inquiry::{IsolationCheck, IsolationFinding, Startup};
use dogwoodrill_spread::message::{FreshnessReply, NodeRole};
use rstest::rstest;

const MILLIS: Duration = Duration::from_millis(1);
const CONTROL: NodeRole = NodeRole::Control;
const RELAY: NodeRole = NodeRole::Balancer;

/// A reply: role, configuration index, and age of the beacon in ms, or `None` without any beacon.
type ReplySpec = (NodeRole, u64, Option<u32>);

fn reply_of((role, index, age): ReplySpec) -> FreshnessReply {
    let beacon = Beacon {
        sent_at: 1.into(),
        index: index.into(),
        ..Beacon::default()
    };
    FreshnessReply {
        node: 1.into(),
        role,
        index: index.into(),
        beacon: age.map_or(Beacon::default(), |_| beacon),
        beacon_age: age.unwrap_or_default() * MILLIS,
        balancers: Vec::new(),
    }
}

fn peer(at: usize) -> SocketAddr {
    ([127, 0, 0, 1], u16::try_from(at).unwrap() + 1).into()
}

#[rstest]
#[case::nobody_answers(&[None, None], 9, 9000, false)]
#[case::control_is_fresh(&[Some((CONTROL, 5, Some(10))), None], 5, 0, true)]
#[case::control_is_ahead(&[Some((CONTROL, 5, Some(10))), None], 4, 100, false)]
#[case::control_is_cut_off(&[Some((CONTROL, 5, Some(9000))), None], 5, 100, false)]
#[case::control_has_just_started(&[Some((CONTROL, 0, None)), None], 0, 100, false)]
#[case::control_is_cut_off_and_others_are_silent(&[Some((CONTROL, 5, Some(9000))), None], 5, 1000, true)]
#[case::the_highest_of_several(&[Some((RELAY, 5, Some(9000))), Some((RELAY, 7, Some(10)))], 5, 100, false)]
#[case::at_the_highest(&[Some((RELAY, 5, Some(9000))), Some((RELAY, 7, Some(10)))], 7, 100, true)]
#[case::the_highest_cannot_be_had(&[Some((RELAY, 5, Some(10))), Some((RELAY, 7, Some(10)))], 5, 5000, true)]
fn a_starting_node_serves_once_it_has_enough_replies(
    #[case] replies: &[Option<ReplySpec>],
    #[case] index: u64,
    #[case] after_ms: u32,
    #[case] may: bool,
) {
    let now = Instant::now();
    let mut startup = Startup::new(now);
    startup.query((0..replies.len()).map(peer));
    for (at, reply) in replies.iter().enumerate() {
        if let Some(reply) = reply {
            startup.on_freshness_reply(peer(at), Some(&reply_of(*reply)));
        }
    }
    let may_serve = startup.may_serve(now + after_ms * MILLIS, LogIndex::new(index));
    assert_eq!(may_serve, may);
}

#[rstest]
#[case::one_is_fresh(&[Some((RELAY, 5, Some(10))), Some((RELAY, 5, Some(9000)))], IsolationFinding::FreshElsewhere(vec![peer(1)]))]
#[case::all_are_stale(&[Some((RELAY, 5, Some(9000))), None], IsolationFinding::ControlUnreachable(vec![peer(0)]))]
#[case::one_has_just_started(&[Some((RELAY, 5, None)), None], IsolationFinding::ControlUnreachable(vec![peer(0)]))]
#[case::nobody(&[None, None], IsolationFinding::NoReplies)]
fn a_round_of_queries_gives_a_finding(
    #[case] replies: &[Option<ReplySpec>],
    #[case] finding: IsolationFinding,
) {
    let now = Instant::now();
    let mut isolation_check = IsolationCheck::new(now);
    isolation_check.start_round(now, (0..replies.len()).map(peer).collect());
    for (at, reply) in replies.iter().enumerate() {
        let reply = reply.map(reply_of);
        isolation_check.on_freshness_reply(peer(at), reply.as_ref());
    }
    assert_eq!(
        isolation_check.finish_round(now, Duration::ZERO),
        Some(finding)
    );
}

#[test]
fn two_consecutive_rounds_without_reply_mean_isolation() {
    let now = Instant::now();
    let mut isolation_check = IsolationCheck::new(now);
    let mut statuses = Vec::new();
    for has_reply in [false, true, false, false, true] {
        isolation_check.start_round(now, vec![peer(0)]);
        let reply = has_reply.then(|| reply_of((RELAY, 5, Some(9000))));
        isolation_check.on_freshness_reply(peer(0), reply.as_ref());
        isolation_check.finish_round(now, Duration::ZERO);
        statuses.push(isolation_check.serving_status() == ServingStatus::Isolated);
    }
    assert_eq!(statuses, [false, false, false, true, false]);
}
