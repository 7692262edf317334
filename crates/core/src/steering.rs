//! Steering: whether an agent accepts a packet from the tunnel, forwards it to a peer, or drops it.
//!
//! A pinned packet is accepted by the incarnation of the server in its connection id. A packet without a
//! connection id of this cluster is sent to the *home* of its flow: the eligible server that rendezvous
//! hashing ranks first for the flow ([`ServiceTable::home`]). It may have reached the wrong agent, because the
//! directory of its balancer was older or newer than that of the balancer that sent the previous packets. An
//! agent that does not know the flow forwards the packet to the other recent homes of the flow
//! ([`OwnerHistory`]): first to the one with the highest [`rank`], and from there in descending order of rank.
//! Ranks are the same at every agent, so the search ends and skips no home that all agents on the way know. If
//! no agent has the flow, the packet is sent to the current home as *settled*, and the home opens the flow.
//! The location that a packet was forwarded to is kept in the [`FlowTable`], so that a flow without connection
//! ids is found after the history of its homes has expired.
//!
//! An opening flow is handed over to a peer if this agent has more than its share ([`FlowLoads`]).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

use crate::config::PerMille;
use crate::drop_cause::DropCause;
use crate::flow::{ConnectionId, FlowKey, PacketClass};
use crate::flow_load::{FlowLoads, OpenFlowsReport};
use crate::flow_table::{FlowLocation, FlowTable, Peer};
use crate::ids::ShortIncarnation;
use crate::owner_history::OwnerHistory;
use crate::routing::{OwnerState, ServerFilter, ServiceTable, rank};
use crate::time::Now;

/// Maximum number of times that a packet is forwarded in search of its flow. In directories that differ by
/// five changes a flow has at most six homes.
pub const MAX_HOPS: u8 = 6;
/// Maximum number of times that a packet is forwarded in total: after the search it is sent to the current
/// home, and once more if that home has just started to drain.
pub const MAX_SETTLED_HOPS: u8 = MAX_HOPS + 2;
/// Maximum number of entries in the flow table.
const MAX_FLOW_ENTRIES: usize = 65_536;

/// Options of [`Steering`].
#[derive(Clone, Copy, Debug)]
pub struct SteeringOptions {
    /// The server and tunnel address of the agent itself.
    pub own: Peer,
    /// The current incarnation of the agent.
    pub incarnation: ShortIncarnation,
    /// How long the entry of a flow is kept after its last packet: the timeout of a handshake for flows with
    /// connection ids, the idle timeout for flows without. Previous homes are kept for the same time.
    pub flow_timeout: Duration,
}

/// The class of a packet from the tunnel, with the fields of its tunnel header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TunnelPacket {
    /// The packet's class.
    pub class: PacketClass,
    /// How many times the packet was forwarded between agents.
    pub hops: u8,
    /// Whether the search for the flow has ended, so that this agent has to accept the packet.
    pub settled: bool,
    /// Whether the flow is to be reset because its owner has ended.
    pub reset: bool,
}

/// The decision about a packet.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SteeringDecision {
    /// This agent handles the packet.
    #[display("accept")]
    Accept,
    /// The packet is forwarded to another agent.
    #[display("pass to {to}, hop {hops}{}", if *settled { ", settled" } else { "" })]
    PassOn {
        /// The agent to forward to.
        to: Peer,
        /// The number of hops for the tunnel header, including this one.
        hops: u8,
        /// Whether the receiver has to accept the packet.
        settled: bool,
    },
    /// The packet is dropped.
    #[display("drop: {_0}")]
    Drop(DropCause),
}

/// The steering of packets at one agent.
#[derive(Clone, Debug)]
pub struct Steering {
    options: SteeringOptions,
    history: OwnerHistory,
    flows: FlowTable,
    loads: FlowLoads,
    slack: PerMille,
    draining: bool,
    zone_in: bool,
}

impl Steering {
    /// Creates the steering of an agent, without a routing table yet.
    pub fn new(options: SteeringOptions) -> Self {
        Self {
            options,
            history: OwnerHistory::new(options.flow_timeout),
            flows: FlowTable::new(MAX_FLOW_ENTRIES),
            loads: FlowLoads::default(),
            slack: PerMille::default(),
            draining: false,
            zone_in: true,
        }
    }

    /// Sets the routing table of the service, computed from the agent's own directory.
    pub fn on_table(&mut self, now: Now, table: Arc<ServiceTable>) {
        self.history.on_table(now, table);
    }

