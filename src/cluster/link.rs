//! The lower end of links: dials them and hands what comes to the driver.

use std::net::SocketAddr;

use dogwoodrill_spread::inquiry::REPLY_TIMEOUT;
use dogwoodrill_spread::message::{FreshnessQuery, FreshnessReply, LinkId};
use dogwoodrill_wire::convert::ConvertError;
use dogwoodrill_wire::proto::spread as wire;
use dogwoodrill_wire::proto::spread::spread_client::SpreadClient;
use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Status, Streaming};

use super::driver;
use super::event::{Event, EventSender, LINK_BACKLOG, LinkSender};
use crate::context::Cx;
use crate::transport;

pub use driver::{DriveError, run_control_node, run_node};

/// Why a link broke.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// The peer could not be reached.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// The peer's address.
        address: SocketAddr,
        /// What the transport said.
        source: tonic::transport::Error,
    },
    /// The peer refused or ended the link.
    #[snafu(display("the peer ended the link"))]
    Peer {
        /// What the peer said.
        #[snafu(source(from(Status, Box::new)))]
        source: Box<Status>,
    },
    /// The peer sent something malformed.
    #[snafu(display("the peer sent a malformed message"))]
    Malformed {
        /// What is wrong with it.
        source: ConvertError,
    },
    /// The stream ended without an error.
    #[snafu(display("the peer closed the link"))]
    Closed,
}

/// Runs a dialled link until it ends.
pub(super) async fn dial(cx: Cx, events: EventSender, link: LinkId, to: SocketAddr) {
    if let Err(e) = run(&cx, &events, link, to).await {
        log::debug!("{link} to {to} ended: {e}");
    }
    drop(events.send(Event::Down(link)).await);
}

async fn run(cx: &Cx, events: &EventSender, link: LinkId, to: SocketAddr) -> Result<(), LinkError> {
    let channel = transport::connect(cx, to)
        .await
        .context(ConnectSnafu { address: to })?;
    let (tx, rx) = mpsc::channel(LINK_BACKLOG);
    let mut client = SpreadClient::new(channel).max_decoding_message_size(super::MAX_FRAME_BYTES);
    let response = client.link(ReceiverStream::new(rx)).await;
    let down = response.context(PeerSnafu)?.into_inner();
    let up = Event::Up(link, LinkSender::Up(tx));
    events.send(up).await.ok().ok_or(LinkError::Closed)?;
    receive(events, link, down).await
}

async fn receive(
    events: &EventSender,
    link: LinkId,
    mut frames: Streaming<wire::Frame>,
) -> Result<(), LinkError> {
    while let Some(frame) = frames.message().await.context(PeerSnafu)? {
        let event = Event::message(link, frame).context(MalformedSnafu)?;
        events.send(event).await.ok().ok_or(LinkError::Closed)?;
    }
    ClosedSnafu.fail()
}

/// Asks a node how fresh it is.
pub(super) async fn query_freshness(
    cx: Cx,
    events: EventSender,
    question: FreshnessQuery,
    to: SocketAddr,
) {
    let answer = timeout(REPLY_TIMEOUT, answer(&cx, &question, to)).await;
    let answer = match answer {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(e)) => {
            log::debug!("{to} did not answer: {e}");
            None
        }
        Err(_late) => None,
    };
    drop(events.send(Event::FreshnessReply(to, answer)).await);
}

async fn answer(
    cx: &Cx,
    question: &FreshnessQuery,
    to: SocketAddr,
) -> Result<FreshnessReply, LinkError> {
    let channel = transport::connect(cx, to)
        .await
        .context(ConnectSnafu { address: to })?;
    let mut client = SpreadClient::new(channel);
    let response = client.ask(wire::Question::from(question)).await;
    let answer = response.context(PeerSnafu)?.into_inner();
    answer.try_into().context(MalformedSnafu)
}
