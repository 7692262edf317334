//! Asks the health and load endpoints that the backend server announced.
//!
//! They lag or mislead, so what they say only lowers the limit of the admission, for a few seconds. A
//! server that announced none is not asked; one whose health endpoint can't be reached is unwell.

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

/// Pause between two questions.
const PAUSE: Duration = Duration::from_secs(1);
/// Time in which an endpoint must answer.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Longest answer of the load endpoint, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024;

/// The answer of a load endpoint; other fields are ignored.
#[derive(Clone, Copy, Debug, Deserialize)]
struct LoadAnswer {
    /// Requests that the server can run at once.
    limit: Option<u32>,
}

/// Asks until the task ends.
pub async fn run(agent: &Agent) -> Result<(), Infallible> {
    loop {
        let known = agent.announced.borrow().clone();
        if let Some(known) = known.filter(|k| k.health.is_some() || k.load.is_some()) {
            agent.requests.gate.on_report(ask(&known).await);
        }
        sleep(PAUSE).await;
    }
}

async fn ask(known: &Announcement) -> EndpointReport {
    let is_healthy = match &known.health {
        Some(path) => get(known.address, path).await.is_some(),
        None => true,
    };
    let load = match &known.load {
        Some(path) => get(known.address, path).await,
        None => None,
    };
    let load: Option<LoadAnswer> = load.and_then(|body| serde_json::from_slice(&body).ok());
    EndpointReport {
        is_healthy,
        limit: load.and_then(|l| l.limit),
    }
}

/// The body of a successful answer.
async fn get(address: SocketAddr, path: &str) -> Option<Bytes> {
    let answer = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let driver = tokio::spawn(connection);
        let req = http::Request::get(path).header(HOST, address.to_string());
        let req = req.body(Empty::<Bytes>::new()).ok()?;
        let response = sender.send_request(req).await.ok()?;
        let is_success = response.status().is_success();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        driver.abort();
        is_success.then_some(body)
    };
    timeout(TIMEOUT, answer).await.ok().flatten()
}
