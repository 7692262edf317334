//! A fabric that forwards each packet to a random balancer.
//!
//! It listens on the address that callers use. Each caller gets its own upstream socket, so that balancers
//! see one source address per caller, as they would with a routed address. Packets that arrive on that
//! socket are sent to the caller.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::task::{JoinHandle, JoinSet};

const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Fractions of packets, in thousandths, that the fabric drops, duplicates or reorders in each direction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Packets that are dropped.
    pub lost: u16,
    /// Packets that are sent twice, each copy to a balancer chosen independently.
    pub duplicated: u16,
    /// Packets that are sent after the one that follows them.
    pub reordered: u16,
}

/// A running fabric for one service address. Dropping it stops it.
#[derive(Debug)]
pub struct Fabric {
    address: SocketAddr,
    balancers: Arc<Mutex<Vec<SocketAddr>>>,
    faults: Arc<Mutex<Faults>>,
    task: JoinHandle<()>,
}

impl Fabric {
    /// Starts a fabric in front of `balancers`; `seed` determines the choice of balancers and the faults.
    pub async fn start(balancers: Vec<SocketAddr>, seed: u64) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = socket.local_addr()?;
        let balancers = Arc::new(Mutex::new(balancers));
        let faults = Arc::default();
        let task = tokio::spawn(run(
            socket,
            Arc::clone(&balancers),
            Arc::clone(&faults),
            seed,
        ));
        Ok(Self {
            address,
            balancers,
            faults,
            task,
        })
    }

    /// Returns the address to which callers send.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the fault rates for the packets that follow.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Replaces the balancers, as the fabric does when health checks fail or pass again.
    pub fn set_balancers(&self, balancers: Vec<SocketAddr>) {
        *self
            .balancers
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = balancers;
    }
}

impl Drop for Fabric {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    socket: Arc<UdpSocket>,
    balancers: Arc<Mutex<Vec<SocketAddr>>>,
    faults: Arc<Mutex<Faults>>,
    seed: u64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut upstreams: HashMap<SocketAddr, Upstream> = HashMap::new();
    let mut return_tasks = JoinSet::new();
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, caller)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let upstream = match upstreams.entry(caller) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => {
                let Ok(upstream) = UdpSocket::bind("127.0.0.1:0").await else {
                    continue;
                };
                let upstream = Arc::new(upstream);
                return_tasks.spawn(send_back(
                    Arc::clone(&upstream),
                    Arc::clone(&socket),
                    caller,
                    Direction::new(&faults, rng.random()),
                ));
                new.insert(Upstream {
                    socket: upstream,
                    direction: Direction::new(&faults, rng.random()),
                })
            }
        };
        for packet in upstream.direction.apply_faults(&buf[..len]) {
            if let Some(balancer) = choose_balancer(&balancers, &mut rng) {
                drop(upstream.socket.send_to(&packet, balancer).await);
            }
        }
    }
}

/// Upstream socket and fault state of one caller.
struct Upstream {
    socket: Arc<UdpSocket>,
    direction: Direction,
}

/// Applies faults to one direction of a caller's packets.
struct Direction {
    faults: Arc<Mutex<Faults>>,
    rng: StdRng,
    held: Option<Vec<u8>>,
}

impl Direction {
    fn new(faults: &Arc<Mutex<Faults>>, seed: u64) -> Self {
        Self {
            faults: Arc::clone(faults),
            rng: StdRng::seed_from_u64(seed),
            held: None,
        }
    }

    /// Returns the packets to send for a received packet: none if it is dropped or held back.
    fn apply_faults(&mut self, packet: &[u8]) -> Vec<Vec<u8>> {
        let faults = *self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        if self.occurs(faults.lost) {
            return Vec::new();
        }
        let packet = packet.to_vec();
        if self.held.is_none() && self.occurs(faults.reordered) {
            self.held = Some(packet);
            return Vec::new();
        }
        let mut out = vec![packet];
        if self.occurs(faults.duplicated) {
            out.push(out[0].clone());
        }
        out.extend(self.held.take());
        out
    }

    fn occurs(&mut self, per_mille: u16) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }
}

fn choose_balancer(balancers: &Mutex<Vec<SocketAddr>>, rng: &mut StdRng) -> Option<SocketAddr> {
    let balancers = balancers.lock().unwrap_or_else(PoisonError::into_inner);
    if balancers.is_empty() {
        return None;
    }
    Some(balancers[rng.random_range(0..balancers.len())])
}

async fn send_back(
    upstream: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    caller: SocketAddr,
    mut direction: Direction,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, _)) = upstream.recv_from(&mut buf).await else {
            continue;
        };
        for packet in direction.apply_faults(&buf[..len]) {
            drop(socket.send_to(&packet, caller).await);
        }
    }
}
