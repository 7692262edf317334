//! The agent process: packets for its backend server in, the server's own packets out.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::agent::{Action, Agent, Disposition};
use dogwoodrill_core::forwarded::keepers::FlowLocation;
use dogwoodrill_core::forwarded::mesh::{Heartbeat, Mesh, NodeAddress, ServerReport};
use dogwoodrill_core::forwarded::node::{AgentSockets, NodeSettings};
use dogwoodrill_core::forwarded::packet::Header;
use dogwoodrill_core::forwarded::server::{ServerStatement, StatementOutcome};
use dogwoodrill_wire::convert::forwarded::Datagram;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use super::Format;
use super::fetch::FetchResult;
use super::journal::{Event, Journal};
use super::link::Link;
use super::metrics::SocketCallCounters;
use super::packets::{Inbox, PacketSocket};
use crate::context::Cx;

/// Time between two looks at timers: a third of what an unanswered opening packet waits.
const TICK: Duration = Duration::from_millis(20);
/// Time to go on after the request to stop, for what others still send here as a keeper.
const LINGER: Duration = Duration::from_millis(800);
/// Shortest time between two reports of a changed load to all nodes.
const LOAD_PACE: Duration = Duration::from_millis(25);
/// Time for each known node that is added to it, so that reports stay within 500 a second.
const LOAD_PACE_PER_NODE: Duration = Duration::from_millis(2);
/// Time for a connection to the server's port; it is on the same host.
const PORT_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Statements of the server that may wait.
const STATEMENTS: usize = 16;

/// What the server says.
#[derive(Debug)]
enum Said {
    Report(ServerStatement, oneshot::Sender<StatementOutcome>),
    Leave(Box<str>, oneshot::Sender<bool>),
    PortClosed { looked_at: Instant },
}

/// Tells the agent what its server says.
#[derive(Clone, Debug)]
pub struct ServerHandle {
    tx: mpsc::Sender<Said>,
    server: SocketAddrV4,
}

impl ServerHandle {
    /// Where the server beside the agent is reached.
    pub const fn server_address(&self) -> SocketAddrV4 {
        self.server
    }

    /// The server reports; none once the agent has ended.
    pub async fn report(&self, statement: ServerStatement) -> Option<StatementOutcome> {
        let (reply, outcome) = oneshot::channel();
        self.tx.send(Said::Report(statement, reply)).await.ok()?;
        outcome.await.ok()
    }

    /// The server goes; none once the agent has ended.
    pub async fn leave(&self, id: &str) -> Option<bool> {
        let (reply, left) = oneshot::channel();
        self.tx.send(Said::Leave(id.into(), reply)).await.ok()?;
        left.await.ok()
    }
}

/// An agent whose sockets are bound.
#[derive(Debug)]
pub struct AgentNode<F> {
    format: F,
    packets: PacketSocket,
    outbound: PacketSocket,
    port: u16,
    server: SocketAddrV4,
    link: Link,
    agent: Agent,
    /// Flows that keepers are told of at the next tick.
    to_keepers: BTreeMap<Ipv4Addr, Vec<FlowLocation>>,
    last_report: Option<ServerReport>,
    report_from: Instant,
    said: mpsc::Receiver<Said>,
    handle: ServerHandle,
    ready: watch::Sender<bool>,
    stop_at: Option<Instant>,
}

impl<F: Format> AgentNode<F> {
    /// Binds the sockets.
    pub fn bind(
        cx: &Cx,
        settings: &NodeSettings,
        sockets: &AgentSockets,
        format: F,
        journal: Journal,
    ) -> io::Result<Self> {
        let now = Instant::now();
        let calls = SocketCallCounters::register(&cx.metrics);
        let link = Link::bind(cx, settings, calls.clone(), journal)?;
        let mesh = Mesh::new(link.datagrams.own());
        let (tx, said) = mpsc::channel(STATEMENTS);
        let (interval, max_age) = (settings.report_interval, settings.max_flow_age);
        Ok(Self {
            format,
            packets: PacketSocket::bind(sockets.packets, calls.clone())?,
            outbound: PacketSocket::bind(sockets.outbound, calls)?,
            port: sockets.packets.port(),
            server: sockets.server,
            link,
            agent: Agent::new(now, mesh, interval, max_age, rand::random()),
            to_keepers: BTreeMap::new(),
            last_report: None,
            report_from: now,
            said,
            handle: ServerHandle {
                tx,
                server: sockets.server,
            },
            ready: watch::Sender::new(false),
            stop_at: None,
        })
    }

