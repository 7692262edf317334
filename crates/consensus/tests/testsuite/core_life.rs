//! What may happen to control hosts, with the membership decided by the system itself.
//!
//! Each row disturbs the hosts in one way, several times, as far as the loss of one host at a time goes,
//! while changes are proposed and read. At the end every accepted change must be there, and all places
//! be taken again.

use dogwoodrill_consensus::MemberId;
use rand::Rng;
use rand::seq::IndexedRandom;
use rstest::rstest;

use crate::checker::{Checked, Counts, Violation, holds};
use crate::simulation::{CALM, DiskSpeed, Sabotage, Simulation};
use crate::support::voters;

/// Steps between two disturbances: the cluster is whole again by then.
const GAP_STEPS: u64 = 300;
const DISTURBANCES: u64 = 3;
/// Steps for which a host is down, cut off or slow.
const SPAN_STEPS: u64 = 100;
const HEALED_STEPS: u64 = 400;
/// Steps between two calls of a host that asks to be taken in.
const ASK_STEPS: u64 = 10;
const SEEDS: u64 = 200;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Row {
    /// An empty disk under an old address.
    Wiped,
    /// A host is gone, and another one at a new address comes.
    Replaced,
    /// The new host comes first, and the old one goes later.
    ReplacedAsPlanned,
    /// All lose power at once.
    AllLosePower,
    /// The hosts are cut in two.
    CutInTwo,
    /// One host hears nobody, or is heard by nobody.
    OneWay,
    /// The disk of the leader hangs or is full.
    LeaderStalls,
    /// The disk of the leader turns slow.
    LeaderSlow,
    /// The leader loses power right after it has accepted a change.
    LeaderLostAfterAccept,
    /// It loses its disk then, and the others lose power.
    WipedAfterAccept,
    /// A spare host asks all the time, while others restart.
    SpareAsks,
}

/// The faults of a run; what ends a fault is due at a step.
struct Run {
    simulation: Simulation,
    row: Row,
    step: u64,
    due: Vec<(u64, End)>,
}

#[derive(Clone, Copy)]
enum End {
    Restart(MemberId),
    Heal,
    DiskWorks(MemberId),
    Leaves(MemberId),
}

impl Run {
    fn new(row: Row, members: u64, seed: u64, sabotage: Sabotage) -> Self {
        Self {
            simulation: Simulation::new(&voters(members), seed, sabotage),
            row,
            step: 0,
            due: Vec::new(),
        }
    }

    fn any(&mut self) -> MemberId {
        let ids = self.simulation.ids();
        let there = ids.iter().filter(|id| {
            let host = &self.simulation.hosts[id];
            !host.lost && host.node.is_some()
        });
        let there: Vec<_> = there.copied().collect();
        *there.choose(&mut self.simulation.rng).unwrap()
    }

    /// A member that is not being replaced.
    fn any_voter(&mut self) -> MemberId {
        loop {
            let id = self.any();
            let node = self.simulation.hosts[&id].node.as_ref().unwrap();
            if node.membership().is_voter(id) {
                return id;
            }
        }
    }

    fn end_after(&mut self, steps: u64, end: End) {
        self.due.push((self.step + steps, end));
    }

    fn crash(&mut self, id: MemberId) {
        let keep_write = self.simulation.rng.random();
        self.simulation.crash(id, keep_write);
    }

    fn crash_all(&mut self) {
        for id in self.simulation.ids() {
            self.crash(id);
            let down = self.simulation.rng.random_range(1..SPAN_STEPS);
            self.end_after(down, End::Restart(id));
        }
    }

    fn cut_off(&mut self, id: MemberId) {
        for other in self.simulation.ids() {
            self.simulation.cut.extend([(id, other), (other, id)]);
        }
    }

