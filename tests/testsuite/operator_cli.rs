//! Operators' commands, run as processes against a control host.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use dogwoodrill::agent::quic::ServiceIdentity;
use dogwoodrill::agent::{Agent, AgentOptions};
use dogwoodrill::context::Cx;
use dogwoodrill::control::{Control, ControlOptions};
use dogwoodrill::credentials::{Security, read_chain, read_private_key};
use dogwoodrill::ops::certs_init;
use dogwoodrill_core::config::{Version, ZoneState, ZoneStatus};
use dogwoodrill_core::flow::ClusterKey;
use dogwoodrill_testkit::backend_server::BackendServer;
use insta::assert_snapshot;
use rstest::rstest;
use tempfile::TempDir;
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::certs::options;
use crate::cli::run;
use crate::support::{HANG_GUARD, ORDERS, any_port, initial_config};
use crate::transport::mtls;

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A control host with mutual TLS, and the working folder of its operator.
struct OperatorFixture {
    dir: TempDir,
    address: String,
    _stop: DropGuard,
}

impl OperatorFixture {
    async fn start() -> Self {
        let dir = tempfile::tempdir().unwrap();
        certs_init(&options(dir.path())).unwrap();
        let mut initial = initial_config();
        for name in ["gent", "brugge"] {
            let zone = ZoneState {
                name: name.parse().unwrap(),
                version: Version::new(1),
                status: ZoneStatus::In,
            };
            initial.zones.insert(zone.name.clone(), zone);
        }
        let options = ControlOptions::single_host(any_port(), dir.path().join("data"), initial);
        let cx = cx(mtls(dir.path(), "control"));
        let control = Control::bind(cx, options).await.unwrap();
        let address = control.address().to_string();
        let token = CancellationToken::new();
        tokio::spawn(control.run(token.clone()));
        let fixture = Self {
            dir,
            address,
            _stop: token.drop_guard(),
        };
        fixture.settings("operator", "operator", &fixture.address);
        fixture
    }

    /// Writes a settings file for commands that use the given certificate.
    fn settings(&self, file: &str, certificate: &str, control: &str) {
        let text = format!(
            "control: ['{control}']\n\
             tls: {{authority: authority.pem, certificate: {certificate}.pem, key: {certificate}.key}}\n"
        );
        std::fs::write(self.dir.path().join(format!("{file}.yaml")), text).unwrap();
    }

    fn write(&self, file: &str, text: &str) {
        std::fs::write(self.dir.path().join(file), text).unwrap();
    }

    /// Runs a command and returns its output, with numbers that depend on elections masked.
    async fn run(&self, command: &str) -> String {
        let (dir, command) = (self.dir.path().to_owned(), command.to_owned());
        let answer = spawn_blocking(move || run_line(&dir, &command))
            .await
            .unwrap();
        mask(&answer.replace(&self.address, "CONTROL"))
    }

    /// Runs commands one after the other and returns their outputs.
    async fn session(&self, commands: &[&str]) -> String {
        let mut text = String::new();
        for command in commands {
            let answer = self.run(command).await;
            writeln!(text, "$ {command}\n{answer}").unwrap();
        }
        text
    }
}

fn cx(security: Security) -> Cx {
    let key = ClusterKey::new(*b"a key for tests.");
    Cx::new(1.into(), "gent".parse().unwrap(), key).secured(security)
}

fn run_line(dir: &Path, command: &str) -> String {
    let args: Vec<_> = command.split(' ').collect();
    run(dir, &args)
}

