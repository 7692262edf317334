//! An accepted change is never reverted, and a command is applied once, under failures of control hosts (P10).

use std::time::Duration;

use dogwoodrill_consensus::MemberId;
use dogwoodrill_core::changes::{COMMAND_WINDOW, Change, Refusal};
use dogwoodrill_core::config::{Profile, Version, ZoneState, ZoneStatus};
use dogwoodrill_core::control_status::HostRefusal;
use insta::{allow_duplicates, assert_snapshot};
use rstest::rstest;

use crate::operator_lab::{Answer, Simulation, command_id};
use crate::support::initial_config;

/// Returns a change of the queue limit of the profile that was read at `version`.
fn queue_limit(limit: u32, version: u64) -> Change {
    let config = initial_config();
    let profile = config.profiles.values().next().unwrap();
    Change::Profile(Profile {
        queue_limit: limit,
        version: Version::new(version),
        ..profile.clone()
    })
}

fn in_force(simulation: &Simulation, host: MemberId) -> (u32, Version) {
    let profile = simulation
        .replica(host)
        .state()
        .config
        .profiles
        .values()
        .next();
    profile.map(|p| (p.queue_limit, p.version)).unwrap()
}

fn message(answer: &Answer) -> String {
    match answer {
        Ok(accepted) => accepted.to_string(),
        Err(refusal) => refusal.to_string(),
    }
}

#[rstest]
#[case::in_one_batch(true)]
#[case::one_after_the_other(false)]
fn of_two_operators_with_equal_numbers_one_wins(#[case] together: bool) {
    let mut simulation = Simulation::start();
    let leader = simulation.until_leader();
    let commands = [
        (command_id(1, Duration::ZERO), queue_limit(10, 0)),
        (command_id(2, Duration::ZERO), queue_limit(20, 0)),
    ];
    let request_ids = if together {
        simulation.send_all(leader, &commands)
    } else {
        let send = |(id, change)| simulation.send(leader, id, &change);
        commands.into_iter().map(send).collect()
    };
    simulation.until(|simulation| request_ids.iter().all(|t| simulation.answer(*t).is_some()));
    let answers: Vec<_> = request_ids
        .iter()
        .map(|t| message(simulation.answer(*t).unwrap()))
        .collect();
    simulation.wait_until_equal();
    allow_duplicates! {
    assert_snapshot!(answers.join("\n"), @"
    accepted at index 3, version 1
    another change was accepted first: profile orders at version 1 is in force; read it and try again
    ");
    }
    assert_eq!(in_force(&simulation, leader), (10, Version::new(1)));
    let Some(Err(HostRefusal::Refused(Refusal::VersionConflict { current }))) =
        simulation.answer(request_ids[1])
    else {
        panic!("the second operator was not told what won");
    };
    assert_eq!(current.to_string(), "profile orders at version 1");
}

/// Case in which nothing happens between the first reply and the resend of a command; the other cases follow.
fn nothing(_: &mut Simulation) {}

fn another_change(simulation: &mut Simulation) {
    let id = command_id(9, Duration::ZERO);
    simulation.settle(id, &queue_limit(99, 1)).unwrap();
}

fn leader_killed(simulation: &mut Simulation) {
    let leader = simulation.until_leader();
    simulation.kill(leader);
    simulation.until_leader();
}

fn all_restarted(simulation: &mut Simulation) {
    for id in simulation.ids() {
        simulation.kill(id);
    }
    simulation.wait_until_equal();
}

/// Makes enough changes that a snapshot replaces the log, and restarts all hosts from it.
fn snapshot(simulation: &mut Simulation) {
    const CHANGES: u64 = 9000;
    let leader = simulation.until_leader();
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
        let request_ids = simulation.send_all(leader, batch);
        simulation.until(|simulation| simulation.answer(*request_ids.last().unwrap()).is_some());
    }
    all_restarted(simulation);
    let leader = simulation.until_leader();
    assert_eq!(simulation.replica(leader).state().answered.len(), 9001);
}

