//! Polls the health and load endpoints that the backend server announced.
//!
//! The endpoints may lag or be wrong, so a report can only lower the concurrency limit of the admission
//! control, and only for a few seconds. A server that announced no endpoints is not polled. A server whose
//! health endpoint cannot be reached counts as unhealthy.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dogwoodrill_core::admission::report::EndpointReport;
use http::header::HOST;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::Agent;
use super::announce::Announcement;

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for one request to an endpoint.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024;

/// Response body of a load endpoint; unknown fields are ignored.
#[derive(Clone, Copy, Debug, Deserialize)]
struct LoadResponse {
    /// Number of requests that the server can run concurrently.
    limit: Option<u32>,
}

/// Polls the endpoints of the current announcement until the task is cancelled.
pub async fn run(agent: &Agent) -> Result<(), Infallible> {
    loop {
        let announcement = agent.announcements.borrow().clone();
        if let Some(announcement) = announcement.filter(|k| k.health.is_some() || k.load.is_some())
        {
            agent
                .request_context
                .gate
                .on_report(poll_endpoints(&announcement).await);
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn poll_endpoints(announcement: &Announcement) -> EndpointReport {
    let is_healthy = match &announcement.health {
        Some(path) => get(announcement.address, path).await.is_some(),
        None => true,
    };
    let load = match &announcement.load {
        Some(path) => get(announcement.address, path).await,
        None => None,
    };
    let load: Option<LoadResponse> = load.and_then(|body| serde_json::from_slice(&body).ok());
    EndpointReport {
        is_healthy,
        limit: load.and_then(|l| l.limit),
    }
}

/// Sends a GET request and returns the body of a successful response. Returns `None` on any error, on a
/// status other than 2xx and after the timeout.
async fn get(address: SocketAddr, path: &str) -> Option<Bytes> {
    let response_body = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let driver = tokio::spawn(connection);
        let req = http::Request::get(path).header(HOST, address.to_string());
        let req = req.body(Empty::<Bytes>::new()).ok()?;
        let response = sender.send_request(req).await.ok()?;
        let is_success = response.status().is_success();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        driver.abort();
        is_success.then_some(body)
    };
    timeout(REQUEST_TIMEOUT, response_body).await.ok().flatten()
}
