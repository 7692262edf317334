//! The socket that QUIC sees: datagrams of callers, with the tunnel taken off and put on.
//!
//! Quinn keeps one remote address and one local IP for a connection. The remote address here is the
//! caller's, and the local IP carries the [`AddressTag`] of the service address that the caller used,
//! written as an IPv4 address, so that each answer finds its way without a table.
//!
//! A datagram is checked a second time here, after the balancer: header tag, service, server, the
//! tag of the connection id. [`SharedSteering`] then says whether it is taken or passed on.

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

/// Largest datagram with its header.
const MAX_TUNNELLED_BYTES: usize = 65_535;
/// Largest UDP payload towards callers: an Ethernet frame less IP, UDP and tunnel headers.
pub const MAX_PAYLOAD_BYTES: u16 = 1_400;
const MAX_ANSWER_BYTES: usize = HEADER_BYTES + MAX_PAYLOAD_BYTES as usize;

/// The tunnel's end at an agent.
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
    /// Room for one datagram; only the endpoint's driver receives, so nobody waits for it.
    received: Mutex<Box<[u8]>>,
}

impl TunnelSocket {
    /// The socket of an agent for the flows of one server.
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
            received: Mutex::new(vec![0; MAX_TUNNELLED_BYTES].into()),
        }
    }

    /// Takes a datagram's payload into `out`, or deals with the datagram otherwise.
    fn accept(
        &self,
        from: SocketAddr,
        datagram: &mut [u8],
        out: &mut [u8],
    ) -> Result<Option<RecvMeta>, DropCause> {
        let (header, payload) = Header::decode(&self.key, datagram)?;
        if header.hops == 0 {
            self.return_path.heard(from);
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
        let arrival = TunnelPacket {
            class: classify(&self.key, self.service, header.caller, payload)?,
            hops: header.hops,
            settled: header.settled,
            reset: header.kind == DatagramKind::Reset,
        };
        let step = self.steering.on_packet(arrival, self.flows.count());
        match step.ok_or(DropCause::UnknownServer)? {
            SteeringDecision::Accept => {
                self.metrics.count(Outcome::Accepted);
                take(&header, payload, out).map(Some)
            }
            SteeringDecision::PassOn { to, hops, settled } => {
                let header = Header {
                    hops,
                    settled,
                    server: to.server,
                    ..header
                };
                self.pass_on(to, &header, datagram)?;
                Ok(None)
            }
            SteeringDecision::Drop(cause) => Err(cause),
        }
    }

    fn pass_on(&self, to: Peer, header: &Header, datagram: &mut [u8]) -> Result<(), DropCause> {
        let room = datagram
            .first_chunk_mut::<HEADER_BYTES>()
            .ok_or(DropCause::Short)?;
        header.encode(&self.key, room);
        let sent = self.socket.try_send_to(datagram, to.tunnel);
        self.metrics.count(if header.settled {
            Outcome::Redirected
        } else {
            Outcome::PassedOn
        });
        sent.map(drop).or(Err(DropCause::SendFailed))
    }
}

fn take(header: &Header, payload: &[u8], out: &mut [u8]) -> Result<RecvMeta, DropCause> {
    let len = payload.len();
    let room = out.get_mut(..len).ok_or(DropCause::TooLarge)?;
    room.copy_from_slice(payload);
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
        // Without a balancer the datagram is lost, as any datagram may be.
        let Some(balancer) = self.return_path.next() else {
            self.metrics.drop_for(DropCause::NoBalancer);
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
        let mut datagram = [0; MAX_ANSWER_BYTES];
        let len = HEADER_BYTES + transmit.contents.len();
        let (Some(room), true) = (datagram.first_chunk_mut(), len <= MAX_ANSWER_BYTES) else {
            self.metrics.drop_for(DropCause::TooLarge);
            return Ok(());
        };
        header.encode(&self.key, room);
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
        let mut received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let mut read = ReadBuf::new(&mut received);
            // An error here is of an earlier send to a process that is gone.
            let Ok(from) = ready!(self.socket.poll_recv_from(cx, &mut read)) else {
                continue;
            };
            match self.accept(from, read.filled_mut(), out) {
                Ok(Some(taken)) => {
                    *meta = taken;
                    return Poll::Ready(Ok(1));
                }
                Ok(None) => {}
                Err(cause) => self.metrics.drop_for(cause),
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
