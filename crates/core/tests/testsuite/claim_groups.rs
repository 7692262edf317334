//! Selection and replacement of the claim replicas of a service.

use std::time::Duration;

use dogwoodrill_core::changes::{Change, Command};
use dogwoodrill_core::claim_groups::{BOOTSTRAP_WAIT, PlanStep, Planner, REPLACE_AFTER, settled};
use dogwoodrill_core::config::{
    ClaimGroup, CommittedConfig, Profile, Service, ZoneState, ZoneStatus,
};
use dogwoodrill_core::control_state::ControlState;
use dogwoodrill_core::directory::{Directory, MemberId, MemberState, Record, Role};
use dogwoodrill_core::ids::{BackendServerId, Incarnation, ServiceId};
use dogwoodrill_core::time::UnixMillis;
use insta::assert_snapshot;
use rstest::rstest;

const SERVICE: ServiceId = ServiceId::new(1);
const START: UnixMillis = UnixMillis::new(1_000_000);

/// A planner, its directory, and a state machine that commits what it plans.
struct Control {
    planner: Planner,
    directory: Directory,
    state: ControlState,
    now: UnixMillis,
    index: u64,
}

impl Control {
    /// Creates one server per letter, in the zone of that letter.
    fn with_servers(zones: &str) -> Self {
        let profile = Profile::standard("orders".parse().unwrap());
        let service = Service {
            id: SERVICE,
            name: "orders".parse().unwrap(),
            profile: profile.name.clone(),
            addresses: Vec::new(),
        };
        let config = CommittedConfig {
            services: [(SERVICE, service)].into(),
            ..CommittedConfig::default()
        };
        let mut control = Self {
            planner: Planner::default(),
            directory: Directory::default(),
            state: ControlState::new(config),
            now: START,
            index: 1,
        };
        for (id, zone) in (1..).zip(zones.chars()) {
            control.announce(id, zone, MemberState::Serving);
        }
        control
    }

    fn announce(&mut self, id: u32, zone: char, state: MemberState) {
        let sequence = u64::from(state == MemberState::Left);
        self.directory.merge(Record {
            member: MemberId::BackendServer(BackendServerId::new(id)),
            zone: zone.to_string().parse().unwrap(),
            incarnation: Incarnation::new(1),
            sequence: sequence.into(),
            state,
            tunnel: "127.0.0.1:1".parse().unwrap(),
            peer: "127.0.0.1:2".parse().unwrap(),
            eligible_at: START,
            role: Role::BackendServer {
                service: SERVICE,
                slots: 2,
                ramp_until: START,
            },
        });
    }

    fn commit(&mut self, change: impl Into<Change>) -> bool {
        self.index += 1;
        let command = Command {
            id: None,
            proposed_at: self.now,
            change: change.into(),
        };
        self.state.apply(self.index.into(), command).is_ok()
    }

    fn take_out(&mut self, zone: char) {
        assert!(self.commit(ZoneState {
            name: zone.to_string().parse().unwrap(),
            version: 0.into(),
            status: ZoneStatus::Out,
        }));
    }

    fn plan(&mut self) -> Vec<PlanStep> {
        self.planner
            .plan(self.now, &self.state.config, &self.directory)
    }

    /// Plans and commits until there is no step left; the replicas install each epoch immediately.
    fn settle(&mut self) -> String {
        for _ in 0..10 {
            let Some(step) = self.plan().pop() else {
                break;
            };
            let group = match step {
                PlanStep::Commit(group) => group,
                PlanStep::QueryReplicas(group) => settled(&group),
            };
            assert!(self.commit(group), "the plan was refused");
        }
        self.group()
    }

    fn group(&self) -> String {
        let Some(group) = self.state.config.claim_groups.get(&SERVICE) else {
            return "none".to_owned();
        };
        let replicas: Vec<_> = group
            .replicas
            .iter()
            .map(|k| k.server.to_string())
            .collect();
        format!("epoch {}: {}", group.epoch, replicas.join(" "))
    }
}

#[rstest]
#[case::three_zones("abcabca", "epoch 1: 1 2 3")]
#[case::late_zone("aaabc", "epoch 1: 1 4 5")]
#[case::five_zones("abcde", "epoch 1: 1 2 3 4 5")]
#[case::four_zones("abcd", "epoch 1: 1 2 3")]
fn a_service_in_three_zones_gets_its_group_at_once(#[case] zones: &str, #[case] group: &str) {
    assert_eq!(Control::with_servers(zones).settle(), group);
}

