//! Agents with their backend servers; the test itself distributes their records and configuration.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dogwoodrill::agent::exchange;
use dogwoodrill::agent::quic::ServiceIdentity;
use dogwoodrill::agent::request::{Request, full};
use dogwoodrill::agent::{Agent, AgentOptions};
use dogwoodrill::cluster::Cluster;
use dogwoodrill::context::Cx;
use dogwoodrill_core::config::{
    ClaimGroup, ClaimReplicaId, CommittedConfig, Version, ZoneState, ZoneStatus,
};
use dogwoodrill_core::directory::Record;
use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_core::ids::BackendServerId;
use dogwoodrill_testkit::backend_server::BackendServer;
use dogwoodrill_testkit::certificate::Certificate;
use http::header::RETRY_AFTER;
use http_body_util::{BodyExt, Collected};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::support::{HANG_GUARD, ORDERS, any_port, initial_config};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Address on which no process listens.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// An agent and its backend server on one host.
pub struct Site {
    pub backend: BackendServer,
    pub announce: SocketAddr,
    pub cluster: Arc<Cluster>,
    path: Arc<dogwoodrill::agent::path::RequestContext>,
}

/// A response, as its caller sees it.
#[derive(Debug, Eq, PartialEq)]
pub struct CallerResponse {
    pub status: u16,
    pub verdict: Option<String>,
    pub next_attempt: Option<String>,
    pub replayed: bool,
    pub has_retry_after: bool,
    /// The body, or `None` if it is incomplete.
    pub body: Option<Bytes>,
}

impl CallerResponse {
    /// Formats everything but the body in one line.
    pub fn line(&self) -> String {
        let verdict = self.verdict.as_deref().unwrap_or("answered");
        let next = self.next_attempt.as_deref().unwrap_or("-");
        let flag = |set, text| if set { text } else { "" };
        format!(
            "{} {verdict} next {next}{}{}{}",
            self.status,
            flag(self.has_retry_after, ", come back"),
            flag(self.replayed, ", replayed"),
            flag(self.body.is_none(), ", broken off"),
        )
    }
}

pub struct Lab {
    pub sites: Vec<Site>,
    token: CancellationToken,
}

impl Drop for Lab {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

impl Lab {
    /// Starts one site in each zone of `zones`; all of them are claim replicas.
    pub async fn start(zones: &[&str]) -> Self {
        Self::with(zones, |_| {}).await
    }

    /// Does the same as [`Lab::start`], with changes to the configuration.
    pub async fn with(zones: &[&str], change: impl FnOnce(&mut CommittedConfig)) -> Self {
        let token = CancellationToken::new();
        let mut sites = Vec::new();
        let mut replicas = Vec::new();
        for (zone, number) in zones.iter().zip(1..) {
            let (site, replica) = start_site(&token, zone, number).await;
            sites.push(site);
            replicas.push(replica);
        }
        let mut config = initial_config();
        for profile in config.profiles.values_mut() {
            profile.cold_start = Duration::ZERO;
        }
        let group = ClaimGroup {
            service: ORDERS.id,
            epoch: ClaimGroup::FIRST_EPOCH,
            replicas,
            previous: Vec::new(),
        };
        config.claim_groups.insert(group.service, group);
        change(&mut config);
        let lab = Self { sites, token };
        lab.adopt(&config);
        for (site, number) in lab.sites.iter().zip(1..) {
            let answer = site
                .backend
                .announce(site.announce, number, ORDERS.name, 2, "boot-1");
            assert!(answer.await.unwrap().is_success());
        }
        lab.distribute_records().await;
        lab
    }

    /// Puts a configuration in force on all agents.
    pub fn adopt(&self, config: &CommittedConfig) {
        for site in &self.sites {
            site.cluster.adopt(config.clone());
        }
    }

    /// Takes a zone out.
    pub fn take_out(&self, zone: &str) {
        let mut config = (*self.sites[0].cluster.config()).clone();
        config.index = config.index.next();
        let state = ZoneState {
            name: zone.parse().unwrap(),
            version: Version::new(1),
            status: ZoneStatus::Out,
        };
        config.zones.insert(state.name.clone(), state);
        self.adopt(&config);
    }

