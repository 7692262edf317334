//! Faults of control hosts, with the membership decided by [`dogwoodrill_consensus::JoinPolicy`].
//!
//! Each scenario injects one kind of fault several times, with at most one host lost at a time, while
//! changes are proposed and read. At the end, every accepted change must be present and the membership
//! must be complete again.

use dogwoodrill_consensus::MemberId;
use rand::Rng;
use rand::seq::IndexedRandom;
use rstest::rstest;

use crate::checker::{Checked, Counts, Violation, holds};
use crate::simulation::{DiskSpeed, RELIABLE, Sabotage, Simulation};
use crate::support::voters;

/// Number of steps between two faults, enough for the cluster to recover.
const RECOVERY_STEPS: u64 = 300;
const FAULTS: u64 = 3;
/// Number of steps for which a host is down, disconnected or slow.
const FAULT_STEPS: u64 = 100;
const HEALED_STEPS: u64 = 400;
/// Number of steps between two join requests of a host.
const JOIN_INTERVAL_STEPS: u64 = 10;
const SEEDS: u64 = 200;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scenario {
    /// A host loses its disk and rejoins with the same node id.
    Wiped,
    /// A host is removed, and one with a new node id joins.
    Replaced,
    /// The new host joins first, and the old one is removed later.
    PlannedReplacement,
    /// The same, and before the old host is removed another one stands still for longer than it takes to be replaced.
    PlannedReplacementWhileOneStandsStill,
    /// As many hosts as may be lost at once are removed, and as many with new node ids join.
    ReplacedTogether,
    /// All hosts lose power at the same time.
    PowerLoss,
    /// The network is partitioned into two groups.
    Partition,
    /// One host receives no messages, or none of its messages are delivered.
    OneWayPartition,
    /// The disk of the leader does not respond or is full.
    LeaderStalls,
    /// The disk of the leader becomes slow.
    LeaderSlow,
    /// The leader loses power right after it has accepted a change.
    LeaderLostAfterAccept,
    /// The leader loses its disk right after it has accepted a change, and the others lose power.
    LeaderWipedAfterAccept,
    /// A spare host keeps requesting to join while other hosts restart.
    SpareHostJoins,
}

/// Run of one scenario, with the steps at which faults end.
struct ScenarioRun {
    simulation: Simulation,
    scenario: Scenario,
    step: u64,
    due: Vec<(u64, FaultEnd)>,
}

#[derive(Clone, Copy)]
enum FaultEnd {
    Restart(MemberId),
    HealNetwork,
    RestoreDisk(MemberId),
    RemoveHost(MemberId),
}

impl ScenarioRun {
    fn new(scenario: Scenario, members: u64, seed: u64, sabotage: Sabotage) -> Self {
        Self {
            simulation: Simulation::new(&voters(members), seed, sabotage),
            scenario,
            step: 0,
            due: Vec::new(),
        }
    }

    fn random_running(&mut self) -> MemberId {
        let ids = self.simulation.ids();
        let running = ids.iter().filter(|id| {
            let host = &self.simulation.hosts[id];
            !host.lost && host.node.is_some()
        });
        let running: Vec<_> = running.copied().collect();
        *running.choose(&mut self.simulation.rng).unwrap()
    }

    /// Returns whether a host runs and is a voter, as far as it knows.
    fn is_voter(&self, id: MemberId) -> bool {
        let node = self.simulation.hosts[&id].node.as_ref();
        node.is_some_and(|n| n.membership().is_voter(id))
    }

    /// Returns a random running voter.
    fn random_voter(&mut self) -> MemberId {
        loop {
            let id = self.random_running();
            if self.is_voter(id) {
                return id;
            }
        }
    }

    fn schedule_end(&mut self, steps: u64, end: FaultEnd) {
        self.due.push((self.step + steps, end));
    }

    fn crash(&mut self, id: MemberId) {
        let keep_write = self.simulation.rng.random();
        self.simulation.crash(id, keep_write);
    }

