//! The load tool: the schedule of requests, the limits of its options, and a run against a small cluster.

use std::path::PathBuf;
use std::time::Duration;

use dogwoodrill::ops::load::options::MAX_RATE;
use dogwoodrill::ops::load::plan::Arrivals;
use dogwoodrill::ops::load::result::{CompletedRequest, LoadResult};
use dogwoodrill::ops::load::run::RequestOutcome;
use dogwoodrill::ops::{LoadOptions, Outcome, RequestClass, load};
use dogwoodrill_core::time::UnixMillis;
use dogwoodrill_testkit::certificate::SERVER_NAME;
use insta::assert_snapshot;
use rstest::rstest;

use crate::support::SmallCluster;

fn classes() -> Vec<RequestClass> {
    let texts = ["order=POST:/orders:3", "sheet=GET:/sheets/2000"];
    texts.map(|t| t.parse().unwrap()).to_vec()
}

fn options() -> LoadOptions {
    LoadOptions {
        to: "192.0.2.1:443".parse().unwrap(),
        name: SERVER_NAME.to_owned(),
        authority: PathBuf::from("authority.pem"),
        classes: classes(),
        rate: 100,
        time: Duration::from_secs(2),
        count: 40,
        flows: 4,
        timeout: Duration::from_secs(20),
        resends: 2,
        seed: 7,
        html: None,
    }
}

#[test]
fn arrivals_are_the_same_for_a_seed_and_keep_rate_and_weights() {
    let arrivals = |seed, count| {
        let time = Duration::from_secs(100);
        Arrivals::new(seed, 200, &classes(), time, count).collect::<Vec<_>>()
    };
    let all = arrivals(7, u64::MAX);
    assert_eq!(all, arrivals(7, u64::MAX));
    assert_ne!(all, arrivals(8, u64::MAX));
    assert_eq!(all[..5], arrivals(7, 5));
    assert!(all.is_sorted_by_key(|a| a.due));
    // 20,000 arrivals are expected; five standard deviations are 707.
    assert!(all.len().abs_diff(20_000) < 707, "{}", all.len());
    let orders = all.iter().filter(|a| a.class == 0).count();
    // Three quarters are orders; five standard deviations are 307.
    assert!(orders.abs_diff(all.len() * 3 / 4) < 307, "{orders}");
}

#[rstest]
#[case::no_name("POST:/orders")]
#[case::no_path("order=POST")]
#[case::relative_path("order=POST:orders")]
#[case::no_weight("order=POST:/orders:0")]
#[case::bad_weight("order=POST:/orders:many")]
#[case::bad_method("order=P OST:/orders")]
fn a_malformed_class_is_refused(#[case] text: &str) {
    text.parse::<RequestClass>().unwrap_err();
}

#[rstest]
#[case::rate(LoadOptions { rate: MAX_RATE + 1, ..options() }, "--rate must be from 0 to 20000")]
#[case::time(LoadOptions { time: Duration::from_hours(2), ..options() }, "--time must be from 1 to 3600")]
#[case::no_time(LoadOptions { time: Duration::ZERO, ..options() }, "--time must be from 1 to 3600")]
#[case::flows(LoadOptions { flows: 0, ..options() }, "--flows must be from 1 to 20000")]
#[case::count(LoadOptions { count: 0, ..options() }, "--count must be from 1 to 5000000")]
fn every_run_is_bounded(#[case] options: LoadOptions, #[case] problem: &str) {
    assert_eq!(options.check().unwrap_err().to_string(), problem);
}

#[test]
fn a_result_counts_from_when_a_request_was_due() {
    let mut result = LoadResult::new(&options(), UnixMillis::new(0));
    let sent = |class, millis, outcome, resends| CompletedRequest {
        class,
        due: Duration::from_millis(1_500),
        latency: Duration::from_millis(millis),
        outcome,
        resends,
    };
    result.on_completed(&sent(0, 20, RequestOutcome::Good, 0));
    result.on_completed(&sent(0, 4_000, RequestOutcome::Good, 1));
    result.on_completed(&sent(0, 50, RequestOutcome::Unclear, 2));
    result.on_completed(&sent(1, 50, RequestOutcome::NotRun, 2));
    assert_eq!(result.exit_code(), 1);
    assert_snapshot!(result, @"
    parameters: 100 requests a second for 2 s over 4 flows to 192.0.2.1:443 (service.test), seed 7
    0 flows broke with a request in progress, 0 did not open; 0 arrivals were not sent because too many requests were in progress
    class  good  not run  unclear  resends   p50     p90     p99   p99.9  longest, ms
    order     2        0        1        3  20.0  4001.8  4001.8  4001.8       4001.8  !
    sheet     0        1        0        2     -       -       -       -            -  !
    ");
}

#[tokio::test]
async fn a_run_orders_once_each_and_writes_its_page() {
    let cluster = SmallCluster::start(2).await;
    let dir = tempfile::tempdir().unwrap();
    let authority = dir.path().join("authority.pem");
    let html = dir.path().join("load.html");
    std::fs::write(&authority, &cluster.certificate.pem).unwrap();
    let result = load(LoadOptions {
        to: cluster.fabric.address(),
        authority,
        html: Some(html.clone()),
        ..options()
    });
    let json = result.await.unwrap().to_json();
    let good = |class: usize| json["classes"][class]["good"].as_u64().unwrap();
    assert_eq!(good(0) + good(1), 40, "{json:#}");
    let counts = cluster.backend.request_counts();
    assert_eq!(counts.orders.len() as u64, good(0));
    assert!(counts.orders.values().all(|runs| *runs == 1), "{counts:?}");
    let page = std::fs::read_to_string(html).unwrap();
    assert_eq!(page.matches("<svg").count(), 3);
}
