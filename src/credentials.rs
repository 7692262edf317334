//! Certificates: who a process is, and how it checks who the other end is.
//!
//! Every process has a certificate of the cluster's own authority with its [`Role`] in the subject's
//! organizational unit. A certificate of a node or control host also carries [`NODE_NAME`], which is
//! what a connecting process expects, so no operator's or service's certificate can stand in for a
//! node's. [`Credentials`] holds what the TLS library needs and reads the files again when they
//! change; connections made before keep what they were made with. `ops::certs` makes the files.

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

/// The name that every node's certificate carries and every connecting process expects.
pub const NODE_NAME: &str = "node.dogwoodrill.internal";
/// Pause between two looks at whether the files have changed.
pub const RELOAD_INTERVAL: Duration = Duration::from_secs(10);
const ALPN_HTTP2: &[u8] = b"h2";

/// What the holder of a certificate may do.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Hash, PartialEq)]
#[from_str(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Role {
    /// A balancer or an agent.
    Node,
    /// A control host; it may do what a node may.
    Control,
    /// A person or script that gives commands.
    Operator,
    /// The end of callers' flows; it may not connect to the system's own ports.
    Service,
}

impl Role {
    /// Whether a holder of this role may do what `required` asks for.
    pub fn satisfies(self, required: Self) -> bool {
        self == required || (self == Self::Control && required == Self::Node)
    }
}

/// How connections between the system's processes are protected.
#[derive(Clone, Debug)]
pub enum Security {
    /// Not at all; every peer may do everything. For use inside one process only: settings files
    /// cannot ask for it.
    Plaintext,
    /// Mutual TLS with certificates of the cluster's authority.
    Mtls(Arc<Credentials>),
}

/// Where the certificates of a process lie.
#[derive(Clone, Debug)]
pub struct CredentialFiles {
    /// The authority's certificate.
    pub authority: PathBuf,
    /// The process's own certificate.
    pub certificate: PathBuf,
    /// The private key of `certificate`.
    pub key: PathBuf,
}

/// Why certificates were refused.
#[derive(Debug, Snafu)]
pub enum CredentialError {
    /// A file is not PEM, or lacks what is needed.
    #[snafu(display("{} is not a PEM file with what is needed", path.display()))]
    Pem {
        /// The file.
        path: PathBuf,
        /// What the parser said.
        source: rustls::pki_types::pem::Error,
    },
    /// A certificate is malformed.
    #[snafu(display("{} holds a malformed certificate; make it again with `certs`", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
    },
    /// The TLS library refused the certificate or its key.
    #[snafu(display("cannot use {}; check that the key belongs to it", path.display()))]
    Refused {
        /// The certificate file.
        path: PathBuf,
        /// What the TLS library said.
        source: rustls::Error,
    },
    /// The authority cannot be used to check others.
    #[snafu(display("cannot check others by {}", path.display()))]
    Authority {
        /// The authority's file.
        path: PathBuf,
        /// What the TLS library said.
        source: VerifierBuilderError,
    },
}

/// What the TLS library needs, made from one state of the files.
struct Loaded {
    chain: Vec<CertificateDer<'static>>,
    server: Arc<ServerConfig>,
    client: Arc<ClientConfig>,
    expires_at: UnixMillis,
}

/// The certificates of one process.
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
    /// Reads the files.
    pub fn load(files: CredentialFiles) -> Result<Self, CredentialError> {
        let loaded = ArcSwap::from_pointee(read(&files)?);
        Ok(Self { files, loaded })
    }

    /// Reads the files again; true if the certificate is another one. What was loaded before stays
    /// in use when the files are refused.
    pub fn reload(&self) -> Result<bool, CredentialError> {
        let reloaded = read(&self.files)?;
        let changed = reloaded.chain != self.loaded.load().chain;
        if changed {
            self.loaded.store(Arc::new(reloaded));
        }
        Ok(changed)
    }

    /// When the certificate expires.
    pub fn expires_at(&self) -> UnixMillis {
        self.loaded.load().expires_at
    }

    /// For the accepting end.
    pub fn server(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.loaded.load().server)
    }

    /// For the connecting end.
    pub fn client(&self) -> Arc<ClientConfig> {
        Arc::clone(&self.loaded.load().client)
    }
}

/// The role in a certificate; none where it has none that is known.
pub fn role_of(certificate: &CertificateDer<'_>) -> Option<Role> {
    let (_, parsed) = X509Certificate::from_der(certificate).ok()?;
    let unit = parsed.subject().iter_organizational_unit().next()?;
    unit.as_str().ok()?.parse().ok()
}

/// When a certificate expires; none where it is malformed.
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
