//! Replacement of a host and isolation of a leader.

use std::collections::BTreeSet;
use std::time::Duration;

use dogwoodrill_consensus::{
    AppendOutcome, Envelope, MemberId, MemberRole, Message, RoleName, Round, Silence,
};
use dogwoodrill_core::ids::LogIndex;
use insta::assert_snapshot;

use crate::simulation::{RELIABLE, Sabotage, Simulation};
use crate::support::voters;

/// Number of steps of `replace_after`.
const REPLACE_AFTER_STEPS: u64 = 60;
/// Number of steps after which a silent host may be replaced.
const SILENT_STEPS: u64 = 70;

fn healthy_cluster(members: u64, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(&voters(members), seed, Sabotage::Nothing);
    simulation.network = RELIABLE;
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

fn isolate(simulation: &mut Simulation, id: MemberId) {
    for other in simulation.ids() {
        simulation.cut_links.extend([(id, other), (other, id)]);
    }
}

#[test]
fn replacing_a_lost_host_lets_the_cluster_survive_losing_another() {
    let mut simulation = healthy_cluster(3, 1);
    assert!(propose(&mut simulation));
    let lost = follower(&simulation);
    let new_member = simulation.replace(lost);
    simulation.join_as_replacement(new_member, lost);
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
        "the repaired cluster tolerates the loss of one host"
    );
}

/// Crashes the leader after each step of a replacement. Once its status has reported the replacement as
/// complete, the other members must accept changes without it; after a restart of the leader, the cluster
/// must accept changes in every case.
#[test]
fn a_replacement_reported_as_complete_survives_the_loss_of_the_leader() {
    const STEPS: u64 = 80;
    let mut complete_at = Vec::new();
    for step in 0..STEPS {
        let mut simulation = healthy_cluster(3, 4);
        let lost = follower(&simulation);
        let new_member = simulation.replace(lost);
        simulation.join_as_replacement(new_member, lost);
        simulation.run(step).unwrap();
        let leader = simulation.leader().unwrap();
        let reported = simulation.reported_voters(leader);
        let is_complete = reported.contains(&new_member) && !reported.contains(&lost);
        simulation.crash(leader, false);
        // Drops the messages that the leader sent just before the crash.
        let others = simulation.ids().into_iter();
        simulation
            .cut_links
            .extend(others.map(|other| (leader, other)));
        simulation.run(200).unwrap();
        if is_complete {
            complete_at.push(step);
            assert!(propose(&mut simulation), "stuck after step {step}");
        }
        simulation.cut_links.clear();
        simulation.restart(leader);
        simulation.run(200).unwrap();
        simulation.join_as_replacement(new_member, lost);
        simulation.run(200).unwrap();
        assert!(
            propose(&mut simulation),
            "no change accepted after step {step}"
        );
    }
    let (first, count) = (complete_at[0], complete_at.len() as u64);
    assert!(
        first > 0 && first + count == STEPS,
        "complete at steps {complete_at:?}"
    );
}

/// Until a promotion is committed, the member list of a joining host still has its predecessor on the same node as
/// a voter. A caller that takes the host for that voter would stop another one too early, so the reported role
/// must agree with the list.
#[test]
fn a_joining_host_reports_a_voting_role_only_once_it_is_listed_as_a_voter() {
    const STEPS: u64 = 80;
    let mut simulation = healthy_cluster(3, 4);
    let lost = follower(&simulation);
    let new_member = simulation.replace(lost);
    simulation.join_as_replacement(new_member, lost);
    let mut was_listed = false;
    for step in 0..STEPS {
        simulation.run(1).unwrap();
        let is_listed = simulation.reported_voters(new_member).contains(&new_member);
        let role = simulation.status(new_member).role;
        assert_eq!(
            role != RoleName::Learner,
            is_listed,
            "{role} in step {step}"
        );
        was_listed |= is_listed;
    }
    assert!(was_listed, "the host joins");
}

#[test]
fn a_learner_that_cannot_catch_up_is_not_promoted() {
    let mut simulation = healthy_cluster(3, 2);
    let lost = follower(&simulation);
    let new_member = simulation.replace(lost);
    for other in simulation.ids() {
        simulation.cut_links.insert((new_member, other));
    }
    simulation.join_as_replacement(new_member, lost);
    simulation.run(400).unwrap();
    let leader = simulation.leader().unwrap();
    let node = simulation.hosts[&leader].node.as_ref().unwrap();
    let role = node.membership().get(new_member).map(|m| m.role);
    assert_eq!(role, Some(MemberRole::Learner));
    assert!(propose(&mut simulation), "a learner does not block commits");
}

