//! Identity of a data folder: the host, the member and the cluster that it belongs to.

use std::fmt;
use std::str::FromStr;

use crc32c::crc32c;
use derive_more::{Display, From, FromStr, Into};
use dogwoodrill_core::ids::NodeId;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use super::frame::FORMAT_VERSION;
use super::{FileError, Folder, IDENTITY_NAME, IoSnafu, check_written, replace_file};
use crate::member::MemberId;

const TITLE: &str = "dogwoodrill control host, format ";

/// Identifies a cluster; drawn at random when the cluster is bootstrapped.
#[derive(Clone, Copy, Debug, Display, Eq, From, FromStr, Hash, Into, PartialEq)]
#[display("{_0:016x}")]
pub struct ClusterId(u64);

impl ClusterId {
    /// Creates an id from its numeric value.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the numeric value.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Identity of a data folder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Node id of the host.
    pub node: NodeId,
    /// Member id, drawn when the folder was created.
    pub host: MemberId,
    /// Cluster that the host belongs to; `None` until the host knows it.
    pub cluster: Option<ClusterId>,
}

/// Error when an identity is rejected.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum IdentityError {
    /// The identity file is damaged.
    #[snafu(display("the file identity is damaged; replace this control host"))]
    IdentityDamaged,
    /// The data folder has a format version that this program does not support.
    #[snafu(display(
        "the data folder has format {found}; this version of the program knows {FORMAT_VERSION}"
    ))]
    Format {
        /// Format version in the file.
        found: u32,
    },
    /// The folder belongs to another host.
    #[snafu(display(
        "the data folder belongs to control host {found}, the settings say {expected}; use the right folder"
    ))]
    OtherHost {
        /// Host that the folder belongs to.
        found: NodeId,
        /// Host that was started.
        expected: NodeId,
    },
}

impl Identity {
    /// Checks that the folder belongs to the host `expected`.
    pub fn check_node(&self, expected: NodeId) -> Result<(), IdentityError> {
        let found = self.node;
        ensure!(found == expected, OtherHostSnafu { found, expected });
        Ok(())
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{TITLE}{FORMAT_VERSION}")?;
        writeln!(f, "node {}", self.node)?;
        writeln!(f, "host {}", self.host)?;
        match self.cluster {
            Some(cluster) => writeln!(f, "cluster {cluster}"),
            None => writeln!(f, "cluster none"),
        }
    }
}

impl FromStr for Identity {
    type Err = IdentityError;

    fn from_str(text: &str) -> Result<Self, IdentityError> {
        let (body, sum) = text
            .rsplit_once("checksum ")
            .context(IdentityDamagedSnafu)?;
        ensure!(sum.trim_end() == checksum(body), IdentityDamagedSnafu);
        let mut lines = body.lines();
        let mut value = |key| lines.next()?.strip_prefix(key);
        let found = parse_number(value(TITLE), 10)?;
        let found = u32::try_from(found).unwrap_or(u32::MAX);
        ensure!(found == FORMAT_VERSION, FormatSnafu { found });
        let node = parse_number(value("node "), 10)?;
        let host = parse_number(value("host "), 16)?;
        let cluster = value("cluster ").filter(|text| *text != "none");
        let cluster = cluster
            .map(|text| parse_number(Some(text), 16))
            .transpose()?;
        Ok(Self {
            node: node.into(),
            host: host.into(),
            cluster: cluster.map(ClusterId::new),
        })
    }
}

fn parse_number(text: Option<&str>, radix: u32) -> Result<u64, IdentityError> {
    let number = text.and_then(|text| u64::from_str_radix(text, radix).ok());
    number.context(IdentityDamagedSnafu)
}

fn checksum(body: &str) -> String {
    format!("{:08x}", crc32c(body.as_bytes()))
}

pub(super) fn save<F: Folder>(folder: &mut F, identity: &Identity) -> Result<(), FileError> {
    let body = identity.to_string();
    let text = format!("{body}checksum {}\n", checksum(&body));
    let replaced = replace_file(folder, IDENTITY_NAME, text.as_bytes());
    check_written(replaced, IDENTITY_NAME)
}

pub(super) fn load<F: Folder>(folder: &F) -> Result<Option<Identity>, FileError> {
    let names = folder.list().context(IoSnafu {
        action: "list",
        file: "the data folder",
    })?;
    if !names.iter().any(|name| name == IDENTITY_NAME) {
        return Ok(None);
    }
    let bytes = folder.read(IDENTITY_NAME).context(IoSnafu {
        action: "read",
        file: IDENTITY_NAME,
    })?;
    let text = String::from_utf8(bytes)
        .ok()
        .context(IdentityDamagedSnafu)?;
    Ok(Some(text.parse()?))
}
