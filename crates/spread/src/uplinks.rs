//! The links that a node dials: one feed, one to a second observer, and mesh links between relays.
//!
//! A feed is replaced make-before-break where the old one still works. An address that failed is
//! avoided for a time that doubles, with jitter, so that many nodes that lose one relay neither come
//! back at once nor hammer the next.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;

use crate::message::{LinkId, LinkKind};
use crate::topology::Plan;

/// First time for which an address that failed is avoided.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest such time.
const BACKOFF_MAX: Duration = Duration::from_secs(10);
/// Longest pause before a node moves to a better place in the tree.
const MAX_MOVE_DELAY: Duration = Duration::from_secs(2);
/// Observers that are as good as the first: a node stays with one of them.
const ACCEPTABLE_OBSERVERS: usize = 3;
/// Time in which a link must come up and be greeted.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// A link that this node dialled.
#[derive(Clone, Copy, Debug)]
pub struct Uplink {
    /// Its number.
    pub link: LinkId,
    /// Whom it goes to.
    pub to: SocketAddr,
    /// What it is for.
    pub kind: LinkKind,
    /// Whether the other end has greeted.
    pub is_established: bool,
    handshake_deadline: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Instant,
    failures: u32,
}

/// What is to be done with links.
#[derive(Clone, Debug, Default)]
pub struct LinkChanges {
    /// Links to dial.
    pub dial: Vec<Uplink>,
    /// Links to end.
    pub close: Vec<LinkId>,
}

/// The links that a node dials.
#[derive(Debug, Default)]
pub struct Uplinks {
    links: Vec<Uplink>,
    backoffs: BTreeMap<SocketAddr, Backoff>,
    /// The feed in use, once greeted; another one may be on its way up.
    feed: Option<LinkId>,
    move_at: Option<Instant>,
    next_number: u64,
}

impl Uplinks {
    /// The feed in use.
    pub fn feed(&self) -> Option<Uplink> {
        self.get(self.feed?)
    }

    /// A link by its number.
    pub fn get(&self, link: LinkId) -> Option<Uplink> {
        self.links.iter().find(|l| l.link == link).copied()
    }

    /// All links.
    pub fn all(&self) -> impl Iterator<Item = &Uplink> {
        self.links.iter()
    }

    /// The other end has greeted. A feed comes in use; the one that it replaces is returned.
    pub fn on_established(&mut self, link: LinkId) -> Option<LinkId> {
        let uplink = self.links.iter_mut().find(|l| l.link == link)?;
        uplink.is_established = true;
        self.backoffs.remove(&uplink.to);
        if uplink.kind != LinkKind::Feed {
            return None;
        }
        self.move_at = None;
        let before = self.feed.replace(link).filter(|before| *before != link)?;
        self.links.retain(|l| l.link != before);
        Some(before)
    }

    /// A link failed, was refused or is given up.
    pub fn on_failed(&mut self, now: Instant, link: LinkId, rng: &mut StdRng) {
        let Some(failed) = self.get(link) else { return };
        self.links.retain(|l| l.link != link);
        if self.feed == Some(link) {
            self.feed = None;
        }
        self.back_off(now, failed.to, rng);
    }

    /// Keeps the node from `address` for a while.
    pub fn back_off(&mut self, now: Instant, address: SocketAddr, rng: &mut StdRng) {
        let failures = self.backoffs.get(&address).map_or(0, |a| a.failures + 1);
        let longest = BACKOFF_MIN * 2_u32.pow(failures.min(6));
        let time = longest.min(BACKOFF_MAX).mul_f64(rng.random_range(0.5..1.5));
        let until = now + time;
        self.backoffs.insert(address, Backoff { until, failures });
    }

    /// Brings the links in line with the plan.
    pub fn reconcile(&mut self, now: Instant, plan: &Plan, rng: &mut StdRng) -> LinkChanges {
        let mut changes = LinkChanges::default();
        self.drop_overdue(now, &mut changes, rng);
        self.reconcile_feed(now, plan, rng, &mut changes);
        self.reconcile_observer(now, plan, &mut changes);
        self.reconcile_mesh(now, plan, &mut changes);
        changes
    }

