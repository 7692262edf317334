//! The client side of links: dials them and passes their messages to the driver.

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

/// Why a link failed.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// The peer could not be reached.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// The peer's address.
        address: SocketAddr,
        /// The error of the transport.
        source: tonic::transport::Error,
    },
    /// The peer refused or ended the link.
    #[snafu(display("the peer ended the link"))]
    Peer {
        /// The gRPC status that the peer returned.
        #[snafu(source(from(Status, Box::new)))]
        source: Box<Status>,
    },
    /// The peer sent a malformed message.
    #[snafu(display("the peer sent a malformed message"))]
    Malformed {
        /// The error of the conversion.
        source: ConvertError,
    },
    /// The stream ended without an error.
    #[snafu(display("the peer closed the link"))]
    Closed,
}

/// Runs a dialled link until it ends.
pub(super) async fn dial(cx: Cx, events: EventSender, link: LinkId, to: SocketAddr) {
    if let Err(e) = run(&cx, &events, link, to).await {
        log::debug!("link to {to} ({link}) ended: {e}");
    }
    drop(events.send(Event::LinkDown(link)).await);
}

async fn run(cx: &Cx, events: &EventSender, link: LinkId, to: SocketAddr) -> Result<(), LinkError> {
    let channel = transport::connect(cx, to)
        .await
        .context(ConnectSnafu { address: to })?;
    let (tx, rx) = mpsc::channel(LINK_BACKLOG);
    let mut client = SpreadClient::new(channel).max_decoding_message_size(super::MAX_FRAME_BYTES);
    let response = client.link(ReceiverStream::new(rx)).await;
    let down = response.context(PeerSnafu)?.into_inner();
    let up = Event::LinkUp(link, LinkSender::Up(tx));
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

/// Sends a freshness query to a node and reports the reply, or that there was none, to the driver.
pub(super) async fn query_freshness(
    cx: Cx,
    events: EventSender,
    query: FreshnessQuery,
    to: SocketAddr,
) {
    let reply = timeout(REPLY_TIMEOUT, send_query(&cx, &query, to)).await;
    let reply = match reply {
        Ok(Ok(reply)) => Some(reply),
        Ok(Err(e)) => {
            log::debug!("no reply from {to} to a freshness query: {e}");
            None
        }
        Err(_late) => None,
    };
    drop(events.send(Event::FreshnessReply(to, reply)).await);
}

async fn send_query(
    cx: &Cx,
    query: &FreshnessQuery,
    to: SocketAddr,
) -> Result<FreshnessReply, LinkError> {
    let channel = transport::connect(cx, to)
        .await
        .context(ConnectSnafu { address: to })?;
    let mut client = SpreadClient::new(channel);
    let response = client.ask(wire::Question::from(query)).await;
    let reply = response.context(PeerSnafu)?.into_inner();
    reply.try_into().context(MalformedSnafu)
}
