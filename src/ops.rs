//! One function for each subcommand; the command line parses, calls one of these and reports.

use std::convert::Infallible;

use snafu::Snafu;

use crate::agent::AgentError;
use crate::balancer::BalancerError;
use crate::control::ControlError;
use crate::monitor::MonitorError;
use crate::settings::SettingsError;
use crate::supervisor::RestartLimitExceeded;

mod certs;
mod check_config;
mod daemons;
mod exit;
pub mod load;
mod node;
mod outcome;
pub mod page;
mod profile;
pub mod report;
mod session;
mod status;
mod zone;

pub use certs::{
    CertsError, CertsInitOptions, CreatedFile, CreatedFiles, ServiceCertificate,
    ServiceCertificateError, certs_init,
};
pub use check_config::{CheckConfigOptions, CheckError, CheckReport, CheckedFile, check_config};
pub use daemons::{DaemonOptions, run_agent, run_balancer, run_control};
pub use exit::{
    EXIT_ABORTED, EXIT_FAILED, EXIT_NOT_CONFIRMED, EXIT_UNKNOWN_OUTCOME, EXIT_USAGE,
    EXIT_VERSION_CONFLICT, exit_code,
};
pub use load::{LoadError, LoadOptions, LoadResult, RequestClass, load};
pub use node::{NodeError, NodeOptions, run_node};
pub use outcome::{Outcome, one_line};
pub use profile::{
    AppliedProfile, CommittedProfile, ProfileApplyOptions, ProfileDiff, ProfileList, profile_apply,
    profile_diff, profile_get, profile_list,
};
pub use report::{BurnOptions, BurnReport, ReportError, report_burn};
pub use session::{ChangeOptions, Changed, CommandError, SessionOptions};
pub use status::{ClusterStatus, status};
pub use zone::{ZoneChange, ZoneChangeOptions, ZoneList, zone_change, zone_list};

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum OpsError {
    /// A process of the platform stopped.
    #[snafu(transparent)]
    Node {
        /// Why.
        source: NodeError,
    },
    /// The certificates were not made.
    #[snafu(transparent)]
    Certs {
        /// Why.
        source: CertsError,
    },
    /// A command of an operator failed.
    #[snafu(transparent)]
    Command {
        /// Why.
        source: CommandError,
    },
    /// No load was sent.
    #[snafu(transparent)]
    Load {
        /// Why.
        source: LoadError,
    },
    /// There is no report.
    #[snafu(transparent)]
    Report {
        /// Why.
        source: ReportError,
    },
    /// The settings were refused.
    #[snafu(transparent)]
    Settings {
        /// What is wrong with them.
        source: SettingsError,
    },
    /// The balancer did not start.
    #[snafu(transparent)]
    Balancer {
        /// Why.
        source: BalancerError,
    },
    /// The agent did not start.
    #[snafu(transparent)]
    Agent {
        /// Why.
        source: AgentError,
    },
    /// The control host failed.
    #[snafu(transparent)]
    Control {
        /// Why.
        source: ControlError,
    },
    /// A part of the process failed too often.
    #[snafu(transparent)]
    RestartLimitExceeded {
        /// Which part.
        source: RestartLimitExceeded,
    },
    /// The port of metrics and health could not be opened.
    #[snafu(transparent)]
    Monitor {
        /// Why.
        source: MonitorError,
    },
    /// The metrics of the process could not be registered.
    #[snafu(display("cannot register the metrics of the process"))]
    Metrics {
        /// What the library said.
        source: prometheus::Error,
    },
    /// The signal handlers could not be installed.
    #[snafu(display("cannot listen for signals"))]
    Signals {
        /// What the host said.
        source: std::io::Error,
    },
}

impl From<Infallible> for OpsError {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}
