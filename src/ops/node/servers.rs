//! HTTP calls of the local backend server to its agent.

use bytes::Bytes;
use dogwoodrill_core::forwarded::server::ServerStatement;
use dogwoodrill_core::forwarded::service_map::ServiceLabel;
use dogwoodrill_platform::calls::{self, ServerCall};
use http::{Method, StatusCode, Uri};

use crate::forwarded::agent::ServerHandle;
use crate::http::{HttpHandler, Reply, json, text};

/// Handles the calls of the local backend server.
#[derive(Debug)]
pub(super) struct CallHandler {
    handle: ServerHandle,
    service: Option<ServiceLabel>,
}

impl CallHandler {
    pub(super) const fn new(handle: ServerHandle, service: Option<ServiceLabel>) -> Self {
        Self { handle, service }
    }

    /// Whether a report is from the backend server of this agent. A report of another server must not be
    /// taken for one of the local server.
    fn is_own(&self, statement: &ServerStatement) -> bool {
        let service = self.service.as_ref();
        let same_service = service.is_none_or(|service| *service == statement.service);
        statement.address == self.handle.server_address() && same_service
    }
}

impl HttpHandler for CallHandler {
    async fn handle(&self, method: Method, uri: Uri, body: Bytes) -> Reply {
        let path = uri.path();
        let call = match calls::parse_server_call(&method, path, &body) {
            Ok(call) => call,
            Err(e) => {
                log::warn!("refused {method} {path}: {e}");
                return text(e.status(), format!("{e}\n"));
            }
        };
        let done = match call {
            ServerCall::Report(statement) if !self.is_own(&statement) => {
                let (id, address) = (&statement.id, statement.address);
                log::warn!(
                    "refused a report of {id} at {address}, which is not the backend server of this agent"
                );
                return text(
                    StatusCode::BAD_REQUEST,
                    "this server is not the backend server of this agent\n",
                );
            }
            ServerCall::Report(statement) => self.handle.report(statement).await.is_some(),
            ServerCall::Leave(id) => self.handle.leave(&id).await.is_some(),
        };
        if done {
            json(StatusCode::OK, "{}")
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, "the agent is stopping\n")
        }
    }
}
