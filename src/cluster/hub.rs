//! The server side of links: accepts them and passes their messages to the driver.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use dogwoodrill_spread::message::{FreshnessQuery, LinkId};
use dogwoodrill_wire::proto::spread as wire;
use dogwoodrill_wire::proto::spread::spread_server::{Spread, SpreadServer};
use tokio::sync::{mpsc, oneshot};
use tokio_stream::Stream;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use super::Cluster;
use super::event::{Event, EventSender, LINK_BACKLOG, LinkSender};
use crate::transport::{self, Role};

/// The gRPC service for the links that other nodes dial.
#[derive(Debug)]
pub struct SpreadHub {
    events: EventSender,
    next_link: AtomicU64,
}

impl SpreadHub {
    /// Creates the gRPC server over one view of the cluster.
    pub fn server(cluster: &Arc<Cluster>) -> SpreadServer<Self> {
        let events = cluster.events();
        let next_link = AtomicU64::new(0);
        SpreadServer::new(Self { events, next_link })
            .max_decoding_message_size(super::MAX_FRAME_BYTES)
    }
}

#[tonic::async_trait]
impl Spread for SpreadHub {
    type LinkStream = Pin<Box<dyn Stream<Item = Result<wire::Frame, Status>> + Send>>;

    async fn link(
        &self,
        request: Request<Streaming<wire::Frame>>,
    ) -> Result<Response<Self::LinkStream>, Status> {
        transport::require_role(&request, Role::Node)?;
        let (tx, rx) = mpsc::channel(LINK_BACKLOG);
        let link = LinkId::Accepted(self.next_link.fetch_add(1, Ordering::Relaxed));
        let up = Event::LinkUp(link, LinkSender::Down(tx));
        self.events.send(up).await.map_err(|_e| node_stopping())?;
        tokio::spawn(receive(self.events.clone(), link, request.into_inner()));
        Ok(Response::new(Box::pin(ReceiverStream::new(rx))))
    }

    async fn ask(
        &self,
        request: Request<wire::Question>,
    ) -> Result<Response<wire::Answer>, Status> {
        transport::require_role(&request, Role::Node)?;
        let query = FreshnessQuery::try_from(request.into_inner())
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        let (tx, rx) = oneshot::channel();
        let event = Event::FreshnessQuery(query, tx);
        self.events
            .send(event)
            .await
            .map_err(|_e| node_stopping())?;
        let reply = rx.await.map_err(|_e| node_stopping())?;
        Ok(Response::new((&reply).into()))
    }
}

fn node_stopping() -> Status {
    Status::unavailable("the node is stopping")
}

/// Passes arriving messages to the driver until the link ends.
async fn receive(events: EventSender, link: LinkId, mut frames: Streaming<wire::Frame>) {
    while let Ok(Some(frame)) = frames.message().await {
        let event = match Event::message(link, frame) {
            Ok(event) => event,
            Err(e) => {
                log::warn!("closing a link ({link}) after a malformed message: {e}");
                break;
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
    drop(events.send(Event::LinkDown(link)).await);
}