#[rstest]
#[case::no_server("", "none")]
#[case::one_server("a", "epoch 1: 1")]
#[case::two_servers("ab", "epoch 1: 1")]
#[case::one_zone("aaaa", "epoch 1: 1 2 3")]
#[case::two_zones("aabb", "epoch 1: 1 2 3")]
fn a_service_in_fewer_zones_waits_before_it_gets_a_group(#[case] zones: &str, #[case] group: &str) {
    let mut control = Control::with_servers(zones);
    assert_eq!(control.settle(), "none");
    control.now = START.plus(BOOTSTRAP_WAIT);
    assert_eq!(control.settle(), group);
}

fn zone_out(control: &mut Control) {
    control.take_out('a');
}

fn left(control: &mut Control) {
    control.announce(1, 'a', MemberState::Left);
}

fn suspected(control: &mut Control) {
    let member = MemberId::BackendServer(BackendServerId::new(1));
    control.directory.set_suspected(member, true);
}

fn forgotten(control: &mut Control) {
    let member = MemberId::BackendServer(BackendServerId::new(1));
    control.directory.remove(member);
}

#[rstest]
#[case::zone_out(zone_out, Duration::ZERO, "epoch 2: 2 3 4")]
#[case::left(left, Duration::ZERO, "epoch 2: 2 3 5")]
#[case::suspected_shortly(suspected, REPLACE_AFTER.saturating_sub(Duration::from_millis(1)), "epoch 1: 1 2 3")]
#[case::suspected_for_long(suspected, REPLACE_AFTER, "epoch 2: 2 3 5")]
#[case::forgotten(forgotten, REPLACE_AFTER, "epoch 2: 2 3 5")]
fn a_lost_replica_is_replaced(
    #[case] lose: fn(&mut Control),
    #[case] after: Duration,
    #[case] group: &str,
) {
    let mut control = Control::with_servers("abcba");
    control.settle();
    lose(&mut control);
    control.plan();
    control.now = START.plus(after);
    assert_eq!(control.settle(), group);
}

#[test]
fn a_replica_that_returns_in_time_stays() {
    let mut control = Control::with_servers("abcabc");
    control.settle();
    suspected(&mut control);
    control.plan();
    control.announce(1, 'a', MemberState::Serving);
    let member = MemberId::BackendServer(BackendServerId::new(1));
    control.directory.set_suspected(member, false);
    control.plan();
    suspected(&mut control);
    control.now = START.plus(REPLACE_AFTER);
    assert_eq!(control.settle(), "epoch 1: 1 2 3");
}

#[test]
fn a_group_grows_and_spreads_over_new_zones() {
    let mut control = Control::with_servers("a");
    control.settle();
    control.now = START.plus(BOOTSTRAP_WAIT);
    let mut groups = vec![control.settle()];
    for (id, zone) in [(2, 'a'), (3, 'a'), (4, 'b'), (5, 'c')] {
        control.announce(id, zone, MemberState::Serving);
        groups.push(control.settle());
    }
    assert_snapshot!(groups.join("\n"), @"
    epoch 1: 1
    epoch 1: 1
    epoch 2: 1 2 3
    epoch 3: 1 3 4
    epoch 4: 1 4 5
    ");
}

#[test]
fn no_new_epoch_before_the_current_one_is_settled() {
    let mut control = Control::with_servers("abcabc");
    control.settle();
    control.take_out('a');
    let [PlanStep::Commit(second)] = &*control.plan() else {
        panic!("no new epoch");
    };
    assert!(control.commit(second.clone()));
    control.take_out('b');
    let planned = control.plan();
    let early = ClaimGroup {
        epoch: 3.into(),
        previous: second.replicas.clone(),
        ..second.clone()
    };
    assert_eq!(planned, [PlanStep::QueryReplicas(second.clone())]);
    assert!(
        !control.commit(early),
        "an epoch was committed before the previous one was settled"
    );
    assert!(control.commit(settled(second)));
    assert_eq!(
        control.settle(),
        "epoch 2: 2 3 5",
        "there are too few servers for a new epoch"
    );
}
