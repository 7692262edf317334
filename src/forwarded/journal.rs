//! The log of decisions and events of a process: one JSON object per line on standard output.
//!
//! Lines are buffered in memory and written by a thread of their own, so that the task that forwards packets
//! never blocks on the reader of the log. When the reader falls behind, lines are dropped and counted.

use std::fmt::Display;
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use dogwoodrill_core::forwarded::decision::Decision;
use dogwoodrill_core::forwarded::mesh::PeerChange;
use dogwoodrill_core::forwarded::node::NodeAddress;
use serde::Serialize;

use crate::context::wall_clock;

/// Maximum size of the buffer between flushes; enough for several seconds at the usual rate of the log.
const MAX_BUFFER_BYTES: usize = 128 << 10;
/// Flushed buffers that may wait for the writer thread.
const MAX_QUEUED_BUFFERS: usize = 8;
/// Maximum number of lines per flush. Bounds the CPU time that logging takes during a flood of packets.
const MAX_LINES_PER_FLUSH: usize = 200;

/// An event other than a decision about a packet: a change in the state that the process knows of, or a step
/// in its own life cycle.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Event<'a> {
    /// The kind of event.
    pub event: &'a str,
    /// The node or server that the event is about.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub subject: Option<String>,
    /// The cause of the event or further details.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Index of the configuration in force.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub config: Option<u64>,
}

impl<'a> Event<'a> {
    /// Creates an event without subject and details.
    pub fn new(event: &'a str) -> Self {
        Self {
            event,
            ..Self::default()
        }
    }

    /// Sets the subject.
    #[must_use]
    pub fn with_subject(self, subject: &dyn Display) -> Self {
        let subject = Some(subject.to_string());
        Self { subject, ..self }
    }

    /// Sets the details.
    #[must_use]
    pub fn with_detail(self, detail: &dyn Display) -> Self {
        let detail = Some(detail.to_string());
        Self { detail, ..self }
    }

    /// Sets the index of the configuration in force.
    #[must_use]
    pub fn with_config_index(self, config: u64) -> Self {
        let config = Some(config);
        Self { config, ..self }
    }
}

#[derive(Serialize)]
struct JournalLine<'a, T> {
    t: u64,
    node: &'a str,
    #[serde(flatten)]
    content: T,
}

#[derive(Serialize)]
struct DecisionLine {
    event: String,
    flow: String,
    config: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    to: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    why: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    service: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    busy: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    work_us: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    age_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    waited_ms: Option<u64>,
    #[serde(skip_serializing_if = "is_zero")]
    hops: u8,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the serializer passes a reference"
)]
const fn is_zero(hops: &u8) -> bool {
    *hops == 0
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl From<Decision> for DecisionLine {
    fn from(d: Decision) -> Self {
        Self {
            event: d.step.to_string(),
            flow: d.flow.to_string(),
            config: d.index.get(),
            to: d.node.map(|n| n.to_string()),
            why: d.reason.map(|r| r.to_string()),
            service: d.service.map(|s| s.to_string()),
            busy: d.busy,
            work_us: d
                .work
                .map(|w| u64::try_from(w.as_micros()).unwrap_or(u64::MAX)),
            age_ms: d.age.map(millis),
            waited_ms: d.waited.map(millis),
            hops: d.hops,
        }
    }
}

/// Formats the lines of the log and passes them to the writer thread.
#[derive(Debug)]
pub struct Journal {
    node: String,
    buf: Vec<u8>,
    lines: usize,
    dropped_lines: u64,
    tx: SyncSender<Vec<u8>>,
}

impl Journal {
    /// Starts the thread that writes to standard output. `node` is the host name in each line.
    pub fn start(node: &str) -> Self {
        let (tx, rx) = sync_channel(MAX_QUEUED_BUFFERS);
        thread::spawn(move || write_buffers(&rx, &mut std::io::stdout()));
        Self::with_sender(node, tx)
    }

    /// Creates a journal that sends the buffered lines to `tx` at each flush.
    pub fn with_sender(node: &str, tx: SyncSender<Vec<u8>>) -> Self {
        Self {
            node: node.to_owned(),
            buf: Vec::new(),
            lines: 0,
            dropped_lines: 0,
            tx,
        }
    }

    /// Writes an event. The limit on the number of lines does not apply to events.
    pub fn write_event(&mut self, event: Event<'_>) {
        self.write_line(event);
    }

    /// Logs that a node was seen for the first time or has restarted.
    pub fn write_node_change(&mut self, node: NodeAddress, news: PeerChange) {
        let event = match news {
            PeerChange {
                has_restarted: true,
                ..
            } => "node restarted",
            PeerChange { is_new: true, .. } => "node heard",
            PeerChange { .. } => return,
        };
        let subject = format!("{} {}", node.role, node.ip);
        self.write_event(Event::new(event).with_subject(&subject));
    }

    /// Writes decisions. Those beyond the limit of lines per flush are dropped.
    pub fn write_decisions(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            if self.lines >= MAX_LINES_PER_FLUSH {
                self.dropped_lines += 1;
            } else {
                self.write_line(DecisionLine::from(decision));
            }
        }
    }

    fn write_line(&mut self, content: impl Serialize) {
        if self.buf.len() >= MAX_BUFFER_BYTES {
            self.dropped_lines += 1;
            return;
        }
        let line = JournalLine {
            t: wall_clock().get(),
            node: &self.node,
            content,
        };
        let before = self.buf.len();
        if serde_json::to_writer(&mut self.buf, &line).is_err() {
            self.buf.truncate(before);
            self.dropped_lines += 1;
            return;
        }
        self.buf.push(b'\n');
        self.lines += 1;
    }

    /// Returns the number of dropped lines that have not been reported in the log yet.
    pub const fn dropped_lines(&self) -> u64 {
        self.dropped_lines
    }

    /// Passes the buffered lines to the writer thread, with a line about dropped lines if there are any.
    pub fn flush(&mut self) {
        if self.dropped_lines > 0 && self.buf.len() < MAX_BUFFER_BYTES {
            let dropped_lines = std::mem::take(&mut self.dropped_lines);
            self.write_line(Event::new("lines left out").with_detail(&dropped_lines));
        }
        if self.buf.is_empty() {
            return;
        }
        let lines = std::mem::take(&mut self.lines);
        let buf = std::mem::take(&mut self.buf);
        if self.tx.try_send(buf).is_err() {
            self.dropped_lines += lines as u64;
        }
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        self.flush();
    }
}

/// Writes buffers to `out`. Errors are ignored: they mean that the reader of the log has closed its end, and
/// nobody would see a report about it.
fn write_buffers(rx: &Receiver<Vec<u8>>, out: &mut impl Write) {
    for buf in rx {
        drop(out.write_all(&buf).and_then(|()| out.flush()));
    }
}
