//! The way between processes: addresses, and a proxy that spoils what passes.
//!
//! Host `n` binds its own address and is known to the others under its public one, where the proxy
//! listens. A datagram leaves the proxy from the public address of its sender, so the receiver sees
//! whom it is from.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Control hosts are the first, then balancers, then agents with their servers.
pub const CONTROLS: u8 = 3;
/// Balancers.
pub const BALANCERS: u8 = 3;
/// Agents, each with a server.
pub const AGENTS: u8 = 6;
const HOSTS: u8 = CONTROLS + BALANCERS + AGENTS;
/// Bytes of the largest datagram.
const BUFFER_BYTES: usize = 2048;
/// Pause of a silent connection before it looks whether it may go on.
const SILENT_PAUSE: Duration = Duration::from_millis(20);

/// Ports that are tried; one that is free for UDP may be taken for TCP.
const PORT_TRIES: u32 = 20;

/// A host by its number, from 1.
pub type Host = u8;

/// Addresses and ports of a run; ports are the same on all hosts.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    lane: u8,
    /// Between nodes, UDP and TCP.
    pub inner: u16,
    /// Packets of flows.
    pub packets: u16,
    /// The health check of balancers.
    pub ready: u16,
    /// Operators' calls.
    pub control: u16,
    /// Servers' reports.
    pub reports: u16,
    /// Packets that a server sends.
    pub outbound: u16,
    /// Packets that a server gets.
    pub server: u16,
}

/// A port that is free on all addresses, for both protocols.
pub fn free_port() -> io::Result<u16> {
    let mut last = Err(io::ErrorKind::AddrInUse.into());
    for _ in 0..PORT_TRIES {
        last = try_port();
        if last.is_ok() {
            break;
        }
    }
    last
}

fn try_port() -> io::Result<u16> {
    let socket = std::net::UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
    let port = socket.local_addr()?.port();
    let _listener = std::net::TcpListener::bind((Ipv4Addr::UNSPECIFIED, port))?;
    Ok(port)
}

impl Layout {
    /// Finds ports that are free on all addresses.
    pub fn new(lane: u8) -> io::Result<Self> {
        Ok(Self {
            lane,
            inner: free_port()?,
            packets: free_port()?,
            ready: free_port()?,
            control: free_port()?,
            reports: free_port()?,
            outbound: free_port()?,
            server: free_port()?,
        })
    }

    /// What the host binds.
    pub const fn own(self, host: Host) -> Ipv4Addr {
        Ipv4Addr::new(127, 81, self.lane, host)
    }

    /// Where the other hosts reach it.
    pub const fn public(self, host: Host) -> Ipv4Addr {
        Ipv4Addr::new(127, 82, self.lane, host)
    }

    /// A caller's address.
    pub const fn caller(self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 83, self.lane, n)
    }

    fn host_of(self, ip: Ipv4Addr) -> Option<Host> {
        (1..=HOSTS).find(|host| self.own(*host) == ip)
    }

    /// The availability zone of a host.
    pub const fn zone(self, host: Host) -> &'static str {
        ["north", "middle", "south"][(host % 3) as usize]
    }
}

/// Control hosts.
pub fn controls() -> std::ops::RangeInclusive<Host> {
    1..=CONTROLS
}

/// Balancers.
pub fn balancers() -> std::ops::RangeInclusive<Host> {
    CONTROLS + 1..=CONTROLS + BALANCERS
}

/// Agents.
pub fn agents() -> std::ops::RangeInclusive<Host> {
    CONTROLS + BALANCERS + 1..=HOSTS
}

/// What happens to what passes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Spoil {
    /// Nothing arrives; connections stay open.
    Silence,
    /// Everything arrives later.
    Delay(Duration),
    /// Connections are broken off.
    Reset,
}

/// The proxy.
#[derive(Debug)]
pub struct Network {
    layout: Layout,
    /// Datagrams, by sender and receiver.
    ways: Mutex<BTreeMap<(Host, Host), Spoil>>,
    /// Connections, by the host that they lead to.
    connections: Mutex<BTreeMap<Host, Spoil>>,
    stop: CancellationToken,
}

impl Network {
    /// Binds all public addresses.
    pub async fn start(layout: Layout) -> io::Result<Arc<Self>> {
        let network = Arc::new(Self {
            layout,
            ways: Mutex::default(),
            connections: Mutex::default(),
            stop: CancellationToken::new(),
        });
        for port in [layout.inner, layout.packets] {
            let mut sockets = Vec::new();
            for host in 1..=HOSTS {
                let address = (layout.public(host), port);
                sockets.push(UdpSocket::bind(address).await?);
            }
            let sockets: Arc<[UdpSocket]> = sockets.into();
            for host in 1..=HOSTS {
                let this = Arc::clone(&network);
                tokio::spawn(this.pass_datagrams(Arc::clone(&sockets), host, port));
            }
        }
        for host in controls() {
            let listener = TcpListener::bind((layout.public(host), layout.inner)).await?;
            tokio::spawn(Arc::clone(&network).pass_connections(listener, host));
        }
        Ok(network)
    }

    /// Stops passing anything.
    pub fn end(&self) {
        self.stop.cancel();
    }

    /// Spoils datagrams from one host to another.
    pub fn spoil_way(&self, from: Host, to: Host, spoil: Option<Spoil>) {
        set(&self.ways, (from, to), spoil);
    }

    /// Spoils connections to a host.
    pub fn spoil_connections(&self, to: Host, spoil: Option<Spoil>) {
        set(&self.connections, to, spoil);
    }

    /// Spoils nothing any more.
    pub fn heal(&self) {
        lock(&self.ways).clear();
        lock(&self.connections).clear();
    }

    async fn pass_datagrams(self: Arc<Self>, sockets: Arc<[UdpSocket]>, host: Host, port: u16) {
        let mut buf = [0; BUFFER_BYTES];
        let to = SocketAddrV4::new(self.layout.own(host), port);
        loop {
            let socket = &sockets[usize::from(host) - 1];
            let received = tokio::select! {
                () = self.stop.cancelled() => return,
                received = socket.recv_from(&mut buf) => received,
            };
            // A failed receive tells of a datagram sent before, whose receiver was down.
            let Ok((len, SocketAddr::V4(from))) = received else {
                continue;
            };
            let Some(from) = self.layout.host_of(*from.ip()) else {
                continue;
            };
            let spoil = lock(&self.ways).get(&(from, host)).copied();
            let out = usize::from(from) - 1;
            match spoil {
                Some(Spoil::Silence | Spoil::Reset) => {}
                Some(Spoil::Delay(delay)) => {
                    let (sockets, datagram) = (Arc::clone(&sockets), buf[..len].to_vec());
                    tokio::spawn(async move {
                        sleep(delay).await;
                        // Its receiver may be down.
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
        let to = (self.layout.own(host), self.layout.inner);
        // A host that is down refuses; its caller sees the connection end.
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
                let spoil = lock(&self.connections).get(&host).copied();
                match spoil {
                    Some(Spoil::Silence) => sleep(SILENT_PAUSE).await,
                    Some(Spoil::Reset) => return,
                    Some(Spoil::Delay(delay)) => {
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

fn set<K: Ord>(map: &Mutex<BTreeMap<K, Spoil>>, key: K, spoil: Option<Spoil>) {
    let mut map = lock(map);
    match spoil {
        Some(spoil) => drop(map.insert(key, spoil)),
        None => drop(map.remove(&key)),
    }
}

/// What a task that panicked left behind is whole: each change is one call.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
