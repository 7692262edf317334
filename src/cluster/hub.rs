//! The upper end of links: accepts them and hands what comes to the driver.

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

/// Serves the links of the nodes below.
#[derive(Debug)]
pub struct SpreadHub {
    events: EventSender,
    next: AtomicU64,
}

impl SpreadHub {
    /// Makes the server of a hub over one view of the cluster.
    pub fn server(cluster: &Arc<Cluster>) -> SpreadServer<Self> {
        let events = cluster.events();
        let next = AtomicU64::new(0);
        SpreadServer::new(Self { events, next }).max_decoding_message_size(super::MAX_FRAME_BYTES)
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
        let link = LinkId::Accepted(self.next.fetch_add(1, Ordering::Relaxed));
        let up = Event::Up(link, LinkSender::Down(tx));
        self.events.send(up).await.map_err(|_e| stopping())?;
        tokio::spawn(receive(self.events.clone(), link, request.into_inner()));
        Ok(Response::new(Box::pin(ReceiverStream::new(rx))))
    }

    async fn ask(
        &self,
        request: Request<wire::Question>,
    ) -> Result<Response<wire::Answer>, Status> {
        transport::require_role(&request, Role::Node)?;
        let question = FreshnessQuery::try_from(request.into_inner())
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        let (tx, rx) = oneshot::channel();
        let event = Event::FreshnessQuery(question, tx);
        self.events.send(event).await.map_err(|_e| stopping())?;
        let answer = rx.await.map_err(|_e| stopping())?;
        Ok(Response::new((&answer).into()))
    }
}

fn stopping() -> Status {
    Status::unavailable("the node is stopping")
}

/// Hands on what comes from below until the link ends.
async fn receive(events: EventSender, link: LinkId, mut frames: Streaming<wire::Frame>) {
    while let Ok(Some(frame)) = frames.message().await {
        let event = match Event::message(link, frame) {
            Ok(event) => event,
            Err(e) => {
                log::warn!("{link} sent a malformed message and is ended: {e}");
                break;
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
    drop(events.send(Event::Down(link)).await);
}
