//! Answers the heartbeats of nodes, and tells them of new configurations.

use std::io;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill_core::forwarded::mesh::Mesh;
use dogwoodrill_core::forwarded::node::{NodeAddress, NodeRole};
use dogwoodrill_core::forwarded::node_list::NodeListHash;
use dogwoodrill_core::forwarded::report::Heartbeat;
use dogwoodrill_wire::convert::forwarded::Datagram;
use tokio::sync::watch;
use tokio::time::sleep_until;

use super::service_maps::ServiceMapStore;
use crate::cluster::Cluster;
use crate::forwarded::datagrams::Datagrams;
use crate::forwarded::journal::{Event, Journal};
use crate::forwarded::packets::Inbox;

/// Interval of the timer that expires nodes and flushes the journal.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Answers the heartbeats of nodes with the list of known nodes, and announces new configurations to all
/// nodes.
#[derive(Debug)]
pub(super) struct NodeNotifier {
    pub(super) mesh: Mesh,
    pub(super) datagrams: Datagrams,
    pub(super) maps: ServiceMapStore,
    pub(super) cluster: Arc<Cluster>,
    pub(super) journal: Journal,
    pub(super) members: watch::Receiver<Arc<[NodeAddress]>>,
}

impl NodeNotifier {
    pub(super) async fn run(
        mut self,
        mut seeds: watch::Receiver<Arc<[NodeAddress]>>,
    ) -> io::Result<()> {
        let mut changes = self.cluster.config_changes();
        self.add_known_nodes(&seeds.borrow_and_update().clone());
        self.on_config();
        let mut tick_at = Instant::now();
        let mut inbox = Inbox::default();
        loop {
            tokio::select! {
                () = sleep_until(tick_at.into()) => {
                    tick_at = Instant::now() + TICK_INTERVAL;
                    self.mesh.on_tick(Instant::now());
                    self.journal.flush();
                }
                readable = self.datagrams.readable() => {
                    readable?;
                    self.receive_datagrams(&mut inbox);
                }
                Ok(()) = changes.changed() => self.on_config(),
                Ok(()) = seeds.changed() => self.add_known_nodes(&seeds.borrow_and_update().clone()),
                Ok(()) = self.members.changed() => {
                    let members = self.members.borrow_and_update().clone();
                    self.add_known_nodes(&members);
                }
            }
            self.datagrams.flush();
        }
    }

    fn add_known_nodes(&mut self, nodes: &[NodeAddress]) {
        self.mesh.learn_all(Instant::now(), nodes.iter().copied());
    }

    fn on_config(&mut self) {
        let config = self.cluster.config();
        let index = config.index.get();
        if let Err(e) = self.maps.update(&config) {
            let event = Event::new("configuration not usable")
                .with_detail(&e)
                .with_config_index(index);
            self.journal.write_event(event);
            return;
        }
        let version = config.document.as_ref().map_or(0, |d| d.version.get());
        let event =
            Event::new("configuration committed").with_detail(&format!("version {version}"));
        self.journal.write_event(event.with_config_index(index));
        let now = Instant::now();
        let nodes: Vec<_> = self.mesh.nodes().map(|(ip, _)| ip).collect();
        for ip in nodes {
            let datagram = self.build_heartbeat(now, ip).into();
            self.datagrams.send(ip, &datagram);
        }
    }

    fn build_heartbeat(&self, now: Instant, to: Ipv4Addr) -> Heartbeat {
        let index = self.cluster.config().index;
        let last_seen_age = self.mesh.last_seen_age(now, to);
        self.datagrams.build_heartbeat(last_seen_age, index, None)
    }

    /// Answers a heartbeat with the list of nodes, unless its sender holds that list.
    fn answer_heartbeat(&mut self, now: Instant, to: Ipv4Addr, held: Option<NodeListHash>) {
        let nodes = self.known_nodes(now);
        let hash = NodeListHash::of(&nodes);
        let datagram = Datagram {
            nodes: if held == Some(hash) {
                Vec::new()
            } else {
                nodes
            },
            node_list_hash: Some(hash),
            agents_without_earlier_flows: self.mesh.agents_without_earlier_flows(now).collect(),
            ..Datagram::from(self.build_heartbeat(now, to))
        };
        self.datagrams.send(to, &datagram);
    }

    fn receive_datagrams(&mut self, inbox: &mut Inbox) {
        for (from, datagram) in self.datagrams.receive(inbox) {
            let now = Instant::now();
            let role = datagram.heartbeat.role;
            let change = self.mesh.on_heartbeat(now, from, datagram.heartbeat);
            self.journal
                .write_node_change(NodeAddress { ip: from, role }, change);
            if role != NodeRole::Control {
                self.answer_heartbeat(now, from, datagram.node_list_hash);
            }
        }
    }

    /// Returns the live balancers and agents, and all other control hosts.
    fn known_nodes(&self, now: Instant) -> Vec<NodeAddress> {
        let roles = [NodeRole::Balancer, NodeRole::Agent];
        let live_nodes = roles.into_iter().flat_map(|role| self.mesh.live(now, role));
        let live_nodes = live_nodes.map(|(ip, known)| NodeAddress {
            ip,
            role: known.role,
        });
        let controls = self
            .mesh
            .nodes()
            .filter(|(_, k)| k.role == NodeRole::Control);
        let controls = controls.map(|(ip, known)| NodeAddress {
            ip,
            role: known.role,
        });
        live_nodes.chain(controls).collect()
    }
}