    fn drop_overdue(&mut self, now: Instant, changes: &mut LinkChanges, rng: &mut StdRng) {
        let overdue = |l: &&Uplink| !l.is_established && now >= l.handshake_deadline;
        let overdue: Vec<_> = self.links.iter().filter(overdue).map(|l| l.link).collect();
        for link in overdue {
            self.on_failed(now, link, rng);
            changes.close.push(link);
        }
        let retention = BACKOFF_MAX * 2;
        self.backoffs.retain(|_, a| now < a.until + retention);
    }

    fn reconcile_feed(
        &mut self,
        now: Instant,
        plan: &Plan,
        rng: &mut StdRng,
        changes: &mut LinkChanges,
    ) {
        let is_pending = |l: &Uplink| l.kind == LinkKind::Feed && !l.is_established;
        if self.links.iter().any(is_pending) {
            return;
        }
        let Some(feed) = self.feed() else {
            let choice = self.usable(now, &plan.feed).next();
            self.dial(now, choice, LinkKind::Feed, changes);
            return;
        };
        let preferred = &plan.feed[..plan.preferred];
        if preferred.contains(&feed.to) {
            self.move_at = None;
            return;
        }
        let Some(better) = self.usable(now, preferred).next() else {
            return;
        };
        let jitter = MAX_MOVE_DELAY.mul_f64(rng.random());
        if now >= *self.move_at.get_or_insert(now + jitter) {
            self.dial(now, Some(better), LinkKind::Feed, changes);
        }
    }

    fn reconcile_observer(&mut self, now: Instant, plan: &Plan, changes: &mut LinkChanges) {
        let Some(feed) = self.feed() else { return };
        let not_feed = |a: &SocketAddr| *a != feed.to;
        let mut candidates: Vec<_> = plan.observers.iter().copied().filter(not_feed).collect();
        if candidates.is_empty() && !plan.observers.is_empty() {
            candidates = plan.feed.iter().copied().filter(not_feed).collect();
        }
        let current = self.links.iter().find(|l| l.kind == LinkKind::Observe);
        let current = current.copied();
        // The first few are as good as the first: relays come and go, and a move costs more.
        let mut acceptable = candidates.iter().take(ACCEPTABLE_OBSERVERS);
        if current.is_some_and(|c| acceptable.any(|a| *a == c.to)) {
            return;
        }
        let choice = self.usable(now, &candidates).next();
        if let (Some(current), Some(choice)) = (current, choice) {
            if current.to == choice {
                return;
            }
            self.links.retain(|l| l.link != current.link);
            changes.close.push(current.link);
        }
        self.dial(now, choice, LinkKind::Observe, changes);
    }

    fn reconcile_mesh(&mut self, now: Instant, plan: &Plan, changes: &mut LinkChanges) {
        let is_surplus = |l: &Uplink| l.kind == LinkKind::Mesh && !plan.mesh.contains(&l.to);
        let surplus = self.links.extract_if(.., |l| is_surplus(l));
        changes.close.extend(surplus.map(|l| l.link));
        let candidates: Vec<_> = plan.mesh.iter().copied().collect();
        let missing: Vec<_> = self
            .usable(now, &candidates)
            .filter(|a| !self.has(*a, LinkKind::Mesh))
            .collect();
        for address in missing {
            self.dial(now, Some(address), LinkKind::Mesh, changes);
        }
    }

    fn has(&self, address: SocketAddr, kind: LinkKind) -> bool {
        let same = |l: &Uplink| l.to == address && l.kind == kind;
        self.links.iter().any(same)
    }

    fn usable<'a>(
        &'a self,
        now: Instant,
        addresses: &'a [SocketAddr],
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        let backoffs = move |a: &SocketAddr| self.backoffs.get(a).is_some_and(|v| now < v.until);
        addresses.iter().copied().filter(move |a| !backoffs(a))
    }

    fn dial(
        &mut self,
        now: Instant,
        to: Option<SocketAddr>,
        kind: LinkKind,
        changes: &mut LinkChanges,
    ) {
        let Some(to) = to else { return };
        self.next_number += 1;
        let uplink = Uplink {
            link: LinkId::Dialled(self.next_number),
            to,
            kind,
            is_established: false,
            handshake_deadline: now + HANDSHAKE_TIMEOUT,
        };
        self.links.push(uplink);
        changes.dial.push(uplink);
    }
}
