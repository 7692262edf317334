//! What a process decided, one JSON object a line on standard output.
//!
//! Lines are gathered in memory and handed to a thread that writes them, so the task that forwards
//! packets never waits for whoever reads the log. When the reader falls behind, lines are left out
//! and counted.

use std::fmt::Display;
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use dogwoodrill_core::forwarded::decision::Decision;
use dogwoodrill_core::forwarded::mesh::{NodeAddress, PeerChange};
use serde::Serialize;

use crate::context::wall_clock;

/// Bytes that may wait to be handed over; at the log's usual rate some seconds' worth.
const BUFFER_BYTES: usize = 128 << 10;
/// Buffers that may wait for the writer.
const BUFFERS: usize = 8;
/// Lines that one flush may hold: bounds the processor time that a flood of packets can cost.
const LINES_PER_FLUSH: usize = 200;

/// A change of what the process believes, or a step of its life.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Event<'a> {
    /// What happened.
    pub event: &'a str,
    /// The node or server that it concerns.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub subject: Option<String>,
    /// What decided it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Index of the configuration in force.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub config: Option<u64>,
}

impl<'a> Event<'a> {
    /// An event that needs no more words.
    pub fn new(event: &'a str) -> Self {
        Self {
            event,
            ..Self::default()
        }
    }

    /// The same event about `subject`.
    #[must_use]
    pub fn with_subject(self, subject: &dyn Display) -> Self {
        let subject = Some(subject.to_string());
        Self { subject, ..self }
    }

    /// The same event with what decided it.
    #[must_use]
    pub fn with_detail(self, detail: &dyn Display) -> Self {
        let detail = Some(detail.to_string());
        Self { detail, ..self }
    }

    /// The same event with the configuration in force.
    #[must_use]
    pub fn with_config_index(self, config: u64) -> Self {
        let config = Some(config);
        Self { config, ..self }
    }
}

#[derive(Serialize)]
struct Line<'a, T> {
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
            age_ms: d
                .age
                .map(|a| u64::try_from(a.as_millis()).unwrap_or(u64::MAX)),
            hops: d.hops,
        }
    }
}

/// Writes lines.
#[derive(Debug)]
pub struct Journal {
    node: String,
    buf: Vec<u8>,
    lines: usize,
    dropped_lines: u64,
    tx: SyncSender<Vec<u8>>,
}

impl Journal {
    /// Starts the writer of the process on the host `node`.
    pub fn start(node: &str) -> Self {
        let (tx, rx) = sync_channel(BUFFERS);
        thread::spawn(move || write_all(&rx, &mut std::io::stdout()));
        Self::with_sender(node, tx)
    }

    /// Makes a journal whose lines go to `tx`, gathered, whenever it is flushed.
    pub fn with_sender(node: &str, tx: SyncSender<Vec<u8>>) -> Self {
        Self {
            node: node.to_owned(),
            buf: Vec::new(),
            lines: 0,
            dropped_lines: 0,
            tx,
        }
    }

    /// Writes an event; it is never left out for the number of lines.
    pub fn write_event(&mut self, event: Event<'_>) {
        self.write_line(event);
    }

    /// Writes what is new about a node that was heard.
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

    /// Writes decisions, as many as one flush may hold.
    pub fn write_decisions(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            if self.lines >= LINES_PER_FLUSH {
                self.dropped_lines += 1;
            } else {
                self.write_line(DecisionLine::from(decision));
            }
        }
    }

    fn write_line(&mut self, content: impl Serialize) {
        if self.buf.len() >= BUFFER_BYTES {
            self.dropped_lines += 1;
            return;
        }
        let line = Line {
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

    /// Lines that were left out and not yet said to be.
    pub const fn dropped_lines(&self) -> u64 {
        self.dropped_lines
    }

    /// Hands what was gathered to the writer.
    pub fn flush(&mut self) {
        if self.dropped_lines > 0 && self.buf.len() < BUFFER_BYTES {
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

/// A reader that went away takes nothing more; what is left is of no use to anyone.
fn write_all(rx: &Receiver<Vec<u8>>, out: &mut impl Write) {
    for buf in rx {
        drop(out.write_all(&buf).and_then(|()| out.flush()));
    }
}
