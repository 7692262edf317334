//! Offers of idle slots to peers, and the use of theirs.

use std::net::Ipv4Addr;
use std::time::Instant;

use rand::seq::IteratorRandom;

use super::openings::MAX_HOPS;
use super::{Action, Agent};
use crate::forwarded::decision::Reason;
use crate::forwarded::packet::FlowKey;
use crate::forwarded::report::ReceivedReport;

/// Openings that a server can receive while its slots are in use: opening a flow takes about half as long as a
/// request, so that the slot is free when the request arrives.
const OPENINGS_AHEAD: u32 = 1;

impl Agent {
    /// Offers idle slots of the server to peers at which opening packets wait.
    pub(super) fn offer_idle_slots(&mut self, now: Instant) {
        let taken = self.busy.saturating_add(self.offers.outstanding(now));
        let idle = (self.slots() + OPENINGS_AHEAD).saturating_sub(taken);
        if idle == 0 || !self.queue.is_empty() || !self.can_take_openings(now) {
            return;
        }
        let Some(service) = self.server.statement().map(|s| s.service.clone()) else {
            return;
        };
        let work = self.work_time(now);
        for _ in 0..idle {
            let peers = self.mesh.reachable_agents(now, &service);
            let waiting = |r: &ReceivedReport| r.report.waiting.saturating_sub(r.offered_since);
            let peers = peers.filter(|(_, received)| waiting(received) > 0);
            // The better of two, so that idle servers don't all offer to the same peer.
            let drawn = peers.choose_multiple(&mut self.rng, 2).into_iter();
            let Some((to, _)) = drawn.max_by_key(|(_, received)| waiting(received)) else {
                return;
            };
            self.mesh.on_offered(to);
            self.offers.on_sent(now, work);
            self.actions.push(Action::OfferSlot { to });
        }
    }

    /// Whether peers may send opening packets here: the server is ready, warm and not suspended, and its zone enabled.
    fn can_take_openings(&self, now: Instant) -> bool {
        let statement = self.server.statement();
        !self.is_stopping
            && self.server.unavailability(now).is_none()
            && !self.server.is_cold(now)
            && !self.outlier.is_suspended()
            && statement.is_some_and(|s| self.map.is_zone_enabled(&s.zone))
    }

    /// Handles an offer of `from` to take an opening packet.
    pub fn on_slot_offer(&mut self, now: Instant, from: Ipv4Addr) {
        let work = self.work_time(now);
        let waiting = self.queue.in_order(self.server_load(now));
        let mut usable = waiting.iter().copied();
        let next = usable.find(|flow| self.may_redirect_to(now, from, *flow));
        match next.and_then(|flow| self.queue.remove(flow)) {
            Some(w) => {
                self.offers.on_used();
                self.forward_queued(now, from, &w, Reason::SlotOffered);
            }
            None => self.offers.keep(now, from, work),
        }
    }

    /// Takes an offer of a peer for a packet that came from `from`.
    pub(super) fn take_slot_offer(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        key: FlowKey,
    ) -> Option<Ipv4Addr> {
        let peers = self.offers.valid(now).filter(|ip| *ip != from);
        let mut usable = peers.filter(|ip| self.may_redirect_to(now, *ip, key));
        let to = usable.next()?;
        drop(usable);
        self.offers.use_offer(now, to);
        Some(to)
    }

    /// Whether the opening packet of a flow may be redirected to the agent at `ip`, by its last report.
    fn may_redirect_to(&self, now: Instant, ip: Ipv4Addr, key: FlowKey) -> bool {
        let report = self.mesh.get(ip).and_then(|peer| peer.report.as_ref());
        let hops = self.queue.get(key).map_or(0, |w| w.header.trail.hops);
        hops < MAX_HOPS
            && self.mesh.is_live(now, ip)
            && !self.mesh.is_losing_openings(now, ip)
            && report.is_some_and(|received| {
                let report = &received.report;
                let route = self.map.route(key.service);
                report.is_accepting
                    && !report.responses.is_suspended
                    && route.is_some_and(|r| r.allows(&report.service))
                    && self.map.is_zone_enabled(&report.zone)
            })
    }
}
