//! Connections to other processes of the cluster, and the identity of the process at the other end.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_rustls::{client, server};
use tonic::transport::server::Connected;

use crate::credentials::{Role, role_of};

/// Identity of the sender of a request. The server stores it in the extensions of each request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Peer {
    /// Unauthenticated: the process runs without certificates.
    Plaintext,
    /// Authenticated by a certificate of the cluster's authority, with this role.
    Certified(Role),
}

/// A connection in plaintext or with mutual TLS.
#[derive(Debug)]
pub enum PeerStream {
    /// Connection in plaintext.
    Plaintext(TcpStream),
    /// TLS connection opened by this process.
    TlsClient(Box<client::TlsStream<TcpStream>>),
    /// TLS connection opened by the other process, which has this role.
    TlsServer(Box<server::TlsStream<TcpStream>>, Role),
}

impl PeerStream {
    /// Wraps an accepted TLS connection. Returns an error if the peer's certificate has no known role.
    pub fn from_accepted(stream: server::TlsStream<TcpStream>) -> io::Result<Self> {
        let certificates = stream.get_ref().1.peer_certificates().unwrap_or_default();
        let role = certificates.first().and_then(role_of);
        let role =
            role.ok_or_else(|| io::Error::other("the certificate of the peer has no known role"))?;
        Ok(Self::TlsServer(Box::new(stream), role))
    }
}

impl Connected for PeerStream {
    type ConnectInfo = Peer;

    fn connect_info(&self) -> Peer {
        match self {
            Self::TlsServer(_, role) => Peer::Certified(*role),
            Self::Plaintext(_) | Self::TlsClient(_) => Peer::Plaintext,
        }
    }
}

/// Evaluates `$call` with the inner stream of the variant.
macro_rules! on_inner {
    ($self:ident, $stream:ident => $call:expr) => {
        match $self.get_mut() {
            PeerStream::Plaintext($stream) => {
                let $stream = Pin::new($stream);
                $call
            }
            PeerStream::TlsClient($stream) => {
                let $stream = Pin::new($stream.as_mut());
                $call
            }
            PeerStream::TlsServer($stream, _) => {
                let $stream = Pin::new($stream.as_mut());
                $call
            }
        }
    };
}

impl AsyncRead for PeerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        on_inner!(self, stream => stream.poll_read(cx, buf))
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        on_inner!(self, stream => stream.poll_write(cx, buf))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        on_inner!(self, stream => stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        on_inner!(self, stream => stream.poll_shutdown(cx))
    }
}
