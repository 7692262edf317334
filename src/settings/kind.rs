//! Kinds of settings files: detection of the kind and validation.

use derive_more::{Display, FromStr};
use dogwoodrill_core::ids::AvailabilityZone;

use super::agent::AgentSettings;
use super::balancer::BalancerSettings;
use super::control::ControlSettings;
use super::document::Value;
use super::fault::{Fault, Faults};
use super::initial::InitialSettings;
use super::operator::OperatorSettings;
use super::process::ProcessSettings;
use super::profile::ProfileSettings;
use super::{Document, SettingsError};

/// Kinds of settings files.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum SettingsKind {
    /// Settings of a balancer.
    Balancer,
    /// Settings of an agent.
    Agent,
    /// Settings of a control host.
    Control,
    /// Initial configuration of a new cluster.
    Initial,
    /// Settings of an operator's commands.
    Operator,
    /// A single profile, for `profile apply`.
    Profile,
}

/// Keys from which the kind of a file is detected, in order of precedence.
const DISTINCTIVE_KEYS: [(&str, SettingsKind); 9] = [
    ("services", SettingsKind::Initial),
    ("zones", SettingsKind::Initial),
    ("announce", SettingsKind::Agent),
    ("service_certificate", SettingsKind::Agent),
    ("initial", SettingsKind::Control),
    ("listen", SettingsKind::Control),
    ("tunnel", SettingsKind::Balancer),
    ("control", SettingsKind::Operator),
    ("name", SettingsKind::Profile),
];

/// Settings of any kind.
#[derive(Debug)]
pub enum AnySettings {
    /// Settings of a balancer.
    Balancer(BalancerSettings),
    /// Settings of an agent.
    Agent(AgentSettings),
    /// Settings of a control host.
    Control(ControlSettings),
    /// Initial configuration of a new cluster.
    Initial(InitialSettings),
    /// Settings of an operator's commands.
    Operator(OperatorSettings),
    /// A single profile.
    Profile(ProfileSettings),
}

impl SettingsKind {
    /// Detects the kind from the keys of a file; `None` if no distinctive key is present.
    pub fn detect(document: &Document) -> Option<Self> {
        let Value::Map(entries) = &document.root.value else {
            return None;
        };
        let has = |key: &str| entries.iter().any(|e| e.key == key);
        DISTINCTIVE_KEYS
            .iter()
            .find_map(|(key, kind)| has(key).then_some(*kind))
    }

    /// Validates a file as settings of this kind.
    pub fn check(self, document: &Document) -> Result<AnySettings, Faults> {
        match self {
            Self::Balancer => document.try_into().map(AnySettings::Balancer),
            Self::Agent => document.try_into().map(AnySettings::Agent),
            Self::Control => document.try_into().map(AnySettings::Control),
            Self::Initial => document.try_into().map(AnySettings::Initial),
            Self::Operator => document.try_into().map(AnySettings::Operator),
            Self::Profile => document.try_into().map(AnySettings::Profile),
        }
    }
}

impl AnySettings {
    /// Reads the key and certificate files that the settings name.
    pub fn check_files(&self) -> Result<(), SettingsError> {
        if let Some(process) = self.process() {
            process.cx()?;
        }
        match self {
            Self::Agent(agent) => agent.options().map(drop),
            Self::Control(control) => control.options().map(drop),
            Self::Operator(operator) => operator.cx().map(drop),
            Self::Balancer(_) | Self::Initial(_) | Self::Profile(_) => Ok(()),
        }
    }

    /// Checks that the zone of the process, if the settings have one, is in `zones`.
    pub fn check_zone(
        &self,
        document: &Document,
        zones: &[AvailabilityZone],
    ) -> Result<(), Faults> {
        let Some(process) = self.process() else {
            return Ok(());
        };
        let zone = &process.zone;
        if zones.contains(&zone.value) {
            return Ok(());
        }
        let listed: Vec<_> = zones.iter().map(AvailabilityZone::as_str).collect();
        let listed = listed.join(", ");
        let text = format!("the zone {} is not listed; listed are {listed}", zone.value);
        Err(Faults {
            path: document.path.clone(),
            faults: vec![Fault {
                position: zone.position,
                text,
            }],
        })
    }

    const fn process(&self) -> Option<&ProcessSettings> {
        match self {
            Self::Balancer(settings) => Some(&settings.process),
            Self::Agent(settings) => Some(&settings.process),
            Self::Control(settings) => Some(&settings.process),
            Self::Initial(_) | Self::Operator(_) | Self::Profile(_) => None,
        }
    }
}
