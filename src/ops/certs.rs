//! `certs init`: creates a local certificate authority and the certificates of a new cluster.

use std::collections::BTreeSet;
use std::fmt::{self, Write as _};
use std::fs::{self, DirBuilder, OpenOptions};
use std::io::{self, Write as _};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::str::FromStr;

use derive_more::Display;
use dogwoodrill_core::ids::{NameError, ServiceName};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, ExtendedKeyUsagePurpose, IsCa,
    KeyPair, KeyUsagePurpose,
};
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use time::{Duration, OffsetDateTime};

use super::Outcome;
use crate::credentials::{NODE_NAME, Role};

/// File mode of private keys: readable and writable by the owner only.
const PRIVATE_MODE: u32 = 0o600;
/// File mode of certificates.
const PUBLIC_MODE: u32 = 0o644;
/// Mode of the output folder.
const FOLDER_MODE: u32 = 0o700;
/// Validity of the authority's certificate, in days.
const AUTHORITY_DAYS: i64 = 3_650;
/// Length of the cluster key, in bytes.
const CLUSTER_KEY_BYTES: usize = 16;
/// Certificates are backdated by this, because the clocks of hosts may be behind the clock of the host
/// that creates them.
const CLOCK_SKEW_ALLOWANCE: Duration = Duration::hours(1);

/// Options of `certs init`.
#[derive(Clone, Debug)]
pub struct CertsInitOptions {
    /// Folder to write to.
    pub dir: PathBuf,
    /// Services to create certificates for.
    pub services: Vec<ServiceCertificate>,
    /// Validity of the certificates, in days.
    pub days: u32,
}

/// A service and the DNS name that its callers use.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{service}={host}")]
pub struct ServiceCertificate {
    /// Name of the service, used in the file names.
    pub service: String,
    /// The DNS name that callers connect to.
    pub host: String,
}

/// Error of parsing a [`ServiceCertificate`].
#[derive(Debug, Snafu)]
pub enum ServiceCertificateError {
    /// The text has no equals sign, or nothing after it.
    #[snafu(display(
        "{text:?} is not of the form NAME=DNS-NAME, for instance orders=orders.example"
    ))]
    Form {
        /// The text.
        text: String,
    },
    /// The name of the service is malformed.
    #[snafu(transparent)]
    Name {
        /// The error of the name.
        source: NameError,
    },
}

impl FromStr for ServiceCertificate {
    type Err = ServiceCertificateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (service, host) = text.split_once('=').context(FormSnafu { text })?;
        let service: ServiceName = service.parse()?;
        ensure!(!host.is_empty(), FormSnafu { text });
        Ok(Self {
            service: service.to_string(),
            host: host.to_owned(),
        })
    }
}

/// Error of `certs init`.
#[derive(Debug, Snafu)]
pub enum CertsError {
    /// One of the files already exists.
    #[snafu(display(
        "{} already exists and is not overwritten; nothing was written. Choose another --dir",
        path.display()
    ))]
    Exists {
        /// Path of the file.
        path: PathBuf,
    },
    /// A file could not be written.
    #[snafu(display("cannot write {}", path.display()))]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A certificate could not be created.
    #[snafu(display("cannot create the certificate {name}"))]
    Make {
        /// Name of the certificate.
        name: String,
        /// The error of the certificate library.
        source: rcgen::Error,
    },
    /// Two certificates would have the same name.
    #[snafu(display("two certificates would be named {name}; rename the service"))]
    Twice {
        /// The name.
        name: String,
    },
}

/// The files that `certs init` created.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CreatedFiles {
    /// The files, in the order of creation.
    pub files: Vec<CreatedFile>,
}

impl Outcome for CreatedFiles {
    fn to_json(&self) -> Value {
        let file = |f: &CreatedFile| json!({ "path": f.path, "purpose": f.purpose });
        let files: Vec<_> = self.files.iter().map(file).collect();
        json!({ "files": files })
    }
}

impl fmt::Display for CreatedFiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for file in &self.files {
            writeln!(f, "{}: {}", file.path.display(), file.purpose)?;
        }
        Ok(())
    }
}

/// A created file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CreatedFile {
    /// Path of the file.
    pub path: PathBuf,
    /// Description of its use.
    pub purpose: String,
    content: String,
    mode: u32,
}

/// Creates the files and returns their paths. If any of them already exists, none is written.
pub fn certs_init(options: &CertsInitOptions) -> Result<CreatedFiles, CertsError> {
    let files = build_files(options)?;
    for file in &files {
        let path = &file.path;
        ensure!(fs::symlink_metadata(path).is_err(), ExistsSnafu { path });
    }
    let path = &options.dir;
    DirBuilder::new()
        .recursive(true)
        .mode(FOLDER_MODE)
        .create(path)
        .context(WriteSnafu { path })?;
    for file in &files {
        write(file)?;
    }
    Ok(CreatedFiles { files })
}

