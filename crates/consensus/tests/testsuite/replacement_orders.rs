//! Hosts that are replaced together, with faults between any two steps of the replacement.
//!
//! As many hosts as may be lost at once are removed, and their successors request to join. Faults are injected at
//! fixed steps after that. No further disk is lost but those of the successors. At the end each
//! running host must be a voter, no lost host a member, and nothing accepted lost.

use std::ops::Range;

use dogwoodrill_consensus::{MemberId, MemberRole};
use rand::Rng;
use rand::seq::IndexedRandom;
use rstest::rstest;

use crate::checker::{Checked, Violation, holds};
use crate::simulation::{DiskSpeed, RELIABLE, Sabotage, Simulation};
use crate::support::voters;

/// Number of steps between two join requests of a host.
const JOIN_INTERVAL_STEPS: u64 = 10;
/// Number of steps after which both successors of an undisturbed run are voters.
const REPLACEMENT_STEPS: u64 = 160;
/// Number of steps for which a host is down, still or slow; longer than it takes to be replaced.
const FAULT_STEPS: u64 = 100;
const HEALED_STEPS: u64 = 500;
/// Largest number of faults of one replacement.
const MAX_FAULTS: usize = 3;
const ROUNDS: u64 = 4;
const SEEDS: u64 = 50;

/// Fault during the replacement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// The leader restarts; another one is elected meanwhile.
    LeaderRestarts,
    /// The leader stands still for longer than it takes to be replaced.
    LeaderStandsStill,
    /// A follower stands still for longer than it takes to be replaced.
    FollowerStandsStill,
    /// All messages of a few steps are lost.
    MessagesLost,
    /// The disk of the leader becomes slow.
    LeaderDiskSlow,
    /// The disk of a successor becomes slow.
    SuccessorDiskSlow,
    /// A successor restarts.
    SuccessorRestarts,
    /// A successor loses its disk and restarts.
    SuccessorWiped,
    /// A successor is removed, and another host joins for it.
    SuccessorReplaced,
    /// All hosts lose power; writes in progress are lost.
    PowerLoss,
    /// All hosts lose power; writes in progress reach the disk.
    PowerLossAfterWrite,
}

const FAULTS: [Fault; 11] = [
    Fault::LeaderRestarts,
    Fault::LeaderStandsStill,
    Fault::FollowerStandsStill,
    Fault::MessagesLost,
    Fault::LeaderDiskSlow,
    Fault::SuccessorDiskSlow,
    Fault::SuccessorRestarts,
    Fault::SuccessorWiped,
    Fault::SuccessorReplaced,
    Fault::PowerLoss,
    Fault::PowerLossAfterWrite,
];

/// Number of steps from the fault before it, a fault, and the index of the successor that it affects if it affects one.
type FaultAfter = (u64, Fault, usize);

/// End of a fault.
#[derive(Clone, Copy)]
enum FaultEnd {
    Restart(MemberId),
    Resume(MemberId),
    DeliverMessages,
}

struct Run {
    simulation: Simulation,
    step: u64,
    due: Vec<(u64, FaultEnd)>,
    /// The hosts that joined in place of those that were removed.
    successors: Vec<MemberId>,
}

impl Run {
    fn new(members: u64, seed: u64) -> Self {
        let mut simulation = Simulation::new(&voters(members), seed, Sabotage::Nothing);
        simulation.network = RELIABLE;
        simulation.run(100).unwrap();
        while simulation.leader().is_none() {
            simulation.step().unwrap();
        }
        Self {
            simulation,
            step: 0,
            due: Vec::new(),
            successors: Vec::new(),
        }
    }

    /// Removes as many followers as may be lost at once, or the leader and one fewer; their successors request to join.
    fn replace_together(&mut self, with_leader: bool) {
        let leader = self.simulation.leader().unwrap();
        let followers = self.running().into_iter().rev().filter(|id| *id != leader);
        let removed = with_leader.then_some(leader).into_iter().chain(followers);
        let removed: Vec<_> = removed.take(self.simulation.target_voters / 2).collect();
        let replace = |id| self.simulation.replace_with_new_host(id);
        self.successors = removed.into_iter().map(replace).collect();
    }

