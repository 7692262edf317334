//! The balancer: places opening packets and forwards all others to the agents of their flows.
//!
//! A balancer's flow table is only a cache. Entries may be missing or wrong at any time, since agents forward
//! packets that are not for their server and keepers store the location of every flow. The cache is bounded
//! by age: it has two halves, and the older one is dropped as a whole.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::decision::{Decision, Step};
use super::keepers::FlowLocation;
use super::mesh::Mesh;
use super::node::NodeRole;
use super::packet::{FlowKey, Header, Purpose, Trail};
use super::placement::{self, Candidate, ProbePolicy};
use super::report::ReceivedReport;
use super::service_map::{ServiceLabel, ServiceMap};
use crate::ids::AvailabilityZone;

mod explain;

/// Time between two drops of the older half of the cache; longer than a flow may be idle.
const CACHE_HALF_TTL: Duration = Duration::from_secs(20);

/// How suspended servers are probed.
const PROBE_POLICY: ProbePolicy = ProbePolicy::Occasional;

/// What is done with a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disposition {
    /// Forward it to an agent with this trail.
    Forward {
        /// Address of the agent.
        to: Ipv4Addr,
        /// Trail to set on the packet.
        trail: Trail,
    },
    /// Reset the flow: no server serves that address.
    Reset,
    /// Drop it.
    Drop,
}

#[derive(Clone, Copy, Debug)]
enum CachedLocation {
    /// The flow is at this agent.
    Agent(Ipv4Addr),
    /// The location is not known, and keepers were queried this many times.
    QueriedKeepers(u8),
}

/// State machine of a balancer. It does no I/O.
#[derive(Debug)]
pub struct Balancer {
    zone: AvailabilityZone,
    rng: StdRng,
    map: Arc<ServiceMap>,
    mesh: Mesh,
    recent: HashMap<FlowKey, CachedLocation>,
    older: HashMap<FlowKey, CachedLocation>,
    rotate_at: Instant,
    decisions: Vec<Decision>,
}

impl Balancer {
    /// Creates a balancer in `zone`. `seed` seeds its random choices.
    pub fn new(now: Instant, mesh: Mesh, zone: AvailabilityZone, seed: u64) -> Self {
        Self {
            zone,
            rng: StdRng::seed_from_u64(seed),
            map: Arc::default(),
            mesh,
            recent: HashMap::new(),
            older: HashMap::new(),
            rotate_at: now + CACHE_HALF_TTL,
            decisions: Vec::new(),
        }
    }

    /// Returns the balancer's view of the other nodes.
    pub const fn mesh(&self) -> &Mesh {
        &self.mesh
    }

    /// Returns the balancer's view of the other nodes, to apply received messages to it.
    pub const fn mesh_mut(&mut self) -> &mut Mesh {
        &mut self.mesh
    }

    /// Returns the configuration in force.
    pub const fn map(&self) -> &Arc<ServiceMap> {
        &self.map
    }

    /// Applies a configuration if it is newer than the current one. Returns whether it was.
    pub fn on_map(&mut self, map: Arc<ServiceMap>) -> bool {
        let newer = map.index > self.map.index;
        if newer {
            self.map = map;
        }
        newer
    }

    /// Returns and clears the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Number of flows in the cache.
    pub fn cached(&self) -> usize {
        self.recent.len() + self.older.len()
    }

    /// Whether a packet has been received from every listed agent. False if none is listed.
    pub fn has_seen_all_agents(&self) -> bool {
        let agents = self.mesh.nodes().filter(|(_, k)| k.role == NodeRole::Agent);
        let mut agents = agents.peekable();
        agents.peek().is_some() && agents.all(|(_, k)| k.last_seen_at().is_some())
    }

    /// Whether the balancer can serve: it has a configuration and at least one live agent.
    pub fn is_ready(&self, now: Instant) -> bool {
        let knows_agents = self.mesh.live(now, NodeRole::Agent).next().is_some();
        self.map.table.is_some() && knows_agents
    }

    /// Decides on a packet of a caller.
    pub fn on_packet(&mut self, now: Instant, header: &Header) -> Disposition {
        let key = header.caller_flow();
        if header.flags.is_opening() {
            return self.on_opening(now, key, header);
        }
        match self.lookup(key) {
            Some(CachedLocation::Agent(to)) => self.forward(to, Purpose::Placed),
            Some(CachedLocation::QueriedKeepers(times)) => self.query_keeper(key, times),
            None => self.query_keeper(key, 0),
        }
    }

