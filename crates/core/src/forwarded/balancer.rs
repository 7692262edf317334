//! The balancer: places opening packets and sends the rest after their flows.
//!
//! What a balancer remembers is a cache: it may be lost or wrong at any time, since agents pass on
//! what is not theirs and keepers know every flow. It is bounded by age in two halves, of which the
//! older one is dropped as a whole.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::decision::{Decision, Step};
use super::keepers::FlowLocation;
use super::mesh::{Mesh, ReceivedReport};
use super::node::NodeRole;
use super::packet::{FlowKey, Header, Purpose, Trail};
use super::placement::{self, ProbePolicy};
use super::service_map::ServiceMap;
use crate::ids::AvailabilityZone;

/// Time between two drops of the older half of the cache: longer than a flow may pause.
const CACHE_HALF: Duration = Duration::from_secs(20);
/// Age of an agent's last word at which a copy of an opening packet goes to another agent: one
/// greeting may have been lost.
const DOUBTFUL_AGE: u32 = 2;

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disposition {
    /// To an agent, with this trail.
    Forward {
        /// The agent.
        to: Ipv4Addr,
        /// What it is told.
        trail: Trail,
    },
    /// Back to the caller: nothing serves that address.
    Reset,
    /// Nowhere.
    Drop,
}

#[derive(Clone, Copy, Debug)]
enum Place {
    /// The flow is at an agent.
    At(Ipv4Addr),
    /// Keepers were asked so often.
    Asked(u8),
}

/// The balancer's decisions.
#[derive(Debug)]
pub struct Balancer {
    zone: AvailabilityZone,
    rng: StdRng,
    map: Arc<ServiceMap>,
    mesh: Mesh,
    young: HashMap<FlowKey, Place>,
    old: HashMap<FlowKey, Place>,
    turn_at: Instant,
    decisions: Vec<Decision>,
}

impl Balancer {
    /// Makes a balancer in `zone`; `seed` draws its choices.
    pub fn new(now: Instant, mesh: Mesh, zone: AvailabilityZone, seed: u64) -> Self {
        Self {
            zone,
            rng: StdRng::seed_from_u64(seed),
            map: Arc::default(),
            mesh,
            young: HashMap::new(),
            old: HashMap::new(),
            turn_at: now + CACHE_HALF,
            decisions: Vec::new(),
        }
    }

    /// What is known of the other nodes.
    pub const fn mesh(&self) -> &Mesh {
        &self.mesh
    }

    /// What is known of the other nodes, to take in what they say.
    pub const fn mesh_mut(&mut self) -> &mut Mesh {
        &mut self.mesh
    }

    /// The configuration in force.
    pub const fn map(&self) -> &Arc<ServiceMap> {
        &self.map
    }

    /// A configuration arrived; an older one is left aside.
    pub fn on_map(&mut self, map: Arc<ServiceMap>) -> bool {
        let newer = map.index > self.map.index;
        if newer {
            self.map = map;
        }
        newer
    }

