//! The owners of flows before the last changes of a service.
//!
//! Balancers receive a change at different times, and a flow without a connection id is sent to the home
//! that *its* balancer computes. Therefore an agent keeps the previous sets of placements, each until a
//! deadline, and can compute every home that a flow had within that time.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::flow::FlowKey;
use crate::flow_table::Peer;
use crate::routing::{Placement, ServerFilter, ServiceTable, first_by_score};
use crate::time::{Now, UnixMillis};

/// Maximum number of previous sets; the oldest is deleted first.
const MAX_PREVIOUS: usize = 16;

#[derive(Clone, Debug)]
struct Previous {
    placements: Box<[Placement]>,
    until: Instant,
}

/// The table of a service, and the eligible placements before its last changes.
#[derive(Clone, Debug)]
pub struct OwnerHistory {
    table: Arc<ServiceTable>,
    current: Box<[Placement]>,
    /// When the next placement of the table becomes eligible.
    next_eligible: Option<UnixMillis>,
    /// Previous sets, the newest first.
    previous: VecDeque<Previous>,
    keep: Duration,
}

impl OwnerHistory {
    /// Creates an empty history that keeps each set for `keep` after it was replaced.
    pub fn new(keep: Duration) -> Self {
        Self {
            table: Arc::default(),
            current: Box::default(),
            next_eligible: None,
            previous: VecDeque::new(),
            keep,
        }
    }

    /// The table in force.
    pub fn table(&self) -> &ServiceTable {
        &self.table
    }

    /// The placements in force that are eligible.
    pub fn current(&self) -> &[Placement] {
        &self.current
    }

    /// Replaces the table in force.
    pub fn on_table(&mut self, now: Now, table: Arc<ServiceTable>) {
        self.table = table;
        self.update(now);
    }

    /// Advances the history to `now`: placements become eligible, and expired sets are deleted.
    pub fn on_tick(&mut self, now: Now) {
        if self.next_eligible.is_some_and(|at| at <= now.wall) {
            self.update(now);
        }
        while self.previous.back().is_some_and(|p| p.until <= now.instant) {
            self.previous.pop_back();
        }
    }

    fn update(&mut self, now: Now) {
        let all = self.table.placements();
        let eligible = all.iter().filter(|p| p.eligible_at <= now.wall);
        let eligible: Box<[_]> = eligible.copied().collect();
        let later = all.iter().map(|p| p.eligible_at);
        self.next_eligible = later.filter(|at| *at > now.wall).min();
        if eligible == self.current {
            return;
        }
        let placements = std::mem::replace(&mut self.current, eligible);
        let until = now.instant + self.keep;
        if !placements.is_empty() {
            self.previous.push_front(Previous { placements, until });
            self.previous.truncate(MAX_PREVIOUS);
        }
    }

    /// The distinct homes of a flow that pass `filter`: the current one, then the previous ones, the latest
    /// first.
    pub fn homes(&self, now: Now, key: FlowKey, filter: ServerFilter) -> Vec<Peer> {
        let kept = self.previous.iter().filter(|p| p.until > now.instant);
        let sets = std::iter::once(&self.current).chain(kept.map(|p| &p.placements));
        let mut homes = Vec::new();
        for set in sets {
            let Some(p) = first_by_score(set.iter(), key) else {
                continue;
            };
            let peer = Peer {
                server: p.server,
                tunnel: p.tunnel,
            };
            if !homes.contains(&peer) && self.table.is_live_at(peer, filter) {
                homes.push(peer);
            }
        }
        homes
    }
}
