//! Offers of idle slots: for how long they hold, and how many there are.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::slot_offers::{SlotOfferStats, SlotOffers};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);
const WORK: Duration = Duration::from_millis(30);

fn peer(n: u16) -> Ipv4Addr {
    let [high, low] = n.to_be_bytes();
    Ipv4Addr::new(10, 1, high, low)
}

fn valid(offers: &SlotOffers, now: Instant) -> Vec<Ipv4Addr> {
    offers.valid(now).collect()
}

/// Guards against offers that hold too long, so that an idle slot is offered to nobody, or too briefly, so that it is
/// offered twice. An offer is valid for half of the service time.
#[rstest]
#[case::at_once(0, 1)]
#[case::just_before(14, 1)]
#[case::at_half(15, 0)]
#[case::service_time(30, 0)]
fn an_offer_holds_for_half_of_the_service_time(#[case] age_ms: u32, #[case] expected: usize) {
    let start = Instant::now();
    let now = start + age_ms * MS;
    let mut offers = SlotOffers::default();
    offers.on_sent(start, WORK);
    offers.keep(start, peer(1), WORK);
    assert_eq!(offers.outstanding(now) as usize, expected);
    assert_eq!(valid(&offers, now).len(), expected);
}

/// Guards against more messages than an idle server may send: one per slot and half of a service time.
#[rstest]
#[case::one_slot(1, 30)]
#[case::two_slots(2, 39)]
#[case::quick(4, 6)]
fn the_rate_of_offers_is_limited(#[case] slots: u32, #[case] work_ms: u32) {
    let start = Instant::now();
    let mut offers = SlotOffers::default();
    for at_ms in 0..1000 {
        let now = start + at_ms * MS;
        for _ in offers.outstanding(now)..slots {
            offers.on_sent(now, work_ms * MS);
        }
        assert!(offers.outstanding(now) <= slots);
    }
    let periods = 2000_u32.div_ceil(work_ms);
    let most = u64::from(slots * periods);
    let sent = offers.stats().sent;
    assert!(sent > 0 && sent <= most, "{sent} of {most}");
}

/// Guards against an offer that is used for two openings, the second of which finds the slot taken.
#[test]
fn a_kept_offer_is_used_once() {
    let now = Instant::now();
    let mut offers = SlotOffers::default();
    for n in [1, 2, 1] {
        offers.keep(now, peer(n), WORK);
    }
    assert_eq!(valid(&offers, now), [peer(1), peer(2), peer(1)]);
    offers.use_offer(now, peer(1));
    assert_eq!(valid(&offers, now), [peer(2), peer(1)]);
    offers.use_offer(now, peer(1));
    assert_eq!(valid(&offers, now), [peer(2)]);
    offers.use_offer(now, peer(1));
    assert_eq!(valid(&offers, now), [peer(2)]);
    assert_eq!(offers.stats().used, 2);
}

/// Guards against a use that removes an expired offer of the peer instead of the valid one, which is then used twice.
#[test]
fn a_valid_offer_is_used_before_expired_ones() {
    let start = Instant::now();
    let mut offers = SlotOffers::default();
    offers.keep(start, peer(1), WORK);
    offers.keep(start + 10 * MS, peer(1), WORK);
    let now = start + 20 * MS;
    offers.use_offer(now, peer(1));
    assert!(valid(&offers, now).is_empty());
}

/// Guards against use of the newest offer first, which lets the others expire unused.
#[test]
fn the_oldest_valid_offer_comes_first() {
    let start = Instant::now();
    let mut offers = SlotOffers::default();
    for n in 1..=3 {
        offers.keep(start + u32::from(n) * 5 * MS, peer(n), WORK);
    }
    assert_eq!(valid(&offers, start + 18 * MS), [peer(1), peer(2), peer(3)]);
    assert_eq!(valid(&offers, start + 21 * MS), [peer(2), peer(3)]);
}

/// Guards against unbounded memory at a peer that repeats its offers, and against offers that no statistic counts.
/// Offers beyond the limit count as expired; room returns when the kept ones expire.
#[test]
fn the_number_of_kept_offers_is_limited() {
    let start = Instant::now();
    let mut offers = SlotOffers::default();
    for n in 0..1000 {
        offers.keep(start, peer(n), WORK);
    }
    let kept = valid(&offers, start).len();
    assert!(kept <= 64, "{kept}");
    assert_eq!(offers.stats().expired, 1000 - kept as u64);
    let later = start + WORK;
    offers.keep(later, peer(2000), WORK);
    assert_eq!(valid(&offers, later), [peer(2000)]);
    assert_eq!(offers.stats().expired, 1000);
}

/// Guards against statistics that mix offers of this agent with those of its peers.
#[test]
fn statistics_distinguish_sent_used_and_expired_offers() {
    let start = Instant::now();
    let mut offers = SlotOffers::default();
    offers.on_sent(start, WORK);
    offers.on_sent(start, WORK);
    offers.on_used();
    offers.keep(start, peer(1), WORK);
    offers.keep(start, peer(2), WORK);
    offers.use_offer(start, peer(2));
    offers.keep(start + WORK, peer(3), WORK);
    let expected = SlotOfferStats {
        sent: 2,
        used: 2,
        expired: 1,
    };
    assert_eq!(offers.stats(), expected);
}

/// Guards against a panic, or an offer that never expires, at the shortest and the longest service time that a
/// report can contain.
#[rstest]
#[case::none(Duration::ZERO, false)]
#[case::shortest(Duration::from_micros(1), false)]
#[case::longest(Duration::from_micros(u32::MAX.into()), true)]
fn extreme_service_times_are_harmless(#[case] work: Duration, #[case] holds: bool) {
    let start = Instant::now();
    let mut offers = SlotOffers::default();
    offers.on_sent(start, work);
    offers.keep(start, peer(1), work);
    assert_eq!(offers.outstanding(start + MS), u32::from(holds));
    assert_eq!(valid(&offers, start + MS).len(), usize::from(holds));
    assert_eq!(offers.outstanding(start + work), 0);
}
