//! An accepted change never reverts, and a command counts once, whatever happens to the hosts (P10).

use std::time::Duration;

use dogwoodrill_consensus::MemberId;
use dogwoodrill_core::changes::{COMMAND_WINDOW, Change, Refusal};
use dogwoodrill_core::config::{Profile, Version, ZoneState, ZoneStatus};
use dogwoodrill_core::control_status::HostRefusal;
use insta::{allow_duplicates, assert_snapshot};
use rstest::rstest;

use crate::operator_lab::{Answer, Lab, command_id};
use crate::support::initial_config;

/// The profile of orders with another queue limit, read at `version`.
fn queue_limit(limit: u32, version: u64) -> Change {
    let config = initial_config();
    let profile = config.profiles.values().next().unwrap();
    Change::Profile(Profile {
        queue_limit: limit,
        version: Version::new(version),
        ..profile.clone()
    })
}

fn in_force(lab: &Lab, host: MemberId) -> (u32, Version) {
    let profile = lab.replica(host).state().config.profiles.values().next();
    profile.map(|p| (p.queue_limit, p.version)).unwrap()
}

fn said(answer: &Answer) -> String {
    match answer {
        Ok(accepted) => accepted.to_string(),
        Err(refusal) => refusal.to_string(),
    }
}

#[rstest]
#[case::in_one_batch(true)]
#[case::one_after_the_other(false)]
fn of_two_operators_with_equal_numbers_one_wins(#[case] together: bool) {
    let mut lab = Lab::start();
    let leader = lab.until_leader();
    let commands = [
        (command_id(1, Duration::ZERO), queue_limit(10, 0)),
        (command_id(2, Duration::ZERO), queue_limit(20, 0)),
    ];
    let tickets = if together {
        lab.send_all(leader, &commands)
    } else {
        let send = |(id, change)| lab.send(leader, id, &change);
        commands.into_iter().map(send).collect()
    };
    lab.until(|lab| tickets.iter().all(|t| lab.answer(*t).is_some()));
    let answers: Vec<_> = tickets
        .iter()
        .map(|t| said(lab.answer(*t).unwrap()))
        .collect();
    lab.agree();
    allow_duplicates! {
    assert_snapshot!(answers.join("\n"), @"
    accepted at index 3, version 1
    another change was accepted first: profile orders at version 1 is in force; read it and try again
    ");
    }
    assert_eq!(in_force(&lab, leader), (10, Version::new(1)));
    let Some(Err(HostRefusal::Refused(Refusal::VersionConflict { current }))) =
        lab.answer(tickets[1])
    else {
        panic!("the second operator was not told what won");
    };
    assert_eq!(current.to_string(), "profile orders at version 1");
}

/// What happens between the first answer and the second sending of the same command.
fn nothing(_: &mut Lab) {}

fn another_change(lab: &mut Lab) {
    let id = command_id(9, Duration::ZERO);
    lab.settle(id, &queue_limit(99, 1)).unwrap();
}

fn leader_killed(lab: &mut Lab) {
    let leader = lab.until_leader();
    lab.kill(leader);
    lab.until_leader();
}

fn all_restarted(lab: &mut Lab) {
    for id in lab.ids() {
        lab.kill(id);
    }
    lab.agree();
}

/// Enough changes that the log is replaced by a snapshot, then a start from that.
fn snapshot(lab: &mut Lab) {
    const CHANGES: u64 = 9000;
    let leader = lab.until_leader();
    let zone = |version| {
        Change::Zone(ZoneState {
            name: "pando".parse().unwrap(),
            version: Version::new(version),
            status: ZoneStatus::In,
        })
    };
    let commands: Vec<_> = (0..CHANGES)
        .map(|n| (command_id(0, Duration::from_millis(n + 1)), zone(n)))
        .collect();
    for batch in commands.chunks(1000) {
        let tickets = lab.send_all(leader, batch);
        lab.until(|lab| lab.answer(*tickets.last().unwrap()).is_some());
    }
    all_restarted(lab);
    let leader = lab.until_leader();
    assert_eq!(lab.replica(leader).state().answered.len(), 9001);
}

#[rstest]
#[case::answer_lost(nothing, (10, 1))]
#[case::changed_meanwhile(another_change, (99, 2))]
#[case::leader_changed(leader_killed, (10, 1))]
#[case::all_restarted(all_restarted, (10, 1))]
#[case::after_a_snapshot(snapshot, (10, 1))]
fn a_command_sent_again_gets_its_first_answer(
    #[case] meanwhile: fn(&mut Lab),
    #[case] (limit, version): (u32, u64),
) {
    let mut lab = Lab::start();
    let id = command_id(1, Duration::ZERO);
    let first = lab.settle(id, &queue_limit(10, 0));
    meanwhile(&mut lab);
    let again = lab.settle(id, &queue_limit(10, 0));
    let reused = lab.settle(id, &queue_limit(11, 0));
    let leader = lab.until_leader();
    first.as_ref().unwrap();
    assert_eq!(again, first);
    assert_eq!(reused, Err(HostRefusal::Refused(Refusal::CommandIdReused)));
    let expected = (limit, Version::new(version));
    assert_eq!(in_force(&lab, leader), expected, "it was applied twice");
}

/// The leader dies after each event in turn from the sending of a change on.
#[test]
fn a_change_survives_its_leader_at_every_step() {
    let events_of = |lab: &mut Lab| {
        let leader = lab.until_leader();
        let ticket = lab.send(leader, command_id(1, Duration::ZERO), &queue_limit(10, 0));
        let before = lab.events;
        lab.until(|lab| lab.answer(ticket).is_some());
        lab.events - before
    };
    let steps = events_of(&mut Lab::start()) + 10;
    assert!(steps > 12, "there are too few steps to die at: {steps}");
    for step in 0..steps {
        let mut lab = Lab::start();
        let (leader, id) = (lab.until_leader(), command_id(1, Duration::ZERO));
        let ticket = lab.send(leader, id, &queue_limit(10, 0));
        let end = lab.events + step;
        lab.until(|lab| lab.events >= end);
        let first = lab.answer(ticket).cloned();
        lab.kill(leader);
        let second = lab.settle(id, &queue_limit(10, 0));
        lab.agree();
        second.as_ref().unwrap();
        assert!(
            first.is_none_or(|first| first == second),
            "step {step}: the answer changed"
        );
        for host in lab.ids() {
            assert_eq!(in_force(&lab, host), (10, Version::new(1)), "step {step}");
        }
    }
}

#[test]
fn a_leader_cut_off_for_an_hour_promises_nothing_and_its_change_does_not_come_back() {
    let mut lab = Lab::start();
    let (old, id) = (lab.until_leader(), command_id(1, Duration::ZERO));
    lab.isolated.insert(old);
    let lost = lab.send(old, id, &queue_limit(10, 0));
    let new = lab.until_leader();
    assert_ne!(new, old);
    let other = lab.settle(command_id(2, Duration::ZERO), &queue_limit(20, 0));
    lab.pass(COMMAND_WINDOW + Duration::from_mins(1));
    let late = lab.send(old, command_id(3, COMMAND_WINDOW), &queue_limit(30, 0));
    let refused = lab.answer(late).cloned();
    lab.isolated.clear();
    lab.settle(command_id(4, COMMAND_WINDOW), &queue_limit(40, 1))
        .unwrap();
    lab.agree();
    let again = lab.settle(id, &queue_limit(10, 0));
    assert_eq!(lab.answer(lost), Some(&Err(HostRefusal::NoQuorum)));
    assert_eq!(refused, Some(Err(HostRefusal::NotLeader(None))));
    other.unwrap();
    assert_eq!(again, Err(HostRefusal::Refused(Refusal::CommandIdExpired)));
    assert_eq!(in_force(&lab, old), (40, Version::new(2)));
}
