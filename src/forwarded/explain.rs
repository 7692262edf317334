//! Questions to a node about where a new flow would go.
//!
//! The node's state machine is owned by its task, so questions reach it through a bounded channel. The task answers one
//! per tick: answers are never missing under load, and no number of questions delays packets by more than one answer
//! per tick.

use std::net::{AddrParseError, Ipv4Addr, SocketAddrV4};
use std::str::FromStr;
use std::time::{Duration, Instant};

use derive_more::{Display, From, Into};
use dogwoodrill_core::forwarded::explain::{
    AgentExplanation, BalancerExplanation, ExplainError, Query,
};
use snafu::{OptionExt, Snafu};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout_at;

pub mod wire;

/// Time within which a node answers: many of its ticks.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Questions that may wait for the node's task.
const CAPACITY: usize = 8;

/// Address of a caller; its port may be left out, which stands for any port of a new flow.
#[derive(Clone, Copy, Debug, Display, Eq, From, Into, PartialEq)]
pub struct CallerAddress(SocketAddrV4);

impl FromStr for CallerAddress {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let without_port = text.parse().map(|ip: Ipv4Addr| SocketAddrV4::new(ip, 0));
        without_port.or_else(|_| text.parse()).map(Self)
    }
}

/// The answer of a node.
#[derive(Clone, Debug, From, PartialEq)]
pub enum Explanation {
    /// Of a balancer.
    Balancer(BalancerExplanation),
    /// Of an agent.
    Agent(AgentExplanation),
}

/// Why a node gave no explanation.
#[derive(Debug, Snafu)]
pub enum AskError {
    /// Too many questions wait for the node's task, or it has stopped.
    #[snafu(display("the node is busy or stopping; ask again"))]
    Unavailable,
    /// The node's task did not answer in time.
    #[snafu(display("the node did not answer within {} ms", ANSWER_TIMEOUT.as_millis()))]
    Late,
    /// There is nothing to explain.
    #[snafu(transparent)]
    Explain {
        /// The reason.
        source: ExplainError,
    },
}

#[derive(Debug)]
struct Question {
    query: Query,
    deadline: Instant,
    reply: oneshot::Sender<Result<Explanation, ExplainError>>,
}

/// Passes questions to the task of a node.
#[derive(Clone, Debug)]
pub struct ExplainHandle {
    tx: mpsc::Sender<Question>,
}

/// The questions that wait for the task of a node.
#[derive(Debug)]
pub(super) struct Questions {
    rx: mpsc::Receiver<Question>,
}

/// Creates the channel between the HTTP endpoint and the task of a node.
pub(super) fn channel() -> (ExplainHandle, Questions) {
    let (tx, rx) = mpsc::channel(CAPACITY);
    (ExplainHandle { tx }, Questions { rx })
}

impl ExplainHandle {
    /// Asks the node where a new flow would go.
    pub async fn ask(&self, query: Query) -> Result<Explanation, AskError> {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let (reply, answer) = oneshot::channel();
        let question = Question {
            query,
            deadline,
            reply,
        };
        // Nothing waits for room: the question would be late.
        if self.tx.try_send(question).is_err() {
            return UnavailableSnafu.fail();
        }
        match timeout_at(deadline.into(), answer)
            .await
            .ok()
            .context(LateSnafu)?
        {
            Ok(explanation) => Ok(explanation?),
            Err(_) => UnavailableSnafu.fail(),
        }
    }
}

impl Questions {
    /// Answers the first question that somebody still waits for.
    pub(super) fn answer_one(
        &mut self,
        now: Instant,
        explain: impl FnOnce(&Query) -> Result<Explanation, ExplainError>,
    ) {
        while let Ok(question) = self.rx.try_recv() {
            if now < question.deadline && !question.reply.is_closed() {
                let explanation = explain(&question.query);
                // The other end may have gone in the meantime.
                drop(question.reply.send(explanation));
                return;
            }
        }
    }
}