fn build_files(options: &CertsInitOptions) -> Result<Vec<CreatedFile>, CertsError> {
    let days = i64::from(options.days);
    let authority = make_authority().context(MakeSnafu { name: "authority" })?;
    let mut set = CertificateSet {
        dir: &options.dir,
        names: BTreeSet::new(),
        files: Vec::new(),
    };
    set.add_pair(
        "authority",
        "certificate of the authority; every host needs it",
        &authority.pem(),
        &authority.key().serialize_pem(),
    )?;
    for (role, purpose) in [
        (Role::Control, "control hosts"),
        (Role::Node, "balancers and agents"),
        (Role::Operator, "operators' commands"),
    ] {
        let name = role.to_string();
        let hosts = if role == Role::Operator {
            vec![]
        } else {
            vec![NODE_NAME]
        };
        let (pem, key) = issue(&authority, role, &name, &hosts, days)?;
        set.add_pair(&name, purpose, &pem, &key)?;
    }
    for service in &options.services {
        let (name, host) = (&service.service, service.host.as_str());
        let (pem, key) = issue(&authority, Role::Service, name, &[host], days)?;
        let purpose = format!("flows of callers to {host}");
        set.add_pair(&format!("service-{name}"), &purpose, &pem, &key)?;
    }
    set.add(
        "cluster.key",
        "key of connection ids and tunnels; every node needs it",
        cluster_key(),
        PRIVATE_MODE,
    );
    Ok(set.files)
}

struct CertificateSet<'a> {
    dir: &'a Path,
    names: BTreeSet<String>,
    files: Vec<CreatedFile>,
}

impl CertificateSet<'_> {
    fn add_pair(
        &mut self,
        name: &str,
        purpose: &str,
        pem: &str,
        key: &str,
    ) -> Result<(), CertsError> {
        ensure!(self.names.insert(name.to_owned()), TwiceSnafu { name });
        self.add(&format!("{name}.pem"), purpose, pem.to_owned(), PUBLIC_MODE);
        let purpose = format!("private key of {name}.pem");
        self.add(
            &format!("{name}.key"),
            &purpose,
            key.to_owned(),
            PRIVATE_MODE,
        );
        Ok(())
    }

    fn add(&mut self, name: &str, purpose: &str, content: String, mode: u32) {
        self.files.push(CreatedFile {
            path: self.dir.join(name),
            purpose: purpose.to_owned(),
            content,
            mode,
        });
    }
}

fn write(file: &CreatedFile) -> Result<(), CertsError> {
    let path = &file.path;
    let mut handle = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(file.mode)
        .open(path)
        .context(WriteSnafu { path })?;
    handle
        .write_all(file.content.as_bytes())
        .and_then(|()| handle.sync_all())
        .context(WriteSnafu { path })
}

fn make_authority() -> Result<CertifiedIssuer<'static, KeyPair>, rcgen::Error> {
    let mut params = params("dogwoodrill authority", &[], AUTHORITY_DAYS)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    CertifiedIssuer::self_signed(params, KeyPair::generate()?)
}

/// Issues a certificate and returns it and its private key, both as PEM.
fn issue(
    authority: &CertifiedIssuer<'_, KeyPair>,
    role: Role,
    name: &str,
    hosts: &[&str],
    days: i64,
) -> Result<(String, String), CertsError> {
    let build = || -> Result<_, rcgen::Error> {
        let mut params = params(name, hosts, days)?;
        let unit = role.to_string();
        params
            .distinguished_name
            .push(DnType::OrganizationalUnitName, unit);
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = usages(role);
        params.use_authority_key_identifier_extension = true;
        let key = KeyPair::generate()?;
        let certificate = params.signed_by(&key, authority)?;
        Ok((certificate.pem(), key.serialize_pem()))
    };
    build().context(MakeSnafu { name })
}

fn usages(role: Role) -> Vec<ExtendedKeyUsagePurpose> {
    match role {
        Role::Node | Role::Control => vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ],
        Role::Operator => vec![ExtendedKeyUsagePurpose::ClientAuth],
        Role::Service => vec![ExtendedKeyUsagePurpose::ServerAuth],
    }
}

fn params(name: &str, hosts: &[&str], days: i64) -> Result<CertificateParams, rcgen::Error> {
    let hosts: Vec<String> = hosts.iter().map(ToString::to_string).collect();
    let mut params = CertificateParams::new(hosts)?;
    params.distinguished_name.push(DnType::CommonName, name);
    let now = OffsetDateTime::now_utc();
    params.not_before = now - CLOCK_SKEW_ALLOWANCE;
    params.not_after = now + Duration::days(days);
    Ok(params)
}

fn cluster_key() -> String {
    let key: [u8; CLUSTER_KEY_BYTES] = rand::random();
    let mut text = String::new();
    for byte in key {
        write!(text, "{byte:02x}").expect("a string takes whatever is written to it");
    }
    text.push('\n');
    text
}
