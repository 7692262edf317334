//! Hosts that are replaced together, with faults between any two steps of the replacement.
//!
//! As many hosts as may be lost at once are removed, and their successors request to join. Faults are injected at
//! fixed steps after that. No further disk is lost but those of the successors. At the end each
//! running host must be a voter, no lost host a member, and nothing accepted lost.
//!
//! Hosts whose successors have waited for long enough count no more once they leave. As many disks as may be lost are
//! then lost at each step from the moment on at which they are told to stop.

use std::ops::Range;
use std::time::Duration;

use dogwoodrill_consensus::{MemberId, MemberRole, Options};
use rand::Rng;
use rand::seq::IndexedRandom;
use rstest::rstest;

use crate::checker::{Checked, Violation, holds};
use crate::simulation::{DiskSpeed, RELIABLE, Sabotage, Simulation};
use crate::support::{options, voters};

/// Number of steps between two join requests of a host.
const JOIN_INTERVAL_STEPS: u64 = 10;
/// Number of steps after which both successors of an undisturbed run are voters.
const REPLACEMENT_STEPS: u64 = 160;
/// Number of steps for which a host is down, still or slow; longer than it takes to be replaced.
const FAULT_STEPS: u64 = 100;
const HEALED_STEPS: u64 = 500;
/// Step of the search for the loss of a leader; it stands for 10 ms of a control host.
const LEADER_LOSS_STEP: Duration = Duration::from_millis(5);
/// Number of steps after which the successor of a host that left must be a voter: twice `replace_after`.
const CATCH_UP_STEPS: u64 = 400;
/// Number of steps for which the successor waits before the other host leaves.
const WAITING_STEPS: u64 = 100;
/// Number of steps of an election timeout in that search, after which a request to join expires.
const ELECTION_STEPS: u64 = 60;
/// Interval between two join requests in that search.
const WAITING_JOIN_STEPS: u64 = 30;
/// Number of steps after which a host that lost its disk is back.
const EMPTY_DISK_STEPS: u64 = 330;
/// Number of steps after which a host that lost power is back with its disk.
const POWER_STEPS: u64 = 100;
/// Largest number of steps for which the number of voters may be even: two commits and an answer of the successor.
const MAX_EVEN_STEPS: u64 = 11;
/// Number of steps of an outage after which a host keeps its place; `replace_after` is 200.
const OUTAGE_STEPS: u64 = 180;
/// Number of steps between two requests of a host that hands its place over.
const LEAVE_INTERVAL_STEPS: u64 = 2;
/// Number of steps after which a host that was told to stop ends in any case.
const GRACE_STEPS: u64 = 450;
/// Number of steps in which a handover without a fault is complete.
const HANDOVER_STEPS: u64 = 60;
/// Number of steps between two outages.
const UP_STEPS: u64 = 30;
/// Number of steps in which the cluster must be complete again after that.
const RECOVERY_STEPS: u64 = 1000;
/// Largest number of faults of one replacement.
const MAX_FAULTS: usize = 3;
const ROUNDS: u64 = 4;
/// Number of steps in which a change is accepted.
const CHECK_STEPS: u64 = 5 * JOIN_INTERVAL_STEPS;
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
    StartEmpty(MemberId),
    Resume(MemberId),
    DeliverMessages,
}

/// Whether some hosts do not know which members are silent, as in the version before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Versions {
    Same,
    Mixed,
}

/// How a host is disturbed for less than `replace_after`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outage {
    Down,
    CutOff,
    Slow,
}

/// What a host loses while a successor waits for its place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loses {
    Power,
    Disk,
}

/// The hosts that leave at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Leavers {
    Follower,
    Leader,
    TwoFollowers,
    LeaderAndFollower,
}

impl Leavers {
    const fn count(self) -> usize {
        match self {
            Self::Follower | Self::Leader => 1,
            Self::TwoFollowers | Self::LeaderAndFollower => 2,
        }
    }

    const fn with_leader(self) -> bool {
        matches!(self, Self::Leader | Self::LeaderAndFollower)
    }
}

/// What becomes of a host that was told to stop, once it has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AfterStop {
    Gone,
    Restarts,
    RestartsEmpty,
}

