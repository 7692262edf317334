//! A backend server over HTTP/1.1 that counts the requests that it ran.
//!
//! `POST /orders` counts a run of the request's key. `GET /status` sends one chunk and stays open until
//! [`BackendServer::finish_status`], which sends the last one. `GET /sheets/N` responds with N bytes.
//! For faults, `/truncated` closes the connection within the response, `/closed` closes it without a
//! response, and `/hanging` never responds. Orders and sheets are not answered while
//! [`BackendServer::hold`] is in effect.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::header::HOST;
use http::{Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::caller::CallError;

/// Delay between the first part of a truncated response and the close, so that the part is sent.
const BEFORE_TRUNCATION: Duration = Duration::from_millis(50);

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Counters of a backend server.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestCounts {
    /// Number of requests of any kind.
    pub requests: u64,
    /// Number of runs of each order, by key.
    pub orders: BTreeMap<String, u64>,
}

/// A running backend server. Dropping it stops it.
#[derive(Debug)]
pub struct BackendServer {
    address: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct State {
    counts: Mutex<RequestCounts>,
    status_open: watch::Sender<bool>,
    held: watch::Sender<bool>,
    cancelled: AtomicU64,
}

impl BackendServer {
    /// Starts a backend server on a free port.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            counts: Mutex::default(),
            status_open: watch::Sender::new(true),
            held: watch::Sender::new(false),
            cancelled: AtomicU64::new(0),
        });
        let task = tokio::spawn(accept(listener, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Returns the address at which the server accepts requests.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a copy of the counters.
    pub fn request_counts(&self) -> RequestCounts {
        self.state.request_counts().clone()
    }

    /// Returns the number of requests to `/hanging` that were cancelled plus the status queries that ended.
    pub fn cancelled(&self) -> u64 {
        self.state.cancelled.load(Ordering::Relaxed)
    }

    /// Sets whether orders and sheets are held after they were counted; `false` releases those held.
    pub fn hold(&self, held: bool) {
        self.state.held.send_replace(held);
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.task.abort();
    }

    /// Announces this server to the agent at `agent`; the returned status shows whether it was accepted.
    pub async fn announce(
        &self,
        agent: SocketAddr,
        server: u32,
        service: &str,
        slots: u16,
        boot_id: &str,
    ) -> Result<StatusCode, CallError> {
        let announcement = Announcement {
            server,
            service,
            address: self.address,
            slots,
            boot_id,
        };
        announce(agent, &announcement).await
    }

    /// Ends all open status queries with their last chunk.
    pub fn finish_status(&self) {
        self.state.status_open.send_replace(false);
    }
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl State {
    async fn wait_until_released(&self) {
        let mut held = self.held.subscribe();
        // The channel is closed when the server stops.
        drop(held.wait_for(|held| !held).await);
    }

    fn request_counts(&self) -> MutexGuard<'_, RequestCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Announcement of a backend server to its agent.
#[derive(Clone, Copy, Debug)]
pub struct Announcement<'a> {
    /// Number of the server.
    pub server: u32,
    /// Name of the service that the server belongs to.
    pub service: &'a str,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Number of requests that the server runs concurrently.
    pub slots: u16,
    /// Id of this incarnation of the server.
    pub boot_id: &'a str,
}

/// Announces a server to the agent at `agent`; the returned status shows whether it was accepted.
pub async fn announce(
    agent: SocketAddr,
    announcement: &Announcement<'_>,
) -> Result<StatusCode, CallError> {
    let Announcement {
        server,
        service,
        address,
        slots,
        boot_id,
    } = announcement;
    let body = format!(
        r#"{{"id":{server},"service":"{service}","address":"{address}","slots":{slots},"boot_id":"{boot_id}"}}"#
    );
    post(agent, "/v1/announce", body.into()).await
}

/// Reports to the agent at `agent` that its server is draining.
pub async fn drain(agent: SocketAddr) -> Result<StatusCode, CallError> {
    post(agent, "/v1/drain", Bytes::new()).await
}

async fn post(to: SocketAddr, path: &str, body: Bytes) -> Result<StatusCode, CallError> {
    let stream = TcpStream::connect(to).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let req = Request::post(path)
        .header(HOST, to.to_string())
        .body(Full::new(body))?;
    let response = sender.send_request(req).await?;
    drop(sender);
    let status = response.status();
    response.into_body().collect().await?;
    driver.await??;
    Ok(status)
}

async fn accept(listener: TcpListener, state: Arc<State>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(serve(stream, Arc::clone(&state)));
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(stream: TcpStream, state: Arc<State>) {
    let service = service_fn(|req| respond(req, Arc::clone(&state)));
    let io = TokioIo::new(stream);
    // Fails if the caller closed the connection, which some tests do on purpose.
    drop(
        hyper::server::conn::http1::Builder::new()
            .serve_connection(io, service)
            .await,
    );
}

async fn respond(req: Request<Incoming>, state: Arc<State>) -> io::Result<Response<Body>> {
    state.request_counts().requests += 1;
    let path = req.uri().path().to_owned();
    Ok(match (req.method(), path.as_str()) {
        (&Method::POST, "/orders") => take_order(req, &state).await,
        (&Method::GET, "/status") => Response::new(status(&state)),
        (_, "/truncated") => truncated(),
        (_, "/closed") => {
            drop(req.into_body().collect().await);
            return Err(io::Error::other("closed on purpose"));
        }
        (_, "/hanging") => {
            let _cancelled = Cancelled(state);
            return std::future::pending().await;
        }
        (&Method::GET, sheet) => {
            state.wait_until_released().await;
            model_sheet(sheet)
        }
        _ => plain(StatusCode::NOT_FOUND, "no such resource\n".into()),
    })
}

async fn take_order(req: Request<Incoming>, state: &State) -> Response<Body> {
    let key = req
        .headers()
        .get("idempotency-key")
        .and_then(|k| k.to_str().ok());
    let key = key.unwrap_or_default().to_owned();
    if req.into_body().collect().await.is_err() {
        return plain(
            StatusCode::BAD_REQUEST,
            "the request body is incomplete\n".into(),
        );
    }
    *state
        .request_counts()
        .orders
        .entry(key.clone())
        .or_default() += 1;
    state.wait_until_released().await;
    plain(StatusCode::CREATED, format!("order {key} taken\n").into())
}

/// Counts a request when it is dropped before a complete response.
struct Cancelled(Arc<State>);

impl Drop for Cancelled {
    fn drop(&mut self) {
        self.0.cancelled.fetch_add(1, Ordering::Relaxed);
    }
}

fn truncated() -> Response<Body> {
    let first = stream::iter([Ok(chunk("a part of a sheet"))]);
    let end = stream::once(async {
        sleep(BEFORE_TRUNCATION).await;
        Err(io::Error::other("truncated on purpose"))
    });
    let chunks = first.chain(end);
    let mut response = Response::new(StreamBody::new(chunks).boxed_unsync());
    response
        .headers_mut()
        .insert(http::header::CONTENT_LENGTH, 1_000.into());
    response
}

fn status(state: &Arc<State>) -> Body {
    let open = state.status_open.subscribe();
    let cancelled = Cancelled(Arc::clone(state));
    let chunks = stream::unfold(Some((open, cancelled, true)), |state| async {
        let (mut open, cancelled, first) = state?;
        if first {
            return Some((Ok(chunk("on its way\n")), Some((open, cancelled, false))));
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

fn model_sheet(path: &str) -> Response<Body> {
    let len = path.strip_prefix("/sheets/").and_then(|n| n.parse().ok());
    match len {
        Some(len) => plain(StatusCode::OK, vec![b's'; len].into()),
        None => plain(StatusCode::NOT_FOUND, "no such resource\n".into()),
    }
}

fn plain(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(
        Full::new(body)
            .map_err(|never| match never {})
            .boxed_unsync(),
    );
    *response.status_mut() = status;
    response
}
