//! The service map of the committed configuration, which nodes fetch.

use std::sync::Arc;

use arc_swap::ArcSwap;
use dogwoodrill_core::config::{CommittedConfig, ZoneStatus};
use dogwoodrill_core::forwarded::service_map::ServiceMap;
use dogwoodrill_wire::proto::forwarded as wire;
use dogwoodrill_wire::proto::forwarded::service_maps_server::ServiceMaps;
use tonic::{Request, Response, Status};

use super::ParseDocument;

/// Holds the service map of the committed configuration and serves it to the nodes.
#[derive(Clone, Debug)]
pub(super) struct ServiceMapStore {
    pub(super) read: ParseDocument,
    pub(super) current: Arc<ArcSwap<wire::ServiceMap>>,
}

impl ServiceMapStore {
    pub(super) fn update(
        &self,
        config: &CommittedConfig,
    ) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
        let document = config.document.as_ref();
        let table = document.map(|d| (self.read)(&d.body)).transpose()?;
        let out = config
            .zones
            .values()
            .filter(|z| z.status == ZoneStatus::Out);
        let map = ServiceMap {
            index: config.index,
            table: table.map(Arc::new),
            zones_out: out.map(|z| z.name.clone()).collect(),
        };
        self.current.store(Arc::new((&map).into()));
        Ok(())
    }
}

#[tonic::async_trait]
impl ServiceMaps for ServiceMapStore {
    async fn fetch(
        &self,
        request: Request<wire::FetchRequest>,
    ) -> Result<Response<wire::ServiceMap>, Status> {
        let current = self.current.load_full();
        if current.config_index <= request.into_inner().config_index {
            return Err(Status::failed_precondition("nothing newer is known here"));
        }
        Ok(Response::new(wire::ServiceMap::clone(&current)))
    }
}
