//! Random schedules of faults, each derived from one seed, and rules broken on purpose.

use std::time::Duration;

use dogwoodrill_consensus::{
    Envelope, MemberId, Message, Node, Options, PersistedState, Snapshot, VoteKind,
};
use rand::Rng;
use rand::seq::IndexedRandom;
use rstest::rstest;

use crate::checker::{Checked, Counts, Violation, holds};
use crate::simulation::{RELIABLE, Sabotage, Simulation};
use crate::support::{ELECTION_TIMEOUT, options, start, voters};

const FAULTY_STEPS: u64 = 500;
const HEALED_STEPS: u64 = 300;

/// Injects one random fault or request.
fn inject_fault(simulation: &mut Simulation, lost: &mut Option<(MemberId, MemberId)>) -> Checked {
    let ids = simulation.ids();
    let id = *ids.choose(&mut simulation.rng).unwrap();
    match simulation.rng.random_range(0..1000) {
        0..300 => simulation.propose(id)?,
        300..400 => simulation.read(id)?,
        400..408 => {
            let keep_write = simulation.rng.random();
            simulation.crash(id, keep_write);
        }
        408..438 => simulation.restart(id),
        438..443 => partition(simulation, &ids),
        443..448 => {
            let other = *ids.choose(&mut simulation.rng).unwrap();
            simulation.cut_links.insert((id, other));
        }
        448..460 => simulation.cut_links.clear(),
        460..470 => simulation.compact(id),
        470..472 if lost.is_none() && Some(id) != simulation.leader() => {
            *lost = Some((simulation.replace(id), id));
        }
        472..492 => {
            if let Some((joining, replaced)) = *lost {
                simulation.join_as_replacement(joining, replaced);
            }
        }
        _ => {}
    }
    Ok(())
}

/// Partitions the hosts into two groups, in both directions.
fn partition(simulation: &mut Simulation, ids: &[MemberId]) {
    let side: Vec<bool> = ids.iter().map(|_| simulation.rng.random()).collect();
    for (a, a_side) in ids.iter().zip(&side) {
        let others = ids
            .iter()
            .zip(&side)
            .filter(|(_, b_side)| *b_side != a_side);
        simulation.cut_links.extend(others.map(|(b, _)| (*a, *b)));
    }
}

/// Runs the schedule of one seed, then heals all faults and checks that the members converge.
fn run(members: u64, seed: u64, sabotage: Sabotage) -> Result<Counts, Violation> {
    let mut simulation = Simulation::new(&voters(members), seed, sabotage);
    let mut lost = None;
    for _ in 0..FAULTY_STEPS {
        inject_fault(&mut simulation, &mut lost)?;
        simulation.step()?;
    }
    simulation.cut_links.clear();
    simulation.network = RELIABLE;
    for id in simulation.ids() {
        simulation.restart(id);
    }
    simulation.run(HEALED_STEPS)?;
    if let Some((joining, replaced)) = lost {
        simulation.join_as_replacement(joining, replaced);
    }
    simulation.run(HEALED_STEPS)?;
    check_convergence(&mut simulation)?;
    Ok(simulation.checker.counts)
}

/// Checks that a new proposal is accepted and that every member has committed all entries applied anywhere.
fn check_convergence(simulation: &mut Simulation) -> Checked {
    let leader = simulation.leader().ok_or(Violation::NotLive)?;
    let before = simulation.checker.accepted;
    simulation.propose(leader)?;
    simulation.run(HEALED_STEPS)?;
    holds(simulation.checker.accepted > before, Violation::NotLive)?;
    let last = simulation.checker.last_applied();
    let membership = simulation.hosts[&leader]
        .node
        .as_ref()
        .unwrap()
        .membership();
    let is_up_to_date = |id: MemberId| {
        let node = simulation.hosts[&id].node.as_ref();
        node.is_some_and(|node| node.commit() >= last)
    };
    let all = membership.members().iter().all(|m| is_up_to_date(m.id));
    holds(all, Violation::NotLive)
}

