//! The committed configuration, which operators change and every node applies.
//!
//! A [`CommittedConfig`] is identified by the log index that produced it. A node that has applied one index
//! accepts only a higher one, so no change is reverted. Profiles have the settings that an operator can
//! edit, services bind addresses to a profile, availability zones are in service or out, and claim groups
//! list the replicas that store claims on request keys.

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

/// Version of one profile or zone state; a change must contain the version that it was read at.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct Version(u64);

impl Version {
    /// Creates a version from its number; 0 means that there is no value yet.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// The number itself.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The next version.
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
    /// Creates a share from thousandths.
    pub const fn new(value: u16) -> Self {
        Self(value)
    }

    /// The share as thousandths.
    pub const fn get(self) -> u16 {
        self.0
    }
}

/// Priority of requests in the admission queue of a backend server.
#[derive(Clone, Copy, Debug, Default, Display, Eq, FromStr, Hash, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Short requests that a caller waits for.
    #[default]
    #[display("interactive")]
    Interactive,
    /// Long transfers that may wait.
    #[display("bulk")]
    Bulk,
}

/// Settings for the traffic of the services that use the profile.
///
/// Timeouts are durations here because they are settings; a running operation holds a deadline that is
/// computed from them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Profile {
    /// The profile's name.
    pub name: ProfileName,
    /// Version of the profile.
    pub version: Version,
    /// Priority of the profile's requests in the admission queue of a backend server.
    pub priority: Priority,
    /// Timeout of a request that has no deadline of its own.
    pub request_timeout: Duration,
    /// Time after its creation during which an idempotency key may be sent.
    pub retry_window: Duration,
    /// Whether a request with an unsafe method must carry an idempotency key.
    pub require_key: bool,
    /// Maximum length of the admission queue of one backend server.
    pub queue_limit: u32,
    /// Time over which the limit of a backend server that has just started is raised to its full value.
    pub cold_start: Duration,
    /// Share above its fair share of open flows from which a server hands new flows over to a peer.
    pub flow_slack: PerMille,
    /// Largest share of a service's servers that failure detection may take out of service by itself.
    pub suspect_cap: PerMille,
    /// Objective of the service: the share of requests that are answered well and in time.
    pub objective: PerMille,
    /// Latency up to which a request counts as good for the objective.
    pub latency_objective: Duration,
    /// Maximum time between the announcement of a stop and the end of the process.
    pub drain_timeout: Duration,
}

impl Profile {
    /// The default profile, which a service has until an operator edits it.
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

/// A service: a set of addresses that callers send to, and the profile of its traffic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Number that identifies the service in packets.
    pub id: ServiceId,
    /// The service's name.
    pub name: ServiceName,
    /// Name of the service's profile.
    pub profile: ProfileName,
    /// Addresses that callers send to.
    pub addresses: Vec<SocketAddr>,
}

/// Whether an availability zone may receive packets.
#[derive(Clone, Copy, Debug, Default, Display, Eq, FromStr, Hash, PartialEq)]
pub enum ZoneStatus {
    /// The zone is in service.
    #[default]
    #[display("in")]
    In,
    /// Operators have taken the zone out of service.
    #[display("out")]
    Out,
}

/// Committed state of one availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneState {
    /// The zone's name.
    pub name: AvailabilityZone,
    /// Version of this state.
    pub version: Version,
    /// Whether the zone may receive packets.
    pub status: ZoneStatus,
}

/// Identifies a claim replica: the agent of a backend server, in one incarnation.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimReplicaId {
    /// The backend server of the agent.
    pub server: BackendServerId,
    /// The agent's incarnation. In a [`ClaimGroup`] it is that of the directory record when the group was
    /// planned: a replica of this incarnation has not acted in the epoch before. One of a later incarnation
    /// may have, in an earlier incarnation, and recovers from the other replicas first.
    pub incarnation: Incarnation,
}

/// The replicas of the claims on the request keys of one service.
///
/// A group has 3 or 5 replicas, in different availability zones if there are as many (1 replica if the
/// service has fewer than 3 servers). Epochs of one service start at [`ClaimGroup::FIRST_EPOCH`] and
/// increase by one. The control leader may commit:
///
/// 1. *The first epoch*: `previous` is empty. Its replicas start without claims.
/// 2. *A change*: the next epoch, with `previous` set to the replicas of the epoch in force, as they are
///    committed there. Each new replica copies from a majority of `previous`, which closes the old epoch.
///    Until a majority of the new replicas has done so, callers of keyed requests are told to retry.
/// 3. *Settling*: once a majority of the new replicas replies to `Claims.Standing` with `installed` equal
///    to the new epoch, the same epoch is committed again with `previous` empty.
///
/// **Another change may be committed only on a settled group** (`previous` empty). Otherwise the replicas
/// of the middle epoch could not know which replicas to copy from, and the claims of the first epoch would
/// be lost. A replica that restarted at the same time as all others also needs a settled group to recover.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimGroup {
    /// Service for whose keys the group stores claims.
    pub service: ServiceId,
    /// Version of the group's membership.
    pub epoch: Epoch,
    /// The replicas of this epoch.
    pub replicas: Vec<ClaimReplicaId>,
    /// Replicas of the previous epoch, from which the new ones copy; empty once the group is settled.
    pub previous: Vec<ClaimReplicaId>,
}

impl ClaimGroup {
    /// The epoch that starts without claims.
    pub const FIRST_EPOCH: Epoch = Epoch::new(1);

    /// Whether the next epoch may be committed.
    pub const fn is_settled(&self) -> bool {
        self.previous.is_empty()
    }
}

/// A complete configuration written by an external system. The highest version is in force; the state
/// machine does not parse the content.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
    /// Version assigned by the external system.
    pub version: Version,
    /// The content, as received.
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
    /// The region of each availability zone. Zones that are not listed form one region together.
    pub regions: BTreeMap<AvailabilityZone, RegionName>,
    /// Claim groups by service.
    pub claim_groups: BTreeMap<ServiceId, ClaimGroup>,
    /// The document in force, if an external system writes the configuration. It is not sent down the
    /// relay tree.
    pub document: Option<Document>,
}

impl CommittedConfig {
    /// Whether packets may be sent to `zone`. A zone without a committed state is in service.
    pub fn is_zone_in(&self, zone: &AvailabilityZone) -> bool {
        self.zones
            .get(zone)
            .is_none_or(|z| z.status == ZoneStatus::In)
    }

    /// Whether two zones are in the same region.
    pub fn is_same_region(&self, a: &AvailabilityZone, b: &AvailabilityZone) -> bool {
        self.regions.get(a) == self.regions.get(b)
    }

    /// The service whose callers send to `address`.
    pub fn service_at(&self, address: SocketAddr) -> Option<&Service> {
        self.services
            .values()
            .find(|s| s.addresses.contains(&address))
    }

    /// The service with that name.
    pub fn service_named(&self, name: &ServiceName) -> Option<&Service> {
        self.services.values().find(|s| s.name == *name)
    }

    /// The profile of `service`.
    pub fn profile_of(&self, service: ServiceId) -> Option<&Profile> {
        let service = self.services.get(&service)?;
        self.profiles.get(&service.profile)
    }
}
