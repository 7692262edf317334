//! The balancer process: forwards the packets of callers to agents.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::balancer::{Balancer, Disposition};
use dogwoodrill_core::forwarded::mesh::Mesh;
use dogwoodrill_core::forwarded::node::{BalancerSockets, NodeAddress, NodeSettings};
use dogwoodrill_core::forwarded::packet::Header;
use tokio::sync::watch;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use super::Format;
use super::explain::{self, ExplainHandle, Explanation, Questions};
use super::fetch::FetchResult;
use super::journal::{Event, Journal};
use super::link::NodeIo;
use super::metrics::SocketCallCounters;
use super::packets::{Inbox, PacketSocket};
use crate::context::Cx;

/// Interval of the timer that sends due heartbeats, expires caches and flushes the journal.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which the balancer keeps forwarding after the request to stop. The fabric removes a balancer
/// after two failed health checks, which are at most a second apart, and only then sends callers' packets
/// elsewhere.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(2500);
/// Longest time after the start for which the balancer waits for the heartbeats of all agents before it
/// becomes ready. Running agents have sent it a heartbeat by then.
const READY_DELAY: Duration = Duration::from_millis(700);

/// A balancer with its sockets bound, ready to run.
#[derive(Debug)]
pub struct BalancerNode<F> {
    format: F,
    packets: PacketSocket,
    port: u16,
    node_io: NodeIo,
    balancer: Balancer,
    explain: ExplainHandle,
    questions: Questions,
    ready: watch::Sender<bool>,
    ready_from: Instant,
    shutdown_delay: Duration,
    stop_at: Option<Instant>,
}

impl<F: Format> BalancerNode<F> {
    /// Binds the sockets for node messages and for packets.
    pub fn bind(
        cx: &Cx,
        settings: &NodeSettings,
        sockets: BalancerSockets,
        format: F,
        journal: Journal,
    ) -> std::io::Result<Self> {
        let now = Instant::now();
        let calls = SocketCallCounters::register(&cx.metrics);
        let node_io = NodeIo::bind(cx, settings, calls.clone(), journal)?;
        let (explain, questions) = explain::channel();
        let mesh = Mesh::new(node_io.datagrams.own_address());
        Ok(Self {
            format,
            packets: PacketSocket::bind(sockets.packets, calls)?,
            port: sockets.packets.port(),
            node_io,
            balancer: Balancer::new(now, mesh, settings.zone.clone(), rand::random()),
            explain,
            questions,
            ready: watch::Sender::new(false),
            ready_from: now + READY_DELAY,
            shutdown_delay: SHUTDOWN_DELAY.min(settings.stop_grace / 2),
            stop_at: None,
        })
    }

    /// Returns a handle for asking where new flows would go.
    pub fn explain(&self) -> ExplainHandle {
        self.explain.clone()
    }

    /// Watches readiness: whether the fabric may send packets to this balancer.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Forwards packets until a short time after `token` is cancelled (see `SHUTDOWN_DELAY`). `seeds` are the
    /// addresses of the control hosts that the balancer contacts first.
    pub async fn run(
        mut self,
        mut seeds: watch::Receiver<Arc<[NodeAddress]>>,
        token: CancellationToken,
    ) -> std::io::Result<()> {
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
                readable = self.node_io.datagrams.readable() => {
                    readable?;
                    self.receive_datagrams(&mut inbox);
                }
                readable = self.packets.readable() => {
                    readable?;
                    self.receive_packets(&mut inbox);
                }
                Some(result) = self.node_io.fetcher.next() => self.on_fetched(result),
                Ok(()) = seeds.changed() => self.add_known_nodes(&seeds.borrow_and_update().clone()),
            }
            self.node_io.datagrams.flush();
            self.packets.flush();
        }
    }

    fn add_known_nodes(&mut self, seeds: &[NodeAddress]) {
        let mesh = self.balancer.mesh_mut();
        mesh.learn_all(Instant::now(), seeds.iter().copied());
    }

    fn stop(&mut self) {
        self.stop_at = Some(Instant::now() + self.shutdown_delay);
        self.ready.send_replace(false);
        let event = Event::new("stopping").with_detail(&"not ready, packets go on to be forwarded");
        self.node_io.journal.write_event(event);
    }

    /// Runs the timers. Returns `true` once the shutdown delay has passed.
    fn on_tick(&mut self) -> bool {
        let now = Instant::now();
        self.balancer.on_tick(now);
        let index = self.balancer.map().index;
        self.node_io
            .datagrams
            .send_heartbeats(now, self.balancer.mesh_mut(), index, None);
        let can_become_ready = now >= self.ready_from || self.balancer.has_seen_all_agents();
        let ready = self.balancer.is_ready(now) && can_become_ready && self.stop_at.is_none();
        if self
            .ready
            .send_if_modified(|was| std::mem::replace(was, ready) != ready)
        {
            let event = if ready { "ready" } else { "not ready" };
            self.node_io
                .journal
                .write_event(Event::new(event).with_config_index(index.get()));
        }
        self.node_io.log_path_changes(now, self.balancer.mesh_mut());
        let decisions = self.balancer.take_decisions();
        self.node_io
            .record_decisions(decisions, self.balancer.cached());
        self.questions.answer_one(now, |query| {
            self.balancer.explain(now, query).map(Explanation::from)
        });
        self.stop_at.is_some_and(|at| at <= now)
    }

    fn receive_datagrams(&mut self, inbox: &mut Inbox) {
        for (from, datagram) in self.node_io.datagrams.receive(inbox) {
            let now = Instant::now();
            let own_index = self.balancer.map().index;
            let mesh = self.balancer.mesh_mut();
            let flow_updates = self
                .node_io
                .on_datagram(now, from, datagram, mesh, own_index);
            self.balancer
                .on_flow_locations(from, flow_updates.locations);
        }
    }

    fn on_fetched(&mut self, result: FetchResult) {
        self.node_io
            .on_fetched(result, |map| self.balancer.on_map(map));
    }

    fn receive_packets(&mut self, inbox: &mut Inbox) {
        let received_at = Instant::now();
        self.packets.receive(inbox);
        let received_packets = self.node_io.metrics.packets.with_label_values(&["caller"]);
        for (_, packet) in inbox.packets() {
            match self.format.read(packet) {
                Ok(header) => {
                    received_packets.inc();
                    self.on_packet(&header, packet);
                }
                Err(_) => self.node_io.metrics.bad_packets.inc(),
            }
        }
        self.node_io.metrics.observe_turn(received_at.elapsed());
    }

    fn on_packet(&mut self, header: &Header, packet: &mut [u8]) {
        match self.balancer.on_packet(Instant::now(), header) {
            Disposition::Forward { to, trail } => {
                self.format.set_trail(packet, trail);
                self.packets.send(SocketAddrV4::new(to, self.port), packet);
            }
            Disposition::Reset => {
                let flow = header.caller_flow();
                let reset = self.format.reset(flow, 0);
                let caller = SocketAddrV4::new(*flow.caller.ip(), self.port);
                self.packets.send(caller, &reset);
            }
            Disposition::Drop => {}
        }
    }
}
