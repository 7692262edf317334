//! Reads profiles from settings files and formats them as operators write them.

use std::fmt::Write as _;
use std::time::Duration;

use dogwoodrill_core::config::{PerMille, Profile, Version};
use dogwoodrill_core::ids::ProfileName;

use super::Document;
use super::fault::Faults;
use super::scalar::{Scalar, format_duration, format_share};
use super::section::{Positioned, Section};

/// Default round-trip time between a caller and an agent in another zone: twice 3 ms to the balancer and
/// twice 1.5 ms between zones.
pub const DEFAULT_ROUND_TRIP: Duration = Duration::from_millis(9);

/// A validated profile and the position of its name.
#[derive(Clone, Debug)]
pub struct ProfileSettings {
    /// The profile; omitted keys have the values of [`Profile::standard`].
    pub profile: Profile,
    /// Name of the profile and its position in the file.
    pub name: Positioned<ProfileName>,
}

impl ProfileSettings {
    /// Reads a profile. Deadlines shorter than `round_trip` are faults.
    pub fn read(section: &Section<'_>, round_trip: Duration) -> Option<Self> {
        let name = section.required_at::<ProfileName>("name");
        let placeholder = || "unnamed".parse().expect("the placeholder is a name");
        let known = name.as_ref().map_or_else(placeholder, |n| n.value.clone());
        let mut profile = Profile::standard(known);
        profile.version = Version::new(1);
        let reader = ProfileReader {
            section,
            round_trip,
        };
        reader.set("priority", &mut profile.priority);
        reader.deadline("request_timeout", &mut profile.request_timeout);
        reader.set("retry_window", &mut profile.retry_window);
        reader.set("require_key", &mut profile.require_key);
        reader.set("queue_limit", &mut profile.queue_limit);
        reader.set("cold_start", &mut profile.cold_start);
        reader.set("flow_slack", &mut profile.flow_slack);
        reader.set("suspect_cap", &mut profile.suspect_cap);
        reader.objective("objective", &mut profile.objective);
        reader.deadline("latency_objective", &mut profile.latency_objective);
        reader.set("drain_timeout", &mut profile.drain_timeout);
        section.finish();
        reader.check_order(&profile);
        let name = name?;
        Some(Self { profile, name })
    }
}

impl TryFrom<&Document> for ProfileSettings {
    type Error = Faults;

    fn try_from(document: &Document) -> Result<Self, Faults> {
        document.read("the profile", |section, _| {
            let version = section.optional("version").unwrap_or_default();
            let mut settings = Self::read(section, DEFAULT_ROUND_TRIP)?;
            settings.profile.version = Version::new(version);
            Some(settings)
        })
    }
}

struct ProfileReader<'a, 's> {
    section: &'s Section<'a>,
    round_trip: Duration,
}

impl ProfileReader<'_, '_> {
    fn set<T: Scalar>(&self, key: &'static str, field: &mut T) {
        if let Some(value) = self.section.optional(key) {
            *field = value;
        }
    }

    fn deadline(&self, key: &'static str, field: &mut Duration) {
        let Some(at) = self.section.optional_at::<Duration>(key) else {
            return;
        };
        if at.value < self.round_trip {
            let (given, least) = (format_duration(at.value), format_duration(self.round_trip));
            let text = format_args!("{key}: {given} is shorter than the round trip of {least}");
            self.section.faults().add(at.position, text);
        }
        *field = at.value;
    }

    fn objective(&self, key: &'static str, field: &mut PerMille) {
        let Some(at) = self.section.optional_at::<PerMille>(key) else {
            return;
        };
        if at.value.get() == 1_000 {
            let text = format_args!("{key}: 100% leaves no error budget; 99.9% is the most");
            self.section.faults().add(at.position, text);
        }
        *field = at.value;
    }

    /// Checks that each deadline is not longer than the one that must include it.
    fn check_order(&self, profile: &Profile) {
        let pairs = [
            (
                "latency_objective",
                profile.latency_objective,
                "request_timeout",
                profile.request_timeout,
            ),
            (
                "request_timeout",
                profile.request_timeout,
                "retry_window",
                profile.retry_window,
            ),
        ];
        for (shorter, a, longer, b) in pairs {
            if a > b {
                let (a, b) = (format_duration(a), format_duration(b));
                let text = format_args!("{shorter} ({a}) must not be longer than {longer} ({b})");
                self.section.faults().add(self.section.position(), text);
            }
        }
    }
}

/// Returns the keys of a profile and their values as text, without the version.
pub fn profile_lines(profile: &Profile) -> Vec<(&'static str, String)> {
    let p = profile;
    vec![
        ("name", p.name.to_string()),
        ("priority", p.priority.to_string()),
        ("request_timeout", format_duration(p.request_timeout)),
        ("retry_window", format_duration(p.retry_window)),
        ("require_key", p.require_key.to_string()),
        ("queue_limit", p.queue_limit.to_string()),
        ("cold_start", format_duration(p.cold_start)),
        ("flow_slack", format_share(p.flow_slack)),
        ("suspect_cap", format_share(p.suspect_cap)),
        ("objective", format_share(p.objective)),
        ("latency_objective", format_duration(p.latency_objective)),
        ("drain_timeout", format_duration(p.drain_timeout)),
    ]
}

/// Formats a profile as a file that [`ProfileSettings`] can read.
pub fn format_profile(profile: &Profile) -> String {
    let mut text = String::new();
    for (key, value) in profile_lines(profile) {
        writeln!(text, "{key}: {value}").expect("a string takes whatever is written to it");
    }
    let version = profile.version;
    writeln!(text, "version: {version}").expect("a string takes whatever is written to it");
    text
}
