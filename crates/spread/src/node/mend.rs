//! Anti-entropy: records that were lost between two nodes are found by digests and sent again, at a
//! long interval.
//!
//! The lower end of a link sends the digests of its zones when the link is established and then every
//! [`DIGEST_INTERVAL`]. For each zone that differs, the upper end replies with the digests of the
//! zone's buckets; the lower end sends its records of the buckets that differ and receives the records
//! that it lacks. A zone that is unknown to the lower end is sent as a whole, one portion at each tick.

use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_core::directory::{BucketSet, Record, ZoneDigest};
use dogwoodrill_core::ids::AvailabilityZone;
use rand::Rng;

use super::flush::{CHUNK_RECORDS, send_records};
use super::{Node, send};
use crate::message::{LinkId, LinkKind, Message, Output, Repair, ZoneTotal};
use crate::time::Now;

/// Interval between two comparisons of digests over a link.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(30);
/// Maximum number of queued records sent on one link at each tick; updates are not counted.
const RECORDS_PER_TICK: usize = 16 * CHUNK_RECORDS;

impl Node {
    pub(super) fn send_digests(&mut self, now: Now, out: &mut Vec<Output>) {
        if now.instant < self.digests_at {
            return;
        }
        let factor = self.rng.random_range(0.8..1.2);
        self.digests_at = now.instant + DIGEST_INTERVAL.mul_f64(factor);
        let uplinks = self.uplinks.all().filter(|u| u.is_established);
        let uplinks = uplinks.filter(|u| u.kind != LinkKind::Observe);
        let links: Vec<_> = uplinks.map(|u| u.link).collect();
        for link in links {
            self.send_digests_on(link, out);
        }
    }

    pub(super) fn send_digests_on(&self, link: LinkId, out: &mut Vec<Output>) {
        let totals = self.directory.digests().map(|(zone, digest)| ZoneTotal {
            zone: zone.clone(),
            total: digest.total(),
        });
        out.push(send(link, Message::Digests(totals.collect())));
    }

    pub(super) fn handle_digests(
        &mut self,
        link: LinkId,
        theirs: &[ZoneTotal],
        out: &mut Vec<Output>,
    ) {
        let mut whole = Vec::new();
        for (zone, digest) in self.directory.digests() {
            match theirs.iter().find(|t| t.zone == *zone) {
                Some(t) if t.total == digest.total() => {}
                Some(_) => out.push(send(link, Message::Buckets(zone.clone(), digest.clone()))),
                None => whole.extend(self.directory.bucket_records(zone, BucketSet::ALL).cloned()),
            }
        }
        for unknown in theirs {
            if self.directory.member_count(&unknown.zone) == 0 {
                let empty = ZoneDigest::default();
                out.push(send(link, Message::Buckets(unknown.zone.clone(), empty)));
            }
        }
        self.queue_records(link, whole, out);
    }

    pub(super) fn handle_buckets(
        &mut self,
        link: LinkId,
        zone: AvailabilityZone,
        theirs: &ZoneDigest,
        out: &mut Vec<Output>,
    ) {
        let ours = self.directory.digests().find(|(z, _)| **z == zone);
        let buckets = ours.map_or(BucketSet::ALL, |(_, digest)| digest.differing(theirs));
        if buckets.is_empty() {
            return;
        }
        let records = self.directory.bucket_records(&zone, buckets).cloned();
        let repair = Repair {
            records: records.collect(),
            zone,
            buckets,
        };
        out.push(send(link, Message::Repair(repair)));
    }

    pub(super) fn handle_repair(
        &mut self,
        now: Now,
        link: LinkId,
        repair: Repair,
        out: &mut Vec<Output>,
    ) {
        let theirs = repair.records.clone();
        let is_missing = |ours: &&Arc<Record>| !theirs.contains(ours);
        let missing = self.directory.bucket_records(&repair.zone, repair.buckets);
        let missing: Vec<_> = missing.filter(is_missing).cloned().collect();
        self.handle_records(now, link, repair.records, out);
        self.queue_records(link, missing, out);
    }

    /// Queues records for a link and sends the first portion at once.
    fn queue_records(&mut self, link: LinkId, records: Vec<Arc<Record>>, out: &mut Vec<Output>) {
        if let Some(known) = self.links.get_mut(&link) {
            known.backlog.extend(records);
            self.send_backlog(link, out);
        }
    }

    pub(super) fn send_backlogs(&mut self, out: &mut Vec<Output>) {
        let waiting = self.links.iter().filter(|(_, l)| !l.backlog.is_empty());
        let waiting: Vec<_> = waiting.map(|(id, _)| *id).collect();
        for link in waiting {
            self.send_backlog(link, out);
        }
    }

    fn send_backlog(&mut self, link: LinkId, out: &mut Vec<Output>) {
        let Some(known) = self.links.get_mut(&link) else {
            return;
        };
        let part = known.backlog.len().min(RECORDS_PER_TICK);
        let records: Vec<_> = known.backlog.drain(..part).collect();
        send_records(link, &records, out);
    }
}
