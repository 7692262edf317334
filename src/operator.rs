//! Client of the control hosts for operators. It tries the hosts in turn.
//!
//! Every command has an id. If a response is lost, the host is not the leader or there is no quorum, the
//! client sends the same command with the same id to the next host, until a deadline. The control hosts
//! deduplicate commands by id, so that a command takes effect at most once. An error states whether the
//! change may have been accepted.
//!
//! Example of `profile apply`: [`OperatorClient::config`] reads the profiles, the operator edits one,
//! [`OperatorClient::apply`] sends it with the version that it was read at, and
//! [`OperatorClient::confirmations`] returns which nodes have the accepted index in force.

use std::net::SocketAddr;
use std::time::Duration;

use dogwoodrill_core::changes::{Accepted, Change, CommandId, Refusal};
use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::control_status::{ControlStatus, HostRefusal};
use dogwoodrill_core::ids::LogIndex;
use dogwoodrill_spread::progress::Confirmations;
use dogwoodrill_wire::convert::ConvertError;
use dogwoodrill_wire::proto::operator as wire;
use dogwoodrill_wire::proto::operator::operator_client::OperatorClient as WireClient;
use snafu::{ResultExt, Snafu, ensure};
use tokio::time::{Instant, sleep, timeout_at};
use tonic::transport::Channel;
use tonic::{Code, Status};

use crate::context::{Cx, wall_clock};
use crate::transport;

/// Delay after each round of attempts at all control hosts.
const ROUND_DELAY: Duration = Duration::from_millis(200);
/// Timeout of an attempt at one host, after which the next host is tried.
const HOST_TIMEOUT: Duration = Duration::from_secs(3);

/// Error of a command.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The list of control hosts is empty.
    #[snafu(display("no control host is given; give the address of at least one"))]
    NoHost,
    /// The control hosts refused the change; nothing was changed.
    #[snafu(transparent)]
    Refused {
        /// The reason.
        source: Refusal,
    },
    /// The disk of the leader is full; nothing was changed.
    #[snafu(display(
        "the change was not accepted: the disk of control host {host} is full; make room and try again"
    ))]
    DiskFull {
        /// Address of the control host.
        host: SocketAddr,
    },
    /// The client's certificate does not carry the operator role; nothing was changed.
    #[snafu(display("control host {host} refused the certificate: {problem}"))]
    NotAllowed {
        /// Address of the control host.
        host: SocketAddr,
        /// The message of the host.
        problem: String,
    },
    /// No control host that could decide on the command responded before the deadline.
    #[snafu(display("no control host answered in time ({tried}); {}", unanswered(*command_id)))]
    Unanswered {
        /// Id of the command, which may have been accepted; `None` for a read.
        command_id: Option<CommandId>,
        /// The last failure of each host.
        tried: String,
    },
    /// A control host sent a malformed response.
    #[snafu(display("control host {host} sent a malformed answer"))]
    Malformed {
        /// Address of the control host.
        host: SocketAddr,
        /// The conversion error.
        source: ConvertError,
    },
    /// Operators cannot make changes of this type.
    #[snafu(display("operators change profiles and zones only"))]
    NotForOperators {
        /// The conversion error.
        source: ConvertError,
    },
}

fn unanswered(command_id: Option<CommandId>) -> String {
    command_id.map_or_else(
        || "try again".to_owned(),
        |id| format!("the change may have been accepted: send it again with command id {id}"),
    )
}

/// Result of an attempt at one host: a response, or the reason to try the next host.
enum Attempt<T> {
    Answer(T),
    /// The host has not accepted the command.
    NotAccepted(String),
    /// The host may have accepted the command.
    Unknown(String),
    /// The host refuses changes because its disk is full. This only decides the command if no host tried
    /// before may have accepted it.
    DiskFull,
}

type AttemptResult<T> = Result<Attempt<T>, OperatorError>;

