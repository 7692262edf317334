//! The links that a node dials, each of a [`LinkKind`]: one feed, which transfers all state to the node; one
//! link to a second observer; and mesh links, which connect nodes of one level. An observer of a node
//! receives its heartbeats and reports when they stop ([`observer`](crate::observer)); the first one is the
//! other end of the feed.
//!
//! While the current feed works, it is replaced make-before-break: it is closed only once its successor
//! is established. An address that failed is not dialled again until a backoff has passed, which
//! doubles with each failure and has jitter. Nodes that lose the same relay therefore neither return to
//! it at once nor overload the next one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::StdRng;

use crate::message::{LinkId, LinkKind};
use crate::topology::Plan;

/// Backoff after the first failure of an address.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Maximum backoff, before jitter.
const BACKOFF_MAX: Duration = Duration::from_secs(10);
/// Maximum random delay before a node moves to a better relay.
const MAX_MOVE_DELAY: Duration = Duration::from_secs(2);
/// Number of leading observer addresses that are acceptable: a node linked to one of them does not
/// move.
const ACCEPTABLE_OBSERVERS: usize = 3;
/// Time in which a link must connect and receive the first message of the other end.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// A link that this node dialled.
#[derive(Clone, Copy, Debug)]
pub struct Uplink {
    /// The identifier of the link.
    pub link: LinkId,
    /// The address of the other end.
    pub to: SocketAddr,
    /// The purpose of the link.
    pub kind: LinkKind,
    /// Whether the other end has sent its [`Hello`](crate::message::Hello).
    pub is_established: bool,
    handshake_deadline: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Instant,
    failures: u32,
}

/// Links that the driver must dial and close.
#[derive(Clone, Debug, Default)]
pub struct LinkChanges {
    /// Links to dial.
    pub dial: Vec<Uplink>,
    /// Links to close.
    pub close: Vec<LinkId>,
}

/// The links that a node dials.
#[derive(Debug, Default)]
pub struct Uplinks {
    links: Vec<Uplink>,
    backoffs: BTreeMap<SocketAddr, Backoff>,
    /// The established feed in use; a replacement for it may be pending.
    feed: Option<LinkId>,
    move_at: Option<Instant>,
    next_number: u64,
}

impl Uplinks {
    /// The feed in use.
    pub fn feed(&self) -> Option<Uplink> {
        self.get(self.feed?)
    }

    /// The link with the given identifier.
    pub fn get(&self, link: LinkId) -> Option<Uplink> {
        self.links.iter().find(|l| l.link == link).copied()
    }

    /// All links.
    pub fn all(&self) -> impl Iterator<Item = &Uplink> {
        self.links.iter()
    }

    /// Handles the first message of the other end. A feed is now used; the feed that it replaces, if
    /// any, is returned.
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

    /// Handles a link that failed, was refused or is abandoned: its address gets a backoff.
    pub fn on_failed(&mut self, now: Instant, link: LinkId, rng: &mut StdRng) {
        let Some(failed) = self.get(link) else { return };
        self.links.retain(|l| l.link != link);
        if self.feed == Some(link) {
            self.feed = None;
        }
        self.back_off(now, failed.to, rng);
    }

    /// Starts a backoff for `address`, during which it is not dialled.
    pub fn back_off(&mut self, now: Instant, address: SocketAddr, rng: &mut StdRng) {
        let failures = self.backoffs.get(&address).map_or(0, |a| a.failures + 1);
        let backoff = BACKOFF_MIN * 2_u32.pow(failures.min(6));
        let delay = backoff.min(BACKOFF_MAX).mul_f64(rng.random_range(0.5..1.5));
        let until = now + delay;
        self.backoffs.insert(address, Backoff { until, failures });
    }

    /// Compares the links with the plan and returns the links to dial and to close.
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
        // The first few addresses are equally acceptable: relays change often, and moving costs more
        // than a worse position.
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
