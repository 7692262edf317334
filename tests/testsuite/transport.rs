//! Mutual TLS between processes: which roles may connect and call.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use dogwoodrill::context::Cx;
use dogwoodrill::credentials::{CredentialFiles, Credentials, Security};
use dogwoodrill::ops::certs_init;
use dogwoodrill::transport::{self, Role, dial, require_role};
use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_wire::proto::spread::spread_client::SpreadClient;
use dogwoodrill_wire::proto::spread::spread_server::{Spread, SpreadServer};
use dogwoodrill_wire::proto::spread::{Answer, Frame, Question};
use insta::assert_snapshot;
use rstest::rstest;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_stream::Empty;
use tokio_util::sync::{CancellationToken, DropGuard};
use tonic::service::Routes;
use tonic::{Request, Response, Status, Streaming};

use crate::certs::options;

/// A service that requires the role operator.
struct OperatorsOnly;

#[tonic::async_trait]
impl Spread for OperatorsOnly {
    type LinkStream = Empty<Result<Frame, Status>>;

    async fn ask(&self, request: Request<Question>) -> Result<Response<Answer>, Status> {
        require_role(&request, Role::Operator)?;
        Ok(Response::new(Answer::default()))
    }

    async fn link(
        &self,
        request: Request<Streaming<Frame>>,
    ) -> Result<Response<Self::LinkStream>, Status> {
        require_role(&request, Role::Operator)?;
        Ok(Response::new(tokio_stream::empty()))
    }
}

fn files(dir: &Path, name: &str) -> CredentialFiles {
    CredentialFiles {
        authority: dir.join("authority.pem"),
        certificate: dir.join(format!("{name}.pem")),
        key: dir.join(format!("{name}.key")),
    }
}

pub fn mtls(dir: &Path, name: &str) -> Security {
    Security::Mtls(Arc::new(Credentials::load(files(dir, name)).unwrap()))
}

fn authority() -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    certs_init(&options(dir.path())).unwrap();
    dir
}

async fn serve(security: Security) -> (SocketAddr, DropGuard) {
    let key = ClusterKey::new(*b"a key for tests.");
    let cx = Cx::new(1.into(), "gent".parse().unwrap(), key).secured(security);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let token = CancellationToken::new();
    let stop = token.clone();
    let routes = Routes::new(SpreadServer::new(OperatorsOnly));
    tokio::spawn(async move { transport::serve(&cx, Arc::new(listener), routes, stop).await });
    (address, token.drop_guard())
}

/// Returns the result of a request: `through`, the message of a rejection by role, or `no connection`.
async fn outcome(security: &Security, address: SocketAddr) -> String {
    let Ok(channel) = transport::connect_with(security, address).await else {
        return "no connection".to_owned();
    };
    match SpreadClient::new(channel).link(tokio_stream::empty()).await {
        Ok(_) => "through".to_owned(),
        Err(e) if e.code() == tonic::Code::PermissionDenied => e.message().to_owned(),
        Err(_) => "no connection".to_owned(),
    }
}

#[tokio::test]
async fn a_port_for_operators_lets_only_operators_through() {
    let (ours, theirs) = (authority(), authority());
    let (address, _stop) = serve(mtls(ours.path(), "control")).await;
    let mut lines = Vec::new();
    for name in ["operator", "control", "node", "service-orders"] {
        let security = mtls(ours.path(), name);
        lines.push(format!("{name}: {}", outcome(&security, address).await));
    }
    let foreign = mtls(theirs.path(), "operator");
    lines.push(format!(
        "operator of another authority: {}",
        outcome(&foreign, address).await
    ));
    let plain = outcome(&Security::Plaintext, address).await;
    lines.push(format!("plaintext: {plain}"));
    assert_snapshot!(lines.join("\n"), @"
    operator: through
    control: this needs a certificate with the role operator; yours has control
    node: this needs a certificate with the role operator; yours has node
    service-orders: no connection
    operator of another authority: no connection
    plaintext: no connection
    ");
}

#[rstest]
#[case::operator("operator")]
#[case::service("service-orders")]
#[tokio::test]
async fn a_server_without_the_role_of_a_node_is_rejected(#[case] name: &str) {
    let ours = authority();
    let (address, _stop) = serve(mtls(ours.path(), name)).await;
    let result = outcome(&mtls(ours.path(), "operator"), address).await;
    assert_eq!(result, "no connection");
}

#[rstest]
#[case(Role::Node, Role::Node, true)]
#[case(Role::Control, Role::Node, true)]
#[case(Role::Node, Role::Control, false)]
#[case(Role::Operator, Role::Node, false)]
#[case(Role::Service, Role::Node, false)]
#[case(Role::Control, Role::Operator, false)]
fn a_held_role_satisfies_the_required_role(
    #[case] held: Role,
    #[case] required: Role,
    #[case] through: bool,
) {
    assert_eq!(held.satisfies(required), through);
}

#[tokio::test]
async fn renewed_files_are_used_for_the_next_connection() {
    let (ours, fresh) = (authority(), authority());
    let credentials = Arc::new(Credentials::load(files(ours.path(), "control")).unwrap());
    let (address, _stop) = serve(Security::Mtls(Arc::clone(&credentials))).await;
    let (old, new) = (
        mtls(ours.path(), "operator"),
        mtls(fresh.path(), "operator"),
    );
    assert!(!credentials.reload().unwrap(), "nothing has changed yet");
    for name in ["authority.pem", "control.pem", "control.key"] {
        std::fs::copy(fresh.path().join(name), ours.path().join(name)).unwrap();
    }
    let before = (outcome(&old, address).await, outcome(&new, address).await);
    assert!(
        credentials.reload().unwrap(),
        "the certificate is another one"
    );
    let after = (outcome(&old, address).await, outcome(&new, address).await);
    assert_eq!(
        (before.0.as_str(), before.1.as_str()),
        ("through", "no connection")
    );
    assert_eq!(
        (after.0.as_str(), after.1.as_str()),
        ("no connection", "through")
    );
}

#[tokio::test]
async fn broken_files_leave_the_loaded_certificate_in_use() {
    let ours = authority();
    let credentials = Arc::new(Credentials::load(files(ours.path(), "control")).unwrap());
    let (address, _stop) = serve(Security::Mtls(Arc::clone(&credentials))).await;
    let operator = mtls(ours.path(), "operator");
    std::fs::write(ours.path().join("control.pem"), "half a fi").unwrap();
    credentials.reload().unwrap_err();
    assert_eq!(outcome(&operator, address).await, "through");
}

/// A host becomes reachable while a connection attempt hangs: the next attempt reaches it. A host that refuses
/// the connection is not dialled again.
#[tokio::test(start_paused = true)]
async fn a_connection_attempt_that_hangs_is_retried() {
    let start = Instant::now();
    let up_at = start + Duration::from_millis(250);
    let attempt = || async {
        if Instant::now() < up_at {
            std::future::pending::<()>().await;
        }
        Ok(())
    };
    dial(attempt).await.unwrap();
    assert_eq!(start.elapsed(), Duration::from_millis(300));
    let refused = || async { Err::<(), _>(io::Error::from(ErrorKind::ConnectionRefused)) };
    let start = Instant::now();
    assert!(dial(refused).await.is_err());
    assert_eq!(start.elapsed(), Duration::ZERO);
}
