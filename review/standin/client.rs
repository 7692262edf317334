//! A client: opens flows through a balancer and sends requests in them.

use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

use crate::packet::{ACK, Packet, RST, SYN};
use crate::record::Record;

/// Times after the first opening packet at which the client sends copies of it.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPENING_TIMEOUT: Duration = Duration::from_millis(1400);
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const LONGEST_RETRANSMISSION: Duration = Duration::from_millis(1600);

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    Answered(String),
    /// A reset that the flow's server did not send: its sum is 0.
    SystemReset,
    /// A reset of the server.
    ServerReset,
    Silence,
}

pub struct Client {
    socket: UdpSocket,
    ip: Ipv4Addr,
    router: SocketAddrV4,
    record: Record,
}

/// An open flow.
pub struct Flow {
    pub client: SocketAddrV4,
    route: SocketAddrV4,
    seq: u32,
    ack: u32,
}

impl Client {
    /// Binds the client's address at the port of `datagram_addr`. `router` is the balancer that the routers choose.
    pub fn new(ip: Ipv4Addr, router: SocketAddrV4, record: &Record) -> Result<Self, String> {
        let socket = UdpSocket::bind((ip, router.port())).map_err(|e| e.to_string())?;
        socket
            .set_read_timeout(Some(Duration::from_millis(5)))
            .map_err(|e| e.to_string())?;
        Ok(Self {
            socket,
            ip,
            router,
            record: record.clone(),
        })
    }

    fn send(&self, packet: &Packet) {
        drop(self.socket.send_to(&packet.encode(), self.router));
    }

    fn receive(&self, client: SocketAddrV4) -> Option<(Packet, bool)> {
        let mut buf = [0; 2048];
        let len = self.socket.recv(&mut buf).ok()?;
        let (packet, is_whole) = Packet::decode(&buf[..len])?;
        (packet.target == client).then_some((packet, is_whole))
    }

    /// Opens a flow from `port`; returns `None` after a reset or without an answer.
    pub fn open(&self, port: u16, route: SocketAddrV4) -> Option<Flow> {
        let client = SocketAddrV4::new(self.ip, port);
        let seq = 1000 + u32::from(port);
        let began_at = Instant::now();
        let mut copies = 0_u32;
        let syn = |ack| Packet {
            source: client,
            target: route,
            flags: SYN,
            seq,
            ack,
            data: Vec::new(),
        };
        self.send(&syn(0));
        while began_at.elapsed() < OPENING_TIMEOUT {
            if COPIES
                .get(copies as usize)
                .is_some_and(|at| began_at.elapsed() >= *at)
            {
                copies += 1;
                self.send(&syn(copies));
            }
            let Some((packet, _)) = self.receive(client) else {
                continue;
            };
            if packet.has(RST) {
                self.record
                    .line(&format!("client {client}: reset while opening"));
                return None;
            }
            if packet.has(SYN | ACK) && packet.ack == seq.wrapping_add(1) {
                let flow = Flow {
                    client,
                    route,
                    seq: packet.ack,
                    ack: packet.seq.wrapping_add(1),
                };
                self.send(&Packet {
                    source: client,
                    target: route,
                    flags: ACK,
                    seq: flow.seq,
                    ack: flow.ack,
                    data: Vec::new(),
                });
                self.record.line(&format!("client {client}: flow is open"));
                return Some(flow);
            }
        }
        self.record
            .line(&format!("client {client}: no answer while opening"));
        None
    }

    /// Sends a request in the flow and waits for the response, for `limit` at most.
    pub fn request(&self, flow: &mut Flow, request: &str, limit: Duration) -> End {
        let packet = Packet {
            source: flow.client,
            target: flow.route,
            flags: ACK,
            seq: flow.seq,
            ack: flow.ack,
            data: request.as_bytes().to_vec(),
        };
        self.record
            .line(&format!("client {}: sends {request}", flow.client));
        self.send(&packet);
        let began_at = Instant::now();
        let mut interval = FIRST_RETRANSMISSION;
        let mut next_at = began_at + interval;
        let end = loop {
            if began_at.elapsed() >= limit {
                break End::Silence;
            }
            if Instant::now() >= next_at {
                self.send(&packet);
                interval = (interval * 2).min(LONGEST_RETRANSMISSION);
                next_at += interval;
            }
            let Some((answer, is_whole)) = self.receive(flow.client) else {
                continue;
            };
            if answer.has(RST) {
                break if is_whole {
                    End::ServerReset
                } else {
                    End::SystemReset
                };
            }
            if !is_whole {
                self.record.line(&format!(
                    "client {}: MIXED a packet that its sender did not write so",
                    flow.client
                ));
            }
            if !answer.data.is_empty() && answer.seq == flow.ack {
                flow.seq = packet.end();
                flow.ack = answer.end();
                self.send(&Packet {
                    source: flow.client,
                    target: flow.route,
                    flags: ACK,
                    seq: flow.seq,
                    ack: flow.ack,
                    data: Vec::new(),
                });
                break End::Answered(String::from_utf8_lossy(&answer.data).into_owned());
            }
        };
        self.record.line(&format!(
            "client {}: {request} ends after {} ms: {end:?}",
            flow.client,
            began_at.elapsed().as_millis()
        ));
        end
    }
}
