//! Handles beacons, the startup of a node, and whether it may serve.

use std::net::SocketAddr;
use std::time::Duration;

use dogwoodrill_core::directory::{MemberId, Record};
use rand::Rng;
use rand::seq::IteratorRandom;

use super::{Node, send};
use crate::beacon::{BEACON_INTERVAL, Beacon, CommitPosition};
use crate::inquiry::{IsolationFinding, OUTAGE_INTERVAL};
use crate::message::{FreshnessReply, LinkId, Message, NodeRole, Output};
use crate::standing::ServingStatus;
use crate::time::Now;

/// Number of nodes queried in one round.
const MAX_QUERIED: usize = 3;
/// Number of additional nodes queried after a round without a reply.
const MAX_QUERIED_WIDENED: usize = 6;

impl Node {
    /// Sends the beacon when it is due, at a control host that is connected to a majority. Must be
    /// called at each tick and after each commit.
    pub fn on_commit(&mut self, now: Now, commit: CommitPosition) -> Vec<Output> {
        let mut out = Vec::new();
        let newest = self.freshness.newest();
        let ahead = commit.index > newest.index || commit.term > newest.term;
        if now.instant < self.beacon_at && !ahead {
            return out;
        }
        self.beacon_at = now.instant + BEACON_INTERVAL;
        let after = newest.sent_at.plus(Duration::from_millis(1));
        let beacon = Beacon {
            term: commit.term,
            sent_at: now.wall.max(after),
            index: commit.index,
        };
        self.accept_beacon(now, beacon, &mut out);
        out
    }

    /// Handles the reply to a freshness query, or that there was none.
    pub fn on_freshness_reply(
        &mut self,
        now: Now,
        from: SocketAddr,
        reply: Option<&FreshnessReply>,
    ) -> Vec<Output> {
        let mut out = Vec::new();
        if let Some(reply) = reply {
            for balancer in &reply.balancers {
                self.handle_record(now, None, balancer, &mut out);
            }
        }
        self.isolation_check.on_freshness_reply(from, reply);
        if let Some(startup) = &mut self.startup {
            startup.on_freshness_reply(from, reply);
            self.plan = crate::topology::plan(&self.location, &self.directory, &self.config);
            self.query_relays(reply, &mut out);
        }
        self.maintain_freshness(now, &mut out);
        self.maintain_uplinks(now, &mut out);
        self.flush(now, &mut out);
        out
    }

    /// Queries the balancers that a reply lists. Without the reply of a control host, a starting node
    /// needs the replies of several relays.
    fn query_relays(&mut self, reply: Option<&FreshnessReply>, out: &mut Vec<Output>) {
        let Some(startup) = &mut self.startup else {
            return;
        };
        let Some(reply) = reply else { return };
        if startup.has_control_reply() {
            return;
        }
        let me = MemberId::Balancer(self.location.node);
        let others = reply.balancers.iter().filter(|r| r.member != me);
        let queries = startup.query(others.map(|r| r.peer).take(MAX_QUERIED));
        out.extend(queries.into_iter().map(|to| Output::QueryFreshness { to }));
    }

    pub(super) fn handle_beacon(
        &mut self,
        now: Now,
        link: LinkId,
        beacon: Beacon,
        out: &mut Vec<Output>,
    ) {
        let Some(known) = self.links.get_mut(&link) else {
            return;
        };
        known.beacon = known.beacon.max(beacon);
        let behind = self.index().max(self.pending_config.index) < self.freshness.newest().index;
        if self.accept_beacon(now, beacon, out) && behind {
            out.push(send(link, Message::Pull(self.index())));
        }
    }

    fn accept_beacon(&mut self, now: Now, beacon: Beacon, out: &mut Vec<Output>) -> bool {
        if !self.freshness.update(now.instant, beacon) {
            return false;
        }
        self.isolation_check.on_fresh(now.instant);
        self.set_serving_status(ServingStatus::Serving, out);
        let receivers = self.links.iter().filter(|(_, l)| l.accepts_beacons());
        let receivers: Vec<_> = receivers.map(|(id, _)| *id).collect();
        for link in receivers {
            self.send_beacon(link, out);
        }
        true
    }

