//! The agent process: delivers packets to the backend server on the same host and sends the server's packets
//! to the callers.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::agent::{Action, Agent, Disposition};
use dogwoodrill_core::forwarded::keepers::FlowLocation;
use dogwoodrill_core::forwarded::mesh::Mesh;
use dogwoodrill_core::forwarded::node::{AgentSockets, NodeAddress, NodeSettings};
use dogwoodrill_core::forwarded::packet::Header;
use dogwoodrill_core::forwarded::report::{Heartbeat, ServerReport};
use dogwoodrill_core::forwarded::server::{ServerStatement, StatementOutcome};
use dogwoodrill_wire::convert::forwarded::Datagram;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use super::Format;
use super::explain::{self, ExplainHandle, Explanation, Questions};
use super::fetch::FetchResult;
use super::journal::{Event, Journal};
use super::link::NodeIo;
use super::metrics::SocketCallCounters;
use super::packets::{Inbox, PacketSocket};
use crate::context::Cx;

/// Interval of the timer that drives the state machine: a third of the time that an unanswered opening packet
/// waits.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which the agent keeps running after the request to stop, because other nodes still send it
/// queries and updates as the keeper of flow locations.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(800);
/// Minimum interval between two announcements of a changed load to all nodes.
const MIN_LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum interval per known node: limits the announcements of load that the agent sends to 500 a second.
const LOAD_REPORT_INTERVAL_PER_NODE: Duration = Duration::from_millis(2);
/// Timeout of a connection to the server's port. The server is on the same host, so no network is involved.
const PORT_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Offered slots of one datagram that are used; bounds the work for a malformed one.
const MAX_IDLE_SLOTS_PER_DATAGRAM: u32 = 16;
/// Messages from the server that may wait in the channel.
const SERVER_MESSAGE_CAPACITY: usize = 16;

/// A message from the backend server, or a result of the check of its port.
#[derive(Debug)]
enum ServerMessage {
    Report(ServerStatement, oneshot::Sender<StatementOutcome>),
    Leave(Box<str>, oneshot::Sender<bool>),
    PortClosed { checked_at: Instant },
}

/// Passes reports and the leave notice of the backend server to the agent's task.
#[derive(Clone, Debug)]
pub struct ServerHandle {
    tx: mpsc::Sender<ServerMessage>,
    server: SocketAddrV4,
}

impl ServerHandle {
    /// The address of the backend server on the agent's host.
    pub const fn server_address(&self) -> SocketAddrV4 {
        self.server
    }

    /// Passes a report of the server to the agent. Returns `None` if the agent has stopped.
    pub async fn report(&self, statement: ServerStatement) -> Option<StatementOutcome> {
        let (reply, outcome) = oneshot::channel();
        self.tx
            .send(ServerMessage::Report(statement, reply))
            .await
            .ok()?;
        outcome.await.ok()
    }

    /// Passes the leave notice of the server `id` to the agent. Returns whether it was the current server, or
    /// `None` if the agent has stopped.
    pub async fn leave(&self, id: &str) -> Option<bool> {
        let (reply, has_left) = oneshot::channel();
        self.tx
            .send(ServerMessage::Leave(id.into(), reply))
            .await
            .ok()?;
        has_left.await.ok()
    }
}

/// An agent with its sockets bound, ready to run.
#[derive(Debug)]
pub struct AgentNode<F> {
    format: F,
    packets: PacketSocket,
    outbound: PacketSocket,
    port: u16,
    server: SocketAddrV4,
    node_io: NodeIo,
    agent: Agent,
    /// Flow locations that are sent to their keepers at the next tick, by the keeper's address.
    pending_keeper_updates: BTreeMap<Ipv4Addr, Vec<FlowLocation>>,
    last_report: Option<ServerReport>,
    next_load_report_at: Instant,
    server_messages: mpsc::Receiver<ServerMessage>,
    handle: ServerHandle,
    explain: ExplainHandle,
    questions: Questions,
    ready: watch::Sender<bool>,
    stop_at: Option<Instant>,
}

