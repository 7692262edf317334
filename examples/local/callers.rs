//! Callers that behave as the interface for callers tells them to.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodrill_testkit::caller::{CallError, Caller, OpenResponse};
use dogwoodrill_testkit::slotted_server::{
    ATTEMPT, INTENDED_SERVICE, KEY, OrderAttempt, SERVED_BY,
};
use http::{Method, Request, Response, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::cluster::{CATALOGUE, LocalCluster, ORDERS, ServiceSpec};
use crate::tally::{Class, Tally};

const STATUS_CALLERS: u64 = 140;
const ORDER_CALLERS: u64 = 16;
const SHEET_CALLERS: u64 = 6;
/// Pause between two orders of one caller.
const ORDER_PAUSE: Duration = Duration::from_millis(60);
/// Pause between two sheets of one caller.
const SHEET_PAUSE: Duration = Duration::from_millis(100);
/// How long a caller goes on sending one order.
const ORDER_PATIENCE: Duration = Duration::from_secs(12);
/// How long a caller waits for one answer.
const ANSWER_PATIENCE: Duration = Duration::from_secs(6);
/// Pause before an attempt is sent again, where the answer names none.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Share of orders that are sent again through another flow while the first still runs.
const RESENT_SHARE: f64 = 0.1;
const SHEET_BYTES: usize = 200_000;
const VERDICT: &str = "dogwoodrill-verdict";
const NOT_RUN: &str = "not-run";

/// Callers that run until they are told to finish.
#[derive(Debug)]
pub struct Callers(JoinSet<()>);

impl Callers {
    /// Waits until each caller has had its last answer.
    pub async fn join(mut self) {
        while self.0.join_next().await.is_some() {}
    }
}

/// What every caller is handed.
#[derive(Clone)]
struct Cx {
    cluster: Arc<LocalCluster>,
    tally: Arc<Tally>,
    finish: CancellationToken,
}

/// Starts all callers.
pub fn start(
    cluster: &Arc<LocalCluster>,
    tally: &Arc<Tally>,
    finish: &CancellationToken,
) -> Callers {
    let cx = Cx {
        cluster: Arc::clone(cluster),
        tally: Arc::clone(tally),
        finish: finish.clone(),
    };
    let mut tasks = JoinSet::new();
    for _ in 0..STATUS_CALLERS {
        tasks.spawn(hold_status(cx.clone()));
    }
    for seed in 0..ORDER_CALLERS {
        tasks.spawn(place_orders(cx.clone(), seed));
    }
    for _ in 0..SHEET_CALLERS {
        tasks.spawn(fetch_sheets(cx.clone()));
    }
    Callers(tasks)
}

impl Cx {
    async fn connect(&self, service: &ServiceSpec) -> Result<Caller, CallError> {
        let caller = self.cluster.connect(service).await;
        let mut counts = self.tally.counts();
        match caller {
            Ok(_) => counts.flows_opened += 1,
            Err(_) => counts.flows_refused += 1,
        }
        drop(counts);
        caller
    }
}

/// Holds one status query open; opens a new one when it breaks.
async fn hold_status(cx: Cx) {
    while !cx.finish.is_cancelled() {
        let started = Instant::now();
        let Ok((caller, answer)) = open_status(&cx).await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        cx.tally.record(Class::Status, started.elapsed());
        let server = served_by(&answer.head);
        let rest = answer.read_rest().await;
        if matches!(&rest, Ok(rest) if rest.ends_with(b"delivered\n")) {
            return;
        }
        let flow = caller.connection().close_reason();
        cx.tally
            .record_broken(&server, &format!("{rest:?}, flow {flow:?}"));
    }
}

async fn open_status(cx: &Cx) -> Result<(Caller, OpenResponse), CallError> {
    let mut caller = cx.connect(&ORDERS).await?;
    let answer = caller.open(get(&ORDERS, "/status")).await?;
    if answer.head.status() != StatusCode::OK {
        return Err(format!("status {}", answer.head.status()).into());
    }
    Ok((caller, answer))
}

async fn place_orders(cx: Cx, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !cx.finish.is_cancelled() {
        let key = Uuid::now_v7().to_string();
        cx.tally.counts().orders_sent.insert(key.clone());
        let started = Instant::now();
        let resent = rng.random_bool(RESENT_SHARE);
        let first = place_order(&cx, &key, 1);
        let confirmed = if resent {
            let (a, b) = tokio::join!(first, place_order(&cx, &key, 2));
            // The caller has its answer when the first of the two is there.
            a.into_iter().chain(b).min()
        } else {
            first.await
        };
        if let Some(at) = confirmed {
            cx.tally.record(Class::Order, at - started);
            cx.tally.counts().orders_confirmed.insert(key);
        } else {
            cx.tally.note(format!("order {key} was never confirmed"));
        }
        sleep(ORDER_PAUSE).await;
    }
}

/// Sends an order until it is confirmed, raising the attempt by two so that a twin has numbers of its
/// own. Returns when it was confirmed.
async fn place_order(cx: &Cx, key: &str, first_attempt: u32) -> Option<Instant> {
    const ATTEMPT_STEP: usize = 2;
    let deadline = Instant::now() + ORDER_PATIENCE;
    for attempt in (first_attempt..).step_by(ATTEMPT_STEP) {
        match timeout_at(deadline, send_order(cx, key, attempt)).await {
            Ok(OrderAnswer::Confirmed) => return Some(Instant::now()),
            Ok(OrderAnswer::Again(pause)) => sleep(pause).await,
            Err(_) => return None,
        }
    }
    None
}

enum OrderAnswer {
    Confirmed,
    Again(Duration),
}

async fn send_order(cx: &Cx, key: &str, attempt: u32) -> OrderAnswer {
    let Ok(mut caller) = cx.connect(&ORDERS).await else {
        return OrderAnswer::Again(RETRY_PAUSE);
    };
    let deadline = Instant::now() + ANSWER_PATIENCE;
    let answer = timeout_at(deadline, caller.call(order(key, attempt))).await;
    let Ok(Ok(answer)) = answer else {
        return OrderAnswer::Again(RETRY_PAUSE);
    };
    if answer.status() == StatusCode::CREATED {
        return OrderAnswer::Confirmed;
    }
    record_refusal(cx, key, attempt, &answer);
    OrderAnswer::Again(retry_after(&answer))
}

fn record_refusal(cx: &Cx, key: &str, attempt: u32, answer: &Response<Bytes>) {
    let not_run = answer.headers().get(VERDICT).is_some_and(|v| v == NOT_RUN);
    let mut counts = cx.tally.counts();
    if !not_run {
        counts.may_have_run_answers += 1;
        return;
    }
    counts.not_run_answers += 1;
    counts.refused_as_not_run.insert(OrderAttempt {
        key: key.to_owned(),
        attempt: attempt.to_string(),
    });
}

fn retry_after(answer: &Response<Bytes>) -> Duration {
    let header = answer.headers().get(http::header::RETRY_AFTER);
    let seconds = header.and_then(|v| v.to_str().ok()?.parse().ok());
    seconds
        .map_or(RETRY_PAUSE, Duration::from_secs)
        .max(RETRY_PAUSE)
}

async fn fetch_sheets(cx: Cx) {
    while !cx.finish.is_cancelled() {
        let started = Instant::now();
        match fetch_sheet(&cx).await {
            Ok(SHEET_BYTES) => {
                cx.tally.record(Class::Sheet, started.elapsed());
                cx.tally.counts().sheets_whole += 1;
            }
            Ok(_) => cx.tally.counts().sheets_short += 1,
            Err(_) => cx.tally.counts().sheets_failed += 1,
        }
        sleep(SHEET_PAUSE).await;
    }
}

/// Fetches a sheet and returns its length; an answer other than 200 is an error.
async fn fetch_sheet(cx: &Cx) -> Result<usize, CallError> {
    let mut caller = cx.connect(&CATALOGUE).await?;
    let path = format!("/sheets/{SHEET_BYTES}");
    let deadline = Instant::now() + ANSWER_PATIENCE;
    let answer = timeout_at(deadline, caller.call(get(&CATALOGUE, &path))).await??;
    if answer.status() != StatusCode::OK {
        return Err(format!("sheet {}", answer.status()).into());
    }
    Ok(answer.body().len())
}

fn get(service: &ServiceSpec, path: &str) -> Request<Bytes> {
    Request::get(format!("https://service.test{path}"))
        .header(INTENDED_SERVICE, service.name)
        .body(Bytes::new())
        .expect("the parts are valid")
}

fn order(key: &str, attempt: u32) -> Request<Bytes> {
    Request::builder()
        .method(Method::POST)
        .uri("https://service.test/orders")
        .header(INTENDED_SERVICE, ORDERS.name)
        .header(KEY, key)
        .header(ATTEMPT, attempt)
        .body(Bytes::from_static(b"arch of 40 balloons, red and white"))
        .expect("the parts are valid")
}

fn served_by(head: &Response<()>) -> String {
    let header = head.headers().get(SERVED_BY).and_then(|v| v.to_str().ok());
    header.unwrap_or("nobody").to_owned()
}