    /// For what the server says.
    pub fn handle(&self) -> ServerHandle {
        self.handle.clone()
    }

    /// Whether the agent has a configuration.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Forwards until some time after `token` is cancelled. `seeds` are control hosts to begin with.
    pub async fn run(
        mut self,
        mut seeds: watch::Receiver<Arc<[NodeAddress]>>,
        token: CancellationToken,
    ) -> io::Result<()> {
        self.learn(&seeds.borrow_and_update().clone());
        let mut tick_at = Instant::now();
        let mut inbox = Inbox::default();
        loop {
            tokio::select! {
                biased;
                () = sleep_until(tick_at.into()) => {
                    tick_at = Instant::now() + TICK;
                    if self.on_tick() {
                        return Ok(());
                    }
                }
                () = token.cancelled(), if self.stop_at.is_none() => self.stop(),
                Some(said) = self.said.recv() => self.on_said(said),
                readable = self.link.datagrams.readable() => {
                    readable?;
                    self.take_datagrams(&mut inbox);
                }
                readable = self.outbound.readable() => {
                    readable?;
                    self.take_server_packets(&mut inbox);
                }
                readable = self.packets.readable() => {
                    readable?;
                    self.take_caller_packets(&mut inbox);
                }
                Some(fetched) = self.link.fetcher.next() => self.on_fetched(fetched),
                Ok(()) = seeds.changed() => self.learn(&seeds.borrow_and_update().clone()),
            }
            self.link.datagrams.flush();
            self.outbound.flush();
            self.packets.flush();
        }
    }

    fn learn(&mut self, seeds: &[NodeAddress]) {
        let mesh = self.agent.mesh_mut();
        mesh.learn_all(Instant::now(), seeds.iter().copied());
    }

    fn stop(&mut self) {
        self.stop_at = Some(Instant::now() + LINGER);
        self.agent.stop();
        self.ready.send_replace(false);
        self.link
            .journal
            .write_event(Event::new("stopping").with_detail(&"no new flows"));
    }

    fn on_said(&mut self, said: Said) {
        let now = Instant::now();
        match said {
            Said::Report(statement, reply) => {
                let subject = format!("{} {}", statement.id, statement.state);
                let (sequence, cold) = (statement.sequence, statement.cold_remaining);
                let outcome = self.agent.on_statement(now, statement);
                if matches!(
                    outcome,
                    StatementOutcome::NewIncarnation | StatementOutcome::Changed
                ) {
                    let up = now.saturating_duration_since(self.agent.started_at());
                    let detail = format!(
                        "{outcome}, report {sequence}, cold for {} ms, agent up for {} ms",
                        cold.as_millis(),
                        up.as_millis()
                    );
                    let event = Event::new("server reported").with_subject(&subject);
                    self.link.journal.write_event(event.with_detail(&detail));
                }
                if reply.send(outcome).is_err() {
                    let event = Event::new("report not answered");
                    self.link
                        .journal
                        .write_event(event.with_detail(&"the server hung up"));
                }
            }
            Said::Leave(id, reply) => {
                let left = self.agent.on_leave(now, &id);
                let event = Event::new("server leaves").with_subject(&id);
                self.link.journal.write_event(event.with_detail(&if left {
                    "gone"
                } else {
                    "not the current one"
                }));
                if reply.send(left).is_err() {
                    let event = Event::new("farewell not answered");
                    self.link
                        .journal
                        .write_event(event.with_detail(&"the server hung up"));
                }
            }
            Said::PortClosed { looked_at } => {
                if self.agent.on_port_closed(now, looked_at) {
                    let event = Event::new("server gone").with_subject(&self.server);
                    self.link
                        .journal
                        .write_event(event.with_detail(&"its port is closed"));
                }
            }
        }
        self.act();
        self.tell_of_change(now);
    }

