//! Sends the planned requests at their planned times.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{Method, Request, Response};
use indicatif::{ProgressBar, ProgressStyle};
use snafu::{ResultExt, Snafu};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout_at};
use uuid::Uuid;

use super::caller::{CallError, CallerError, Callers};
use super::options::{LoadOptions, OutOfBounds, RequestClass};
use super::plan::{Arrival, Arrivals};
use super::result::{CompletedRequest, LoadResult};
use crate::agent::headers::{ATTEMPT, IDEMPOTENCY_KEY, TIMEOUT, VERDICT};
use crate::context::wall_clock;

/// Maximum number of requests in progress; arrivals beyond it are counted as not sent.
const MAX_IN_PROGRESS: usize = 20_000;
/// Maximum number of flows opened concurrently.
const MAX_CONCURRENT_OPENS: usize = 64;
/// Length of the queue of completed requests that wait to be counted.
const RESULT_QUEUE_LEN: usize = 1_024;

/// Error of `load`.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// An option is outside its limits.
    #[snafu(transparent)]
    Bounds {
        /// The option and its limits.
        source: OutOfBounds,
    },
    /// The flows could not be set up.
    #[snafu(transparent)]
    Callers {
        /// The underlying error.
        source: CallerError,
    },
    /// The first flow could not be opened.
    #[snafu(display("cannot open a flow to the service; check --to, --name and --authority"))]
    Open {
        /// The error of the connection.
        source: CallError,
    },
    /// The page could not be rendered.
    #[snafu(transparent)]
    Page {
        /// The underlying error.
        source: crate::ops::page::PageError,
    },
    /// The page could not be written.
    #[snafu(display("cannot write {}", path.display()))]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
}

/// Opens the flows, sends the requests and returns the result. Ends early on Ctrl-C.
pub async fn load(options: LoadOptions) -> Result<LoadResult, LoadError> {
    options.check()?;
    let callers = Callers::new(options.to, &options.name, &options.authority, options.flows)?;
    callers.open(0).await.context(OpenSnafu)?;
    let failed_opens = open_all(&callers).await;
    let sender = Arc::new(LoadSender {
        options,
        callers,
        permits: Arc::new(Semaphore::new(MAX_IN_PROGRESS)),
    });
    let mut result = sender.run().await;
    result.flows_not_opened = failed_opens;
    result.flows_broken = sender.callers.broken.load(Ordering::Relaxed);
    if let Some(path) = &sender.options.html {
        let html = result.to_page().to_html()?;
        std::fs::write(path, html).context(WriteSnafu { path })?;
    }
    Ok(result)
}

/// Opens all flows and returns the number that could not be opened.
async fn open_all(callers: &Callers) -> usize {
    let flows = stream::iter(0..callers.len());
    let opened = flows
        .map(|flow| callers.open(flow))
        .buffer_unordered(MAX_CONCURRENT_OPENS);
    opened
        .filter(|outcome| std::future::ready(outcome.is_err()))
        .count()
        .await
}

struct LoadSender {
    options: LoadOptions,
    callers: Callers,
    permits: Arc<Semaphore>,
}

impl LoadSender {
    async fn run(self: &Arc<Self>) -> LoadResult {
        let (tx, mut rx) = mpsc::channel(RESULT_QUEUE_LEN);
        let started_at = Instant::now();
        let mut result = LoadResult::new(&self.options, wall_clock());
        let sending = tokio::spawn(Arc::clone(self).send_all(started_at, tx));
        let progress = progress(self.options.time);
        while let Some(sent) = rx.recv().await {
            result.on_completed(&sent);
            progress.set_position(started_at.elapsed().as_secs());
            progress.set_message(result.summary());
        }
        progress.finish_and_clear();
        result.not_sent = sending.await.unwrap_or_default();
        result
    }

