//! Certificates: authentication of a process and its peers.
//!
//! Every process has a certificate, issued by the cluster's own authority, with its [`Role`] in the
//! subject's organizational unit. The certificate of a node or control host also has the DNS name
//! [`NODE_NAME`], which connecting processes verify, so the certificate of an operator or a service cannot
//! be used in place of a node's. [`Credentials`] holds the configurations of the TLS library and reloads
//! them from the files; existing connections keep the certificates that they were opened with. `ops::certs`
//! creates the files.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use derive_more::{Display, FromStr};
use dogwoodrill_core::time::UnixMillis;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::{VerifierBuilderError, WebPkiClientVerifier};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use snafu::{OptionExt, ResultExt, Snafu};
use x509_parser::certificate::X509Certificate;
use x509_parser::prelude::FromDer;

/// DNS name in every node's certificate, verified by every connecting process.
pub const NODE_NAME: &str = "node.dogwoodrill.internal";
/// Interval between checks whether the files have changed.
pub const RELOAD_INTERVAL: Duration = Duration::from_secs(10);
const ALPN_HTTP2: &[u8] = b"h2";

/// Role of a certificate holder, which defines its permissions.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Hash, PartialEq)]
#[from_str(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Role {
    /// A balancer or an agent.
    Node,
    /// A control host; it has the permissions of a node as well.
    Control,
    /// A person or script that runs operator commands.
    Operator,
    /// A service that callers connect to; it may not connect to the system's own ports.
    Service,
}

impl Role {
    /// Whether this role has the permissions of `required`.
    pub fn satisfies(self, required: Self) -> bool {
        self == required || (self == Self::Control && required == Self::Node)
    }
}

/// How connections between the system's processes are protected.
#[derive(Clone, Debug)]
pub enum Security {
    /// No protection; every peer has all permissions. Only for use inside one process: it cannot be selected in
    /// settings files.
    Plaintext,
    /// Mutual TLS with certificates issued by the cluster's authority.
    Mtls(Arc<Credentials>),
}

/// Paths of the certificate files of a process.
#[derive(Clone, Debug)]
pub struct CredentialFiles {
    /// The authority's certificate.
    pub authority: PathBuf,
    /// The process's own certificate.
    pub certificate: PathBuf,
    /// The private key of `certificate`.
    pub key: PathBuf,
}

/// Error of loading certificates.
#[derive(Debug, Snafu)]
pub enum CredentialError {
    /// A file is not valid PEM, or does not contain the required certificate or key.
    #[snafu(display("{} is not a PEM file with the required certificate or key", path.display()))]
    Pem {
        /// Path of the file.
        path: PathBuf,
        /// The parse error.
        source: rustls::pki_types::pem::Error,
    },
    /// A certificate is malformed.
    #[snafu(display("{} holds a malformed certificate; make it again with `certs`", path.display()))]
    Malformed {
        /// Path of the file.
        path: PathBuf,
    },
    /// The TLS library rejected the certificate or its key.
    #[snafu(display("cannot use {}; check that the key belongs to it", path.display()))]
    Refused {
        /// Path of the certificate file.
        path: PathBuf,
        /// The error of the TLS library.
        source: rustls::Error,
    },
    /// The authority's certificate cannot be used to verify peers.
    #[snafu(display("cannot use the authority {} to verify peers", path.display()))]
    Authority {
        /// Path of the authority's certificate.
        path: PathBuf,
        /// The error of the TLS library.
        source: VerifierBuilderError,
    },
}

/// TLS configurations that were built from one version of the files.
struct Loaded {
    chain: Vec<CertificateDer<'static>>,
    server: Arc<ServerConfig>,
    client: Arc<ClientConfig>,
    expires_at: UnixMillis,
}

/// The certificates of a process, which can be reloaded.
pub struct Credentials {
    files: CredentialFiles,
    loaded: ArcSwap<Loaded>,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Credentials")
            .field("files", &self.files)
            .finish_non_exhaustive()
    }
}

impl Credentials {
    /// Loads the certificates from the files.
    pub fn load(files: CredentialFiles) -> Result<Self, CredentialError> {
        let loaded = ArcSwap::from_pointee(read(&files)?);
        Ok(Self { files, loaded })
    }

