//! Where a flow is: at this agent, at one that its keepers know, or at nobody's.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::{Action, Agent, Disposition, Flow, HandedBack, IDLE_TTL};
use crate::forwarded::decision::{Decision, Step};
use crate::forwarded::inquiry::Denial;
use crate::forwarded::keepers::{FlowLocation, Keepers};
use crate::forwarded::mesh::ServerPresence;
use crate::forwarded::node::NodeRole;
use crate::forwarded::packet::{FlowKey, Header, Purpose, Trail};

/// How often any packet is passed on between agents; a bound on loops between stale views.
const MAX_FOLLOWING_HOPS: u8 = 6;
/// Time after its start in which an agent may not know all others: those that started with it may not have
/// greeted it yet.
const SETTLED_AFTER: Duration = Duration::from_secs(1);
/// Time after its start for which an agent is young; hosts that get power at the same time start within it.
const YOUNG_FOR: Duration = Duration::from_secs(2);
/// Searches that wait until it is known who else has just started; bounds memory.
const MAX_POSTPONED: usize = 1024;
/// Denials that are repeated once the agent knows all others; bounds memory.
const MAX_UNCERTAIN: usize = 1024;
/// Flows that the server handed back and that are remembered; bounds memory.
const MAX_HANDED_BACK: usize = 4096;
/// Flows that keepers are told of anew in one tick.
const RETOLD_PER_TICK: usize = 64;

impl Agent {
    /// The packet belongs to a flow that is not here.
    pub(super) fn locate(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        header: &Header,
        packet: &[u8],
    ) -> Disposition {
        let key = header.caller_flow();
        let trail = header.trail;
        // An agent that asks has the packet from where redirections led, and does not know the flow.
        let is_agents_question = match trail.purpose {
            Purpose::Search => true,
            Purpose::FirstKeeper | Purpose::SecondKeeper => trail.hops > 0,
            Purpose::Placed | Purpose::FromKeeper => false,
        };
        if let Some(to) = self.redirect(now, key).filter(|_| !is_agents_question) {
            return Self::follow(to, trail, Purpose::Placed);
        }
        let own = self.mesh.own().ip;
        let holder = self.directory.find(key, header.ack);
        match trail.purpose {
            // The flow opened at another server, whose agent the keeper did not hear of.
            Purpose::FromKeeper | Purpose::Search if self.flows.contains_key(&key) => {
                Disposition::Drop
            }
            Purpose::Search => self.on_search(now, from, header, packet),
            // Whoever told the keeper so has ended with its server.
            Purpose::FromKeeper if self.knows_all_flows(now) => self.search(now, header, packet),
            Purpose::FromKeeper => self.adopt(now, header),
            Purpose::Placed | Purpose::FirstKeeper | Purpose::SecondKeeper
                if holder == Some(own) =>
            {
                self.adopt(now, header)
            }
            purpose => match holder {
                Some(to) => Self::follow(to, trail, Purpose::FromKeeper),
                None => self.ask_on(now, header, packet, purpose),
            },
        }
    }

    fn ask_on(
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
        if purpose == Purpose::Placed && self.may_hold_unknown(now, key) {
            return self.adopt(now, header);
        }
        match (purpose, first, second) {
            (Purpose::Placed, Some(to), _) => Self::follow(to, header.trail, Purpose::FirstKeeper),
            (Purpose::Placed | Purpose::FirstKeeper, _, Some(to)) => {
                Self::follow(to, header.trail, Purpose::SecondKeeper)
            }
            _ => self.search(now, header, packet),
        }
    }

    fn follow(to: Ipv4Addr, trail: Trail, purpose: Purpose) -> Disposition {
        if trail.hops >= MAX_FOLLOWING_HOPS {
            return Disposition::Drop;
        }
        let trail = trail.next_hop(purpose);
        Disposition::Forward { to, trail }
    }

    /// The keepers do not know the flow; whoever holds it takes the packet.
    fn search(&mut self, now: Instant, header: &Header, packet: &[u8]) -> Disposition {
        let key = header.caller_flow();
        if self.searched_left == 0 || header.trail.hops >= MAX_FOLLOWING_HOPS {
            return Disposition::Drop;
        }
        let live = self.mesh.live(now, NodeRole::Agent);
        let trail = header.trail.next_hop(Purpose::Search);
        let packet = Bytes::copy_from_slice(packet);
        let before = self.actions.len();
        let asked = live.map(|(to, _)| Action::Forward {
            to,
            trail,
            packet: packet.clone(),
        });
        self.actions.extend(asked);
        let asked = (self.actions.len() - before).max(1);
        self.searched_left = self.searched_left.saturating_sub(asked);
        let agents = self.mesh.agent_set_hash();
        self.searches.start(now, key, header.ack, agents);
        self.decide(Decision {
            hops: header.trail.hops,
            ..Decision::new(Step::Searched, key, self.map.index)
        });
        self.on_search(now, self.mesh.own().ip, header, &packet)
    }

