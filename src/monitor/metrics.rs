//! Metrics of the process, in addition to those that the metrics library reads from the host.

use prometheus::{Error, IntCounter, IntGauge, IntGaugeVec, Opts, Registry};

/// Milliseconds in a second.
const MILLIS: u64 = 1_000;

/// Metrics that every daemon has.
#[derive(Clone, Debug)]
pub struct ProcessMetrics {
    /// Expiry time of the certificate, in seconds since the Unix epoch.
    certificate_expiry: IntGauge,
    /// Number of failed reloads of the certificate files.
    pub certificate_reload_failures: IntCounter,
}

impl ProcessMetrics {
    /// Registers the metrics of a process with the given role.
    pub fn register(registry: &Registry, role: &str) -> Result<Self, Error> {
        let build = IntGaugeVec::new(
            Opts::new(
                "dogwoodrill_build_info",
                "Version and role of the process; always 1.",
            ),
            &["version", "role"],
        )?;
        build
            .with_label_values(&[env!("CARGO_PKG_VERSION"), role])
            .set(1);
        registry.register(Box::new(build))?;
        let certificate_expiry = IntGauge::new(
            "dogwoodrill_certificate_expiry_timestamp_seconds",
            "When the process's certificate expires, in seconds since the Unix epoch.",
        )?;
        let certificate_reload_failures = IntCounter::new(
            "dogwoodrill_certificate_reload_failures_total",
            "Times that the certificate files were refused when they were read again.",
        )?;
        registry.register(Box::new(certificate_expiry.clone()))?;
        registry.register(Box::new(certificate_reload_failures.clone()))?;
        Ok(Self {
            certificate_expiry,
            certificate_reload_failures,
        })
    }

    /// Sets the expiry time of the certificate.
    pub fn set_certificate_expiry(&self, at: dogwoodrill_core::time::UnixMillis) {
        let seconds = i64::try_from(at.get() / MILLIS).unwrap_or(i64::MAX);
        self.certificate_expiry.set(seconds);
    }
}