/// Host that was told to stop.
#[derive(Clone, Copy)]
struct Stopping {
    id: MemberId,
    /// Step at which it ends in any case.
    until: u64,
    then: AfterStop,
}

/// Which of the hosts that do not leave are lost first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LostFirst {
    Leader,
    Followers,
    Successors,
}

struct Run {
    simulation: Simulation,
    join_interval: u64,
    step: u64,
    due: Vec<(u64, FaultEnd)>,
    stopping: Vec<Stopping>,
    /// The hosts that joined in place of those that were removed.
    successors: Vec<MemberId>,
    /// Number of steps for which the number of voters has been even, and the largest such number.
    even_steps: (u64, u64),
}

impl Run {
    fn new(members: u64, seed: u64) -> Self {
        let simulation = Simulation::new(&voters(members), seed, Sabotage::Nothing);
        Self::start(simulation, JOIN_INTERVAL_STEPS)
    }

    /// Starts a cluster with the proportions of the timeouts and intervals of control hosts.
    fn with_proportions_of_control_hosts(members: u64, seed: u64) -> Self {
        Self::with_sabotage(members, seed, Sabotage::Nothing)
    }

    fn with_sabotage(members: u64, seed: u64, sabotage: Sabotage) -> Self {
        let options = Options {
            election_timeout: LEADER_LOSS_STEP * 60,
            first_election_timeout: LEADER_LOSS_STEP * 4,
            heartbeat_interval: LEADER_LOSS_STEP * 10,
            replace_after: LEADER_LOSS_STEP * 200,
            ..options()
        };
        let simulation = Simulation::with_options(&voters(members), seed, sabotage, options);
        Self::start(simulation, WAITING_JOIN_STEPS)
    }

    fn start(mut simulation: Simulation, join_interval: u64) -> Self {
        simulation.network = RELIABLE;
        simulation.run(100).unwrap();
        while simulation.leader().is_none() {
            simulation.step().unwrap();
        }
        Self {
            simulation,
            join_interval,
            step: 0,
            due: Vec::new(),
            stopping: Vec::new(),
            successors: Vec::new(),
            even_steps: (0, 0),
        }
    }

