//! Asks the health and load endpoints that the backend server announced.
//!
//! They lag or mislead, so what they say only lowers the limit of the admission, for a few seconds. A
//! server that announced none is not asked; one whose health endpoint can't be reached is unwell.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dogwoodrill_core::admission::report::Report;
use http::header::HOST;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::Agent;
use super::announce::Announcement;

/// Pause between two questions.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which an endpoint must answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest answer of the load endpoint, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024;

/// The answer of a load endpoint; other fields are ignored.
#[derive(Clone, Copy, Debug, Deserialize)]
struct LoadResponse {
    /// Requests that the server can run at once.
    limit: Option<u32>,
}

/// Asks until the task ends.
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

async fn poll_endpoints(announcement: &Announcement) -> Report {
    let is_well = match &announcement.health {
        Some(path) => get(announcement.address, path).await.is_some(),
        None => true,
    };
    let load = match &announcement.load {
        Some(path) => get(announcement.address, path).await,
        None => None,
    };
    let load: Option<LoadResponse> = load.and_then(|body| serde_json::from_slice(&body).ok());
    Report {
        is_well,
        limit: load.and_then(|l| l.limit),
    }
}

/// The body of a successful answer.
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
