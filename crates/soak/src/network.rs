//! Addresses and ports of the hosts, and a proxy that impairs the traffic between processes.
//!
//! Host `n` binds its own address; the others send to its public address, where the proxy listens. The proxy
//! forwards a datagram from the public address of its sender, so the receiver sees the sender's address.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Number of control hosts. Control hosts have the lowest host numbers, followed by balancers and by agents
/// with their servers.
pub const CONTROLS: u8 = 3;
/// Number of balancers.
pub const BALANCERS: u8 = 3;
/// Number of agents, each with a server on the same host.
pub const AGENTS: u8 = 6;
const HOSTS: u8 = CONTROLS + BALANCERS + AGENTS;
/// Size of a receive buffer in bytes; no datagram is larger.
const BUFFER_BYTES: usize = 2048;
/// Interval at which a stalled connection checks whether it may continue.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of ports that are tried; a port that is free for UDP may be in use for TCP.
const PORT_TRIES: u32 = 20;
/// Interval between checks of whether a port is released.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Number of a host, from 1.
pub type Host = u8;

/// Addresses and ports of a run; ports are the same on all hosts.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    lane: u8,
    /// Traffic between nodes, over UDP and TCP.
    pub node_traffic: u16,
    /// Packets of flows, over UDP.
    pub packets: u16,
    /// Health check of balancers.
    pub ready: u16,
    /// Calls of operators to control hosts.
    pub control: u16,
    /// Reports of servers to their agents.
    pub reports: u16,
    /// Packets from a server to its agent.
    pub outbound: u16,
    /// Packets from an agent to its server.
    pub server: u16,
}

/// Finds a port that is free on all addresses for both UDP and TCP.
pub fn free_port() -> io::Result<u16> {
    let mut last = Err(io::ErrorKind::AddrInUse.into());
    for _ in 0..PORT_TRIES {
        last = find_port_once();
        if last.is_ok() {
            break;
        }
    }
    last
}

fn find_port_once() -> io::Result<u16> {
    let listener = std::net::TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0))?;
    let port = listener.local_addr()?.port();
    let socket = std::net::UdpSocket::bind((Ipv4Addr::UNSPECIFIED, port))?;
    drop((socket, listener));
    // A process that another thread is just starting holds a copy of the listener until it executes its program.
    while std::net::TcpStream::connect((Ipv4Addr::LOCALHOST, port)).is_ok() {
        std::thread::sleep(RELEASE_POLL_INTERVAL);
    }
    Ok(port)
}

impl Layout {
    /// Finds ports that are free on all addresses.
    pub fn new(lane: u8) -> io::Result<Self> {
        Ok(Self {
            lane,
            node_traffic: free_port()?,
            packets: free_port()?,
            ready: free_port()?,
            control: free_port()?,
            reports: free_port()?,
            outbound: free_port()?,
            server: free_port()?,
        })
    }

    /// Returns the address that the host binds.
    pub const fn bind_address(self, host: Host) -> Ipv4Addr {
        Ipv4Addr::new(127, 81, self.lane, host)
    }

    /// Returns the address of the proxy through which other hosts reach this one.
    pub const fn public_address(self, host: Host) -> Ipv4Addr {
        Ipv4Addr::new(127, 82, self.lane, host)
    }

    /// Returns the address of caller host `n`.
    pub const fn caller(self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 83, self.lane, n)
    }

    fn host_of(self, ip: Ipv4Addr) -> Option<Host> {
        (1..=HOSTS).find(|host| self.bind_address(*host) == ip)
    }

    /// Returns the availability zone of a host.
    pub const fn zone(self, host: Host) -> &'static str {
        ["north", "middle", "south"][(host % 3) as usize]
    }
}

/// Returns the numbers of the control hosts.
pub fn controls() -> std::ops::RangeInclusive<Host> {
    1..=CONTROLS
}

/// Returns the numbers of the balancers.
pub fn balancers() -> std::ops::RangeInclusive<Host> {
    CONTROLS + 1..=CONTROLS + BALANCERS
}

/// Returns the numbers of the agents' hosts.
pub fn agents() -> std::ops::RangeInclusive<Host> {
    CONTROLS + BALANCERS + 1..=HOSTS
}

/// Impairment of the traffic that passes through the proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Impairment {
    /// Datagrams are dropped; connections stay open without data.
    Blackhole,
    /// Everything is delayed by this time.
    Delay(Duration),
    /// Connections are closed; datagrams are dropped.
    Reset,
}

/// The proxy between the processes.
#[derive(Debug)]
pub struct Network {
    layout: Layout,
    /// Impairments of datagrams, by sender and receiver.
    links: Mutex<BTreeMap<(Host, Host), Impairment>>,
    /// Impairments of connections, by the host that they lead to.
    connections: Mutex<BTreeMap<Host, Impairment>>,
    stop: CancellationToken,
}

