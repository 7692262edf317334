//! Flows to a service: QUIC connections with HTTP/3, which are reopened when they end.

use std::fmt;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Buf, Bytes};
use h3::client::SendRequest;
use h3_quinn::OpenStreams;
use http::{Request, Response};
use quinn::crypto::rustls::QuicClientConfig;
use quinn::{ClientConfig, Endpoint, IdleTimeout, TransportConfig, VarInt};
use rustls::RootCertStore;
use snafu::{ResultExt, Snafu};
use tokio::sync::Mutex;

use crate::credentials::{CredentialError, read_chain};

/// Maximum number of UDP sockets. If there are more flows, they share sockets, as callers behind one
/// address translation do.
const MAX_SOCKETS: usize = 256;
/// Interval of keep-alive packets on an idle flow.
const KEEP_ALIVE: Duration = Duration::from_secs(10);
/// Time without any received packet after which a flow is closed, in milliseconds.
const IDLE_TIMEOUT: VarInt = VarInt::from_u32(30_000);

/// Error of setting up the flows.
#[derive(Debug, Snafu)]
pub enum CallerError {
    /// The authority's certificate could not be read.
    #[snafu(transparent)]
    Authority {
        /// The underlying error.
        source: CredentialError,
    },
    /// The TLS library rejected the authority's certificate.
    #[snafu(display("cannot use the authority's certificate"))]
    Tls {
        /// The error of the TLS library.
        source: rustls::Error,
    },
    /// A socket could not be opened.
    #[snafu(display("cannot open a UDP socket"))]
    Socket {
        /// The I/O error.
        source: io::Error,
    },
}

/// Any error of one request; errors are only counted, not told apart.
pub type CallError = Box<dyn std::error::Error + Send + Sync>;

type RequestSender = SendRequest<OpenStreams, Bytes>;

/// The flows to one service.
pub struct Callers {
    to: SocketAddr,
    name: String,
    endpoints: Vec<Endpoint>,
    slots: Vec<Mutex<Option<Flow>>>,
    /// Number of flows that ended while a request was in progress on them.
    pub broken: AtomicU64,
}

impl fmt::Debug for Callers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Callers")
            .field("to", &self.to)
            .field("flows", &self.slots.len())
            .finish_non_exhaustive()
    }
}

struct Flow {
    connection: quinn::Connection,
    sender: RequestSender,
}

impl Callers {
    /// Opens the sockets for `flows` flows. A flow is opened when it is first used.
    pub fn new(
        to: SocketAddr,
        name: &str,
        authority: &Path,
        flows: usize,
    ) -> Result<Self, CallerError> {
        let config = client_config(authority)?;
        let endpoints = (0..flows.min(MAX_SOCKETS)).map(|_| {
            let mut endpoint = Endpoint::client(any_port(to)).context(SocketSnafu)?;
            endpoint.set_default_client_config(config.clone());
            Ok(endpoint)
        });
        Ok(Self {
            to,
            name: name.to_owned(),
            endpoints: endpoints.collect::<Result<_, CallerError>>()?,
            slots: (0..flows).map(|_| Mutex::new(None)).collect(),
            broken: AtomicU64::new(0),
        })
    }

    /// Number of flows.
    pub const fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there are no flows.
    pub const fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Opens a flow if it is not open.
    pub async fn open(&self, flow: usize) -> Result<(), CallError> {
        self.sender(flow).await.map(drop)
    }

    /// Sends a request on a flow and reads the whole response. The body of the returned response is the
    /// number of bytes received.
    pub async fn call(
        &self,
        flow: usize,
        req: Request<Bytes>,
    ) -> Result<Response<Bytes>, CallError> {
        let (mut sender, connection) = self.sender(flow).await?;
        let answer = exchange(&mut sender, req).await;
        if answer.is_err() && connection.close_reason().is_some() {
            self.record_broken(flow, &connection).await;
        }
        answer
    }

    async fn sender(&self, flow: usize) -> Result<(RequestSender, quinn::Connection), CallError> {
        let mut slot = self.slots[flow].lock().await;
        let open = slot
            .as_ref()
            .filter(|f| f.connection.close_reason().is_none());
        if open.is_none() {
            *slot = Some(self.connect(flow).await?);
        }
        let flow = slot.as_ref().ok_or("the flow was not opened")?;
        Ok((flow.sender.clone(), flow.connection.clone()))
    }

    async fn connect(&self, flow: usize) -> Result<Flow, CallError> {
        let endpoint = &self.endpoints[flow % self.endpoints.len()];
        let connection = endpoint.connect(self.to, &self.name)?.await?;
        let h3 = h3_quinn::Connection::new(connection.clone());
        let (mut driver, sender) = h3::client::new(h3).await?;
        // Errors of the connection are reported by the requests on it.
        tokio::spawn(async move { drop(driver.wait_idle().await) });
        Ok(Flow { connection, sender })
    }

    /// Removes a broken flow and counts it. Only the first request that reports it counts it.
    async fn record_broken(&self, flow: usize, connection: &quinn::Connection) {
        let mut slot = self.slots[flow].lock().await;
        let same = |f: &Flow| f.connection.stable_id() == connection.stable_id();
        if slot.as_ref().is_some_and(same) {
            *slot = None;
            self.broken.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn exchange(
    sender: &mut RequestSender,
    req: Request<Bytes>,
) -> Result<Response<Bytes>, CallError> {
    let (parts, body) = req.into_parts();
    let mut stream = sender.send_request(Request::from_parts(parts, ())).await?;
    if !body.is_empty() {
        stream.send_data(body).await?;
    }
    stream.finish().await?;
    let head = stream.recv_response().await?;
    let mut bytes = 0;
    while let Some(piece) = stream.recv_data().await? {
        bytes += piece.remaining();
    }
    // The content is not kept, because large responses would fill the memory.
    let body = Bytes::from(bytes.to_string());
    Ok(head.map(|()| body))
}

fn any_port(to: SocketAddr) -> SocketAddr {
    match to {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    }
}

fn client_config(authority: &Path) -> Result<ClientConfig, CallerError> {
    let mut roots = RootCertStore::empty();
    for certificate in read_chain(authority)? {
        roots.add(certificate).context(TlsSnafu)?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .context(TlsSnafu)?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let quic = QuicClientConfig::try_from(tls).expect("TLS 1.3 has the initial cipher suite");
    let mut transport = TransportConfig::default();
    transport
        .keep_alive_interval(Some(KEEP_ALIVE))
        .max_idle_timeout(Some(IdleTimeout::from(IDLE_TIMEOUT)));
    let mut config = ClientConfig::new(Arc::new(quic));
    config.transport_config(Arc::new(transport));
    Ok(config)
}
