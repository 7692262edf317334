//! UDP sockets that take in, and send, many packets with one system call.
//!
//! Packets are taken into an [`Inbox`] and collected in the socket until [`PacketSocket::flush`] sends
//! them, so a wake-up costs the same number of calls whether one packet had come or thirty.

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

/// Bytes of the largest datagram that is read.
const BUFFER_BYTES: usize = 2048;
/// Packets of one system call at most: a busy node finds 10 to 20 at a wake-up, at 10,000 packets a
/// second and a millisecond between wake-ups.
pub const BATCH: usize = 32;
/// Bytes that the operating system keeps for a socket: a burst of 10,000 packets a second for a tenth
/// of a second.
const SOCKET_BUFFER_BYTES: usize = 1 << 20;

type Headers = MultiHeaders<SockaddrIn>;

// They hold pointers, so they stay on their thread; what they point to is set anew for each call.
thread_local! {
    static RECEIVED: RefCell<Headers> = RefCell::new(Headers::preallocate(BATCH, None));
    static SENT: RefCell<Headers> = RefCell::new(Headers::preallocate(BATCH, None));
}

/// Packets that were taken with one call.
#[derive(Debug)]
pub struct Inbox {
    buffers: Box<[[u8; BUFFER_BYTES]; BATCH]>,
    /// Sender and length of each, in the order of the buffers.
    received: Vec<(Ipv4Addr, usize)>,
}

impl Default for Inbox {
    fn default() -> Self {
        let buffers = vec![[0; BUFFER_BYTES]; BATCH].into_boxed_slice();
        Self {
            buffers: buffers.try_into().expect("the size is the array's"),
            received: Vec::with_capacity(BATCH),
        }
    }
}

impl Inbox {
    /// The packets with the hosts that sent them.
    pub fn packets(&mut self) -> impl Iterator<Item = (Ipv4Addr, &mut [u8])> {
        let received = self.received.iter().zip(self.buffers.iter_mut());
        received.map(|((from, len), buf)| (*from, &mut buf[..*len]))
    }

    fn receive(&mut self, socket: &UdpSocket) -> nix::Result<()> {
        let (buffers, received) = (&mut self.buffers, &mut self.received);
        RECEIVED.with_borrow_mut(|headers| {
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

/// Packets that wait to be sent.
#[derive(Debug, Default)]
struct Outbox {
    bytes: Vec<u8>,
    /// Receiver of each, and where it ends in `bytes`.
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

    /// Sends packets from the `first` on, and tells how many were.
    fn send(&self, socket: &UdpSocket, first: usize) -> nix::Result<usize> {
        let last = self.ends.len().min(first + BATCH);
        let slices: Vec<_> = (first..last)
            .map(|n| [IoSlice::new(self.packet(n))])
            .collect();
        let addresses = self.ends[first..last].iter();
        let addresses: Vec<_> = addresses
            .map(|(to, _)| Some(SockaddrIn::from(*to)))
            .collect();
        SENT.with_borrow_mut(|headers| {
            let none: [ControlMessage<'_>; 0] = [];
            let flags = MsgFlags::MSG_DONTWAIT;
            let fd = socket.as_raw_fd();
            Ok(sendmmsg(fd, headers, &slices, addresses, none, flags)?.count())
        })
    }
}

/// A UDP socket with the packets that are to leave through it.
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
        // A host that grants less still works.
        drop(socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES));
        socket.bind(&SocketAddr::V4(address).into())?;
        Ok(Self {
            socket: UdpSocket::from_std(socket.into())?,
            outbox: Outbox::default(),
            calls,
        })
    }

    /// Waits until something may have come.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Takes what has come, up to a batch. What is left makes the socket readable again at once.
    pub fn receive(&self, inbox: &mut Inbox) {
        inbox.received.clear();
        let received = self.socket.try_io(Interest::READABLE, || {
            self.calls.receive.inc();
            inbox.receive(&self.socket)?;
            if inbox.received.len() < BATCH {
                // Nothing is left: the socket is not asked again until the host says so.
                return Err(ErrorKind::WouldBlock.into());
            }
            Ok(())
        });
        if let Err(e) = received
            && e.kind() != ErrorKind::WouldBlock
        {
            // It belongs to a datagram sent before, whose receiver is not there.
            log::info!("a datagram did not arrive: {e}");
        }
    }

    /// Takes a packet that is sent by the next [`Self::flush`].
    pub fn send(&mut self, to: SocketAddrV4, packet: &[u8]) {
        self.outbox.push(to, packet);
    }

    /// Sends what has been collected. What the host has no room for is lost, as it could be on its way.
    pub fn flush(&mut self) {
        let mut next = 0;
        while next < self.outbox.ends.len() {
            self.calls.send.inc();
            // The host itself says whether there is room: a socket that was just bound is not yet known to
            // be writable.
            next += match self.outbox.send(&self.socket, next) {
                Ok(sent) => sent,
                Err(Errno::EAGAIN) => {
                    let left = self.outbox.ends.len() - next;
                    log::warn!("{left} packets were not sent: the host has no room for them");
                    left
                }
                Err(e) => {
                    let (to, _) = self.outbox.ends[next];
                    log::warn!("a packet to {to} was not sent: {e}");
                    1
                }
            };
        }
        self.outbox.clear();
    }
}
