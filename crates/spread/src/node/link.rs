//! The state that a node keeps for one link.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill_core::directory::Record;
use dogwoodrill_core::ids::{LogIndex, NodeId};

use crate::beacon::Beacon;
use crate::message::{Hello, LinkKind, MemberIncarnation, NodeRole};
use crate::progress::Progress;

/// Time without any message after which a link is closed if the other end sends heartbeats on it.
const HEARTBEAT_LINK_TIMEOUT: Duration = Duration::from_secs(15);
/// Time without any message after which any accepted link is closed; digests arrive more often.
const IDLE_LINK_TIMEOUT: Duration = Duration::from_secs(90);

/// The state of one link.
#[derive(Debug)]
pub(super) struct Link {
    /// The purpose of the link; `None` for an accepted link before its first message.
    pub kind: Option<LinkKind>,
    /// Whether this node dialled the link.
    pub dialled: bool,
    /// The first message of the other end.
    pub peer: Option<Hello>,
    /// Index of the configuration that the other end has, according to its messages and to what was
    /// sent to it.
    pub index: LogIndex,
    /// The newest beacon that the other end has.
    pub beacon: Beacon,
    /// Records that are sent in portions, one portion at each tick.
    pub backlog: VecDeque<Arc<Record>>,
    /// The member incarnation whose heartbeats arrive on the link.
    pub subject: Option<MemberIncarnation>,
    /// Progress reported by the other end.
    pub progress: Progress,
    /// When the last message arrived from the other end.
    last_received_at: Instant,
    is_congested: bool,
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
            last_received_at: now,
            is_congested: false,
        }
    }

    /// Records the arrival of a message.
    pub(super) const fn on_received(&mut self, now: Instant) {
        self.last_received_at = now;
    }

    /// Whether an accepted link has been silent for so long that the host of the other end must be
    /// gone, even if TCP reports no error.
    pub(super) fn is_abandoned(&self, now: Instant) -> bool {
        let sends_heartbeats = self.subject.is_some();
        let limit = if sends_heartbeats {
            HEARTBEAT_LINK_TIMEOUT
        } else {
            IDLE_LINK_TIMEOUT
        };
        !self.dialled && now.saturating_duration_since(self.last_received_at) > limit
    }

    /// Whether updates are sent on the link at present.
    pub(super) fn accepts_updates(&self) -> bool {
        self.peer.is_some() && !self.is_congested && self.kind != Some(LinkKind::Observe)
    }

    /// Whether the other end receives all state from this node.
    pub(super) fn is_child(&self) -> bool {
        !self.dialled && self.peer.is_some() && self.kind == Some(LinkKind::Feed)
    }

    /// Whether the other end is a control host.
    pub(super) fn is_control(&self) -> bool {
        self.peer
            .as_ref()
            .is_some_and(|p| p.role == NodeRole::Control)
    }

    /// The node at the other end, once its first message has arrived.
    pub(super) fn peer_node(&self) -> Option<NodeId> {
        self.peer.as_ref().map(|p| p.node)
    }

    /// Whether beacons are sent to the other end.
    pub(super) fn accepts_beacons(&self) -> bool {
        self.accepts_updates() && (self.is_child() || self.kind == Some(LinkKind::Mesh))
    }

    /// Marks the other end as too slow: nothing is sent until its queue has space, and then only the
    /// state that it lacks by that time.
    pub(super) fn mark_congested(&mut self) {
        self.is_congested = true;
        self.backlog.clear();
    }

    /// Handles a queue that has space again. Returns the kind of the link if it was congested.
    pub(super) fn clear_congestion(&mut self) -> Option<LinkKind> {
        let lagged = std::mem::take(&mut self.is_congested);
        self.kind.filter(|_| lagged)
    }
}