    fn disturb(&mut self) -> Checked {
        let leader = self.simulation.leader();
        match self.row {
            Row::Wiped => {
                let id = self.any_voter();
                self.simulation.wipe(id);
            }
            Row::Replaced => {
                let id = self.any_voter();
                self.simulation.move_away(id);
            }
            Row::ReplacedAsPlanned => {
                let id = self.any_voter();
                self.simulation.add_spare();
                self.end_after(SPAN_STEPS / 2, End::Leaves(id));
            }
            Row::AllLosePower => self.crash_all(),
            Row::CutInTwo => {
                let ids = self.simulation.ids();
                let sides: Vec<_> = ids
                    .into_iter()
                    .map(|id| (id, self.simulation.rng.random::<bool>()))
                    .collect();
                for (a, a_side) in &sides {
                    let others = sides.iter().filter(|(_, b_side)| a_side != b_side);
                    let cut = others.map(|(b, _)| (*a, *b));
                    self.simulation.cut.extend(cut);
                }
                self.end_after(SPAN_STEPS, End::Heal);
            }
            Row::OneWay => {
                let id = self.any_voter();
                let hears: bool = self.simulation.rng.random();
                for other in self.simulation.ids() {
                    let way = if hears { (id, other) } else { (other, id) };
                    self.simulation.cut.insert(way);
                }
                self.end_after(SPAN_STEPS, End::Heal);
            }
            Row::LeaderStalls | Row::LeaderSlow => {
                let Some(leader) = leader else {
                    return Ok(());
                };
                let stalls = self.row == Row::LeaderStalls;
                let speed = if stalls {
                    DiskSpeed::Stalled
                } else {
                    DiskSpeed::Slow
                };
                self.simulation.hosts.get_mut(&leader).unwrap().speed = speed;
                self.end_after(SPAN_STEPS, End::DiskWorks(leader));
            }
            Row::LeaderLostAfterAccept => {
                if let Some(leader) = self.accepts()? {
                    self.simulation.crash(leader, false);
                    self.end_after(SPAN_STEPS, End::Restart(leader));
                }
            }
            Row::WipedAfterAccept => {
                // One of the others does not even hear of the change.
                let mut ids = self.simulation.ids().into_iter();
                if let Some(deaf) = ids.rfind(|id| Some(*id) != leader) {
                    self.cut_off(deaf);
                }
                let accepted_by = self.accepts()?;
                self.simulation.cut.clear();
                if let Some(leader) = accepted_by {
                    self.crash_all();
                    self.simulation.wipe(leader);
                }
            }
            Row::SpareAsks => {
                if self.simulation.asking.is_empty() {
                    self.simulation.add_spare();
                }
                let id = self.any_voter();
                self.crash(id);
                // A restart takes less time than what counts as a loss.
                self.end_after(SPAN_STEPS / 4, End::Restart(id));
            }
        }
        Ok(())
    }

    /// Waits until the leader accepts a change, and tells which host that is.
    fn accepts(&mut self) -> Result<Option<MemberId>, Violation> {
        let before = self.simulation.checker.accepted;
        for _ in 0..SPAN_STEPS {
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
                End::Restart(id) => self.simulation.restart(id),
                End::Heal => self.simulation.cut.clear(),
                End::DiskWorks(id) => {
                    self.simulation.hosts.get_mut(&id).unwrap().speed = DiskSpeed::Usual;
                }
                End::Leaves(id) => {
                    self.simulation.crash(id, false);
                    self.simulation.hosts.get_mut(&id).unwrap().lost = true;
                }
            }
        }
        if step.is_multiple_of(ASK_STEPS) {
            self.simulation.ask()?;
        }
        self.simulation.step()
    }

    /// A change or a read, as operators make them.
    fn use_hosts(&mut self) -> Checked {
        let id = self.any();
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
                self.use_hosts()?;
            }
            self.step()?;
        }
        Ok(())
    }

    fn run(mut self) -> Result<Counts, Violation> {
        self.steps(GAP_STEPS)?;
        for _ in 0..DISTURBANCES {
            self.disturb()?;
            self.steps(GAP_STEPS)?;
        }
        self.simulation.network = CALM;
        for _ in 0..HEALED_STEPS {
            self.step()?;
        }
        self.agree()?;
        Ok(self.simulation.checker.counts)
    }

    /// A new change is accepted, all members hold everything, and all places are taken.
    fn agree(&mut self) -> Checked {
        let before = self.simulation.checker.accepted;
        self.accepts()?;
        for _ in 0..SPAN_STEPS {
            self.step()?;
        }
        holds(
            self.simulation.checker.accepted > before,
            Violation::NotLive,
        )?;
        let leader = self.simulation.leader().ok_or(Violation::NotLive)?;
        let node = self.simulation.hosts[&leader].node.as_ref().unwrap();
        let voters: Vec<_> = node.membership().voters().collect();
        let there = |id: &MemberId| !self.simulation.hosts[id].lost;
        let whole = voters.len() == self.simulation.wanted && voters.iter().all(there);
        let settled = node.membership().members().len() == voters.len();
        holds(whole && settled, Violation::NotWhole)?;
        let last = self.simulation.checker.last_applied();
        let up_to_date = |id: MemberId| {
            let node = self.simulation.hosts[&id].node.as_ref();
            node.is_some_and(|node| node.commit() >= last)
        };
        let all = node.membership().members().iter();
        holds(all.map(|m| m.id).all(up_to_date), Violation::NotLive)
    }
}