/// A client of the control hosts.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    cx: Cx,
    hosts: Vec<SocketAddr>,
    timeout: Duration,
}

impl OperatorClient {
    /// Creates a client of `hosts`. A command without a response fails after `timeout`.
    pub fn new(cx: Cx, hosts: Vec<SocketAddr>, timeout: Duration) -> Result<Self, OperatorError> {
        ensure!(!hosts.is_empty(), NoHostSnafu);
        Ok(Self { cx, hosts, timeout })
    }

    /// Creates a new command id.
    pub fn new_command_id() -> CommandId {
        CommandId::new(wall_clock(), &rand::random())
    }

    /// Reads the committed configuration (profiles, services and zones). It is at least as recent as the call.
    pub async fn config(&self) -> Result<CommittedConfig, OperatorError> {
        self.try_hosts(None, |host| self.read_at(host)).await
    }

    /// Sends a change of a profile or a zone. The version in it must be the one that it was read at.
    pub async fn apply(&self, id: CommandId, change: &Change) -> Result<Accepted, OperatorError> {
        let change = change.try_into().context(NotForOperatorsSnafu)?;
        let req = wire::ApplyRequest {
            command_id: id.to_string(),
            change: Some(change),
        };
        self.try_hosts(Some(id), |host| self.apply_at(host, req.clone()))
            .await
    }

    /// Returns which nodes have `index` in force, as far as known to the control host that responds.
    pub async fn confirmations(&self, index: LogIndex) -> Result<Confirmations, OperatorError> {
        self.try_hosts(None, |host| self.confirmations_at(host, index))
            .await
    }

    /// Returns the status of the first control host that responds.
    pub async fn status(&self) -> Result<ControlStatus, OperatorError> {
        self.try_hosts(None, |host| self.status_at(host)).await
    }

    /// Returns the status of each control host in the order given, with an error for a host that does not
    /// respond. Needs no quorum.
    pub async fn status_of_each(&self) -> Vec<(SocketAddr, Result<ControlStatus, OperatorError>)> {
        let mut all = Vec::new();
        for host in &self.hosts {
            let one = Self {
                hosts: vec![*host],
                ..self.clone()
            };
            all.push((*host, one.status().await));
        }
        all
    }

    async fn try_hosts<T, F, Fut>(&self, id: Option<CommandId>, call: F) -> Result<T, OperatorError>
    where
        F: Fn(SocketAddr) -> Fut,
        Fut: Future<Output = AttemptResult<T>>,
    {
        let deadline = Instant::now() + self.timeout;
        let mut in_doubt = false;
        let mut tried = vec!["not tried".to_owned(); self.hosts.len()];
        while Instant::now() < deadline {
            for (last_failure, host) in tried.iter_mut().zip(&self.hosts) {
                let host_deadline = deadline.min(Instant::now() + HOST_TIMEOUT);
                let outcome = timeout_at(host_deadline, call(*host)).await;
                let no_response = || Ok(Attempt::Unknown("no answer".to_owned()));
                let why = match outcome.unwrap_or_else(|_elapsed| no_response())? {
                    Attempt::Answer(answer) => return Ok(answer),
                    Attempt::NotAccepted(why) => why,
                    Attempt::DiskFull if !in_doubt => return DiskFullSnafu { host: *host }.fail(),
                    Attempt::DiskFull => HostRefusal::DiskFull.to_string(),
                    Attempt::Unknown(why) => {
                        in_doubt = true;
                        why
                    }
                };
                *last_failure = format!("{host}: {why}");
            }
            sleep(ROUND_DELAY).await;
        }
        UnansweredSnafu {
            command_id: id,
            tried: tried.join("; "),
        }
        .fail()
    }

