//! What an agent does with a packet that came through the tunnel: take it, pass it on, or drop it.
//!
//! A pinned packet is taken by the life of the server that its id names. A packet without an id of ours
//! may have come to the wrong agent, because the balancer's directory was older or newer than that of
//! the balancer that sent the packets before. An agent that does not know the flow passes the packet
//! to the other homes that the flow had lately ([`OwnerHistory`]): first to the one of the highest
//! [`rank`], and from there down the ranks. Ranks are the same in every view, so the walk ends and
//! leaves out no home that all agents on the way know. If nobody has the flow, the packet goes to the
//! current home as *settled*, which opens it. Passing on is remembered ([`FlowTable`]), so that a flow
//! without ids is found after the old homes are forgotten.
//!
//! An opening flow is handed to a peer where this agent has more than its share ([`FlowLoads`]).

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

/// Times that a packet may be passed on in search of its flow. Views that are five changes apart name
/// six homes at most.
pub const MAX_HOPS: u8 = 6;
/// Times that a packet may be passed on in all: after the search it is handed to the current home, and
/// once more where that home has just begun to drain.
pub const MAX_SETTLED_HOPS: u8 = MAX_HOPS + 2;
/// Flows remembered at most.
const MAX_REMEMBERED: usize = 65_536;

/// What steering is told about the agent.
#[derive(Clone, Copy, Debug)]
pub struct SteeringOptions {
    /// The agent itself.
    pub own: Peer,
    /// This life of the agent.
    pub incarnation: ShortIncarnation,
    /// How long a flow is remembered after its last packet. With connection ids this is the time of a
    /// handshake, without them the time after which a silent flow has ended. Homes before a change are
    /// kept as long.
    pub flow_timeout: Duration,
}

/// A packet with what the tunnel header says of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TunnelPacket {
    /// The packet's class.
    pub class: PacketClass,
    /// Times it was passed on.
    pub hops: u8,
    /// Whether this agent has to take it, known or not.
    pub settled: bool,
    /// Whether the sender asks to tell the caller that the flow is gone.
    pub reset: bool,
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SteeringDecision {
    /// Take it.
    #[display("accept")]
    Accept,
    /// Pass it on.
    #[display("pass to {to}, hop {hops}{}", if *settled { ", settled" } else { "" })]
    PassOn {
        /// To whom.
        to: Peer,
        /// Times it was passed on then.
        hops: u8,
        /// Whether the receiver has to take it.
        settled: bool,
    },
    /// Drop it.
    #[display("drop: {_0}")]
    Drop(DropCause),
}

