//! Calls over HTTP, one connection each.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time for a call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Status and body; none if no answer came in time.
pub async fn call(
    to: SocketAddrV4,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Option<(StatusCode, Bytes)> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", to.to_string())
        .header("connection", "close")
        .body(Full::new(body.into()))
        .ok()?;
    let called = async {
        let stream = TcpStream::connect(to).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // It ends with the call.
        tokio::spawn(connection);
        let response = sender.send_request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, body))
    };
    timeout(CALL_TIMEOUT, called).await.ok()?
}
