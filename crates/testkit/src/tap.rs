//! A UDP relay that counts the packets sent to one address.
//!
//! An agent advertises the tap's address in place of its own, so that the packets sent to the agent are
//! counted outside the product.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;

const MAX_DATAGRAM_BYTES: usize = 65_535;

/// A running relay. Dropping it stops it.
#[derive(Debug)]
pub struct Tap {
    address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    packets: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Tap {
    /// Starts a relay on a free port. It drops packets until [`Tap::set_target`] is called.
    pub async fn start() -> io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let address = socket.local_addr()?;
        let target = watch::Sender::new(None);
        let packets = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(relay(socket, target.subscribe(), Arc::clone(&packets)));
        Ok(Self {
            address,
            target,
            packets,
            task,
        })
    }

    /// Returns the address at which the relay receives.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address to which packets are forwarded.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Returns the number of packets received so far.
    pub fn packets(&self) -> u64 {
        self.packets.load(Ordering::Relaxed)
    }
}

impl Drop for Tap {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn relay(
    socket: UdpSocket,
    target: watch::Receiver<Option<SocketAddr>>,
    packets: Arc<AtomicU64>,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        packets.fetch_add(1, Ordering::Relaxed);
        let to = *target.borrow();
        if let Some(to) = to {
            // A failed send is ignored, since UDP does not guarantee delivery.
            drop(socket.send_to(&buf[..len], to).await);
        }
    }
}
