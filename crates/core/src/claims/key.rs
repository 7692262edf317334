//! Request keys and attempt numbers.

use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use snafu::{ResultExt, Snafu, ensure};
use uuid::Uuid;

use crate::time::{CLOCK_MARGIN, UnixMillis};

/// Number of bits below the timestamp in a `UUIDv7` (RFC 9562, section 5.7).
const BITS_BELOW_TIME: u32 = 80;

/// The idempotency key of a request: a `UUIDv7`, whose time limits how long claims on it are kept.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestKey(Uuid);

/// Why a key or an attempt number was refused.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum KeyError {
    /// The text is not a UUID.
    #[snafu(display("idempotency-key: {text:?} is not a UUID"))]
    NotUuid {
        /// The text as received.
        text: String,
        /// The parse error.
        source: uuid::Error,
    },
    /// The UUID is of another version.
    #[snafu(display("idempotency-key: {uuid} is of version {version}; send a UUID of version 7"))]
    NotVersion7 {
        /// The key as received.
        uuid: Uuid,
        /// The version of the UUID.
        version: usize,
    },
    /// The attempt is not a number of at least 1.
    #[snafu(display("dogwoodrill-attempt: {text:?} is not a number from 1 to 4294967295"))]
    Attempt {
        /// The text as received.
        text: String,
    },
}

impl RequestKey {
    /// When the caller generated the key, by the caller's clock.
    pub const fn created_at(self) -> UnixMillis {
        let millis = (self.0.as_u128() >> BITS_BELOW_TIME) as u64;
        UnixMillis::new(millis)
    }

    /// Whether a request with the key may be sent at `now`.
    pub fn age(self, now: UnixMillis, retry_window: Duration) -> KeyAge {
        let created = self.created_at();
        if created > now.plus(CLOCK_MARGIN) {
            KeyAge::Future
        } else if now > created.plus(retry_window) {
            KeyAge::Expired
        } else {
            KeyAge::Current
        }
    }

    /// The 16 bytes of the UUID.
    pub const fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }
}

/// The age of a key relative to its retry window, see [`RequestKey::age`].
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum KeyAge {
    /// The key's time is in the future by more than [`CLOCK_MARGIN`].
    Future,
    /// The key may be used.
    Current,
    /// The key's retry window has ended; whether its request ran is no longer known.
    Expired,
}

impl TryFrom<Uuid> for RequestKey {
    type Error = KeyError;

    fn try_from(uuid: Uuid) -> Result<Self, Self::Error> {
        let version = uuid.get_version_num();
        ensure!(version == 7, NotVersion7Snafu { uuid, version });
        Ok(Self(uuid))
    }
}

impl FromStr for RequestKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // The draft specifies a structured-field string, which is quoted; an unquoted one is accepted too.
        let bare = text.trim().trim_matches('"');
        Uuid::parse_str(bare)
            .context(NotUuidSnafu { text })?
            .try_into()
    }
}

/// Number of an attempt under one key, starting at 1.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Attempt(u32);

impl Attempt {
    /// The first attempt.
    pub const FIRST: Self = Self(1);

    /// Creates an attempt number; none for 0.
    pub const fn new(value: u32) -> Option<Self> {
        match value {
            0 => None,
            value => Some(Self(value)),
        }
    }

    /// The number itself.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// The number of the next attempt.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl FromStr for Attempt {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.trim().parse().ok().and_then(Self::new);
        number.ok_or_else(|| KeyError::Attempt { text: text.into() })
    }
}
