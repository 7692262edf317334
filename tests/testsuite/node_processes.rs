//! `dogwoodrill node` as separate processes, called over HTTP as on the platform.

use std::fs;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::support::HANG_GUARD;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const CONTROL_PORT: u16 = 7166;
const INNER_PORT: u16 = 7170;
const CONFIG: &str = r#"{"version":4,"routes":[{"name":"r","host":"198.18.0.1","path_prefix":"/443/","timeout_ms":1500,"service":"orders"}],"services":[{"name":"orders"}],"limits":{"idle_timeout_ms":15000}}"#;

fn ip(host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 78, 0, host)
}

/// A process that is killed when the test ends.
struct Node {
    child: Child,
    settings: PathBuf,
}

impl Node {
    fn start(dir: &Path, host: u8) -> Self {
        let ip = ip(host);
        let settings = dir.join(format!("{host}.yaml"));
        let seeds: Vec<_> = (1..=3)
            .map(|n| format!("\"{}:{CONTROL_PORT}\"", self::ip(n)))
            .collect();
        let text = format!(
            "node_name: core-{host}\nserves: [control]\nip: {ip}\nzone: north\n\
             listen:\n  control: \"{ip}:{CONTROL_PORT}\"\nport_range: [{INNER_PORT}, 7185]\n\
             seeds: [{}]\nbootstrap: true\ndata_dir: {}\nheartbeat_ms: 1000\n\
             fault_tolerance: {{machines: 1}}\nbounds: {{grace_s: 6, max_flow_s: 60}}\n",
            seeds.join(", "),
            dir.join(format!("data-{host}")).display()
        );
        fs::write(&settings, text).unwrap();
        let log = fs::File::create(dir.join(format!("{host}.log"))).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_dogwoodrill"))
            .arg("node")
            .env("DOGWOODRILL_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        Self { child, settings }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(sent.success(), "the signal was not sent");
    }

    fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Both calls fail only if the process has ended.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

#[derive(Debug, Eq, PartialEq)]
struct Reply {
    status: u16,
    location: Option<String>,
    body: String,
}

async fn call(host: u8, method: &str, path: &str, body: &str) -> Option<Reply> {
    let called = async {
        let mut stream = TcpStream::connect((ip(host), CONTROL_PORT)).await.ok()?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.write_all(body.as_bytes()).await.ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        let location = head.lines().find_map(|l| l.strip_prefix("location: "));
        Some(Reply {
            status: head.split(' ').nth(1)?.parse().ok()?,
            location: location.map(str::to_owned),
            body: body.to_owned(),
        })
    };
    timeout(CALL_TIMEOUT, called).await.ok()?
}

/// Calls the hosts in turn until one responds with `status`.
async fn call_until(status: u16, method: &str, path: &str, body: &str) -> (u8, Reply) {
    let called = async {
        loop {
            for host in 1..=3 {
                if let Some(reply) = call(host, method, path, body).await
                    && reply.status == status
                {
                    return (host, reply);
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(HANG_GUARD, called)
        .await
        .expect("no host answered so")
}

#[tokio::test]
async fn control_hosts_serve_operators_over_http() {
    let dir = TempDir::new().unwrap();
    let mut nodes: Vec<_> = (1..=3).map(|host| Node::start(dir.path(), host)).collect();
    let (leader, _) = call_until(200, "PUT", "/config", CONFIG).await;
    let (_, read) = call_until(200, "GET", "/config", "").await;
    assert_eq!(read.body, CONFIG);

    let follower = if leader == 1 { 2 } else { 1 };
    let sent_on = call(follower, "GET", "/config", "").await.unwrap();
    let expected = format!("http://{}:{CONTROL_PORT}/config", ip(leader));
    assert_eq!((sent_on.status, sent_on.location), (307, Some(expected)));

    let refused = call(leader, "PUT", "/config", &CONFIG.replace("443", "nine"))
        .await
        .unwrap();
    assert_eq!(refused.status, 400);
    assert!(refused.body.contains("198.18.0.1"), "{}", refused.body);
    call_until(200, "POST", "/evacuations/north", "").await;
    call_until(200, "POST", "/evacuations/north", "").await;
    call_until(200, "DELETE", "/evacuations/north", "").await;

    // Invalid settings change nothing, also after SIGHUP.
    let node = &mut nodes[0];
    fs::write(&node.settings, "node_name: [").unwrap();
    node.signal("-HUP");
    sleep(Duration::from_millis(1500)).await;
    assert!(node.is_running());
    let (_, read) = call_until(200, "GET", "/config", "").await;
    assert_eq!(read.body, CONFIG);

    for node in &nodes {
        node.signal("-TERM");
    }
    let ended = async {
        while nodes.iter_mut().any(Node::is_running) {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(HANG_GUARD, ended)
        .await
        .expect("a process did not stop");
    for node in &mut nodes {
        assert!(node.child.wait().unwrap().success());
    }
}