    /// `searcher` looks for a flow that is not known here. What the agent cannot deny itself it leaves to
    /// the server, which hands back what it does not hold. Beside a server that has just started it first waits
    /// for whether all have.
    fn on_search(
        &mut self,
        now: Instant,
        searcher: Ipv4Addr,
        header: &Header,
        packet: &[u8],
    ) -> Disposition {
        let key = header.caller_flow();
        if self.knows_all_flows(now) || self.has_handed_back(key) {
            self.deny(now, searcher, key);
            return Disposition::Drop;
        }
        let is_beside_young = self.server.statement().is_some() && self.is_recently_started(now);
        let may_wait = self.postponed.len() < MAX_POSTPONED;
        if is_beside_young && !self.mesh.is_membership_stable(now) && may_wait {
            let packet = Bytes::copy_from_slice(packet);
            self.postponed.push((searcher, *header, packet));
            return Disposition::Drop;
        }
        let mut flow = self.found_open(now, header);
        flow.searched_by = Some(searcher);
        self.flows.insert(key, flow);
        Disposition::Deliver
    }

    /// Whether the agent has seen every flow that can be open at its server.
    fn knows_all_flows(&self, now: Instant) -> bool {
        self.server.is_fully_observed() || self.has_ended() || self.is_older_than_flows(now)
    }

    /// Whether every flow from before the agent's start is past its age.
    fn is_older_than_flows(&self, now: Instant) -> bool {
        now >= self.started_at + self.max_flow_age
    }

    /// Whether the server's life is over, and its flows have been ended.
    fn has_ended(&self) -> bool {
        self.server.has_stopped() && self.farewell_at.is_none()
    }

    /// What the others are told of the server's presence and start. The agent is vacant if its server has
    /// ended, or none has reported since the agent started, though one that is there would have.
    pub fn server_presence(&self, now: Instant) -> ServerPresence {
        ServerPresence {
            has_no_server: self.has_ended() || self.server.is_absent(now, self.started_at),
            is_recently_started: self.is_recently_started(now),
        }
    }

    /// Whether the server, in its present life, has shown that it does not hold the flow. It can do so later
    /// only by an opening packet that passes here.
    fn has_handed_back(&self, key: FlowKey) -> bool {
        let incarnation = self.server.incarnation();
        self.handed_back
            .get(&key)
            .is_some_and(|h| h.incarnation == incarnation)
    }

    /// The server does not hold the flow.
    pub(super) fn on_handed_back(&mut self, now: Instant, key: FlowKey) {
        if self.handed_back.len() < MAX_HANDED_BACK {
            let incarnation = self.server.incarnation();
            let until = now + IDLE_TTL;
            self.handed_back
                .insert(key, HandedBack { incarnation, until });
        }
    }

    /// Whether the agent has started a moment ago, beside no server that it knows to be older.
    fn is_recently_started(&self, now: Instant) -> bool {
        now < self.started_at + YOUNG_FOR && !self.server.was_running_before_agent()
    }

    /// Whether the agent and all others have begun together, so that nothing from before is open.
    pub const fn has_common_start(&self) -> bool {
        self.has_common_start
    }

    /// A server that was first heard by its second or third report may have got flows from an agent before
    /// this one, but not if everything has just started.
    pub(super) fn learn_from_others(&mut self, now: Instant) {
        let may_begin = !self.has_common_start && self.is_recently_started(now);
        if may_begin && self.mesh.detect_common_start(now) {
            self.has_common_start = true;
            self.server.set_fully_observed();
        }
        if !self.postponed.is_empty()
            && (self.mesh.is_membership_stable(now) || !self.is_recently_started(now))
        {
            for (searcher, header, packet) in std::mem::take(&mut self.postponed) {
                let is_here = self.flows.contains_key(&header.caller_flow());
                if !is_here
                    && self.on_search(now, searcher, &header, &packet) == Disposition::Deliver
                {
                    self.actions.push(Action::Deliver(packet));
                }
            }
        }
        if self.has_full_membership(now) {
            for (searcher, flow) in std::mem::take(&mut self.uncertain) {
                self.deny(now, searcher, flow);
            }
        }
    }

    /// Whether the agent knows all agents.
    fn has_full_membership(&self, now: Instant) -> bool {
        self.has_common_start || now >= self.started_at + SETTLED_AFTER
    }

