//! Control host, balancers and agent as separate processes, started as an operator starts them.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bytes::Bytes;
use dogwoodrill::agent::headers::{ATTEMPT, IDEMPOTENCY_KEY};
use dogwoodrill::credentials::read_chain;
use dogwoodrill_testkit::backend_server::BackendServer;
use dogwoodrill_testkit::caller::{Caller, OpenResponse};
use dogwoodrill_testkit::certificate::{Certificate, SERVER_NAME};
use dogwoodrill_testkit::fabric::Fabric;
use http::{Method, Request, StatusCode, request};
use insta::assert_debug_snapshot;
use tempfile::TempDir;
use tokio::time::{sleep, timeout};

use crate::cli::run;
use crate::support::HANG_GUARD;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const PORT_CONTROL: u16 = 7100;
const PORT_TUNNEL: u16 = 7200;
const PORT_PEER: u16 = 7300;
const PORT_ANNOUNCE: u16 = 7400;
const PORT_METRICS: u16 = 7500;
const PORT_SERVICE: u16 = 7443;

/// A daemon that is killed when the test ends.
struct Daemon(Child);

impl Daemon {
    fn start(dir: &Path, role: &str, name: &str, settings: &str) -> Self {
        let file = dir.join(format!("{name}.yaml"));
        fs::write(&file, settings).unwrap();
        let log = fs::File::create(dir.join(format!("{name}.log"))).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_dogwoodrill"))
            .arg(role)
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        Self(child)
    }

    /// Sends SIGTERM to the daemon.
    fn terminate(&self) {
        let id = self.0.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status().unwrap();
        assert!(sent.success(), "the signal was not sent");
    }

    fn is_running(&mut self) -> bool {
        self.0.try_wait().unwrap().is_none()
    }

