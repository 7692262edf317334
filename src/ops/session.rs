//! Code shared by the operator commands: the client of the control hosts, and the result of a change.

use std::path::{Path, PathBuf};
use std::time::Duration;

use dogwoodrill_core::changes::{Accepted, Change, CommandId, Refusal};
use dogwoodrill_core::config::Version;
use dogwoodrill_spread::progress::{Confirmations, ZoneConfirmations};
use serde_json::{Value, json};
use snafu::{IntoError, Snafu};
use tokio::time::{Instant, sleep};

use super::exit::{EXIT_FAILED, EXIT_NOT_CONFIRMED, EXIT_UNKNOWN_OUTCOME, EXIT_VERSION_CONFLICT};
use crate::context::Cx;
use crate::operator::{OperatorClient, OperatorError};
use crate::settings::operator::OperatorSettings;
use crate::settings::{self, SettingsError};

/// Interval between queries of which nodes have confirmed a change.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Error of an operator command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// The settings file or the profile file is invalid.
    #[snafu(transparent)]
    Settings {
        /// The underlying error.
        source: SettingsError,
    },
    /// The control hosts did not perform the command.
    #[snafu(transparent)]
    Operator {
        /// The underlying error.
        source: OperatorError,
    },
    /// It is unknown whether the change was accepted.
    #[snafu(display(
        "it is not known whether the change was accepted; give the same command again with \
         --command-id {id} --version {version}"
    ))]
    UnknownOutcome {
        /// Id of the command.
        id: CommandId,
        /// The version that the change is based on.
        version: Version,
        /// The error of the client.
        source: OperatorError,
    },
    /// No zone or profile has the given name.
    #[snafu(display("there is no {what} {name}; there are {known}"))]
    NotFound {
        /// Kind of the object, such as `zone`.
        what: &'static str,
        /// The given name.
        name: String,
        /// The existing names.
        known: String,
    },
    /// A command id was given without a version. A repeated command must have the version of the first
    /// attempt; with another version it would be a different change.
    #[snafu(display("--command-id needs --version; repeat both as printed by the first attempt"))]
    IdWithoutVersion,
}

impl CommandError {
    /// Returns the exit code.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::UnknownOutcome { .. } => EXIT_UNKNOWN_OUTCOME,
            Self::Operator {
                source:
                    OperatorError::Refused {
                        source: Refusal::VersionConflict { .. },
                    },
            } => EXIT_VERSION_CONFLICT,
            _ => EXIT_FAILED,
        }
    }
}

/// Options of all operator commands.
#[derive(Clone, Debug)]
pub struct SessionOptions {
    /// The operator's settings file.
    pub config: PathBuf,
}

/// Options of a change.
#[derive(Clone, Copy, Debug)]
pub struct ChangeOptions {
    /// Id of the command, if it is a repetition of an earlier attempt.
    pub command_id: Option<CommandId>,
    /// The version that the change is based on; the committed version if not given.
    pub version: Option<Version>,
    /// Whether to wait until every node has the change in force.
    pub wait: bool,
}

/// The settings and client of one operator command.
#[derive(Debug)]
pub struct Session {
    /// The operator's settings.
    pub settings: OperatorSettings,
    /// The context of the command.
    pub cx: Cx,
    /// The client of the control hosts.
    pub client: OperatorClient,
}

impl Session {
    /// Reads the settings and creates a client.
    pub fn open(config: &Path) -> Result<Self, CommandError> {
        let settings: OperatorSettings = settings::read(config)?;
        let cx = settings.cx()?;
        let client = OperatorClient::new(cx.clone(), settings.control.clone(), settings.timeout)?;
        Ok(Self {
            settings,
            cx,
            client,
        })
    }

    /// Sends a change based on `version`, and waits for confirmations if `options` say so.
    pub async fn change(
        &self,
        options: &ChangeOptions,
        version: Version,
        change: &Change,
    ) -> Result<Changed, CommandError> {
        let id = options.command_id;
        let id = id.unwrap_or_else(OperatorClient::new_command_id);
        let accepted = match self.client.apply(id, change).await {
            Ok(accepted) => accepted,
            Err(source @ OperatorError::Unanswered { .. }) => {
                return Err(UnknownOutcomeSnafu { id, version }.into_error(source));
            }
            Err(e) => return Err(e.into()),
        };
        let confirmations = if options.wait {
            Some(self.wait_for_confirmations(&accepted).await?)
        } else {
            None
        };
        Ok(Changed {
            accepted,
            confirmations,
        })
    }

