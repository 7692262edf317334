//! What a node knows of one link.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill_core::directory::Record;
use dogwoodrill_core::ids::{LogIndex, NodeId};

use crate::beacon::Beacon;
use crate::message::{Hello, LinkKind, MemberIncarnation, NodeRole};
use crate::progress::Progress;

/// Silence after which a link whose other end sends heartbeats is ended.
const BEATING_LIMIT: Duration = Duration::from_secs(15);
/// Silence after which any link from below is ended; digests come more often.
const SILENT_LIMIT: Duration = Duration::from_secs(90);

/// One link.
#[derive(Debug)]
pub(super) struct Link {
    /// What it is for; none for a link that was accepted and has not been greeted.
    pub kind: Option<LinkKind>,
    /// Whether this node dialled it.
    pub dialled: bool,
    /// The other end's greeting.
    pub peer: Option<Hello>,
    /// Index of the configuration that the other end has, by what it said and what was sent.
    pub index: LogIndex,
    /// The newest beacon that the other end has.
    pub beacon: Beacon,
    /// Records that wait until there is time for them.
    pub backlog: VecDeque<Arc<Record>>,
    /// The life whose heartbeats came over the link.
    pub subject: Option<MemberIncarnation>,
    /// Confirmations from below.
    pub progress: Progress,
    /// When something last came from the other end.
    heard_at: Instant,
    lagging: bool,
}

impl Link {
    pub(super) fn new(now: Instant, kind: Option<LinkKind>) -> Self {
        Self {
            kind,
            dialled: kind.is_some(),
            peer: None,
            index: LogIndex::default(),
            beacon: Beacon::default(),
            backlog: VecDeque::new(),
            subject: None,
            progress: Progress::default(),
            heard_at: now,
            lagging: false,
        }
    }

    /// Something came from the other end.
    pub(super) const fn on_heard(&mut self, now: Instant) {
        self.heard_at = now;
    }

    /// Whether a node below has been silent for so long that its host must be gone, whatever TCP says.
    pub(super) fn is_abandoned(&self, now: Instant) -> bool {
        let beats = self.subject.is_some();
        let limit = if beats { BEATING_LIMIT } else { SILENT_LIMIT };
        !self.dialled && now.saturating_duration_since(self.heard_at) > limit
    }

    /// Whether news goes over the link now.
    pub(super) fn takes_news(&self) -> bool {
        self.peer.is_some() && !self.lagging && self.kind != Some(LinkKind::Observe)
    }

    /// Whether the other end gets all state from this node.
    pub(super) fn is_child(&self) -> bool {
        !self.dialled && self.peer.is_some() && self.kind == Some(LinkKind::Feed)
    }

    /// Whether the other end is a control host.
    pub(super) fn is_control(&self) -> bool {
        self.peer
            .as_ref()
            .is_some_and(|p| p.role == NodeRole::Control)
    }

    /// The other end, once it has greeted.
    pub(super) fn peer_node(&self) -> Option<NodeId> {
        self.peer.as_ref().map(|p| p.node)
    }

    /// Whether beacons go to the other end.
    pub(super) fn takes_beacons(&self) -> bool {
        self.takes_news() && (self.is_child() || self.kind == Some(LinkKind::Mesh))
    }

    /// The other end is too slow: nothing more is sent until it has caught up, and then only what it
    /// lacks by then.
    pub(super) fn lag(&mut self) {
        self.lagging = true;
        self.backlog.clear();
    }

    /// The other end has room again; the link's kind if it lagged.
    pub(super) fn catch_up(&mut self) -> Option<LinkKind> {
        let lagged = std::mem::take(&mut self.lagging);
        self.kind.filter(|_| lagged)
    }
}