    fn crash_all(&mut self) {
        for id in self.simulation.ids() {
            self.crash(id);
            let down = self.simulation.rng.random_range(1..FAULT_STEPS);
            self.schedule_end(down, FaultEnd::Restart(id));
        }
    }

    fn isolate(&mut self, id: MemberId) {
        for other in self.simulation.ids() {
            self.simulation.cut_links.extend([(id, other), (other, id)]);
        }
    }

    /// Lets the first voter other than `id` stand still for a while.
    fn freeze_other_voter(&mut self, id: MemberId) {
        let mut others = self.simulation.ids().into_iter();
        if let Some(still) = others.find(|other| *other != id && self.is_voter(*other)) {
            self.simulation.hosts.get_mut(&still).unwrap().speed = DiskSpeed::Stalled;
            self.isolate(still);
            self.schedule_end(FAULT_STEPS, FaultEnd::RestoreDisk(still));
            self.schedule_end(FAULT_STEPS, FaultEnd::HealNetwork);
        }
    }

    fn inject_fault(&mut self) -> Checked {
        let leader = self.simulation.leader();
        match self.scenario {
            Scenario::Wiped => {
                let id = self.random_voter();
                self.simulation.wipe(id);
            }
            Scenario::Replaced => {
                let id = self.random_voter();
                self.simulation.replace_with_new_host(id);
            }
            Scenario::PlannedReplacement => {
                let id = self.random_voter();
                self.simulation.add_spare();
                self.schedule_end(FAULT_STEPS / 2, FaultEnd::RemoveHost(id));
            }
            Scenario::PlannedReplacementWhileOneStandsStill => {
                let id = self.random_voter();
                self.simulation.add_spare();
                self.schedule_end(RECOVERY_STEPS, FaultEnd::RemoveHost(id));
                self.freeze_other_voter(id);
            }
            Scenario::ReplacedTogether => {
                for _ in 0..self.simulation.target_voters / 2 {
                    let id = self.random_voter();
                    self.simulation.replace_with_new_host(id);
                }
            }
            Scenario::PowerLoss => self.crash_all(),
            Scenario::Partition => {
                let ids = self.simulation.ids();
                let sides: Vec<_> = ids
                    .into_iter()
                    .map(|id| (id, self.simulation.rng.random::<bool>()))
                    .collect();
                for (a, a_side) in &sides {
                    let others = sides.iter().filter(|(_, b_side)| a_side != b_side);
                    let cut_links = others.map(|(b, _)| (*a, *b));
                    self.simulation.cut_links.extend(cut_links);
                }
                self.schedule_end(FAULT_STEPS, FaultEnd::HealNetwork);
            }
            Scenario::OneWayPartition => {
                let id = self.random_voter();
                let drops_outgoing: bool = self.simulation.rng.random();
                for other in self.simulation.ids() {
                    let link = if drops_outgoing {
                        (id, other)
                    } else {
                        (other, id)
                    };
                    self.simulation.cut_links.insert(link);
                }
                self.schedule_end(FAULT_STEPS, FaultEnd::HealNetwork);
            }
            Scenario::LeaderStalls | Scenario::LeaderSlow => {
                let Some(leader) = leader else {
                    return Ok(());
                };
                let stalls = self.scenario == Scenario::LeaderStalls;
                let speed = if stalls {
                    DiskSpeed::Stalled
                } else {
                    DiskSpeed::Slow
                };
                self.simulation.hosts.get_mut(&leader).unwrap().speed = speed;
                self.schedule_end(FAULT_STEPS, FaultEnd::RestoreDisk(leader));
            }
            Scenario::LeaderLostAfterAccept => {
                if let Some(leader) = self.propose_until_accepted()? {
                    self.simulation.crash(leader, false);
                    self.schedule_end(FAULT_STEPS, FaultEnd::Restart(leader));
                }
            }
            Scenario::LeaderWipedAfterAccept => {
                // One of the others does not receive the change.
                let mut ids = self.simulation.ids().into_iter();
                if let Some(isolated) = ids.rfind(|id| Some(*id) != leader) {
                    self.isolate(isolated);
                }
                let accepted_by = self.propose_until_accepted()?;
                self.simulation.cut_links.clear();
                if let Some(leader) = accepted_by {
                    self.crash_all();
                    self.simulation.wipe(leader);
                }
            }
            Scenario::SpareHostJoins => {
                if self.simulation.hosts.len() == self.simulation.target_voters {
                    self.simulation.add_spare();
                }
                let id = self.random_voter();
                self.crash(id);
                // The host restarts before it counts as lost.
                self.schedule_end(FAULT_STEPS / 4, FaultEnd::Restart(id));
            }
        }
        Ok(())
    }

