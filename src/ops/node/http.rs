//! A small HTTP server for the platform's calls.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodrill_platform::calls::{MAX_BODY_BYTES, READY_PATH};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::sleep;

/// Connections that may be open at once.
const MAX_CONNECTIONS: usize = 256;
/// Time for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that sent bytes may stay unacknowledged: a connection that went silent is given up.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after the host refused to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// An answer.
pub(super) type Reply = Response<Full<Bytes>>;

/// Answers calls.
pub(super) trait Answer: Send + Sync + 'static {
    /// Answers one call.
    fn answer(
        &self,
        method: Method,
        path: String,
        body: Bytes,
    ) -> impl Future<Output = Reply> + Send;
}

/// Serves calls.
#[derive(Debug)]
pub(super) struct Server<C> {
    calls: Arc<C>,
}

impl<C: Answer> Server<C> {
    pub(super) fn new(calls: C) -> Self {
        let calls = Arc::new(calls);
        Self { calls }
    }

    /// Accepts until its task ends.
    pub(super) async fn run(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let permit = Arc::clone(&permits).acquire_owned().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let calls = Arc::clone(&self.calls);
                    tokio::spawn(async move {
                        serve(calls, stream).await;
                        drop(permit);
                    });
                }
                Err(e) => {
                    log::warn!("cannot accept a connection: {e}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

async fn serve<C: Answer>(calls: Arc<C>, stream: TcpStream) {
    // Hosts without the option keep their own time-outs.
    drop(SockRef::from(&stream).set_tcp_user_timeout(Some(SILENCE_TIMEOUT)));
    drop(stream.set_nodelay(true));
    let answer = service_fn(move |req: Request<Incoming>| {
        let calls = Arc::clone(&calls);
        async move { Ok::<_, Infallible>(answer(&*calls, req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), answer);
    // A caller that went away is its own affair.
    drop(connection.await);
}

async fn answer<C: Answer>(calls: &C, req: Request<Incoming>) -> Reply {
    let (parts, body) = req.into_parts();
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            let path = parts.uri.path().to_owned();
            calls.answer(parts.method, path, body.to_bytes()).await
        }
        Err(e) => text(
            StatusCode::BAD_REQUEST,
            format!("cannot read the body: {e}\n"),
        ),
    }
}

/// An answer in words.
pub(super) fn text(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
}

/// An answer in JSON.
pub(super) fn json(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = text(status, body);
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

/// Answers the health check.
#[derive(Debug)]
pub(super) struct Ready {
    ready: watch::Receiver<bool>,
}

impl Ready {
    pub(super) const fn new(ready: watch::Receiver<bool>) -> Self {
        Self { ready }
    }
}

impl Answer for Ready {
    async fn answer(&self, _method: Method, path: String, _body: Bytes) -> Reply {
        match (path.as_str(), *self.ready.borrow()) {
            (READY_PATH, true) => text(StatusCode::OK, "ready\n"),
            (READY_PATH, false) => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            _ => text(StatusCode::NOT_FOUND, format!("here is {READY_PATH}\n")),
        }
    }
}
