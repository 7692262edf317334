//! gRPC between the processes of one cluster: all channels and servers are created here.
//!
//! Both ends use the [`Security`] of their process. With mutual TLS, the accepting end reads the peer's
//! [`Role`] from its certificate during the handshake, and [`require_role`] checks it for each request. The
//! current certificates are used for each new connection, so renewed files take effect without a restart.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{Stream, StreamExt, stream};
use hyper_util::rt::TokioIo;
use rustls::pki_types::ServerName;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_rustls::{TlsAcceptor, TlsConnector};
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;
use tonic::transport::{Channel, Endpoint, Error, Server, Uri};
use tonic::{Request, Status};
use tower::service_fn;

use crate::context::Cx;
use crate::credentials::{Credentials, NODE_NAME, Security};

mod peer;

pub use crate::credentials::Role;
pub use peer::{Peer, PeerStream};

/// Timeout for opening a connection, and for the TLS handshake of an accepted one.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the first attempt of [`dial`]: several round trips between availability zones.
const INITIAL_DIAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of concurrent handshakes per listener.
const MAX_HANDSHAKES: usize = 256;
/// Delay before accepting again after `accept` failed, for instance because no file descriptors were left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Connects to a process of the cluster with the credentials of this process.
pub async fn connect(cx: &Cx, address: SocketAddr) -> Result<Channel, Error> {
    connect_with(&cx.security, address).await
}

/// Connects to a process of the cluster with the credentials in `security`.
pub async fn connect_with(security: &Security, address: SocketAddr) -> Result<Channel, Error> {
    let security = security.clone();
    let connector = service_fn(move |_: Uri| open_stream(security.clone(), address));
    Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .connect_with_connector(connector)
        .await
}

/// Serves `routes` to processes of the cluster until `token` is cancelled.
pub async fn serve(
    cx: &Cx,
    listener: Arc<TcpListener>,
    routes: Routes,
    token: CancellationToken,
) -> Result<(), Error> {
    let incoming = incoming(listener, cx.security.clone());
    Server::builder()
        .add_routes(routes)
        .serve_with_incoming_shutdown(incoming, token.cancelled_owned())
        .await
}

/// Rejects a request whose sender does not have the role `required`.
pub fn require_role<T>(req: &Request<T>, required: Role) -> Result<(), Status> {
    let peer = req.extensions().get::<Peer>();
    match peer {
        Some(Peer::Plaintext) => Ok(()),
        Some(Peer::Certified(role)) if role.satisfies(required) => Ok(()),
        Some(Peer::Certified(role)) => Err(Status::permission_denied(format!(
            "this needs a certificate with the role {required}; yours has {role}"
        ))),
        None => Err(Status::unauthenticated(format!(
            "this needs a certificate with the role {required}"
        ))),
    }
}

/// Repeats `attempt` when it times out, doubling the timeout each time. The first packet to a host that is
/// powered off is lost, and the kernel retransmits it only after a second; a host that has started in the
/// meantime replies to a new attempt immediately.
pub async fn dial<T, F>(attempt: impl Fn() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let mut attempt_timeout = INITIAL_DIAL_TIMEOUT;
    loop {
        if let Ok(result) = timeout(attempt_timeout, attempt()).await {
            return result;
        }
        attempt_timeout *= 2;
    }
}

async fn open_stream(security: Security, address: SocketAddr) -> io::Result<TokioIo<PeerStream>> {
    let stream = dial(|| TcpStream::connect(address)).await?;
    stream.set_nodelay(true)?;
    let Security::Mtls(credentials) = security else {
        return Ok(TokioIo::new(PeerStream::Plaintext(stream)));
    };
    let name = ServerName::try_from(NODE_NAME).map_err(io::Error::other)?;
    let connector = TlsConnector::from(credentials.client());
    let stream = connector.connect(name, stream).await?;
    Ok(TokioIo::new(PeerStream::TlsClient(Box::new(stream))))
}

/// Returns the accepted connections whose handshake succeeded. The listener outlives the stream, so that a
/// server can be restarted on it.
fn incoming(
    listener: Arc<TcpListener>,
    security: Security,
) -> impl Stream<Item = io::Result<PeerStream>> {
    let accepted = stream::unfold(listener, |listener| async {
        let stream = accept(&listener).await;
        Some((stream, listener))
    });
    accepted
        .map(move |stream| handshake(stream, security.clone()))
        .buffer_unordered(MAX_HANDSHAKES)
        .filter_map(|outcome| async { outcome.ok().map(Ok) })
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn handshake(stream: TcpStream, security: Security) -> io::Result<PeerStream> {
    stream.set_nodelay(true)?;
    match security {
        Security::Plaintext => Ok(PeerStream::Plaintext(stream)),
        Security::Mtls(credentials) => {
            timeout(CONNECT_TIMEOUT, accept_tls(stream, &credentials)).await?
        }
    }
}

async fn accept_tls(stream: TcpStream, credentials: &Credentials) -> io::Result<PeerStream> {
    let acceptor = TlsAcceptor::from(credentials.server());
    let stream = acceptor.accept(stream).await?;
    PeerStream::from_accepted(stream)
}
