//! Records of backend servers and balancers, and a network of agents that forward packets to each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill_core::config::{CommittedConfig, ZoneState, ZoneStatus};
use dogwoodrill_core::directory::{Directory, MemberId, MemberState, Record, Role};
use dogwoodrill_core::flow::{ClusterKey, PacketClass};
use dogwoodrill_core::flow_table::Peer;
use dogwoodrill_core::ids::{Incarnation, ServiceId};
use dogwoodrill_core::routing::{DropCause, Route, ServiceTable};
use dogwoodrill_core::steering::{Steering, SteeringDecision, SteeringOptions, TunnelPacket};
use dogwoodrill_core::time::{Now, UnixMillis};

pub const KEY: ClusterKey = ClusterKey::new(*b"a key for tests.");
pub const ORDERS: ServiceId = ServiceId::new(1);
pub const SHEETS: ServiceId = ServiceId::new(2);
pub const ZONES: [&str; 3] = ["las-piedras", "pando", "santa-lucia"];
/// Long enough after the start that all first records are eligible.
pub const LATER: UnixMillis = UnixMillis::new(10_000);
/// How long agents keep flow table entries and previous homes.
pub const FLOW_TIMEOUT: Duration = Duration::from_secs(10);

/// The n-th incarnation.
pub const fn nth_incarnation(n: u64) -> Incarnation {
    Incarnation::new(n * 1_000)
}

pub fn tunnel(server: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(10_000 + server).unwrap()))
}

/// A serving backend server in its first incarnation, in a zone that its number selects.
pub fn server(service: ServiceId, id: u32) -> Record {
    Record {
        member: MemberId::BackendServer(id.into()),
        zone: ZONES[id as usize % ZONES.len()].parse().unwrap(),
        incarnation: nth_incarnation(1),
        sequence: 1.into(),
        state: MemberState::Serving,
        tunnel: tunnel(id),
        peer: tunnel(id),
        eligible_at: UnixMillis::default(),
        role: Role::BackendServer {
            service,
            slots: 2,
            ramp_until: UnixMillis::default(),
        },
    }
}

pub fn balancer(node: u64, zone: usize) -> Record {
    Record {
        member: MemberId::Balancer(node.into()),
        zone: ZONES[zone].parse().unwrap(),
        role: Role::Balancer,
        ..server(ORDERS, u32::try_from(node).unwrap())
    }
}

/// The next record of the same incarnation, with another state.
pub fn with_state(record: &Record, state: MemberState) -> Record {
    Record {
        state,
        sequence: record.sequence.next(),
        ..record.clone()
    }
}

pub fn directory(records: impl IntoIterator<Item = Record>) -> Directory {
    let mut directory = Directory::default();
    for record in records {
        directory.merge(record);
    }
    directory
}

pub fn seven() -> Directory {
    directory((1..=7).map(|id| server(ORDERS, id)))
}

/// A configuration in which the zone `out` is taken out of service.
pub fn without_zone(out: Option<&str>) -> CommittedConfig {
    let mut config = CommittedConfig::default();
    if let Some(zone) = out {
        let zone = ZoneState {
            name: zone.parse().unwrap(),
            version: 1.into(),
            status: ZoneStatus::Out,
        };
        config.zones.insert(zone.name.clone(), zone);
    }
    config
}

pub fn table(directory: &Directory) -> ServiceTable {
    ServiceTable::build(directory, &CommittedConfig::default(), ORDERS)
}

/// The disposition of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disposition {
    /// An agent accepted it after this number of hops.
    Accepted { by: u32, hops: u8 },
    /// It was dropped, by a balancer or an agent.
    Dropped(DropCause),
}

/// Agents that forward packets to each other without loss.
pub struct AgentNetwork {
    agents: BTreeMap<SocketAddr, Steering>,
    start: Instant,
    wall: UnixMillis,
}

impl AgentNetwork {
    pub fn new(wall: UnixMillis) -> Self {
        Self {
            agents: BTreeMap::new(),
            start: Instant::now(),
            wall,
        }
    }

    pub fn now(&self) -> Now {
        Now {
            instant: self.start + self.wall.since(UnixMillis::default()),
            wall: self.wall,
        }
    }

    pub fn advance(&mut self, by: Duration) {
        self.wall = self.wall.plus(by);
    }

    /// Starts the agent of a server's first incarnation.
    pub fn start(&mut self, id: u32) {
        let own = Peer {
            server: id.into(),
            tunnel: tunnel(id),
        };
        let options = SteeringOptions {
            own,
            incarnation: nth_incarnation(1).short(),
            flow_timeout: FLOW_TIMEOUT,
        };
        let agent = Steering::new(options);
        self.agents.insert(own.tunnel, agent);
    }

    pub fn agent(&mut self, id: u32) -> &mut Steering {
        self.agents.get_mut(&tunnel(id)).unwrap()
    }

    pub fn ids(&self) -> Vec<u32> {
        let ports = self.agents.keys().map(|a| u32::from(a.port()));
        ports.map(|port| port - 10_000).collect()
    }

    /// Sets the directory of one agent.
    pub fn set_view(&mut self, id: u32, directory: &Directory) {
        let (now, table) = (self.now(), Arc::new(table(directory)));
        let record = directory.get(MemberId::BackendServer(id.into()));
        let draining = record.is_some_and(|r| r.state != MemberState::Serving);
        let agent = self.agent(id);
        agent.on_table(now, table);
        agent.on_draining(draining);
    }

    /// Sets the same directory for every agent.
    pub fn set_all_views(&mut self, directory: &Directory) {
        for id in self.ids() {
            self.set_view(id, directory);
        }
    }

    /// Sends a packet through a balancer with `table`; `open` returns the number of open flows of an agent.
    pub fn send_counted(
        &mut self,
        table: &ServiceTable,
        class: PacketClass,
        open: impl Fn(u32) -> u32,
    ) -> Disposition {
        let (mut to, reset) = match table.route(class, self.wall) {
            Route::Forward { tunnel, .. } => (tunnel, false),
            Route::Reset { tunnel, .. } => (tunnel, true),
            Route::Drop(cause) => return Disposition::Dropped(cause),
        };
        let mut arrival = TunnelPacket {
            class,
            hops: 0,
            settled: false,
            reset,
        };
        let now = self.now();
        loop {
            let by = u32::from(to.port()) - 10_000;
            let agent = self.agents.get_mut(&to).expect("packets go to agents");
            match agent.on_packet(now, arrival, open(by)) {
                SteeringDecision::Accept => {
                    let hops = arrival.hops;
                    return Disposition::Accepted { by, hops };
                }
                SteeringDecision::Drop(cause) => return Disposition::Dropped(cause),
                SteeringDecision::PassOn {
                    to: next,
                    hops,
                    settled,
                } => {
                    to = next.tunnel;
                    arrival.hops = hops;
                    arrival.settled = settled;
                }
            }
        }
    }

    pub fn send(&mut self, table: &ServiceTable, class: PacketClass) -> Disposition {
        self.send_counted(table, class, |_| 0)
    }
}