    /// Gives every second host the version before.
    fn mix(&mut self, versions: Versions) {
        if versions == Versions::Mixed {
            let ids = self.simulation.ids();
            self.simulation.without_silence = ids.into_iter().step_by(2).collect();
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
                FaultEnd::StartEmpty(id) => {
                    self.simulation.start_empty(id);
                }
                FaultEnd::Resume(id) => {
                    self.simulation.hosts.get_mut(&id).unwrap().speed = DiskSpeed::Usual;
                    let cut_links = &mut self.simulation.cut_links;
                    cut_links.retain(|(from, to)| *from != id && *to != id);
                }
                FaultEnd::DeliverMessages => self.simulation.network.lost = 0,
            }
        }
        if step.is_multiple_of(self.join_interval) {
            self.simulation.request_joins()?;
            if let Some(leader) = self.simulation.leader() {
                self.simulation.propose(leader)?;
            }
        }
        if step.is_multiple_of(LEAVE_INTERVAL_STEPS) {
            self.request_leaves()?;
        }
        self.simulation.step()?;
        self.count_even_steps();
        Ok(())
    }

    /// Lets the hosts that were told to stop hand their places over, and ends those that may or must end.
    fn request_leaves(&mut self) -> Checked {
        for host in std::mem::take(&mut self.stopping) {
            let Stopping { id, until, .. } = host;
            let is_running = self.is_running(id);
            if is_running && (self.step >= until || self.simulation.request_leave(id)?) {
                self.end(host);
            } else if is_running {
                self.stopping.push(host);
            }
        }
        Ok(())
    }

    fn end(&mut self, host: Stopping) {
        let Stopping { id, then, .. } = host;
        match then {
            AfterStop::Gone => self.simulation.remove(id, true),
            AfterStop::Restarts => {
                self.simulation.crash(id, true);
                self.schedule_end(POWER_STEPS, FaultEnd::Restart(id));
            }
            AfterStop::RestartsEmpty => {
                self.simulation.remove(id, true);
                self.schedule_end(POWER_STEPS, FaultEnd::StartEmpty(id));
            }
        }
    }

    fn tell_to_stop(&mut self, id: MemberId, then: AfterStop) {
        self.simulation.hosts.get_mut(&id).unwrap().leaving = true;
        let until = self.step + GRACE_STEPS;
        self.stopping.push(Stopping { id, until, then });
    }

    fn count_even_steps(&mut self) {
        if let Some(leader) = self.simulation.leader() {
            let is_even = self
                .simulation
                .reported_voters(leader)
                .len()
                .is_multiple_of(2);
            let (current, largest) = self.even_steps;
            let current = if is_even { current + 1 } else { 0 };
            self.even_steps = (current, largest.max(current));
        }
    }

    fn steps(&mut self, steps: u64) -> Checked {
        (0..steps).try_for_each(|_| self.step())
    }

    fn schedule_end(&mut self, steps: u64, end: FaultEnd) {
        self.due.push((self.step + steps, end));
    }

    /// Starts a host that waits for a place, and removes the leader or a follower once it has waited for long enough.
    fn replace_as_planned(&mut self, leader_leaves: bool, with_notice: bool) -> Checked {
        self.successors = vec![self.simulation.add_spare()];
        self.steps(WAITING_STEPS)?;
        let leader = self.simulation.leader().ok_or(Violation::NotLive)?;
        let leaving = if leader_leaves {
            leader
        } else {
            let mut voters = voters(self.simulation.target_voters as u64)
                .voters()
                .collect::<Vec<_>>();
            voters.retain(|id| *id != leader);
            voters[voters.len() - 1]
        };
        self.simulation.remove(leaving, with_notice);
        Ok(())
    }

    /// Lets hosts leave whose successors have waited for so long that the hosts count no more.
    fn leave(&mut self, leavers: Leavers) -> Checked {
        let spares = (0..leavers.count()).map(|_| self.simulation.add_spare());
        self.successors = spares.collect();
        self.steps(CATCH_UP_STEPS)?;
        let leader = self.simulation.leader().ok_or(Violation::NotLive)?;
        let mut followers = self.running();
        followers.retain(|id| *id != leader && !self.successors.contains(id));
        let first = leavers.with_leader().then_some(leader);
        let leaving = first.into_iter().chain(followers.into_iter().rev());
        for id in leaving.take(leavers.count()) {
            self.tell_to_stop(id, AfterStop::Gone);
        }
        Ok(())
    }

    /// Kills a host for good whose successor has waited for so long that the host counts no more.
    fn kill(&mut self, leavers: Leavers) -> Checked {
        self.leave(leavers)?;
        for host in std::mem::take(&mut self.stopping) {
            self.simulation.remove(host.id, false);
        }
        Ok(())
    }

    /// Lets as many of the hosts that do not leave lose their power or disks as may be lost at once.
    fn lose_tolerated(&mut self, lost_first: LostFirst, loses: Loses) {
        let leader = self.simulation.leader();
        let mut staying = self.running();
        staying.retain(|id| self.is_running(*id) && !self.simulation.hosts[id].leaving);
        staying.sort_by_key(|id| {
            let is_first = match lost_first {
                LostFirst::Leader => Some(*id) == leader,
                LostFirst::Followers => Some(*id) != leader && !self.successors.contains(id),
                LostFirst::Successors => self.successors.contains(id),
            };
            !is_first
        });
        for id in staying.into_iter().take(self.simulation.target_voters / 2) {
            self.lose(id, loses);
        }
    }

    /// Lets hosts leave, loses as many others `at` steps after that as may be lost at once, and checks that the cluster is
    /// complete again once these are back.
    fn leave_and_lose(
        &mut self,
        leavers: Leavers,
        at: u64,
        (lost_first, loses): (LostFirst, Loses),
    ) -> Checked {
        self.leave(leavers)?;
        self.steps(at)?;
        self.lose_and_recover(lost_first, loses)
    }

    fn lose_and_recover(&mut self, lost_first: LostFirst, loses: Loses) -> Checked {
        self.lose_tolerated(lost_first, loses);
        self.steps(EMPTY_DISK_STEPS.max(GRACE_STEPS))?;
        self.check_within(RECOVERY_STEPS)
    }

    /// Returns the leader, or another running voter while there is none.
    fn leader_or_voter(&self) -> Option<MemberId> {
        let is_voter = |id: &MemberId| {
            let node = self.simulation.hosts[id].node.as_ref();
            node.is_some_and(|n| n.membership().is_voter(*id))
        };
        let voter = || self.running().into_iter().find(is_voter);
        self.simulation.leader().or_else(voter)
    }

    fn lose_leader(&mut self, loses: Loses) {
        if let Some(id) = self.leader_or_voter() {
            self.lose(id, loses);
        }
    }

    fn lose(&mut self, id: MemberId, loses: Loses) {
        match loses {
            Loses::Power => {
                self.simulation.crash(id, false);
                self.schedule_end(POWER_STEPS, FaultEnd::Restart(id));
            }
            Loses::Disk => {
                self.simulation.remove(id, false);
                self.schedule_end(EMPTY_DISK_STEPS, FaultEnd::StartEmpty(id));
            }
        }
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

    /// Replaces a host as planned, loses the leader `at` steps after the host has left, and the tolerated number of disks
    /// once the successor has had its time.
    fn lose_leader_and_disks(
        &mut self,
        leader_leaves: bool,
        with_notice: bool,
        (at, loses): (u64, Loses),
    ) -> Checked {
        self.replace_as_planned(leader_leaves, with_notice)?;
        self.steps(at)?;
        self.lose_leader(loses);
        let tolerated = self.simulation.target_voters / 2;
        let due = if tolerated == 1 {
            // Of three hosts only one may be lost at once; a host that was down counts until it has caught up.
            at + POWER_STEPS + CATCH_UP_STEPS
        } else {
            CATCH_UP_STEPS
        };
        self.steps(due + 1 - at)?;
        let already_lost = usize::from(loses == Loses::Disk);
        for _ in already_lost..tolerated {
            self.lose_leader(Loses::Disk);
        }
        self.steps(EMPTY_DISK_STEPS.max(POWER_STEPS))?;
        self.check_within(RECOVERY_STEPS)
    }

    fn check_within(&mut self, steps: u64) -> Checked {
        let mut checked = self.check();
        for _ in 0..steps / CHECK_STEPS {
            if checked.is_ok() {
                break;
            }
            checked = self.check();
        }
        checked
    }

    /// Disturbs a follower twice for less than `replace_after`, and the leader loses power `at` steps after the first time,
    /// while a host waits for a place.
    fn lose_leader_between_outages(&mut self, outage: Outage, at: u64) -> Checked {
        let waiting = self.simulation.add_spare();
        self.steps(WAITING_STEPS)?;
        let leader = self.simulation.leader().ok_or(Violation::NotLive)?;
        let mut others = self.running().into_iter();
        let id = others.find(|id| *id != leader && *id != waiting).unwrap();
        for step in 0..2 * (OUTAGE_STEPS + UP_STEPS) {
            if step.is_multiple_of(OUTAGE_STEPS + UP_STEPS) {
                self.disturb(outage, id);
            }
            if step == at {
                self.simulation.crash(leader, false);
                self.schedule_end(POWER_STEPS, FaultEnd::Restart(leader));
            }
            self.step()?;
            let mut nodes = self
                .simulation
                .hosts
                .values()
                .filter_map(|h| h.node.as_ref());
            let joined = nodes.any(|n| n.membership().get(waiting).is_some());
            holds(!joined, Violation::ReplacedHealthyMember(id))?;
        }
        Ok(())
    }

    fn disturb(&mut self, outage: Outage, id: MemberId) {
        let host = self.simulation.hosts.get_mut(&id).unwrap();
        match outage {
            Outage::Down => self.simulation.crash(id, true),
            Outage::Slow => host.speed = DiskSpeed::Slow,
            Outage::CutOff => {
                for other in self.simulation.ids() {
                    self.simulation.cut_links.extend([(id, other), (other, id)]);
                }
            }
        }
        let end = match outage {
            Outage::Down => FaultEnd::Restart(id),
            Outage::Slow | Outage::CutOff => FaultEnd::Resume(id),
        };
        self.schedule_end(OUTAGE_STEPS, end);
    }

    fn check(&mut self) -> Checked {
        let before = self.simulation.checker.accepted;
        self.steps(CHECK_STEPS)?;
        let accepts = self.simulation.checker.accepted > before;
        holds(accepts, Violation::NotLive)?;
        let leader = self.simulation.leader().ok_or(Violation::NotLive)?;
        let node = self.simulation.hosts[&leader].node.as_ref().unwrap();
        let members = node.membership().members().iter();
        let members: Vec<_> = members.map(|m| (m.id, m.role, m.replaces)).collect();
        // A host more than there are places has none.
        let running = self.running().into_iter();
        let expected: Vec<_> = running
            .filter(|id| node.membership().get(*id).is_some())
            .map(|id| (id, MemberRole::Voter, None))
            .collect();
        let is_complete = members == expected && members.len() == self.simulation.target_voters;
        holds(is_complete, Violation::IncompleteMembership)?;
        let mut hosts = members.iter().map(|(id, ..)| &self.simulation.hosts[id]);
        let is_current = hosts.all(|h| h.node.as_ref().is_some_and(|n| n.commit() >= before));
        holds(is_current, Violation::NotLive)
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

/// Guards against a successor that gets its place too late, because what the leader knew of the silent host and of the
/// host that waits was lost with the leader (review/6).
#[rstest]
fn a_leader_lost_while_a_successor_waits_leaves_room_for_the_tolerated_loss_of_disks(
    #[values((3, Loses::Power), (5, Loses::Power), (5, Loses::Disk))] lost: (u64, Loses),
    #[values(false, true)] leader_leaves: bool,
    #[values(false, true)] with_notice: bool,
) {
    let (members, loses) = lost;
    let mut broken = Vec::new();
    let mut even_steps = 0;
    for at in 1..=CATCH_UP_STEPS {
        let mut run = Run::with_proportions_of_control_hosts(members, at);
        let result = run.lose_leader_and_disks(leader_leaves, with_notice, (at, loses));
        broken.extend(
            result
                .err()
                .map(|violation| format!("step {at}: {violation}")),
        );
        even_steps = even_steps.max(run.even_steps.1);
    }
    assert!(broken.is_empty(), "{} broken: {broken:#?}", broken.len());
    assert!(even_steps <= MAX_EVEN_STEPS, "{even_steps} steps");
}

/// Loses disks or power at each step from the departure on, and returns the steps at which the cluster breaks.
fn search_departures(
    members: u64,
    sabotage: Sabotage,
    leavers: Leavers,
    lose: (LostFirst, Loses),
) -> Vec<String> {
    let broken = (0..=CATCH_UP_STEPS).filter_map(|at| {
        let mut run = Run::with_sabotage(members, at, sabotage);
        let result = run.leave_and_lose(leavers, at, lose);
        let violation = result.err()?;
        Some(format!("step {at}: {violation}"))
    });
    broken.collect()
}

/// Guards against a host that ends at once when it is told to stop: until its successor has its place, the loss of another
/// disk loses what was accepted (review/11).
#[rstest]
fn disks_lost_while_hosts_hand_their_places_over_are_tolerated(
    #[values(3, 5)] members: u64,
    #[values(
        Leavers::Follower,
        Leavers::Leader,
        Leavers::TwoFollowers,
        Leavers::LeaderAndFollower
    )]
    leavers: Leavers,
    #[values(LostFirst::Leader, LostFirst::Followers, LostFirst::Successors)] lost_first: LostFirst,
    #[values(Loses::Power, Loses::Disk)] loses: Loses,
) {
    let lose = (lost_first, loses);
    let broken = search_departures(members, Sabotage::Nothing, leavers, lose);
    assert!(broken.is_empty(), "{} broken: {broken:#?}", broken.len());
}

