//! The operators' side of the control hosts: a typed client that tries them in turn.
//!
//! A command carries an id. Where an answer is lost, the host is not the leader or no majority answers,
//! the client sends the same command with the same id to the next host, until a deadline; the control
//! hosts see to it that the command counts once. An error says whether the change was accepted.
//!
//! The lead of one `profile apply`: [`OperatorClient::config`] reads the profiles, the operator edits
//! one, [`OperatorClient::apply`] sends it with the version it was read at, and
//! [`OperatorClient::confirmations`] tells which nodes have the accepted index in force.

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

/// Pause after every control host was tried once.
const ROUND_DELAY: Duration = Duration::from_millis(200);
/// Time that one host has to answer before the next is tried.
const HOST_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a command was not done.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// No control host was named.
    #[snafu(display("no control host is named; give the address of one"))]
    NoHost,
    /// The control hosts decided against the change; nothing was changed.
    #[snafu(transparent)]
    Refused {
        /// Why.
        source: Refusal,
    },
    /// The disk of the leader is full; nothing was changed.
    #[snafu(display(
        "the change was not accepted: the disk of control host {host} is full; make room and try again"
    ))]
    DiskFull {
        /// The host.
        host: SocketAddr,
    },
    /// The client's certificate does not carry the operator role; nothing was changed.
    #[snafu(display("control host {host} refused the certificate: {problem}"))]
    NotAllowed {
        /// The host.
        host: SocketAddr,
        /// What the host said.
        problem: String,
    },
    /// Nobody who could decide answered before the deadline.
    #[snafu(display("no control host answered in time ({tried}); {}", unanswered(*command_id)))]
    Unanswered {
        /// The command, which may have been accepted; none for a read.
        command_id: Option<CommandId>,
        /// What each host tried last said.
        tried: String,
    },
    /// A control host sent something malformed.
    #[snafu(display("control host {host} sent a malformed answer"))]
    Malformed {
        /// The host.
        host: SocketAddr,
        /// What is wrong with it.
        source: ConvertError,
    },
    /// The change is none that operators may ask for.
    #[snafu(display("operators change profiles and zones only"))]
    NotForOperators {
        /// What is wrong with it.
        source: ConvertError,
    },
}

fn unanswered(command_id: Option<CommandId>) -> String {
    command_id.map_or_else(
        || "try again".to_owned(),
        |id| format!("the change may have been accepted: send it again with command id {id}"),
    )
}

/// One try at one host: an answer, or why the next host should be tried.
enum Attempt<T> {
    Answer(T),
    /// The host has not taken the command in.
    NotAccepted(String),
    /// The host may have taken the command in.
    Unknown(String),
    /// The host refuses changes; true of the command only if no host tried before may have taken it.
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
    /// Makes a client of `hosts`; a command that nobody answers is given up after `timeout`.
    pub fn new(cx: Cx, hosts: Vec<SocketAddr>, timeout: Duration) -> Result<Self, OperatorError> {
        ensure!(!hosts.is_empty(), NoHostSnafu);
        Ok(Self { cx, hosts, timeout })
    }

    /// A fresh command id.
    pub fn new_command_id() -> CommandId {
        CommandId::new(wall_clock(), &rand::random())
    }

    /// The committed configuration, no older than this call: profiles, services and zones.
    pub async fn config(&self) -> Result<CommittedConfig, OperatorError> {
        self.try_hosts(None, |host| self.read_at(host)).await
    }

    /// Asks for a change of a profile or a zone. The version in it is the one it was read at.
    pub async fn apply(&self, id: CommandId, change: &Change) -> Result<Accepted, OperatorError> {
        let change = change.try_into().context(NotForOperatorsSnafu)?;
        let req = wire::ApplyRequest {
            command_id: id.to_string(),
            change: Some(change),
        };
        self.try_hosts(Some(id), |host| self.apply_at(host, req.clone()))
            .await
    }

    /// Which nodes have `index` in force, as far as the control host that answers has heard.
    pub async fn confirmations(&self, index: LogIndex) -> Result<Confirmations, OperatorError> {
        self.try_hosts(None, |host| self.confirmations_at(host, index))
            .await
    }

    /// The standing of the first control host that answers.
    pub async fn status(&self) -> Result<ControlStatus, OperatorError> {
        self.try_hosts(None, |host| self.status_at(host)).await
    }

    /// The standing of each control host, in the order they were named; an error stands for a host
    /// that does not answer. Needs no quorum.
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

/// A call that failed: another host may do better, unless the certificate is at fault.
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
