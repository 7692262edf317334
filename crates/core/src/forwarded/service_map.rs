//! The configuration of forwarded flows, which maps the address of a flow to services.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Deref, Display, From, FromStr, Into};

use crate::config::Version;
use crate::ids::{AvailabilityZone, LogIndex};

/// Name of a service in the external configuration; any text.
#[derive(Clone, Debug, Deref, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd)]
#[from(&str, String)]
pub struct ServiceLabel(Arc<str>);

/// Relative share of a route's new flows.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Into, Ord, PartialEq, PartialOrd,
)]
pub struct Weight(u32);

impl Weight {
    /// Creates a weight from its numeric value.
    pub const fn new(value: u32) -> Self {
        Self(value)
    }

    /// Returns the numeric value.
    pub const fn get(self) -> u32 {
        self.0
    }
}

/// Rate in requests per second.
#[derive(Clone, Copy, Debug, Default, Display, From, FromStr, Into, PartialEq, PartialOrd)]
#[display("{_0}/s")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate from a number of requests per second.
    pub const fn new(per_second: f64) -> Self {
        Self(per_second)
    }

    /// Returns the number of requests per second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

/// A service that receives a share of a route's flows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceLabel,
    /// Share of new flows; with 0 the service gets none.
    pub weight: Weight,
}

/// Requirements of callers for the requests on a route's flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestPolicy {
    /// Time after which a response is late.
    pub target: Duration,
    /// Time after which the caller gives up a request.
    pub timeout: Duration,
    /// Priority among other requests; 0 is the most urgent.
    pub priority: u32,
}

/// Routing of new flows to one address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The services that share the flows.
    pub targets: Vec<Target>,
    /// Requirements of the callers.
    pub policy: RequestPolicy,
}

impl Route {
    /// Whether `service` may get flows of the route.
    pub fn allows(&self, service: &ServiceLabel) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|t| t.service == *service && t.weight > Weight::default())
    }

    /// Chooses the service of a flow by weight. `draw` is a random number. Returns `None` if all weights are
    /// 0.
    pub fn pick(&self, draw: u32) -> Option<&ServiceLabel> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight.get())).sum();
        let mut left = u64::from(draw).checked_rem(total)?;
        self.targets.iter().find_map(|t| {
            let weight = u64::from(t.weight.get());
            if left < weight {
                return Some(&t.service);
            }
            left -= weight;
            None
        })
    }
}

/// Settings of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServicePolicy {
    /// Rate that a backend server can handle while it is cold; `None` if not configured.
    pub cold_rate: Option<RequestRate>,
}

/// The routes and services of one configuration, as an external system defined them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version that the external system assigned.
    pub version: Version,
    /// Routes by destination address of the callers' packets.
    pub routes: HashMap<SocketAddrV4, Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceLabel, ServicePolicy>,
    /// Time without packets after which a flow may be dropped.
    pub idle_timeout: Duration,
}

/// The configuration in force at a node: the route table and the zones disabled for new flows, at one log
/// index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceMap {
    /// Log index of the last change.
    pub index: LogIndex,
    /// Routes and services; `None` until an external system has sent some.
    pub table: Option<Arc<RouteTable>>,
    /// Zones that get no new flows.
    pub zones_out: BTreeSet<AvailabilityZone>,
}

impl ServiceMap {
    /// Returns the route of flows to `address`.
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        self.table.as_ref()?.routes.get(&address)
    }

    /// Returns the settings of `service`, or the default if it is not configured.
    pub fn policy(&self, service: &ServiceLabel) -> ServicePolicy {
        let table = self.table.as_ref();
        let policy = table.and_then(|t| t.services.get(service));
        policy.copied().unwrap_or_default()
    }

    /// Whether new flows may go to `zone`.
    pub fn is_zone_enabled(&self, zone: &AvailabilityZone) -> bool {
        !self.zones_out.contains(zone)
    }
}