    /// Sends the planned requests and returns the number of arrivals that were not sent because
    /// [`MAX_IN_PROGRESS`] was reached.
    async fn send_all(
        self: Arc<Self>,
        started_at: Instant,
        tx: mpsc::Sender<CompletedRequest>,
    ) -> u64 {
        let o = &self.options;
        let arrivals = Arrivals::new(o.seed, o.rate, &o.classes, o.time, o.count);
        let mut tasks = JoinSet::new();
        let mut not_sent = 0;
        let interrupted = tokio::signal::ctrl_c();
        tokio::pin!(interrupted);
        for (number, arrival) in arrivals.enumerate() {
            tokio::select! {
                () = sleep_until(started_at + arrival.due) => {}
                _ = &mut interrupted => break,
            }
            while tasks.try_join_next().is_some() {}
            let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
                not_sent += 1;
                continue;
            };
            let (this, tx) = (Arc::clone(&self), tx.clone());
            tasks.spawn(async move {
                let sent = this.send(number, arrival, started_at).await;
                let _permit = permit;
                // The receiver is dropped only if the run was cancelled.
                let _ = tx.send(sent).await;
            });
        }
        if o.rate == 0 {
            sleep_until(started_at + o.time).await;
        }
        while tasks.join_next().await.is_some() {}
        not_sent
    }

    /// Sends one request. If it has a key or a safe method, it is sent again, with the same key, until the
    /// outcome is good or the number of resends is reached.
    async fn send(&self, number: usize, arrival: Arrival, started_at: Instant) -> CompletedRequest {
        let class = &self.options.classes[arrival.class];
        let due_at = started_at + arrival.due;
        let key = (class.method == Method::POST).then(Uuid::now_v7);
        let mut resends = 0;
        loop {
            let attempt = resends + 1;
            let flow = (number + resends as usize) % self.callers.len();
            let req = request(&self.options, class, key, attempt);
            let deadline = Instant::now() + self.options.timeout;
            let answer = timeout_at(deadline, self.callers.call(flow, req)).await;
            let outcome = RequestOutcome::of(answer.ok().and_then(Result::ok).as_ref());
            let idempotent = key.is_some() || class.method.is_safe();
            if outcome == RequestOutcome::Good || !idempotent || resends == self.options.resends {
                return CompletedRequest {
                    class: arrival.class,
                    due: arrival.due,
                    latency: due_at.elapsed(),
                    outcome,
                    resends,
                };
            }
            resends += 1;
        }
    }
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// A response without a server error status.
    Good,
    /// Refused with the verdict that the request was not run.
    NotRun,
    /// No response, or a server error that does not say whether the request ran.
    Unclear,
}

impl RequestOutcome {
    fn of(answer: Option<&Response<Bytes>>) -> Self {
        match answer {
            Some(response) if !response.status().is_server_error() => Self::Good,
            Some(response) => {
                let verdict = response.headers().get(VERDICT);
                let not_run = verdict.is_some_and(|v| v == "not-run");
                if not_run { Self::NotRun } else { Self::Unclear }
            }
            None => Self::Unclear,
        }
    }
}

fn request(
    options: &LoadOptions,
    class: &RequestClass,
    key: Option<Uuid>,
    attempt: u32,
) -> Request<Bytes> {
    let uri = format!("https://{}{}", options.name, class.path);
    let millis = options.timeout.as_millis().to_string();
    let mut builder = Request::builder()
        .method(class.method.clone())
        .uri(uri)
        .header(TIMEOUT, millis);
    if let Some(key) = key {
        builder = builder
            .header(IDEMPOTENCY_KEY, key.to_string())
            .header(ATTEMPT, attempt);
    }
    let body = key.map(|k| Bytes::from(format!("load {k}\n")));
    builder
        .body(body.unwrap_or_default())
        .expect("the options were checked")
}

fn progress(time: Duration) -> ProgressBar {
    let style = ProgressStyle::with_template("{bar:30} {pos}/{len} s  {msg}");
    let bar = ProgressBar::new(time.as_secs());
    bar.with_style(style.expect("the template is well formed"))
}
