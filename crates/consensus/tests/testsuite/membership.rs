//! Replacing a host, step by step.

use dogwoodrill_consensus::{MemberId, MemberRole};
use insta::assert_snapshot;

use crate::simulation::{CALM, Sabotage, Simulation};
use crate::support::voters;

fn calm(members: u64, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(&voters(members), seed, Sabotage::Nothing);
    simulation.network = CALM;
    simulation.run(100).unwrap();
    simulation
}

fn propose(simulation: &mut Simulation) -> bool {
    let before = simulation.checker.accepted;
    if let Some(leader) = simulation.leader() {
        simulation.propose(leader).unwrap();
    }
    simulation.run(100).unwrap();
    simulation.checker.accepted > before
}

fn members(simulation: &Simulation) -> String {
    let leader = simulation.leader().unwrap();
    let node = simulation.hosts[&leader].node.as_ref().unwrap();
    let members = node.membership().members().iter();
    let lines = members.map(|m| format!("host {} on node {}: {}", m.id, m.node, m.role));
    lines.collect::<Vec<_>>().join("\n")
}

fn follower(simulation: &Simulation) -> MemberId {
    let leader = simulation.leader();
    let mut ids = simulation.ids().into_iter();
    ids.find(|id| Some(*id) != leader).unwrap()
}

#[test]
fn a_lost_host_is_replaced_and_a_second_may_then_be_lost() {
    let mut simulation = calm(3, 1);
    assert!(propose(&mut simulation));
    let lost = follower(&simulation);
    let fresh = simulation.replace(lost);
    simulation.ask_to_join(fresh, lost);
    simulation.run(200).unwrap();
    assert_snapshot!(members(&simulation), @"
    host 0000000000000002 on node 2: voter
    host 0000000000000003 on node 3: voter
    host 0000000000000064 on node 1: voter
    ");
    let second = simulation.leader().unwrap();
    simulation.crash(second, false);
    simulation.run(200).unwrap();
    assert!(
        propose(&mut simulation),
        "the repaired cluster bears the loss of one host"
    );
}

/// The leader is lost after each step of a replacement. Once its standing has shown the replacement as
/// done, the rest must go on without it; and whenever it comes back, the cluster must be whole.
#[test]
fn a_replacement_that_is_shown_as_done_bears_the_loss_of_the_leader() {
    const STEPS: u64 = 80;
    let mut done_at = Vec::new();
    for step in 0..STEPS {
        let mut simulation = calm(3, 4);
        let lost = follower(&simulation);
        let fresh = simulation.replace(lost);
        simulation.ask_to_join(fresh, lost);
        simulation.run(step).unwrap();
        let leader = simulation.leader().unwrap();
        let shown = simulation.shown_members(leader);
        let done = shown.contains(&fresh) && !shown.contains(&lost);
        simulation.crash(leader, false);
        // What it had just sent is lost with it.
        let others = simulation.ids().into_iter();
        simulation.cut.extend(others.map(|other| (leader, other)));
        simulation.run(200).unwrap();
        if done {
            done_at.push(step);
            assert!(propose(&mut simulation), "stuck after step {step}");
        }
        simulation.cut.clear();
        simulation.restart(leader);
        simulation.run(200).unwrap();
        simulation.ask_to_join(fresh, lost);
        simulation.run(200).unwrap();
        assert!(propose(&mut simulation), "not whole after step {step}");
    }
    let (first, count) = (done_at[0], done_at.len() as u64);
    assert!(
        first > 0 && first + count == STEPS,
        "done at steps {done_at:?}"
    );
}

#[test]
fn a_learner_that_cannot_catch_up_never_votes() {
    let mut simulation = calm(3, 2);
    let lost = follower(&simulation);
    let fresh = simulation.replace(lost);
    for other in simulation.ids() {
        simulation.cut.insert((fresh, other));
    }
    simulation.ask_to_join(fresh, lost);
    simulation.run(400).unwrap();
    let leader = simulation.leader().unwrap();
    let node = simulation.hosts[&leader].node.as_ref().unwrap();
    let role = node.membership().get(fresh).map(|m| m.role);
    assert_eq!(role, Some(MemberRole::Learner));
    assert!(propose(&mut simulation), "a learner holds up nobody");
}

#[test]
fn a_leader_cut_off_for_an_hour_takes_nothing_and_comes_back_as_a_follower() {
    const HOUR_STEPS: u64 = 3600 * 200;
    let mut simulation = calm(3, 3);
    let old = simulation.leader().unwrap();
    for other in simulation.ids() {
        simulation.cut.extend([(old, other), (other, old)]);
    }
    simulation.run(100).unwrap();
    let term_before = simulation.hosts[&old].node.as_ref().unwrap().term();
    simulation.propose(old).unwrap();
    simulation.run(HOUR_STEPS).unwrap();
    let term_after = simulation.hosts[&old].node.as_ref().unwrap().term();
    let new = simulation.ids().into_iter().find(|id| {
        let node = simulation.hosts[id].node.as_ref().unwrap();
        *id != old && node.term() > term_before
    });
    assert!(new.is_some(), "the others go on without it");
    assert_eq!(term_before, term_after, "pre-votes leave the term alone");
    let led_by = simulation.leader();
    simulation.cut.clear();
    simulation.run(200).unwrap();
    assert_eq!(simulation.leader(), led_by, "its return deposes nobody");
    assert!(propose(&mut simulation));
}

/// A spare host asks followers too, who hear of nobody but the leader. What they make of the silence of
/// the others must not count once one of them leads.
#[test]
fn a_new_leader_takes_nobody_for_lost_by_what_it_saw_as_a_follower() {
    for seed in 0..20 {
        let mut simulation = calm(5, seed);
        simulation.add_spare();
        for _ in 0..20 {
            simulation.ask().unwrap();
            simulation.run(10).unwrap();
        }
        let leader = simulation.leader().unwrap();
        simulation.crash(leader, false);
        for _ in 0..60 {
            simulation.step().unwrap();
            simulation.ask().unwrap();
        }
    }
}
