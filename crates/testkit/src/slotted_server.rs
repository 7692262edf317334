//! A backend server with a limited number of slots, a service time and a cold start, which counts its work.
//!
//! `POST /orders` and `GET /sheets/N` take a slot for the service time, longer while the server is
//! cold; `GET /status` stays open without a slot. The server counts the runs of each order by key and
//! attempt, the requests that were intended for another service, and its concurrent requests.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep};

/// Request header with the name of the service that the caller intends to reach.
pub const INTENDED_SERVICE: &str = "test-meant-for";
/// Response header with the number of the server.
pub const SERVED_BY: &str = "test-served-by";
/// Request header with the key of an order.
pub const KEY: &str = "idempotency-key";
/// Request header with the attempt of an order.
pub const ATTEMPT: &str = "dogwoodrill-attempt";
/// Factor by which the service time of a cold server is longer.
const COLD_FACTOR: u32 = 4;

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Options of a server.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Number of the server.
    pub id: u32,
    /// Name of the service that the server belongs to.
    pub service: &'static str,
    /// Number of requests that the server runs concurrently.
    pub slots: u16,
    /// Time that a request takes on a warm server.
    pub service_time: Duration,
    /// Time for which the server is cold after a start.
    pub cold_time: Duration,
}

/// Identifies one attempt of an order.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct OrderAttempt {
    /// The order's key.
    pub key: String,
    /// The attempt's number, as sent by the caller.
    pub attempt: String,
}

/// Counters of a server.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Requests for orders and sheets.
    pub requests: u64,
    /// Number of runs of each attempt of each order.
    pub runs: BTreeMap<OrderAttempt, u64>,
    /// Requests that were intended for another service.
    pub misrouted: u64,
    /// Requests that are running or waiting for a slot now.
    pub in_progress: u64,
    /// Largest number of requests in progress while the server was cold.
    pub max_while_cold: u64,
    /// Status queries that are open now.
    pub open_status: u64,
}

/// A running server. Dropping it stops it.
#[derive(Debug)]
pub struct SlottedServer {
    options: ServerOptions,
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    options: ServerOptions,
    slots: Semaphore,
    counters: Mutex<Counters>,
    cold_until: Mutex<Instant>,
    boot: watch::Sender<u32>,
    status_open: watch::Sender<bool>,
}

impl SlottedServer {
    /// Starts a server, cold, on a free port.
    pub async fn start(options: ServerOptions) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            slots: Semaphore::new(options.slots.into()),
            counters: Mutex::default(),
            cold_until: Mutex::new(Instant::now() + options.cold_time),
            boot: watch::Sender::new(1),
            status_open: watch::Sender::new(true),
            options: options.clone(),
        });
        let task = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self {
            options,
            address,
            shared,
            task,
        })
    }

    /// Returns the address at which the server accepts requests.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the options of the server.
    pub const fn options(&self) -> &ServerOptions {
        &self.options
    }

    /// Returns the id of this incarnation of the server.
    pub fn boot_id(&self) -> String {
        format!("boot-{}", *self.shared.boot.borrow())
    }

    /// Returns a copy of the counters.
    pub fn counters(&self) -> Counters {
        self.shared.counters().clone()
    }

    /// Closes all connections and starts a new, cold incarnation.
    pub fn restart(&self) {
        self.shared.make_cold();
        self.shared.boot.send_modify(|boot| *boot += 1);
    }

    /// Ends all open status queries with their last chunk.
    pub fn finish_status(&self) {
        self.shared.status_open.send_replace(false);
    }
}

impl Drop for SlottedServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn counters(&self) -> MutexGuard<'_, Counters> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn make_cold(&self) {
        let mut cold_until = self
            .cold_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *cold_until = Instant::now() + self.options.cold_time;
    }

    fn is_cold(&self) -> bool {
        *self
            .cold_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            > Instant::now()
    }

    fn service_time(&self) -> Duration {
        let factor = if self.is_cold() { COLD_FACTOR } else { 1 };
        self.options.service_time * factor
    }
}

/// Counts a request as in progress until it is dropped.
struct InProgress(Arc<Shared>);