    async fn apply_at(&self, host: SocketAddr, req: wire::ApplyRequest) -> AttemptResult<Accepted> {
        use wire::apply_response::Answer;
        let mut client = match self.connect(host).await {
            Ok(client) => client,
            Err(why) => return Ok(Attempt::NotAccepted(why)),
        };
        let answer = match client.apply(req).await {
            Ok(answer) => answer.into_inner().answer,
            Err(status) => return failed(host, &status),
        };
        match answer.ok_or(NO_ANSWER).context(MalformedSnafu { host })? {
            Answer::Accepted(accepted) => Ok(Attempt::Answer(accepted.into())),
            Answer::Refusal(refusal) => refused(host, refusal),
        }
    }

    async fn read_at(&self, host: SocketAddr) -> AttemptResult<CommittedConfig> {
        use wire::read_response::Answer;
        let mut client = match self.connect(host).await {
            Ok(client) => client,
            Err(why) => return Ok(Attempt::NotAccepted(why)),
        };
        let answer = match client.read(wire::ReadRequest {}).await {
            Ok(answer) => answer.into_inner().answer,
            Err(status) => return failed(host, &status),
        };
        match answer.ok_or(NO_ANSWER).context(MalformedSnafu { host })? {
            Answer::Config(config) => {
                let config = config.try_into().context(MalformedSnafu { host })?;
                Ok(Attempt::Answer(config))
            }
            Answer::Refusal(refusal) => refused(host, refusal),
        }
    }

    async fn confirmations_at(
        &self,
        host: SocketAddr,
        index: LogIndex,
    ) -> AttemptResult<Confirmations> {
        let mut client = match self.connect(host).await {
            Ok(client) => client,
            Err(why) => return Ok(Attempt::NotAccepted(why)),
        };
        let req = wire::ConfirmationsRequest {
            index: index.into(),
        };
        match client.confirmations(req).await {
            Ok(answer) => {
                let confirmations = answer.into_inner().try_into();
                Ok(Attempt::Answer(
                    confirmations.context(MalformedSnafu { host })?,
                ))
            }
            Err(status) => failed(host, &status),
        }
    }

    async fn status_at(&self, host: SocketAddr) -> AttemptResult<ControlStatus> {
        let mut client = match self.connect(host).await {
            Ok(client) => client,
            Err(why) => return Ok(Attempt::NotAccepted(why)),
        };
        match client.status(wire::StatusRequest {}).await {
            Ok(answer) => {
                let status = answer.into_inner().try_into();
                Ok(Attempt::Answer(status.context(MalformedSnafu { host })?))
            }
            Err(status) => failed(host, &status),
        }
    }

    async fn connect(&self, host: SocketAddr) -> Result<WireClient<Channel>, String> {
        let channel = transport::connect(&self.cx, host).await;
        channel
            .map(WireClient::new)
            .map_err(|_source| "cannot connect".to_owned())
    }
}

const NO_ANSWER: ConvertError = ConvertError::Missing { field: "answer" };

/// Converts the status of a failed call. The next host is tried unless the certificate or the request was
/// rejected.
fn failed<T>(host: SocketAddr, status: &Status) -> AttemptResult<T> {
    let problem = status.message().to_owned();
    match status.code() {
        Code::PermissionDenied | Code::Unauthenticated => NotAllowedSnafu { host, problem }.fail(),
        Code::InvalidArgument => Err(OperatorError::Refused {
            source: Refusal::Invalid {
                field: "request".to_owned(),
                problem,
            },
        }),
        _ => Ok(Attempt::Unknown(problem)),
    }
}

fn refused<T>(host: SocketAddr, refusal: wire::Refusal) -> AttemptResult<T> {
    let refusal = HostRefusal::try_from(refusal).context(MalformedSnafu { host })?;
    match refusal {
        HostRefusal::Refused(source) => Err(OperatorError::Refused { source }),
        HostRefusal::DiskFull => Ok(Attempt::DiskFull),
        HostRefusal::NotLeader(_) => Ok(Attempt::NotAccepted(refusal.to_string())),
        HostRefusal::NoQuorum => Ok(Attempt::Unknown(refusal.to_string())),
    }
}