    /// True when it is time to end.
    fn on_tick(&mut self) -> bool {
        let now = Instant::now();
        let had_begun = self.agent.has_common_start();
        self.agent.on_tick(now);
        if self.agent.has_common_start() && !had_begun {
            let event = Event::new("all began together");
            let detail = "nothing from before is open";
            self.link.journal.write_event(event.with_detail(&detail));
        }
        self.act();
        self.tell_of_change(now);
        let report = self.agent.report(now);
        let index = self.agent.map().index;
        let beside = self.agent.server_presence(now);
        if self.link.datagrams.set_server_presence(beside) {
            let event = Event::new("tells of its start").with_detail(&beside);
            self.link.journal.write_event(event);
            self.agent.mesh_mut().schedule_heartbeats(now, now);
        }
        self.link
            .datagrams
            .send_heartbeats(now, self.agent.mesh_mut(), index, report.as_ref());
        self.tell_keepers(index.get());
        let ready = self.agent.map().table.is_some() && self.stop_at.is_none();
        self.ready
            .send_if_modified(|was| std::mem::replace(was, ready) != ready);
        self.link.record_paths(now, self.agent.mesh_mut());
        let decisions = self.agent.take_decisions();
        self.link.record(decisions, self.agent.flows());
        self.stop_at.is_some_and(|at| at <= now)
    }

    /// A server that opens or closes, or is suspended or trusted again, is told of at once, a changed load at a
    /// bounded pace.
    fn tell_of_change(&mut self, now: Instant) {
        let report = self.agent.report(now);
        if report == self.last_report {
            return;
        }
        let is_open = |r: &Option<ServerReport>| r.as_ref().is_some_and(|r| r.is_accepting);
        let is_suspended =
            |r: &Option<ServerReport>| r.as_ref().is_some_and(|r| r.responses.is_suspended);
        let turned = is_open(&report) != is_open(&self.last_report);
        let suspension_turned = is_suspended(&report) != is_suspended(&self.last_report);
        if !turned && !suspension_turned && now < self.report_from {
            return;
        }
        if suspension_turned {
            let event = if is_suspended(&report) {
                "server suspended"
            } else {
                "server trusted again"
            };
            let answers = report.as_ref().map(|r| r.responses).unwrap_or_default();
            let event = Event::new(event)
                .with_subject(&self.server)
                .with_detail(&answers);
            self.link
                .journal
                .write_event(event.with_config_index(self.agent.map().index.get()));
        }
        if turned {
            let event = if is_open(&report) { "open" } else { "closed" };
            let unavailability = self.agent.server().unavailability(now);
            let why = unavailability.map_or_else(String::new, |c| c.to_string());
            let event = Event::new(event)
                .with_subject(&self.server)
                .with_detail(&why);
            self.link
                .journal
                .write_event(event.with_config_index(self.agent.map().index.get()));
        }
        self.last_report = report;
        let nodes = u32::try_from(self.agent.mesh().nodes().count()).unwrap_or(u32::MAX);
        self.report_from = now + LOAD_PACE.max(LOAD_PACE_PER_NODE.saturating_mul(nodes));
        self.agent.mesh_mut().schedule_heartbeats(now, now);
    }

    fn tell_keepers(&mut self, index: u64) {
        let to_keepers = std::mem::take(&mut self.to_keepers);
        for (to, places) in to_keepers {
            let heartbeat = self.heartbeat_to(to, index);
            self.link
                .datagrams
                .send_flow_locations(to, &heartbeat, &places);
        }
    }

    fn heartbeat_to(&self, to: Ipv4Addr, index: u64) -> Heartbeat {
        let now = Instant::now();
        let last_seen_age = self.agent.mesh().last_seen_age(now, to);
        self.link
            .datagrams
            .heartbeat(last_seen_age, index.into(), self.agent.report(now))
    }

