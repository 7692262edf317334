//! Callers that follow the rules of the interface for callers.

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
/// Time between two orders of one caller.
const ORDER_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two sheets of one caller.
const SHEET_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a caller gives up on an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(12);
/// Time that a caller waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Minimum delay before a retry, also used if the response has no `retry-after`.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Fraction of orders that are sent a second time, through another flow, while the first attempt runs.
const RESENT_RATIO: f64 = 0.1;
const SHEET_BYTES: usize = 200_000;
const VERDICT: &str = "dogwoodrill-verdict";
const NOT_RUN: &str = "not-run";

/// Callers that run until the `finish` token is cancelled.
#[derive(Debug)]
pub struct Callers(JoinSet<()>);

impl Callers {
    /// Waits until each caller has received its last response.
    pub async fn join(mut self) {
        while self.0.join_next().await.is_some() {}
    }
}

/// State shared by all callers.
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

/// Holds a status query open, and opens a new one if it is broken.
async fn hold_status(cx: Cx) {
    while !cx.finish.is_cancelled() {
        let started = Instant::now();
        let Ok((caller, response)) = open_status(&cx).await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        cx.tally.record(Class::Status, started.elapsed());
        let server = served_by(&response.head);
        let rest = response.read_rest().await;
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
    let response = caller.open(get(&ORDERS, "/status")).await?;
    if response.head.status() != StatusCode::OK {
        return Err(format!("status {}", response.head.status()).into());
    }
    Ok((caller, response))
}

async fn place_orders(cx: Cx, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !cx.finish.is_cancelled() {
        let key = Uuid::now_v7().to_string();
        cx.tally.counts().orders_sent.insert(key.clone());
        let started = Instant::now();
        let resent = rng.random_bool(RESENT_RATIO);
        let first = place_order(&cx, &key, 1);
        let confirmed = if resent {
            let (a, b) = tokio::join!(first, place_order(&cx, &key, 2));
            // The order is confirmed when the first of the two responses arrives.
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
        sleep(ORDER_INTERVAL).await;
    }
}

/// Sends an order until it is confirmed and returns the time of the confirmation. The attempt number
/// increases by two, so that two concurrent senders of an order use different numbers.
async fn place_order(cx: &Cx, key: &str, first_attempt: u32) -> Option<Instant> {
    const ATTEMPT_STEP: usize = 2;
    let deadline = Instant::now() + ORDER_TIMEOUT;
    for attempt in (first_attempt..).step_by(ATTEMPT_STEP) {
        match timeout_at(deadline, send_order(cx, key, attempt)).await {
            Ok(OrderResult::Confirmed) => return Some(Instant::now()),
            Ok(OrderResult::Retry(pause)) => sleep(pause).await,
            Err(_) => return None,
        }
    }
    None
}

enum OrderResult {
    Confirmed,
    Retry(Duration),
}

async fn send_order(cx: &Cx, key: &str, attempt: u32) -> OrderResult {
    let Ok(mut caller) = cx.connect(&ORDERS).await else {
        return OrderResult::Retry(RETRY_DELAY);
    };
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    let response = timeout_at(deadline, caller.call(order(key, attempt))).await;
    let Ok(Ok(response)) = response else {
        return OrderResult::Retry(RETRY_DELAY);
    };
    if response.status() == StatusCode::CREATED {
        return OrderResult::Confirmed;
    }
    record_refusal(cx, key, attempt, &response);
    OrderResult::Retry(retry_after(&response))
}

fn record_refusal(cx: &Cx, key: &str, attempt: u32, response: &Response<Bytes>) {
    let not_run = response
        .headers()
        .get(VERDICT)
        .is_some_and(|v| v == NOT_RUN);
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

fn retry_after(response: &Response<Bytes>) -> Duration {
    let header = response.headers().get(http::header::RETRY_AFTER);
    let seconds = header.and_then(|v| v.to_str().ok()?.parse().ok());
    seconds
        .map_or(RETRY_DELAY, Duration::from_secs)
        .max(RETRY_DELAY)
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
        sleep(SHEET_INTERVAL).await;
    }
}

/// Fetches a sheet and returns its length; a status other than 200 is an error.
async fn fetch_sheet(cx: &Cx) -> Result<usize, CallError> {
    let mut caller = cx.connect(&CATALOGUE).await?;
    let path = format!("/sheets/{SHEET_BYTES}");
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    let response = timeout_at(deadline, caller.call(get(&CATALOGUE, &path))).await??;
    if response.status() != StatusCode::OK {
        return Err(format!("sheet {}", response.status()).into());
    }
    Ok(response.body().len())
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
