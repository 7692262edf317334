//! `zone list|out|in`: lists availability zones and takes them out of or into service.

use std::fmt;

use dogwoodrill_core::changes::Change;
use dogwoodrill_core::config::{ZoneState, ZoneStatus};
use dogwoodrill_core::ids::AvailabilityZone;
use serde_json::{Value, json};
use snafu::OptionExt;

use super::Outcome;
use super::session::{
    ChangeOptions, Changed, CommandError, NotFoundSnafu, Session, SessionOptions,
};

/// The committed state of all zones.
#[derive(Clone, Debug)]
pub struct ZoneList {
    /// The zones, ordered by name.
    pub zones: Vec<ZoneState>,
}

/// Result of `zone out` or `zone in`.
#[derive(Clone, Debug)]
pub struct ZoneChange {
    /// The zone.
    pub zone: AvailabilityZone,
    /// The requested status.
    pub status: ZoneStatus,
    /// The accepted change; `None` if the zone already had the requested status.
    pub changed: Option<Changed>,
}

/// Options of `zone out` and `zone in`.
#[derive(Clone, Debug)]
pub struct ZoneChangeOptions {
    /// The zone.
    pub zone: AvailabilityZone,
    /// The requested status.
    pub status: ZoneStatus,
    /// Options of the change.
    pub change: ChangeOptions,
}

/// Lists the zones.
pub async fn zone_list(options: &SessionOptions) -> Result<ZoneList, CommandError> {
    let config = Session::open(&options.config)?.client.config().await?;
    Ok(ZoneList {
        zones: config.zones.into_values().collect(),
    })
}

/// Takes a zone out of or into service.
pub async fn zone_change(
    options: &SessionOptions,
    requested: &ZoneChangeOptions,
) -> Result<ZoneChange, CommandError> {
    let session = Session::open(&options.config)?;
    let config = session.client.config().await?;
    let committed = config.zones.get(&requested.zone).with_context(|| {
        let known: Vec<_> = config.zones.keys().map(AvailabilityZone::as_str).collect();
        NotFoundSnafu {
            what: "zone",
            name: requested.zone.to_string(),
            known: known.join(", "),
        }
    })?;
    let is_repeat = requested.change.command_id.is_some();
    let (zone, status) = (requested.zone.clone(), requested.status);
    if committed.status == status && !is_repeat {
        return Ok(ZoneChange {
            zone,
            status,
            changed: None,
        });
    }
    let version = requested.change.version(committed.version)?;
    let change = Change::Zone(ZoneState {
        name: zone.clone(),
        version,
        status,
    });
    let changed = session.change(&requested.change, version, &change).await?;
    Ok(ZoneChange {
        zone,
        status,
        changed: Some(changed),
    })
}

impl Outcome for ZoneList {
    fn to_json(&self) -> Value {
        let zone = |z: &ZoneState| {
            json!({
                "zone": z.name.as_str(),
                "status": z.status.to_string(),
                "version": z.version.get(),
            })
        };
        let zones: Vec<_> = self.zones.iter().map(zone).collect();
        json!({ "zones": zones })
    }
}

impl fmt::Display for ZoneList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for zone in &self.zones {
            writeln!(
                f,
                "{} {} (version {})",
                zone.name, zone.status, zone.version
            )?;
        }
        Ok(())
    }
}

impl Outcome for ZoneChange {
    fn exit_code(&self) -> u8 {
        self.changed.as_ref().map_or(0, Changed::exit_code)
    }

    fn to_json(&self) -> Value {
        json!({
            "zone": self.zone.as_str(),
            "status": self.status.to_string(),
            "change": self.changed.as_ref().map(Changed::to_json),
        })
    }
}

impl fmt::Display for ZoneChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.changed {
            None => writeln!(f, "zone {} is {} already", self.zone, self.status),
            Some(changed) => {
                writeln!(f, "zone {} {}: {}", self.zone, self.status, changed.text())
            }
        }
    }
}
