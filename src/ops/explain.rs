//! `explain`: asks running nodes where a new flow of a caller would go, and why.

use std::fmt;
use std::net::{AddrParseError, Ipv4Addr, SocketAddrV4};
use std::str::FromStr;
use std::time::{Duration, Instant};

use ::http::header::HOST;
use ::http::{Request, StatusCode};
use bytes::Bytes;
use derive_more::{Display, From, Into};
use dogwoodrill_core::ids::AvailabilityZone;
use futures_util::future::join_all;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu, ensure};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

use super::node::METRICS_PORT;
use super::{Outcome, one_line};
use crate::forwarded::explain::CallerAddress;
use crate::forwarded::explain::wire::{self, Explanation};

/// Time within which a node answers; it takes a second at most itself.
const NODE_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer that is read; an agent takes about 250 bytes of it.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Address of a node's metrics endpoint, whose port may be left out.
#[derive(Clone, Copy, Debug, Display, Eq, From, Into, PartialEq)]
pub struct NodeEndpoint(SocketAddrV4);

impl FromStr for NodeEndpoint {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let without_port = text
            .parse()
            .map(|ip: Ipv4Addr| SocketAddrV4::new(ip, METRICS_PORT));
        without_port.or_else(|_| text.parse()).map(Self)
    }
}

/// Options of `explain`.
#[derive(Clone, Debug)]
pub struct ExplainOptions {
    /// The nodes to ask.
    pub nodes: Vec<NodeEndpoint>,
    /// The address that the caller sends to.
    pub to: SocketAddrV4,
    /// The address of the caller.
    pub from: CallerAddress,
    /// The zone of the balancer that the caller enters at; that of each node if not given.
    pub zone: Option<AvailabilityZone>,
}

/// Error of `explain`.
#[derive(Debug, Snafu)]
pub enum ExplainCommandError {
    /// No node answered.
    #[snafu(display("no node answers: {reasons}"))]
    NoAnswer {
        /// Each node with its reason.
        reasons: String,
    },
    /// Nodes answered, but none could explain anything.
    #[snafu(display("nothing to explain: {reasons}"))]
    NothingToExplain {
        /// Each node with its reason.
        reasons: String,
    },
}

/// Why a node gave no explanation.
#[derive(Debug, Snafu)]
enum NodeError {
    #[snafu(display("cannot connect"))]
    Connect { source: std::io::Error },
    #[snafu(display("no answer within {} ms", NODE_TIMEOUT.as_millis()))]
    Late,
    #[snafu(display("the connection failed"))]
    Call { source: hyper::Error },
    #[snafu(display("the answer cannot be read"))]
    Body {
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    #[snafu(display("the answer is no explanation"))]
    Malformed { source: serde_json::Error },
    #[snafu(display("{error}"))]
    Refused { error: String },
    #[snafu(display("it explains nothing ({status}); balancers and agents of forwarded flows do"))]
    Unsupported { status: StatusCode },
}

/// The answers of the nodes.
#[derive(Debug)]
pub struct Explanations {
    to: SocketAddrV4,
    from: CallerAddress,
    nodes: Vec<(NodeEndpoint, Result<Explanation, NodeError>)>,
}

/// Asks all of the nodes at once.
pub async fn explain(options: ExplainOptions) -> Result<Explanations, ExplainCommandError> {
    let deadline = Instant::now() + NODE_TIMEOUT;
    let answers = options.nodes.iter().map(async |node| {
        let answer = timeout_at(deadline.into(), ask(*node, &options)).await;
        (*node, answer.unwrap_or_else(|_| LateSnafu.fail()))
    });
    let nodes = join_all(answers).await;
    if nodes.iter().all(|(_, answer)| answer.is_err()) {
        let reasons = nodes.iter().filter_map(|(node, answer)| {
            let reason = answer.as_ref().err()?;
            Some(format!("{node}: {}", one_line(reason)))
        });
        let reasons = reasons.collect::<Vec<_>>().join("; ");
        let has_answered =
            |e: &NodeError| matches!(e, NodeError::Refused { .. } | NodeError::Unsupported { .. });
        let mut errors = nodes.iter().filter_map(|(_, answer)| answer.as_ref().err());
        ensure!(errors.any(has_answered), NoAnswerSnafu { reasons });
        return NothingToExplainSnafu { reasons }.fail();
    }
    Ok(Explanations {
        to: options.to,
        from: options.from,
        nodes,
    })
}

async fn ask(node: NodeEndpoint, options: &ExplainOptions) -> Result<Explanation, NodeError> {
    let stream = TcpStream::connect(SocketAddrV4::from(node))
        .await
        .context(ConnectSnafu)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.context(CallSnafu)?;
    let driver = tokio::spawn(connection);
    let (to, from) = (options.to, options.from);
    let zone = options.zone.as_ref().map(|zone| format!("&zone={zone}"));
    let uri = format!("/explain?to={to}&from={from}{}", zone.unwrap_or_default());
    let mut req = Request::new(Empty::<Bytes>::new());
    *req.uri_mut() = uri
        .parse()
        .expect("addresses and zone names need no escapes");
    let host = node
        .to_string()
        .parse()
        .expect("an address is a header value");
    req.headers_mut().insert(HOST, host);
    let response = sender.send_request(req).await.context(CallSnafu)?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.context(BodySnafu)?.to_bytes();
    driver.abort();
    if status.is_success() {
        return serde_json::from_slice(&body).context(MalformedSnafu);
    }
    match serde_json::from_slice(&body) {
        Ok(wire::Error { error }) => RefusedSnafu { error }.fail(),
        Err(_) => UnsupportedSnafu { status }.fail(),
    }
}

impl Outcome for Explanations {
    /// Fails if a node gave no explanation.
    fn exit_code(&self) -> u8 {
        let all = self.nodes.iter().all(|(_, answer)| answer.is_ok());
        if all { 0 } else { super::EXIT_FAILED }
    }