    /// Proposes until a leader accepts a change, and returns that leader.
    fn propose_until_accepted(&mut self) -> Result<Option<MemberId>, Violation> {
        let before = self.simulation.checker.accepted;
        for _ in 0..FAULT_STEPS {
            let Some(leader) = self.simulation.leader() else {
                self.step()?;
                continue;
            };
            self.simulation.propose(leader)?;
            self.step()?;
            if self.simulation.checker.accepted > before {
                return Ok(Some(leader));
            }
        }
        Ok(None)
    }

    fn step(&mut self) -> Checked {
        self.step += 1;
        let step = self.step;
        let due: Vec<_> = self.due.extract_if(.., |(at, _)| *at <= step).collect();
        for (_, end) in due {
            match end {
                FaultEnd::Restart(id) => self.simulation.restart(id),
                FaultEnd::HealNetwork => self.simulation.cut_links.clear(),
                FaultEnd::RestoreDisk(id) => {
                    self.simulation.hosts.get_mut(&id).unwrap().speed = DiskSpeed::Usual;
                }
                FaultEnd::RemoveHost(id) => {
                    self.simulation.crash(id, false);
                    self.simulation.hosts.get_mut(&id).unwrap().lost = true;
                }
            }
        }
        if step.is_multiple_of(JOIN_INTERVAL_STEPS) {
            self.simulation.request_joins()?;
        }
        self.simulation.step()
    }