#[rstest]
fn random_faults_preserve_safety_and_liveness(
    #[values(3, 5)] members: u64,
    #[values(0, 1, 2, 3)] quarter: u64,
) {
    const SEEDS: u64 = 300;
    let mut reached = [0; 7];
    for seed in quarter * SEEDS..(quarter + 1) * SEEDS {
        let counts = run(members, seed, Sabotage::Nothing)
            .unwrap_or_else(|violation| panic!("{members} members, seed {seed}: {violation}"));
        for (sum, count) in reached.iter_mut().zip(counts.each()) {
            *sum += count;
        }
    }
    println!(
        "{members} members, seeds from {}: {reached:?}",
        quarter * SEEDS
    );
    let is_covered = reached.iter().all(|count| *count > SEEDS / 10);
    assert!(
        is_covered,
        "the schedules cause too few events: {reached:?}"
    );
}

#[rstest]
#[case::vote_not_synced(Sabotage::VoteNotSynced, |v: &Violation| matches!(v, Violation::TwoLeaders(_)))]
#[case::learner_votes(Sabotage::LearnerVotes, |v: &Violation| matches!(v, Violation::CommittedUnsynced(_)))]
#[case::no_check_quorum(Sabotage::NoCheckQuorum, |v: &Violation| matches!(v, Violation::AcceptedIsolated(_)))]
fn the_checker_detects_a_broken_rule(
    #[case] sabotage: Sabotage,
    #[case] expected: fn(&Violation) -> bool,
) {
    const SEEDS: u64 = 300;
    let mut violations = (0..SEEDS).filter_map(|seed| run(3, seed, sabotage).err());
    assert!(
        violations.any(|v| expected(&v)),
        "{sabotage:?} was not caught"
    );
}

/// Returns the election timeout after each of six campaigns of a host that has not known a leader. Two of three
/// hosts are running; if `is_supported`, the other grants the pre-vote, but its vote does not arrive in time.
fn first_timeouts(is_supported: bool) -> Vec<Duration> {
    let options = Options {
        first_election_timeout: ELECTION_TIMEOUT / 10,
        ..options()
    };
    let restored = PersistedState {
        snapshot: Snapshot {
            membership: voters(3),
            ..Snapshot::default()
        },
        ..PersistedState::default()
    };
    let (own, other) = (MemberId::new(1), MemberId::new(2));
    let mut node = Node::new(own, options, restored, start(), 7);
    let campaigns = (0..6).map(|_| {
        let now = node.next_deadline();
        node.on_tick(now);
        let granted = Message::VoteResponse {
            kind: VoteKind::PreVote,
            granted: true,
        };
        let envelope = Envelope {
            from: other,
            to: own,
            term: node.term().next(),
            message: granted,
        };
        if is_supported {
            node.on_message(now, envelope);
        }
        node.next_deadline() - now
    });
    campaigns.collect()
}

/// Hosts that start together campaign after a short first timeout. If a disk takes longer than that to sync a
/// vote, each campaign ends the one before, so the timeout doubles up to the regular one. While too few hosts
/// are running for a vote, nothing is written and the timeout stays short.
#[rstest]
#[case::too_few(false, [1, 1, 1, 1, 1, 1])]
#[case::votes_come_late(true, [1, 2, 4, 8, 10, 10])]
fn the_first_election_timeout_doubles_after_each_failed_vote(
    #[case] is_supported: bool,
    #[case] tenths: [u32; 6],
) {
    let first_timeouts = first_timeouts(is_supported);
    for (wait, tenths) in first_timeouts.iter().zip(tenths) {
        let least = ELECTION_TIMEOUT / 10 * tenths;
        assert!(
            (least..=least * 2).contains(wait),
            "{first_timeouts:?}, {tenths}"
        );
    }
}
