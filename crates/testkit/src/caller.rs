//! A caller that uses HTTP/3.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use h3::client::{RequestStream, SendRequest};
use h3_quinn::{BidiStream, OpenStreams};
use http::{Request, Response};
use quinn::crypto::rustls::QuicClientConfig;
use quinn::{ClientConfig, Endpoint};
use tokio::task::JoinHandle;

use crate::certificate::{Certificate, SERVER_NAME};

/// Any error of a call; tests only print it.
pub type CallError = Box<dyn Error + Send + Sync>;

/// A caller with one flow to a service. Dropping it ends the flow.
#[derive(Debug)]
pub struct Caller {
    endpoint: Endpoint,
    connection: quinn::Connection,
    sender: Sender,
    driver: JoinHandle<()>,
}

struct Sender(SendRequest<OpenStreams, Bytes>);

impl std::fmt::Debug for Sender {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Sender")
    }
}

/// A response whose body has not been read yet.
pub struct OpenResponse {
    /// Status and headers of the response.
    pub head: Response<()>,
    stream: RequestStream<BidiStream<Bytes>, Bytes>,
}

impl std::fmt::Debug for OpenResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OpenAnswer")
            .field("head", &self.head)
            .finish_non_exhaustive()
    }
}

impl OpenResponse {
    /// Returns the next chunk of the body, or `None` at its end.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, CallError> {
        let Some(mut data) = self.stream.recv_data().await? else {
            return Ok(None);
        };
        Ok(Some(data.copy_to_bytes(data.remaining())))
    }

    /// Reads the remaining body.
    pub async fn read_rest(mut self) -> Result<Bytes, CallError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}

impl Caller {
    /// Opens a flow to `service`, trusting `certificate`.
    pub async fn connect(
        service: SocketAddr,
        certificate: &Certificate,
    ) -> Result<Self, CallError> {
        let mut endpoint = Endpoint::client("127.0.0.1:0".parse()?)?;
        endpoint.set_default_client_config(client_config(certificate)?);
        let connection = endpoint.connect(service, SERVER_NAME)?.await?;
        let h3 = h3_quinn::Connection::new(connection.clone());
        let (mut driver, sender) = h3::client::new(h3).await?;
        let driver = tokio::spawn(async move {
            // The requests on the flow return the error with which it ended.
            drop(driver.wait_idle().await);
        });
        Ok(Self {
            endpoint,
            connection,
            sender: Sender(sender),
            driver,
        })
    }

    /// Sends a request and returns once the head of the response has arrived.
    pub async fn open(&mut self, req: Request<Bytes>) -> Result<OpenResponse, CallError> {
        let (parts, body) = req.into_parts();
        let mut stream = self
            .sender
            .0
            .send_request(Request::from_parts(parts, ()))
            .await?;
        if !body.is_empty() {
            stream.send_data(body).await?;
        }
        stream.finish().await?;
        let head = stream.recv_response().await?;
        Ok(OpenResponse { head, stream })
    }

    /// Sends a request and reads the whole response.
    pub async fn call(&mut self, req: Request<Bytes>) -> Result<Response<Bytes>, CallError> {
        let response = self.open(req).await?;
        let head = response.head.clone();
        let body = response.read_rest().await?;
        Ok(head.map(|()| body))
    }

    /// Continues from another local port, as happens to a caller behind a NAT that rebinds.
    pub fn change_address(&self) -> std::io::Result<()> {
        self.endpoint
            .rebind(std::net::UdpSocket::bind("127.0.0.1:0")?)
    }

    /// Returns the QUIC connection of the flow.
    pub const fn connection(&self) -> &quinn::Connection {
        &self.connection
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn client_config(certificate: &Certificate) -> Result<ClientConfig, CallError> {
    let mut roots = rustls::RootCertStore::empty();
    roots.add(certificate.der.clone())?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    Ok(ClientConfig::new(Arc::new(QuicClientConfig::try_from(
        tls,
    )?)))
}