impl InProgress {
    fn new(shared: &Arc<Shared>) -> Self {
        let cold = shared.is_cold();
        let mut counters = shared.counters();
        counters.requests += 1;
        counters.in_progress += 1;
        if cold {
            counters.max_while_cold = counters.max_while_cold.max(counters.in_progress);
        }
        drop(counters);
        Self(Arc::clone(shared))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.counters().in_progress -= 1;
    }
}

/// Counts a status query as open until it is dropped.
struct OpenStatus(Arc<Shared>);

impl OpenStatus {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.counters().open_status += 1;
        Self(Arc::clone(shared))
    }
}

impl Drop for OpenStatus {
    fn drop(&mut self) {
        self.0.counters().open_status -= 1;
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut boot = shared.boot.subscribe();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => {
                connections.spawn(serve(stream, Arc::clone(&shared)));
            }
            Ok(()) = boot.changed() => connections.abort_all(),
            else => return,
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let service = service_fn(|req| respond(req, Arc::clone(&shared)));
    let io = TokioIo::new(stream);
    // Fails if the caller closed the connection.
    drop(
        hyper::server::conn::http1::Builder::new()
            .serve_connection(io, service)
            .await,
    );
}

async fn respond(
    req: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<Body>, Infallible> {
    if header(req.headers(), INTENDED_SERVICE) != shared.options.service {
        shared.counters().misrouted += 1;
    }
    let path = req.uri().path().to_owned();
    let mut response = match (req.method(), path.as_str()) {
        (&Method::POST, "/orders") => take_order(req, &shared).await,
        (&Method::GET, "/status") => Response::new(status(&shared)),
        (&Method::GET, "/load") => load(&shared),
        (&Method::GET, "/health") => plain(StatusCode::OK, "ok\n".into()),
        (&Method::GET, sheet) => send_sheet(sheet, &shared).await,
        _ => plain(StatusCode::NOT_FOUND, "no such resource\n".into()),
    };
    response
        .headers_mut()
        .insert(SERVED_BY, shared.options.id.into());
    Ok(response)
}

async fn take_order(req: Request<Incoming>, shared: &Arc<Shared>) -> Response<Body> {
    let _in_progress = InProgress::new(shared);
    let order = OrderAttempt {
        key: header(req.headers(), KEY),
        attempt: header(req.headers(), ATTEMPT),
    };
    if req.into_body().collect().await.is_err() {
        return plain(
            StatusCode::BAD_REQUEST,
            "the request body is incomplete\n".into(),
        );
    }
    let Ok(_slot) = shared.slots.acquire().await else {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n".into());
    };
    *shared.counters().runs.entry(order.clone()).or_default() += 1;
    sleep(shared.service_time()).await;
    plain(
        StatusCode::CREATED,
        format!("order {} taken\n", order.key).into(),
    )
}

async fn send_sheet(path: &str, shared: &Arc<Shared>) -> Response<Body> {
    let _in_progress = InProgress::new(shared);
    let len = path.strip_prefix("/sheets/").and_then(|n| n.parse().ok());
    let Some(len) = len else {
        return plain(StatusCode::NOT_FOUND, "no such resource\n".into());
    };
    let Ok(_slot) = shared.slots.acquire().await else {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n".into());
    };
    sleep(shared.service_time()).await;
    plain(StatusCode::OK, vec![b's'; len].into())
}

fn load(shared: &Shared) -> Response<Body> {
    let in_progress = shared.counters().in_progress;
    plain(
        StatusCode::OK,
        format!("{{\"in_flight\":{in_progress}}}\n").into(),
    )
}

fn status(shared: &Arc<Shared>) -> Body {
    let open = shared.status_open.subscribe();
    let counted = OpenStatus::new(shared);
    let chunks = stream::unfold(Some((open, counted, true)), |state| async {
        let (mut open, counted, first) = state?;
        if first {
            return Some((Ok(chunk("on its way\n")), Some((open, counted, false))));
        }
        // The channel is closed when the server stops, which also ends the query.
        drop(open.wait_for(|open| !open).await);
        Some((Ok(chunk("delivered\n")), None))
    });
    StreamBody::new(chunks).boxed_unsync()
}

fn chunk(text: &'static str) -> Frame<Bytes> {
    Frame::data(Bytes::from_static(text.as_bytes()))
}

fn header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn plain(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(body).boxed_unsync());
    *response.status_mut() = status;
    response
}
