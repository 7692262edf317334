//! `dogwoodrill explain` against running nodes.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

use dogwoodrill::cluster::Cluster;
use dogwoodrill::forwarded::explain::ExplainHandle;
use dogwoodrill::monitor::{Health, Monitor};
use insta::assert_snapshot;
use serde_json::Value;
use tokio::net::UdpSocket;
use tokio::task::spawn_blocking;
use tokio_util::sync::CancellationToken;

use super::hosts::*;
use crate::{cli, monitor};

const TEST: u8 = 40;

/// Serves the explanations of a node. Returns the address.
async fn serve(ip: Ipv4Addr, handle: ExplainHandle) -> SocketAddr {
    let health = Health::Node(Arc::<Cluster>::default(), CancellationToken::new());
    let monitor = Monitor::bind(&cx(ip), (ip, 0).into(), health).await;
    let monitor = monitor.unwrap().with_explain(handle);
    let address = monitor.address().unwrap();
    tokio::spawn(Arc::new(monitor).run());
    address
}

/// Runs `dogwoodrill explain` and returns its output and exit code.
async fn explain(nodes: &[SocketAddr], args: &[&str]) -> String {
    let nodes = nodes
        .iter()
        .flat_map(|node| ["--node".to_owned(), node.to_string()]);
    let args = args.iter().map(|arg| (*arg).to_owned());
    let args: Vec<_> = std::iter::once("explain".to_owned())
        .chain(nodes)
        .chain(args)
        .collect();
    let run = move || {
        let args: Vec<_> = args.iter().map(String::as_str).collect();
        cli::run(&std::env::temp_dir(), &args)
    };
    spawn_blocking(run).await.unwrap()
}

/// Returns the explanation of the first node.
async fn explain_json(nodes: &[SocketAddr], from: &str) -> Value {
    let args = ["--to", "198.18.0.1:443", "--from", from, "--json"];
    let answer = explain(nodes, &args).await;
    let (json, _) = answer.split_once("exit").unwrap();
    serde_json::from_str::<Value>(json).unwrap()["nodes"][0]["explanation"].take()
}

/// Replaces each number, since loads, ages and times differ from run to run, and the spaces that align them.
fn without_numbers(text: &str) -> String {
    let mut plain = String::new();
    for c in text.chars() {
        let c = if c.is_ascii_digit() { '#' } else { c };
        if !(plain.ends_with(c) && matches!(c, '#' | ' ')) {
            plain.push(c);
        }
    }
    plain
}

/// Guards against an explanation that does not reach the operator, or that differs from what the nodes then do: a
/// flow is explained by a balancer and an agent before and after it is opened.
#[tokio::test]
async fn a_flow_is_explained_before_and_after_it_opens() {
    let (ports, data) = (free_ports(), temp_dirs::<3>());
    let (seeds, hosts) = bootstrap_cluster(TEST, ports, &data).await;
    let (server, handle, agent) = start_agent(TEST, 10, ports, &seeds).await;
    let agent_ip = loopback_ip(TEST, 10);
    let at_agent = serve(agent_ip, handle).await;
    let to = ["--to", "198.18.0.1:443", "--from", "127.77.40.30"];
    let answer = explain(&[at_agent], &to).await;
    assert!(answer.contains("no configuration yet\nexit 1"), "{answer}");

    put_document(&hosts.iter().collect::<Vec<_>>(), 2).await;
    let reports = keep_reporting(server);
    let balancer_ip = loopback_ip(TEST, 20);
    let (handle, balancer) = start_balancer(&cx(balancer_ip), balancer_ip, ports, &seeds).await;
    let nodes = [serve(balancer_ip, handle).await, at_agent];
    let is_open = async || {
        let explanation = explain_json(&nodes, "127.77.40.30").await;
        let agents = &explanation["services"][0]["agents"];
        (agents[0]["probability"] == 1.0).then_some(())
    };
    poll_until("the agent cannot be chosen", is_open).await;
    let answer = explain(&nodes, &to).await;
    assert!(answer.ends_with("exit 0"), "{answer}");
    assert_snapshot!(without_numbers(&answer), @"
    #.#.#.#:#: balancer in zone north, configuration #
     route to #.#.#.#:#: target # ms, timeout # ms, priority #
     service orders: weight #, #.#% of new flows
     share agent zone reported expected slots done in age why not
     #.#% #.#.#.# north # # # #.# ms # ms

    #.#.#.#:#: agent, configuration #
     route to #.#.#.#:#: target # ms, timeout # ms, priority #
     server of orders in zone north: ready
     # requests in # slots, # waiting, service time #.# ms, report # ms old
     a new flow: accept
    exit #
    ");

    let end = SocketAddrV4::new(loopback_ip(TEST, 30), 40_001);
    let before = explain_json(&nodes, &end.to_string()).await;
    assert_eq!(before["placed_at"], Value::Null);
    let caller = UdpSocket::bind((*end.ip(), ports.packets)).await.unwrap();
    open_flow(&caller, end, balancer_ip, ports).await;
    let after = explain_json(&nodes, &end.to_string()).await;
    assert_eq!(after["placed_at"], agent_ip.to_string());
    let after = explain_json(&nodes[1..], &end.to_string()).await;
    assert_eq!(after["action"], "known already");

    let elsewhere = ["--to", "198.18.0.9:443", "--from", "127.77.40.30"];
    let west = [&to[..], &["--zone", "west"]].concat();
    let silent = SocketAddr::from(([127, 0, 0, 1], 1));
    for (nodes, args, problem) in [
        (&nodes[..], &elsewhere[..], "no route to 198.18.0.9:443"),
        (&nodes, &west, "unknown zone west; there are north"),
        (&[nodes[0], silent], &to, "127.0.0.1:1: cannot connect"),
    ] {
        let answer = explain(nodes, args).await;
        let is_named = answer.contains(problem) && answer.contains(&nodes[0].to_string());
        assert!(is_named && answer.ends_with("exit 1"), "{answer}");
    }
    let paths = [
        "/explain",
        "/explain?to=198.18.0.1:443&from=caller",
        "/explain?to=198.18.0.1%3A443&from=100.64.0.7&zone=west",
        "/explain?to=198.18.0.1:443&from=100.64.0.7&by=north",
    ];
    let mut answers = Vec::new();
    for path in paths {
        let (status, body) = monitor::get(nodes[0], path).await;
        answers.push(format!("{status}: {body}"));
    }
    assert_snapshot!(answers.join("\n"), @r#"
    HTTP/1.1 400 Bad Request: {"error":"from is missing; the arguments are to=IP:PORT, from=IP:PORT and zone=ZONE"}
    HTTP/1.1 400 Bad Request: {"error":"from=caller is malformed: invalid IPv4 socket address syntax"}
    HTTP/1.1 404 Not Found: {"error":"unknown zone west; there are north"}
    HTTP/1.1 400 Bad Request: {"error":"there is no argument by; the arguments are to, from and zone"}
    "#);

    reports.abort();
    balancer.stop().await;
    agent.stop().await;
}