    /// Waits until the daemon has ended and returns its exit code.
    async fn exit_code(&mut self) -> Option<i32> {
        let ended = async {
            loop {
                if let Some(status) = self.0.try_wait().unwrap() {
                    return status.code();
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(HANG_GUARD, ended).await.expect("the daemon ends")
    }

    fn kill(&mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Fails if the test has already killed the daemon.
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

/// Loopback addresses that no other test uses. The process id and a counter select the network; the host
/// number selects the address in it.
#[derive(Clone, Copy)]
struct Net(u8);

impl Net {
    const HOSTS: u8 = 8;

    fn new() -> Self {
        static NEXT: AtomicU8 = AtomicU8::new(0);
        Self(NEXT.fetch_add(Self::HOSTS, Ordering::Relaxed))
    }

    fn at(self, host: u8, port: u16) -> SocketAddr {
        let [_, _, a, b] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, a | 0x80, b, self.0 + host);
        SocketAddr::new(IpAddr::V4(ip), port)
    }
}

const INITIAL: &str = "\
zones: [las-piedras]
profiles:
  - name: orders
services:
  - id: 1
    name: orders
    profile: orders
    addresses: [192.0.2.1:443]
";

fn common(net: Net, n: u8, certificate: &str) -> String {
    format!(
        "\
node: {n}
zone: las-piedras
cluster_key: keys/cluster.key
tls:
  authority: keys/authority.pem
  certificate: keys/{certificate}.pem
  key: keys/{certificate}.key
metrics: {}
",
        net.at(n, PORT_METRICS)
    )
}

fn control(net: Net, dir: &Path) -> Daemon {
    fs::write(dir.join("initial.yaml"), INITIAL).unwrap();
    let settings = format!(
        "{}listen: {}\ninitial: initial.yaml\ndata: data\n",
        common(net, 1, "control"),
        net.at(1, PORT_CONTROL)
    );
    Daemon::start(dir, "control", "control", &settings)
}

fn balancer(net: Net, dir: &Path, n: u8) -> Daemon {
    let settings = format!(
        "{}parents: [{}]\ntunnel: {}\npeer: {}\nbind_instead: {}\n",
        common(net, n, "node"),
        net.at(1, PORT_CONTROL),
        net.at(n, PORT_TUNNEL),
        net.at(n, PORT_PEER),
        net.at(n, PORT_SERVICE)
    );
    Daemon::start(dir, "balancer", &format!("balancer-{n}"), &settings)
}

fn agent(net: Net, dir: &Path, n: u8) -> Daemon {
    let settings = format!(
        "{}parents: [{}]\ntunnel: {}\npeer: {}\nannounce: {}\nservice_certificate: keys/service-orders.pem\nservice_key: keys/service-orders.key\n",
        common(net, n, "node"),
        net.at(1, PORT_CONTROL),
        net.at(n, PORT_TUNNEL),
        net.at(n, PORT_PEER),
        net.at(n, PORT_ANNOUNCE)
    );
    Daemon::start(dir, "agent", &format!("agent-{n}"), &settings)
}

async fn announce(backend: &BackendServer, agent: SocketAddr) {
    let announced = async {
        while !matches!(
            backend.announce(agent, 1, "orders", 2, "boot-1").await,
            Ok(status) if status.is_success()
        ) {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(HANG_GUARD, announced)
        .await
        .expect("the agent takes the announcement");
}

/// Opens a flow as soon as the cluster is ready.
async fn connect(fabric: &Fabric, certificate: &Certificate) -> Caller {
    let connected = async {
        loop {
            if let Ok(caller) = Caller::connect(fabric.address(), certificate).await {
                return caller;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(HANG_GUARD, connected)
        .await
        .expect("a flow can be opened")
}

fn keys(dir: &Path) -> Certificate {
    let service = format!("orders={SERVER_NAME}");
    let made = run(
        dir,
        &["certs", "init", "--dir", "keys", "--service", &service],
    );
    assert!(made.ends_with("exit 0"), "{made}");
    let authority = read_chain(&dir.join("keys/authority.pem")).unwrap();
    Certificate {
        der: authority[0].clone(),
        ..Certificate::generate()
    }
}

fn request(method: Method, path: &str) -> request::Builder {
    let uri = format!("https://{SERVER_NAME}{path}");
    Request::builder().method(method).uri(uri)
}

/// Places one order as the interface for callers requires: retries with the same key and a higher attempt as
/// long as the service is unavailable.
async fn place_order(caller: &mut Caller) -> StatusCode {
    let key = uuid::Uuid::now_v7().to_string();
    let placed = async {
        for attempt in 1.. {
            let order = request(Method::POST, "/orders")
                .header(IDEMPOTENCY_KEY, &key)
                .header(ATTEMPT, attempt);
            let answer = caller.call(order.body(Bytes::new()).unwrap()).await;
            match answer.unwrap().status() {
                StatusCode::SERVICE_UNAVAILABLE => sleep(POLL_INTERVAL).await,
                status => return status,
            }
        }
        unreachable!("attempts do not run out")
    };
    timeout(HANG_GUARD, placed)
        .await
        .expect("the order is taken")
}

/// Returns the logs of all daemons, for the message of a failed test.
fn logs(dir: &TempDir) -> String {
    let paths = fs::read_dir(dir.path()).unwrap().map(|e| e.unwrap().path());
    let logs = paths.filter(|p| p.extension().is_some_and(|e| e == "log"));
    let texts = logs.map(|p| format!("{}:\n{}", p.display(), fs::read_to_string(&p).unwrap()));
    texts.collect::<Vec<_>>().join("\n")
}

/// A control host, a balancer and an agent, with an open status query at the backend server.
struct OpenQuery {
    agent: Daemon,
    backend: BackendServer,
    answer: OpenResponse,
    caller: Caller,
    _others: [Daemon; 2],
    _fabric: Fabric,
    _dir: TempDir,
}

impl OpenQuery {
    async fn start() -> Self {
        let (net, dir) = (Net::new(), tempfile::tempdir().unwrap());
        let certificate = keys(dir.path());
        let backend = BackendServer::start().await.unwrap();
        let others = [control(net, dir.path()), balancer(net, dir.path(), 2)];
        let agent = agent(net, dir.path(), 4);
        announce(&backend, net.at(4, PORT_ANNOUNCE)).await;
        let fabric = Fabric::start(vec![net.at(2, PORT_SERVICE)], 7)
            .await
            .unwrap();
        let mut caller = connect(&fabric, &certificate).await;
        let query = request(Method::GET, "/status").body(Bytes::new()).unwrap();
        let mut answer = caller.open(query).await.unwrap();
        answer.next_chunk().await.unwrap();
        Self {
            agent,
            backend,
            answer,
            caller,
            _others: others,
            _fabric: fabric,
            _dir: dir,
        }
    }

    /// Waits until the agent rejects new requests of the caller.
    async fn wait_until_draining(&mut self) {
        let sheet = request(Method::GET, "/sheets/1")
            .body(Bytes::new())
            .unwrap();
        while self.caller.call(sheet.clone()).await.is_ok() {
            sleep(POLL_INTERVAL).await;
        }
    }
}

#[tokio::test]
async fn p9_an_agent_that_is_told_to_stop_lets_an_open_query_end() {
    let mut open = OpenQuery::start().await;
    open.agent.terminate();
    open.wait_until_draining().await;
    let while_open = open.agent.is_running();
    open.backend.finish_status();
    let last = open.answer.read_rest().await;
    let result = (while_open, last.ok(), open.agent.exit_code().await);
    assert_debug_snapshot!(result, @r#"
    (
        true,
        Some(
            b"delivered\n",
        ),
        Some(
            0,
        ),
    )
    "#);
}

#[tokio::test]
async fn a_second_signal_ends_an_agent_at_once() {
    let mut open = OpenQuery::start().await;
    open.agent.terminate();
    open.wait_until_draining().await;
    open.agent.terminate();
    assert_eq!(open.agent.exit_code().await, Some(4));
}

#[tokio::test]
async fn separate_processes_serve_requests_and_outlive_a_balancer() {
    let (net, dir) = (Net::new(), tempfile::tempdir().unwrap());
    let certificate = keys(dir.path());
    let backend = BackendServer::start().await.unwrap();
    let _control = control(net, dir.path());
    let mut first = balancer(net, dir.path(), 2);
    let _second = balancer(net, dir.path(), 3);
    let _agent = agent(net, dir.path(), 4);
    announce(&backend, net.at(4, PORT_ANNOUNCE)).await;
    let fabric = Fabric::start(vec![net.at(2, PORT_SERVICE), net.at(3, PORT_SERVICE)], 7)
        .await
        .unwrap();
    let mut caller = connect(&fabric, &certificate).await;
    let order = place_order(&mut caller).await;
    let query = request(Method::GET, "/status").body(Bytes::new()).unwrap();
    let mut status = caller.open(query).await.unwrap();
    status.next_chunk().await.unwrap();
    first.kill();
    fabric.set_balancers(vec![net.at(3, PORT_SERVICE)]);
    backend.finish_status();
    let last = status.read_rest().await;
    let runs: Vec<_> = backend.request_counts().orders.into_values().collect();
    assert_debug_snapshot!((order, last.ok(), runs), &logs(&dir), @r#"
    (
        201,
        Some(
            b"delivered\n",
        ),
        [
            1,
        ],
    )
    "#);
}
