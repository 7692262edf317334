//! Random loss, delay, duplication, reordering, restarts and epoch changes, from fixed seeds.

use std::cell::Cell;

use dogwoodrill_core::claims::lives::CrashVector;
use dogwoodrill_core::claims::message::Answer;
use dogwoodrill_core::claims::rules::{Rule, Rules};
use dogwoodrill_core::ids::BackendServerId;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use rstest::rstest;

use super::world::{Message, Node, Phase, Simulation, attempt};

/// Number of steps per schedule.
const STEPS: usize = 320;
/// Number of schedules per test case.
const CASES: u32 = 5_000;
/// Maximum number of restarts per schedule.
const MAX_RESTARTS: usize = 4;

/// The number of replicas, spare servers, runs and epochs of a schedule.
#[derive(Clone, Copy, Debug)]
struct Shape {
    replicas: u32,
    spare: u32,
    runs: usize,
    epochs: usize,
}

const SHAPES: [Shape; 4] = [
    Shape {
        replicas: 3,
        spare: 0,
        runs: 2,
        epochs: 1,
    },
    Shape {
        replicas: 5,
        spare: 0,
        runs: 3,
        epochs: 1,
    },
    Shape {
        replicas: 3,
        spare: 2,
        runs: 2,
        epochs: 3,
    },
    Shape {
        replicas: 5,
        spare: 2,
        runs: 3,
        epochs: 2,
    },
];

/// The random numbers that drive a schedule, which ends when they are used up.
struct Choices<'a>(std::slice::Iter<'a, u16>);

impl Choices<'_> {
    fn below(&mut self, n: usize) -> Option<usize> {
        self.0.next().map(|c| usize::from(*c) % n)
    }
}

/// Number of schedules that reached each situation to be tested.
#[derive(Debug, Default)]
struct Reached {
    ran: Cell<u32>,
    not_run: Cell<u32>,
    recovered: Cell<u32>,
    changed_epoch: Cell<u32>,
}

impl Reached {
    fn count(&self, sim: &Simulation, restarts: usize) {
        let installed = |n: &Node| n.replica.status().installed.unwrap_or_default();
        let count = |counter: &Cell<u32>, reached: bool| counter.update(|c| c + u32::from(reached));
        count(&self.ran, !sim.dispatched.is_empty());
        count(&self.not_run, !sim.not_run.is_empty());
        let all_installed = sim.nodes.values().all(|n| installed(n).get() > 0);
        count(&self.recovered, restarts > 0 && all_installed);
        count(
            &self.changed_epoch,
            sim.nodes.values().any(|n| installed(n).get() > 1),
        );
    }
}

fn simulate(
    rules: Rules,
    shape: Shape,
    choices: &[u16],
    reached: &Reached,
) -> Result<(), TestCaseError> {
    let mut sim = Simulation::new(rules, shape.replicas, shape.spare);
    let mut choices = Choices(choices.iter());
    let mut restarts = 0;
    while step(&mut sim, shape, &mut choices, &mut restarts).is_some() {
        if let Some(fault) = sim.fault() {
            return Err(TestCaseError::fail(fault));
        }
    }
    reached.count(&sim, restarts);
    Ok(())
}

fn step(
    sim: &mut Simulation,
    shape: Shape,
    choices: &mut Choices<'_>,
    restarts: &mut usize,
) -> Option<()> {
    match choices.below(40)? {
        0..22 => deliver(sim, choices, restarts)?,
        22 if !sim.net.is_empty() => {
            let at = choices.below(sim.net.len())?;
            sim.net.swap_remove(at);
        }
        23 if !sim.net.is_empty() => {
            let at = choices.below(sim.net.len())?;
            sim.deliver(sim.net[at].clone());
        }
        24..27 if sim.runs.len() < shape.runs => start(sim, shape, choices)?,
        27..30 if !sim.runs.is_empty() => {
            let run = choices.below(sim.runs.len())?;
            sim.proceed(run);
        }
        30 if !sim.runs.is_empty() => {
            let run = choices.below(sim.runs.len())?;
            sim.give_up(run);
        }
        31..34 => {
            let server = any_server(sim, choices)?;
            copy(sim, server, choices)?;
        }
        34 => restart(sim, choices, restarts)?,
        35 => {
            let server = any_server(sim, choices)?;
            sim.deliver_config(server);
        }
        36 => sim.deliver_all_configs(),
        37 if sim.committed.last()?.is_settled() && sim.epochs() < shape.epochs => {
            let first = choices.below(shape.spare as usize + 1)?;
            let first = u32::try_from(first).ok()? + 1;
            sim.commit(first..first + shape.replicas);
        }
        38 => {
            sim.settle();
        }
        _ => {}
    }
    Some(())
}