    fn on_opening(&mut self, now: Instant, key: FlowKey, header: &Header) -> Disposition {
        // An opening packet carries the number of its copy in the acknowledgement field.
        let is_copy = header.ack > 0;
        let previous = match self.lookup(key) {
            Some(CachedLocation::Agent(to)) => Some(to),
            _ => None,
        };
        if let Some(to) = previous
            && (!is_copy || self.mesh.is_reliable(now, to))
        {
            return self.forward(to, Purpose::Placed);
        }
        self.place(now, key, previous)
    }

    fn place(&mut self, now: Instant, key: FlowKey, previous: Option<Ipv4Addr>) -> Disposition {
        let index = self.map.index;
        let draw = self.rng.random();
        let service = self.map.route(key.service).and_then(|r| r.pick(draw));
        let Some(service) = service.cloned() else {
            self.decisions
                .push(Decision::new(Step::NoRoute, key, index));
            // Without a configuration the balancer cannot know that there is no route.
            return if self.map.table.is_some() {
                Disposition::Reset
            } else {
                Disposition::Drop
            };
        };
        let candidates = Self::candidates(&self.map, &self.mesh, now, &service, previous);
        let load = self.mesh.load_estimator(now);
        let chosen = placement::choose_agent(
            &mut self.rng,
            load,
            candidates.iter().map(|c| (c.agent, c.received)),
            &self.zone,
            PROBE_POLICY,
        );
        let decision = Decision {
            node: chosen.map(|c| c.agent),
            busy: chosen.map(|c| load.busy(c.received)),
            age: chosen.map(|c| now.saturating_duration_since(c.received.received_at)),
            service: Some(service.clone()),
            ..Decision::new(Step::Placed, key, index)
        };
        let Some(to) = decision.node.or(previous) else {
            self.decisions.push(Decision {
                step: Step::NoServer,
                ..decision
            });
            return self.refuse(now);
        };
        let is_replacement = previous.is_some();
        let step = if is_replacement {
            Step::PlacedAgain
        } else {
            Step::Placed
        };
        self.decisions.push(Decision { step, ..decision });
        self.mesh.on_placed(now, to);
        self.recent.insert(key, CachedLocation::Agent(to));
        self.forward(to, Purpose::Placed)
    }

    /// Returns the agents from which that of a new flow is chosen. `previous` did not answer an earlier copy.
    fn candidates<'a>(
        map: &ServiceMap,
        mesh: &'a Mesh,
        now: Instant,
        service: &'a ServiceLabel,
        previous: Option<Ipv4Addr>,
    ) -> Vec<Candidate<'a>> {
        let is_eligible = |(ip, received): &(Ipv4Addr, &ReceivedReport)| {
            Some(*ip) != previous && map.is_zone_enabled(&received.report.zone)
        };
        let reachable = mesh.reachable_agents(now, service).filter(is_eligible);
        let reachable: Vec<_> = reachable.map(Candidate::from).collect();
        if !reachable.is_empty() {
            return reachable;
        }
        // If no agent seems reachable, the fault may be in this node's own network.
        let available = mesh.available_agents(now, service).filter(is_eligible);
        available.map(Candidate::from).collect()
    }

    /// Handles an opening packet that no agent accepts. A balancer without a live agent cannot conclude that
    /// no server is available, and drops the packet.
    fn refuse(&self, now: Instant) -> Disposition {
        if self.is_ready(now) {
            Disposition::Reset
        } else {
            Disposition::Drop
        }
    }

    fn query_keeper(&mut self, key: FlowKey, times: u8) -> Disposition {
        let keepers = self.mesh.ring().keepers(key);
        self.recent
            .insert(key, CachedLocation::QueriedKeepers(times.saturating_add(1)));
        // A retransmission may mean that the first keeper lost the packet, so attempts alternate between the
        // keepers.
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

    /// Returns the cached location of a flow and moves it to the recent half of the cache.
    fn lookup(&mut self, key: FlowKey) -> Option<CachedLocation> {
        let location = self.cached_location(key)?;
        self.older.remove(&key);
        self.recent.entry(key).or_insert(location);
        Some(location)
    }

    /// Returns the cached location of a flow.
    fn cached_location(&self, key: FlowKey) -> Option<CachedLocation> {
        let location = self.recent.get(&key).or_else(|| self.older.get(&key));
        location.copied()
    }

    /// Stores the flow locations in a message from `agent`.
    pub fn on_flow_locations(
        &mut self,
        agent: Ipv4Addr,
        locations: impl IntoIterator<Item = FlowLocation>,
    ) {
        for location in locations {
            self.recent
                .insert(location.flow, CachedLocation::Agent(agent));
        }
    }

    /// Advances the balancer's timers. To be called at regular intervals.
    pub fn on_tick(&mut self, now: Instant) {
        self.mesh.on_tick(now);
        if self.rotate_at <= now {
            self.rotate_at = now + CACHE_HALF_TTL;
            self.older = std::mem::take(&mut self.recent);
        }
    }
}
