//! Self-signed certificates.

use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};

/// DNS name in every certificate of this module.
pub const SERVER_NAME: &str = "service.test";

/// A self-signed certificate and its key.
#[derive(Debug)]
pub struct Certificate {
    /// The certificate in DER.
    pub der: CertificateDer<'static>,
    /// The certificate in PEM.
    pub pem: String,
    /// Its private key.
    pub key: PrivateKeyDer<'static>,
}

impl Certificate {
    /// Generates a certificate for [`SERVER_NAME`].
    pub fn generate() -> Self {
        let made = rcgen::generate_simple_self_signed([SERVER_NAME.to_owned()])
            .expect("the name is a valid DNS name");
        let key = PrivatePkcs8KeyDer::from(made.signing_key.serialize_der());
        Self {
            der: made.cert.der().clone(),
            pem: made.cert.pem(),
            key: key.into(),
        }
    }
}

impl Clone for Certificate {
    fn clone(&self) -> Self {
        Self {
            der: self.der.clone(),
            pem: self.pem.clone(),
            key: self.key.clone_key(),
        }
    }
}
