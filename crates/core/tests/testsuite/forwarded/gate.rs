//! The agent's last word: whatever a stale balancer sends, the server gets only what it may get.

use std::time::Duration;

use dogwoodrill_core::forwarded::gate::{self, Capacity};
use dogwoodrill_core::forwarded::service_map::ServiceMap;
use rstest::rstest;

use super::world::{
    Change, ORDERS_ADDRESS, Outcome, SHEETS_ADDRESS, TERMS, World, map, route, zone,
};

const MS: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, Debug)]
enum Row {
    RouteMoved,
    RouteDropped,
    ZoneOut,
}

impl Row {
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
#[case::route_moved(Row::RouteMoved, Outcome::Answered)]
#[case::route_dropped(Row::RouteDropped, Outcome::Refused)]
#[case::zone_out(Row::ZoneOut, Outcome::Answered)]
fn a_stale_balancer_does_no_harm(
    #[case] row: Row,
    #[case] expected: Outcome,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut world = World::new(seed, 6, 6, 3);
    world.balancers_are_stale = true;
    world.set_map(row.map());
    for n in 0..60 {
        world.call(n * 10 * MS, ORDERS_ADDRESS, 10 * MS);
    }
    world.run_for(Duration::from_secs(3));
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
    assert_eq!(
        world.outcomes().keys().collect::<Vec<_>>(),
        [&Some(expected)]
    );
}

#[rstest]
#[case::free(15, 0, Capacity::Room)]
#[case::one_behind_each(15, 3, Capacity::Room)]
#[case::in_time_behind_more(15, 5, Capacity::Room)]
#[case::most(15, 6, Capacity::Most)]
#[case::cold_with_one_behind_each(25, 3, Capacity::Room)]
#[case::cold_would_be_late(25, 4, Capacity::Most)]
#[case::slow_but_free(75, 1, Capacity::Room)]
#[case::slow(75, 4, Capacity::Most)]
fn a_server_gets_what_it_does_in_time(
    #[case] work: u32,
    #[case] busy: u32,
    #[case] expected: Capacity,
) {
    assert_eq!(gate::capacity(work * MS, busy, 2, TERMS.target), expected);
}

#[rstest]
fn a_draining_server_gets_no_new_flow(#[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, 4, 0, 3);
    for n in 0..100 {
        world.call(n * 10 * MS, ORDERS_ADDRESS, 15 * MS);
    }
    world.at(200 * MS, Change::Drain(0));
    world.at(400 * MS, Change::Drain(1));
    world.run_for(Duration::from_secs(3));
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
    assert_eq!(
        world.outcomes().keys().collect::<Vec<_>>(),
        [&Some(Outcome::Answered)]
    );
}

/// The address of a lost server goes to a server of another service.
#[rstest]
fn an_address_that_changes_hands_gets_only_its_own(#[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, 3, 2, 3);
    for n in 0..150 {
        let address = if n % 3 == 0 {
            SHEETS_ADDRESS
        } else {
            ORDERS_ADDRESS
        };
        world.call(n * 10 * MS, address, 10 * MS);
    }
    world.run_for(300 * MS);
    world.servers[0].service = "sheets".into();
    world.at(Duration::ZERO, Change::CrashServer(0));
    world.at(50 * MS, Change::StartServer(0));
    world.run_for(Duration::from_secs(4));
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}

/// All balancers together send far more than a cold server bears; the one gate counts.
#[rstest]
#[case::some(20.0)]
#[case::few(5.0)]
#[case::less_than_one(0.4)]
fn a_cold_server_gets_what_it_bears(#[case] rate: f64, #[values(1, 2)] seed: u64) {
    let mut world = World::new(seed, 3, 0, 6);
    world.set_map(map(2, Some(rate)));
    world.at(500 * MS, Change::CrashServer(0));
    world.at(900 * MS, Change::StartServer(0));
    world.calls(Duration::from_secs(4), 200.0, ORDERS_ADDRESS);
    let from = world.now + 900 * MS;
    world.run_for(Duration::from_secs(6));
    let most = world.most_in_a_second(0, from, from + Duration::from_secs(1));
    let bound = rate.max(1.0);
    assert!(
        f64::from(u32::try_from(most).unwrap()) <= bound,
        "{most} in a second"
    );
    assert!(most > 0, "the server got nothing");
    assert!(world.breaches.is_empty(), "{:?}", world.breaches);
}
