//! A small HTTP/1 server for the calls of the platform and for monitoring.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use ::http::header::{CONTENT_TYPE, HeaderValue};
use ::http::{Method, Request, Response, StatusCode, Uri};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// Timeout for reading the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that sent bytes may stay unacknowledged before the connection is closed (`TCP_USER_TIMEOUT`).
const UNACKED_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before the next attempt after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The response to a call.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Handles the calls to a server.
pub(crate) trait HttpHandler: Send + Sync + 'static {
    /// Handles one call.
    fn handle(&self, method: Method, uri: Uri, body: Bytes) -> impl Future<Output = Reply> + Send;
}

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// Maximum number of open connections.
    pub(crate) connections: usize,
    /// Maximum size of a request body, in bytes.
    pub(crate) body_bytes: usize,
}

/// An HTTP server that passes calls to a handler.
#[derive(Debug)]
pub(crate) struct Server<C> {
    calls: Arc<C>,
    limits: ServerLimits,
}

impl<C: HttpHandler> Server<C> {
    pub(crate) const fn new(calls: Arc<C>, limits: ServerLimits) -> Self {
        Self { calls, limits }
    }

    /// Accepts connections until the task is dropped.
    pub(crate) async fn run(self, listener: &TcpListener) -> Infallible {
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        loop {
            let permit = Arc::clone(&permits).acquire_owned().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let calls = Arc::clone(&self.calls);
                    tokio::spawn(async move {
                        serve(calls, self.limits.body_bytes, stream).await;
                        drop(permit);
                    });
                }
                Err(e) => {
                    log::warn!("cannot accept a connection: {e}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

async fn serve<C: HttpHandler>(calls: Arc<C>, body_bytes: usize, stream: TcpStream) {
    // On hosts without this option, the default timeouts of the host apply.
    drop(SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT)));
    drop(stream.set_nodelay(true));
    let handle = service_fn(move |req: Request<Incoming>| {
        let calls = Arc::clone(&calls);
        async move { Ok::<_, Infallible>(handle(&*calls, body_bytes, req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), handle);
    // Errors of a connection, such as a disconnected client, need no action.
    drop(connection.await);
}

async fn handle<C: HttpHandler>(calls: &C, body_bytes: usize, req: Request<Incoming>) -> Reply {
    let (parts, body) = req.into_parts();
    match Limited::new(body, body_bytes).collect().await {
        Ok(body) => calls.handle(parts.method, parts.uri, body.to_bytes()).await,
        Err(e) => text(
            StatusCode::BAD_REQUEST,
            format!("cannot read the body: {e}\n"),
        ),
    }
}

/// Creates a plain-text response.
pub(crate) fn text(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
}

/// Creates a JSON response.
pub(crate) fn json(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = text(status, body);
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}
