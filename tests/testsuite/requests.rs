//! What callers are told, and what backend servers see, when things fail on the way.

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

/// P6: what a request with malformed or missing names is told; nothing of it reaches a backend server.
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
    let told = lab.call(0, post("/orders", headers)).await;
    assert_eq!(told.line(), expected);
    assert_eq!(lab.sites[0].backend.request_counts().requests, 0);
}

/// What one order is told when its backend server fails, and then its resend at another agent.
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
    let told = lab.call(0, req("1")).await;
    assert_eq!(told.line(), first);
    // The outcome travels to the keepers beside the answer.
    let mut again = lab.call(1, req("2")).await;
    while again.line() != second && again.status == 409 {
        again = lab.call(1, req("2")).await;
    }
    assert_eq!(again.line(), second);
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
    let told = lab.call(0, order(&key, 1)).await;
    assert_eq!(told.line(), "503 not-run next 2");
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

/// A caller that goes away leaves its order to finish, and its resend finds the answer.
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

/// P5: a caller that is gone cancels a request without a key, also while its answer is silent.
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

/// P5: the backend server answers after its request was cancelled; who asks next gets its own answer.
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
    let told = next.await.unwrap();
    let len = told.body.as_ref().map(Bytes::len);
    assert_eq!(
        (told.line().as_str(), len),
        ("200 answered next -", Some(20))
    );
}

/// P7: keepers can't be reached. A majority decides as before; without one nothing runs, and nothing is denied.
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
        lab.cut_off(*site);
    }
    let key = new_key();
    let told = lab.call(0, order(&key, 1)).await;
    assert_eq!((told.line().as_str(), lab.runs(&key)), (expected, runs));
}

/// P8: a server that is leaving gets no new work; its peers get it.
#[tokio::test]
async fn p8_a_leaving_server_hands_orders_off() {
    let lab = Lab::start(&ZONES).await;
    let site = &lab.sites[0];
    assert!(drain(site.announce).await.unwrap().is_success());
    for _ in 0..5 {
        let key = new_key();
        let told = lab.call(0, order(&key, 1)).await;
        assert_eq!(
            (told.line().as_str(), lab.runs(&key)),
            ("201 answered next -", 1)
        );
    }
    assert_eq!(lab.sites[0].backend.request_counts().requests, 0);
    // An answer that may stay open is not handed to another zone.
    let status = lab.call(0, get("/sheets/10")).await;
    assert_eq!(status.line(), "503 not-run next -, come back");
}

/// P9 and P4: a drain, or the removal of a zone, while a request is handed off.
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
    let taker = if lab.sites[1].backend.request_counts().requests == 1 {
        1
    } else {
        2
    };
    let site = &lab.sites[taker];
    if drains {
        assert!(drain(site.announce).await.unwrap().is_success());
    } else {
        lab.take_out(ZONES[taker]);
    }
    lab.sites[1].backend.hold(false);
    lab.sites[2].backend.hold(false);
    assert_eq!(first.await.unwrap().line(), "201 answered next -");
    // What comes after it goes elsewhere.
    for _ in 0..3 {
        let told = lab.call(0, order(&new_key(), 1)).await;
        assert_eq!(told.line(), "201 answered next -");
    }
    assert_eq!(lab.sites[taker].backend.request_counts().requests, 1);
}

/// A server that has no room offers what waits to a peer of its zone.
#[tokio::test]
async fn waiting_requests_go_to_a_peer_with_room() {
    let lab = Lab::start(&ONE_ZONE).await;
    lab.sites[0].backend.hold(true);
    let mut held = Vec::new();
    for n in 1..=2 {
        held.push(lab.send(0, order(&new_key(), 1)));
        until(|| lab.sites[0].backend.request_counts().requests == n).await;
    }
    let told = lab.call(0, order(&new_key(), 1)).await;
    assert_eq!(told.line(), "201 answered next -");
    assert_eq!(lab.sites[0].backend.request_counts().requests, 2);
    lab.sites[0].backend.hold(false);
    for call in held {
        assert_eq!(call.await.unwrap().line(), "201 answered next -");
    }
}