    /// Sets the share above its fair share of open flows that the service's profile allows.
    pub const fn on_slack(&mut self, slack: PerMille) {
        self.slack = slack;
    }

    /// Sets whether the agent's own availability zone is in service.
    pub const fn on_zone(&mut self, zone_in: bool) {
        self.zone_in = zone_in;
    }

    /// Sets whether this agent drains, and so accepts no new flows.
    pub const fn on_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Stores a peer's report of its open flows.
    pub fn on_report(&mut self, report: OpenFlowsReport) {
        self.loads.on_report(report);
    }

    /// Deletes previous homes, flow entries and reports that have expired.
    pub fn on_tick(&mut self, now: Now) {
        self.history.on_tick(now);
        self.flows.expire(now.instant);
        self.loads.expire(now.instant);
    }

    /// The table of known flows.
    pub const fn flow_table(&self) -> &FlowTable {
        &self.flows
    }

    /// Decides about a packet; `open_flows` is the current number of open flows at this agent.
    pub fn on_packet(
        &mut self,
        now: Now,
        packet: TunnelPacket,
        open_flows: u32,
    ) -> SteeringDecision {
        if !self.zone_in {
            return SteeringDecision::Drop(DropCause::ZoneOut);
        }
        match packet.class {
            PacketClass::Pinned(id) => self.on_pinned(packet, id),
            PacketClass::Opening(key) | PacketClass::Unknown(key) => {
                self.history.on_tick(now);
                self.on_unpinned(now, packet, key, open_flows)
            }
        }
    }

    fn on_pinned(&self, packet: TunnelPacket, id: ConnectionId) -> SteeringDecision {
        let own = self.options.own;
        let own_server = id.server == own.server;
        if own_server && id.incarnation == self.options.incarnation {
            return SteeringDecision::Accept;
        }
        match self.history.table().owner(id.server, id.incarnation) {
            // The owner has ended according to the sender's directory, but is live according to this agent's.
            OwnerState::Live(tunnel) if tunnel != own.tunnel => {
                let server = id.server;
                pass_on(Peer { server, tunnel }, packet.hops, MAX_HOPS)
            }
            // An owner in a zone that was taken out counts as ended: its flows are not served any more.
            OwnerState::Ended | OwnerState::ZoneOut if packet.reset => SteeringDecision::Accept,
            // The packet is for an earlier incarnation of this server. That has ended even if the directory
            // still lists it as live at this agent's tunnel address, because two processes cannot use one
            // address. The packet is accepted so that it is answered with a stateless reset.
            OwnerState::Live(_) | OwnerState::Ended
                if own_server && id.incarnation.is_before(self.options.incarnation) =>
            {
                SteeringDecision::Accept
            }
            _ => SteeringDecision::Drop(DropCause::UnknownServer),
        }
    }

    fn on_unpinned(
        &mut self,
        now: Now,
        packet: TunnelPacket,
        key: FlowKey,
        open_flows: u32,
    ) -> SteeringDecision {
        match self.flows.get(now.instant, key) {
            Some(FlowLocation::Local) => return self.accept(now, key),
            Some(FlowLocation::Redirected(to)) if self.is_live(to) => {
                self.record_location(now, key, FlowLocation::Redirected(to));
                return settle(to, packet.hops);
            }
            // A packet forwarded by a home of higher rank is not sent back there: the flow is not known there.
            Some(FlowLocation::Queried(to))
                if !packet.settled
                    && self.is_live(to)
                    && (packet.hops == 0 || self.is_below(key, to)) =>
            {
                self.record_location(now, key, FlowLocation::Queried(to));
                return pass_on(to, packet.hops, MAX_HOPS);
            }
            _ => {}
        }
        if packet.settled {
            return self.on_settled(now, packet, key, open_flows);
        }
        // An opening packet that is sent to a failed agent is lost, although another agent could open its flow.
        let filter = match packet.class {
            PacketClass::Opening(_) => ServerFilter::Unsuspected,
            PacketClass::Pinned(_) | PacketClass::Unknown(_) => ServerFilter::Live,
        };
        let homes = self.history.homes(now, key, filter);
        match self.next_home(&homes, key, packet.hops) {
            Some(next) => {
                if matches!(packet.class, PacketClass::Unknown(_)) {
                    self.record_location(now, key, FlowLocation::Queried(next));
                }
                pass_on(next, packet.hops, MAX_HOPS)
            }
            None => self.open(now, packet, key, homes.first().copied(), open_flows),
        }
    }