    /// Sends a random request to a random host: a change, a read or a compaction.
    fn send_request(&mut self) -> Checked {
        let id = self.random_running();
        match self.simulation.rng.random_range(0..10) {
            0..3 => self.simulation.propose(id),
            3 => self.simulation.read(id),
            4 if self.simulation.percent(20) => {
                self.simulation.compact(id);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn steps(&mut self, steps: u64) -> Checked {
        for _ in 0..steps {
            if self.simulation.hosts.values().any(|h| h.node.is_some()) {
                self.send_request()?;
            }
            self.step()?;
        }
        Ok(())
    }

    fn run(mut self) -> Result<Counts, Violation> {
        self.steps(RECOVERY_STEPS)?;
        for _ in 0..FAULTS {
            self.inject_fault()?;
            self.steps(RECOVERY_STEPS)?;
            if self.scenario == Scenario::PlannedReplacementWhileOneStandsStill {
                // The old host leaves only now.
                self.steps(RECOVERY_STEPS)?;
            }
        }
        self.simulation.network = RELIABLE;
        for _ in 0..HEALED_STEPS {
            self.step()?;
        }
        self.check_convergence()?;
        Ok(self.simulation.checker.counts)
    }

    /// Checks that a new change is accepted, that the membership is complete, and that all members have
    /// committed every applied entry.
    fn check_convergence(&mut self) -> Checked {
        let before = self.simulation.checker.accepted;
        self.propose_until_accepted()?;
        for _ in 0..FAULT_STEPS {
            self.step()?;
        }
        holds(
            self.simulation.checker.accepted > before,
            Violation::NotLive,
        )?;
        let leader = self.simulation.leader().ok_or(Violation::NotLive)?;
        let node = self.simulation.hosts[&leader].node.as_ref().unwrap();
        let voters: Vec<_> = node.membership().voters().collect();
        let is_present = |id: &MemberId| !self.simulation.hosts[id].lost;
        let is_whole =
            voters.len() == self.simulation.target_voters && voters.iter().all(is_present);
        let is_settled = node.membership().members().len() == voters.len();
        holds(is_whole && is_settled, Violation::IncompleteMembership)?;
        let last = self.simulation.checker.last_applied();
        let is_up_to_date = |id: MemberId| {
            let node = self.simulation.hosts[&id].node.as_ref();
            node.is_some_and(|node| node.commit() >= last)
        };
        let all = node.membership().members().iter();
        holds(all.map(|m| m.id).all(is_up_to_date), Violation::NotLive)
    }
}

#[rstest]
fn no_accepted_change_is_lost(
    #[values(
        Scenario::Wiped,
        Scenario::Replaced,
        Scenario::PlannedReplacement,
        Scenario::PlannedReplacementWhileOneStandsStill,
        Scenario::ReplacedTogether,
        Scenario::PowerLoss,
        Scenario::Partition,
        Scenario::OneWayPartition,
        Scenario::LeaderStalls,
        Scenario::LeaderSlow,
        Scenario::LeaderLostAfterAccept,
        Scenario::LeaderWipedAfterAccept,
        Scenario::SpareHostJoins
    )]
    scenario: Scenario,
) {
    let (mut accepted, mut hosts_added) = (0, 0);
    for seed in 0..SEEDS {
        let members = if seed % 4 == 3 { 5 } else { 3 };
        let counts = ScenarioRun::new(scenario, members, seed, Sabotage::Nothing)
            .run()
            .unwrap_or_else(|violation| {
                panic!("{scenario:?}, {members} members, seed {seed}: {violation}")
            });
        accepted += counts.accepted;
        hosts_added += counts.hosts_added;
    }
    println!("{scenario:?}: {accepted} changes accepted, {hosts_added} hosts added");
    // A third of the steps propose a change, a third of these to the leader.
    let proposed = SEEDS * (FAULTS + 1) * RECOVERY_STEPS / 9;
    assert!(accepted > proposed / 3, "only {accepted} changes accepted");
    let expects_joins = matches!(
        scenario,
        Scenario::Wiped
            | Scenario::Replaced
            | Scenario::PlannedReplacement
            | Scenario::PlannedReplacementWhileOneStandsStill
            | Scenario::ReplacedTogether
            | Scenario::LeaderWipedAfterAccept
    );
    assert!(
        !expects_joins || hosts_added > SEEDS * 2,
        "only {hosts_added} hosts added"
    );
}

#[rstest]
#[case::old_identity(3, Scenario::LeaderWipedAfterAccept, Sabotage::OldIdentity, |v: &Violation| matches!(v, Violation::DivergedStates(_)))]
#[case::disk_loses_entries(3, Scenario::PowerLoss, Sabotage::DiskLosesEntries, |v: &Violation| matches!(v, Violation::CommittedUnsynced(_)))]
#[case::learner_reports_unsynced(3, Scenario::Replaced, Sabotage::LearnerReportsUnsynced, |v: &Violation| matches!(v, Violation::PromotedTooEarly(_)))]
#[case::unconfirmed_reads(3, Scenario::Partition, Sabotage::UnconfirmedReads, |v: &Violation| matches!(v, Violation::StaleRead(_)))]
#[case::replaced_immediately(3, Scenario::SpareHostJoins, Sabotage::ReplacedImmediately, |v: &Violation| matches!(v, Violation::ReplacedHealthyMember(_)))]
#[case::unlimited_members(3, Scenario::SpareHostJoins, Sabotage::UnlimitedMembers, |v: &Violation| matches!(v, Violation::TooManyMembers(_)))]
#[case::never_added(7, Scenario::Wiped, Sabotage::NeverAdded, |v: &Violation| matches!(v, Violation::IncompleteMembership))]
fn the_checker_detects_a_broken_membership_rule(
    #[case] members: u64,
    #[case] scenario: Scenario,
    #[case] sabotage: Sabotage,
    #[case] expected: fn(&Violation) -> bool,
) {
    let run = |seed| ScenarioRun::new(scenario, members, seed, sabotage).run();
    let mut violations = (0..SEEDS).filter_map(|seed| run(seed).err());
    assert!(
        violations.any(|v| expected(&v)),
        "{sabotage:?} was not caught"
    );
}
