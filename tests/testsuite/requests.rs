//! Responses to callers and requests at backend servers when parts of the path fail.

use std::time::Duration;

use bytes::Bytes;
use dogwoodrill::context::wall_clock;
use dogwoodrill_core::config::{ClaimGroup, CommittedConfig};
use dogwoodrill_core::ids::{Incarnation, Term};
use dogwoodrill_spread::beacon::Beacon;
use dogwoodrill_testkit::backend_server::drain;
use rstest::rstest;

use self::lab::{Lab, new_key, order, post, until};
use crate::support::get;

mod lab;

const ZONES: [&str; 3] = ["las-piedras", "pando", "santa-lucia"];
const ONE_ZONE: [&str; 3] = ["pando"; 3];
const EXPIRED: &str = "0191d7a6-0000-7000-8000-000000000001";
const FUTURE: &str = "ffffffff-0000-7000-8000-000000000001";

/// P6: a request with malformed or missing identifying headers is rejected and does not reach a backend server.
#[rstest]
#[case::no_key(&[], "400 not-run next -")]
#[case::not_a_uuid(&[("idempotency-key", "order-17")], "400 not-run next -")]
#[case::expired(&[("idempotency-key", EXPIRED)], "410 may-have-run next -")]
#[case::future(&[("idempotency-key", FUTURE)], "400 may-have-run next -")]
#[case::attempt(&[("idempotency-key", FUTURE), ("dogwoodrill-attempt", "0")], "400 may-have-run next -")]
#[case::timeout(&[("dogwoodrill-timeout-ms", "soon")], "400 not-run next -")]
#[tokio::test]
async fn p6_bad_names_are_refused(#[case] headers: &[(&str, &str)], #[case] expected: &str) {
    let lab = Lab::start(&["pando"]).await;
    let response = lab.call(0, post("/orders", headers)).await;
    assert_eq!(response.line(), expected);
    assert_eq!(lab.sites[0].backend.request_counts().requests, 0);
}

/// Response to an order whose backend server fails, and to its resend through another agent.
#[rstest]
#[case::answered("/orders", "201 answered next -", "201 answered next -, replayed")]
#[case::p6_accepted_then_closed("/closed", "502 may-have-run next -", "409 may-have-run next -")]
#[case::p5_truncated(
    "/truncated",
    "200 answered next -, broken off",
    "409 may-have-run next -"
)]
#[case::p6_late("/hanging", "504 may-have-run next -", "409 may-have-run next -")]
#[tokio::test]
async fn p7_a_resend_is_told_what_became_of_the_first(
    #[case] path: &str,
    #[case] first: &str,
    #[case] second: &str,
) {
    let lab = Lab::start(&ZONES).await;
    let key = new_key();
    let req = |attempt| {
        let names = [
            ("idempotency-key", key.as_str()),
            ("dogwoodrill-attempt", attempt),
            ("dogwoodrill-timeout-ms", "300"),
        ];
        post(path, &names)
    };
    let response = lab.call(0, req("1")).await;
    assert_eq!(response.line(), first);
    // The outcome is sent to the claim replicas concurrently with the response.
    let mut resent = lab.call(1, req("2")).await;
    while resent.line() != second && resent.status == 409 {
        resent = lab.call(1, req("2")).await;
    }
    assert_eq!(resent.line(), second);
    let requests: u64 = lab
        .sites
        .iter()
        .map(|s| s.backend.request_counts().requests)
        .sum();
    assert_eq!(requests, 1);
}

#[tokio::test]
async fn p6_a_refused_connection_is_not_run_and_the_next_attempt_runs() {
    let lab = Lab::start(&ZONES).await;
    let key = new_key();
    lab.sites[0].backend.stop();
    let response = lab.call(0, order(&key, 1)).await;
    assert_eq!(response.line(), "503 not-run next 2");
    let delayed = lab.call(1, order(&key, 1)).await;
    assert_eq!(
        (delayed.verdict.as_deref(), lab.runs(&key)),
        (Some("not-run"), 0)
    );
    let next = lab.call(1, order(&key, 2)).await;
    assert_eq!(
        (next.line().as_str(), lab.runs(&key)),
        ("201 answered next -", 1)
    );
}

#[tokio::test]
async fn p7_a_resend_to_another_agent_while_the_first_runs_is_told_so() {
    let lab = Lab::start(&ZONES).await;
    let key = new_key();
    lab.sites[0].backend.hold(true);
    let first = lab.send(0, order(&key, 1));
    until(|| lab.runs(&key) == 1).await;
    let resent = lab.call(1, order(&key, 2)).await;
    assert_eq!(resent.line(), "409 may-have-run next -, come back");
    lab.sites[0].backend.hold(false);
    assert_eq!(first.await.unwrap().line(), "201 answered next -");
    assert_eq!(lab.runs(&key), 1);
}

