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

use super::world::{Message, Node, Phase, World, attempt};

/// Steps of one schedule.
const STEPS: usize = 320;
/// Schedules of one run.
const CASES: u32 = 5_000;
/// Restarts of one schedule.
const MAX_RESTARTS: usize = 4;

/// The shape of a schedule.
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

/// Numbers that drive a schedule; none is left at its end.
struct Choices<'a>(std::slice::Iter<'a, u16>);

impl Choices<'_> {
    fn below(&mut self, n: usize) -> Option<usize> {
        self.0.next().map(|c| usize::from(*c) % n)
    }
}

/// How many schedules got to what they are meant to try.
#[derive(Debug, Default)]
struct Reached {
    ran: Cell<u32>,
    denied: Cell<u32>,
    recovered: Cell<u32>,
    changed_epoch: Cell<u32>,
}

impl Reached {
    fn count(&self, world: &World, restarts: usize) {
        let installed = |n: &Node| n.replica.status().installed.unwrap_or_default();
        let count = |counter: &Cell<u32>, reached: bool| counter.update(|c| c + u32::from(reached));
        count(&self.ran, !world.dispatched.is_empty());
        count(&self.denied, !world.not_run.is_empty());
        let all_installed = world.nodes.values().all(|n| installed(n).get() > 0);
        count(&self.recovered, restarts > 0 && all_installed);
        count(
            &self.changed_epoch,
            world.nodes.values().any(|n| installed(n).get() > 1),
        );
    }
}

fn play(
    rules: Rules,
    shape: Shape,
    choices: &[u16],
    reached: &Reached,
) -> Result<(), TestCaseError> {
    let mut world = World::new(rules, shape.replicas, shape.spare);
    let mut choices = Choices(choices.iter());
    let mut restarts = 0;
    while step(&mut world, shape, &mut choices, &mut restarts).is_some() {
        if let Some(fault) = world.fault() {
            return Err(TestCaseError::fail(fault));
        }
    }
    reached.count(&world, restarts);
    Ok(())
}

fn step(
    world: &mut World,
    shape: Shape,
    choices: &mut Choices<'_>,
    restarts: &mut usize,
) -> Option<()> {
    match choices.below(40)? {
        0..22 => deliver(world, choices, restarts)?,
        22 if !world.net.is_empty() => {
            let at = choices.below(world.net.len())?;
            world.net.swap_remove(at);
        }
        23 if !world.net.is_empty() => {
            let at = choices.below(world.net.len())?;
            world.deliver(world.net[at].clone());
        }
        24..27 if world.runs.len() < shape.runs => start(world, shape, choices)?,
        27..30 if !world.runs.is_empty() => {
            let run = choices.below(world.runs.len())?;
            world.proceed(run);
        }
        30 if !world.runs.is_empty() => {
            let run = choices.below(world.runs.len())?;
            world.give_up(run);
        }
        31..34 => {
            let server = any_server(world, choices)?;
            copy(world, server, choices)?;
        }
        34 => restart(world, choices, restarts)?,
        35 => {
            let server = any_server(world, choices)?;
            world.hear(server);
        }
        36 => world.hear_all(),
        37 if world.committed.last()?.is_settled() && world.epochs() < shape.epochs => {
            let first = choices.below(shape.spare as usize + 1)?;
            let first = u32::try_from(first).ok()? + 1;
            world.commit(first..first + shape.replicas);
        }
        38 => {
            world.settle();
        }
        _ => {}
    }
    Some(())
}

fn start(world: &mut World, shape: Shape, choices: &mut Choices<'_>) -> Option<()> {
    let number = choices.below(shape.runs)? + 1;
    let epoch_at = choices.below(world.committed.len())?;
    let crash_vector = match choices.below(2)? {
        0 => CrashVector::default(),
        _ => world.crash_vector(),
    };
    world.start(
        attempt(u32::try_from(number).ok()?),
        epoch_at,
        &crash_vector,
    );
    Some(())
}

fn deliver(world: &mut World, choices: &mut Choices<'_>, restarts: &mut usize) -> Option<()> {
    if world.net.is_empty() {
        return Some(());
    }
    let at = choices.below(world.net.len())?;
    let message = world.net.swap_remove(at);
    let granted = matches!(&message, Message::Reply(r) if r.answer == Answer::Granted);
    world.deliver(message);
    let still_asking = world
        .runs
        .iter()
        .any(|r| matches!(r.phase, Phase::Acquiring(_)));
    // A restart between two grants of one claim is where the rules matter most.
    if granted && still_asking && choices.below(3)? == 0 {
        restart(world, choices, restarts)?;
    }
    Some(())
}

fn restart(world: &mut World, choices: &mut Choices<'_>, restarts: &mut usize) -> Option<()> {
    if *restarts == MAX_RESTARTS {
        return Some(());
    }
    *restarts += 1;
    let server = any_server(world, choices)?;
    let heard = choices.below(world.committed.len())? + 1;
    world.restart(server, heard);
    copy(world, server, choices)
}

fn any_server(world: &World, choices: &mut Choices<'_>) -> Option<BackendServerId> {
    let at = choices.below(world.nodes.len())?;
    world.nodes.keys().nth(at).copied()
}

/// A node asks for copies; half of the time they come at once.
fn copy(world: &mut World, server: BackendServerId, choices: &mut Choices<'_>) -> Option<()> {
    let sent = world.net.len();
    world.ask_copies(server);
    if choices.below(2)? == 0 {
        for _ in 0..2 {
            let messages = world.net.split_off(sent);
            for message in messages {
                world.deliver(message);
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
    runner.run(&choices, |choices| play(rules, shape, &choices, &reached))?;
    Ok(reached)
}

#[rstest]
fn p6_p7_no_schedule_runs_an_order_twice_or_denies_one_that_ran(
    #[values(0, 1, 2, 3)] shape: usize,
    #[values(11, 12)] seed: u8,
) {
    let shape = SHAPES[shape];
    let reached = match search(Rules::default(), shape, seed, CASES) {
        Ok(reached) => reached,
        Err(e) => panic!("{e}"),
    };
    let often = |counter: &Cell<u32>| counter.get() > CASES / 50;
    assert!(often(&reached.ran) && often(&reached.denied), "{reached:?}");
    let recovers = often(&reached.recovered) || shape.epochs > 1;
    let changes = often(&reached.changed_epoch) || shape.epochs == 1;
    assert!(recovers && changes, "{reached:?}");
}

/// The rules whose lack plain random schedules find; the others have schedules of their own.
#[rstest]
#[case(Rule::Abstain, 0)]
#[case(Rule::Seal, 0)]
#[case(Rule::RefuseOldEpoch, 2)]
fn p6_p7_random_schedules_find_what_a_broken_rule_lets_through(
    #[case] rule: Rule,
    #[case] shape: usize,
) {
    let found = search(Rules::broken_for_tests(rule), SHAPES[shape], 11, 20_000);
    assert!(
        matches!(found, Err(TestError::Fail(..))),
        "no fault was found without {rule:?}"
    );
}
