//! The operator: changes and reads the configuration, takes availability zones out and puts them back in.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::Method;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::checker::Checker;
use crate::http::call;
use crate::network::{Host, Layout, controls, lock};

/// Address of the service `versions`.
pub const ORDERS_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
/// Address of the service `sheets`.
pub const SHEETS_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);

const CHANGE_INTERVAL: Duration = Duration::from_millis(400);
const READ_INTERVAL: Duration = Duration::from_millis(70);
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time within which a control host must return the configuration after recovery.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct Versions {
    sent: u64,
    accepted: u64,
}

/// Changes and reads the configuration through random control hosts.
#[derive(Debug)]
pub struct Operator {
    layout: Layout,
    checker: Arc<Checker>,
    versions: Mutex<Versions>,
}

fn document(version: u64) -> String {
    let route = |name: &str, address: SocketAddrV4, service: &str| {
        serde_json::json!({
            "name": name,
            "host": address.ip().to_string(),
            "path_prefix": format!("/{}/", address.port()),
            "timeout_ms": 3000 + version % 100,
            "target_latency_ms": 100,
            "priority": 1,
            "service": service,
        })
    };
    serde_json::json!({
        "version": version,
        "routes": [route("o", ORDERS_ADDRESS, "orders"), route("s", SHEETS_ADDRESS, "sheets")],
        "services": [{"name": "orders"}, {"name": "sheets"}],
        "limits": {"idle_timeout_ms": 15000},
    })
    .to_string()
}

impl Operator {
    /// Starts to change and to read the configuration until `stop` is cancelled.
    pub fn start(
        layout: Layout,
        checker: &Arc<Checker>,
        stop: &CancellationToken,
        seed: u64,
    ) -> Arc<Self> {
        let operator = Arc::new(Self {
            layout,
            checker: Arc::clone(checker),
            versions: Mutex::default(),
        });
        let [changes, reads] = [1, 2].map(|n| StdRng::seed_from_u64(seed.wrapping_add(n)));
        let this = Arc::clone(&operator);
        tokio::spawn(
            stop.clone()
                .run_until_cancelled_owned(this.run_changes(changes)),
        );
        let this = Arc::clone(&operator);
        tokio::spawn(
            stop.clone()
                .run_until_cancelled_owned(this.run_reads(reads)),
        );
        operator
    }

    fn address(&self, host: Host) -> SocketAddrV4 {
        SocketAddrV4::new(self.layout.bind_address(host), self.layout.control)
    }

    async fn run_changes(self: Arc<Self>, mut rng: StdRng) {
        loop {
            let version = {
                let mut versions = lock(&self.versions);
                versions.sent += rng.random_range(1..4);
                versions.sent
            };
            self.submit(&mut rng, Method::PUT, "/config", &document(version))
                .await;
            self.on_accepted(version);
            sleep(CHANGE_INTERVAL).await;
        }
    }

    fn on_accepted(&self, version: u64) {
        let accepted = &mut lock(&self.versions).accepted;
        *accepted = version.max(*accepted);
    }

    /// Sends a command to random control hosts until one accepts it. A client error is recorded as a finding and
    /// ends the attempts.
    async fn submit(&self, rng: &mut StdRng, method: Method, path: &str, body: &str) {
        loop {
            let host = controls().choose(rng).unwrap_or(1);
            let response = call(self.address(host), method.clone(), path, body.to_owned()).await;
            match response.map(|(status, _)| status) {
                Some(status) if status.is_success() => return,
                Some(status) if status.is_client_error() => {
                    let found = format!("host {host} rejected {method} {path}: {status}");
                    self.checker.add_finding(found);
                    return;
                }
                _ => sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Takes a zone out and puts it back in after `duration`.
    pub async fn evacuate(&self, mut rng: StdRng, zone: &str, duration: Duration) {
        let path = format!("/evacuations/{zone}");
        self.submit(&mut rng, Method::POST, &path, "").await;
        sleep(duration).await;
        self.submit(&mut rng, Method::DELETE, &path, "").await;
    }

    async fn run_reads(self: Arc<Self>, mut rng: StdRng) {
        loop {
            let host = controls().choose(&mut rng).unwrap_or(1);
            self.read_from(host).await;
            sleep(READ_INTERVAL).await;
        }
    }

    /// Reads the configuration from a host and returns whether it sent one. Its version must not be older than
    /// one that was accepted before the request.
    async fn read_from(&self, host: Host) -> bool {
        let accepted = lock(&self.versions).accepted;
        let response = call(self.address(host), Method::GET, "/config", "").await;
        let Some((_, body)) = response.filter(|(status, _)| status.is_success()) else {
            return false;
        };
        let read: Option<serde_json::Value> = serde_json::from_slice(&body).ok();
        let version = read.as_ref().and_then(|c| c["version"].as_u64());
        match version {
            Some(version) if version >= accepted => {
                if body != document(version).as_bytes() {
                    let found = format!("the content of configuration version {version} differs from the one that was written");
                    self.checker.add_finding(found);
                }
            }
            _ => self.checker.add_finding(format!(
                "host {host} returned configuration version {version:?} after {accepted} was accepted"
            )),
        }
        true
    }

    /// Checks that a control host returns the configuration within the time limit.
    pub async fn read_back(&self) {
        let started_at = Instant::now();
        while started_at.elapsed() < READ_BACK_TIMEOUT {
            for host in controls() {
                if self.read_from(host).await {
                    return;
                }
            }
        }
        self.checker.add_finding(format!(
            "no control host returned the configuration within {READ_BACK_TIMEOUT:?}"
        ));
    }
}