/// Replaces the numbers after certain words with N.
fn mask(text: &str) -> String {
    let words = ["index", "term", "committed", "\"index\":", "expires in"];
    let mut masked = String::new();
    for line in text.lines() {
        let mut parts: Vec<String> = line.split(' ').map(ToOwned::to_owned).collect();
        for at in 1..parts.len() {
            let before = parts[..at].join(" ");
            let number = parts[at].trim_end_matches([',', ';']).to_owned();
            let is_number = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit());
            if is_number && words.iter().any(|w| before.ends_with(w)) {
                parts[at] = parts[at].replace(&number, "N");
            }
        }
        writeln!(masked, "{}", parts.join(" ")).unwrap();
    }
    masked.trim_end().to_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn profiles_are_read_compared_and_changed_at_the_version_they_were_read_at() {
    let fixture = OperatorFixture::start().await;
    let read = fixture.run("profile get orders").await;
    let edited = read
        .replace("exit 0", "")
        .replace("queue_limit: 64", "queue_limit: 32");
    fixture.write("orders.yaml", &edited);
    assert_snapshot!(fixture.session(&[
        "profile list",
        "profile get orders",
        "profile diff orders.yaml",
        "profile apply orders.yaml --wait",
        "profile apply orders.yaml",
        "profile diff orders.yaml",
        "profile list --json",
        "profile get sheets",
    ]).await, @r#"
    $ profile list
    orders version 0: orders
    exit 0
    $ profile get orders
    name: orders
    priority: interactive
    request_timeout: 10s
    retry_window: 5min
    require_key: true
    queue_limit: 64
    cold_start: 10s
    flow_slack: 5%
    suspect_cap: 30%
    objective: 99.9%
    latency_objective: 1s
    drain_timeout: 12h
    version: 0
    exit 0
    $ profile diff orders.yaml
    profile orders at version 0
    - queue_limit: 64
    + queue_limit: 32
    exit 1
    $ profile apply orders.yaml --wait
    profile orders: accepted at index N, version 1; in force at all 1 nodes
    exit 0
    $ profile apply orders.yaml
    error: another change was accepted first: profile orders at version 1 is in force; read it and try again
    exit 5
    $ profile diff orders.yaml
    profile orders has no differences from version 1
    exit 0
    $ profile list --json
    {
      "profiles": [
        {
          "name": "orders",
          "version": 1,
          "services": [
            "orders"
          ]
        }
      ]
    }
    exit 0
    $ profile get sheets
    error: there is no profile sheets; there are orders
    exit 1
    "#);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zones_are_taken_out_and_in() {
    let fixture = OperatorFixture::start().await;
    assert_snapshot!(fixture.session(&[
        "zone list",
        "zone out gent --wait",
        "zone out gent",
        "zone in gent --json",
        "zone in oostende",
        "zone list --json",
    ]).await, @r#"
    $ zone list
    brugge in (version 1)
    gent in (version 1)
    exit 0
    $ zone out gent --wait
    zone gent out: accepted at index N, version 2; in force at all 1 nodes
    exit 0
    $ zone out gent
    zone gent is out already
    exit 0
    $ zone in gent --json
    {
      "zone": "gent",
      "status": "in",
      "change": {
        "index": N,
        "version": 3,
        "nodes": null
      }
    }
    exit 0
    $ zone in oostende
    error: there is no zone oostende; there are brugge, gent
    exit 1
    $ zone list --json
    {
      "zones": [
        {
          "zone": "brugge",
          "status": "in",
          "version": 1
        },
        {
          "zone": "gent",
          "status": "in",
          "version": 3
        }
      ]
    }
    exit 0
    "#);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_command_sent_again_gets_its_first_answer() {
    let fixture = OperatorFixture::start().await;
    // Any UUIDv7 with the current time will do; the client's library creates a new one.
    let id = dogwoodrill::operator::OperatorClient::new_command_id();
    let again = format!("zone out gent --version 1 --command-id {id}");
    let first = fixture.run(&again).await;
    assert_eq!(fixture.run(&again).await, first);
    let other = format!("zone out brugge --version 1 --command-id {id}");
    assert_snapshot!(fixture.run(&other).await, @"
    error: the command id was used for another change; use a new one
    exit 1
    ");
    assert_snapshot!(fixture.run(&format!("zone out gent --command-id {id}")).await, @"
    error: --command-id needs --version; repeat both as printed by the first attempt
    exit 1
    ");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_operators_with_equal_numbers_exactly_one_wins() {
    let fixture = OperatorFixture::start().await;
    let read = fixture
        .run("profile get orders")
        .await
        .replace("exit 0", "");
    fixture.write(
        "a.yaml",
        &read.replace("queue_limit: 64", "queue_limit: 32"),
    );
    fixture.write(
        "b.yaml",
        &read.replace("queue_limit: 64", "queue_limit: 16"),
    );
    let (a, b) = tokio::join!(
        fixture.run("profile apply a.yaml"),
        fixture.run("profile apply b.yaml")
    );
    let ends = |code: &str| [&a, &b].iter().filter(|text| text.ends_with(code)).count();
    assert_eq!((ends("exit 0"), ends("exit 5")), (1, 1), "{a}\n{b}");
    let in_force = fixture.run("profile get orders").await;
    let limit = if a.ends_with("exit 0") {
        "queue_limit: 32"
    } else {
        "queue_limit: 16"
    };
    assert!(in_force.contains(limit), "{in_force}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_and_report_show_the_cluster() {
    let fixture = OperatorFixture::start().await;
    // The first read waits until the host is the leader.
    fixture.run("zone list").await;
    assert_snapshot!(fixture.session(&["status", "report burn --shown 5min"]).await, @"
    $ status
    control CONTROL: node 1, leader, term N, committed N
    configuration: index N
    zone brugge: in
    zone gent: in
    service orders: profile orders
    configuration: in force at all 1 nodes
    your certificate expires in N days
    exit 0
    $ report burn --shown 5min
    orders: 99.9% of requests within 1s
    window  good  bad  broken flows  burn rate  alert from  known
    1 h        0    0             0          -        14.4     0%
    5 min      0    0             0          -        14.4     0%
    6 h        0    0             0          -           6     0%
    30 min     0    0             0          -           6     0%
    3 d        0    0             0          -           1     0%
    6 h        0    0             0          -           1     0%

    exit 0
    ");
    fixture
        .run("report burn --service orders --html burn.html")
        .await;
    let page: PathBuf = fixture.dir.path().join("burn.html");
    assert!(std::fs::read_to_string(page).unwrap().contains("<svg"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_report_queries_the_agents_in_the_directory() {
    let fixture = OperatorFixture::start().await;
    let dir = fixture.dir.path();
    let options = AgentOptions {
        parents: vec![fixture.address.parse().unwrap()],
        tunnel: any_port(),
        advertised_tunnel: None,
        peer: any_port(),
        announce: any_port(),
        identity: ServiceIdentity {
            chain: read_chain(&dir.join("service-orders.pem")).unwrap(),
            key: read_private_key(&dir.join("service-orders.key")).unwrap(),
        },
    };
    let agent = Agent::bind(cx(mtls(dir, "node")), options).await.unwrap();
    let announce = agent.announce_address().unwrap();
    let running = tokio::spawn(agent.run(CancellationToken::new()));
    let backend = BackendServer::start().await.unwrap();
    let answer = backend
        .announce(announce, 1, ORDERS.name, 2, "boot-1")
        .await;
    assert!(answer.unwrap().is_success());
    let reported = async {
        loop {
            let report = fixture.run("report burn --json --shown 5min").await;
            if report.contains("\"servers_answered\": 1") {
                return report;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    let report = timeout(HANG_GUARD, reported)
        .await
        .expect("the agent is asked");
    assert!(report.contains("\"servers_unanswered\": []"), "{report}");
    running.abort();
}

#[rstest]
#[case::node("node", "NOT-ALLOWED")]
#[case::service("service-orders", "UNANSWERED")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_an_operator_gives_commands(#[case] certificate: &str, #[case] outcome: &str) {
    let fixture = OperatorFixture::start().await;
    fixture.settings("other", certificate, &fixture.address);
    let settings = fixture.dir.path().join("other.yaml");
    let short = std::fs::read_to_string(&settings).unwrap() + "timeout: 300ms\n";
    std::fs::write(&settings, short).unwrap();
    let answer = fixture.run("zone out gent --config other.yaml").await;
    let result = if answer.contains("role operator") {
        "NOT-ALLOWED"
    } else {
        "UNANSWERED"
    };
    assert_eq!(result, outcome, "{answer}");
    assert!(answer.ends_with("exit 1"), "{answer}");
    assert!(
        fixture.run("zone list").await.contains("gent in"),
        "the zone is untouched"
    );
}

#[test]
fn unreachable_control_hosts_are_reported_with_a_remedy() {
    let dir = tempfile::tempdir().unwrap();
    certs_init(&options(dir.path())).unwrap();
    // Nothing listens on port 1 of this address.
    let text = "control: ['127.0.0.9:1']\ntimeout: 300ms\n\
                tls: {authority: authority.pem, certificate: operator.pem, key: operator.key}\n";
    std::fs::write(dir.path().join("operator.yaml"), text).unwrap();
    assert_snapshot!(run_line(dir.path(), "zone list"), @"
    error: no control host answered in time (127.0.0.9:1: cannot connect); try again
    exit 1
    ");
    assert_snapshot!(run_line(dir.path(), "profile list --json"), @r#"
    {
      "error": "no control host answered in time (127.0.0.9:1: cannot connect); try again"
    }
    exit 1
    "#);
}
