//! Handwritten schedules: a rare one for each rule, and common behaviour of callers and hosts.

use dogwoodrill_core::claims::rules::{Rule, Rules};
use rstest::rstest;

use super::world::{Phase, Simulation, server};

/// Lists the attempts that ran and those that were reported as not run.
fn summary(sim: &Simulation) -> String {
    let numbers = |attempts: &[_]| {
        let texts: Vec<_> = attempts.iter().map(ToString::to_string).collect();
        texts.join(",")
    };
    let (ran, not_run) = (numbers(&sim.dispatched), numbers(&sim.not_run));
    format!("ran [{ran}] not-run [{not_run}]")
}

/// A replica restarts between two grants of one claim: the grant of its old incarnation must not count
/// together with one given after the copy.
fn restart_between_grants(w: &mut Simulation) {
    let first = w.start_now(1);
    w.exchange(first, [1]);
    w.restart(server(1), 1);
    w.copy_from(1, [2, 3]);
    w.exchange(first, [2]);
    w.proceed(first);
    let second = w.start_now(2);
    w.exchange(second, [1, 3]);
    w.proceed(second);
}

/// Of two runs with grants, that of the minority spreads through a copy.
fn minority_grant_spreads(w: &mut Simulation) {
    let first = w.start_now(1);
    let second = w.start_now(2);
    w.exchange(first, [1]);
    w.exchange(second, [2, 3]);
    w.proceed(second);
    w.restart(server(3), 1);
    w.copy_from(3, [1, 2]);
    w.exchange(first, [3, 3]);
    w.proceed(first);
}

/// A replica that is needed for the majority of a claim restarts and does not copy.
fn restart_without_copy(w: &mut Simulation) {
    let first = w.start_now(1);
    w.exchange(first, [1, 2]);
    w.proceed(first);
    w.restart(server(2), 1);
    let second = w.start_now(2);
    w.exchange(second, [2, 3]);
    w.proceed(second);
}

/// The agent gives up a resend although the first attempt ran.
fn resend_shed_after_run(w: &mut Simulation) {
    let first = w.start_now(1);
    w.exchange(first, [1, 2]);
    w.proceed(first);
    let second = w.start_now(2);
    w.exchange(second, [1, 2, 3]);
    w.give_up(second);
    w.exchange(second, [1, 2, 3]);
}

/// The replicas of a new epoch start while those of the old one still grant.
fn old_epoch_still_grants(w: &mut Simulation) {
    let first = w.start_now(1);
    w.exchange(first, [1]);
    w.commit([3, 4, 5]);
    for number in 3..=5 {
        w.deliver_config(server(number));
        while w.deliver_config(server(number)) {}
    }
    w.copy_from(4, [2, 3]);
    w.copy_from(5, [2, 3]);
    w.exchange(first, [2]);
    w.proceed(first);
    let second = w.start_now(2);
    w.exchange(second, [4, 5]);
    w.proceed(second);
}

#[rstest]
#[case::fence(
    restart_between_grants,
    Rule::FenceCopies,
    "ran [2] not-run []",
    "ran [1,2] not-run []"
)]
#[case::block_only(
    minority_grant_spreads,
    Rule::BlockOnlyCopies,
    "ran [2] not-run []",
    "ran [2,1] not-run []"
)]
#[case::abstain(
    restart_without_copy,
    Rule::Abstain,
    "ran [1] not-run []",
    "ran [1,2] not-run []"
)]
#[case::seal(
    resend_shed_after_run,
    Rule::Seal,
    "ran [1] not-run []",
    "ran [1] not-run [2]"
)]
#[case::epoch(
    old_epoch_still_grants,
    Rule::RefuseOldEpoch,
    "ran [2] not-run []",
    "ran [1,2] not-run []"
)]
fn p6_p7_each_rule_is_needed(
    #[case] schedule: fn(&mut Simulation),
    #[case] rule: Rule,
    #[case] sound: &str,
    #[case] broken: &str,
) {
    let mut sim = Simulation::new(Rules::default(), 3, 2);
    schedule(&mut sim);
    assert_eq!((summary(&sim).as_str(), sim.fault()), (sound, None));

    let mut sim = Simulation::new(Rules::broken_for_tests(rule), 3, 2);
    schedule(&mut sim);
    assert_eq!(summary(&sim), broken);
    assert!(
        sim.fault().is_some(),
        "without {rule:?} no property was violated"
    );
}

fn resent_while_running(w: &mut Simulation) {
    let first = w.start_now(1);
    w.exchange(first, 1..=3);
    w.proceed(first);
    let second = w.start_now(1);
    w.exchange(second, 1..=5);
    w.proceed(second);
    w.exchange(second, 1..=5);
}

fn resent_after_the_answer_was_lost(w: &mut Simulation) {
    let first = w.start_now(1);
    w.exchange(first, 1..=3);
    w.proceed(first);
    w.proceed(first);
    w.exchange(first, 1..=3);
    let second = w.start_now(2);
    w.exchange(second, 3..=5);
    w.proceed(second);
}

