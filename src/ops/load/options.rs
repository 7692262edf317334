//! Options of `load` and their limits.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use http::Method;
use snafu::{Snafu, ensure};

/// Maximum duration of a run. This and the other limits keep a mistyped option from overloading a service.
pub const MAX_DURATION: Duration = Duration::from_hours(1);
/// Maximum rate, in requests per second.
pub const MAX_RATE: u32 = 20_000;
/// Maximum number of flows.
pub const MAX_FLOWS: usize = 20_000;
/// Maximum number of requests.
pub const MAX_REQUESTS: u64 = 5_000_000;

/// Options of `load`.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Address of the service.
    pub to: SocketAddr,
    /// DNS name in the service certificate.
    pub name: String,
    /// File with the authority's certificate.
    pub authority: PathBuf,
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
    /// Requests per second, over all classes.
    pub rate: u32,
    /// Time for which requests are sent.
    pub time: Duration,
    /// Maximum number of requests to send.
    pub count: u64,
    /// Number of flows to keep open.
    pub flows: usize,
    /// Timeout of one attempt of a request.
    pub timeout: Duration,
    /// Maximum number of times that a request is sent again if its outcome is not good.
    pub resends: u32,
    /// Seed of the arrival times and classes.
    pub seed: u64,
    /// File to write the HTML page to.
    pub html: Option<PathBuf>,
}

/// A class of requests.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{name}={method}:{path}:{weight}")]
pub struct RequestClass {
    /// Name of the class in the result.
    pub name: String,
    /// HTTP method; POST requests carry an idempotency key.
    pub method: Method,
    /// Path of the URI.
    pub path: String,
    /// Weight of the class among the arrivals.
    pub weight: u32,
}

/// Error of parsing a [`RequestClass`].
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "{text:?} is not of the form NAME=METHOD:/PATH[:WEIGHT], for instance order=POST:/orders:3"
))]
pub struct InvalidClass {
    text: String,
}

impl FromStr for RequestClass {
    type Err = InvalidClass;

    fn from_str(text: &str) -> Result<Self, InvalidClass> {
        let bad = || InvalidClass {
            text: text.to_owned(),
        };
        let (name, rest) = text.split_once('=').ok_or_else(bad)?;
        let (method, rest) = rest.split_once(':').ok_or_else(bad)?;
        let (path, weight) = rest.split_once(':').unwrap_or((rest, "1"));
        let weight = weight.parse().ok().filter(|w| *w > 0).ok_or_else(bad)?;
        let sound = !name.is_empty() && path.starts_with('/');
        let method = Method::from_str(method).ok().filter(|_| sound);
        Ok(Self {
            name: name.to_owned(),
            method: method.ok_or_else(bad)?,
            path: path.to_owned(),
            weight,
        })
    }
}

/// Error of an option outside its limits.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("--{option} must be from {least} to {most}"))]
pub struct OutOfBounds {
    option: &'static str,
    least: u64,
    most: u64,
}

impl LoadOptions {
    /// Checks that all options are within their limits.
    pub fn check(&self) -> Result<(), OutOfBounds> {
        let flows = u64::try_from(self.flows).unwrap_or(u64::MAX);
        let most_flows = u64::try_from(MAX_FLOWS).unwrap_or(u64::MAX);
        bound("rate", self.rate.into(), 0, MAX_RATE.into())?;
        bound("time", self.time.as_secs(), 1, MAX_DURATION.as_secs())?;
        bound("count", self.count, 1, MAX_REQUESTS)?;
        bound("flows", flows, 1, most_flows)?;
        bound("resends", self.resends.into(), 0, 10)
    }
}

fn bound(option: &'static str, value: u64, least: u64, most: u64) -> Result<(), OutOfBounds> {
    let within = (least..=most).contains(&value);
    ensure!(
        within,
        OutOfBoundsSnafu {
            option,
            least,
            most
        }
    );
    Ok(())
}
