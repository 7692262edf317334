//! What the commands of operators share: a client of the control hosts, and how a change is reported.

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

/// Pause between two looks at which nodes have confirmed.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Why a command of an operator failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// The settings, or the file with the profile, were refused.
    #[snafu(transparent)]
    Settings {
        /// What is wrong with them.
        source: SettingsError,
    },
    /// The control hosts did not do it.
    #[snafu(transparent)]
    Operator {
        /// Why.
        source: OperatorError,
    },
    /// It is not known whether the change was accepted.
    #[snafu(display(
        "it is not known whether the change was accepted; give the same command again with \
         --command-id {id} --version {version}"
    ))]
    UnknownOutcome {
        /// The command's id.
        id: CommandId,
        /// The version that the change was read at.
        version: Version,
        /// What the client saw.
        source: OperatorError,
    },
    /// Nothing has that name.
    #[snafu(display("there is no {what} {name}; there are {known}"))]
    NotFound {
        /// What was looked for.
        what: &'static str,
        /// Its name.
        name: String,
        /// Names that there are.
        known: String,
    },
    /// A command id without the version of the first try would be another change.
    #[snafu(display(
        "a command is sent again with both --command-id and --version, as the first answer said"
    ))]
    IdWithoutVersion,
}

impl CommandError {
    /// The exit code for it.
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

/// What every command of operators is given.
#[derive(Clone, Debug)]
pub struct SessionOptions {
    /// The operator's settings file.
    pub config: PathBuf,
}

/// How a change is to be made.
#[derive(Clone, Copy, Debug)]
pub struct ChangeOptions {
    /// Id of a command that is sent again.
    pub command_id: Option<CommandId>,
    /// The version that the change was read at; the one that stands where it is not given.
    pub version: Option<Version>,
    /// Whether to wait until every node has it in force.
    pub wait: bool,
}

/// A connection to the control hosts.
#[derive(Debug)]
pub struct Session {
    /// The settings.
    pub settings: OperatorSettings,
    /// The context of the command.
    pub cx: Cx,
    /// The client.
    pub client: OperatorClient,
}

impl Session {
    /// Reads the settings and makes a client.
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

    /// Asks for a change that was read at `version`, and waits if told to.
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

    /// Waits until every known node has the change in force, or the time of a command has passed.
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
    /// The version to name: the one given, or the one that stands.
    pub const fn version(&self, committed: Version) -> Result<Version, CommandError> {
        match (self.version, self.command_id) {
            (Some(version), _) => Ok(version),
            (None, None) => Ok(committed),
            (None, Some(_)) => Err(CommandError::IdWithoutVersion),
        }
    }
}

/// A change that was accepted.
#[derive(Clone, Debug)]
pub struct Changed {
    /// Where it stands in the log, and the version that stands now.
    pub accepted: Accepted,
    /// Which nodes have it in force; none where nobody waited.
    pub confirmations: Option<Confirmations>,
}

impl Changed {
    /// The exit code for it.
    pub fn exit_code(&self) -> u8 {
        match &self.confirmations {
            Some(c) if !is_in_force_everywhere(c) => EXIT_NOT_CONFIRMED,
            _ => 0,
        }
    }

    /// For scripts.
    pub fn to_json(&self) -> Value {
        json!({
            "index": self.accepted.index.get(),
            "version": self.accepted.version.get(),
            "nodes": self.confirmations.as_ref().map(confirmations_json),
        })
    }

    /// For people.
    pub fn text(&self) -> String {
        let accepted = &self.accepted;
        let Some(confirmations) = &self.confirmations else {
            return format!("{accepted}");
        };
        format!("{accepted}; {}", confirmations_text(confirmations))
    }
}

/// Whether every member, reachable or not, has it in force.
fn is_in_force_everywhere(confirmations: &Confirmations) -> bool {
    let zones = confirmations.zones.iter();
    confirmations.is_complete() && zones.map(|z| z.unreachable).sum::<u32>() == 0
}

/// Which nodes have an index in force, for scripts.
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

/// Which nodes have an index in force, for people.
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
