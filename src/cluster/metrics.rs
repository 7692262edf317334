//! Metrics of the dissemination of state.

use dogwoodrill_spread::ServingStatus;
use dogwoodrill_wire::proto::spread as wire;
use prometheus::{IntCounter, IntGauge, Registry};
use prost::Message;

/// Bytes that gRPC adds before each message.
const GRPC_PREFIX_BYTES: usize = 5;

/// The metrics of one node.
#[derive(Clone, Debug)]
pub struct SpreadMetrics {
    /// Messages sent on links.
    pub sent_messages: IntCounter,
    /// Bytes of the messages sent, including the gRPC prefix of each but not the overhead of HTTP/2,
    /// TLS and TCP.
    pub sent_bytes: IntCounter,
    /// Messages received on links.
    pub received_messages: IntCounter,
    /// Bytes of the messages received, counted in the same way.
    pub received_bytes: IntCounter,
    /// Level in the tree: 0 for a leaf, 1 for a relay of its zone, 2 for a relay of its region, 3 for a
    /// control host.
    pub level: IntGauge,
    /// Number of times that the send queue of a link was full.
    pub congested: IntCounter,
    /// Number of open links.
    pub links: IntGauge,
    /// Number of nodes that receive all state from this one.
    pub children: IntGauge,
    /// Number of members that are suspected to have failed.
    pub suspected: IntGauge,
    /// Log index of the configuration in force.
    pub config_index: IntGauge,
    /// Whether the node is isolated, 0 or 1.
    pub isolated: IntGauge,
}

impl SpreadMetrics {
    /// Creates the metrics and registers them.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            sent_messages: counter("sent_messages_total", "Messages sent on links.")?,
            sent_bytes: counter("sent_bytes_total", "Bytes of messages sent on links.")?,
            received_messages: counter("received_messages_total", "Messages received on links.")?,
            received_bytes: counter(
                "received_bytes_total",
                "Bytes of messages received on links.",
            )?,
            level: gauge(
                "level",
                "0 leaf, 1 relay of the zone, 2 of the region, 3 control.",
            )?,
            congested: counter("congested_total", "Times that a link had no room.")?,
            links: gauge("links", "Links that stand.")?,
            children: gauge("children", "Nodes that are brought all state.")?,
            suspected: gauge("suspected", "Members that are suspected dead.")?,
            config_index: gauge("config_index", "Log index of the configuration in force.")?,
            isolated: gauge("isolated", "1 while the node is isolated.")?,
        };
        for counter in [
            &metrics.sent_messages,
            &metrics.sent_bytes,
            &metrics.received_messages,
            &metrics.received_bytes,
            &metrics.congested,
        ] {
            registry.register(Box::new(counter.clone()))?;
        }
        for gauge in [
            &metrics.links,
            &metrics.level,
            &metrics.children,
            &metrics.suspected,
            &metrics.config_index,
            &metrics.isolated,
        ] {
            registry.register(Box::new(gauge.clone()))?;
        }
        Ok(metrics)
    }

    /// Counts a frame that was sent.
    pub fn on_sent(&self, frame: &wire::Frame) {
        let bytes = frame.encoded_len() + GRPC_PREFIX_BYTES;
        self.sent_messages.inc();
        self.sent_bytes.inc_by(bytes.try_into().unwrap_or(u64::MAX));
    }

    /// Counts a received frame of `bytes` encoded bytes.
    pub fn on_received(&self, bytes: usize) {
        let bytes = bytes + GRPC_PREFIX_BYTES;
        self.received_messages.inc();
        self.received_bytes
            .inc_by(bytes.try_into().unwrap_or(u64::MAX));
    }

    /// Records whether the node may serve.
    pub fn on_serving_status(&self, serving_status: ServingStatus) {
        self.isolated
            .set(i64::from(serving_status == ServingStatus::Isolated));
    }
}

fn counter(name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    IntCounter::new(format!("dogwoodrill_spread_{name}"), help)
}

fn gauge(name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    IntGauge::new(format!("dogwoodrill_spread_{name}"), help)
}
