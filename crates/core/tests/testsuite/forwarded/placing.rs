//! Which server a new flow goes to.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::mesh::{ReceivedReport, ServerReport};
use dogwoodrill_core::forwarded::outlier::ResponseStats;
use dogwoodrill_core::forwarded::placement::{self, ProbePolicy, WorkTime};
use dogwoodrill_core::forwarded::service_map::{Route, Target, Weight};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use super::world::TERMS;

fn received(busy: u32, zone: &str, is_cold: bool) -> ReceivedReport {
    ReceivedReport {
        report: ServerReport {
            service: "orders".into(),
            zone: zone.parse().unwrap(),
            is_accepting: true,
            is_cold,
            busy,
            work: None,
            flows: 0,
            slots: 2,
            responses: ResponseStats::default(),
        },
        received_at: Instant::now(),
        sent_since: 0,
    }
}

fn slow(ms: u64, mut received: ReceivedReport) -> ReceivedReport {
    received.report.work = Some(Duration::from_millis(ms));
    received
}

fn suspended(mut received: ReceivedReport) -> ReceivedReport {
    received.report.responses.is_suspended = true;
    received
}

fn chosen(servers: &[ReceivedReport]) -> usize {
    let mut rng = StdRng::seed_from_u64(1);
    let open = servers.iter().zip(0..);
    let open = open.map(|(received, n)| (Ipv4Addr::new(10, 0, 0, n), received));
    let own = "north".parse().unwrap();
    let chosen =
        placement::choose_agent(&mut rng, open, &own, ProbePolicy::OnlyIfAllSuspended).unwrap();
    chosen.agent.octets()[3].into()
}

#[rstest]
#[case::less_busy([received(3, "north", false), received(1, "north", false)], 1)]
#[case::own_zone([received(1, "south", false), received(1, "north", false)], 1)]
#[case::own_zone_much_fuller([received(1, "south", false), received(2, "north", false)], 0)]
#[case::faster([slow(75, received(0, "north", false)), received(5, "north", false)], 1)]
#[case::much_fuller([slow(75, received(0, "north", false)), received(9, "north", false)], 0)]
#[case::warm([received(2, "north", true), received(2, "north", false)], 1)]
fn the_better_of_two(#[case] servers: [ReceivedReport; 2], #[case] expected: usize) {
    assert_eq!(chosen(&servers), expected);
}

/// Of three servers two are drawn; the third case would take the second server without its zone's precedence.
#[rstest]
#[case::idle_slot([received(1, "north", false), received(0, "south", false), received(0, "south", false)], "north")]
#[case::slower_but_idle([slow(40, received(0, "north", false)), slow(10, received(0, "south", false)), slow(10, received(0, "south", false))], "north")]
#[case::none_idle([received(2, "north", false), received(0, "south", false), received(0, "south", false)], "south")]
#[case::suspended([suspended(received(0, "north", false)), received(1, "south", false), received(1, "south", false)], "south")]
fn the_own_zone_while_it_has_an_idle_slot(
    #[case] servers: [ReceivedReport; 3],
    #[case] expected: &str,
) {
    assert_eq!(servers[chosen(&servers)].report.zone.to_string(), expected);
}

/// Were a server's waiting requests taken for slow ones, or divided by those that are still on their
/// way, a full server would look slow or fast, and chase flows away or draw them.
#[test]
fn only_requests_that_did_not_wait_are_measured() {
    let mut work = WorkTime::default();
    let ms = Duration::from_millis;
    work.on_done(ms(90), 3, 2);
    assert_eq!(work.measured(), None);
    work.on_done(ms(20), 2, 2);
    work.on_done(ms(10), 1, 2);
    work.on_done(ms(900), 6, 2);
    assert_eq!(work.measured(), Some(ms(19)));
}

#[test]
fn what_was_sent_since_a_report_counts() {
    let mut servers = [received(0, "north", false), received(1, "north", false)];
    assert_eq!(chosen(&servers), 0);
    servers[0].sent_since = 2;
    assert_eq!(chosen(&servers), 1);
}

#[test]
fn shares_follow_the_weights() {
    let target = |service: &str, weight| Target {
        service: service.into(),
        weight: Weight::new(weight),
    };
    let route = Route {
        targets: vec![target("a", 90), target("b", 10), target("c", 0)],
        policy: TERMS,
    };
    let mut counts = BTreeMap::new();
    for draw in 0..1000 {
        *counts
            .entry(route.pick(draw).unwrap().to_string())
            .or_insert(0) += 1;
    }
    assert_eq!(
        counts,
        BTreeMap::from([("a".to_owned(), 900), ("b".to_owned(), 100)])
    );
    assert!(!route.allows(&"c".into()));
    let nothing = Route {
        targets: vec![target("c", 0)],
        policy: TERMS,
    };
    assert_eq!(nothing.pick(7), None);
}
