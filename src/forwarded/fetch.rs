//! Fetches the configuration from a control host that has a newer one.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::forwarded::service_map::ServiceMap;
use dogwoodrill_core::ids::LogIndex;
use dogwoodrill_wire::convert::ConvertError;
use dogwoodrill_wire::proto::forwarded as wire;
use dogwoodrill_wire::proto::forwarded::service_maps_client::ServiceMapsClient;
use snafu::Snafu;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::journal::{Event, Journal};
use crate::context::Cx;
use crate::transport;

/// Timeout of a fetch. It must leave time for a retry after an unresponsive connection, because a change has
/// to be in force on all nodes within seconds.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of a fetched configuration, in bytes.
const MAX_MAP_BYTES: usize = 16 << 20;

/// Why the configuration was not fetched.
#[derive(Debug, Snafu)]
pub enum FetchError {
    /// The control host could not be reached.
    #[snafu(transparent)]
    Connect {
        /// The error of the connection.
        source: tonic::transport::Error,
    },
    /// The control host refused the request.
    #[snafu(transparent)]
    Refused {
        /// The status that it returned.
        source: Box<tonic::Status>,
    },
    /// The response is malformed.
    #[snafu(transparent)]
    Malformed {
        /// The field and what is wrong with it.
        source: ConvertError,
    },
    /// The response did not arrive within `FETCH_TIMEOUT`.
    #[snafu(display("no answer within {} ms", FETCH_TIMEOUT.as_millis()))]
    TimedOut,
}

/// The result of a fetch.
#[derive(Debug)]
pub struct FetchResult {
    /// The control host that was queried.
    pub from: Ipv4Addr,
    /// The configuration, or why it was not fetched.
    pub result: Result<ServiceMap, FetchError>,
}

impl FetchResult {
    /// Returns the configuration. A failed fetch is logged.
    pub fn into_map(self, journal: &mut Journal) -> Option<Arc<ServiceMap>> {
        match self.result {
            Ok(map) => Some(Arc::new(map)),
            Err(e) => {
                let event = Event::new("configuration not fetched").with_subject(&self.from);
                journal.write_event(event.with_detail(&e));
                None
            }
        }
    }
}

/// Fetches configurations in the background, one at a time.
#[derive(Debug)]
pub struct Fetcher {
    cx: Cx,
    port: u16,
    is_busy: bool,
    tx: mpsc::Sender<FetchResult>,
    rx: mpsc::Receiver<FetchResult>,
}

impl Fetcher {
    /// Creates a fetcher. `port` is the port of the control hosts.
    pub fn new(cx: Cx, port: u16) -> Self {
        let (tx, rx) = mpsc::channel(1);
        Self {
            cx,
            port,
            is_busy: false,
            tx,
            rx,
        }
    }

    /// Starts a fetch if the control host `from` has a newer configuration: `advertised_index` is the index
    /// that it announced, `own_index` the one in force here. Does nothing while another fetch is running.
    pub fn on_advertised_index(
        &mut self,
        from: Ipv4Addr,
        advertised_index: LogIndex,
        own_index: LogIndex,
    ) {
        if self.is_busy || advertised_index <= own_index {
            return;
        }
        self.is_busy = true;
        let (cx, tx) = (self.cx.clone(), self.tx.clone());
        let address = SocketAddr::from((from, self.port));
        tokio::spawn(async move {
            let result = timeout(FETCH_TIMEOUT, fetch(&cx, address, own_index)).await;
            let result = result.unwrap_or(Err(FetchError::TimedOut));
            // Sending fails only when the process is ending.
            drop(tx.send(FetchResult { from, result }).await);
        });
    }

    /// Waits until a fetch ends and returns its result.
    pub async fn next(&mut self) -> Option<FetchResult> {
        let result = self.rx.recv().await;
        self.is_busy = false;
        result
    }
}

async fn fetch(
    cx: &Cx,
    address: SocketAddr,
    own_index: LogIndex,
) -> Result<ServiceMap, FetchError> {
    let channel = transport::connect(cx, address).await?;
    let mut client = ServiceMapsClient::new(channel).max_decoding_message_size(MAX_MAP_BYTES);
    let config_index = own_index.into();
    let answer = client.fetch(wire::FetchRequest { config_index }).await;
    let map = answer.map_err(Box::new)?.into_inner();
    Ok(map.try_into()?)
}
