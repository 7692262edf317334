//! Sends updates on every link except the one that they came from.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill_core::directory::Record;

use super::link::Link;
use super::{BATCH_TIME, Node, send};
use crate::message::{LinkId, LinkKind, Message, NodeRole, Output};
use crate::progress::Progress;
use crate::suspicion::Observation;
use crate::time::Now;

/// Maximum number of records in one message.
pub(super) const CHUNK_RECORDS: usize = 128;
/// Maximum number of configuration deltas that are sent one by one; above it the whole configuration is
/// sent.
const MAX_DELTAS: usize = 32;
/// Interval between two progress reports of one node.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

type Source = Option<LinkId>;

/// Updates that have not been forwarded yet.
#[derive(Debug, Default)]
pub(super) struct PendingUpdates {
    records: Vec<(Source, Arc<Record>)>,
    observations: Vec<(Source, Observation)>,
    flush_at: Option<Instant>,
    progress_at: Option<Instant>,
    flushed_at: Option<Instant>,
}

impl PendingUpdates {
    pub(super) fn add_record(&mut self, now: Instant, from: Source, record: Arc<Record>) {
        self.records.push((from, record));
        self.schedule_flush(now);
    }

    pub(super) fn add_observation(&mut self, now: Instant, from: Source, observation: Observation) {
        self.observations.push((from, observation));
        self.schedule_flush(now);
    }

    /// Sends the first update after an idle time at once; updates that follow closely are collected.
    pub(super) fn schedule_flush(&mut self, now: Instant) {
        let earliest = self.flushed_at.map_or(now, |at| at + BATCH_TIME);
        self.flush_at.get_or_insert(earliest.max(now));
        self.schedule_progress(now);
    }

    pub(super) fn schedule_progress(&mut self, now: Instant) {
        self.progress_at.get_or_insert(now + PROGRESS_INTERVAL);
    }

    pub(super) fn flush_at(&self) -> Option<Instant> {
        [self.flush_at, self.progress_at]
            .into_iter()
            .flatten()
            .min()
    }

    fn take_due(&mut self, now: Instant) -> bool {
        let due = self.flush_at.take_if(|at| now >= *at).is_some();
        if due {
            self.flushed_at = Some(now);
        }
        due
    }
}

impl Node {
    pub(super) fn flush(&mut self, now: Now, out: &mut Vec<Output>) {
        if self
            .pending
            .progress_at
            .take_if(|at| now.instant >= *at)
            .is_some()
        {
            self.send_progress(out);
        }
        if !self.pending.take_due(now.instant) {
            return;
        }
        let records = std::mem::take(&mut self.pending.records);
        let observations = std::mem::take(&mut self.pending.observations);
        let receivers = self.links.iter().filter(|(_, l)| l.accepts_updates());
        let receivers: Vec<_> = receivers.map(|(id, _)| *id).collect();
        for link in receivers {
            self.send_config(link, out);
            let records = records.iter().filter(|(from, _)| *from != Some(link));
            let records: Vec<_> = records.map(|(_, r)| Arc::clone(r)).collect();
            send_records(link, &records, out);
            let observations = observations.iter().filter(|(from, _)| *from != Some(link));
            let observations: Vec<_> = observations.map(|(_, o)| o.clone()).collect();
            if !observations.is_empty() {
                out.push(send(link, Message::Observations(observations)));
            }
        }
    }

    /// Sends the part of the configuration that the other end of a link lacks.
    pub(super) fn send_config(&mut self, link: LinkId, out: &mut Vec<Output>) {
        let index = self.config.index;
        let Some(known) = self.links.get_mut(&link) else {
            return;
        };
        if known.index >= index || self.startup.is_some() {
            return;
        }
        let deltas = self.history.since(known.index).map(Vec::from_iter);
        known.index = index;
        match deltas.filter(|d| d.len() <= MAX_DELTAS) {
            Some(deltas) if deltas.first().is_some_and(|d| d.from.get() > 0) => {
                let deltas = deltas.into_iter().map(Arc::clone);
                out.extend(deltas.map(|d| send(link, Message::ConfigDelta(d))));
            }
            _ => out.push(send(link, Message::Config(Arc::clone(&self.config)))),
        }
    }

    /// Sends state that is not new but that a node needs when its link is established.
    pub(super) fn send_initial_state(&mut self, link: LinkId, out: &mut Vec<Output>) {
        self.send_config(link, out);
        self.send_beacon(link, out);
        let observations: Vec<_> = self.suspicions.all().cloned().collect();
        if !observations.is_empty() {
            out.push(send(link, Message::Observations(observations)));
        }
    }

    fn send_progress(&mut self, out: &mut Vec<Output>) {
        let below = self.progress();
        if self.role == NodeRole::Control {
            self.send_control_progress(below, out);
            return;
        }
        if below != self.progress_below {
            self.progress_below.clone_from(&below);
            out.push(Output::Progress(below.clone()));
        }
        let feed = self.uplinks.feed().filter(|f| f.is_established);
        if let Some(feed) = feed.filter(|_| below != self.progress_sent) {
            self.progress_sent.clone_from(&below);
            out.push(send(feed.link, Message::Progress(below)));
        }
    }

    /// Control hosts exchange the progress of the nodes below them, so that each of them can report on
    /// all nodes.
    fn send_control_progress(&mut self, below: Progress, out: &mut Vec<Output>) {
        let is_peer = |l: &&Link| l.kind == Some(LinkKind::Mesh) && l.is_control();
        // Two hosts may each have dialled the other; both links then carry the same report.
        let peers = self.links.values().filter(is_peer);
        let peers: BTreeMap<_, _> = peers.map(|l| (l.peer_node(), &l.progress)).collect();
        let all = Progress::sum(std::iter::once(&below).chain(peers.into_values()));
        if all != self.progress_below {
            self.progress_below.clone_from(&all);
            out.push(Output::Progress(all));
        }
        if below == self.progress_sent {
            return;
        }
        let peers = self.links.iter().filter(|(_, l)| is_peer(l));
        out.extend(peers.map(|(id, _)| send(*id, Message::Progress(below.clone()))));
        self.progress_sent = below;
    }
}

/// Sends records in messages of a bounded size.
pub(super) fn send_records(link: LinkId, records: &[Arc<Record>], out: &mut Vec<Output>) {
    for chunk in records.chunks(CHUNK_RECORDS) {
        out.push(send(link, Message::Records(chunk.to_vec())));
    }
}
