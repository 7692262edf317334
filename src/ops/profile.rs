//! `profile get|list|diff|apply`: reads, compares and changes profiles.

use std::fmt;
use std::path::{Path, PathBuf};

use dogwoodrill_core::changes::Change;
use dogwoodrill_core::config::{CommittedConfig, Profile, Version};
use dogwoodrill_core::ids::ProfileName;
use serde_json::{Value, json};
use snafu::OptionExt;

use super::Outcome;
use super::exit::EXIT_FAILED;
use super::session::{
    ChangeOptions, Changed, CommandError, NotFoundSnafu, Session, SessionOptions,
};
use crate::settings;
use crate::settings::profile::{ProfileSettings, format_profile, profile_lines};

/// One committed profile.
#[derive(Clone, Debug)]
pub struct CommittedProfile(pub Profile);

/// All committed profiles with the services that use them.
#[derive(Clone, Debug)]
pub struct ProfileList {
    /// The committed configuration.
    pub config: CommittedConfig,
}

/// Differences between a profile file and the committed profile.
#[derive(Clone, Debug)]
pub struct ProfileDiff {
    /// The profile's name.
    pub name: ProfileName,
    /// The committed version; `None` if the profile does not exist.
    pub committed: Option<Version>,
    /// The keys that differ.
    pub changes: Vec<KeyChange>,
}

/// A key with different values.
#[derive(Clone, Debug)]
pub struct KeyChange {
    /// Name of the key.
    pub key: &'static str,
    /// The committed value; `None` if the profile does not exist.
    pub committed: Option<String>,
    /// The value in the file.
    pub proposed: String,
}

/// Result of `profile apply`.
#[derive(Clone, Debug)]
pub struct AppliedProfile {
    /// The profile's name.
    pub name: ProfileName,
    /// The accepted change.
    pub changed: Changed,
}

/// Options of `profile apply`.
#[derive(Clone, Debug)]
pub struct ProfileApplyOptions {
    /// The file with the profile.
    pub file: PathBuf,
    /// Options of the change.
    pub change: ChangeOptions,
}

/// Reads one committed profile.
pub async fn profile_get(
    options: &SessionOptions,
    name: &ProfileName,
) -> Result<CommittedProfile, CommandError> {
    let config = Session::open(&options.config)?.client.config().await?;
    let profile = config.profiles.get(name).with_context(|| NotFoundSnafu {
        what: "profile",
        name: name.to_string(),
        known: names(&config),
    })?;
    Ok(CommittedProfile(profile.clone()))
}

/// Lists the committed profiles.
pub async fn profile_list(options: &SessionOptions) -> Result<ProfileList, CommandError> {
    let config = Session::open(&options.config)?.client.config().await?;
    Ok(ProfileList { config })
}

/// Compares a profile file with the committed profile.
pub async fn profile_diff(
    options: &SessionOptions,
    file: &Path,
) -> Result<ProfileDiff, CommandError> {
    let proposed = settings::read::<ProfileSettings>(file)?.profile;
    let config = Session::open(&options.config)?.client.config().await?;
    Ok(diff(config.profiles.get(&proposed.name), &proposed))
}

/// Replaces a profile by the one in a file, if the committed version is still the one that the file is
/// based on.
pub async fn profile_apply(
    options: &SessionOptions,
    apply: &ProfileApplyOptions,
) -> Result<AppliedProfile, CommandError> {
    let mut profile = settings::read::<ProfileSettings>(&apply.file)?.profile;
    let session = Session::open(&options.config)?;
    let version = apply.change.version(profile.version)?;
    profile.version = version;
    let name = profile.name.clone();
    let change = Change::Profile(profile);
    let changed = session.change(&apply.change, version, &change).await?;
    Ok(AppliedProfile { name, changed })
}

fn names(config: &CommittedConfig) -> String {
    let names: Vec<_> = config.profiles.keys().map(ProfileName::as_str).collect();
    names.join(", ")
}

fn diff(committed: Option<&Profile>, proposed: &Profile) -> ProfileDiff {
    let committed_lines = committed.map(profile_lines).unwrap_or_default();
    let value = |key| {
        committed_lines
            .iter()
            .find(|(k, _)| *k == key)
            .map(|(_, v)| v.clone())
    };
    let lines = profile_lines(proposed).into_iter();
    let changes = lines.map(|(key, proposed)| KeyChange {
        key,
        committed: value(key),
        proposed,
    });
    ProfileDiff {
        name: proposed.name.clone(),
        committed: committed.map(|p| p.version),
        changes: changes
            .filter(|c| c.committed.as_ref() != Some(&c.proposed))
            .collect(),
    }
}

impl Outcome for CommittedProfile {
    fn to_json(&self) -> Value {
        profile_json(&self.0)
    }
}

fn profile_json(profile: &Profile) -> Value {
    let lines = profile_lines(profile).into_iter();
    let mut map: serde_json::Map<_, _> = lines.map(|(k, v)| (k.to_owned(), json!(v))).collect();
    map.insert("version".to_owned(), json!(profile.version.get()));
    map.into()
}

impl fmt::Display for CommittedProfile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format_profile(&self.0))
    }
}

impl ProfileList {
    fn users(&self, profile: &ProfileName) -> Vec<&str> {
        let services = self.config.services.values();
        let users = services.filter(|s| s.profile == *profile);
        users.map(|s| s.name.as_str()).collect()
    }
}

impl Outcome for ProfileList {
    fn to_json(&self) -> Value {
        let profile = |p: &Profile| {
            json!({
                "name": p.name.as_str(),
                "version": p.version.get(),
                "services": self.users(&p.name),
            })
        };
        let profiles: Vec<_> = self.config.profiles.values().map(profile).collect();
        json!({ "profiles": profiles })
    }
}

impl fmt::Display for ProfileList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for profile in self.config.profiles.values() {
            let users = self.users(&profile.name).join(", ");
            writeln!(f, "{} version {}: {users}", profile.name, profile.version)?;
        }
        Ok(())
    }
}

impl Outcome for ProfileDiff {
    fn exit_code(&self) -> u8 {
        if self.changes.is_empty() {
            0
        } else {
            EXIT_FAILED
        }
    }

    fn to_json(&self) -> Value {
        let change =
            |c: &KeyChange| json!({ "key": c.key, "standing": c.committed, "wanted": c.proposed });
        let changes: Vec<_> = self.changes.iter().map(change).collect();
        json!({
            "name": self.name.as_str(),
            "standing_version": self.committed.map(Version::get),
            "changes": changes,
        })
    }
}

impl fmt::Display for ProfileDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.committed {
            None => writeln!(f, "profile {} does not exist yet", self.name)?,
            Some(version) if self.changes.is_empty() => {
                writeln!(
                    f,
                    "profile {} has no differences from version {version}",
                    self.name
                )?;
            }
            Some(version) => writeln!(f, "profile {} at version {version}", self.name)?,
        }
        for change in &self.changes {
            if let Some(committed) = &change.committed {
                writeln!(f, "- {}: {committed}", change.key)?;
            }
            writeln!(f, "+ {}: {}", change.key, change.proposed)?;
        }
        Ok(())
    }
}

impl Outcome for AppliedProfile {
    fn exit_code(&self) -> u8 {
        self.changed.exit_code()
    }

    fn to_json(&self) -> Value {
        json!({ "profile": self.name.as_str(), "change": self.changed.to_json() })
    }
}

impl fmt::Display for AppliedProfile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "profile {}: {}", self.name, self.changed.text())
    }
}