    /// The home to which the packet is forwarded after this agent; none if the search has ended.
    fn next_home(&self, homes: &[Peer], key: FlowKey, hops: u8) -> Option<Peer> {
        if hops >= MAX_HOPS {
            return None;
        }
        let others = homes.iter().filter(|h| **h != self.options.own);
        let left = others.filter(|h| hops == 0 || self.is_below(key, **h));
        left.copied().max_by_key(|h| search_order(key, *h))
    }

    fn is_below(&self, key: FlowKey, peer: Peer) -> bool {
        search_order(key, peer) < search_order(key, self.options.own)
    }

    fn is_live(&self, peer: Peer) -> bool {
        self.history.table().is_live_at(peer, ServerFilter::Live)
    }

    /// Opens a flow that no agent has, at its current home.
    fn open(
        &mut self,
        now: Now,
        packet: TunnelPacket,
        key: FlowKey,
        home: Option<Peer>,
        open_flows: u32,
    ) -> SteeringDecision {
        match home {
            Some(home) if home != self.options.own => settle(home, packet.hops),
            _ if self.draining => SteeringDecision::Drop(DropCause::NoServer),
            _ => self.open_here_or_hand_over(now, packet, key, open_flows),
        }
    }

    fn open_here_or_hand_over(
        &mut self,
        now: Now,
        packet: TunnelPacket,
        key: FlowKey,
        open_flows: u32,
    ) -> SteeringDecision {
        // A flow without connection ids would need the flow table entry for its whole duration, at an agent
        // that is not its home. Therefore it is opened at its home.
        let may_move = matches!(packet.class, PacketClass::Opening(_));
        if !may_move || packet.hops >= MAX_SETTLED_HOPS {
            return self.accept(now, key);
        }
        let ranked = self.history.table().ranked(key, now.wall);
        let own = self.options.own.server;
        let to = self
            .loads
            .hand_over_to(now.instant, own, open_flows, &ranked, self.slack);
        let Some(to) = to.map(|p| Peer {
            server: p.server,
            tunnel: p.tunnel,
        }) else {
            return self.accept(now, key);
        };
        self.loads.on_handed_over(now.instant, to.server);
        self.record_location(now, key, FlowLocation::Redirected(to));
        settle(to, packet.hops)
    }

    fn on_settled(
        &mut self,
        now: Now,
        packet: TunnelPacket,
        key: FlowKey,
        open_flows: u32,
    ) -> SteeringDecision {
        let home = self.history.table().home(key, now.wall);
        let home = home.map(|p| Peer {
            server: p.server,
            tunnel: p.tunnel,
        });
        let at_home = home == Some(self.options.own);
        match home {
            _ if !self.draining && at_home => {
                self.open_here_or_hand_over(now, packet, key, open_flows)
            }
            // An agent that is not the home was handed the flow over and must accept it.
            _ if !self.draining => self.accept(now, key),
            Some(home) if !at_home => settle(home, packet.hops),
            _ => SteeringDecision::Drop(DropCause::NoServer),
        }
    }

    fn accept(&mut self, now: Now, key: FlowKey) -> SteeringDecision {
        self.record_location(now, key, FlowLocation::Local);
        SteeringDecision::Accept
    }

    fn record_location(&mut self, now: Now, key: FlowKey, location: FlowLocation) {
        let until = now.instant + self.options.flow_timeout;
        self.flows.insert(now.instant, key, location, until);
    }
}

/// Sort key of a peer in the order of the search, which is descending.
const fn search_order(key: FlowKey, peer: Peer) -> (u64, SocketAddr) {
    (rank(key, peer.server), peer.tunnel)
}

const fn pass_on(to: Peer, hops: u8, limit: u8) -> SteeringDecision {
    if hops >= limit {
        return SteeringDecision::Drop(DropCause::HopLimit);
    }
    SteeringDecision::PassOn {
        to,
        hops: hops + 1,
        settled: false,
    }
}

const fn settle(to: Peer, hops: u8) -> SteeringDecision {
    if hops >= MAX_SETTLED_HOPS {
        return SteeringDecision::Drop(DropCause::HopLimit);
    }
    SteeringDecision::PassOn {
        to,
        hops: hops + 1,
        settled: true,
    }
}