impl<F: Format> AgentNode<F> {
    /// Binds the sockets for node messages, for packets from other nodes and for the server's outbound
    /// packets.
    pub fn bind(
        cx: &Cx,
        settings: &NodeSettings,
        sockets: &AgentSockets,
        format: F,
        journal: Journal,
    ) -> io::Result<Self> {
        let now = Instant::now();
        let calls = SocketCallCounters::register(&cx.metrics);
        let node_io = NodeIo::bind(cx, settings, calls.clone(), journal)?;
        let mesh = Mesh::new(node_io.datagrams.own_address());
        let (tx, server_messages) = mpsc::channel(SERVER_MESSAGE_CAPACITY);
        let (explain, questions) = explain::channel();
        let (interval, max_age) = (settings.report_interval, settings.max_flow_age);
        Ok(Self {
            format,
            packets: PacketSocket::bind(sockets.packets, calls.clone())?,
            outbound: PacketSocket::bind(sockets.outbound, calls)?,
            port: sockets.packets.port(),
            server: sockets.server,
            node_io,
            agent: Agent::new(now, mesh, interval, max_age, rand::random()),
            pending_keeper_updates: BTreeMap::new(),
            last_report: None,
            next_load_report_at: now,
            server_messages,
            handle: ServerHandle {
                tx,
                server: sockets.server,
            },
            explain,
            questions,
            ready: watch::Sender::new(false),
            stop_at: None,
        })
    }

    /// Returns a handle for passing the server's reports to the agent.
    pub fn handle(&self) -> ServerHandle {
        self.handle.clone()
    }

    /// Returns a handle for asking where new flows would go.
    pub fn explain(&self) -> ExplainHandle {
        self.explain.clone()
    }

    /// Watches readiness: `true` while the agent has a configuration and was not asked to stop.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Forwards packets until a short time after `token` is cancelled (see `SHUTDOWN_DELAY`). `seeds` are the
    /// addresses of the control hosts that the agent contacts first.
    pub async fn run(
        mut self,
        mut seeds: watch::Receiver<Arc<[NodeAddress]>>,
        token: CancellationToken,
    ) -> io::Result<()> {
        self.add_known_nodes(&seeds.borrow_and_update().clone());
        let mut tick_at = Instant::now();
        let mut inbox = Inbox::default();
        loop {
            tokio::select! {
                biased;
                () = sleep_until(tick_at.into()) => {
                    tick_at = Instant::now() + TICK_INTERVAL;
                    if self.on_tick() {
                        return Ok(());
                    }
                }
                () = token.cancelled(), if self.stop_at.is_none() => self.stop(),
                Some(message) = self.server_messages.recv() => self.on_server_message(message),
                readable = self.node_io.datagrams.readable() => {
                    readable?;
                    self.receive_datagrams(&mut inbox);
                }
                readable = self.outbound.readable() => {
                    readable?;
                    self.receive_server_packets(&mut inbox);
                }
                readable = self.packets.readable() => {
                    readable?;
                    self.receive_caller_packets(&mut inbox);
                }
                Some(fetched) = self.node_io.fetcher.next() => self.on_fetched(fetched),
                Ok(()) = seeds.changed() => self.add_known_nodes(&seeds.borrow_and_update().clone()),
            }
            self.node_io.datagrams.flush();
            self.outbound.flush();
            self.packets.flush();
        }
    }

    fn add_known_nodes(&mut self, seeds: &[NodeAddress]) {
        let mesh = self.agent.mesh_mut();
        mesh.learn_all(Instant::now(), seeds.iter().copied());
    }

    fn stop(&mut self) {
        self.stop_at = Some(Instant::now() + SHUTDOWN_DELAY);
        self.agent.stop();
        self.ready.send_replace(false);
        self.node_io
            .journal
            .write_event(Event::new("stopping").with_detail(&"no new flows"));
    }

