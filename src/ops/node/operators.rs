//! HTTP calls of operators to a control host.

use std::sync::Arc;

use bytes::Bytes;
use dogwoodrill_core::changes::{Change, CommittedValue, Refusal};
use dogwoodrill_core::config::{Document, Version, ZoneState, ZoneStatus};
use dogwoodrill_core::control_status::{ControlHost, HostRefusal};
use dogwoodrill_core::ids::AvailabilityZone;
use dogwoodrill_platform::calls::{self, OperatorCall};
use http::header::{HeaderValue, LOCATION};
use http::{Method, StatusCode, Uri};

use crate::cluster::Cluster;
use crate::control::handle::Handle;
use crate::http::{HttpHandler, Reply, json, text};

/// Maximum number of attempts to change a zone that is changed concurrently.
const MAX_ZONE_ATTEMPTS: u32 = 8;

/// Handles the calls of operators.
#[derive(Debug)]
pub(super) struct CallHandler {
    handle: Handle,
    cluster: Arc<Cluster>,
    port: u16,
}

impl CallHandler {
    pub(super) const fn new(handle: Handle, cluster: Arc<Cluster>, port: u16) -> Self {
        Self {
            handle,
            cluster,
            port,
        }
    }

    async fn put(&self, path: &str, document: Document) -> Reply {
        let version = document.version;
        let accepted = self.handle.propose(None, Change::Document(document)).await;
        match accepted {
            Ok(accepted) => {
                let (index, current_version) = (accepted.index, accepted.version);
                log::info!(
                    "configuration {version} accepted at index {index}, current version {current_version}"
                );
                json(StatusCode::OK, format!("{{\"version\":{current_version}}}"))
            }
            Err(refusal) => self.refuse(path, &refusal),
        }
    }

    async fn get(&self, path: &str) -> Reply {
        match self.handle.read().await {
            Ok(config) => match &config.document {
                Some(document) => json(StatusCode::OK, document.body.clone()),
                None => text(StatusCode::NOT_FOUND, "there is no configuration yet\n"),
            },
            Err(refusal) => self.refuse(path, &refusal),
        }
    }

    /// Changes the status of a zone. Operators do not give the version that the change must name, so it is
    /// read from the configuration, and taken from the refusal if another change was committed first.
    async fn zone(&self, path: &str, zone: AvailabilityZone, status: ZoneStatus) -> Reply {
        let known = self.cluster.config().zones.get(&zone).map(|z| z.version);
        let mut version = known.unwrap_or_default();
        for _ in 0..MAX_ZONE_ATTEMPTS {
            let state = ZoneState {
                name: zone.clone(),
                version,
                status,
            };
            match self.handle.propose(None, Change::Zone(state)).await {
                Ok(accepted) => {
                    log::info!("zone {zone} {status} accepted at index {}", accepted.index);
                    return json(StatusCode::OK, "{}");
                }
                Err(HostRefusal::Refused(Refusal::VersionConflict { current })) => match current {
                    CommittedValue::Zone(current) => version = current.version,
                    _ => version = Version::default(),
                },
                Err(refusal) => return self.refuse(path, &refusal),
            }
        }
        text(
            StatusCode::SERVICE_UNAVAILABLE,
            "others change the zone; try again\n",
        )
    }

    fn refuse(&self, path: &str, refusal: &HostRefusal) -> Reply {
        match refusal {
            HostRefusal::NotLeader(Some(leader)) => self.redirect(path, leader),
            other => {
                log::info!("cannot complete the call {path}: {other:?}");
                text(StatusCode::SERVICE_UNAVAILABLE, "not sure; ask again\n")
            }
        }
    }

    fn redirect(&self, path: &str, leader: &ControlHost) -> Reply {
        let location = format!("http://{}:{}{path}", leader.address.ip(), self.port);
        let mut reply = text(StatusCode::TEMPORARY_REDIRECT, "ask the leader\n");
        if let Ok(location) = HeaderValue::from_str(&location) {
            reply.headers_mut().insert(LOCATION, location);
        }
        reply
    }
}

impl HttpHandler for CallHandler {
    async fn handle(&self, method: Method, uri: Uri, body: Bytes) -> Reply {
        let path = uri.path();
        match calls::parse_operator_call(&method, path, body) {
            Ok(OperatorCall::PutConfig(document)) => self.put(path, document).await,
            Ok(OperatorCall::GetConfig) => self.get(path).await,
            Ok(OperatorCall::SetZoneStatus(zone, status)) => self.zone(path, zone, status).await,
            Err(e) => {
                log::info!("refused {method} {path}: {e}");
                text(e.status(), format!("{e}\n"))
            }
        }
    }
}