/// An order whose caller disconnects still runs to its end, and a resend receives its response.
#[tokio::test]
async fn p7_a_caller_that_is_gone_finds_its_answer_later() {
    let lab = Lab::start(&ZONES).await;
    let key = new_key();
    lab.sites[0].backend.hold(true);
    let first = lab.send(0, order(&key, 1));
    until(|| lab.runs(&key) == 1).await;
    first.abort();
    lab.sites[0].backend.hold(false);
    let mut resent = lab.call(1, order(&key, 2)).await;
    while resent.status == 409 {
        resent = lab.call(1, order(&key, 2)).await;
    }
    assert_eq!(resent.line(), "201 answered next -, replayed");
    assert_eq!(lab.runs(&key), 1);
}

/// P5: a caller that disconnects cancels a request without a key, also while no data of the response is sent.
#[rstest]
#[case::before_the_head("/hanging")]
#[case::silent_status_query("/status")]
#[tokio::test]
async fn p5_a_caller_that_is_gone_cancels_its_request(#[case] path: &str) {
    let lab = Lab::start(&["pando"]).await;
    let call = lab.send(0, get(path));
    until(|| lab.sites[0].backend.request_counts().requests == 1).await;
    call.abort();
    until(|| lab.sites[0].backend.cancelled() == 1).await;
}

/// P5: the backend server responds after its request was cancelled; the next request gets its own response.
#[tokio::test]
async fn p5_an_answer_that_is_late_after_cancellation_reaches_nobody() {
    let lab = Lab::start(&["pando"]).await;
    let backend = &lab.sites[0].backend;
    backend.hold(true);
    let gone = lab.send(0, get("/sheets/10"));
    until(|| backend.request_counts().requests == 1).await;
    gone.abort();
    let next = lab.send(0, get("/sheets/20"));
    until(|| backend.request_counts().requests == 2).await;
    backend.hold(false);
    let response = next.await.unwrap();
    let len = response.body.as_ref().map(Bytes::len);
    assert_eq!(
        (response.line().as_str(), len),
        ("200 answered next -", Some(20))
    );
}

/// P7: claim replicas can't be reached. With a majority, orders run as before; without one, nothing runs and
/// nothing is reported as not run.
#[rstest]
#[case::one(&[2], "201 answered next -", 1)]
#[case::two(&[1, 2], "503 may-have-run next -, come back", 0)]
#[tokio::test]
async fn p7_orders_when_keepers_are_gone(
    #[case] dead: &[usize],
    #[case] expected: &str,
    #[case] runs: u64,
) {
    let lab = Lab::start(&ZONES).await;
    for site in dead {
        lab.make_unreachable(*site);
    }
    let key = new_key();
    let response = lab.call(0, order(&key, 1)).await;
    assert_eq!((response.line().as_str(), lab.runs(&key)), (expected, runs));
}

/// P8: a draining server gets no new requests; they are handed off to its peers.
#[tokio::test]
async fn p8_a_leaving_server_hands_orders_off() {
    let lab = Lab::start(&ZONES).await;
    let site = &lab.sites[0];
    assert!(drain(site.announce).await.unwrap().is_success());
    for _ in 0..5 {
        let key = new_key();
        let response = lab.call(0, order(&key, 1)).await;
        assert_eq!(
            (response.line().as_str(), lab.runs(&key)),
            ("201 answered next -", 1)
        );
    }
    assert_eq!(lab.sites[0].backend.request_counts().requests, 0);
    // A request whose response may stay open is not handed off to another zone.
    let status = lab.call(0, get("/sheets/10")).await;
    assert_eq!(status.line(), "503 not-run next -, come back");
}

/// P9 and P4: a request that was handed off completes while its server is drained or its zone is removed.
#[rstest]
#[case::drain(true)]
#[case::zone_out(false)]
#[tokio::test]
async fn p9_a_request_that_was_handed_off_survives(#[case] drains: bool) {
    let lab = Lab::start(&ZONES).await;
    let origin = &lab.sites[0];
    assert!(drain(origin.announce).await.unwrap().is_success());
    lab.sites[1].backend.hold(true);
    lab.sites[2].backend.hold(true);
    let key = new_key();
    let first = lab.send(0, order(&key, 1));
    until(|| lab.runs(&key) == 1).await;
    let receiver = if lab.sites[1].backend.request_counts().requests == 1 {
        1
    } else {
        2
    };
    let site = &lab.sites[receiver];
    if drains {
        assert!(drain(site.announce).await.unwrap().is_success());
    } else {
        lab.take_out(ZONES[receiver]);
    }
    lab.sites[1].backend.hold(false);
    lab.sites[2].backend.hold(false);
    assert_eq!(first.await.unwrap().line(), "201 answered next -");
    // Later requests go to other servers.
    for _ in 0..3 {
        let response = lab.call(0, order(&new_key(), 1)).await;
        assert_eq!(response.line(), "201 answered next -");
    }
    assert_eq!(lab.sites[receiver].backend.request_counts().requests, 1);
}

