//! What the backend server beside an agent says.

use bytes::Bytes;
use dogwoodrill_core::forwarded::server::ServerStatement;
use dogwoodrill_core::forwarded::service_map::ServiceLabel;
use dogwoodrill_platform::calls::{self, ServerCall};
use http::{Method, StatusCode};

use crate::forwarded::agent::ServerHandle;
use crate::http::{Answer, Reply, json, text};

/// Answers a backend server.
#[derive(Debug)]
pub(super) struct Calls {
    handle: ServerHandle,
    service: Option<ServiceLabel>,
}

impl Calls {
    pub(super) const fn new(handle: ServerHandle, service: Option<ServiceLabel>) -> Self {
        Self { handle, service }
    }

    /// A report of somebody else must not pass for one of the server beside this agent.
    fn is_own(&self, statement: &ServerStatement) -> bool {
        let service = self.service.as_ref();
        let same_service = service.is_none_or(|service| *service == statement.service);
        statement.address == self.handle.server_address() && same_service
    }
}

impl Answer for Calls {
    async fn answer(&self, method: Method, path: String, body: Bytes) -> Reply {
        let call = match calls::parse_server_call(&method, &path, &body) {
            Ok(call) => call,
            Err(e) => {
                log::warn!("refused {method} {path}: {e}");
                return text(e.status(), format!("{e}\n"));
            }
        };
        let done = match call {
            ServerCall::Report(statement) if !self.is_own(&statement) => {
                let (id, address) = (&statement.id, statement.address);
                log::warn!("refused a report of {id} at {address}, which is not beside this agent");
                return text(
                    StatusCode::BAD_REQUEST,
                    "this server is not beside this agent\n",
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