    /// Reloads the files. Returns true if the certificate has changed. On an error, the certificates loaded
    /// before stay in use.
    pub fn reload(&self) -> Result<bool, CredentialError> {
        let reloaded = read(&self.files)?;
        let changed = reloaded.chain != self.loaded.load().chain;
        if changed {
            self.loaded.store(Arc::new(reloaded));
        }
        Ok(changed)
    }

    /// Time at which the certificate expires.
    pub fn expires_at(&self) -> UnixMillis {
        self.loaded.load().expires_at
    }

    /// Returns the TLS configuration for accepted connections.
    pub fn server(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.loaded.load().server)
    }

    /// Returns the TLS configuration for outgoing connections.
    pub fn client(&self) -> Arc<ClientConfig> {
        Arc::clone(&self.loaded.load().client)
    }
}

/// Returns the role in a certificate, or `None` if it is missing or unknown.
pub fn role_of(certificate: &CertificateDer<'_>) -> Option<Role> {
    let (_, parsed) = X509Certificate::from_der(certificate).ok()?;
    let unit = parsed.subject().iter_organizational_unit().next()?;
    unit.as_str().ok()?.parse().ok()
}

/// Returns the expiry time of a certificate, or `None` if it is malformed.
pub fn expiry_of(certificate: &CertificateDer<'_>) -> Option<UnixMillis> {
    let (_, parsed) = X509Certificate::from_der(certificate).ok()?;
    let seconds = u64::try_from(parsed.validity().not_after.timestamp()).ok()?;
    let at = SystemTime::UNIX_EPOCH + Duration::from_secs(seconds);
    Some(at.into())
}

/// Reads a certificate chain.
pub fn read_chain(path: &Path) -> Result<Vec<CertificateDer<'static>>, CredentialError> {
    CertificateDer::pem_file_iter(path)
        .context(PemSnafu { path })?
        .collect::<Result<_, _>>()
        .context(PemSnafu { path })
}

/// Reads a private key.
pub fn read_private_key(path: &Path) -> Result<PrivateKeyDer<'static>, CredentialError> {
    PrivateKeyDer::from_pem_file(path).context(PemSnafu { path })
}

fn read(files: &CredentialFiles) -> Result<Loaded, CredentialError> {
    let path = files.certificate.as_path();
    let chain = read_chain(path)?;
    let key = read_private_key(&files.key)?;
    let expires_at = chain.first().and_then(expiry_of);
    let expires_at = expires_at.context(MalformedSnafu { path })?;
    let roots = Arc::new(read_roots(&files.authority)?);
    Ok(Loaded {
        server: Arc::new(server_config(files, &roots, &chain, &key)?),
        client: Arc::new(client_config(files, roots, &chain, key)?),
        chain,
        expires_at,
    })
}

fn read_roots(path: &Path) -> Result<RootCertStore, CredentialError> {
    let mut roots = RootCertStore::empty();
    for authority in read_chain(path)? {
        roots.add(authority).context(RefusedSnafu { path })?;
    }
    Ok(roots)
}

fn server_config(
    files: &CredentialFiles,
    roots: &Arc<RootCertStore>,
    chain: &[CertificateDer<'static>],
    key: &PrivateKeyDer<'static>,
) -> Result<ServerConfig, CredentialError> {
    let path = files.certificate.as_path();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(roots), Arc::clone(&provider))
            .build()
            .context(AuthoritySnafu {
                path: &files.authority,
            })?;
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .context(RefusedSnafu { path })?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.to_vec(), key.clone_key())
        .context(RefusedSnafu { path })?;
    config.alpn_protocols = vec![ALPN_HTTP2.to_vec()];
    Ok(config)
}

fn client_config(
    files: &CredentialFiles,
    roots: Arc<RootCertStore>,
    chain: &[CertificateDer<'static>],
    key: PrivateKeyDer<'static>,
) -> Result<ClientConfig, CredentialError> {
    let path = files.certificate.as_path();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .context(RefusedSnafu { path })?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain.to_vec(), key)
        .context(RefusedSnafu { path })?;
    config.alpn_protocols = vec![ALPN_HTTP2.to_vec()];
    Ok(config)
}