    fn to_json(&self) -> Value {
        let nodes = self.nodes.iter().map(|(node, answer)| match answer {
            Ok(explanation) => json!({ "node": node.to_string(), "explanation": explanation }),
            Err(e) => json!({ "node": node.to_string(), "error": one_line(e) }),
        });
        json!({
            "to": self.to.to_string(),
            "from": self.from.to_string(),
            "nodes": nodes.collect::<Vec<_>>(),
        })
    }
}

impl fmt::Display for Explanations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, (node, answer)) in self.nodes.iter().enumerate() {
            if n > 0 {
                writeln!(f)?;
            }
            match answer {
                Ok(Explanation::Balancer(balancer)) => {
                    write!(f, "{node}: balancer in zone {}", balancer.zone)?;
                    write_route(f, self.to, balancer.config, &balancer.route)?;
                    write_balancer(f, balancer)?;
                }
                Ok(Explanation::Agent(agent)) => {
                    write!(f, "{node}: agent")?;
                    write_route(f, self.to, agent.config, &agent.route)?;
                    write_agent(f, agent)?;
                }
                Err(e) => writeln!(f, "{node}: {}", one_line(e))?,
            }
        }
        Ok(())
    }
}

fn write_route(
    f: &mut fmt::Formatter<'_>,
    to: SocketAddrV4,
    config: u64,
    route: &wire::Route,
) -> fmt::Result {
    let (target, timeout, priority) = (route.target_ms, route.timeout_ms, route.priority);
    writeln!(f, ", configuration {config}")?;
    writeln!(
        f,
        "  route to {to}: target {target} ms, timeout {timeout} ms, priority {priority}"
    )
}

fn write_balancer(f: &mut fmt::Formatter<'_>, balancer: &wire::Balancer) -> fmt::Result {
    if let Some(agent) = balancer.placed_at {
        writeln!(f, "  this flow is at {agent} already; a new one would go:")?;
    }
    for service in &balancer.services {
        let (name, weight) = (&service.service, service.weight);
        let share = percent(service.probability);
        writeln!(f, "  service {name}: weight {weight}, {share} of new flows")?;
        write_candidates(f, &service.agents)?;
    }
    if balancer.no_server > 0.0 {
        writeln!(
            f,
            "  no server: {} of new flows",
            percent(balancer.no_server)
        )?;
    }
    if !balancer.agents_without_server.is_empty() {
        let agents = balancer
            .agents_without_server
            .iter()
            .map(Ipv4Addr::to_string);
        writeln!(
            f,
            "  agents without a server: {}",
            agents.collect::<Vec<_>>().join(", ")
        )?;
    }
    Ok(())
}

fn write_agent(f: &mut fmt::Formatter<'_>, agent: &wire::Agent) -> fmt::Result {
    match &agent.server {
        None => writeln!(f, "  no server has reported, or it has ended")?,
        Some(server) => write_server(f, server)?,
    }
    let why = agent.why.as_ref().map(|why| format!(": {why}"));
    writeln!(
        f,
        "  a new flow: {}{}",
        agent.action,
        why.unwrap_or_default()
    )?;
    write_candidates(f, &agent.peers)
}

fn write_server(f: &mut fmt::Formatter<'_>, server: &wire::Server) -> fmt::Result {
    let flags = [
        (server.cold, "cold"),
        (server.suspended, "suspended"),
        (server.stopping, "its agent is stopping"),
    ];
    let flags = flags
        .iter()
        .filter(|(is_set, _)| *is_set)
        .map(|(_, flag)| *flag);
    let state = server.unavailable.as_deref().unwrap_or("ready");
    let state: Vec<_> = std::iter::once(state).chain(flags).collect();
    writeln!(
        f,
        "  server of {} in zone {}: {}",
        server.service,
        server.zone,
        state.join(", ")
    )?;
    let age = server
        .age_ms
        .map_or_else(String::new, |age| format!(", report {age} ms old"));
    writeln!(
        f,
        "  {} requests in {} slots, {} waiting, service time {}{age}",
        server.busy,
        server.slots,
        server.waiting,
        millis(server.work_us)
    )
}

fn write_candidates(f: &mut fmt::Formatter<'_>, candidates: &[wire::Candidate]) -> fmt::Result {
    if candidates.is_empty() {
        return Ok(());
    }
    let header = [
        "share", "agent", "zone", "reported", "expected", "slots", "done in", "age",
    ];
    let mut rows = vec![(header.map(str::to_owned), "why not")];
    for c in candidates {
        let row = [
            percent(c.probability),
            c.agent.to_string(),
            c.zone.clone(),
            c.reported.to_string(),
            c.expected.to_string(),
            c.slots.to_string(),
            millis(c.completion_us),
            format!("{} ms", c.age_ms),
        ];
        rows.push((row, c.why_not.as_deref().unwrap_or_default()));
    }
    let width = |column: usize| rows.iter().map(|(row, _)| row[column].len()).max();
    let widths: Vec<_> = (0..header.len()).map(|n| width(n).unwrap_or(0)).collect();
    for (row, why_not) in &rows {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        let line = format!("    {}  {why_not}", cells.collect::<Vec<_>>().join("  "));
        writeln!(f, "{}", line.trim_end())?;
    }
    Ok(())
}

fn percent(probability: f64) -> String {
    format!("{:.1}%", probability * 100.0)
}

fn millis(micros: u64) -> String {
    let duration = Duration::from_micros(micros);
    format!("{:.1} ms", duration.as_secs_f64() * 1000.0)
}
