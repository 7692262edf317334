//! Finds where a flow is: at this agent, or at the agent that its keepers have stored.

use std::net::Ipv4Addr;
use std::time::Instant;

use super::{Action, Agent, Disposition, Flow, IDLE_TTL};
use crate::forwarded::decision::{Decision, Step};
use crate::forwarded::keepers::{FlowLocation, Keepers};
use crate::forwarded::packet::{FlowKey, Header, Purpose, Trail};

/// Most hops of a packet between agents; bounds loops between nodes with stale views.
pub(super) const MAX_NON_OPENING_HOPS: u8 = 6;
/// Flows that are announced to new keepers per tick.
const MAX_ANNOUNCED_PER_TICK: usize = 64;

impl Agent {
    /// Finds the destination of a packet whose flow is not known at this agent, or is known but not open and
    /// the packet does not acknowledge the initial sequence number of this agent's server.
    pub(super) fn locate(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        header: &Header,
        packet: &[u8],
    ) -> Disposition {
        let key = header.caller_flow();
        let trail = header.trail;
        // An agent that queries this one has followed all redirects already and does not know the flow, so
        // the packet must not be redirected again.
        let is_agent_query = match trail.purpose {
            Purpose::Search => true,
            Purpose::FirstKeeper | Purpose::SecondKeeper => trail.hops > 0,
            Purpose::Placed | Purpose::FromKeeper => false,
        };
        if let Some(to) = self.active_redirect(now, key).filter(|_| !is_agent_query) {
            return Self::forward_to(to, trail, Purpose::Placed);
        }
        let own = self.mesh.own().ip;
        let holder = self.directory.find(key, header.ack);
        match trail.purpose {
            // The flow is known here but not open. It opened at another server whose location has not reached
            // the keeper.
            Purpose::FromKeeper | Purpose::Search if self.flows.contains_key(&key) => {
                Disposition::Drop
            }
            Purpose::Search => self.on_search(now, from, header, packet),
            // This agent's server does not hold the flow, so the stored location is outdated: for example, an
            // earlier process of this agent reported it and has ended together with its server.
            Purpose::FromKeeper if self.knows_all_flows(now) => self.search(now, header, packet),
            Purpose::FromKeeper => self.adopt(now, header),
            Purpose::Placed | Purpose::FirstKeeper | Purpose::SecondKeeper
                if holder == Some(own) =>
            {
                self.adopt(now, header)
            }
            purpose => match holder {
                Some(to) => Self::forward_to(to, trail, Purpose::FromKeeper),
                None => self.query_next_keeper(now, header, packet, purpose),
            },
        }
    }

    fn query_next_keeper(
        &mut self,
        now: Instant,
        header: &Header,
        packet: &[u8],
        purpose: Purpose,
    ) -> Disposition {
        let key = header.caller_flow();
        let own = self.mesh.own().ip;
        let Keepers { first, second } = self.mesh.ring().keepers(key);
        let first = first.filter(|ip| *ip != own);
        let second = second.filter(|ip| *ip != own);
        if purpose == Purpose::Placed && self.may_hold_unseen_flow(now, key) {
            return self.adopt(now, header);
        }
        match (purpose, first, second) {
            (Purpose::Placed, Some(to), _) => {
                Self::forward_to(to, header.trail, Purpose::FirstKeeper)
            }
            (Purpose::Placed | Purpose::FirstKeeper, _, Some(to)) => {
                Self::forward_to(to, header.trail, Purpose::SecondKeeper)
            }
            _ => self.search(now, header, packet),
        }
    }

    fn forward_to(to: Ipv4Addr, trail: Trail, purpose: Purpose) -> Disposition {
        if trail.hops >= MAX_NON_OPENING_HOPS {
            return Disposition::Drop;
        }
        let trail = trail.next_hop(purpose);
        Disposition::Forward { to, trail }
    }

    /// Whether the flow may be open at the server although this agent, which started later than the server,
    /// has not observed it.
    fn may_hold_unseen_flow(&self, now: Instant, key: FlowKey) -> bool {
        let is_past = self.is_older_than_flows(now) || self.has_bounced(key);
        self.server.predates_agent() && !is_past
    }

    /// Handles a packet of a flow that other nodes have located here. If the server may hold the flow from
    /// before the agent's start, the packet is delivered to it; the server bounces it if it does not hold the
    /// flow.
    fn adopt(&mut self, now: Instant, header: &Header) -> Disposition {
        let key = header.caller_flow();
        if !self.may_hold_unseen_flow(now, key) {
            self.record_decision(Decision {
                hops: header.trail.hops,
                ..Decision::new(Step::UnknownFlow, key, self.map.index)
            });
            return Disposition::Drop;
        }
        let flow = self.assumed_open(now, header);
        self.flows.entry(key).or_insert(flow);
        Disposition::Deliver
    }

    pub(super) fn assumed_open(&self, now: Instant, header: &Header) -> Flow {
        let next = header.seq.wrapping_add(u32::from(header.len));
        let forget_at = now + IDLE_TTL;
        Flow::assumed_open(
            self.server.incarnation(),
            header.trail,
            header.ack,
            next,
            forget_at,
        )
    }

    pub(super) fn notify_balancer(&mut self, key: FlowKey, trail: Trail) {
        let direct = trail.hops == 0 && trail.purpose == Purpose::Placed;
        if direct || trail.balancer.is_unspecified() {
            return;
        }
        let flow = self.flows.get(&key);
        if let Some(server_seq) = flow.and_then(|f| f.server_seq) {
            let location = FlowLocation {
                flow: key,
                server_seq,
            };
            let to = trail.balancer;
            self.actions.push(Action::NotifyBalancer { to, location });
        }
    }

    pub(super) fn notify_keepers(&mut self, key: FlowKey) {
        let keepers = self.mesh.ring().keepers(key);
        let own = self.mesh.own().ip;
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let Some(server_seq) = flow.server_seq else {
            return;
        };
        flow.keepers = keepers;
        let location = FlowLocation {
            flow: key,
            server_seq,
        };
        let others = keepers.iter().filter(|to| *to != own);
        self.actions
            .extend(others.map(|to| Action::NotifyKeeper { to, location }));
    }

    /// Stores the flow locations in a message from `agent`.
    pub fn on_flow_locations(
        &mut self,
        now: Instant,
        agent: Ipv4Addr,
        locations: impl IntoIterator<Item = FlowLocation>,
    ) {
        for location in locations {
            self.directory
                .on_flow_location(now, agent, location, self.max_flow_age);
        }
    }

    /// Sends the locations of this agent's flows to new keepers, a limited number per tick.
    pub(super) fn announce_to_new_keepers(&mut self) {
        if self.announced_ring_version != self.mesh.ring_version() {
            self.announced_ring_version = self.mesh.ring_version();
            self.flows_to_announce = self.flows.keys().copied().collect();
        }
        let left = self
            .flows_to_announce
            .len()
            .saturating_sub(MAX_ANNOUNCED_PER_TICK);
        for key in self.flows_to_announce.split_off(left) {
            self.notify_keepers(key);
        }
    }
}