impl Network {
    /// Binds all public addresses and starts to forward.
    pub async fn start(layout: Layout) -> io::Result<Arc<Self>> {
        let network = Arc::new(Self {
            layout,
            links: Mutex::default(),
            connections: Mutex::default(),
            stop: CancellationToken::new(),
        });
        for port in [layout.node_traffic, layout.packets] {
            let mut sockets = Vec::new();
            for host in 1..=HOSTS {
                let address = (layout.public_address(host), port);
                sockets.push(UdpSocket::bind(address).await?);
            }
            let sockets: Arc<[UdpSocket]> = sockets.into();
            for host in 1..=HOSTS {
                let this = Arc::clone(&network);
                tokio::spawn(this.pass_datagrams(Arc::clone(&sockets), host, port));
            }
        }
        for host in controls() {
            let listener =
                TcpListener::bind((layout.public_address(host), layout.node_traffic)).await?;
            tokio::spawn(Arc::clone(&network).pass_connections(listener, host));
        }
        Ok(network)
    }

    /// Stops forwarding.
    pub fn shut_down(&self) {
        self.stop.cancel();
    }

    /// Sets or removes the impairment of datagrams from one host to another.
    pub fn impair_link(&self, from: Host, to: Host, impairment: Option<Impairment>) {
        set(&self.links, (from, to), impairment);
    }

    /// Sets or removes the impairment of connections to a host.
    pub fn impair_connections(&self, to: Host, impairment: Option<Impairment>) {
        set(&self.connections, to, impairment);
    }

    /// Removes all impairments.
    pub fn clear_impairments(&self) {
        lock(&self.links).clear();
        lock(&self.connections).clear();
    }

    async fn pass_datagrams(self: Arc<Self>, sockets: Arc<[UdpSocket]>, host: Host, port: u16) {
        let mut buf = [0; BUFFER_BYTES];
        let to = SocketAddrV4::new(self.layout.bind_address(host), port);
        loop {
            let socket = &sockets[usize::from(host) - 1];
            let received = tokio::select! {
                () = self.stop.cancelled() => return,
                received = socket.recv_from(&mut buf) => received,
            };
            // A failed receive reports that the receiver of an earlier datagram was down.
            let Ok((len, SocketAddr::V4(from))) = received else {
                continue;
            };
            let Some(from) = self.layout.host_of(*from.ip()) else {
                continue;
            };
            let impairment = lock(&self.links).get(&(from, host)).copied();
            let out = usize::from(from) - 1;
            match impairment {
                Some(Impairment::Blackhole | Impairment::Reset) => {}
                Some(Impairment::Delay(delay)) => {
                    let (sockets, datagram) = (Arc::clone(&sockets), buf[..len].to_vec());
                    tokio::spawn(async move {
                        sleep(delay).await;
                        // Fails if the receiver is down.
                        drop(sockets[out].send_to(&datagram, to).await);
                    });
                }
                None => drop(sockets[out].send_to(&buf[..len], to).await),
            }
        }
    }

    async fn pass_connections(self: Arc<Self>, listener: TcpListener, host: Host) {
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            if let Ok((stream, _)) = accepted {
                tokio::spawn(Arc::clone(&self).pass_connection(stream, host));
            }
        }
    }

    async fn pass_connection(self: Arc<Self>, stream: TcpStream, host: Host) {
        let to = (self.layout.bind_address(host), self.layout.node_traffic);
        // A host that is down refuses the connection, so the one from the client is closed.
        let Ok(onward) = TcpStream::connect(to).await else {
            return;
        };
        drop((stream.set_nodelay(true), onward.set_nodelay(true)));
        let (from_caller, to_caller) = stream.into_split();
        let (from_host, to_host) = onward.into_split();
        tokio::select! {
            () = self.stop.cancelled() => {}
            () = self.copy(host, from_caller, to_host) => {}
            () = self.copy(host, from_host, to_caller) => {}
        }
    }

    async fn copy(
        &self,
        host: Host,
        mut from: tokio::net::tcp::OwnedReadHalf,
        mut to: tokio::net::tcp::OwnedWriteHalf,
    ) {
        let mut buf = [0; BUFFER_BYTES];
        loop {
            let read = from.read(&mut buf).await;
            let Ok(len @ 1..) = read else {
                return;
            };
            loop {
                let impairment = lock(&self.connections).get(&host).copied();
                match impairment {
                    Some(Impairment::Blackhole) => sleep(STALL_POLL_INTERVAL).await,
                    Some(Impairment::Reset) => return,
                    Some(Impairment::Delay(delay)) => {
                        sleep(delay).await;
                        break;
                    }
                    None => break,
                }
            }
            if to.write_all(&buf[..len]).await.is_err() {
                return;
            }
        }
    }
}

fn set<K: Ord>(map: &Mutex<BTreeMap<K, Impairment>>, key: K, impairment: Option<Impairment>) {
    let mut map = lock(map);
    match impairment {
        Some(impairment) => drop(map.insert(key, impairment)),
        None => drop(map.remove(&key)),
    }
}

/// Locks a mutex and ignores poisoning: each change of the data is one call, so the data is consistent even
/// after a panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
