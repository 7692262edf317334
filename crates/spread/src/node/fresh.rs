//! Beacons, the start of a node, and whether it may serve.

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

/// Nodes asked in one inquiry.
const MAX_QUERIED: usize = 3;
/// Nodes asked besides once an inquiry brought no answer.
const MAX_QUERIED_WIDENED: usize = 6;

impl Node {
    /// At a control host that is in contact with a majority: sends the beacon when it is due. Call it
    /// at each tick, and after each commit.
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
        self.hear(now, beacon, &mut out);
        out
    }

    /// A question was answered, or not.
    pub fn on_freshness_reply(
        &mut self,
        now: Now,
        from: SocketAddr,
        answer: Option<&FreshnessReply>,
    ) -> Vec<Output> {
        let mut out = Vec::new();
        if let Some(answer) = answer {
            for balancer in &answer.balancers {
                self.take_record(now, None, balancer, &mut out);
            }
        }
        self.isolation_check.on_freshness_reply(from, answer);
        if let Some(startup) = &mut self.startup {
            startup.on_freshness_reply(from, answer);
            self.plan = crate::topology::plan(&self.location, &self.directory, &self.config);
            self.ask_relays(answer, &mut out);
        }
        self.tend_freshness(now, &mut out);
        self.tend_uplinks(now, &mut out);
        self.flush(now, &mut out);
        out
    }

    /// Where no control host has answered, the word of several relays is wanted.
    fn ask_relays(&mut self, answer: Option<&FreshnessReply>, out: &mut Vec<Output>) {
        let Some(startup) = &mut self.startup else {
            return;
        };
        let Some(answer) = answer else { return };
        if startup.control_answered() {
            return;
        }
        let me = MemberId::Balancer(self.location.node);
        let others = answer.balancers.iter().filter(|r| r.member != me);
        let asks = startup.ask(others.map(|r| r.peer).take(MAX_QUERIED));
        out.extend(asks.into_iter().map(|to| Output::QueryFreshness { to }));
    }

    pub(super) fn take_beacon(
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
        let behind = self.index().max(self.held.index) < self.freshness.newest().index;
        if self.hear(now, beacon, out) && behind {
            out.push(send(link, Message::Pull(self.index())));
        }
    }

    fn hear(&mut self, now: Now, beacon: Beacon, out: &mut Vec<Output>) -> bool {
        if !self.freshness.hear(now.instant, beacon) {
            return false;
        }
        self.isolation_check.on_fresh(now.instant);
        self.set_serving_status(ServingStatus::Serving, out);
        let takers = self.links.iter().filter(|(_, l)| l.takes_beacons());
        let takers: Vec<_> = takers.map(|(id, _)| *id).collect();
        for link in takers {
            self.send_beacon(link, out);
        }
        true
    }

    pub(super) fn send_beacon(&mut self, link: LinkId, out: &mut Vec<Output>) {
        let newest = self.freshness.newest();
        let Some(known) = self.links.get_mut(&link) else {
            return;
        };
        if known.takes_beacons() && known.beacon < newest {
            known.beacon = newest;
            out.push(send(link, Message::Beacon(newest)));
        }
    }

    pub(super) fn tend_freshness(&mut self, now: Now, out: &mut Vec<Output>) {
        self.tend_startup(now, out);
        if self.role == NodeRole::Control || self.freshness.is_fresh(now.instant) {
            return;
        }
        let jitter = OUTAGE_INTERVAL.mul_f64(self.rng.random());
        if let Some(finding) = self.isolation_check.conclude(now.instant, jitter) {
            self.act_on(now, &finding, out);
        }
        if self.isolation_check.is_due(now.instant) {
            let asked = self.whom_to_ask();
            out.extend(asked.iter().map(|to| Output::QueryFreshness { to: *to }));
            self.isolation_check.begin(now.instant, asked);
        }
    }

    fn tend_startup(&mut self, now: Now, out: &mut Vec<Output>) {
        let Some(startup) = &mut self.startup else {
            return;
        };
        startup.restart_if_silent(now.instant);
        if startup.may_serve(now.instant, self.held.index) {
            self.serve_held(now, out);
            return;
        }
        let seeds = self.location.seeds.iter().copied();
        let asks = startup.ask(seeds.take(MAX_QUERIED));
        out.extend(asks.into_iter().map(|to| Output::QueryFreshness { to }));
    }

    fn act_on(&mut self, now: Now, finding: &IsolationFinding, out: &mut Vec<Output>) {
        self.set_serving_status(self.isolation_check.serving_status(), out);
        let Some(feed) = self.uplinks.feed() else {
            return;
        };
        if let IsolationFinding::Elsewhere(stale) = finding {
            for address in stale {
                self.uplinks.avoid(now.instant, *address, &mut self.rng);
            }
        }
        let leave = match finding {
            IsolationFinding::Elsewhere(_) => true,
            // The relay itself does not answer; its link only looks alive.
            IsolationFinding::ControlOut(stale) => !stale.contains(&feed.to),
            IsolationFinding::Silence => false,
        };
        if leave {
            self.uplinks
                .on_failed(now.instant, feed.link, &mut self.rng);
            self.end(feed.link, out);
            self.tend_uplinks(now, out);
        }
    }

    /// The node's own relay and a few siblings; once they are silent, whoever else is known.
    fn whom_to_ask(&mut self) -> Vec<SocketAddr> {
        let feed = self.uplinks.feed().map(|f| f.to);
        let siblings = self.plan.feed.iter().copied();
        let siblings = siblings.filter(|a| Some(*a) != feed);
        let mut asked: Vec<_> = feed.into_iter().collect();
        asked.extend(siblings.take(MAX_QUERIED));
        if self.isolation_check.must_widen() {
            let own = self.own.as_ref().map(|o| o.member);
            let others = self.directory.records().filter(|r| Some(r.member) != own);
            let more: Vec<&Record> = others.choose_multiple(&mut self.rng, MAX_QUERIED_WIDENED);
            asked.extend(more.into_iter().map(|r| r.peer));
            asked.extend(self.location.seeds.iter().take(MAX_QUERIED));
        }
        asked.sort_unstable();
        asked.dedup();
        asked
    }

    fn set_serving_status(&mut self, serving_status: ServingStatus, out: &mut Vec<Output>) {
        if self.serving_status != serving_status {
            self.serving_status = serving_status;
            out.push(Output::ServingStatus(serving_status));
        }
    }
}