#[test]
fn a_leader_isolated_for_an_hour_accepts_nothing_and_rejoins_as_a_follower() {
    const HOUR_STEPS: u64 = 3600 * 200;
    let mut simulation = healthy_cluster(3, 3);
    let old = simulation.leader().unwrap();
    for other in simulation.ids() {
        simulation.cut_links.extend([(old, other), (other, old)]);
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
    assert!(new.is_some(), "the others elect a new leader");
    assert_eq!(term_before, term_after, "pre-votes do not advance the term");
    let leader_before = simulation.leader();
    simulation.cut_links.clear();
    simulation.run(200).unwrap();
    assert_eq!(
        simulation.leader(),
        leader_before,
        "its return does not depose the leader"
    );
    assert!(propose(&mut simulation));
}

/// Guards against a successor that gets its place late because the leader starts to watch a silent member only at
/// the first join request.
#[test]
fn a_host_that_was_silent_before_the_first_request_is_replaced_at_once() {
    let mut simulation = healthy_cluster(3, 5);
    let lost = follower(&simulation);
    simulation.crash(lost, false);
    simulation.hosts.get_mut(&lost).unwrap().lost = true;
    simulation.run(SILENT_STEPS).unwrap();
    simulation.add_spare();
    simulation.request_joins().unwrap();
    simulation.run(20).unwrap();
    assert_snapshot!(members(&simulation), @"
    host 0000000000000002 on node 2: voter
    host 0000000000000003 on node 3: voter
    host 0000000000000064 on node 100: voter
    ");
}

/// Guards against a member that counts as lost since it did not respond at an earlier join request, although it
/// responded in between.
#[test]
fn a_host_that_responded_between_two_requests_keeps_its_place() {
    let mut simulation = healthy_cluster(3, 6);
    let restarted = follower(&simulation);
    simulation.add_spare();
    for _ in 0..2 {
        simulation.crash(restarted, true);
        simulation.run(SILENT_STEPS / 2).unwrap();
        simulation.request_joins().unwrap();
        simulation.restart(restarted);
        simulation.run(SILENT_STEPS / 2).unwrap();
    }
    simulation.crash(restarted, true);
    simulation.run(SILENT_STEPS / 2).unwrap();
    simulation.request_joins().unwrap();
    simulation.run(20).unwrap();
    assert_snapshot!(members(&simulation), @"
    host 0000000000000001 on node 1: voter
    host 0000000000000002 on node 2: voter
    host 0000000000000003 on node 3: voter
    ");
}

/// Guards against two successors that get the same place, so that the first one is pushed out while it joins, and the
/// other lost host stays a member.
#[test]
fn successors_that_join_together_replace_different_members() {
    for seed in 0..20 {
        let mut simulation = healthy_cluster(5, seed);
        let leader = simulation.leader();
        let followers = simulation
            .ids()
            .into_iter()
            .filter(|id| Some(*id) != leader);
        for lost in followers.take(2) {
            simulation.replace_with_new_host(lost);
        }
        for _ in 0..150 {
            simulation.step().unwrap();
            simulation.request_joins().unwrap();
        }
        let status = simulation.status(simulation.leader().unwrap());
        let members = status
            .members
            .iter()
            .map(|p| (p.member.role, p.is_reachable));
        let members: Vec<_> = members.collect();
        assert_eq!(members, [(MemberRole::Voter, true); 5], "seed {seed}");
    }
}

/// Guards against a learner that is pushed out by another host while it joins.
#[test]
fn a_learner_that_responds_keeps_the_place_that_it_joined_for() {
    let mut simulation = healthy_cluster(3, 8);
    let lost = follower(&simulation);
    let first = simulation.replace(lost);
    simulation.join_as_replacement(first, lost);
    let second = simulation.add_spare();
    for _ in 0..40 {
        simulation.step().unwrap();
        simulation.join_as_replacement(second, lost);
    }
    simulation.run(40).unwrap();
    assert_snapshot!(members(&simulation), @"
    host 0000000000000001 on node 1: voter
    host 0000000000000003 on node 3: voter
    host 0000000000000064 on node 2: voter
    ");
}

/// Guards against a host that replaces nobody because the member that it was to replace returned and became the
/// leader; a lost host then stayed a voter, and one more loss than that was one too many.
#[test]
fn a_host_that_replaces_the_leader_takes_the_place_of_a_lost_member() {
    let mut returned_leaders = 0;
    for seed in 0..20 {
        let mut simulation = healthy_cluster(3, seed);
        let old_leader = simulation.leader().unwrap();
        let returned = follower(&simulation);
        isolate(&mut simulation, returned);
        simulation.run(SILENT_STEPS).unwrap();
        let joining = simulation.add_spare();
        simulation.request_joins().unwrap();
        simulation.cut_links.clear();
        isolate(&mut simulation, joining);
        simulation.run(20).unwrap();
        simulation.crash(old_leader, false);
        simulation.hosts.get_mut(&old_leader).unwrap().lost = true;
        simulation.run(100).unwrap();
        returned_leaders += u32::from(simulation.leader() == Some(returned));
        simulation.cut_links.clear();
        for _ in 0..200 {
            simulation.step().unwrap();
            simulation.request_joins().unwrap();
        }
        let mut running = BTreeSet::from_iter(simulation.ids());
        running.remove(&old_leader);
        let leader = simulation.leader().unwrap();
        assert_eq!(simulation.reported_voters(leader), running, "seed {seed}");
    }
    assert!(returned_leaders > 0, "the returned host leads in no run");
}

/// Guards against a new leader that removes a member before its successor is a voter, only because the member has not
/// responded to this leader yet.
#[test]
fn a_new_leader_keeps_a_member_that_responds_until_its_successor_is_a_voter() {
    const RESPONSE_STEPS: u64 = 10;
    let mut kept = 0;
    for seed in 0..30 {
        let mut simulation = healthy_cluster(5, seed);
        let old_leader = simulation.leader().unwrap();
        let replaced = follower(&simulation);
        let joining = simulation.add_spare();
        isolate(&mut simulation, joining);
        simulation.join_as_replacement(joining, replaced);
        simulation.run(20).unwrap();
        simulation.crash(old_leader, true);
        isolate(&mut simulation, replaced);
        let mut silent_steps = 0;
        while simulation.leader().is_none() {
            simulation.step().unwrap();
            silent_steps += 1;
        }
        if silent_steps + RESPONSE_STEPS >= REPLACE_AFTER_STEPS {
            // The election took so long that the member counts as lost.
            continue;
        }
        // The successor responds to the new leader at once, the member that it replaces after some steps.
        simulation
            .cut_links
            .retain(|(from, to)| *from == replaced || *to == replaced);
        simulation.run(RESPONSE_STEPS).unwrap();
        simulation.cut_links.clear();
        for _ in 0..100 {
            simulation.step().unwrap();
            let Some(leader) = simulation.leader() else {
                continue;
            };
            let voters = simulation.reported_voters(leader).len();
            assert!(voters >= 5, "seed {seed}: {voters} voters");
        }
        let leader = simulation.leader().unwrap();
        let voters = simulation.reported_voters(leader);
        assert!(voters.contains(&joining) && !voters.contains(&replaced));
        kept += 1;
    }
    assert!(kept >= 20, "only {kept} elections were short enough");
}

/// Guards against a leader that takes the word of another member about itself, or about a member that responds to it.
#[test]
fn a_leader_does_not_replace_itself_or_a_member_that_responds_because_another_reports_silence() {
    let mut simulation = healthy_cluster(3, 9);
    let leader = simulation.leader().unwrap();
    let mut reporters = simulation.ids();
    reporters.retain(|id| *id != leader);
    simulation.add_spare();
    for step in 0..2 * SILENT_STEPS {
        for from in reporters.clone() {
            let others = simulation.ids().into_iter().filter(|id| *id != from);
            let silent = others.map(|member| Silence {
                member,
                duration: Duration::from_hours(1),
            });
            let message = Message::AppendResponse {
                round: Round(u64::MAX),
                outcome: AppendOutcome::Synced(LogIndex::default()),
                silent: silent.collect(),
            };
            simulation.deliver_now(Envelope {
                from,
                to: leader,
                term: simulation.status(leader).term,
                message,
            });
        }
        if step.is_multiple_of(10) {
            simulation.request_joins().unwrap();
        }
        simulation.step().unwrap();
    }
    assert_eq!(simulation.leader(), Some(leader));
    assert_snapshot!(members(&simulation), @"
    host 0000000000000001 on node 1: voter
    host 0000000000000002 on node 2: voter
    host 0000000000000003 on node 3: voter
    ");
}

/// A spare host also sends join requests to followers, which receive messages only from the leader and
/// see all other members as unreachable. A follower that becomes leader must not replace a member because
/// of that.
#[test]
fn a_new_leader_ignores_unreachability_observed_as_a_follower() {
    for seed in 0..20 {
        let mut simulation = healthy_cluster(5, seed);
        simulation.add_spare();
        for _ in 0..20 {
            simulation.request_joins().unwrap();
            simulation.run(10).unwrap();
        }
        let leader = simulation.leader().unwrap();
        simulation.crash(leader, false);
        for _ in 0..60 {
            simulation.step().unwrap();
            simulation.request_joins().unwrap();
        }
    }
}

/// Lets a member leave until it may stop, and removes it then.
fn leave(simulation: &mut Simulation, id: MemberId) {
    simulation.hosts.get_mut(&id).unwrap().leaving = true;
    for _ in 0..100 {
        if simulation.request_leave(id).unwrap() {
            simulation.remove(id, true);
            return;
        }
        simulation.step().unwrap();
    }
    panic!("the member may not stop");
}

/// Guards against a place that goes to a host that has just started, while another one has waited for long.
#[test]
fn the_place_of_a_member_that_leaves_goes_to_the_host_that_has_waited_longest() {
    let mut simulation = healthy_cluster(3, 9);
    let later = simulation.add_spare();
    let first = simulation.add_spare();
    simulation.crash(later, true);
    simulation.request_joins().unwrap();
    simulation.run(10).unwrap();
    simulation.restart(later);
    simulation.request_joins().unwrap();
    let leaving = follower(&simulation);
    leave(&mut simulation, leaving);
    simulation.run(20).unwrap();
    let leader = simulation.leader().unwrap();
    let voters = simulation.reported_voters(leader);
    assert!(voters.contains(&first) && !voters.contains(&later));
}
