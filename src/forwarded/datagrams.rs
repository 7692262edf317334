//! The UDP socket over which nodes exchange heartbeats, flow locations and denials.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::keepers::FlowLocation;
use dogwoodrill_core::forwarded::mesh::Mesh;
use dogwoodrill_core::forwarded::node::{NodeAddress, NodeSettings};
use dogwoodrill_core::forwarded::report::{BootId, Heartbeat, ServerPresence, ServerReport};
use dogwoodrill_core::ids::LogIndex;
use dogwoodrill_wire::convert::ConvertError;
use dogwoodrill_wire::convert::forwarded::Datagram;
use dogwoodrill_wire::proto::forwarded as wire;
use prost::Message;
use snafu::Snafu;

use super::metrics::SocketCallCounters;
use super::packets::{Inbox, PacketSocket};

/// Maximum number of flow locations in one datagram, which keeps it below 1,200 bytes.
pub const MAX_FLOW_LOCATIONS_PER_DATAGRAM: usize = 40;

/// The socket for messages between nodes, with the sender information that goes into each message.
#[derive(Debug)]
pub struct Datagrams {
    socket: PacketSocket,
    port: u16,
    boot: BootId,
    own: NodeAddress,
    server_presence: ServerPresence,
}

/// Why a datagram was ignored.
#[derive(Debug, Snafu)]
enum DecodeError {
    /// The datagram is not a message.
    #[snafu(transparent)]
    Decode {
        /// The error of the decoder.
        source: prost::DecodeError,
    },
    /// A field of the message is missing or invalid.
    #[snafu(transparent)]
    Convert {
        /// The field and what is wrong with it.
        source: ConvertError,
    },
}

fn decode(bytes: &[u8]) -> Result<Datagram, DecodeError> {
    Ok(wire::Datagram::decode(bytes)?.try_into()?)
}

impl Datagrams {
    /// Binds the socket and draws a random boot id, which identifies this run of the process.
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
            server_presence: ServerPresence::default(),
        })
    }

    /// Returns the address and role of this node.
    pub const fn own_address(&self) -> NodeAddress {
        self.own
    }

    /// Sets the server presence that all later messages carry. Returns whether it changed.
    pub fn set_server_presence(&mut self, server_presence: ServerPresence) -> bool {
        std::mem::replace(&mut self.server_presence, server_presence) != server_presence
    }

    /// Waits until datagrams may be available.
    pub async fn readable(&self) -> std::io::Result<()> {
        self.socket.readable().await
    }

    /// Receives a batch of datagrams with their senders. Malformed datagrams are logged and skipped.
    pub fn receive<'a>(
        &self,
        inbox: &'a mut Inbox,
    ) -> impl Iterator<Item = (Ipv4Addr, Datagram)> + use<'a> {
        self.socket.receive(inbox);
        inbox
            .packets()
            .filter_map(|(from, bytes)| match decode(bytes) {
                Ok(datagram) => Some((from, datagram)),
                Err(e) => {
                    log::warn!("ignored a malformed datagram from {from}: {e}");
                    None
                }
            })
    }

    /// Queues a datagram to a node for the next [`Self::flush`]. Lost datagrams are not retransmitted; the
    /// next heartbeat carries the current state.
    pub fn send(&mut self, to: Ipv4Addr, datagram: &Datagram) {
        let bytes = wire::Datagram::from(datagram).encode_to_vec();
        self.socket.send(SocketAddrV4::new(to, self.port), &bytes);
    }

    /// Sends the queued datagrams.
    pub fn flush(&mut self) {
        self.socket.flush();
    }

    /// Builds the heartbeat that every message of this node starts with. `last_seen_age` is the time since
    /// the last message from the receiver.
    pub fn build_heartbeat(
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
            server_presence: self.server_presence,
        }
    }

    /// Queues heartbeats to the nodes for which one is due.
    pub fn send_heartbeats(
        &mut self,
        now: Instant,
        mesh: &mut Mesh,
        index: LogIndex,
        report: Option<&ServerReport>,
    ) {
        for node in mesh.take_due_heartbeats(now) {
            let last_seen_age = mesh.last_seen_age(now, node.ip);
            let heartbeat = self.build_heartbeat(last_seen_age, index, report.cloned());
            let datagram = Datagram {
                node_list_hash: mesh.held_node_list(node.ip),
                ..Datagram::from(heartbeat)
            };
            self.send(node.ip, &datagram);
        }
    }

    /// Queues the locations of flows that are at this node, in as many datagrams as they need.
    pub fn send_flow_locations(
        &mut self,
        to: Ipv4Addr,
        heartbeat: &Heartbeat,
        locations: &[FlowLocation],
    ) {
        for locations in locations.chunks(MAX_FLOW_LOCATIONS_PER_DATAGRAM) {
            let datagram = Datagram {
                flow_locations: locations.to_vec(),
                ..Datagram::from(heartbeat.clone())
            };
            self.send(to, &datagram);
        }
    }
}