#[rstest]
#[case::answer_lost(nothing, (10, 1))]
#[case::changed_meanwhile(another_change, (99, 2))]
#[case::leader_changed(leader_killed, (10, 1))]
#[case::all_restarted(all_restarted, (10, 1))]
#[case::after_a_snapshot(snapshot, (10, 1))]
fn a_command_sent_again_gets_its_first_answer(
    #[case] meanwhile: fn(&mut Simulation),
    #[case] (limit, version): (u32, u64),
) {
    let mut simulation = Simulation::start();
    let id = command_id(1, Duration::ZERO);
    let first = simulation.settle(id, &queue_limit(10, 0));
    meanwhile(&mut simulation);
    let again = simulation.settle(id, &queue_limit(10, 0));
    let reused = simulation.settle(id, &queue_limit(11, 0));
    let leader = simulation.until_leader();
    first.as_ref().unwrap();
    assert_eq!(again, first);
    assert_eq!(reused, Err(HostRefusal::Refused(Refusal::CommandIdReused)));
    let expected = (limit, Version::new(version));
    assert_eq!(
        in_force(&simulation, leader),
        expected,
        "it was applied twice"
    );
}

/// Kills the leader after each event in turn, starting with the sending of a change.
#[test]
fn a_change_survives_its_leader_at_every_step() {
    let events_of = |simulation: &mut Simulation| {
        let leader = simulation.until_leader();
        let request_id =
            simulation.send(leader, command_id(1, Duration::ZERO), &queue_limit(10, 0));
        let before = simulation.events;
        simulation.until(|simulation| simulation.answer(request_id).is_some());
        simulation.events - before
    };
    let steps = events_of(&mut Simulation::start()) + 10;
    assert!(steps > 12, "there are too few steps to die at: {steps}");
    for step in 0..steps {
        let mut simulation = Simulation::start();
        let (leader, id) = (simulation.until_leader(), command_id(1, Duration::ZERO));
        let request_id = simulation.send(leader, id, &queue_limit(10, 0));
        let end = simulation.events + step;
        simulation.until(|simulation| simulation.events >= end);
        let first = simulation.answer(request_id).cloned();
        simulation.kill(leader);
        let second = simulation.settle(id, &queue_limit(10, 0));
        simulation.wait_until_equal();
        second.as_ref().unwrap();
        assert!(
            first.is_none_or(|first| first == second),
            "step {step}: the answer changed"
        );
        for host in simulation.ids() {
            assert_eq!(
                in_force(&simulation, host),
                (10, Version::new(1)),
                "step {step}"
            );
        }
    }
}

#[test]
fn a_leader_cut_off_for_an_hour_promises_nothing_and_its_change_does_not_come_back() {
    let mut simulation = Simulation::start();
    let (old, id) = (simulation.until_leader(), command_id(1, Duration::ZERO));
    simulation.isolated.insert(old);
    let lost = simulation.send(old, id, &queue_limit(10, 0));
    let new = simulation.until_leader();
    assert_ne!(new, old);
    let other = simulation.settle(command_id(2, Duration::ZERO), &queue_limit(20, 0));
    simulation.advance(COMMAND_WINDOW + Duration::from_mins(1));
    let late = simulation.send(old, command_id(3, COMMAND_WINDOW), &queue_limit(30, 0));
    let refused = simulation.answer(late).cloned();
    simulation.isolated.clear();
    simulation
        .settle(command_id(4, COMMAND_WINDOW), &queue_limit(40, 1))
        .unwrap();
    simulation.wait_until_equal();
    let again = simulation.settle(id, &queue_limit(10, 0));
    assert_eq!(simulation.answer(lost), Some(&Err(HostRefusal::NoQuorum)));
    assert_eq!(refused, Some(Err(HostRefusal::NotLeader(None))));
    other.unwrap();
    assert_eq!(again, Err(HostRefusal::Refused(Refusal::CommandIdExpired)));
    assert_eq!(in_force(&simulation, old), (40, Version::new(2)));
}
