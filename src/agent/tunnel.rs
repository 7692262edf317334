//! UDP socket for the QUIC endpoint: removes the tunnel header from received datagrams and adds it to sent
//! ones.
//!
//! Quinn keeps one remote address and one local IP per connection. Here the remote address is that of the
//! caller, and the local IP carries the [`AddressTag`] of the service address that the caller used, encoded
//! as an IPv4 address, so that responses are routed without a table.
//!
//! The agent validates each datagram again after the balancer: header tag, service, server and the tag of the
//! connection id. [`SharedSteering`] then decides whether the datagram is accepted or passed on.

use std::io::{self, IoSliceMut};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use dogwoodrill_core::drop_cause::DropCause;
use dogwoodrill_core::flow::{ClusterKey, classify};
use dogwoodrill_core::flow_table::Peer;
use dogwoodrill_core::ids::{BackendServerId, ServiceId};
use dogwoodrill_core::steering::{SteeringDecision, TunnelPacket};
use dogwoodrill_wire::tunnel::{AddressTag, DatagramKind, HEADER_BYTES, Header};
use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, UdpPoller};
use tokio::io::ReadBuf;
use tokio::net::UdpSocket;

use super::Agent;
use super::flow::OpenFlows;
use super::return_path::ReturnPath;
use super::steering::SharedSteering;
use crate::packet_metrics::{Outcome, PacketMetrics};

/// Maximum size of a datagram including the tunnel header.
const MAX_TUNNELLED_BYTES: usize = 65_535;
/// Maximum UDP payload sent to callers: an Ethernet frame minus the IP, UDP and tunnel headers.
pub const MAX_PAYLOAD_BYTES: u16 = 1_400;
const MAX_REPLY_BYTES: usize = HEADER_BYTES + MAX_PAYLOAD_BYTES as usize;

/// The agent's end of the tunnel.
#[derive(Debug)]
pub struct TunnelSocket {
    socket: Arc<UdpSocket>,
    key: ClusterKey,
    service: ServiceId,
    server: BackendServerId,
    return_path: Arc<ReturnPath>,
    steering: Arc<SharedSteering>,
    flows: OpenFlows,
    metrics: PacketMetrics,
    /// Buffer for one datagram. Only the driver of the endpoint receives, so the lock is never contended.
    receive_buf: Mutex<Box<[u8]>>,
}

impl TunnelSocket {
    /// Creates the socket of an agent for the flows of one server.
    pub fn new(agent: &Agent, service: ServiceId, server: BackendServerId) -> Self {
        Self {
            socket: Arc::clone(&agent.tunnel),
            key: agent.cx.key.clone(),
            service,
            server,
            return_path: Arc::clone(&agent.return_path),
            steering: Arc::clone(&agent.steering),
            flows: agent.flows.clone(),
            metrics: agent.metrics.clone(),
            receive_buf: Mutex::new(vec![0; MAX_TUNNELLED_BYTES].into()),
        }
    }

    /// Handles a received datagram: copies the payload to `out` and returns its metadata if the datagram is for
    /// this agent, otherwise passes it on or returns the cause of the drop.
    fn process_datagram(
        &self,
        from: SocketAddr,
        datagram: &mut [u8],
        out: &mut [u8],
    ) -> Result<Option<RecvMeta>, DropCause> {
        let (header, payload) = Header::decode(&self.key, datagram)?;
        if header.hops == 0 {
            self.return_path.on_packet_from(from);
        }
        if header.service != self.service {
            return Err(DropCause::WrongService);
        }
        if header.server != self.server {
            return Err(DropCause::UnknownServer);
        }
        if header.kind == DatagramKind::ToCaller {
            return Err(DropCause::WrongDirection);
        }
        let packet = TunnelPacket {
            class: classify(&self.key, self.service, header.caller, payload)?,
            hops: header.hops,
            settled: header.settled,
            reset: header.kind == DatagramKind::Reset,
        };
        let decision = self.steering.on_packet(packet, self.flows.count());
        match decision.ok_or(DropCause::UnknownServer)? {
            SteeringDecision::Accept => {
                self.metrics.count(Outcome::Accepted);
                copy_payload(&header, payload, out).map(Some)
            }
            SteeringDecision::PassOn { to, hops, settled } => {
                let header = Header {
                    hops,
                    settled,
                    server: to.server,
                    ..header
                };
                self.forward_to_agent(to, &header, datagram)?;
                Ok(None)
            }
            SteeringDecision::Drop(cause) => Err(cause),
        }
    }