#[rstest]
fn the_search_finds_hosts_that_end_before_their_places_are_taken(
    #[values(3, 5)] members: u64,
    #[values(Leavers::Follower, Leavers::Leader)] leavers: Leavers,
    #[values(LostFirst::Leader, LostFirst::Followers)] lost_first: LostFirst,
    #[values(Sabotage::EndsAtOnce, Sabotage::EndsTooEarly)] sabotage: Sabotage,
) {
    let lose = (lost_first, Loses::Disk);
    let broken = search_departures(members, sabotage, leavers, lose);
    println!("{} broken", broken.len());
    assert!(!broken.is_empty());
}

/// Guards against the loss of other disks before the successor of a host that was killed has its place.
#[test]
fn disks_lost_right_after_a_host_was_killed_are_tolerated() {
    let mut broken = Vec::new();
    for members in [3, 5] {
        for leavers in [Leavers::Follower, Leavers::Leader] {
            for lost_first in [LostFirst::Leader, LostFirst::Followers] {
                for at in 0..=CATCH_UP_STEPS {
                    let mut run = Run::with_proportions_of_control_hosts(members, at);
                    let result = run.kill(leavers).and_then(|()| {
                        run.steps(at)?;
                        run.lose_and_recover(lost_first, Loses::Disk)
                    });
                    if let Err(violation) = result {
                        broken.push(format!(
                            "{members} members, {leavers:?}, {lost_first:?}, step {at}: {violation}"
                        ));
                    }
                }
            }
        }
    }
    assert!(broken.is_empty(), "{} broken: {broken:#?}", broken.len());
}

