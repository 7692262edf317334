//! Admission at the agent: a server gets only the flows that it may get, whatever a stale balancer sends.

use std::time::Duration;

use dogwoodrill_core::forwarded::gate::{self, Capacity};
use dogwoodrill_core::forwarded::service_map::ServiceMap;
use rstest::rstest;

use super::world::{
    Change, ORDERS_ADDRESS, Outcome, SHEETS_ADDRESS, Simulation, TERMS, map, route, zone,
};

const MS: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, Debug)]
enum ConfigChange {
    RouteMoved,
    RouteDropped,
    ZoneOut,
}

impl ConfigChange {
    fn map(self) -> ServiceMap {
        let mut map = map(2, None);
        let mut table = map.table.as_deref().cloned().unwrap();
        match self {
            Self::RouteMoved => {
                table.routes.insert(ORDERS_ADDRESS, route("sheets"));
            }
            Self::RouteDropped => {
                table.routes.remove(&ORDERS_ADDRESS);
            }
            Self::ZoneOut => {
                map.zones_out.insert(zone(0));
            }
        }
        map.table = Some(table.into());
        map
    }
}

#[rstest]
#[case::route_moved(ConfigChange::RouteMoved, Outcome::Answered)]
#[case::route_dropped(ConfigChange::RouteDropped, Outcome::Refused)]
#[case::zone_out(ConfigChange::ZoneOut, Outcome::Answered)]
fn the_agent_rejects_misplaced_flows_of_a_stale_balancer(
    #[case] config_change: ConfigChange,
    #[case] expected: Outcome,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut simulation = Simulation::new(seed, 6, 6, 3);
    simulation.balancers_are_stale = true;
    simulation.set_map(config_change.map());
    for n in 0..60 {
        simulation.call(n * 10 * MS, ORDERS_ADDRESS, 10 * MS);
    }
    simulation.run_for(Duration::from_secs(3));
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
    assert_eq!(
        simulation.outcomes().keys().collect::<Vec<_>>(),
        [&Some(expected)]
    );
}

/// Guards against limits that wrap around for a server with very many slots.
#[rstest]
#[case::a_third(u32::MAX / 3 + 1)]
#[case::all(u32::MAX)]
fn a_server_with_very_many_slots_has_capacity(#[case] slots: u32) {
    assert_eq!(
        gate::capacity(15 * MS, 5, slots, TERMS.target),
        Capacity::Available
    );
}

#[rstest]
#[case::free(15, 0, Capacity::Available)]
#[case::one_behind_each(15, 3, Capacity::Available)]
#[case::in_time_behind_more(15, 5, Capacity::Available)]
#[case::most(15, 6, Capacity::Exhausted)]
#[case::cold_with_one_behind_each(25, 3, Capacity::Available)]
#[case::cold_would_be_late(25, 4, Capacity::Exhausted)]
#[case::slow_but_free(75, 1, Capacity::Available)]
#[case::slow(75, 4, Capacity::Exhausted)]
fn capacity_depends_on_the_completion_time(
    #[case] work: u32,
    #[case] busy: u32,
    #[case] expected: Capacity,
) {
    let left = TERMS.target.checked_sub(40 * MS).unwrap();
    assert_eq!(gate::capacity(work * MS, busy, 2, left), expected);
}

#[rstest]
fn a_draining_server_gets_no_new_flow(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = Simulation::new(seed, 4, 0, 3);
    for n in 0..100 {
        simulation.call(n * 10 * MS, ORDERS_ADDRESS, 15 * MS);
    }
    simulation.at(200 * MS, Change::Drain(0));
    simulation.at(400 * MS, Change::Drain(1));
    simulation.run_for(Duration::from_secs(3));
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
    assert_eq!(
        simulation.outcomes().keys().collect::<Vec<_>>(),
        [&Some(Outcome::Answered)]
    );
}

/// The address of a lost server is reused by a server of another service.
#[rstest]
fn a_reused_server_address_gets_only_flows_of_its_service(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = Simulation::new(seed, 3, 2, 3);
    for n in 0..150 {
        let address = if n % 3 == 0 {
            SHEETS_ADDRESS
        } else {
            ORDERS_ADDRESS
        };
        simulation.call(n * 10 * MS, address, 10 * MS);
    }
    simulation.run_for(300 * MS);
    simulation.servers[0].service = "sheets".into();
    simulation.at(Duration::ZERO, Change::CrashServer(0));
    simulation.at(50 * MS, Change::StartServer(0));
    simulation.run_for(Duration::from_secs(4));
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// All balancers together send far more than a cold server can handle; the agent's budget must hold for their
/// sum.
#[rstest]
#[case::some(20.0)]
#[case::few(5.0)]
#[case::less_than_one(0.4)]
fn a_cold_server_gets_at_most_its_configured_rate(#[case] rate: f64, #[values(1, 2)] seed: u64) {
    let mut simulation = Simulation::new(seed, 3, 0, 6);
    simulation.set_map(map(2, Some(rate)));
    simulation.at(500 * MS, Change::CrashServer(0));
    simulation.at(900 * MS, Change::StartServer(0));
    simulation.calls(Duration::from_secs(4), 200.0, ORDERS_ADDRESS);
    let from = simulation.now + 900 * MS;
    simulation.run_for(Duration::from_secs(6));
    let most = simulation.max_openings_per_second(0, from, from + Duration::from_secs(1));
    let bound = rate.max(1.0);
    assert!(
        f64::from(u32::try_from(most).unwrap()) <= bound,
        "{most} in a second"
    );
    assert!(most > 0, "the server got nothing");
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}