    fn act(&mut self) {
        for action in self.agent.take_actions() {
            match action {
                Action::Forward { to, trail, packet } => {
                    let mut packet = packet.to_vec();
                    self.format.set_trail(&mut packet, trail);
                    self.packets.send(SocketAddrV4::new(to, self.port), &packet);
                }
                Action::Deliver(packet) => {
                    self.outbound.send(self.server, &packet);
                }
                Action::Reset { flow, seq } => {
                    let reset = self.format.reset(flow, seq);
                    self.return_to(*flow.caller.ip(), &reset);
                }
                Action::NotifyBalancer { to, place } => {
                    let heartbeat = self.heartbeat_to(to, self.agent.map().index.get());
                    self.link
                        .datagrams
                        .send_flow_locations(to, &heartbeat, &[place]);
                }
                Action::NotifyKeeper { to, place } => {
                    self.to_keepers.entry(to).or_default().push(place);
                }
                Action::Deny { to, denial } => {
                    let heartbeat = self.heartbeat_to(to, self.agent.map().index.get());
                    let datagram = Datagram {
                        denials: vec![denial],
                        ..Datagram::from(heartbeat)
                    };
                    self.link.datagrams.send(to, &datagram);
                }
                Action::CheckPort => {
                    let (server, tx) = (self.server, self.handle.tx.clone());
                    let looked_at = Instant::now();
                    tokio::spawn(async move {
                        if is_port_closed(server).await {
                            // The receiver is gone only when the process ends.
                            drop(tx.send(Said::PortClosed { looked_at }).await);
                        }
                    });
                }
            }
        }
    }

    fn return_to(&mut self, caller: Ipv4Addr, packet: &[u8]) {
        self.packets
            .send(SocketAddrV4::new(caller, self.port), packet);
    }

    fn take_datagrams(&mut self, inbox: &mut Inbox) {
        for (from, datagram) in self.link.datagrams.receive(inbox) {
            let now = Instant::now();
            let own = self.agent.map().index;
            let mesh = self.agent.mesh_mut();
            let news = self.link.on_datagram(now, from, datagram, mesh, own);
            self.agent.on_flow_locations(now, from, news.places);
            self.agent.on_denials(from, news.denials);
        }
        self.act();
    }

    fn on_fetched(&mut self, fetched: FetchResult) {
        self.link.on_fetched(fetched, |map| self.agent.on_map(map));
        self.tell_of_change(Instant::now());
    }

    fn take_caller_packets(&mut self, inbox: &mut Inbox) {
        let began_at = Instant::now();
        self.packets.receive(inbox);
        let taken = self.link.metrics.packets.with_label_values(&["node"]);
        for (from, packet) in inbox.packets() {
            taken.inc();
            match self.format.read(packet) {
                Ok(header) => {
                    let fate = self
                        .agent
                        .on_caller_packet(Instant::now(), from, &header, packet);
                    self.carry_out(fate, &header, packet);
                }
                Err(_) => self.link.metrics.bad_packets.inc(),
            }
        }
        self.act();
        self.link.metrics.observe_turn(began_at.elapsed());
    }

    fn take_server_packets(&mut self, inbox: &mut Inbox) {
        let began_at = Instant::now();
        self.outbound.receive(inbox);
        let taken = self.link.metrics.packets.with_label_values(&["server"]);
        for (_, packet) in inbox.packets() {
            taken.inc();
            match self.format.read(packet) {
                Ok(header) => {
                    let fate = self.agent.on_server_packet(Instant::now(), &header);
                    self.carry_out(fate, &header, packet);
                }
                Err(_) => self.link.metrics.bad_packets.inc(),
            }
        }
        self.act();
        self.link.metrics.observe_turn(began_at.elapsed());
    }

    fn carry_out(&mut self, fate: Disposition, header: &Header, packet: &mut [u8]) {
        match fate {
            Disposition::Deliver => {
                self.outbound.send(self.server, packet);
            }
            Disposition::Return => self.return_to(*header.target.ip(), packet),
            Disposition::Forward { to, trail } => {
                self.format.set_trail(packet, trail);
                self.packets.send(SocketAddrV4::new(to, self.port), packet);
            }
            Disposition::Drop => {}
        }
    }
}

/// Whether the host refuses connections to the server's port. A server that is only slow or frozen
/// does not refuse.
async fn is_port_closed(server: SocketAddrV4) -> bool {
    let connected = timeout(
        PORT_CHECK_TIMEOUT,
        TcpStream::connect(SocketAddr::V4(server)),
    )
    .await;
    matches!(connected, Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused)
}
