//! Implementation of the subcommands, one function each. The binary parses the command line, calls one
//! of these functions and prints its result.

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
mod explain;
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
pub use explain::{ExplainCommandError, ExplainOptions, Explanations, NodeEndpoint, explain};
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

/// Error of a subcommand.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum OpsError {
    /// `dogwoodrill node` stopped with an error.
    #[snafu(transparent)]
    Node {
        /// The underlying error.
        source: NodeError,
    },
    /// The certificates could not be created.
    #[snafu(transparent)]
    Certs {
        /// The underlying error.
        source: CertsError,
    },
    /// An operator command failed.
    #[snafu(transparent)]
    Command {
        /// The underlying error.
        source: CommandError,
    },
    /// No node explained where a flow would go.
    #[snafu(transparent)]
    Explain {
        /// The underlying error.
        source: ExplainCommandError,
    },
    /// `load` could not start or could not write its page.
    #[snafu(transparent)]
    Load {
        /// The underlying error.
        source: LoadError,
    },
    /// The report could not be created.
    #[snafu(transparent)]
    Report {
        /// The underlying error.
        source: ReportError,
    },
    /// The settings file could not be read or is invalid.
    #[snafu(transparent)]
    Settings {
        /// The underlying error.
        source: SettingsError,
    },
    /// The balancer did not start.
    #[snafu(transparent)]
    Balancer {
        /// The underlying error.
        source: BalancerError,
    },
    /// The agent did not start.
    #[snafu(transparent)]
    Agent {
        /// The underlying error.
        source: AgentError,
    },
    /// The control host failed.
    #[snafu(transparent)]
    Control {
        /// The underlying error.
        source: ControlError,
    },
    /// A supervised task failed too often.
    #[snafu(transparent)]
    RestartLimitExceeded {
        /// The task and its last error.
        source: RestartLimitExceeded,
    },
    /// The metrics and health endpoint could not be bound.
    #[snafu(transparent)]
    Monitor {
        /// The underlying error.
        source: MonitorError,
    },
    /// The metrics of the process could not be registered.
    #[snafu(display("cannot register the metrics of the process"))]
    Metrics {
        /// The error of the metrics library.
        source: prometheus::Error,
    },
    /// The signal handlers could not be installed.
    #[snafu(display("cannot listen for signals"))]
    Signals {
        /// The I/O error.
        source: std::io::Error,
    },
}

impl From<Infallible> for OpsError {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}