/// A host that hands its place over ends long before it would be killed, and its successor is a voter then. Without a
/// successor it ends at the first request.
#[rstest]
fn a_host_that_is_told_to_stop_ends_soon(
    #[values(3, 5)] members: u64,
    #[values(Leavers::Follower, Leavers::Leader)] leavers: Leavers,
    #[values(false, true)] with_successor: bool,
) {
    for seed in 0..SEEDS {
        let mut run = Run::with_proportions_of_control_hosts(members, seed);
        run.leave(leavers).unwrap();
        let leaving = run.stopping[0].id;
        if !with_successor {
            let successor = run.successors[0];
            run.simulation.remove(successor, true);
            // Until a request of the successor expires.
            run.stopping.clear();
            run.steps(ELECTION_STEPS).unwrap();
            run.tell_to_stop(leaving, AfterStop::Gone);
        }
        let steps = if with_successor {
            HANDOVER_STEPS
        } else {
            LEAVE_INTERVAL_STEPS
        };
        run.steps(steps).unwrap();
        assert!(!run.is_running(leaving), "seed {seed}");
        if with_successor {
            run.check_within(RECOVERY_STEPS).unwrap();
        }
    }
}

/// Hosts that restart in turn beside one that waits for a place pass their places on. Each is a full successor for the
/// next one in time: the loss of other disks at any step after that is tolerated.
#[rstest]
fn hosts_that_restart_in_turn_beside_a_successor_are_full_successors(
    #[values(3, 5)] members: u64,
    #[values(AfterStop::Restarts, AfterStop::RestartsEmpty)] then: AfterStop,
    #[values(LostFirst::Leader, LostFirst::Followers)] lost_first: LostFirst,
) {
    for at in (0..=CATCH_UP_STEPS).step_by(4) {
        let mut run = Run::with_proportions_of_control_hosts(members, at);
        run.simulation.add_spare();
        run.steps(CATCH_UP_STEPS).unwrap();
        for id in voters(members).voters() {
            run.tell_to_stop(id, then);
            run.steps(POWER_STEPS + CATCH_UP_STEPS).unwrap();
            run.check_within(RECOVERY_STEPS)
                .unwrap_or_else(|violation| panic!("step {at}, restart of {id}: {violation}"));
        }
        let leader = run.simulation.leader().unwrap();
        run.tell_to_stop(leader, AfterStop::Gone);
        run.steps(at).unwrap();
        run.lose_and_recover(lost_first, Loses::Disk)
            .unwrap_or_else(|violation| panic!("step {at}: {violation}"));
    }
}