    fn forward_to_agent(
        &self,
        to: Peer,
        header: &Header,
        datagram: &mut [u8],
    ) -> Result<(), DropCause> {
        let buf = datagram
            .first_chunk_mut::<HEADER_BYTES>()
            .ok_or(DropCause::Short)?;
        header.encode(&self.key, buf);
        let sent = self.socket.try_send_to(datagram, to.tunnel);
        self.metrics.count(if header.settled {
            Outcome::Redirected
        } else {
            Outcome::PassedOn
        });
        sent.map(drop).or(Err(DropCause::SendFailed))
    }
}

fn copy_payload(header: &Header, payload: &[u8], out: &mut [u8]) -> Result<RecvMeta, DropCause> {
    let len = payload.len();
    let buf = out.get_mut(..len).ok_or(DropCause::TooLarge)?;
    buf.copy_from_slice(payload);
    Ok(RecvMeta {
        addr: header.caller,
        len,
        stride: len,
        ecn: None,
        dst_ip: Some(tag_to_ip(header.address)),
    })
}

impl AsyncUdpSocket for TunnelSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(WritePoller {
            socket: Arc::clone(&self.socket),
        })
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        // Without a balancer the datagram is dropped; QUIC recovers from lost datagrams.
        let Some(balancer) = self.return_path.next() else {
            self.metrics.count_drop(DropCause::NoBalancer);
            return Ok(());
        };
        let header = Header {
            kind: DatagramKind::ToCaller,
            hops: 0,
            settled: false,
            service: self.service,
            server: self.server,
            address: tag_from_ip(transmit.src_ip),
            caller: transmit.destination,
        };
        let mut datagram = [0; MAX_REPLY_BYTES];
        let len = HEADER_BYTES + transmit.contents.len();
        let (Some(buf), true) = (datagram.first_chunk_mut(), len <= MAX_REPLY_BYTES) else {
            self.metrics.count_drop(DropCause::TooLarge);
            return Ok(());
        };
        header.encode(&self.key, buf);
        datagram[HEADER_BYTES..len].copy_from_slice(transmit.contents);
        self.socket.try_send_to(&datagram[..len], balancer)?;
        self.metrics.count(Outcome::Answered);
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let (Some(out), Some(meta)) = (bufs.first_mut(), meta.first_mut()) else {
            return Poll::Ready(Ok(0));
        };
        let mut receive_buf = self
            .receive_buf
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        loop {
            let mut read = ReadBuf::new(&mut receive_buf);
            // An error here belongs to an earlier send to a process that no longer exists.
            let Ok(from) = ready!(self.socket.poll_recv_from(cx, &mut read)) else {
                continue;
            };
            match self.process_datagram(from, read.filled_mut(), out) {
                Ok(Some(recv_meta)) => {
                    *meta = recv_meta;
                    return Poll::Ready(Ok(1));
                }
                Ok(None) => {}
                Err(cause) => self.metrics.count_drop(cause),
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }
}

fn tag_to_ip(tag: AddressTag) -> IpAddr {
    Ipv4Addr::from_bits(tag.into()).into()
}

fn tag_from_ip(ip: Option<IpAddr>) -> AddressTag {
    match ip {
        Some(IpAddr::V4(ip)) => ip.to_bits().into(),
        _ => AddressTag::default(),
    }
}

#[derive(Debug)]
struct WritePoller {
    socket: Arc<UdpSocket>,
}

impl UdpPoller for WritePoller {
    fn poll_writable(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.poll_send_ready(cx)
    }
}