    /// What was decided since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Flows in the cache.
    pub fn cached(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether all agents that are listed have been heard.
    pub fn has_seen_all_agents(&self) -> bool {
        let agents = self.mesh.nodes().filter(|(_, k)| k.role == NodeRole::Agent);
        let mut agents = agents.peekable();
        agents.peek().is_some() && agents.all(|(_, k)| k.last_seen_at().is_some())
    }

    /// Whether the balancer can serve: it has a configuration and knows agents.
    pub fn is_ready(&self, now: Instant) -> bool {
        let knows_agents = self.mesh.live(now, NodeRole::Agent).next().is_some();
        self.map.table.is_some() && knows_agents
    }

    /// A packet of a caller came in.
    pub fn on_packet(&mut self, now: Instant, header: &Header) -> Disposition {
        let key = header.caller_flow();
        if header.flags.is_opening() {
            return self.on_opening(now, key, header);
        }
        match self.recall(key) {
            Some(Place::At(to)) => self.forward(to, Purpose::Placed),
            Some(Place::Asked(times)) => self.ask(key, times),
            None => self.ask(key, 0),
        }
    }

    fn on_opening(&mut self, now: Instant, key: FlowKey, header: &Header) -> Disposition {
        // The number of the copy stands where other packets acknowledge.
        let is_copy = header.ack > 0;
        let before = match self.recall(key) {
            Some(Place::At(to)) => Some(to),
            _ => None,
        };
        if let Some(to) = before {
            let doubtful = self.mesh.heartbeat_interval() * DOUBTFUL_AGE;
            let received = self.mesh.last_seen_age(now, to);
            let is_heard = received.is_some_and(|age| age < doubtful);
            let sure = is_heard && !self.mesh.is_losing_openings(now, to);
            if !is_copy || sure {
                return self.forward(to, Purpose::Placed);
            }
        }
        self.place(now, key, before)
    }

    fn place(&mut self, now: Instant, key: FlowKey, before: Option<Ipv4Addr>) -> Disposition {
        let index = self.map.index;
        let draw = self.rng.random();
        let service = self.map.route(key.service).and_then(|r| r.pick(draw));
        let Some(service) = service.cloned() else {
            self.decisions
                .push(Decision::new(Step::NoRoute, key, index));
            // Before the first configuration nothing is known to have no route.
            return if self.map.table.is_some() {
                Disposition::Reset
            } else {
                Disposition::Drop
            };
        };
        let (map, zone) = (&self.map, &self.zone);
        let may_take = |ip: Ipv4Addr, received: &ReceivedReport| {
            Some(ip) != before && map.is_zone_enabled(&received.report.zone)
        };
        let reached = self.mesh.reachable_agents(now, &service);
        let reached = reached.filter(|(ip, received)| may_take(*ip, received));
        let chosen = placement::choose_agent(&mut self.rng, reached, zone, ProbePolicy::Occasional);
        // Where no agent seems to be reached, it may be this node's own fault.
        let chosen = chosen.or_else(|| {
            let open = self.mesh.available_agents(now, &service);
            let open = open.filter(|(ip, received)| may_take(*ip, received));
            placement::choose_agent(&mut self.rng, open, zone, ProbePolicy::Occasional)
        });
        let decision = Decision {
            node: chosen.map(|c| c.agent),
            busy: chosen.map(|c| c.received.report.busy + c.received.sent_since),
            age: chosen.map(|c| now.saturating_duration_since(c.received.received_at)),
            service: Some(service.clone()),
            ..Decision::new(Step::Placed, key, index)
        };
        let Some(to) = decision.node.or(before) else {
            self.decisions.push(Decision {
                step: Step::NoServer,
                ..decision
            });
            return self.refuse(now);
        };
        let again = before.is_some();
        let step = if again {
            Step::PlacedAgain
        } else {
            Step::Placed
        };
        self.decisions.push(Decision { step, ..decision });
        self.mesh.on_placed(now, to);
        self.young.insert(key, Place::At(to));
        self.forward(to, Purpose::Placed)
    }

    /// No agent takes the flow. A balancer that hears nobody at all does not know that.
    fn refuse(&self, now: Instant) -> Disposition {
        if self.is_ready(now) {
            Disposition::Reset
        } else {
            Disposition::Drop
        }
    }

    fn ask(&mut self, key: FlowKey, times: u8) -> Disposition {
        let keepers = self.mesh.ring().keepers(key);
        self.young
            .insert(key, Place::Asked(times.saturating_add(1)));
        // A packet that is sent again was perhaps lost with the first keeper.
        let (to, purpose) = if times.is_multiple_of(2) {
            (keepers.first.or(keepers.second), Purpose::FirstKeeper)
        } else {
            (keepers.second.or(keepers.first), Purpose::SecondKeeper)
        };
        self.decisions.push(Decision {
            node: to,
            ..Decision::new(Step::AskedKeeper, key, self.map.index)
        });
        to.map_or(Disposition::Drop, |to| self.forward(to, purpose))
    }

    const fn forward(&self, to: Ipv4Addr, purpose: Purpose) -> Disposition {
        let trail = Trail::from_balancer(self.mesh.own().ip, purpose);
        Disposition::Forward { to, trail }
    }

    /// What is in the cache; what is used stays in its younger half.
    fn recall(&mut self, key: FlowKey) -> Option<Place> {
        if let Some(place) = self.young.get(&key) {
            return Some(*place);
        }
        let place = self.old.remove(&key)?;
        self.young.insert(key, place);
        Some(place)
    }

    /// `agent` says which flows are at it.
    pub fn on_flow_locations(
        &mut self,
        agent: Ipv4Addr,
        places: impl IntoIterator<Item = FlowLocation>,
    ) {
        for place in places {
            self.young.insert(place.flow, Place::At(agent));
        }
    }

    /// Time passed.
    pub fn on_tick(&mut self, now: Instant) {
        self.mesh.on_tick(now);
        if self.turn_at <= now {
            self.turn_at = now + CACHE_HALF;
            self.old = std::mem::take(&mut self.young);
        }
    }
}
