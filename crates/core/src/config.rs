//! The committed configuration: what operators decided and every node obeys.
//!
//! A [`CommittedConfig`] is named by the log index that produced it; a node in force at one index
//! takes only a higher one, so nothing reverts. Profiles hold the choices an operator makes,
//! services bind an address to a profile, zones are in service or out, and claim groups list the
//! agents that keep claims on request keys.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, From, FromStr, Into};

use crate::ids::{
    AvailabilityZone, BackendServerId, Epoch, Incarnation, LogIndex, ProfileName, RegionName,
    ServiceId, ServiceName,
};

mod check;

pub use check::FieldChange;

/// Version of one profile or zone state; a change must name the version it was read at.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct Version(u64);

impl Version {
    /// Makes a version from its number; 0 means that nothing is there yet.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// The number itself.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The version after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A share in thousandths, so that equality and ordering are exact.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Hash, Into, Ord, PartialEq, PartialOrd,
)]
#[display("{_0} per mille")]
pub struct PerMille(u16);

impl PerMille {
    /// Makes a share from thousandths.
    pub const fn new(value: u16) -> Self {
        Self(value)
    }

    /// The share as thousandths.
    pub const fn get(self) -> u16 {
        self.0
    }
}

/// Order in which waiting requests of one backend server are taken.
#[derive(Clone, Copy, Debug, Default, Display, Eq, FromStr, Hash, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Quick checks and orders.
    #[default]
    #[display("interactive")]
    Interactive,
    /// Long transfers that may wait.
    #[display("bulk")]
    Bulk,
}

/// How traffic of one kind of service is treated.
///
/// Limits on time are kept as durations here because they are settings; whatever is running holds
/// a deadline computed from them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Profile {
    /// The profile's name.
    pub name: ProfileName,
    /// Version of this text.
    pub version: Version,
    /// Place of the profile's requests in the queue of a backend server.
    pub priority: Priority,
    /// Time a request without a deadline of its own may take.
    pub request_timeout: Duration,
    /// Time during which a key may be sent again.
    pub retry_window: Duration,
    /// Whether a request with an unsafe method must carry an idempotency key.
    pub require_key: bool,
    /// Requests that may wait at one backend server.
    pub queue_limit: u32,
    /// Time over which a just-started backend server is brought to its full limit.
    pub cold_start: Duration,
    /// Share above the mean of open flows at which new flows go to the second choice.
    pub flow_slack: PerMille,
    /// Largest share of a service that failure detection may take out by itself.
    pub suspect_cap: PerMille,
    /// Share of requests finished in time that the service promises.
    pub objective: PerMille,
    /// Time within which a request counts as good for the objective.
    pub latency_objective: Duration,
    /// Time between an announced stop and the end of the process.
    pub drain_timeout: Duration,
}

impl Profile {
    /// The profile that a service has until an operator edits it.
    pub fn standard(name: ProfileName) -> Self {
        Self {
            name,
            version: Version::default(),
            priority: Priority::Interactive,
            request_timeout: Duration::from_secs(10),
            retry_window: Duration::from_mins(5),
            require_key: true,
            queue_limit: 64,
            cold_start: Duration::from_secs(10),
            flow_slack: PerMille::new(50),
            suspect_cap: PerMille::new(300),
            objective: PerMille::new(999),
            latency_objective: Duration::from_secs(1),
            drain_timeout: Duration::from_hours(12),
        }
    }
}

/// One service: a set of addresses that callers use, and the profile of its traffic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Number that travels in packets.
    pub id: ServiceId,
    /// The service's name.
    pub name: ServiceName,
    /// Name of the profile in force.
    pub profile: ProfileName,
    /// Addresses that callers send to.
    pub addresses: Vec<SocketAddr>,
}

/// Whether an availability zone may receive packets.
#[derive(Clone, Copy, Debug, Default, Display, Eq, FromStr, Hash, PartialEq)]
pub enum ZoneStatus {
    /// The zone takes part.
    #[default]
    #[display("in")]
    In,
    /// Operators have taken the zone out.
    #[display("out")]
    Out,
}

/// State of one availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneState {
    /// The zone's name.
    pub name: AvailabilityZone,
    /// Version of this state.
    pub version: Version,
    /// Whether the zone may receive packets.
    pub status: ZoneStatus,
}

