//! Initial configuration of a new cluster: zones, profiles and services.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;

use dogwoodrill_core::config::{CommittedConfig, Service, Version, ZoneState, ZoneStatus};
use dogwoodrill_core::ids::{
    AvailabilityZone, LogIndex, ProfileName, RegionName, ServiceId, ServiceName,
};

use super::Document;
use super::fault::{FaultList, Faults, Position};
use super::process::values;
use super::profile::{DEFAULT_ROUND_TRIP, ProfileSettings};
use super::section::{Positioned, Section};

/// Validated initial configuration.
#[derive(Clone, Debug)]
pub struct InitialSettings {
    /// The configuration, at log index 1.
    pub config: CommittedConfig,
}

impl InitialSettings {
    fn read(section: &Section<'_>, _: &Document) -> Option<Self> {
        let faults = section.faults();
        let round_trip = section.optional("round_trip").unwrap_or(DEFAULT_ROUND_TRIP);
        let zones = section.list::<AvailabilityZone>("zones");
        let profiles = section.sections("profiles");
        let profiles: Vec<_> = profiles
            .iter()
            .filter_map(|s| ProfileSettings::read(s, round_trip))
            .collect();
        let services = section.sections("services");
        let services: Vec<_> = services.iter().map(ServiceSettings::read).collect();
        let regions = regions(section, zones.iter().flatten());
        section.finish();
        let listed = zones.iter().flatten();
        check_duplicates(faults, "zone", listed.map(|z| (&z.value, z.position)));
        check_duplicates(
            faults,
            "profile",
            profiles.iter().map(|p| (&p.name.value, p.name.position)),
        );
        check_services(faults, &services);
        check_profile_references(faults, &profiles, &services);
        let services: Option<Vec<_>> = services
            .into_iter()
            .map(ServiceSettings::into_service)
            .collect();
        Some(Self {
            config: CommittedConfig {
                regions,
                ..config(zones?, profiles, services?)
            },
        })
    }
}

/// Reads the region of each zone. The key may be omitted if all zones are in one region.
fn regions<'a>(
    section: &Section<'_>,
    zones: impl Iterator<Item = &'a Positioned<AvailabilityZone>>,
) -> BTreeMap<AvailabilityZone, RegionName> {
    let Some(listed) = section.optional_section("regions") else {
        return BTreeMap::new();
    };
    let zones: Vec<_> = zones.map(|z| &z.value).collect();
    let mut regions = BTreeMap::new();
    for (zone, region) in listed.pairs::<RegionName>() {
        if let Some(known) = zones.iter().find(|z| z.as_str() == zone) {
            regions.insert((*known).clone(), region);
        } else {
            let text = format_args!("the zone {zone} under regions is not listed under zones");
            section.faults().add(listed.position(), text);
        }
    }
    regions
}

impl TryFrom<&Document> for InitialSettings {
    type Error = Faults;

    fn try_from(document: &Document) -> Result<Self, Faults> {
        document.read("the initial configuration", Self::read)
    }
}

/// A service before cross-checks. Malformed fields are `None`, so that the other fields can still be
/// checked.
struct ServiceSettings {
    position: Position,
    id: Option<ServiceId>,
    name: Option<ServiceName>,
    profile: Option<Positioned<ProfileName>>,
    addresses: Option<Vec<Positioned<SocketAddr>>>,
}

impl ServiceSettings {
    fn read(section: &Section<'_>) -> Self {
        let service = Self {
            position: section.position(),
            id: section.required("id"),
            name: section.required("name"),
            profile: section.required_at("profile"),
            addresses: section.list("addresses"),
        };
        section.finish();
        service
    }

    fn uses(&self, profile: &ProfileName) -> bool {
        self.profile.as_ref().is_some_and(|p| p.value == *profile)
    }

    fn into_service(self) -> Option<Service> {
        Some(Service {
            id: self.id?,
            name: self.name?,
            profile: self.profile?.value,
            addresses: values(self.addresses?),
        })
    }
}

fn check_duplicates<'a, T: Display + Ord + 'a>(
    faults: &FaultList,
    what: &str,
    all: impl Iterator<Item = (&'a T, Position)>,
) {
    let mut seen = BTreeMap::new();
    for (value, position) in all {
        match seen.get(value) {
            Some(first) => {
                faults.add(
                    position,
                    format_args!("the {what} {value} is already defined at {first}"),
                );
            }
            None => {
                seen.insert(value, position);
            }
        }
    }
}

fn check_services(faults: &FaultList, services: &[ServiceSettings]) {
    let ids = services
        .iter()
        .filter_map(|s| Some((s.id.as_ref()?, s.position)));
    check_duplicates(faults, "service with the id", ids);
    let names = services
        .iter()
        .filter_map(|s| Some((s.name.as_ref()?, s.position)));
    check_duplicates(faults, "service", names);
    let addresses = services.iter().flat_map(|s| &s.addresses).flatten();
    check_duplicates(faults, "address", addresses.map(|a| (&a.value, a.position)));
}

/// Checks that each service's profile is defined and that each profile is used.
fn check_profile_references(
    faults: &FaultList,
    profiles: &[ProfileSettings],
    services: &[ServiceSettings],
) {
    for used in services.iter().filter_map(|s| s.profile.as_ref()) {
        let name = &used.value;
        if !profiles.iter().any(|p| p.name.value == *name) {
            let text = format_args!("the profile {name} is not defined under profiles");
            faults.add(used.position, text);
        }
    }
    for profile in profiles {
        let name = &profile.name.value;
        if !services.iter().any(|s| s.uses(name)) {
            let text = format_args!("no service uses the profile {name}; remove it or name it");
            faults.add(profile.name.position, text);
        }
    }
}

fn config(
    zones: Vec<Positioned<AvailabilityZone>>,
    profiles: Vec<ProfileSettings>,
    services: Vec<Service>,
) -> CommittedConfig {
    let zone = |name: AvailabilityZone| ZoneState {
        name,
        version: Version::new(1),
        status: ZoneStatus::In,
    };
    CommittedConfig {
        index: LogIndex::new(1),
        zones: zones
            .into_iter()
            .map(|z| (z.value.clone(), zone(z.value)))
            .collect(),
        profiles: profiles
            .into_iter()
            .map(|p| (p.name.value, p.profile))
            .collect(),
        services: services.into_iter().map(|s| (s.id, s)).collect(),
        ..CommittedConfig::default()
    }
}
