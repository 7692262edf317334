//! Forwards replies from agents to callers, sent from the service address that the caller used.

use std::io;
use std::sync::Arc;

use dogwoodrill_core::drop_cause::DropCause;
use dogwoodrill_wire::tunnel::{DatagramKind, Header};
use tokio::net::UdpSocket;

use super::Balancer;
use crate::packet_metrics::Outcome;

/// Maximum size of a UDP payload, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Forwards each datagram that arrives through the tunnel to its caller.
pub async fn run(balancer: &Balancer) -> io::Result<()> {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error here belongs to an earlier send to an agent that no longer exists; the socket still works.
        let Ok((len, _)) = balancer.tunnel.recv_from(&mut datagram).await else {
            continue;
        };
        match return_to_caller(balancer, &datagram[..len]).await {
            Ok(()) => balancer.metrics.count(Outcome::Returned),
            Err(cause) => balancer.metrics.count_drop(cause),
        }
    }
}

async fn return_to_caller(balancer: &Balancer, datagram: &[u8]) -> Result<(), DropCause> {
    if !balancer.health.borrow().is_forwarding() {
        return Err(DropCause::Isolated);
    }
    let (header, payload) = Header::decode(&balancer.cx.key, datagram)?;
    if header.kind != DatagramKind::ToCaller {
        return Err(DropCause::WrongDirection);
    }
    let blocked_socket: Arc<UdpSocket> = {
        let listeners = balancer.listeners.all();
        let listener = listeners
            .get(&header.address)
            .ok_or(DropCause::UnknownAddress)?;
        if listener.service != header.service {
            return Err(DropCause::WrongService);
        }
        match listener.socket.try_send_to(payload, header.caller) {
            Ok(_) => return Ok(()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Arc::clone(&listener.socket),
            Err(_) => return Err(DropCause::SendFailed),
        }
    };
    let sent = blocked_socket.send_to(payload, header.caller).await;
    sent.map(drop).or(Err(DropCause::SendFailed))
}
