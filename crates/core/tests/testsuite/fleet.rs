//! Backend servers and balancers as records, and agents that pass packets among them.

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
/// How long agents remember flows, and homes before a change.
pub const REMEMBER: Duration = Duration::from_secs(10);

/// The n-th second of a life.
pub const fn life(n: u64) -> Incarnation {
    Incarnation::new(n * 1_000)
}

pub fn tunnel(server: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(10_000 + server).unwrap()))
}

/// A serving backend server in its first life, in the zone of its number.
pub fn server(service: ServiceId, id: u32) -> Record {
    Record {
        member: MemberId::BackendServer(id.into()),
        zone: ZONES[id as usize % ZONES.len()].parse().unwrap(),
        incarnation: life(1),
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

/// The same record with another state, one step later.
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

/// A configuration in which `out` is taken out.
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

/// What became of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// An agent took it, after so many hops.
    Taken { by: u32, hops: u8 },
    /// It was dropped, by a balancer or an agent.
    Dropped(DropCause),
}

/// Agents that pass packets to one another without loss.
pub struct Mesh {
    agents: BTreeMap<SocketAddr, Steering>,
    start: Instant,
    wall: UnixMillis,
}

impl Mesh {
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

    /// Starts the agent beside a server's first life.
    pub fn start(&mut self, id: u32) {
        let own = Peer {
            server: id.into(),
            tunnel: tunnel(id),
        };
        let options = SteeringOptions {
            own,
            incarnation: life(1).short(),
            flow_timeout: REMEMBER,
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

    /// Gives one agent a view of the cluster.
    pub fn tell(&mut self, id: u32, directory: &Directory) {
        let (now, table) = (self.now(), Arc::new(table(directory)));
        let record = directory.get(MemberId::BackendServer(id.into()));
        let draining = record.is_some_and(|r| r.state != MemberState::Serving);
        let agent = self.agent(id);
        agent.on_table(now, table);
        agent.on_draining(draining);
    }

    /// Gives every agent the same view.
    pub fn tell_all(&mut self, directory: &Directory) {
        for id in self.ids() {
            self.tell(id, directory);
        }
    }

    /// Sends a packet by a balancer with `table`; `open` says how many flows end at each agent.
    pub fn send_counted(
        &mut self,
        table: &ServiceTable,
        class: PacketClass,
        open: impl Fn(u32) -> u32,
    ) -> Fate {
        let (mut to, reset) = match table.route(class, self.wall) {
            Route::Forward { tunnel, .. } => (tunnel, false),
            Route::Reset { tunnel, .. } => (tunnel, true),
            Route::Drop(cause) => return Fate::Dropped(cause),
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
                    return Fate::Taken { by, hops };
                }
                SteeringDecision::Drop(cause) => return Fate::Dropped(cause),
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

    pub fn send(&mut self, table: &ServiceTable, class: PacketClass) -> Fate {
        self.send_counted(table, class, |_| 0)
    }
}
