//! The incarnations of one member that are kept: the latest one, and earlier ones that drain.
//!
//! A successor may start while its predecessor finishes its flows. Until the predecessor announces that it
//! has left, packets of its flows must be routed to it. An earlier incarnation that has not announced that it
//! drains was most likely killed. As its announcement may also still be under way, it is kept for a short
//! grace period.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use super::{MemberState, Merge, Record};
use crate::ids::{Incarnation, ShortIncarnation};
use crate::time::UnixMillis;

/// Time for which an earlier incarnation that has not announced that it drains stays routable: its
/// announcement may still be under way.
pub const SUCCESSION_GRACE: Duration = Duration::from_secs(5);
/// Maximum number of earlier incarnations that are kept per member.
const MAX_EARLIER: usize = 4;

#[derive(Clone, Debug)]
struct Earlier {
    record: Arc<Record>,
    /// End of the grace period of an incarnation that does not drain; set by the first expiry run that
    /// finds it.
    grace_until: Option<UnixMillis>,
}

/// The incarnations of one member.
#[derive(Clone, Debug)]
pub(super) struct MemberIncarnations {
    current: Arc<Record>,
    earlier: Vec<Earlier>,
}

impl MemberIncarnations {
    pub(super) const fn new(current: Arc<Record>) -> Self {
        let earlier = Vec::new();
        Self { current, earlier }
    }

    pub(super) const fn current(&self) -> &Arc<Record> {
        &self.current
    }

    /// The records that are shared with other nodes: all but those of incarnations in their grace period.
    pub(super) fn shared(&self) -> impl Iterator<Item = &Arc<Record>> + Clone {
        let earlier = self.earlier.iter().map(|e| &e.record);
        let announced = earlier.filter(|r| r.state != MemberState::Serving);
        std::iter::once(&self.current).chain(announced)
    }

    /// The records of all incarnations that are kept, those in their grace period included; the current one
    /// first.
    pub(super) fn all(&self) -> impl Iterator<Item = &Arc<Record>> + Clone {
        let earlier = self.earlier.iter().map(|e| &e.record);
        std::iter::once(&self.current).chain(earlier)
    }

    pub(super) fn record_of(&self, incarnation: ShortIncarnation) -> Option<&Arc<Record>> {
        self.all().find(|r| r.incarnation.short() == incarnation)
    }

    pub(super) fn merge(&mut self, record: Arc<Record>) -> Merge {
        match record.incarnation.cmp(&self.current.incarnation) {
            Ordering::Equal if record.sequence > self.current.sequence => self.current = record,
            Ordering::Equal => return Merge::Stale,
            Ordering::Greater => self.succeed(record),
            Ordering::Less => return self.merge_earlier(record),
        }
        Merge::Applied
    }

    fn succeed(&mut self, record: Arc<Record>) {
        let known = self.position(record.incarnation);
        if let Some(at) = known {
            self.earlier.remove(at);
        }
        let before = std::mem::replace(&mut self.current, record);
        self.keep(before);
    }

    fn merge_earlier(&mut self, record: Arc<Record>) -> Merge {
        if let Some(at) = self.position(record.incarnation) {
            let known = &mut self.earlier[at];
            if record.sequence <= known.record.sequence {
                return Merge::Stale;
            }
            known.record = record;
            return Merge::Applied;
        }
        if record.state == MemberState::Serving {
            return Merge::Stale;
        }
        let oldest = self.earlier.first().map(|e| e.record.incarnation);
        let full = self.earlier.len() == MAX_EARLIER;
        if full && oldest.is_some_and(|o| record.incarnation < o) {
            return Merge::Stale;
        }
        self.keep(record);
        Merge::Applied
    }

    fn keep(&mut self, record: Arc<Record>) {
        self.earlier.push(Earlier {
            record,
            grace_until: None,
        });
        self.earlier.sort_by_key(|e| e.record.incarnation);
        if self.earlier.len() > MAX_EARLIER {
            self.earlier.remove(0);
        }
    }

    fn position(&self, incarnation: Incarnation) -> Option<usize> {
        self.earlier
            .iter()
            .position(|e| e.record.incarnation == incarnation)
    }

    /// Whether [`MemberIncarnations::expire`] may have something to do, now or later.
    pub(super) fn may_expire(&self) -> bool {
        self.current.state == MemberState::Left || !self.earlier.is_empty()
    }

    /// Deletes earlier incarnations past their deadline. Returns false if the member itself is to be deleted.
    pub(super) fn expire(&mut self, now: UnixMillis) -> bool {
        self.earlier.retain_mut(|e| match e.record.state {
            MemberState::Serving => {
                let until = *e
                    .grace_until
                    .get_or_insert_with(|| now.plus(SUCCESSION_GRACE));
                now < until
            }
            MemberState::Draining => true,
            MemberState::Left => e.record.forget_at().is_none_or(|at| now < at),
        });
        self.current.forget_at().is_none_or(|at| now < at)
    }
}