#[rstest]
fn no_accepted_change_is_lost(
    #[values(
        Row::Wiped,
        Row::Replaced,
        Row::ReplacedAsPlanned,
        Row::AllLosePower,
        Row::CutInTwo,
        Row::OneWay,
        Row::LeaderStalls,
        Row::LeaderSlow,
        Row::LeaderLostAfterAccept,
        Row::WipedAfterAccept,
        Row::SpareAsks
    )]
    row: Row,
) {
    let (mut accepted, mut taken_in) = (0, 0);
    for seed in 0..SEEDS {
        let members = if seed % 4 == 3 { 5 } else { 3 };
        let counts = Run::new(row, members, seed, Sabotage::Nothing)
            .run()
            .unwrap_or_else(|violation| {
                panic!("{row:?}, {members} members, seed {seed}: {violation}")
            });
        accepted += counts.accepted;
        taken_in += counts.taken_in;
    }
    println!("{row:?}: {accepted} changes accepted, {taken_in} hosts taken in");
    // A third of the steps proposes a change, a third of these to the leader.
    let proposed = SEEDS * (DISTURBANCES + 1) * GAP_STEPS / 9;
    assert!(accepted > proposed / 3, "only {accepted} changes accepted");
    let takes_in = matches!(
        row,
        Row::Wiped | Row::Replaced | Row::ReplacedAsPlanned | Row::WipedAfterAccept
    );
    assert!(
        !takes_in || taken_in > SEEDS * 2,
        "only {taken_in} taken in"
    );
}

#[rstest]
#[case::old_identity(3, Row::WipedAfterAccept, Sabotage::OldIdentity, |v: &Violation| matches!(v, Violation::StatesDiffer(_)))]
#[case::disk_forgets(3, Row::AllLosePower, Sabotage::DiskForgets, |v: &Violation| matches!(v, Violation::CommittedUnsynced(_)))]
#[case::learner_claims(3, Row::Replaced, Sabotage::LearnerClaims, |v: &Violation| matches!(v, Violation::VotesTooEarly(_)))]
#[case::reads_at_once(3, Row::CutInTwo, Sabotage::ReadsAtOnce, |v: &Violation| matches!(v, Violation::StaleRead(_)))]
#[case::lost_at_once(3, Row::SpareAsks, Sabotage::LostAtOnce, |v: &Violation| matches!(v, Violation::ReplacedAlive(_)))]
#[case::place_for_all(3, Row::SpareAsks, Sabotage::PlaceForAll, |v: &Violation| matches!(v, Violation::TooManyMembers(_)))]
#[case::no_place(7, Row::Wiped, Sabotage::NoPlace, |v: &Violation| matches!(v, Violation::NotWhole))]
fn a_broken_rule_of_the_membership_is_caught(
    #[case] members: u64,
    #[case] row: Row,
    #[case] sabotage: Sabotage,
    #[case] expected: fn(&Violation) -> bool,
) {
    let run = |seed| Run::new(row, members, seed, sabotage).run();
    let mut violations = (0..SEEDS).filter_map(|seed| run(seed).err());
    assert!(
        violations.any(|v| expected(&v)),
        "{sabotage:?} was not caught"
    );
}
