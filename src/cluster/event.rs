//! What the driver of a node is told.

use std::net::SocketAddr;

use dogwoodrill_spread::message::{FreshnessQuery, FreshnessReply, LinkId, Message};
use dogwoodrill_wire::convert::ConvertError;
use dogwoodrill_wire::proto::spread as wire;
use prost::Message as _;
use tokio::sync::{mpsc, oneshot};
use tonic::Status;

/// Frames that may wait on one link; a child that is slower is told later what it lacks.
pub const LINK_BACKLOG: usize = 64;

/// The sending end of a link.
#[derive(Clone, Debug)]
pub enum LinkSender {
    /// Towards a node that dialled.
    Down(mpsc::Sender<Result<wire::Frame, Status>>),
    /// Towards a node that was dialled.
    Up(mpsc::Sender<wire::Frame>),
}

impl LinkSender {
    /// Sends if there is room.
    pub fn try_send(&self, frame: wire::Frame) -> Result<(), NoRoom> {
        let sent = match self {
            Self::Down(tx) => tx.try_send(Ok(frame)).is_ok(),
            Self::Up(tx) => tx.try_send(frame).is_ok(),
        };
        sent.then_some(()).ok_or(NoRoom)
    }

    /// Waits until half the backlog is free, or the link has ended.
    pub async fn has_room(&self) {
        match self {
            Self::Down(tx) => drop(tx.reserve_many(LINK_BACKLOG / 2).await),
            Self::Up(tx) => drop(tx.reserve_many(LINK_BACKLOG / 2).await),
        }
    }
}

/// The link's backlog is full, or the link has ended.
#[derive(Clone, Copy, Debug)]
pub struct NoRoom;

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// A link came up.
    Up(LinkId, LinkSender),
    /// A message came.
    Message {
        /// Over which link.
        link: LinkId,
        /// What it says.
        message: Message,
        /// Its length.
        bytes: usize,
    },
    /// A link has ended.
    Down(LinkId),
    /// A link that was congested has room.
    Writable(LinkId),
    /// A question was answered, or not.
    FreshnessReply(SocketAddr, Option<FreshnessReply>),
    /// Another node asks.
    FreshnessQuery(FreshnessQuery, oneshot::Sender<FreshnessReply>),
}

impl Event {
    /// Checks a frame that came over a link.
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

/// Tells the driver of the node.
pub type EventSender = mpsc::Sender<Event>;
