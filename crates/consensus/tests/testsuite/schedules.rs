//! Random schedules of faults, each drawn from one seed; and rules broken on purpose.

use std::time::Duration;

use dogwoodrill_consensus::{
    Envelope, MemberId, Message, Node, Options, PersistedState, Snapshot, VoteKind,
};
use rand::Rng;
use rand::seq::IndexedRandom;
use rstest::rstest;

use crate::checker::{Checked, Counts, Violation, holds};
use crate::simulation::{CALM, Sabotage, Simulation};
use crate::support::{ELECTION_TIMEOUT, options, start, voters};

const FAULTY_STEPS: u64 = 500;
const HEALED_STEPS: u64 = 300;

/// One fault or request, drawn at random.
fn disturb(simulation: &mut Simulation, lost: &mut Option<(MemberId, MemberId)>) -> Checked {
    let ids = simulation.ids();
    let id = *ids.choose(&mut simulation.rng).unwrap();
    match simulation.rng.random_range(0..1000) {
        0..300 => simulation.propose(id)?,
        300..400 => simulation.read(id)?,
        400..406 => {
            let keep_write = simulation.rng.random();
            simulation.crash(id, keep_write);
        }
        406..436 => simulation.restart(id),
        436..441 => partition(simulation, &ids),
        441..446 => {
            let other = *ids.choose(&mut simulation.rng).unwrap();
            simulation.cut.insert((id, other));
        }
        446..458 => simulation.cut.clear(),
        458..468 => simulation.compact(id),
        468..470 if lost.is_none() && Some(id) != simulation.leader() => {
            *lost = Some((simulation.replace(id), id));
        }
        470..490 => {
            if let Some((joining, replaced)) = *lost {
                simulation.ask_to_join(joining, replaced);
            }
        }
        _ => {}
    }
    Ok(())
}

/// Cuts the hosts in two, in both directions.
fn partition(simulation: &mut Simulation, ids: &[MemberId]) {
    let side: Vec<bool> = ids.iter().map(|_| simulation.rng.random()).collect();
    for (a, a_side) in ids.iter().zip(&side) {
        let others = ids
            .iter()
            .zip(&side)
            .filter(|(_, b_side)| *b_side != a_side);
        simulation.cut.extend(others.map(|(b, _)| (*a, *b)));
    }
}

/// Runs one seed; then heals everything and sees that the members agree.
fn run(members: u64, seed: u64, sabotage: Sabotage) -> Result<Counts, Violation> {
    let mut simulation = Simulation::new(&voters(members), seed, sabotage);
    let mut lost = None;
    for _ in 0..FAULTY_STEPS {
        disturb(&mut simulation, &mut lost)?;
        simulation.step()?;
    }
    simulation.cut.clear();
    simulation.network = CALM;
    for id in simulation.ids() {
        simulation.restart(id);
    }
    simulation.run(HEALED_STEPS)?;
    if let Some((joining, replaced)) = lost {
        simulation.ask_to_join(joining, replaced);
    }
    simulation.run(HEALED_STEPS)?;
    agree(&mut simulation)?;
    Ok(simulation.checker.counts)
}

/// A new proposal must be applied by every member, and each must hold all that was ever applied.
fn agree(simulation: &mut Simulation) -> Checked {
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
    let up_to_date = |id: MemberId| {
        let node = simulation.hosts[&id].node.as_ref();
        node.is_some_and(|node| node.commit() >= last)
    };
    let all = membership.members().iter().all(|m| up_to_date(m.id));
    holds(all, Violation::NotLive)
}

#[rstest]
fn every_schedule_keeps_the_log(#[values(3, 5)] members: u64, #[values(0, 1, 2, 3)] quarter: u64) {
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
    let tried = reached.iter().all(|count| *count > SEEDS / 10);
    assert!(tried, "the schedules try too little: {reached:?}");
}

#[rstest]
#[case::vote_not_synced(Sabotage::VoteNotSynced, |v: &Violation| matches!(v, Violation::TwoLeaders(_)))]
#[case::learner_votes(Sabotage::LearnerVotes, |v: &Violation| matches!(v, Violation::CommittedUnsynced(_)))]
#[case::no_check_quorum(Sabotage::NoCheckQuorum, |v: &Violation| matches!(v, Violation::AcceptedIsolated(_)))]
fn a_broken_rule_is_caught(#[case] sabotage: Sabotage, #[case] expected: fn(&Violation) -> bool) {
    const SEEDS: u64 = 300;
    let mut violations = (0..SEEDS).filter_map(|seed| run(3, seed, sabotage).err());
    assert!(
        violations.any(|v| expected(&v)),
        "{sabotage:?} was not caught"
    );
}

/// The wait after each of six campaigns of a host that no leader has told of itself. Two of three hosts are
/// there; if `is_supported`, the other would vote, but its votes come too late.
fn waits(is_supported: bool) -> Vec<Duration> {
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

/// Hosts that start together campaign soon. A disk that takes longer than that to keep a vote would see one
/// vote end the other, so those that follow come further apart, up to the usual time. While too few hosts are
/// there for a vote, nothing is written and nobody waits longer.
#[rstest]
#[case::too_few(false, [1, 1, 1, 1, 1, 1])]
#[case::votes_come_late(true, [1, 2, 4, 8, 10, 10])]
fn votes_before_the_first_leader_come_further_apart(
    #[case] is_supported: bool,
    #[case] tenths: [u32; 6],
) {
    let waits = waits(is_supported);
    for (wait, tenths) in waits.iter().zip(tenths) {
        let least = ELECTION_TIMEOUT / 10 * tenths;
        assert!((least..=least * 2).contains(wait), "{waits:?}, {tenths}");
    }
}
