//! The channel by which the parts of a control host send requests to its driver.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill_consensus::store::file::{ClusterId, Identity};
use dogwoodrill_consensus::{Envelope, Handover, JoinError, Member, MemberId, Membership};
use dogwoodrill_core::changes::{Accepted, Change, CommandId};
use dogwoodrill_core::config::CommittedConfig;
use dogwoodrill_core::control_status::{ControlStatus, HostRefusal};
use dogwoodrill_core::ids::NodeId;
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Maximum number of inputs queued for the driver; senders wait while the queue is full.
const BACKLOG: usize = 4096;
/// Time that the driver has to reply, including the time for a majority to respond where the request
/// needs one.
const REPLY_TIMEOUT: Duration = Duration::from_millis(2500);

/// The driver did not reply in time, or has stopped.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the control host did not answer in time"))]
pub struct DriverUnavailable;

/// The identity of a host and the members of its cluster.
#[derive(Clone, Debug)]
pub struct HostMembership {
    /// The host and the cluster that its disk belongs to.
    pub identity: Identity,
    /// The members that it knows.
    pub membership: Membership,
    /// The current leader, if this host hears from one.
    pub leader: Option<MemberId>,
}

/// A message or request for the driver.
#[derive(Debug)]
pub enum Input {
    /// A message from another control host.
    Message {
        /// The sender's cluster.
        cluster: ClusterId,
        /// The address at which the sender listens.
        from: SocketAddr,
        /// The message.
        envelope: Envelope,
    },
    /// Commit a change.
    Propose {
        /// The operator's id of the command; `None` for a change made by the leader itself.
        id: Option<CommandId>,
        /// The change.
        change: Change,
        /// Receives the result.
        reply: oneshot::Sender<Result<Accepted, HostRefusal>>,
    },
    /// Read the configuration, no older than this request.
    Read {
        /// Receives the result.
        reply: oneshot::Sender<Result<Arc<CommittedConfig>, HostRefusal>>,
    },
    /// Read the status of the host.
    Status {
        /// Receives the status.
        reply: oneshot::Sender<ControlStatus>,
    },
    /// Read the identity of the host and the members of its cluster.
    HostMembership {
        /// Receives the identity and the members.
        reply: oneshot::Sender<HostMembership>,
    },
    /// Add a host to the cluster.
    Join {
        /// The host.
        member: Member,
        /// The cluster that the disk of the host belongs to; `None` if it is empty.
        cluster: Option<ClusterId>,
        /// The number of the host to replace; `None` lets the leader choose.
        replaces: Option<NodeId>,
        /// Receives the result.
        reply: oneshot::Sender<Result<(), JoinError>>,
    },
    /// Hand the place of a host that is about to stop over to a host that waits for one.
    Leave {
        /// The host.
        member: MemberId,
        /// The cluster that the disk of the host belongs to.
        cluster: Option<ClusterId>,
        /// Receives the progress.
        reply: oneshot::Sender<Result<Handover, JoinError>>,
    },
    /// Decide whether this host, which is about to stop, may end.
    MayStop {
        /// The last answer of a leader to its request to leave; `None` without one.
        answer: Option<Handover>,
        /// Receives the decision.
        reply: oneshot::Sender<bool>,
    },
    /// Bootstrap a cluster.
    Bootstrap {
        /// Its members.
        membership: Membership,
        /// Its id; `None` for a random one.
        cluster: Option<ClusterId>,
    },
}

/// Sends requests to the driver.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: mpsc::Sender<Input>,
}

/// Creates a handle and the receiver for the driver.
pub fn channel() -> (Handle, mpsc::Receiver<Input>) {
    let (inputs, driver) = mpsc::channel(BACKLOG);
    (Handle { inputs }, driver)
}

impl Handle {
    /// Commits a change. Without a reply in time the outcome is unknown.
    pub async fn propose(
        &self,
        id: Option<CommandId>,
        change: Change,
    ) -> Result<Accepted, HostRefusal> {
        let response = self
            .request(|reply| Input::Propose { id, change, reply })
            .await;
        response.unwrap_or(Err(HostRefusal::NoQuorum))
    }

    /// Reads the configuration, no older than this call.
    pub async fn read(&self) -> Result<Arc<CommittedConfig>, HostRefusal> {
        let response = self.request(|reply| Input::Read { reply }).await;
        response.unwrap_or(Err(HostRefusal::NoQuorum))
    }

    /// Reads the status of the host.
    pub async fn status(&self) -> Result<ControlStatus, DriverUnavailable> {
        self.request(|reply| Input::Status { reply }).await
    }

    /// Reads the identity of the host and the members of its cluster.
    pub async fn host_membership(&self) -> Result<HostMembership, DriverUnavailable> {
        self.request(|reply| Input::HostMembership { reply }).await
    }

    /// Adds a host to the cluster, if this host leads.
    pub async fn join(
        &self,
        member: Member,
        cluster: Option<ClusterId>,
        replaces: Option<NodeId>,
    ) -> Result<Result<(), JoinError>, DriverUnavailable> {
        let input = |reply| Input::Join {
            member,
            cluster,
            replaces,
            reply,
        };
        self.request(input).await
    }

    /// Hands the place of a host that is about to stop over to another one, if this host leads.
    pub async fn leave(
        &self,
        member: MemberId,
        cluster: Option<ClusterId>,
    ) -> Result<Result<Handover, JoinError>, DriverUnavailable> {
        let input = |reply| Input::Leave {
            member,
            cluster,
            reply,
        };
        self.request(input).await
    }

    /// Returns whether this host, which is about to stop, may end after the last `answer` of a leader.
    pub async fn may_stop(&self, answer: Option<Handover>) -> Result<bool, DriverUnavailable> {
        self.request(|reply| Input::MayStop { answer, reply }).await
    }

    /// Sends the driver an input that has no reply.
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
        let (reply, response) = oneshot::channel();
        let replied = async {
            self.send(input(reply)).await?;
            response.await.map_err(|_closed| DriverUnavailable)
        };
        timeout(REPLY_TIMEOUT, replied)
            .await
            .unwrap_or(Err(DriverUnavailable))
    }
}
