//! The configuration of forwarded flows: which service a flow to an address belongs to.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Deref, Display, From, FromStr, Into};

use crate::config::Version;
use crate::ids::{AvailabilityZone, LogIndex};

/// Name of a service as an outside configuration has it; any text.
#[derive(Clone, Debug, Deref, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd)]
#[from(&str, String)]
pub struct ServiceLabel(Arc<str>);

/// Share of a route's flows, relative to the others of that route.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Into, Ord, PartialEq, PartialOrd,
)]
pub struct Weight(u32);

impl Weight {
    /// Makes a weight from its number.
    pub const fn new(value: u32) -> Self {
        Self(value)
    }

    /// The number itself.
    pub const fn get(self) -> u32 {
        self.0
    }
}

/// Requests a second.
#[derive(Clone, Copy, Debug, Default, Display, From, FromStr, Into, PartialEq, PartialOrd)]
#[display("{_0}/s")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Makes a rate from its number.
    pub const fn new(per_second: f64) -> Self {
        Self(per_second)
    }

    /// Requests a second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

/// A service that takes part in a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceLabel,
    /// Its share of new flows; 0 keeps it out.
    pub weight: Weight,
}

/// What callers expect of the requests that a route's flows carry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestPolicy {
    /// Time after which an answer is late.
    pub target: Duration,
    /// Time that a request has in all.
    pub timeout: Duration,
    /// Rank among other requests; 0 is the most urgent.
    pub priority: u32,
}

/// Where new flows to one address go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// The services that share them.
    pub targets: Vec<Target>,
    /// What callers expect.
    pub policy: RequestPolicy,
}

impl Route {
    /// Whether flows of the route may go to `service`.
    pub fn allows(&self, service: &ServiceLabel) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|t| t.service == *service && t.weight > Weight::default())
    }

    /// The service of a flow; `draw` is a random number that the share is taken from.
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

/// What is said of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServicePolicy {
    /// What a cold backend server bears; none where nothing is said.
    pub cold_rate: Option<RequestRate>,
}

/// The routes and services of one configuration, as an outside system wrote them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// The version that the outside system gave them.
    pub version: Version,
    /// Routes by the address that callers send to.
    pub routes: HashMap<SocketAddrV4, Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceLabel, ServicePolicy>,
    /// Time without packets after which a flow may be forgotten.
    pub idle_timeout: Duration,
}

/// What is in force at a node: the route table and the zones that are out, at one index of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceMap {
    /// Index of the last change in it.
    pub index: LogIndex,
    /// Routes and services; none until an outside system has sent some.
    pub table: Option<Arc<RouteTable>>,
    /// Zones that get no new flows.
    pub zones_out: BTreeSet<AvailabilityZone>,
}

impl ServiceMap {
    /// The route of flows to `address`.
    pub fn route(&self, address: SocketAddrV4) -> Option<&Route> {
        self.table.as_ref()?.routes.get(&address)
    }

    /// What is said of `service`.
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
