//! What operators ask of a control host.

use std::sync::Arc;

use bytes::Bytes;
use dogwoodrill_core::changes::{Change, CommittedValue, Refusal};
use dogwoodrill_core::config::{Document, Version, ZoneState, ZoneStatus};
use dogwoodrill_core::control_status::{ControlHost, HostRefusal};
use dogwoodrill_core::ids::AvailabilityZone;
use dogwoodrill_platform::calls::{self, OperatorCall};
use http::header::{HeaderValue, LOCATION};
use http::{Method, StatusCode};

use crate::cluster::Cluster;
use crate::control::handle::Handle;
use crate::http::{Answer, Reply, json, text};

/// Tries to change a zone that others change at the same time.
const ZONE_TRIES: u32 = 8;

/// Answers operators.
#[derive(Debug)]
pub(super) struct Calls {
    handle: Handle,
    cluster: Arc<Cluster>,
    port: u16,
}

impl Calls {
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
                let (index, stands) = (accepted.index, accepted.version);
                log::info!("configuration {version} accepted at index {index}, {stands} stands");
                json(StatusCode::OK, format!("{{\"version\":{stands}}}"))
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

    /// The version that the change must name is not the operator's to know, so it is looked up, and
    /// again when another change came first.
    async fn zone(&self, path: &str, zone: AvailabilityZone, status: ZoneStatus) -> Reply {
        let known = self.cluster.config().zones.get(&zone).map(|z| z.version);
        let mut version = known.unwrap_or_default();
        for _ in 0..ZONE_TRIES {
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
                log::info!("{path} not answered: {other:?}");
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

impl Answer for Calls {
    async fn answer(&self, method: Method, path: String, body: Bytes) -> Reply {
        match calls::parse_operator_call(&method, &path, body) {
            Ok(OperatorCall::PutConfig(document)) => self.put(&path, document).await,
            Ok(OperatorCall::GetConfig) => self.get(&path).await,
            Ok(OperatorCall::SetZoneStatus(zone, status)) => self.zone(&path, zone, status).await,
            Err(e) => {
                log::info!("refused {method} {path}: {e}");
                text(e.status(), format!("{e}\n"))
            }
        }
    }
}
