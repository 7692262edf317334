//! HTTP client that opens a new connection for each call.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which a call fails.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Makes a call and returns the status and body of the response; `None` if it failed or timed out.
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
        // The task ends with the call.
        tokio::spawn(connection);
        let response = sender.send_request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, body))
    };
    timeout(CALL_TIMEOUT, called).await.ok()?
}
