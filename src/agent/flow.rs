//! Serves one flow of a caller, from its handshake to its end.
//!
//! When the agent drains, it sends a GOAWAY (RFC 9114, section 5.2) with the id of the first request that
//! will not be run. Requests in progress finish, and then the flow is closed.

use std::time::Duration;

use bytes::Bytes;
use h3::error::Code;
use h3::server::{Connection, RequestResolver};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use super::slo::SloContext;

/// Timeout for the handshake of a flow.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a flow without requests in progress stays open after GOAWAY, so that the caller reads the
/// GOAWAY before the close.
const GOAWAY_GRACE: Duration = Duration::from_millis(500);
/// Number of requests after the last accepted one that GOAWAY still admits; GOAWAY carries the id of the
/// first request that is not admitted.
const GOAWAY_AFTER: usize = 1;

/// A request on a flow whose head has not been read yet.
pub type Resolver = RequestResolver<h3_quinn::Connection, Bytes>;

type FlowConnection = Connection<h3_quinn::Connection, Bytes>;

/// Counts the flows that end at an agent.
#[derive(Clone, Debug, Default)]
pub struct OpenFlows(watch::Sender<u32>);

/// Counts one open flow until it is dropped.
#[derive(Debug)]
struct OpenFlow(watch::Sender<u32>);

impl OpenFlows {
    /// Returns the number of open flows, including those in their handshake.
    pub fn count(&self) -> u32 {
        *self.0.borrow()
    }

    /// Waits until no flow is open.
    pub async fn wait_until_none(&self) {
        let mut count = self.0.subscribe();
        // The sender is in `self`, so the channel cannot be closed.
        drop(count.wait_for(|n| *n == 0).await);
    }

    fn open(&self) -> OpenFlow {
        self.0.send_modify(|n| *n += 1);
        OpenFlow(self.0.clone())
    }
}

impl Drop for OpenFlow {
    fn drop(&mut self) {
        self.0.send_modify(|n| *n -= 1);
    }
}

/// Serves one flow until it ends; each request runs in its own task. When `draining` becomes true, the flow
/// finishes its requests in progress and accepts no new ones.
pub async fn serve<H, Fut>(
    incoming: quinn::Incoming,
    flows: OpenFlows,
    draining: watch::Receiver<bool>,
    slo: SloContext,
    handle: H,
) where
    H: Fn(Resolver) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    let _open = flows.open();
    let Ok(Ok(connection)) = timeout(HANDSHAKE_TIMEOUT, incoming).await else {
        return;
    };
    let closed_connection = connection.clone();
    // Declared before `flow_guard` and so dropped after it: the guard must still see the requests in progress
    // to detect a broken flow.
    let mut requests = JoinSet::new();
    let flow_guard = slo.flow(connection.clone());
    let connection = h3_quinn::Connection::new(connection);
    let Ok(connection) = Connection::new(connection).await else {
        return;
    };
    let handle = |resolver| {
        let (request_guard, run) = (flow_guard.start_request(), handle(resolver));
        async move {
            run.await;
            drop(request_guard);
        }
    };
    // A closed connection cancels its requests, even while no response data is being sent.
    tokio::select! {
        () = serve_requests(connection, draining, &mut requests, handle) => {}
        _ = closed_connection.closed() => {}
    }
}

async fn serve_requests<H, Fut>(
    mut connection: FlowConnection,
    mut draining: watch::Receiver<bool>,
    requests: &mut JoinSet<()>,
    handle: H,
) where
    H: Fn(Resolver) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    let mut close_at = None;
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Ok(Some(resolver)) if close_at.is_none() => {
                    requests.spawn(handle(resolver));
                }
                // Sent before the caller read the GOAWAY, which excludes this request.
                Ok(Some(resolver)) => reject(resolver).await,
                Ok(None) | Err(_) => break,
            },
            () = drain_started(&mut draining), if close_at.is_none() => {
                if connection.shutdown(GOAWAY_AFTER).await.is_err() {
                    break;
                }
                close_at = Some(Instant::now() + GOAWAY_GRACE);
            }
            Some(_) = requests.join_next(), if !requests.is_empty() => {
                close_at = close_at.map(|_| Instant::now() + GOAWAY_GRACE);
            }
            () = wait_until(close_at), if close_at.is_some() && requests.is_empty() => break,
        }
    }
    while requests.join_next().await.is_some() {}
}

/// Returns when draining starts or the sender is dropped.
async fn drain_started(draining: &mut watch::Receiver<bool>) {
    drop(draining.wait_for(|d| *d).await);
}

async fn wait_until(deadline: Option<Instant>) {
    if let Some(deadline) = deadline {
        sleep_until(deadline).await;
    }
}

async fn reject(resolver: Resolver) {
    if let Ok((_, mut stream)) = resolver.resolve_request().await {
        stream.stop_sending(Code::H3_REQUEST_REJECTED);
        stream.stop_stream(Code::H3_REQUEST_REJECTED);
    }
}
