//! The operator: changes the configuration, reads it, takes availability zones out and back.

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

/// Address of the service `orders`.
pub const ORDERS_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
/// Address of the service `sheets`.
pub const SHEETS_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);

const CHANGE_PAUSE: Duration = Duration::from_millis(400);
const READ_PAUSE: Duration = Duration::from_millis(70);
const CALL_AGAIN: Duration = Duration::from_millis(100);
/// Time for an order or a read when all is well.
const CALM_LIMIT: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct Orders {
    sent: u64,
    accepted: u64,
}

/// The operator.
#[derive(Debug)]
pub struct Operator {
    layout: Layout,
    checker: Arc<Checker>,
    orders: Mutex<Orders>,
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
    /// Starts to change and to read.
    pub fn start(
        layout: Layout,
        checker: &Arc<Checker>,
        stop: &CancellationToken,
        seed: u64,
    ) -> Arc<Self> {
        let operator = Arc::new(Self {
            layout,
            checker: Arc::clone(checker),
            orders: Mutex::default(),
        });
        let [changes, reads] = [1, 2].map(|n| StdRng::seed_from_u64(seed.wrapping_add(n)));
        let this = Arc::clone(&operator);
        tokio::spawn(stop.clone().run_until_cancelled_owned(this.change(changes)));
        let this = Arc::clone(&operator);
        tokio::spawn(stop.clone().run_until_cancelled_owned(this.read(reads)));
        operator
    }

    fn address(&self, host: Host) -> SocketAddrV4 {
        SocketAddrV4::new(self.layout.own(host), self.layout.control)
    }

    async fn change(self: Arc<Self>, mut rng: StdRng) {
        loop {
            let version = {
                let mut orders = lock(&self.orders);
                orders.sent += rng.random_range(1..4);
                orders.sent
            };
            self.order(&mut rng, Method::PUT, "/config", &document(version))
                .await;
            self.on_accepted(version);
            sleep(CHANGE_PAUSE).await;
        }
    }

    fn on_accepted(&self, version: u64) {
        let accepted = &mut lock(&self.orders).accepted;
        *accepted = version.max(*accepted);
    }

    /// Sends an order again, to any host, until it is accepted.
    async fn order(&self, rng: &mut StdRng, method: Method, path: &str, body: &str) {
        loop {
            let host = controls().choose(rng).unwrap_or(1);
            let answer = call(self.address(host), method.clone(), path, body.to_owned()).await;
            match answer.map(|(status, _)| status) {
                Some(status) if status.is_success() => return,
                Some(status) if status.is_client_error() => {
                    let found = format!("host {host} refused {method} {path}: {status}");
                    self.checker.find(found);
                    return;
                }
                _ => sleep(CALL_AGAIN).await,
            }
        }
    }

    /// Takes a zone out, and after a while in again.
    pub async fn evacuate(&self, mut rng: StdRng, zone: &str, span: Duration) {
        let path = format!("/evacuations/{zone}");
        self.order(&mut rng, Method::POST, &path, "").await;
        sleep(span).await;
        self.order(&mut rng, Method::DELETE, &path, "").await;
    }

    async fn read(self: Arc<Self>, mut rng: StdRng) {
        loop {
            let host = controls().choose(&mut rng).unwrap_or(1);
            self.read_at(host).await;
            sleep(READ_PAUSE).await;
        }
    }

    /// Whether the host told a configuration; what it told must not be older than what was accepted
    /// before it was asked.
    async fn read_at(&self, host: Host) -> bool {
        let accepted = lock(&self.orders).accepted;
        let answer = call(self.address(host), Method::GET, "/config", "").await;
        let Some((_, body)) = answer.filter(|(status, _)| status.is_success()) else {
            return false;
        };
        let read: Option<serde_json::Value> = serde_json::from_slice(&body).ok();
        let version = read.as_ref().and_then(|c| c["version"].as_u64());
        match version {
            Some(version) if version >= accepted => {
                if body != document(version).as_bytes() {
                    let found = format!("version {version} is read back with another content");
                    self.checker.find(found);
                }
            }
            _ => self.checker.find(format!(
                "host {host} told version {version:?} after {accepted} was accepted"
            )),
        }
        true
    }

    /// At the end the configuration must come.
    pub async fn read_back(&self) {
        let began_at = Instant::now();
        while began_at.elapsed() < CALM_LIMIT {
            for host in controls() {
                if self.read_at(host).await {
                    return;
                }
            }
        }
        self.checker.find(format!(
            "no host told the configuration within {CALM_LIMIT:?}"
        ));
    }
}
