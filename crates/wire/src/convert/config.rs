//! Conversions of the committed configuration.

use std::time::Duration;

use dogwoodrill_core::config::{
    ClaimGroup, ClaimReplicaId, CommittedConfig, Document, PerMille, Priority, Profile, Service,
    ZoneState, ZoneStatus,
};
use dogwoodrill_core::ids::{AvailabilityZone, RegionName};

use super::{ConvertError, address, checked_narrow, name};
use crate::proto::spread as wire;

impl From<&CommittedConfig> for wire::Config {
    fn from(c: &CommittedConfig) -> Self {
        Self {
            index: c.index.into(),
            profiles: c.profiles.values().map(Into::into).collect(),
            services: c.services.values().map(Into::into).collect(),
            zones: c.zones.values().map(Into::into).collect(),
            claim_groups: c.claim_groups.values().map(Into::into).collect(),
            regions: c.regions.iter().map(region_to_wire).collect(),
            document: c.document.as_ref().map(Into::into),
        }
    }
}

impl TryFrom<wire::Config> for CommittedConfig {
    type Error = ConvertError;

    fn try_from(c: wire::Config) -> Result<Self, Self::Error> {
        let mut config = Self {
            index: c.index.into(),
            document: c.document.map(Into::into),
            ..Self::default()
        };
        for profile in c.profiles {
            let profile = Profile::try_from(profile)?;
            config.profiles.insert(profile.name.clone(), profile);
        }
        for service in c.services {
            let service = Service::try_from(service)?;
            config.services.insert(service.id, service);
        }
        for zone in c.zones {
            let zone = ZoneState::try_from(zone)?;
            config.zones.insert(zone.name.clone(), zone);
        }
        for group in c.claim_groups {
            let group = ClaimGroup::try_from(group)?;
            config.claim_groups.insert(group.service, group);
        }
        for of in c.regions {
            let zone = name("zone", of.zone)?;
            config.regions.insert(zone, name("region", of.region)?);
        }
        Ok(config)
    }
}

impl From<&Profile> for wire::Profile {
    fn from(p: &Profile) -> Self {
        Self {
            name: p.name.to_string(),
            version: p.version.into(),
            priority: wire::Priority::from(p.priority).into(),
            request_timeout_ms: millis(p.request_timeout),
            retry_window_ms: millis(p.retry_window),
            require_key: p.require_key,
            queue_limit: p.queue_limit,
            cold_start_ms: millis(p.cold_start),
            flow_slack_per_mille: p.flow_slack.get().into(),
            suspect_cap_per_mille: p.suspect_cap.get().into(),
            objective_per_mille: p.objective.get().into(),
            latency_objective_ms: millis(p.latency_objective),
            drain_timeout_ms: millis(p.drain_timeout),
        }
    }
}

impl TryFrom<wire::Profile> for Profile {
    type Error = ConvertError;

    fn try_from(p: wire::Profile) -> Result<Self, Self::Error> {
        let priority = Priority::try_from(p.priority())?;
        Ok(Self {
            name: name("profile", p.name)?,
            version: p.version.into(),
            priority,
            request_timeout: Duration::from_millis(p.request_timeout_ms),
            retry_window: Duration::from_millis(p.retry_window_ms),
            require_key: p.require_key,
            queue_limit: p.queue_limit,
            cold_start: Duration::from_millis(p.cold_start_ms),
            flow_slack: per_mille("flow slack", p.flow_slack_per_mille)?,
            suspect_cap: per_mille("suspect cap", p.suspect_cap_per_mille)?,
            objective: per_mille("objective", p.objective_per_mille)?,
            latency_objective: Duration::from_millis(p.latency_objective_ms),
            drain_timeout: Duration::from_millis(p.drain_timeout_ms),
        })
    }
}

impl From<Priority> for wire::Priority {
    fn from(p: Priority) -> Self {
        match p {
            Priority::Interactive => Self::Interactive,
            Priority::Bulk => Self::Bulk,
        }
    }
}

