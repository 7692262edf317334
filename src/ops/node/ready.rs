//! HTTP health check of a process of the platform.

use bytes::Bytes;
use dogwoodrill_platform::calls::READY_PATH;
use http::{Method, StatusCode, Uri};
use tokio::sync::watch;

use crate::http::{HttpHandler, Reply, text};

/// Handles the health check.
#[derive(Debug)]
pub(super) struct Ready {
    ready: watch::Receiver<bool>,
}

impl Ready {
    pub(super) const fn new(ready: watch::Receiver<bool>) -> Self {
        Self { ready }
    }
}

impl HttpHandler for Ready {
    async fn handle(&self, _method: Method, uri: Uri, _body: Bytes) -> Reply {
        match (uri.path(), *self.ready.borrow()) {
            (READY_PATH, true) => text(StatusCode::OK, "ready\n"),
            (READY_PATH, false) => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            _ => text(
                StatusCode::NOT_FOUND,
                format!("not found; the health check is {READY_PATH}\n"),
            ),
        }
    }
}
