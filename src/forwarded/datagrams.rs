//! The socket over which nodes tell each other what they know.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::keepers::FlowLocation;
use dogwoodrill_core::forwarded::mesh::{
    BootId, Heartbeat, Mesh, NodeAddress, ServerPresence, ServerReport,
};
use dogwoodrill_core::forwarded::node::NodeSettings;
use dogwoodrill_core::ids::LogIndex;
use dogwoodrill_wire::convert::ConvertError;
use dogwoodrill_wire::convert::forwarded::Datagram;
use dogwoodrill_wire::proto::forwarded as wire;
use prost::Message;
use snafu::Snafu;

use super::metrics::SocketCallCounters;
use super::packets::{Inbox, PacketSocket};

/// Flows in one datagram, which then stays below 1,200 bytes.
pub const MAX_FLOW_LOCATIONS_PER_DATAGRAM: usize = 40;

/// The socket, and who speaks through it.
#[derive(Debug)]
pub struct Datagrams {
    socket: PacketSocket,
    port: u16,
    boot: BootId,
    own: NodeAddress,
    beside: ServerPresence,
}

/// Why a datagram was left out.
#[derive(Debug, Snafu)]
enum Unreadable {
    /// It is no message.
    #[snafu(transparent)]
    Decode {
        /// What the decoder said.
        source: prost::DecodeError,
    },
    /// The message makes no sense.
    #[snafu(transparent)]
    Convert {
        /// Why.
        source: ConvertError,
    },
}

fn read(bytes: &[u8]) -> Result<Datagram, Unreadable> {
    Ok(wire::Datagram::decode(bytes)?.try_into()?)
}

impl Datagrams {
    /// Binds the socket of a node in a new life.
    pub fn bind(settings: &NodeSettings, calls: SocketCallCounters) -> std::io::Result<Self> {
        let address = SocketAddrV4::new(settings.bind_ip, settings.inner_port);
        Ok(Self {
            socket: PacketSocket::bind(address, calls)?,
            port: settings.inner_port,
            boot: BootId::new(rand::random_range(1..=u64::MAX)),
            own: NodeAddress {
                ip: settings.ip,
                role: settings.role.role(),
            },
            beside: ServerPresence::default(),
        })
    }

    /// The node itself.
    pub const fn own(&self) -> NodeAddress {
        self.own
    }

    /// Says that from now on with every message; true if it is news.
    pub fn set_server_presence(&mut self, beside: ServerPresence) -> bool {
        std::mem::replace(&mut self.beside, beside) != beside
    }

    /// Waits until something may have come.
    pub async fn readable(&self) -> std::io::Result<()> {
        self.socket.readable().await
    }

    /// Takes datagrams that have come.
    pub fn receive<'a>(
        &self,
        inbox: &'a mut Inbox,
    ) -> impl Iterator<Item = (Ipv4Addr, Datagram)> + use<'a> {
        self.socket.receive(inbox);
        inbox
            .packets()
            .filter_map(|(from, bytes)| match read(bytes) {
                Ok(datagram) => Some((from, datagram)),
                Err(e) => {
                    log::warn!("a datagram of {from} was left out: {e}");
                    None
                }
            })
    }

    /// Sends to a node with the next [`Self::flush`]; what does not arrive is said again by the next
    /// greeting.
    pub fn send(&mut self, to: Ipv4Addr, datagram: &Datagram) {
        let bytes = wire::Datagram::from(datagram).encode_to_vec();
        self.socket.send(SocketAddrV4::new(to, self.port), &bytes);
    }

    /// Sends what has been collected.
    pub fn flush(&mut self) {
        self.socket.flush();
    }

    /// What the node says of itself with every message to `to`.
    pub fn heartbeat(
        &self,
        last_seen_age: Option<Duration>,
        index: LogIndex,
        report: Option<ServerReport>,
    ) -> Heartbeat {
        Heartbeat {
            boot: self.boot,
            role: self.own.role,
            index,
            last_seen_age,
            report,
            server_presence: self.beside,
        }
    }

    /// Greets the nodes that are due.
    pub fn send_heartbeats(
        &mut self,
        now: Instant,
        mesh: &mut Mesh,
        index: LogIndex,
        report: Option<&ServerReport>,
    ) {
        for node in mesh.take_due_heartbeats(now) {
            let last_seen_age = mesh.last_seen_age(now, node.ip);
            let heartbeat = self.heartbeat(last_seen_age, index, report.cloned());
            self.send(node.ip, &heartbeat.into());
        }
    }

    /// Tells a node which flows are here.
    pub fn send_flow_locations(
        &mut self,
        to: Ipv4Addr,
        heartbeat: &Heartbeat,
        places: &[FlowLocation],
    ) {
        for places in places.chunks(MAX_FLOW_LOCATIONS_PER_DATAGRAM) {
            let datagram = Datagram {
                flow_locations: places.to_vec(),
                ..Datagram::from(heartbeat.clone())
            };
            self.send(to, &datagram);
        }
    }
}