    fn on_server_message(&mut self, message: ServerMessage) {
        let now = Instant::now();
        match message {
            ServerMessage::Report(statement, reply) => {
                let subject = format!("{} {}", statement.id, statement.state);
                let (sequence, cold) = (statement.sequence, statement.cold_remaining);
                let outcome = self.agent.on_statement(now, statement);
                if matches!(
                    outcome,
                    StatementOutcome::NewIncarnation | StatementOutcome::Changed
                ) {
                    let uptime = now.saturating_duration_since(self.agent.started_at());
                    let detail = format!(
                        "{outcome}, report {sequence}, cold for {} ms, agent up for {} ms, expected service time {} ms",
                        cold.as_millis(),
                        uptime.as_millis(),
                        self.agent.work_time(now).as_millis()
                    );
                    let event = Event::new("server reported").with_subject(&subject);
                    self.node_io.journal.write_event(event.with_detail(&detail));
                }
                if reply.send(outcome).is_err() {
                    let event = Event::new("report not answered");
                    self.node_io
                        .journal
                        .write_event(event.with_detail(&"the server hung up"));
                }
            }
            ServerMessage::Leave(id, reply) => {
                let has_left = self.agent.on_leave(now, &id);
                let event = Event::new("server leaves").with_subject(&id);
                self.node_io
                    .journal
                    .write_event(event.with_detail(&if has_left {
                        "gone"
                    } else {
                        "not the current one"
                    }));
                if reply.send(has_left).is_err() {
                    let event = Event::new("farewell not answered");
                    self.node_io
                        .journal
                        .write_event(event.with_detail(&"the server hung up"));
                }
            }
            ServerMessage::PortClosed { checked_at } => {
                if self.agent.on_port_closed(now, checked_at) {
                    let event = Event::new("server gone").with_subject(&self.server);
                    self.node_io
                        .journal
                        .write_event(event.with_detail(&"its port is closed"));
                }
            }
        }
        self.run_actions();
        self.announce_report_change(now);
    }

    /// Runs the timers. Returns `true` once the shutdown delay has passed.
    fn on_tick(&mut self) -> bool {
        let now = Instant::now();
        let had_common_start = self.agent.has_common_start();
        self.agent.on_tick(now);
        if self.agent.has_common_start() && !had_common_start {
            let event = Event::new("all began together");
            let detail = "nothing from before is open";
            self.node_io.journal.write_event(event.with_detail(&detail));
        }
        self.run_actions();
        self.announce_report_change(now);
        let report = self.agent.report(now);
        let index = self.agent.map().index;
        let server_presence = self.agent.server_presence(now);
        if self.node_io.datagrams.set_server_presence(server_presence) {
            let event = Event::new("tells of its start").with_detail(&server_presence);
            self.node_io.journal.write_event(event);
            self.agent.mesh_mut().schedule_heartbeats(now, now);
        }
        self.node_io
            .datagrams
            .send_heartbeats(now, self.agent.mesh_mut(), index, report.as_ref());
        self.send_keeper_updates(index.get());
        let ready = self.agent.map().table.is_some() && self.stop_at.is_none();
        self.ready
            .send_if_modified(|was| std::mem::replace(was, ready) != ready);
        self.node_io.log_path_changes(now, self.agent.mesh_mut());
        let decisions = self.agent.take_decisions();
        self.node_io.record_decisions(decisions, self.agent.flows());
        let offers = self.agent.slot_offer_stats();
        self.node_io.metrics.set_queue(self.agent.waiting(), offers);
        self.questions.answer_one(now, |query| {
            self.agent.explain(now, query).map(Explanation::from)
        });
        self.stop_at.is_some_and(|at| at <= now)
    }

