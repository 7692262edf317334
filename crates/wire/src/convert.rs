//! Conversions between the generated messages and the validated types of the other crates.

use std::net::SocketAddr;

use dogwoodrill_core::ids::NameError;
use snafu::Snafu;

pub mod claims;
mod command;
mod config;
mod consensus;
pub mod forwarded;
mod operator;
pub mod peers;
mod record;
mod report;
mod spread;

/// Why a received message was refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConvertError {
    /// A required field is absent.
    #[snafu(display("the message has no {field}"))]
    Missing {
        /// The name of the field.
        field: &'static str,
    },
    /// A number is outside its range.
    #[snafu(display("{field} is out of range"))]
    OutOfRange {
        /// The name of the field.
        field: &'static str,
    },
    /// An address is not an IP address with a port.
    #[snafu(display("{field} {text:?} is not an IP address with a port"))]
    Address {
        /// The name of the field.
        field: &'static str,
        /// The text as received.
        text: String,
        /// The error of the parser.
        source: std::net::AddrParseError,
    },
    /// A command id is malformed.
    #[snafu(display("the command id is not a UUIDv7"))]
    CommandId,
    /// A name is malformed.
    #[snafu(display("{field} is not a name"))]
    Name {
        /// The name of the field.
        field: &'static str,
        /// What is wrong with it.
        source: NameError,
    },
}

fn address(field: &'static str, text: String) -> Result<SocketAddr, ConvertError> {
    text.parse().map_err(|source| ConvertError::Address {
        field,
        text,
        source,
    })
}

fn name<T>(field: &'static str, text: String) -> Result<T, ConvertError>
where
    T: TryFrom<String, Error = NameError>,
{
    T::try_from(text).map_err(|source| ConvertError::Name { field, source })
}

fn checked_narrow<T: TryFrom<u32>>(field: &'static str, value: u32) -> Result<T, ConvertError> {
    T::try_from(value)
        .ok()
        .ok_or(ConvertError::OutOfRange { field })
}
