//! UDP sockets of which all that has come is taken before waiting again.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;

/// Bytes of the largest datagram that is read.
pub const BUFFER_BYTES: usize = 2048;
/// Datagrams that are taken before timers get their turn.
pub const BATCH: usize = 256;
/// Bytes that the operating system keeps for a socket: a burst of 10,000 packets a second for a tenth
/// of a second.
const SOCKET_BUFFER_BYTES: usize = 1 << 20;

/// Binds a UDP socket.
pub fn bind(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    // A host that grants less still works.
    drop(socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES));
    socket.bind(&SocketAddr::V4(address).into())?;
    UdpSocket::from_std(socket.into())
}

/// Takes one datagram that has come; none if there is no more.
pub fn take<'a>(socket: &UdpSocket, buf: &'a mut [u8]) -> Option<(Ipv4Addr, &'a mut [u8])> {
    loop {
        match socket.try_recv_from(buf) {
            Ok((len, SocketAddr::V4(from))) => return Some((*from.ip(), &mut buf[..len])),
            Ok((_, SocketAddr::V6(_))) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
            // The error belongs to a datagram sent before, whose receiver is not there.
            Err(e) => {
                log::info!("a datagram did not arrive: {e}");
                return None;
            }
        }
    }
}

/// Sends a datagram; one that the socket has no room for is lost, as it could be on its way.
pub fn send(socket: &UdpSocket, to: SocketAddrV4, packet: &[u8]) {
    if let Err(e) = socket.try_send_to(packet, SocketAddr::V4(to)) {
        log::warn!("a packet to {to} was not sent: {e}");
    }
}