/// Steers packets at one agent.
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
    /// Makes the steering of an agent that knows nothing yet.
    pub fn new(options: SteeringOptions) -> Self {
        Self {
            options,
            history: OwnerHistory::new(options.flow_timeout),
            flows: FlowTable::new(MAX_REMEMBERED),
            loads: FlowLoads::default(),
            slack: PerMille::default(),
            draining: false,
            zone_in: true,
        }
    }

    /// Takes in the table of the service, computed from the agent's own view.
    pub fn on_table(&mut self, now: Now, table: Arc<ServiceTable>) {
        self.history.on_table(now, table);
    }

    /// Takes in the share above the mean that the service's profile allows.
    pub const fn on_slack(&mut self, slack: PerMille) {
        self.slack = slack;
    }

    /// Takes in whether the agent's own availability zone takes part.
    pub const fn on_zone(&mut self, zone_in: bool) {
        self.zone_in = zone_in;
    }

    /// Takes in whether this agent takes no new flows.
    pub const fn on_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Takes in a peer's count of open flows.
    pub fn on_report(&mut self, report: OpenFlowsReport) {
        self.loads.on_report(report);
    }

    /// Forgets what is past its deadline.
    pub fn on_tick(&mut self, now: Now) {
        self.history.on_tick(now);
        self.flows.expire(now.instant);
        self.loads.expire(now.instant);
    }

    /// Flows that are remembered.
    pub const fn remembered(&self) -> &FlowTable {
        &self.flows
    }

    /// Decides about a packet; `open_flows` end at this agent now.
    pub fn on_packet(
        &mut self,
        now: Now,
        arrival: TunnelPacket,
        open_flows: u32,
    ) -> SteeringDecision {
        if !self.zone_in {
            return SteeringDecision::Drop(DropCause::ZoneOut);
        }
        match arrival.class {
            PacketClass::Pinned(id) => self.on_pinned(arrival, id),
            PacketClass::Opening(key) | PacketClass::Unknown(key) => {
                self.history.on_tick(now);
                self.on_unpinned(now, arrival, key, open_flows)
            }
        }
    }

    fn on_pinned(&self, arrival: TunnelPacket, id: ConnectionId) -> SteeringDecision {
        let own = self.options.own;
        let own_server = id.server == own.server;
        if own_server && id.incarnation == self.options.incarnation {
            return SteeringDecision::Accept;
        }
        match self.history.table().owner(id.server, id.incarnation) {
            // The sender took an owner for gone that this agent knows to be there.
            OwnerState::Live(tunnel) if tunnel != own.tunnel => {
                let server = id.server;
                pass_on(Peer { server, tunnel }, arrival.hops, MAX_HOPS)
            }
            // The owner's zone counts as gone: its flows were given up.
            OwnerState::Ended | OwnerState::ZoneOut if arrival.reset => SteeringDecision::Accept,
            // An earlier life at this very address has ended, or this agent could not have it.
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
        arrival: TunnelPacket,
        key: FlowKey,
        open_flows: u32,
    ) -> SteeringDecision {
        match self.flows.get(now.instant, key) {
            Some(FlowLocation::Local) => return self.accept(now, key),
            Some(FlowLocation::Redirected(to)) if self.is_there(to) => {
                self.remember(now, key, FlowLocation::Redirected(to));
                return settle(to, arrival.hops);
            }
            // A packet that comes back from a home of a higher rank was not known there.
            Some(FlowLocation::Queried(to))
                if !arrival.settled
                    && self.is_there(to)
                    && (arrival.hops == 0 || self.is_below(key, to)) =>
            {
                self.remember(now, key, FlowLocation::Queried(to));
                return pass_on(to, arrival.hops, MAX_HOPS);
            }
            _ => {}
        }
        if arrival.settled {
            return self.on_settled(now, arrival, key, open_flows);
        }
        // An opening packet sent to a dead agent is lost, though another could open its flow.
        let reach = match arrival.class {
            PacketClass::Opening(_) => ServerFilter::Unsuspected,
            PacketClass::Pinned(_) | PacketClass::Unknown(_) => ServerFilter::Live,
        };
        let homes = self.history.homes(now, key, reach);
        match self.next_to_ask(&homes, key, arrival.hops) {
            Some(next) => {
                if matches!(arrival.class, PacketClass::Unknown(_)) {
                    self.remember(now, key, FlowLocation::Queried(next));
                }
                pass_on(next, arrival.hops, MAX_HOPS)
            }
            None => self.open(now, arrival, key, homes.first().copied(), open_flows),
        }
    }

    /// The home to ask after this agent; none when all were asked.
    fn next_to_ask(&self, homes: &[Peer], key: FlowKey, hops: u8) -> Option<Peer> {
        if hops >= MAX_HOPS {
            return None;
        }
        let others = homes.iter().filter(|h| **h != self.options.own);
        let left = others.filter(|h| hops == 0 || self.is_below(key, **h));
        left.copied().max_by_key(|h| place(key, *h))
    }

    fn is_below(&self, key: FlowKey, peer: Peer) -> bool {
        place(key, peer) < place(key, self.options.own)
    }

    fn is_there(&self, peer: Peer) -> bool {
        self.history.table().is_at(peer, ServerFilter::Live)
    }

    /// Nobody has the flow: it is opened at its current home.
    fn open(
        &mut self,
        now: Now,
        arrival: TunnelPacket,
        key: FlowKey,
        home: Option<Peer>,
        open_flows: u32,
    ) -> SteeringDecision {
        match home {
            Some(home) if home != self.options.own => settle(home, arrival.hops),
            _ if self.draining => SteeringDecision::Drop(DropCause::NoServer),
            _ => self.open_here_or_hand_over(now, arrival, key, open_flows),
        }
    }

    fn open_here_or_hand_over(
        &mut self,
        now: Now,
        arrival: TunnelPacket,
        key: FlowKey,
        open_flows: u32,
    ) -> SteeringDecision {
        // A flow without connection ids would need the entry for all its life, at an agent that is
        // not its home; it stays where its key puts it.
        let may_move = matches!(arrival.class, PacketClass::Opening(_));
        if !may_move || arrival.hops >= MAX_SETTLED_HOPS {
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
        self.remember(now, key, FlowLocation::Redirected(to));
        settle(to, arrival.hops)
    }

    fn on_settled(
        &mut self,
        now: Now,
        arrival: TunnelPacket,
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
            // Whoever is not the home was handed the flow over and must take it.
            _ if !self.draining && at_home => {
                self.open_here_or_hand_over(now, arrival, key, open_flows)
            }
            _ if !self.draining => self.accept(now, key),
            Some(home) if !at_home => settle(home, arrival.hops),
            _ => SteeringDecision::Drop(DropCause::NoServer),
        }
    }

    fn accept(&mut self, now: Now, key: FlowKey) -> SteeringDecision {
        self.remember(now, key, FlowLocation::Local);
        SteeringDecision::Accept
    }

    fn remember(&mut self, now: Now, key: FlowKey, place: FlowLocation) {
        let until = now.instant + self.options.flow_timeout;
        self.flows.keep(now.instant, key, place, until);
    }
}

/// A peer's place in the order of the search.
const fn place(key: FlowKey, peer: Peer) -> (u64, SocketAddr) {
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
