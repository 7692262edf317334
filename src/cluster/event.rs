//! The events that the driver of a node handles.

use std::net::SocketAddr;

use dogwoodrill_spread::message::{FreshnessQuery, FreshnessReply, LinkId, Message};
use dogwoodrill_wire::convert::ConvertError;
use dogwoodrill_wire::proto::spread as wire;
use prost::Message as _;
use tokio::sync::{mpsc, oneshot};
use tonic::Status;

/// Frames that may be queued on one link. A slower child later receives only the state that it still
/// lacks.
pub const LINK_BACKLOG: usize = 64;

/// The sending half of a link.
#[derive(Clone, Debug)]
pub enum LinkSender {
    /// A link that another node dialled.
    Down(mpsc::Sender<Result<wire::Frame, Status>>),
    /// A link that this node dialled.
    Up(mpsc::Sender<wire::Frame>),
}

impl LinkSender {
    /// Sends a frame if the queue has space.
    pub fn try_send(&self, frame: wire::Frame) -> Result<(), BacklogFull> {
        let sent = match self {
            Self::Down(tx) => tx.try_send(Ok(frame)).is_ok(),
            Self::Up(tx) => tx.try_send(frame).is_ok(),
        };
        sent.then_some(()).ok_or(BacklogFull)
    }

    /// Waits until half the queue is free, or the link has ended.
    pub async fn has_room(&self) {
        match self {
            Self::Down(tx) => drop(tx.reserve_many(LINK_BACKLOG / 2).await),
            Self::Up(tx) => drop(tx.reserve_many(LINK_BACKLOG / 2).await),
        }
    }
}

/// The link's queue is full, or the link has ended.
#[derive(Clone, Copy, Debug)]
pub struct BacklogFull;

/// An event for the driver.
#[derive(Debug)]
pub enum Event {
    /// A link was established.
    LinkUp(LinkId, LinkSender),
    /// A message arrived.
    Message {
        /// The link on which it arrived.
        link: LinkId,
        /// The message.
        message: Message,
        /// Its encoded length in bytes.
        bytes: usize,
    },
    /// A link has ended.
    LinkDown(LinkId),
    /// The queue of a link that was full has space.
    Writable(LinkId),
    /// A freshness query was replied to, or not in time.
    FreshnessReply(SocketAddr, Option<FreshnessReply>),
    /// Another node sent a freshness query; the reply goes to the sender.
    FreshnessQuery(FreshnessQuery, oneshot::Sender<FreshnessReply>),
}

impl Event {
    /// Decodes a frame that arrived on a link.
    pub fn message(link: LinkId, frame: wire::Frame) -> Result<Self, ConvertError> {
        let bytes = frame.encoded_len();
        let message = frame.try_into()?;
        Ok(Self::Message {
            link,
            message,
            bytes,
        })
    }
}

/// Sends events to the driver.
pub type EventSender = mpsc::Sender<Event>;
