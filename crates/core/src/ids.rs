//! Identifiers, each with a type of its own so that they can't be confused.
//!
//! Identifiers that are sent in packets are numbers; those that operators type are names.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, From, FromStr, Into};
use snafu::{Snafu, ensure};

/// The longest name of a service, profile or availability zone, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Number of a backend server, unique in the cluster. Connection ids contain it.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct BackendServerId(u32);

impl BackendServerId {
    /// Creates an id from its number.
    pub const fn new(value: u32) -> Self {
        Self(value)
    }

    /// The number itself.
    pub const fn get(self) -> u32 {
        self.0
    }
}

/// Number of a node (a balancer, an agent or a control host), unique in the cluster.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct NodeId(u64);

impl NodeId {
    /// Creates an id from its number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// The number itself.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Number of a service, assigned when the service is committed. Tunnel headers contain it.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct ServiceId(u16);

impl ServiceId {
    /// Creates an id from its number.
    pub const fn new(value: u16) -> Self {
        Self(value)
    }

    /// The number itself.
    pub const fn get(self) -> u16 {
        self.0
    }
}

/// Incarnation of a process: its start time in milliseconds since the Unix epoch. A later one is larger.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates an incarnation from its start time in milliseconds since the Unix epoch.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// The start time in milliseconds since the Unix epoch.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The part that a connection id contains.
    pub const fn short(self) -> ShortIncarnation {
        ShortIncarnation(((self.0 / ShortIncarnation::UNIT_MILLIS) & 0xffff_ffff) as u32)
    }
}

/// The part of an [`Incarnation`] that fits in a connection id: its start time in units of
/// [`ShortIncarnation::UNIT_MILLIS`], modulo 2^32.
#[derive(Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, PartialEq)]
pub struct ShortIncarnation(u32);

impl ShortIncarnation {
    /// Unit of the start time in milliseconds, and minimum time between the starts of two incarnations of
    /// one process. The number wraps after eight years.
    pub const UNIT_MILLIS: u64 = 64;

    /// Whether this incarnation started before `other`; valid if less than four years lie between them.
    pub const fn is_before(self, other: Self) -> bool {
        other.0.wrapping_sub(self.0).cast_signed() > 0
    }
}

/// Number of a record or report among those that one incarnation published.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct Sequence(u64);

impl Sequence {
    /// The next sequence number.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Position in the replicated log. It also identifies the configuration that the entry produced.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct LogIndex(u64);

impl LogIndex {
    /// Creates an index from its number; 0 is before the first entry.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// The number itself.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The next index.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Election term of the replicated log.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct Term(u64);

impl Term {
    /// Creates a term from its number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// The number itself.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The next term.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Version of a claim group, committed in the replicated log.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, FromStr, Hash, Into, Ord, PartialEq, PartialOrd,
)]
pub struct Epoch(u64);

impl Epoch {
    /// Creates an epoch from its number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// The number itself.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The next epoch.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The error for an invalid name.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum NameError {
    /// The name is empty.
    #[snafu(display("a name must not be empty"))]
    Empty,
    /// The name is longer than [`MAX_NAME_BYTES`].
    #[snafu(display("the name {name:?} is longer than {MAX_NAME_BYTES} bytes"))]
    TooLong {
        /// The name as given.
        name: String,
    },
    /// The name has a character other than a–z, 0–9 and an inner hyphen.
    #[snafu(display("the name {name:?} may hold only a-z, 0-9 and inner hyphens"))]
    BadCharacter {
        /// The name as given.
        name: String,
    },
}

fn check_name(name: &str) -> Result<(), NameError> {
    ensure!(!name.is_empty(), EmptySnafu);
    ensure!(name.len() <= MAX_NAME_BYTES, TooLongSnafu { name });
    let plain = name
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    let inner = !name.starts_with('-') && !name.ends_with('-');
    ensure!(plain && inner, BadCharacterSnafu { name });
    Ok(())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                check_name(s)?;
                Ok(Self(Arc::from(s)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(s: String) -> Result<Self, Self::Error> {
                s.parse()
            }
        }
    };
}

name_type! {
    /// Name of an availability zone, for instance `las-piedras`.
    AvailabilityZone
}
name_type! {
    /// Name of a service, for instance `orders`.
    ServiceName
}
name_type! {
    /// Name of a profile, for instance `must-not-double`.
    ProfileName
}
name_type! {
    /// Name of a region, a set of availability zones that are near each other.
    RegionName
}
