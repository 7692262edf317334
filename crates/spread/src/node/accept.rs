//! Decides which nodes may be children; handles the start and the end of links.

use std::sync::Arc;

use dogwoodrill_core::directory::Record;
use dogwoodrill_core::ids::AvailabilityZone;

use super::{Node, send};
use crate::message::{
    FreshnessQuery, FreshnessReply, Hello, LinkId, LinkKind, Message, NodeRole, Output,
};
use crate::time::Now;
use crate::topology::{TARGET_CHILDREN, relays_for};

/// Lower bound of the limit on the children of a balancer, a fifth above the number from which the
/// number of relays is computed.
const MIN_CHILD_LIMIT: usize = TARGET_CHILDREN * 6 / 5;
/// Maximum number of children of a control host while there are live balancers.
const MAX_CONTROL_CHILDREN: usize = 128;
/// Maximum number of balancers listed in a refusal or in a reply to a freshness query.
const MAX_SUGGESTED_BALANCERS: usize = 6;

impl Node {
    /// Returns the reply to a freshness query.
    pub fn freshness_reply(&self, now: Now, query: &FreshnessQuery) -> FreshnessReply {
        FreshnessReply {
            node: self.node(),
            role: self.role,
            index: self.pending_config.index.max(self.index()),
            beacon: self.freshness.newest(),
            beacon_age: self.freshness.age(now.instant),
            balancers: self.balancers_for(query),
        }
    }

    fn balancers_for(&self, query: &FreshnessQuery) -> Vec<Arc<Record>> {
        let mut relays = relays_for(query.node, &query.zone, &self.directory, &self.config);
        if relays.is_empty() {
            relays = self.directory.live_balancers().to_vec();
        }
        relays.truncate(MAX_SUGGESTED_BALANCERS);
        relays
    }

    /// Number of links of one kind that other nodes dialled.
    pub(super) fn children(&self, kind: LinkKind) -> usize {
        let links = self.links.values();
        links
            .filter(|l| !l.dialled && l.peer.is_some() && l.kind == Some(kind))
            .count()
    }

    /// Refuses one child of each kind if there are more than the limit. A relay that started early may
    /// have accepted too many while it knew of few other balancers.
    pub(super) fn shed_excess_children(&mut self, out: &mut Vec<Output>) {
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

    fn can_accept(&self, kind: LinkKind, zone: &AvailabilityZone) -> bool {
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

    /// The limit is higher in a zone with few balancers.
    fn relay_limit(&self, zone: &AvailabilityZone) -> usize {
        let members = self.directory.member_count(zone);
        let near = self.directory.live_balancers_in(zone).len();
        // The members of a zone without balancers link to those of its region; the number of all is a
        // sufficient estimate.
        let all = self.directory.live_balancers().len();
        let balancers = if near > 0 { near } else { all.max(1) };
        MIN_CHILD_LIMIT.max(2 * members.div_ceil(balancers))
    }

    pub(super) fn handle_hello(
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
            return self.handle_repeated_hello(link, &hello, out);
        }
        if known.dialled {
            self.handle_hello_reply(link, hello, out);
        } else if self.can_accept(hello.kind, &hello.zone) {
            self.accept(link, hello, out);
        } else {
            self.refuse(link, &hello, out);
        }
        self.pending.schedule_flush(now.instant);
    }

    /// Handles a further hello: the other end, or this node, had been too slow and is ready again.
    fn handle_repeated_hello(&mut self, link: LinkId, hello: &Hello, out: &mut Vec<Output>) {
        if hello.index > self.pending_config.index.max(self.index()) {
            out.push(send(link, Message::Pull(self.index())));
        }
    }

    fn handle_hello_reply(&mut self, link: LinkId, hello: Hello, out: &mut Vec<Output>) {
        self.record_hello(link, hello);
        if let Some(before) = self.uplinks.on_established(link) {
            self.close_link(before, out);
        }
        let observes = self.links.get(&link).and_then(|l| l.kind) == Some(LinkKind::Observe);
        if let Some(subject) = self.subject() {
            out.push(send(link, Message::Heartbeat(subject)));
        }
        if !observes {
            self.send_digests_on(link, out);
            self.progress_sent = crate::progress::Progress::default();
            self.send_initial_state(link, out);
        }
    }

    fn accept(&mut self, link: LinkId, hello: Hello, out: &mut Vec<Output>) {
        let kind = hello.kind;
        self.record_hello(link, hello);
        self.send_hello(link, kind, out);
        if kind != LinkKind::Observe {
            self.send_initial_state(link, out);
        }
    }

    fn record_hello(&mut self, link: LinkId, hello: Hello) {
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
        // Its heartbeats go to another observer from now on; that none arrive here is no sign of a
        // failure.
        if let Some(subject) = self.links.remove(&link).and_then(|l| l.subject) {
            self.observer.on_bye(subject);
        }
        out.push(send(link, Message::Refusal(balancers)));
        out.push(Output::Close { link });
    }

    pub(super) fn handle_refusal(
        &mut self,
        now: Now,
        link: LinkId,
        balancers: Vec<Arc<Record>>,
        out: &mut Vec<Output>,
    ) {
        self.handle_records(now, link, balancers, out);
        self.links.remove(&link);
        self.uplinks.on_failed(now.instant, link, &mut self.rng);
        out.push(Output::Close { link });
        self.review_at = now.instant;
    }

    /// Handles the end of a link that the other end closes on purpose; its member is observed
    /// elsewhere.
    pub(super) fn handle_bye(&mut self, now: Now, link: LinkId, out: &mut Vec<Output>) {
        let subject = self.links.remove(&link).and_then(|l| l.subject);
        if let Some(subject) = subject {
            self.observer.on_bye(subject);
        }
        self.uplinks.on_failed(now.instant, link, &mut self.rng);
        out.push(Output::Close { link });
        self.maintain_uplinks(now, out);
    }
}