/// A full queue refuses at once, truthfully, and says when to come back.
#[tokio::test]
async fn p6_a_full_queue_refuses_at_once() {
    let small = |config: &mut CommittedConfig| {
        let profiles = config.profiles.values_mut();
        profiles.for_each(|p| p.queue_limit = 0);
    };
    let lab = Lab::with(&["pando"], small).await;
    lab.sites[0].backend.hold(true);
    let mut held = Vec::new();
    for n in 1..=2 {
        held.push(lab.send(0, order(&new_key(), 1)));
        until(|| lab.sites[0].backend.request_counts().requests == n).await;
    }
    let key = new_key();
    let told = lab.call(0, order(&key, 1)).await;
    assert_eq!(told.line(), "503 not-run next 2, come back");
    lab.sites[0].backend.hold(false);
    for call in held {
        assert_eq!(call.await.unwrap().status, 201);
    }
    let told = lab.call(0, order(&key, 2)).await;
    assert_eq!((told.status, lab.runs(&key)), (201, 1));
}

/// P5: the first attempt hangs, a hedge answers; the late answer of the first mixes into nothing.
#[tokio::test]
async fn p5_a_hedge_answers_whole_and_the_first_attempt_is_cancelled() {
    let quick = |config: &mut CommittedConfig| {
        let profiles = config.profiles.values_mut();
        profiles.for_each(|p| p.latency_objective = Duration::from_millis(200));
    };
    let lab = Lab::with(&ONE_ZONE, quick).await;
    // Ten requests pay for one hedge.
    for _ in 0..10 {
        lab.call(0, get("/sheets/10")).await;
    }
    lab.sites[0].backend.hold(true);
    let told = lab.call(0, get("/sheets/100000")).await;
    assert_eq!(told.line(), "200 answered next -");
    assert_eq!(told.body.map(|b| b.len()), Some(100_000));
    lab.sites[0].backend.hold(false);
    let requests = lab
        .sites
        .iter()
        .map(|s| s.backend.request_counts().requests);
    assert_eq!(requests.sum::<u64>(), 12);
}

/// P7: an order goes on across a change of the claim group.
#[tokio::test]
async fn p7_orders_go_on_after_a_change_of_the_claim_group() {
    let lab = Lab::start(&ZONES).await;
    let key = new_key();
    assert_eq!(lab.call(0, order(&key, 1)).await.status, 201);
    let mut config = (*lab.sites[0].cluster.config()).clone();
    config.index = config.index.next();
    for group in config.claim_groups.values_mut() {
        let keepers = group.replicas.clone();
        *group = ClaimGroup {
            epoch: group.epoch.next(),
            previous: keepers,
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

/// P7: every keeper of a group has restarted. With a beacon that confirms the group after that, keys made
/// since are kept again; the others are neither run nor denied.
#[tokio::test]
async fn p7_a_group_that_forgot_everything_keeps_new_keys_once_it_is_confirmed() {
    let later_lives = |config: &mut CommittedConfig| {
        let groups = config.claim_groups.values_mut();
        let keepers = groups.flat_map(|g| &mut g.replicas);
        keepers.for_each(|k| k.incarnation = Incarnation::new(1));
    };
    let lab = Lab::with(&["pando"], later_lives).await;
    let old_key = new_key();
    let short = |key: &str| {
        let names = [("idempotency-key", key), ("dogwoodrill-timeout-ms", "300")];
        post("/orders", &names)
    };
    let told = lab.call(0, short(&old_key)).await;
    assert_eq!(told.verdict.as_deref(), Some("may-have-run"));
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
    let told = lab.call(0, short(&old_key)).await;
    assert_eq!(told.verdict.as_deref(), Some("may-have-run"));
    assert_eq!((lab.runs(&key), lab.runs(&old_key)), (1, 0));
}
