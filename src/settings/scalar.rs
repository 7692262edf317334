//! Types of scalar values in settings files.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use dogwoodrill_core::config::{PerMille, Priority};
use dogwoodrill_core::ids::{
    AvailabilityZone, NodeId, ProfileName, RegionName, ServiceId, ServiceName,
};
use log::LevelFilter;

/// Units of time and their length in milliseconds, largest first.
pub const TIME_UNITS: [(&str, u64); 4] =
    [("h", 3_600_000), ("min", 60_000), ("s", 1_000), ("ms", 1)];
/// 100% in thousandths.
const WHOLE_PER_MILLE: u16 = 1_000;

/// A type that is parsed from the text of a scalar value.
pub trait Scalar: Sized {
    /// Description of valid values, used in messages.
    const EXPECTED: &'static str;

    /// Parses the text. An error may hold a message that is more specific than [`Scalar::EXPECTED`].
    fn read(text: &str) -> Result<Self, Option<String>>;
}

/// Implements [`Scalar`] by `FromStr`, with [`Scalar::EXPECTED`] as the only error message.
macro_rules! impl_scalar_from_str {
    ($($type:ty: $expected:literal),* $(,)?) => {
        $(impl Scalar for $type {
            const EXPECTED: &'static str = $expected;

            fn read(text: &str) -> Result<Self, Option<String>> {
                text.parse().ok().ok_or(None)
            }
        })*
    };
}

impl_scalar_from_str! {
    bool: "true or false",
    u16: "a whole number from 0 to 65535",
    u32: "a whole number from 0 to 4294967295",
    u64: "a whole number",
    NodeId: "a whole number",
    ServiceId: "a whole number from 0 to 65535",
    LevelFilter: "off, error, warn, info, debug or trace",
    Priority: "interactive or bulk",
    SocketAddr: "an IP number with a port, for instance 192.0.2.1:443",
    String: "text",
    PathBuf: "a path",
}

/// Implements [`Scalar`] for names by `FromStr`, with the error message of the parser.
macro_rules! impl_scalar_for_names {
    ($($type:ty),*) => {
        $(impl Scalar for $type {
            const EXPECTED: &'static str = "a name";

            fn read(text: &str) -> Result<Self, Option<String>> {
                text.parse().map_err(|e| Some(format!("{e}")))
            }
        })*
    };
}

impl_scalar_for_names!(AvailabilityZone, ProfileName, RegionName, ServiceName);

impl Scalar for Duration {
    const EXPECTED: &'static str = "a time in whole ms, s, min or h, for instance 500ms";

    fn read(text: &str) -> Result<Self, Option<String>> {
        let at = text.find(|c: char| !c.is_ascii_digit());
        let (number, unit) = text.split_at(at.unwrap_or(text.len()));
        let unit = unit.trim();
        let known = TIME_UNITS.iter().find(|(name, _)| *name == unit);
        let (number, (_, millis)) = number.parse::<u64>().ok().zip(known).ok_or(None)?;
        let millis = number.checked_mul(*millis).ok_or(None)?;
        Ok(Self::from_millis(millis))
    }
}

/// Formats a time so that [`Duration::read`](Scalar::read) can parse it.
pub fn format_duration(time: Duration) -> String {
    let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let fits = |(_, unit): &&(&str, u64)| millis >= *unit && millis.is_multiple_of(*unit);
    let (name, unit) = TIME_UNITS.iter().find(fits).unwrap_or(&("ms", 1));
    format!("{}{name}", millis / unit)
}

impl Scalar for PerMille {
    const EXPECTED: &'static str =
        "a share from 0% to 100% with at most one decimal, for instance 99.9%";

    fn read(text: &str) -> Result<Self, Option<String>> {
        let text = text.strip_suffix('%').ok_or(None)?.trim();
        let (whole, tenths) = text.split_once('.').unwrap_or((text, "0"));
        let digits = |s: &str| s.bytes().all(|b| b.is_ascii_digit());
        if tenths.len() != 1 || !digits(whole) || !digits(tenths) {
            return Err(None);
        }
        let share: u16 = format!("{whole}{tenths}").parse().ok().ok_or(None)?;
        (share <= WHOLE_PER_MILLE)
            .then(|| Self::new(share))
            .ok_or(None)
    }
}

/// Formats a share so that [`PerMille::read`](Scalar::read) can parse it.
pub fn format_share(share: PerMille) -> String {
    let share = share.get();
    match share % 10 {
        0 => format!("{}%", share / 10),
        tenths => format!("{}.{tenths}%", share / 10),
    }
}
