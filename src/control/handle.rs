//! How the parts of a control host ask its driver.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_consensus::store::file::{ClusterId, Identity};
use dogwoodrill_consensus::{Envelope, JoinError, Member, Membership};
use dogwoodrill_core::changes::{Accepted, Change, CommandId};
use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::control_status::{ControlStatus, HostRefusal};
use dogwoodrill_core::ids::NodeId;
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Inputs that may wait for the driver; beyond them senders wait.
const BACKLOG: usize = 4096;
/// Time that the driver, and where it needs one a majority, has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2500);

/// The driver did not answer in time, or has stopped.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the control host did not answer in time"))]
pub struct DriverUnavailable;

/// A host and the cluster that it is in.
#[derive(Clone, Debug)]
pub struct HostMembership {
    /// Whom its disk belongs to.
    pub identity: Identity,
    /// The members that it knows.
    pub membership: Membership,
}

/// What the driver is asked for.
#[derive(Debug)]
pub enum Input {
    /// A message of another control host.
    Message {
        /// The sender's cluster.
        cluster: ClusterId,
        /// Where the sender is reached.
        from: SocketAddr,
        /// The message.
        envelope: Envelope,
    },
    /// A change.
    Propose {
        /// The operator's id; none for a change of the leader.
        id: Option<CommandId>,
        /// The change.
        change: Change,
        /// Who waits.
        reply: oneshot::Sender<Result<Accepted, HostRefusal>>,
    },
    /// The configuration, no older than this.
    Read {
        /// Who waits.
        reply: oneshot::Sender<Result<Arc<CommittedConfig>, HostRefusal>>,
    },
    /// The host's standing.
    Status {
        /// Who waits.
        reply: oneshot::Sender<ControlStatus>,
    },
    /// The host's place.
    HostMembership {
        /// Who waits.
        reply: oneshot::Sender<HostMembership>,
    },
    /// A fresh host asks to take the place of another.
    Join {
        /// The host.
        member: Member,
        /// The number of the host that is replaced; none leaves it to the leader.
        replaces: Option<NodeId>,
        /// Who waits.
        reply: oneshot::Sender<Result<(), JoinError>>,
    },
    /// Found a cluster.
    Bootstrap {
        /// Its members.
        membership: Membership,
        /// Its id; none to draw one.
        cluster: Option<ClusterId>,
    },
}

/// Asks the driver.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: mpsc::Sender<Input>,
}

/// A handle and the driver's end of it.
pub fn channel() -> (Handle, mpsc::Receiver<Input>) {
    let (inputs, driver) = mpsc::channel(BACKLOG);
    (Handle { inputs }, driver)
}

impl Handle {
    /// Commits a change. Without an answer in time nothing is known of it.
    pub async fn propose(
        &self,
        id: Option<CommandId>,
        change: Change,
    ) -> Result<Accepted, HostRefusal> {
        let answer = self
            .request(|reply| Input::Propose { id, change, reply })
            .await;
        answer.unwrap_or(Err(HostRefusal::NoQuorum))
    }

    /// The configuration, no older than this call.
    pub async fn read(&self) -> Result<Arc<CommittedConfig>, HostRefusal> {
        let answer = self.request(|reply| Input::Read { reply }).await;
        answer.unwrap_or(Err(HostRefusal::NoQuorum))
    }

    /// The host's standing.
    pub async fn status(&self) -> Result<ControlStatus, DriverUnavailable> {
        self.request(|reply| Input::Status { reply }).await
    }

    /// The host's place.
    pub async fn host_membership(&self) -> Result<HostMembership, DriverUnavailable> {
        self.request(|reply| Input::HostMembership { reply }).await
    }

    /// Takes a fresh host in, if this host leads.
    pub async fn join(
        &self,
        member: Member,
        replaces: Option<NodeId>,
    ) -> Result<Result<(), JoinError>, DriverUnavailable> {
        let input = |reply| Input::Join {
            member,
            replaces,
            reply,
        };
        self.request(input).await
    }

    /// Hands the driver something that has no answer.
    pub async fn send(&self, input: Input) -> Result<(), DriverUnavailable> {
        self.inputs
            .send(input)
            .await
            .map_err(|_closed| DriverUnavailable)
    }

    async fn request<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<T>) -> Input,
    ) -> Result<T, DriverUnavailable> {
        let (reply, answer) = oneshot::channel();
        let asked = async {
            self.send(input(reply)).await?;
            answer.await.map_err(|_closed| DriverUnavailable)
        };
        timeout(ANSWER_TIMEOUT, asked)
            .await
            .unwrap_or(Err(DriverUnavailable))
    }
}