    fn step(&mut self) -> Checked {
        self.step += 1;
        let step = self.step;
        let due: Vec<_> = self.due.extract_if(.., |(at, _)| *at <= step).collect();
        for (_, end) in due {
            match end {
                FaultEnd::Restart(id) => self.simulation.restart(id),
                FaultEnd::Resume(id) => {
                    self.simulation.hosts.get_mut(&id).unwrap().speed = DiskSpeed::Usual;
                    let cut_links = &mut self.simulation.cut_links;
                    cut_links.retain(|(from, to)| *from != id && *to != id);
                }
                FaultEnd::DeliverMessages => self.simulation.network.lost = 0,
            }
        }
        if step.is_multiple_of(JOIN_INTERVAL_STEPS) {
            self.simulation.request_joins()?;
            if let Some(leader) = self.simulation.leader() {
                self.simulation.propose(leader)?;
            }
        }
        self.simulation.step()
    }

    fn steps(&mut self, steps: u64) -> Checked {
        (0..steps).try_for_each(|_| self.step())
    }

    fn schedule_end(&mut self, steps: u64, end: FaultEnd) {
        self.due.push((self.step + steps, end));
    }

    fn is_running(&self, id: MemberId) -> bool {
        self.simulation.hosts[&id].node.is_some()
    }

    fn running(&self) -> Vec<MemberId> {
        let mut ids = self.simulation.ids();
        ids.retain(|id| !self.simulation.hosts[id].lost);
        ids
    }

    fn stand_still(&mut self, id: MemberId) {
        for other in self.simulation.ids() {
            self.simulation.cut_links.extend([(id, other), (other, id)]);
        }
        self.simulation.hosts.get_mut(&id).unwrap().speed = DiskSpeed::Stalled;
        self.schedule_end(FAULT_STEPS, FaultEnd::Resume(id));
    }

    fn slow_disk(&mut self, id: MemberId) {
        self.simulation.hosts.get_mut(&id).unwrap().speed = DiskSpeed::Slow;
        self.schedule_end(FAULT_STEPS, FaultEnd::Resume(id));
    }

    fn random_faults(&mut self, members: u64) -> Vec<FaultAfter> {
        let rng = &mut self.simulation.rng;
        let count = rng.random_range(0..=MAX_FAULTS);
        let faults = (0..count).map(|_| {
            let fault = *FAULTS.choose(rng).unwrap();
            let steps = rng.random_range(1..REPLACEMENT_STEPS);
            (steps, fault, rng.random_range(affected(fault, members)))
        });
        faults.collect()
    }

    /// Injects `fault`, which affects the successor with index `which` if it affects one.
    fn inject(&mut self, fault: Fault, which: usize) {
        let successor = self.successors[which];
        let leader = self.simulation.leader();
        match fault {
            Fault::LeaderRestarts => {
                if let Some(leader) = leader {
                    self.simulation.crash(leader, false);
                    self.schedule_end(FAULT_STEPS / 2, FaultEnd::Restart(leader));
                }
            }
            Fault::LeaderStandsStill => {
                if let Some(leader) = leader {
                    self.stand_still(leader);
                }
            }
            Fault::FollowerStandsStill => {
                let ids = self.running();
                let is_follower = |id: &MemberId| {
                    Some(*id) != leader && !self.successors.contains(id) && self.is_running(*id)
                };
                if let Some(id) = ids.into_iter().find(is_follower) {
                    self.stand_still(id);
                }
            }
            Fault::MessagesLost => {
                self.simulation.network.lost = 100;
                self.schedule_end(2, FaultEnd::DeliverMessages);
            }
            Fault::LeaderDiskSlow => {
                if let Some(leader) = leader {
                    self.slow_disk(leader);
                }
            }
            Fault::SuccessorDiskSlow => self.slow_disk(successor),
            Fault::SuccessorRestarts => {
                self.simulation.crash(successor, false);
                self.schedule_end(FAULT_STEPS / 4, FaultEnd::Restart(successor));
            }
            Fault::SuccessorWiped => {
                self.successors[which] = self.simulation.replace(successor);
            }
            Fault::SuccessorReplaced => {
                self.successors[which] = self.simulation.replace_with_new_host(successor);
            }
            Fault::PowerLoss | Fault::PowerLossAfterWrite => {
                let keep_write = fault == Fault::PowerLossAfterWrite;
                for (id, delay) in self.running().into_iter().zip(10..) {
                    self.simulation.crash(id, keep_write);
                    self.schedule_end(delay, FaultEnd::Restart(id));
                }
            }
        }
    }