/// One member of a claim group: the agent beside a backend server, in one life.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimReplicaId {
    /// The backend server that the agent runs beside.
    pub server: BackendServerId,
    /// The agent's incarnation in its directory record when the group was planned. A keeper of this
    /// incarnation has not acted in the epoch before; a later one may have, in an earlier life, and
    /// recovers from the other keepers first.
    pub incarnation: Incarnation,
}

/// The agents that keep claims on request keys of one service.
///
/// A group is 3 or 5 keepers in different availability zones where there are as many (1 where the
/// service has fewer than 3 servers). Epochs of one service start at [`ClaimGroup::FIRST_EPOCH`] and
/// rise by one. What the control leader may commit, and when:
///
/// 1. *The first epoch*: `previous` is empty. Its keepers start with no claims.
/// 2. *A change*: the next epoch, with `previous` set to the keepers of the epoch in force, as they
///    are committed there. Each new keeper copies from a majority of `previous`, which closes the old
///    epoch. Until a majority of the new keepers has done so, keyed requests are told to ask again.
/// 3. *Settled*: once a majority of the new keepers answers `Claims.Standing` with `installed` equal
///    to the new epoch, the same epoch is committed again with `previous` empty.
///
/// **Another change may be committed only on a settled group** (`previous` empty). Otherwise the
/// keepers of the middle epoch could not know whom to copy from, and claims of the first would be
/// forgotten. A settled group is also what a keeper needs that restarted while all the others did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimGroup {
    /// Service whose keys the group keeps.
    pub service: ServiceId,
    /// Version of the group's membership.
    pub epoch: Epoch,
    /// The keepers.
    pub replicas: Vec<ClaimReplicaId>,
    /// Keepers of the epoch before, from which the new ones copy; empty once the group is settled.
    pub previous: Vec<ClaimReplicaId>,
}

impl ClaimGroup {
    /// The epoch that starts with no claims.
    pub const FIRST_EPOCH: Epoch = Epoch::new(1);

    /// Whether the next epoch may be committed.
    pub const fn is_settled(&self) -> bool {
        self.previous.is_empty()
    }
}

/// A whole configuration written by an outside system. Its highest version is in force; the log does
/// not look inside.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
    /// Version that the outside system gave it.
    pub version: Version,
    /// The text, as it was sent.
    pub body: Bytes,
}

/// Everything that operators and the control leader have committed, at one log index.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CommittedConfig {
    /// Index of the log entry that produced this configuration.
    pub index: LogIndex,
    /// Profiles by name.
    pub profiles: BTreeMap<ProfileName, Profile>,
    /// Services by number.
    pub services: BTreeMap<ServiceId, Service>,
    /// Availability zones by name.
    pub zones: BTreeMap<AvailabilityZone, ZoneState>,
    /// The region of each availability zone. Zones that are not listed make up one region together.
    pub regions: BTreeMap<AvailabilityZone, RegionName>,
    /// Claim groups by the service they serve.
    pub claim_groups: BTreeMap<ServiceId, ClaimGroup>,
    /// The document in force, where an outside system writes the configuration. It does not travel
    /// down the relay tree.
    pub document: Option<Document>,
}

impl CommittedConfig {
    /// Whether packets may go to `zone`. A zone nobody has committed yet takes part.
    pub fn is_zone_in(&self, zone: &AvailabilityZone) -> bool {
        self.zones
            .get(zone)
            .is_none_or(|z| z.status == ZoneStatus::In)
    }

    /// Whether two zones are of one region.
    pub fn is_same_region(&self, a: &AvailabilityZone, b: &AvailabilityZone) -> bool {
        self.regions.get(a) == self.regions.get(b)
    }

    /// The service whose callers send to `address`.
    pub fn service_at(&self, address: SocketAddr) -> Option<&Service> {
        self.services
            .values()
            .find(|s| s.addresses.contains(&address))
    }

    /// The service of that name.
    pub fn service_named(&self, name: &ServiceName) -> Option<&Service> {
        self.services.values().find(|s| s.name == *name)
    }

    /// The profile of `service`.
    pub fn profile_of(&self, service: ServiceId) -> Option<&Profile> {
        let service = self.services.get(&service)?;
        self.profiles.get(&service.profile)
    }
}
