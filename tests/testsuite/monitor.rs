//! Metrics and health over HTTP, and the limit on repeated log lines.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dogwoodrill::agent::metrics::RequestMetrics;
use dogwoodrill::balancer::health::FabricHealth;
use dogwoodrill::cluster::Cluster;
use dogwoodrill::cluster::metrics::SpreadMetrics;
use dogwoodrill::context::Cx;
use dogwoodrill::logs::{Decision, LogLocation, RepeatLimit};
use dogwoodrill::monitor::{Health, Monitor, ProcessMetrics};
use dogwoodrill::packet_metrics::PacketMetrics;
use dogwoodrill_core::flow::ClusterKey;
use insta::assert_snapshot;
use prometheus::Registry;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::support::{any_port, initial_config};

/// Sends a GET request and returns the status line and body of the response.
pub async fn get(address: SocketAddr, path: &str) -> (String, String) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let req = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    stream.write_all(req.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    let status = head.lines().next().unwrap();
    (status.to_owned(), body.to_owned())
}

struct MonitoredNode {
    address: SocketAddr,
    cluster: Arc<Cluster>,
    stop: CancellationToken,
}

async fn start_monitored() -> MonitoredNode {
    let key = ClusterKey::new(*b"a key for tests.");
    let cx = Cx::new(1.into(), "gent".parse().unwrap(), key);
    ProcessMetrics::register(&cx.metrics, "balancer").unwrap();
    let (cluster, stop) = (Arc::new(Cluster::default()), CancellationToken::new());
    let health = Health::Node(Arc::clone(&cluster), stop.clone());
    let monitor = Monitor::bind(&cx, any_port(), health).await.unwrap();
    let address = monitor.address().unwrap();
    tokio::spawn(Arc::new(monitor).run());
    MonitoredNode {
        address,
        cluster,
        stop,
    }
}

#[tokio::test]
async fn health_follows_the_condition_of_the_process() {
    let node = start_monitored().await;
    let mut answers = vec![get(node.address, "/healthz").await];
    node.cluster.adopt(initial_config());
    answers.push(get(node.address, "/healthz").await);
    node.stop.cancel();
    answers.push(get(node.address, "/healthz").await);
    answers.push(get(node.address, "/other").await);
    let lines: Vec<_> = answers.iter().map(|(s, b)| format!("{s}: {b}")).collect();
    assert_snapshot!(lines.concat(), @"
    HTTP/1.1 503 Service Unavailable: starting
    HTTP/1.1 200 OK: serving
    HTTP/1.1 503 Service Unavailable: stopping
    HTTP/1.1 404 Not Found: not found; the paths are /metrics and /healthz
    ");
}

#[rstest]
#[case(FabricHealth::Starting, "starting", false)]
#[case(FabricHealth::Serving, "serving", true)]
#[case(FabricHealth::ZoneOut, "zone-out", false)]
#[case(FabricHealth::Leaving, "leaving", false)]
#[case(FabricHealth::Isolated, "isolated", false)]
fn a_balancer_reports_its_own_health_to_the_fabric(
    #[case] health: FabricHealth,
    #[case] word: &str,
    #[case] healthy: bool,
) {
    let (_tx, rx) = watch::channel(health);
    let condition = Health::Balancer(rx).condition();
    assert_eq!(condition.to_string(), word);
    assert_eq!(condition.is_healthy(), healthy);
}

#[tokio::test]
async fn metrics_are_served_as_text() {
    let (status, body) = get(start_monitored().await.address, "/metrics").await;
    assert_eq!(status, "HTTP/1.1 200 OK");
    for name in ["dogwoodrill_build_info", "process_resident_memory_bytes"] {
        assert!(body.contains(name), "no {name} in {body}");
    }
}

fn is_metric(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'_';
    name.starts_with("dogwoodrill_") && name.bytes().all(plain)
}

fn registered_in(dir: &Path, names: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            registered_in(&path, names);
        } else if path.extension().is_some_and(|e| e == "rs") {
            let text = std::fs::read_to_string(&path).unwrap();
            let strings = text.split('"').filter(|s| is_metric(s));
            names.extend(strings.map(str::to_owned));
        }
    }
}

#[test]
fn the_page_lists_the_metrics_that_are_registered_and_no_others() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut registered = BTreeSet::new();
    registered_in(&root.join("src"), &mut registered);
    let registry = Registry::new();
    for role in ["agent", "balancer"] {
        PacketMetrics::register(&registry, role);
    }
    SpreadMetrics::register(&registry).unwrap();
    let requests = RequestMetrics::register(&registry);
    requests.claims.with_label_values(&["ran"]).inc();
    requests
        .refusals
        .with_label_values(&["503", "not-run"])
        .inc();
    let families = registry.gather();
    registered.extend(families.iter().map(|f| f.name().to_owned()));
    let page = std::fs::read_to_string(root.join("docs/metrics.md")).unwrap();
    let rows = page.split("| `").skip(1);
    let names = rows.filter_map(|row| Some(row.split_once('`')?.0.to_owned()));
    let listed: BTreeSet<_> = names.filter(|n| is_metric(n)).collect();
    assert_eq!(
        listed, registered,
        "docs/metrics.md (left) and src (right) differ"
    );
}

#[test]
fn the_sample_alerts_use_metrics_that_are_listed() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/metrics.md")).unwrap();
    let rules = std::fs::read_to_string(root.join("examples/alerts.yaml")).unwrap();
    let words = rules.split(|c: char| !(c.is_ascii_alphanumeric() || c == '_'));
    let used: BTreeSet<_> = words.filter(|w| is_metric(w)).collect();
    let unlisted: Vec<_> = used
        .iter()
        .filter(|name| !page.contains(&format!("| `{name}`")))
        .collect();
    assert!(!used.is_empty());
    assert!(unlisted.is_empty(), "not in docs/metrics.md: {unlisted:?}");
}

#[rstest]
#[case::below_the_limit(2, &[0, 1], &[Decision::Write, Decision::Write])]
#[case::above_the_limit(1, &[0, 1, 59], &[Decision::Write, Decision::Suppress, Decision::Suppress])]
#[case::anew_after_a_minute(1, &[0, 1, 2, 60], &[Decision::Write, Decision::Suppress, Decision::Suppress, Decision::WriteWithSuppressedCount(2)])]
#[case::quiet_minutes_between(1, &[0, 300], &[Decision::Write, Decision::Write])]
#[case::none_at_all(0, &[0, 70], &[Decision::Suppress, Decision::Suppress])]
fn repeats_of_a_line_are_bounded(
    #[case] per_minute: u32,
    #[case] seconds: &[u64],
    #[case] expected: &[Decision],
) {
    let start = Instant::now();
    let mut limit = RepeatLimit::new(per_minute);
    let place = LogLocation {
        target: "dogwoodrill::cluster".to_owned(),
        line: 7,
    };
    let decisions: Vec<_> = seconds
        .iter()
        .map(|s| limit.on_line(start + Duration::from_secs(*s), place.clone()))
        .collect();
    assert_eq!(decisions, expected);
}
