//! What a balancer and an agent share: they greet, learn of nodes, fetch the configuration, and write
//! down what they decided.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Instant;

use dogwoodrill_core::forwarded::decision::Decision;
use dogwoodrill_core::forwarded::inquiry::Denial;
use dogwoodrill_core::forwarded::keepers::FlowLocation;
use dogwoodrill_core::forwarded::mesh::{Mesh, NodeAddress};
use dogwoodrill_core::forwarded::node::{NodeRole, NodeSettings};
use dogwoodrill_core::forwarded::service_map::ServiceMap;
use dogwoodrill_core::ids::LogIndex;
use dogwoodrill_wire::convert::forwarded::Datagram;

use super::datagrams::Datagrams;
use super::fetch::{FetchResult, Fetcher};
use super::journal::{Event, Journal};
use super::metrics::{ForwardMetrics, SocketCallCounters};
use crate::context::Cx;

/// A node's way to the other nodes, and its log.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) datagrams: Datagrams,
    pub(super) fetcher: Fetcher,
    pub(super) journal: Journal,
    pub(super) metrics: ForwardMetrics,
}

/// What a datagram says of flows.
#[derive(Debug)]
pub(super) struct FlowNews {
    pub(super) places: Vec<FlowLocation>,
    pub(super) denials: Vec<Denial>,
}

impl Link {
    /// Binds the socket.
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

    /// Takes in a datagram of `from` but for what it says of flows. `own` is the configuration in force.
    pub(super) fn on_datagram(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        datagram: Datagram,
        mesh: &mut Mesh,
        own: LogIndex,
    ) -> FlowNews {
        let (role, theirs) = (datagram.heartbeat.role, datagram.heartbeat.index);
        let news = mesh.on_heartbeat(now, from, datagram.heartbeat);
        mesh.learn_all(now, datagram.nodes);
        mesh.mark_without_earlier_flows(datagram.agents_without_earlier_flows);
        self.journal
            .write_node_change(NodeAddress { ip: from, role }, news);
        if role == NodeRole::Control {
            self.fetcher.on_index(from, theirs, own);
        }
        FlowNews {
            places: datagram.flow_locations,
            denials: datagram.denials,
        }
    }

    /// A fetch has ended. `on_map` takes its configuration, and tells whether it is in force now.
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

    /// Writes down to which agents opening packets have begun to get lost, or get through again.
    pub(super) fn record_paths(&mut self, now: Instant, mesh: &mut Mesh) {
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

    /// Writes down what was decided, and how many flows are remembered.
    pub(super) fn record(&mut self, decisions: Vec<Decision>, flows: usize) {
        self.metrics
            .flows
            .set(i64::try_from(flows).unwrap_or(i64::MAX));
        self.metrics.count_decisions(&decisions);
        self.journal.write_decisions(decisions);
        self.journal.flush();
    }
}
