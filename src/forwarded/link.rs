//! The input and output that balancers and agents have in common: messages to and from other nodes, the fetch
//! of the configuration, the journal and the metrics.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Instant;

use dogwoodrill_core::forwarded::decision::Decision;
use dogwoodrill_core::forwarded::inquiry::Denial;
use dogwoodrill_core::forwarded::keepers::FlowLocation;
use dogwoodrill_core::forwarded::mesh::Mesh;
use dogwoodrill_core::forwarded::node::{NodeAddress, NodeRole, NodeSettings};
use dogwoodrill_core::forwarded::service_map::ServiceMap;
use dogwoodrill_core::ids::LogIndex;
use dogwoodrill_wire::convert::forwarded::Datagram;

use super::datagrams::Datagrams;
use super::fetch::{FetchResult, Fetcher};
use super::journal::{Event, Journal};
use super::metrics::{ForwardMetrics, SocketCallCounters};
use crate::context::Cx;

/// The node socket, configuration fetcher, journal and metrics of a balancer or an agent.
#[derive(Debug)]
pub(super) struct NodeIo {
    pub(super) datagrams: Datagrams,
    pub(super) fetcher: Fetcher,
    pub(super) journal: Journal,
    pub(super) metrics: ForwardMetrics,
}

/// The part of a received datagram that concerns flows.
#[derive(Debug)]
pub(super) struct FlowUpdates {
    pub(super) locations: Vec<FlowLocation>,
    pub(super) denials: Vec<Denial>,
    /// Number of idle slots that the sender offers.
    pub(super) idle_slots: u32,
}

impl NodeIo {
    /// Binds the node socket and registers the metrics.
    pub(super) fn bind(
        cx: &Cx,
        settings: &NodeSettings,
        calls: SocketCallCounters,
        journal: Journal,
    ) -> std::io::Result<Self> {
        Ok(Self {
            datagrams: Datagrams::bind(settings, calls)?,
            fetcher: Fetcher::new(cx.clone(), settings.inner_port),
            journal,
            metrics: ForwardMetrics::register(&cx.metrics),
        })
    }

    /// Applies a datagram that was received from `from`, and returns its flow locations and denials for the
    /// caller to apply. `own_index` is the index of the configuration in force.
    pub(super) fn on_datagram(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        datagram: Datagram,
        mesh: &mut Mesh,
        own_index: LogIndex,
    ) -> FlowUpdates {
        let (role, advertised_index) = (datagram.heartbeat.role, datagram.heartbeat.index);
        let change = mesh.on_heartbeat(now, from, datagram.heartbeat);
        self.journal
            .write_node_change(NodeAddress { ip: from, role }, change);
        if role == NodeRole::Control {
            mesh.learn_from_control(now, from, datagram.node_list_hash, datagram.nodes);
            mesh.mark_without_earlier_flows(datagram.agents_without_earlier_flows);
            self.fetcher
                .on_advertised_index(from, advertised_index, own_index);
        }
        FlowUpdates {
            locations: datagram.flow_locations,
            denials: datagram.denials,
            idle_slots: datagram.idle_slots,
        }
    }

    /// Handles the result of a fetch. `on_map` applies the fetched configuration and returns whether it is
    /// now in force.
    pub(super) fn on_fetched(
        &mut self,
        fetched: FetchResult,
        on_map: impl FnOnce(Arc<ServiceMap>) -> bool,
    ) {
        let from = fetched.from;
        let Some(map) = fetched.into_map(&mut self.journal) else {
            return;
        };
        let index = map.index.get();
        if on_map(map) {
            self.metrics.config_index.set(index.cast_signed());
            let event = Event::new("configuration in force").with_subject(&from);
            self.journal.write_event(event.with_config_index(index));
        }
    }

    /// Logs the agents to which opening packets have started to be lost or are delivered again.
    pub(super) fn log_path_changes(&mut self, now: Instant, mesh: &mut Mesh) {
        for (agent, is_losing) in mesh.take_path_changes(now) {
            let event = if is_losing {
                "openings get lost"
            } else {
                "openings get through"
            };
            self.journal
                .write_event(Event::new(event).with_subject(&agent));
        }
    }

    /// Logs and counts decisions, updates the gauge of remembered flows and flushes the journal.
    pub(super) fn record_decisions(&mut self, decisions: Vec<Decision>, flows: usize) {
        self.metrics
            .flows
            .set(i64::try_from(flows).unwrap_or(i64::MAX));
        self.metrics.count_decisions(&decisions);
        self.journal.write_decisions(decisions);
        self.journal.flush();
    }
}