    /// Sends every record to every agent, and waits until all agents have exchanged load reports.
    pub async fn distribute_records(&self) {
        let mut records = Vec::new();
        for site in &self.sites {
            let mut own = site.cluster.own_record();
            let own = timeout(HANG_GUARD, own.wait_for(Option::is_some)).await;
            records.push(own.unwrap().unwrap().clone().unwrap());
        }
        for site in &self.sites {
            for record in &records {
                site.cluster.merge(record.clone());
            }
        }
        for site in &self.sites {
            until(|| site.path.peers.reporting_count() + 1 >= self.sites.len()).await;
        }
    }

    /// Makes the agent of a site unreachable for the others.
    pub fn make_unreachable(&self, site: usize) {
        let record = self.sites[site].cluster.own_record().borrow().clone();
        let record = record.unwrap();
        let nowhere = Record {
            peer: UNUSED_ADDRESS,
            sequence: record.sequence.next(),
            ..record
        };
        for other in self.sites.iter().enumerate().filter(|(at, _)| *at != site) {
            other.1.cluster.merge(nowhere.clone());
        }
    }

    /// Starts a task that sends a request to a site and reads the whole response.
    pub fn send(&self, site: usize, req: http::Request<Bytes>) -> JoinHandle<CallerResponse> {
        let path = Arc::clone(&self.sites[site].path);
        tokio::spawn(async move {
            let req: Request = req.map(full);
            let response = exchange::respond(req, path).await;
            let (head, body) = response.into_parts();
            let text = |name: &str| {
                let value = head.headers.get(name)?;
                Some(value.to_str().unwrap().to_owned())
            };
            CallerResponse {
                status: head.status.as_u16(),
                verdict: text("dogwoodrill-verdict"),
                next_attempt: text("dogwoodrill-next-attempt"),
                replayed: text("dogwoodrill-replayed").is_some(),
                has_retry_after: head.headers.contains_key(RETRY_AFTER),
                body: body.collect().await.ok().map(Collected::to_bytes),
            }
        })
    }

    /// Sends a request and waits for the response.
    pub async fn call(&self, site: usize, req: http::Request<Bytes>) -> CallerResponse {
        timeout(HANG_GUARD, self.send(site, req))
            .await
            .unwrap()
            .unwrap()
    }

    /// Returns the number of runs of an order, over all backend servers.
    pub fn runs(&self, key: &str) -> u64 {
        let counts = self.sites.iter().map(|s| s.backend.request_counts());
        counts
            .map(|s| s.orders.get(key).copied().unwrap_or(0))
            .sum()
    }
}

async fn start_site(token: &CancellationToken, zone: &str, number: u32) -> (Site, ClaimReplicaId) {
    let key = ClusterKey::new(*b"a key for tests.");
    let cx = Cx::new(u64::from(number).into(), zone.parse().unwrap(), key);
    let replica = ClaimReplicaId {
        server: BackendServerId::new(number),
        incarnation: cx.incarnation,
    };
    let certificate = Certificate::generate();
    let options = AgentOptions {
        // No process listens there: the test distributes records and configuration itself.
        parents: vec![UNUSED_ADDRESS],
        tunnel: any_port(),
        advertised_tunnel: None,
        peer: any_port(),
        announce: any_port(),
        identity: ServiceIdentity {
            chain: vec![certificate.der],
            key: certificate.key,
        },
    };
    let agent = Agent::bind(cx, options).await.unwrap();
    let (announce, cluster) = (agent.announce_address().unwrap(), agent.cluster());
    let path = agent.request_context();
    tokio::spawn(agent.run(token.child_token()));
    let site = Site {
        backend: BackendServer::start().await.unwrap(),
        announce,
        cluster,
        path,
    };
    (site, replica)
}

/// Waits until `done` returns true.
pub async fn until(done: impl Fn() -> bool) {
    let poll = async {
        while !done() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(HANG_GUARD, poll).await.expect("it comes to pass");
}

/// Creates a key with the current time.
pub fn new_key() -> String {
    Uuid::now_v7().to_string()
}

/// Builds a POST request with these headers and a small body.
pub fn post(path: &str, headers: &[(&str, &str)]) -> http::Request<Bytes> {
    let mut req = http::Request::post(format!("https://service.test{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.body(Bytes::from_static(b"arch of 40 balloons"))
        .unwrap()
}

/// Builds the request for one attempt of an order.
pub fn order(key: &str, attempt: u32) -> http::Request<Bytes> {
    let attempt = attempt.to_string();
    post(
        "/orders",
        &[("idempotency-key", key), ("dogwoodrill-attempt", &attempt)],
    )
}
