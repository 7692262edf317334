//! UDP sockets that receive and send many packets with one system call (`recvmmsg` and `sendmmsg`).
//!
//! Packets are received into an [`Inbox`]. Packets to send are queued in the socket until
//! [`PacketSocket::flush`], so that a wake-up takes the same number of system calls for one packet as for
//! thirty.

use std::cell::RefCell;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::os::fd::AsRawFd;

use nix::errno::Errno;
use nix::sys::socket::{ControlMessage, MsgFlags, MultiHeaders, SockaddrIn, recvmmsg, sendmmsg};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::io::Interest;
use tokio::net::UdpSocket;

use super::metrics::SocketCallCounters;

/// Size of a receive buffer, in bytes. Longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Maximum number of packets per system call. At 10,000 packets a second and a millisecond between wake-ups,
/// a busy node receives 10 to 20 packets per wake-up.
pub const BATCH_SIZE: usize = 32;
/// Receive buffer of the operating system per socket, in bytes. It holds a burst of 10,000 packets a second
/// for a tenth of a second.
const SOCKET_BUFFER_BYTES: usize = 1 << 20;

type Headers = MultiHeaders<SockaddrIn>;

// Message headers are preallocated and reused. They contain raw pointers, so they must stay on their thread;
// each call sets the pointers anew.
thread_local! {
    static RECEIVE_HEADERS: RefCell<Headers> = RefCell::new(Headers::preallocate(BATCH_SIZE, None));
    static SEND_HEADERS: RefCell<Headers> = RefCell::new(Headers::preallocate(BATCH_SIZE, None));
}

/// Packets that were received with one system call.
#[derive(Debug)]
pub struct Inbox {
    buffers: Box<[[u8; MAX_DATAGRAM_BYTES]; BATCH_SIZE]>,
    /// Sender and length of each packet, in the order of the buffers.
    received: Vec<(Ipv4Addr, usize)>,
}

impl Default for Inbox {
    fn default() -> Self {
        let buffers = vec![[0; MAX_DATAGRAM_BYTES]; BATCH_SIZE].into_boxed_slice();
        Self {
            buffers: buffers
                .try_into()
                .expect("the vector has BATCH_SIZE elements"),
            received: Vec::with_capacity(BATCH_SIZE),
        }
    }
}

impl Inbox {
    /// Returns the packets with the addresses of their senders.
    pub fn packets(&mut self) -> impl Iterator<Item = (Ipv4Addr, &mut [u8])> {
        let received = self.received.iter().zip(self.buffers.iter_mut());
        received.map(|((from, len), buf)| (*from, &mut buf[..*len]))
    }

    fn receive(&mut self, socket: &UdpSocket) -> nix::Result<()> {
        let (buffers, received) = (&mut self.buffers, &mut self.received);
        RECEIVE_HEADERS.with_borrow_mut(|headers| {
            let mut slices = buffers.each_mut().map(|buf| [IoSliceMut::new(buf)]);
            let flags = MsgFlags::MSG_DONTWAIT;
            let fd = socket.as_raw_fd();
            let messages = recvmmsg(fd, headers, slices.iter_mut(), flags, None)?;
            received.extend(messages.map(|message| {
                let from = message.address.map(|from: SockaddrIn| from.ip());
                (from.unwrap_or(Ipv4Addr::UNSPECIFIED), message.bytes)
            }));
            Ok(())
        })
    }
}

/// Packets that are queued for sending.
#[derive(Debug, Default)]
struct Outbox {
    bytes: Vec<u8>,
    /// Receiver of each packet and its end in `bytes`.
    ends: Vec<(SocketAddrV4, usize)>,
}

impl Outbox {
    fn push(&mut self, to: SocketAddrV4, packet: &[u8]) {
        self.bytes.extend_from_slice(packet);
        self.ends.push((to, self.bytes.len()));
    }

    fn packet(&self, n: usize) -> &[u8] {
        let begin = n.checked_sub(1).map_or(0, |before| self.ends[before].1);
        &self.bytes[begin..self.ends[n].1]
    }

    fn clear(&mut self) {
        self.bytes.clear();
        self.ends.clear();
    }

    /// Sends up to [`BATCH_SIZE`] packets, starting with number `first`. Returns how many were sent.
    fn send(&self, socket: &UdpSocket, first: usize) -> nix::Result<usize> {
        let last = self.ends.len().min(first + BATCH_SIZE);
        let slices: Vec<_> = (first..last)
            .map(|n| [IoSlice::new(self.packet(n))])
            .collect();
        let addresses = self.ends[first..last].iter();
        let addresses: Vec<_> = addresses
            .map(|(to, _)| Some(SockaddrIn::from(*to)))
            .collect();
        SEND_HEADERS.with_borrow_mut(|headers| {
            let none: [ControlMessage<'_>; 0] = [];
            let flags = MsgFlags::MSG_DONTWAIT;
            let fd = socket.as_raw_fd();
            Ok(sendmmsg(fd, headers, &slices, addresses, none, flags)?.count())
        })
    }
}

/// A UDP socket with a queue of packets to send.
#[derive(Debug)]
pub struct PacketSocket {
    socket: UdpSocket,
    outbox: Outbox,
    calls: SocketCallCounters,
}

impl PacketSocket {
    /// Binds a socket whose system calls are counted by `calls`.
    pub fn bind(address: SocketAddrV4, calls: SocketCallCounters) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
        socket.set_nonblocking(true)?;
        // A smaller buffer works too, so an error is ignored.
        drop(socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES));
        socket.bind(&SocketAddr::V4(address).into())?;
        Ok(Self {
            socket: UdpSocket::from_std(socket.into())?,
            outbox: Outbox::default(),
            calls,
        })
    }

    /// Waits until packets may be available.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Receives up to [`BATCH_SIZE`] packets into `inbox`. If more are available, the socket stays readable.
    pub fn receive(&self, inbox: &mut Inbox) {
        inbox.received.clear();
        let received = self.socket.try_io(Interest::READABLE, || {
            self.calls.receive.inc();
            inbox.receive(&self.socket)?;
            if inbox.received.len() < BATCH_SIZE {
                // The socket is drained. Returning `WouldBlock` clears its readiness until new packets
                // arrive.
                return Err(ErrorKind::WouldBlock.into());
            }
            Ok(())
        });
        if let Err(e) = received
            && e.kind() != ErrorKind::WouldBlock
        {
            // The error belongs to a datagram that was sent earlier and whose receiver is not running.
            log::info!("a datagram sent earlier was not delivered: {e}");
        }
    }

    /// Queues a packet for the next [`Self::flush`].
    pub fn send(&mut self, to: SocketAddrV4, packet: &[u8]) {
        self.outbox.push(to, packet);
    }

    /// Sends the queued packets. Packets for which the send buffer has no room are dropped, like packets that
    /// the network loses.
    pub fn flush(&mut self) {
        let mut next = 0;
        while next < self.outbox.ends.len() {
            self.calls.send.inc();
            // The system call itself reports whether there is room. Tokio's readiness is not used, because a
            // socket that was just bound is not yet marked as writable.
            next += match self.outbox.send(&self.socket, next) {
                Ok(sent) => sent,
                Err(Errno::EAGAIN) => {
                    let left = self.outbox.ends.len() - next;
                    log::warn!("dropped {left} packets: the send buffer of the socket is full");
                    left
                }
                Err(e) => {
                    let (to, _) = self.outbox.ends[next];
                    log::warn!("cannot send a packet to {to}: {e}");
                    1
                }
            };
        }
        self.outbox.clear();
    }
}
