//! What answers of others mean: when a node may serve first, and whether it is isolated.

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

/// What somebody says of itself: role, index, age of its beacon in ms; none if it never heard one.
type Said = (NodeRole, u64, Option<u32>);

fn answer((role, index, age): Said) -> FreshnessReply {
    let is_alive = Beacon {
        sent_at: 1.into(),
        index: index.into(),
        ..Beacon::default()
    };
    FreshnessReply {
        node: 1.into(),
        role,
        index: index.into(),
        beacon: age.map_or(Beacon::default(), |_| is_alive),
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
fn when_a_node_may_serve_first(
    #[case] said: &[Option<Said>],
    #[case] index: u64,
    #[case] after_ms: u32,
    #[case] may: bool,
) {
    let now = Instant::now();
    let mut startup = Startup::new(now);
    startup.ask((0..said.len()).map(peer));
    for (at, said) in said.iter().enumerate() {
        if let Some(said) = said {
            startup.on_freshness_reply(peer(at), Some(&answer(*said)));
        }
    }
    let may_serve = startup.may_serve(now + after_ms * MILLIS, LogIndex::new(index));
    assert_eq!(may_serve, may);
}

#[rstest]
#[case::one_is_fresh(&[Some((RELAY, 5, Some(10))), Some((RELAY, 5, Some(9000)))], IsolationFinding::Elsewhere(vec![peer(1)]))]
#[case::all_are_stale(&[Some((RELAY, 5, Some(9000))), None], IsolationFinding::ControlOut(vec![peer(0)]))]
#[case::one_has_just_started(&[Some((RELAY, 5, None)), None], IsolationFinding::ControlOut(vec![peer(0)]))]
#[case::nobody(&[None, None], IsolationFinding::Silence)]
fn what_a_round_of_questions_finds(
    #[case] said: &[Option<Said>],
    #[case] finding: IsolationFinding,
) {
    let now = Instant::now();
    let mut isolation_check = IsolationCheck::new(now);
    isolation_check.begin(now, (0..said.len()).map(peer).collect());
    for (at, said) in said.iter().enumerate() {
        let said = said.map(answer);
        isolation_check.on_freshness_reply(peer(at), said.as_ref());
    }
    assert_eq!(isolation_check.conclude(now, Duration::ZERO), Some(finding));
}

#[test]
fn two_silent_rounds_in_a_row_mean_isolation() {
    let now = Instant::now();
    let mut isolation_check = IsolationCheck::new(now);
    let mut statuses = Vec::new();
    for answers in [false, true, false, false, true] {
        isolation_check.begin(now, vec![peer(0)]);
        let said = answers.then(|| answer((RELAY, 5, Some(9000))));
        isolation_check.on_freshness_reply(peer(0), said.as_ref());
        isolation_check.conclude(now, Duration::ZERO);
        statuses.push(isolation_check.serving_status() == ServingStatus::Isolated);
    }
    assert_eq!(statuses, [false, false, false, true, false]);
}
