//! Who may be a child, and how links are greeted and ended.

use std::sync::Arc;

use dogwoodrill_core::directory::Record;
use dogwoodrill_core::ids::AvailabilityZone;

use super::{Node, send};
use crate::message::{
    FreshnessQuery, FreshnessReply, Hello, LinkId, LinkKind, Message, NodeRole, Output,
};
use crate::time::Now;
use crate::topology::{TARGET_CHILDREN, relays_for};

/// Children that a balancer takes at least, a fifth above what the number of relays is made for.
const MAX_CHILDREN: usize = TARGET_CHILDREN * 6 / 5;
/// Children that a control host takes, as long as there are balancers that could.
const MAX_CONTROL_CHILDREN: usize = 128;
/// Balancers that are named to a node that is refused, or that asks.
const NAMED_BALANCERS: usize = 6;

impl Node {
    /// Answers a node that asks how fresh this one is.
    pub fn answer(&self, now: Now, question: &FreshnessQuery) -> FreshnessReply {
        FreshnessReply {
            node: self.node(),
            role: self.role,
            index: self.held.index.max(self.index()),
            beacon: self.freshness.newest(),
            beacon_age: self.freshness.age(now.instant),
            balancers: self.balancers_for(question),
        }
    }

    fn balancers_for(&self, question: &FreshnessQuery) -> Vec<Arc<Record>> {
        let mut relays = relays_for(question.node, &question.zone, &self.directory, &self.config);
        if relays.is_empty() {
            relays = self.directory.live_balancers().to_vec();
        }
        relays.truncate(NAMED_BALANCERS);
        relays
    }

    /// Links of one kind that others dialled.
    pub(super) fn children(&self, kind: LinkKind) -> usize {
        let links = self.links.values();
        links
            .filter(|l| !l.dialled && l.peer.is_some() && l.kind == Some(kind))
            .count()
    }

    /// Sends one child too many of each kind away. A relay that started early took them when it knew
    /// of few others.
    pub(super) fn relieve(&mut self, out: &mut Vec<Output>) {
        for kind in [LinkKind::Feed, LinkKind::Observe] {
            let below = self.links.iter().filter(|(_, l)| !l.dialled);
            let of_kind = below.filter(|(_, l)| l.kind == Some(kind));
            let Some((link, hello)) = of_kind
                .filter_map(|(id, l)| Some((*id, l.peer.clone()?)))
                .next_back()
            else {
                continue;
            };
            if self.children(kind) > self.limit(kind, &hello.zone) {
                self.refuse(link, &hello, out);
            }
        }
    }

    fn may_accept(&self, kind: LinkKind, zone: &AvailabilityZone) -> bool {
        self.children(kind) < self.limit(kind, zone)
    }

    fn limit(&self, kind: LinkKind, zone: &AvailabilityZone) -> usize {
        match (kind, self.role) {
            (LinkKind::Mesh, _) => usize::MAX,
            (LinkKind::Feed, NodeRole::Control) => self.control_limit(),
            (LinkKind::Feed | LinkKind::Observe, _) => self.relay_limit(zone),
        }
    }

    fn control_limit(&self) -> usize {
        if self.directory.live_balancers().is_empty() {
            return usize::MAX;
        }
        MAX_CONTROL_CHILDREN
    }

    /// A zone with few balancers has more children for each.
    fn relay_limit(&self, zone: &AvailabilityZone) -> usize {
        let members = self.directory.member_count(zone);
        let near = self.directory.live_balancers_in(zone).len();
        // A zone without any goes to the balancers of its region; all are enough of an estimate.
        let all = self.directory.live_balancers().len();
        let balancers = if near > 0 { near } else { all.max(1) };
        MAX_CHILDREN.max(2 * members.div_ceil(balancers))
    }

    pub(super) fn take_hello(
        &mut self,
        now: Now,
        link: LinkId,
        hello: Hello,
        out: &mut Vec<Output>,
    ) {
        let Some(known) = self.links.get(&link) else {
            return;
        };
        if known.peer.is_some() {
            return self.take_later_hello(link, &hello, out);
        }
        if known.dialled {
            self.take_greeting(link, hello, out);
        } else if self.may_accept(hello.kind, &hello.zone) {
            self.accept(link, hello, out);
        } else {
            self.refuse(link, &hello, out);
        }
        self.news.flush_soon(now.instant);
    }

    /// The other end has caught up after it, or this node, was too slow.
    fn take_later_hello(&mut self, link: LinkId, hello: &Hello, out: &mut Vec<Output>) {
        if hello.index > self.held.index.max(self.index()) {
            out.push(send(link, Message::Pull(self.index())));
        }
    }

    fn take_greeting(&mut self, link: LinkId, hello: Hello, out: &mut Vec<Output>) {
        self.enter(link, hello);
        if let Some(before) = self.uplinks.on_greeted(link) {
            self.end(before, out);
        }
        let observes = self.links.get(&link).and_then(|l| l.kind) == Some(LinkKind::Observe);
        if let Some(subject) = self.own_incarnation() {
            out.push(send(link, Message::Heartbeat(subject)));
        }
        if !observes {
            self.send_digests_on(link, out);
            self.progress_sent = crate::progress::Progress::default();
            self.send_standing_state(link, out);
        }
    }

    fn accept(&mut self, link: LinkId, hello: Hello, out: &mut Vec<Output>) {
        let kind = hello.kind;
        self.enter(link, hello);
        self.greet(link, kind, out);
        if kind != LinkKind::Observe {
            self.send_standing_state(link, out);
        }
    }

    fn enter(&mut self, link: LinkId, hello: Hello) {
        if let Some(known) = self.links.get_mut(&link) {
            known.kind = known.kind.or(Some(hello.kind));
            known.index = hello.index;
            known.peer = Some(hello);
        }
    }

    fn refuse(&mut self, link: LinkId, hello: &Hello, out: &mut Vec<Output>) {
        let balancers = self.balancers_for(&FreshnessQuery {
            node: hello.node,
            zone: hello.zone.clone(),
        });
        // Its heartbeats go elsewhere from now on; their absence here means nothing.
        if let Some(subject) = self.links.remove(&link).and_then(|l| l.subject) {
            self.observer.on_bye(subject);
        }
        out.push(send(link, Message::Refusal(balancers)));
        out.push(Output::Close { link });
    }

    pub(super) fn take_refusal(
        &mut self,
        now: Now,
        link: LinkId,
        balancers: Vec<Arc<Record>>,
        out: &mut Vec<Output>,
    ) {
        self.take_records(now, link, balancers, out);
        self.links.remove(&link);
        self.uplinks.on_failed(now.instant, link, &mut self.rng);
        out.push(Output::Close { link });
        self.review_at = now.instant;
    }

    /// The other end goes away on purpose; its member is observed elsewhere.
    pub(super) fn take_bye(&mut self, now: Now, link: LinkId, out: &mut Vec<Output>) {
        let subject = self.links.remove(&link).and_then(|l| l.subject);
        if let Some(subject) = subject {
            self.observer.on_bye(subject);
        }
        self.uplinks.on_failed(now.instant, link, &mut self.rng);
        out.push(Output::Close { link });
        self.tend_uplinks(now, out);
    }
}
