//! Queries the control hosts and the agents for a burn report.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::directory::{MemberId, MemberState, Record, Role};
use dogwoodrill_core::ids::{BackendServerId, ServiceId, ServiceName};
use dogwoodrill_core::slo::{AgentMinutes, Minute};
use dogwoodrill_wire::convert::ConvertError;
use dogwoodrill_wire::proto::report as wire;
use dogwoodrill_wire::proto::report::report_client::ReportClient;
use futures_util::{StreamExt, stream};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::time::timeout;

use super::model::{BurnReport, ServiceBurn, window_lengths};
use crate::context::{Cx, wall_clock};
use crate::operator::{OperatorClient, OperatorError};
use crate::settings::operator::OperatorSettings;
use crate::settings::{self, SettingsError};
use crate::transport;

/// Maximum number of agents queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 64;
/// Timeout of a query to one node.
const NODE_TIMEOUT: Duration = Duration::from_secs(5);

/// Options of `report burn`.
#[derive(Clone, Debug)]
pub struct BurnOptions {
    /// The operator's settings file.
    pub config: PathBuf,
    /// The service to report on; all services if not given.
    pub service: Option<ServiceName>,
    /// Length of time that the charts cover.
    pub shown: Duration,
    /// File to write the HTML page to.
    pub html: Option<PathBuf>,
}

/// Error of `report burn`.
#[derive(Debug, Snafu)]
pub enum ReportError {
    /// The settings file is invalid.
    #[snafu(transparent)]
    Settings {
        /// The underlying error.
        source: SettingsError,
    },
    /// The configuration could not be read.
    #[snafu(transparent)]
    Operator {
        /// The underlying error.
        source: OperatorError,
    },
    /// No control host returned the members of the cluster.
    #[snafu(display(
        "no control host returned the members of the cluster; last tried {host}: {problem}"
    ))]
    Members {
        /// The control host that was tried last.
        host: SocketAddr,
        /// Its error.
        problem: String,
    },
    /// The given service does not exist.
    #[snafu(display("there is no service {service}; there are {known}"))]
    NoService {
        /// The given service.
        service: ServiceName,
        /// The existing services.
        known: String,
    },
    /// The page could not be rendered.
    #[snafu(transparent)]
    Page {
        /// The underlying error.
        source: crate::ops::page::PageError,
    },
    /// The page could not be written.
    #[snafu(display("cannot write {}", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
}

/// Creates the report, and writes its page if `options.html` is set.
pub async fn report_burn(options: BurnOptions) -> Result<BurnReport, ReportError> {
    let settings: OperatorSettings = settings::read(&options.config)?;
    let cx = settings.cx()?;
    let hosts = settings.control.clone();
    let client = OperatorClient::new(cx.clone(), hosts, settings.timeout)?;
    let config = client.config().await?;
    let services = services(&config, options.service.as_ref())?;
    let members = members(&cx, &settings.control).await?;
    let servers = servers(&members, &services);
    let minutes = options.shown.as_secs() / 60;
    let now = wall_clock();
    let shown = Minute::of(now).before(minutes)..Minute::of(now);
    let responses = query_agents(&cx, &members, &services, shown.start).await;
    let burn = |service: &ServiceId| {
        let expected = servers.get(service).cloned().unwrap_or_default();
        ServiceBurn::new(&config, *service, &expected, &responses, shown.clone())
    };
    let report = BurnReport {
        made_at: now,
        since: shown.start,
        services: services.iter().filter_map(burn).collect(),
    };
    if let Some(path) = &options.html {
        let html = report.to_page().to_html()?;
        std::fs::write(path, html).context(WriteSnafu { path })?;
    }
    Ok(report)
}

fn services(
    config: &CommittedConfig,
    wanted: Option<&ServiceName>,
) -> Result<BTreeSet<ServiceId>, ReportError> {
    let Some(wanted) = wanted else {
        return Ok(config.services.keys().copied().collect());
    };
    let known = || {
        let names = config.services.values().map(|s| s.name.as_str());
        names.collect::<Vec<_>>().join(", ")
    };
    let service = config
        .service_named(wanted)
        .with_context(|| NoServiceSnafu {
            service: wanted.clone(),
            known: known(),
        })?;
    Ok(BTreeSet::from([service.id]))
}

async fn members(cx: &Cx, hosts: &[SocketAddr]) -> Result<Vec<Record>, ReportError> {
    let mut last = None;
    for host in hosts {
        let response = timeout(NODE_TIMEOUT, members_of(cx, *host)).await;
        match response.unwrap_or_else(|_elapsed| Err("no response in time".to_owned())) {
            Ok(members) => return Ok(members),
            Err(problem) => last = Some((*host, problem)),
        }
    }
    let (host, problem) = last.expect("the settings name at least one control host");
    MembersSnafu { host, problem }.fail()
}

async fn members_of(cx: &Cx, host: SocketAddr) -> Result<Vec<Record>, String> {
    let channel = transport::connect(cx, host).await;
    let channel = channel.map_err(|e| crate::ops::one_line(&e))?;
    let answer = ReportClient::new(channel)
        .members(wire::MembersRequest {})
        .await;
    let mut chunks = answer.map_err(|s| s.message().to_owned())?.into_inner();
    let mut members = Vec::new();
    while let Some(chunk) = chunks.message().await.map_err(|s| s.message().to_owned())? {
        for record in chunk.records {
            let record = Record::try_from(record);
            members.push(record.map_err(|e: ConvertError| e.to_string())?);
        }
    }
    Ok(members)
}

/// Returns the backend servers of each service that have not left.
fn servers(
    members: &[Record],
    services: &BTreeSet<ServiceId>,
) -> BTreeMap<ServiceId, BTreeSet<BackendServerId>> {
    let mut servers: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for (record, server, service) in agents(members, services) {
        if record.state != MemberState::Left {
            servers.entry(service).or_default().insert(server);
        }
    }
    servers
}

fn agents<'a>(
    members: &'a [Record],
    services: &'a BTreeSet<ServiceId>,
) -> impl Iterator<Item = (&'a Record, BackendServerId, ServiceId)> {
    members
        .iter()
        .filter_map(|record| match (record.member, &record.role) {
            (MemberId::BackendServer(server), Role::BackendServer { service, .. })
                if services.contains(service) =>
            {
                Some((record, server, *service))
            }
            _ => None,
        })
}

/// Queries all agents. Agents that do not respond are omitted from the result.
async fn query_agents(
    cx: &Cx,
    members: &[Record],
    services: &BTreeSet<ServiceId>,
    since: Minute,
) -> Vec<AgentMinutes> {
    let agents = agents(members, services).map(|(record, ..)| record.peer);
    stream::iter(agents)
        .map(|address| timeout(NODE_TIMEOUT, query_agent(cx, address, since)))
        .buffer_unordered(MAX_CONCURRENT_QUERIES)
        .filter_map(|response| async { response.ok().flatten() })
        .collect()
        .await
}

async fn query_agent(cx: &Cx, address: SocketAddr, since: Minute) -> Option<AgentMinutes> {
    let channel = transport::connect(cx, address).await.ok()?;
    let req = wire::MinutesRequest {
        windows: window_lengths(),
        since: since.get(),
    };
    let answer = ReportClient::new(channel).minutes(req).await.ok()?;
    answer.into_inner().try_into().ok()
}