/// A host that is killed at any step of its handover and restarts, with or without its disk, leaves the cluster complete.
#[rstest]
fn a_host_killed_while_it_hands_its_place_over_harms_nothing(
    #[values(3, 5)] members: u64,
    #[values(Leavers::Follower, Leavers::Leader)] leavers: Leavers,
    #[values(AfterStop::Gone, AfterStop::Restarts, AfterStop::RestartsEmpty)] then: AfterStop,
) {
    for at in 0..HANDOVER_STEPS {
        let mut run = Run::with_proportions_of_control_hosts(members, at);
        run.leave(leavers).unwrap();
        run.steps(at).unwrap();
        if let Some(host) = run.stopping.pop() {
            run.end(Stopping { then, ..host });
        }
        run.steps(POWER_STEPS + CATCH_UP_STEPS).unwrap();
        run.check_within(RECOVERY_STEPS)
            .unwrap_or_else(|violation| panic!("step {at}: {violation}"));
        run.lose_and_recover(LostFirst::Leader, Loses::Disk)
            .unwrap_or_else(|violation| panic!("step {at}, disks lost: {violation}"));
    }
}

/// While some hosts run the version before, which ends at once and hands no place over, the rules hold, and the successor
/// gets its place as late as before at most.
#[rstest]
fn a_host_told_to_stop_during_an_upgrade_gets_a_successor(
    #[values(3, 5)] members: u64,
    #[values(Leavers::Follower, Leavers::Leader)] leavers: Leavers,
    #[values(0, 1)] first: usize,
    #[values(Loses::Power, Loses::Disk)] loses: Loses,
) {
    for at in (0..=CATCH_UP_STEPS).step_by(2) {
        let mut run = Run::with_proportions_of_control_hosts(members, at);
        let ids = run.simulation.ids();
        run.simulation.without_handover = ids.into_iter().skip(first).step_by(2).collect();
        run.leave(leavers).unwrap();
        let lost_at = match loses {
            Loses::Power => at,
            Loses::Disk => at + CATCH_UP_STEPS,
        };
        run.steps(lost_at).unwrap();
        run.lose_tolerated(LostFirst::Leader, loses);
        run.steps(GRACE_STEPS + CATCH_UP_STEPS).unwrap();
        run.check_within(RECOVERY_STEPS)
            .unwrap_or_else(|violation| panic!("step {at}: {violation}"));
    }
}

