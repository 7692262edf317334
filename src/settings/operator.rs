//! Settings of an operator's commands.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;

use super::fault::Faults;
use super::process::{read_tls, values};
use super::section::Section;
use super::{CredentialsSnafu, Document, SettingsError};
use crate::context::Cx;
use crate::credentials::{CredentialFiles, Credentials, Security};

/// Default of [`OperatorSettings::timeout`].
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Validated settings of an operator.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// Addresses of the control hosts.
    pub control: Vec<SocketAddr>,
    /// Files with the authority's and the operator's certificate and the private key.
    pub tls: CredentialFiles,
    /// Time after which a command without a response fails.
    pub timeout: Duration,
}

impl OperatorSettings {
    /// Reads the certificates and creates the context of a command.
    pub fn cx(&self) -> Result<Cx, SettingsError> {
        let credentials = Credentials::load(self.tls.clone()).context(CredentialsSnafu)?;
        Ok(Cx::operator(Security::Mtls(Arc::new(credentials))))
    }

    fn read(section: &Section<'_>, folder: &Path) -> Option<Self> {
        let control = section.list("control");
        let tls = section.section("tls").and_then(|s| read_tls(&s, folder));
        let timeout = section.optional("timeout").unwrap_or(DEFAULT_TIMEOUT);
        section.finish();
        Some(Self {
            control: values(control?),
            tls: tls?,
            timeout,
        })
    }
}

impl TryFrom<&Document> for OperatorSettings {
    type Error = Faults;

    fn try_from(document: &Document) -> Result<Self, Faults> {
        document.read("the settings of an operator", |section, document| {
            Self::read(section, document.folder())
        })
    }
}