    /// Tells `searcher` that the flow is not here.
    pub(super) fn deny(&mut self, now: Instant, searcher: Ipv4Addr, flow: FlowKey) {
        let has_full_membership = self.has_full_membership(now);
        if !has_full_membership && self.uncertain.len() < MAX_UNCERTAIN {
            self.uncertain.push((searcher, flow));
        }
        let denial = Denial {
            flow,
            agents: self.mesh.agent_set_hash(),
            has_full_membership,
        };
        if searcher == self.mesh.own().ip {
            self.on_denials(searcher, [denial]);
        } else {
            let to = searcher;
            self.actions.push(Action::Deny { to, denial });
        }
    }

    /// `from` says which of the flows that are searched for are not at it. A flow that all have denied
    /// is nowhere, and its caller is told.
    pub fn on_denials(&mut self, from: Ipv4Addr, denials: impl IntoIterator<Item = Denial>) {
        let mut denials = denials.into_iter().peekable();
        if denials.peek().is_none() {
            return;
        }
        let own = self.mesh.own().ip;
        let known = self.mesh.agent_set_hash();
        for denial in denials.filter(|d| d.agents == known) {
            let deniers = self.mesh.deniers();
            let Some(seq) = self.searches.on_denial(from, denial, deniers) else {
                continue;
            };
            let flow = denial.flow;
            let holder = self.directory.find(flow, seq).filter(|ip| *ip != own);
            if holder.is_some() || self.flows.contains_key(&flow) {
                continue;
            }
            self.actions.push(Action::Reset { flow, seq });
            self.decide(Decision::new(Step::FoundNowhere, flow, self.map.index));
        }
    }

    /// Whether the flow may be open at the server though the agent, which started later, does not know it.
    fn may_hold_unknown(&self, now: Instant, key: FlowKey) -> bool {
        let is_past = self.is_older_than_flows(now) || self.has_handed_back(key);
        self.server.predates_agent() && !is_past
    }

    /// A flow that others say is here. An agent that started lately leaves it to the server, which
    /// hands back what it does not hold.
    fn adopt(&mut self, now: Instant, header: &Header) -> Disposition {
        let key = header.caller_flow();
        if !self.may_hold_unknown(now, key) {
            self.decide(Decision {
                hops: header.trail.hops,
                ..Decision::new(Step::UnknownFlow, key, self.map.index)
            });
            return Disposition::Drop;
        }
        let flow = self.found_open(now, header);
        self.flows.entry(key).or_insert(flow);
        Disposition::Deliver
    }

    fn found_open(&self, now: Instant, header: &Header) -> Flow {
        let next = header.seq.wrapping_add(u32::from(header.len));
        let forget_at = now + IDLE_TTL;
        Flow::found_open(
            self.server.incarnation(),
            header.trail,
            header.ack,
            next,
            forget_at,
        )
    }

    pub(super) fn tell_balancer(&mut self, key: FlowKey, trail: Trail) {
        let direct = trail.hops == 0 && trail.purpose == Purpose::Placed;
        if direct || trail.balancer.is_unspecified() {
            return;
        }
        let flow = self.flows.get(&key);
        if let Some(server_seq) = flow.and_then(|f| f.server_seq) {
            let place = FlowLocation {
                flow: key,
                server_seq,
            };
            let to = trail.balancer;
            self.actions.push(Action::NotifyBalancer { to, place });
        }
    }

    pub(super) fn tell_keepers(&mut self, key: FlowKey) {
        let keepers = self.mesh.ring().keepers(key);
        let own = self.mesh.own().ip;
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let Some(server_seq) = flow.server_seq else {
            return;
        };
        flow.keepers = keepers;
        let place = FlowLocation {
            flow: key,
            server_seq,
        };
        let others = keepers.iter().filter(|to| *to != own);
        self.actions
            .extend(others.map(|to| Action::NotifyKeeper { to, place }));
    }

    /// `agent` says which flows are at it.
    pub fn on_flow_locations(
        &mut self,
        now: Instant,
        agent: Ipv4Addr,
        places: impl IntoIterator<Item = FlowLocation>,
    ) {
        for place in places {
            self.directory
                .on_flow_location(now, agent, place, self.max_flow_age);
        }
    }

    /// Tells keepers that came anew of the flows here, some at a time.
    pub(super) fn retell(&mut self) {
        if self.retold_version != self.mesh.ring_version() {
            self.retold_version = self.mesh.ring_version();
            self.to_retell = self.flows.keys().copied().collect();
        }
        let left = self.to_retell.len().saturating_sub(RETOLD_PER_TICK);
        for key in self.to_retell.split_off(left) {
            self.tell_keepers(key);
        }
    }
}