fn start(sim: &mut Simulation, shape: Shape, choices: &mut Choices<'_>) -> Option<()> {
    let number = choices.below(shape.runs)? + 1;
    let epoch_at = choices.below(sim.committed.len())?;
    let crash_vector = match choices.below(2)? {
        0 => CrashVector::default(),
        _ => sim.crash_vector(),
    };
    sim.start(
        attempt(u32::try_from(number).ok()?),
        epoch_at,
        &crash_vector,
    );
    Some(())
}

fn deliver(sim: &mut Simulation, choices: &mut Choices<'_>, restarts: &mut usize) -> Option<()> {
    if sim.net.is_empty() {
        return Some(());
    }
    let at = choices.below(sim.net.len())?;
    let message = sim.net.swap_remove(at);
    let granted = matches!(&message, Message::Reply(r) if r.answer == Answer::Granted);
    sim.deliver(message);
    let still_acquiring = sim
        .runs
        .iter()
        .any(|r| matches!(r.phase, Phase::Acquiring(_)));
    // The rules matter most if a replica restarts between two grants of one claim.
    if granted && still_acquiring && choices.below(3)? == 0 {
        restart(sim, choices, restarts)?;
    }
    Some(())
}

fn restart(sim: &mut Simulation, choices: &mut Choices<'_>, restarts: &mut usize) -> Option<()> {
    if *restarts == MAX_RESTARTS {
        return Some(());
    }
    *restarts += 1;
    let server = any_server(sim, choices)?;
    let configs_received = choices.below(sim.committed.len())? + 1;
    sim.restart(server, configs_received);
    copy(sim, server, choices)
}

fn any_server(sim: &Simulation, choices: &mut Choices<'_>) -> Option<BackendServerId> {
    let at = choices.below(sim.nodes.len())?;
    sim.nodes.keys().nth(at).copied()
}

/// A node requests copies; in half of the cases they are delivered immediately.
fn copy(sim: &mut Simulation, server: BackendServerId, choices: &mut Choices<'_>) -> Option<()> {
    let sent = sim.net.len();
    sim.send_copy_requests(server);
    if choices.below(2)? == 0 {
        for _ in 0..2 {
            let messages = sim.net.split_off(sent);
            for message in messages {
                sim.deliver(message);
            }
        }
    }
    Some(())
}

fn search(
    rules: Rules,
    shape: Shape,
    seed: u8,
    cases: u32,
) -> Result<Reached, TestError<Vec<u16>>> {
    let reached = Reached::default();
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let choices = vec(any::<u16>(), STEPS);
    runner.run(&choices, |choices| {
        simulate(rules, shape, &choices, &reached)
    })?;
    Ok(reached)
}

#[rstest]
fn p6_p7_no_schedule_runs_a_request_twice_or_reports_a_run_as_not_run(
    #[values(0, 1, 2, 3)] shape: usize,
    #[values(11, 12)] seed: u8,
) {
    let shape = SHAPES[shape];
    let reached = match search(Rules::default(), shape, seed, CASES) {
        Ok(reached) => reached,
        Err(e) => panic!("{e}"),
    };
    let often = |counter: &Cell<u32>| counter.get() > CASES / 50;
    assert!(
        often(&reached.ran) && often(&reached.not_run),
        "{reached:?}"
    );
    let recovers = often(&reached.recovered) || shape.epochs > 1;
    let changes = often(&reached.changed_epoch) || shape.epochs == 1;
    assert!(recovers && changes, "{reached:?}");
}

/// Random schedules find the faults if one of these rules is disabled; the other rules need handwritten
/// schedules.
#[rstest]
#[case(Rule::Abstain, 0)]
#[case(Rule::Seal, 0)]
#[case(Rule::RefuseOldEpoch, 2)]
fn p6_p7_random_schedules_find_the_fault_of_a_disabled_rule(
    #[case] rule: Rule,
    #[case] shape: usize,
) {
    let found = search(Rules::broken_for_tests(rule), SHAPES[shape], 11, 20_000);
    assert!(
        matches!(found, Err(TestError::Fail(..))),
        "no fault was found without {rule:?}"
    );
}
