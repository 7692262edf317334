//! Fetches the configuration from a control host that is said to have a newer one.

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

/// Time for a fetch. A connection that went silent must leave room for another try while a change
/// has to come in force within seconds.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// The largest configuration that is taken, in bytes.
const MAX_MAP_BYTES: usize = 16 << 20;

/// Why the configuration was not fetched.
#[derive(Debug, Snafu)]
pub enum FetchError {
    /// The control host could not be reached.
    #[snafu(transparent)]
    Connect {
        /// Why.
        source: tonic::transport::Error,
    },
    /// The control host refused.
    #[snafu(transparent)]
    Refused {
        /// Why.
        source: Box<tonic::Status>,
    },
    /// The answer is malformed.
    #[snafu(transparent)]
    Malformed {
        /// Why.
        source: ConvertError,
    },
    /// No answer came in time.
    #[snafu(display("no answer within {} ms", FETCH_TIMEOUT.as_millis()))]
    Late,
}

/// What a fetch ended with.
#[derive(Debug)]
pub struct FetchResult {
    /// The control host.
    pub from: Ipv4Addr,
    /// What it gave.
    pub result: Result<ServiceMap, FetchError>,
}

impl FetchResult {
    /// The configuration, with a line in the log if there is none.
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

/// Fetches, one at a time.
#[derive(Debug)]
pub struct Fetcher {
    cx: Cx,
    port: u16,
    is_busy: bool,
    tx: mpsc::Sender<FetchResult>,
    rx: mpsc::Receiver<FetchResult>,
}

impl Fetcher {
    /// Makes a fetcher; control hosts listen at `port`.
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

    /// A control host said that it holds `theirs`; `own` is in force here.
    pub fn on_index(&mut self, from: Ipv4Addr, theirs: LogIndex, own: LogIndex) {
        if self.is_busy || theirs <= own {
            return;
        }
        self.is_busy = true;
        let (cx, tx) = (self.cx.clone(), self.tx.clone());
        let address = SocketAddr::from((from, self.port));
        tokio::spawn(async move {
            let fetched = timeout(FETCH_TIMEOUT, fetch(&cx, address, own)).await;
            let result = fetched.unwrap_or(Err(FetchError::Late));
            // The receiver is gone only when the process ends.
            drop(tx.send(FetchResult { from, result }).await);
        });
    }

    /// Waits for the end of a fetch.
    pub async fn next(&mut self) -> Option<FetchResult> {
        let fetched = self.rx.recv().await;
        self.is_busy = false;
        fetched
    }
}

async fn fetch(cx: &Cx, address: SocketAddr, own: LogIndex) -> Result<ServiceMap, FetchError> {
    let channel = transport::connect(cx, address).await?;
    let mut client = ServiceMapsClient::new(channel).max_decoding_message_size(MAX_MAP_BYTES);
    let config_index = own.into();
    let answer = client.fetch(wire::FetchRequest { config_index }).await;
    let map = answer.map_err(Box::new)?.into_inner();
    Ok(map.try_into()?)
}
