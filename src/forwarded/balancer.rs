//! The balancer process: packets of callers in, packets to agents out.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::balancer::{Balancer, Disposition};
use dogwoodrill_core::forwarded::mesh::{Mesh, NodeAddress};
use dogwoodrill_core::forwarded::node::{BalancerSockets, NodeSettings};
use dogwoodrill_core::forwarded::packet::Header;
use tokio::sync::watch;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use super::Format;
use super::fetch::FetchResult;
use super::journal::{Event, Journal};
use super::link::Link;
use super::metrics::SocketCallCounters;
use super::packets::{Inbox, PacketSocket};
use crate::context::Cx;

/// Time between two looks at greetings, caches and the log.
const TICK: Duration = Duration::from_millis(50);
/// Time to go on after the request to stop: the fabric takes out a balancer that fails two checks, a
/// second apart at most, and callers' packets follow.
const LINGER: Duration = Duration::from_millis(2500);
/// Time after the start in which the balancer waits for the greetings of all agents before it says
/// that it is ready; those that are there have greeted it by then.
const SETTLE: Duration = Duration::from_millis(700);

/// A balancer whose sockets are bound.
#[derive(Debug)]
pub struct BalancerNode<F> {
    format: F,
    packets: PacketSocket,
    port: u16,
    link: Link,
    balancer: Balancer,
    ready: watch::Sender<bool>,
    ready_from: Instant,
    linger: Duration,
    stop_at: Option<Instant>,
}

impl<F: Format> BalancerNode<F> {
    /// Binds the sockets.
    pub fn bind(
        cx: &Cx,
        settings: &NodeSettings,
        sockets: BalancerSockets,
        format: F,
        journal: Journal,
    ) -> std::io::Result<Self> {
        let now = Instant::now();
        let calls = SocketCallCounters::register(&cx.metrics);
        let link = Link::bind(cx, settings, calls.clone(), journal)?;
        let mesh = Mesh::new(link.datagrams.own());
        Ok(Self {
            format,
            packets: PacketSocket::bind(sockets.packets, calls)?,
            port: sockets.packets.port(),
            link,
            balancer: Balancer::new(now, mesh, settings.zone.clone(), rand::random()),
            ready: watch::Sender::new(false),
            ready_from: now + SETTLE,
            linger: LINGER.min(settings.stop_grace / 2),
            stop_at: None,
        })
    }

    /// Whether the fabric may send packets here.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Forwards until some time after `token` is cancelled. `seeds` are control hosts to begin with.
    pub async fn run(
        mut self,
        mut seeds: watch::Receiver<Arc<[NodeAddress]>>,
        token: CancellationToken,
    ) -> std::io::Result<()> {
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
                readable = self.link.datagrams.readable() => {
                    readable?;
                    self.take_datagrams(&mut inbox);
                }
                readable = self.packets.readable() => {
                    readable?;
                    self.take_packets(&mut inbox);
                }
                Some(fetched) = self.link.fetcher.next() => self.on_fetched(fetched),
                Ok(()) = seeds.changed() => self.learn(&seeds.borrow_and_update().clone()),
            }
            self.link.datagrams.flush();
            self.packets.flush();
        }
    }

    fn learn(&mut self, seeds: &[NodeAddress]) {
        let mesh = self.balancer.mesh_mut();
        mesh.learn_all(Instant::now(), seeds.iter().copied());
    }

    fn stop(&mut self) {
        self.stop_at = Some(Instant::now() + self.linger);
        self.ready.send_replace(false);
        let event = Event::new("stopping").with_detail(&"not ready, packets go on to be forwarded");
        self.link.journal.write_event(event);
    }

    /// True when it is time to end.
    fn on_tick(&mut self) -> bool {
        let now = Instant::now();
        self.balancer.on_tick(now);
        let index = self.balancer.map().index;
        self.link
            .datagrams
            .send_heartbeats(now, self.balancer.mesh_mut(), index, None);
        let settled = now >= self.ready_from || self.balancer.has_seen_all_agents();
        let ready = self.balancer.is_ready(now) && settled && self.stop_at.is_none();
        if self
            .ready
            .send_if_modified(|was| std::mem::replace(was, ready) != ready)
        {
            let event = if ready { "ready" } else { "not ready" };
            self.link
                .journal
                .write_event(Event::new(event).with_config_index(index.get()));
        }
        self.link.record_paths(now, self.balancer.mesh_mut());
        let decisions = self.balancer.take_decisions();
        self.link.record(decisions, self.balancer.cached());
        self.stop_at.is_some_and(|at| at <= now)
    }

    fn take_datagrams(&mut self, inbox: &mut Inbox) {
        for (from, datagram) in self.link.datagrams.receive(inbox) {
            let now = Instant::now();
            let own = self.balancer.map().index;
            let mesh = self.balancer.mesh_mut();
            let news = self.link.on_datagram(now, from, datagram, mesh, own);
            self.balancer.on_flow_locations(from, news.places);
        }
    }

    fn on_fetched(&mut self, fetched: FetchResult) {
        self.link
            .on_fetched(fetched, |map| self.balancer.on_map(map));
    }

    fn take_packets(&mut self, inbox: &mut Inbox) {
        let began_at = Instant::now();
        self.packets.receive(inbox);
        let taken = self.link.metrics.packets.with_label_values(&["caller"]);
        for (_, packet) in inbox.packets() {
            match self.format.read(packet) {
                Ok(header) => {
                    taken.inc();
                    self.on_packet(&header, packet);
                }
                Err(_) => self.link.metrics.bad_packets.inc(),
            }
        }
        self.link.metrics.observe_turn(began_at.elapsed());
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