    /// Waits until every known node has the change in force or the timeout of the settings has passed.
    async fn wait_for_confirmations(
        &self,
        accepted: &Accepted,
    ) -> Result<Confirmations, CommandError> {
        let deadline = Instant::now() + self.settings.timeout;
        loop {
            let confirmations = self.client.confirmations(accepted.index).await?;
            if is_in_force_everywhere(&confirmations) || Instant::now() >= deadline {
                return Ok(confirmations);
            }
            sleep(CONFIRM_POLL_INTERVAL).await;
        }
    }
}

impl ChangeOptions {
    /// Returns the version to send: the given one, or the committed one.
    pub const fn version(&self, committed: Version) -> Result<Version, CommandError> {
        match (self.version, self.command_id) {
            (Some(version), _) => Ok(version),
            (None, None) => Ok(committed),
            (None, Some(_)) => Err(CommandError::IdWithoutVersion),
        }
    }
}

/// An accepted change.
#[derive(Clone, Debug)]
pub struct Changed {
    /// Log index of the change and the new version.
    pub accepted: Accepted,
    /// Which nodes have it in force; `None` if the command did not wait.
    pub confirmations: Option<Confirmations>,
}

impl Changed {
    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        match &self.confirmations {
            Some(c) if !is_in_force_everywhere(c) => EXIT_NOT_CONFIRMED,
            _ => 0,
        }
    }

    /// Returns the change as JSON.
    pub fn to_json(&self) -> Value {
        json!({
            "index": self.accepted.index.get(),
            "version": self.accepted.version.get(),
            "nodes": self.confirmations.as_ref().map(confirmations_json),
        })
    }

    /// Returns the change as text.
    pub fn text(&self) -> String {
        let accepted = &self.accepted;
        let Some(confirmations) = &self.confirmations else {
            return format!("{accepted}");
        };
        format!("{accepted}; {}", confirmations_text(confirmations))
    }
}

/// Whether every member, reachable or not, has the index in force.
fn is_in_force_everywhere(confirmations: &Confirmations) -> bool {
    let zones = confirmations.zones.iter();
    confirmations.is_complete() && zones.map(|z| z.unreachable).sum::<u32>() == 0
}

/// Returns as JSON which nodes have an index in force.
pub fn confirmations_json(confirmations: &Confirmations) -> Value {
    let zone = |z: &ZoneConfirmations| {
        let named: Vec<_> = z.behind_nodes.iter().map(|n| n.node.get()).collect();
        json!({
            "zone": z.zone.as_str(),
            "in_force": z.confirmed,
            "behind": z.behind,
            "unreachable": z.unreachable,
            "named": named,
        })
    };
    confirmations.zones.iter().map(zone).collect()
}

/// Returns as text which nodes have an index in force.
pub fn confirmations_text(confirmations: &Confirmations) -> String {
    let zones = confirmations.zones.iter();
    let lagging: Vec<_> = zones.clone().filter_map(lagging_text).collect();
    let in_force: u32 = zones.map(|z| z.confirmed).sum();
    if lagging.is_empty() {
        return format!("in force at all {in_force} nodes");
    }
    format!(
        "in force at {in_force} nodes, not at {}",
        lagging.join("; ")
    )
}

fn lagging_text(zone: &ZoneConfirmations) -> Option<String> {
    let lagging = zone.behind + zone.unreachable;
    if lagging == 0 {
        return None;
    }
    let named: Vec<_> = zone
        .behind_nodes
        .iter()
        .map(|n| n.node.to_string())
        .collect();
    let named = if named.is_empty() {
        String::new()
    } else {
        format!(", among them node {}", named.join(", "))
    };
    let unreachable = zone.unreachable;
    Some(format!(
        "{lagging} in {} ({unreachable} of them unreachable{named})",
        zone.zone
    ))
}