fn replica_restarted(w: &mut Simulation) {
    let first = w.start_now(1);
    w.exchange(first, 1..=3);
    w.proceed(first);
    w.restart(server(1), 1);
    w.copy_from(1, 2..=5);
    let second = w.start_now(2);
    w.exchange(second, [1, 4, 5]);
    w.proceed(second);
}

fn two_replicas_restarted_in_turn(w: &mut Simulation) {
    let first = w.start_now(1);
    w.exchange(first, 1..=3);
    w.proceed(first);
    for number in [1, 2] {
        w.restart(server(number), 1);
        w.copy_from(number, 1..=5);
    }
    let second = w.start_now(2);
    w.exchange(second, [1, 2, 4, 5]);
    w.proceed(second);
}

/// Commits a group of these servers and settles it.
fn change_epoch(w: &mut Simulation, servers: [u32; 5]) {
    w.commit(servers);
    w.deliver_all_configs();
    for number in servers {
        w.copy_from(number, 1..=7);
    }
    assert!(w.settle());
    w.deliver_all_configs();
}

fn one_epoch_change(w: &mut Simulation) {
    let first = w.start_now(1);
    w.exchange(first, 1..=3);
    w.proceed(first);
    change_epoch(w, [3, 4, 5, 6, 7]);
    let second = w.start_now(2);
    w.exchange(second, 3..=7);
    w.proceed(second);
}

fn two_epoch_changes(w: &mut Simulation) {
    let first = w.start_now(1);
    w.exchange(first, 1..=3);
    w.proceed(first);
    change_epoch(w, [3, 4, 5, 6, 7]);
    change_epoch(w, [5, 6, 7, 1, 2]);
    let second = w.start_now(2);
    w.exchange(second, 1..=7);
    w.proceed(second);
}

fn request_runs_after_an_epoch_change(w: &mut Simulation) {
    change_epoch(w, [3, 4, 5, 6, 7]);
    let first = w.start_now(1);
    w.exchange(first, 3..=7);
    w.proceed(first);
}

/// Attempt 1 is delayed in a queue until attempt 2 was reported as not run; then it is sent.
fn delayed_past_a_later_not_run(w: &mut Simulation) {
    let second = w.start_now(2);
    w.give_up(second);
    w.exchange(second, 1..=5);
    let first = w.start_now(1);
    w.exchange(first, 1..=5);
    w.exchange(first, 1..=5);
    w.proceed(first);
    let third = w.start_now(3);
    w.exchange(third, 1..=5);
    w.proceed(third);
}

fn three_runs_split_five_replicas(w: &mut Simulation) {
    let runs = [w.start_now(1), w.start_now(1), w.start_now(1)];
    w.exchange(runs[0], [1, 2]);
    w.exchange(runs[1], [3, 4]);
    w.exchange(runs[2], [5]);
    for run in runs {
        w.exchange(run, 1..=5);
        w.exchange(run, 1..=5);
    }
    assert!(w.runs.iter().all(|r| !matches!(r.phase, Phase::Running(_))));
    let resend = w.start_now(2);
    w.exchange(resend, 1..=5);
    w.proceed(resend);
}

/// The run got the claim, but the backend server refused the connection.
fn claimed_and_not_sent(w: &mut Simulation) {
    let first = w.start_now(1);
    w.exchange(first, 1..=5);
    w.give_up(first);
    w.exchange(first, 1..=5);
    let second = w.start_now(2);
    w.exchange(second, 1..=5);
    w.proceed(second);
}

/// All replicas restart at once: nothing is granted, and nothing is reported as not run.
fn all_replicas_restarted(w: &mut Simulation) {
    let first = w.start_now(1);
    w.exchange(first, 1..=5);
    w.proceed(first);
    for number in 1..=5 {
        w.restart(server(number), 1);
    }
    for number in 1..=5 {
        w.copy_from(number, 1..=5);
    }
    let second = w.start_now(2);
    w.exchange(second, 1..=5);
    w.give_up(second);
    w.exchange(second, 1..=5);
}

#[rstest]
#[case(resent_while_running, "ran [1] not-run []")]
#[case(resent_after_the_answer_was_lost, "ran [1] not-run []")]
#[case(replica_restarted, "ran [1] not-run []")]
#[case(two_replicas_restarted_in_turn, "ran [1] not-run []")]
#[case(one_epoch_change, "ran [1] not-run []")]
#[case(two_epoch_changes, "ran [1] not-run []")]
#[case(request_runs_after_an_epoch_change, "ran [1] not-run []")]
#[case(delayed_past_a_later_not_run, "ran [3] not-run [2,1]")]
#[case(three_runs_split_five_replicas, "ran [2] not-run [1,1]")]
#[case(claimed_and_not_sent, "ran [2] not-run [1]")]
#[case(all_replicas_restarted, "ran [1] not-run []")]
fn p6_p7_schedules_with_five_replicas(
    #[case] schedule: fn(&mut Simulation),
    #[case] expected: &str,
) {
    let mut sim = Simulation::new(Rules::default(), 5, 2);
    schedule(&mut sim);
    assert_eq!((summary(&sim).as_str(), sim.fault()), (expected, None));
}
