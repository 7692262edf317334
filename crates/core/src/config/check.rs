//! Validation and comparison of profiles.

use std::time::Duration;

use super::{PerMille, Profile};
use crate::changes::{InvalidSnafu, Refusal};

/// A share of 100%.
const WHOLE: PerMille = PerMille::new(1000);
/// The longest duration that a field of a profile may have.
const MAX_TIME: Duration = Duration::from_hours(24);

/// A field in which two profiles differ.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldChange {
    /// Name of the field in settings files.
    pub field: &'static str,
    /// Value in the first profile.
    pub from: String,
    /// Value in the second profile.
    pub to: String,
}

impl Profile {
    /// Checks that all values are allowed.
    ///
    /// # Errors
    ///
    /// [`Refusal::Invalid`] with the first field whose value is not allowed, and the allowed values.
    pub fn check(&self) -> Result<(), Refusal> {
        let times = [
            ("request_timeout_ms", self.request_timeout),
            ("retry_window_ms", self.retry_window),
            ("latency_objective_ms", self.latency_objective),
        ];
        for (field, time) in times {
            require(!time.is_zero(), field, "must be above 0")?;
        }
        let optional = [
            ("cold_start_ms", self.cold_start),
            ("drain_timeout_ms", self.drain_timeout),
        ];
        for (field, time) in times.into_iter().chain(optional) {
            require(time <= MAX_TIME, field, "must be at most 86400000, a day")?;
        }
        require(self.queue_limit > 0, "queue_limit", "must be above 0")?;
        let suspect_cap = self.suspect_cap <= WHOLE;
        require(suspect_cap, "suspect_cap_per_mille", "must be at most 1000")?;
        let objective = self.objective > PerMille::new(0) && self.objective < WHOLE;
        let problem = "must be from 1 to 999; 1000 leaves no error budget";
        require(objective, "objective_per_mille", problem)?;
        let window = self.retry_window >= self.request_timeout;
        let problem = "must be at least request_timeout_ms";
        require(window, "retry_window_ms", problem)
    }

    /// The fields in which `other` differs, in the order of settings files. Names and versions are not
    /// compared.
    pub fn diff(&self, other: &Self) -> Vec<FieldChange> {
        let pairs = self.fields().into_iter().zip(other.fields());
        let changes = pairs.map(|((field, from), (_, to))| FieldChange { field, from, to });
        changes.filter(|c| c.from != c.to).collect()
    }

    fn fields(&self) -> [(&'static str, String); 11] {
        let millis = |time: Duration| time.as_millis().to_string();
        let share = |share: PerMille| share.get().to_string();
        [
            ("priority", self.priority.to_string()),
            ("request_timeout_ms", millis(self.request_timeout)),
            ("retry_window_ms", millis(self.retry_window)),
            ("require_key", self.require_key.to_string()),
            ("queue_limit", self.queue_limit.to_string()),
            ("cold_start_ms", millis(self.cold_start)),
            ("flow_slack_per_mille", share(self.flow_slack)),
            ("suspect_cap_per_mille", share(self.suspect_cap)),
            ("objective_per_mille", share(self.objective)),
            ("latency_objective_ms", millis(self.latency_objective)),
            ("drain_timeout_ms", millis(self.drain_timeout)),
        ]
    }
}

fn require(holds: bool, field: &str, problem: &str) -> Result<(), Refusal> {
    if holds {
        Ok(())
    } else {
        InvalidSnafu { field, problem }.fail()
    }
}
