//! Innermost service of the stack: sends a request to the backend server over HTTP/1.1.
//!
//! Each request uses its own connection. Dropping the request or its response closes the connection, which
//! cancels the request at the backend server; connections are never reused. The header
//! [`headers::TIMEOUT`] carries the remaining time to the server.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Version;
use http::header::{CONNECTION, HOST, HeaderValue};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tower::Service;

use super::deadline::Deadline;
use super::headers;
use super::request::{BackendSnafu, ConnectSnafu, Request, RequestError, Response};

/// Sends requests to one backend server.
#[derive(Clone, Copy, Debug)]
pub struct BackendAdapter {
    /// Address on which the backend server accepts requests.
    pub address: SocketAddr,
}

impl BackendAdapter {
    /// Sends a request and returns when the response head has arrived.
    pub async fn send(self, req: Request) -> Result<Response, RequestError> {
        let stream = TcpStream::connect(self.address)
            .await
            .context(ConnectSnafu)?;
        let io = TokioIo::new(stream);
        let (mut sender, connection) = http1::handshake(io).await.context(BackendSnafu)?;
        let guard = ConnectionGuard(tokio::spawn(connection).abort_handle());
        let req = to_http1(self.address, req);
        let response = sender.send_request(req).await.context(BackendSnafu)?;
        let with_guard = |body| BackendBody {
            body,
            _guard: guard,
        };
        Ok(response.map(|body| with_guard(body).boxed_unsync()))
    }
}

impl Service<Request> for BackendAdapter {
    type Response = Response;
    type Error = RequestError;
    type Future = Pin<Box<dyn Future<Output = Result<Response, RequestError>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request) -> Self::Future {
        Box::pin(self.send(req))
    }
}

/// Closes the connection when dropped, by aborting the task that drives it.
#[derive(Debug)]
struct ConnectionGuard(AbortHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A response body that keeps its connection open.
#[derive(Debug)]
struct BackendBody {
    body: Incoming,
    _guard: ConnectionGuard,
}

impl http_body::Body for BackendBody {
    type Data = Bytes;
    type Error = RequestError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RequestError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        frame.map_err(|source| RequestError::Backend { source })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}

fn to_http1(address: SocketAddr, req: Request) -> Request {
    let (mut parts, body) = req.into_parts();
    parts.version = Version::HTTP_11;
    let authority = parts
        .uri
        .authority()
        .map_or_else(|| address.to_string(), ToString::to_string);
    if let Ok(host) = HeaderValue::from_str(&authority) {
        parts.headers.entry(HOST).or_insert(host);
    }
    if let Some(Deadline(deadline)) = parts.extensions.get() {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        parts.headers.insert(headers::TIMEOUT, millis.into());
    }
    let close = HeaderValue::from_static("close");
    parts.headers.insert(CONNECTION, close);
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    parts.uri = path
        .parse()
        .expect("a path and query taken from a URI is one");
    Request::from_parts(parts, body)
}
