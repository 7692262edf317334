//! Requests to change the committed configuration, and their results.
//!
//! A change is a compare-and-set: it contains the version that it was read at, and is refused with the
//! value in force if another change was accepted since. A [`CommandId`] makes it idempotent: a command
//! that is sent again, to any control host, gets its first result. [`crate::control_state`] applies
//! changes.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, From, Into};
use snafu::Snafu;
use uuid::Uuid;

use crate::config::{ClaimGroup, Document, Profile, Version, ZoneState};
use crate::ids::LogIndex;
use crate::time::UnixMillis;

/// How long the result of a command is kept, counted from the time in its id. An older id is refused.
pub const COMMAND_WINDOW: Duration = Duration::from_hours(1);

/// Identifies one command of an operator; a `UUIDv7`, whose time limits how long its result is kept.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Into, Ord, PartialEq, PartialOrd)]
pub struct CommandId(Uuid);

/// A command id is not a `UUIDv7`.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{text:?} is not a UUIDv7; omit the command id to have one generated"))]
pub struct BadCommandId {
    /// The id as given.
    pub text: String,
}

impl CommandId {
    /// Creates an id from its time and 10 random bytes.
    pub const fn new(now: UnixMillis, random: &[u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(now.get(), random).into_uuid())
    }

    /// When the id was generated, by the clock of the host that generated it.
    pub fn created_at(self) -> UnixMillis {
        let (seconds, nanos) = self.0.get_timestamp().map_or((0, 0), |t| t.to_unix());
        UnixMillis::new(seconds * 1000 + u64::from(nanos / 1_000_000))
    }

    /// When the result of the command may be deleted.
    pub fn forget_at(self) -> UnixMillis {
        self.created_at().plus(COMMAND_WINDOW)
    }

    /// The 16 bytes of the id.
    pub const fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }
}

impl TryFrom<Uuid> for CommandId {
    type Error = BadCommandId;

    fn try_from(id: Uuid) -> Result<Self, Self::Error> {
        if id.get_version_num() == 7 {
            Ok(Self(id))
        } else {
            let text = id.to_string();
            BadCommandIdSnafu { text }.fail()
        }
    }
}

impl FromStr for CommandId {
    type Err = BadCommandId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let id = Uuid::parse_str(text).ok();
        id.map_or_else(|| BadCommandIdSnafu { text }.fail(), Self::try_from)
    }
}

/// A change of the committed configuration. The version inside is the one that the change was read
/// at; 0 where there was no value.
#[derive(Clone, Debug, Eq, From, PartialEq)]
pub enum Change {
    /// Replaces the profile of the same name, or creates it.
    Profile(Profile),
    /// Takes an availability zone out of service or puts it back.
    Zone(ZoneState),
    /// Commits the next epoch of a claim group, or settles the epoch in force; proposed by the leader only.
    ClaimGroup(ClaimGroup),
    /// Puts a document in force if its version is the highest so far; accepted without effect otherwise.
    Document(Document),
}

/// The content of a log entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Command {
    /// The operator's id; none for a command of the leader.
    pub id: Option<CommandId>,
    /// The leader's clock when it proposed the command.
    pub proposed_at: UnixMillis,
    /// The requested change.
    pub change: Change,
}

/// The result of an accepted change.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("accepted at index {index}, version {version}")]
pub struct Accepted {
    /// Index of the log entry; a node whose configuration has this index or a later one has the change.
    pub index: LogIndex,
    /// The version in force after the change.
    pub version: Version,
}

/// The value in force that a refused change conflicts with.
#[derive(Clone, Debug, Eq, From, PartialEq)]
pub enum CommittedValue {
    /// There is no value with that name.
    Nothing,
    /// The profile in force.
    Profile(Box<Profile>),
    /// The zone state in force.
    Zone(ZoneState),
    /// The claim group in force.
    ClaimGroup(ClaimGroup),
}

impl fmt::Display for CommittedValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Nothing => write!(f, "nothing with that name"),
            Self::Profile(p) => write!(f, "profile {} at version {}", p.name, p.version),
            Self::Zone(z) => write!(f, "zone {} {} at version {}", z.name, z.status, z.version),
            Self::ClaimGroup(g) => write!(f, "claim group {} at epoch {}", g.service, g.epoch),
        }
    }
}

/// Why a change was not accepted. The configuration is unchanged in every case.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Refusal {
    /// Another change was accepted since the version that this one was read at.
    #[snafu(display(
        "another change was accepted first: {current} is in force; read it and try again"
    ))]
    VersionConflict {
        /// The value in force.
        current: CommittedValue,
    },
    /// The command id belongs to another change.
    #[snafu(display("the command id was used for another change; use a new one"))]
    CommandIdReused,
    /// The command id is so old that the result of its first use may have been deleted.
    #[snafu(display(
        "the command id was made more than {} minutes ago; read the current value, and check the clock",
        COMMAND_WINDOW.as_secs() / 60
    ))]
    CommandIdExpired,
    /// A field has a value that is not allowed.
    #[snafu(display("field {field}: {problem}"))]
    Invalid {
        /// The field's name in settings files and messages.
        field: String,
        /// Which values are allowed, or why this one is not.
        problem: String,
    },
}

/// The result of a change.
pub type ChangeResult = Result<Accepted, Refusal>;