    pub(super) fn send_beacon(&mut self, link: LinkId, out: &mut Vec<Output>) {
        let newest = self.freshness.newest();
        let Some(known) = self.links.get_mut(&link) else {
            return;
        };
        if known.accepts_beacons() && known.beacon < newest {
            known.beacon = newest;
            out.push(send(link, Message::Beacon(newest)));
        }
    }

    pub(super) fn maintain_freshness(&mut self, now: Now, out: &mut Vec<Output>) {
        self.maintain_startup(now, out);
        if self.role == NodeRole::Control || self.freshness.is_fresh(now.instant) {
            return;
        }
        let jitter = OUTAGE_INTERVAL.mul_f64(self.rng.random());
        if let Some(finding) = self.isolation_check.finish_round(now.instant, jitter) {
            self.apply_finding(now, &finding, out);
        }
        if self.isolation_check.is_due(now.instant) {
            let queried = self.nodes_to_query();
            out.extend(queried.iter().map(|to| Output::QueryFreshness { to: *to }));
            self.isolation_check.start_round(now.instant, queried);
        }
    }

    fn maintain_startup(&mut self, now: Now, out: &mut Vec<Output>) {
        let Some(startup) = &mut self.startup else {
            return;
        };
        startup.restart_if_unanswered(now.instant);
        if startup.may_serve(now.instant, self.pending_config.index) {
            self.start_serving(now, out);
            return;
        }
        let seeds = self.location.seeds.iter().copied();
        let queries = startup.query(seeds.take(MAX_QUERIED));
        out.extend(queries.into_iter().map(|to| Output::QueryFreshness { to }));
    }

    fn apply_finding(&mut self, now: Now, finding: &IsolationFinding, out: &mut Vec<Output>) {
        self.set_serving_status(self.isolation_check.serving_status(), out);
        let Some(feed) = self.uplinks.feed() else {
            return;
        };
        if let IsolationFinding::FreshElsewhere(stale) = finding {
            for address in stale {
                self.uplinks.back_off(now.instant, *address, &mut self.rng);
            }
        }
        let leave = match finding {
            IsolationFinding::FreshElsewhere(_) => true,
            // The relay itself does not reply: its link only appears to be alive.
            IsolationFinding::ControlUnreachable(stale) => !stale.contains(&feed.to),
            IsolationFinding::NoReplies => false,
        };
        if leave {
            self.uplinks
                .on_failed(now.instant, feed.link, &mut self.rng);
            self.close_link(feed.link, out);
            self.maintain_uplinks(now, out);
        }
    }

    /// The addresses to query: the node's own relay and a few other relays and, after a round without a
    /// reply, other members and the addresses from the settings.
    fn nodes_to_query(&mut self) -> Vec<SocketAddr> {
        let feed = self.uplinks.feed().map(|f| f.to);
        let siblings = self.plan.feed.iter().copied();
        let siblings = siblings.filter(|a| Some(*a) != feed);
        let mut queried: Vec<_> = feed.into_iter().collect();
        queried.extend(siblings.take(MAX_QUERIED));
        if self.isolation_check.must_widen() {
            let own = self.own.as_ref().map(|o| o.member);
            let others = self.directory.records().filter(|r| Some(r.member) != own);
            let more: Vec<&Record> = others.choose_multiple(&mut self.rng, MAX_QUERIED_WIDENED);
            queried.extend(more.into_iter().map(|r| r.peer));
            queried.extend(self.location.seeds.iter().take(MAX_QUERIED));
        }
        queried.sort_unstable();
        queried.dedup();
        queried
    }

    fn set_serving_status(&mut self, serving_status: ServingStatus, out: &mut Vec<Output>) {
        if self.serving_status != serving_status {
            self.serving_status = serving_status;
            out.push(Output::ServingStatus(serving_status));
        }
    }
}
