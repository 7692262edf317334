//! Changes of the committed configuration, as they are asked for and answered.
//!
//! A change is a compare-and-set: it names the version that it was read at, and is refused with what
//! stands now if another change was accepted since. A [`CommandId`] makes it idempotent: sent again, by
//! any way, it gets its first answer. [`crate::control_state`] applies changes.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, From, Into};
use snafu::Snafu;
use uuid::Uuid;

use crate::config::{ClaimGroup, Document, Profile, Version, ZoneState};
use crate::ids::LogIndex;
use crate::time::UnixMillis;

/// How long the answer to a command is kept, counted from the time in its id. An older id is refused.
pub const COMMAND_WINDOW: Duration = Duration::from_hours(1);

/// Names one command of an operator; a `UUIDv7`, whose time bounds how long its answer is kept.
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
    /// Makes an id from its time and 10 random bytes.
    pub const fn new(now: UnixMillis, random: &[u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(now.get(), random).into_uuid())
    }

    /// When the id was made, by the clock of whoever made it.
    pub fn created_at(self) -> UnixMillis {
        let (seconds, nanos) = self.0.get_timestamp().map_or((0, 0), |t| t.to_unix());
        UnixMillis::new(seconds * 1000 + u64::from(nanos / 1_000_000))
    }

    /// When the answer to the command may be forgotten.
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
/// at; 0 where nothing stood.
#[derive(Clone, Debug, Eq, From, PartialEq)]
pub enum Change {
    /// Puts a profile in place of the one of the same name.
    Profile(Profile),
    /// Takes an availability zone out or in.
    Zone(ZoneState),
    /// Commits the next epoch of a claim group; asked for by the leader alone.
    ClaimGroup(ClaimGroup),
    /// Puts a document in force if its version is the highest so far; accepted without effect if not.
    Document(Document),
}

/// What a log entry holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Command {
    /// The operator's id; none for a command of the leader.
    pub id: Option<CommandId>,
    /// The leader's clock when it took the command in.
    pub proposed_at: UnixMillis,
    /// What is to change.
    pub change: Change,
}

/// A change was accepted.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("accepted at index {index}, version {version}")]
pub struct Accepted {
    /// Index of the log entry; the change is in force where this index or a later one is.
    pub index: LogIndex,
    /// The version that stands now.
    pub version: Version,
}

/// What stands where a change was refused.
#[derive(Clone, Debug, Eq, From, PartialEq)]
pub enum CommittedValue {
    /// Nothing has that name.
    Nothing,
    /// This profile.
    Profile(Box<Profile>),
    /// This zone state.
    Zone(ZoneState),
    /// This claim group.
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

/// Why a change was not accepted. Whatever the reason, nothing was changed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Refusal {
    /// Another change was accepted since the version that this one was read at.
    #[snafu(display(
        "another change was accepted first: {current} is in force; read it and try again"
    ))]
    VersionConflict {
        /// What stands.
        current: CommittedValue,
    },
    /// The command id belongs to another change.
    #[snafu(display("the command id was used for another change; use a new one"))]
    CommandIdReused,
    /// The first answer may have been forgotten.
    #[snafu(display(
        "the command id was made more than {} minutes ago; read the current value, and check the clock",
        COMMAND_WINDOW.as_secs() / 60
    ))]
    CommandIdExpired,
    /// A field has no sensible value.
    #[snafu(display("field {field}: {problem}"))]
    Invalid {
        /// The field.
        field: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// The answer to a change.
pub type ChangeResult = Result<Accepted, Refusal>;