    /// Announces a changed server report to all nodes: at once if the server opened, closed, was suspended or
    /// was reinstated, at a limited rate if only its load changed.
    fn announce_report_change(&mut self, now: Instant) {
        let report = self.agent.report(now);
        if report == self.last_report {
            return;
        }
        let is_open = |r: &Option<ServerReport>| r.as_ref().is_some_and(|r| r.is_accepting);
        let is_suspended =
            |r: &Option<ServerReport>| r.as_ref().is_some_and(|r| r.responses.is_suspended);
        let has_opened_or_closed = is_open(&report) != is_open(&self.last_report);
        let has_suspension_changed = is_suspended(&report) != is_suspended(&self.last_report);
        if !has_opened_or_closed && !has_suspension_changed && now < self.next_load_report_at {
            return;
        }
        if has_suspension_changed {
            let event = if is_suspended(&report) {
                "server suspended"
            } else {
                "server trusted again"
            };
            let answers = report.as_ref().map(|r| r.responses).unwrap_or_default();
            let event = Event::new(event)
                .with_subject(&self.server)
                .with_detail(&answers);
            self.node_io
                .journal
                .write_event(event.with_config_index(self.agent.map().index.get()));
        }
        if has_opened_or_closed {
            let event = if is_open(&report) { "open" } else { "closed" };
            let unavailability = self.agent.server().unavailability(now);
            let why = unavailability.map_or_else(String::new, |c| c.to_string());
            let event = Event::new(event)
                .with_subject(&self.server)
                .with_detail(&why);
            self.node_io
                .journal
                .write_event(event.with_config_index(self.agent.map().index.get()));
        }
        self.last_report = report;
        let nodes = u32::try_from(self.agent.mesh().nodes().count()).unwrap_or(u32::MAX);
        self.next_load_report_at =
            now + MIN_LOAD_REPORT_INTERVAL.max(LOAD_REPORT_INTERVAL_PER_NODE.saturating_mul(nodes));
        self.agent.mesh_mut().schedule_heartbeats(now, now);
    }

    fn send_keeper_updates(&mut self, index: u64) {
        let pending_keeper_updates = std::mem::take(&mut self.pending_keeper_updates);
        for (to, locations) in pending_keeper_updates {
            let heartbeat = self.build_heartbeat_for(to, index);
            self.node_io
                .datagrams
                .send_flow_locations(to, &heartbeat, &locations);
        }
    }

    fn build_heartbeat_for(&self, to: Ipv4Addr, index: u64) -> Heartbeat {
        let now = Instant::now();
        let last_seen_age = self.agent.mesh().last_seen_age(now, to);
        self.node_io
            .datagrams
            .build_heartbeat(last_seen_age, index.into(), self.agent.report(now))
    }