/// A server without free slots offers queued requests to a peer in its zone.
#[tokio::test]
async fn waiting_requests_go_to_a_peer_with_room() {
    let lab = Lab::start(&ONE_ZONE).await;
    lab.sites[0].backend.hold(true);
    let mut held = Vec::new();
    for n in 1..=2 {
        held.push(lab.send(0, order(&new_key(), 1)));
        until(|| lab.sites[0].backend.request_counts().requests == n).await;
    }
    let response = lab.call(0, order(&new_key(), 1)).await;
    assert_eq!(response.line(), "201 answered next -");
    assert_eq!(lab.sites[0].backend.request_counts().requests, 2);
    lab.sites[0].backend.hold(false);
    for call in held {
        assert_eq!(call.await.unwrap().line(), "201 answered next -");
    }
}

/// A full queue rejects a request immediately, with the correct verdict and a `retry-after` header.
#[tokio::test]
async fn p6_a_full_queue_refuses_at_once() {
    let empty_queue = |config: &mut CommittedConfig| {
        let profiles = config.profiles.values_mut();
        profiles.for_each(|p| p.queue_limit = 0);
    };
    let lab = Lab::with(&["pando"], empty_queue).await;
    lab.sites[0].backend.hold(true);
    let mut held = Vec::new();
    for n in 1..=2 {
        held.push(lab.send(0, order(&new_key(), 1)));
        until(|| lab.sites[0].backend.request_counts().requests == n).await;
    }
    let key = new_key();
    let response = lab.call(0, order(&key, 1)).await;
    assert_eq!(response.line(), "503 not-run next 2, come back");
    lab.sites[0].backend.hold(false);
    for call in held {
        assert_eq!(call.await.unwrap().status, 201);
    }
    let response = lab.call(0, order(&key, 2)).await;
    assert_eq!((response.status, lab.runs(&key)), (201, 1));
}

/// P5: the first attempt does not respond and a hedged request does; no data of the late first response is
/// mixed into the second.
#[tokio::test]
async fn p5_a_hedge_answers_whole_and_the_first_attempt_is_cancelled() {
    let short_objective = |config: &mut CommittedConfig| {
        let profiles = config.profiles.values_mut();
        profiles.for_each(|p| p.latency_objective = Duration::from_millis(200));
    };
    let lab = Lab::with(&ONE_ZONE, short_objective).await;
    // Ten requests earn the budget for one hedge.
    for _ in 0..10 {
        lab.call(0, get("/sheets/10")).await;
    }
    lab.sites[0].backend.hold(true);
    let response = lab.call(0, get("/sheets/100000")).await;
    assert_eq!(response.line(), "200 answered next -");
    assert_eq!(response.body.map(|b| b.len()), Some(100_000));
    lab.sites[0].backend.hold(false);
    let requests = lab
        .sites
        .iter()
        .map(|s| s.backend.request_counts().requests);
    assert_eq!(requests.sum::<u64>(), 12);
}

/// P7: orders continue across a change of the claim group.
#[tokio::test]
async fn p7_orders_go_on_after_a_change_of_the_claim_group() {
    let lab = Lab::start(&ZONES).await;
    let key = new_key();
    assert_eq!(lab.call(0, order(&key, 1)).await.status, 201);
    let mut config = (*lab.sites[0].cluster.config()).clone();
    config.index = config.index.next();
    for group in config.claim_groups.values_mut() {
        let replicas = group.replicas.clone();
        *group = ClaimGroup {
            epoch: group.epoch.next(),
            previous: replicas,
            ..group.clone()
        };
    }
    lab.adopt(&config);
    let resent = lab.call(1, order(&key, 2)).await;
    assert_eq!(resent.line(), "201 answered next -, replayed");
    assert_eq!(
        (
            lab.call(2, order(&new_key(), 1)).await.status,
            lab.runs(&key)
        ),
        (201, 1)
    );
}

/// P7: all replicas of a claim group have restarted and lost their state. After a beacon has confirmed the
/// group, keys created since then are claimed again; older keys are neither run nor reported as not run.
#[tokio::test]
async fn p7_a_group_that_forgot_everything_keeps_new_keys_once_it_is_confirmed() {
    let later_incarnations = |config: &mut CommittedConfig| {
        let groups = config.claim_groups.values_mut();
        let replicas = groups.flat_map(|g| &mut g.replicas);
        replicas.for_each(|k| k.incarnation = Incarnation::new(1));
    };
    let lab = Lab::with(&["pando"], later_incarnations).await;
    let old_key = new_key();
    let short = |key: &str| {
        let names = [("idempotency-key", key), ("dogwoodrill-timeout-ms", "300")];
        post("/orders", &names)
    };
    let response = lab.call(0, short(&old_key)).await;
    assert_eq!(response.verdict.as_deref(), Some("may-have-run"));
    lab.sites[0].cluster.on_beacon(Beacon {
        term: Term::new(1),
        sent_at: wall_clock().plus(Duration::from_mins(1)),
        index: lab.sites[0].cluster.config().index,
    });
    let mut key = new_key();
    for _ in 0..1_000 {
        if lab.call(0, short(&key)).await.status == 201 {
            break;
        }
        key = new_key();
    }
    let response = lab.call(0, short(&old_key)).await;
    assert_eq!(response.verdict.as_deref(), Some("may-have-run"));
    assert_eq!((lab.runs(&key), lab.runs(&old_key)), (1, 0));
}