impl TryFrom<wire::Priority> for Priority {
    type Error = ConvertError;

    fn try_from(p: wire::Priority) -> Result<Self, Self::Error> {
        match p {
            wire::Priority::Interactive => Ok(Self::Interactive),
            wire::Priority::Bulk => Ok(Self::Bulk),
            wire::Priority::Unspecified => Err(ConvertError::Missing { field: "priority" }),
        }
    }
}

impl From<&Service> for wire::Service {
    fn from(s: &Service) -> Self {
        Self {
            id: s.id.get().into(),
            name: s.name.to_string(),
            profile: s.profile.to_string(),
            addresses: s.addresses.iter().map(ToString::to_string).collect(),
        }
    }
}

impl TryFrom<wire::Service> for Service {
    type Error = ConvertError;

    fn try_from(s: wire::Service) -> Result<Self, Self::Error> {
        let addresses = s
            .addresses
            .into_iter()
            .map(|a| address("service address", a));
        Ok(Self {
            id: checked_narrow::<u16>("service", s.id)?.into(),
            name: name("service", s.name)?,
            profile: name("profile", s.profile)?,
            addresses: addresses.collect::<Result<_, _>>()?,
        })
    }
}

impl From<&ZoneState> for wire::Zone {
    fn from(z: &ZoneState) -> Self {
        Self {
            name: z.name.to_string(),
            version: z.version.into(),
            out: z.status == ZoneStatus::Out,
        }
    }
}

impl TryFrom<wire::Zone> for ZoneState {
    type Error = ConvertError;

    fn try_from(z: wire::Zone) -> Result<Self, Self::Error> {
        Ok(Self {
            name: name("zone", z.name)?,
            version: z.version.into(),
            status: if z.out {
                ZoneStatus::Out
            } else {
                ZoneStatus::In
            },
        })
    }
}

impl From<&Document> for wire::Document {
    fn from(d: &Document) -> Self {
        Self {
            version: d.version.into(),
            body: d.body.to_vec(),
        }
    }
}

impl From<wire::Document> for Document {
    fn from(d: wire::Document) -> Self {
        Self {
            version: d.version.into(),
            body: d.body.into(),
        }
    }
}

impl From<&ClaimGroup> for wire::ClaimGroup {
    fn from(g: &ClaimGroup) -> Self {
        Self {
            service: g.service.get().into(),
            epoch: g.epoch.into(),
            keepers: g.replicas.iter().map(Into::into).collect(),
            previous: g.previous.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<wire::ClaimGroup> for ClaimGroup {
    type Error = ConvertError;

    fn try_from(g: wire::ClaimGroup) -> Result<Self, Self::Error> {
        Ok(Self {
            service: checked_narrow::<u16>("service", g.service)?.into(),
            epoch: g.epoch.into(),
            replicas: g.keepers.into_iter().map(Into::into).collect(),
            previous: g.previous.into_iter().map(Into::into).collect(),
        })
    }
}

impl From<&ClaimReplicaId> for wire::ClaimKeeper {
    fn from(k: &ClaimReplicaId) -> Self {
        Self {
            server: k.server.get(),
            incarnation: k.incarnation.get(),
        }
    }
}

impl From<wire::ClaimKeeper> for ClaimReplicaId {
    fn from(k: wire::ClaimKeeper) -> Self {
        Self {
            server: k.server.into(),
            incarnation: k.incarnation.into(),
        }
    }
}

fn region_to_wire((zone, region): (&AvailabilityZone, &RegionName)) -> wire::ZoneRegion {
    wire::ZoneRegion {
        zone: zone.to_string(),
        region: region.to_string(),
    }
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}

fn per_mille(field: &'static str, value: u32) -> Result<PerMille, ConvertError> {
    checked_narrow::<u16>(field, value).map(PerMille::new)
}