/// Guards against a host that loses its place to one that waits, because a new leader takes two outages for one: while no
/// host led, only the other members noticed that the host was up in between.
#[rstest]
fn a_host_that_is_up_between_two_outages_keeps_its_place_though_the_leader_is_lost(
    #[values(3, 5)] members: u64,
    #[values(Outage::Down, Outage::CutOff, Outage::Slow)] outage: Outage,
    #[values(Versions::Same, Versions::Mixed)] versions: Versions,
) {
    for at in (1..2 * OUTAGE_STEPS).step_by(3) {
        let mut run = Run::with_proportions_of_control_hosts(members, at);
        run.mix(versions);
        let result = run.lose_leader_between_outages(outage, at);
        result.unwrap_or_else(|violation| panic!("step {at}: {violation}"));
    }
}

/// During an upgrade the successor may get its place later, as before the upgrade, but it gets one, and the number of
/// voters is even for no longer.
#[rstest]
fn a_leader_lost_during_an_upgrade_delays_a_successor_at_most(
    #[values(3, 5)] members: u64,
    #[values(false, true)] leader_leaves: bool,
) {
    for at in (1..CATCH_UP_STEPS).step_by(4) {
        let mut run = Run::with_proportions_of_control_hosts(members, at);
        run.mix(Versions::Mixed);
        let replaced = run.replace_as_planned(leader_leaves, false);
        let lost = replaced.and_then(|()| run.steps(at));
        lost.and_then(|()| {
            run.lose_leader(Loses::Power);
            run.steps(CATCH_UP_STEPS)?;
            run.check_within(RECOVERY_STEPS)
        })
        .unwrap_or_else(|violation| panic!("step {at}: {violation}"));
        assert!(run.even_steps.1 <= MAX_EVEN_STEPS, "step {at}");
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