    fn run_actions(&mut self) {
        let mut offered_slots = BTreeMap::new();
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
                    self.send_to_caller(*flow.caller.ip(), &reset);
                }
                Action::NotifyBalancer { to, location } => {
                    let heartbeat = self.build_heartbeat_for(to, self.agent.map().index.get());
                    self.node_io
                        .datagrams
                        .send_flow_locations(to, &heartbeat, &[location]);
                }
                Action::NotifyKeeper { to, location } => {
                    self.pending_keeper_updates
                        .entry(to)
                        .or_default()
                        .push(location);
                }
                Action::Deny { to, denial } => {
                    let heartbeat = self.build_heartbeat_for(to, self.agent.map().index.get());
                    let datagram = Datagram {
                        denials: vec![denial],
                        ..Datagram::from(heartbeat)
                    };
                    self.node_io.datagrams.send(to, &datagram);
                }
                Action::OfferSlot { to } => *offered_slots.entry(to).or_insert(0) += 1,
                Action::CheckPort => {
                    let (server, tx) = (self.server, self.handle.tx.clone());
                    let checked_at = Instant::now();
                    tokio::spawn(async move {
                        if is_port_closed(server).await {
                            // Sending fails only when the process is ending.
                            drop(tx.send(ServerMessage::PortClosed { checked_at }).await);
                        }
                    });
                }
            }
        }
        for (to, idle_slots) in offered_slots {
            self.offer_slots(to, idle_slots);
        }
    }

    fn offer_slots(&mut self, to: Ipv4Addr, idle_slots: u32) {
        let heartbeat = self.build_heartbeat_for(to, self.agent.map().index.get());
        let datagram = Datagram {
            idle_slots,
            ..Datagram::from(heartbeat)
        };
        self.node_io.datagrams.send(to, &datagram);
    }

    fn send_to_caller(&mut self, caller: Ipv4Addr, packet: &[u8]) {
        self.packets
            .send(SocketAddrV4::new(caller, self.port), packet);
    }

    fn receive_datagrams(&mut self, inbox: &mut Inbox) {
        for (from, datagram) in self.node_io.datagrams.receive(inbox) {
            let now = Instant::now();
            let own_index = self.agent.map().index;
            let mesh = self.agent.mesh_mut();
            let flow_updates = self
                .node_io
                .on_datagram(now, from, datagram, mesh, own_index);
            self.agent
                .on_flow_locations(now, from, flow_updates.locations);
            self.agent.on_denials(from, flow_updates.denials);
            for _ in 0..flow_updates.idle_slots.min(MAX_IDLE_SLOTS_PER_DATAGRAM) {
                self.agent.on_slot_offer(now, from);
            }
        }
        self.run_actions();
    }

    fn on_fetched(&mut self, fetched: FetchResult) {
        self.node_io
            .on_fetched(fetched, |map| self.agent.on_map(map));
        self.announce_report_change(Instant::now());
    }

    fn receive_caller_packets(&mut self, inbox: &mut Inbox) {
        let received_at = Instant::now();
        self.packets.receive(inbox);
        let received_packets = self.node_io.metrics.packets.with_label_values(&["node"]);
        for (from, packet) in inbox.packets() {
            received_packets.inc();
            match self.format.read(packet) {
                Ok(header) => {
                    let disposition =
                        self.agent
                            .on_caller_packet(Instant::now(), from, &header, packet);
                    self.apply_disposition(disposition, &header, packet);
                }
                Err(_) => self.node_io.metrics.bad_packets.inc(),
            }
        }
        self.run_actions();
        self.node_io.metrics.observe_turn(received_at.elapsed());
    }

    fn receive_server_packets(&mut self, inbox: &mut Inbox) {
        let received_at = Instant::now();
        self.outbound.receive(inbox);
        let received_packets = self.node_io.metrics.packets.with_label_values(&["server"]);
        for (_, packet) in inbox.packets() {
            received_packets.inc();
            match self.format.read(packet) {
                Ok(header) => {
                    let disposition = self.agent.on_server_packet(Instant::now(), &header);
                    self.apply_disposition(disposition, &header, packet);
                }
                Err(_) => self.node_io.metrics.bad_packets.inc(),
            }
        }
        self.run_actions();
        self.node_io.metrics.observe_turn(received_at.elapsed());
    }

    fn apply_disposition(&mut self, disposition: Disposition, header: &Header, packet: &mut [u8]) {
        match disposition {
            Disposition::Deliver => {
                self.outbound.send(self.server, packet);
            }
            Disposition::Return => self.send_to_caller(*header.target.ip(), packet),
            Disposition::Forward { to, trail } => {
                self.format.set_trail(packet, trail);
                self.packets.send(SocketAddrV4::new(to, self.port), packet);
            }
            Disposition::Drop => {}
        }
    }
}

/// Returns whether the host refuses connections to the server's port. A server that is only slow or paused
/// keeps its port open, so connections to it are not refused.
async fn is_port_closed(server: SocketAddrV4) -> bool {
    let connected = timeout(
        PORT_CHECK_TIMEOUT,
        TcpStream::connect(SocketAddr::V4(server)),
    )
    .await;
    matches!(connected, Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused)
}