    /// Runs with faults, each the given number of steps after the one before it.
    fn run(&mut self, faults: &[FaultAfter]) -> Checked {
        for (steps, fault, which) in faults {
            self.steps(*steps)?;
            self.inject(*fault, *which);
        }
        self.steps(HEALED_STEPS)?;
        self.check()
    }

    fn check(&mut self) -> Checked {
        let before = self.simulation.checker.accepted;
        self.steps(5 * JOIN_INTERVAL_STEPS)?;
        let accepts = self.simulation.checker.accepted > before;
        holds(accepts, Violation::NotLive)?;
        let leader = self.simulation.leader().ok_or(Violation::NotLive)?;
        let node = self.simulation.hosts[&leader].node.as_ref().unwrap();
        let members = node.membership().members().iter();
        let members: Vec<_> = members.map(|m| (m.id, m.role, m.replaces)).collect();
        let running = self.running().into_iter();
        let expected: Vec<_> = running.map(|id| (id, MemberRole::Voter, None)).collect();
        holds(members == expected, Violation::IncompleteMembership)?;
        let mut hosts = self.simulation.hosts.values().filter(|h| !h.lost);
        let is_complete = hosts.all(|h| h.node.as_ref().is_some_and(|n| n.commit() >= before));
        holds(is_complete, Violation::NotLive)
    }
}

/// Returns the indices of the successors that `fault` can affect; of other faults, one index.
fn affected(fault: Fault, members: u64) -> Range<usize> {
    match fault {
        Fault::SuccessorDiskSlow
        | Fault::SuccessorRestarts
        | Fault::SuccessorWiped
        | Fault::SuccessorReplaced => 0..usize::from(members > 3) + 1,
        _ => 0..1,
    }
}

/// Guards against a cluster that accepts nothing any more after a successor lost its disk between its promotion and the
/// removal of the host that it replaced.
#[rstest]
fn a_fault_between_any_two_steps_of_a_replacement_is_survived(
    #[values(3, 5)] members: u64,
    #[values(false, true)] with_leader: bool,
    #[values(
        Fault::LeaderRestarts,
        Fault::LeaderStandsStill,
        Fault::FollowerStandsStill,
        Fault::MessagesLost,
        Fault::LeaderDiskSlow,
        Fault::SuccessorDiskSlow,
        Fault::SuccessorRestarts,
        Fault::SuccessorWiped,
        Fault::SuccessorReplaced,
        Fault::PowerLoss,
        Fault::PowerLossAfterWrite
    )]
    fault: Fault,
) {
    for at in (1..REPLACEMENT_STEPS).step_by(2) {
        for which in affected(fault, members) {
            let mut run = Run::new(members, at);
            run.replace_together(with_leader);
            run.run(&[(at, fault, which)])
                .unwrap_or_else(|violation| panic!("step {at}, successor {which}: {violation}"));
        }
    }
}

/// Hosts are replaced together several times, each time with several faults at random steps.
#[rstest]
fn hosts_that_are_replaced_again_and_again_become_voters(
    #[values(3, 5)] members: u64,
    #[values(0, 1, 2, 3)] part: u64,
) {
    for seed in part * SEEDS..(part + 1) * SEEDS {
        let mut run = Run::new(members, seed);
        for round in 0..ROUNDS {
            let faults = run.random_faults(members);
            let with_leader = run.simulation.percent(50);
            run.replace_together(with_leader);
            run.run(&faults).unwrap_or_else(|violation| {
                panic!("seed {seed}, round {round}, leader {with_leader}, {faults:?}: {violation}")
            });
        }
    }
}
